"""In-memory `Store` client of a `StoreCore` in the same process.

Several clients may share one core. The faults of the core apply to all clients, those
of a client to it alone, for example when its network is interrupted.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Final, TypeVar

from almondspan_platform.store import (
    MAX_VALUE_BYTES,
    CasOutcome,
    Found,
    GetOutcome,
    LeaseId,
    LeaseOutcome,
    RangeFound,
    Revision,
    Unavailable,
    WatchEvent,
    WatchLost,
)
from almondspan_standins.faults import CallLost, FaultyConnection, StoreFaults
from almondspan_standins.store_core import (
    Compacted,
    LeaseUnknown,
    StoreCore,
    event_of_changes,
)

__all__ = ["MemoryStore", "MemoryStoreOptions"]

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class MemoryStoreOptions:
    """Timeouts of one client, in seconds."""

    call_timeout_s: float = 2.0
    watch_silence_s: float = 10.0


class MemoryStore:
    """An in-memory client; see `almondspan_platform.store.Store`."""

    def __init__(
        self,
        core: StoreCore,
        options: MemoryStoreOptions = MemoryStoreOptions(),
        rng: random.Random | None = None,
    ) -> None:
        self._core: Final = core
        self._options: Final = options
        self._connection: Final = FaultyConnection(
            options.call_timeout_s, rng or random.Random(1)
        )
        self._wakers: set[Callable[[], None]] = set()
        self._is_closed = False
        self._faults = StoreFaults()

    @property
    def faults(self) -> StoreFaults:
        """The faults of this client only; setting them wakes its watches."""
        return self._faults

    @faults.setter
    def faults(self, faults: StoreFaults) -> None:
        self._faults = faults
        self._wake_watches()

    async def start(self) -> None:
        """Open the client."""

    async def close(self) -> None:
        """End pending calls and watches."""
        self._is_closed = True
        self._connection.close()
        self._wake_watches()

    async def get(self, key: str) -> GetOutcome:
        """Read one key."""
        answer = await self._call(lambda: Found(self._core.get(key)))
        return _read_outcome(answer)

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        """Read all keys that begin with `prefix`."""
        answer = await self._call(lambda: self._core.get_range(prefix))
        return _read_outcome(answer)

    async def compare_and_swap(
        self,
        key: str,
        expected: Revision,
        value: bytes | None,
        lease_id: LeaseId | None = None,
    ) -> CasOutcome:
        """Replace `key` if it is at revision `expected`."""
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {len(value)} bytes for {key}")
        answer = await self._call(
            lambda: self._core.compare_and_swap(key, expected, value, lease_id)
        )
        if isinstance(answer, LeaseUnknown):
            return Unavailable("the lease does not exist")
        return _write_outcome(answer)

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a new lease."""
        return _write_outcome(await self._call(lambda: self._core.grant_lease(ttl_s)))

    async def keep_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease."""
        return _write_outcome(await self._call(lambda: self._core.keep_lease(lease_id)))

    async def revoke_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """End a lease."""
        answer = await self._call(lambda: self._core.revoke_lease(lease_id))
        return _write_outcome(answer)

    async def watch(
        self, prefix: str, after: Revision
    ) -> AsyncIterator[WatchEvent | WatchLost]:
        """Yield the changes under `prefix` after `after`; ends with `WatchLost`."""
        changed = asyncio.Event()
        self._wakers.add(changed.set)
        try:
            with self._core.watching(changed.set):
                while True:
                    changed.clear()
                    event = await self._next_event(prefix, after)
                    if event is None:
                        await self._wait(changed)
                        continue
                    yield event
                    if isinstance(event, WatchLost):
                        return
                    after = event.revision
        finally:
            self._wakers.discard(changed.set)

    async def _next_event(
        self, prefix: str, after: Revision
    ) -> WatchEvent | WatchLost | None:
        """Return the next event of a watch, None if there is none.

        A watch that has become silent stays silent until its timeout.
        """
        faults = self._joined_faults()
        if self._is_closed or faults.outage:
            return WatchLost("the connection was interrupted")
        if faults.watch_silent:
            await asyncio.sleep(self._options.watch_silence_s)
            return WatchLost("no message within the silence timeout")
        changes = self._core.changes_after(prefix, after)
        if isinstance(changes, Compacted):
            return WatchLost(f"history compacted at {changes.revision}")
        if not changes:
            return None
        await asyncio.sleep(faults.delay_s)
        return event_of_changes(changes)

    async def _wait(self, changed: asyncio.Event) -> None:
        """Wait for a change, new faults or the next expiry of a lease."""
        try:
            async with asyncio.timeout_at(self._core.next_lapse_s()):
                await changed.wait()
        except TimeoutError:
            return

    async def _call(self, operation: Callable[[], Answer]) -> Answer | CallLost:
        return await self._connection.call(self._joined_faults(), operation)

    def _joined_faults(self) -> StoreFaults:
        ours, theirs = self._faults, self._core.faults
        return StoreFaults(
            ours.outage or theirs.outage,
            ours.delay_s + theirs.delay_s,
            max(ours.lose_answer_share, theirs.lose_answer_share),
            ours.watch_silent or theirs.watch_silent,
        )

    def _wake_watches(self) -> None:
        for wake in tuple(self._wakers):
            wake()


def _read_outcome(answer: Answer | CallLost) -> Answer | Unavailable:
    return Unavailable(answer.reason) if isinstance(answer, CallLost) else answer


def _write_outcome(answer: Answer | CallLost) -> Answer | Unavailable:
    if isinstance(answer, CallLost):
        return Unavailable(answer.reason, answer.may_have_applied)
    return answer
