"""Channels between the processes of almondspan: listening and dialling.

`TcpNetwork` is the implementation over TCP; tests use a network in memory. A listener
runs its handler in one task per accepted channel. With a gate, it bounds its channels
and the frames that they have begun. A dial never raises: the address may come from
another writer.
"""

import asyncio
import ipaddress
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, Protocol

from almondspan_decisions.request_budget import DropReason
from almondspan_jobs.client_gate import ConnectionGate, ListenerGate
from almondspan_wire.bounded_reads import StreamReads, widen_backlog
from almondspan_wire.channel import Channel, ChannelOptions, StreamChannel

__all__ = [
    "LINK_OPTIONS",
    "DialFailed",
    "Handler",
    "Listener",
    "Network",
    "TcpNetwork",
]

LINK_OPTIONS: Final = ChannelOptions(heartbeat_s=0.5, silence_s=1.6, send_timeout_s=1.6)

BACKLOG: Final = 100
"""Channels that are accepted at once without a gate."""

STREAM_BYTES: Final = 16 * 1024
"""Reading pauses while more than twice this was read but not received."""

Handler = Callable[[Channel], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A channel could not be opened."""

    reason: str
    was_refused: bool
    """The host answered that no process listens at the address."""


class Listener(Protocol):
    """A listening address."""

    async def close(self) -> None:
        """Stop listening and close every accepted channel."""
        ...


class Network(Protocol):
    """Listens for channels and dials them."""

    async def listen(self, host: str, port: int, handler: Handler) -> Listener:
        """Run `handler` for each channel accepted at the address."""
        ...

    async def dial(
        self, host: str, port: int, timeout_s: float
    ) -> Channel | DialFailed:
        """Open a channel to an address."""
        ...


class TcpNetwork:
    """A `Network` over TCP."""

    def __init__(self, gate: ListenerGate | None = None) -> None:
        self._gate: Final = gate

    async def listen(self, host: str, port: int, handler: Handler) -> Listener:
        """Listen on an address of this machine."""
        listener = _TcpListener(handler, self._gate)
        await listener.start(host, port)
        return listener

    async def dial(
        self, host: str, port: int, timeout_s: float
    ) -> Channel | DialFailed:
        """Open a channel to another process; its host must be an IP number.

        Names are not resolved: the thread that resolves one outlives the time limit.
        """
        try:
            number = str(ipaddress.ip_address(host))
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(number, port)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            was_refused = isinstance(error, ConnectionRefusedError)
            return DialFailed(f"{type(error).__name__} {error}", was_refused)
        channel = StreamChannel(reader, writer, LINK_OPTIONS)
        await channel.start()
        return channel


class _TcpListener:
    """A listening socket and the channels accepted on it."""

    def __init__(self, handler: Handler, gate: ListenerGate | None) -> None:
        self._handler: Final = handler
        self._gate: Final = gate
        self._server: asyncio.Server | None = None
        self._tasks: Final[set[asyncio.Task[None]]] = set()

    async def start(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        n_at_once = BACKLOG if self._gate is None else self._gate.n_accepted_at_once
        self._server = await loop.create_server(
            self._make_protocol, host, port, backlog=n_at_once
        )
        widen_backlog(self._server)

    def _make_protocol(self) -> StreamReads:
        return StreamReads(asyncio.StreamReader(STREAM_BYTES), self._accept)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frames = None
        if self._gate is not None:
            frames = _FrameGate(self._gate, writer.transport)
            if not frames.is_open:
                return
        channel = StreamChannel(
            reader, writer, LINK_OPTIONS, None if frames is None else frames.report
        )
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await channel.start()
            await self._handler(channel)
        finally:
            self._tasks.discard(task)
            await channel.close()
            if frames is not None:
                frames.close()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class _FrameGate:
    """Reports the unfinished frames of one accepted channel."""

    def __init__(self, gate: ListenerGate, transport: asyncio.WriteTransport) -> None:
        self._transport: Final = transport
        self._frame_s: Final = gate.limits.frame_s
        self._connection: Final[ConnectionGate | None] = gate.open(self._drop)
        self._until_s = 0.0
        if self._connection is None:
            transport.abort()

    @property
    def is_open(self) -> bool:
        """Whether the channel was admitted."""
        return self._connection is not None

    def report(self, n_bytes: int, is_new_frame: bool) -> None:
        """Note that the channel holds `n_bytes` of a frame that is not complete."""
        assert self._connection is not None
        if not n_bytes:
            self._connection.set_idle()
            return
        if is_new_frame:
            self._until_s = asyncio.get_running_loop().time() + self._frame_s
        self._connection.set_unfinished(n_bytes, self._until_s, DropReason.FRAME_TIME)

    def _drop(self, reason: DropReason) -> None:
        self._transport.abort()

    def close(self) -> None:
        """Forget the channel."""
        if self._connection is not None:
            self._connection.close()
