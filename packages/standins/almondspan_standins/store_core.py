"""In-memory key-value store with revisions, compare-and-swap, leases and watches.

A `StoreCore` holds the data of one store; clients and HTTP handlers share it.

1. Each change increments the store's revision and is appended to a bounded history.
2. A lease that is not renewed in time lapses: one change deletes all of its keys.
   Lapsed leases are collected on each use of the core; `StoreCore.next_lapse_s`
   returns when a waiting watch has to check again.
3. A watch reads the history after its own revision, or gets `Compacted` when the
   history starts later.
"""

import math
from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from almondspan_platform.store import (
    ABSENT_REVISION,
    Conflict,
    KeyValue,
    LeaseGranted,
    LeaseId,
    LeaseLapsed,
    RangeFound,
    Revision,
    Swapped,
    WatchEvent,
)
from almondspan_standins.faults import StoreFaults

__all__ = [
    "CallKind",
    "Change",
    "Compacted",
    "LeaseUnknown",
    "StoreCore",
    "event_of_changes",
]

FIRST_REVISION: Final = Revision(1)
N_HISTORY: Final = 20_000


class CallKind(Enum):
    """The kinds of calls that the store counts."""

    GET = "get"
    RANGE = "range"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key; ``item`` is None for a deletion."""

    revision: Revision
    key: str
    item: KeyValue | None


@dataclass(frozen=True, slots=True)
class Compacted:
    """The history starts after the requested revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class LeaseUnknown:
    """The lease of a write does not exist; nothing was written."""


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    lapses_s: float
    keys: set[str] = field(default_factory=set)


