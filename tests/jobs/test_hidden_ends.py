"""Ends that a full list hides are not taken for absent attempts."""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from job_simulation import JobSimulation, owner_of

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_platform.task_worker import EndReason

SEED = 3
N_TASKS = 24
MAX_LISTED_ENDS = 8
SHORT = (StepSpec(N_TASKS, Shape(200, 200), estimate_ms=4_000),)
BEGIN_S = 1.5
"""From the submission until all tasks run."""


@contextmanager
def running_tasks() -> Iterator[JobSimulation]:
    """Run tasks on a worker with short lists."""
    simulation = JobSimulation(SEED, 2, 1)
    try:
        simulation.agents[0].worker.max_listed_ends = MAX_LISTED_ENDS
        simulation.run(4.0)
        simulation.submit(simulation.make_job(SHORT), simulation.entries[0])
        simulation.run(BEGIN_S)
        assert len(simulation.runs()) == N_TASKS
        yield simulation
    finally:
        simulation.close()


@contextmanager
def outage(simulation: JobSimulation, for_s: float) -> Iterator[None]:
    """Let the store be down; the caller lets `for_s` pass."""
    simulation.store.extend_leases(for_s)
    for machine in simulation.entries:
        machine.faults.is_refusing = True
    yield
    for machine in simulation.entries:
        machine.faults.is_refusing = False


def check_done_once(simulation: JobSimulation) -> None:
    simulation.run(25.0)
    assert simulation.violations() == []
    runs = simulation.runs()
    done = [run.task for run in runs if run.how is EndReason.DONE]
    assert len(done) == len(set(done)) == N_TASKS
    assert {run.how for run in runs} <= {EndReason.DONE, EndReason.FAILED}


@pytest.mark.parametrize("for_s", [3.0, 4.5, 6.0, 7.5])
def test_hidden_ends_are_no_absent_attempts(for_s: float) -> None:
    """Guards against TWICE: a task whose end `done` was listed later ran again."""
    with running_tasks() as simulation:
        with outage(simulation, for_s):
            simulation.run(for_s)
        check_done_once(simulation)


@pytest.mark.parametrize("kill_s", [1.0, 3.0, 5.0, 6.5])
def test_hidden_ends_are_no_absent_attempts_to_a_restarted_agent(
    kill_s: float,
) -> None:
    """Guards against TWICE: an agent that has not listed the attempts itself."""
    for_s = 7.0
    with running_tasks() as simulation:
        with outage(simulation, for_s):
            simulation.run(kill_s)
            simulation.agents[0].kill()
            simulation.run(for_s - kill_s)
        check_done_once(simulation)


@pytest.mark.parametrize("load_s", [0.2, 0.4])
def test_hidden_ends_are_no_absent_attempts_to_a_new_owner(load_s: float) -> None:
    """Guards against TWICE: an owner that has seen no listing of the attempts."""
    for_s = 6.0
    with running_tasks() as simulation:
        owner_of(simulation).kill()
        simulation.run(simulation.options.owner_ttl_s + load_s)
        assert simulation.owner() is not None
        with outage(simulation, for_s):
            simulation.run(for_s)
        check_done_once(simulation)


def test_start_that_was_never_carried_out_is_still_found_absent() -> None:
    """Guards against attempts that wait for ever once lists have been full."""
    with running_tasks() as simulation:
        with outage(simulation, 3.0):
            simulation.run(3.0)
        simulation.run(1.0)
        worker = simulation.agents[0].worker
        worker.late_share = 1.0
        job = simulation.make_job(SHORT)
        simulation.submit(job, simulation.entries[0])
        simulation.run(0.5)
        worker.late_share = 0.0
        simulation.run(25.0)
        assert simulation.violations() == []
        names = {run.task for run in simulation.runs() if run.how is EndReason.DONE}
        assert len(names) == 2 * N_TASKS
