"""Jobs that are cancelled while the store does not have them."""

from collections.abc import Callable, Iterator

import pytest
from job_simulation import (
    CANCELLED,
    JobSimulation,
    SimulatedEntry,
    SubmittedJob,
    follower_of,
    other_than,
    owner_of,
    silence,
    started,
)

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_jobs.job_api import StoreResult
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import cancel_key, job_key
from almondspan_platform.group_store import Write, WriteGroup

STEPS = (StepSpec(2, Shape(200, 200), estimate_ms=200),)
LATE_S = 7.0
"""After this a late write has been executed, or its condition did not hold."""

OPTIONS = JobOptions(finished_retention_s=4.0, late_write_s=4.0)
SWEEP_S = 11.0
"""Within this time cancellations past their retention are removed once."""


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(12, n_agents=2, options=OPTIONS)


def submit_late(simulation: JobSimulation, machine: SimulatedEntry) -> SubmittedJob:
    """Submit a job at an entry whose writes are executed late."""
    job = simulation.make_job(STEPS)
    machine.faults.late_share = 1.0
    simulation.submit(job, machine)
    simulation.run(0.9)
    return job


def end_loss(simulation: JobSimulation) -> None:
    for machine in simulation.entries:
        machine.faults.late_share = 0.0


def at_other_entry(simulation: JobSimulation, first: SimulatedEntry) -> SimulatedEntry:
    return other_than(simulation, first)


def at_same_entry(simulation: JobSimulation, first: SimulatedEntry) -> SimulatedEntry:
    return first


def nothing(simulation: JobSimulation) -> None:
    pass


def replace_owner(simulation: JobSimulation) -> None:
    owner_of(simulation).kill()


def drop_history(simulation: JobSimulation) -> None:
    simulation.run_in_loop(lose_history)


def lose_history(simulation: JobSimulation) -> None:
    simulation.store.commit(WriteGroup(writes=(Write("other", b""),)))
    simulation.store.drop_history()


@pytest.mark.parametrize(
    "second",
    [
        pytest.param(at_other_entry, id="at_other_entry"),
        pytest.param(at_same_entry, id="at_same_entry"),
    ],
)
@pytest.mark.parametrize(
    "event",
    [
        pytest.param(nothing, id="calm"),
        pytest.param(replace_owner, id="owner_replaced"),
        pytest.param(drop_history, id="history_lost"),
    ],
)
def test_job_does_not_run_after_its_cancelling_was_acknowledged(
    simulation: JobSimulation,
    second: Callable[[JobSimulation, SimulatedEntry], SimulatedEntry],
    event: Callable[[JobSimulation], None],
) -> None:
    """Guards against UNASKED: a late write of a job that was cancelled with 410."""
    machine = follower_of(simulation)
    owner_of(simulation).faults.late_share = 1.0
    job = submit_late(simulation, machine)
    assert job_key(job.job_id) not in simulation.store.items
    end_loss(simulation)
    simulation.cancel(job, second(simulation, machine))
    simulation.run(0.2)
    assert len(job.cancel_answers) == 1
    assert CANCELLED.issuperset(job.cancel_answers)
    event(simulation)
    simulation.run(LATE_S)
    assert simulation.runs() == []
    assert not job.is_accepted
    assert simulation.violations() == []


def test_job_that_comes_again_after_its_cancelling_is_refused(
    simulation: JobSimulation,
) -> None:
    """Guards against UNASKED: a repeated submission that arrives after the DELETE."""
    job = simulation.make_job(STEPS)
    first, second = simulation.entries[:2]
    simulation.cancel(job, first)
    simulation.run(0.2)
    simulation.submit(job, second)
    simulation.run(2.0)
    assert job.cancel_answers == [StoreResult.NO_JOB]
    assert job.answers == [StoreResult.CANCELLED]
    assert simulation.runs() == []


def test_refusal_after_a_cancelling_needs_no_second_write(
    simulation: JobSimulation,
) -> None:
    """Guards against a refusal that is held back, or taken for uncertain."""
    job = simulation.make_job(STEPS)
    machine = follower_of(simulation)
    simulation.cancel(job, machine)
    simulation.run(0.2)
    simulation.submit(job, machine)
    simulation.run(0.1)
    assert job.answers == [StoreResult.CANCELLED]


def test_job_that_an_earlier_release_stores_after_its_cancelling_is_cancelled(
    simulation: JobSimulation,
) -> None:
    """Guards against UNASKED in a fleet of two releases."""
    job = simulation.make_job(STEPS)
    simulation.cancel(job, simulation.entries[0])
    simulation.run(0.2)
    other = simulation.make_job(STEPS)
    simulation.submit(other, simulation.entries[0])
    simulation.run(0.2)
    record = simulation.store.items[job_key(other.job_id)].value
    write = Write(job_key(job.job_id), record)
    simulation.run_in_loop(lambda _: simulation.store.commit(WriteGroup((), (write,))))
    simulation.run(2.0)
    simulation.ask_state(job, simulation.entries[0])
    simulation.run(0.5)
    assert simulation.state_of(job) is JobState.CANCELLED
    assert {run.task.partition(".")[0] for run in simulation.runs()} == {other.job_id}


def test_early_cancellation_leaves_the_store_after_its_retention(
    simulation: JobSimulation,
) -> None:
    """Guards against a store that fills up with cancellations of unknown jobs."""
    job = simulation.make_job(STEPS)
    simulation.cancel(job, simulation.entries[0])
    simulation.run(OPTIONS.cancellation_retention_s - 1.0)
    key = cancel_key(job.job_id)
    assert key in simulation.store.items
    simulation.run(SWEEP_S + 1.0)
    assert key not in simulation.store.items
    simulation.submit(job, simulation.entries[0])
    simulation.run(2.0)
    simulation.ask_state(job, simulation.entries[0])
    simulation.run(0.5)
    assert job.answers == [StoreResult.STORED]
    assert simulation.state_of(job) is JobState.COMPLETED


def test_state_of_a_job_with_an_uncertain_write_is_not_known(
    simulation: JobSimulation,
) -> None:
    """Guards against a caller that is told of no job, submits another, and gets two."""
    machine = follower_of(simulation)
    owner_of(simulation).faults.late_share = 1.0
    job = submit_late(simulation, machine)
    answers = []

    async def ask() -> None:
        answers.append(await machine.entry.job_api.state(job.job_id))

    simulation.spawn(machine.process, ask())
    simulation.run(0.5)
    assert [(answer.state, answer.is_known) for answer in answers] == [(None, False)]


def test_cancelling_of_a_job_in_an_outage_is_not_acknowledged(
    simulation: JobSimulation,
) -> None:
    job = simulation.make_job(STEPS)
    for machine in simulation.entries:
        silence(machine)
    simulation.cancel(job, simulation.entries[0])
    simulation.run(4.0)
    assert len(job.cancel_answers) == 1
    assert not CANCELLED.intersection(job.cancel_answers)
