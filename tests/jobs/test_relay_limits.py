"""What a relay and its clients hold open."""

import asyncio
from collections import deque

from almondspan_jobs.network import DialFailed, Handler, Listener
from almondspan_jobs.records import AgentRecord
from almondspan_jobs.relay import dial_via_agent
from almondspan_wire.channel import ChannelClosed, CloseCause
from almondspan_wire.codec import Message


class OpenChannel:
    """A channel that is silent until it is closed."""

    def __init__(self) -> None:
        self.sent: deque[Message] = deque()
        self.is_closed = asyncio.Event()

    async def send(self, body: Message) -> bool:
        self.sent.append(body)
        return True

    def post(self, body: Message) -> bool:
        self.sent.append(body)
        return True

    async def receive(self) -> Message | ChannelClosed:
        await self.is_closed.wait()
        return ChannelClosed(CloseCause.CLOSED_HERE)

    async def close(self) -> None:
        self.is_closed.set()


class SlowNetwork:
    """Dials that are answered once the test sets `release`."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.dialled: list[OpenChannel] = []

    async def listen(self, host: str, port: int, handler: Handler) -> Listener:
        raise NotImplementedError

    async def dial(
        self, host: str, port: int, timeout_s: float
    ) -> OpenChannel | DialFailed:
        await self.release.wait()
        self.dialled.append(OpenChannel())
        return self.dialled[-1]


def test_cancelled_request_closes_its_channel_to_the_relay() -> None:
    """Guards against a channel that stays open, with a place at the relay, for good."""

    async def main() -> None:
        network = SlowNetwork()
        network.release.set()
        agents = [AgentRecord("agent", 1)]
        dialling = asyncio.create_task(dial_via_agent(network, agents, None, 60.0))
        while not network.dialled or not network.dialled[0].sent:
            await asyncio.sleep(0)
        dialling.cancel()
        await asyncio.gather(dialling, return_exceptions=True)
        assert dialling.cancelled()
        assert network.dialled[0].is_closed.is_set()

    asyncio.run(main())
