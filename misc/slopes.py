"""Measures the cost of each role at several sizes and prints JSON.

Each measurement runs a real process with stand-in peers and reads the processor time
and resident memory of that process alone, so that other load on the machine has little
influence. Sections:

- ``entry_agents``: an entry with n agents that send a status each second.
- ``entry_mail``: an entry that forwards n messages per second between agents.
- ``agent_rest``: an idle agent with a worker and three runners.
- ``agent_tasks``: an agent with n running tasks that owns their shard.
- ``owner_starts``: all agents of a small fleet at n starts per second.
- ``shard_writes``: writes to the store of n idle shards.
- ``call_entry``: an entry that serves n calls per second.

A section consists of its points and straight lines fitted to them by least squares,
with the largest residual as a share of the largest value.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import aiohttp
import numpy
import psutil
from load_starts import StartLoad
from local_fleet import FleetShape, LocalFleet, ManagedProcess

from almondspan_decisions.ids import AgentId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_wire.channel import ChannelClosed, ChannelOptions, StreamChannel
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    RoutedMessage,
    RunnerStatus,
)

SETTLE_S: Final = 4.0
MEASURE_S: Final = 12.0
REST_S: Final = 120.0
STATUS_S: Final = 1.0
CAPACITY: Final = Shape(64_000, 250_000, 4)
OPTIONS: Final = ChannelOptions(heartbeat_s=1.0, silence_s=10.0)

Point = dict[str, float]
Section = Callable[[bool], Awaitable[dict[str, Any]]]

SECTIONS: dict[str, Section] = {}


def section(name: str) -> Callable[[Section], Section]:
    """Register a section under `name`."""

    def register(measure: Section) -> Section:
        SECTIONS[name] = measure
        return measure

    return register


@dataclass
class Usage:
    """Processor time and memory of a process at one time."""

    at_s: float
    cpu_s: float
    rss_mb: float


def usage_of(process: ManagedProcess) -> Usage:
    """Return the current usage of a process."""
    found = psutil.Process(process.pid)
    times = found.cpu_times()
    rss_mb = found.memory_info().rss / 2**20
    return Usage(time.monotonic(), times.user + times.system, rss_mb)


async def cpu_share(process: ManagedProcess, seconds: float) -> tuple[float, float]:
    """Return the mean share of a core over some seconds and the memory in MB."""
    before = usage_of(process)
    await asyncio.sleep(seconds)
    after = usage_of(process)
    share = (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)
    return round(share, 5), round(after.rss_mb, 1)


def fitted(points: list[Point], x: str, columns: list[str]) -> dict[str, Any]:
    """Return the points with a fitted line for each column."""
    lines = {}
    xs = numpy.array([point[x] for point in points])
    for column in columns:
        ys = numpy.array([point[column] for point in points])
        slope, base = numpy.polyfit(xs, ys, 1)
        largest = max(float(numpy.max(numpy.abs(ys))), 1e-12)
        residual = float(numpy.max(numpy.abs(ys - (slope * xs + base))))
        lines[column] = {
            "base": float(f"{base:.6g}"),
            "slope": float(f"{slope:.6g}"),
            "residual_share": round(residual / largest, 3),
        }
    return {"x": x, "points": points, "lines": lines}


class StandInAgents:
    """Stand-in agents that only connect to an entry and send their status."""

    def __init__(self, n_agents: int, port: int) -> None:
        self.n_agents = n_agents
        self.port = port
        self.channels: list[StreamChannel] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.n_received = 0

    async def start(self) -> None:
        """Connect all agents."""
        for number in range(self.n_agents):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            channel = StreamChannel(reader, writer, OPTIONS)
            await channel.start()
            self.channels.append(channel)
            await channel.send(hello_of(number))
            self.tasks.append(asyncio.create_task(self._read(channel)))
            self.tasks.append(asyncio.create_task(self._send_status(number, channel)))

    async def close(self) -> None:
        """Disconnect all agents."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for channel in self.channels:
            await channel.close()

    def n_bytes(self) -> int:
        """Return the bytes sent and received so far."""
        return sum(c.n_bytes_sent + c.n_bytes_received for c in self.channels)

    async def _read(self, channel: StreamChannel) -> None:
        while not isinstance(await channel.receive(), ChannelClosed):
            self.n_received += 1

    async def _send_status(self, number: int, channel: StreamChannel) -> None:
        await asyncio.sleep(STATUS_S * random.random())
        sequence = 0
        while True:
            sequence += 1
            await channel.send(status_of(number, sequence))
            await asyncio.sleep(STATUS_S)


def hello_of(number: int) -> AgentHello:
    """Return the hello message of a stand-in agent."""
    return AgentHello(
        AgentId(f"a{number}"),
        WorkerId(f"w{number}"),
        PlaceName(f"place-{number % 5}"),
        CAPACITY,
    )


