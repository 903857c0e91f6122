"""Deltas: the changes to a shard's state, in the form in which they are committed.

The state of a shard is the result of applying its deltas in order, and of nothing
else: `almondspan_tasks.state.apply` depends only on the state and the delta.
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
    """The current stage's next attempt was assigned to an agent and its worker."""

    job_id: JobId
    attempt: int
    worker_id: WorkerId
    agent_id: AgentId
    reservation: str
    worker_lease_s: float


class CloseCause(Enum):
    """Why an attempt was closed without finishing its stage."""

    EVICTED = "evicted"
    NEVER_RAN = "never_ran"
    LOST = "lost"
    FAILED = "failed"


class AttemptClosed(DeltaBase, frozen=True, tag="cls"):
    """The attempt was closed; its stage waits for the next attempt."""

    job_id: JobId
    attempt: int
    cause: CloseCause
    worker_id: WorkerId
    ran_s: float = 0.0
    checkpoint: bytes = b""


class StageAdvanced(DeltaBase, frozen=True, tag="stg"):
    """The current stage is done; the next stage waits for placement."""

    job_id: JobId
    ran_s: float


class JobEnded(DeltaBase, frozen=True, tag="end"):
    """The job ended with this outcome."""

    job_id: JobId
    outcome: Outcome
    ended_unix_s: float


class JobDropped(DeltaBase, frozen=True, tag="drp"):
    """An ended job was deleted after its retention period."""

    job_id: JobId


class ClaimMade(DeltaBase, frozen=True, tag="clm"):
    """A request that is not idempotent was claimed."""

    request_id: RequestId
    nonce: str
    claimed_unix_s: float


class ClaimSettled(DeltaBase, frozen=True, tag="stl"):
    """The outcome of a claimed request was recorded."""

    request_id: RequestId
    outcome: Outcome


class ClaimDropped(DeltaBase, frozen=True, tag="cdr"):
    """A claim was deleted after its retention period."""

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
"""Length of an array's type marker and 4-byte item count."""

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[Delta])


def encode_delta(delta: Delta) -> bytes:
    """Return the bytes of one delta."""
    return _ENCODER.encode(delta)


def join_deltas(encoded: Iterable[bytes]) -> bytes:
    """Return a MessagePack array of already encoded deltas."""
    items = list(encoded)
    return _ARRAY_MARKER + len(items).to_bytes(4, "big") + b"".join(items)


def join_chunks(chunks: Iterable[bytes]) -> bytes:
    """Concatenate several arrays made by `join_deltas` into one array."""
    parts = list(chunks)
    n_items = sum(int.from_bytes(part[1:_ARRAY_HEADER_BYTES], "big") for part in parts)
    body = b"".join(part[_ARRAY_HEADER_BYTES:] for part in parts)
    return _ARRAY_MARKER + n_items.to_bytes(4, "big") + body


def decode_deltas(data: bytes) -> list[Delta]:
    """Return the deltas in an array made by `join_deltas`.

    Raises
    ------
    msgspec.DecodeError
        When the bytes are not such an array, which means that the shard is corrupt.
    """
    return _DECODER.decode(data)
