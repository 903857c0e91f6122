"""Messages about jobs, attempts and claims.

Three exchanges, each repeated by its asker until it is answered:

- desk and owner: submit, cancel, status, order, claim, settle;
- owner and keeper: reserve, start, stop;
- keeper and owner: renewals of leases and reports of ended attempts.

Mail to an owner is addressed to its shard; the owner answers to the sender.
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
    """Return the address that reaches whichever agent owns a shard."""
    return f"shard:{shard_id}"


class AttemptRef(Message, frozen=True):
    """One attempt of one task."""

    task_id: TaskId
    attempt: int


@message
class ReserveCapacity(Message, frozen=True, tag="t.reserve"):
    """Asks a keeper to hold room for an attempt for ``ttl_s``."""

    shard_id: ShardId
    epoch: Epoch
    task_id: TaskId
    attempt: int
    shape: Shape
    ttl_s: float
    urgent: bool = False


@message
class ReserveReply(Message, frozen=True, tag="t.reserved"):
    """The keeper's answer; ``reservation`` is quoted by the start.

    ``making_room`` says that other work is being evicted for it: a further reply
    follows. ``worker_lease_s`` is what the worker grants an unrenewed attempt.
    """

    shard_id: ShardId
    task_id: TaskId
    attempt: int
    granted: bool
    worker_id: WorkerId
    reservation: str = ""
    worker_lease_s: float = 0.0
    preempting: bool = False
    reason: str = ""
    capacity: Shape = EMPTY_SHAPE


@message
class StartTask(Message, frozen=True, tag="t.start"):
    """Asks the keeper of a committed assignment to start it."""

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
    """The worker runs the attempt."""

    shard_id: ShardId
    task_id: TaskId
    attempt: int


@message
class StopTask(Message, frozen=True, tag="t.stop"):
    """Asks a keeper to stop an attempt that its shard no longer wants."""

    shard_id: ShardId
    epoch: Epoch
    task_id: TaskId
    attempt: int


@message
class RenewAttempts(Message, frozen=True, tag="t.renew"):
    """Asks for which of these attempts the sender still holds the assignment."""

    shard_id: ShardId
    renewal_id: int
    worker_id: WorkerId
    attempts: tuple[AttemptRef, ...]


@message
class RenewReply(Message, frozen=True, tag="t.renewed"):
    """The owner's answer; attempts in neither list get none this time."""

    shard_id: ShardId
    epoch: Epoch
    renewal_id: int
    assigned: tuple[AttemptRef, ...]
    unassigned: tuple[AttemptRef, ...]


@message
class AttemptReport(Message, frozen=True, tag="t.report"):
    """An attempt ended, or will never start; repeated until acknowledged.

    An outcome of `NOT_RUN` is the keeper's promise never to start the attempt.
    """

    shard_id: ShardId
    task_id: TaskId
    attempt: int
    worker_id: WorkerId
    outcome: Outcome
    evicted: bool
    checkpoint: bytes
    ran_s: float


@message
class ReportAck(Message, frozen=True, tag="t.ack"):
    """The shard has committed what became of the attempt, or needs no report."""

    shard_id: ShardId
    epoch: Epoch
    task_id: TaskId
    attempt: int


@message
class SubmitJobs(Message, frozen=True, tag="t.submit"):
    """Submits jobs of one shard."""

    shard_id: ShardId
    question_id: str
    jobs: tuple[JobSpec, ...]


class SubmitVerdict(Message, frozen=True):
    """The answer for one job; ``state`` is a value of `SubmitState`."""

    job_id: JobId
    state: str
    reason: str = ""


@message
class SubmitAnswer(Message, frozen=True, tag="t.submitted"):
    """What became of a submission; accepted jobs are committed."""

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
    """Asks for the state of jobs of a team."""

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
    """The state of the jobs that were asked for or cancelled."""

    question_id: str
    jobs: tuple[JobView, ...]


@message
class OrderQuery(Message, frozen=True, tag="t.order"):
    """Asks a shard for one page of an order's jobs, after ``after`` by id."""

    shard_id: ShardId
    question_id: str
    team: TeamName
    order_name: OrderName
    after: JobId = JobId("")


@message
class OrderAnswer(Message, frozen=True, tag="t.ledger"):
    """One page of an order's jobs; ``more`` says that others follow."""

    question_id: str
    jobs: tuple[JobView, ...]
    more: bool


@message
class DeclareLost(Message, frozen=True, tag="t.lost"):
    """Takes every attempt on these workers for ended, by order of an operator."""

    shard_id: ShardId
    question_id: str
    workers: tuple[WorkerId, ...]


@message
class LossAnswer(Message, frozen=True, tag="t.lostack"):
    """How many attempts of the shard were given up; they are committed."""

    question_id: str
    n_attempts: int


@message
class ClaimRequest(Message, frozen=True, tag="t.claim"):
    """Claims a request that is not idempotent."""

    shard_id: ShardId
    question_id: str
    request_id: RequestId
    nonce: str


@message
class ClaimAnswer(Message, frozen=True, tag="t.claimed"):
    """The answer; ``state`` is a value of `ClaimState`."""

    question_id: str
    state: str
    outcome: Outcome | None = None
    reason: str = ""


@message
class SettleClaim(Message, frozen=True, tag="t.settle"):
    """Records what became of a claimed request."""

    shard_id: ShardId
    question_id: str
    request_id: RequestId
    outcome: Outcome


@message
class SettleAnswer(Message, frozen=True, tag="t.settled"):
    """Whether the outcome was recorded."""

    question_id: str
    recorded: bool
