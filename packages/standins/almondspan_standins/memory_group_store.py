"""In-memory key-value service with atomic groups of writes and faults per client.

`MemoryGroupStore` holds the state; `MemoryGroupStore.client` returns the client of
one process. A client's faults are: no responses, refusals, slow responses, and writes
that are applied without a response or seconds later. Watches may have faults of their
own. Dropping the history of changes makes watches of older revisions end.
"""

import asyncio
import contextvars
import random
from dataclasses import dataclass, field
from typing import Final

from almondspan_platform.group_store import (
    CommitOutcome,
    GroupConflict,
    GroupRefused,
    Write,
    WriteGroup,
)
from almondspan_platform.store import (
    ABSENT_REVISION,
    MAX_VALUE_BYTES,
    Found,
    GetOutcome,
    KeyValue,
    LeaseGranted,
    LeaseId,
    LeaseLapsed,
    LeaseOutcome,
    RangeFound,
    Revision,
    Swapped,
    Unavailable,
    WatchEvent,
    WatchLost,
)

__all__ = ["GroupStoreClient", "MemoryGroupStore", "StoreFaults"]

CALL_TIMEOUT_S: Final = 1.0
ANSWER_S: Final = 0.004


@dataclass(slots=True)
class StoreFaults:
    """The current faults of one client."""

    is_silent: bool = False
    is_refusing: bool = False
    answer_s: float = ANSWER_S
    lost_share: float = 0.0
    """Share of writes that are applied without a response."""
    late_share: float = 0.0
    """Share of writes that are applied 1 to 6 s later, without a response."""
    is_watch_silent: bool = False
    """Watches get no response, other calls do."""
    unread_prefix: str = ""
    """Reads and watches of keys with this prefix get no response; empty for none."""
    watch_late_s: float = 0.0
    """Delay of a watch's response after the state that it tells."""


@dataclass(slots=True)
class _Change:
    revision: int
    key: str
    value: bytes | None


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_s: float
    keys: set[str] = field(default_factory=set)


