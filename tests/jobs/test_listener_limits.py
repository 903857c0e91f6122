"""A listener for other processes bounds its channels and their unfinished frames."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from almondspan_decisions.ids import JobId
from almondspan_jobs.client_gate import ClientGate, ClientLimits
from almondspan_jobs.entry import MAX_RELAYED_BYTES, JobEntry
from almondspan_jobs.messages import StateReply, StateRequest, StoreJob, StoreReply
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import DialFailed, TcpNetwork
from almondspan_jobs.options import JobOptions
from almondspan_wire.channel import Channel, ChannelClosed, Heartbeat
from almondspan_wire.codec import MAX_FRAME_BYTES, encode

HOST = "127.0.0.1"
LIMIT_S = 20.0
HELD_S = 0.5
FRAME = encode(Heartbeat())


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


class Rig:
    """A listener that answers each state request, with its gate."""

    def __init__(self, limits: ClientLimits) -> None:
        self.metrics = Metrics()
        self.gate = ClientGate(limits, 0, {"peers": 1}, Log(), self.metrics)
        self.port = 0

    async def serve(self, channel: Channel) -> None:
        while not isinstance(body := await channel.receive(), ChannelClosed):
            assert isinstance(body, StateRequest)
            await channel.send(StateReply(body.number, "pending"))

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(HOST, self.port)

    async def ask(self) -> object:
        channel = await TcpNetwork().dial(HOST, self.port, LIMIT_S)
        assert not isinstance(channel, DialFailed)
        await channel.send(StateRequest(7, JobId("0123456789abcdef")))
        answer = await channel.receive()
        await channel.close()
        return answer

    def n_dropped(self, reason: str) -> int:
        name = f"almondspan_clients_dropped_peers_{reason}_total "
        rows = [row for row in self.metrics.text().splitlines() if row.startswith(name)]
        return int(rows[0].removeprefix(name)) if rows else 0


def run(body: Callable[[Rig], Awaitable[None]], limits: ClientLimits) -> None:
    async def main() -> None:
        rig = Rig(limits)
        probe = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
        rig.port = probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        await rig.gate.start()
        network = TcpNetwork(rig.gate.listener("peers"))
        listener = await network.listen(HOST, rig.port, rig.serve)
        try:
            async with asyncio.timeout(LIMIT_S):
                await body(rig)
        finally:
            await listener.close()
            await rig.gate.close()

    asyncio.run(main())


def test_unfinished_frames_give_way_to_a_complete_one() -> None:
    async def body(rig: Rig) -> None:
        start = MAX_FRAME_BYTES.to_bytes(4, "big") + bytes(MAX_FRAME_BYTES - 10)
        held = [await rig.open() for _ in range(20)]
        for _, writer in held:
            writer.write(start)
            await writer.drain()
        await asyncio.sleep(HELD_S)
        assert isinstance(await rig.ask(), StateReply)
        assert rig.n_dropped("memory") >= 10
        for _, writer in held:
            writer.close()

    run(body, ClientLimits(memory_mb=80))


def test_frame_must_be_complete_in_time() -> None:
    """A channel that sends a byte now and then is never silent."""

    async def body(rig: Rig) -> None:
        reader, writer = await rig.open()
        writer.write(MAX_FRAME_BYTES.to_bytes(4, "big"))
        with pytest.raises(ConnectionError):
            while True:
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(0.05)
        assert rig.n_dropped("frame_time") == 1

    run(body, ClientLimits(frame_s=0.3))


def test_channel_with_whole_frames_outlasts_the_limit_of_one() -> None:
    async def body(rig: Rig) -> None:
        reader, writer = await rig.open()
        data = len(FRAME).to_bytes(4, "big") + FRAME
        writer.write(data[:2])
        for _ in range(30):
            # Each write ends one frame and begins the next.
            writer.write(data[2:] + data[:2])
            await writer.drain()
            await asyncio.sleep(0.1)
        assert rig.n_dropped("frame_time") == 0
        writer.close()

    run(body, ClientLimits(frame_s=2.0))


def test_new_channel_replaces_a_silent_one() -> None:
    async def body(rig: Rig) -> None:
        held = [await rig.open() for _ in range(60)]
        assert isinstance(await rig.ask(), StateReply)
        assert rig.n_dropped("connections") >= 10
        for _, writer in held:
            writer.close()

    run(body, ClientLimits(max_fds=240))


class SlowApi:
    """Stores jobs of other entries once it may."""

    def __init__(self) -> None:
        self.n_stored = 0
        self.may_store = asyncio.Event()

    async def relay(self, body: StoreJob) -> StoreReply:
        await self.may_store.wait()
        self.n_stored += 1
        return StoreReply(body.number, "stored")


class Peer:
    """The other end of a channel, in memory."""

    def __init__(self, bodies: list[StoreJob]) -> None:
        self.bodies = bodies
        self.sent: list[StoreReply] = []
        self.is_read = asyncio.Event()

    async def receive(self) -> Any:
        if self.bodies:
            return self.bodies.pop(0)
        self.is_read.set()
        while len(self.sent) < 10:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return ChannelClosed(cause=Any)  # type: ignore[arg-type]

    async def send(self, body: StoreReply) -> bool:
        self.sent.append(body)
        return True


def test_jobs_stored_for_other_entries_are_bounded() -> None:
    """A channel could make an entry hold any number of jobs while the store is slow."""

    async def main() -> None:
        api, metrics = SlowApi(), Metrics()
        network: Any = None
        store: Any = None
        rng: Any = None
        entry = JobEntry(
            "e", HOST, 1, network, store, JobOptions(), Log(), metrics, rng
        )
        entry.job_api = api  # type: ignore[misc, assignment]
        record = bytes(MAX_RELAYED_BYTES // 4)
        jobs = [StoreJob(n, JobId(f"{n:016x}"), record) for n in range(10)]
        peer: Any = Peer(jobs)
        serving = asyncio.create_task(entry._serve_entry(peer))
        async with asyncio.timeout(LIMIT_S):
            await peer.is_read.wait()
            assert [reply.result for reply in peer.sent] == ["not_done"] * 7
            api.may_store.set()
            while len(peer.sent) < 10:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert api.n_stored == 3
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        assert entry._n_relayed_bytes == 0

    asyncio.run(main())
