"""Requests inside the limits are served, and others get a truthful response."""

import asyncio
import contextlib
import gzip
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp.web_protocol import RequestHandler

from almondspan_decisions.ids import JobId, ServiceName
from almondspan_decisions.job_graph import JobSpec, QueueName, QueueRules
from almondspan_jobs.client_gate import ClientGate, ClientLimits
from almondspan_jobs.job_api import JobAnswer, StoreResult
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_site.caller_handler import CallerHandler
from almondspan_site.configuration import Configuration, QueueEntry
from almondspan_site.http_server import HttpServer
from almondspan_site.limited_protocol import LINGERING_S, LimitedProtocol

HOST = "jobs.test"
MAX_BODY_BYTES = 262_144
JOB = json.dumps({"steps": [{"count": 1, "cpu": 100, "memMb": 10}]}).encode()
LIMIT_S = 20.0
HELD_S = 0.2
QUEUE = QueueName("q")
RULES = QueueRules(ServiceName("pool"), 0, 1, 0.0, 0)


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


class Api:
    """Stores all jobs, after a while."""

    def __init__(self) -> None:
        self.submitted: list[JobId] = []
        self.answer_s = 0.0
        self.uncertain: set[JobId] = set()

    async def submit(self, job_id: JobId, spec: JobSpec, left_s: float) -> JobAnswer:
        self.submitted.append(job_id)
        await asyncio.sleep(self.answer_s)
        return JobAnswer(StoreResult.STORED)

    def may_be_stored(self, job_id: JobId) -> bool:
        return job_id in self.uncertain


class Rig:
    """A server for callers, with its API and counters."""

    def __init__(self, limits: ClientLimits) -> None:
        self.api = Api()
        self.metrics = Metrics()
        self.gate = ClientGate(limits, 0, {"front": 1}, Log(), self.metrics)
        queue = QueueEntry(QUEUE, HOST, "/q/", RULES)
        configuration = Configuration(1, (queue,), MAX_BODY_BYTES)
        api: Any = self.api
        handler = CallerHandler(
            api, lambda: configuration, JobOptions(), limits.max_body_s, Log()
        )
        self.server = HttpServer(
            "127.0.0.1:0", handler.handle, self.gate.listener("front"), handler.reject
        )

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.server.port)

    async def exchange(self, *pieces: bytes) -> tuple[int, str]:
        """Send pieces on a new connection; return the response's status and head."""
        reader, writer = await self.open()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        writer.close()
        return int(head.split()[1]), head

    @property
    def counts(self) -> dict[str, int]:
        """Return the drops by reason."""
        start = "almondspan_clients_dropped_front_"
        rows = [line.split() for line in self.metrics.text().splitlines()]
        return {
            row[0].removeprefix(start).removesuffix("_total"): int(row[1])
            for row in rows
            if row and row[0].startswith(start)
        }


DEFAULTS = ClientLimits()


def run(
    body: Callable[[Rig], Awaitable[None]], limits: ClientLimits = DEFAULTS
) -> None:
    async def main() -> None:
        rig = Rig(limits)
        await rig.gate.start()
        await rig.server.start()
        try:
            async with asyncio.timeout(LIMIT_S):
                await body(rig)
        finally:
            await rig.server.close()
            await rig.gate.close()

    asyncio.run(main())


def head(*fields: str, number: int = 1) -> bytes:
    line = f"POST /q/{number:016x} HTTP/1.1"
    return "\r\n".join((line, f"Host: {HOST}", *fields, "", "")).encode()


def chunked(data: bytes, n_bytes: int) -> bytes:
    pieces = [data[at : at + n_bytes] for at in range(0, len(data), n_bytes)]
    rows = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join(rows) + b"0\r\n\r\n"


def padded(n_bytes: int) -> bytes:
    return JOB + b" " * (n_bytes - len(JOB))


def sized(data: bytes) -> bytes:
    return head(f"Content-Length: {len(data)}") + data


