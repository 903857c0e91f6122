"""What a relay and its clients hold open."""

import asyncio
from collections import deque

from almondspan_jobs.messages import RelayReady, RelayRequest
from almondspan_jobs.network import DialFailed, Handler, Listener
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import AgentRecord
from almondspan_jobs.relay import MAX_RELAYED, Relay, dial_via_agent
from almondspan_wire.channel import ChannelClosed, CloseCause
from almondspan_wire.codec import Message

N_ROUNDS = 20


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


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


async def settle() -> None:
    """Let every task run until it waits for the test."""
    for _ in range(N_ROUNDS):
        await asyncio.sleep(0)


def test_requests_that_are_dialled_at_once_stay_within_the_limit() -> None:
    """Guards against a limit that is checked only before the dial."""

    async def main() -> None:
        network = SlowNetwork()
        relay = Relay(network, JobOptions(), Log())
        channels = [OpenChannel() for _ in range(2 * MAX_RELAYED)]
        serving = [
            asyncio.create_task(relay.serve(channel, RelayRequest("host", 1), None))
            for channel in channels
        ]
        await asyncio.sleep(0)
        network.release.set()
        await settle()
        joined = [channel for channel in channels if channel.sent]
        assert len(joined) == MAX_RELAYED
        assert all(isinstance(channel.sent[0], RelayReady) for channel in joined)
        for channel in channels:
            await channel.close()
        await asyncio.gather(*serving)
        again = OpenChannel()
        await again.close()
        await relay.serve(again, RelayRequest("host", 1), None)
        assert again.sent

    asyncio.run(main())


def test_cancelled_request_closes_its_channel_to_the_relay() -> None:
    """Guards against a channel that stays open, with a place at the relay, for good."""

    async def main() -> None:
        network = SlowNetwork()
        network.release.set()
        agents = [AgentRecord("agent", 1)]
        dialling = asyncio.create_task(dial_via_agent(network, agents, None, 60.0))
        await settle()
        assert network.dialled[0].sent
        dialling.cancel()
        await asyncio.gather(dialling, return_exceptions=True)
        assert dialling.cancelled()
        assert network.dialled[0].is_closed.is_set()

    asyncio.run(main())
