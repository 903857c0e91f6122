"""Channels between the processes of almondspan: listening and dialling.

`TcpNetwork` is the implementation over TCP; tests use a network in memory. A listener
runs its handler in one task per accepted channel. A dial never raises: the address may
come from another writer.
"""

import asyncio
import ipaddress
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, Protocol

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

    async def listen(self, host: str, port: int, handler: Handler) -> Listener:
        """Listen on an address of this machine."""
        listener = _TcpListener(handler)
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

    def __init__(self, handler: Handler) -> None:
        self._handler: Final = handler
        self._server: asyncio.Server | None = None
        self._tasks: Final[set[asyncio.Task[None]]] = set()

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._accept, host, port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = StreamChannel(reader, writer, LINK_OPTIONS)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await channel.start()
            await self._handler(channel)
        finally:
            self._tasks.discard(task)
            await channel.close()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
