"""Counts the crashes of workers under the tasks that ran there, and gives tasks up.

A crash ends every task of a worker, and one of them may have caused it. The count of a
task is stored with its job, before the next start of the task leaves, so that it
outlives owners and restarts. It includes starts that were only sent: the worker may
have crashed before it answered.

A worker that is silent until its lease has expired may have crashed or may be cut off.
Its tasks are remembered: if it comes back as a later incarnation, it had crashed.
"""

from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.metrics import Metrics

__all__ = ["MAX_CRASHES", "CrashMonitor"]

MAX_CRASHES: Final = 4
"""Crashes after which a task is given up, whatever else ran beside it."""

LOST_MEMORY_S: Final = 60.0
"""How long the tasks of a silent worker are remembered after its lease has expired."""


@dataclass(frozen=True, slots=True)
class _StartedTask:
    """A task that a worker was told to start, with the attempt."""

    job_id: JobId
    key: TaskKey
    attempt: int


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

    def on_crash(self, incarnation: WorkerIncarnation) -> None:
        """Count a crash for the tasks that the worker may have started."""
        self._count_crash(incarnation, self._started_tasks(incarnation))

    def on_lost(self, incarnation: WorkerIncarnation, now_s: float) -> None:
        """Remember the tasks of a worker whose lease has expired."""
        tasks = self._started_tasks(incarnation)
        if tasks:
            node = self._fleet.home_agents.get(incarnation, "")
            self._lost[incarnation] = _LostWorker(node, now_s, tasks)

    def on_registered(self, node: str, incarnation: WorkerIncarnation) -> None:
        """Count the crashes of lost workers that an incarnation shows to have ended."""
        for old, lost in tuple(self._lost.items()):
            is_successor = old.worker_id == incarnation.worker_id or lost.node == node
            if is_successor and old.started_ms <= incarnation.started_ms:
                del self._lost[old]
                if old.started_ms < incarnation.started_ms:
                    self._count_crash(old, lost.tasks)

    def tick(self, now_s: float) -> None:
        """Forget workers that were lost long ago."""
        for incarnation, lost in tuple(self._lost.items()):
            if now_s - lost.lost_s > LOST_MEMORY_S:
                del self._lost[incarnation]

    def _started_tasks(
        self, incarnation: WorkerIncarnation
    ) -> tuple[_StartedTask, ...]:
        """Return the tasks of a worker with a start command that was sent."""
        found = []
        for job_id, key in self._fleet.held_by(incarnation):
            task = self._table[job_id].task(key)
            if task is not None and task.n_sends:
                found.append(_StartedTask(job_id, key, task.n_attempts))
        return tuple(found)

    def _count_crash(
        self, incarnation: WorkerIncarnation, tasks: tuple[_StartedTask, ...]
    ) -> None:
        self._metrics.count("worker_crashes")
        for started in tasks:
            job = self._table.jobs.get(started.job_id)
            if job is None or not job.is_active:
                continue
            if not job.record_crash(started.key, started.attempt):
                continue
            task = job.task(started.key)
            assert task is not None
            if task.n_crashes >= MAX_CRASHES:
                job.is_failed = True
                self._metrics.count("tasks_given_up")
                self._log.line(
                    "task_given_up",
                    task=format_task_name(started.job_id, started.key),
                    worker=incarnation.worker_id,
                    n_crashes=task.n_crashes,
                    n_beside=len(tasks) - 1,
                )
            self._table.mark_dirty(job)
