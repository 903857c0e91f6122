"""Specification of a job: a graph of steps, each with a number of identical tasks.

A step may start once every task of the steps listed in its `after` is done. A job
without occurrences runs its steps once; a repeated job runs all its steps again at
each due time. Specifications are immutable; `JobProgress` holds a job's state.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple, NewType

from almondspan_decisions.decoding import MAX_NAME_CHARS, MAX_NUMBER
from almondspan_decisions.ids import JobId, ServiceName
from almondspan_decisions.shapes import Shape

__all__ = [
    "JobSpec",
    "QueueName",
    "QueueRules",
    "StepSpec",
    "TaskKey",
    "format_task_name",
    "parse_task_name",
    "spec_fault",
]

MAX_TASKS: Final = 200_000
"""Limit of a job's tasks over all of its occurrences."""

LARGE_JOB_TASKS: Final = 256
"""A job with more tasks over all of its occurrences is large."""

MAX_DIGITS: Final = 15
"""Limit of the digits of a number in a task's name."""

QueueName = NewType("QueueName", str)
"""Name of a job queue in the configuration."""


class TaskKey(NamedTuple):
    """Identifies a task within its job: occurrence, step and position in the step."""

    occurrence: int
    step: int
    position: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of `n_tasks` identical tasks, each of which requests `shape`."""

    n_tasks: int
    shape: Shape
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    """Indexes of the earlier steps that must be done before this one starts."""
    is_gang: bool = False
    is_rack_local: bool = False
    label: str = ""
    """A label that the worker must have; empty for any worker."""
    data_rack: str = ""
    """The rack that holds the input data; tasks run longer on other racks."""
    max_per_worker: int = 0
    """Limit of tasks of one occurrence on one worker; 0 for no limit."""
    saves_progress: bool = False
    may_copy: bool = False
    lasts: bool = False
    """The tasks run until the job is cancelled and are restarted when they end."""
    image: str = ""
    tail_target_ms: int = 0
    """Tail latency target of a lasting task; 0 for none."""
    fills: bool = False
    """Best-effort: the tasks use processor time that other tasks leave unused, and
    their processors are not counted against the worker's capacity."""
    n_may_be_away: int = 0
    """How many lasting tasks the scheduler may have stopped at the same time."""


@dataclass(frozen=True, slots=True)
class QueueRules:
    """Configured rules for the jobs of a queue."""

    service: ServiceName
    priority: int
    max_failures: int
    """Number of failures of one task that fail its job."""
    stretch: float
    target_ms: int
    has_advisor: bool = False


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted."""

    queue: QueueName
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int = 0
    """Unix time in milliseconds, by the clock of the entry that accepted the job."""
    n_occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_rules: QueueRules | None = None
    """The rules of the queue as it was accepted; None in records of earlier releases.
    They apply while no queue of this name is configured."""

    @property
    def n_tasks(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.n_tasks for step in self.steps)

    @property
    def is_large(self) -> bool:
        """Whether the tasks are too many to keep the state of each in one record."""
        return self.n_tasks * self.n_total_occurrences > LARGE_JOB_TASKS

    @property
    def n_total_occurrences(self) -> int:
        """Number of times that the steps run; 1 for a job that is not repeated."""
        return max(1, self.n_occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, as Unix time in milliseconds."""
        if self.n_occurrences == 0:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


def format_task_name(job_id: JobId, key: TaskKey) -> str:
    """Return the name that identifies a task to its worker."""
    return f"{job_id}.{key.occurrence}.{key.step}.{key.position}"


def parse_task_name(name: str) -> tuple[JobId, TaskKey] | None:
    """Return the job and task of a task name; None if the name is not valid."""
    parts = name.split(".")
    if len(parts) != 4 or not all(map(_is_number, parts[1:])):
        return None
    return JobId(parts[0]), TaskKey(int(parts[1]), int(parts[2]), int(parts[3]))


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_DIGITS


def spec_fault(spec: JobSpec) -> str:
    """Return why a job specification is invalid; empty if it is valid."""
    if not spec.steps:
        return "a job needs a step"
    for number, step in enumerate(spec.steps):
        if step.n_tasks < 1:
            return f"step {number} has no tasks"
        if any(earlier < 0 or earlier >= number for earlier in step.after):
            return f"step {number} waits for a step that is not before it"
    if any(abs(number) > MAX_NUMBER for number in _numbers(spec)):
        return f"a number is beyond {MAX_NUMBER}"
    names = [name for step in spec.steps for name in _names(step)]
    if spec.accepted_rules is not None:
        names.append(spec.accepted_rules.service)
    if any(len(name) > MAX_NAME_CHARS for name in names):
        return f"a name is longer than {MAX_NAME_CHARS} characters"
    n_tasks = spec.n_tasks * spec.n_total_occurrences
    if n_tasks > MAX_TASKS:
        return f"the job has {n_tasks} tasks in all, the limit is {MAX_TASKS}"
    return ""


def _names(step: StepSpec) -> tuple[str, ...]:
    return step.image, step.label, step.data_rack


def _numbers(spec: JobSpec) -> Iterator[int]:
    """Yield every number of a specification, but for the indexes of steps."""
    yield from (spec.accepted_ms, spec.first_due_ms, spec.interval_ms)
    yield spec.n_occurrences
    rules = spec.accepted_rules
    if rules is not None:
        yield from (rules.priority, rules.max_failures, rules.target_ms)
    for step in spec.steps:
        shape = step.shape
        yield from (shape.cpu_millicores, shape.memory_mb, shape.n_accelerators)
        yield from (step.n_tasks, step.estimate_ms, step.max_per_worker)
        yield from (step.tail_target_ms, step.n_may_be_away)
