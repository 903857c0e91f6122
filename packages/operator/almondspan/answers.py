"""The administration API's response bodies, as the command line decodes them.

Unknown fields are ignored, so the command line also works with entries of a newer
release.
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
    """An invalid value in a configuration, and what is allowed."""

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
    """Why a request was rejected."""

    kind: str
    reason: str
    may_have_applied: bool = False
    faults: tuple[Fault, ...] = ()
    current: Config | None = None


class Accepted(msgspec.Struct, frozen=True):
    """The revision under which a configuration was accepted."""

    revision: int


class ConfigRevision(msgspec.Struct, frozen=True):
    """A stored revision without its text."""

    revision: int
    author: str
    submitted_unix_s: float
    n_bytes: int


class ConfigHistory(msgspec.Struct, frozen=True):
    """The stored revisions, oldest first."""

    revisions: tuple[ConfigRevision, ...]


class ConfigDiff(msgspec.Struct, frozen=True):
    """How a text differs from the configuration at a revision."""

    revision: int
    differences: tuple[Difference, ...]


class RevisionShare(msgspec.Struct, frozen=True):
    """How many agents have acknowledged a revision, and their share."""

    revision: int
    n_agents: int
    share: float


class ConfigStatus(msgspec.Struct, frozen=True):
    """The current revision, and which revisions the agents have acknowledged."""

    revision: int
    n_agents: int
    n_silent: int
    shares: tuple[RevisionShare, ...]


class SubmitResult(msgspec.Struct, frozen=True):
    """The result of submitting one job."""

    job_id: str
    state: str
    reason: str = ""


class SubmitResults(msgspec.Struct, frozen=True):
    """The results of submitting a batch."""

    results: tuple[SubmitResult, ...]


class Job(msgspec.Struct, frozen=True):
    """The status of a job."""

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
    """The status of several jobs."""

    jobs: tuple[Job, ...]


class OrderTerms(msgspec.Struct, frozen=True):
    """The terms of a hand-back order."""

    name: str
    team: str
    deadline_unix_s: float
    stages: tuple[str, ...]
    n_records: int = 0
    records_sha256: str = ""


class Ledger(msgspec.Struct, frozen=True):
    """The terms of an order and the status of its jobs."""

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
    """An agent as it last reported to the entry."""

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
    """All known agents."""

    agents: tuple[Agent, ...]


class Shard(msgspec.Struct, frozen=True):
    """A shard and its owner."""

    shard_id: int
    owner: str
    epoch: int


class Shards(msgspec.Struct, frozen=True):
    """All shards."""

    shards: tuple[Shard, ...]


class Window(msgspec.Struct, frozen=True):
    """The burn rate over one window."""

    window_s: float
    burn_rate: float
    n_calls: int
    n_missed: int = 0


class Pair(msgspec.Struct, frozen=True):
    """A task class and the factor by which it slows a service."""

    task_class: str
    slowdown: float
    n_observations: int


class Alert(msgspec.Struct, frozen=True):
    """The state of an alert rule over two windows."""

    severity: str
    short_s: float
    long_s: float
    threshold: float
    short_burn_rate: float
    long_burn_rate: float
    firing: bool


class Latency(msgspec.Struct, frozen=True):
    """A bucket of a latency histogram."""

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
    """The burn of all services."""

    services: tuple[Service, ...]


class Drained(msgspec.Struct, frozen=True):
    """The agent that was told to drain, or to accept work again."""

    agent_id: str


class Loss(msgspec.Struct, frozen=True):
    """The consequence of declaring a loss."""

    kind: str
    name: str
    workers: tuple[str, ...]
    consequence: tuple[str, ...]
    token: str
    declared: bool
