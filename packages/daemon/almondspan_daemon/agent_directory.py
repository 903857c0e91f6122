"""The entry's half of membership: which agents are connected, and what they say.

One task serves each connection:

1. The agent sends `AgentHello`; the entry answers `EntryHello`, the entry list and
   the configuration.
2. Every later message is offered to the listeners, in their order, until one
   takes it. `AgentStatus` goes to all of them.
3. When the channel ends, by silence or by the peer, the listeners hear that the
   agent left. An agent that connects again replaces its earlier connection: the
   old one may be silent without an end. An agent that says that its channel to
   this entry is open came by a second address, and is answered but not joined.
"""

import asyncio
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from almondspan_decisions.ids import AgentId, EntryId
from almondspan_wire.channel import ChannelClosed, ChannelOptions, StreamChannel
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentHello, AgentStatus, EntryHello, Goodbye

__all__ = ["AgentDirectory", "AgentListener", "ConnectedAgent"]

HELLO_TIMEOUT_S: Final = 5.0

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class ConnectedAgent:
    """An agent with an open channel; ``status`` is its latest one."""

    hello: AgentHello
    channel: StreamChannel
    joined_s: float
    status: AgentStatus | None = None


class AgentListener(Protocol):
    """A part of the entry that follows the agents."""

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Note that an agent is connected."""
        ...

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Note an agent's status."""
        ...

    def agent_left(self, agent_id: AgentId) -> None:
        """Note that an agent's channel has ended."""
        ...

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Take a message; False leaves it to the next listener."""
        ...


class AgentDirectory:
    """All agents connected to this entry."""

    def __init__(
        self,
        entry_id: EntryId,
        channel_options: ChannelOptions,
        on_connected: Callable[[StreamChannel], None],
        hello_timeout_s: float = HELLO_TIMEOUT_S,
    ) -> None:
        self._entry_id = entry_id
        self._channel_options = channel_options
        self._on_connected = on_connected
        self._hello_timeout_s = hello_timeout_s
        self._listeners: list[AgentListener] = []
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self.agents: dict[AgentId, ConnectedAgent] = {}
        self.n_joined = 0
        self.n_left = 0
        self.n_refused = 0
        self.n_unexpected_messages = 0

    def add_listener(self, listener: AgentListener) -> None:
        """Add a listener; listeners are offered messages in this order."""
        self._listeners.append(listener)

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Listen for agents; returns the port."""
        self._server = await asyncio.start_server(self._accept, host, port, ssl=tls)
        listening: tuple[str, int] = self._server.sockets[0].getsockname()
        return listening[1]

    async def close(self) -> None:
        """Tell the agents goodbye and close every channel."""
        if self._server is not None:
            self._server.close()
        for agent in list(self.agents.values()):
            agent.channel.post(Goodbye())
            await agent.channel.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def send(self, agent_id: AgentId, body: Message) -> bool:
        """Send a message, waiting while the channel is full."""
        agent = self.agents.get(agent_id)
        return agent is not None and await agent.channel.send(body)

    def post(self, agent_id: AgentId, body: Message) -> bool:
        """Send a message without waiting; False when it is dropped."""
        agent = self.agents.get(agent_id)
        return agent is not None and agent.channel.post(body)

    def post_all(self, body: Message) -> None:
        """Send a message to every agent without waiting."""
        for agent in self.agents.values():
            agent.channel.post(body)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        channel = StreamChannel(reader, writer, self._channel_options)
        await channel.start()
        try:
            await self._serve_agent(channel)
        except asyncio.CancelledError:
            # The server cancels its connections when the entry closes.
            pass
        finally:
            await channel.close()
            self._connection_tasks.discard(task)

    async def _serve_agent(self, channel: StreamChannel) -> None:
        hello = await self._receive_hello(channel)
        if hello is None:
            return
        await channel.send(EntryHello(self._entry_id))
        if self._entry_id in hello.linked_entries:
            # The agent came by a second address; its first channel stays.
            return
        await self._register(hello, channel)
        self._on_connected(channel)
        try:
            await self._read_messages(hello.agent_id, channel)
        finally:
            self._unregister(hello.agent_id, channel)

    async def _receive_hello(self, channel: StreamChannel) -> AgentHello | None:
        """Return the hello; None when another message or none came in time."""
        try:
            async with asyncio.timeout(self._hello_timeout_s):
                hello = await channel.receive()
        except TimeoutError:
            hello = None
        if isinstance(hello, AgentHello):
            return hello
        self.n_refused += 1
        return None

    async def _register(self, hello: AgentHello, channel: StreamChannel) -> None:
        old = self.agents.get(hello.agent_id)
        if old is not None:
            self._unregister(hello.agent_id, old.channel)
        now_s = asyncio.get_running_loop().time()
        self.agents[hello.agent_id] = ConnectedAgent(hello, channel, now_s)
        self.n_joined += 1
        _log.info("agent joined", extra={"agent": hello.agent_id})
        for listener in self._listeners:
            listener.agent_joined(hello.agent_id, hello)
        # The new channel counts before the first wait, so that the later one of
        # two that join at the same time stays.
        if old is not None:
            await old.channel.close()

    async def _read_messages(self, agent_id: AgentId, channel: StreamChannel) -> None:
        while True:
            body = await channel.receive()
            if isinstance(body, ChannelClosed):
                _log.info(
                    "agent left",
                    extra={"agent": agent_id, "cause": body.cause.value},
                )
                return
            if isinstance(body, Goodbye):
                return
            agent = self.agents.get(agent_id)
            if agent is None or agent.channel is not channel:
                return
            self._dispatch(agent_id, body)

    def _dispatch(self, agent_id: AgentId, body: Message) -> None:
        if isinstance(body, AgentStatus):
            self.agents[agent_id].status = body
            for listener in self._listeners:
                listener.on_status(agent_id, body)
            return
        for listener in self._listeners:
            if listener.on_message(agent_id, body):
                return
        self.n_unexpected_messages += 1

    def _unregister(self, agent_id: AgentId, channel: StreamChannel) -> None:
        agent = self.agents.get(agent_id)
        if agent is None or agent.channel is not channel:
            return
        del self.agents[agent_id]
        self.n_left += 1
        for listener in self._listeners:
            listener.agent_left(agent_id)
