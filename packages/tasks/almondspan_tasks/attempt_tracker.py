"""The owner's part in attempts: starts, renewals, reports and lost attempts.

An attempt that may have been started is closed only on evidence:

1. its agent reports that it ended, was evicted, or will never start; or
2. the horizon has passed: ``horizon_s`` + twice the worker's lease + a margin since
   ``TrackedAttempt.evidence_s``. Two leases, because an agent that pauses between its
   check of the horizon and the sending of a renewal still renews a lease that has
   not expired.

Renewals and acknowledgements are sent only after a commit that began after the
request arrived. An owner that was superseded without noticing cannot commit, so it
sends neither.
"""

import random
from functools import partial
from typing import Final

from almondspan_decisions.ids import AgentId, TaskId, WorkerId
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_tasks.attempt_lifecycle import AttemptPhase, LifecycleStep, advance
from almondspan_tasks.deltas import CloseCause
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.shard_jobs import ShardJobs, TrackedAttempt
from almondspan_tasks.state import Assignment, Job
from almondspan_wire.messaging import MessageSender
from almondspan_wire.task_messages import (
    AttemptRef,
    AttemptReport,
    AttemptStarted,
    RenewAttempts,
    RenewReply,
    ReportAck,
    StartTask,
    StopTask,
)

__all__ = ["AttemptTracker"]

_N_WORKER_LEASES: Final = 2
"""The lease that is valid at the horizon, and one more that a late renewal may add."""


