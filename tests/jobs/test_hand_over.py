"""No task runs twice around a hand-over, or after a pause of an owner or an agent."""

from collections.abc import Callable, Iterator

import pytest
from job_schedule import run_schedule
from job_simulation import (
    JobSimulation,
    SimulatedEntry,
    owner_of,
    refuse,
    silence,
    started,
)

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_platform.task_worker import EndReason

SEED = 3
N_LASTING = 6
N_SHORT = 8
LASTING = (StepSpec(N_LASTING, Shape(500, 500), lasts=True, max_per_worker=3),)
SHORT = (StepSpec(N_SHORT, Shape(500, 500), estimate_ms=800),)

HAND_OVERS = [
    pytest.param(("pause_owner", "pause_owner", "pause_agent"), id="pauses"),
    pytest.param(("pause_owner", "late_orders", "pause_agent"), id="late_commands"),
    pytest.param(("pause_owner", "store_slow", "cut_agent_off"), id="slow_store"),
    pytest.param(("pause_owner", "revoke_owner_key", "late_orders"), id="lost_key"),
    pytest.param(("pause_owner", "kill_owner", "late_orders"), id="killed_owner"),
    pytest.param(("pause_owner", "store_loses_answers", "cut"), id="lost_answers"),
    pytest.param(
        ("store_refuses_some", "pause_owner", "crash_worker"), id="restarted_worker"
    ),
]
"""Faults of which at least one makes another entry take over."""


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(5, n_entries=3, n_agents=3)


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(refuse, id="refused_by_the_store"),
        pytest.param(silence, id="unanswered_by_the_store"),
    ],
)
def test_tasks_of_an_agent_that_only_the_earlier_owner_reaches_run_once(
    simulation: JobSimulation, fault: Callable[[SimulatedEntry], None]
) -> None:
    """Guards against leases that the earlier owner extends after the hand-over.

    The earlier owner reaches nothing else, so it does not learn of its successor. The
    successor can't reach the agent, so it starts the tasks elsewhere once every lease
    that the earlier owner may have granted has expired.
    """
    job = simulation.make_job(LASTING)
    simulation.submit(job, simulation.entries[0])
    simulation.run(3.0)
    earlier = owner_of(simulation)
    machine = simulation.agents[0]
    held = {run.task for run in machine.worker.runs if run.ended_s is None}
    assert held
    others = (*simulation.entries, *simulation.agents[1:])
    names = [other.name for other in others if other is not earlier]
    for cut_off in (machine, earlier):
        simulation.hub.cuts |= {frozenset({cut_off.name, name}) for name in names}
    fault(earlier)
    simulation.run(20.0)
    running = {run.task: run for run in simulation.runs() if run.ended_s is None}
    assert len(running) == N_LASTING
    moved = {run.worker_id for task, run in running.items() if task in held}
    assert machine.worker.worker_id not in moved
    assert simulation.violations() == []


@pytest.mark.parametrize("pause_s", [0.5, 2.0, 5.0, 12.0])
def test_starts_that_a_paused_agent_holds_do_not_run_twice(
    simulation: JobSimulation, pause_s: float
) -> None:
    """Guards against starts that are carried out after their tasks ran elsewhere."""
    machine = simulation.agents[0]
    simulation.pause(machine.process, pause_s)
    job = simulation.make_job(SHORT)
    simulation.submit(job, simulation.entries[0])
    simulation.run(pause_s + 15.0)
    done = [run.task for run in simulation.runs() if run.how is EndReason.DONE]
    assert len(done) == len(set(done)) == N_SHORT
    assert simulation.violations() == []


@pytest.mark.parametrize("faults", HAND_OVERS)
def test_schedules_with_a_hand_over(faults: tuple[str, ...]) -> None:
    result = run_schedule(SEED, faults)
    n_takeovers = sum(" takeover " in line for line in result.trace)
    assert n_takeovers > 1
    assert result.violations == []
