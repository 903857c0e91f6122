"""State machine of one job: the phase, assignment and result of each task.

A task is waiting, placed (one attempt is assigned to one incarnation of one worker)
or done. `JobProgress.place` numbers the attempts. Callers apply an end or a release
only to the attempt that is assigned, so duplicate and late reports have no effect.
`JobProgress` reads no clock: the caller passes the time up to which occurrences are
due.

The size of a large job depends on its unfinished work only: an occurrence is added when
it is due, but not beyond `MAX_OPEN_TASKS`, and dropped when it is done.
"""

import math
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import accumulate
from typing import Final

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, StepSpec, TaskKey

__all__ = [
    "CrashBound",
    "EndKind",
    "FINAL_STATES",
    "JobProgress",
    "JobState",
    "StartOutcome",
    "StepState",
    "TaskPhase",
    "TaskState",
    "WorkerIncarnation",
]

MAX_OPEN_TASKS: Final = 10_000
"""The tasks of a job's open occurrences, unless a single occurrence has more."""

MAX_AVOIDED: Final = 3
"""Length of a task's list of avoided workers; the oldest entry is dropped first."""


class JobState(Enum):
    """State of a job as reported to callers."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES: Final = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)
"""States that a job never leaves."""


class TaskPhase(Enum):
    """Scheduling phase of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class StartOutcome(Enum):
    """What is known of the start of an attempt on its worker."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    """No command is known to have had an effect; an answer may be on its way."""
    UNCERTAIN = "uncertain"
    """A command may have had an effect: it has no answer, or one that may be a later
    incarnation's, or an earlier owner has sent it."""
    STARTED = "started"
    """The worker has confirmed the start, or has listed the attempt."""


