"""A worker that leaves calls unanswered for a while runs nothing that it must not."""

import pytest
from job_simulation import JobSimulation

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.options import JobOptions
from almondspan_platform.task_worker import EndReason

SEED = 4
HANG_S = 5.5
N_TASKS = 40
OPTIONS = JobOptions(max_concurrent_commands=3)
LONG = (StepSpec(N_TASKS, Shape(200, 200), estimate_ms=4_600),)


def play_hang(phase_s: float) -> JobSimulation:
    """Let a worker hang while it is given more starts than it takes at once."""
    simulation = JobSimulation(SEED, n_entries=2, n_agents=2, options=OPTIONS)
    for machine in simulation.agents:
        machine.worker.start_s = 0.1
    simulation.run(6.0 + phase_s)
    worker = simulation.agents[0].worker
    simulation.run_in_loop(lambda _: worker.hang(HANG_S))
    simulation.submit(simulation.make_job(LONG), simulation.entries[0])
    return simulation


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_starts_that_waited_at_the_agent_do_not_run_beside_the_next_attempts(
    phase_s: float,
) -> None:
    """Guards against TWICE: a start that takes the lease's newest deadline."""
    simulation = play_hang(phase_s)
    try:
        simulation.run(25.0)
        assert simulation.violations() == []
        done = [run.task for run in simulation.runs() if run.how is EndReason.DONE]
        assert len(done) == len(set(done)) == N_TASKS
    finally:
        simulation.close()
