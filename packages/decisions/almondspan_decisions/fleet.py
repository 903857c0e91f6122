"""The fleet configuration that operators submit, as typed values.

The store keeps one configuration for the fleet, as canonical TOML with a revision
number. Every process parses it into a `FleetConfig`.
"""

from dataclasses import dataclass, replace

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

    The objective is that at least ``objective_share`` of the calls end within
    ``objective_latency_ms``.
    """

    name: ServiceName
    objective_latency_ms: float
    objective_share: float = 0.99
    default_timeout_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class TeamConfig:
    """A team, its quota and the digest of its bearer token.

    ``quota_share`` is the dominant share of the fleet that the team's running tasks may
    use. ``token_sha256`` is the lower-case hexadecimal digest. ``max_requests_per_s``
    limits its administration requests at each entry; 0 means the entry's own limit.
    """

    name: TeamName
    quota_share: float
    token_sha256: str
    operator: bool = False
    max_requests_per_s: float = 0.0


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
    """A hand-back order: its team, deadline and the stages of each record.

    ``records_sha256`` is the digest of the sorted record names, with which a report
    proves that no ordered record is missing; see `records_digest`. It is empty until
    the set of records is final.
    """

    name: OrderName
    team: TeamName
    deadline_unix_s: float
    stages: tuple[TaskClass, ...]
    n_records: int = 0
    records_sha256: str = ""


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """The names of the active policies.

    ``ladder`` names the escalation policy.
    """

    queue: str = "urgent_first"
    placement: str = "least_loaded"
    routing: str = "three_choices"
    ladder: str = "ladder"


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """All settings that apply to the whole fleet."""

    revision: int = 0
    services: tuple[ServiceConfig, ...] = ()
    teams: tuple[TeamConfig, ...] = ()
    task_classes: tuple[TaskClassConfig, ...] = ()
    orders: tuple[OrderConfig, ...] = ()
    policies: PolicyConfig = PolicyConfig()

    def at_revision(self, revision: int) -> "FleetConfig":
        """Return the same configuration under another revision."""
        return replace(self, revision=revision)
