"""The entry's side of membership: the connected agents and their statuses.

One task serves each connection:

1. The agent sends `AgentHello`; the entry answers with `EntryHello` and the list of
   entries.
2. Each later message is offered to the listeners in order until one handles it.
   `AgentStatus` goes to all of them.
3. When the channel closes, by silence or by the peer, the listeners are notified that
   the agent left.

An agent that connects again replaces its earlier connection, which may be dead
without having been closed. An agent whose hello names this entry as already linked
has reached it through a second address: it gets an answer but is not registered.
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
    """An agent with an open channel; ``status`` is None until the first one."""

    hello: AgentHello
    channel: StreamChannel
    joined_s: float
    status: AgentStatus | None = None


class AgentListener(Protocol):
    """A component of the entry that is notified of agents and their messages."""

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Handle a new connection of an agent."""
        ...

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Handle a status of an agent."""
        ...

    def agent_left(self, agent_id: AgentId) -> None:
        """Handle the end of an agent's channel."""
        ...

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Handle a message; return False to leave it to the next listener."""
        ...


class AgentDirectory:
    """All agents connected to this entry.

    ``on_connected`` is called with the channel of each agent that has joined.
    """

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
        """Add a listener; messages are offered in the order of the additions."""
        self._listeners.append(listener)

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Listen for agents and return the port."""
        self._server = await asyncio.start_server(self._accept, host, port, ssl=tls)
        listening: tuple[str, int] = self._server.sockets[0].getsockname()
        return listening[1]

    async def close(self) -> None:
        """Send `Goodbye` to every agent and close the channels."""
        if self._server is not None:
            self._server.close()
        for agent in list(self.agents.values()):
            agent.channel.post(Goodbye())
            await agent.channel.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def send(self, agent_id: AgentId, body: Message) -> bool:
        """Send a message, waiting while the channel's buffer is full."""
        agent = self.agents.get(agent_id)
        return agent is not None and await agent.channel.send(body)

    def post(self, agent_id: AgentId, body: Message) -> bool:
        """Send a message without waiting; return False if it is dropped."""
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
            # Connections are cancelled when the entry closes.
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
            # The agent used a second address; its existing channel stays open.
            return
        await self._register(hello, channel)
        self._on_connected(channel)
        try:
            await self._read_messages(hello.agent_id, channel)
        finally:
            self._unregister(hello.agent_id, channel)

    async def _receive_hello(self, channel: StreamChannel) -> AgentHello | None:
        """Return the hello, or None if the first message is late or another one."""
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
        # The new channel is registered before the first await, so that the later of
        # two simultaneous connections wins.
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
