"""The state of one shard: its jobs, their current attempts, and claims.

Only `apply` changes the state, by one delta at a time. It depends on nothing but its
arguments, so all owners that read the same deltas get the same state.
"""

import hashlib
from dataclasses import replace
from typing import Final

import msgspec

from almondspan_decisions.ids import (
    AgentId,
    JobId,
    OrderName,
    RequestId,
    TaskId,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.tasks import JobSpec, StageSpec, task_id
from almondspan_tasks.deltas import (
    AttemptAssigned,
    AttemptClosed,
    ClaimDropped,
    ClaimMade,
    ClaimSettled,
    CloseCause,
    Delta,
    JobAdded,
    JobDropped,
    JobEnded,
    StageAdvanced,
)

__all__ = [
    "Assignment",
    "ClaimRecord",
    "Job",
    "ShardState",
    "apply",
    "spec_bytes",
    "spec_digest",
]


class Assignment(msgspec.Struct, array_like=True):
    """The attempt that may run now, with its worker and its agent."""

    attempt: int
    worker_id: WorkerId
    agent_id: AgentId
    reservation: str
    worker_lease_s: float


class Job(msgspec.Struct, array_like=True):
    """A job and the progress of its current stage.

    ``attempt`` is the highest attempt number that was ever assigned in the current
    stage; numbers are never reused. ``failed_on`` names the workers on which the
    current stage failed. ``attained_s`` is the total run time of earlier attempts of
    the current stage.
    """

    spec: JobSpec
    submitted_unix_s: float
    stage_index: int = 0
    attempt: int = 0
    assignment: Assignment | None = None
    checkpoint: bytes = b""
    n_attempts: int = 0
    n_evictions: int = 0
    n_failures: int = 0
    failed_on: tuple[WorkerId, ...] = ()
    attained_s: float = 0.0
    may_have_run: bool = False
    outcome: Outcome | None = None
    ended_unix_s: float = 0.0
    spec_digest: bytes = b""
    """Set when the job ends, since its payloads are then deleted."""

    @property
    def stage(self) -> StageSpec:
        """Return the current stage."""
        return self.spec.stages[self.stage_index]

    @property
    def task_id(self) -> TaskId:
        """Return the id of the task that runs the current stage."""
        return task_id(self.spec.job_id, self.stage_index)

    def holds(self, task: TaskId, attempt: int) -> bool:
        """Return whether this attempt is currently assigned."""
        return (
            self.assignment is not None
            and self.assignment.attempt == attempt
            and self.task_id == task
        )


class ClaimRecord(msgspec.Struct, array_like=True):
    """A claim of a request, with the request's outcome once it is recorded."""

    nonce: str
    claimed_unix_s: float
    outcome: Outcome | None = None


class ShardState(msgspec.Struct, array_like=True):
    """The complete state of a shard."""

    jobs: dict[JobId, Job]
    claims: dict[RequestId, ClaimRecord]

    @classmethod
    def empty(cls) -> "ShardState":
        """Return the state of a shard without jobs."""
        return cls({}, {})

    def order_jobs(self, order_name: OrderName) -> list[Job]:
        """Return the jobs of an order, sorted by id."""
        found = [job for job in self.jobs.values() if job.spec.order_name == order_name]
        found.sort(key=lambda job: job.spec.job_id)
        return found


_DIGEST_BYTES: Final = 16
_SPEC_ENCODER: Final = msgspec.msgpack.Encoder()


def spec_bytes(spec: JobSpec) -> bytes:
    """Encode a specification, for comparison and to determine its size."""
    return _SPEC_ENCODER.encode(spec)


def spec_digest(spec: JobSpec) -> bytes:
    """Return a digest that identifies a specification without its payloads."""
    return hashlib.sha256(spec_bytes(spec)).digest()[:_DIGEST_BYTES]


def _without_payloads(spec: JobSpec) -> JobSpec:
    stages = tuple(replace(stage, payload=b"") for stage in spec.stages)
    return replace(spec, stages=stages)


def apply(state: ShardState, delta: Delta) -> None:
    """Apply one delta to the state.

    Raises
    ------
    AssertionError
        When the delta does not fit the state, which violates an invariant.
    """
    match delta:
        case JobAdded():
            assert delta.spec.job_id not in state.jobs
            state.jobs[delta.spec.job_id] = Job(delta.spec, delta.submitted_unix_s)
        case AttemptAssigned():
            _apply_assigned(state.jobs[delta.job_id], delta)
        case AttemptClosed():
            _apply_closed(state.jobs[delta.job_id], delta)
        case StageAdvanced():
            _apply_advanced(state.jobs[delta.job_id], delta)
        case JobEnded():
            job = state.jobs[delta.job_id]
            assert job.outcome is None
            job.outcome = delta.outcome
            job.ended_unix_s = delta.ended_unix_s
            job.assignment = None
            job.checkpoint = b""
            job.spec_digest = spec_digest(job.spec)
            job.spec = _without_payloads(job.spec)
        case JobDropped():
            assert state.jobs[delta.job_id].outcome is not None
            del state.jobs[delta.job_id]
        case ClaimMade():
            assert delta.request_id not in state.claims
            state.claims[delta.request_id] = ClaimRecord(
                delta.nonce, delta.claimed_unix_s
            )
        case ClaimSettled():
            state.claims[delta.request_id].outcome = delta.outcome
        case ClaimDropped():
            del state.claims[delta.request_id]


def _apply_assigned(job: Job, delta: AttemptAssigned) -> None:
    assert job.outcome is None and job.assignment is None
    assert delta.attempt == job.attempt + 1
    job.attempt = delta.attempt
    job.n_attempts += 1
    job.may_have_run = True
    job.assignment = Assignment(
        delta.attempt,
        delta.worker_id,
        delta.agent_id,
        delta.reservation,
        delta.worker_lease_s,
    )


def _apply_closed(job: Job, delta: AttemptClosed) -> None:
    assert job.assignment is not None
    assert job.assignment.attempt == delta.attempt
    job.assignment = None
    job.attained_s += delta.ran_s
    if delta.checkpoint:
        job.checkpoint = delta.checkpoint
    if delta.cause is CloseCause.EVICTED:
        job.n_evictions += 1
    elif delta.cause is not CloseCause.NEVER_RAN:
        job.n_failures += 1
    if delta.cause is CloseCause.FAILED and delta.worker_id not in job.failed_on:
        job.failed_on = (*job.failed_on, delta.worker_id)


def _apply_advanced(job: Job, delta: StageAdvanced) -> None:
    assert job.assignment is not None
    assert job.stage_index + 1 < len(job.spec.stages)
    job.assignment = None
    job.stage_index += 1
    job.attempt = 0
    job.checkpoint = b""
    job.n_failures = 0
    job.failed_on = ()
    job.attained_s = 0.0
