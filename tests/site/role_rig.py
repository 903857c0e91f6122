"""Starts a role as a process of its own, beside a stand-in store and worker.

The process listens on a loopback address that no other test uses. Its standard output
and standard error are pipes that nobody reads while it runs: a process that waits for
their reader hangs. Its descriptors are limited to `maxFds` of its settings.
"""

import asyncio
import contextlib
import http.client
import json
import os
import random
import resource
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from fake_platform import FakeRunner, FakeStore

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_jobs.messages import (
    OwnerHello,
    StateReply,
    StateRequest,
    WorkerReport,
)
from almondspan_jobs.network import DialFailed, TcpNetwork
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_site.configuration import CONFIG_KEY
from almondspan_site.node_settings import SETTINGS_VARIABLE
from almondspan_standins.memory_task_worker import MemoryTaskWorker, TaskScript
from almondspan_wire.codec import Message

ROOT = Path(__file__).parent.parent.parent

MEMORY_MB = 100
"""The process is killed beyond this."""

MAX_FDS = 600
RESERVED_FDS = 200
"""Descriptors that the platform reserves for files."""

MAX_BODY_BYTES = 262_144
MAX_REPORT_BYTES = 4 * 1024 * 1024
QUEUE_HOST = "jobs.test"
WORKER = WorkerId("worker-1")
SERVICE = "pool"

ANSWER_LIMIT_S = 30.0
"""After this a request counts as one that gets no response."""

ROLE_OF = {
    "front": "entry",
    "ready": "entry",
    "entry_metrics": "entry",
    "entry_peers": "entry",
    "control": "agent",
    "agent_metrics": "agent",
    "agent_peers": "agent",
}
METRICS_PORT = 9180
PORTS = {
    "front": 9001,
    "ready": 9002,
    "control": 9003,
    "entry_peers": 9004,
    "agent_peers": 9004,
    "entry_metrics": METRICS_PORT,
    "agent_metrics": METRICS_PORT,
}


def free_host() -> str:
    """Return a loopback address that other test runs hardly use."""
    rng = random.SystemRandom()
    return f"127.{rng.randint(2, 254)}.{rng.randint(0, 254)}.{rng.randint(1, 254)}"


