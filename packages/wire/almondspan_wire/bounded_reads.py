"""Bounds what a connection reads in one turn of the event loop.

An asyncio transport reads up to 256 KiB for each connection in a turn and allocates as
much for it. A protocol with `BoundedReads` reads at most `MAX_READ_BYTES`, or less if
it says so, into one buffer that all connections of the process share: the transport
fills it and the protocol copies it in the same call.
"""

import asyncio
from typing import Final

__all__ = ["MAX_READ_BYTES", "BoundedReads", "StreamReads", "widen_backlog"]

MAX_READ_BYTES: Final = 256 * 1024

STREAM_READ_BYTES: Final = 32 * 1024
BACKLOG: Final = 512
"""Connections that the kernel keeps until they are accepted."""

_BUFFER: Final = memoryview(bytearray(MAX_READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """Mixin for a protocol with `data_received`."""

    __slots__ = ()

    @property
    def read_bytes(self) -> int:
        """Return how much is read at most in this turn."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return _BUFFER[: self.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that the transport has read."""
        self.bytes_read(bytes(_BUFFER[:nbytes]))

    def bytes_read(self, data: bytes) -> None:
        """Handle the bytes that were read."""
        self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Handle the bytes that were read."""
        raise NotImplementedError


class StreamReads(asyncio.StreamReaderProtocol, BoundedReads):
    """The protocol of an asyncio stream, with bounded reads."""

    @property
    def read_bytes(self) -> int:
        """Return how much is read at most in this turn."""
        return STREAM_READ_BYTES


def widen_backlog(server: asyncio.Server) -> None:
    """Let the kernel keep `BACKLOG` connections of a listening server.

    asyncio accepts as many connections in one turn as the backlog that it listens with,
    so a server that bounds these listens with a small one.
    """
    for listening in server.sockets:
        with listening.dup() as duplicate:
            duplicate.listen(BACKLOG)
