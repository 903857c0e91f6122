"""The router with failing, slow, new and flapping runners, and under bursts."""

import asyncio

import pytest
from service_path import FakeRunner, ServicePath, echo
from virtual_clock import run_virtual

from almondspan_decisions.fleet import FleetConfig, PolicyConfig
from almondspan_decisions.ids import AgentId, CallerId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_service.router_options import RouterOptions
from almondspan_service.runner_client import RunnerFault

A = AgentId("a")
NAMES = ["a", "b", "c", "d"]


def echo_after(run_s):
    """Return a handler that echoes after `run_s()` seconds."""

    async def serve(request):
        await asyncio.sleep(run_s())
        return await echo(request)

    return serve


async def send_calls(
    path: ServicePath, n_calls: int, interval_s: float = 0.01, **changes
):
    """Start calls at a constant rate; returns their outcomes."""
    calls = []
    for n in range(n_calls):
        spec = path.spec(f"r{n}", **changes)
        calls.append(asyncio.create_task(path.call(spec)))
        await asyncio.sleep(interval_s)
        if n % 50 == 49:
            for agent_id in path.connected:
                path.send_status(agent_id)
    return [outcome for outcome, _ in await asyncio.gather(*calls)]


def test_a_failing_runner_is_ejected_and_comes_back() -> None:
    async def run() -> None:
        fails = True

        async def serve(request):
            await asyncio.sleep(0.01)
            return RunnerFault(True, "reset") if fails else await echo(request)

        runners = {name: FakeRunner(echo_after(lambda: 0.01)) for name in NAMES}
        runners["a"] = FakeRunner(serve)
        async with ServicePath(runners) as path:
            outcomes = await send_calls(path, 200)
            assert {one.kind for one in outcomes} == {OutcomeKind.DONE}
            assert 5 <= len(runners["a"].runs) <= 15
            assert path.router.counters.n_ejections >= 1
            fails = False
            await asyncio.sleep(10.0)
            await send_calls(path, 3000)
            n_before = len(runners["a"].runs)
            await send_calls(path, 400)
            assert len(runners["a"].runs) - n_before > 60

    run_virtual(run())


def test_not_all_runners_are_ejected() -> None:
    async def run() -> None:
        async def serve(request):
            return RunnerFault(True, "reset")

        async with ServicePath({name: FakeRunner(serve) for name in NAMES}) as path:
            await send_calls(path, 200)
            assert path.router.counters.n_ejections == 1

    run_virtual(run())


def test_a_slow_runner_gets_few_calls() -> None:
    async def run() -> None:
        runners = {name: FakeRunner(echo_after(lambda: 0.01)) for name in NAMES}
        runners["a"] = FakeRunner(echo_after(lambda: 0.5))
        async with ServicePath(runners) as path:
            await send_calls(path, 500)
            assert len(runners["a"].runs) < 40

    run_virtual(run())


def test_a_runner_that_was_slow_is_tried_again() -> None:
    async def run() -> None:
        slow = True
        serve = echo_after(lambda: 0.05 if slow else 0.01)
        runners = {name: FakeRunner(echo_after(lambda: 0.01)) for name in NAMES}
        runners["a"] = FakeRunner(serve)
        async with ServicePath(runners) as path:
            await send_calls(path, 500)
            n_before = len(runners["a"].runs)
            await send_calls(path, 500)
            assert len(runners["a"].runs) - n_before < 20
            slow = False
            await send_calls(path, 15_000)
            n_before = len(runners["a"].runs)
            await send_calls(path, 500)
            assert len(runners["a"].runs) - n_before > 50

    run_virtual(run())


def test_a_returning_runner_starts_slowly() -> None:
    async def run() -> None:
        runners = {name: FakeRunner(echo_after(lambda: 0.02)) for name in NAMES}
        async with ServicePath(runners) as path:
            await send_calls(path, 1200)
            path.disconnect(A)
            path.connect(A)
            n_before = len(runners["a"].runs)
            await send_calls(path, 100, 0.002)
            n_first = len(runners["a"].runs) - n_before
            await send_calls(path, 1200)
            n_before = len(runners["a"].runs)
            await send_calls(path, 100, 0.002)
            n_later = len(runners["a"].runs) - n_before
            assert n_first < 10 < n_later

    run_virtual(run())


