"""An `AgentDirectory` and `EntryLinks` on loopback that record their notifications."""

import asyncio
import random
import ssl
from collections.abc import Callable

from almondspan_daemon.agent_directory import AgentDirectory
from almondspan_daemon.entry_links import EntryLinks, HostPort
from almondspan_daemon.supervisor import Supervisor
from almondspan_decisions.ids import AgentId, EntryId, PlaceName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_wire.channel import ChannelOptions, StreamChannel
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentHello, AgentStatus

LOOPBACK = "127.0.0.1"
QUICK = ChannelOptions(heartbeat_s=0.05, silence_s=0.5, send_timeout_s=0.5)
WAIT_S = 15.0


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until `condition` holds; fail after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def hello(name: str = "a1") -> AgentHello:
    return AgentHello(AgentId(name), WorkerId("w1"), PlaceName("p1"), Shape(1000, 100))


class Entry:
    """An entry's directory with a listener that records its notifications."""

    def __init__(self, name: str, hello_timeout_s: float = 5.0) -> None:
        self.directory = AgentDirectory(
            EntryId(name), QUICK, self.on_connected, hello_timeout_s
        )
        self.directory.add_listener(self)
        self.events: list[str] = []
        self.statuses: list[AgentStatus] = []
        self.first_message: Message | None = None
        self.port = 0

    def on_connected(self, channel: StreamChannel) -> None:
        if self.first_message is not None:
            channel.post(self.first_message)

    async def start(self, port: int = 0, tls: ssl.SSLContext | None = None) -> HostPort:
        self.port = await self.directory.start(LOOPBACK, port, tls)
        return LOOPBACK, self.port

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        self.events.append("joined")

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        self.statuses.append(status)

    def agent_left(self, agent_id: AgentId) -> None:
        self.events.append("left")

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        return False


class Agent:
    """An agent's links with a listener that records its notifications.

    The first ``n_failures`` messages raise an error in the listener.
    """

    def __init__(
        self,
        hello_timeout_s: float = 5.0,
        tls: Callable[[], ssl.SSLContext | None] = lambda: None,
    ) -> None:
        self.supervisor = Supervisor("agent", random.Random(1))
        self.links = EntryLinks(
            hello,
            self.status,
            QUICK,
            tls,
            random.Random(2),
            self.supervisor.child("links"),
            status_interval_s=0.1,
            hello_timeout_s=hello_timeout_s,
        )
        self.links.set_listener(self)
        self.events: list[str] = []
        self.messages: list[Message] = []
        self.n_failures = 0

    def status(self) -> AgentStatus:
        return AgentStatus(len(self.events), Shape(), 0, False, 0)

    def entry_joined(self, entry_id: EntryId) -> None:
        self.events.append(f"joined {entry_id}")

    def entry_left(self, entry_id: EntryId) -> None:
        self.events.append(f"left {entry_id}")

    def on_entry_message(self, entry_id: EntryId, body: Message) -> None:
        if self.n_failures:
            self.n_failures -= 1
            raise ValueError("unexpected message")
        self.messages.append(body)
