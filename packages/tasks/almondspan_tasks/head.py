"""The head of a shard: the one store key through which the shard's state changes.

The head holds the epoch, a sequence number that grows with each commit, the owner,
the writer's nonce, references to chunks, and the newest deltas (the tail). A chunk is
written once, before any head refers to it, under a key that contains the epoch and a
counter. The state is the snapshot chunks, then the delta chunks, then the tail.
"""

import re
from enum import Enum
from typing import Final

import msgspec

from almondspan_decisions.ids import AgentId, Epoch, RegionName, ShardId

__all__ = [
    "NO_OWNER",
    "ChunkKind",
    "ChunkRef",
    "Head",
    "chunk_epoch",
    "chunk_key",
    "chunk_prefix",
    "decode_head",
    "encode_head",
    "head_key",
    "is_chunk_key",
]

CHUNK_NAME: Final = re.compile(r"[0-9]{8,15}-[0-9]{6,15}")

NO_OWNER: Final = AgentId("")
"""The owner in the head of a shard that its owner has released."""


class ChunkKind(Enum):
    """The contents of a chunk."""

    SNAPSHOT = "s"
    DELTAS = "d"


class ChunkRef(msgspec.Struct, frozen=True, array_like=True):
    """A reference to a chunk, with its expected size."""

    key: str
    kind: ChunkKind
    n_bytes: int


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The value of the head key; ``tail`` holds encoded deltas, oldest first."""

    epoch: Epoch
    sequence: int
    owner: AgentId
    nonce: str
    chunks: tuple[ChunkRef, ...] = ()
    tail: tuple[bytes, ...] = ()


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Head)


def encode_head(head: Head) -> bytes:
    """Encode a head."""
    return _ENCODER.encode(head)


def decode_head(data: bytes) -> Head:
    """Decode a head.

    Raises
    ------
    msgspec.DecodeError
        When `data` is not an encoded head.
    """
    return _DECODER.decode(data)


def head_key(region: RegionName, shard_id: ShardId) -> str:
    """Return the key of a shard's head."""
    return f"shards/{region}/{shard_id}"


def chunk_prefix(region: RegionName, shard_id: ShardId) -> str:
    """Return the prefix of the keys of a shard's chunks."""
    return f"chunks/{region}/{shard_id}/"


def chunk_key(region: RegionName, shard_id: ShardId, epoch: Epoch, number: int) -> str:
    """Return the key of one chunk, unique to the epoch and the number."""
    return f"{chunk_prefix(region, shard_id)}{epoch:08d}-{number:06d}"


def is_chunk_key(key: str) -> bool:
    """Return whether a key is one that `chunk_key` makes."""
    return CHUNK_NAME.fullmatch(key.rpartition("/")[2]) is not None


def chunk_epoch(key: str) -> int:
    """Return the epoch in a chunk's key."""
    return int(key.rpartition("/")[2].partition("-")[0])
