"""TCP proxy that can stop forwarding or reset connections, for network faults.

The proxy listens on a loopback port and forwards each connection to a server. A fault
applies to the connections that are open at that time; later connections work, as when
a middlebox has lost the state of the earlier ones.
"""

import asyncio
from typing import Final

__all__ = ["TcpProxy"]

CHUNK_BYTES: Final = 65_536
LOOPBACK: Final = "127.0.0.1"


class TcpProxy:
    """Forwards TCP connections to one loopback port."""

    def __init__(self, port: int) -> None:
        self._port: Final = port
        self._forwarding: asyncio.Event = asyncio.Event()
        self._forwarding.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.n_accepted = 0
        self.port = 0

    async def start(self) -> None:
        """Start listening and set ``port``."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        self._forwarding.clear()
        self._forwarding = asyncio.Event()
        self._forwarding.set()

    def cut(self) -> None:
        """Reset the open connections on both sides."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_accepted += 1
        forwarding = self._forwarding
        upstream_reader, upstream_writer = await asyncio.open_connection(
            LOOPBACK, self._port
        )
        self._writers |= {writer, upstream_writer}
        for source, sink in ((reader, upstream_writer), (upstream_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink, forwarding))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        forwarding: asyncio.Event,
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                await forwarding.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()
            self._writers.discard(sink)
