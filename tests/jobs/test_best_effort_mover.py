"""Best-effort tasks move only to workers where they run much faster."""

import pytest
from scheduler_harness import JOB, QUEUE, STARTED_MS, SchedulerHarness

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.messages import StopCommand
from almondspan_jobs.records import InterferenceRecord

OTHER = WorkerId("w-2")
SERVING_JOB = JobId("00000000000000aa")
SERVING_STEP = StepSpec(
    1, Shape(1_000, 1_000), lasts=True, image="live", tail_target_ms=10
)
BEST_EFFORT_STEP = StepSpec(
    1,
    Shape(2_000, 1_000),
    estimate_ms=10_000,
    fills=True,
    image="heavy",
    saves_progress=True,
)
TASK = f"{JOB}.0.0.0"
TAIL_MS = 4.0


def place_tasks(harness: SchedulerHarness, step: StepSpec, weight: float = 7.0) -> None:
    """Place a best-effort task beside a serving task, on the only worker."""
    interference = InterferenceRecord([("live", "heavy", weight, 0.01)], {"live": 2.4})
    harness.scheduler.load_interference(interference)
    harness.report_worker(labels=["r1", step.label])
    harness.scheduler.add_job(SERVING_JOB, JobSpec(QUEUE, "payload", (SERVING_STEP,)))
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (step,)))
    harness.plan_and_store()
    assert harness.scheduler.jobs[JOB].n_placed == 1


def run_listings(
    harness: SchedulerHarness, for_s: float, percent: int = 5
) -> list[str]:
    """List both workers for a while; return the tasks that were told to stop."""
    stopped = []
    for _ in range(int(for_s / 0.2)):
        harness.list_worker(
            running=[
                (f"{SERVING_JOB}.0.0.0", 1, "", 100, TAIL_MS),
                (TASK, 1, "", percent, 400.0),
            ]
        )
        if OTHER in harness.scheduler.workers:
            harness.list_worker(OTHER, STARTED_MS)
        harness.advance(0.2)
        stopped += [command.task for command in harness.take_sent(StopCommand)]
    return stopped


def test_slow_task_moves_to_an_empty_worker(harness: SchedulerHarness) -> None:
    place_tasks(harness, BEST_EFFORT_STEP)
    harness.report_worker(OTHER, node="node-2")
    assert TASK in run_listings(harness, 3.0)
    harness.list_worker(ended=[(1, TASK, 1, "stopped", "half")])
    harness.plan_and_store()
    task = harness.scheduler.jobs[JOB].occurrences[0][0].tasks[0]
    assert task.incarnation is not None
    assert (task.incarnation.worker_id, task.checkpoint) == (OTHER, "half")


@pytest.mark.parametrize(
    ("step", "percent", "has_other"),
    [
        pytest.param(BEST_EFFORT_STEP, 5, False, id="no_other_worker"),
        pytest.param(BEST_EFFORT_STEP, 99, True, id="nearly_done"),
        pytest.param(
            StepSpec(1, Shape(2_000, 1_000), 10_000, fills=True, image="heavy"),
            5,
            True,
            id="does_not_save_progress",
        ),
        pytest.param(
            StepSpec(
                1,
                Shape(2_000, 1_000),
                10_000,
                fills=True,
                image="heavy",
                saves_progress=True,
                label="r9",
            ),
            5,
            True,
            id="ineligible_elsewhere",
        ),
    ],
)
def test_task_that_should_not_move_stays(
    harness: SchedulerHarness, step: StepSpec, percent: int, has_other: bool
) -> None:
    place_tasks(harness, step)
    if has_other:
        harness.report_worker(OTHER, node="node-2")
    assert TASK not in run_listings(harness, 3.0, percent)


def test_task_that_is_not_slowed_down_stays(harness: SchedulerHarness) -> None:
    place_tasks(harness, BEST_EFFORT_STEP, weight=0.7)
    harness.report_worker(OTHER, node="node-2")
    assert TASK not in run_listings(harness, 3.0)
