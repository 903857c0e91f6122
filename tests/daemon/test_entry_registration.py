"""Registration of an entry under faults of the store, in virtual time."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import pytest

from almondspan_daemon.entry_registration import (
    LEASE_TTL_S,
    RETRY_S,
    EntryRegistration,
    decode_address,
    encode_address,
    entries_prefix,
)
from almondspan_decisions.ids import EntryId, PlaceName, RegionName
from almondspan_platform.store import ABSENT_REVISION, Revision
from almondspan_standins.faults import StoreFaults
from almondspan_standins.memory_store import MemoryStore, MemoryStoreOptions
from almondspan_standins.store_core import StoreCore
from almondspan_standins.virtual_time import run_in_virtual_time
from almondspan_wire.membership import EntryAddress, EntryList

REGION = RegionName("viti")
OWN = EntryAddress(EntryId("e1"), "127.0.0.1", 4000, PlaceName("p1"))
OTHER = EntryAddress(EntryId("e2"), "127.0.0.2", 4000, PlaceName("p2"))
OWN_KEY = entries_prefix(REGION) + OWN.entry_id
OTHER_KEY = entries_prefix(REGION) + OTHER.entry_id


def address(host: str = "127.0.0.9", port: float = 4000) -> bytes:
    """Return an entry's value with another address."""
    fields = {"entry_id": "odd", "host": host, "port": port, "place": "p"}
    return json.dumps(fields).encode()


class Harness:
    """One entry's registration with an in-memory store."""

    def __init__(self) -> None:
        self.core = StoreCore(asyncio.get_running_loop().time)
        self.store = MemoryStore(self.core, MemoryStoreOptions(watch_silence_s=10.0))
        self.lists: list[EntryList] = []
        self.registration = EntryRegistration(
            self.store, REGION, OWN, self.lists.append, random.Random(1)
        )

    def is_registered_in_store(self) -> bool:
        return self.core.get(OWN_KEY) is not None

    def has_other(self) -> bool:
        return OTHER in self.registration.entry_list().entries

    def put_other(self) -> None:
        self.core.compare_and_swap(
            OTHER_KEY, ABSENT_REVISION, encode_address(OTHER), None
        )


Use = Callable[[Harness], Awaitable[None]]


def run(use: Use) -> None:
    async def main() -> None:
        harness = Harness()
        tasks = [
            asyncio.create_task(harness.registration.keep_registered()),
            asyncio.create_task(harness.registration.watch_entries()),
        ]
        try:
            await use(harness)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run_in_virtual_time(main())


async def wait_until(condition: Callable[[], bool], within_s: float) -> None:
    async with asyncio.timeout(within_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def unregistered_share(harness: Harness, duration_s: float) -> float:
    """Return the share of the time during which the key is not in the store."""
    n_checks = int(duration_s / 0.1)
    n_absent = 0
    for _ in range(n_checks):
        n_absent += not harness.is_registered_in_store()
        await asyncio.sleep(0.1)
    return n_absent / n_checks


def test_key_is_created_and_kept() -> None:
    async def use(harness: Harness) -> None:
        await wait_until(harness.is_registered_in_store, RETRY_S)
        assert await unregistered_share(harness, 10 * LEASE_TTL_S) == 0

    run(use)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(StoreFaults(outage=True), id="outage"),
        pytest.param(StoreFaults(delay_s=3.0), id="slower than the timeout"),
        pytest.param(StoreFaults(lose_answer_share=1.0), id="every answer lost"),
    ],
)
@pytest.mark.parametrize("fault_s", [5.0, 3 * LEASE_TTL_S])
def test_registration_recovers_from_store_faults(
    faults: StoreFaults, fault_s: float
) -> None:
    async def use(harness: Harness) -> None:
        for _ in range(2):
            harness.store.faults = faults
            await asyncio.sleep(fault_s)
            harness.store.faults = StoreFaults()
            harness.put_other()
            await wait_until(lambda: harness.registration.is_registered, 8.0)
            await asyncio.sleep(8.0)
            assert await unregistered_share(harness, 3 * LEASE_TTL_S) == 0
            assert harness.has_other()

    run(use)


