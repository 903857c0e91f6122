"""Processes whose direct path is cut reach each other through agents."""

from collections.abc import Iterator

import pytest
from job_simulation import JobWorld

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.job_api import StoreResult
from almondspan_platform.task_worker import EndReason

LASTING = (StepSpec(8, Shape(500, 500), lasts=True, max_per_worker=2),)
SHORT = (StepSpec(6, Shape(500, 500), estimate_ms=800),)


@pytest.fixture
def world() -> Iterator[JobWorld]:
    made = JobWorld(5, n_entries=3, n_agents=4)
    made.run(4.0)
    yield made
    made.close()


def cut(world: JobWorld, name: str, others: list[str]) -> None:
    world.hub.cuts |= {frozenset({name, other}) for other in others}


def n_lines(world: JobWorld, event: str) -> int:
    return sum(f" {event} " in line for line in world.trace)


def test_agent_cut_off_from_all_entries_works_on(world: JobWorld) -> None:
    world.submit(world.make_job(LASTING), world.entries[0])
    world.run(3.0)
    site = world.agents[0]
    held = {run.task for run in site.worker.runs if run.ended_s is None}
    assert held
    cut(world, site.name, [entry.name for entry in world.entries])
    world.run(20.0)
    assert n_lines(world, "agent_relayed") == 1
    assert {run.task for run in site.worker.runs if run.ended_s is None} == held
    job = world.make_job(SHORT)
    world.submit(job, world.entries[0])
    world.run(5.0)
    ended = [run.how for run in world.runs() if run.task.startswith(job.job_id)]
    assert ended.count(EndReason.DONE) == 6
    assert world.violations() == []


def test_direct_channel_takes_over_again(world: JobWorld) -> None:
    site = world.agents[0]
    entries = [entry.name for entry in world.entries]
    cut(world, site.name, entries)
    world.run(6.0)
    world.hub.cuts.clear()
    world.run(4.0)
    n_before = n_lines(world, "relay_joined")
    assert n_lines(world, "relay_parted") == n_before == 1
    owner = world.owner()
    assert owner is not None and owner.entry is not None
    links = owner.entry.leadership.owner._links  # type: ignore[union-attr]
    assert links[site.name].is_direct


def test_entry_cut_off_stores_jobs_through_the_owner(world: JobWorld) -> None:
    owner = world.owner()
    site = next(entry for entry in world.entries if entry is not owner)
    site.faults.is_silent = True
    others = [entry.name for entry in world.entries if entry is not site]
    cut(world, site.name, others)
    world.run(4.0)
    assert site.entry is not None and site.entry.has_owner_link
    job = world.make_job(SHORT)
    world.submit(job, site)
    world.run(4.0)
    assert job.answers == [StoreResult.STORED]
    assert world.violations() == []


def test_agent_that_is_down_is_not_sought_through_others(world: JobWorld) -> None:
    world.agents[0].kill()
    world.run(3.0)
    assert n_lines(world, "relay_joined") == 0


def test_agent_that_nobody_reaches_is_given_up(world: JobWorld) -> None:
    """Its lease passes, and its tasks run elsewhere."""
    job = world.make_job(LASTING)
    world.submit(job, world.entries[0])
    world.run(3.0)
    site = world.agents[0]
    names = [other.name for other in (*world.entries, *world.agents)]
    cut(world, site.name, [name for name in names if name != site.name])
    world.run(14.0)
    assert n_lines(world, "relay_joined") == 0
    assert len({run.task for run in world.runs() if run.ended_s is None}) >= 6
    assert world.violations() == []
