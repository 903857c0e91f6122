"""What the administration API asks of the shards."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from almondspan_decisions.ids import JobId, OrderName, RequestId, TeamName
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.tasks import JobSpec

__all__ = [
    "Claim",
    "ClaimBook",
    "ClaimState",
    "DeskUnavailable",
    "JobDesk",
    "JobState",
    "JobStatus",
    "OrderLedger",
    "SubmitResult",
    "SubmitState",
]


class SubmitState(Enum):
    """What became of a submission."""

    ACCEPTED = "accepted"
    ALREADY_KNOWN = "already_known"
    CONFLICT = "conflict"
    """Another job holds this id, of another team or with another specification."""
    REFUSED = "refused"
    """The shard is full or the job breaks a limit; it was not taken."""


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """The answer for one job; an accepted job is committed."""

    job_id: JobId
    state: SubmitState
    reason: str = ""


class JobState(Enum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    ABSENT = "absent"
    """No such job of this team, or its answer is no longer kept."""


@dataclass(frozen=True, slots=True)
class JobStatus:
    """A job's state; ``outcome`` is set when it has ended."""

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

    ``n_shards_missing`` counts shards that did not answer: the ledger is whole
    only when it is 0.
    """

    order_name: OrderName
    jobs: tuple[JobStatus, ...]
    n_shards_missing: int = 0


@dataclass(frozen=True, slots=True)
class DeskUnavailable:
    """No owner answered in time; a submission may have been taken."""

    reason: str


class JobDesk(Protocol):
    """Callers' jobs, whichever shard holds them."""

    async def submit(
        self, jobs: tuple[JobSpec, ...]
    ) -> tuple[SubmitResult, ...] | DeskUnavailable:
        """Submit jobs; answers when they are committed."""
        ...

    async def cancel(
        self, team: TeamName, job_ids: tuple[JobId, ...]
    ) -> tuple[JobStatus, ...] | DeskUnavailable:
        """Cancel jobs of a team; answers when the cancellations are committed."""
        ...

    async def status(
        self, team: TeamName, job_ids: tuple[JobId, ...]
    ) -> tuple[JobStatus, ...] | DeskUnavailable:
        """Return the state of jobs of a team."""
        ...

    async def order(
        self, team: TeamName, order_name: OrderName
    ) -> OrderLedger | DeskUnavailable:
        """Return the ledger of an order of a team."""
        ...


class ClaimState(Enum):
    """The answer to a claim of a request that is not idempotent."""

    GRANTED = "granted"
    """This claim, and no other, may send the request."""
    TAKEN = "taken"
    """An earlier claim may have sent it; ``outcome`` is set once it was told."""
    UNAVAILABLE = "unavailable"
    """No claim could be made; the request was not sent."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim with what is known of an earlier one."""

    state: ClaimState
    outcome: Outcome | None = None
    reason: str = ""


class ClaimBook(Protocol):
    """Claims of requests that are not idempotent, kept in the shards."""

    async def claim(self, request_id: RequestId, nonce: str) -> Claim:
        """Claim a request; the same nonce always gets the same answer."""
        ...

    async def settle(self, request_id: RequestId, outcome: Outcome) -> bool:
        """Record what became of a claimed request; False when not recorded."""
        ...
