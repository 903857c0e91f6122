"""Channels: typed messages over one connection between two processes.

Phases of a `StreamChannel`:

1. Open: `start` creates a task that sends a heartbeat whenever nothing else was sent
   for an interval.
2. Running: `send` frames a message and waits while the connection's buffer is full;
   `receive` returns the next message. Heartbeats are not passed to the caller.
3. Closed: by `close`, by the peer, or because nothing arrived within the silence limit.
   From then on `receive` returns `ChannelClosed` and `send` returns False.

A frame consists of the message's length (4 bytes, big-endian) and the encoded message.
"""

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from almondspan_wire.codec import (
    MAX_FRAME_BYTES,
    Malformed,
    Message,
    decode,
    encode,
    message,
)

__all__ = [
    "Channel",
    "ChannelClosed",
    "ChannelOptions",
    "CloseCause",
    "Heartbeat",
    "StreamChannel",
]

_LENGTH: Final = struct.Struct(">I")
READ_BYTES: Final = 64 * 1024
"""The maximum number of bytes of one read."""

FRAMES_PER_TURN: Final = 64
"""After this many frames that were already read, other tasks get their turn."""

BUFFER_LIMIT_BYTES: Final = 256 * 1024
"""`send` waits while more than this many bytes are buffered."""


@message
class Heartbeat(Message, frozen=True, tag="hb"):
    """Sent when the channel has been idle for an interval."""


class CloseCause(Enum):
    """Why a channel was closed."""

    CLOSED_HERE = "closed_here"
    CLOSED_BY_PEER = "closed_by_peer"
    SILENT = "silent"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class ChannelClosed:
    """Returned by `receive` instead of a message once the channel is closed."""

    cause: CloseCause
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ChannelOptions:
    """Heartbeat interval and time limits of a channel."""

    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    send_timeout_s: float = 5.0


class Channel(Protocol):
    """Exchanges messages with one peer, in order and at most once."""

    async def send(self, body: Message) -> bool:
        """Send a message; return False if the channel is closed."""
        ...

    def post(self, body: Message) -> bool:
        """Send a message without waiting; False when closed or full."""
        ...

    async def receive(self) -> Message | ChannelClosed:
        """Return the next message, or `ChannelClosed` once the channel is closed."""
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...


