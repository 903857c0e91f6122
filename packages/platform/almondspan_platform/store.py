"""Protocol of the key-value store: get, compare-and-swap of one key, lease and watch.

Every operation returns its outcome as a value and raises no exception for a failure of
the store. A write whose answer was lost returns `Unavailable` with
``may_have_applied``; the writer then reads the key back and looks for its own nonce.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final, NewType, Protocol

__all__ = [
    "ABSENT_REVISION",
    "MAX_VALUE_BYTES",
    "CasOutcome",
    "Conflict",
    "Found",
    "GetOutcome",
    "KeyValue",
    "LeaseGranted",
    "LeaseId",
    "LeaseLapsed",
    "LeaseOutcome",
    "RangeFound",
    "Revision",
    "Store",
    "Swapped",
    "Unavailable",
    "WatchEvent",
    "WatchLost",
]

Revision = NewType("Revision", int)
"""The store's revision at which a key was last changed."""

LeaseId = NewType("LeaseId", int)

ABSENT_REVISION: Final = Revision(0)
"""The revision of a key that does not exist."""

MAX_VALUE_BYTES: Final = 1_000_000
"""The largest value that the store accepts."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class Found:
    """The answer to a get; ``item`` is None when the key does not exist."""

    item: KeyValue | None


@dataclass(frozen=True, slots=True)
class RangeFound:
    """All keys under a prefix, sorted, read at store revision ``revision``."""

    items: tuple[KeyValue, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect at ``revision``."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key was not at the expected revision; ``item`` is its present state."""

    item: KeyValue | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No usable answer; a write may take effect if ``may_have_applied`` is set."""

    reason: str
    may_have_applied: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease that is valid for ``ttl_s`` from the time its request was sent."""

    lease_id: LeaseId
    ttl_s: float


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """The lease no longer exists; every key attached to it was deleted."""


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """The keys under the watched prefix that changed, and those deleted."""

    changed: tuple[KeyValue, ...]
    deleted: tuple[str, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class WatchLost:
    """The watch ended and may have missed changes; the range must be read again.

    Causes are a broken or silent connection and compacted history.
    """

    reason: str


GetOutcome = Found | Unavailable
CasOutcome = Swapped | Conflict | Unavailable
LeaseOutcome = LeaseGranted | LeaseLapsed | Unavailable


class Store(Protocol):
    """A client of the key-value store; safe to share between tasks."""

    async def start(self) -> None:
        """Open the client; the store need not be reachable yet."""
        ...

    async def close(self) -> None:
        """Close all connections; pending calls return `Unavailable`."""
        ...

    async def get(self, key: str) -> GetOutcome:
        """Read one key (linearizable)."""
        ...

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        """Read all keys that begin with `prefix` (linearizable)."""
        ...

    async def compare_and_swap(
        self,
        key: str,
        expected: Revision,
        value: bytes | None,
        lease_id: LeaseId | None = None,
    ) -> CasOutcome:
        """Replace `key` if it is at revision `expected`.

        With `expected` set to `ABSENT_REVISION` the key is created; with a `value` of
        None it is deleted. A key with `lease_id` is deleted when that lease lapses.
        A value longer than `MAX_VALUE_BYTES` raises `ValueError`.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a new lease."""
        ...

    async def keep_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease; return `LeaseLapsed` if it no longer exists."""
        ...

    async def revoke_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Revoke a lease; `LeaseLapsed` confirms that it no longer exists."""
        ...

    def watch(
        self, prefix: str, after: Revision
    ) -> AsyncIterator[WatchEvent | WatchLost]:
        """Yield changes under `prefix` later than `after`; the last is `WatchLost`."""
        ...