def status_of(number: int, sequence: int) -> AgentStatus:
    """Return a status with three runners; every seventh agent owns a shard."""
    runners = tuple(
        RunnerStatus(ServiceName(f"s{index}"), 8, sequence % 8, 0, 12.5, 0.1)
        for index in range(3)
    )
    owned = ((number // 7, 1),) if number % 7 == 0 else ()
    return AgentStatus(
        sequence=sequence,
        free=Shape(1000 * (sequence % 60), 1000, 1),
        n_tasks=8,
        draining=False,
        config_revision=0,
        owned=owned,  # type: ignore[arg-type]
        runners=runners,
        classes=(("alignment", 4), ("validate", 4)),  # type: ignore[arg-type]
    )


async def with_entry(
    use: Callable[[ManagedProcess], Awaitable[Point]], n_shards: int = 64
) -> Point:
    """Run `use` on a new entry with only a store."""
    fleet = LocalFleet(FleetShape(n_entries=1, n_nodes=0, n_shards=n_shards))
    try:
        await fleet.start()
        return await use(fleet.entries[0])
    finally:
        await fleet.close()


@section("entry_agents")
async def measure_entry_agents(is_short: bool) -> dict[str, Any]:
    """Measure an entry with connected agents."""
    points = []
    for n_agents in (50, 223) if is_short else (50, 223, 445, 890):
        points.append(await with_entry(lambda e, n=n_agents: entry_point(e, n)))
    return fitted(points, "n_agents", ["cpu_share", "rss_mb", "bytes_per_s"])


async def entry_point(entry: ManagedProcess, n_agents: int) -> Point:
    agents = StandInAgents(n_agents, int(entry.log_fields["agent_port"]))
    await agents.start()
    try:
        await asyncio.sleep(SETTLE_S)
        n_bytes = agents.n_bytes()
        share, rss_mb = await cpu_share(entry, MEASURE_S)
        return {
            "n_agents": n_agents,
            "cpu_share": share,
            "rss_mb": rss_mb,
            "bytes_per_s": round((agents.n_bytes() - n_bytes) / MEASURE_S, 1),
        }
    finally:
        await agents.close()


@section("entry_mail")
async def measure_entry_routing(is_short: bool) -> dict[str, Any]:
    """Measure an entry that forwards messages between two agents."""
    points = []
    for rate_per_s in (100, 800) if is_short else (100, 400, 800, 1600):
        points.append(await with_entry(lambda e, n=rate_per_s: routing_point(e, n)))
    return fitted(points, "mails_per_s", ["cpu_share"])


async def routing_point(entry: ManagedProcess, rate_per_s: int) -> Point:
    agents = StandInAgents(10, int(entry.log_fields["agent_port"]))
    await agents.start()
    message = RoutedMessage("a0", "a1", b"x" * 200)

    async def send() -> None:
        started_s, n_sent = time.monotonic(), 0
        while True:
            due = int((time.monotonic() - started_s) * rate_per_s)
            for _ in range(due - n_sent):
                await agents.channels[0].send(message)
            n_sent = due
            await asyncio.sleep(0.02)

    sending = asyncio.create_task(send())
    try:
        await asyncio.sleep(SETTLE_S)
        before = agents.n_received
        share, _ = await cpu_share(entry, MEASURE_S)
        forwarded_per_s = (agents.n_received - before) / MEASURE_S
        return {"mails_per_s": round(forwarded_per_s, 1), "cpu_share": share}
    finally:
        sending.cancel()
        await agents.close()


@section("agent_rest")
async def measure_agent_rest(is_short: bool) -> dict[str, Any]:
    """Measure an idle agent for `REST_S`."""
    fleet = LocalFleet(FleetShape(n_entries=1, n_nodes=1, n_shards=1, n_services=3))
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        seconds = MEASURE_S if is_short else REST_S
        sent = await _wire_bytes(fleet)
        share, rss_mb = await cpu_share(fleet.agents[0], seconds)
        n_bytes = await _wire_bytes(fleet) - sent
        bytes_per_s = round(n_bytes / seconds, 1)
        point = {"cpu_share": share, "rss_mb": rss_mb, "bytes_per_s": bytes_per_s}
        return {"points": [{**point, "seconds": seconds}]}
    finally:
        await fleet.close()


async def _wire_bytes(fleet: LocalFleet) -> float:
    """Return the bytes sent and received on the agents' channels."""
    total = 0.0
    async with aiohttp.ClientSession() as session:
        for agent in fleet.agents:
            url = f"http://127.0.0.1:{agent.log_fields['health_port']}/metrics"
            async with session.get(url) as response:
                for line in (await response.text()).splitlines():
                    if line.startswith("agent_bytes"):
                        total += float(line.rpartition(" ")[2])
    return total


@section("agent_tasks")
async def measure_agent_tasks(is_short: bool) -> dict[str, Any]:
    """Measure an agent that runs n long tasks and owns their shard."""
    points = []
    for n_tasks in (0, 16) if is_short else (0, 8, 16, 32):
        points.append(await _tasks_point(n_tasks))
    return fitted(points, "n_tasks", ["cpu_share", "rss_mb", "bytes_per_s"])


async def _tasks_point(n_tasks: int) -> Point:
    shape = FleetShape(n_entries=1, n_nodes=1, n_shards=1, n_services=3)
    load = StartLoad(0.0, 0.0, shape)
    try:
        await load.fleet.start()
        await load.connect()
        await load.submit_long([f"long-{number}" for number in range(n_tasks)])
        await asyncio.sleep(SETTLE_S)
        sent = await _wire_bytes(load.fleet)
        share, rss_mb = await cpu_share(load.fleet.agents[0], 2 * MEASURE_S)
        n_bytes = await _wire_bytes(load.fleet) - sent
        return {
            "n_tasks": n_tasks,
            "cpu_share": share,
            "rss_mb": rss_mb,
            "bytes_per_s": round(n_bytes / (2 * MEASURE_S), 1),
        }
    finally:
        await load.close()


@section("owner_starts")
async def measure_owner_starts(is_short: bool) -> dict[str, Any]:
    """Measure a small fleet at several start rates."""
    points = []
    for rate_per_s in (20, 60) if is_short else (12, 24, 47, 94):
        shape = FleetShape(n_nodes=6, n_shards=32)
        figures = await StartLoad(20.0, rate_per_s, shape).run()
        seconds = figures["seconds"]
        n_done = figures["n_done"]
        points.append(
            {
                "starts_per_s": round(n_done / seconds, 2),
                "agents_cpu_share": round(
                    figures["agent_cpu_ms_per_start"] * n_done / seconds / 1000, 5
                ),
                "entries_cpu_share": round(
                    figures["entry_cpu_ms_per_start"] * n_done / seconds / 1000, 5
                ),
                "writes_per_s": figures["store_writes_per_s"],
                "urgent_wait_p99_s": figures["urgent_wait_p99_s"],
            }
        )
    columns = ["agents_cpu_share", "entries_cpu_share", "writes_per_s"]
    return fitted(points, "starts_per_s", columns)


@section("shard_writes")
async def measure_shard_writes(is_short: bool) -> dict[str, Any]:
    """Measure the writes of idle shards."""
    points = []
    for n_shards in (8, 32) if is_short else (8, 16, 32, 64):
        fleet = LocalFleet(FleetShape(n_entries=1, n_nodes=2, n_shards=n_shards))
        try:
            await fleet.start()
            await asyncio.sleep(2 * SETTLE_S)
            before = await _store_writes(fleet)
            await asyncio.sleep(MEASURE_S)
            writes = await _store_writes(fleet) - before
            point = {
                "n_shards": n_shards,
                "writes_per_s": round(writes / MEASURE_S, 2),
            }
            points.append(point)
        finally:
            await fleet.close()
    return fitted(points, "n_shards", ["writes_per_s"])


async def _store_writes(fleet: LocalFleet) -> int:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{fleet.store_url}/debug") as response,
    ):
        found = await response.json()
        return int(found["n_calls"].get("write", 0))


@section("call_entry")
async def measure_call_entry(is_short: bool) -> dict[str, Any]:
    """Measure an entry and one of four agents while they serve calls."""
    points = []
    for rate_per_s in (50, 200) if is_short else (50, 100, 200, 300):
        points.append(await _calls_point(rate_per_s))
    return fitted(points, "calls_per_s", ["entry_cpu_share", "agent_cpu_share"])


async def _calls_point(rate_per_s: int) -> Point:
    fleet = LocalFleet(FleetShape(n_entries=1, n_nodes=4, n_shards=4))
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        calls = asyncio.create_task(_send_calls(fleet.call_urls[0], rate_per_s))
        await asyncio.sleep(1.0)
        entry, agent = await asyncio.gather(
            cpu_share(fleet.entries[0], MEASURE_S),
            cpu_share(fleet.agents[0], MEASURE_S),
        )
        n_sent = await calls
        return {
            "calls_per_s": round(n_sent / (MEASURE_S + 2.0), 1),
            "entry_cpu_share": entry[0],
            "agent_cpu_share": agent[0],
        }
    finally:
        await fleet.close()


async def _send_calls(url: str, rate_per_s: int) -> int:
    n_sent = 0
    started_s = time.monotonic()
    connector = aiohttp.TCPConnector(limit=100)
    async with aiohttp.ClientSession(connector=connector) as session:
        running: set[asyncio.Task[None]] = set()

        async def call(number: int) -> None:
            async with session.get(f"{url}/call/clips/clip/c{number}") as response:
                await response.read()

        while time.monotonic() - started_s < MEASURE_S + 2.0:
            due = int((time.monotonic() - started_s) * rate_per_s)
            for number in range(n_sent, due):
                task = asyncio.create_task(call(number))
                running.add(task)
                task.add_done_callback(running.discard)
            n_sent = due
            await asyncio.sleep(0.01)
        await asyncio.gather(*running, return_exceptions=True)
    return n_sent


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="two small sizes each")
    parser.add_argument("--only", nargs="*", default=list(SECTIONS))
    parser.add_argument("--output", help="also write the JSON to this file")
    options = parser.parse_args()
    results: dict[str, Any] = {}
    output = Path(options.output) if options.output else None
    if output is not None and output.exists():
        results = json.loads(output.read_text())
    for name in options.only:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        results[name] = asyncio.run(SECTIONS[name](options.short))
        if output is not None:
            output.write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results, indent=1))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