class StreamChannel:
    """A `Channel` over an asyncio stream (TCP, with or without TLS)."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        options: ChannelOptions,
        on_unfinished: Callable[[int, bool], None] | None = None,
    ) -> None:
        """Set the stream.

        Parameters
        ----------
        on_unfinished : callable, optional
            Called before each read with the number of bytes of a frame that is not
            complete, and whether it is another frame than at the last call.
        """
        self._on_unfinished = on_unfinished
        self._n_frames = 0
        """The number of frames received since the last turn of other tasks."""
        self._is_new_frame = True
        self._reader = reader
        self._writer = writer
        self._options = options
        self._closed: ChannelClosed | None = None
        self._last_sent_s = 0.0
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._received = bytearray()
        self._n_consumed = 0
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.n_posts_dropped = 0

    async def start(self) -> None:
        """Start sending heartbeats."""
        self._writer.transport.set_write_buffer_limits(high=BUFFER_LIMIT_BYTES)
        self._last_sent_s = asyncio.get_running_loop().time()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def send(self, body: Message) -> bool:
        """Send a message; return False if the channel is closed or remains full."""
        if self._closed is not None:
            return False
        self._write(body)
        return await self._drain()

    def post(self, body: Message) -> bool:
        """Send a message without waiting; False when closed or full."""
        buffered = self._writer.transport.get_write_buffer_size()
        if self._closed is not None or buffered > BUFFER_LIMIT_BYTES:
            self.n_posts_dropped += 1
            return False
        self._write(body)
        return True

    def _write(self, body: Message) -> None:
        data = encode(body)
        if len(data) > MAX_FRAME_BYTES:
            raise ValueError(f"message of {len(data)} bytes exceeds the frame limit")
        self._writer.write(_LENGTH.pack(len(data)) + data)
        self.n_bytes_sent += len(data) + _LENGTH.size
        self._last_sent_s = asyncio.get_running_loop().time()

    async def _drain(self) -> bool:
        if self._writer.transport.get_write_buffer_size() <= BUFFER_LIMIT_BYTES:
            return not self._writer.transport.is_closing()
        try:
            async with asyncio.timeout(self._options.send_timeout_s):
                await self._writer.drain()
        except TimeoutError:
            self._close_with(CloseCause.SILENT, "the peer is not reading")
            return False
        except OSError as error:
            self._close_with(CloseCause.CLOSED_BY_PEER, str(error))
            return False
        return True

    async def receive(self) -> Message | ChannelClosed:
        """Return the next message other than a heartbeat."""
        while self._closed is None:
            data = await self._read_frame()
            if data is None:
                break
            body = decode(data)
            if isinstance(body, Malformed):
                self._close_with(CloseCause.MALFORMED, body.reason)
                break
            if not isinstance(body, Heartbeat):
                return body
        assert self._closed is not None
        return self._closed

    async def _read_frame(self) -> bytes | None:
        """Return the next frame; None if the channel is closed."""
        while self._closed is None:
            frame = self._next_frame()
            if frame is not None:
                await self._take_turns()
                return frame
            await self._receive_more()
        return None

    async def _take_turns(self) -> None:
        """Let other tasks run after some frames that needed no wait."""
        self._n_frames += 1
        if self._n_frames >= FRAMES_PER_TURN:
            self._n_frames = 0
            await asyncio.sleep(0)

    def _next_frame(self) -> bytes | None:
        """Return the next complete frame that was received; None if there is none."""
        begin = self._n_consumed + _LENGTH.size
        if len(self._received) < begin:
            return None
        (n_bytes,) = _LENGTH.unpack_from(self._received, self._n_consumed)
        if n_bytes > MAX_FRAME_BYTES:
            self._close_with(
                CloseCause.MALFORMED, f"frame of {n_bytes} bytes exceeds the limit"
            )
            return None
        if len(self._received) < begin + n_bytes:
            return None
        self._n_consumed = begin + n_bytes
        self._is_new_frame = True
        return bytes(memoryview(self._received)[begin : self._n_consumed])

    async def _receive_more(self) -> None:
        """Read all available bytes at once, since frames are small."""
        del self._received[: self._n_consumed]
        self._n_consumed = 0
        if self._on_unfinished is not None:
            self._on_unfinished(len(self._received), self._is_new_frame)
        self._is_new_frame = not self._received
        try:
            data = await self._read_within_silence()
        except OSError as error:
            self._close_with(CloseCause.CLOSED_BY_PEER, str(error))
            return
        if data is None:
            self._close_with(
                CloseCause.SILENT, "nothing arrived within the silence limit"
            )
            return
        if not data:
            self._close_with(
                CloseCause.CLOSED_BY_PEER, "the peer closed the connection"
            )
            return
        self._received += data
        self.n_bytes_received += len(data)

    async def _read_within_silence(self) -> bytes | None:
        """Return the bytes that arrive within the silence limit; None if none do.

        If this process stalled, the limit may have passed while received data was
        waiting to be read. In that case the peer gets a further heartbeat interval.
        """
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + self._options.silence_s
        data = await self._read_until(limit_s)
        was_stalled = loop.time() - limit_s > self._options.heartbeat_s / 2
        if data is None and was_stalled:
            data = await self._read_until(loop.time() + self._options.heartbeat_s)
        return data

    async def _read_until(self, limit_s: float) -> bytes | None:
        try:
            async with asyncio.timeout_at(limit_s):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            return None

    async def close(self) -> None:
        """Close the connection and stop the heartbeats."""
        self._close_with(CloseCause.CLOSED_HERE, "")
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
            await asyncio.gather(self._heartbeat_task, return_exceptions=True)

    def _close_with(self, cause: CloseCause, reason: str) -> None:
        if self._closed is None:
            self._closed = ChannelClosed(cause, reason)
        self._received.clear()
        self._n_consumed = 0
        self._writer.close()

    async def _send_heartbeats(self) -> None:
        loop = asyncio.get_running_loop()
        while self._closed is None:
            idle_s = loop.time() - self._last_sent_s
            if idle_s >= self._options.heartbeat_s:
                await self.send(Heartbeat())
                continue
            await asyncio.sleep(self._options.heartbeat_s - idle_s)
