"""Requests to evacuate data centres are read with the configuration's calls."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from virtual_loop import VirtualLoop

from almondspan_jobs import clocks
from almondspan_jobs.evacuations import EvacuationRequests
from almondspan_jobs.options import JobOptions
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_platform.store import RangeFound, Revision, Unavailable, WatchEvent
from almondspan_site.configuration import CONFIG_KEY, ConfigFollower, Configuration
from almondspan_site.evacuation_keys import EVACUATION_PREFIX, EvacuationKeys
from almondspan_standins.memory_group_store import (
    GroupStoreClient,
    MemoryGroupStore,
    StoreFaults,
)

OPTIONS = replace(JobOptions(), evacuation_limit_s=5.0)


class Log:
    def __init__(self) -> None:
        self.events: list[str] = []

    def line(self, event: str, **fields: object) -> None:
        self.events.append(event)

    def n_reads(self) -> int:
        return self.events.count("config_read")


class CountedClient(GroupStoreClient):
    """A client that counts its calls."""

    n_reads = 0
    n_watches = 0

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        self.n_reads += 1
        return await super().get_range(prefix)

    async def changes(self, prefix: str, after: Revision, wait_s: float):  # type: ignore[no-untyped-def]
        self.n_watches += 1
        return await super().changes(prefix, after, wait_s)


class Rig:
    """A follower of the operators' keys, and what it has applied."""

    def __init__(self) -> None:
        self.store = MemoryGroupStore(random.Random(1))
        self.faults = StoreFaults()
        self.client = CountedClient(self.store, self.faults, random.Random(2))
        self.log = Log()
        self.is_owner = True
        self.requests = EvacuationRequests()
        self.versions: list[int] = []
        self.keys = EvacuationKeys(
            self.client, OPTIONS, self.log, self._set, lambda: self.is_owner
        )
        self.follower = ConfigFollower(
            self.client, OPTIONS, self.log, self._apply, self.keys
        )

    def _set(self, requests: EvacuationRequests) -> None:
        self.requests = requests

    def _apply(self, found: Configuration) -> None:
        self.versions.append(found.version)

    def put(self, key: str, value: bytes = b"{}") -> None:
        self.store.commit(WriteGroup(writes=(Write(key, value),)))

    def evacuate(self, name: str) -> None:
        self.put(EVACUATION_PREFIX + name)

    def withdraw(self, name: str) -> None:
        self.store.commit(WriteGroup(removals=(EVACUATION_PREFIX + name,)))

    def configure(self, version: int) -> None:
        self.put(CONFIG_KEY, json.dumps({"version": version, "routes": []}).encode())

    @property
    def places(self) -> list[str]:
        return list(self.requests.since_s)

    @property
    def age_s(self) -> float:
        return asyncio.get_running_loop().time() - self.requests.read_s


def run(body: Callable[[Rig], Awaitable[None]]) -> None:
    async def main() -> None:
        rig = Rig()
        await rig.follower.start()
        await rig.keys.start()
        await asyncio.sleep(0.1)
        await body(rig)
        await rig.follower.close()
        await rig.keys.close()

    loop = VirtualLoop()
    clocks.use_clocks(loop.time, lambda: 0.0)
    try:
        loop.run_until_complete(main())
    finally:
        clocks.use_clocks()
        loop.close()


@pytest.mark.parametrize(
    "name",
    [
        "dc-1",
        "dc 1",
        "Zürich/2",
        "%64c",
        "..",
        "x" * 200,
    ],
)
def test_request_comes_and_goes(name: str) -> None:
    """A name is taken as it is, since it is compared with what workers report."""

    async def body(rig: Rig) -> None:
        assert rig.places == []
        rig.evacuate(name)
        await asyncio.sleep(0.05)
        assert rig.places == [name]
        rig.withdraw(name)
        await asyncio.sleep(0.05)
        assert rig.places == []

    run(body)


@pytest.mark.parametrize("name", ["", "x" * 201])
def test_name_that_no_worker_has_is_left_out(name: str) -> None:
    async def body(rig: Rig) -> None:
        rig.evacuate(name)
        rig.evacuate("dc-1")
        rig.put("op/evacuated/dc-2")
        await asyncio.sleep(0.05)
        assert rig.places == ["dc-1"]
        rig.put("other")
        rig.store.drop_history()
        await asyncio.sleep(1.5)
        assert rig.log.n_reads() == 2
        assert rig.log.events.count("evacuation_unreadable") == 1
        assert rig.age_s < 2.1

    run(body)


