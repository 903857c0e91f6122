"""Reads and writes the keys of the configuration, one call of the store a method."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from almondspan_admin.stored_config import (
    CURRENT_KEY,
    HISTORY_PREFIX,
    StoredConfig,
    UnreadableConfig,
    decode_config,
    encode_config,
    history_key,
)
from almondspan_platform.store import (
    ABSENT_REVISION,
    CasOutcome,
    KeyValue,
    Revision,
    Store,
    Swapped,
    Unavailable,
)

__all__ = ["ConfigStore", "StoredKey"]

N_PRUNED: Final = 3
"""How many revisions beyond the history's bound are looked for after a change."""


@dataclass(frozen=True, slots=True)
class StoredKey:
    """The key of the configuration as it was read.

    ``key_revision`` is the store's revision of the key, ``store_revision`` that of
    the read. ``config`` is None when there is none or it cannot be read.
    """

    key_revision: Revision
    store_revision: Revision
    config: StoredConfig | None
    unreadable: bool = False


class ConfigStore:
    """The keys of the configuration.

    Parameters
    ----------
    store : Store
        A started client.
    on_seen : Callable[[StoredConfig], None]
        Called with whatever a call has shown to be in force.
    """

    def __init__(self, store: Store, on_seen: Callable[[StoredConfig], None]) -> None:
        self._store = store
        self._on_seen = on_seen
        self.n_reads = 0
        self.n_writes = 0

    async def read(self) -> StoredKey | Unavailable:
        """Read the configuration in force."""
        self.n_reads += 1
        found = await self._store.get_range(CURRENT_KEY)
        if isinstance(found, Unavailable):
            return found
        items = [item for item in found.items if item.key == CURRENT_KEY]
        if not items:
            return StoredKey(ABSENT_REVISION, found.revision, None)
        config = self.see(items[0])
        return StoredKey(
            items[0].revision, found.revision, config, unreadable=config is None
        )

    def see(self, item: KeyValue) -> StoredConfig | None:
        """Decode what the key holds and tell `on_seen`."""
        config = decode_config(item.value)
        if isinstance(config, UnreadableConfig):
            return None
        self._on_seen(config)
        return config

    async def replace(self, expected: Revision, config: StoredConfig) -> CasOutcome:
        """Replace the configuration in force."""
        self.n_writes += 1
        outcome = await self._store.compare_and_swap(
            CURRENT_KEY, expected, encode_config(config)
        )
        if isinstance(outcome, Swapped):
            self._on_seen(config)
        return outcome

    async def read_archived(self, revision: int) -> StoredConfig | Unavailable | None:
        """Return a revision of the history; None when it is not kept."""
        self.n_reads += 1
        found = await self._store.get(history_key(revision))
        if isinstance(found, Unavailable):
            return found
        if found.item is None:
            return None
        config = decode_config(found.item.value)
        return config if isinstance(config, StoredConfig) else None

    async def archive(self, config: StoredConfig) -> Unavailable | None:
        """Write a revision into the history; None when it is there."""
        self.n_writes += 1
        outcome = await self._store.compare_and_swap(
            history_key(config.revision), ABSENT_REVISION, encode_config(config)
        )
        # A conflict means that another submission has archived the same revision.
        return outcome if isinstance(outcome, Unavailable) else None

    async def list_archived(self) -> tuple[StoredConfig, ...] | Unavailable:
        """Return the history, oldest first, without the one in force."""
        self.n_reads += 1
        found = await self._store.get_range(HISTORY_PREFIX)
        if isinstance(found, Unavailable):
            return found
        decoded = [decode_config(item.value) for item in found.items]
        return tuple(config for config in decoded if isinstance(config, StoredConfig))

    async def prune(self, oldest_kept: int) -> None:
        """Delete the revisions just below `oldest_kept`; best effort."""
        for revision in range(max(1, oldest_kept - N_PRUNED), oldest_kept):
            self.n_reads += 1
            found = await self._store.get(history_key(revision))
            if isinstance(found, Unavailable) or found.item is None:
                continue
            self.n_writes += 1
            await self._store.compare_and_swap(
                history_key(revision), found.item.revision, None
            )
