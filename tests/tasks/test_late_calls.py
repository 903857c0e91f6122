"""Calls to the worker that an agent sends late, after a pause.

The agent pauses between its check of the horizon and the sending of a lease renewal
or a start. The attempt must neither run on after its shard has closed it, nor start
beside the next attempt.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import sim_world
from sim_schedule import TEAM
from sim_world import HORIZON_S, Agent, SimWorker, World

from almondspan_decisions.ids import JobId, ShardId, TaskClass
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec
from almondspan_standins.worker_core import task_payload
from almondspan_tasks.job_client import SubmitState

SHARD = ShardId(0)
WORKER_LEASE_S = 8.0
BEFORE_EXPIRY_S = 0.05


class DelayedRenewalWorker(SimWorker):
    """Delays the last renewal until just before the worker's lease expires."""

    def __init__(self, world: World, agent: Agent) -> None:
        super().__init__(world, agent.worker_id)
        self._agent = agent
        self._renewed_s = 0.0
        self.was_delayed = False

    async def renew(self, attempts: Any) -> Any:
        world, loop = self._world, self._world.loop
        delayed = self._agent.attempt_agent._state.held_attempts.all()
        left_s = delayed[0].lease_until_s - loop.time()
        if left_s > WORKER_LEASE_S / 4:
            self._renewed_s = loop.time()
            return await super().renew(attempts)
        if self.was_delayed:
            return ()
        self.was_delayed = True
        until_s = self._renewed_s + WORKER_LEASE_S - BEFORE_EXPIRY_S
        process = self._agent.process
        process.is_paused = True
        world.run_after(until_s - loop.time(), loop.resume, process)
        await asyncio.sleep(0)
        renewing = asyncio.ensure_future(super().renew(attempts))
        await asyncio.sleep(0)
        # The call has been sent; the agent's process does nothing more.
        process.is_dead = process.is_paused = True
        return await renewing


class DelayedStartWorker(SimWorker):
    """Delays the first start until long after the horizon."""

    def __init__(self, world: World, agent: Agent) -> None:
        super().__init__(world, agent.worker_id)
        self._agent = agent
        self.was_delayed = False

    async def start_attempt(self, request: Any) -> Any:
        if not self.was_delayed:
            self.was_delayed = True
            process = self._agent.process
            process.is_paused = True
            self._world.run_after(4 * HORIZON_S, self._world.loop.resume, process)
            await asyncio.sleep(0)
        return await super().start_attempt(request)


def long_job() -> JobSpec:
    payload = task_payload(60.0, "effect", "record")
    stage = StageSpec(
        TaskClass("align"), Shape(1_000, 100, 0), 60.0, payload, True, True
    )
    return JobSpec(JobId("job-0"), TEAM, (stage,), max_attempts=50)


async def start_agents(world: World) -> list[Agent]:
    """Start all agents; the first owns the shard and the others run tasks."""
    agents = [world.start_agent(worker_id) for worker_id in world.cores]
    world.entry.run(world.entry.job_client.start())
    world.nominate(SHARD, agents[0].agent_id)
    world.known_owners[SHARD] = agents[0].agent_id
    await asyncio.sleep(6.0)
    agents[0].attempt_agent.set_resting(True)
    return agents[1:]


async def submit(world: World) -> None:
    spec = long_job()
    world.checks.specs[spec.job_id] = spec
    answer = await world.entry.run(world.entry.job_client.submit((spec,)))
    assert answer[0].state is SubmitState.ACCEPTED


async def lose_running_agent(world: World) -> None:
    agents = await start_agents(world)
    await submit(world)
    await asyncio.sleep(4.0)
    runner = next(agent for agent in agents if agent.attempt_agent.n_tasks())
    delayed = DelayedRenewalWorker(world, runner)
    runner.attempt_agent._state.worker = delayed
    world.disconnected.add(runner.agent_id)
    await asyncio.sleep(5 * HORIZON_S)
    assert delayed.was_delayed
    assert world.checks.counts["starts"] == 2


async def delay_start(world: World) -> None:
    agents = await start_agents(world)
    delayed = DelayedStartWorker(world, agents[0])
    agents[0].attempt_agent._state.worker = delayed
    agents[1].attempt_agent.set_resting(True)
    await submit(world)
    await asyncio.sleep(2.0)
    assert delayed.was_delayed
    agents[1].attempt_agent.set_resting(False)
    await asyncio.sleep(5 * HORIZON_S)
    assert world.checks.counts["starts"] >= 1


def run_checked(
    world: World, case: Callable[[World], Coroutine[Any, Any, None]]
) -> None:
    asyncio.set_event_loop(world.loop)
    try:
        world.loop.run_until_complete(case(world))
    finally:
        for runnable in [*world.agents.values(), world.entry]:
            runnable.process.is_dead = True
        world.loop.set_exception_handler(lambda loop, context: None)
        asyncio.set_event_loop(None)
        world.loop.close()
    assert world.checks.violations == []


@pytest.mark.parametrize("seed", [pytest.param(n, id=f"seed{n}") for n in range(3)])
def test_a_late_renewal_ends_before_the_attempt_is_closed(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sim_world, "WORKER_LEASE_S", WORKER_LEASE_S)
    run_checked(World(seed, n_shards=1), lose_running_agent)


def test_a_late_start_does_not_overlap_the_next_attempt() -> None:
    run_checked(World(0, n_shards=1), delay_start)
