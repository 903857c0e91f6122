"""Follows the assigned attempts through the listings of their workers.

A listing renews the worker's lease, ends attempts and shows their progress. Ends are
acknowledged once the decision that results from them is stored. An attempt that its
worker does not list is revoked, unless a full list may hide its end; one without
progress is stopped and tried elsewhere.
"""

from collections.abc import Callable, Mapping
from typing import Final

from almondspan_decisions.crash_blame import is_in_doubt, point_reached
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    TaskState,
    WorkerIncarnation,
)
from almondspan_decisions.worker_lease import WorkerLease
from almondspan_jobs.assignments import Assignments
from almondspan_jobs.command_dispatcher import CommandDispatcher
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.messages import LeaseRenewal, WorkerListing
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.run_time_monitor import RunTimeMonitor
from almondspan_platform.task_worker import EndReason
from almondspan_wire.codec import Message

__all__ = ["AttemptMonitor"]

STALL_ESTIMATE_SHARE: Final = 0.25
"""A task may be without progress for this share of its estimated run time."""

_END_KINDS: Final[Mapping[str, EndKind]] = {
    EndReason.DONE.value: EndKind.DONE,
    EndReason.FAILED.value: EndKind.FAILED,
    EndReason.STOPPED.value: EndKind.INTERRUPTED,
    EndReason.LAPSED.value: EndKind.INTERRUPTED,
    EndReason.GANG_BROKEN.value: EndKind.INTERRUPTED,
    EndReason.GANG_INCOMPLETE.value: EndKind.INTERRUPTED,
}


