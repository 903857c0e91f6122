"""The contract of `Store`, for every adapter, with and without injected faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from almondspan_platform.store import (
    ABSENT_REVISION,
    MAX_VALUE_BYTES,
    Conflict,
    Found,
    KeyValue,
    LeaseGranted,
    LeaseId,
    LeaseLapsed,
    RangeFound,
    Revision,
    Store,
    Swapped,
    Unavailable,
    WatchEvent,
    WatchLost,
)
from almondspan_standins.faults import StoreFaults
from almondspan_standins.rigs import STORE_RIGS, StoreRig
from almondspan_standins.store_core import CallKind

BRIEF_S = 0.1


@pytest.fixture(params=list(STORE_RIGS))
def rig(request: pytest.FixtureRequest) -> Callable[[], StoreRig]:
    return STORE_RIGS[request.param]


async def create(store: Store, key: str, value: bytes = b"1") -> Revision:
    outcome = await store.compare_and_swap(key, ABSENT_REVISION, value)
    assert isinstance(outcome, Swapped)
    return outcome.revision


async def value_of(store: Store, key: str) -> bytes | None:
    outcome = await store.get(key)
    assert isinstance(outcome, Found)
    return None if outcome.item is None else outcome.item.value


@pytest.mark.parametrize(
    ("key", "stale", "value", "swaps", "left"),
    [
        pytest.param("new", None, b"2", True, b"2", id="create"),
        pytest.param("old", None, b"2", False, b"1", id="create-held"),
        pytest.param("old", 0, b"2", True, b"2", id="replace"),
        pytest.param("old", 1, b"2", False, b"1", id="replace-stale"),
        pytest.param("new", 0, b"2", False, None, id="replace-absent"),
        pytest.param("old", 0, None, True, None, id="delete"),
        pytest.param("old", 1, None, False, b"1", id="delete-stale"),
        pytest.param("new", None, None, True, None, id="delete-absent"),
        pytest.param("old", 0, b"", True, b"", id="empty-value"),
        pytest.param("old", 0, bytes(range(256)), True, bytes(range(256)), id="binary"),
    ],
)
async def test_compare_and_swap(
    rig: StoreRig,
    key: str,
    stale: int | None,
    value: bytes | None,
    swaps: bool,
    left: bytes | None,
) -> None:
    store = await rig.client()
    revision = await create(store, "old")
    expected = ABSENT_REVISION if stale is None else Revision(revision - stale)
    outcome = await store.compare_and_swap(key, expected, value)
    assert isinstance(outcome, Swapped if swaps else Conflict)
    assert await value_of(store, key) == left
    if isinstance(outcome, Conflict):
        held = None if left is None else KeyValue(key, left, revision)
        assert outcome.item == held


async def test_range_holds_the_prefix_sorted(rig: StoreRig) -> None:
    store = await rig.client()
    for key in ("b", "a/2", "a0", "a/1", "a", "a/\u00ff", "a."):
        last = await create(store, key)
    found = await store.get_range("a/")
    assert isinstance(found, RangeFound)
    assert [item.key for item in found.items] == ["a/1", "a/2", "a/\u00ff"]
    assert found.revision == last
    whole = await store.get_range("")
    assert isinstance(whole, RangeFound)
    assert len(whole.items) == 7
    assert await store.get_range("c") == RangeFound((), last)


@pytest.mark.parametrize(
    ("n_bytes", "fits"),
    [
        pytest.param(MAX_VALUE_BYTES, True, id="exactly"),
        pytest.param(MAX_VALUE_BYTES + 1, False, id="one-over"),
    ],
)
async def test_value_limit(rig: StoreRig, n_bytes: int, fits: bool) -> None:
    store = await rig.client()
    value = b"x" * n_bytes
    if fits:
        await create(store, "big", value)
        assert await value_of(store, "big") == value
        return
    with pytest.raises(ValueError, match="bytes"):
        await store.compare_and_swap("big", ABSENT_REVISION, value)
    assert rig.core.n_calls[CallKind.WRITE] == 0


CALLS = [
    pytest.param(lambda store: store.get("k"), id="get"),
    pytest.param(lambda store: store.get_range("k"), id="range"),
    pytest.param(
        lambda store: store.compare_and_swap("k", ABSENT_REVISION, b""), id="write"
    ),
    pytest.param(lambda store: store.grant_lease(5.0), id="grant"),
    pytest.param(lambda store: store.keep_lease(LeaseId(1)), id="keep"),
    pytest.param(lambda store: store.revoke_lease(LeaseId(1)), id="revoke"),
    pytest.param(lambda store: anext(store.watch("k", Revision(1))), id="watch"),
]


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(StoreFaults(outage=True), id="outage"),
        pytest.param(StoreFaults(delay_s=30.0, watch_silent=True), id="slow"),
    ],
)
async def test_faults_are_outcomes(
    rig: StoreRig, call: Callable[[Store], Awaitable[object]], faults: StoreFaults
) -> None:
    store = await rig.client(BRIEF_S, BRIEF_S)
    rig.core.faults = faults
    assert isinstance(await call(store), Unavailable | WatchLost)


async def test_store_is_used_again_after_an_outage(rig: StoreRig) -> None:
    store = await rig.client()
    revision = await create(store, "k")
    rig.core.faults = StoreFaults(outage=True)
    assert isinstance(await store.get("k"), Unavailable)
    rig.core.faults = StoreFaults()
    assert isinstance(await store.compare_and_swap("k", revision, b"2"), Swapped)


async def test_lost_answer_of_a_write_is_reported_and_read_back(rig: StoreRig) -> None:
    store = await rig.client()
    rig.core.faults = StoreFaults(lose_answer_share=1.0)
    outcome = await store.compare_and_swap("k", ABSENT_REVISION, b"nonce")
    assert isinstance(outcome, Unavailable)
    assert outcome.may_have_applied
    rig.core.faults = StoreFaults()
    assert await value_of(store, "k") == b"nonce"
    assert rig.core.n_calls[CallKind.WRITE] == 1


async def test_slow_write_takes_effect_after_its_caller_timed_out(
    rig: StoreRig,
) -> None:
    short_timeout = await rig.client(call_timeout_s=BRIEF_S)
    long_timeout = await rig.client()
    changes = long_timeout.watch("k", rig.core.revision)
    rig.core.faults = StoreFaults(delay_s=2 * BRIEF_S)
    outcome = await short_timeout.compare_and_swap("k", ABSENT_REVISION, b"late")
    assert isinstance(outcome, Unavailable)
    assert outcome.may_have_applied
    rig.core.faults = StoreFaults()
    event = await anext(changes)
    assert isinstance(event, WatchEvent)
    assert event.changed[0].value == b"late"


@pytest.mark.parametrize(
    "lose_answer_share",
    [pytest.param(0.0, id="whole"), pytest.param(0.5, id="answers-lost")],
)
async def test_one_of_many_racing_writers_wins(
    rig: StoreRig, lose_answer_share: float
) -> None:
    stores = [await rig.client() for _ in range(12)]
    rig.core.faults = StoreFaults(lose_answer_share=lose_answer_share)
    outcomes = await asyncio.gather(
        *(
            store.compare_and_swap("head", ABSENT_REVISION, str(n).encode())
            for n, store in enumerate(stores)
        )
    )
    rig.core.faults = StoreFaults()
    winner = await value_of(stores[0], "head")
    assert winner is not None
    reported = [n for n, one in enumerate(outcomes) if isinstance(one, Swapped)]
    assert reported in ([int(winner)], [])
    assert not isinstance(outcomes[int(winner)], Conflict)
    if lose_answer_share == 0.0:
        assert len(reported) == 1


async def add_one(store: Store, nonce: str) -> None:
    """Add a nonce to the counter exactly once, even if answers are lost.

    The value lists all nonces that were added. After a write of unknown outcome the key
    is read again: it holds the nonce, or it has another revision, or a further write at
    the same revision determines which of the two writes can still take effect.
    """
    while True:
        found = await store.get("counter")
        if isinstance(found, Unavailable):
            continue
        held = found.item.value if found.item else b""
        if nonce.encode() in held.split():
            return
        revision = found.item.revision if found.item else ABSENT_REVISION
        await store.compare_and_swap("counter", revision, held + f" {nonce}".encode())


@pytest.mark.parametrize("seed", range(3))
async def test_unknown_writes_are_settled_by_reading_back(
    rig: StoreRig, seed: int
) -> None:
    rng = random.Random(seed)
    stores = [await rig.client(call_timeout_s=BRIEF_S) for _ in range(4)]

    async def add(index: int) -> None:
        for n in range(6):
            await add_one(stores[index], f"{index}-{n}")

    async def inject_faults() -> None:
        while True:
            rig.core.faults = StoreFaults(
                outage=rng.random() < 0.2,
                delay_s=rng.choice([0.0, 0.0, 0.5 * BRIEF_S, 1.5 * BRIEF_S]),
                lose_answer_share=rng.choice([0.0, 0.5]),
            )
            await asyncio.sleep(rng.uniform(0.0, BRIEF_S))

    fault_injection = asyncio.create_task(inject_faults())
    await asyncio.gather(*(add(index) for index in range(4)))
    fault_injection.cancel()
    rig.core.faults = StoreFaults()
    await asyncio.sleep(2 * BRIEF_S)
    added = (await value_of(stores[0], "counter") or b"").decode().split()
    assert sorted(added) == sorted(f"{i}-{n}" for i in range(4) for n in range(6))


async def test_watch_yields_later_changes(rig: StoreRig) -> None:
    store = await rig.client()
    after = await create(store, "a/1")
    second = await create(store, "a/2", b"2")
    await create(store, "b/1")
    watch = store.watch("a/", after)
    event = await anext(watch)
    assert event == WatchEvent((KeyValue("a/2", b"2", second),), (), second)
    gone = await store.compare_and_swap("a/1", after, None)
    assert isinstance(gone, Swapped)
    assert await anext(watch) == WatchEvent((), ("a/1",), gone.revision)


async def test_watch_merges_the_changes_of_a_key(rig: StoreRig) -> None:
    store = await rig.client()
    start = rig.core.revision
    revision = await create(store, "a")
    swapped = await store.compare_and_swap("a", revision, b"2")
    assert isinstance(swapped, Swapped)
    event = await anext(store.watch("a", start))
    last = swapped.revision
    assert event == WatchEvent((KeyValue("a", b"2", last),), (), last)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(StoreFaults(watch_silent=True), id="silent"),
        pytest.param(StoreFaults(outage=True), id="cut"),
    ],
)
async def test_lost_watch_ends_and_a_new_one_misses_nothing(
    rig: StoreRig, faults: StoreFaults
) -> None:
    watcher = await rig.client(silence_s=BRIEF_S)
    writer = await rig.client()
    seen = rig.core.revision
    watch = watcher.watch("a", seen)
    first = asyncio.ensure_future(anext(watch))
    await create(writer, "a/1")
    event = await first
    assert isinstance(event, WatchEvent)
    rig.core.faults = faults
    assert isinstance(await anext(watch), WatchLost)
    assert [one async for one in watch] == []
    rig.core.faults = StoreFaults()
    missed = await create(writer, "a/2")
    event = await anext(watcher.watch("a", event.revision))
    assert isinstance(event, WatchEvent)
    assert event.revision == missed


async def test_watch_of_compacted_history_is_lost(rig: StoreRig) -> None:
    store = await rig.client()
    first = await create(store, "a/1")
    second = await create(store, "a/2")
    rig.core.compact(second)
    lost = await anext(store.watch("a", first))
    assert isinstance(lost, WatchLost)
    assert "compacted" in lost.reason
    third = await create(store, "a/3")
    event = await anext(store.watch("a", second))
    assert isinstance(event, WatchEvent)
    assert event.revision == third


async def test_lapsed_lease_deletes_its_keys(rig: StoreRig) -> None:
    store = await rig.client()
    lease = await store.grant_lease(100.0)
    assert isinstance(lease, LeaseGranted)
    created = await store.compare_and_swap("a", ABSENT_REVISION, b"1", lease.lease_id)
    assert isinstance(created, Swapped)
    await create(store, "b")
    watch = store.watch("a", created.revision)
    rig.skip(lease.ttl_s - 50.0)
    kept = await store.keep_lease(lease.lease_id)
    assert kept == LeaseGranted(lease.lease_id, lease.ttl_s)
    rig.skip(lease.ttl_s - 50.0)
    assert await value_of(store, "a") == b"1"
    rig.skip(lease.ttl_s)
    event = await anext(watch)
    assert isinstance(event, WatchEvent)
    assert event.deleted == ("a",)
    assert await store.keep_lease(lease.lease_id) == LeaseLapsed()
    assert await value_of(store, "b") == b"1"
    late = await store.compare_and_swap("c", ABSENT_REVISION, b"", lease.lease_id)
    assert isinstance(late, Unavailable)
    assert not late.may_have_applied


async def test_revoked_lease_deletes_its_keys(rig: StoreRig) -> None:
    store = await rig.client()
    lease = await store.grant_lease(100.0)
    assert isinstance(lease, LeaseGranted)
    await store.compare_and_swap("a", ABSENT_REVISION, b"1", lease.lease_id)
    assert await store.revoke_lease(lease.lease_id) == LeaseLapsed()
    assert await value_of(store, "a") is None
    assert await store.revoke_lease(lease.lease_id) == LeaseLapsed()


async def test_close_ends_a_pending_call(rig: StoreRig) -> None:
    store = await rig.client()
    rig.core.faults = StoreFaults(delay_s=0.5)
    call = asyncio.ensure_future(store.compare_and_swap("k", ABSENT_REVISION, b"1"))
    await asyncio.sleep(0.05)
    await store.close()
    assert isinstance(await call, Unavailable)
    assert isinstance(await store.get("k"), Unavailable)


async def test_every_call_is_counted_by_kind(rig: StoreRig) -> None:
    store = await rig.client()
    revision = await create(store, "k")
    await store.get("k")
    await store.get_range("k")
    await store.grant_lease(5.0)
    watch = store.watch("k", Revision(revision - 1))
    await anext(watch)
    assert rig.core.n_watches_open == 1
    assert rig.core.n_calls == {
        CallKind.WRITE: 1,
        CallKind.GET: 1,
        CallKind.RANGE: 1,
        CallKind.LEASE: 1,
        CallKind.WATCH: 1,
    }
