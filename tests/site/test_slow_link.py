"""What is larger than a link carries within the limit of a call still arrives."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from fake_platform import FakeStore

from almondspan_jobs.options import JobOptions
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_platform.store import RangeFound, Revision, WatchEvent
from almondspan_site.configuration import CONFIG_KEY, ConfigFollower, Configuration
from almondspan_site.kv_store import KvStore
from almondspan_standins.virtual_time import run_with_sockets

BYTES_PER_S = 100_000
N_ROUTES = 2_000


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


def large_configuration() -> bytes:
    routes = [
        {
            "name": f"r-{number:07}",
            "host": f"h{number:05}.example",
            "pathPrefix": f"/p{number:05}/",
            "backend": "service",
        }
        for number in range(N_ROUTES)
    ]
    return json.dumps({"version": 7, "routes": routes}).encode()


Body = Callable[[FakeStore, KvStore], Awaitable[None]]


def over_a_slow_link(body: Body) -> None:
    async def main() -> None:
        fake = FakeStore()
        await fake.start()
        fake.bytes_per_s = BYTES_PER_S
        client = KvStore(fake.address, 1_000.0)
        await client.start()
        try:
            await body(fake, client)
        finally:
            await client.close()
            await fake.close()

    run_with_sockets(main())


@pytest.mark.parametrize("is_stored_before", [True, False])
def test_configuration_that_outlasts_a_call_limit_is_applied(
    is_stored_before: bool,
) -> None:
    async def body(fake: FakeStore, client: KvStore) -> None:
        write = WriteGroup(writes=(Write(CONFIG_KEY, large_configuration()),))
        applied: list[Configuration] = []
        follower = ConfigFollower(client, JobOptions(), Log(), applied.append)
        if is_stored_before:
            fake.state.commit(write)
        await follower.start()
        if not is_stored_before:
            await asyncio.sleep(1.5)
            fake.state.commit(write)
        await asyncio.sleep(10.0)
        await follower.close()
        assert [item.version for item in applied] == [7]

    over_a_slow_link(body)


def test_jobs_that_outlast_a_call_limit_are_loaded_and_watched() -> None:
    async def body(fake: FakeStore, client: KvStore) -> None:
        before = fake.state.revision
        for number in range(6):
            write = Write(f"jobs/{number}", bytes(50_000))
            fake.state.commit(WriteGroup(writes=(write,)))
        found = await client.get_range("jobs/")
        assert isinstance(found, RangeFound)
        assert len(found.items) == 6
        event = await client.changes("jobs/", Revision(before), 0.1)
        assert isinstance(event, WatchEvent)
        assert len(event.changed) == 6

    over_a_slow_link(body)
