"""Changes to a shard's state, as they are committed.

The state of a shard is what follows from applying its deltas in order, and from
nothing else: `almondspan_tasks.state.apply` is a pure function of state and delta.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Final

import msgspec

from almondspan_decisions.ids import AgentId, JobId, RequestId, WorkerId
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.tasks import JobSpec

__all__ = [
    "AttemptAssigned",
    "AttemptClosed",
    "ClaimDropped",
    "ClaimMade",
    "ClaimSettled",
    "CloseCause",
    "Delta",
    "JobAdded",
    "JobDropped",
    "JobEnded",
    "StageAdvanced",
    "decode_deltas",
    "encode_delta",
    "join_chunks",
    "join_deltas",
]


class DeltaBase(msgspec.Struct, frozen=True, array_like=True):
    """Base of all deltas."""


class JobAdded(DeltaBase, frozen=True, tag="add"):
    """A job was submitted."""

    spec: JobSpec
    submitted_unix_s: float


class AttemptAssigned(DeltaBase, frozen=True, tag="asg"):
    """The current stage's next attempt belongs to an agent and its worker."""

    job_id: JobId
    attempt: int
    worker_id: WorkerId
    agent_id: AgentId
    reservation: str
    worker_lease_s: float


class CloseCause(Enum):
    """Why an attempt that did not finish its stage is over."""

    EVICTED = "evicted"
    NEVER_RAN = "never_ran"
    LOST = "lost"
    FAILED = "failed"


class AttemptClosed(DeltaBase, frozen=True, tag="cls"):
    """The attempt is over and its stage waits for the next one."""

    job_id: JobId
    attempt: int
    cause: CloseCause
    worker_id: WorkerId
    ran_s: float = 0.0
    checkpoint: bytes = b""


class StageAdvanced(DeltaBase, frozen=True, tag="stg"):
    """The current stage is done and the next one waits."""

    job_id: JobId
    ran_s: float


class JobEnded(DeltaBase, frozen=True, tag="end"):
    """The job has its outcome."""

    job_id: JobId
    outcome: Outcome
    ended_unix_s: float


class JobDropped(DeltaBase, frozen=True, tag="drp"):
    """The answer of an ended job is no longer kept."""

    job_id: JobId


class ClaimMade(DeltaBase, frozen=True, tag="clm"):
    """A request that is not idempotent was claimed."""

    request_id: RequestId
    nonce: str
    claimed_unix_s: float


class ClaimSettled(DeltaBase, frozen=True, tag="stl"):
    """What became of a claimed request."""

    request_id: RequestId
    outcome: Outcome


class ClaimDropped(DeltaBase, frozen=True, tag="cdr"):
    """A claim is no longer kept."""

    request_id: RequestId


Delta = (
    JobAdded
    | AttemptAssigned
    | AttemptClosed
    | StageAdvanced
    | JobEnded
    | JobDropped
    | ClaimMade
    | ClaimSettled
    | ClaimDropped
)

_ARRAY_MARKER: Final = b"\xdd"
_ARRAY_HEADER_BYTES: Final = 5
"""An array's mark and its 4-byte count, before the items."""

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[Delta])


def encode_delta(delta: Delta) -> bytes:
    """Return the bytes of one delta."""
    return _ENCODER.encode(delta)


def join_deltas(encoded: Iterable[bytes]) -> bytes:
    """Return a MessagePack array of deltas that are already encoded."""
    items = list(encoded)
    return _ARRAY_MARKER + len(items).to_bytes(4, "big") + b"".join(items)


def join_chunks(chunks: Iterable[bytes]) -> bytes:
    """Return one array of the deltas of several arrays made by `join_deltas`."""
    parts = list(chunks)
    n_items = sum(int.from_bytes(part[1:_ARRAY_HEADER_BYTES], "big") for part in parts)
    body = b"".join(part[_ARRAY_HEADER_BYTES:] for part in parts)
    return _ARRAY_MARKER + n_items.to_bytes(4, "big") + body


def decode_deltas(data: bytes) -> list[Delta]:
    """Return the deltas of an array made by `join_deltas`.

    Raises
    ------
    msgspec.DecodeError
        When the bytes are no such array: the shard is corrupt.
    """
    return _DECODER.decode(data)
