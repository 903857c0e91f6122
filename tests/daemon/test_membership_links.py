"""Links between agents and entries over loopback: connecting, loss, reconnection."""

import asyncio
import random

import pytest
from loopback_members import LOOPBACK, QUICK, WAIT_S, Agent, Entry, hello, wait_until

from almondspan_daemon import entry_links
from almondspan_daemon.entry_links import MAX_UNLISTED_FAILURES, HostPort
from almondspan_decisions.ids import AgentId, EntryId, PlaceName, ShardId
from almondspan_standins.tcp_proxy import TcpProxy
from almondspan_wire.channel import ChannelClosed, StreamChannel
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentStatus,
    EntryAddress,
    EntryHello,
    EntryList,
    Goodbye,
    NominateOwner,
)

AGENT = AgentId("a1")
MESSAGE = NominateOwner(ShardId(3))


def run(main: object) -> None:
    assert asyncio.iscoroutine(main)
    asyncio.run(main)


async def dial(port: int) -> StreamChannel:
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    channel = StreamChannel(reader, writer, QUICK)
    await channel.start()
    return channel


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(MESSAGE, id="another message"),
        pytest.param(Goodbye(), id="goodbye"),
        pytest.param(EntryHello(EntryId("e2")), id="an entry's hello"),
        pytest.param(None, id="heartbeats only"),
    ],
)
def test_agent_without_hello_is_rejected(first: Message | None) -> None:
    async def main() -> None:
        entry = Entry("e1", hello_timeout_s=0.2)
        await entry.start()
        channel = await dial(entry.port)
        if first is not None:
            await channel.send(first)
        async with asyncio.timeout(10.0):
            assert isinstance(await channel.receive(), ChannelClosed)
        assert entry.events == []
        assert entry.directory.n_refused == 1
        await channel.close()
        await entry.directory.close()

    run(main())


def test_reconnecting_agent_replaces_its_silent_connection() -> None:
    async def main() -> None:
        entry = Entry("e1")
        await entry.start()
        first, second = await dial(entry.port), await dial(entry.port)
        for channel in (first, second):
            await channel.send(hello())
            assert isinstance(await channel.receive(), EntryHello)
        await wait_until(lambda: entry.events == ["joined", "left", "joined"])
        assert isinstance(await first.receive(), ChannelClosed)
        assert entry.directory.post(AGENT, MESSAGE)
        assert await second.receive() == MESSAGE
        await first.close()
        await second.send(Goodbye())
        await wait_until(lambda: entry.events[3:] == ["left"])
        await second.close()
        await entry.directory.close()

    run(main())


def test_one_of_many_simultaneous_connections_wins() -> None:
    async def main() -> None:
        entry = Entry("e1")
        await entry.start()
        channels = [await dial(entry.port) for _ in range(8)]
        await asyncio.gather(*(channel.send(hello()) for channel in channels))
        await wait_until(lambda: entry.directory.n_joined == 8)
        await wait_until(lambda: entry.directory.n_left == 7)
        assert entry.events == ["joined", *(["left", "joined"] * 7)]
        assert entry.directory.post(AGENT, MESSAGE)
        for channel in channels:
            await channel.close()
        await wait_until(lambda: not entry.directory.agents)
        assert entry.events[-1] == "left"
        await entry.directory.close()

    run(main())


def test_entry_and_agent_announce_their_departure() -> None:
    async def main() -> None:
        agent, entry = Agent(), Entry("e1")
        await agent.links.start([await entry.start()])
        await wait_until(lambda: len(entry.statuses) > 0)
        await entry.directory.close()
        await wait_until(lambda: agent.events == ["joined e1", "left e1"])
        restarted = Entry("e1")
        await restarted.start(entry.port)
        await wait_until(lambda: restarted.events == ["joined"])
        await agent.links.close()
        await wait_until(lambda: restarted.events == ["joined", "left"])
        assert agent.links.entry_ids() == []
        await restarted.directory.close()

    run(main())


def test_silent_connection_is_redialled() -> None:
    async def main() -> None:
        agent, entry = Agent(), Entry("e1")
        await entry.start()
        proxy = TcpProxy(entry.port)
        await proxy.start()
        await agent.links.start([(LOOPBACK, proxy.port)])
        await wait_until(lambda: len(entry.statuses) > 0)
        proxy.silence()
        await wait_until(lambda: agent.events == ["joined e1", "left e1", "joined e1"])
        await wait_until(lambda: entry.events[-1] == "joined")
        assert await entry.directory.send(AGENT, MESSAGE)
        await wait_until(lambda: agent.messages == [MESSAGE])
        await agent.links.close()
        await proxy.close()
        await entry.directory.close()

    run(main())


