"""An entry that shuts down answers every request that it has read."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from fake_platform import FakeStore
from role_rig import PORTS, QUEUE_HOST, SERVICE, free_host

from almondspan_jobs import clocks
from almondspan_jobs.client_gate import ClientGate
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_site.configuration import CONFIG_KEY
from almondspan_site.entry_role import ENTRY_CLIENTS, run_entry
from almondspan_site.kv_store import KvStore
from almondspan_site.node_settings import SETTINGS_VARIABLE, NodeSettings, read_settings
from almondspan_site.role_process import RoleProcess
from almondspan_standins.virtual_time import run_with_sockets

GRACE_S = 6.0
LATE_S = 4.4
"""When the last bytes of a request arrive, after the request to shut down."""

JOB = json.dumps({"steps": [{"count": 1, "cpu": 100, "memMb": 10}]}).encode()


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


class Client:
    """A connection to an entry, and the statuses of what it has answered."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def statuses(self) -> list[int]:
        """Read until the connection is closed; return the statuses of all responses."""
        found = []
        while True:
            try:
                head = await self._reader.readuntil(b"\r\n\r\n")
                fields = head.decode().lower().split("\r\n")
                (length,) = [row for row in fields if row.startswith("content-length")]
                await self._reader.readexactly(int(length.split(":")[1]))
            except (asyncio.IncompleteReadError, ConnectionError):
                self._writer.close()
                return found
            found.append(int(fields[0].split()[1]))


class Rig:
    """An entry in this process, with the stand-in of the store."""

    def __init__(self, store: FakeStore, process: RoleProcess) -> None:
        self.store = store
        self.process = process

    async def connect(self) -> Client:
        port = PORTS["front"]
        return Client(*await asyncio.open_connection(self.process.settings.host, port))

    async def can_connect(self) -> bool:
        try:
            await self.connect()
        except OSError:
            return False
        return True

    def stop(self) -> None:
        self.process.stop_requested.set()


def settings_of(store: FakeStore, host: str) -> dict[str, object]:
    return {
        "node": "entry-1",
        "ip": host,
        "zone": "zone-1",
        "listenAddrs": {
            "front": f"{host}:{PORTS['front']}",
            "ready": f"{host}:{PORTS['ready']}",
        },
        "portRange": [PORTS["entry_peers"], PORTS["entry_peers"]],
        "platform": {"address": store.address, "form": "kv"},
        "bounds": {"graceS": GRACE_S},
        "limits": {
            "memoryMb": 300,
            "maxFds": 4_100,
            "cpuShare": 1.0,
            "cpuCores": 1,
            "linkMbps": 1_000,
        },
    }


@pytest.fixture
def path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Path]:
    """Return the path of the settings file, which an entry reads as it starts."""
    found = tmp_path / "settings.json"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(found))
    yield found
    clocks.use_clocks()


def with_entry(path: Path, body: Callable[[Rig], Awaitable[None]]) -> None:
    """Run `body` beside an entry that serves a queue and owns the jobs."""

    async def main() -> None:
        clocks.use_clocks(asyncio.get_running_loop().time)
        store = FakeStore()
        route = {"name": "q", "host": QUEUE_HOST, "pathPrefix": "/q/"}
        routes = [{**route, "backend": SERVICE}]
        configuration = json.dumps({"version": 1, "routes": routes}).encode()
        store.state.commit(WriteGroup(writes=(Write(CONFIG_KEY, configuration),)))
        await store.start()
        process = make_process(path, store)
        await process.gate.start()
        await process.store.start()
        role = asyncio.create_task(run_entry(process))
        await asyncio.sleep(3.0)
        await body(Rig(store, process))
        await role
        await process.store.close()
        await process.gate.close()
        await store.close()

    run_with_sockets(main())


def make_process(path: Path, store: FakeStore) -> RoleProcess:
    path.write_text(json.dumps(settings_of(store, free_host())))
    settings = read_settings()
    assert isinstance(settings, NodeSettings)
    log: Any = Log()
    metrics = Metrics()
    gate = ClientGate(
        settings.clients, ENTRY_CLIENTS.n_own_fds, ENTRY_CLIENTS.weights, log, metrics
    )
    return RoleProcess(
        settings,
        JobOptions(),
        log,
        metrics,
        KvStore(settings.store_address, 1_000.0),
        gate,
        random.Random(1),
        asyncio.Event(),
    )


def request(method: str, number: int, body: bytes = b"") -> bytes:
    path = f"/q/{number:016x}" if number else "/q/"
    head = f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


SUBMISSION = request("POST", 1, JOB)


@pytest.mark.parametrize(
    ("data", "n_early"),
    [
        pytest.param(SUBMISSION, 20, id="submission"),
        pytest.param(SUBMISSION, len(SUBMISSION) - 5, id="submission_with_slow_body"),
        pytest.param(request("DELETE", 2), 20, id="cancellation"),
        pytest.param(request("GET", 3), 20, id="state"),
        pytest.param(request("GET", 0), 20, id="count"),
    ],
)
def test_request_that_is_read_late_in_the_drain_is_answered(
    path: Path, data: bytes, n_early: int
) -> None:
    """Guards against LOST: a wait that ends after the process, on any path.

    The store falls silent just before the request is complete.
    """

    async def body(rig: Rig) -> None:
        client = await rig.connect()
        rig.stop()
        await client.send(data[:n_early])
        await asyncio.sleep(LATE_S - 0.1)
        rig.store.is_silent = True
        await asyncio.sleep(0.1)
        await client.send(data[n_early:])
        statuses = await client.statuses()
        assert len(statuses) == 1
        assert statuses[0] in (503, 504)

    with_entry(path, body)


def test_requests_that_were_sent_ahead_are_answered(path: Path) -> None:
    """Guards against LOST: the answer to the first one closed their connection."""

    async def body(rig: Rig) -> None:
        client = await rig.connect()
        await asyncio.sleep(0.1)
        rig.stop()
        rig.store.is_silent = True
        await client.send(SUBMISSION)
        await asyncio.sleep(0.3)
        await client.send(request("GET", 0) + request("PUT", 5))
        statuses = await client.statuses()
        assert len(statuses) == 3

    with_entry(path, body)


def test_connection_without_a_request_is_closed_before_it_can_send_one(
    path: Path,
) -> None:
    """Guards against requests that are read when there is no time to answer them."""

    async def body(rig: Rig) -> None:
        client = await rig.connect()
        await asyncio.sleep(0.1)
        rig.stop()
        await asyncio.sleep(1.0)
        assert await rig.can_connect()
        await asyncio.sleep(2.0)
        assert await client.statuses() == []
        assert not await rig.can_connect()

    with_entry(path, body)


def test_drain_is_timed_from_the_request_to_shut_down(path: Path) -> None:
    """Guards against LOST: calls to a silent store, first, used up the time."""

    async def body(rig: Rig) -> None:
        client = await rig.connect()
        await asyncio.sleep(0.1)
        rig.store.is_silent = True
        rig.stop()
        loop = asyncio.get_running_loop()
        stopped_s = loop.time()
        await client.send(SUBMISSION[:20])
        assert await client.statuses() == []
        assert loop.time() - stopped_s < GRACE_S

    with_entry(path, body)
