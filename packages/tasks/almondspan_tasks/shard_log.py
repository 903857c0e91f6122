"""The committed log of one shard: its takeover and its single writer.

How a `ShardLog` works:

1. `take_over` reads the head and its chunks, then raises the epoch by one
   compare-and-swap. It fails when the head changed in the meantime.
2. `run` is the single writer. Each commit takes all appended deltas, with the effects
   that wait for them, and writes them by one compare-and-swap of the head. Without
   deltas it still commits every ``heartbeat_interval_s``, as the owner's heartbeat. A
   commit is retried with the same bytes until its result is known: after a lost
   answer the head is read back, and its nonce and sequence number show whether the
   write took effect.
3. The log is superseded as soon as the head shows another writer. `run` then
   returns, and no effect of an uncommitted delta runs.

Effects passed to `after_commit` run after a commit that *began* after the call. That
proves that this process still owned the epoch at that time.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec

from almondspan_decisions.decoding import MAX_REASON_CHARS
from almondspan_decisions.ids import AgentId, Epoch, RegionName, ShardId
from almondspan_platform.store import (
    ABSENT_REVISION,
    MAX_VALUE_BYTES,
    Conflict,
    Found,
    KeyValue,
    Revision,
    Store,
    Swapped,
    Unavailable,
)
from almondspan_tasks.deltas import (
    Delta,
    decode_deltas,
    encode_delta,
    join_chunks,
    join_deltas,
)
from almondspan_tasks.head import (
    NO_OWNER,
    ChunkKind,
    ChunkRef,
    Head,
    chunk_epoch,
    chunk_key,
    chunk_prefix,
    decode_head,
    encode_head,
    head_key,
    is_chunk_key,
)
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.state import ShardState, apply

__all__ = ["LogCounters", "LogEnd", "ShardLog", "TakeOver"]

_log = logging.getLogger(__name__)

_STATE_ENCODER: Final = msgspec.msgpack.Encoder()
_STATE_DECODER: Final = msgspec.msgpack.Decoder(ShardState)


class TakeOver(Enum):
    """The result of an attempted takeover."""

    TAKEN = "taken"
    LOST = "lost"
    """Another process changed the head first."""
    UNAVAILABLE = "unavailable"
    """The store did not answer, or a chunk of an outdated head is gone."""


class LogEnd(Enum):
    """Why the writer ended.

    ``SUPERSEDED`` means that another process has taken the shard over.
    """

    RELEASED = "released"
    SUPERSEDED = "deposed"


@dataclass(slots=True)
class LogCounters:
    """Counters of a `ShardLog`."""

    n_commits: int = 0
    n_deltas: int = 0
    n_bytes_committed: int = 0
    n_store_calls: int = 0
    n_read_backs: int = 0
    n_chunks_written: int = 0
    n_chunks_deleted: int = 0
    n_snapshots: int = 0
    n_merges: int = 0


class ShardLog:
    """The committed log of one shard, while this process owns it."""

    def __init__(
        self,
        shard_id: ShardId,
        region: RegionName,
        agent_id: AgentId,
        store: Store,
        options: OwnerOptions,
        rng: random.Random,
    ) -> None:
        self.shard_id = shard_id
        self.state = ShardState.empty()
        self.epoch = Epoch(0)
        self.counters = LogCounters()
        self.is_stalled = False
        self._region = region
        self._agent_id = agent_id
        self._store = store
        self._options = options
        self._rng = rng
        self._key = head_key(region, shard_id)
        self._revision = ABSENT_REVISION
        self._head = Head(Epoch(0), 0, NO_OWNER, "")
        self._next_chunk = 0
        self._pending: list[bytes] = []
        self._effects: list[Callable[[], None]] = []
        self._commit_requested = asyncio.Event()
        self._releasing = False
        self._last_commit_began_s = 0.0
        self._next_gc_s = 0.0

    @property
    def head(self) -> Head:
        """Return the last committed head."""
        return self._head

    # Takeover.

    async def take_over(self, item: KeyValue | None) -> TakeOver:
        """Take the shard over by raising the epoch of the head read as `item`."""
        head = Head(Epoch(0), 0, NO_OWNER, "")
        if item is not None:
            head = decode_head(item.value)
        state = await self._load(head)
        if state is None:
            return TakeOver.UNAVAILABLE
        taken = msgspec.structs.replace(
            head,
            epoch=Epoch(head.epoch + 1),
            sequence=head.sequence + 1,
            owner=self._agent_id,
            nonce=self._new_nonce(),
        )
        revision = ABSENT_REVISION if item is None else item.revision
        written = await self._write_head(taken, revision)
        if written is None:
            return TakeOver.LOST
        self.state = state
        self.epoch = taken.epoch
        self._head = taken
        self._revision = written
        now_s = asyncio.get_running_loop().time()
        self._last_commit_began_s = now_s
        self._next_gc_s = now_s + self._options.gc_interval_s * (
            0.1 + self._rng.random()
        )
        return TakeOver.TAKEN

    async def _load(self, head: Head) -> ShardState | None:
        snapshot: list[bytes] = []
        deltas: list[Delta] = []
        for ref in head.chunks:
            data = await self._read_chunk(ref)
            if data is None:
                return None
            if ref.kind is ChunkKind.SNAPSHOT:
                snapshot.append(data)
            else:
                deltas += decode_deltas(data)
        state = ShardState.empty()
        if snapshot:
            state = _STATE_DECODER.decode(b"".join(snapshot))
        deltas += decode_deltas(join_deltas(head.tail))
        for delta in deltas:
            apply(state, delta)
        return state

    async def _read_chunk(self, ref: ChunkRef) -> bytes | None:
        self.counters.n_store_calls += 1
        answer = await self._store.get(ref.key)
        if isinstance(answer, Unavailable) or answer.item is None:
            # A chunk is missing only when the head that refers to it is outdated.
            return None
        if len(answer.item.value) != ref.n_bytes:
            _log.error("damaged chunk", extra={"key": ref.key[:MAX_REASON_CHARS]})
            return None
        return answer.item.value

    # Appending.

    def append(self, delta: Delta) -> None:
        """Apply a delta and queue it for the next commit."""
        apply(self.state, delta)
        self._pending.append(encode_delta(delta))
        self.counters.n_deltas += 1
        self._commit_requested.set()

    def after_commit(self, effect: Callable[[], None], immediate: bool = False) -> None:
        """Run `effect` after a commit that begins after this call.

        With `immediate` the commit does not wait for the next heartbeat.
        """
        self._effects.append(effect)
        if immediate:
            self._commit_requested.set()

    def release(self) -> None:
        """Commit all pending deltas, release the shard and end."""
        self._releasing = True
        self._commit_requested.set()

    # Writing.

    async def run(self) -> LogEnd:
        """Commit batch after batch until the shard is released or superseded."""
        while True:
            await self._wait_for_batch()
            releasing = self._releasing
            if not await self._commit_batch(releasing):
                return LogEnd.SUPERSEDED
            if releasing:
                return LogEnd.RELEASED

    async def _wait_for_batch(self) -> None:
        loop = asyncio.get_running_loop()
        heartbeat_at_s = self._last_commit_began_s + self._options.heartbeat_interval_s
        try:
            async with asyncio.timeout_at(heartbeat_at_s):
                await self._commit_requested.wait()
        except TimeoutError:
            return
        pause_s = (
            self._last_commit_began_s
            + self._options.min_commit_interval_s
            - loop.time()
        )
        await asyncio.sleep(max(self._options.linger_s, pause_s))

    async def _commit_batch(self, releasing: bool) -> bool:
        self._commit_requested.clear()
        self._last_commit_began_s = asyncio.get_running_loop().time()
        batch, self._pending = self._pending, []
        effects, self._effects = self._effects, []
        snapshot = self._snapshot_if_due(batch)
        chunks, tail, obsolete = await self._store_batch(batch, snapshot)
        head = Head(
            epoch=self.epoch,
            sequence=self._head.sequence + 1,
            owner=NO_OWNER if releasing else self._agent_id,
            nonce=self._new_nonce(),
            chunks=chunks,
            tail=tail,
        )
        revision = await self._write_head(head, self._revision)
        if revision is None:
            return False
        self._head = head
        self._revision = revision
        self.counters.n_commits += 1
        for effect in effects:
            effect()
        await self._delete_chunks(obsolete)
        await self._collect_garbage_if_due()
        return True

    def _snapshot_if_due(self, batch: list[bytes]) -> bytes | None:
        """Encode the state, which now includes `batch`, if a snapshot is due."""
        sizes = {ChunkKind.SNAPSHOT: 0, ChunkKind.DELTAS: 0}
        for ref in self._head.chunks:
            sizes[ref.kind] += ref.n_bytes
        limit = max(self._options.compact_min_bytes, sizes[ChunkKind.SNAPSHOT])
        if sizes[ChunkKind.DELTAS] <= limit:
            return None
        self.counters.n_snapshots += 1
        return _STATE_ENCODER.encode(self.state)

    async def _store_batch(
        self, batch: list[bytes], snapshot: bytes | None
    ) -> tuple[tuple[ChunkRef, ...], tuple[bytes, ...], tuple[ChunkRef, ...]]:
        """Return the next head's chunks and tail, and the chunks it no longer needs."""
        limit = self._options.chunk_limit_bytes
        if snapshot is not None:
            parts = [snapshot[i : i + limit] for i in range(0, len(snapshot), limit)]
            chunks = [await self._write_chunk(ChunkKind.SNAPSHOT, p) for p in parts]
            return tuple(chunks), (), self._head.chunks
        tail = (*self._head.tail, *batch)
        if sum(map(len, tail)) <= self._options.tail_limit_bytes:
            return self._head.chunks, tail, ()
        written = [
            await self._write_chunk(ChunkKind.DELTAS, join_deltas(group))
            for group in _group_by_size(tail, limit)
        ]
        kept, obsolete = await self._merge((*self._head.chunks, *written))
        return kept, (), obsolete

    async def _merge(
        self, chunks: tuple[ChunkRef, ...]
    ) -> tuple[tuple[ChunkRef, ...], tuple[ChunkRef, ...]]:
        """Merge a run of small delta chunks at the end into one larger chunk.

        The chunks of a run have similar sizes, so the number of times that a delta is
        copied grows only with the logarithm of the log's length.
        """
        n_merged = self._options.merge_n_chunks
        limit = self._options.tail_limit_bytes
        while limit < self._options.chunk_limit_bytes:
            limit *= n_merged
            run = _small_suffix(chunks, limit)
            if len(run) < n_merged or sum(ref.n_bytes for ref in run) > limit * 2:
                continue
            found = [await self._read_chunk(ref) for ref in run]
            data = [part for part in found if part is not None]
            if len(data) < len(run) or sum(map(len, data)) > MAX_VALUE_BYTES:
                break
            merged = await self._write_chunk(ChunkKind.DELTAS, join_chunks(data))
            self.counters.n_merges += 1
            return (*chunks[: -len(run)], merged), run
        return chunks, ()

    async def _write_chunk(self, kind: ChunkKind, data: bytes) -> ChunkRef:
        self._next_chunk += 1
        key = chunk_key(self._region, self.shard_id, self.epoch, self._next_chunk)
        delay_s = self._options.store_retry_s
        while True:
            self.counters.n_store_calls += 1
            answer = await self._store.compare_and_swap(key, ABSENT_REVISION, data)
            if isinstance(answer, Swapped):
                break
            if isinstance(answer, Conflict):
                # Only an earlier try of this write can have created the key.
                assert answer.item is not None and answer.item.value == data
                break
            delay_s = await self._back_off(delay_s)
        self.is_stalled = False
        self.counters.n_chunks_written += 1
        self.counters.n_bytes_committed += len(data)
        return ChunkRef(key, kind, len(data))

    async def _write_head(self, head: Head, expected: Revision) -> Revision | None:
        """Write the head; None when another writer was first.

        The same bytes are sent until the result is certain, so at most one write of
        this sequence number can ever take effect.
        """
        data = encode_head(head)
        delay_s = self._options.store_retry_s
        while True:
            self.counters.n_store_calls += 1
            answer = await self._store.compare_and_swap(self._key, expected, data)
            if isinstance(answer, Swapped):
                revision: Revision | None = answer.revision
                break
            if isinstance(answer, Conflict):
                revision = _revision_if_own(answer.item, head)
                break
            delay_s = await self._back_off(delay_s)
            self.counters.n_read_backs += 1
            self.counters.n_store_calls += 1
            read = await self._store.get(self._key)
            if isinstance(read, Found) and _revision(read.item) != expected:
                revision = _revision_if_own(read.item, head)
                break
        self.is_stalled = False
        self.counters.n_bytes_committed += len(data)
        return revision

    async def _back_off(self, delay_s: float) -> float:
        self.is_stalled = True
        await asyncio.sleep(delay_s * (0.5 + self._rng.random()))
        return min(2 * delay_s, self._options.store_retry_max_s)

    def _new_nonce(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    # Deletion of chunks that the head does not refer to.

    async def _delete_chunks(self, refs: tuple[ChunkRef, ...]) -> None:
        for ref in refs:
            self.counters.n_store_calls += 1
            answer = await self._store.get(ref.key)
            if isinstance(answer, Found) and answer.item is not None:
                await self._delete(answer.item)

    async def _delete(self, item: KeyValue) -> None:
        self.counters.n_store_calls += 1
        await self._store.compare_and_swap(item.key, item.revision, None)
        self.counters.n_chunks_deleted += 1

    async def _collect_garbage_if_due(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_gc_s:
            return
        self._next_gc_s = now_s + self._options.gc_interval_s
        referenced = {ref.key for ref in self._head.chunks}
        self.counters.n_store_calls += 1
        found = await self._store.get_range(chunk_prefix(self._region, self.shard_id))
        if isinstance(found, Unavailable):
            return
        for item in found.items:
            if not is_chunk_key(item.key):
                _log.warning("not a chunk", extra={"key": item.key[:MAX_REASON_CHARS]})
                continue
            # A chunk of a later epoch means that this process was superseded. The
            # writer of an earlier epoch can no longer write a head that refers to
            # its chunks.
            if item.key not in referenced and chunk_epoch(item.key) <= self.epoch:
                await self._delete(item)


def _revision(item: KeyValue | None) -> Revision:
    return ABSENT_REVISION if item is None else item.revision


def _revision_if_own(item: KeyValue | None, head: Head) -> Revision | None:
    """Return the key's revision if its value is the head that this log wrote."""
    if item is None:
        return None
    found = decode_head(item.value)
    is_own = (
        found.epoch == head.epoch
        and found.sequence == head.sequence
        and found.nonce == head.nonce
    )
    return item.revision if is_own else None


def _small_suffix(chunks: tuple[ChunkRef, ...], limit: int) -> tuple[ChunkRef, ...]:
    n_small = 0
    for ref in reversed(chunks):
        if ref.kind is not ChunkKind.DELTAS or ref.n_bytes >= limit:
            break
        n_small += 1
    return chunks[len(chunks) - n_small :]


def _group_by_size(encoded: tuple[bytes, ...], limit_bytes: int) -> list[list[bytes]]:
    groups: list[list[bytes]] = [[]]
    size = 0
    for item in encoded:
        if groups[-1] and size + len(item) > limit_bytes:
            groups.append([])
            size = 0
        groups[-1].append(item)
        size += len(item)
    return groups
