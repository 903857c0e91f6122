"""Listens for channels of other processes of almondspan.

One task per channel runs the handler that the owner of the server gave. Closing the
server closes every channel.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from almondspan_wire.channel import ChannelOptions, StreamChannel

__all__ = ["LINK_OPTIONS", "LinkServer", "dial"]

LINK_OPTIONS: Final = ChannelOptions(heartbeat_s=0.5, silence_s=1.6, send_timeout_s=1.6)

Handler = Callable[[StreamChannel], Awaitable[None]]


class LinkServer:
    """A listening socket and the channels accepted on it."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._host: Final = host
        self._port: Final = port
        self._handler: Final = handler
        self._server: asyncio.Server | None = None
        self._tasks: Final[set[asyncio.Task[None]]] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

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
        """Stop listening and end every channel."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def dial(host: str, port: int, timeout_s: float) -> StreamChannel | str:
    """Open a channel; return the reason when that fails."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        return f"{type(error).__name__} {error}"
    channel = StreamChannel(reader, writer, LINK_OPTIONS)
    await channel.start()
    return channel