class MemoryGroupStore:
    """The state of the service."""

    def __init__(self, rng: random.Random) -> None:
        self._rng: Final = rng
        self.items: dict[str, KeyValue] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._history: list[_Change] = []
        self._revision = 1
        self._first_revision = 0
        self._n_leases = 0
        self._waiters: list[asyncio.Future[None]] = []
        self.n_commits = 0
        self.max_value_bytes = MAX_VALUE_BYTES
        self.watch_delay_s = 0.0
        """Delay until watches see a change."""

    def client(self, faults: StoreFaults) -> "GroupStoreClient":
        """Return a client that has `faults`."""
        return GroupStoreClient(self, faults, self._rng)

    @property
    def revision(self) -> Revision:
        """The revision of the last change."""
        return Revision(self._revision)

    def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key."""
        self._expire()
        return self.items.get(key)

    def get_range(self, prefix: str) -> tuple[KeyValue, ...]:
        """Return the current values of all keys with a prefix."""
        self._expire()
        return tuple(
            self.items[key] for key in sorted(self.items) if key.startswith(prefix)
        )

    def commit(self, group: WriteGroup) -> CommitOutcome:
        """Apply a group of writes at once, if its conditions hold."""
        self._expire()
        for write in group.writes:
            if len(write.value) > self.max_value_bytes:
                return GroupRefused(f"the value of {write.key} is too long")
        for key, expected in group.conditions:
            item = self.items.get(key)
            if (item.revision if item is not None else ABSENT_REVISION) != expected:
                found = [self.items.get(name) for name, _ in group.conditions]
                return GroupConflict(tuple(item for item in found if item is not None))
        for write in group.writes:
            if write.lease_id is not None and write.lease_id not in self._leases:
                return LeaseLapsed()
        self.n_commits += 1
        self._revision += 1
        for write in group.writes:
            self._put(write)
        for key in group.removals:
            self._remove(key)
        self._notify()
        return Swapped(self.revision)

    def _put(self, write: Write) -> None:
        for lease in self._leases.values():
            lease.keys.discard(write.key)
        if write.lease_id is not None:
            self._leases[write.lease_id].keys.add(write.key)
        self.items[write.key] = KeyValue(write.key, write.value, self.revision)
        self._history.append(_Change(self._revision, write.key, write.value))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append(_Change(self._revision, key, None))

    def delete_leased_keys(self, prefix: str) -> None:
        """Delete keys attached to leases, as an operator of the store could."""
        for lease in self._leases.values():
            for key in [key for key in lease.keys if key.startswith(prefix)]:
                lease.keys.discard(key)
                self._revision += 1
                self._remove(key)
        self._notify()

    def drop_history(self) -> None:
        """Drop the history, so that watches of earlier revisions end."""
        self._first_revision = self._revision
        self._history.clear()
        self._notify()

    def grant(self, ttl_s: float) -> LeaseGranted:
        """Grant a lease that starts now."""
        self._n_leases += 1
        lease_id = LeaseId(self._n_leases)
        now_s = asyncio.get_running_loop().time()
        self._leases[lease_id] = _Lease(ttl_s, now_s + ttl_s)
        return LeaseGranted(lease_id, ttl_s)

    def keep(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease from now on."""
        self._expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            return LeaseLapsed()
        lease.expires_s = asyncio.get_running_loop().time() + lease.ttl_s
        return LeaseGranted(lease_id, lease.ttl_s)

    def extend_leases(self, by_s: float) -> None:
        """Extend every lease, as a service does that stops their time while down."""
        for lease in self._leases.values():
            lease.expires_s += by_s

    def _expire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for lease_id, lease in tuple(self._leases.items()):
            if lease.expires_s <= now_s:
                del self._leases[lease_id]
                for key in sorted(lease.keys):
                    self._revision += 1
                    self._remove(key)
                self._notify()

    def _notify(self) -> None:
        loop = asyncio.get_running_loop()
        # An empty context: the callback must run after the calling process has ended.
        context = contextvars.Context()
        loop.call_later(self.watch_delay_s, self._wake, context=context)

    def _wake(self) -> None:
        self._waiters, waiters = [], self._waiters
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for_change(self, limit_s: float) -> None:
        """Wait for a change, at most until `limit_s` of the loop's clock."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiters = [*self._waiters, waiter]
        left_s = min(limit_s - loop.time(), 0.25)
        # Waits are short so that leases expire even without calls.
        await asyncio.wait({waiter}, timeout=max(left_s, 0.0))
        self._expire()

    def changes(self, prefix: str, after: Revision) -> WatchEvent | WatchLost:
        """Return the changes under a prefix after a revision."""
        if after < self._first_revision:
            return WatchLost("the history was dropped")
        changed: dict[str, KeyValue] = {}
        deleted: dict[str, None] = {}
        for change in self._history:
            if change.revision <= after or not change.key.startswith(prefix):
                continue
            if change.value is None:
                changed.pop(change.key, None)
                deleted[change.key] = None
            else:
                deleted.pop(change.key, None)
                changed[change.key] = KeyValue(
                    change.key, change.value, Revision(change.revision)
                )
        return WatchEvent(tuple(changed.values()), tuple(deleted), self.revision)


class GroupStoreClient:
    """The `GroupStore` client of one process."""

    def __init__(
        self, store: MemoryGroupStore, faults: StoreFaults, rng: random.Random
    ) -> None:
        self._store: Final = store
        self.faults: Final = faults
        self._rng: Final = rng
        self._answered_s = 0.0

    @property
    def silent_s(self) -> float:
        """Seconds since the latest response to this client."""
        return asyncio.get_running_loop().time() - self._answered_s

    async def _send_request(self) -> Unavailable | None:
        """Wait for the request to arrive; return the error if it is not applied."""
        if self.faults.is_refusing:
            await asyncio.sleep(ANSWER_S)
            return Unavailable("status 503", may_have_applied=False)
        if self.faults.is_silent or self.faults.answer_s > CALL_TIMEOUT_S:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Unavailable("no response within the timeout", may_have_applied=True)
        await asyncio.sleep(self.faults.answer_s / 2)
        self._answered_s = asyncio.get_running_loop().time()
        return None

    async def _receive_response(self) -> Unavailable | None:
        if self._rng.random() < self.faults.lost_share:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Unavailable("no response within the timeout", may_have_applied=True)
        await asyncio.sleep(self.faults.answer_s / 2)
        return None

    async def get(self, key: str) -> GetOutcome:
        """Read one key."""
        failed = await self._send_request()
        if failed is not None:
            return failed
        found = Found(self._store.get(key))
        await asyncio.sleep(self.faults.answer_s / 2)
        return found

    def _is_unread(self, prefix: str) -> bool:
        unread = self.faults.unread_prefix
        return bool(unread) and prefix.startswith(unread)

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        """Read all keys with a prefix."""
        if self._is_unread(prefix):
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Unavailable("no response within the timeout")
        failed = await self._send_request()
        if failed is not None:
            return failed
        found = RangeFound(self._store.get_range(prefix), self._store.revision)
        await asyncio.sleep(self.faults.answer_s / 2)
        return found

    async def commit(self, group: WriteGroup) -> CommitOutcome:
        """Apply a group of writes, possibly late or without a response."""
        failed = await self._send_request()
        if failed is not None:
            return failed
        if self._rng.random() < self.faults.late_share:
            delay_s = self._rng.uniform(1.0, 6.0)
            loop = asyncio.get_running_loop()
            context = contextvars.Context()
            loop.call_later(delay_s, self._store.commit, group, context=context)
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Unavailable("no response within the timeout", may_have_applied=True)
        outcome = self._store.commit(group)
        return await self._receive_response() or outcome

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a lease."""
        failed = await self._send_request()
        return failed or await self._receive_response() or self._store.grant(ttl_s)

    async def keep_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease."""
        failed = await self._send_request()
        return failed or self._store.keep(lease_id)

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> WatchEvent | WatchLost | Unavailable:
        """Wait for changes under a prefix."""
        failed = await self._send_request()
        if failed is not None:
            return failed
        limit_s = asyncio.get_running_loop().time() + wait_s
        while True:
            event = self._store.changes(prefix, after)
            is_over = asyncio.get_running_loop().time() >= limit_s
            if isinstance(event, WatchLost) or event.changed or event.deleted:
                is_over = True
            is_silent = self.faults.is_watch_silent or self._is_unread(prefix)
            if is_over and is_silent:
                left_s = limit_s + CALL_TIMEOUT_S - asyncio.get_running_loop().time()
                await asyncio.sleep(left_s)
                return Unavailable("no response within the timeout")
            if is_over:
                await asyncio.sleep(self.faults.watch_late_s)
                return event
            await self._store.wait_for_change(limit_s)
