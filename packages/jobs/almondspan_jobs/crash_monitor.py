"""Counts the crashes of workers under the tasks that ran there, and acts on the blame.

`crash_blame` says which tasks are in doubt and which are blamed: such a task is given
up, or restarted after a pause if it lasts. The count of a task
is stored with its job, before the next start of the task leaves, so that it outlives
owners and restarts. A crash is proven for a task that the worker had confirmed or
listed, if the owner heard of the worker until it fell silent. It is unproven for one
that may have ended unheard, or whose start has no answer or was sent by an earlier
owner. A start that was refused, or whose answer is still expected, does not count.

A worker that is silent until its lease has expired may have crashed or may be cut off.
Its tasks are remembered: if it comes back as a later incarnation, it had crashed.

Which workers fell silent at the same moment is remembered too, with the jobs that they
ran, since a crash of several workers is no fault of a job that only some of them ran.
"""

from dataclasses import dataclass
from typing import Final

from almondspan_decisions.crash_blame import (
    CrashedTask,
    SilentWorker,
    blame,
    is_at_start,
    is_in_doubt,
    jobs_at_fault,
    point_reached_at_most,
    restart_pause_s,
)
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import (
    CrashBound,
    StartOutcome,
    WorkerIncarnation,
)
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.metrics import Metrics

__all__ = ["CrashMonitor"]

LOST_MEMORY_S: Final = 60.0
"""How long a worker is remembered after it fell silent, or its lease expired."""


@dataclass(frozen=True, slots=True)
class _StartedTask:
    """An attempt that a worker has started, or may have started."""

    job_id: JobId
    key: TaskKey
    attempt: int
    is_proven: bool
    """Whether the worker is known to have run it when it fell silent."""
    is_in_doubt: bool
    was_on_trial: bool
    ended_s: float
    """When the attempt ended at the latest."""
    bound: float
    """How far the attempt had come at most (see `point_reached`)."""
    is_at_start: bool


@dataclass(frozen=True, slots=True)
class _LostWorker:
    """A worker that was silent until its lease expired."""

    node: str
    """The agent that it reported to."""
    lost_s: float
    tasks: tuple[_StartedTask, ...]


