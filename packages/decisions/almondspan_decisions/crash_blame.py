"""Which tasks of a crashed worker to give up, and which to try apart from each other.

A crash ends all tasks of a worker, and at most one of them has caused it. It is proven
to have happened under a task only if the worker is known to have started the task; a
start command that was sent to a crashed worker proves nothing.

1. A task that had not yet been seen running for `TRIAL_S` is in doubt: most tasks that
   crash a worker do so at their start. Its next attempt is a trial, and a worker runs
   one trial at a time (see `step_placement`), until the task has run for `TRIAL_S`.
2. If a worker crashes under a trial, the task has now twice been in doubt, and no other
   task there has: it is given up, if both crashes are proven. A worker that had crashed
   shortly before proves nothing.
3. A task that crashes its workers later in its run is never alone in doubt. From the
   second crash on such tasks are kept apart where possible, and one under which
   `MAX_CRASHES` workers have crashed is given up in any case.
4. If a large share of all workers falls silent at the same moment, they crash from one
   cause. It can only be a job that had tasks on each of them. For other jobs' tasks the
   crash does not count, unless they are in doubt, their start is uncertain, or
   `N_CRASHES_APART` crashes count for them already.
5. A start without an answer may have crashed its worker. Such crashes can't be proven,
   but a task is given up if there are `MAX_POSSIBLE_CRASHES` with those that are.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import TaskKey
from almondspan_decisions.job_progress import TaskState

__all__ = [
    "MAX_CRASHES",
    "MAX_POSSIBLE_CRASHES",
    "N_CRASHES_APART",
    "TRIAL_S",
    "CrashedTask",
    "SilentWorker",
    "is_in_doubt",
    "jobs_at_fault",
    "tasks_to_give_up",
]

MAX_CRASHES: Final = 4
"""Proven crashes after which a task is given up, whatever else ran beside it."""

MAX_POSSIBLE_CRASHES: Final = 5
"""The same for all crashes that may have happened under the task."""

MIN_CRASHES: Final = 2
"""Proven crashes without which no failed trial proves anything."""

N_CRASHES_APART: Final = 2
"""Crashes after which a task is kept apart from others with as many."""

COMMON_CAUSE_S: Final = 0.1
"""Workers that fall silent within this time of each other do so from one cause."""

MIN_COMMON_CAUSE: Final = 4
"""Least number of workers with a common cause; fewer may each have their own."""

COMMON_CAUSE_SHARE: Final = 0.25
"""Least share of all workers with a common cause."""

TRIAL_S: Final = 0.3
"""A task that has run for this long does not crash its worker by starting."""


@dataclass(frozen=True, slots=True)
class CrashedTask:
    """A task that a worker had been told to start before it crashed."""

    job_id: JobId
    key: TaskKey
    n_crashes: int
    """Proven crashes of the task's workers, this one included."""
    n_possible_crashes: int
    """Proven and unproven crashes, this one included."""
    has_failed_trial: bool
    """Whether the task was on trial there and is still in doubt."""


@dataclass(frozen=True, slots=True)
class SilentWorker:
    """A worker that has fallen silent, and the jobs with tasks that it may have run."""

    silent_s: float
    job_ids: frozenset[JobId]


def jobs_at_fault(
    worker: SilentWorker, others: Iterable[SilentWorker], n_workers: int
) -> frozenset[JobId] | None:
    """Return the jobs that may have silenced a worker and all that fell silent with it.

    None stands for every job: too few of the `n_workers` fell silent at that moment.
    """
    peers = [
        other
        for other in others
        if abs(other.silent_s - worker.silent_s) < COMMON_CAUSE_S
    ]
    n_silent = len(peers) + 1
    if n_silent < max(MIN_COMMON_CAUSE, COMMON_CAUSE_SHARE * n_workers):
        return None
    return worker.job_ids.intersection(*(peer.job_ids for peer in peers))


def is_in_doubt(task: TaskState) -> bool:
    """Return whether a task may have crashed its worker by starting there.

    Of an attempt that an earlier owner started, only listings to this owner are known;
    without one the task is not in doubt.
    """
    if task.is_inherited and not task.listed_s:
        return False
    return task.listed_s - task.placed_s < TRIAL_S


def tasks_to_give_up(
    tasks: Sequence[CrashedTask], *, was_worker_sound: bool
) -> list[CrashedTask]:
    """Return the tasks to give up after the crash of a worker that had `tasks`."""
    failed = [task for task in tasks if task.has_failed_trial]
    is_certain = len(failed) == 1 and was_worker_sound
    return [task for task in tasks if _is_at_limit(task)] + [
        task
        for task in failed
        if is_certain and task.n_crashes >= MIN_CRASHES and not _is_at_limit(task)
    ]


def _is_at_limit(task: CrashedTask) -> bool:
    return (
        task.n_crashes >= MAX_CRASHES or task.n_possible_crashes >= MAX_POSSIBLE_CRASHES
    )
