"""Interfaces and result types for callers' jobs and claims.

`JobClient` submits, cancels and queries jobs for the administration API;
`ClaimStore` claims requests that are not idempotent for the service path. Both are
implemented by `almondspan_tasks.shard_client.ShardClient`.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from almondspan_decisions.ids import JobId, OrderName, RequestId, TeamName
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.tasks import JobSpec

__all__ = [
    "Claim",
    "ClaimStore",
    "ClaimState",
    "OwnerUnavailable",
    "JobClient",
    "JobState",
    "JobStatus",
    "OrderLedger",
    "SubmitResult",
    "SubmitState",
]


class SubmitState(Enum):
    """The result of a submission."""

    ACCEPTED = "accepted"
    ALREADY_KNOWN = "already_known"
    CONFLICT = "conflict"
    """The id belongs to a job of another team or with another specification."""
    REFUSED = "refused"
    """The shard is full or the job exceeds a limit; it was not stored."""


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """The result for one job; an accepted job is committed."""

    job_id: JobId
    state: SubmitState
    reason: str = ""


class JobState(Enum):
    """The state of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    ABSENT = "absent"
    """The team has no such job, or it was deleted after its retention period."""


@dataclass(frozen=True, slots=True)
class JobStatus:
    """A job's progress; ``outcome`` is set once it has ended."""

    job_id: JobId
    state: JobState
    stage_index: int = 0
    n_stages: int = 0
    n_attempts: int = 0
    n_evictions: int = 0
    waiting_reason: str = ""
    outcome: Outcome | None = None
    order_name: OrderName = OrderName("")
    record_name: str = ""
    ended_unix_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OrderLedger:
    """All jobs of a hand-back order over all shards.

    ``n_shards_missing`` counts shards that did not answer; the ledger is complete
    only when it is 0.
    """

    order_name: OrderName
    jobs: tuple[JobStatus, ...]
    n_shards_missing: int = 0


@dataclass(frozen=True, slots=True)
class OwnerUnavailable:
    """No owner answered in time; a submission may nevertheless have been stored."""

    reason: str


class JobClient(Protocol):
    """Access to callers' jobs in whichever shard holds them."""

    async def submit(
        self, jobs: tuple[JobSpec, ...]
    ) -> tuple[SubmitResult, ...] | OwnerUnavailable:
        """Submit jobs; returns once they are committed."""
        ...

    async def cancel(
        self, team: TeamName, job_ids: tuple[JobId, ...]
    ) -> tuple[JobStatus, ...] | OwnerUnavailable:
        """Cancel jobs of a team; returns once the cancellations are committed."""
        ...

    async def status(
        self, team: TeamName, job_ids: tuple[JobId, ...]
    ) -> tuple[JobStatus, ...] | OwnerUnavailable:
        """Return the state of jobs of a team."""
        ...

    async def order(
        self, team: TeamName, order_name: OrderName
    ) -> OrderLedger | OwnerUnavailable:
        """Return the ledger of an order of a team."""
        ...


class ClaimState(Enum):
    """The result of claiming a request that is not idempotent."""

    GRANTED = "granted"
    """Only the holder of this claim may send the request."""
    TAKEN = "taken"
    """An earlier claim may have sent it; ``outcome`` is set once it is recorded."""
    UNAVAILABLE = "unavailable"
    """No claim could be made; the request must not be sent."""


@dataclass(frozen=True, slots=True)
class Claim:
    """The result of a claim, with the outcome of an earlier claim if known."""

    state: ClaimState
    outcome: Outcome | None = None
    reason: str = ""


class ClaimStore(Protocol):
    """Claims of requests that are not idempotent, stored in the shards."""

    async def claim(self, request_id: RequestId, nonce: str) -> Claim:
        """Claim a request; repeating a claim with the same nonce is idempotent."""
        ...

    async def settle(self, request_id: RequestId, outcome: Outcome) -> bool:
        """Record the outcome of a claimed request; False when it was not recorded."""
        ...