class CrashMonitor:
    """Decides what the crash of a worker means for the tasks that it had."""

    def __init__(
        self, table: JobTable, fleet: Fleet, log: EventLog, metrics: Metrics
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._log: Final = log
        self._metrics: Final = metrics
        self._lost: Final[dict[WorkerIncarnation, _LostWorker]] = {}
        self._silent: Final[dict[WorkerIncarnation, SilentWorker]] = {}

    def on_silent(self, incarnation: WorkerIncarnation, now_s: float) -> None:
        """Remember when a worker fell silent, and the jobs that it ran."""
        tasks = self._started_tasks(incarnation, now_s)
        job_ids = frozenset(task.job_id for task in tasks)
        self._silent[incarnation] = SilentWorker(now_s, job_ids)

    def on_heard(self, incarnation: WorkerIncarnation) -> None:
        """Forget that a worker was silent."""
        self._silent.pop(incarnation, None)

    def on_crash(self, incarnation: WorkerIncarnation, now_s: float) -> None:
        """Count a crash for the tasks that the worker may have started."""
        record = self._fleet.record_of(incarnation)
        was_sound = record is None or not record.has_crashed_lately(now_s)
        tasks = self._started_tasks(incarnation, now_s)
        self._count_crash(incarnation, tasks, was_sound=was_sound)

    def on_lost(self, incarnation: WorkerIncarnation, now_s: float) -> None:
        """Remember the tasks of a worker whose lease has expired."""
        tasks = self._started_tasks(incarnation, now_s)
        if tasks:
            node = self._fleet.home_agents.get(incarnation, "")
            self._lost[incarnation] = _LostWorker(node, now_s, tasks)

    def on_registered(self, node: str, incarnation: WorkerIncarnation) -> bool:
        """Count the crashes of lost workers that an incarnation shows to have ended.

        Returns whether there was one.
        """
        has_crashed = False
        for old, lost in tuple(self._lost.items()):
            is_successor = old.worker_id == incarnation.worker_id or lost.node == node
            if is_successor and old.started_ms <= incarnation.started_ms:
                del self._lost[old]
                if old.started_ms < incarnation.started_ms:
                    has_crashed = True
                    self._count_crash(old, lost.tasks, was_sound=True)
        return has_crashed

    def tick(self, now_s: float) -> None:
        """Forget workers that were lost long ago."""
        for incarnation, lost in tuple(self._lost.items()):
            if now_s - lost.lost_s > LOST_MEMORY_S:
                del self._lost[incarnation]
        for incarnation, silent in tuple(self._silent.items()):
            if now_s - silent.silent_s > LOST_MEMORY_S:
                del self._silent[incarnation]

    def _started_tasks(
        self, incarnation: WorkerIncarnation, now_s: float
    ) -> tuple[_StartedTask, ...]:
        """Return the tasks that a worker has started, or may have started."""
        silent = self._silent.get(incarnation)
        last_s = silent.silent_s if silent is not None else now_s
        is_heard = silent is not None or self._fleet.has_recent_listing(
            incarnation, now_s
        )
        found = []
        for job_id, key in self._fleet.held_by(incarnation):
            job = self._table[job_id]
            task = job.task(key)
            assert task is not None
            if task.start in (StartOutcome.STARTED, StartOutcome.UNCERTAIN):
                found.append(
                    _StartedTask(
                        job_id,
                        key,
                        task.n_attempts,
                        is_heard and task.start is StartOutcome.STARTED,
                        is_in_doubt(task),
                        was_on_trial=task.needs_trial,
                        ended_s=last_s,
                        bound=point_reached_at_most(job.step_of(key), task, last_s),
                        is_at_start=is_at_start(task, last_s),
                    )
                )
        return tuple(found)

    def _count_crash(
        self,
        incarnation: WorkerIncarnation,
        started: tuple[_StartedTask, ...],
        *,
        was_sound: bool,
    ) -> None:
        self._metrics.count("worker_crashes")
        at_fault = self._jobs_at_fault(incarnation)
        tasks = [found for task in started if (found := self._crashed(task))]
        verdict = blame(tasks, was_worker_sound=was_sound, at_fault=at_fault)
        self._log.line(
            "crash_counted",
            worker=incarnation.worker_id,
            n_started=len(tasks),
            n_proven=len(verdict.proven),
            n_possible=len(verdict.possible),
            is_alone=at_fault is None,
        )
        attempts = {(task.job_id, task.key): task for task in started}
        for task in (*verdict.proven, *verdict.possible):
            bound = attempts[task.job_id, task.key].bound
            is_proven = task in verdict.proven
            self._count(task, CrashBound(bound, is_proven, task.is_at_start))
        for task in verdict.blamed:
            if self._table[task.job_id].step_of(task.key).lasts:
                ended_s = attempts[task.job_id, task.key].ended_s
                self._hold_back(task, incarnation, ended_s)
            else:
                self._give_up(task, incarnation, n_beside=len(tasks) - 1)

    def _jobs_at_fault(self, incarnation: WorkerIncarnation) -> frozenset[JobId] | None:
        """Return the jobs that may have crashed a worker; None stands for every job."""
        silent = self._silent.get(incarnation)
        if silent is None:
            return None
        others = (other for other in self._silent.values() if other is not silent)
        return jobs_at_fault(silent, others, len(self._fleet.workers))

    def _crashed(self, started: _StartedTask) -> CrashedTask | None:
        """Return a task that a crash concerns; None if it is known for the attempt.

        The crash of an earlier attempt's worker may become known later, when the worker
        comes back after its lease.
        """
        job = self._table.jobs.get(started.job_id)
        if job is None or not job.is_active:
            return None
        task = job.task(started.key)
        if task is None or started.attempt == task.crashed_attempt:
            return None
        task.crashed_attempt = max(task.crashed_attempt, started.attempt)
        job.mark_changed(started.key)
        self._table.mark_dirty(job)
        return CrashedTask(
            started.job_id,
            started.key,
            task.n_crashes,
            task.n_unproven_crashes,
            started.is_proven,
            started.is_in_doubt,
            started.was_on_trial,
            is_outlived=started.bound < task.survived,
            is_at_start=started.is_at_start,
            n_crashes_at_start=task.n_crashes_at_start,
        )

    def _count(self, crashed: CrashedTask, bound: CrashBound) -> None:
        job = self._table[crashed.job_id]
        task = job.task(crashed.key)
        assert task is not None
        task.record_crash(bound)
        task.needs_trial |= crashed.is_in_doubt
        job.mark_changed(crashed.key)
        self._table.mark_dirty(job)

    def _hold_back(
        self, crashed: CrashedTask, incarnation: WorkerIncarnation, ended_s: float
    ) -> None:
        """Let a lasting task wait for its next attempt, and make that a trial."""
        task = self._table[crashed.job_id].task(crashed.key)
        assert task is not None
        n_possible = task.n_crashes + task.n_unproven_crashes
        pause_s = restart_pause_s(n_possible)
        task.needs_trial = True
        task.not_before_s = ended_s + pause_s
        self._metrics.count("tasks_held_back")
        self._log.line(
            "task_held_back",
            task=format_task_name(crashed.job_id, crashed.key),
            worker=incarnation.worker_id,
            n_crashes=task.n_crashes,
            n_possible=n_possible,
            pause_s=pause_s,
        )

    def _give_up(
        self, crashed: CrashedTask, incarnation: WorkerIncarnation, n_beside: int
    ) -> None:
        job = self._table[crashed.job_id]
        task = job.task(crashed.key)
        assert task is not None
        job.is_failed = True
        self._metrics.count("tasks_given_up")
        self._log.line(
            "task_given_up",
            task=format_task_name(crashed.job_id, crashed.key),
            worker=incarnation.worker_id,
            n_crashes=task.n_crashes,
            n_possible=task.n_crashes + task.n_unproven_crashes,
            on_trial=crashed.was_on_trial,
            n_beside=n_beside,
        )
