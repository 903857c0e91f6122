"""The runner stand-in: its response bodies, limits and faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from almondspan_standins.bodies import bill_body, clip_body
from almondspan_standins.runner_app import RunnerApp, RunnerFaults, RunnerOptions
from almondspan_standins.serving import HttpServer

QUICK = RunnerOptions(median_ms=1.0, straggler_share=0.0)
Body = Callable[[RunnerApp, str, aiohttp.ClientSession], Awaitable[None]]


def run(body: Body, options: RunnerOptions = QUICK) -> None:
    async def main() -> None:
        runner = RunnerApp(options, random.Random(1))
        server = HttpServer(runner.app, shutdown_timeout_s=0.02)
        runner.n_open_connections = lambda: server.n_connections
        await server.start()
        connector = aiohttp.TCPConnector(limit=0)
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                async with asyncio.timeout(20.0):
                    await body(runner, server.address, session)
        finally:
            await server.close()

    asyncio.run(main())


async def get(session: aiohttp.ClientSession, url: str) -> tuple[int, bytes]:
    async with session.get(url) as response:
        return response.status, await response.read()


async def bill(session: aiohttp.ClientSession, url: str, request_id: str) -> int:
    headers = {"X-Request-Id": request_id} if request_id else {}
    async with session.post(url, headers=headers) as response:
        if response.status == 200:
            assert await response.read() == bill_body("b", request_id)
        return response.status


def test_clip_depends_only_on_its_id() -> None:
    bodies = {clip_body(f"clip-{n}") for n in range(200)}
    assert len(bodies) == 200
    assert all(1024 <= len(one) < 16 * 1024 for one in bodies)
    assert clip_body("clip-0") == clip_body("clip-0")


def test_clip_is_served_completely() -> None:
    async def body(
        runner: RunnerApp, address: str, session: aiohttp.ClientSession
    ) -> None:
        for clip_id in ("a", "b", "a"):
            assert await get(session, f"{address}/clip/{clip_id}") == (
                200,
                clip_body(clip_id),
            )
        assert runner.describe().n_served == 3

    run(body)


def test_bills_are_recorded_and_repeats_counted() -> None:
    async def body(
        runner: RunnerApp, address: str, session: aiohttp.ClientSession
    ) -> None:
        url = f"{address}/bill/b"
        statuses = [await bill(session, url, one) for one in ("r1", "r2", "r1", "")]
        assert statuses == [200, 200, 200, 400]
        seen = runner.describe()
        assert seen.ledger == ("r1", "r2", "r1")
        assert seen.n_bills_repeated == 1

    run(body)


@pytest.mark.parametrize(
    ("n_calls", "n_over_slots"),
    [
        pytest.param(2, 0, id="within"),
        pytest.param(3, 1, id="one-over"),
        pytest.param(9, 7, id="many-over"),
    ],
)
def test_requests_beyond_the_slots_are_refused(n_calls: int, n_over_slots: int) -> None:
    async def body(
        runner: RunnerApp, address: str, session: aiohttp.ClientSession
    ) -> None:
        # While the runner is frozen, only refusals are answered.
        runner.set_faults(RunnerFaults(freeze=True))
        urls = [f"{address}/clip/{n}" for n in range(n_calls)]
        calls = [asyncio.ensure_future(get(session, url)) for url in urls]
        answers = asyncio.as_completed(calls)
        refused = [(await next(answers))[0] for _ in range(n_over_slots)]
        runner.set_faults(RunnerFaults())
        served = [(await one)[0] for one in answers]
        assert (refused, served) == ([503] * n_over_slots, [200] * 2)
        assert runner.describe().n_over_slots == n_over_slots
        assert runner.describe().n_max_busy == 2

    run(body, RunnerOptions(n_slots=2, median_ms=1.0))


@pytest.mark.parametrize(
    ("n_open", "status", "n_over_connections"),
    [
        pytest.param(64, 200, 0, id="full"),
        pytest.param(65, 503, 1, id="one-over"),
    ],
)
def test_connections_beyond_the_limit_are_refused(
    n_open: int, status: int, n_over_connections: int
) -> None:
    async def body(
        runner: RunnerApp, address: str, session: aiohttp.ClientSession
    ) -> None:
        runner.n_open_connections = lambda: n_open
        assert (await get(session, f"{address}/clip/a"))[0] == status
        assert runner.describe().n_over_connections == n_over_connections

    run(body)


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        pytest.param(RunnerFaults(error_share=1.0), 500, id="errors"),
        pytest.param(RunnerFaults(outage=True), 0, id="outage"),
        pytest.param(RunnerFaults(lose_answer_share=1.0), 0, id="answers-lost"),
    ],
)
def test_faults(faults: RunnerFaults, expected: int) -> None:
    async def body(
        runner: RunnerApp, address: str, session: aiohttp.ClientSession
    ) -> None:
        runner.set_faults(faults)
        try:
            status = await bill(session, f"{address}/bill/b", "r1")
        except aiohttp.ClientError:
            status = 0
        assert status == expected
        n_billed = 1 if faults.lose_answer_share else 0
        assert runner.describe().n_bills == n_billed

    run(body)


def test_faults_are_set_over_http() -> None:
    async def body(
        runner: RunnerApp, address: str, session: aiohttp.ClientSession
    ) -> None:
        url = f"{address}/debug/faults"
        async with session.post(url, json={"error_share": 0.5}) as response:
            assert response.status == 200
        assert runner.faults == RunnerFaults(error_share=0.5)
        async with session.post(url, json={"error_share": "x"}) as response:
            assert response.status == 400
        assert runner.faults == RunnerFaults(error_share=0.5)

    run(body)


def test_share_of_stragglers() -> None:
    async def main() -> list[float]:
        options = RunnerOptions(median_ms=10.0, sigma=0.1)
        runner = RunnerApp(options, random.Random(7))
        return [runner.next_latency_s() for _ in range(4000)]

    latencies_s = sorted(asyncio.run(main()))
    assert 0.009 < latencies_s[2000] < 0.011
    n_stragglers = sum(one > 0.04 for one in latencies_s)
    assert 150 < n_stragglers < 250
