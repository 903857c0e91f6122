"""The contract of `StreamChannel`, over a connection on the loopback interface."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable

import pytest

from almondspan_decisions.ids import ShardId
from almondspan_wire.channel import (
    ChannelClosed,
    ChannelOptions,
    CloseCause,
    Heartbeat,
    StreamChannel,
)
from almondspan_wire.codec import MAX_FRAME_BYTES, encode
from almondspan_wire.membership import NominateOwner, RoutedMessage

FAST = ChannelOptions(heartbeat_s=0.02, silence_s=0.2, send_timeout_s=0.2)
LENIENT = ChannelOptions(heartbeat_s=30.0, silence_s=60.0)

Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def with_peer(
    peer: Peer, use: Callable[[StreamChannel], Awaitable[None]], options: ChannelOptions
) -> None:
    """Run `use` on a channel whose other end is `peer`."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await peer(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    channel = StreamChannel(reader, writer, options)
    await channel.start()
    try:
        await use(channel)
    finally:
        await channel.close()
        server.close()


async def send_bytes(data: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(data)
    await writer.drain()


def test_messages_arrive_whole_and_in_order() -> None:
    sent = [RoutedMessage("a", "b", bytes([n]) * (n * 1000)) for n in range(50)]

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = StreamChannel(reader, writer, LENIENT)
        await channel.start()
        for _ in sent:
            body = await channel.receive()
            assert isinstance(body, RoutedMessage)
            await channel.send(body)
        await channel.receive()
        await channel.close()

    async def use(channel: StreamChannel) -> None:
        for body in sent:
            assert await channel.send(body)
        assert [await channel.receive() for _ in sent] == sent

    asyncio.run(with_peer(echo, use, LENIENT))


def test_heartbeats_keep_an_idle_channel_open() -> None:
    async def idle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = StreamChannel(reader, writer, FAST)
        await channel.start()
        await asyncio.sleep(5 * FAST.silence_s)
        await channel.send(NominateOwner(ShardId(1)))
        await channel.receive()
        await channel.close()

    async def use(channel: StreamChannel) -> None:
        assert await channel.receive() == NominateOwner(ShardId(1))

    asyncio.run(with_peer(idle, use, FAST))


@pytest.mark.parametrize(
    ("data", "cause"),
    [
        pytest.param(None, CloseCause.SILENT, id="silent peer"),
        pytest.param(b"", CloseCause.CLOSED_BY_PEER, id="peer closes"),
        pytest.param(b"\x00\x00\x00\x09ab", CloseCause.CLOSED_BY_PEER, id="cut frame"),
        pytest.param(
            struct.pack(">I", MAX_FRAME_BYTES + 1),
            CloseCause.MALFORMED,
            id="frame too long",
        ),
        pytest.param(b"\x00\x00\x00\x01\xc1", CloseCause.MALFORMED, id="no message"),
        pytest.param(
            struct.pack(">I", 5_001) + b"\x91" * 5_001,
            CloseCause.MALFORMED,
            id="nested too deeply",
        ),
        pytest.param(
            struct.pack(">I", 5_014)
            + b"\x93\xa8nominate\x03"
            + b"\x91" * 5_002
            + b"\x01",
            CloseCause.MALFORMED,
            id="additional field nested too deeply",
        ),
    ],
)
def test_a_channel_ends_with_its_cause(data: bytes | None, cause: CloseCause) -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if data is not None:
            await send_bytes(data, writer)
            writer.close()
        await reader.read()

    async def use(channel: StreamChannel) -> None:
        for _ in range(2):
            ended = await channel.receive()
            assert isinstance(ended, ChannelClosed)
            assert ended.cause is cause
        assert not await channel.send(NominateOwner(ShardId(1)))
        assert not channel.post(NominateOwner(ShardId(1)))

    asyncio.run(with_peer(peer, use, FAST))


def test_buffer_is_bounded_when_the_peer_does_not_read() -> None:
    block = RoutedMessage("a", "b", b"x" * 100_000)

    async def unresponsive(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.Event().wait()

    async def use(channel: StreamChannel) -> None:
        results = [channel.post(block) for _ in range(200)]
        assert not results[-1]
        assert channel.n_posts_dropped > 0
        assert not all([await channel.send(block) for _ in range(200)])

    asyncio.run(with_peer(unresponsive, use, FAST))


def test_a_frame_after_heartbeats_is_read() -> None:
    def framed(data: bytes) -> bytes:
        return struct.pack(">I", len(data)) + data

    data = 3 * framed(encode(Heartbeat())) + framed(encode(NominateOwner(ShardId(1))))

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await send_bytes(data, writer)
        await reader.read()

    async def use(channel: StreamChannel) -> None:
        assert await channel.receive() == NominateOwner(ShardId(1))

    asyncio.run(with_peer(peer, use, LENIENT))


def test_a_stall_of_this_process_does_not_time_out_the_peer() -> None:
    frame = encode(NominateOwner(ShardId(1)))

    async def main() -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*listening.getsockname())
        peer, _ = listening.accept()
        channel = StreamChannel(reader, writer, FAST)
        await channel.start()
        receiving = asyncio.create_task(channel.receive())
        await asyncio.sleep(0)
        peer.sendall(struct.pack(">I", len(frame)) + frame)
        # Block the event loop for longer than the silence limit.
        time.sleep(2 * FAST.silence_s)  # noqa: ASYNC251
        assert await receiving == NominateOwner(ShardId(1))
        assert await channel.receive() == ChannelClosed(
            CloseCause.SILENT, "nothing arrived within the silence limit"
        )
        await channel.close()
        peer.close()
        listening.close()

    asyncio.run(main())