class StoreCore:
    """The data of a store; `now` returns a monotonic time in seconds."""

    def __init__(self, now: Callable[[], float], n_history: int = N_HISTORY) -> None:
        self._now: Final = now
        self._items: dict[str, KeyValue] = {}
        self._sorted_keys: list[str] = []
        self._lease_of_key: dict[str, LeaseId] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._next_lease = 1
        self._earliest_lapse_s = math.inf
        self._history: deque[Change] = deque()
        self._n_history: Final = n_history
        self._compacted = Revision(0)
        self._listeners: set[Callable[[], None]] = set()
        self._faults = StoreFaults()
        self.revision = FIRST_REVISION
        self.n_calls: Counter[CallKind] = Counter()
        self.n_peak_per_s: Counter[CallKind] = Counter()
        self._n_in_second: Counter[CallKind] = Counter()
        self._counted_second = 0
        self.n_watches_open = 0

    @property
    def faults(self) -> StoreFaults:
        """The faults of all clients; setting them wakes the watches."""
        return self._faults

    @faults.setter
    def faults(self, faults: StoreFaults) -> None:
        self._faults = faults
        self._notify()

    def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        self._count(CallKind.GET)
        self.collect_lapsed()
        return self._items.get(key)

    def get_range(self, prefix: str) -> RangeFound:
        """Read the keys with a prefix, sorted."""
        self._count(CallKind.RANGE)
        self.collect_lapsed()
        items = []
        keys = self._sorted_keys
        for at in range(bisect_left(keys, prefix), len(keys)):
            if not keys[at].startswith(prefix):
                break
            items.append(self._items[keys[at]])
        return RangeFound(tuple(items), self.revision)

    def compare_and_swap(
        self,
        key: str,
        expected: Revision,
        value: bytes | None,
        lease_id: LeaseId | None = None,
    ) -> Swapped | Conflict | LeaseUnknown:
        """Write or delete (`value` None) a key if it is at revision `expected`."""
        self._count(CallKind.WRITE)
        self.collect_lapsed()
        item = self._items.get(key)
        if (item.revision if item else ABSENT_REVISION) != expected:
            return Conflict(item)
        if value is None:
            if item is not None:
                self._begin_change()
                self._delete(key)
                self._notify()
            return Swapped(self.revision)
        if lease_id is not None and lease_id not in self._leases:
            return LeaseUnknown()
        self._begin_change()
        self._put(key, value, lease_id)
        self._notify()
        return Swapped(self.revision)

    def grant_lease(self, ttl_s: float) -> LeaseGranted:
        """Grant a lease that starts now."""
        self._count(CallKind.LEASE)
        lease_id = LeaseId(self._next_lease)
        self._next_lease += 1
        lapses_s = self._now() + ttl_s
        self._leases[lease_id] = _Lease(ttl_s, lapses_s)
        self._earliest_lapse_s = min(self._earliest_lapse_s, lapses_s)
        return LeaseGranted(lease_id, ttl_s)

    def holds_lease(self, lease_id: LeaseId) -> bool:
        """Return whether a lease exists and has not lapsed."""
        self.collect_lapsed()
        return lease_id in self._leases

    def keep_lease(self, lease_id: LeaseId) -> LeaseGranted | LeaseLapsed:
        """Renew a lease from now on."""
        self._count(CallKind.LEASE)
        self.collect_lapsed()
        lease = self._leases.get(lease_id)
        if lease is None:
            return LeaseLapsed()
        lease.lapses_s = self._now() + lease.ttl_s
        return LeaseGranted(lease_id, lease.ttl_s)

    def revoke_lease(self, lease_id: LeaseId) -> LeaseLapsed:
        """End a lease and delete its keys."""
        self._count(CallKind.LEASE)
        self.collect_lapsed()
        self._end_leases([lease_id] if lease_id in self._leases else [])
        return LeaseLapsed()

    def changes_after(self, prefix: str, after: Revision) -> list[Change] | Compacted:
        """Return the changes under `prefix` after `after`, oldest first."""
        self.collect_lapsed()
        if after < self._compacted:
            return Compacted(self._compacted)
        found: list[Change] = []
        for change in reversed(self._history):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                found.append(change)
        found.reverse()
        return found

    def compact(self, revision: Revision) -> None:
        """Drop the history up to and including `revision`."""
        while self._history and self._history[0].revision <= revision:
            self._history.popleft()
        self._compacted = Revision(max(self._compacted, revision))
        self._notify()

    def next_lapse_s(self) -> float | None:
        """Return when the next lease lapses unless it is renewed."""
        return min((lease.lapses_s for lease in self._leases.values()), default=None)

    def collect_lapsed(self) -> None:
        """Delete the keys of leases that have lapsed."""
        now_s = self._now()
        if now_s < self._earliest_lapse_s:
            return
        lapsed = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.lapses_s <= now_s
        ]
        self._end_leases(lapsed)
        self._earliest_lapse_s = self.next_lapse_s() or math.inf

    @contextmanager
    def watching(self, listener: Callable[[], None]) -> Iterator[None]:
        """Call `listener` after each change while the context is open."""
        self._count(CallKind.WATCH)
        self.n_watches_open += 1
        self._listeners.add(listener)
        try:
            yield
        finally:
            self._listeners.discard(listener)
            self.n_watches_open -= 1

    def _count(self, kind: CallKind) -> None:
        """Count a call and update the highest number of calls in one second."""
        self.n_calls[kind] += 1
        second = int(self._now())
        if second != self._counted_second:
            self._counted_second = second
            self._n_in_second.clear()
        self._n_in_second[kind] += 1
        self.n_peak_per_s[kind] = max(self.n_peak_per_s[kind], self._n_in_second[kind])

    def _end_leases(self, lease_ids: list[LeaseId]) -> None:
        keys = [key for one in lease_ids for key in sorted(self._leases.pop(one).keys)]
        if not keys:
            return
        self._begin_change()
        for key in keys:
            self._delete(key)
        self._notify()

    def _begin_change(self) -> None:
        self.revision = Revision(self.revision + 1)

    def _put(self, key: str, value: bytes, lease_id: LeaseId | None) -> None:
        self._detach(key)
        if lease_id is not None:
            self._lease_of_key[key] = lease_id
            self._leases[lease_id].keys.add(key)
        if key not in self._items:
            insort(self._sorted_keys, key)
        item = KeyValue(key, value, self.revision)
        self._items[key] = item
        self._record(Change(self.revision, key, item))

    def _delete(self, key: str) -> None:
        self._detach(key)
        del self._items[key]
        del self._sorted_keys[bisect_left(self._sorted_keys, key)]
        self._record(Change(self.revision, key, None))

    def _detach(self, key: str) -> None:
        lease_id = self._lease_of_key.pop(key, None)
        if lease_id in self._leases:
            self._leases[lease_id].keys.discard(key)

    def _record(self, change: Change) -> None:
        self._history.append(change)
        while len(self._history) > self._n_history:
            self._compacted = self._history.popleft().revision

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()


def event_of_changes(changes: list[Change]) -> WatchEvent:
    """Merge changes into one event with the latest state of each key."""
    last = {change.key: change for change in changes}
    return WatchEvent(
        tuple(one.item for one in last.values() if one.item is not None),
        tuple(key for key, one in last.items() if one.item is None),
        changes[-1].revision,
    )
