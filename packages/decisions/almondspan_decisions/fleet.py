"""The configuration that operators submit, as typed values.

The store keeps one configuration for the fleet, as canonical TOML with a revision
number. Every process reads it into a `FleetConfig`.
"""

from dataclasses import dataclass

from almondspan_decisions.ids import OrderName, ServiceName, TaskClass, TeamName

__all__ = [
    "FleetConfig",
    "OrderConfig",
    "PolicyConfig",
    "ServiceConfig",
    "TaskClassConfig",
    "TeamConfig",
]


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A latency-critical service and its objective.

    The objective: at least ``objective_share`` of the calls end within
    ``objective_latency_ms``.
    """

    name: ServiceName
    objective_latency_ms: float
    objective_share: float = 0.99
    default_timeout_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class TeamConfig:
    """A team, its quota and the digest of its bearer token.

    ``quota_share`` is the dominant share of the fleet that the team's running
    tasks may hold. ``token_sha256`` is the lower-case hexadecimal digest.
    """

    name: TeamName
    quota_share: float
    token_sha256: str
    operator: bool = False


@dataclass(frozen=True, slots=True)
class TaskClassConfig:
    """Defaults for the tasks of a class."""

    name: TaskClass
    cpu_millicores: int
    memory_mb: int
    n_accelerators: int = 0
    declared_run_s: float = 60.0
    idempotent: bool = True
    checkpointable: bool = True


@dataclass(frozen=True, slots=True)
class OrderConfig:
    """A hand-back order: its team, deadline and the stages of each record."""

    name: OrderName
    team: TeamName
    deadline_unix_s: float
    stages: tuple[TaskClass, ...]


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """The names of the policies in force."""

    queue: str = "urgent_first"
    placement: str = "least_loaded"
    routing: str = "two_choices"
    ladder: str = "ladder"


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Everything that operators set for the whole fleet."""

    revision: int = 0
    services: tuple[ServiceConfig, ...] = ()
    teams: tuple[TeamConfig, ...] = ()
    task_classes: tuple[TaskClassConfig, ...] = ()
    orders: tuple[OrderConfig, ...] = ()
    policies: PolicyConfig = PolicyConfig()
