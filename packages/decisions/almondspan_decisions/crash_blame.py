"""Which tasks to blame for the crash of a worker, and which to try apart from others.

A crash ends all tasks of a worker, and at most one of them has caused it. It is proven
to have happened under a task only if the worker is known to have started the task; a
start command that was sent to a crashed worker proves nothing.

1. A task that had not yet been seen running for `TRIAL_S` is in doubt: most tasks that
   crash a worker do so at their start. Its next attempt is a trial, and a worker runs
   one trial at a time (see `step_placement`), until the task has run for `TRIAL_S`.
2. If a worker crashes under a trial, the task has now twice been in doubt, and no other
   task there has. If both crashes are proven, it is the likely cause, and it is blamed
   if both came within `AT_START_S` of a start. A worker that had crashed shortly before
   shows nothing.
3. A task that crashes its workers later in its run is never alone in doubt. From the
   second crash on such tasks are kept apart where possible, and one under which
   `MAX_CRASHES` workers have crashed is blamed in any case.
4. If a large share of all workers falls silent at the same moment, they crash from one
   cause. It can only be a job that had tasks on each of them.
5. A crash that has such a cause, or of which another task is the likely cause, is only
   possible for a task, unless it is in doubt or has been on `N_CRASHES_APART` workers
   that crashed. It is only possible for any other task if the likely cause is blamed.
   So is a crash of a worker that has not answered the start.
   A task is blamed at `MAX_POSSIBLE_CRASHES`, possible and proven ones together.
6. A task would crash its workers at the same point of each attempt: after the same time
   if all attempts run alike, else with the same progress, since one that resumes from
   checkpoints or is held back takes another time to come there. A crash at a point that
   it has passed, in an earlier or a later attempt, is not its own and does not count.

A task that is blamed is given up, with its job. One that lasts is restarted in any
case, but after `restart_pause_s`, so that it can't take one worker after the other.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import StepSpec, TaskKey
from almondspan_decisions.job_progress import TaskState

__all__ = [
    "MAX_CRASHES",
    "MAX_POSSIBLE_CRASHES",
    "MAX_RESTART_PAUSE_S",
    "N_CRASHES_APART",
    "TRIAL_S",
    "CrashBlame",
    "CrashedTask",
    "SilentWorker",
    "blame",
    "is_at_start",
    "is_in_doubt",
    "jobs_at_fault",
    "point_reached",
    "point_reached_at_most",
    "restart_pause_s",
    "runs_alike",
]

MAX_CRASHES: Final = 3
"""Proven crashes after which a task is blamed, whatever else ran beside it."""

MAX_POSSIBLE_CRASHES: Final = 5
"""The same for proven and possible crashes; a task has two starts after the third."""

MIN_CRASHES: Final = 2
"""Proven crashes without which no failed trial shows anything."""

N_CRASHES_APART: Final = 2
"""Crashes after which a task is kept apart from others with as many."""

COMMON_CAUSE_S: Final = 0.1
"""Workers that fall silent within this time of each other do so from one cause."""

MIN_COMMON_CAUSE: Final = 4
"""Least number of workers with a common cause; fewer may each have their own."""

COMMON_CAUSE_SHARE: Final = 0.25
"""Least share of all workers with a common cause."""

AT_START_S: Final = 0.1
"""A crash within this time of the start of a task has come at its start."""

TRIAL_S: Final = 0.3
"""A task that has run for this long does not crash its worker by starting."""

MIN_MEASURED_S: Final = 0.8
"""Least time between two listings from which the speed of an attempt is measured."""

MAX_ACCELERATION: Final = 3.0
"""How much faster an attempt may become after its latest listing."""

PERCENT_MARGIN: Final = 2.0

MIN_RESTART_PAUSE_S: Final = 1.0
MAX_RESTART_PAUSE_S: Final = 6.0


@dataclass(frozen=True, slots=True)
class CrashedTask:
    """A task that a worker had started, or may have started, before it crashed."""

    job_id: JobId
    key: TaskKey
    n_crashes: int
    """Proven crashes that count for the task so far, without this one."""
    n_unproven_crashes: int
    """The same for crashes that are not proven."""
    is_proven: bool
    """Whether the worker is known to have started it."""
    is_in_doubt: bool
    was_on_trial: bool
    is_outlived: bool = False
    """Whether an earlier attempt has passed the point of the crash."""
    is_at_start: bool = False
    n_crashes_at_start: int = 0
    """Earlier crashes that count for the task and came at its start."""


@dataclass(frozen=True, slots=True)
class CrashBlame:
    """What a crash means for the tasks of its worker."""

    proven: tuple[CrashedTask, ...]
    """Tasks for which it counts as proven."""
    possible: tuple[CrashedTask, ...]
    """Tasks for which it counts as possible only."""
    blamed: tuple[CrashedTask, ...]
    """Those of both that are taken for the cause."""


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


def is_at_start(task: TaskState, ended_s: float) -> bool:
    """Return whether an attempt ended right after its worker confirmed the start."""
    return 0.0 <= ended_s - task.started_s < AT_START_S


def restart_pause_s(n_crashes: int) -> float:
    """Return how long a lasting task waits after its last run for the next one.

    The pause doubles with each crash, proven or possible, from the limit on.
    """
    n_doublings = max(0, n_crashes - MAX_CRASHES)
    return min(MIN_RESTART_PAUSE_S * 2.0**n_doublings, MAX_RESTART_PAUSE_S)


def runs_alike(step: StepSpec) -> bool:
    """Return whether all attempts at a task of a step begin and proceed alike."""
    return not step.saves_progress and not step.fills


def point_reached(step: StepSpec, task: TaskState) -> float:
    """Return how far the attempt had come in the latest listing.

    That is its run time in seconds if all attempts run alike, else its progress in
    percent; 0 for a lasting task whose attempts do not run alike.
    """
    if runs_alike(step):
        return task.ran_s
    return 0.0 if step.lasts else float(task.percent)


def point_reached_at_most(step: StepSpec, task: TaskState, ended_s: float) -> float:
    """Return how far the attempt can have come when it ended; infinity if unknown."""
    if runs_alike(step):
        return math.inf if task.is_inherited else ended_s - task.placed_s
    if step.lasts or not step.estimate_ms or (task.is_inherited and not task.listed_s):
        return math.inf
    if task.listed_s:
        reached, since_s = float(task.percent), task.listed_s
    else:
        reached = task.survived if step.saves_progress else 0.0
        since_s = task.placed_s
    gained = MAX_ACCELERATION * _percent_per_s(step, task) * (ended_s - since_s)
    return reached + gained + PERCENT_MARGIN


def _percent_per_s(step: StepSpec, task: TaskState) -> float:
    """Return the speed of the attempt, or of the estimate if it can't be measured."""
    if task.ran_s >= MIN_MEASURED_S:
        return (task.percent - task.first_percent) / task.ran_s
    return 100_000 / step.estimate_ms


