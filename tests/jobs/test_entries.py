"""Entries that lose access to the store, to the owner or to each other."""

from collections.abc import Callable, Iterator

import pytest
from job_simulation import (
    JobSimulation,
    SimulatedEntry,
    follower_of,
    lines,
    owner_of,
    refuse,
    silence,
    started,
)

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_jobs.job_api import StoreResult

STEPS = (StepSpec(2, Shape(100, 100), estimate_ms=300),)


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(7)


def kill(machine: SimulatedEntry) -> None:
    machine.kill()


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(refuse, id="refused_by_the_store"),
        pytest.param(silence, id="unanswered_by_the_store"),
    ],
)
def test_owner_without_the_store_forwards_jobs_to_its_successor(
    simulation: JobSimulation, fault: Callable[[SimulatedEntry], None]
) -> None:
    superseded = owner_of(simulation)
    fault(superseded)
    simulation.run(3.5)
    job = simulation.make_job(STEPS)
    simulation.submit(job, superseded)
    simulation.run(4.0)
    assert job.answers == [StoreResult.STORED]
    simulation.ask_state(job, superseded)
    simulation.run(1.0)
    assert simulation.state_of(job) is JobState.COMPLETED


def test_follower_without_the_store_stores_through_the_owner(
    simulation: JobSimulation,
) -> None:
    machine = follower_of(simulation)
    refuse(machine)
    job = simulation.make_job(STEPS)
    simulation.submit(job, machine)
    simulation.run(3.0)
    assert job.answers == [StoreResult.STORED]


def test_refused_job_is_never_stored(
    simulation: JobSimulation,
) -> None:
    for machine in simulation.entries:
        refuse(machine)
    job = simulation.make_job(STEPS)
    simulation.submit(job, follower_of(simulation))
    simulation.run(2.0)
    assert job.answers == [StoreResult.NOT_DONE]
    for machine in simulation.entries:
        machine.faults.is_refusing = False
    simulation.run(10.0)
    assert not any(run.task.startswith(job.job_id) for run in simulation.runs())


def test_silent_store_is_probed_before_a_write(
    simulation: JobSimulation,
) -> None:
    for machine in simulation.entries:
        silence(machine)
    simulation.run(3.0)
    job = simulation.make_job(STEPS)
    simulation.submit(job, follower_of(simulation))
    simulation.run(1.5)
    assert job.answers == [StoreResult.NOT_DONE]
    again = simulation.make_job(STEPS)
    machine = follower_of(simulation)
    assert machine.entry is not None
    job_api = machine.entry.job_api
    took_s = []

    async def ask() -> None:
        for _ in range(2):
            begun_s = simulation.loop.now_s
            await job_api.submit(again.job_id, again.spec, 2.5)
            took_s.append(simulation.loop.now_s - begun_s)

    simulation.spawn(machine.process, ask())
    simulation.run(2.0)
    assert max(took_s) < 0.7 and min(took_s) < 0.01
    for machine in simulation.entries:
        machine.faults.is_silent = False
    simulation.run(10.0)
    assert not any(run.task.startswith(job.job_id) for run in simulation.runs())


def test_outcome_is_unknown_while_a_write_may_take_effect(
    simulation: JobSimulation,
) -> None:
    machine = follower_of(simulation)
    machine.faults.late_share = 1.0
    owner_of(simulation).faults.is_silent = True
    job = simulation.make_job(STEPS)
    simulation.submit(job, machine)
    simulation.run(2.9)
    assert job.answers == [StoreResult.UNKNOWN]


def test_job_with_an_uncertain_write_is_never_refused(
    simulation: JobSimulation,
) -> None:
    machine = follower_of(simulation)
    machine.faults.late_share = 1.0
    owner_of(simulation).faults.is_silent = True
    job = simulation.make_job(STEPS)
    simulation.submit(job, machine)
    simulation.run(2.0)
    for other in simulation.entries:
        refuse(other)
    simulation.submit(job, machine)
    simulation.run(3.0)
    assert job.answers == [StoreResult.UNKNOWN, StoreResult.UNKNOWN]


