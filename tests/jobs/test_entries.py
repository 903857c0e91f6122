"""Entries that lose the store, the owner or each other."""

from collections.abc import Callable, Iterator

import pytest
from job_simulation import JobWorld, SimulatedEntry

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_jobs.job_api import StoreResult

STEPS = (StepSpec(2, Shape(100, 100), estimate_ms=300),)


@pytest.fixture
def world() -> Iterator[JobWorld]:
    made = JobWorld(7)
    made.run(4.0)
    yield made
    made.close()


def owner_of(world: JobWorld) -> SimulatedEntry:
    site = world.owner()
    assert site is not None
    return site


def follower_of(world: JobWorld) -> SimulatedEntry:
    return next(site for site in world.entries if site is not owner_of(world))


def refuse(site: SimulatedEntry) -> None:
    site.faults.is_refusing = True


def silence(site: SimulatedEntry) -> None:
    site.faults.is_silent = True


def kill(site: SimulatedEntry) -> None:
    site.kill()


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(refuse, id="refused_by_the_store"),
        pytest.param(silence, id="unanswered_by_the_store"),
    ],
)
def test_owner_without_the_store_passes_jobs_to_its_successor(
    world: JobWorld, fault: Callable[[SimulatedEntry], None]
) -> None:
    deposed = owner_of(world)
    fault(deposed)
    world.run(3.5)
    job = world.make_job(STEPS)
    world.submit(job, deposed)
    world.run(4.0)
    assert job.answers == [StoreResult.STORED]
    world.ask_state(job, deposed)
    world.run(1.0)
    assert world.state_of(job) is JobState.COMPLETED


def test_follower_without_the_store_stores_through_the_owner(world: JobWorld) -> None:
    site = follower_of(world)
    refuse(site)
    job = world.make_job(STEPS)
    world.submit(job, site)
    world.run(3.0)
    assert job.answers == [StoreResult.STORED]


def test_refusal_is_given_only_when_nothing_can_be_stored(world: JobWorld) -> None:
    for site in world.entries:
        refuse(site)
    job = world.make_job(STEPS)
    world.submit(job, follower_of(world))
    world.run(2.0)
    assert job.answers == [StoreResult.NOT_DONE]
    for site in world.entries:
        site.faults.is_refusing = False
    world.run(10.0)
    assert not any(run.task.startswith(job.job_id) for run in world.runs())


def test_silent_store_is_asked_before_it_is_sent_a_job(world: JobWorld) -> None:
    for site in world.entries:
        silence(site)
    world.run(3.0)
    job = world.make_job(STEPS)
    world.submit(job, follower_of(world))
    world.run(1.5)
    assert job.answers == [StoreResult.NOT_DONE]
    again = world.make_job(STEPS)
    site = follower_of(world)
    assert site.entry is not None
    job_api = site.entry.job_api
    took_s = []

    async def ask() -> None:
        for _ in range(2):
            begun_s = world.loop.now_s
            await job_api.submit(again.job_id, again.spec, 2.5)
            took_s.append(world.loop.now_s - begun_s)

    world.spawn(site.process, ask())
    world.run(2.0)
    assert max(took_s) < 0.7 and min(took_s) < 0.01
    for site in world.entries:
        site.faults.is_silent = False
    world.run(10.0)
    assert not any(run.task.startswith(job.job_id) for run in world.runs())


def test_outcome_is_unknown_while_a_write_may_take_effect(world: JobWorld) -> None:
    site = follower_of(world)
    site.faults.late_share = 1.0
    owner_of(world).faults.is_silent = True
    job = world.make_job(STEPS)
    world.submit(job, site)
    world.run(2.9)
    assert job.answers == [StoreResult.UNKNOWN]


def test_job_in_doubt_is_never_said_to_be_refused(world: JobWorld) -> None:
    site = follower_of(world)
    site.faults.late_share = 1.0
    owner_of(world).faults.is_silent = True
    job = world.make_job(STEPS)
    world.submit(job, site)
    world.run(2.0)
    for other in world.entries:
        refuse(other)
    world.submit(job, site)
    world.run(3.0)
    assert job.answers == [StoreResult.UNKNOWN, StoreResult.UNKNOWN]


def test_same_job_at_two_entries_is_one_job(world: JobWorld) -> None:
    job = world.make_job(STEPS)
    for site in world.entries:
        world.submit(job, site)
    world.run(6.0)
    assert job.answers == [StoreResult.STORED] * len(world.entries)
    names = [run.task for run in world.runs()]
    assert len(names) == len(set(names)) == 2


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(kill, id="killed"),
        pytest.param(refuse, id="without_the_store"),
    ],
)
def test_lasting_tasks_outlive_their_owner(
    world: JobWorld, fault: Callable[[SimulatedEntry], None]
) -> None:
    lasting = (StepSpec(3, Shape(100, 100), estimate_ms=100, lasts=True),)
    job = world.make_job(lasting)
    world.submit(job, follower_of(world))
    world.run(2.0)
    fault(owner_of(world))
    world.run(15.0)
    runs = [run for run in world.runs() if run.task.startswith(job.job_id)]
    assert len(runs) == 3
    assert all(run.ended_s is None for run in runs)


def test_unknown_job_is_told_from_the_store_only(world: JobWorld) -> None:
    job = world.make_job(STEPS)
    site = follower_of(world)
    assert site.entry is not None
    silence(site)
    found = []

    async def ask() -> None:
        assert site.entry is not None
        found.append(await site.entry.job_api.state(job.job_id))

    world.spawn(site.process, ask())
    world.run(3.0)
    assert [answer.is_known for answer in found] == [False]
