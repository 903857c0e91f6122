"""The owner's decisions about all jobs and workers, without input or output.

1. Events change the state: stored and cancelled jobs, workers' reports and listings,
   answers to commands, and time. A changed job is `dirty`.
2. `plan` assigns waiting tasks, most urgent queue first, oldest job first.
3. `snapshot` returns the records of dirty jobs; once they are stored, `on_stored`
   sends the commands that the stored assignments permit.
4. `tick` repeats commands without a visible effect, revokes attempts that their worker
   does not list, moves tasks off leaving workers, and releases the tasks of a silent
   worker once its lease has certainly expired.

`Scheduler` is the last of a chain of subclasses: `OwnerState`, `InterferenceMonitor`,
`CommandDispatcher`, `Preemptor`, `Planner`, `BestEffortMover`.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    JobState,
    TaskPhase,
    TaskState,
    WorkerIncarnation,
)
from almondspan_decisions.worker_lease import WorkerLease
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.best_effort_mover import BestEffortMover
from almondspan_jobs.clocks import steady_s, wall_ms
from almondspan_jobs.messages import LeaseRenewal, WorkerListing
from almondspan_jobs.records import cancel_key, encode_progress, job_key, progress_key
from almondspan_platform.group_store import Write
from almondspan_platform.task_worker import EndReason

__all__ = ["Scheduler", "Snapshot"]

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


@dataclass(slots=True)
class Snapshot:
    """A group of records to store, with the job versions and states in them."""

    writes: tuple[Write, ...]
    versions: dict[JobId, int]
    states: dict[JobId, JobState]
    assigned: list[tuple[JobId, TaskKey, int]]
    """Attempts whose assignments the group stores: job, task and attempt."""


class Scheduler(BestEffortMover):
    """Applies listings, completed writes and time to the owner's state."""

    def on_listing(
        self, incarnation: WorkerIncarnation, listing: WorkerListing
    ) -> None:
        """Handle a worker's listing, and renew its lease."""
        now_s = steady_s()
        lease = self._lease(incarnation)
        lease.listed_s = now_s
        for end in listing.ended:
            self._on_end(incarnation, lease, end)
        for row in listing.running:
            self._on_running(incarnation, row, now_s, listing.is_paced)
        self._observe_tail_latencies(incarnation, listing, now_s)
        grew = lease.renewal(listing.clock_ms, now_s, self._confirmed_s())
        acknowledged = lease.acknowledge_stored(self._is_stored)
        if grew or acknowledged:
            self._send_renewal(incarnation, lease)

    def _is_stored(self, job_id: JobId, version: int) -> bool:
        """Return whether a version of a job is stored, or the job dropped."""
        if job_id not in self.jobs:
            return True
        return self._stored_version.get(job_id, 0) >= version

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
        found = self._find_task(name)
        if found is None or not self._confirm_assignment(*found, attempt, incarnation):
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
        self._end_attempt(job, key, _END_KINDS[how], checkpoint, how)
        version = self._tracking[job.job_id].version
        lease.unacknowledged.append((number, job.job_id, version))

    def _on_running(
        self,
        incarnation: WorkerIncarnation,
        row: tuple[str, int, str, int, float],
        now_s: float,
        is_paced: bool,
    ) -> None:
        name, attempt, checkpoint, percent, _ = row
        found = self._find_task(name)
        if found is None or not self._confirm_assignment(*found, attempt, incarnation):
            self._stop_unassigned(incarnation, name, attempt, now_s)
            return
        job, key = found
        task = job.task(key)
        assert task is not None
        if not task.listed_s:
            self._metrics.observe_s("start", now_s - task.placed_s)
        task.listed_s = now_s
        if checkpoint:
            task.checkpoint = checkpoint
        is_held = is_paced and job.step_of(key).fills
        if percent > task.percent or is_held:
            task.percent = percent
            task.percent_s = now_s

    @property
    def is_dirty(self) -> bool:
        """Return whether there are changes to store."""
        return bool(self._dirty)

    def snapshot(self) -> Snapshot:
        """Return the records of a limited number of dirty jobs, and mark them clean."""
        chosen = list(self._dirty)[: self._options.max_jobs_per_commit]
        result = Snapshot((), {}, {}, [])
        writes = [self._home_agents_write()] if self._are_home_agents_dirty else []
        if (
            steady_s() - self._interference_stored_s
            > self._options.interference_store_interval_s
        ):
            writes.append(self._interference_write())
        for job_id in chosen:
            del self._dirty[job_id]
            job = self.jobs[job_id]
            writes.append(Write(progress_key(job_id), encode_progress(job)))
            result.versions[job_id] = self._tracking[job_id].version
            result.states[job_id] = job.state
            result.assigned += [
                (job_id, key, task.n_attempts)
                for key, task in job.placed()
                if not task.is_stored
            ]
        result.writes = tuple(writes)
        return result

    def on_stored(self, stored: Snapshot) -> None:
        """Send the commands that a stored group permits."""
        self._stored_version.update(stored.versions)
        self.stored_states.update(stored.states)
        now_s = steady_s()
        for job_id, key, attempt in stored.assigned:
            job = self.jobs.get(job_id)
            task = job.task(key) if job is not None else None
            if job is None or task is None or task.phase is not TaskPhase.PLACED:
                continue
            if task.n_attempts == attempt:
                task.is_stored = True
                self._send_command(job, key, task, now_s)
        for incarnation, lease in self._leases.items():
            if lease.unacknowledged and lease.acknowledge_stored(self._is_stored):
                self._send_renewal(incarnation, lease)

    def tick(self) -> None:
        """Perform the actions that are due."""
        now_s = steady_s()
        for incarnation, due_s in tuple(self._departure_due_s.items()):
            if now_s >= due_s:
                del self._departure_due_s[incarnation]
                self._release_all(incarnation, "worker_left")
                self._forget_worker(incarnation)
        for incarnation, lease in tuple(self._leases.items()):
            self._tick_incarnation(incarnation, lease, now_s)
        self._add_due_occurrences()
        self._update_model(now_s)
        self._move_slow_tasks(now_s)
        for starts in self._unresolved_starts.values():
            for name, sent_s in tuple(starts.items()):
                if now_s - sent_s > self._options.late_command_s:
                    del starts[name]
        self._unassigned_stops = {
            name: sent_s
            for name, sent_s in self._unassigned_stops.items()
            if now_s - sent_s < self._options.command_resend_s
        }
        if self._placeable:
            self.needs_planning = True

    def _tick_incarnation(
        self, incarnation: WorkerIncarnation, lease: WorkerLease, now_s: float
    ) -> None:
        if now_s > lease.surely_expired_s:
            self._release_all(incarnation, "lease_passed")
            self._forget_worker(incarnation)
            return
        is_fresh = now_s - lease.listed_s < self._options.listing_timeout_s
        record = self.workers.get(incarnation.worker_id)
        for job_id, key in tuple(self._tasks_by_incarnation.get(incarnation, ())):
            job = self.jobs[job_id]
            task = job.task(key)
            assert task is not None
            if not task.is_stored:
                continue
            if record is not None and record.is_leaving:
                self._move_off_leaving_worker(job, key, task, record, now_s)
            if is_fresh:
                self._check_attempt(job, key, task, now_s)
            self._send_command(job, key, task, now_s)

    def _move_off_leaving_worker(
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

    def _check_attempt(
        self, job: JobProgress, key: TaskKey, task: TaskState, now_s: float
    ) -> None:
        """Revoke an attempt that its worker does not list; stop one that is stalled."""
        seen_s = max(task.listed_s, task.placed_s)
        if task.n_sends and not task.is_revoking:
            task.is_revoking = now_s - seen_s > self._options.listing_timeout_s
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
        record = self.workers.get(task.incarnation.worker_id)
        if record is not None and record.record_failure(job.job_id, now_s):
            self._log.line(
                "worker_rested", worker=task.incarnation.worker_id, why="stalls"
            )

    def _add_due_occurrences(self) -> None:
        now_ms = wall_ms()
        for job in self.jobs.values():
            if len(job.occurrences) < job.spec.n_total_occurrences and job.is_active:
                if job.add_due_occurrences(now_ms):
                    self._mark_dirty(job)

    def forget_finished(self) -> tuple[str, ...]:
        """Drop finished jobs past their retention time; return the keys to remove."""
        limit_ms = wall_ms() - int(self._options.finished_retention_s * 1000)
        old = [
            job.job_id
            for job in self.jobs.values()
            if job.finished_ms and job.finished_ms < limit_ms and not job.n_placed
        ][: self._options.max_jobs_per_commit // 2]
        for job_id in old:
            del self.jobs[job_id], self.stored_states[job_id], self._tracking[job_id]
            self._stored_version.pop(job_id, None)
            self._dirty.pop(job_id, None)
        return tuple(
            key
            for job_id in old
            for key in (job_key(job_id), cancel_key(job_id), progress_key(job_id))
        )
