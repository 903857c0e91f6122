"""How long jobs wait for the owner while its store is far away or slow."""

import random
from collections.abc import Iterator

import pytest
from job_simulation import JobSimulation

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape

STEPS = (
    StepSpec(8, Shape(100, 100), 400),
    StepSpec(8, Shape(100, 100), 400, after=(0,)),
)


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    made = JobSimulation(seed=1, n_agents=8)
    yield made
    made.close()


def first_times(trace: list[str], event: str, field: str) -> dict[str, float]:
    """Return when an event was first logged for each job."""
    found: dict[str, float] = {}
    for line in trace:
        time_s, _, name, *fields = line.split()
        if name == event:
            value = next(text for text in fields if text.startswith(f"{field}="))
            job = value.removeprefix(f"{field}=").split(".")[0]
            found.setdefault(job, float(time_s))
    return found


@pytest.mark.parametrize("answer_s", [0.015, 0.1, 0.25])
def test_jobs_are_planned_while_changes_are_stored(
    simulation: JobSimulation, answer_s: float
) -> None:
    """Guards against planning that waits until no change is left to store.

    The load: 12 jobs a second, whose ends alone keep the store busy.
    """
    for machine in simulation.entries:
        machine.faults.answer_s = answer_s
    rng = random.Random(1)

    def submit(_: JobSimulation) -> None:
        simulation.submit(simulation.make_job(STEPS), rng.choice(simulation.entries))

    simulation.run(4.0)
    for _ in range(120):
        simulation.run_in_loop(submit)
        simulation.run(1 / 12)
    seen_s = first_times(simulation.trace, "job_seen", "job")
    placed_s = first_times(simulation.trace, "task_placed", "task")
    waits_s = [placed_s[job] - seen_s[job] for job in placed_s]
    assert len(waits_s) >= 100
    assert max(waits_s) < 0.1
