"""The contract of `GroupStore`, for the in-memory store and for `KvStore` over HTTP."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fake_platform import FakeStore

from almondspan_platform.group_store import (
    GroupConflict,
    GroupRefused,
    GroupStore,
    Write,
    WriteGroup,
)
from almondspan_platform.store import (
    ABSENT_REVISION,
    Found,
    LeaseGranted,
    LeaseId,
    LeaseLapsed,
    RangeFound,
    Revision,
    Swapped,
    Unavailable,
    WatchEvent,
    WatchLost,
)
from almondspan_site.kv_store import KvStore
from almondspan_standins.memory_group_store import MemoryGroupStore, StoreFaults

Body = Callable[[GroupStore, MemoryGroupStore], Awaitable[None]]


async def in_memory(body: Body) -> None:
    state = MemoryGroupStore(random.Random(1))
    await body(state.client(StoreFaults()), state)


async def over_http(body: Body) -> None:
    fake = FakeStore()
    await fake.start()
    client = KvStore(fake.address, 1_000.0)
    await client.start()
    try:
        await body(client, fake.state)
    finally:
        await client.close()
        await fake.close()


RIGS = [pytest.param(in_memory, id="memory"), pytest.param(over_http, id="http")]
Rig = Callable[[Body], Awaitable[None]]


def put(key: str, value: bytes = b"v") -> WriteGroup:
    return WriteGroup(writes=(Write(key, value),))


@pytest.mark.parametrize("rig", RIGS)
def test_group_is_all_or_nothing(rig: Rig) -> None:
    async def body(store: GroupStore, state: MemoryGroupStore) -> None:
        made = await store.commit(
            WriteGroup((("a", ABSENT_REVISION),), (Write("a", b"1"), Write("b", b"2")))
        )
        assert isinstance(made, Swapped)
        again = await store.commit(
            WriteGroup((("a", ABSENT_REVISION),), (Write("a", b"3"), Write("c", b"4")))
        )
        assert isinstance(again, GroupConflict)
        held = again.item("a")
        assert held is not None and held.value == b"1"
        assert held.revision == made.revision
        assert await store.get("c") == Found(None)
        removed = await store.commit(
            WriteGroup((("a", made.revision),), (), ("a", "b"))
        )
        assert isinstance(removed, Swapped)
        assert await store.get("b") == Found(None)

    asyncio.run(rig(body))


@pytest.mark.parametrize("rig", RIGS)
def test_range_joins_pages(rig: Rig) -> None:
    async def body(store: GroupStore, state: MemoryGroupStore) -> None:
        for number in range(8):
            await store.commit(put(f"p/{number}", bytes([number])))
        await store.commit(put("q/1"))
        found = await store.get_range("p/")
        assert isinstance(found, RangeFound)
        assert [item.key for item in found.items] == [f"p/{n}" for n in range(8)]
        assert [item.value for item in found.items] == [bytes([n]) for n in range(8)]

    asyncio.run(rig(body))


@pytest.mark.parametrize("rig", RIGS)
def test_changes_after_a_revision(rig: Rig) -> None:
    async def body(store: GroupStore, state: MemoryGroupStore) -> None:
        await store.commit(put("p/old"))
        after = state.revision
        await store.commit(put("p/new", b"n"))
        await store.commit(WriteGroup(removals=("p/old",)))
        await store.commit(put("other"))
        event = await store.changes("p/", after, 0.2)
        assert isinstance(event, WatchEvent)
        assert [item.key for item in event.changed] == ["p/new"]
        assert event.deleted == ("p/old",)
        quiet = await store.changes("p/", event.revision, 0.1)
        assert isinstance(quiet, WatchEvent)
        assert quiet.changed == () and quiet.deleted == ()

    asyncio.run(rig(body))


@pytest.mark.parametrize("rig", RIGS)
def test_lost_history(rig: Rig) -> None:
    async def body(store: GroupStore, state: MemoryGroupStore) -> None:
        await store.commit(put("p/1"))
        state.drop_history()
        assert isinstance(await store.changes("p/", Revision(1), 0.1), WatchLost)

    asyncio.run(rig(body))


@pytest.mark.parametrize("rig", RIGS)
def test_leases(rig: Rig) -> None:
    async def body(store: GroupStore, state: MemoryGroupStore) -> None:
        lease = await store.grant_lease(5.0)
        assert isinstance(lease, LeaseGranted) and lease.ttl_s == 5.0
        write = Write("mine", b"1", lease.lease_id)
        assert isinstance(await store.commit(WriteGroup(writes=(write,))), Swapped)
        assert isinstance(await store.keep_lease(lease.lease_id), LeaseGranted)
        gone = LeaseId(99)
        assert await store.keep_lease(gone) == LeaseLapsed()
        lapsed = await store.commit(WriteGroup(writes=(Write("x", b"", gone),)))
        assert lapsed == LeaseLapsed()

    asyncio.run(rig(body))


@pytest.mark.parametrize(
    ("status", "may_have_applied"),
    [
        pytest.param(503, False, id="nothing_was_done"),
        pytest.param(429, False, id="over_the_rate"),
        pytest.param(500, True, id="fault"),
        pytest.param(502, True, id="gateway"),
    ],
)
def test_refusals_tell_whether_the_write_may_be_applied(
    status: int, may_have_applied: bool
) -> None:
    async def run() -> None:
        fake = FakeStore()
        await fake.start()
        fake.status = status
        client = KvStore(fake.address, 1_000.0)
        await client.start()
        outcome = await client.commit(put("a"))
        assert isinstance(outcome, Unavailable)
        assert outcome.may_have_applied is may_have_applied
        await client.close()
        await fake.close()

    asyncio.run(run())


@pytest.mark.parametrize("status", [400, 403, 413])
def test_group_that_the_store_will_never_take_is_refused(status: int) -> None:
    async def run() -> None:
        fake = FakeStore()
        await fake.start()
        fake.status = status
        client = KvStore(fake.address, 1_000.0)
        await client.start()
        assert isinstance(await client.commit(put("a")), GroupRefused)
        await client.close()
        await fake.close()

    asyncio.run(run())


def test_refused_connection_means_that_nothing_was_applied() -> None:
    async def run() -> None:
        fake = FakeStore()
        await fake.start()
        await fake.close()
        client = KvStore(fake.address, 1_000.0)
        await client.start()
        outcome = await client.commit(put("a"))
        assert isinstance(outcome, Unavailable) and not outcome.may_have_applied
        await client.close()

    asyncio.run(run())
