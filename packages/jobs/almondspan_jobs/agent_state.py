"""What the parts of an agent share: its worker's incarnation, the owner's channel."""

from dataclasses import dataclass

from almondspan_decisions.clock_reading import ClockReading
from almondspan_decisions.ids import PlaceName
from almondspan_jobs.messages import OwnerHello
from almondspan_platform.task_worker import WorkerState
from almondspan_wire.channel import Channel
from almondspan_wire.codec import Message

__all__ = ["AgentState", "KnownIncarnation"]


@dataclass(slots=True)
class KnownIncarnation:
    """The agent's state of its worker's current incarnation."""

    state: WorkerState
    until_ms: int = 0
    n_acknowledged: int = 0
    n_listed: int = 0
    """Number of the last end that was forwarded."""
    is_confirmed: bool = False
    """The latest poll was answered, by this incarnation."""
    clock: ClockReading | None = None
    """The incarnation's clock in its latest answer to a poll."""
    failed_verdict: str = ""
    """Why the first poll since the latest listing failed; empty if none has."""


@dataclass(slots=True)
class AgentState:
    """The state of one agent."""

    incarnation: KnownIncarnation | None = None
    """The worker's current incarnation; None until the worker has confirmed one."""
    epoch: int = 0
    """The highest epoch of an owner that has connected."""
    owner: OwnerHello | None = None
    """The owner with the highest epoch, connected or not."""
    channel: Channel | None = None
    evacuated: frozenset[PlaceName] = frozenset()
    """The evacuated places, as the connected owner told them."""

    @property
    def fence(self) -> int | None:
        """The fence of the connected owner; None if there is none."""
        return self.epoch if self.channel is not None else None

    def post(self, body: Message) -> None:
        """Send a message to the connected owner, if there is one."""
        if self.channel is not None:
            self.channel.post(body)
