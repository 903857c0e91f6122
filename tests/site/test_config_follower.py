"""Only newer versions of the configuration are applied, also after a lost watch."""

import asyncio
import json
import random

import pytest
from virtual_loop import VirtualLoop

from almondspan_jobs.options import JobOptions
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_site.configuration import CONFIG_KEY, ConfigFollower, Configuration
from almondspan_standins.memory_group_store import MemoryGroupStore, StoreFaults


class Log:
    def __init__(self) -> None:
        self.events: list[str] = []

    def line(self, event: str, **fields: object) -> None:
        self.events.append(event)

    def n_reads(self) -> int:
        return self.events.count("config_read")


def config(version: int) -> bytes:
    return json.dumps({"version": version, "routes": []}).encode()


def put(store: MemoryGroupStore, data: bytes) -> None:
    store.commit(WriteGroup(writes=(Write(CONFIG_KEY, data),)))


async def follow(values: list[bytes], log: Log, drops_history: bool) -> list[int]:
    """Write values one after another; return the versions that were applied."""
    store = MemoryGroupStore(random.Random(1))
    applied: list[Configuration] = []
    follower = ConfigFollower(
        store.client(StoreFaults(answer_s=0.0)), JobOptions(), log, applied.append
    )
    await follower.start()
    for data in values:
        put(store, data)
        if drops_history:
            store.drop_history()
        await asyncio.sleep(0.3)
    await follower.close()
    return [item.version for item in applied]


@pytest.mark.parametrize("drops_history", [False, True])
@pytest.mark.parametrize(
    ("values", "versions"),
    [
        pytest.param([config(2), config(5)], [2, 5], id="rising"),
        pytest.param([config(5), config(2)], [5], id="never_back"),
        pytest.param([config(3), b"{", config(4)], [3, 4], id="unreadable_between"),
        pytest.param([config(3), config(3)], [3], id="same_again"),
    ],
)
def test_applied_versions(
    values: list[bytes], versions: list[int], drops_history: bool
) -> None:
    log = Log()
    loop = VirtualLoop()
    found = loop.run_until_complete(follow(values, log, drops_history))
    loop.close()
    assert found == versions
    assert ("config_unreadable" in log.events) is (b"{" in values)


@pytest.mark.parametrize(
    ("n_other_changes", "n_drops", "n_reads"),
    [
        pytest.param(0, 1, 2, id="nothing_since"),
        pytest.param(5, 1, 2, id="other_keys_since"),
        pytest.param(5, 3, 4, id="dropped_again"),
    ],
)
def test_lost_history_costs_one_read_and_no_loop(
    n_other_changes: int, n_drops: int, n_reads: int
) -> None:
    async def body(log: Log) -> None:
        store = MemoryGroupStore(random.Random(1))
        put(store, config(2))
        client = store.client(StoreFaults(answer_s=0.0))
        follower = ConfigFollower(client, JobOptions(), log, lambda found: None)
        await follower.start()
        for _ in range(n_drops):
            await asyncio.sleep(5.0)
            for number in range(n_other_changes):
                store.commit(WriteGroup(writes=(Write(f"other/{number}", b"1"),)))
            store.commit(WriteGroup(writes=(Write("other", b"1"),)))
            store.drop_history()
        await asyncio.sleep(5.0)
        await follower.close()

    log = Log()
    loop = VirtualLoop()
    loop.run_until_complete(body(log))
    loop.close()
    assert log.n_reads() == n_reads
