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
4. A start without an answer may have crashed its worker. Such crashes can't be proven,
   but a task is given up if there are `MAX_POSSIBLE_CRASHES` with those that are.
"""

from collections.abc import Sequence
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
    "is_in_doubt",
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
