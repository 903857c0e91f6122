"""Messages by which agents and entries know of each other.

Every agent of a region keeps one channel to each entry of the region. The agent
opens with `AgentHello`, the entry answers `EntryHello`. From then on the agent
sends `AgentStatus` each interval, and the entry sends the list of entries, the
configuration and nominations for shards as they change. `Post` carries mail
between any two processes of the region; an entry passes it on.
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
    """Where an entry listens for agents."""

    entry_id: EntryId
    host: str
    port: int
    place: PlaceName


@message
class AgentHello(Message, frozen=True, tag="hello"):
    """The first message of an agent on a channel.

    ``worker_id`` is empty for an agent that has only a runner. ``linked_entries``
    are the entries to which the agent has an open channel; such an entry answers
    and leaves that channel in place.
    """

    agent_id: AgentId
    worker_id: WorkerId
    place: PlaceName
    capacity: Shape
    linked_entries: tuple[EntryId, ...] = ()


@message
class EntryHello(Message, frozen=True, tag="welcome"):
    """The entry's answer."""

    entry_id: EntryId


class RunnerStatus(Message, frozen=True):
    """The load of the runner beside an agent."""

    service: ServiceName
    n_slots: int
    n_busy: int
    n_queued: int
    latency_ms: float = 0.0
    burn_rate: float = 0.0
    ejected: bool = False


@message
class AgentStatus(Message, frozen=True, tag="status"):
    """What an agent says of itself each interval and when something changes.

    ``free`` is what it would admit now. ``owned`` names its shards with their
    epochs. ``classes`` counts the running tasks of each class. ``harms`` holds, for
    each class that the worker has met, the learned factor on its services' latency,
    and ``crest_millicores`` what the services are expected to use at their crest.
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
    harms: tuple[tuple[TaskClass, float], ...] = ()
    peak_millicores: int = 0


@message
class EntryList(Message, frozen=True, tag="entries"):
    """All entries of the region that are alive."""

    entries: tuple[EntryAddress, ...]


@message
class ConfigPush(Message, frozen=True, tag="config"):
    """A configuration in force; agents refuse one lower than they hold."""

    revision: int
    toml: bytes


@message
class NominateOwner(Message, frozen=True, tag="nominate"):
    """Asks an agent to own a shard; safety lies in the shard's head alone."""

    shard_id: ShardId


@message
class ReleaseShard(Message, frozen=True, tag="release"):
    """Asks the owner of a shard to hand it over."""

    shard_id: ShardId
    epoch: Epoch


@message
class DrainRequest(Message, frozen=True, tag="drain"):
    """Asks an agent to take no new work, finish or checkpoint, and stay idle.

    ``resume`` ends an earlier drain.
    """

    resume: bool = False


@message
class Goodbye(Message, frozen=True, tag="bye"):
    """The sender leaves after this message, on purpose."""


@message
class RoutedMessage(Message, frozen=True, tag="post"):
    """Mail from one process to another; ``body`` is an encoded message.

    It may be lost, repeated or overtaken: every exchange repeats until answered.
    """

    sender: str
    to: str
    body: bytes


@message
class FindCandidates(Message, frozen=True, tag="find"):
    """Asks an entry which agents could hold a task."""

    query_id: int
    shape: Shape
    task_class: TaskClass
    n_wanted: int
    avoid: tuple[WorkerId, ...] = ()
    urgent: bool = False


class FoundAgent(Message, frozen=True):
    """One agent of an answer, best first."""

    agent_id: AgentId
    worker_id: WorkerId
    place: PlaceName
    free: Shape


@message
class CandidatesFound(Message, frozen=True, tag="found"):
    """The entry's answer.

    ``feasible`` is False when no known worker's whole capacity holds the shape.
    """

    query_id: int
    agents: tuple[FoundAgent, ...]
    feasible: bool
    n_workers_known: int
