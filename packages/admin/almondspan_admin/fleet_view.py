"""The interface between the administration API and the fleet, with its data types."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from almondspan_decisions.ids import (
    AgentId,
    Epoch,
    PlaceName,
    ServiceName,
    ShardId,
    TaskClass,
    WorkerId,
)
from almondspan_decisions.shapes import Shape

__all__ = [
    "SILENT_AFTER_S",
    "AlertBurn",
    "AgentSummary",
    "ChangeResult",
    "FleetView",
    "InterferingPair",
    "LatencyBucket",
    "RunnerSummary",
    "ServiceBurn",
    "ShardSummary",
    "WindowBurn",
]


@dataclass(frozen=True, slots=True)
class RunnerSummary:
    """The load of a runner as last reported by its agent."""

    service: ServiceName
    n_slots: int
    n_busy: int
    n_queued: int
    latency_ms: float = 0.0
    burn_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class AgentSummary:
    """An agent as it last reported to the entry.

    ``silent_s`` is the time since its last status report. ``config_revision`` is the
    revision that it acknowledged. ``resting`` means that it accepts no new tasks for a
    while because too many attempts failed there. ``ladder_level`` is the escalation
    level of its measures against tasks that slow its services; 0 means none.
    """

    agent_id: AgentId
    worker_id: WorkerId
    place: PlaceName
    capacity: Shape
    free: Shape
    n_tasks: int
    draining: bool
    resting: bool
    config_revision: int
    silent_s: float
    n_shards: int = 0
    ladder_level: int = 0
    runners: tuple[RunnerSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class ShardSummary:
    """A shard; ``owner`` is empty while no owner is known."""

    shard_id: ShardId
    owner: AgentId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """How fast a service consumes its error budget over one window.

    A burn rate of 1 consumes exactly the budget; if ``n_calls`` is 0 there is no
    evidence.
    """

    window_s: float
    burn_rate: float
    n_calls: int
    n_missed: int = 0


@dataclass(frozen=True, slots=True)
class AlertBurn:
    """The state of an alert rule over two windows.

    It fires when the burn rates of both windows reach the threshold.
    """

    severity: str
    short_s: float
    long_s: float
    threshold: float
    short_burn_rate: float
    long_burn_rate: float
    firing: bool


@dataclass(frozen=True, slots=True)
class InterferingPair:
    """A task class and the factor by which it slows a service on the same worker."""

    task_class: TaskClass
    slowdown: float
    n_observations: int


@dataclass(frozen=True, slots=True)
class LatencyBucket:
    """A bucket of a latency histogram."""

    latency_ms: float
    n_calls: int


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """The burn of a service over all processes that answered.

    ``budget_spent_share`` refers to the longest window; it is 1 when as many calls
    missed the objective as it allows. ``n_missing`` counts processes that did not
    answer; the statistics are complete only if it is 0.
    """

    service: ServiceName
    objective_latency_ms: float
    objective_share: float
    p50_ms: float
    p99_ms: float
    budget_spent_share: float
    p999_ms: float = 0.0
    windows: tuple[WindowBurn, ...] = ()
    alerts: tuple[AlertBurn, ...] = ()
    latencies: tuple[LatencyBucket, ...] = ()
    n_throttles: int = 0
    n_checkpoints: int = 0
    n_evictions: int = 0
    pairs: tuple[InterferingPair, ...] = ()
    n_reporting: int = 0
    n_missing: int = 0


SILENT_AFTER_S: Final = 10.0
"""An agent without a status report for longer counts as silent, in seconds."""


class ChangeResult(Enum):
    """The result of an operator's request to the fleet."""

    DONE = "done"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    """The request timed out and may still take effect; it may be repeated."""


class FleetView(Protocol):
    """An entry's view of the fleet, and the requests that operators make to it."""

    def agents(self) -> tuple[AgentSummary, ...]:
        """Return all known agents, including silent ones."""
        ...

    def shards(self) -> tuple[ShardSummary, ...]:
        """Return all shards of the region."""
        ...

    async def burn(self) -> tuple[ServiceBurn, ...]:
        """Return the burn of every service of the configuration."""
        ...

    async def drain(self, agent_id: AgentId, resume: bool = False) -> ChangeResult:
        """Stop an agent from accepting new work, or let it accept work again."""
        ...

    async def declare_lost(self, workers: tuple[WorkerId, ...]) -> ChangeResult:
        """Treat all running attempts on these workers as ended."""
        ...
