"""Tasks are moved off a leaving worker, and none is started there."""

from collections.abc import Iterator

import pytest
from job_simulation import JobSimulation, SimulatedAgent, started

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_standins.memory_task_worker import WorkerRun

LASTING = (StepSpec(3, Shape(500, 500), estimate_ms=100, lasts=True),)
SHORT = (StepSpec(8, Shape(500, 500), estimate_ms=400),)


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(11, n_entries=2, n_agents=3)


def runs_on(machine: SimulatedAgent) -> list[WorkerRun]:
    return machine.worker.runs


def busiest(simulation: JobSimulation) -> SimulatedAgent:
    return max(simulation.agents, key=lambda machine: len(runs_on(machine)))


def test_lasting_tasks_move_off_a_leaving_worker(simulation: JobSimulation) -> None:
    job = simulation.make_job(LASTING)
    simulation.submit(job, simulation.entries[0])
    simulation.run(3.0)
    machine = busiest(simulation)
    machine.is_leaving = True
    simulation.run(4.0)
    assert all(run.ended_s is not None for run in runs_on(machine))
    running = [run for run in simulation.runs() if run.ended_s is None]
    assert len(running) == 3
    assert simulation.violations() == []


def test_leaving_worker_gets_no_new_tasks(simulation: JobSimulation) -> None:
    machine = simulation.agents[0]
    machine.is_leaving = True
    simulation.run(1.5)
    n_before = len(runs_on(machine))
    for _ in range(3):
        simulation.submit(simulation.make_job(SHORT), simulation.entries[0])
    simulation.run(6.0)
    assert len(runs_on(machine)) == n_before
    assert len(simulation.runs()) >= 24


def test_agent_of_a_leaving_worker_refuses_late_starts(
    simulation: JobSimulation,
) -> None:
    """The owner learns that the worker leaves one message later than the agent."""
    machine = simulation.agents[0]
    machine.is_leaving = True
    for _ in range(4):
        simulation.submit(simulation.make_job(SHORT), simulation.entries[0])
    simulation.run(8.0)
    reported_s = next(
        float(line.split()[0])
        for line in simulation.trace
        if f"{machine.name} worker_leaving" in line
    )
    assert all(run.begun_s <= reported_s + 0.01 for run in runs_on(machine))
