"""Request and response bodies of the administration API.

Requests are validated when they are decoded. Unknown fields are rejected, so that a
misspelt ``idempotent`` is not silently replaced by the default. Bytes are encoded as
base64.
"""

from typing import Annotated, Final

from msgspec import Meta, Struct

from almondspan_admin.fleet_view import AgentSummary, ServiceBurn, ShardSummary
from almondspan_decisions.fleet import OrderConfig
from almondspan_decisions.fleet_diff import Difference
from almondspan_decisions.fleet_document import ConfigFault
from almondspan_decisions.ids import (
    AgentId,
    JobId,
    OrderName,
    TaskClass,
    TeamName,
    WorkerId,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec
from almondspan_tasks.job_client import JobStatus, SubmitResult

__all__ = [
    "AcceptedBody",
    "AgentsBody",
    "BurnBody",
    "ConfigBody",
    "ConfigDiffBody",
    "ConfigHistoryBody",
    "ConfigRevisionBody",
    "ConfigStatusBody",
    "ConfigSubmitBody",
    "ConfigTextBody",
    "DrainBody",
    "ErrorBody",
    "JobBody",
    "JobIdsBody",
    "JobStatusesBody",
    "JobsBody",
    "LedgerBody",
    "LossAnswerBody",
    "LossBody",
    "RevisionShareBody",
    "ShardsBody",
    "StageBody",
    "SubmitResultsBody",
    "scoped_job_id",
    "to_job_spec",
    "unscoped_job_id",
]

MAX_JOBS_PER_REQUEST: Final = 1000
MAX_STAGES: Final = 16
MAX_PAYLOAD_BYTES: Final = 64 * 1024

JobIdText = Annotated[
    str,
    Meta(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9][A-Za-z0-9._:@/-]*$"),
]
NameText = Annotated[
    str, Meta(max_length=64, pattern=r"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$")
]
OptionalName = Annotated[
    str, Meta(max_length=64, pattern=r"^([a-z0-9]([a-z0-9._-]*[a-z0-9])?)?$")
]
RecordText = Annotated[
    str, Meta(max_length=120, pattern=r"^([A-Za-z0-9][A-Za-z0-9._:@/-]*)?$")
]
Count = Annotated[int, Meta(ge=0, le=2**53)]
PositiveCount = Annotated[int, Meta(ge=1, le=2**53)]
Seconds = Annotated[float, Meta(gt=0, le=1e8)]
UnixSeconds = Annotated[float, Meta(ge=0, le=1e11)]


class Request(Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of request bodies."""


class StageBody(Request, frozen=True):
    """One stage of a job."""

    task_class: NameText
    cpu_millicores: PositiveCount
    memory_mb: PositiveCount
    declared_run_s: Seconds
    n_accelerators: Count = 0
    payload: Annotated[bytes, Meta(max_length=MAX_PAYLOAD_BYTES)] = b""
    idempotent: bool = True
    checkpointable: bool = True


class JobBody(Request, frozen=True):
    """A job; submitting the same id again is idempotent."""

    job_id: JobIdText
    team: NameText
    stages: Annotated[tuple[StageBody, ...], Meta(min_length=1, max_length=MAX_STAGES)]
    urgent: bool = False
    deadline_unix_s: UnixSeconds = 0.0
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 4
    order_name: OptionalName = ""
    record_name: RecordText = ""


class JobsBody(Request, frozen=True):
    """A batch of jobs."""

    jobs: Annotated[
        tuple[JobBody, ...], Meta(min_length=1, max_length=MAX_JOBS_PER_REQUEST)
    ]


class JobIdsBody(Request, frozen=True):
    """Job ids of one team; only operators may name a team other than their own."""

    job_ids: Annotated[
        tuple[JobIdText, ...], Meta(min_length=1, max_length=MAX_JOBS_PER_REQUEST)
    ]
    team: OptionalName = ""


class ConfigSubmitBody(Request, frozen=True):
    """A configuration that replaces the one at ``expected_revision``.

    ``submission_id`` makes it safe to repeat the request. ``author`` names a person
    within the team, for the history.
    """

    expected_revision: Count
    toml: str
    author: OptionalName = ""
    submission_id: Annotated[str, Meta(max_length=64)] = ""


class ConfigTextBody(Request, frozen=True):
    """A configuration to compare with the current one."""

    toml: str


class LossBody(Request, frozen=True):
    """A worker or place that an operator declares lost.

    ``token`` is empty in the first step, which returns the consequence and the
    token to send in the second.
    """

    kind: Annotated[str, Meta(pattern="^(worker|place)$")]
    name: Annotated[str, Meta(min_length=1, max_length=200)]
    token: Annotated[str, Meta(max_length=200)] = ""


class ConfigRevisionBody(Struct, frozen=True):
    """A revision of the configuration without its text."""

    revision: int
    author: str
    submitted_unix_s: float
    n_bytes: int


class ConfigBody(Struct, frozen=True):
    """A revision of the configuration."""

    revision: int
    toml: str
    author: str = ""
    submitted_unix_s: float = 0.0


class ConfigHistoryBody(Struct, frozen=True):
    """The stored revisions, oldest first."""

    revisions: tuple[ConfigRevisionBody, ...]


class ConfigDiffBody(Struct, frozen=True):
    """How a text differs from the configuration at ``revision``."""

    revision: int
    differences: tuple[Difference, ...]


class RevisionShareBody(Struct, frozen=True):
    """How many agents have acknowledged a revision, and their share of all agents."""

    revision: int
    n_agents: int
    share: float


class ConfigStatusBody(Struct, frozen=True):
    """The current revision, and how many agents have acknowledged each revision."""

    revision: int
    n_agents: int
    n_silent: int
    shares: tuple[RevisionShareBody, ...]


class SubmitResultsBody(Struct, frozen=True):
    """The result of submitting each job of a batch."""

    results: tuple[SubmitResult, ...]


class JobStatusesBody(Struct, frozen=True):
    """The status of each requested job."""

    jobs: tuple[JobStatus, ...]


class LedgerBody(Struct, frozen=True):
    """The terms of an order and the status of its jobs.

    The list of jobs is complete only if ``n_shards_missing`` is 0.
    """

    order: OrderConfig
    jobs: tuple[JobStatus, ...]
    n_shards_missing: int
    now_unix_s: float


class AgentsBody(Struct, frozen=True):
    """All known agents."""

    agents: tuple[AgentSummary, ...]


class ShardsBody(Struct, frozen=True):
    """All shards of the region."""

    shards: tuple[ShardSummary, ...]


class BurnBody(Struct, frozen=True):
    """The burn of all services."""

    services: tuple[ServiceBurn, ...]


class DrainBody(Struct, frozen=True):
    """The agent that was told to drain, or to accept work again."""

    agent_id: AgentId


class LossAnswerBody(Struct, frozen=True):
    """The consequence of declaring a loss.

    ``token`` confirms the declaration in a second request; ``declared`` is true in
    the response to that request.
    """

    kind: str
    name: str
    workers: tuple[WorkerId, ...]
    consequence: tuple[str, ...]
    token: str
    declared: bool


class AcceptedBody(Struct, frozen=True):
    """The revision under which a configuration was accepted."""

    revision: int


class ErrorBody(Struct, frozen=True, omit_defaults=True):
    """Why a request failed.

    ``kind`` is a machine-readable error code, ``reason`` a message for people.
    ``may_have_applied`` means that the change may have taken effect nevertheless.
    ``current`` is set for a conflict, ``faults`` for an invalid configuration.
    """

    kind: str
    reason: str
    may_have_applied: bool = False
    faults: tuple[ConfigFault, ...] = ()
    current: ConfigBody | None = None


def scoped_job_id(team: str, job_id: str) -> JobId:
    """Return the id under which the shards store a team's job.

    It contains the team's name, so that teams can neither access one another's jobs
    nor collide in their ids.
    """
    return JobId(f"{team}/{job_id}")


def unscoped_job_id(team: str, job_id: JobId) -> JobId:
    """Return the job's id as the team submitted it."""
    return JobId(job_id.removeprefix(f"{team}/"))


def to_job_spec(job: JobBody) -> JobSpec:
    """Convert a submitted job to the shards' representation, with its scoped id."""
    return JobSpec(
        job_id=scoped_job_id(job.team, job.job_id),
        team=TeamName(job.team),
        stages=tuple(map(_to_stage_spec, job.stages)),
        urgent=job.urgent,
        deadline_unix_s=job.deadline_unix_s,
        max_attempts=job.max_attempts,
        order_name=OrderName(job.order_name),
        record_name=job.record_name,
    )


def _to_stage_spec(stage: StageBody) -> StageSpec:
    return StageSpec(
        task_class=TaskClass(stage.task_class),
        shape=Shape(stage.cpu_millicores, stage.memory_mb, stage.n_accelerators),
        declared_run_s=stage.declared_run_s,
        payload=stage.payload,
        idempotent=stage.idempotent,
        checkpointable=stage.checkpointable,
    )