class StandIns:
    """A store and a worker, in a thread with an event loop of their own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self.store_address = ""
        self.worker_address = ""
        self.worker: MemoryTaskWorker

    def __enter__(self) -> "StandIns":
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result()
        return self

    async def _start(self) -> None:
        self.worker = MemoryTaskWorker(
            WORKER,
            Shape(8_000, 16_000),
            lambda task, attempt: TaskScript(Shape(100, 10), 1.0),
            random.Random(1),
        )
        self._store, self._runner = FakeStore(), FakeRunner(self.worker)
        route = {
            "name": "queue",
            "host": QUEUE_HOST,
            "pathPrefix": "/q/",
            "backend": SERVICE,
        }
        limits = {"maxBodyBytes": MAX_BODY_BYTES}
        configuration = {"version": 1, "routes": [route], "limits": limits}
        write = Write(CONFIG_KEY, json.dumps(configuration).encode())
        self._store.state.commit(WriteGroup(writes=(write,)))
        await self._store.start()
        await self._runner.start()
        self.store_address = self._store.address
        self.worker_address = self._runner.address

    async def _stop(self) -> None:
        await self._store.close()
        await self._runner.close()

    def __exit__(self, *_: object) -> None:
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class RunningRole:
    """A process of one role, with its memory and its descriptors."""

    def __init__(self, role: str, host: str, stand_ins: StandIns, folder: str) -> None:
        self.role = role
        self.host = host
        self._stand_ins = stand_ins
        self._n_asked = 0
        self.max_fds_seen = 0
        settings = Path(folder) / "settings.json"
        settings.write_text(json.dumps(self._settings()))
        paths = [ROOT / "platform", *ROOT.glob("packages/*")]
        self._process = subprocess.Popen(
            [sys.executable, "-m", "almondspan_site", role],
            env={
                **os.environ,
                "PYTHONPATH": ":".join(map(str, paths)),
                SETTINGS_VARIABLE: str(settings),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        self._is_watched = threading.Event()
        self._is_watched.set()
        self._watcher = threading.Thread(target=self._watch_fds, daemon=True)
        self._watcher.start()

    def _settings(self) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "node": f"{self.role}-1",
            "ip": self.host,
            "zone": "zone-1",
            "listenAddrs": {},
            "portRange": [PORTS["entry_peers"], PORTS["entry_peers"]],
            "platform": {"address": self._stand_ins.store_address, "form": "kv"},
            "bounds": {},
            "limits": {
                "memoryMb": MEMORY_MB,
                "maxFds": MAX_FDS,
                "cpuShare": 1.0,
                "cpuCores": 1,
                "linkMbps": 100,
            },
        }
        names = ["front", "ready"]
        if self.role == "agent":
            names = ["control"]
            settings |= {"app": self._stand_ins.worker_address, "backend": SERVICE}
        settings["listenAddrs"] = {name: f"{self.host}:{PORTS[name]}" for name in names}
        return settings

    # The process

    def _watch_fds(self) -> None:
        while self._is_watched.is_set():
            with contextlib.suppress(OSError):
                n_fds = len(os.listdir(f"/proc/{self._process.pid}/fd"))
                self.max_fds_seen = max(self.max_fds_seen, n_fds)
            time.sleep(0.01)

    def memory_mb(self, field: str) -> float:
        """Return `VmRSS` (resident memory) or `VmHWM` (its peak)."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [row for row in text.splitlines() if row.startswith(field + ":")]
        return int(line.split()[1]) / 1024

    @property
    def is_alive(self) -> bool:
        return self._process.poll() is None

    def stop(self) -> str:
        """End the process; return the end of what it has printed."""
        self._is_watched.clear()
        self._watcher.join()
        self._process.kill()
        out, err = self._process.communicate()
        return (out[-2_000:] + err[-2_000:]).decode(errors="replace")

    # Ordinary requests

    def ask_until_answered(self, listener: str) -> None:
        """Send an ordinary request, again until it gets its ordinary response."""
        until_s = time.monotonic() + ANSWER_LIMIT_S
        last: object = None
        while time.monotonic() < until_s and self.is_alive:
            try:
                last = self._ask(listener, until_s - time.monotonic())
            except (OSError, http.client.HTTPException, TimeoutError) as error:
                last = error
            if last is None:
                return
            time.sleep(0.05)
        raise AssertionError(f"no ordinary response from {listener}: {last!r}")

    def _ask(self, listener: str, limit_s: float) -> object:
        """Send an ordinary request; return None, or what came instead of a response."""
        self._n_asked += 1
        if listener == "front":
            path = f"/q/{self._n_asked:016x}"
            step = {"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 1_000}
            return self._request(listener, "POST", path, {"steps": [step]}, limit_s)
        if listener == "control":
            path = f"/api/runners/{WORKER}"
            return self._request(listener, "PUT", path, self._report(), limit_s)
        if listener.endswith("_peers"):
            return asyncio.run(self._exchange(listener, min(limit_s, 5.0)))
        return self._request(listener, "GET", "/", None, limit_s)

    def _report(self) -> dict[str, Any]:
        return {
            "backend": SERVICE,
            "address": self._stand_ins.worker_address,
            "zone": "zone-1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._n_asked,
            "capacity": {"cpu": 8_000, "memMb": 16_000},
            "labels": [],
            "born": self._stand_ins.worker.started_ms,
        }

    def _request(
        self, listener: str, method: str, path: str, body: Any, limit_s: float
    ) -> object:
        connection = http.client.HTTPConnection(
            self.host, PORTS[listener], timeout=max(limit_s, 0.1)
        )
        data = json.dumps(body).encode() if body is not None else None
        try:
            connection.request(method, path, data, {"Host": QUEUE_HOST})
            response = connection.getresponse()
            text = response.read()
        finally:
            connection.close()
        return None if response.status == 200 else (response.status, text[:200])

    async def _exchange(self, listener: str, limit_s: float) -> object:
        port = PORTS[listener]
        channel = await TcpNetwork().dial(self.host, port, limit_s)
        if isinstance(channel, DialFailed):
            return channel
        request: Message
        expected: type[Message]
        if self.role == "entry":
            job: Any = f"{self._n_asked:016x}"
            request, expected = StateRequest(1, job), StateReply
        else:
            hello = OwnerHello(self._n_asked, "entry-2", self.host, 1)
            request, expected = hello, WorkerReport
        try:
            async with asyncio.timeout(limit_s):
                await channel.send(request)
                answer = await channel.receive()
        finally:
            await channel.close()
        return None if isinstance(answer, expected) else answer


@contextlib.contextmanager
def running_role(role: str) -> Iterator[RunningRole]:
    """Start a role and wait until it serves; print its output if the test fails."""
    with StandIns() as stand_ins, tempfile.TemporaryDirectory() as folder:
        running = RunningRole(role, free_host(), stand_ins, folder)
        try:
            for listener in [name for name, its in ROLE_OF.items() if its == role]:
                running.ask_until_answered(listener)
            yield running
        finally:
            print(running.stop())


def wait_until(is_met: Callable[[], bool], limit_s: float = 30.0) -> bool:
    """Wait until a condition is met; return whether it is."""
    until_s = time.monotonic() + limit_s
    while not is_met():
        if time.monotonic() > until_s:
            return False
        time.sleep(0.1)
    return True
