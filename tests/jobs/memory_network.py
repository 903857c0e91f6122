"""A network in memory between simulated processes, with partitions.

A message takes half a millisecond and is delivered in the receiver's process. Messages
on a cut path are lost. A channel over a path that stays cut, or to a process that stays
paused, closes on both sides after the silence limit. Killing a process closes its
channels immediately.
"""

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable

from virtual_loop import PROCESS, Process, VirtualLoop

from almondspan_jobs.network import DialFailed, Handler
from almondspan_wire.channel import ChannelClosed, CloseCause
from almondspan_wire.codec import Message, decode, encode

LATENCY_S = 0.0005
SILENCE_S = 1.6
CHECK_S = 0.4
MAX_PORT = 65_535
MAX_HOST = 253


class MemoryChannel:
    """One end of a channel."""

    def __init__(self, hub: "Hub", owner: Process) -> None:
        self._hub = hub
        self.owner = owner
        self.peer: MemoryChannel | None = None
        self.inbox: deque[Message] = deque()
        self.in_flight: deque[bytes] = deque()
        self.closed: ChannelClosed | None = None
        self._arrived = asyncio.Event()
        self.silent_s = 0.0

    async def send(self, body: Message) -> bool:
        return self.post(body)

    def post(self, body: Message) -> bool:
        if self.closed is not None or self.peer is None:
            return False
        data = encode(body)
        if not self._hub.is_cut(self.owner, self.peer.owner):
            self.peer.in_flight.append(data)
            self._hub.call_in(self.peer.owner, LATENCY_S, self.peer.deliver)
        return True

    def deliver(self) -> None:
        data = self.in_flight.popleft()
        if self.closed is None:
            body = decode(data)
            assert isinstance(body, Message), body
            self.inbox.append(body)
            self._arrived.set()

    async def receive(self) -> Message | ChannelClosed:
        while not self.inbox:
            if self.closed is not None:
                return self.closed
            self._arrived.clear()
            await self._arrived.wait()
        return self.inbox.popleft()

    async def close(self) -> None:
        self.end(CloseCause.CLOSED_HERE)
        if self.peer is not None and not self._hub.is_cut(self.owner, self.peer.owner):
            peer = self.peer
            self._hub.call_in(
                peer.owner, LATENCY_S, peer.end, CloseCause.CLOSED_BY_PEER
            )

    def end(self, cause: CloseCause) -> None:
        if self.closed is None:
            self.closed = ChannelClosed(cause, "")
            self._hub.channels.pop(self, None)
        self._arrived.set()


class _Listener:
    def __init__(self, hub: "Hub", address: tuple[str, int]) -> None:
        self._hub = hub
        self._address = address

    async def close(self) -> None:
        self._hub.listeners.pop(self._address, None)


class Hub:
    """All channels, listeners and cut paths of the simulated network."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.listeners: dict[tuple[str, int], tuple[Process, Handler]] = {}
        self.channels: dict[MemoryChannel, None] = {}
        self.handling: set[asyncio.Future[None]] = set()
        self.cuts: set[frozenset[str]] = set()
        loop.call_later(CHECK_S, self._check_silence, context=contextvars.Context())

    def call_in(
        self, process: Process, delay_s: float, call: Callable[..., None], *args: object
    ) -> None:
        if self.loop.is_closed():
            # Coroutines of dead processes may be collected after the loop is closed.
            return
        self.loop.call_later(delay_s, call, *args, context=process.new_context())

    def is_cut(self, one: Process, other: Process) -> bool:
        return frozenset({one.name, other.name}) in self.cuts

    def kill(self, process: Process) -> None:
        for address, (owner, _) in tuple(self.listeners.items()):
            if owner is process:
                del self.listeners[address]
        for channel in tuple(self.channels):
            if channel.owner is process:
                self.channels.pop(channel, None)
                if channel.peer is not None:
                    self.call_in(
                        channel.peer.owner,
                        LATENCY_S,
                        channel.peer.end,
                        CloseCause.CLOSED_BY_PEER,
                    )

    def _check_silence(self) -> None:
        for channel in tuple(self.channels):
            if channel.peer is None:
                continue
            peer = channel.peer.owner
            is_silent = (
                peer.is_paused or peer.is_dead or self.is_cut(channel.owner, peer)
            )
            channel.silent_s = channel.silent_s + CHECK_S if is_silent else 0.0
            if channel.silent_s >= SILENCE_S:
                self.call_in(channel.owner, 0.0, channel.end, CloseCause.SILENT)
        self.loop.call_later(
            CHECK_S, self._check_silence, context=contextvars.Context()
        )


class MemoryNetwork:
    """A `Network` that acts for the simulated process in which it is called."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    async def listen(self, host: str, port: int, handler: Handler) -> _Listener:
        process = PROCESS.get()
        assert process is not None
        self._hub.listeners[(host, port)] = (process, handler)
        return _Listener(self._hub, (host, port))

    async def dial(
        self, host: str, port: int, timeout_s: float
    ) -> MemoryChannel | DialFailed:
        process = PROCESS.get()
        assert process is not None
        if not 1 <= port <= MAX_PORT or "\0" in host or not 0 < len(host) <= MAX_HOST:
            raise OverflowError(f"no address: {host[:MAX_HOST]!r} {port}")
        found = self._hub.listeners.get((host, port))
        if found is None:
            await asyncio.sleep(LATENCY_S)
            return DialFailed("refused", was_refused=True)
        owner, handler = found
        if self._hub.is_cut(process, owner):
            await asyncio.sleep(timeout_s)
            return DialFailed("timeout", was_refused=False)
        await asyncio.sleep(LATENCY_S)
        ours = MemoryChannel(self._hub, process)
        theirs = MemoryChannel(self._hub, owner)
        ours.peer, theirs.peer = theirs, ours
        self._hub.channels |= {ours: None, theirs: None}
        self._hub.call_in(owner, LATENCY_S, self._accept, theirs, handler)
        return ours

    def _accept(self, channel: MemoryChannel, handler: Handler) -> None:
        task = asyncio.ensure_future(self._handle(channel, handler))
        self._hub.handling.add(task)
        task.add_done_callback(self._hub.handling.discard)

    async def _handle(self, channel: MemoryChannel, handler: Handler) -> None:
        try:
            await handler(channel)
        finally:
            await channel.close()
