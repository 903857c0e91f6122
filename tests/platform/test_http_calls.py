"""Replacement of silent connections, incomplete answers and the call rate limit."""

import asyncio
import random

import pytest

from almondspan_platform.etcd_json import EtcdJsonOptions, EtcdJsonStore
from almondspan_platform.http_calls import CallFailed, HttpCaller, _LineSplitter
from almondspan_platform.registry import CallLimits
from almondspan_platform.store import ABSENT_REVISION, Found, Revision, WatchLost
from almondspan_platform.token_bucket import TokenBucket
from almondspan_standins.rigs import HttpStoreRig
from almondspan_standins.tcp_proxy import TcpProxy
from almondspan_standins.virtual_time import run_in_virtual_time, run_with_sockets


@pytest.fixture
def rig() -> type[HttpStoreRig]:
    return HttpStoreRig


async def test_silent_connections_are_replaced(rig: HttpStoreRig) -> None:
    proxy = TcpProxy(int(rig.server.address.rpartition(":")[2]))
    await proxy.start()
    address = f"http://127.0.0.1:{proxy.port}"
    options = EtcdJsonOptions(CallLimits(10.0), try_timeout_s=0.3, watch_silence_s=0.3)
    store = EtcdJsonStore((address,), options)
    await store.start()
    await asyncio.gather(*(store.get("k") for _ in range(4)))
    n_before = proxy.n_accepted
    assert n_before == 4
    proxy.silence()
    # After the first silent connection the whole pool is replaced.
    for _ in range(3):
        assert await store.get("k") == Found(None)
    assert proxy.n_accepted == n_before + 1
    await store.compare_and_swap("k", ABSENT_REVISION, b"")
    watch = store.watch("k", Revision(1))
    await anext(watch)
    proxy.silence()
    assert isinstance(await anext(watch), WatchLost)
    # A closed connection is detected at once; a read is repeated over a new one.
    await store.get("k")
    proxy.cut()
    assert isinstance(await store.get("k"), Found)
    await store.close()
    await proxy.close()


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Le", id="part-of-head"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", id="part"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
            id="no-last-chunk",
        ),
        pytest.param(b"SSH-2.0-x\r\n", id="not-http"),
    ],
)
async def test_incomplete_answer_is_a_failure(answer: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    caller = HttpCaller()
    await caller.start()
    url = f"http://127.0.0.1:{port}/"
    outcome = await caller.call("POST", url, b"{}", caller.deadline_s())
    assert isinstance(outcome, CallFailed)
    assert outcome.may_have_applied
    await caller.close()
    server.close()


PIECE = b"x" * 1000


@pytest.mark.parametrize(
    ("n_pieces", "pause_s", "n_sent", "failure"),
    [
        pytest.param(12, 0.5, 12, "", id="slow-but-steady"),
        pytest.param(12, 0.5, 3, "after 3000 bytes", id="stops-in-the-middle"),
        pytest.param(12, 0.5, 0, "timed out", id="never-begins"),
        pytest.param(2, 1.5, 2, "after 1000 bytes", id="pause-beyond-the-limit"),
    ],
)
def test_answer_that_keeps_arriving_outlasts_the_call_limit(
    n_pieces: int, pause_s: float, n_sent: int, failure: str
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if n_sent:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {n_pieces * len(PIECE)}\r\n\r\n"
            writer.write(head.encode())
        for _ in range(n_sent):
            writer.write(PIECE)
            await asyncio.sleep(pause_s)
        await reader.read()
        writer.close()

    async def main() -> bytes | CallFailed:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        caller = HttpCaller(CallLimits(1.0))
        await caller.start()
        url = f"http://127.0.0.1:{port}/"
        outcome = await caller.call("GET", url, None, caller.deadline_s())
        await caller.close()
        server.close()
        return outcome

    outcome = run_with_sockets(main())
    if failure:
        assert isinstance(outcome, CallFailed)
        assert failure in outcome.reason
        assert outcome.may_have_applied
    else:
        assert outcome == PIECE * n_pieces


def test_token_bucket_spaces_its_tokens() -> None:
    async def main() -> list[float]:
        loop = asyncio.get_running_loop()
        bucket = TokenBucket(rate_per_s=10.0, n_burst=2)
        started_s = loop.time()
        times_s = []
        for _ in range(5):
            assert await bucket.acquire(started_s + 60.0)
            times_s.append(round(loop.time() - started_s, 6))
        return times_s

    assert run_in_virtual_time(main()) == [0.0, 0.0, 0.1, 0.2, 0.3]


@pytest.mark.parametrize(
    ("wait_s", "n_granted"),
    [
        pytest.param(0.0, 1, id="burst-alone"),
        pytest.param(0.25, 3, id="two-in-time"),
        pytest.param(10.0, 20, id="all-in-time"),
    ],
)
def test_token_bucket_includes_waiting_callers(wait_s: float, n_granted: int) -> None:
    async def main() -> None:
        bucket = TokenBucket(rate_per_s=10.0, n_burst=1)
        deadline_s = asyncio.get_running_loop().time() + wait_s
        acquisitions = (bucket.acquire(deadline_s) for _ in range(20))
        assert sum(await asyncio.gather(*acquisitions)) == n_granted
        assert bucket.n_refused == 20 - n_granted

    run_in_virtual_time(main())


def test_idle_token_bucket_holds_no_more_than_its_burst() -> None:
    async def main() -> None:
        bucket = TokenBucket(rate_per_s=10.0, n_burst=3)
        loop = asyncio.get_running_loop()
        assert await bucket.acquire(loop.time())
        await asyncio.sleep(1000.0)
        granted = [await bucket.acquire(loop.time()) for _ in range(5)]
        assert granted == [True, True, True, False, False]

    run_in_virtual_time(main())


@pytest.mark.parametrize("seed", range(5))
def test_lines_are_joined_from_any_chunks(seed: int) -> None:
    rng = random.Random(seed)
    lines = [bytes([rng.randrange(97, 123)]) * rng.randrange(1, 50) for _ in range(40)]
    data = b"".join(line + b"\n" for line in lines)
    splitter = _LineSplitter()
    found = []
    while data:
        n_bytes = rng.randrange(1, 80)
        found += splitter.split(data[:n_bytes])
        data = data[n_bytes:]
    assert found == lines
