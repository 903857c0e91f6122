"""A shard host that was drained acquires shards again only after it is resumed."""

import asyncio
import random

from virtual_loop import VirtualLoop

from almondspan_decisions.ids import AgentId, RegionName, ShardId
from almondspan_standins.memory_store import MemoryStore
from almondspan_standins.store_core import StoreCore
from almondspan_tasks.host import ShardHost
from almondspan_tasks.options import OwnerOptions


class NullSender:
    def send(self, to, body):
        pass


async def find_no_agents(*_):
    return None


async def owned_after(steps):
    """Return how many shards a host owns after each of its `steps`."""
    loop = asyncio.get_running_loop()
    host = ShardHost(
        AgentId("a"),
        MemoryStore(StoreCore(loop.time)),
        NullSender(),
        find_no_agents,
        OwnerOptions(),
        random.Random(1),
        4,
        RegionName("viti"),
        lambda: 0.0,
    )
    await host.start()
    counts = []
    for step in steps:
        if step == "nominate":
            host.nominate(ShardId(0))
        if step == "drain":
            await host.drain()
        if step == "resume":
            host.resume()
        await asyncio.sleep(5)
        counts.append(len(host.owned()))
    await host.close()
    return counts


def test_resume():
    steps = ["nominate", "drain", "nominate", "resume", "nominate"]
    loop = VirtualLoop()
    try:
        assert loop.run_until_complete(owned_after(steps)) == [1, 0, 0, 0, 1]
    finally:
        loop.close()
