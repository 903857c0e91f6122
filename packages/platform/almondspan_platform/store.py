"""The key-value service as almondspan sees it.

Four operations: get, compare-and-swap of one key, lease, watch. Every operation
returns an outcome as a value; none raises for a fault of the service. A write
whose answer was lost returns `Unavailable` with ``may_have_applied``; whoever
wrote reads the key back and compares its own nonce.
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
"""The largest value that the service holds."""


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
    """The key was not at the expected revision; ``item`` is what it holds."""

    item: KeyValue | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No answer in time; a write with ``may_have_applied`` may be in effect."""

    reason: str
    may_have_applied: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease that holds for ``ttl_s`` from when its request was sent."""

    lease_id: LeaseId
    ttl_s: float


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """The lease is gone, and with it every key attached to it."""


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """The keys under the watched prefix that changed, and those deleted."""

    changed: tuple[KeyValue, ...]
    deleted: tuple[str, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class WatchLost:
    """The watch ended (cut, silent, history compacted); read the range again."""

    reason: str


GetOutcome = Found | Unavailable
CasOutcome = Swapped | Conflict | Unavailable
LeaseOutcome = LeaseGranted | LeaseLapsed | Unavailable


class Store(Protocol):
    """A client of the key-value service; safe to share between tasks."""

    async def start(self) -> None:
        """Open the client; does not need the service to be up."""
        ...

    async def close(self) -> None:
        """Release every connection; pending calls end as `Unavailable`."""
        ...

    async def get(self, key: str) -> GetOutcome:
        """Read one key, linearizably."""
        ...

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        """Read all keys that begin with `prefix`, linearizably."""
        ...

    async def compare_and_swap(
        self,
        key: str,
        expected: Revision,
        value: bytes | None,
        lease_id: LeaseId | None = None,
    ) -> CasOutcome:
        """Replace `key` if it is at revision `expected`.

        `expected` is `ABSENT_REVISION` to create the key; a `value` of None
        deletes it. A value over `MAX_VALUE_BYTES` is a caller's error
        (`ValueError`). A key with `lease_id` goes when that lease lapses.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a new lease."""
        ...

    async def keep_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease; `LeaseLapsed` when it is gone."""
        ...

    async def revoke_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """End a lease; `LeaseLapsed` is the answer that confirms it."""
        ...

    def watch(
        self, prefix: str, after: Revision
    ) -> AsyncIterator[WatchEvent | WatchLost]:
        """Yield changes under `prefix` later than `after`; ends with `WatchLost`."""
        ...
