"""Fleet on loopback that the scenarios of a feature share."""

import asyncio
import hashlib
import re
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2] / "misc"))

import aiohttp
from local_fleet import FleetShape, LocalFleet

from almondspan import Plan
from almondspan.answers import Shards
from almondspan.client import AdminClient, Connection
from almondspan_standins.bodies import clip_body

STEP_TIMEOUT_S = 90.0
POLL_S = 0.1
CALL_TIMEOUT_MS = "20000"


class FleetLoop:
    """A fleet whose event loop runs in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.fleet = LocalFleet(FleetShape(n_entries=2, n_nodes=3, n_shards=8))
        self.session = None
        self.plan = make_plan(self.fleet.token)
        self.calls = []
        self.revision = 0
        self.run(self.start())

    def run(self, main):
        waiting = asyncio.wait_for(main, STEP_TIMEOUT_S)
        return asyncio.run_coroutine_threadsafe(waiting, self.loop).result()

    async def start(self):
        self.session = aiohttp.ClientSession()
        try:
            await self.fleet.start()
            await poll_until(self.all_owned, 30.0)
            await self.call(0, "first")
        except BaseException:
            await self.end()
            raise

    async def end(self):
        await self.session.close()
        await self.fleet.close()

    def close(self):
        self.run(self.end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    async def get(self, entry, path, answer):
        async with self.admin(entry) as client:
            return await client.get(path, answer)

    def admin(self, entry=None):
        urls = self.fleet.admin_urls
        return AdminSession(urls if entry is None else [urls[entry]], self.fleet.token)

    async def all_owned(self, excluded_prefix="nobody"):
        shards = await self.get(1, "/v1/fleet/shards", Shards)
        if not isinstance(shards, Shards):
            return False
        owners = [shard.owner for shard in shards.shards]
        return all(owner and not owner.startswith(excluded_prefix) for owner in owners)

    async def call(self, entry, clip):
        url = f"{self.fleet.call_urls[entry]}/call/clips/clip/{clip}"
        headers = {"X-Timeout-Ms": CALL_TIMEOUT_MS}
        async with self.session.get(url, headers=headers) as response:
            body = await response.read()
        assert response.status == 200, (response.status, body[:300])
        assert body == clip_body(clip)

    async def set_faults(self, urls, faults):
        for url in urls:
            async with self.session.post(f"{url}/debug/faults", json=faults) as answer:
                assert answer.status == 200, await answer.text()

    async def debug(self, url):
        async with self.session.get(f"{url}/debug") as answer:
            return await answer.json()

    async def n_in_flight(self):
        """Return the calls in progress according to the entries' metrics."""
        n_calls = 0.0
        for url in self.fleet.admin_urls:
            async with self.session.get(f"{url}/metrics") as answer:
                text = await answer.text()
            found = re.search(
                r"^entry_calls_in_flight\{.*\} (\S+)$", text, re.MULTILINE
            )
            n_calls += float(found[1])
        return n_calls


class AdminSession:
    """Context manager of a client of the administration API."""

    def __init__(self, urls, token):
        self.client = AdminClient(Connection(tuple(urls), token))

    async def __aenter__(self):
        await self.client.start()
        return self.client

    async def __aexit__(self, *error):
        await self.client.close()


async def poll_until(holds, within_s):
    """Poll `holds` until it returns a true value, and return that value."""
    async with asyncio.timeout(within_s):
        while not (found := await holds()):  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
        return found


def make_plan(token):
    """Declare the service, a team of one operator and a single job."""
    plan = Plan()
    plan.service("clips", objective_latency_ms=250.0)
    digest = hashlib.sha256(token.encode()).hexdigest()
    plan.team("archive", quota_share=0.8, token_sha256=digest, operator=True)
    plan.task_class("validate", cpu_millicores=500, memory_mb=256, declared_run_s=0.1)
    plan.job("job-1", "archive", ["validate"])
    return plan


class SharedFleet:
    """The fleet of the running feature, if it has one."""

    loop = None

    @classmethod
    def get(cls):
        """Return the fleet; the first call starts it."""
        if cls.loop is None:
            cls.loop = FleetLoop()
        return cls.loop

    @classmethod
    def close(cls):
        """End the fleet's processes."""
        if cls.loop is not None:
            cls.loop.close()
            cls.loop = None
