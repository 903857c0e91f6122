"""Messages of the membership protocol between agents and entries.

Every agent of a region keeps one channel to each entry of the region. The agent opens
it with `AgentHello`, which the entry answers with `EntryHello`. From then on the agent
sends an `AgentStatus` at every interval, and the entry sends the list of entries, the
configuration and nominations of shard owners as they change. A `RoutedMessage` carries
a message between any two processes of the region and is forwarded by an entry.
"""

from almondspan_decisions.ids import (
    AgentId,
    EntryId,
    Epoch,
    PlaceName,
    ServiceName,
    ShardId,
    TaskClass,
    WorkerId,
)
from almondspan_decisions.shapes import Shape
from almondspan_wire.codec import Message, message

__all__ = [
    "AgentHello",
    "AgentStatus",
    "CandidatesFound",
    "ConfigPush",
    "DrainRequest",
    "EntryAddress",
    "EntryHello",
    "EntryList",
    "FindCandidates",
    "FoundAgent",
    "Goodbye",
    "NominateOwner",
    "RoutedMessage",
    "ReleaseShard",
    "RunnerStatus",
]


class EntryAddress(Message, frozen=True):
    """The address on which an entry listens for agents."""

    entry_id: EntryId
    host: str
    port: int
    place: PlaceName


@message
class AgentHello(Message, frozen=True, tag="hello"):
    """The first message of an agent on a channel.

    ``worker_id`` is empty for an agent that has only a runner. ``linked_entries`` are
    the entries to which the agent already has an open channel; such an entry answers
    but keeps the existing channel.
    """

    agent_id: AgentId
    worker_id: WorkerId
    place: PlaceName
    capacity: Shape
    linked_entries: tuple[EntryId, ...] = ()


@message
class EntryHello(Message, frozen=True, tag="welcome"):
    """The entry's answer to `AgentHello`."""

    entry_id: EntryId


class RunnerStatus(Message, frozen=True):
    """The load of a runner next to an agent."""

    service: ServiceName
    n_slots: int
    n_busy: int
    n_queued: int
    latency_ms: float = 0.0
    burn_rate: float = 0.0
    ejected: bool = False


@message
class AgentStatus(Message, frozen=True, tag="status"):
    """An agent's state, sent at every interval and when something changes.

    ``free`` is the capacity that it would admit now. ``owned`` lists its shards with
    their epochs. ``classes`` counts the running tasks of each class. ``ladder_level``
    is the level of its escalation. ``resting`` is set while the worker accepts no new
    tasks. ``slowdowns`` holds, for each class that has run on the worker, the learned
    factor by which it increases its services' latency. ``peak_millicores`` is the
    expected processor use of the services at peak load.
    """

    sequence: int
    free: Shape
    n_tasks: int
    draining: bool
    config_revision: int
    owned: tuple[tuple[ShardId, Epoch], ...] = ()
    runners: tuple[RunnerStatus, ...] = ()
    classes: tuple[tuple[TaskClass, int], ...] = ()
    ladder_level: int = 0
    resting: bool = False
    cpu_used_millicores: int = 0
    slowdowns: tuple[tuple[TaskClass, float], ...] = ()
    peak_millicores: int = 0


@message
class EntryList(Message, frozen=True, tag="entries"):
    """All live entries of the region."""

    entries: tuple[EntryAddress, ...]


@message
class ConfigPush(Message, frozen=True, tag="config"):
    """The active configuration; agents reject a lower revision than their own."""

    revision: int
    toml: bytes


@message
class NominateOwner(Message, frozen=True, tag="nominate"):
    """Requests that an agent take ownership of a shard.

    Exclusive ownership is guaranteed by the shard's head record in the store alone.
    """

    shard_id: ShardId


@message
class ReleaseShard(Message, frozen=True, tag="release"):
    """Requests that the owner of a shard release it."""

    shard_id: ShardId
    epoch: Epoch


@message
class DrainRequest(Message, frozen=True, tag="drain"):
    """Requests that an agent finish or checkpoint its work and accept no more.

    ``resume`` ends an earlier drain.
    """

    resume: bool = False


@message
class Goodbye(Message, frozen=True, tag="bye"):
    """The sender is shutting down and will close the channel."""


@message
class RoutedMessage(Message, frozen=True, tag="post"):
    """A message from one process to another; ``body`` is its encoding.

    It may be lost, repeated or reordered, so requests are repeated until answered.
    """

    sender: str
    to: str
    body: bytes


@message
class FindCandidates(Message, frozen=True, tag="find"):
    """Asks an entry which agents have the capacity for a task."""

    query_id: int
    shape: Shape
    task_class: TaskClass
    n_wanted: int
    avoid: tuple[WorkerId, ...] = ()
    urgent: bool = False


class FoundAgent(Message, frozen=True):
    """One agent of `CandidatesFound`."""

    agent_id: AgentId
    worker_id: WorkerId
    place: PlaceName
    free: Shape


@message
class CandidatesFound(Message, frozen=True, tag="found"):
    """The entry's answer to `FindCandidates`, with the best agent first.

    ``feasible`` is False if the shape exceeds the total capacity of every known worker.
    """

    query_id: int
    agents: tuple[FoundAgent, ...]
    feasible: bool
    n_workers_known: int
