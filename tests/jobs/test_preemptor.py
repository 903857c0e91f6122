"""Capacity for tasks that fit on no worker: which tasks are stopped or moved."""

import pytest
from scheduler_harness import QUEUE, SERVICE, STARTED_MS, WORKER, SchedulerHarness

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    StepSpec,
    TaskKey,
)
from almondspan_decisions.shapes import Shape
from almondspan_jobs.messages import StopCommand

OTHER = WorkerId("w-2")
OLD, NEW = JobId("00000000000000aa"), JobId("00000000000000bb")
BATCH = QueueName("batch")
WIDE = Shape(1_500, 1_000)
"""Two of these fit on a worker and leave 1,000 millicores free."""


@pytest.fixture
def harness(harness: SchedulerHarness) -> SchedulerHarness:
    harness.scheduler.rules = {
        QUEUE: QueueRules(SERVICE, 0, 2, 2.0, 500),
        BATCH: QueueRules(SERVICE, 2, 2, 2.0, 500),
    }
    return harness


def lasting(n_tasks: int, **fields: int) -> StepSpec:
    return StepSpec(n_tasks, WIDE, lasts=True, **fields)


def add(
    harness: SchedulerHarness, job_id: JobId, step: StepSpec, queue: QueueName = QUEUE
) -> None:
    harness.scheduler.add_job(job_id, JobSpec(queue, "payload", (step,)))
    harness.plan_and_store()


def placed(harness: SchedulerHarness, job_id: JobId) -> dict[int, WorkerId]:
    """Return the worker of each placed task, by its position in the step."""
    job = harness.scheduler.jobs[job_id]
    return {key.position: task.incarnation.worker_id for key, task in job.placed()}


def listed(
    harness: SchedulerHarness, worker: WorkerId, percent: int
) -> list[tuple[str, int, str, int, float]]:
    rows = []
    for job_id, job in harness.scheduler.jobs.items():
        for key, task in job.placed():
            if task.incarnation.worker_id == worker:
                name = f"{job_id}.{key.occurrence}.{key.step}.{key.position}"
                rows.append((name, task.n_attempts, "", percent, 0.0))
    return rows


def run_listings(
    harness: SchedulerHarness, for_s: float, percent: int = 100
) -> list[str]:
    """List both workers for a while; return the tasks that were told to stop."""
    stopped = []
    for _ in range(int(for_s / 0.2)):
        for worker in (WORKER, OTHER):
            harness.list_worker(
                worker, STARTED_MS, running=listed(harness, worker, percent)
            )
        harness.advance(0.2)
        harness.plan_and_store()
        stopped += [command.task for command in harness.take_sent(StopCommand)]
    return stopped


def place_tasks(harness: SchedulerHarness, old: StepSpec) -> None:
    """Fill one worker with two old tasks; add a job limited to one task per worker."""
    harness.report_worker()
    add(harness, OLD, old)
    harness.report_worker(OTHER, node="node-2")
    add(harness, NEW, lasting(2, max_per_worker=1))
    assert set(placed(harness, OLD).values()) == {WORKER}
    assert placed(harness, NEW) == {0: OTHER}


def test_lasting_task_moves_to_free_capacity(harness: SchedulerHarness) -> None:
    place_tasks(harness, lasting(2))
    stopped = run_listings(harness, 8.0)
    assert len(set(stopped)) == 1
    assert stopped[0].startswith(OLD)
    harness.list_worker(ended=[(1, stopped[0], 1, "stopped", "")])
    harness.plan_and_store()
    assert set(placed(harness, OLD).values()) == {WORKER, OTHER}
    assert placed(harness, NEW) == {0: OTHER, 1: WORKER}


@pytest.mark.parametrize(
    ("old", "percent", "is_moved"),
    [
        pytest.param(lasting(2, n_may_be_away=1), 100, True, id="one_may_be_away"),
        pytest.param(lasting(2, n_may_be_away=1), 40, False, id="one_is_away"),
        pytest.param(lasting(2, max_per_worker=2), 100, True, id="no_limit"),
        pytest.param(
            StepSpec(2, WIDE, estimate_ms=60_000), 100, False, id="not_lasting"
        ),
    ],
)
def test_only_lasting_tasks_that_may_be_away_move(
    harness: SchedulerHarness, old: StepSpec, percent: int, is_moved: bool
) -> None:
    place_tasks(harness, old)
    assert bool(run_listings(harness, 8.0, percent)) is is_moved


@pytest.mark.parametrize("is_stopping", [False, True])
def test_task_that_is_being_stopped_counts_as_away(
    harness: SchedulerHarness, is_stopping: bool
) -> None:
    """Its worker still lists it at work, until it has ended."""
    harness.report_worker()
    add(harness, OLD, lasting(3, n_may_be_away=1))
    harness.report_worker(OTHER, node="node-2", cpu_millicores=6_000)
    add(harness, NEW, lasting(2, max_per_worker=1))
    assert placed(harness, OLD) == {0: WORKER, 1: WORKER, 2: OTHER}
    assert placed(harness, NEW) == {0: OTHER}
    run_listings(harness, 0.4)
    task = harness.scheduler.jobs[OLD].task(TaskKey(0, 0, 2))
    assert task is not None
    task.is_stopping = is_stopping
    stopped = {name for name in run_listings(harness, 8.0) if name[-1] != "2"}
    assert len(stopped) == (0 if is_stopping else 1)


def test_recently_placed_task_stays(harness: SchedulerHarness) -> None:
    place_tasks(harness, lasting(2))
    assert run_listings(harness, 4.0) == []


def test_less_urgent_task_is_stopped_once(harness: SchedulerHarness) -> None:
    """Also while the ends of the stopped tasks take long to be listed."""
    harness.report_worker()
    add(harness, OLD, StepSpec(2, WIDE, estimate_ms=60_000), BATCH)
    add(harness, NEW, StepSpec(1, WIDE, estimate_ms=500))
    rows = listed(harness, WORKER, 10)
    stopped = set()
    for _ in range(20):
        harness.list_worker(running=rows)
        harness.advance(0.2)
        harness.plan_and_store()
        stopped |= {command.task for command in harness.take_sent(StopCommand)}
    assert len(stopped) == 1


def test_no_task_is_stopped_on_an_ineligible_worker(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    add(harness, OLD, StepSpec(1, WIDE, estimate_ms=60_000), BATCH)
    add(harness, NEW, StepSpec(2, WIDE, estimate_ms=60_000, max_per_worker=1))
    assert len(placed(harness, NEW)) == 1
    assert run_listings(harness, 3.0) == []
