"""What the administration API asks of the fleet."""

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
    """The load of a runner as its agent last told."""

    service: ServiceName
    n_slots: int
    n_busy: int
    n_queued: int
    latency_ms: float = 0.0
    burn_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class AgentSummary:
    """An agent as the entry last heard of it.

    ``silent_s`` is the time since its last status. ``config_revision`` is the
    revision that it acknowledged.
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
    """A shard; ``owner`` is empty while nobody is known to own it."""

    shard_id: ShardId
    owner: AgentId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """How fast a service spends its error budget over one window.

    A rate of 1 spends exactly the budget; ``n_calls`` of 0 means no evidence.
    """

    window_s: float
    burn_rate: float
    n_calls: int
    n_missed: int = 0


@dataclass(frozen=True, slots=True)
class AlertBurn:
    """A rule over two windows: it fires when both burn at the threshold."""

    severity: str
    short_s: float
    long_s: float
    threshold: float
    short_burn_rate: float
    long_burn_rate: float
    firing: bool


@dataclass(frozen=True, slots=True)
class InterferingPair:
    """A task class and by what factor it slows a service beside it."""

    task_class: TaskClass
    slowdown: float
    n_observations: int


@dataclass(frozen=True, slots=True)
class LatencyBucket:
    """Calls of about one latency."""

    latency_ms: float
    n_calls: int


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """The burn of a service over all processes that answered.

    ``budget_spent_share`` is of the longest window: 1 when as many calls missed
    the objective as it allows. ``n_missing`` counts processes that gave no
    figures; the figures are whole only when it is 0.
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
"""An agent that told nothing for longer counts as silent, in seconds."""


class ChangeResult(Enum):
    """What became of an operator's request to the fleet."""

    DONE = "done"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    """It may take effect; repeat it."""


class FleetView(Protocol):
    """What an entry knows of the fleet, and what operators ask of it."""

    def agents(self) -> tuple[AgentSummary, ...]:
        """Return every agent that is known, the silent ones included."""
        ...

    def shards(self) -> tuple[ShardSummary, ...]:
        """Return every shard of the region."""
        ...

    async def burn(self) -> tuple[ServiceBurn, ...]:
        """Return the burn of every service of the configuration."""
        ...

    async def drain(self, agent_id: AgentId, resume: bool = False) -> ChangeResult:
        """Let an agent refuse new work and finish what it has, or take work again."""
        ...

    async def declare_lost(self, workers: tuple[WorkerId, ...]) -> ChangeResult:
        """Take these workers' running attempts for ended, on an operator's word."""
        ...
