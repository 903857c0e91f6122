"""Assigns attempts to workers and records how they ended.

An attempt is released only on proof that it does not run and can't start any more: its
listed end, the refusal of its first start command, its revocation (see
`AttemptRevoked`), a later incarnation of its worker, or the expiry of the worker's
lease.
"""

from typing import Final

from almondspan_decisions.best_effort_placement import BestEffortScores
from almondspan_decisions.crash_blame import N_CRASHES_APART
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    StartOutcome,
    WorkerIncarnation,
)
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable

__all__ = ["Assignments"]


class Assignments:
    """Which attempt is assigned to which worker incarnation."""

    def __init__(self, table: JobTable, fleet: Fleet, log: EventLog) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._log: Final = log

    def load(self, job: JobProgress) -> None:
        """Restore the assignments of a job after a takeover."""
        for key, task in job.placed():
            assert task.incarnation is not None
            task.is_stored = True
            task.n_sends = 1
            task.start = StartOutcome.UNCERTAIN
            task.is_inherited = True
            task.placed_s = task.percent_s = steady_s()
            self._fleet.hold(task.incarnation, (job.job_id, key))
            self._fleet.lease(task.incarnation)

    def place(
        self,
        job: JobProgress,
        key: TaskKey,
        worker: WorkerRecord,
        scores: BestEffortScores,
        now_s: float,
    ) -> None:
        """Assign the next attempt of a waiting task to a worker."""
        task = job.place(key, worker.incarnation, now_s)
        step = job.step_of(key)
        worker.allocate(step)
        n_affected = 0
        if step.fills:
            n_affected = scores.n_affected_by_start(step, worker)
            scores.deduct_start(step, worker)
        _add_doubts(worker, job, key)
        self._fleet.hold(worker.incarnation, (job.job_id, key))
        self._fleet.lease(worker.incarnation)
        self._log.line(
            "task_placed",
            task=format_task_name(job.job_id, key),
            attempt=task.n_attempts,
            worker=worker.incarnation.worker_id,
            born=worker.incarnation.started_ms,
            free_cpu=worker.free.cpu_millicores,
            free_memory=worker.free.memory_mb,
            fill_cpu=worker.best_effort_millicores,
            n_harmed=n_affected,
            checkpoint=task.checkpoint,
            waited_ms=int((now_s - self._table.seen_s(job)) * 1000),
        )

    def confirm(
        self,
        job: JobProgress,
        key: TaskKey,
        attempt: int,
        incarnation: WorkerIncarnation,
    ) -> bool:
        """Return whether a listed attempt is the assigned one.

        An attempt that a later incarnation of its worker executes is reassigned to it.
        """
        if job.is_assigned(key, attempt, incarnation):
            return True
        task = job.task(key)
        old = task.incarnation if task is not None else None
        if task is None or old is None or not job.adopt(key, attempt, incarnation):
            return False
        held = (job.job_id, key)
        task.is_revoking = False
        self._fleet.release(old, held)
        self._fleet.hold(incarnation, held)
        record = self._fleet.record_of(incarnation)
        if record is not None:
            record.allocate(job.step_of(key))
            _add_doubts(record, job, key)
        self._table.mark_dirty(job)
        self._log.line(
            "task_followed",
            task=format_task_name(job.job_id, key),
            attempt=attempt,
            worker=incarnation.worker_id,
            born=incarnation.started_ms,
            before=old.started_ms,
        )
        return True

    def end_trial(
        self, job: JobProgress, key: TaskKey, incarnation: WorkerIncarnation
    ) -> None:
        """Record that a task in doubt has run long enough on its worker."""
        task = job.task(key)
        assert task is not None
        task.needs_trial = False
        record = self._fleet.record_of(incarnation)
        if record is not None:
            record.trials.discard((job.job_id, key))
            self._fleet.mark_freed(record)
        self._table.needs_planning = True

    def end(
        self, job: JobProgress, key: TaskKey, kind: EndKind, checkpoint: str, why: str
    ) -> None:
        """Remove an assigned attempt from its worker and record its end."""
        task = job.task(key)
        assert task is not None and task.incarnation is not None
        incarnation = task.incarnation
        now_s = steady_s()
        self._log.line(
            "task_ended",
            task=format_task_name(job.job_id, key),
            attempt=task.n_attempts,
            how=why,
            worker=incarnation.worker_id,
            n_failed=task.n_failed,
            n_crashes=task.n_crashes,
            start=task.start.value,
            checkpoint=checkpoint,
            ran_ms=int((now_s - task.placed_s) * 1000),
        )
        self._fleet.release(incarnation, (job.job_id, key))
        record = self._fleet.record_of(incarnation)
        if record is not None:
            record.release(job.step_of(key))
            record.trials.discard((job.job_id, key))
            record.kept_apart.discard((job.job_id, key))
            self._fleet.mark_freed(record)
            self._record_outcome(record, job, kind, now_s)
        job.end(key, kind, checkpoint)
        self._table.apply_failure_limit(job)
        self._table.mark_dirty(job)
        self._table.needs_planning = True

    def _record_outcome(
        self, record: WorkerRecord, job: JobProgress, kind: EndKind, now_s: float
    ) -> None:
        if kind is EndKind.DONE:
            record.record_success()
        elif kind is EndKind.FAILED:
            self.record_failure(record, job, now_s, "failures")

    def record_failure(
        self, record: WorkerRecord, job: JobProgress, now_s: float, why: str
    ) -> None:
        """Count a failure of a worker, which may have to rest."""
        if record.record_failure(job.job_id, now_s):
            self._log.line(
                "worker_rested", worker=record.incarnation.worker_id, why=why
            )

    def release(self, job: JobProgress, key: TaskKey, reason: str) -> None:
        """Release an attempt that certainly does not run and can't start."""
        self.end(job, key, EndKind.INTERRUPTED, "", reason)

    def release_all(self, incarnation: WorkerIncarnation, reason: str) -> None:
        """Release every task of an incarnation that certainly runs nothing any more."""
        held = self._fleet.held_by(incarnation)
        if held:
            self._log.line(
                "worker_empty",
                worker=incarnation.worker_id,
                born=incarnation.started_ms,
                reason=reason,
                n_tasks=len(held),
            )
        for job_id, key in held:
            self.release(self._table[job_id], key, reason)


def _add_doubts(record: WorkerRecord, job: JobProgress, key: TaskKey) -> None:
    """Add a task to those of a worker that are on trial or kept apart, if it is one."""
    task = job.task(key)
    assert task is not None
    if task.needs_trial:
        record.trials.add((job.job_id, key))
    if task.n_crashes >= N_CRASHES_APART:
        record.kept_apart.add((job.job_id, key))
