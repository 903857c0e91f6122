"""The key-value service where several keys change together under conditions.

Beside the outcomes of `almondspan_platform.store` there is one more: a group of
writes either takes effect whole, or meets a key that is not at its expected
revision. A group without an answer may take effect later, while its conditions
hold; whoever sent it settles that by a further group under the same conditions.
"""

from dataclasses import dataclass
from typing import Protocol

from almondspan_platform.store import (
    GetOutcome,
    KeyValue,
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

__all__ = ["CommitOutcome", "GroupConflict", "GroupStore", "Write", "WriteGroup"]


@dataclass(frozen=True, slots=True)
class Write:
    """A key's new value; with a lease, the key goes when that lease lapses."""

    key: str
    value: bytes
    lease_id: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class WriteGroup:
    """Writes and removals that take effect together or not at all."""

    conditions: tuple[tuple[str, Revision], ...] = ()
    """Keys with the revisions they must have; `ABSENT_REVISION` for no such key."""
    writes: tuple[Write, ...] = ()
    removals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GroupConflict:
    """A condition did not hold; the keys of the conditions as they are now."""

    items: tuple[KeyValue, ...]

    def item(self, key: str) -> KeyValue | None:
        """Return what a key of the conditions holds; None when it is absent."""
        return next((item for item in self.items if item.key == key), None)


CommitOutcome = Swapped | GroupConflict | LeaseLapsed | Unavailable


class GroupStore(Protocol):
    """A client of the service; safe to share between tasks; no method raises."""

    @property
    def silent_s(self) -> float:
        """Seconds since the service last answered this client."""
        ...

    async def get(self, key: str) -> GetOutcome:
        """Read one key, linearizably."""
        ...

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        """Read all keys that begin with `prefix`; pages are joined.

        A change during the read may or may not be seen; it is later than the
        returned revision, so a watch from there reports it.
        """
        ...

    async def commit(self, group: WriteGroup) -> CommitOutcome:
        """Apply a group of at most `max_group_size` entries."""
        ...

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a new lease."""
        ...

    async def keep_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease; `LeaseLapsed` when it is gone."""
        ...

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> WatchEvent | WatchLost | Unavailable:
        """Wait for changes under `prefix` later than `after`.

        Returns an event without keys when nothing changed within `wait_s`, and
        `WatchLost` when the history since `after` is gone.
        """
        ...