def test_two_addresses_of_one_entry_share_one_link() -> None:
    """Guards against two addresses that replace each other's channel endlessly.

    While one address is linked, the other one is not dialled until the link ends.
    """

    async def main() -> None:
        agent, entry = Agent(), Entry("e1")
        direct = await entry.start()
        balancer = TcpProxy(entry.port)
        await balancer.start()
        await agent.links.start([direct, (LOOPBACK, balancer.port)])
        await wait_until(lambda: balancer.n_accepted > 0 and agent.links.n_dials >= 2)
        await wait_until(lambda: agent.links.entry_ids() == ["e1"])
        # Both addresses may be dialled at once in the beginning; then dialling stops.
        n_dials = 0
        async with asyncio.timeout(WAIT_S):
            while n_dials != agent.links.n_dials:
                n_dials = agent.links.n_dials
                entry.statuses.clear()
                await wait_until(lambda: len(entry.statuses) > 10)
        assert n_dials <= 8
        assert agent.links.entry_ids() == ["e1"]
        await agent.links.close()
        await balancer.close()
        await entry.directory.close()

    run(main())


def test_the_second_address_serves_when_the_first_fails() -> None:
    async def main() -> None:
        agent, entry = Agent(), Entry("e1")
        await entry.start()
        first, second = TcpProxy(entry.port), TcpProxy(entry.port)
        await first.start()
        await second.start()
        await agent.links.start([(LOOPBACK, first.port)])
        await wait_until(lambda: agent.links.entry_ids() == ["e1"])
        agent.links.add((LOOPBACK, second.port))
        await wait_until(lambda: second.n_accepted == 1)
        await first.close()
        await wait_until(lambda: agent.events == ["joined e1", "left e1", "joined e1"])
        assert second.n_accepted == 2
        await agent.links.close()
        await second.close()
        await entry.directory.close()

    run(main())


class HeldChannel(StreamChannel):
    """A channel whose `close` waits until the test sets `release`."""

    closing: list[StreamChannel]
    release: asyncio.Event

    async def close(self) -> None:
        self.closing.append(self)
        await self.release.wait()
        await super().close()