class EndKind(Enum):
    """How an attempt ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"
    """Stopped, lease expired or worker lost: the task is retried, and the end does
    not count as a failure."""


@dataclass(frozen=True, slots=True)
class WorkerIncarnation:
    """One incarnation of a worker; attempts of earlier incarnations have ended."""

    worker_id: WorkerId
    started_ms: int


@dataclass(frozen=True, slots=True)
class CrashBound:
    """A counted crash, and how far the attempt had come at most."""

    bound: float
    """A run time or a progress, as `crash_blame.point_reached` returns."""
    is_proven: bool
    """Whether it counts as proven, and not as possible only."""
    is_at_start: bool = False
    """Whether it came right after the start of the attempt."""


@dataclass(slots=True)
class TaskState:
    """State of one task.

    The fields up to `crashed_attempt` are stored, the rest are not.
    """

    phase: TaskPhase = TaskPhase.WAITING
    n_attempts: int = 0
    """Number of the latest attempt, 0 before the first."""
    n_failed: int = 0
    incarnation: WorkerIncarnation | None = None
    checkpoint: str = ""
    n_crashes: int = 0
    """Number of workers that had started the task and crashed under it."""
    n_unproven_crashes: int = 0
    """Number of workers that may have started the task, or crashed of another cause."""
    crashed_attempt: int = 0
    """The latest attempt whose worker is known to have crashed; 0 if there is none, or
    if a later incarnation of the worker runs the attempt."""
    is_inherited: bool = False
    """An earlier owner has assigned the attempt."""
    needs_trial: bool = False
    """The task may have crashed a worker by starting, so a worker that it is started on
    runs no other such task until it has run for a while (see `crash_blame`)."""
    is_stored: bool = False
    """The assignment is stored, so the start command may be sent."""
    n_sends: int = 0
    """Number of start commands sent for the attempt."""
    start: StartOutcome = StartOutcome.NOT_SENT
    first_sent_s: float = 0.0
    """When the first start command for the attempt was sent; 0 if none was."""
    sent_s: float = 0.0
    """When the latest command for the attempt was sent."""
    started_s: float = -math.inf
    """When the worker's confirmation of the start arrived."""
    survived: float = 0.0
    """The farthest point that an attempt is known to have reached without a crash."""
    crash_bounds: list[CrashBound] = field(default_factory=list)
    """For each counted crash that is known to this owner."""
    placed_s: float = 0.0
    listed_s: float = 0.0
    """When the worker last listed the attempt as running; 0 if never."""
    is_stopping: bool = False
    is_revoking: bool = False
    """The attempt is being revoked: proven absent, so that it can never start."""
    first_listed_ms: int | None = None
    """The worker's clock as it first listed the attempt."""
    first_percent: int = 0
    """Progress of the attempt as the worker first listed it."""
    ran_s: float = 0.0
    """Time from the first to the latest listing, by the worker's clock."""
    percent: int = 0
    """Progress of the attempt in percent, as reported by the worker."""
    percent_s: float = 0.0
    """When `percent` last rose."""
    not_before_s: float = 0.0
    """The next attempt of a lasting task may not start before (see `crash_blame`)."""
    held_s: float = 0.0
    """Since when a best-effort task has been held back because its start would push
    serving tasks over their targets; 0 if it is not held back."""
    avoided: tuple[WorkerId, ...] = ()
    """Workers on which the task failed or stalled."""

    def reset_attempt(self) -> None:
        """Clear the command and report state of the previous attempt."""
        self.is_stored = self.is_stopping = self.is_revoking = False
        self.is_inherited = False
        self.first_listed_ms = None
        self.n_sends = self.percent = self.first_percent = 0
        self.ran_s = 0.0
        self.start = StartOutcome.NOT_SENT
        self.first_sent_s = self.sent_s = self.listed_s = self.held_s = 0.0
        self.started_s = -math.inf

    def record_send(self, now_s: float) -> None:
        """Record that a start command was sent; an earlier one is then unanswered."""
        self.n_sends += 1
        self.first_sent_s = self.first_sent_s or now_s
        self.sent_s = now_s
        if self.start is StartOutcome.NOT_SENT:
            self.start = StartOutcome.SENT
        elif self.start is StartOutcome.SENT:
            self.start = StartOutcome.UNCERTAIN

    def record_start(self, *, is_proven: bool) -> None:
        """Record that the worker has started the attempt, or may have."""
        if is_proven:
            self.start = StartOutcome.STARTED
        elif self.start is StartOutcome.SENT:
            self.start = StartOutcome.UNCERTAIN

    def record_listing(self, clock_ms: int, percent: int) -> None:
        """Record when, by its clock, and with which progress the worker lists it."""
        if self.first_listed_ms is None:
            self.first_listed_ms = clock_ms
            self.first_percent = percent
        self.ran_s = (clock_ms - self.first_listed_ms) / 1000

    def record_point(self, point: float) -> int:
        """Record how far the attempt has come.

        Returns the number of counted crashes that this disproves: what crashes a worker
        at some point does not pass it.
        """
        self.survived = max(self.survived, point)
        disproved = [crash for crash in self.crash_bounds if crash.bound < point]
        for crash in disproved:
            self.crash_bounds.remove(crash)
        n_proven = sum(crash.is_proven for crash in disproved)
        self.n_crashes -= n_proven
        self.n_unproven_crashes -= len(disproved) - n_proven
        return len(disproved)

    @property
    def n_crashes_at_start(self) -> int:
        """Proven crashes, known to this owner, right after the start of an attempt."""
        return sum(crash.is_proven and crash.is_at_start for crash in self.crash_bounds)

    def record_crash(self, crash: CrashBound) -> None:
        """Count a crash of a worker that had started the task, or may have."""
        self.crash_bounds.append(crash)
        if crash.is_proven:
            self.n_crashes += 1
        else:
            self.n_unproven_crashes += 1

    def request_stop(self) -> None:
        """Mark the attempt to be stopped; the stop command is due immediately."""
        self.is_stopping = True
        self.sent_s = 0.0

    def avoid(self, worker_id: WorkerId) -> None:
        """Prefer other workers for later attempts."""
        self.avoided = (*self.avoided[-(MAX_AVOIDED - 1) :], worker_id)


@dataclass(slots=True)
class StepState:
    """Tasks of one step in one occurrence, with counts by phase."""

    tasks: list[TaskState]
    n_waiting: int = 0
    n_done: int = 0

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.n_done == len(self.tasks)

    def recount(self) -> None:
        """Recompute the counts after task states were loaded from the store."""
        self.n_waiting = sum(task.phase is TaskPhase.WAITING for task in self.tasks)
        self.n_done = sum(task.phase is TaskPhase.DONE for task in self.tasks)


