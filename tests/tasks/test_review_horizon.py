"""Attempts past their horizon, when an agent pauses between a check and its call."""

import asyncio
from typing import Any

import pytest
import sim_world
from sim_schedule import TEAM
from sim_world import HORIZON_S, Agent, SimWorker, World

from almondspan_decisions.ids import JobId, ShardId, TaskClass
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec
from almondspan_standins.worker_core import task_payload
from almondspan_tasks.desk import SubmitState

SHARD = ShardId(0)
WORKER_LEASE_S = 8.0
LAST_MOMENT_S = 0.05


class HeldWorker(SimWorker):
    """Holds the last renewal of a lease back until the worker's lease nearly ends."""

    def __init__(self, world: World, agent: Agent) -> None:
        super().__init__(world, agent.worker_id)
        self._agent = agent
        self._renewed_s = 0.0
        self.is_over = False

    async def renew(self, attempts: Any) -> Any:
        world, loop = self._world, self._world.loop
        held = self._agent.keeper._state.books.all()
        left_s = held[0].lease_until_s - loop.time()
        if left_s > WORKER_LEASE_S / 4:
            self._renewed_s = loop.time()
            return await super().renew(attempts)
        if self.is_over:
            return ()
        self.is_over = True
        until_s = self._renewed_s + WORKER_LEASE_S - LAST_MOMENT_S
        process = self._agent.process
        process.is_paused = True
        world.later(until_s - loop.time(), loop.resume, process)
        await asyncio.sleep(0)
        renewing = asyncio.ensure_future(super().renew(attempts))
        await asyncio.sleep(0)
        # The call has been sent; its process does nothing more.
        process.is_dead = process.is_paused = True
        return await renewing


def long_job() -> JobSpec:
    payload = task_payload(60.0, "effect", "record")
    stage = StageSpec(
        TaskClass("align"), Shape(1_000, 100, 0), 60.0, payload, True, True
    )
    return JobSpec(JobId("job-0"), TEAM, (stage,), max_attempts=50)


async def lose_the_runner(world: World) -> None:
    agents = [world.start_agent(worker_id) for worker_id in world.cores]
    world.entry.run(world.entry.desk.start())
    owner = agents[0]
    world.nominate(SHARD, owner.agent_id)
    world.known_owners[SHARD] = owner.agent_id
    await asyncio.sleep(6.0)
    owner.keeper.set_resting(True)
    spec = long_job()
    world.checks.specs[spec.job_id] = spec
    answer = await world.entry.run(world.entry.desk.submit((spec,)))
    assert answer[0].state is SubmitState.ACCEPTED
    await asyncio.sleep(4.0)
    runner = next(agent for agent in agents if agent.keeper.n_tasks())
    held = HeldWorker(world, runner)
    runner.keeper._state.worker = held
    world.cut.add(runner.agent_id)
    await asyncio.sleep(5 * HORIZON_S)
    assert held.is_over
    assert world.checks.counts["starts"] == 2


@pytest.mark.parametrize("seed", [pytest.param(n, id=f"seed{n}") for n in range(3)])
def test_a_late_renewal_does_not_outlast_the_wait(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sim_world, "WORKER_LEASE_S", WORKER_LEASE_S)
    world = World(seed, n_shards=1)
    asyncio.set_event_loop(world.loop)
    try:
        world.loop.run_until_complete(lose_the_runner(world))
    finally:
        for runnable in [*world.agents.values(), world.entry]:
            runnable.process.is_dead = True
        world.loop.set_exception_handler(lambda loop, context: None)
        asyncio.set_event_loop(None)
        world.loop.close()
    assert world.checks.violations == []
