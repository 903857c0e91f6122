"""Processes that can't reach each other directly communicate through agents."""

from collections.abc import Iterator

import pytest
from job_simulation import JobSimulation, started

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.job_api import StoreResult
from almondspan_platform.task_worker import EndReason

LASTING = (StepSpec(8, Shape(500, 500), lasts=True, max_per_worker=2),)
SHORT = (StepSpec(6, Shape(500, 500), estimate_ms=800),)


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(5, n_entries=3, n_agents=4)


def cut(simulation: JobSimulation, name: str, others: list[str]) -> None:
    simulation.hub.cuts |= {frozenset({name, other}) for other in others}


def n_lines(simulation: JobSimulation, event: str) -> int:
    return sum(f" {event} " in line for line in simulation.trace)


def test_agent_cut_off_from_all_entries_is_relayed(simulation: JobSimulation) -> None:
    simulation.submit(simulation.make_job(LASTING), simulation.entries[0])
    simulation.run(3.0)
    machine = simulation.agents[0]
    held = {run.task for run in machine.worker.runs if run.ended_s is None}
    assert held
    cut(simulation, machine.name, [entry.name for entry in simulation.entries])
    simulation.run(20.0)
    assert n_lines(simulation, "agent_relayed") == 1
    assert {run.task for run in machine.worker.runs if run.ended_s is None} == held
    job = simulation.make_job(SHORT)
    simulation.submit(job, simulation.entries[0])
    simulation.run(5.0)
    ended = [run.how for run in simulation.runs() if run.task.startswith(job.job_id)]
    assert ended.count(EndReason.DONE) == 6
    assert simulation.violations() == []


def test_direct_channel_replaces_a_relayed_one(simulation: JobSimulation) -> None:
    machine = simulation.agents[0]
    entries = [entry.name for entry in simulation.entries]
    cut(simulation, machine.name, entries)
    simulation.run(6.0)
    simulation.hub.cuts.clear()
    simulation.run(4.0)
    n_before = n_lines(simulation, "relay_joined")
    assert n_lines(simulation, "relay_parted") == n_before == 1
    owner = simulation.owner()
    assert owner is not None and owner.entry is not None
    links = owner.entry.leadership.owner._links  # type: ignore[union-attr]
    assert links[machine.name].is_direct


def test_entry_cut_off_stores_jobs_through_the_owner(simulation: JobSimulation) -> None:
    owner = simulation.owner()
    machine = next(entry for entry in simulation.entries if entry is not owner)
    machine.faults.is_silent = True
    others = [entry.name for entry in simulation.entries if entry is not machine]
    cut(simulation, machine.name, others)
    simulation.run(4.0)
    assert machine.entry is not None and machine.entry.has_owner_link
    job = simulation.make_job(SHORT)
    simulation.submit(job, machine)
    simulation.run(4.0)
    assert job.answers == [StoreResult.STORED]
    assert simulation.violations() == []


def test_agent_that_is_down_is_not_dialled_through_relays(
    simulation: JobSimulation,
) -> None:
    simulation.agents[0].kill()
    simulation.run(3.0)
    assert n_lines(simulation, "relay_joined") == 0


def test_tasks_of_an_unreachable_agent_run_elsewhere(simulation: JobSimulation) -> None:
    """Its worker's lease expires, and the tasks run elsewhere."""
    job = simulation.make_job(LASTING)
    simulation.submit(job, simulation.entries[0])
    simulation.run(3.0)
    machine = simulation.agents[0]
    names = [other.name for other in (*simulation.entries, *simulation.agents)]
    cut(simulation, machine.name, [name for name in names if name != machine.name])
    simulation.run(14.0)
    assert n_lines(simulation, "relay_joined") == 0
    assert len({run.task for run in simulation.runs() if run.ended_s is None}) >= 6
    assert simulation.violations() == []