CHUNKED = "Transfer-Encoding: chunked"
LARGEST = padded(MAX_BODY_BYTES)
TOO_LONG = padded(MAX_BODY_BYTES + 1)
GZIPPED = gzip.compress(JOB)


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        pytest.param(sized(JOB), 200, None, id="short"),
        pytest.param(sized(LARGEST), 200, None, id="largest"),
        pytest.param(head(CHUNKED) + chunked(JOB, 1), 200, None, id="small_chunks"),
        pytest.param(
            head(CHUNKED, "X-Deadline-Ms: 15000") + chunked(LARGEST, 1),
            200,
            None,
            id="largest_in_chunks_of_a_byte",
        ),
        pytest.param(head(CHUNKED) + chunked(LARGEST, 9_000), 200, None, id="chunks"),
        pytest.param(sized(TOO_LONG), 413, "body_size", id="too_long"),
        pytest.param(
            head(CHUNKED) + chunked(TOO_LONG, 9_000), 413, "body_size", id="long_chunks"
        ),
        pytest.param(
            head(f"Content-Length: {'9' * 400}"), 400, "malformed", id="odd_length"
        ),
        pytest.param(
            head(CHUNKED) + b"5\r\nabcde\r\nxyz\r\n", 400, "malformed", id="odd_chunk"
        ),
        pytest.param(
            head("Content-Encoding: gzip", f"Content-Length: {len(GZIPPED)}") + GZIPPED,
            415,
            "body_encoding",
            id="compressed",
        ),
    ],
)
def test_response_to_a_single_request(
    data: bytes, status: int, reason: str | None
) -> None:
    async def body(rig: Rig) -> None:
        assert (await rig.exchange(data))[0] == status
        assert list(rig.counts) == ([reason] if reason else [])
        assert len(rig.api.submitted) == (1 if status == 200 else 0)
        assert (await rig.exchange(sized(JOB)))[0] == 200

    run(body)


def test_connection_is_kept_after_the_rest_of_a_long_body() -> None:
    """The deadline of a rest that was read must not end a later wait."""

    async def body(rig: Rig) -> None:
        reader, writer = await rig.open()
        writer.write(sized(TOO_LONG)[:-1_000])
        assert (await reader.readline()).split()[1] == b"413"
        await reader.readuntil(b"}")
        writer.write(sized(TOO_LONG)[-1_000:])
        await asyncio.sleep(LINGERING_S + 1.0)
        writer.write(sized(JOB))
        assert (await reader.readline()).split()[1] == b"200"
        assert rig.counts == {"body_size": 1}
        writer.close()

    run(body)


def test_slow_body_inside_the_callers_deadline_is_served() -> None:
    async def body(rig: Rig) -> None:
        reader, writer = await rig.open()
        writer.write(head(f"Content-Length: {len(JOB)}", "X-Deadline-Ms: 10000"))
        for at in range(0, len(JOB), 10):
            await asyncio.sleep(0.2)
            writer.write(JOB[at : at + 10])
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()

    run(body)


@pytest.mark.parametrize(
    ("is_uncertain", "status"),
    [
        pytest.param(False, 503, id="never_runs"),
        pytest.param(True, 504, id="an_earlier_write_may_be_stored"),
    ],
)
def test_body_that_takes_too_long_is_rejected_truthfully(
    is_uncertain: bool, status: int
) -> None:
    """503 says that the job never runs, which an unanswered write may belie."""

    async def body(rig: Rig) -> None:
        if is_uncertain:
            rig.api.uncertain.add(JobId(f"{1:016x}"))
        data = head("Content-Length: 100", "X-Deadline-Ms: 300") + b" " * 90
        found, text = await rig.exchange(data)
        assert found == status
        assert ("Retry-After: 1" in text) is (status == 503)
        assert "Connection: close" in text
        assert rig.counts == {"body_time": 1}
        assert rig.api.submitted == []

    run(body)


def test_unfinished_body_gives_way_to_a_complete_request() -> None:
    """Memory: 60 bodies of 262 KB were held until their clients had gone."""

    async def body(rig: Rig) -> None:
        start = head(f"Content-Length: {MAX_BODY_BYTES}") + b" " * (MAX_BODY_BYTES - 10)
        held = [await rig.open() for _ in range(60)]
        for _, writer in held:
            writer.write(start)
        await asyncio.sleep(HELD_S)
        assert (await rig.exchange(sized(JOB)))[0] == 200
        assert rig.counts["memory"] >= 20
        for reader, writer in held[:20]:
            # The response may be lost with what the server did not read any more.
            with contextlib.suppress(ConnectionError):
                assert (await reader.readline()).split()[1] == b"503"
            writer.close()
        assert len(rig.api.submitted) == 1

    run(body, ClientLimits(memory_mb=80))


