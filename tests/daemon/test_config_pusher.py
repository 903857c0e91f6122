"""Distribution of a configuration to agents, and the number of pushes it takes."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

import pytest

from almondspan_daemon.agent_directory import ConnectedAgent
from almondspan_daemon.config_pusher import RESEND_S, SPREAD_S, TICK_S, ConfigPusher
from almondspan_decisions.ids import AgentId, PlaceName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_standins.virtual_time import run_in_virtual_time
from almondspan_wire.channel import StreamChannel
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentHello, AgentStatus, ConfigPush

MESSAGE_DELAY_S = 0.01
"""Delay of a message between an entry and an agent."""


class Region:
    """The pushers of several entries, and agents that acknowledge by status."""

    def __init__(self, n_entries: int, n_agents: int) -> None:
        self.revisions = {AgentId(f"a{n}"): 0 for n in range(n_agents)}
        self.pushes: list[tuple[AgentId, int]] = []
        self.unresponsive: set[AgentId] = set()
        self.agents: dict[AgentId, ConnectedAgent] = {}
        self.pushers = [
            ConfigPusher(self.agents, self.post, random.Random(n))
            for n in range(n_entries)
        ]
        for agent_id in self.revisions:
            self.join(agent_id)

    def join(self, agent_id: AgentId) -> None:
        hello = AgentHello(agent_id, WorkerId(""), PlaceName("p"), Shape())
        channel = cast(StreamChannel, None)
        self.agents[agent_id] = ConnectedAgent(hello, channel, 0.0)
        for pusher in self.pushers:
            pusher.agent_joined(agent_id, hello)
        self.report_status(agent_id)

    def report_status(self, agent_id: AgentId) -> None:
        status = AgentStatus(1, Shape(), 0, False, self.revisions[agent_id])
        self.agents[agent_id].status = status
        for pusher in self.pushers:
            pusher.on_status(agent_id, status)

    def post(self, agent_id: AgentId, body: Message) -> bool:
        assert isinstance(body, ConfigPush)
        self.pushes.append((agent_id, body.revision))
        if agent_id not in self.unresponsive:
            loop = asyncio.get_running_loop()
            loop.call_later(
                MESSAGE_DELAY_S, self.accept_config, agent_id, body.revision
            )
        return True

    def accept_config(self, agent_id: AgentId, revision: int) -> None:
        self.revisions[agent_id] = max(self.revisions[agent_id], revision)
        self.report_status(agent_id)

    def set_config(self, revision: int) -> None:
        for pusher in self.pushers:
            pusher.set_config(ConfigPush(revision, b""))


def run(n_entries: int, n_agents: int, use: Callable[[Region], object]) -> None:
    async def main() -> None:
        region = Region(n_entries, n_agents)
        tasks = [asyncio.create_task(pusher.run()) for pusher in region.pushers]
        awaited = use(region)
        assert asyncio.iscoroutine(awaited)
        await awaited
        for task in tasks:
            task.cancel()

    run_in_virtual_time(main())


@pytest.mark.parametrize("n_entries", [1, 3])
def test_all_agents_get_a_revision_with_about_one_push_each(n_entries: int) -> None:
    async def use(region: Region) -> None:
        for revision in (1, 2):
            region.pushes.clear()
            region.set_config(revision)
            await asyncio.sleep(SPREAD_S + 2 * TICK_S)
            assert set(region.revisions.values()) == {revision}
            assert 100 <= len(region.pushes) <= 140
        region.pushes.clear()
        await asyncio.sleep(60.0)
        assert region.pushes == []

    run(n_entries, 100, use)


def test_joining_agent_gets_about_one_push() -> None:
    async def use(region: Region) -> None:
        region.set_config(1)
        await asyncio.sleep(10.0)
        region.pushes.clear()
        late = [AgentId(f"late-{n}") for n in range(50)]
        for agent_id in late:
            region.revisions[agent_id] = 0
            region.join(agent_id)
        await asyncio.sleep(SPREAD_S + 2 * TICK_S)
        assert all(region.revisions[agent_id] == 1 for agent_id in late)
        assert 50 <= len(region.pushes) <= 75

    run(3, 10, use)


def test_push_is_repeated_until_acknowledged() -> None:
    async def use(region: Region) -> None:
        region.unresponsive.add(AgentId("a0"))
        region.set_config(1)
        await asyncio.sleep(SPREAD_S + 5 * RESEND_S)
        n_pushes = len(region.pushes)
        assert n_pushes >= 4
        region.unresponsive.clear()
        await asyncio.sleep(2 * RESEND_S)
        assert region.revisions[AgentId("a0")] == 1
        assert len(region.pushes) <= n_pushes + 1

    run(1, 1, use)


def test_lower_revision_is_never_pushed() -> None:
    async def use(region: Region) -> None:
        region.set_config(5)
        await asyncio.sleep(10.0)
        region.set_config(4)
        region.revisions[AgentId("new")] = 0
        region.join(AgentId("new"))
        await asyncio.sleep(10.0)
        assert {revision for _, revision in region.pushes} == {5}
        assert set(region.revisions.values()) == {5}

    run(2, 3, use)


def test_reconnecting_agent_with_active_revision_gets_no_push() -> None:
    async def use(region: Region) -> None:
        region.set_config(1)
        await asyncio.sleep(10.0)
        region.pushes.clear()
        for agent_id in region.revisions:
            for pusher in region.pushers:
                pusher.agent_left(agent_id)
            region.join(agent_id)
        await asyncio.sleep(10.0)
        assert region.pushes == []

    run(3, 10, use)
