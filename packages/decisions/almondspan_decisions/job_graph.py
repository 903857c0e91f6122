"""What a caller asks for: a job as a graph of steps, each of many equal tasks.

A step begins when every task of the steps that it names has ended as done. A job
without occurrences runs its steps once; one with occurrences runs all its steps
again at each due time. Nothing here changes: the progress of a job is `JobBook`.
"""

from dataclasses import dataclass
from typing import NamedTuple, NewType

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

QueueName = NewType("QueueName", str)
"""A queue of jobs, as the configuration names it."""


class TaskKey(NamedTuple):
    """A task within its job: occurrence, step, position in the step."""

    occurrence: int
    step: int
    position: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of `n_tasks` equal tasks, each of which asks for `shape`."""

    n_tasks: int
    shape: Shape
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_rack_local: bool = False
    label: str = ""
    """A label that the worker must have; empty for any worker."""
    data_rack: str = ""
    """The rack that holds the data; on other racks the tasks run longer."""
    max_per_worker: int = 0
    """At most this many tasks of one occurrence on one worker; 0 for no limit."""
    saves_progress: bool = False
    may_copy: bool = False
    lasts: bool = False
    """The tasks run until the job is cancelled and are restarted when they end."""
    image: str = ""
    tail_target_ms: int = 0
    """The tail latency that a lasting task must keep; 0 for none."""
    fills: bool = False
    """Its processors are not counted: it uses what other tasks leave."""
    n_may_be_away: int = 0
    """So many lasting tasks may be stopped by the scheduler at the same time."""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted."""

    queue: QueueName
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int = 0
    """Milliseconds since 1970 at the entry that accepted the job."""
    n_occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def n_total_occurrences(self) -> int:
        """How often the steps run in all."""
        return max(1, self.n_occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since 1970."""
        if self.n_occurrences == 0:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class QueueRules:
    """What the configuration says of a queue's jobs."""

    service: ServiceName
    priority: int
    max_failures: int
    """A task that failed so often fails its job."""
    stretch: float
    target_ms: int
    has_advisor: bool = False


def format_task_name(job_id: JobId, key: TaskKey) -> str:
    """Return the name under which a worker knows a task."""
    return f"{job_id}.{key.occurrence}.{key.step}.{key.position}"


def parse_task_name(name: str) -> tuple[JobId, TaskKey] | None:
    """Return the job and task that a name means; None when it is no task's name."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return JobId(parts[0]), TaskKey(int(parts[1]), int(parts[2]), int(parts[3]))


def spec_fault(spec: JobSpec) -> str:
    """Return why a job can't be scheduled at all; empty when it can."""
    if not spec.steps:
        return "a job needs a step"
    for number, step in enumerate(spec.steps):
        if step.n_tasks < 1:
            return f"step {number} has no tasks"
        if any(earlier < 0 or earlier >= number for earlier in step.after):
            return f"step {number} waits for a step that is not before it"
    return ""