@pytest.mark.parametrize("drops_history", [False, True])
def test_configuration_is_followed_as_before(drops_history: bool) -> None:
    """An older version changes nothing, also beside requests and lost watches."""

    async def body(rig: Rig) -> None:
        for version in (3, 2, 5):
            rig.configure(version)
            rig.evacuate(f"dc-{version}")
            if drops_history:
                rig.store.drop_history()
            await asyncio.sleep(0.3)
        rig.put("op/config2", b"{")
        rig.put("op/other", b"1")
        await asyncio.sleep(1.5)
        assert rig.versions == [3, 5]
        assert "config_unreadable" not in rig.log.events
        assert rig.places == ["dc-2", "dc-3", "dc-5"]

    run(body)


def test_request_that_was_withdrawn_while_the_history_was_lost_ends() -> None:
    async def body(rig: Rig) -> None:
        rig.evacuate("dc-1")
        rig.evacuate("dc-2")
        await asyncio.sleep(0.05)
        rig.store.watch_delay_s = 1.0
        rig.withdraw("dc-1")
        rig.store.drop_history()
        await asyncio.sleep(2.5)
        assert rig.places == ["dc-2"]

    run(body)


@pytest.mark.parametrize("is_owner", [False, True])
def test_ordinary_calls_are_those_for_the_configuration(is_owner: bool) -> None:
    """One watch a second and one read in all, as without evacuations."""

    async def body(rig: Rig) -> None:
        rig.is_owner = is_owner
        oldest_s = 0.0
        for _ in range(200):
            await asyncio.sleep(0.1)
            oldest_s = max(oldest_s, rig.age_s)
        assert rig.client.n_reads == 1
        assert rig.client.n_watches <= 21
        assert oldest_s < 2.2

    run(body)


@pytest.mark.parametrize(
    ("fault", "value"),
    [
        pytest.param("answer_s", 0.2, id="slow_store"),
        pytest.param("is_watch_silent", True, id="silent_watch"),
        pytest.param("watch_late_s", 1.5, id="late_watch"),
    ],
)
def test_owner_knows_the_requests_whatever_its_watch_does(
    fault: str, value: float
) -> None:
    """Its view never gets too old to place tasks, and a request is soon known."""

    async def body(rig: Rig) -> None:
        setattr(rig.faults, fault, value)
        oldest_s = 0.0
        for number in range(300):
            await asyncio.sleep(0.1)
            if number == 100:
                rig.evacuate("dc-1")
            if number == 128:
                assert rig.places == ["dc-1"]
            oldest_s = max(oldest_s, rig.age_s)
        assert oldest_s < OPTIONS.evacuation_limit_s * 0.55
        assert rig.client.n_reads < 25

    run(body)


def test_other_entries_read_nothing_beside_their_watch() -> None:
    async def body(rig: Rig) -> None:
        rig.is_owner = False
        rig.faults.watch_late_s = 1.0
        await asyncio.sleep(20.0)
        assert rig.client.n_reads == 1

    run(body)


@pytest.mark.parametrize("fault", ["is_silent", "is_refusing"])
def test_view_ages_in_an_outage(fault: str) -> None:
    async def body(rig: Rig) -> None:
        await asyncio.sleep(1.0)
        setattr(rig.faults, fault, True)
        await asyncio.sleep(6.0)
        assert rig.age_s > 4.0
        setattr(rig.faults, fault, False)
        await asyncio.sleep(3.0)
        assert rig.age_s < 2.2

    run(body)


def test_late_answer_of_a_watch_does_not_undo_a_later_read() -> None:
    """The watch tells that the request was withdrawn, before it was made again."""

    async def body(rig: Rig) -> None:
        rig.evacuate("dc-1")
        await asyncio.sleep(0.05)
        item = rig.store.get(EVACUATION_PREFIX + "dc-1")
        assert item is not None
        read = RangeFound((item,), Revision(item.revision + 5))
        rig.keys.on_read(read, 2_000.0)
        event = WatchEvent((), (item.key,), Revision(item.revision + 4))
        rig.keys.on_event(event, 3_000.0)
        assert rig.places == ["dc-1"]
        assert rig.requests.read_s == 2_000.0

    run(body)
