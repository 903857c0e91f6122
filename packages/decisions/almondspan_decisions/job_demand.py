"""What a job still needs: its remaining chain of work, and the room that it takes.

1. The chain is the longest path through the unfinished steps. A step lasts as long as
   the longest of its tasks: the expected one of those that wait, or what remains of
   those that run.
2. The objective is `stretch` times the longest path through all steps, by the work of
   their tasks without slowdown by others, plus the queue's target.
3. The room is the time for which the tasks will hold resources, by dimension.

Of a repeated job the oldest open occurrence counts. A job with lasting tasks has no
demand, for it ends only when it is cancelled.
"""

from dataclasses import dataclass
from functools import lru_cache
from statistics import NormalDist
from typing import Final

from almondspan_decisions.job_graph import JobSpec, QueueRules, StepSpec
from almondspan_decisions.job_progress import JobProgress, StepState, TaskPhase
from almondspan_decisions.shapes import Shape
from almondspan_decisions.task_times import (
    STEP_SPREAD,
    TaskTimes,
    TimedStep,
    timed_step,
)

__all__ = [
    "LATE_FACTOR",
    "JobDemand",
    "Room",
    "job_demand",
    "longest_chain_s",
    "longest_of",
]

MAX_MEASURED: Final = 64
"""Of more running tasks of a step than this, only some are looked at."""

LATE_FACTOR: Final = 3.0
"""A job that takes longer than this many times its objective is worth nothing."""


@dataclass(frozen=True, slots=True)
class Room:
    """Resources held over time: core-seconds, megabyte-seconds, accelerator-seconds."""

    core_s: float = 0.0
    memory_mb_s: float = 0.0
    accelerator_s: float = 0.0

    def __add__(self, other: "Room") -> "Room":
        return Room(
            self.core_s + other.core_s,
            self.memory_mb_s + other.memory_mb_s,
            self.accelerator_s + other.accelerator_s,
        )

    def seconds_of(self, capacity: Shape) -> float:
        """Return for how long the room would fill a capacity, at least."""
        shares = [0.0]
        for used, held in (
            (self.core_s * 1000, capacity.cpu_millicores),
            (self.memory_mb_s, capacity.memory_mb),
            (self.accelerator_s, capacity.n_accelerators),
        ):
            if held > 0:
                shares.append(used / held)
        return max(shares)


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a job still needs at one time, and within which time it should end."""

    objective_s: float
    """From the acceptance to the end of the last task."""
    chain_s: float
    """The remaining chain of work."""
    room: Room
    """For all unfinished tasks."""
    attained: Room
    """What the tasks have taken so far."""
    n_open_tasks: int = 0
    """Number of unfinished tasks."""
    fill_core_s: float = 0.0
    """Processors of the room that don't count against the capacity of workers."""


@lru_cache(maxsize=4_096)
def longest_of(n_tasks: int) -> float:
    """Return the ratio of the longest of some tasks of a step to their mean."""
    deviations = NormalDist().inv_cdf((n_tasks - 0.375) / (n_tasks + 0.25))
    return 1.0 + STEP_SPREAD * max(0.0, deviations)


def longest_chain_s(spec: JobSpec, lengths_s: list[float]) -> float:
    """Return the longest path through steps that take these times."""
    ends_s: list[float] = []
    for step, length_s in zip(spec.steps, lengths_s, strict=True):
        begin_s = max((ends_s[earlier] for earlier in step.after), default=0.0)
        ends_s.append(begin_s + length_s)
    return max(ends_s)


def job_demand(
    job: JobProgress, rules: QueueRules, times: TaskTimes
) -> JobDemand | None:
    """Return what a job needs; None if it lasts or its queue has no objective."""
    has_objective = rules.stretch > 0 and rules.target_ms > 0
    if not has_objective or any(step.lasts for step in job.spec.steps):
        return None
    states = next(iter(job.occurrences.values()), None)
    if states is None:
        return None
    works_s: list[float] = []
    lengths_s: list[float] = []
    room, attained, fill_core_s = Room(), Room(), 0.0
    for number, (step, state) in enumerate(zip(job.spec.steps, states, strict=True)):
        timed = timed_step(job.job_id, job.spec, number)
        needs = _step_needs(job, timed, step, state, times)
        works_s.append(needs.work_s)
        lengths_s.append(needs.length_s)
        room, attained = room + needs.room, attained + needs.attained
        fill_core_s += needs.room.core_s if step.fills else 0.0
    objective_s = rules.stretch * longest_chain_s(job.spec, works_s)
    return JobDemand(
        objective_s + rules.target_ms / 1000,
        longest_chain_s(job.spec, lengths_s),
        room,
        attained,
        sum(len(state.tasks) - state.n_done for state in states),
        fill_core_s,
    )


@dataclass(frozen=True, slots=True)
class _StepNeeds:
    work_s: float
    """How long the whole step takes alone."""
    length_s: float
    """How long the rest of it takes."""
    room: Room
    attained: Room


def _step_needs(
    job: JobProgress,
    timed: TimedStep,
    step: StepSpec,
    state: StepState,
    times: TaskTimes,
) -> _StepNeeds:
    queue = job.spec.queue
    work_s = times.work_s(queue, timed) * longest_of(step.n_tasks)
    mean_s = times.expected(queue, timed).mean_s
    ran_s = state.n_done * mean_s
    left_s = state.n_waiting * mean_s
    length_s = mean_s * longest_of(state.n_waiting) if state.n_waiting else 0.0
    n_placed = len(state.tasks) - state.n_waiting - state.n_done
    if n_placed:
        stride = 1 + n_placed // MAX_MEASURED
        placed = [task for task in state.tasks if task.phase is TaskPhase.PLACED]
        for task in placed[::stride]:
            remaining_s = times.remaining(
                queue, timed, task.ran_s, task.percent, task.first_percent
            ).mean_s
            left_s += stride * remaining_s
            length_s = max(length_s, remaining_s)
            ran_s += stride * max(mean_s - remaining_s, task.ran_s)
    return _StepNeeds(work_s, length_s, _room(step, left_s), _room(step, ran_s))


def _room(step: StepSpec, task_s: float) -> Room:
    """Return the room that tasks of a step take in a time over all of them."""
    shape = step.shape
    return Room(
        shape.cpu_millicores / 1000 * task_s,
        shape.memory_mb * task_s,
        shape.n_accelerators * task_s,
    )