def is_in_doubt(task: TaskState) -> bool:
    """Return whether a crash now may be due to the start of the task's attempt.

    Of an attempt that an earlier owner started, only listings to this owner are known;
    without one the task is not in doubt.
    """
    if task.is_inherited and not task.listed_s:
        return False
    return task.listed_s - task.placed_s < TRIAL_S


def blame(
    tasks: Sequence[CrashedTask],
    *,
    was_worker_sound: bool,
    at_fault: frozenset[JobId] | None,
) -> CrashBlame:
    """Decide for which tasks of a worker its crash counts, and which to blame.

    Parameters
    ----------
    tasks : sequence of CrashedTask
        All tasks that the worker had started, or may have started.
    was_worker_sound : bool
        Whether the worker had not crashed shortly before.
    at_fault : frozenset of JobId or None
        What `jobs_at_fault` returns.
    """
    likely = _failed_trial(tasks) if was_worker_sound else None
    counted = [task for task in tasks if not (task.is_outlived and task.is_proven)]
    suspects = tuple(task for task in counted if _is_suspect(task, likely, at_fault))
    proven = tuple(task for task in suspects if task.is_proven)
    possible = tuple(task for task in counted if task not in proven)
    blamed = tuple(
        task
        for task in counted
        if _is_at_limit(task, is_proven=task in proven)
        or (task is likely and _is_certain(task))
    )
    return CrashBlame(proven, possible, blamed)


def _is_certain(likely: CrashedTask) -> bool:
    """Return whether the likely cause of a crash must be its cause."""
    has_crashed_at_starts = likely.is_at_start and likely.n_crashes_at_start > 0
    return has_crashed_at_starts or likely.n_crashes + 1 >= MAX_CRASHES


def _is_at_limit(task: CrashedTask, *, is_proven: bool) -> bool:
    """Return whether a task may have no further crash, this one included."""
    n_crashes = task.n_crashes + is_proven
    n_possible = task.n_crashes + task.n_unproven_crashes + 1
    return n_crashes >= MAX_CRASHES or n_possible >= MAX_POSSIBLE_CRASHES


def _failed_trial(tasks: Sequence[CrashedTask]) -> CrashedTask | None:
    """Return the task whose trial the crash has ended, if it is the likely cause."""
    failed = [task for task in tasks if task.was_on_trial and task.is_in_doubt]
    if len(failed) != 1 or not failed[0].is_proven:
        return None
    return failed[0] if failed[0].n_crashes + 1 >= MIN_CRASHES else None


def _is_suspect(
    task: CrashedTask, likely: CrashedTask | None, at_fault: frozenset[JobId] | None
) -> bool:
    """Return whether a task is as likely to have crashed its worker as any other."""
    if likely is not None and _is_certain(likely):
        return task is likely
    if task.is_in_doubt or task.n_crashes >= N_CRASHES_APART:
        return True
    return likely is None and (at_fault is None or task.job_id in at_fault)
