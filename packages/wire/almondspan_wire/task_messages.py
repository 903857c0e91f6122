"""Messages about jobs, attempts and claims.

There are three groups of requests, each repeated by its sender until answered:

- client to owner: submit, cancel, status, order, declare lost, claim, settle;
- owner to agent: reserve, start, stop;
- agent to owner: renewals of leases and reports of ended attempts.

A request to an owner is addressed to its shard; the owner answers to the sender. A
client's request and the answer to it carry the same ``question_id``.
"""

from almondspan_decisions.ids import (
    AgentId,
    Epoch,
    JobId,
    OrderName,
    RequestId,
    ShardId,
    TaskClass,
    TaskId,
    TeamName,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_decisions.tasks import JobSpec
from almondspan_wire.codec import Message, message
from almondspan_wire.fields import Measure

__all__ = [
    "AttemptRef",
    "AttemptReport",
    "AttemptStarted",
    "CancelJobs",
    "ClaimAnswer",
    "ClaimRequest",
    "DeclareLost",
    "JobAnswer",
    "JobView",
    "LossAnswer",
    "OrderAnswer",
    "OrderQuery",
    "RenewAttempts",
    "RenewReply",
    "ReportAck",
    "ReserveReply",
    "ReserveCapacity",
    "SettleAnswer",
    "SettleClaim",
    "StartTask",
    "StatusQuery",
    "StopTask",
    "SubmitAnswer",
    "SubmitJobs",
    "SubmitVerdict",
    "shard_address",
]


def shard_address(shard_id: ShardId) -> str:
    """Return the address for messages to the current owner of a shard."""
    return f"shard:{shard_id}"


class AttemptRef(Message, frozen=True):
    """One attempt of one task."""

    task_id: TaskId
    attempt: int


@message
class ReserveCapacity(Message, frozen=True, tag="t.reserve"):
    """Requests that an agent reserve capacity for an attempt for ``ttl_s``."""

    shard_id: ShardId
    epoch: Epoch
    task_id: TaskId
    attempt: int
    shape: Shape
    ttl_s: Measure
    urgent: bool = False


@message
class ReserveReply(Message, frozen=True, tag="t.reserved"):
    """The agent's answer to `ReserveCapacity`.

    `StartTask` refers to the ``reservation``. ``preempting`` is set while other tasks
    are evicted for the attempt, in which case a further reply follows.
    ``worker_lease_s`` is how long the worker runs an attempt without a renewal.
    """

    shard_id: ShardId
    task_id: TaskId
    attempt: int
    granted: bool
    worker_id: WorkerId
    reservation: str = ""
    worker_lease_s: Measure = 0.0
    preempting: bool = False
    reason: str = ""
    capacity: Shape = EMPTY_SHAPE


@message
class StartTask(Message, frozen=True, tag="t.start"):
    """Requests that an agent start an attempt whose assignment to it is committed."""

    shard_id: ShardId
    epoch: Epoch
    task_id: TaskId
    attempt: int
    agent_id: AgentId
    reservation: str
    task_class: TaskClass
    shape: Shape
    payload: bytes
    checkpoint: bytes
    idempotent: bool
    checkpointable: bool
    urgent: bool = False


@message
class AttemptStarted(Message, frozen=True, tag="t.started"):
    """The worker has started the attempt."""

    shard_id: ShardId
    task_id: TaskId
    attempt: int


@message
class StopTask(Message, frozen=True, tag="t.stop"):
    """Requests that an agent stop an attempt that its shard no longer needs."""

    shard_id: ShardId
    epoch: Epoch
    task_id: TaskId
    attempt: int


@message
class RenewAttempts(Message, frozen=True, tag="t.renew"):
    """Asks which of these attempts are still assigned to the sender."""

    shard_id: ShardId
    renewal_id: int
    worker_id: WorkerId
    attempts: tuple[AttemptRef, ...]


@message
class RenewReply(Message, frozen=True, tag="t.renewed"):
    """The owner's answer to `RenewAttempts`.

    Attempts of jobs whose changes are not committed yet are in neither list.
    """

    shard_id: ShardId
    epoch: Epoch
    renewal_id: int
    assigned: tuple[AttemptRef, ...]
    unassigned: tuple[AttemptRef, ...]


@message
class AttemptReport(Message, frozen=True, tag="t.report"):
    """Reports that an attempt ended or will never start; repeated until acknowledged.

    With the outcome `NOT_RUN` the agent guarantees never to start the attempt.
    """

    shard_id: ShardId
    task_id: TaskId
    attempt: int
    worker_id: WorkerId
    outcome: Outcome
    evicted: bool
    checkpoint: bytes
    ran_s: Measure


@message
class ReportAck(Message, frozen=True, tag="t.ack"):
    """The shard has committed the attempt's outcome, or needs no report of it."""

    shard_id: ShardId
    epoch: Epoch
    task_id: TaskId
    attempt: int


@message
class SubmitJobs(Message, frozen=True, tag="t.submit"):
    """Submits jobs to their shard."""

    shard_id: ShardId
    question_id: str
    jobs: tuple[JobSpec, ...]


class SubmitVerdict(Message, frozen=True):
    """The result for one submitted job; ``state`` is a value of `SubmitState`."""

    job_id: JobId
    state: str
    reason: str = ""


@message
class SubmitAnswer(Message, frozen=True, tag="t.submitted"):
    """The answer to `SubmitJobs`; accepted jobs are committed."""

    question_id: str
    verdicts: tuple[SubmitVerdict, ...]


@message
class CancelJobs(Message, frozen=True, tag="t.cancel"):
    """Cancels jobs of a team in one commit."""

    shard_id: ShardId
    question_id: str
    team: TeamName
    job_ids: tuple[JobId, ...]


@message
class StatusQuery(Message, frozen=True, tag="t.status"):
    """Requests the state of jobs of a team."""

    shard_id: ShardId
    question_id: str
    team: TeamName
    job_ids: tuple[JobId, ...]


class JobView(Message, frozen=True):
    """A job's state; ``state`` is a value of `JobState`."""

    job_id: JobId
    state: str
    stage_index: int = 0
    n_stages: int = 0
    n_attempts: int = 0
    n_evictions: int = 0
    waiting_reason: str = ""
    outcome: Outcome | None = None
    order_name: OrderName = OrderName("")
    record_name: str = ""
    ended_unix_s: float = 0.0


@message
class JobAnswer(Message, frozen=True, tag="t.jobs"):
    """The answer to `StatusQuery` and `CancelJobs`."""

    question_id: str
    jobs: tuple[JobView, ...]


@message
class OrderQuery(Message, frozen=True, tag="t.order"):
    """Requests one page of an order's jobs, those with an id greater than ``after``."""

    shard_id: ShardId
    question_id: str
    team: TeamName
    order_name: OrderName
    after: JobId = JobId("")


@message
class OrderAnswer(Message, frozen=True, tag="t.ledger"):
    """One page of an order's jobs; ``more`` is set if further pages exist."""

    question_id: str
    jobs: tuple[JobView, ...]
    more: bool


@message
class DeclareLost(Message, frozen=True, tag="t.lost"):
    """Treats every attempt on these workers as ended, as declared by an operator."""

    shard_id: ShardId
    question_id: str
    workers: tuple[WorkerId, ...]


@message
class LossAnswer(Message, frozen=True, tag="t.lostack"):
    """The number of the shard's attempts that were declared lost; it is committed."""

    question_id: str
    n_attempts: int


@message
class ClaimRequest(Message, frozen=True, tag="t.claim"):
    """Claims the right to run a request that is not idempotent."""

    shard_id: ShardId
    question_id: str
    request_id: RequestId
    nonce: str


@message
class ClaimAnswer(Message, frozen=True, tag="t.claimed"):
    """The answer to `ClaimRequest`; ``state`` is a value of `ClaimState`."""

    question_id: str
    state: str
    outcome: Outcome | None = None
    reason: str = ""


@message
class SettleClaim(Message, frozen=True, tag="t.settle"):
    """Records the outcome of a claimed request."""

    shard_id: ShardId
    question_id: str
    request_id: RequestId
    outcome: Outcome


@message
class SettleAnswer(Message, frozen=True, tag="t.settled"):
    """The answer to `SettleClaim`: whether the outcome was recorded."""

    question_id: str
    recorded: bool
