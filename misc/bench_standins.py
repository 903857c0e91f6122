"""Benchmarks the stand-ins and the adapters' clients; prints lines of JSON.

Each program runs alone and is called over loopback by several concurrent tasks of this
process. Memory is the program's resident set size before and after the calls. For a
client, the result is the processor time of this process per call.
"""

import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import aiohttp
import psutil

from almondspan_platform.etcd_json import EtcdJsonOptions, EtcdJsonStore
from almondspan_platform.http_json import HttpJsonWorker, HttpJsonWorkerOptions
from almondspan_platform.registry import CallLimits

N_CALLERS: Final = 8
DURATION_S: Final = 3.0
N_NODES: Final = 10
N_CLIENT_CALLS: Final = 2000

Call = Callable[[aiohttp.ClientSession], Awaitable[None]]


def get(url: str) -> Call:
    async def call(session: aiohttp.ClientSession) -> None:
        async with session.get(url) as response:
            await response.read()

    return call


def post(url: str, body: object) -> Call:
    async def call(session: aiohttp.ClientSession) -> None:
        async with session.post(url, json=body) as response:
            await response.read()

    return call


async def calls_per_s(call: Call) -> float:
    started_s = time.monotonic()
    n_calls = 0

    async def repeat(session: aiohttp.ClientSession) -> None:
        nonlocal n_calls
        while time.monotonic() - started_s < DURATION_S:
            await call(session)
            n_calls += 1

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(repeat(session) for _ in range(N_CALLERS)))
    return n_calls / (time.monotonic() - started_s)


@contextmanager
def started(name: str, arguments: list[str]) -> Iterator[dict[str, Any]]:
    """Start a stand-in; yield the line that it prints, with its process id added."""
    process = subprocess.Popen(
        [sys.executable, "-m", f"almondspan_standins.{name}", *arguments],
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        yield json.loads(process.stdout.readline()) | {"pid": process.pid}
    finally:
        process.terminate()
        process.wait()


def measure(name: str, arguments: list[str], make_call: Callable[[str], Call]) -> None:
    with started(name, arguments) as ready:
        watched = psutil.Process(ready["pid"])
        idle_mb = watched.memory_info().rss / 1e6
        address = (
            ready["nodes"][0]["runner"] if "nodes" in ready else ready["listening"]
        )
        before = watched.cpu_times()
        rate = asyncio.run(calls_per_s(make_call(address)))
        after = watched.cpu_times()
        cpu_s = after.user + after.system - before.user - before.system
        result = {
            "program": " ".join([name, *arguments]),
            "calls_per_s": round(rate),
            "cpu_ms_per_call": round(1000 * cpu_s / rate / DURATION_S, 3),
            "rss_idle_mb": round(idle_mb, 1),
            "rss_after_mb": round(watched.memory_info().rss / 1e6, 1),
        }
        print(json.dumps(result), flush=True)


async def client_ms_per_call(call: Callable[[], Awaitable[object]]) -> float:
    started_s = time.process_time()
    for _ in range(N_CLIENT_CALLS):
        await call()
    return 1000 * (time.process_time() - started_s) / N_CLIENT_CALLS


async def measure_clients() -> None:
    unbounded = CallLimits(calls_per_s=1e9, n_burst=10**9)
    with started("store", ["--reads-per-s", "1000000"]) as ready:
        store = EtcdJsonStore((ready["listening"],), EtcdJsonOptions(unbounded))
        await store.start()
        get_ms = await client_ms_per_call(lambda: store.get("a"))
        await store.close()
    with started("worker", []) as ready:
        options = HttpJsonWorkerOptions(unbounded)
        worker = HttpJsonWorker(ready["listening"], options)
        await worker.start()
        list_ms = await client_ms_per_call(worker.list_attempts)
        await worker.close()
    result = {
        "client_get_ms": round(get_ms, 3),
        "client_list_attempts_ms": round(list_ms, 3),
    }
    print(json.dumps(result), flush=True)


def main() -> None:
    key = {"key": "YQ=="}
    fast = ["--median-ms", "0.1", "--straggler-share", "0"]
    measure(
        "store",
        ["--reads-per-s", "1000000"],
        lambda url: post(f"{url}/v3/kv/range", key),
    )
    measure("worker", [], lambda url: get(f"{url}/v1/attempts"))
    measure("runner", fast, lambda url: get(f"{url}/clip/a"))
    nodes = ["--n-nodes", str(N_NODES), *fast]
    measure("node", nodes, lambda url: get(f"{url}/clip/a"))
    asyncio.run(measure_clients())


if __name__ == "__main__":
    main()