def test_lost_answer_to_create_leaves_no_gap() -> None:
    """Guards against the key's expiry when the answer to its creation is lost.

    The key then belongs to a lease that nobody renews; it must move to a new lease.
    """

    async def use(harness: Harness) -> None:
        lease = harness.core.grant_lease(LEASE_TTL_S)
        harness.core.compare_and_swap(
            OWN_KEY, ABSENT_REVISION, encode_address(OWN), lease.lease_id
        )
        await wait_until(lambda: harness.registration.is_registered, 2 * RETRY_S)
        assert await unregistered_share(harness, 3 * LEASE_TTL_S) == 0

    run(use)


def test_lapsed_lease_is_replaced() -> None:
    async def use(harness: Harness) -> None:
        await wait_until(harness.is_registered_in_store, RETRY_S)
        harness.store.faults = StoreFaults(outage=True)
        await wait_until(lambda: not harness.is_registered_in_store(), 2 * LEASE_TTL_S)
        harness.store.faults = StoreFaults()
        await wait_until(harness.is_registered_in_store, 4 * RETRY_S)

    run(use)


@pytest.mark.parametrize(
    ("faults", "within_s"),
    [
        pytest.param(StoreFaults(), 0.5, id="none"),
        pytest.param(StoreFaults(watch_silent=True), 25.0, id="silent watch"),
    ],
)
def test_other_entries_are_discovered_and_removed(
    faults: StoreFaults, within_s: float
) -> None:
    async def use(harness: Harness) -> None:
        await asyncio.sleep(2.0)
        harness.store.faults = faults
        harness.put_other()
        await wait_until(harness.has_other, within_s)
        item = harness.core.get(OTHER_KEY)
        assert item is not None
        harness.core.compare_and_swap(OTHER_KEY, item.revision, None, None)
        await wait_until(lambda: not harness.has_other(), within_s)
        assert OWN in harness.lists[-1].entries

    run(use)


def test_keys_are_read_again_after_compaction() -> None:
    async def use(harness: Harness) -> None:
        await asyncio.sleep(2.0)
        harness.store.faults = StoreFaults(watch_silent=True)
        harness.put_other()
        harness.core.compact(Revision(harness.core.get_range("").revision))
        harness.store.faults = StoreFaults()
        await wait_until(harness.has_other, 15.0)

    run(use)


def test_last_list_is_kept_during_an_outage() -> None:
    async def use(harness: Harness) -> None:
        harness.put_other()
        await asyncio.sleep(2.0)
        harness.store.faults = StoreFaults(outage=True)
        await asyncio.sleep(5 * LEASE_TTL_S)
        assert harness.has_other()

    run(use)


def test_close_deletes_the_key() -> None:
    async def use(harness: Harness) -> None:
        await wait_until(harness.is_registered_in_store, RETRY_S)
        await harness.registration.close()
        assert not harness.is_registered_in_store()

    run(use)


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"[1]", id="a list"),
        pytest.param(b'{"entry_id": "e"}', id="no address"),
        pytest.param(b'{"entry_id":"e","host":"h","port":"x","place":"p"}', id="port"),
        pytest.param(b"\xff", id="no text"),
        pytest.param(address(port=0), id="port zero"),
        pytest.param(address(port=65_536), id="port out of range"),
        pytest.param(address(port=10**400), id="port too large"),
        pytest.param(address(port=float("inf")), id="port infinite"),
        pytest.param(address(host=""), id="no host"),
        pytest.param(address(host="a\0b"), id="host with a null character"),
    ],
)
def test_malformed_value_is_ignored(value: bytes) -> None:
    assert decode_address(value) is None


def test_address_round_trips() -> None:
    assert decode_address(encode_address(OWN)) == OWN


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"[" * 100_000, id="nested too deeply"),
        pytest.param(address(port=65_536), id="port out of range"),
        pytest.param(address(port=float("inf")), id="port infinite"),
    ],
)
def test_odd_entry_does_not_hide_the_others(value: bytes) -> None:
    async def use(harness: Harness) -> None:
        harness.core.compare_and_swap(
            entries_prefix(REGION) + "odd", ABSENT_REVISION, value, None
        )
        await asyncio.sleep(2 * RETRY_S)
        harness.put_other()
        await wait_until(harness.has_other, 4 * RETRY_S)
        assert len(harness.registration.entry_list().entries) == 2

    run(use)