def test_request_beyond_the_budget_is_rejected_at_once() -> None:
    """Complete jobs that wait for the store held memory without a bound."""

    async def body(rig: Rig) -> None:
        rig.api.answer_s = HELD_S
        data = sized(LARGEST)
        found = await asyncio.gather(*(rig.exchange(data) for _ in range(40)))
        statuses = [status for status, _ in found]
        assert {*statuses} == {200, 503}
        assert statuses.count(200) == len(rig.api.submitted)
        assert all("Retry-After: 1" in text for status, text in found if status == 503)
        assert rig.counts == {"memory": statuses.count(503)}
        assert (await rig.exchange(data))[0] == 200

    run(body, ClientLimits(memory_mb=80))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        pytest.param(b"\r\n" * 20_000, "head_size", id="empty_lines"),
        pytest.param(
            head()[:-2]
            + b"".join(b"X-%d: %s\r\n" % (n, b"v" * 990) for n in range(40)),
            "head_size",
            id="long_head",
        ),
        pytest.param(head()[:-2], "head_time", id="head_without_end"),
        pytest.param(b"P", "head_time", id="first_byte"),
    ],
)
def test_connection_without_a_whole_head_is_closed(data: bytes, reason: str) -> None:
    async def body(rig: Rig) -> None:
        reader, writer = await rig.open()
        writer.write(data)
        with pytest.raises(ConnectionError):
            assert await reader.read() == b""
            raise ConnectionResetError
        assert rig.counts == {reason: 1}
        writer.close()

    run(body, ClientLimits(head_s=0.3))


def test_new_connection_replaces_the_one_that_stalled_longest() -> None:
    async def body(rig: Rig) -> None:
        n_max = rig.gate._budget._listeners[rig.gate.listener("front")._name]
        silent = [await rig.open() for _ in range(n_max.max_connections + 5)]
        assert (await rig.exchange(sized(JOB)))[0] == 200
        assert rig.counts["connections"] >= 5
        for _, writer in silent:
            writer.close()

    run(body, ClientLimits(max_fds=240))


def test_pipelined_requests_are_served_in_order() -> None:
    async def body(rig: Rig) -> None:
        reader, writer = await rig.open()
        rig.api.answer_s = 0.01
        requests = [
            head(f"Content-Length: {len(JOB)}", number=number) + JOB
            for number in range(100)
        ]
        writer.write(b"".join(requests))
        for _ in requests:
            await reader.readuntil(b"\r\n\r\n{}")
        assert rig.api.submitted == [f"{number:016x}" for number in range(100)]
        assert rig.counts == {}
        writer.close()

    run(body)


def test_unread_response_is_dropped() -> None:
    async def body(rig: Rig) -> None:
        reader, writer = await rig.open()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        with pytest.raises(ConnectionError):
            while True:
                writer.write(head().replace(b"POST", b"PUT") * 1_000)
                await writer.drain()
        assert rig.counts == {"unread": 1}

    run(body, ClientLimits(unread_s=0.3))


def test_bodies_are_released_without_a_collection_of_cycles() -> None:
    """320 MB were still held one second after all clients had gone."""

    async def body(rig: Rig) -> None:
        held = [await rig.open() for _ in range(10)]
        start = head(f"Content-Length: {MAX_BODY_BYTES}") + b" " * 100_000
        for _, writer in held:
            writer.write(start)
        await asyncio.sleep(HELD_S)
        runner_server: Any = rig.server._runner.server
        protocols: list[Any] = runner_server.connections
        bodies = [protocol._received for protocol in protocols]
        assert sum(len(block) for body in bodies for block in body) == 10 * 100_000
        for _, writer in held:
            writer.close()
        await asyncio.sleep(HELD_S)
        assert sum(len(block) for body in bodies for block in body) == 0
        assert all(protocol._body is None for protocol in protocols)
        assert rig.gate._budget.n_bytes == 0

    run(body)


@pytest.mark.parametrize(
    "name",
    [
        "_buffer_paused",
        "_current_request",
        "_lingering_time",
        "_messages",
        "_msg_queue_resume_size",
        "_pause_reading_for_buffer",
        "_pause_transport_reading",
        "_reading_paused",
        "_request_count",
        "_request_in_progress",
        "_resume_transport_reading",
        "resume_reading",
    ],
)
def test_aiohttp_has_what_the_protocol_extends(name: str) -> None:
    """A later aiohttp may rename its own attributes; the limits would do nothing."""
    assert hasattr(RequestHandler, name)


@pytest.mark.parametrize("name", LimitedProtocol.__slots__)
def test_aiohttp_has_no_attribute_of_the_protocol(name: str) -> None:
    """A later aiohttp may use one of these names for something else."""
    assert not hasattr(RequestHandler, name)
