"""A restarted agent is sent the traits of the tasks that its worker still runs."""

from collections.abc import Iterator

import pytest
from job_simulation import JobSimulation, started

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape

SERVING = (
    StepSpec(2, Shape(500, 500), lasts=True, image="live", tail_target_ms=10),
    StepSpec(2, Shape(500, 500), estimate_ms=20_000, fills=True, image="heavy"),
)


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(7, n_entries=2, n_agents=1)


def test_restarted_agent_paces_what_runs(simulation: JobSimulation) -> None:
    simulation.submit(simulation.make_job(SERVING), simulation.entries[0])
    simulation.run(2.0)
    machine = simulation.agents[0]
    assert machine.worker_agent is not None
    assert machine.worker_agent._pacing.is_needed
    machine.kill()
    simulation.run(4.0)
    assert machine.worker_agent is not None
    assert machine.worker_agent._pacing.is_needed
