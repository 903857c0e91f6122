"""The adapter ``etcd_json``: messages, addresses, rate limits and invalid answers."""

import asyncio
import random
from collections.abc import AsyncGenerator, Awaitable, Callable

import msgspec
import pytest
from aiohttp import web

from almondspan_platform import etcd_messages as etcd
from almondspan_platform.etcd_json import EtcdJsonOptions, EtcdJsonStore
from almondspan_platform.registry import CallLimits
from almondspan_platform.store import (
    ABSENT_REVISION,
    Conflict,
    Found,
    KeyValue,
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
from almondspan_standins.faults import StoreFaults
from almondspan_standins.rigs import HttpStoreRig
from almondspan_standins.serving import HttpServer
from almondspan_standins.store_app import StoreApp, StoreRates
from almondspan_standins.store_core import CallKind, StoreCore

DEAD = "http://127.0.0.1:9"
Call = Callable[[EtcdJsonStore], Awaitable[object]]


class ScriptedServer:
    """Answers every call with a given status and body, and records the requests."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body
        self.requests: list[tuple[str, object]] = []
        app = web.Application(client_max_size=2**22)
        app.router.add_post("/{path:.*}", self.answer)
        self.server = HttpServer(app)

    async def answer(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        self.requests.append((request.path, body))
        return web.Response(status=self.status, body=self.body)


@pytest.fixture
def rig() -> type[HttpStoreRig]:
    return HttpStoreRig


async def call_scripted(
    status: int, body: bytes, call: Call
) -> tuple[object, list[tuple[str, object]]]:
    scripted = ScriptedServer(status, body)
    await scripted.server.start()
    store = EtcdJsonStore((scripted.server.address,))
    await store.start()
    try:
        return await call(store), scripted.requests
    finally:
        await store.close()
        await scripted.server.close()


HEADER = b'"header":{"cluster_id":"1","member_id":"2","revision":"9","raft_term":"3"}'
KV = b'{"key":"Zm9v","create_revision":"2","mod_revision":"7","version":"1",'
KV += b'"value":"YmFy"}'
ITEM = KeyValue("foo", b"bar", Revision(7))


@pytest.mark.parametrize(
    ("call", "path", "sent", "answer", "outcome"),
    [
        pytest.param(
            lambda store: store.get("foo"),
            "/v3/kv/range",
            {"key": "Zm9v"},
            b"{" + HEADER + b',"kvs":[' + KV + b'],"count":"1"}',
            Found(ITEM),
            id="get",
        ),
        pytest.param(
            lambda store: store.get("foo"),
            "/v3/kv/range",
            {"key": "Zm9v"},
            b"{" + HEADER + b"}",
            Found(None),
            id="get-absent",
        ),
        pytest.param(
            lambda store: store.get_range("foo"),
            "/v3/kv/range",
            {"key": "Zm9v", "range_end": "Zm9w"},
            b"{" + HEADER + b',"kvs":[' + KV + b'],"count":"1"}',
            RangeFound((ITEM,), Revision(9)),
            id="range",
        ),
        pytest.param(
            lambda store: store.get_range(""),
            "/v3/kv/range",
            {"key": "AA==", "range_end": "AA=="},
            b"{" + HEADER + b"}",
            RangeFound((), Revision(9)),
            id="whole-range",
        ),
        pytest.param(
            lambda store: store.compare_and_swap("foo", Revision(7), b"x", LeaseId(5)),
            "/v3/kv/txn",
            {
                "compare": [{"key": "Zm9v", "mod_revision": "7", "target": "MOD"}],
                "success": [
                    {"request_put": {"key": "Zm9v", "value": "eA==", "lease": "5"}}
                ],
                "failure": [{"request_range": {"key": "Zm9v"}}],
            },
            b"{" + HEADER + b',"succeeded":true,"responses":[{"response_put":{}}]}',
            Swapped(Revision(9)),
            id="swap",
        ),
        pytest.param(
            lambda store: store.compare_and_swap("foo", ABSENT_REVISION, None),
            "/v3/kv/txn",
            {
                "compare": [{"key": "Zm9v", "mod_revision": "0", "target": "MOD"}],
                "success": [{"request_delete_range": {"key": "Zm9v"}}],
                "failure": [{"request_range": {"key": "Zm9v"}}],
            },
            b"{" + HEADER + b',"responses":[{"response_range":{"kvs":[' + KV + b"]}}]}",
            Conflict(ITEM),
            id="conflict",
        ),
        pytest.param(
            lambda store: store.grant_lease(9.5),
            "/v3/lease/grant",
            {"TTL": "10"},
            b"{" + HEADER + b',"ID":"7587848390411434758","TTL":"10"}',
            LeaseGranted(LeaseId(7587848390411434758), 10.0),
            id="grant",
        ),
        pytest.param(
            lambda store: store.keep_lease(LeaseId(8)),
            "/v3/lease/keepalive",
            {"ID": "8"},
            b'{"result":{' + HEADER + b',"ID":"8","TTL":"10"}}\n',
            LeaseGranted(LeaseId(8), 10.0),
            id="keep",
        ),
        pytest.param(
            lambda store: store.keep_lease(LeaseId(8)),
            "/v3/lease/keepalive",
            {"ID": "8"},
            b'{"result":{' + HEADER + b',"ID":"8"}}\n',
            LeaseLapsed(),
            id="keep-lapsed",
        ),
        pytest.param(
            lambda store: anext(store.watch("foo", Revision(6))),
            "/v3/watch",
            {
                "create_request": {
                    "key": "Zm9v",
                    "range_end": "Zm9w",
                    "start_revision": "7",
                    "progress_notify": True,
                }
            },
            b'{"result":{'
            + HEADER
            + b',"created":true}}\n{"result":{'
            + HEADER
            # etcd omits the type of an event if it is PUT.
            + b',"events":[{"kv":'
            + KV
            + b'},{"type":"DELETE","kv":{"key":"Zm9vMg==",'
            b'"mod_revision":"8"}}]}}\n',
            WatchEvent((ITEM,), ("foo2",), Revision(8)),
            id="watch",
        ),
    ],
)
async def test_published_messages(
    call: Call, path: str, sent: object, answer: bytes, outcome: object
) -> None:
    got, requests = await call_scripted(200, answer, call)
    assert got == outcome
    assert requests == [(path, sent)]


DEEP = b'{"more":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
NOT_FOUND = b'{"error":"etcdserver: requested lease not found","code":5}'


@pytest.mark.parametrize(
    ("status", "answer", "may_have_applied"),
    [
        pytest.param(404, NOT_FOUND, False, id="lease-not-found"),
        pytest.param(400, b'{"error":"bad","code":3}', False, id="bad-request"),
        pytest.param(429, b"", False, id="too-many"),
        pytest.param(503, b'{"error":"timed out","code":14}', True, id="timed-out"),
        pytest.param(500, b"<html>", True, id="not-json"),
        pytest.param(200, b"", True, id="empty"),
        pytest.param(200, b'{"succeeded":', True, id="truncated"),
        pytest.param(200, b'{"succeeded":"yes"}', True, id="wrong-type"),
        pytest.param(200, DEEP, True, id="nested-too-deeply"),
        pytest.param(
            200, b'{"header":{"revision":"x"},"succeeded":true}', True, id="no-number"
        ),
        pytest.param(
            200,
            b'{"header":{"revision":"%s"},"succeeded":true}' % (b"9" * 5_000),
            True,
            id="number-too-large",
        ),
    ],
)
def test_bad_answer_to_a_write(
    status: int, answer: bytes, may_have_applied: bool
) -> None:
    async def write(store: EtcdJsonStore) -> object:
        return await store.compare_and_swap("k", ABSENT_REVISION, b"1")

    got, requests = asyncio.run(call_scripted(status, answer, write))
    assert isinstance(got, Unavailable)
    assert got.may_have_applied is may_have_applied
    assert len(requests) == 1


@pytest.mark.parametrize(
    ("status", "answer", "outcome"),
    [
        pytest.param(404, NOT_FOUND, LeaseLapsed, id="no-such-lease"),
        pytest.param(404, b'{"error":"x","code":12}', Unavailable, id="no-such-call"),
        pytest.param(404, b"404 page not found", Unavailable, id="no-such-page"),
        pytest.param(404, DEEP, Unavailable, id="nested-too-deeply"),
        pytest.param(503, NOT_FOUND, Unavailable, id="unavailable"),
    ],
)
@pytest.mark.parametrize(
    "call",
    [
        pytest.param(lambda store: store.keep_lease(LeaseId(1)), id="keep"),
        pytest.param(lambda store: store.revoke_lease(LeaseId(1)), id="revoke"),
    ],
)
async def test_refused_lease(
    call: Call, status: int, answer: bytes, outcome: type
) -> None:
    got, _ = await call_scripted(status, answer, call)
    assert isinstance(got, outcome)


@pytest.mark.parametrize(
    ("status", "answer"),
    [
        pytest.param(503, b"", id="unavailable"),
        pytest.param(200, b"", id="ended"),
        pytest.param(200, b"{]\n", id="not-json"),
        pytest.param(200, DEEP + b"\n", id="nested-too-deeply"),
        pytest.param(
            200,
            b'{"result":{"events":[{"kv":{"key":"Zm9v","mod_revision":"x"}}]}}\n',
            id="no-number",
        ),
        pytest.param(200, b'{"error":{"code":14}}\n', id="error"),
        pytest.param(200, b'{"result":{"canceled":true}}\n', id="cancelled"),
        pytest.param(200, b'{"result":{"compact_revision":"8"}}\n', id="compacted"),
    ],
)
def test_bad_answer_to_a_watch(status: int, answer: bytes) -> None:
    async def watch(store: EtcdJsonStore) -> object:
        return await anext(store.watch("k", Revision(1)))

    got, _ = asyncio.run(call_scripted(status, answer, watch))
    assert isinstance(got, WatchLost)


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(lambda store: store.get("k"), id="read"),
        pytest.param(
            lambda store: store.compare_and_swap("k", ABSENT_REVISION, b""), id="write"
        ),
    ],
)
async def test_next_address_serves_after_a_dead_one(
    rig: HttpStoreRig, call: Call
) -> None:
    store = EtcdJsonStore((DEAD, rig.server.address))
    await store.start()
    outcomes = [await call(store) for _ in range(3)]
    assert not any(isinstance(one, Unavailable) for one in outcomes)
    # The dead address is tried once, not for every call.
    assert store.n_sent == 4
    await store.close()


async def test_watch_moves_to_the_next_address(rig: HttpStoreRig) -> None:
    store = EtcdJsonStore((DEAD, rig.server.address))
    await store.start()
    assert isinstance(await anext(store.watch("k", Revision(1))), WatchLost)
    writer = await rig.client()
    await writer.compare_and_swap("k", ABSENT_REVISION, b"")
    assert isinstance(await anext(store.watch("k", Revision(1))), WatchEvent)
    await store.close()


async def test_unanswered_write_is_not_sent_to_another_address(
    rig: HttpStoreRig,
) -> None:
    rig.core.faults = StoreFaults(lose_answer_share=1.0)
    store = EtcdJsonStore((rig.server.address, rig.server.address))
    await store.start()
    outcome = await store.compare_and_swap("k", ABSENT_REVISION, b"")
    assert isinstance(outcome, Unavailable)
    assert outcome.may_have_applied
    assert rig.core.n_calls[CallKind.WRITE] == store.n_sent == 1
    await store.get("k")
    assert rig.core.n_calls[CallKind.GET] == 2
    await store.close()


async def test_abandoned_watch_is_closed(rig: HttpStoreRig) -> None:
    store = await rig.client()
    watch = store.watch("k", Revision(1))
    await store.compare_and_swap("k", ABSENT_REVISION, b"")
    await anext(watch)
    assert rig.core.n_watches_open == 1
    assert isinstance(watch, AsyncGenerator)
    await watch.aclose()
    for _ in range(1000):
        if rig.core.n_watches_open == 0:
            break
        await asyncio.sleep(0.01)
    assert rig.core.n_watches_open == 0


async def test_rate_limit_applies_to_all_calls_together(rig: HttpStoreRig) -> None:
    options = EtcdJsonOptions(CallLimits(calls_per_s=0.001, n_burst=3))
    store = EtcdJsonStore((rig.server.address,), options)
    await store.start()
    assert isinstance(await store.get("k"), Found)
    assert isinstance(await store.grant_lease(5.0), LeaseGranted)
    swapped = await store.compare_and_swap("k", ABSENT_REVISION, b"")
    assert isinstance(swapped, Swapped)
    bounded = await store.compare_and_swap("k", swapped.revision, b"")
    assert bounded == Unavailable("the call rate limit was reached")
    assert isinstance(await anext(store.watch("k", Revision(1))), WatchLost)
    assert sum(rig.core.n_calls.values()) == 3
    assert rig.core.n_calls[CallKind.WRITE] == 1
    await store.close()


@pytest.mark.parametrize(
    ("rates", "call"),
    [
        pytest.param(
            StoreRates(writes_per_s=0.001, wait_s=0.05),
            lambda store: store.compare_and_swap("k", ABSENT_REVISION, b""),
            id="writes",
        ),
        pytest.param(
            StoreRates(reads_per_s=0.001, wait_s=0.05),
            lambda store: store.get("k"),
            id="reads",
        ),
    ],
)
async def test_overloaded_store_refuses(rates: StoreRates, call: Call) -> None:
    core = StoreCore(asyncio.get_running_loop().time)
    app = StoreApp(core, random.Random(1), rates=rates)
    server = HttpServer(app.app, shutdown_timeout_s=0.02)
    await server.start()
    store = EtcdJsonStore((server.address,))
    await store.start()
    assert not isinstance(await call(store), Unavailable)
    assert await call(store) == Unavailable("status 429")
    assert app.describe().n_refused == 1
    assert sum(core.n_calls.values()) == 1
    await store.close()
    await server.close()


@pytest.mark.parametrize(
    ("prefix", "end"),
    [
        pytest.param(b"a", b"b", id="plain"),
        pytest.param(b"a\xff", b"b", id="last-byte-full"),
        pytest.param(b"\xff\xff", b"\0", id="all-full"),
        pytest.param(b"", b"\0", id="empty"),
    ],
)
def test_range_end(prefix: bytes, end: bytes) -> None:
    assert etcd.range_end_of_prefix(prefix) == end


def test_no_address_is_refused() -> None:
    with pytest.raises(ValueError, match="address"):
        EtcdJsonStore(())


@pytest.mark.parametrize(
    ("call", "answer"),
    [
        pytest.param(
            lambda store: store.grant_lease(9.5), b'{"ID":"7","TTL":"inf"}', id="grant"
        ),
        pytest.param(
            lambda store: store.grant_lease(9.5), b'{"ID":"x","TTL":"9"}', id="lease"
        ),
        pytest.param(
            lambda store: store.keep_lease(LeaseId(8)),
            b'{"result":{"ID":"8","TTL":"%s"}}' % (b"9" * 400),
            id="keep",
        ),
        pytest.param(
            lambda store: store.get("foo"),
            b'{"kvs":[{"key":"Zm9v","mod_revision":"x"}]}',
            id="get",
        ),
        pytest.param(
            lambda store: store.get_range("foo"),
            b'{"header":{"revision":%s}}' % (b"9" * 400),
            id="range",
        ),
    ],
)
def test_number_out_of_range(call: Call, answer: bytes) -> None:
    got, _ = asyncio.run(call_scripted(200, answer, call))
    assert isinstance(got, Unavailable)


def test_key_that_is_no_text_hides_no_other() -> None:
    odd = b'{"key":"Zm9v/w==","mod_revision":"3","value":"eA=="}'
    answer = b"{" + HEADER + b',"kvs":[' + odd + b"," + KV + b"]}"
    got, _ = asyncio.run(
        call_scripted(200, answer, lambda store: store.get_range("foo"))
    )
    assert isinstance(got, RangeFound)
    assert ITEM in got.items and len(got.items) == 2
