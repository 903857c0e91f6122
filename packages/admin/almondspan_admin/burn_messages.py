"""Messages that carry the call and colocation statistics of a service."""

from almondspan_decisions.ids import ServiceName, TaskClass
from almondspan_wire.codec import Message, message

__all__ = ["BurnAnswer", "BurnAsk", "PairEvidence", "ServiceEvidence", "WindowCounts"]


class WindowCounts(Message, frozen=True):
    """Calls that ended within a time window, and how many missed the objective."""

    window_s: float
    n_calls: int
    n_missed: int


class PairEvidence(Message, frozen=True):
    """The factor by which a task class slows the service, measured by one process."""

    task_class: TaskClass
    slowdown: float
    n_observations: int


class ServiceEvidence(Message, frozen=True):
    """The statistics of one service in one process.

    ``sketch`` is an encoded `LatencySketch` in milliseconds, so that latency
    quantiles can be merged without loss.
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
    """Asks a process for its statistics."""

    query_id: int


@message
class BurnAnswer(Message, frozen=True, tag="burn"):
    """The statistics of every service that a process serves."""

    query_id: int
    services: tuple[ServiceEvidence, ...]
