"""Benchmarks the overhead of the entry and the agent on calls over loopback.

There are four processes: a runner that responds at once, an agent, an entry, and this
one, which calls the runner directly and through the entry. Three measurements:

1. Added latency: one caller, alternating direct and routed calls.
2. Added latency under load: eight callers, alternating every second.
3. Throughput: many callers through the entry; calls per second, and the processor
   time of entry and agent per call.

Usage: ``python misc/bench_service.py [--seconds 5] [--body-bytes 0] [--profile ROLE]``
"""

import argparse
import asyncio
import cProfile
import json
import os
import pstats
import signal
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass
from random import Random
from typing import Final

import psutil
from aiohttp import web

from almondspan_decisions.ids import (
    AgentId,
    EntryId,
    PlaceName,
    RequestId,
    ServiceName,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_service.router import RouterOptions, ServiceRouter
from almondspan_service.runner_admission import AdmissionOptions, RunnerAdmission
from almondspan_tasks.job_client import Claim, ClaimState
from almondspan_wire.channel import ChannelClosed, ChannelOptions, StreamChannel
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentHello, AgentStatus

SERVICE: Final = ServiceName("bench")
AGENT: Final = AgentId("agent")
ENTRY: Final = EntryId("entry")
HOST: Final = "127.0.0.1"
PORT_PREFIX: Final = "port "
STATUS_S: Final = 1.0


class NoClaims:
    """Claim client that grants every claim at once."""

    async def claim(self, request_id: RequestId, nonce: str) -> Claim:
        """Grant a claim."""
        return Claim(ClaimState.GRANTED)

    async def settle(self, request_id: RequestId, outcome: Outcome) -> bool:
        """Record nothing."""
        return True


def print_port(port: int) -> None:
    print(f"{PORT_PREFIX}{port}", flush=True)


async def wait_for_sigterm() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


class RunnerProtocol(asyncio.Protocol):
    """Responds to each request at once, so that the runner's cost is negligible."""

    answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._received = bytearray()

    def data_received(self, data: bytes) -> None:
        """Respond to each complete request."""
        self._received += data
        while b"\r\n\r\n" in self._received:
            del self._received[: self._received.index(b"\r\n\r\n") + 4]
            self._transport.write(self.answer)


async def serve_runner(n_body_bytes: int) -> None:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {n_body_bytes}\r\n\r\n"
    RunnerProtocol.answer = head.encode() + b"x" * n_body_bytes
    loop = asyncio.get_running_loop()
    server = await loop.create_server(RunnerProtocol, HOST, 0)
    print_port(server.sockets[0].getsockname()[1])
    await wait_for_sigterm()


async def serve_agent(runner_port: int, entry_port: int) -> None:
    reader, writer = await asyncio.open_connection(HOST, entry_port)
    channel = StreamChannel(reader, writer, ChannelOptions())
    await channel.start()

    async def send(entry_id: EntryId, body: Message) -> bool:
        return await channel.send(body)

    url = f"http://{HOST}:{runner_port}"
    admission = RunnerAdmission(SERVICE, url, send, AdmissionOptions())
    await admission.start()
    await channel.send(AgentHello(AGENT, WorkerId(""), PlaceName("here"), EMPTY_SHAPE))

    async def send_statuses() -> None:
        for sequence in range(1_000_000):
            runners = (admission.status(),)
            await channel.send(
                AgentStatus(sequence, EMPTY_SHAPE, 0, False, 0, runners=runners)
            )
            await asyncio.sleep(STATUS_S)

    async def read() -> None:
        while not isinstance(body := await channel.receive(), ChannelClosed):
            admission.on_message(ENTRY, body)

    tasks = [asyncio.create_task(send_statuses()), asyncio.create_task(read())]
    print_port(0)
    await wait_for_sigterm()
    for task in tasks:
        task.cancel()
    await admission.close()
    await channel.close()


async def serve_entry() -> None:
    channels: dict[AgentId, StreamChannel] = {}

    async def send(agent_id: AgentId, body: Message) -> bool:
        channel = channels.get(agent_id)
        return channel is not None and await channel.send(body)

    router = ServiceRouter(
        ENTRY, PlaceName("here"), send, NoClaims(), RouterOptions(), Random(1)
    )

    async def handle_agent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = StreamChannel(reader, writer, ChannelOptions())
        await channel.start()
        while not isinstance(body := await channel.receive(), ChannelClosed):
            if isinstance(body, AgentHello):
                channels[body.agent_id] = channel
                router.agent_joined(body.agent_id, body)
            elif isinstance(body, AgentStatus):
                router.on_status(AGENT, body)
            else:
                router.on_message(AGENT, body)

    agents = await asyncio.start_server(handle_agent, HOST, 0)
    app = web.Application()
    router.add_routes(app)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    print_port(agents.sockets[0].getsockname()[1])
    print_port(runner.addresses[0][1])
    await wait_for_sigterm()
    agents.close()
    for channel in channels.values():
        await channel.close()
    await runner.cleanup()


class Caller(asyncio.Protocol):
    """A caller on one persistent connection, without the cost of an HTTP library."""

    def __init__(self) -> None:
        self._received = bytearray()
        self._answered: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Complete the call when its whole response has arrived."""
        self._received += data
        end = self._received.find(b"\r\n\r\n")
        if end < 0 or self._answered is None:
            return
        head = bytes(self._received[:end]).lower()
        if not head.startswith(b"http/1.1 200"):
            raise RuntimeError(bytes(self._received).decode())
        length = int(head.partition(b"content-length:")[2].split(b"\r\n")[0])
        if len(self._received) >= end + 4 + length:
            del self._received[: end + 4 + length]
            self._answered.set_result(None)

    async def call(self, request: bytes) -> float:
        """Make a call and return its latency in milliseconds."""
        self._answered = asyncio.get_running_loop().create_future()
        started_s = time.perf_counter()
        self._transport.write(request)
        await self._answered
        return (time.perf_counter() - started_s) * 1000.0


async def open_caller(port: int) -> Caller:
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(Caller, HOST, port)
    return caller


@dataclass
class Target:
    """The destination of calls, and their latencies."""

    port: int
    request: bytes
    latencies_ms: list[float]


def make_target(port: int, path: str, body: bytes) -> Target:
    head = f"PUT {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Caller: bench\r\n"
    if not body:
        head = head.replace("PUT", "GET")
    head += f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
    return Target(port, head.encode() + body, [])


async def run_in_turns(targets: list[Target], seconds: float) -> None:
    """Call the targets alternately, one call at a time."""
    callers = [await open_caller(target.port) for target in targets]
    for target, caller in zip(targets, callers, strict=True):
        for _ in range(300):
            await caller.call(target.request)
    end_s = time.perf_counter() + seconds
    while time.perf_counter() < end_s:
        for target, caller in zip(targets, callers, strict=True):
            target.latencies_ms.append(await caller.call(target.request))


async def run_load(target: Target, n_callers: int, seconds: float) -> int:
    """Call one target from many callers; return the number of calls."""
    callers = [await open_caller(target.port) for _ in range(n_callers)]
    end_s = time.perf_counter() + seconds
    n_before = len(target.latencies_ms)

    async def keep_calling(caller: Caller) -> None:
        while time.perf_counter() < end_s:
            target.latencies_ms.append(await caller.call(target.request))

    await asyncio.gather(*(keep_calling(caller) for caller in callers))
    return len(target.latencies_ms) - n_before


def quantile(latencies_ms: list[float], share: float) -> float:
    return sorted(latencies_ms)[int(share * (len(latencies_ms) - 1))]


def compare(name: str, direct: Target, routed: Target) -> dict[str, float]:
    result: dict[str, float] = {}
    for label, share in (("p50", 0.5), ("p99", 0.99)):
        direct_ms = quantile(direct.latencies_ms, share)
        routed_ms = quantile(routed.latencies_ms, share)
        result |= {
            f"{label}_direct_ms": direct_ms,
            f"{label}_routed_ms": routed_ms,
            f"{label}_added_ms": routed_ms - direct_ms,
            f"{label}_ratio": routed_ms / direct_ms,
        }
        print(
            f"{name:22} {label}: direct {direct_ms:.3f} ms, routed {routed_ms:.3f} ms,"
            f" added {routed_ms - direct_ms:.3f} ms, ratio {routed_ms / direct_ms:.2f}"
        )
    return result


class RoleProcess:
    """A child process that runs this script in one role."""

    def __init__(self, *arguments: str, profile: bool) -> None:
        command = [sys.executable, __file__, "--role", *arguments]
        if profile:
            command.append("--profiled")
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.usage = psutil.Process(self._process.pid)

    def read_port(self) -> int:
        """Return the next port that the process prints."""
        assert self._process.stdout is not None
        return int(self._process.stdout.readline().removeprefix(PORT_PREFIX))

    def cpu_s(self) -> float:
        """Return the processor time used, in seconds."""
        times = self.usage.cpu_times()
        return times.user + times.system

    def stop(self) -> None:
        """End the process and print its remaining output."""
        self._process.terminate()
        assert self._process.stdout is not None
        print(self._process.stdout.read(), end="")
        self._process.wait(10.0)


async def measure(options: argparse.Namespace) -> None:
    body_bytes = str(options.body_bytes)
    profiled = options.profile
    runner = RoleProcess("runner", body_bytes, profile=profiled == "runner")
    runner_port = runner.read_port()
    entry = RoleProcess("entry", profile=profiled == "entry")
    agent_port, entry_port = entry.read_port(), entry.read_port()
    agent = RoleProcess(
        "agent", str(runner_port), str(agent_port), profile=profiled == "agent"
    )
    agent.read_port()
    try:
        await asyncio.sleep(0.3)
        report = await measure_all(options, runner_port, entry_port, entry, agent)
        print(json.dumps(report))
    finally:
        for child in (agent, entry, runner):
            child.stop()


async def measure_all(
    options: argparse.Namespace,
    runner_port: int,
    entry_port: int,
    entry: RoleProcess,
    agent: RoleProcess,
) -> dict[str, object]:
    load_before = os.getloadavg()[0]

    def targets() -> list[Target]:
        return [
            make_target(runner_port, "/x", b""),
            make_target(entry_port, f"/call/{SERVICE}/x", b""),
        ]

    alone = targets()
    await run_in_turns(alone, options.seconds)
    loaded = targets()
    for _ in range(max(1, int(options.seconds / 2))):
        for target in loaded:
            await run_load(target, 8, 1.0)
    many = targets()[1]
    before_s = entry.cpu_s(), agent.cpu_s()
    started_s = time.perf_counter()
    n_calls = await run_load(many, 48, options.seconds)
    took_s = time.perf_counter() - started_s
    entry_s, agent_s = entry.cpu_s() - before_s[0], agent.cpu_s() - before_s[1]
    report: dict[str, object] = {"load_average": load_before}
    report["one_caller"] = compare("one caller", *alone)
    report["eight_callers"] = compare("eight callers", *loaded)
    report["throughput"] = {
        "calls_per_s": n_calls / took_s,
        "p50_ms": statistics.median(many.latencies_ms),
        "entry_cpu_us_per_call": entry_s / n_calls * 1e6,
        "agent_cpu_us_per_call": agent_s / n_calls * 1e6,
        "entry_cores": entry_s / took_s,
        "agent_cores": agent_s / took_s,
    }
    print(
        f"{n_calls / took_s:.0f} calls/s; entry {entry_s / n_calls * 1e6:.0f} us and"
        f" agent {agent_s / n_calls * 1e6:.0f} us of processor time a call;"
        f" entry busy {entry_s / took_s:.2f}, agent busy {agent_s / took_s:.2f}"
    )
    return report


def run_role(options: argparse.Namespace) -> None:
    role, *arguments = options.role
    if role == "runner":
        asyncio.run(serve_runner(int(arguments[0])))
    elif role == "agent":
        asyncio.run(serve_agent(int(arguments[0]), int(arguments[1])))
    else:
        asyncio.run(serve_entry())


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--body-bytes", type=int, default=100)
    parser.add_argument("--profile", default="")
    parser.add_argument("--profiled", action="store_true")
    parser.add_argument("--role", nargs="+")
    options = parser.parse_args()
    if not options.role:
        asyncio.run(measure(options))
    elif options.profiled:
        profile = cProfile.Profile()
        profile.runcall(run_role, options)
        pstats.Stats(profile).sort_stats("tottime").print_stats(45)
    else:
        run_role(options)


if __name__ == "__main__":
    main()
