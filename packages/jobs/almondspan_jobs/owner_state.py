"""The owner's state of jobs and workers, and the events that change it.

An attempt is released only on proof that it does not run and can't start any more: its
listed end, the refusal of its first start command, its revocation (see
`AttemptRevoked`), a later incarnation of its worker, or the expiry of the worker's
lease. A changed job is `dirty` until its record is stored.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    TaskKey,
    format_task_name,
    parse_task_name,
)
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    JobState,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_latency_model import (
    InterferenceWeights,
    TailLatencyModel,
)
from almondspan_decisions.worker_lease import LeaseTerms, WorkerLease
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.clocks import steady_s, wall_ms
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import InterferenceUpdate, StopCommand, WorkerReport
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import HOME_AGENTS_KEY, HomeAgentsRecord, encode_record
from almondspan_platform.group_store import Write
from almondspan_wire.codec import Message

__all__ = ["OwnerState", "MAX_START_SENDS"]

_UNKNOWN_QUEUE: Final = 1
"""Allowed failures of a task whose queue is no longer configured."""

MAX_START_SENDS: Final = 3
"""After this many unanswered start commands the attempt is revoked instead."""


@dataclass(slots=True)
class _JobTracking:
    """What the owner tracks of a job besides its progress."""

    version: int = 0
    """Rises with every change of the job."""
    seen_s: float = field(default_factory=steady_s)
    """When the owner first saw the job."""


class OwnerState:
    """Jobs, workers, leases, and the tasks assigned to each worker incarnation."""

    def __init__(
        self,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
        post: Callable[[WorkerId, Message], bool],
        confirmed_s: Callable[[], float],
    ) -> None:
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._post: Final = post
        self._confirmed_s: Final = confirmed_s
        self._terms: Final = LeaseTerms(
            options.lease_ms / 1000,
            options.lease_step_ms / 1000,
            options.clock_drift,
            options.lease_margin_s,
            options.unconfirmed_s,
        )
        self._started_s: Final = steady_s()
        self.rules: Mapping[QueueName, QueueRules] = {}
        self.jobs: dict[JobId, JobProgress] = {}
        self.stored_states: dict[JobId, JobState] = {}
        """Job states as last stored; callers are only told these."""
        self.workers: dict[WorkerId, WorkerRecord] = {}
        self._leases: dict[WorkerIncarnation, WorkerLease] = {}
        self._home_agents: dict[WorkerIncarnation, str] = {}
        """The agent that each incarnation reported to."""
        self._are_home_agents_dirty = False
        self._tasks_by_incarnation: dict[
            WorkerIncarnation, set[tuple[JobId, TaskKey]]
        ] = {}
        self._tracking: dict[JobId, _JobTracking] = {}
        self._stored_version: dict[JobId, int] = {}
        """The version of each job that was last stored."""
        self._dirty: dict[JobId, None] = {}
        """Jobs with changes to store, in the order of their first change."""
        self._placeable: set[JobId] = set()
        """Jobs with tasks that wait for placement."""
        self._unassigned_stops: dict[tuple[str, int], float] = {}
        """Send time of the last stop of an unassigned attempt, by task and attempt."""
        self._unresolved_starts: dict[WorkerId, dict[tuple[str, int], float]] = {}
        """Start commands without a definite answer: send time by task and attempt."""
        self._departure_due_s: dict[WorkerIncarnation, float] = {}
        """When the tasks of an incarnation that has left are released."""
        self._model: Final = TailLatencyModel()
        self._interference = InterferenceWeights({})
        self._model_solved_s = 0.0
        self._best_effort_scan_s = 0.0
        self._last_capacity_move_s = 0.0
        self._interference_stored_s = steady_s()
        self._observed_s: dict[WorkerIncarnation, float] = {}
        self._interference_sent: dict[WorkerIncarnation, InterferenceUpdate] = {}
        """The weights last sent to each worker's agent."""
        self.needs_planning = False

    def _find_task(self, name: str) -> tuple[JobProgress, TaskKey] | None:
        """Return the job and the key of a task by its name; None if it is unknown."""
        parsed = parse_task_name(name)
        job = self.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or job is None or job.task(parsed[1]) is None:
            return None
        return job, parsed[1]

    def load(self, job: JobProgress) -> None:
        """Load a job with its stored progress after a takeover."""
        self.jobs[job.job_id] = job
        self._tracking[job.job_id] = _JobTracking()
        self.stored_states[job.job_id] = job.state
        for key, task in job.placed():
            assert task.incarnation is not None
            task.is_stored = True
            task.n_sends = 1
            task.placed_s = task.percent_s = steady_s()
            starts = self._unresolved_starts.setdefault(task.incarnation.worker_id, {})
            name = format_task_name(job.job_id, key)
            starts[(name, task.n_attempts)] = steady_s()
            self._tasks_by_incarnation.setdefault(task.incarnation, set()).add(
                (job.job_id, key)
            )
            self._lease(task.incarnation)
        self._update_placeable(job)

    def add_job(self, job_id: JobId, spec: JobSpec) -> None:
        """Add a stored job; a known one is left unchanged."""
        if job_id in self.jobs:
            return
        job = JobProgress(job_id, spec)
        self.jobs[job_id] = job
        self._tracking[job_id] = _JobTracking()
        self.stored_states[job_id] = JobState.PENDING
        job.add_due_occurrences(wall_ms())
        self._update_placeable(job)
        self._log.line(
            "job_seen",
            job=job_id,
            queue=spec.queue,
            n_steps=len(spec.steps),
            n_tasks=sum(step.n_tasks for step in spec.steps),
            after_ms=wall_ms() - spec.accepted_ms,
        )

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job unless it has already reached a final state."""
        job = self.jobs.get(job_id)
        if job is None or not job.is_active:
            return
        job.is_cancelled = True
        self._mark_dirty(job)
        self._log.line("job_cancelled", job=job_id, n_placed=job.n_placed)

    def n_pending(self, queue: QueueName) -> int:
        """Return the number of pending jobs of a queue."""
        return sum(
            state is JobState.PENDING and self.jobs[job_id].spec.queue == queue
            for job_id, state in self.stored_states.items()
        )

    def _mark_dirty(self, job: JobProgress) -> None:
        if not job.is_active and not job.finished_ms:
            job.finished_ms = wall_ms()
            self._log.line("job_ended", job=job.job_id, state=job.state.value)
        self._tracking[job.job_id].version += 1
        self._dirty[job.job_id] = None
        self._update_placeable(job)

    def _update_placeable(self, job: JobProgress) -> None:
        if job.is_active and next(job.ready_steps(), None) is not None:
            self._placeable.add(job.job_id)
            self.needs_planning = True
        else:
            self._placeable.discard(job.job_id)

    def _max_failures(self, job: JobProgress) -> int:
        rules = self.rules.get(job.spec.queue)
        return rules.max_failures if rules is not None else _UNKNOWN_QUEUE

    def _lease(self, incarnation: WorkerIncarnation) -> WorkerLease:
        lease = self._leases.get(incarnation)
        if lease is None:
            empty_s = max(
                self._terms.inherited_expiry_s(self._started_s),
                steady_s() + self._terms.lease_s,
            )
            lease = self._leases[incarnation] = WorkerLease(self._terms, empty_s)
        return lease

    def load_home_agents(
        self, home_agents: Mapping[str, list[tuple[str, int]]]
    ) -> None:
        """Load the agent of each worker incarnation after a takeover."""
        for node, incarnations in home_agents.items():
            for worker_id, started_ms in incarnations:
                self._home_agents[
                    WorkerIncarnation(WorkerId(worker_id), started_ms)
                ] = node

    def on_report(self, node: str, report: WorkerReport) -> None:
        """Handle a worker's report about itself, forwarded by its agent."""
        incarnation = WorkerIncarnation(report.worker_id, report.started_ms)
        known = self.workers.get(report.worker_id)
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
            self._register_incarnation(node, incarnation, report)
            return
        if report.is_leaving and not known.is_leaving:
            self._log.line(
                "worker_leaving",
                worker=incarnation.worker_id,
                leaves_ms=report.leaves_ms,
            )
        known.is_leaving = report.is_leaving
        known.leaves_ms = report.leaves_ms

    def _register_incarnation(
        self, node: str, incarnation: WorkerIncarnation, report: WorkerReport
    ) -> None:
        """Add a new incarnation, which ends earlier ones of its worker or agent."""
        record = WorkerRecord(
            incarnation,
            report.service,
            report.place,
            Shape(report.cpu_millicores, report.memory_mb, report.n_accelerators),
            frozenset(report.labels),
            is_leaving=report.is_leaving,
            leaves_ms=report.leaves_ms,
        )
        earlier = [
            old
            for old in self._leases
            if old.started_ms < incarnation.started_ms
            and (
                old.worker_id == incarnation.worker_id
                or self._home_agents.get(old) == node
            )
        ]
        self._home_agents[incarnation] = node
        self._are_home_agents_dirty = True
        self.workers[incarnation.worker_id] = record
        self._lease(incarnation)
        for old in earlier:
            self._on_incarnation_replaced(old, incarnation)
        for job_id, key in self._tasks_by_incarnation.get(incarnation, ()):
            record.allocate(self.jobs[job_id].step_of(key))
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
        self.needs_planning = True

    def _on_incarnation_replaced(
        self, old: WorkerIncarnation, new: WorkerIncarnation
    ) -> None:
        """Release or revoke the attempts of an incarnation that a later one replaced.

        Attempts that the old incarnation listed ended with it. A start command that is
        not known to have reached it may still reach a later incarnation of the same
        worker id, so such an attempt is revoked there first.
        """
        self._log.line("worker_replaced", old=str(old), new=str(new))
        is_renamed = old.worker_id != new.worker_id
        unresolved_starts = (
            {} if is_renamed else self._unresolved_starts.get(new.worker_id, {})
        )
        for job_id, key in tuple(self._tasks_by_incarnation.get(old, ())):
            task = self.jobs[job_id].task(key)
            assert task is not None
            name = format_task_name(job_id, key)
            was_here = (
                task.listed_s and (name, task.n_attempts) not in unresolved_starts
            )
            if is_renamed or was_here or task.n_sends == 0:
                self._release_attempt(job_id, key, "worker_replaced")
            else:
                task.is_revoking = True
                task.sent_s = 0.0
        for name, attempt in unresolved_starts:
            self._post(new.worker_id, StopCommand(name, attempt))
        self._forget_worker(old)

    def _on_left(self, incarnation: WorkerIncarnation) -> None:
        record = self.workers.get(incarnation.worker_id)
        if (
            record is None
            or record.incarnation != incarnation
            or incarnation in self._departure_due_s
        ):
            return
        record.is_leaving = True
        self._departure_due_s[incarnation] = (
            steady_s() + self._options.departure_grace_s
        )
        self._log.line(
            "worker_left", worker=incarnation.worker_id, born=incarnation.started_ms
        )

    def _forget_worker(self, incarnation: WorkerIncarnation) -> None:
        record = self.workers.get(incarnation.worker_id)
        if record is not None and record.incarnation == incarnation:
            del self.workers[incarnation.worker_id]
        if not self._tasks_by_incarnation.get(incarnation):
            self._tasks_by_incarnation.pop(incarnation, None)
            self._leases.pop(incarnation, None)
            self._observed_s.pop(incarnation, None)
            self._interference_sent.pop(incarnation, None)
            self._are_home_agents_dirty |= (
                self._home_agents.pop(incarnation, None) is not None
            )

    def _release_all(self, incarnation: WorkerIncarnation, reason: str) -> None:
        """Release every task of an incarnation that certainly runs nothing any more."""
        held = tuple(self._tasks_by_incarnation.get(incarnation, ()))
        if held:
            self._log.line(
                "worker_empty",
                worker=incarnation.worker_id,
                born=incarnation.started_ms,
                reason=reason,
                n_tasks=len(held),
            )
        for job_id, key in held:
            self._release_attempt(job_id, key, reason)

    def _confirm_assignment(
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
        self._tasks_by_incarnation[old].discard(held)
        self._tasks_by_incarnation.setdefault(incarnation, set()).add(held)
        record = self.workers.get(incarnation.worker_id)
        if record is not None and record.incarnation == incarnation:
            record.allocate(job.step_of(key))
        self._mark_dirty(job)
        self._log.line(
            "task_followed",
            task=format_task_name(job.job_id, key),
            attempt=attempt,
            worker=incarnation.worker_id,
            born=incarnation.started_ms,
            before=old.started_ms,
        )
        return True

    def _end_attempt(
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
            checkpoint=checkpoint,
            ran_ms=int((now_s - task.placed_s) * 1000),
        )
        self._tasks_by_incarnation[incarnation].discard((job.job_id, key))
        record = self.workers.get(incarnation.worker_id)
        if record is not None and record.incarnation == incarnation:
            record.release(job.step_of(key))
            self._record_worker_outcome(record, job, kind, now_s)
        job.end(key, kind, checkpoint, self._max_failures(job))
        self._mark_dirty(job)
        self.needs_planning = True

    def _record_worker_outcome(
        self, record: WorkerRecord, job: JobProgress, kind: EndKind, now_s: float
    ) -> None:
        if kind is EndKind.DONE:
            record.record_success()
        elif kind is EndKind.FAILED and record.record_failure(job.job_id, now_s):
            self._log.line(
                "worker_rested", worker=record.incarnation.worker_id, why="failures"
            )

    def _release_attempt(self, job_id: JobId, key: TaskKey, reason: str) -> None:
        self._end_attempt(self.jobs[job_id], key, EndKind.INTERRUPTED, "", reason)

    def _home_agents_write(self) -> Write:
        """Return the write of the agents by incarnation, and mark them clean."""
        self._are_home_agents_dirty = False
        home_agents: dict[str, list[tuple[str, int]]] = {}
        for incarnation, node in self._home_agents.items():
            home_agents.setdefault(node, []).append(
                (incarnation.worker_id, incarnation.started_ms)
            )
        return Write(HOME_AGENTS_KEY, encode_record(HomeAgentsRecord(home_agents)))
