"""What a process tells of the calls of a service and of its colocation."""

from almondspan_decisions.ids import ServiceName, TaskClass
from almondspan_wire.codec import Message, message

__all__ = ["BurnAnswer", "BurnAsk", "PairEvidence", "ServiceEvidence", "WindowCounts"]


class WindowCounts(Message, frozen=True):
    """Calls that ended in a window, and how many missed the objective."""

    window_s: float
    n_calls: int
    n_missed: int


class PairEvidence(Message, frozen=True):
    """By what factor a task class slowed the service, as one process learned it."""

    task_class: TaskClass
    slowdown: float
    n_observations: int


class ServiceEvidence(Message, frozen=True):
    """One process's figures of one service.

    ``sketch`` is an encoded `LatencySketch` of milliseconds, so that tails merge
    without loss.
    """

    service: ServiceName
    windows: tuple[WindowCounts, ...]
    sketch: bytes = b""
    n_throttles: int = 0
    n_checkpoints: int = 0
    n_evictions: int = 0
    pairs: tuple[PairEvidence, ...] = ()


@message
class BurnAsk(Message, frozen=True, tag="burn?"):
    """Asks a process for its figures."""

    query_id: int


@message
class BurnAnswer(Message, frozen=True, tag="burn"):
    """A process's figures of every service that it sees."""

    query_id: int
    services: tuple[ServiceEvidence, ...]
