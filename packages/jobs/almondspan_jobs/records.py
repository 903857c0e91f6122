"""The keys and records of the jobs subsystem in the store.

=====================  =========================================================
key                    value
=====================  =========================================================
``as/m/owner``         `OwnerRecord`, under the owner's lease
``as/m/agent/<node>``  `AgentRecord`: where an agent listens
``as/head``            `HeadRecord`, written with every group of decisions
``as/homes``           `HomeAgentsRecord`: the agent of each worker incarnation
``as/harm``            `InterferenceRecord`: the learned interference weights
``as/in/<job>/job``    the `JobSpec`, written once by an entry
``as/in/<job>/cancel`` the cancellation, written by an entry, also without a job
``as/run/<job>...``    the progress of the job, written by the owner (progress_records)
=====================  =========================================================

Decoding a malformed value returns `Unreadable`, never an empty record.
"""

from dataclasses import dataclass, fields
from typing import Any, Final, TypeVar

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, StepSpec, spec_fault
from almondspan_wire.fields import Count, Host, Measure, Port

__all__ = [
    "AGENT_PREFIX",
    "INTERFERENCE_KEY",
    "HEAD_KEY",
    "HOME_AGENTS_KEY",
    "JOBS_PREFIX",
    "MEMBERS_PREFIX",
    "OWNER_KEY",
    "PROGRESS_PREFIX",
    "AgentRecord",
    "InterferenceRecord",
    "HeadRecord",
    "HomeAgentsRecord",
    "OwnerRecord",
    "Unreadable",
    "cancel_key",
    "decode_record",
    "decode_spec",
    "encode_record",
    "encode_spec",
    "job_key",
]

MEMBERS_PREFIX: Final = "as/m/"
OWNER_KEY: Final = "as/m/owner"
AGENT_PREFIX: Final = "as/m/agent/"
HEAD_KEY: Final = "as/head"
HOME_AGENTS_KEY: Final = "as/homes"
INTERFERENCE_KEY: Final = "as/harm"
JOBS_PREFIX: Final = "as/in/"
PROGRESS_PREFIX: Final = "as/run/"


class OwnerRecord(msgspec.Struct, frozen=True):
    """The entry that owns the jobs, and where it listens for other entries."""

    epoch: Count
    node: str
    host: Host
    port: Port
    answers_admission: bool = False
    """Whether the owner knows `AdmissionRequest`; unknown messages end a channel."""


class AgentRecord(msgspec.Struct, frozen=True):
    """Where an agent listens for the owner."""

    host: Host
    port: Port


class HeadRecord(msgspec.Struct, frozen=True):
    """The head, which every group of decisions rewrites, so that groups are ordered."""

    epoch: Count
    node: str
    nonce: str


class HomeAgentsRecord(msgspec.Struct, frozen=True):
    """Worker incarnations by the agent they report to.

    `homes` maps the agent's name to rows of worker id and start time in milliseconds.
    """

    homes: dict[str, list[tuple[str, Count]]]


class InterferenceRecord(msgspec.Struct, frozen=True):
    """The state of the `TailLatencyModel` that survives a change of owner.

    `weights` has rows of serving image, best-effort image, weight and variance; `means`
    maps each serving image to its mean level.
    """

    weights: list[tuple[str, str, Measure, Measure]]
    means: dict[str, Measure]


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A stored value that can't be decoded as the expected record."""

    reason: str


AnyRecord = TypeVar(
    "AnyRecord",
    OwnerRecord,
    AgentRecord,
    HeadRecord,
    HomeAgentsRecord,
    InterferenceRecord,
)

_ENCODER: Final = msgspec.msgpack.Encoder()
_SPEC_DECODER: Final = msgspec.msgpack.Decoder(JobSpec)


def job_key(job_id: JobId) -> str:
    """Return the key of a job's specification."""
    return f"{JOBS_PREFIX}{job_id}/job"


def cancel_key(job_id: JobId) -> str:
    """Return the key of a job's cancellation."""
    return f"{JOBS_PREFIX}{job_id}/cancel"


def encode_record(
    record: OwnerRecord
    | AgentRecord
    | HeadRecord
    | HomeAgentsRecord
    | InterferenceRecord,
) -> bytes:
    """Encode a record."""
    return _ENCODER.encode(record)


def decode_record(kind: type[AnyRecord], data: bytes) -> AnyRecord | Unreadable:
    """Decode a record of the given type."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as error:
        return Unreadable(decode_reason(error))


def encode_spec(spec: JobSpec) -> bytes:
    """Encode a job's specification, without the fields that have their default."""
    steps = [_set_fields(step) for step in spec.steps]
    return _ENCODER.encode(_set_fields(spec) | {"steps": steps})


def _set_fields(value: JobSpec | StepSpec) -> dict[str, Any]:
    """Return the fields of a dataclass that don't have their default."""
    return {
        field.name: found
        for field in fields(value)
        if (found := getattr(value, field.name)) != field.default
    }


def decode_spec(data: bytes) -> JobSpec | Unreadable:
    """Decode a job's specification."""
    try:
        spec = _SPEC_DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Unreadable(decode_reason(error))
    fault = spec_fault(spec)
    return Unreadable(fault) if fault else spec