@pytest.mark.parametrize(
    ("n_flaps", "used"),
    [pytest.param(1, True, id="once"), pytest.param(4, False, id="flapping")],
)
def test_flapping_agent_is_suppressed_for_some_time(n_flaps: int, used: bool) -> None:
    async def run() -> None:
        runners = {name: FakeRunner(echo_after(lambda: 0.02)) for name in NAMES}
        async with ServicePath(runners) as path:
            for _ in range(n_flaps):
                path.disconnect(A)
                await asyncio.sleep(0.5)
                path.connect(A)
            await asyncio.sleep(10.0)
            await send_calls(path, 200)
            assert (len(runners["a"].runs) > 0) is used
            await asyncio.sleep(60.0)
            await send_calls(path, 200)
            assert len(runners["a"].runs) > 0

    run_virtual(run())


@pytest.mark.parametrize(
    ("idempotent", "longest_s", "n_runs"),
    [
        pytest.param(True, 0.3, 310, id="idempotent"),
        pytest.param(False, 1.01, 300, id="claimed"),
    ],
)
def test_hedges_reduce_the_tail_latency_of_idempotent_calls(
    idempotent, longest_s, n_runs
):
    async def run() -> None:
        seen = set()

        async def serve(request):
            is_straggler = int(request.path[2:]) % 20 == 7 and request.path not in seen
            seen.add(request.path)
            await asyncio.sleep(1.0 if is_straggler else 0.02)
            return await echo(request)

        runners = {name: FakeRunner(serve) for name in NAMES}
        async with ServicePath(runners) as path:
            latencies_s = []
            loop = asyncio.get_running_loop()
            for n in range(300):
                begun_s = loop.time()
                outcome, _ = await path.call(path.spec(f"r{n}", idempotent))
                assert outcome.kind is OutcomeKind.DONE
                latencies_s.append(loop.time() - begun_s)
            assert max(latencies_s[100:]) < longest_s
            n_all = sum(len(runner.runs) for runner in runners.values())
            assert n_runs <= n_all <= 320
            assert (path.router.counters.n_hedges > 0) is idempotent

    run_virtual(run())


def test_retries_and_hedges_stay_in_their_budget() -> None:
    async def run() -> None:
        async def serve(request):
            await asyncio.sleep(0.01)
            return RunnerFault(True, "reset")

        runners = {name: FakeRunner(serve) for name in NAMES}
        async with ServicePath(runners) as path:
            await send_calls(path, 1000)
            n_all = sum(len(runner.runs) for runner in runners.values())
            assert 1100 < n_all <= 1000 * 1.2 + 10

    run_virtual(run())


def test_burst_at_the_entry_leaves_capacity_for_others() -> None:
    async def run() -> None:
        runners = {"a": FakeRunner(echo_after(lambda: 0.05))}
        options = RouterOptions(max_in_flight=40)
        async with ServicePath(runners, options) as path:
            burst = [
                asyncio.create_task(
                    path.call(path.spec(f"b{n}", caller=CallerId("burst")))
                )
                for n in range(100)
            ]
            await asyncio.sleep(0.01)
            outcome, _ = await path.call(path.spec("q", caller=CallerId("quiet")))
            assert outcome.kind is OutcomeKind.DONE
            kinds = [one.kind for one, _ in await asyncio.gather(*burst)]
            assert kinds.count(OutcomeKind.NOT_RUN) == 80

    run_virtual(run())


@pytest.mark.parametrize("policy", ["random", "round_robin", "least_loaded"])
def test_the_configured_policy_is_used(policy: str) -> None:
    async def run() -> None:
        runners = {name: FakeRunner() for name in NAMES}
        async with ServicePath(runners) as path:
            fleet = FleetConfig(policies=PolicyConfig(routing=policy))
            path.router.set_fleet(fleet)
            await send_calls(path, 40)
            runs = sorted(len(runner.runs) for runner in runners.values())
            if policy == "round_robin":
                assert runs == [10, 10, 10, 10]
            if policy == "least_loaded":
                assert runs == [0, 0, 0, 40]

    run_virtual(run())
