"""A worker that leaves, or stands still, is emptied."""

from collections.abc import Iterator

import pytest
from job_simulation import JobWorld, SimulatedAgent

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_standins.memory_task_worker import WorkerRun

LASTING = (StepSpec(3, Shape(500, 500), estimate_ms=100, lasts=True),)
SHORT = (StepSpec(8, Shape(500, 500), estimate_ms=400),)


@pytest.fixture
def world() -> Iterator[JobWorld]:
    made = JobWorld(11, n_entries=2, n_agents=3)
    made.run(4.0)
    yield made
    made.close()


def on(site: SimulatedAgent) -> list[WorkerRun]:
    return site.worker.runs


def busiest(world: JobWorld) -> SimulatedAgent:
    return max(world.agents, key=lambda site: len(on(site)))


def test_lasting_tasks_move_off_a_leaving_worker(world: JobWorld) -> None:
    job = world.make_job(LASTING)
    world.submit(job, world.entries[0])
    world.run(3.0)
    site = busiest(world)
    site.is_leaving = True
    world.run(4.0)
    assert all(run.ended_s is not None for run in on(site))
    running = [run for run in world.runs() if run.ended_s is None]
    assert len(running) == 3
    assert world.violations() == []


def test_leaving_worker_gets_nothing_new(world: JobWorld) -> None:
    site = world.agents[0]
    site.is_leaving = True
    world.run(1.5)
    n_before = len(on(site))
    for _ in range(3):
        world.submit(world.make_job(SHORT), world.entries[0])
    world.run(6.0)
    assert len(on(site)) == n_before
    assert len(world.runs()) >= 24


def test_agent_refuses_a_start_that_was_under_way(world: JobWorld) -> None:
    """The owner hears of the leaving a hop later than the agent does."""
    site = world.agents[0]
    site.is_leaving = True
    for _ in range(4):
        world.submit(world.make_job(SHORT), world.entries[0])
    world.run(8.0)
    said_s = next(
        float(line.split()[0])
        for line in world.trace
        if f"{site.name} worker_leaving" in line
    )
    assert all(run.begun_s <= said_s + 0.01 for run in on(site))
