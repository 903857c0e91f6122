"""The adapter ``http_json``: which unanswered calls are sent again."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from almondspan_decisions.ids import ShardId, TaskClass, TaskId
from almondspan_decisions.shapes import Shape
from almondspan_platform.http_json import HttpJsonWorker
from almondspan_platform.worker import StartAttempt, Worker, WorkerUnavailable

TASK = TaskId("job/0")
REQUEST = StartAttempt(
    TASK, 1, TaskClass("cut"), Shape(1, 1, 0), b"", b"", ShardId(0), 1, True
)


class HangUpServer:
    """Closes each connection without an answer; stops listening after `n_accepts`."""

    def __init__(self, n_accepts: int) -> None:
        self._n_accepts = n_accepts
        self._server: asyncio.Server | None = None
        self.n_requests = 0

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.n_requests += 1
        if self.n_requests == self._n_accepts:
            self.close()
        writer.close()


@pytest.mark.parametrize(
    ("call", "n_accepts", "n_requests"),
    [
        pytest.param(lambda one: one.start_attempt(REQUEST), 9, 1, id="start-once"),
        pytest.param(lambda one: one.stop(TASK, 1), 9, 2, id="stop-repeated"),
        pytest.param(lambda one: one.stop(TASK, 1), 1, 1, id="refused-at-last"),
    ],
)
async def test_lost_answers(
    call: Callable[[Worker], Awaitable[object]], n_accepts: int, n_requests: int
) -> None:
    server = HangUpServer(n_accepts)
    worker = HttpJsonWorker(await server.start())
    await worker.start()
    outcome = await call(worker)
    assert isinstance(outcome, WorkerUnavailable)
    assert outcome.may_have_applied
    assert server.n_requests == n_requests
    await worker.close()
    server.close()


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(lambda one: one.start_attempt(REQUEST), id="start"),
        pytest.param(lambda one: one.stop(TASK, 1), id="stop"),
    ],
)
async def test_no_connection_means_not_applied(
    call: Callable[[Worker], Awaitable[object]],
) -> None:
    worker = HttpJsonWorker("http://127.0.0.1:9")
    await worker.start()
    outcome = await call(worker)
    assert isinstance(outcome, WorkerUnavailable)
    assert not outcome.may_have_applied
    assert worker.n_sent == 2
    await worker.close()


INFO = '{"worker_id": "w", "capacity": {"cpu_millicores": %s}, "lease_s": 5.0}'


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(
            '{"more":' + "[" * 5_000 + "]" * 5_000 + "}", id="nested-too-deeply"
        ),
        pytest.param(INFO % ("9" * 30), id="number-too-large"),
    ],
)
async def test_odd_answer_is_no_answer(body: str) -> None:
    """Guards against an answer that raises in the task that made the call."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    worker = HttpJsonWorker(f"http://127.0.0.1:{port}")
    await worker.start()
    assert isinstance(await worker.info(), WorkerUnavailable)
    await worker.close()
    server.close()
