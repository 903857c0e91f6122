"""The owner's handling of callers' requests: jobs, orders and claims.

Every change is answered after its commit. A query about a job is answered at once
when all changes to the job are committed, otherwise after the next commit.
"""

from collections.abc import Callable
from functools import partial

from almondspan_decisions.ids import JobId, OrderName, TeamName
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.tasks import JobSpec
from almondspan_tasks.attempt_tracker import AttemptTracker
from almondspan_tasks.deltas import ClaimDropped, ClaimMade, ClaimSettled
from almondspan_tasks.job_client import ClaimState, JobState, SubmitState
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.shard_jobs import ShardJobs
from almondspan_tasks.state import Job, spec_bytes, spec_digest
from almondspan_wire.messaging import MessageSender
from almondspan_wire.task_messages import (
    CancelJobs,
    ClaimAnswer,
    ClaimRequest,
    DeclareLost,
    JobAnswer,
    JobView,
    LossAnswer,
    OrderAnswer,
    OrderQuery,
    SettleAnswer,
    SettleClaim,
    StatusQuery,
    SubmitAnswer,
    SubmitJobs,
    SubmitVerdict,
)

__all__ = ["JobRequestHandler"]


class JobRequestHandler:
    """Answers the requests that entries forward to one shard."""

    def __init__(
        self,
        shard_jobs: ShardJobs,
        attempt_tracker: AttemptTracker,
        outbox: MessageSender,
        options: OwnerOptions,
        wall_clock: Callable[[], float],
    ) -> None:
        self._shard_jobs = shard_jobs
        self._log = shard_jobs.log
        self._attempt_tracker = attempt_tracker
        self._outbox = outbox
        self._options = options
        self._wall_clock = wall_clock

    # Jobs.

    def on_submit(self, sender: str, body: SubmitJobs) -> None:
        """Store the jobs that are new; answer once they are committed."""
        verdicts = tuple(self._submit(spec) for spec in body.jobs)
        answer = SubmitAnswer(body.question_id, verdicts)
        self._log.after_commit(
            partial(self._outbox.send, sender, answer), immediate=True
        )

    def _submit(self, spec: JobSpec) -> SubmitVerdict:
        known = self._shard_jobs.jobs.get(spec.job_id)
        if known is not None:
            return self._submit_again(known, spec)
        refusal = self._refusal(spec)
        if refusal:
            return _verdict(spec, SubmitState.REFUSED, refusal)
        self._shard_jobs.add_job(spec)
        return _verdict(spec, SubmitState.ACCEPTED)

    def _submit_again(self, known: Job, spec: JobSpec) -> SubmitVerdict:
        if known.spec_digest:
            is_same = known.spec_digest == spec_digest(spec)
        else:
            is_same = spec_bytes(known.spec) == spec_bytes(spec)
        if is_same:
            return _verdict(spec, SubmitState.ALREADY_KNOWN)
        reason = "the id belongs to another team or to a different specification"
        return _verdict(spec, SubmitState.CONFLICT, reason)

    def _refusal(self, spec: JobSpec) -> str:
        if not spec.stages:
            return "a job needs at least one stage"
        if spec.max_attempts < 1:
            return "max_attempts must be at least 1"
        if len(spec_bytes(spec)) > self._options.max_job_bytes:
            return f"a job may have at most {self._options.max_job_bytes} bytes"
        if len(self._shard_jobs.jobs) >= self._options.max_jobs:
            return f"the shard has reached its limit of {self._options.max_jobs} jobs"
        return ""

    def on_cancel(self, sender: str, body: CancelJobs) -> None:
        """Cancel jobs in one commit and answer with their states."""
        for job_id in body.job_ids:
            job = self._team_job(body.team, job_id)
            if job is not None and job.outcome is None:
                self._cancel(job)
        self._answer_jobs(sender, body.question_id, body.team, body.job_ids)

    def _cancel(self, job: Job) -> None:
        if job.assignment is not None:
            self._attempt_tracker.stop_attempt(job, job.assignment)
        reason = "cancelled"
        if job.may_have_run:
            reason = "cancelled; an attempt may have run"
        self._shard_jobs.end_job(
            job, Outcome(OutcomeKind.CANCELLED, reason, b"", job.may_have_run)
        )

    def on_status(self, sender: str, body: StatusQuery) -> None:
        """Answer with the committed state of jobs."""
        self._answer_jobs(sender, body.question_id, body.team, body.job_ids)

    def _answer_jobs(
        self,
        sender: str,
        question_id: str,
        team: TeamName,
        job_ids: tuple[JobId, ...],
    ) -> None:
        views = tuple(self._view(team, job_id) for job_id in job_ids)
        answer = JobAnswer(question_id, views)
        if any(self._shard_jobs.is_uncommitted(job_id) for job_id in job_ids):
            self._log.after_commit(
                partial(self._outbox.send, sender, answer), immediate=True
            )
        else:
            self._outbox.send(sender, answer)

    def on_order(self, sender: str, body: OrderQuery) -> None:
        """Answer with one page of an order's jobs."""
        jobs = [
            job
            for job in self._order_jobs(body.team, body.order_name)
            if job.spec.job_id > body.after
        ]
        page = jobs[: self._options.page_jobs]
        views = tuple(self._view_of(job) for job in page)
        answer = OrderAnswer(body.question_id, views, len(page) < len(jobs))
        # The page must not show changes that may still fail to be committed.
        self._log.after_commit(
            partial(self._outbox.send, sender, answer), immediate=True
        )

    def _order_jobs(self, team: TeamName, order_name: OrderName) -> list[Job]:
        jobs = self._log.state.order_jobs(order_name)
        return [job for job in jobs if job.spec.team == team]

    def _team_job(self, team: TeamName, job_id: JobId) -> Job | None:
        job = self._shard_jobs.jobs.get(job_id)
        if job is None or job.spec.team != team:
            return None
        return job

    def _view(self, team: TeamName, job_id: JobId) -> JobView:
        job = self._team_job(team, job_id)
        if job is None:
            return JobView(job_id, JobState.ABSENT.value)
        return self._view_of(job)

    def _view_of(self, job: Job) -> JobView:
        spec = job.spec
        waiting = self._shard_jobs.waiting.get(spec.job_id)
        if job.outcome is not None:
            state = JobState.ENDED
        elif job.assignment is not None:
            state = JobState.RUNNING
        else:
            state = JobState.QUEUED
        reason = "" if waiting is None else waiting.reason
        if self._log.is_stalled and job.outcome is None:
            reason = "the store does not answer"
        return JobView(
            job_id=spec.job_id,
            state=state.value,
            stage_index=job.stage_index,
            n_stages=len(spec.stages),
            n_attempts=job.n_attempts,
            n_evictions=job.n_evictions,
            waiting_reason=reason,
            outcome=job.outcome,
            order_name=spec.order_name,
            record_name=spec.record_name,
            ended_unix_s=job.ended_unix_s,
        )

    def on_declare_lost(self, sender: str, body: DeclareLost) -> None:
        """Close the attempts on lost workers; answer once that is committed."""
        answer = LossAnswer(
            body.question_id, self._attempt_tracker.declare_lost(body.workers)
        )
        self._log.after_commit(
            partial(self._outbox.send, sender, answer), immediate=True
        )

    # Claims.

    def on_claim(self, sender: str, body: ClaimRequest) -> None:
        """Grant the request to the first nonce that claims it."""
        answer = self._claim(body)
        self._log.after_commit(
            partial(self._outbox.send, sender, answer), immediate=True
        )

    def _claim(self, body: ClaimRequest) -> ClaimAnswer:
        claims = self._log.state.claims
        known = claims.get(body.request_id)
        if known is not None and known.nonce != body.nonce:
            return ClaimAnswer(body.question_id, ClaimState.TAKEN.value, known.outcome)
        if known is None:
            if len(claims) >= self._options.max_claims:
                reason = f"the shard has reached its limit of {len(claims)} claims"
                return ClaimAnswer(
                    body.question_id, ClaimState.UNAVAILABLE.value, None, reason
                )
            delta = ClaimMade(body.request_id, body.nonce, self._wall_clock())
            self._log.append(delta)
        return ClaimAnswer(body.question_id, ClaimState.GRANTED.value)

    def on_settle(self, sender: str, body: SettleClaim) -> None:
        """Record the outcome of a claimed request."""
        known = self._log.state.claims.get(body.request_id)
        if known is not None and known.outcome is None:
            self._log.append(ClaimSettled(body.request_id, body.outcome))
        answer = SettleAnswer(body.question_id, known is not None)
        self._log.after_commit(
            partial(self._outbox.send, sender, answer), immediate=True
        )

    def drop_expired(self) -> None:
        """Delete ended jobs and claims whose retention period has passed."""
        self._shard_jobs.drop_expired()
        limit = self._wall_clock() - self._options.claim_kept_s
        outdated = [
            request_id
            for request_id, claim in self._log.state.claims.items()
            if claim.claimed_unix_s < limit
        ]
        for request_id in outdated:
            self._log.append(ClaimDropped(request_id))


def _verdict(spec: JobSpec, state: SubmitState, reason: str = "") -> SubmitVerdict:
    return SubmitVerdict(spec.job_id, state.value, reason)
