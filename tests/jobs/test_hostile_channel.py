"""A hostile message ends its channel with a reason; the process serves others."""

import asyncio
import random
import struct
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from almondspan_decisions.ids import PlaceName, ServiceName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_jobs.entry import JobEntry
from almondspan_jobs.messages import OwnerHello, StateReply, StateRequest, WorkerReport
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import DialFailed, TcpNetwork
from almondspan_jobs.options import JobOptions
from almondspan_jobs.worker_agent import WorkerAgent
from almondspan_platform.task_worker import WorkerState
from almondspan_standins.memory_group_store import MemoryGroupStore, StoreFaults
from almondspan_standins.memory_task_worker import MemoryTaskWorker, TaskScript
from almondspan_wire.codec import Message, encode

HOST = "127.0.0.1"
LIMIT_S = 5.0
MAX_REASON_CHARS = 300


class Log:
    """Collects the lines that are logged."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def line(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    def reasons(self, event: str) -> list[str]:
        return [fields["reason"] for name, fields in self.lines if name == event]


def frame(data: bytes) -> bytes:
    return struct.pack(">I", len(data)) + data


def hello(epoch: int = 1, port: int = 1) -> bytes:
    return msgspec.msgpack.encode(["j-hello", epoch, "entry0", HOST, port])


DEEP = b"\x91" * 5_000 + b"\x01"
HOSTILE = [
    pytest.param(frame(b"\xc1"), id="no_message_pack"),
    pytest.param(frame(b""), id="empty_frame"),
    pytest.param(frame(DEEP), id="nested_too_deeply"),
    pytest.param(
        frame(b"\x96" + hello()[1:] + DEEP), id="additional_field_nested_too_deeply"
    ),
    pytest.param(frame(hello(port=65_536)), id="port_out_of_range"),
    pytest.param(frame(hello(epoch=2**64 - 1)), id="number_too_large"),
    pytest.param(struct.pack(">I", 2**32 - 1), id="frame_too_long"),
    pytest.param(frame(b"\xdd\xff\xff\xff\xff"), id="array_longer_than_the_frame"),
]


async def free_port() -> int:
    server = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


async def send_raw(port: int, data: bytes) -> None:
    """Send bytes and wait until the peer has closed the connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    async with asyncio.timeout(LIMIT_S):
        await reader.read()
    writer.close()


async def ask(port: int, body: Message) -> object:
    channel = await TcpNetwork().dial(HOST, port, LIMIT_S)
    assert not isinstance(channel, DialFailed)
    await channel.send(body)
    async with asyncio.timeout(LIMIT_S):
        answer = await channel.receive()
    await channel.close()
    return answer


def run_agent(log: Log, use: Callable[[int], Any]) -> None:
    async def main() -> None:
        port = await free_port()
        worker = MemoryTaskWorker(
            WorkerId("w"),
            Shape(1, 1),
            lambda task, attempt: TaskScript(Shape(1, 1), 1.0),
            random.Random(1),
        )
        agent = WorkerAgent(
            "machine", HOST, port, TcpNetwork(), worker, JobOptions(), log, Metrics()
        )
        await agent.start()
        place, service = PlaceName("here"), ServiceName("pool")
        agent.on_report(
            WorkerState(
                worker.worker_id,
                worker.started_ms,
                service,
                place,
                Shape(1, 1),
                (),
                False,
                leaves_ms=0,
            )
        )
        await use(port)
        await agent.close()

    asyncio.run(main())


@pytest.mark.parametrize("data", HOSTILE)
def test_agent_serves_an_owner_after_a_hostile_message(data: bytes) -> None:
    log = Log()

    async def use(port: int) -> None:
        await send_raw(port, data)
        answer = await ask(port, OwnerHello(3, "entry0", HOST, 1))
        assert isinstance(answer, WorkerReport)

    run_agent(log, use)
    (reason,) = log.reasons("link_malformed")
    assert 0 < len(reason) <= MAX_REASON_CHARS


@pytest.mark.parametrize("data", HOSTILE)
def test_agent_serves_an_owner_after_a_hostile_owner(data: bytes) -> None:
    log = Log()

    async def use(port: int) -> None:
        await send_raw(port, frame(encode(OwnerHello(2, "odd", HOST, 1))) + data)
        answer = await ask(port, OwnerHello(3, "entry0", HOST, 1))
        assert isinstance(answer, WorkerReport)

    run_agent(log, use)
    closed = [fields for name, fields in log.lines if name == "link_closed"]
    assert closed[0]["cause"] == "malformed"
    assert 0 < len(closed[0]["why"]) <= MAX_REASON_CHARS


@pytest.mark.parametrize("data", HOSTILE)
def test_entry_serves_another_after_a_hostile_message(data: bytes) -> None:
    log = Log()

    async def main() -> None:
        port = await free_port()
        entry = JobEntry(
            "entry0",
            HOST,
            port,
            TcpNetwork(),
            MemoryGroupStore(random.Random(1)).client(StoreFaults()),
            JobOptions(),
            log,
            Metrics(),
            random.Random(1),
        )
        await entry.start()
        while entry.leadership.owner is None:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        await send_raw(port, data)
        request: Any = StateRequest(1, "0123456789abcdef")  # type: ignore[arg-type]
        assert isinstance(await ask(port, request), StateReply)
        await entry.close()

    asyncio.run(main())
    assert 0 < len(log.reasons("entry_lost")[0]) <= MAX_REASON_CHARS