@pytest.mark.parametrize("after_s", [0.1, 0.5, 1.0, 1.5])
def test_job_with_another_write_in_flight_is_never_refused(
    simulation: JobSimulation, after_s: float
) -> None:
    """Guards against a refusal of a job that an earlier request still stores."""
    machine = follower_of(simulation)
    machine.faults.late_share = 1.0
    owner_of(simulation).faults.is_silent = True
    job = simulation.make_job(STEPS)
    simulation.submit(job, machine)
    simulation.run(after_s)
    for other in simulation.entries:
        refuse(other)
    simulation.submit(job, machine)
    simulation.run(5.0)
    assert job.answers == [StoreResult.UNKNOWN, StoreResult.UNKNOWN]


def test_last_of_two_refused_requests_is_told_so(simulation: JobSimulation) -> None:
    for machine in simulation.entries:
        refuse(machine)
    job = simulation.make_job(STEPS)
    machine = follower_of(simulation)
    simulation.submit(job, machine)
    simulation.run(0.1)
    simulation.submit(job, machine)
    simulation.run(2.0)
    assert StoreResult.STORED not in job.answers
    assert job.answers[-1] is StoreResult.NOT_DONE


def test_same_job_at_several_entries_runs_once(simulation: JobSimulation) -> None:
    job = simulation.make_job(STEPS)
    for machine in simulation.entries:
        simulation.submit(job, machine)
    simulation.run(6.0)
    assert job.answers == [StoreResult.STORED] * len(simulation.entries)
    names = [run.task for run in simulation.runs()]
    assert len(names) == len(set(names)) == 2


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(kill, id="killed"),
        pytest.param(refuse, id="without_the_store"),
    ],
)
def test_lasting_tasks_survive_a_change_of_owner(
    simulation: JobSimulation, fault: Callable[[SimulatedEntry], None]
) -> None:
    lasting = (StepSpec(3, Shape(100, 100), estimate_ms=100, lasts=True),)
    job = simulation.make_job(lasting)
    simulation.submit(job, follower_of(simulation))
    simulation.run(2.0)
    fault(owner_of(simulation))
    simulation.run(15.0)
    runs = [run for run in simulation.runs() if run.task.startswith(job.job_id)]
    assert len(runs) == 3
    assert all(run.ended_s is None for run in runs)


def test_unknown_job_is_reported_from_the_store_only(simulation: JobSimulation) -> None:
    job = simulation.make_job(STEPS)
    machine = follower_of(simulation)
    assert machine.entry is not None
    silence(machine)
    found = []

    async def ask() -> None:
        assert machine.entry is not None
        found.append(await machine.entry.job_api.state(job.job_id))

    simulation.spawn(machine.process, ask())
    simulation.run(3.0)
    assert [answer.is_known for answer in found] == [False]


def test_owner_with_a_silent_watch_learns_of_a_cancelling_from_the_next_channel(
    simulation: JobSimulation,
) -> None:
    """Guards against UNASKED: the notification was lost with the channel before."""
    owner, machine = owner_of(simulation), follower_of(simulation)
    first = StepSpec(1, Shape(100, 100), estimate_ms=4_500)
    last = StepSpec(1, Shape(100, 100), estimate_ms=100, after=(0,))
    job = simulation.make_job((first, last))
    simulation.submit(job, machine)
    simulation.run(0.3)
    owner.faults.is_watch_silent = True
    # The answer to the watch that waits by now is lost, too.
    simulation.run(0.1)
    pair = frozenset({owner.name, machine.name})
    simulation.hub.cuts.add(pair)
    simulation.cancel(job, machine)
    simulation.run(2.0)
    assert job.cancel_answers == [StoreResult.STORED]
    simulation.hub.cuts.discard(pair)
    simulation.run(0.8)
    assert lines(simulation, f" {owner.name} job_cancelled job={job.job_id} ")
    simulation.run(6.0)
    assert {run.task for run in simulation.runs()} == {f"{job.job_id}.0.0.0"}
