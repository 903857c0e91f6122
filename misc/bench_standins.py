"""Measures the stand-ins: calls a second on one process and memory, as JSON.

Each program is started alone and called over loopback from this process by several
tasks at once. Memory is the program's resident set after the calls.
"""

import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp
import psutil

N_CALLERS: Final = 8
DURATION_S: Final = 3.0
N_NODES: Final = 10

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
    began_s = time.monotonic()
    n_calls = 0

    async def repeat(session: aiohttp.ClientSession) -> None:
        nonlocal n_calls
        while time.monotonic() - began_s < DURATION_S:
            await call(session)
            n_calls += 1

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(repeat(session) for _ in range(N_CALLERS)))
    return n_calls / (time.monotonic() - began_s)


def measure(name: str, arguments: list[str], make_call: Callable[[str], Call]) -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", f"almondspan_standins.{name}", *arguments],
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        ready = json.loads(process.stdout.readline())
        watched = psutil.Process(process.pid)
        idle_mb = watched.memory_info().rss / 1e6
        address = (
            ready["nodes"][0]["runner"] if "nodes" in ready else ready["listening"]
        )
        rate = asyncio.run(calls_per_s(make_call(address)))
        cpu = watched.cpu_times()
        result = {
            "program": " ".join([name, *arguments]),
            "calls_per_s": round(rate),
            "cpu_ms_per_call": round(
                1000 * (cpu.user + cpu.system) / rate / DURATION_S, 3
            ),
            "rss_idle_mb": round(idle_mb, 1),
            "rss_after_mb": round(watched.memory_info().rss / 1e6, 1),
        }
        print(json.dumps(result), flush=True)
    finally:
        process.terminate()
        process.wait()


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


if __name__ == "__main__":
    main()