class AttemptTracker:
    """Starts, renews and closes the assigned attempts of one shard."""

    def __init__(
        self,
        shard_jobs: ShardJobs,
        outbox: MessageSender,
        options: OwnerOptions,
        rng: random.Random,
    ) -> None:
        self._shard_jobs = shard_jobs
        self._log = shard_jobs.log
        self._outbox = outbox
        self._options = options
        self._rng = rng

    # Starting.

    def start_committed(self, job: Job) -> None:
        """Send the start of a new assignment once it is committed."""
        task = job.task_id
        attempt = job.attempt
        self._log.after_commit(partial(self._send_first_start, job, task, attempt))

    def _send_first_start(self, job: Job, task: TaskId, attempt: int) -> None:
        if not job.holds(task, attempt):
            return
        tracked = self._shard_jobs.tracked[job.spec.job_id]
        tracked.evidence_s = self._shard_jobs.now_s()
        self._send_start(job, tracked)

    def _send_start(self, job: Job, tracked: TrackedAttempt) -> None:
        assignment = job.assignment
        assert assignment is not None
        stage = job.stage
        tracked.next_start_s = self._shard_jobs.now_s() + self._options.start_retry_s
        start = StartTask(
            shard_id=self._log.shard_id,
            epoch=self._log.epoch,
            task_id=job.task_id,
            attempt=assignment.attempt,
            agent_id=assignment.agent_id,
            reservation=assignment.reservation,
            task_class=stage.task_class,
            shape=stage.shape,
            payload=stage.payload,
            checkpoint=job.checkpoint,
            idempotent=stage.idempotent,
            checkpointable=stage.checkpointable,
            urgent=job.spec.urgent,
        )
        self._outbox.send(tracked.agent_id, start)

    def on_started(self, sender: AgentId, body: AttemptStarted) -> None:
        """Record that an attempt runs, so that its start is not sent again."""
        job = self._shard_jobs.find(body.task_id)
        if job is None or not job.holds(body.task_id, body.attempt):
            return
        tracked = self._shard_jobs.tracked[job.spec.job_id]
        tracked.agent_id = sender
        if tracked.phase is AttemptPhase.COMMITTED:
            advance(tracked, LifecycleStep.STARTED)

    def stop_attempt(self, job: Job, assignment: Assignment) -> None:
        """Send a stop request once the job's end is committed."""
        tracked = self._shard_jobs.tracked.get(job.spec.job_id)
        agent_id = assignment.agent_id if tracked is None else tracked.agent_id
        stop = StopTask(
            self._log.shard_id, self._log.epoch, job.task_id, assignment.attempt
        )
        self._log.after_commit(partial(self._outbox.send, agent_id, stop))

    # Renewals.

    def on_renew(self, sender: AgentId, body: RenewAttempts) -> None:
        """Answer after a commit that begins after this call."""
        self._log.after_commit(partial(self._answer_renewal, sender, body))

    def _answer_renewal(self, sender: AgentId, body: RenewAttempts) -> None:
        now_s = self._shard_jobs.now_s()
        assigned: list[AttemptRef] = []
        unassigned: list[AttemptRef] = []
        for ref in body.attempts:
            job = self._shard_jobs.find(ref.task_id)
            if job is None:
                unassigned.append(ref)
                continue
            if self._shard_jobs.is_uncommitted(job.spec.job_id):
                continue
            if not self._is_held(job, ref, body):
                unassigned.append(ref)
                continue
            tracked = self._shard_jobs.tracked[job.spec.job_id]
            tracked.agent_id = sender
            tracked.evidence_s = now_s
            assigned.append(ref)
        reply = RenewReply(
            self._log.shard_id,
            self._log.epoch,
            body.renewal_id,
            tuple(assigned),
            tuple(unassigned),
        )
        self._outbox.send(sender, reply)

    def _is_held(self, job: Job, ref: AttemptRef, body: RenewAttempts) -> bool:
        return (
            job.holds(ref.task_id, ref.attempt)
            and job.assignment is not None
            and job.assignment.worker_id == body.worker_id
        )

    # Reports.

    def on_report(self, sender: AgentId, body: AttemptReport) -> None:
        """Process the report of an ended attempt; acknowledge once committed."""
        job = self._shard_jobs.find(body.task_id)
        if job is not None and self._is_reporter(sender, job, body):
            self._decide(job, body)
        ack = ReportAck(self._log.shard_id, self._log.epoch, body.task_id, body.attempt)
        self._log.after_commit(partial(self._ack, sender, ack), immediate=True)

    def _is_reporter(self, sender: AgentId, job: Job, body: AttemptReport) -> bool:
        """Return whether the report is valid evidence about the assigned attempt."""
        assignment = job.assignment
        if assignment is None or not job.holds(body.task_id, body.attempt):
            return False
        if body.outcome.kind is OutcomeKind.NOT_RUN:
            # Only the agent that was to start it can rule out that it ever starts.
            return sender == assignment.agent_id
        return body.worker_id == assignment.worker_id

    def _ack(self, sender: AgentId, ack: ReportAck) -> None:
        job = self._shard_jobs.find(ack.task_id)
        if job is not None and job.holds(ack.task_id, ack.attempt):
            return
        if job is not None and self._shard_jobs.is_uncommitted(job.spec.job_id):
            # A later decision about the job is not committed; the agent repeats the
            # report until it is acknowledged.
            return
        self._outbox.send(sender, ack)

    def _decide(self, job: Job, body: AttemptReport) -> None:
        outcome = self._limit_result(body.outcome)
        if body.evicted:
            self._decide_evicted(job, body)
        elif outcome.kind is OutcomeKind.DONE:
            self._decide_done(job, outcome, body.ran_s)
        elif outcome.kind is OutcomeKind.NOT_RUN:
            delay_s = self._backoff_s(1)
            self._shard_jobs.close_attempt(job, CloseCause.NEVER_RAN, delay_s=delay_s)
        elif outcome.kind is OutcomeKind.INFEASIBLE:
            self._shard_jobs.end_job(job, outcome)
        elif outcome.kind is OutcomeKind.UNKNOWN:
            self._decide_lost(job, outcome.reason or "the worker lost the attempt")
        else:
            self._decide_failed(job, outcome, body.ran_s)

    def _decide_evicted(self, job: Job, body: AttemptReport) -> None:
        checkpoint = body.checkpoint if job.stage.checkpointable else b""
        is_new = checkpoint not in (b"", job.checkpoint)
        if not job.stage.idempotent and not is_new:
            # The part since its last checkpoint may have run and would run twice.
            reason = "stopped without a new checkpoint and must not be started again"
            self._shard_jobs.end_job(
                job, Outcome(OutcomeKind.UNKNOWN, reason, b"", True)
            )
            return
        self._shard_jobs.close_attempt(job, CloseCause.EVICTED, body.ran_s, checkpoint)

    def _decide_done(self, job: Job, outcome: Outcome, ran_s: float) -> None:
        self._shard_jobs.record_run_time(job, ran_s)
        if job.stage_index + 1 < len(job.spec.stages):
            self._shard_jobs.advance_stage(job, ran_s)
        else:
            self._shard_jobs.end_job(job, outcome)

    def _decide_failed(self, job: Job, outcome: Outcome, ran_s: float) -> None:
        assert job.assignment is not None
        workers = {*job.failed_on, job.assignment.worker_id}
        if not job.stage.idempotent:
            self._shard_jobs.end_job(job, outcome)
        elif len(workers) >= self._options.quarantine_n_workers:
            reason = f"failed on {len(workers)} workers: {outcome.reason}"
            self._shard_jobs.end_job(
                job, Outcome(OutcomeKind.FAILED, reason, outcome.result)
            )
        elif job.n_failures + 1 >= job.spec.max_attempts:
            self._shard_jobs.end_job(job, outcome)
        else:
            delay_s = self._backoff_s(job.n_failures + 1)
            self._shard_jobs.close_attempt(
                job, CloseCause.FAILED, ran_s, delay_s=delay_s
            )

    def _decide_lost(self, job: Job, reason: str) -> None:
        if not job.stage.idempotent:
            self._shard_jobs.end_job(
                job, Outcome(OutcomeKind.UNKNOWN, reason, b"", True)
            )
        elif job.n_failures + 1 >= job.spec.max_attempts:
            reason = f"no attempts left: {reason}"
            self._shard_jobs.end_job(
                job, Outcome(OutcomeKind.FAILED, reason, b"", True)
            )
        else:
            delay_s = self._backoff_s(job.n_failures + 1)
            self._shard_jobs.close_attempt(job, CloseCause.LOST, delay_s=delay_s)

    def _limit_result(self, outcome: Outcome) -> Outcome:
        n_bytes = len(outcome.result)
        if n_bytes <= self._options.max_result_bytes:
            return outcome
        reason = f"its result of {n_bytes} bytes is over the limit"
        return Outcome(OutcomeKind.FAILED, reason, b"", True)

    def _backoff_s(self, n_failures: int) -> float:
        full_delay_s: float = self._options.backoff_s * 2.0 ** (n_failures - 1)
        return min(full_delay_s, self._options.backoff_max_s) * (
            0.5 + self._rng.random()
        )

    # Ticks.

    def tick(self) -> None:
        """Repeat unanswered starts and close attempts whose horizon has passed."""
        now_s = self._shard_jobs.now_s()
        for job_id, tracked in list(self._shard_jobs.tracked.items()):
            if self._shard_jobs.is_uncommitted(job_id):
                continue
            job = self._shard_jobs.jobs[job_id]
            if now_s >= self._lost_at_s(job, tracked):
                self._decide_lost(job, "no renewal or report until the horizon")
            elif (
                tracked.phase is AttemptPhase.COMMITTED
                and now_s >= tracked.next_start_s
            ):
                self._send_start(job, tracked)

    def declare_lost(self, workers: tuple[WorkerId, ...]) -> int:
        """Close all attempts on workers that an operator declared lost.

        The declaration replaces the evidence, so the operator must be certain that
        these workers no longer run anything.
        """
        n_attempts = 0
        for job_id in list(self._shard_jobs.tracked):
            job = self._shard_jobs.jobs[job_id]
            if job.assignment is not None and job.assignment.worker_id in workers:
                self._decide_lost(job, "its worker was declared lost by an operator")
                n_attempts += 1
        return n_attempts

    def _lost_at_s(self, job: Job, tracked: TrackedAttempt) -> float:
        assert job.assignment is not None
        wait_s: float = self._options.horizon_s + self._options.drift_margin_s
        worker_s = _N_WORKER_LEASES * job.assignment.worker_lease_s
        return tracked.evidence_s + wait_s + worker_s