@dataclass(slots=True)
class JobProgress:
    """A job's specification and the state of every task that has become due."""

    job_id: JobId
    spec: JobSpec
    occurrences: dict[int, list[StepState]] = field(default_factory=dict)
    """Steps by occurrence; one is added when it is due, and dropped from a large job
    when it is done."""
    n_opened: int = 0
    """Number of occurrences that have been added: the first ones."""
    is_cancelled: bool = False
    is_failed: bool = False
    n_placed: int = 0
    n_steps_done: int = 0
    n_most_failures: int = 0
    """The most failures of one task; tasks that last don't count."""
    has_started: bool = False
    finished_ms: int = 0
    """Unix time in milliseconds at which the job reached a final state; 0 before."""
    _changed: dict[TaskKey, None] = field(default_factory=dict)
    """Tasks whose stored fields have changed since `take_changed`."""
    _first_indexes: list[int] = field(init=False)
    """The index of the first task of each step, within an occurrence."""

    def __post_init__(self) -> None:
        counts = (step.n_tasks for step in self.spec.steps)
        self._first_indexes = list(accumulate(counts, initial=0))

    def add_due_occurrences(self, now_ms: int) -> bool:
        """Add the occurrences due by `now_ms`; return whether any was added."""
        before = self.n_opened
        while self.n_opened < self.spec.n_total_occurrences and self._has_room:
            if self.spec.due_ms(self.n_opened) > now_ms:
                break
            self.open_occurrence()
        return self.n_opened > before

    @property
    def _has_room(self) -> bool:
        """Return whether another occurrence may be open beside those that are."""
        n_open = len(self.occurrences)
        return not n_open or (n_open + 1) * self.spec.n_tasks <= MAX_OPEN_TASKS

    def open_occurrence(self) -> None:
        """Add the next occurrence."""
        self.occurrences[self.n_opened] = [
            StepState([TaskState() for _ in range(step.n_tasks)], step.n_tasks)
            for step in self.spec.steps
        ]
        self.n_opened += 1

    def skip_occurrences(self, n_occurrences: int) -> None:
        """Count the next occurrences as added and dropped."""
        self.n_opened += n_occurrences

    @property
    def n_dropped(self) -> int:
        """Number of occurrences that are done and no longer kept."""
        return self.n_opened - len(self.occurrences)

    # All tasks of all occurrences have an index, in the order of `TaskKey`

    def index_of(self, key: TaskKey) -> int:
        """Return the index of a task among those of all occurrences."""
        first = key.occurrence * self._first_indexes[-1] + self._first_indexes[key.step]
        return first + key.position

    def key_at(self, index: int) -> TaskKey:
        """Return the task with an index."""
        occurrence, rest = divmod(index, self._first_indexes[-1])
        step = bisect_right(self._first_indexes, rest) - 1
        return TaskKey(occurrence, step, rest - self._first_indexes[step])

    @property
    def n_opened_tasks(self) -> int:
        """Number of the tasks of the occurrences that have been added."""
        return self.n_opened * self._first_indexes[-1]

    def mark_changed(self, key: TaskKey) -> None:
        """Record that stored fields of a task have changed."""
        self._changed[key] = None

    def mark_all_changed(self) -> None:
        """Record that all tasks that were ever started have changed."""
        for occurrence, steps in self.occurrences.items():
            for number, step in enumerate(steps):
                for position, task in enumerate(step.tasks):
                    if task.n_attempts:
                        self.mark_changed(TaskKey(occurrence, number, position))

    def take_changed(self) -> tuple[TaskKey, ...]:
        """Return the tasks that have changed since the last call."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def recount(self) -> None:
        """Recompute every count after task states were loaded from the store."""
        steps = [step for steps in self.occurrences.values() for step in steps]
        for step in steps:
            step.recount()
        self.n_steps_done = self.n_dropped * len(self.spec.steps)
        self.n_steps_done += sum(step.is_done for step in steps)
        self.n_placed = sum(
            len(step.tasks) - step.n_waiting - step.n_done for step in steps
        )
        counted = [
            step.tasks
            for steps in self.occurrences.values()
            for step, spec in zip(steps, self.spec.steps, strict=True)
            if not spec.lasts
        ]
        self.n_most_failures = max(
            (task.n_failed for tasks in counted for task in tasks), default=0
        )

    def step_state(self, key: TaskKey) -> StepState | None:
        """Return the state of a task's step; None if the job has no such step yet."""
        steps = self.occurrences.get(key.occurrence)
        if steps is None or not 0 <= key.step < len(steps):
            return None
        return steps[key.step]

    def task(self, key: TaskKey) -> TaskState | None:
        """Return the state of a task; None if the job has no such task yet."""
        step = self.step_state(key)
        if step is None or not 0 <= key.position < len(step.tasks):
            return None
        return step.tasks[key.position]

    def step_of(self, key: TaskKey) -> StepSpec:
        """Return the specification of the step that a task belongs to."""
        return self.spec.steps[key.step]

    @property
    def state(self) -> JobState:
        """State of the job as reported to callers."""
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.is_failed:
            return JobState.FAILED
        if self.n_steps_done == self.spec.n_total_occurrences * len(self.spec.steps):
            return JobState.COMPLETED
        return JobState.RUNNING if self.has_started else JobState.PENDING

    @property
    def is_active(self) -> bool:
        """Whether tasks may still be started."""
        return self.state in (JobState.PENDING, JobState.RUNNING)

    def ready_steps(self) -> Iterator[tuple[int, int]]:
        """Yield the occurrence and index of each step with tasks that may start."""
        for occurrence, steps in self.occurrences.items():
            for number, step in enumerate(steps):
                if step.n_waiting and self._is_ready(steps, number):
                    yield occurrence, number

    def _is_ready(self, steps: list[StepState], number: int) -> bool:
        return all(steps[earlier].is_done for earlier in self.spec.steps[number].after)

    def waiting(self, occurrence: int, number: int) -> list[TaskKey]:
        """Return the tasks of a step that are waiting for placement."""
        return [
            TaskKey(occurrence, number, index)
            for index, task in enumerate(self.occurrences[occurrence][number].tasks)
            if task.phase is TaskPhase.WAITING
        ]

    def placed(self) -> Iterator[tuple[TaskKey, TaskState]]:
        """Yield every task that is assigned to a worker."""
        if self.n_placed == 0:
            return
        for occurrence, steps in self.occurrences.items():
            for number, step in enumerate(steps):
                for index, task in enumerate(step.tasks):
                    if task.phase is TaskPhase.PLACED:
                        yield TaskKey(occurrence, number, index), task

    def n_on_worker(self, occurrence: int, number: int, worker_id: WorkerId) -> int:
        """Return how many tasks of a step are assigned to a worker."""
        return sum(
            task.incarnation is not None and task.incarnation.worker_id == worker_id
            for task in self.occurrences[occurrence][number].tasks
        )

    def place(
        self, key: TaskKey, incarnation: WorkerIncarnation, now_s: float
    ) -> TaskState:
        """Assign the next attempt of a waiting task to a worker.

        Raises
        ------
        RuntimeError
            When the task is not waiting or may not be started.
        """
        task, step = self.task(key), self.step_state(key)
        if task is None or step is None or task.phase is not TaskPhase.WAITING:
            raise RuntimeError(f"{self.job_id} {key} is not waiting for placement")
        if not self.is_active or not self._is_ready(
            self.occurrences[key.occurrence], key.step
        ):
            raise RuntimeError(
                f"{self.job_id} {key} may not start: the job is not active or an"
                " earlier step is not done"
            )
        task.phase = TaskPhase.PLACED
        task.n_attempts += 1
        task.incarnation = incarnation
        task.placed_s = task.percent_s = now_s
        task.reset_attempt()
        step.n_waiting -= 1
        self.n_placed += 1
        self.has_started = True
        self.mark_changed(key)
        return task

    def is_assigned(
        self, key: TaskKey, attempt: int, incarnation: WorkerIncarnation
    ) -> bool:
        """Return whether this attempt is assigned to this incarnation."""
        task = self.task(key)
        return (
            task is not None
            and task.phase is TaskPhase.PLACED
            and task.n_attempts == attempt
            and task.incarnation == incarnation
        )

    def adopt(self, key: TaskKey, attempt: int, incarnation: WorkerIncarnation) -> bool:
        """Move the assigned attempt to a later incarnation of its worker.

        A start command that was in flight when the worker was replaced under the same
        name starts the attempt in the later incarnation. Returns whether the attempt
        is now assigned to `incarnation`.
        """
        task = self.task(key)
        if (
            task is None
            or task.incarnation is None
            or task.n_attempts != attempt
            or task.incarnation.worker_id != incarnation.worker_id
            or task.incarnation.started_ms > incarnation.started_ms
        ):
            return False
        task.incarnation = incarnation
        task.first_listed_ms = None
        task.crashed_attempt = 0
        self.mark_changed(key)
        return True

    def end(self, key: TaskKey, kind: EndKind, checkpoint: str) -> None:
        """Record how the assigned attempt of a task ended."""
        task, state = self.task(key), self.step_state(key)
        assert task is not None and task.incarnation is not None and state is not None
        worker_id = task.incarnation.worker_id
        step = self.step_of(key)
        self.mark_changed(key)
        self.n_placed -= 1
        task.incarnation = None
        task.reset_attempt()
        if checkpoint:
            task.checkpoint = checkpoint
        if kind is EndKind.DONE and not step.lasts:
            task.phase = TaskPhase.DONE
            state.n_done += 1
            if state.is_done:
                self.n_steps_done += 1
                self._drop_if_done(key.occurrence)
            return
        task.phase = TaskPhase.WAITING
        state.n_waiting += 1
        if kind is EndKind.FAILED:
            task.n_failed += 1
            task.avoid(worker_id)
            if not step.lasts:
                self.n_most_failures = max(self.n_most_failures, task.n_failed)

    def _drop_if_done(self, occurrence: int) -> None:
        steps = self.occurrences[occurrence]
        if self.spec.is_large and all(step.is_done for step in steps):
            del self.occurrences[occurrence]

    def apply_failure_limit(self, max_failures: int) -> bool:
        """Fail the job if a task has failed as often; return whether it failed now."""
        if not self.is_active or self.n_most_failures < max_failures:
            return False
        self.is_failed = True
        return True
