"""An agent that was restarted beside a living worker learns again what runs there."""

from collections.abc import Iterator

import pytest
from job_simulation import JobWorld

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape

SERVING = (
    StepSpec(2, Shape(500, 500), lasts=True, image="live", tail_target_ms=10),
    StepSpec(2, Shape(500, 500), estimate_ms=20_000, fills=True, image="heavy"),
)


@pytest.fixture
def world() -> Iterator[JobWorld]:
    made = JobWorld(7, n_entries=2, n_agents=1)
    made.run(4.0)
    yield made
    made.close()


def test_restarted_agent_paces_what_runs(world: JobWorld) -> None:
    world.submit(world.make_job(SERVING), world.entries[0])
    world.run(2.0)
    site = world.agents[0]
    assert site.worker_agent is not None
    assert site.worker_agent._pacing.is_needed
    site.kill()
    world.run(4.0)
    assert site.worker_agent is not None
    assert site.worker_agent._pacing.is_needed
