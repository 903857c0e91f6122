"""The keys and records of the jobs subsystem in the store.

=====================  ==================================================
key                    value
=====================  ==================================================
``as/m/owner``         `OwnerRecord`, under the owner's lease
``as/m/agent/<node>``  `AgentRecord`: where an agent listens
``as/head``            `HeadRecord`, written with every group of decisions
``as/homes``           `HomeAgentsRecord`: the agent of each worker incarnation
``as/harm``            `InterferenceRecord`: the learned interference weights
``as/in/<job>/job``    the `JobSpec`, written once by an entry
``as/in/<job>/cancel`` the cancellation, written by an entry
``as/run/<job>``       the progress of the job, written by the owner
=====================  ==================================================

Decoding a malformed value returns `Unreadable`, never an empty record.
"""

from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason
from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, spec_fault
from almondspan_decisions.job_progress import (
    JobProgress,
    StepState,
    TaskPhase,
    TaskState,
    WorkerIncarnation,
)
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
    "decode_progress",
    "decode_record",
    "decode_spec",
    "encode_end",
    "encode_progress",
    "encode_record",
    "encode_spec",
    "job_key",
    "keys_of_job",
    "progress_key",
]

MEMBERS_PREFIX: Final = "as/m/"
OWNER_KEY: Final = "as/m/owner"
AGENT_PREFIX: Final = "as/m/agent/"
HEAD_KEY: Final = "as/head"
HOME_AGENTS_KEY: Final = "as/homes"
INTERFERENCE_KEY: Final = "as/harm"
JOBS_PREFIX: Final = "as/in/"
PROGRESS_PREFIX: Final = "as/run/"

_PHASE_CODES: Final = {
    TaskPhase.WAITING: 0,
    TaskPhase.PLACED: 1,
    TaskPhase.DONE: 2,
}
_PHASES_BY_CODE: Final = {code: phase for phase, code in _PHASE_CODES.items()}


class OwnerRecord(msgspec.Struct, frozen=True):
    """The entry that owns the jobs, and where it listens for other entries."""

    epoch: Count
    node: str
    host: Host
    port: Port


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


class _TaskRow(msgspec.Struct, frozen=True, array_like=True):
    phase: int
    n_attempts: Count
    n_failed: Count
    worker_id: str = ""
    started_ms: Count = 0
    checkpoint: str = ""
    n_crashes: Count = 0
    n_unproven_crashes: Count = 0
    crashed_attempt: Count = 0


class _StoredProgress(msgspec.Struct, frozen=True, array_like=True):
    occurrences: dict[int, list[list[_TaskRow]]]
    is_cancelled: bool
    is_failed: bool
    has_started: bool
    finished_ms: Count


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
_PROGRESS_DECODER: Final = msgspec.msgpack.Decoder(_StoredProgress)


def job_key(job_id: JobId) -> str:
    """Return the key of a job's specification."""
    return f"{JOBS_PREFIX}{job_id}/job"


def cancel_key(job_id: JobId) -> str:
    """Return the key of a job's cancellation."""
    return f"{JOBS_PREFIX}{job_id}/cancel"


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job_id}"


def keys_of_job(job_id: JobId) -> tuple[str, ...]:
    """Return every key that a job may have."""
    return job_key(job_id), cancel_key(job_id), progress_key(job_id)


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
    """Encode a job's specification."""
    return _ENCODER.encode(spec)


def decode_spec(data: bytes) -> JobSpec | Unreadable:
    """Decode a job's specification."""
    try:
        spec = _SPEC_DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Unreadable(decode_reason(error))
    fault = spec_fault(spec)
    return Unreadable(fault) if fault else spec


def encode_progress(job: JobProgress) -> bytes:
    """Encode a job's progress."""
    occurrences = {
        occurrence: [[_encode_task(task) for task in step.tasks] for step in steps]
        for occurrence, steps in job.occurrences.items()
    }
    return _ENCODER.encode(
        _StoredProgress(
            occurrences,
            job.is_cancelled,
            job.is_failed,
            job.has_started,
            job.finished_ms,
        )
    )


def encode_end(job: JobProgress) -> bytes:
    """Encode a job's end without the states of its tasks."""
    return _ENCODER.encode(
        _StoredProgress(
            {}, job.is_cancelled, job.is_failed, job.has_started, job.finished_ms
        )
    )


def _encode_task(task: TaskState) -> _TaskRow:
    incarnation = task.incarnation
    return _TaskRow(
        _PHASE_CODES[task.phase],
        task.n_attempts,
        task.n_failed,
        incarnation.worker_id if incarnation is not None else "",
        incarnation.started_ms if incarnation is not None else 0,
        task.checkpoint,
        task.n_crashes,
        task.n_unproven_crashes,
        task.crashed_attempt,
    )


def decode_progress(
    job_id: JobId, spec: JobSpec, data: bytes
) -> JobProgress | Unreadable:
    """Decode a job's progress; its counts are recomputed from the tasks."""
    try:
        progress = _PROGRESS_DECODER.decode(data)
        if not _fits_job(progress, spec):
            return Unreadable("the occurrences, steps or tasks are not the job's")
        job = JobProgress(job_id, spec)
        for occurrence, steps in progress.occurrences.items():
            job.occurrences[occurrence] = [
                StepState([_decode_task(row) for row in rows]) for rows in steps
            ]
    except (*DECODE_ERRORS, KeyError) as error:
        return Unreadable(decode_reason(error))
    job.is_cancelled = progress.is_cancelled
    job.is_failed = progress.is_failed
    job.has_started = progress.has_started
    job.finished_ms = progress.finished_ms
    job.recount()
    return job


def _fits_job(progress: _StoredProgress, spec: JobSpec) -> bool:
    """Return whether the first occurrences are there, with all steps and tasks."""
    n_tasks = [step.n_tasks for step in spec.steps]
    n_occurrences = len(progress.occurrences)
    return (
        n_occurrences <= spec.n_total_occurrences
        and set(progress.occurrences) == set(range(n_occurrences))
        and all(
            [len(rows) for rows in steps] == n_tasks
            for steps in progress.occurrences.values()
        )
    )


def _decode_task(row: _TaskRow) -> TaskState:
    phase = _PHASES_BY_CODE[row.phase]
    incarnation = None
    if phase is TaskPhase.PLACED:
        incarnation = WorkerIncarnation(WorkerId(row.worker_id), row.started_ms)
    return TaskState(
        phase,
        row.n_attempts,
        row.n_failed,
        incarnation,
        row.checkpoint,
        row.n_crashes,
        row.n_unproven_crashes,
        row.crashed_attempt,
        is_stored=True,
    )
