"""Room for tasks that fit nowhere: what is awaited, stopped or moved."""

from collections.abc import Iterator

import pytest
from scheduler_harness import BORN_MS, QUEUE, SERVICE, WORKER, SchedulerHarness

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, QueueRules, StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.messages import StopCommand

OTHER = WorkerId("w-2")
OLD, NEW = JobId("00000000000000aa"), JobId("00000000000000bb")
BATCH = QueueName("batch")
WIDE = Shape(1_500, 1_000)
"""Two of them fit on a worker, with 1,000 millicores to spare."""


@pytest.fixture
def bench() -> Iterator[SchedulerHarness]:
    made = SchedulerHarness()
    made.scheduler.rules = {
        QUEUE: QueueRules(SERVICE, 0, 2, 2.0, 500),
        BATCH: QueueRules(SERVICE, 2, 2, 2.0, 500),
    }
    yield made
    clocks.use_clocks()


def lasting(n_tasks: int, **fields: int) -> StepSpec:
    return StepSpec(n_tasks, WIDE, lasts=True, **fields)


def add(
    bench: SchedulerHarness, job_id: JobId, step: StepSpec, queue: QueueName = QUEUE
) -> None:
    bench.scheduler.add_job(job_id, JobSpec(queue, "payload", (step,)))
    bench.decide()


def placed(bench: SchedulerHarness, job_id: JobId) -> dict[int, WorkerId]:
    """Return the worker of each placed task by its position."""
    job = bench.scheduler.jobs[job_id]
    return {key.position: task.incarnation.worker_id for key, task in job.placed()}


def listed(
    bench: SchedulerHarness, worker: WorkerId, percent: int
) -> list[tuple[str, int, str, int, float]]:
    rows = []
    for job_id, job in bench.scheduler.jobs.items():
        for key, task in job.placed():
            if task.incarnation.worker_id == worker:
                name = f"{job_id}.{key.occurrence}.{key.step}.{key.position}"
                rows.append((name, task.n_attempts, "", percent, 0.0))
    return rows


def play(bench: SchedulerHarness, for_s: float, percent: int = 100) -> list[str]:
    """List both workers for a while; return the tasks that were to be stopped."""
    stopped = []
    for _ in range(int(for_s / 0.2)):
        for worker in (WORKER, OTHER):
            bench.list_(worker, BORN_MS, running=listed(bench, worker, percent))
        bench.pass_time(0.2)
        bench.decide()
        stopped += [order.task for order in bench.take(StopCommand)]
    return stopped


def begin(bench: SchedulerHarness, old: StepSpec) -> None:
    """Fill one worker with two old tasks; the new job may use each worker once."""
    bench.meet()
    add(bench, OLD, old)
    bench.meet(OTHER, node="node-2")
    add(bench, NEW, lasting(2, max_per_worker=1))
    assert set(placed(bench, OLD).values()) == {WORKER}
    assert placed(bench, NEW) == {0: OTHER}


def test_lasting_task_moves_to_make_room(bench: SchedulerHarness) -> None:
    begin(bench, lasting(2))
    stopped = play(bench, 8.0)
    assert len(set(stopped)) == 1
    assert stopped[0].startswith(OLD)
    bench.list_(ended=[(1, stopped[0], 1, "stopped", "")])
    bench.decide()
    assert set(placed(bench, OLD).values()) == {WORKER, OTHER}
    assert placed(bench, NEW) == {0: OTHER, 1: WORKER}


@pytest.mark.parametrize(
    ("old", "percent", "is_moved"),
    [
        pytest.param(lasting(2, n_may_be_away=1), 100, True, id="one_may_be_away"),
        pytest.param(lasting(2, n_may_be_away=1), 40, False, id="one_is_away"),
        pytest.param(lasting(2, max_per_worker=2), 100, True, id="no_limit"),
        pytest.param(
            StepSpec(2, WIDE, estimate_ms=60_000), 100, False, id="will_end_by_itself"
        ),
    ],
)
def test_which_tasks_move(
    bench: SchedulerHarness, old: StepSpec, percent: int, is_moved: bool
) -> None:
    begin(bench, old)
    assert bool(play(bench, 8.0, percent)) is is_moved


def test_task_just_placed_stays(bench: SchedulerHarness) -> None:
    begin(bench, lasting(2))
    assert play(bench, 4.0) == []


def test_less_urgent_work_is_stopped_once(bench: SchedulerHarness) -> None:
    """Also while its ends take long to be listed."""
    bench.meet()
    add(bench, OLD, StepSpec(2, WIDE, estimate_ms=60_000), BATCH)
    add(bench, NEW, StepSpec(1, WIDE, estimate_ms=500))
    rows = listed(bench, WORKER, 10)
    stopped = set()
    for _ in range(20):
        bench.list_(running=rows)
        bench.pass_time(0.2)
        bench.decide()
        stopped |= {order.task for order in bench.take(StopCommand)}
    assert len(stopped) == 1


def test_nobody_is_stopped_where_the_task_may_not_run(bench: SchedulerHarness) -> None:
    bench.meet()
    add(bench, OLD, StepSpec(1, WIDE, estimate_ms=60_000), BATCH)
    add(bench, NEW, StepSpec(2, WIDE, estimate_ms=60_000, max_per_worker=1))
    assert len(placed(bench, NEW)) == 1
    assert play(bench, 3.0) == []
