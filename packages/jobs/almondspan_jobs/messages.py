"""Messages between entries, the owner and agents.

The owner connects to every agent and first sends `OwnerHello`; entries connect to the
owner. A `StartCommand` names the incarnation of the worker, so that a later incarnation
does not execute it. Every message to an agent is valid only for the epoch of its
channel. Commands are idempotent.

On the wire a message is its tag followed by its fields in the declared order. A tag
that the receiver does not know ends the channel, so a later message is sent only to
processes that have announced to accept it.
"""

from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_graph import QueueName
from almondspan_wire.codec import Message, message
from almondspan_wire.fields import (
    Count,
    Host,
    Measure,
    Number,
    OptionalHost,
    OptionalPort,
    Port,
)

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
    "EvacuatedPlaces",
    "EvacuationsReply",
    "EvacuationsRequest",
    "RelayReady",
    "RelayRequest",
    "RemainingTaskRow",
    "StartCommand",
    "StartReply",
    "StateReply",
    "StopCommand",
    "AttemptRevoked",
    "StoreJob",
    "StoreReply",
    "AdmissionRequest",
    "AdmissionUpdate",
    "TaskTraits",
    "WorkerListing",
    "WorkerReport",
    "WorkerUnreachable",
]


@message
class OwnerHello(Message, frozen=True, tag="j-hello"):
    """The owner's first message to an agent; the epoch is the fence of its commands."""

    epoch: Count
    owner: str
    host: Host
    port: Port
    accepts_unreachable: bool = False
    """Whether the owner knows `WorkerUnreachable`; unknown messages end its channel."""
    agent: str = ""
    """The node of the agent that the owner means; empty from an earlier release."""
    evacuated: list[str] = []
    """The evacuated places; the agent starts no task of a worker there."""


@message
class OwnerReplaced(Message, frozen=True, tag="j-replaced"):
    """Tells an owner that a later owner has connected, and where that one listens."""

    epoch: Count
    owner: str
    host: Host
    port: Port


@message
class RelayRequest(Message, frozen=True, tag="j-relay"):
    """Asks an agent to relay to an address; an empty host means its owner."""

    host: OptionalHost
    port: OptionalPort


@message
class RelayReady(Message, frozen=True, tag="j-relayed"):
    """The agent is connected to the address; `epoch` and `owner` describe its owner."""

    epoch: Count
    owner: str
    host: Host
    port: Port


@message
class LeaseRenewal(Message, frozen=True, tag="j-renew"):
    """Extends a worker's lease and acknowledges the ends whose effect is stored."""

    started_ms: int
    until_ms: int
    n_acknowledged: int


class TaskTraits(Message, frozen=True):
    """The properties of a task that its agent needs to pace it."""

    task: str
    image: str
    tail_target_ms: int
    fills: bool
    """Whether the task is best-effort."""
    cpu_millicores: int


@message
class TaskTraitsUpdate(Message, frozen=True, tag="j-facts"):
    """The traits of every task assigned to the agent's worker."""

    tasks: list[TaskTraits]


@message
class InterferenceUpdate(Message, frozen=True, tag="j-harm"):
    """Interference weights: rows of serving image, best-effort image and weight.

    The weight is the headroom that a serving task of the first image loses when tasks
    of the second image use all processors of its worker.
    """

    weights: list[tuple[str, str, Measure]]


@message
class StartCommand(Message, frozen=True, tag="j-start"):
    """Starts one attempt on one incarnation of the worker."""

    started_ms: int
    attempt: int
    payload: str
    checkpoint: str
    until_ms: int
    traits: TaskTraits
    is_trial: bool = False
    """Whether the worker is to be listed again once the task should be running."""


@message
class StartReply(Message, frozen=True, tag="j-started"):
    """The worker's answer to a `StartCommand`; `verdict` is a `Verdict`'s value."""

    started_ms: int
    task: str
    attempt: int
    verdict: str
    is_proven: bool = False
    """Whether this incarnation, and no later one of its id, has confirmed the start."""


@message
class StopCommand(Message, frozen=True, tag="j-stop"):
    """Stops an attempt; if `is_revocation`, `AttemptRevoked` is also expected."""

    task: str
    attempt: int
    is_revocation: bool = False


@message
class AttemptRevoked(Message, frozen=True, tag="j-void"):
    """The attempt does not run on the polled incarnation and can't start there later.

    Sent when a poll that began after the worker's answer to the stop does not list the
    attempt as running, and has listed all ends: the owner has then heard of its end, if
    it had one.
    """

    started_ms: int
    task: str
    attempt: int


@message
class WorkerReport(Message, frozen=True, tag="j-worker"):
    """The latest report of the agent's worker about itself."""

    worker_id: WorkerId
    started_ms: Count
    service: ServiceName
    place: PlaceName
    cpu_millicores: Count
    memory_mb: Count
    n_accelerators: Count
    labels: list[str]
    is_leaving: bool
    leaves_ms: Number
    has_left: bool = False
    accepts_evacuations: bool = False
    """Whether the agent knows `EvacuatedPlaces`; unknown messages end its channel."""


