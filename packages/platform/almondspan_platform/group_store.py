"""Protocol of a key-value store with conditional, atomic writes of several keys.

The outcomes are those of `almondspan_platform.store` and `GroupConflict`: a group of
writes is either applied as a whole, or rejected because a key is not at its expected
revision. A group whose answer was lost may still be applied later, as long as its
conditions hold; its sender resolves this by committing another group under the same
conditions.
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

__all__ = [
    "CommitOutcome",
    "GroupConflict",
    "GroupRefused",
    "GroupStore",
    "Write",
    "WriteGroup",
]


@dataclass(frozen=True, slots=True)
class Write:
    """A key's new value; a key with a lease is deleted when that lease lapses."""

    key: str
    value: bytes
    lease_id: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class WriteGroup:
    """Writes and removals that are applied atomically."""

    conditions: tuple[tuple[str, Revision], ...] = ()
    """Keys and the revisions that they must be at; `ABSENT_REVISION` if absent."""

    writes: tuple[Write, ...] = ()
    removals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GroupConflict:
    """A condition did not hold; ``items`` are the present keys of the conditions."""

    items: tuple[KeyValue, ...]

    def item(self, key: str) -> KeyValue | None:
        """Return a key of the conditions, None if it is absent."""
        return next((item for item in self.items if item.key == key), None)


@dataclass(frozen=True, slots=True)
class GroupRefused:
    """The store has not applied the group and never will, for example for its size."""

    reason: str


CommitOutcome = Swapped | GroupConflict | GroupRefused | LeaseLapsed | Unavailable


class GroupStore(Protocol):
    """A client of the store; safe to share between tasks; no method raises."""

    @property
    def silent_s(self) -> float:
        """Return the seconds since the store last answered this client."""
        ...

    async def get(self, key: str) -> GetOutcome:
        """Read one key (linearizable)."""
        ...

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        """Read all keys that begin with `prefix`, from all pages.

        The result may or may not include a change made during the read. Such a change
        is later than the returned revision, so a watch from there reports it.
        """
        ...

    async def commit(self, group: WriteGroup) -> CommitOutcome:
        """Apply a group of writes if all of its conditions hold.

        The store limits the number of entries of a group.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a new lease."""
        ...

    async def keep_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease; return `LeaseLapsed` if it no longer exists."""
        ...

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> WatchEvent | WatchLost | Unavailable:
        """Wait for changes under `prefix` later than `after`.

        Returns an event without keys if nothing changed within `wait_s`, and
        `WatchLost` if the store no longer has the history since `after`.
        """
        ...
