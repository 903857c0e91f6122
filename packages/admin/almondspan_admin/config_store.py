"""Reads and writes the configuration's keys in the store."""

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
"""How many revisions below the oldest kept one are deleted after a change, at most."""


@dataclass(frozen=True, slots=True)
class StoredKey:
    """The result of reading the key of the current configuration.

    ``key_revision`` is the store's revision of the key, ``store_revision`` the
    store's revision at the time of the read. ``config`` is None when the key does
    not exist or, with ``unreadable``, when it cannot be decoded.
    """

    key_revision: Revision
    store_revision: Revision
    config: StoredConfig | None
    unreadable: bool = False


class ConfigStore:
    """Access to the keys of the current configuration and of the history.

    Parameters
    ----------
    store : Store
        A started client.
    on_config : Callable[[StoredConfig], None]
        Called with each current configuration that a call has read or written.
    """

    def __init__(self, store: Store, on_config: Callable[[StoredConfig], None]) -> None:
        self._store = store
        self._on_config = on_config
        self.n_reads = 0
        self.n_writes = 0

    async def read(self) -> StoredKey | Unavailable:
        """Read the current configuration."""
        self.n_reads += 1
        result = await self._store.get_range(CURRENT_KEY)
        if isinstance(result, Unavailable):
            return result
        items = [item for item in result.items if item.key == CURRENT_KEY]
        if not items:
            return StoredKey(ABSENT_REVISION, result.revision, None)
        config = self.observe(items[0])
        return StoredKey(
            items[0].revision, result.revision, config, unreadable=config is None
        )

    def observe(self, item: KeyValue) -> StoredConfig | None:
        """Decode the current configuration and pass it to `on_config`."""
        config = decode_config(item.value)
        if isinstance(config, UnreadableConfig):
            return None
        self._on_config(config)
        return config

    async def replace(self, expected: Revision, config: StoredConfig) -> CasOutcome:
        """Replace the current configuration by compare-and-swap."""
        self.n_writes += 1
        outcome = await self._store.compare_and_swap(
            CURRENT_KEY, expected, encode_config(config)
        )
        if isinstance(outcome, Swapped):
            self._on_config(config)
        return outcome

    async def read_archived(self, revision: int) -> StoredConfig | Unavailable | None:
        """Return a revision of the history, or None if it is not stored."""
        self.n_reads += 1
        result = await self._store.get(history_key(revision))
        if isinstance(result, Unavailable):
            return result
        if result.item is None:
            return None
        config = decode_config(result.item.value)
        return config if isinstance(config, StoredConfig) else None

    async def archive(self, config: StoredConfig) -> Unavailable | None:
        """Write a revision into the history; return None once it is stored there."""
        self.n_writes += 1
        outcome = await self._store.compare_and_swap(
            history_key(config.revision), ABSENT_REVISION, encode_config(config)
        )
        # A conflict means that another submission has archived this revision.
        return outcome if isinstance(outcome, Unavailable) else None

    async def list_archived(self) -> tuple[StoredConfig, ...] | Unavailable:
        """Return the history, oldest first, without the current configuration."""
        self.n_reads += 1
        result = await self._store.get_range(HISTORY_PREFIX)
        if isinstance(result, Unavailable):
            return result
        decoded = [decode_config(item.value) for item in result.items]
        return tuple(config for config in decoded if isinstance(config, StoredConfig))

    async def prune(self, oldest_kept: int) -> None:
        """Delete the revisions just below `oldest_kept`; best effort."""
        for revision in range(max(1, oldest_kept - N_PRUNED), oldest_kept):
            self.n_reads += 1
            result = await self._store.get(history_key(revision))
            if isinstance(result, Unavailable) or result.item is None:
                continue
            self.n_writes += 1
            await self._store.compare_and_swap(
                history_key(revision), result.item.revision, None
            )