@message
class WorkerListing(Message, frozen=True, tag="j-list"):
    """The result of one poll of the worker.

    `running` has rows of task, attempt, checkpoint, percent and measurement; `ended`
    has rows of number, task, attempt, end reason and checkpoint.
    """

    started_ms: Count
    clock_ms: Number
    running: list[tuple[str, Count, str, Number, Measure]]
    ended: list[tuple[Count, str, Count, str, str]]
    is_paced: bool = False
    """Whether best-effort tasks run below their full pace."""
    lists_all_ends: bool = True
    """Whether an attempt that is not listed has no end that is still to be listed."""


@message
class WorkerUnreachable(Message, frozen=True, tag="j-unreachable"):
    """Polls of the worker fail; until its next listing, starts would fail too.

    Sent only to an owner whose `OwnerHello` accepts it.
    """

    started_ms: Count
    verdict: str


@message
class EvacuatedPlaces(Message, frozen=True, tag="j-evacuated"):
    """The places that are evacuated from now on, in place of those told before.

    Sent only to an agent whose `WorkerReport` accepts it.
    """

    places: list[str]


@message
class EvacuationsRequest(Message, frozen=True, tag="j-evacuations?"):
    """Asks an entry which places are evacuated, and what runs there; see the reply."""

    number: int


class RemainingTaskRow(Message, frozen=True):
    """A task that is assigned to a worker in an evacuated place."""

    task: str
    worker: str
    place: str
    outlook: str
    """An `Outlook`'s value: whether it finishes, moves, or can't move."""


@message
class EvacuationsReply(Message, frozen=True, tag="j-evacuations"):
    """What an entry knows of the evacuations; only the owner knows the tasks.

    `places` has rows of place and time since the entry first read the request, in
    milliseconds. `counts` has rows of place, outlook and number of tasks.
    """

    number: int
    is_used: bool
    """Whether the deployment has evacuations."""
    is_owner: bool
    owner: str
    """The node of the owner; empty if the entry knows none."""
    host: OptionalHost
    port: OptionalPort
    age_ms: Number
    """Time since the requests were last read from the store; -1 if they never were."""
    places: list[tuple[str, Number]]
    counts: list[tuple[str, str, Count]]
    tasks: list[RemainingTaskRow]
    """The first tasks; `counts` has them all."""


@message
class StateRequest(Message, frozen=True, tag="j-state?"):
    """Asks the owner for a job's state."""

    number: int
    job_id: JobId


@message
class StateReply(Message, frozen=True, tag="j-state"):
    """The stored state of a job; empty when the owner does not know it."""

    number: int
    state: str


@message
class PendingCountRequest(Message, frozen=True, tag="j-pending?"):
    """Asks the owner how many jobs of a queue are pending."""

    number: int
    queue: QueueName


@message
class PendingCountReply(Message, frozen=True, tag="j-pending"):
    """The number of pending jobs; -1 when the owner is not serving."""

    number: int
    n_jobs: int


@message
class AdmissionRequest(Message, frozen=True, tag="j-admission?"):
    """An entry asks for the figures by which it may reject jobs.

    Sent only to an owner whose `OwnerRecord` answers it.
    """

    number: int
    entry: str
    is_settled: bool
    """Whether no write of the entry is unanswered for long, or of uncertain outcome."""
    sizes_epoch: Count
    sizes_version: Count
    """Which sizes of workers the entry has."""


@message
class AdmissionUpdate(Message, frozen=True, tag="j-admission"):
    """The figures by which entries may reject jobs (see `almondspan_decisions`).

    `sizes` has rows of service, label, processors in thousandths, memory in megabytes
    and accelerators; it is empty if the entry has them already. `backlogs` has rows of
    queue, seconds to drain, seconds for one more job, and waiting jobs.
    """

    number: int
    is_settled: bool
    n_entries: Count
    are_sizes_known: bool
    sizes_epoch: Count
    sizes_version: Count
    sizes: list[tuple[str, str, Count, Count, Count]]
    backlogs: list[tuple[str, Measure, Measure, Count]]


@message
class JobStored(Message, frozen=True, tag="j-stored"):
    """Notifies the owner of a stored job ahead of its store watch."""

    job_id: JobId
    record: bytes
    revision: Count = 0
    """The store's revision of the record; 0 from an entry of an earlier release."""


@message
class JobCancelled(Message, frozen=True, tag="j-cancelled"):
    """Notifies the owner of a stored cancellation ahead of its store watch."""

    job_id: JobId


@message
class StoreJob(Message, frozen=True, tag="j-store"):
    """Asks the owner to write a job or a cancellation that the sender could not."""

    number: int
    job_id: JobId
    record: bytes
    """Empty for a cancellation."""


@message
class StoreReply(Message, frozen=True, tag="j-store-reply"):
    """The result of a `StoreJob`, as the value of a `StoreResult`."""

    number: int
    result: str