class AttemptMonitor:
    """Applies listings to the assigned attempts, and checks them as time passes."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        assignments: Assignments,
        commands: CommandDispatcher,
        run_times: RunTimeMonitor,
        post: Callable[[WorkerId, Message], bool],
        confirmed_s: Callable[[], float],
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._assignments: Final = assignments
        self._commands: Final = commands
        self._run_times: Final = run_times
        self._post: Final = post
        self._confirmed_s: Final = confirmed_s
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics

    def on_listing(
        self, incarnation: WorkerIncarnation, listing: WorkerListing, now_s: float
    ) -> None:
        """Handle a worker's listing, and renew its lease."""
        lease = self._fleet.lease(incarnation)
        lease.listed_s = now_s
        lease.clock_ms = listing.clock_ms
        lease.lists_all_ends = listing.lists_all_ends
        for end in listing.ended:
            self._on_end(incarnation, lease, end)
        for row in listing.running:
            self._on_running(incarnation, row, listing, now_s)
        grew = lease.renewal(listing.clock_ms, now_s, self._confirmed_s())
        acknowledged = lease.acknowledge_stored(self._table.is_stored)
        if grew or acknowledged:
            self._send_renewal(incarnation, lease)

    def acknowledge_stored(self) -> None:
        """Acknowledge the ends whose decisions are stored now."""
        for incarnation, lease in self._fleet.leases.items():
            if lease.unacknowledged and lease.acknowledge_stored(self._table.is_stored):
                self._send_renewal(incarnation, lease)

    def _send_renewal(self, incarnation: WorkerIncarnation, lease: WorkerLease) -> None:
        renewal = LeaseRenewal(
            incarnation.started_ms, lease.until_ms, lease.n_acknowledged
        )
        self._post(incarnation.worker_id, renewal)

    def _on_end(
        self,
        incarnation: WorkerIncarnation,
        lease: WorkerLease,
        row: tuple[int, str, int, str, str],
    ) -> None:
        number, name, attempt, how, checkpoint = row
        if number <= lease.n_seen:
            return
        lease.n_seen = number
        found = self._table.find_task(name)
        if found is None or not self._assignments.confirm(*found, attempt, incarnation):
            lease.unacknowledged.append((number, None, 0))
            self._log.line(
                "end_ignored",
                task=name,
                attempt=attempt,
                how=how,
                worker=incarnation.worker_id,
                reason="the attempt is not assigned to this incarnation",
            )
            return
        job, key = found
        # An agent of a later release may know other ends; the attempt is over.
        kind = _END_KINDS.get(how, EndKind.INTERRUPTED)
        if kind is EndKind.DONE:
            self._run_times.on_done(job, key, lease.listed_s)
        self._assignments.end(job, key, kind, checkpoint, how)
        lease.unacknowledged.append((number, job.job_id, self._table.version(job)))

    def _on_running(
        self,
        incarnation: WorkerIncarnation,
        row: tuple[str, int, str, int, float],
        listing: WorkerListing,
        now_s: float,
    ) -> None:
        name, attempt, checkpoint, percent, _ = row
        found = self._table.find_task(name)
        if found is None or not self._assignments.confirm(*found, attempt, incarnation):
            self._commands.stop_unassigned(incarnation, name, attempt, now_s)
            return
        job, key = found
        task = job.task(key)
        assert task is not None
        if not task.listed_s:
            self._metrics.observe_s("start", now_s - task.placed_s)
            task.percent_s = now_s
        task.listed_s = now_s
        task.record_start(is_proven=True)
        if task.needs_trial and not is_in_doubt(task):
            self._assignments.end_trial(job, key, incarnation)
        if checkpoint:
            task.checkpoint = checkpoint
        task.record_listing(listing.clock_ms, percent)
        is_held = listing.is_paced and job.step_of(key).fills
        if percent > task.percent or is_held:
            before, task.percent = task.percent, percent
            task.percent_s = now_s
            self._run_times.on_progress(job, key, before)
        self._check_crashes(job, key, task)

    def _check_crashes(self, job: JobProgress, key: TaskKey, task: TaskState) -> None:
        """Take back the crashes that the attempt has outlived."""
        n_disproved = task.record_point(point_reached(job.step_of(key), task))
        if n_disproved:
            job.mark_changed(key)
            self._table.mark_dirty(job)
            self._log.line(
                "crashes_disproved",
                task=format_task_name(job.job_id, key),
                attempt=task.n_attempts,
                n_disproved=n_disproved,
                n_crashes=task.n_crashes,
                survived=round(task.survived, 1),
            )

    def tick(self, now_s: float) -> None:
        """Check every attempt, and send the commands that are due."""
        for incarnation, held in tuple(self._fleet.held.items()):
            is_fresh = self._fleet.has_recent_listing(incarnation, now_s)
            lists_all_ends = self._fleet.lease(incarnation).lists_all_ends
            for job_id, key in tuple(held):
                job = self._table[job_id]
                task = job.task(key)
                assert task is not None
                if not task.is_stored:
                    continue
                if is_fresh:
                    if lists_all_ends:
                        self._check_presence(task, now_s)
                    self._check_progress(job, key, task, now_s)
                self._commands.send_due(job, key, task, now_s)

    def _check_presence(self, task: TaskState, now_s: float) -> None:
        """Revoke an attempt that its worker does not list."""
        # Storing the assignment may take long, and only then is the start sent.
        seen_s = max(task.listed_s, task.placed_s, task.first_sent_s)
        if task.n_sends and not task.is_revoking:
            task.is_revoking = now_s - seen_s > self._options.listing_timeout_s

    def _check_progress(
        self, job: JobProgress, key: TaskKey, task: TaskState, now_s: float
    ) -> None:
        """Stop an attempt that is stalled."""
        step = job.step_of(key)
        if step.lasts or task.is_stopping or not task.listed_s:
            return
        limit_s = (
            self._options.best_effort_stall_s if step.fills else self._options.stall_s
        )
        limit_s = max(limit_s, step.estimate_ms / 1000 * STALL_ESTIMATE_SHARE)
        if now_s - task.percent_s <= limit_s:
            return
        assert task.incarnation is not None
        task.request_stop()
        task.avoid(task.incarnation.worker_id)
        self._log.line(
            "task_stalled",
            task=format_task_name(job.job_id, key),
            worker=task.incarnation.worker_id,
            percent=task.percent,
            still_s=round(now_s - task.percent_s, 2),
        )
        record = self._fleet.workers.get(task.incarnation.worker_id)
        if record is not None:
            self._assignments.record_failure(record, job, now_s, "stalls")