def test_link_that_ends_while_a_duplicate_closes_is_not_missed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a duplicate that is dialled again only at `DUPLICATE_RETRY_S`."""

    async def main() -> None:
        monkeypatch.setattr(HeldChannel, "closing", [], raising=False)
        monkeypatch.setattr(HeldChannel, "release", asyncio.Event(), raising=False)
        monkeypatch.setattr(entry_links, "StreamChannel", HeldChannel)
        agent, entry = Agent(), Entry("e1")
        await entry.start()
        first, second = TcpProxy(entry.port), TcpProxy(entry.port)
        await first.start()
        await second.start()
        await agent.links.start([(LOOPBACK, first.port)])
        await wait_until(lambda: agent.events == ["joined e1"])
        agent.links.add((LOOPBACK, second.port))
        await wait_until(lambda: len(HeldChannel.closing) == 1)
        await first.close()
        await wait_until(lambda: agent.events == ["joined e1", "left e1"])
        HeldChannel.release.set()
        await wait_until(lambda: agent.events == ["joined e1", "left e1", "joined e1"])
        assert second.n_accepted == 2
        await agent.links.close()
        await second.close()
        await entry.directory.close()

    run(main())


def entry_list(*entries: Entry) -> EntryList:
    return EntryList(
        tuple(
            EntryAddress(EntryId(f"e{n}"), LOOPBACK, entry.port, PlaceName("p1"))
            for n, entry in enumerate(entries)
        )
    )


def test_entry_list_adds_entries_and_drops_unlisted_ones() -> None:
    async def main() -> None:
        agent, first, second = Agent(), Entry("e1"), Entry("e2")
        await second.start()
        first.first_message = entry_list(second)
        await agent.links.start([await first.start()])
        await wait_until(lambda: sorted(agent.links.entry_ids()) == ["e1", "e2"])
        agent.links.replace_list(entry_list(first))
        assert sorted(agent.links.entry_ids()) == ["e1", "e2"]
        await second.directory.close()
        n_dials = agent.links.n_dials
        await wait_until(lambda: len(agent.links.addresses()) == 1)
        assert agent.links.n_dials - n_dials <= MAX_UNLISTED_FAILURES
        assert agent.links.entry_ids() == ["e1"]
        await agent.links.close()
        await first.directory.close()

    run(main())


def test_configured_address_is_never_dropped() -> None:
    async def main() -> None:
        agent, entry = Agent(), Entry("e1")
        address = await entry.start()
        await entry.directory.close()
        await agent.links.start([address])
        agent.links.replace_list(EntryList(()))
        await wait_until(lambda: agent.links.n_dials > MAX_UNLISTED_FAILURES)
        restarted = Entry("e1")
        await restarted.start(address[1])
        await wait_until(lambda: agent.links.entry_ids() == ["e1"])
        await agent.links.close()
        await restarted.directory.close()

    run(main())


def test_failing_message_handler_costs_one_connection() -> None:
    async def main() -> None:
        agent, entry = Agent(), Entry("e1")
        agent.n_failures = 1
        await agent.links.start([await entry.start()])
        await wait_until(lambda: AGENT in entry.directory.agents)
        entry.directory.post(AGENT, MESSAGE)
        await wait_until(lambda: agent.events == ["joined e1", "left e1", "joined e1"])
        assert agent.supervisor.n_restarts == 1
        await wait_until(lambda: entry.events[-1] == "joined")
        entry.directory.post(AGENT, MESSAGE)
        await wait_until(lambda: agent.messages == [MESSAGE])
        await agent.links.close()
        await entry.directory.close()

    run(main())


def test_statuses_continue_after_one_fails() -> None:
    async def main() -> None:
        agent, entry = Agent(), Entry("e1")
        await agent.links.start([await entry.start()])
        await wait_until(lambda: len(entry.statuses) > 1)
        original_status = agent.links._status
        n_failed = 0

        def fail() -> AgentStatus:
            nonlocal n_failed
            n_failed += 1
            agent.links._status = original_status
            raise KeyError("component not started")

        agent.links._status = fail
        await wait_until(lambda: n_failed == 1)
        n_statuses = len(entry.statuses)
        await wait_until(lambda: len(entry.statuses) > n_statuses + 2)
        await agent.links.close()
        await entry.directory.close()

    run(main())


def test_peer_that_only_sends_heartbeats_times_out() -> None:
    async def main() -> None:
        n_accepted = 0

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal n_accepted
            n_accepted += 1
            channel = StreamChannel(reader, writer, QUICK)
            await channel.start()
            while not isinstance(await channel.receive(), ChannelClosed):
                pass
            await channel.close()

        server = await asyncio.start_server(accept, LOOPBACK, 0)
        agent = Agent(hello_timeout_s=0.2)
        await agent.links.start([server.sockets[0].getsockname()])
        await wait_until(lambda: n_accepted >= 3)
        assert agent.events == []
        await agent.links.close()
        server.close()

    run(main())


def test_routed_message_uses_another_entry_when_one_drops_it() -> None:
    async def main() -> None:
        agent, entries = Agent(), [Entry("e1"), Entry("e2")]
        addresses = [await entry.start() for entry in entries]
        await agent.links.start(addresses)
        await wait_until(lambda: len(agent.links.entry_ids()) == 2)
        agent.links._channels[EntryId("e1")].post = lambda body: False  # type: ignore[method-assign]
        agent.links._rng = random.Random(3)
        assert all(agent.links.post_routed("a9", MESSAGE) for _ in range(20))
        await agent.links.close()
        for entry in entries:
            await entry.directory.close()

    run(main())


@pytest.mark.parametrize(
    "odd",
    [
        pytest.param((LOOPBACK, 65_536), id="port out of range"),
        pytest.param((LOOPBACK, 2**64 - 1), id="port of 64 bits"),
        pytest.param(("a\0b", 1), id="host with a null character"),
        pytest.param(("..", 1), id="host with an empty label"),
    ],
)
def test_odd_address_ends_no_dial_loop(odd: HostPort) -> None:
    """Guards against restarts of the task, which would never drop the address."""

    async def main() -> None:
        entry, agent = Entry("e1"), Agent()
        await agent.links.start([await entry.start()])
        agent.links.add(odd)
        agent.links.replace_list(EntryList(()))
        await wait_until(lambda: odd not in agent.links.addresses())
        assert agent.supervisor.n_restarts == 0
        assert agent.links.entry_ids() == ["e1"]
        await agent.links.close()
        await entry.directory.close()

    run(main())
