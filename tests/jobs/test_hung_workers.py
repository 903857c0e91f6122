"""A worker that leaves calls unanswered for a while runs nothing that it must not."""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from job_simulation import JobSimulation

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.options import JobOptions
from almondspan_platform.task_worker import EndReason

SEED = 4
N_TASKS = 40
CANCEL_LIMIT_S = 3.0
OPTIONS = JobOptions(max_concurrent_commands=3)
LONG = (StepSpec(N_TASKS, Shape(200, 200), estimate_ms=4_600),)


@contextmanager
def hung_worker(
    n_agents: int, hang_s: float, phase_s: float = 0.0
) -> Iterator[JobSimulation]:
    """Let a worker hang while it is given more starts than it takes at once."""
    simulation = JobSimulation(SEED, 2, n_agents, options=OPTIONS)
    try:
        for machine in simulation.agents:
            machine.worker.start_s = 0.1
        simulation.run(6.0 + phase_s)
        worker = simulation.agents[0].worker
        simulation.run_in_loop(lambda _: worker.hang(hang_s))
        simulation.submit(simulation.make_job(LONG), simulation.entries[0])
        yield simulation
    finally:
        simulation.close()


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_starts_that_waited_at_the_agent_do_not_run_beside_the_next_attempts(
    phase_s: float,
) -> None:
    """Guards against TWICE: a start that takes the lease's newest deadline."""
    with hung_worker(2, 5.5, phase_s) as simulation:
        simulation.run(25.0)
        assert simulation.violations() == []
        done = [run.task for run in simulation.runs() if run.how is EndReason.DONE]
        assert len(done) == len(set(done)) == N_TASKS


@pytest.mark.parametrize("cancel_s", [0.3, 0.6, 0.9])
def test_starts_of_a_cancelled_job_do_not_reach_a_worker_that_answers_again(
    cancel_s: float,
) -> None:
    """Guards against UNASKED: starts that wait at the agent behind others."""
    with hung_worker(1, 4.0) as simulation:
        simulation.run(cancel_s)
        (job,) = simulation.jobs.values()
        simulation.cancel(job, simulation.entries[0])
        simulation.run(15.0)
        assert job.cancelled_s is not None
        limit_s = job.cancelled_s + CANCEL_LIMIT_S
        late = [run for run in simulation.runs() if run.begun_s > limit_s]
        assert late == []
        assert simulation.violations() == []
