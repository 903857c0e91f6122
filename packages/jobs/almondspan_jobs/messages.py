"""Messages between entries, the owner and agents.

The owner dials every agent and opens with `OwnerHello`; entries dial the owner. All
orders name the worker's lifetime, so that none reaches a later one, and every message
to an agent is valid for the epoch of its channel only. A repeated order has no further
effect.
"""

from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_graph import QueueName
from almondspan_wire.codec import Message, message

__all__ = [
    "PendingCountRequest",
    "StateRequest",
    "TaskTraitsUpdate",
    "InterferenceUpdate",
    "JobCancelled",
    "JobStored",
    "LeaseRenewal",
    "OwnerHello",
    "OwnerReplaced",
    "PendingCountReply",
    "RelayReady",
    "RelayRequest",
    "StartCommand",
    "StartReply",
    "StateReply",
    "StopCommand",
    "AttemptRevoked",
    "StoreJob",
    "StoreReply",
    "TaskTraits",
    "WorkerListing",
    "WorkerReport",
]


@message
class OwnerHello(Message, frozen=True, tag="j-hello"):
    """The owner's first message to an agent; the epoch is the fence of its orders."""

    epoch: int
    owner: str
    host: str
    port: int


@message
class OwnerReplaced(Message, frozen=True, tag="j-replaced"):
    """Tells an owner that a later one has linked the agent, and where that listens."""

    epoch: int
    owner: str
    host: str
    port: int


@message
class RelayRequest(Message, frozen=True, tag="j-relay"):
    """Asks an agent to go on to an address; an empty host means its owner."""

    host: str
    port: int


@message
class RelayReady(Message, frozen=True, tag="j-relayed"):
    """The agent is connected to the address; the first fields name its owner."""

    epoch: int
    owner: str
    host: str
    port: int


@message
class LeaseRenewal(Message, frozen=True, tag="j-renew"):
    """Lengthens a worker's lease and notes the ends whose effect is stored."""

    started_ms: int
    until_ms: int
    n_acknowledged: int


class TaskTraits(Message, frozen=True):
    """What an agent must know of a task to pace it."""

    task: str
    image: str
    tail_target_ms: int
    fills: bool
    cpu_millicores: int


@message
class TaskTraitsUpdate(Message, frozen=True, tag="j-facts"):
    """The facts of every task assigned to the agent's worker."""

    tasks: list[TaskTraits]


@message
class InterferenceUpdate(Message, frozen=True, tag="j-harm"):
    """What a whole worker of each filling image costs serving images in headroom."""

    weights: list[tuple[str, str, float]]


@message
class StartCommand(Message, frozen=True, tag="j-start"):
    """Starts one attempt."""

    started_ms: int
    attempt: int
    payload: str
    checkpoint: str
    until_ms: int
    traits: TaskTraits


@message
class StartReply(Message, frozen=True, tag="j-started"):
    """What the worker answered to a start."""

    started_ms: int
    task: str
    attempt: int
    verdict: str


@message
class StopCommand(Message, frozen=True, tag="j-stop"):
    """Stops an attempt; `is_void` also asks for proof that it is not there."""

    task: str
    attempt: int
    is_revocation: bool = False


@message
class AttemptRevoked(Message, frozen=True, tag="j-void"):
    """The attempt can't start any more on the life that was asked.

    Sent after a listing that began once the worker had answered the stop.
    """

    started_ms: int
    task: str
    attempt: int


@message
class WorkerReport(Message, frozen=True, tag="j-worker"):
    """The agent's worker as it last described itself."""

    worker_id: WorkerId
    started_ms: int
    service: ServiceName
    place: PlaceName
    cpu_millicores: int
    memory_mb: int
    n_accelerators: int
    labels: list[str]
    is_leaving: bool
    leaves_ms: int
    has_left: bool = False


@message
class WorkerListing(Message, frozen=True, tag="j-list"):
    """What the worker listed: rows of task, attempt, checkpoint, percent, figure
    and rows of number, task, attempt, how, checkpoint.
    """

    started_ms: int
    clock_ms: int
    running: list[tuple[str, int, str, int, float]]
    ended: list[tuple[int, str, int, str, str]]
    is_paced: bool = False
    """Tasks that fill work at a lower pace than they could."""


@message
class StateRequest(Message, frozen=True, tag="j-state?"):
    """Asks the owner for a job's state."""

    number: int
    job_id: JobId


@message
class StateReply(Message, frozen=True, tag="j-state"):
    """The state as callers are told it; empty when the owner does not know the job."""

    number: int
    state: str


@message
class PendingCountRequest(Message, frozen=True, tag="j-pending?"):
    """Asks the owner how many jobs of a queue have not begun."""

    number: int
    queue: QueueName


@message
class PendingCountReply(Message, frozen=True, tag="j-pending"):
    """The count; -1 when the owner can't tell now."""

    number: int
    n_jobs: int


@message
class JobStored(Message, frozen=True, tag="j-stored"):
    """Tells the owner of a stored job before its watch does."""

    job_id: JobId
    record: bytes


@message
class JobCancelled(Message, frozen=True, tag="j-cancelled"):
    """Tells the owner of a stored cancellation before its watch does."""

    job_id: JobId


@message
class StoreJob(Message, frozen=True, tag="j-store"):
    """Asks the owner to store a job or a cancellation for an entry without a store."""

    number: int
    job_id: JobId
    record: bytes
    """Empty for a cancellation."""


@message
class StoreReply(Message, frozen=True, tag="j-store-reply"):
    """What became of it, as the name of a `StoreResult`."""

    number: int
    result: str
