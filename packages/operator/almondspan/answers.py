"""The administration API's answers, as the command line reads them.

Fields that a newer release adds are ignored, so that the command line and the
fleet need not be of the same release.
"""

import msgspec

from almondspan_decisions.fleet_diff import Difference
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.shapes import Shape

__all__ = [
    "Accepted",
    "Agent",
    "Agents",
    "Alert",
    "Burn",
    "Config",
    "ConfigDiff",
    "ConfigHistory",
    "ConfigRevision",
    "ConfigStatus",
    "Drained",
    "Fault",
    "Job",
    "Jobs",
    "Latency",
    "Ledger",
    "Loss",
    "OrderTerms",
    "Pair",
    "Refusal",
    "RevisionShare",
    "Runner",
    "Service",
    "Shard",
    "Shards",
    "SubmitResult",
    "SubmitResults",
    "Window",
]


class Fault(msgspec.Struct, frozen=True):
    """A fault of a configuration."""

    key: str
    value: str
    allowed: str


class Config(msgspec.Struct, frozen=True):
    """A revision of the configuration."""

    revision: int
    toml: str
    author: str = ""
    submitted_unix_s: float = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """Why a request was not carried out."""

    kind: str
    reason: str
    may_have_applied: bool = False
    faults: tuple[Fault, ...] = ()
    current: Config | None = None


class Accepted(msgspec.Struct, frozen=True):
    """The revision under which a configuration was accepted."""

    revision: int


class ConfigRevision(msgspec.Struct, frozen=True):
    """A kept revision without its text."""

    revision: int
    author: str
    submitted_unix_s: float
    n_bytes: int


class ConfigHistory(msgspec.Struct, frozen=True):
    """The kept revisions, oldest first."""

    revisions: tuple[ConfigRevision, ...]


class ConfigDiff(msgspec.Struct, frozen=True):
    """What a text would change at a revision."""

    revision: int
    differences: tuple[Difference, ...]


class RevisionShare(msgspec.Struct, frozen=True):
    """The share of agents that hold a revision."""

    revision: int
    n_agents: int
    share: float


class ConfigStatus(msgspec.Struct, frozen=True):
    """Which revisions are in force where."""

    revision: int
    n_agents: int
    n_silent: int
    shares: tuple[RevisionShare, ...]


class SubmitResult(msgspec.Struct, frozen=True):
    """What became of one submitted job."""

    job_id: str
    state: str
    reason: str = ""


class SubmitResults(msgspec.Struct, frozen=True):
    """What became of a batch."""

    results: tuple[SubmitResult, ...]


class Job(msgspec.Struct, frozen=True):
    """Where a job stands."""

    job_id: str
    state: str
    stage_index: int = 0
    n_stages: int = 0
    n_attempts: int = 0
    n_evictions: int = 0
    waiting_reason: str = ""
    outcome: Outcome | None = None
    order_name: str = ""
    record_name: str = ""
    ended_unix_s: float = 0.0


class Jobs(msgspec.Struct, frozen=True):
    """The state of jobs."""

    jobs: tuple[Job, ...]


class OrderTerms(msgspec.Struct, frozen=True):
    """The terms of an order."""

    name: str
    team: str
    deadline_unix_s: float
    stages: tuple[str, ...]
    n_records: int = 0
    records_sha256: str = ""


class Ledger(msgspec.Struct, frozen=True):
    """All jobs of an order beside its terms."""

    order: OrderTerms
    jobs: tuple[Job, ...]
    n_shards_missing: int
    now_unix_s: float


class Runner(msgspec.Struct, frozen=True):
    """The load of a runner."""

    service: str
    n_slots: int
    n_busy: int
    n_queued: int
    latency_ms: float = 0.0
    burn_rate: float = 0.0


class Agent(msgspec.Struct, frozen=True):
    """An agent as an entry last heard of it."""

    agent_id: str
    worker_id: str
    place: str
    capacity: Shape
    free: Shape
    n_tasks: int
    draining: bool
    resting: bool
    config_revision: int
    silent_s: float
    n_shards: int = 0
    ladder_level: int = 0
    runners: tuple[Runner, ...] = ()


class Agents(msgspec.Struct, frozen=True):
    """Every known agent."""

    agents: tuple[Agent, ...]


class Shard(msgspec.Struct, frozen=True):
    """A shard and its owner."""

    shard_id: int
    owner: str
    epoch: int


class Shards(msgspec.Struct, frozen=True):
    """Every shard."""

    shards: tuple[Shard, ...]


class Window(msgspec.Struct, frozen=True):
    """The burn over one window."""

    window_s: float
    burn_rate: float
    n_calls: int
    n_missed: int = 0


class Pair(msgspec.Struct, frozen=True):
    """A task class that slows a service."""

    task_class: str
    slowdown: float
    n_observations: int


class Alert(msgspec.Struct, frozen=True):
    """A rule over two windows with its threshold."""

    severity: str
    short_s: float
    long_s: float
    threshold: float
    short_burn_rate: float
    long_burn_rate: float
    firing: bool


class Latency(msgspec.Struct, frozen=True):
    """Calls of about one latency."""

    latency_ms: float
    n_calls: int


class Service(msgspec.Struct, frozen=True):
    """The burn of a service."""

    service: str
    objective_latency_ms: float
    objective_share: float
    p50_ms: float
    p99_ms: float
    budget_spent_share: float
    p999_ms: float = 0.0
    windows: tuple[Window, ...] = ()
    alerts: tuple[Alert, ...] = ()
    latencies: tuple[Latency, ...] = ()
    n_throttles: int = 0
    n_checkpoints: int = 0
    n_evictions: int = 0
    pairs: tuple[Pair, ...] = ()
    n_reporting: int = 0
    n_missing: int = 0


class Burn(msgspec.Struct, frozen=True):
    """The burn of every service."""

    services: tuple[Service, ...]


class Drained(msgspec.Struct, frozen=True):
    """The agent that drains."""

    agent_id: str


class Loss(msgspec.Struct, frozen=True):
    """The consequence of declaring a loss."""

    kind: str
    name: str
    workers: tuple[str, ...]
    consequence: tuple[str, ...]
    token: str
    declared: bool
