"""What happens to a worker's tasks as its incarnations come, leave and are replaced."""

from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import (
    JobProgress,
    TaskState,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.assignments import Assignments
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.command_dispatcher import CommandDispatcher
from almondspan_jobs.crash_monitor import CrashMonitor
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.interference_monitor import InterferenceMonitor
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.messages import WorkerReport, WorkerUnreachable
from almondspan_jobs.options import JobOptions

__all__ = ["WorkerLifecycle"]

MAX_LOGGED_TASKS: Final = 8
"""Largest number of tasks that one log line names."""


class WorkerLifecycle:
    """Applies workers' reports, failed polls of them, and the expiry of their leases.

    Nothing is placed on a worker from a failed poll to its next listing; what it holds
    stays, since a worker without contact may still run it.
    """

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        assignments: Assignments,
        commands: CommandDispatcher,
        interference: InterferenceMonitor,
        crashes: CrashMonitor,
        options: JobOptions,
        log: EventLog,
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._assignments: Final = assignments
        self._commands: Final = commands
        self._interference: Final = interference
        self._crashes: Final = crashes
        self._options: Final = options
        self._log: Final = log
        self._departure_due_s: Final[dict[WorkerIncarnation, float]] = {}
        """When the tasks of an incarnation that has left are released."""

    def on_report(self, node: str, report: WorkerReport) -> None:
        """Handle a worker's report about itself, forwarded by its agent."""
        incarnation = WorkerIncarnation(report.worker_id, report.started_ms)
        known = self._fleet.workers.get(report.worker_id)
        if known is not None and known.incarnation.started_ms > report.started_ms:
            self._log.line(
                "report_outdated",
                worker=incarnation.worker_id,
                born=incarnation.started_ms,
            )
            return
        if report.has_left:
            self._on_left(incarnation)
            return
        if known is None or known.incarnation != incarnation:
            self._register(node, incarnation, report)
            return
        self._update(known, report)

    def on_unreachable(
        self, incarnation: WorkerIncarnation, report: WorkerUnreachable
    ) -> None:
        """Handle the first failed poll of a worker since its latest listing."""
        now_s = steady_s()
        if not self._fleet.mark_unreachable(incarnation, now_s):
            return
        self._crashes.on_silent(incarnation, now_s)
        self._log.line(
            "worker_unreachable",
            worker=incarnation.worker_id,
            born=incarnation.started_ms,
            verdict=report.verdict,
            n_tasks=len(self._fleet.held_by(incarnation)),
        )

    def on_listing(self, incarnation: WorkerIncarnation, now_s: float) -> None:
        """End the time in which a worker could not be polled."""
        unreachable_s = self._fleet.mark_reachable(incarnation)
        if not unreachable_s:
            return
        self._crashes.on_heard(incarnation)
        self._log.line(
            "worker_reachable",
            worker=incarnation.worker_id,
            born=incarnation.started_ms,
            after_ms=int((now_s - unreachable_s) * 1000),
        )
        self._table.needs_planning = True

    def _update(self, record: WorkerRecord, report: WorkerReport) -> None:
        """Apply what a known incarnation now says of itself."""
        worker_id = record.incarnation.worker_id
        if report.is_leaving and not record.is_leaving:
            self._log.line(
                "worker_leaving", worker=worker_id, leaves_ms=report.leaves_ms
            )
        record.is_leaving = report.is_leaving
        record.leaves_ms = report.leaves_ms
        capacity = _capacity(report)
        if capacity != record.capacity:
            self._log.line(
                "worker_capacity",
                worker=worker_id,
                before=str(record.capacity),
                now=str(capacity),
                free=str(capacity - record.used),
            )
            record.resize(capacity)
            self._fleet.mark_freed(record)
            self._table.needs_planning = True

    def _register(
        self, node: str, incarnation: WorkerIncarnation, report: WorkerReport
    ) -> None:
        """Add a new incarnation, which ends earlier ones of its worker or agent."""
        fleet = self._fleet
        record = WorkerRecord(
            incarnation,
            report.service,
            report.place,
            _capacity(report),
            frozenset(report.labels),
            is_leaving=report.is_leaving,
            leaves_ms=report.leaves_ms,
        )
        earlier = [
            old
            for old in fleet.leases
            if old.started_ms < incarnation.started_ms
            and (
                old.worker_id == incarnation.worker_id
                or fleet.home_agents.get(old) == node
            )
        ]
        now_s = steady_s()
        has_crashed = self._crashes.on_registered(node, incarnation)
        for old in earlier:
            has_crashed |= self._on_ended(old, incarnation, now_s)
        if has_crashed:
            record.crashed_s = now_s
        fleet.set_home_agent(incarnation, node)
        fleet.add(record)
        fleet.lease(incarnation)
        for old in earlier:
            self._on_replaced(old, incarnation)
        for job_id, key in fleet.held_by(incarnation):
            record.allocate(self._table[job_id].step_of(key))
        self._log.line(
            "worker_seen",
            worker=incarnation.worker_id,
            born=incarnation.started_ms,
            service=report.service,
            labels=report.labels,
            cpu=report.cpu_millicores,
            memory=report.memory_mb,
            leaving=report.is_leaving,
        )
        self._table.needs_planning = True

    def _on_ended(
        self, old: WorkerIncarnation, new: WorkerIncarnation, now_s: float
    ) -> bool:
        """Handle the end of an incarnation; return whether it had not been leaving."""
        record = self._fleet.record_of(old)
        is_leaving = record is not None and record.is_leaving
        held = self._fleet.held_by(old)
        unlisted = [
            format_task_name(job_id, key)
            for job_id, key in held
            if self._is_sent_but_unlisted(job_id, key)
        ]
        self._log.line(
            "worker_replaced",
            old=str(old),
            new=str(new),
            leaving=is_leaving,
            silent_ms=int((now_s - self._fleet.lease(old).listed_s) * 1000),
            n_tasks=len(held),
            n_unlisted=len(unlisted),
            unlisted=unlisted[:MAX_LOGGED_TASKS],
        )
        if is_leaving:
            return False
        self._crashes.on_crash(old, now_s)
        return True

    def _is_sent_but_unlisted(self, job_id: JobId, key: TaskKey) -> bool:
        task = self._table[job_id].task(key)
        assert task is not None
        return task.n_sends > 0 and not task.listed_s

    def _on_replaced(self, old: WorkerIncarnation, new: WorkerIncarnation) -> None:
        """Release or revoke the attempts of an incarnation that a later one replaced.

        Attempts that the old incarnation listed ended with it. A start command that is
        not known to have reached it may still reach a later incarnation of the same
        worker id, so such an attempt is revoked there first.
        """
        is_renamed = old.worker_id != new.worker_id
        unresolved = (
            () if is_renamed else self._commands.unresolved_starts(new.worker_id)
        )
        for job_id, key in self._fleet.held_by(old):
            job = self._table[job_id]
            task = job.task(key)
            assert task is not None
            name = format_task_name(job_id, key)
            was_here = task.listed_s and (name, task.n_attempts) not in unresolved
            if is_renamed or was_here or task.n_sends == 0:
                self._assignments.release(job, key, "worker_replaced")
            else:
                task.is_revoking = True
                task.sent_s = 0.0
        if not is_renamed:
            self._commands.stop_again(new.worker_id)
        self._forget(old)

    def _on_left(self, incarnation: WorkerIncarnation) -> None:
        record = self._fleet.record_of(incarnation)
        if record is None or incarnation in self._departure_due_s:
            return
        record.is_leaving = True
        self._departure_due_s[incarnation] = (
            steady_s() + self._options.departure_grace_s
        )
        self._log.line(
            "worker_left", worker=incarnation.worker_id, born=incarnation.started_ms
        )

    def _forget(self, incarnation: WorkerIncarnation) -> None:
        self._fleet.forget(incarnation)
        if incarnation not in self._fleet.leases:
            self._interference.forget(incarnation)

    def tick(self, now_s: float) -> None:
        """Release the tasks of gone workers, and move tasks off leaving ones."""
        self._crashes.tick(now_s)
        for incarnation, due_s in tuple(self._departure_due_s.items()):
            if now_s >= due_s:
                del self._departure_due_s[incarnation]
                self._assignments.release_all(incarnation, "worker_left")
                self._forget(incarnation)
        for incarnation, lease in tuple(self._fleet.leases.items()):
            if now_s > lease.surely_expired_s:
                self._crashes.on_lost(incarnation, now_s)
                self._assignments.release_all(incarnation, "lease_passed")
                self._forget(incarnation)
        for record in self._fleet.workers.values():
            if record.is_leaving:
                self._clear_leaving_worker(record, now_s)

    def _clear_leaving_worker(self, record: WorkerRecord, now_s: float) -> None:
        for job_id, key in self._fleet.held_by(record.incarnation):
            job = self._table[job_id]
            task = job.task(key)
            assert task is not None
            if task.is_stored:
                self._move_off(job, key, task, record, now_s)

    def _move_off(
        self,
        job: JobProgress,
        key: TaskKey,
        task: TaskState,
        record: WorkerRecord,
        now_s: float,
    ) -> None:
        """Stop a task on a leaving worker unless it can end in time."""
        step = job.step_of(key)
        if task.is_stopping:
            return
        done_s = (now_s - task.placed_s) if not step.saves_progress else 0.0
        left_ms = step.estimate_ms - done_s * 1000
        if step.lasts or left_ms > record.leaves_ms:
            task.request_stop()
            self._log.line(
                "task_moved_off",
                task=format_task_name(job.job_id, key),
                worker=record.incarnation.worker_id,
                left_ms=int(left_ms),
                leaves_ms=record.leaves_ms,
            )


def _capacity(report: WorkerReport) -> Shape:
    return Shape(report.cpu_millicores, report.memory_mb, report.n_accelerators)
