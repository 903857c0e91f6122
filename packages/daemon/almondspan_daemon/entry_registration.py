"""Registration of an entry in the store, and the list of the region's entries.

One task keeps the entry's key in the store, in a loop:

1. Grant a lease and create the entry's key under it. If the answer to an earlier
   create was lost, the create conflicts with the entry's own key. That key is then
   moved to the new lease, because the old lease is not renewed any more.
2. Renew the lease after each third of its time to live. Retry while the store is
   unavailable; start again once the lease has lapsed.

A second task reads the region's keys and then watches them; when the watch is lost,
it reads them again. During an outage the last known list stays in use.
"""

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Final

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS
from almondspan_decisions.ids import EntryId, PlaceName, RegionName
from almondspan_platform.store import (
    ABSENT_REVISION,
    CasOutcome,
    Conflict,
    KeyValue,
    LeaseGranted,
    LeaseLapsed,
    RangeFound,
    Revision,
    Store,
    Swapped,
    Unavailable,
    WatchLost,
)
from almondspan_wire.fields import Host, Port
from almondspan_wire.membership import EntryAddress, EntryList

__all__ = ["EntryRegistration", "decode_address", "encode_address", "entries_prefix"]

LEASE_TTL_S: Final = 12.0
RETRY_S: Final = 1.0

_log = logging.getLogger(__name__)


class _Registration(msgspec.Struct):
    """The value of an entry's key."""

    entry_id: str
    host: Host
    port: Port
    place: str


def entries_prefix(region: RegionName) -> str:
    """Return the prefix of the keys under which a region's entries register."""
    return f"entries/{region}/"


def encode_address(address: EntryAddress) -> bytes:
    """Encode an address as the value of an entry's key."""
    fields = {
        "entry_id": address.entry_id,
        "host": address.host,
        "port": address.port,
        "place": address.place,
    }
    return json.dumps(fields, sort_keys=True).encode()


def decode_address(value: bytes) -> EntryAddress | None:
    """Decode the value of an entry's key; return None if it is malformed."""
    try:
        found = msgspec.json.decode(value, type=_Registration)
    except DECODE_ERRORS:
        return None
    return EntryAddress(
        EntryId(found.entry_id), found.host, found.port, PlaceName(found.place)
    )


class EntryRegistration:
    """Keeps this entry registered and watches the registrations of the others.

    ``on_entries`` is called with the whole list after each change.
    """

    def __init__(
        self,
        store: Store,
        region: RegionName,
        own: EntryAddress,
        on_entries: Callable[[EntryList], None],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._prefix = entries_prefix(region)
        self._own = own
        self._on_entries = on_entries
        self._rng = rng
        self._known: dict[str, EntryAddress] = {}
        self.is_registered = False

    def entry_list(self) -> EntryList:
        """Return all known entries, always including this one."""
        known = {address.entry_id: address for address in self._known.values()}
        known[self._own.entry_id] = self._own
        return EntryList(tuple(known[key] for key in sorted(known)))

    async def keep_registered(self) -> None:
        """Keep the entry's key in the store until cancelled."""
        while True:
            lease = await self._store.grant_lease(LEASE_TTL_S)
            if isinstance(lease, LeaseGranted):
                if await self._put_key(lease):
                    await self._renew(lease)
            await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))

    async def _put_key(self, lease: LeaseGranted) -> bool:
        """Write the entry's key under a lease; return False if that is uncertain."""
        outcome = await self._swap_key(ABSENT_REVISION, lease)
        if isinstance(outcome, Conflict) and outcome.item is not None:
            outcome = await self._swap_key(outcome.item.revision, lease)
        return isinstance(outcome, Swapped)

    async def _swap_key(self, expected: Revision, lease: LeaseGranted) -> CasOutcome:
        return await self._store.compare_and_swap(
            self._prefix + self._own.entry_id,
            expected,
            encode_address(self._own),
            lease.lease_id,
        )

    async def _renew(self, lease: LeaseGranted) -> None:
        self.is_registered = True
        _log.info("registered in the store")
        wait_s = LEASE_TTL_S / 3
        while True:
            await asyncio.sleep(wait_s)
            outcome = await self._store.keep_lease(lease.lease_id)
            wait_s = RETRY_S if isinstance(outcome, Unavailable) else LEASE_TTL_S / 3
            if isinstance(outcome, LeaseLapsed):
                self.is_registered = False
                _log.info("registration lapsed")
                return

    async def watch_entries(self) -> None:
        """Keep the list of entries up to date until cancelled."""
        while True:
            found = await self._store.get_range(self._prefix)
            if not isinstance(found, Unavailable):
                self._replace_entries(found)
                await self._apply_changes(found)
            await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))

    def _replace_entries(self, found: RangeFound) -> None:
        self._known = {}
        self._add_entries(found.items)
        self._on_entries(self.entry_list())

    def _add_entries(self, items: tuple[KeyValue, ...]) -> None:
        for item in items:
            address = decode_address(item.value)
            if address is not None:
                self._known[item.key] = address
            else:
                _log.warning("entry unreadable", extra={"key": item.key})

    async def _apply_changes(self, found: RangeFound) -> None:
        async for event in self._store.watch(self._prefix, found.revision):
            if isinstance(event, WatchLost):
                return
            self._add_entries(event.changed)
            for key in event.deleted:
                self._known.pop(key, None)
            self._on_entries(self.entry_list())

    async def close(self) -> None:
        """Delete the entry's key, so that agents do not dial this entry any more."""
        key = self._prefix + self._own.entry_id
        found = await self._store.get(key)
        if not isinstance(found, Unavailable) and found.item is not None:
            await self._store.compare_and_swap(key, found.item.revision, None)
