"""What a job still needs: its chain, its objective and its room."""

import pytest

from almondspan_decisions.ids import JobId, ServiceName, WorkerId
from almondspan_decisions.job_demand import Room, job_demand, longest_of
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    StepSpec,
    TaskKey,
)
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.task_times import TaskTimes, timed_step

QUEUE = QueueName("q")
RULES = QueueRules(ServiceName("pool"), 0, 3, 2.0, 500)
SHAPE = Shape(2_000, 300, 1)
WORKER = WorkerIncarnation(WorkerId("w"), 1)


def make_job(*steps: StepSpec, n_occurrences: int = 0) -> JobProgress:
    spec = JobSpec(QUEUE, "", steps, n_occurrences=n_occurrences)
    job = JobProgress(JobId("a"), spec)
    job.open_occurrence()
    return job


def step(n_tasks: int = 1, estimate_ms: int = 1_000, after: tuple[int, ...] = ()):
    return StepSpec(n_tasks, SHAPE, estimate_ms, after)


@pytest.mark.parametrize(
    ("steps", "chain_s"),
    [
        pytest.param((step(), step()), 1.0, id="side_by_side"),
        pytest.param((step(), step(after=(0,))), 2.0, id="one_after_the_other"),
        pytest.param(
            (step(), step(1, 3_000), step(after=(0,)), step(after=(1, 2))),
            4.0,
            id="longest_path",
        ),
        pytest.param((step(20),), longest_of(20), id="longest_task_of_a_step"),
    ],
)
def test_chain_and_objective_of_a_new_job(
    steps: tuple[StepSpec, ...], chain_s: float
) -> None:
    demand = job_demand(make_job(*steps), RULES, TaskTimes())
    assert demand is not None
    # The mean of times that are declared wrongly by a ratio is above the declared one.
    mean_s = TaskTimes().expected(QUEUE, timed_step(JobId("a"), _spec(steps), 0)).mean_s
    assert demand.chain_s == pytest.approx(chain_s * mean_s)
    assert demand.objective_s == pytest.approx(2.0 * chain_s + 0.5)


def _spec(steps: tuple[StepSpec, ...]) -> JobSpec:
    return JobSpec(QUEUE, "", (step(),))


def test_chain_and_room_shrink_as_tasks_run_and_end() -> None:
    job = make_job(step(2), step(after=(0,)))
    times = TaskTimes()
    before = job_demand(job, RULES, times)
    first, second = TaskKey(0, 0, 0), TaskKey(0, 0, 1)
    task = job.place(first, WORKER, 0.0)
    task.ran_s, task.percent = 0.5, 50
    job.place(second, WORKER, 0.0)
    running = job_demand(job, RULES, times)
    job.end(first, EndKind.DONE, "")
    job.end(second, EndKind.DONE, "")
    after = job_demand(job, RULES, times)
    assert before is not None and running is not None and after is not None
    assert before.room.core_s > running.room.core_s > after.room.core_s > 0
    assert before.chain_s > running.chain_s > after.chain_s > 0
    assert before.attained.core_s == 0 < running.attained.core_s
    assert before.objective_s == pytest.approx(after.objective_s)
    assert [one.n_open_tasks for one in (before, running, after)] == [3, 3, 1]


def test_objective_does_not_grow_with_the_slowdown_of_the_tasks() -> None:
    """Guards against jobs that seem to be in time because all of them are slow."""
    job = make_job(step(10))
    times = TaskTimes()
    timed = timed_step(job.job_id, job.spec, 0)
    for position in range(9):
        run_s = 1.0 if position < 3 else 6.0
        times.observe(QUEUE, timed, run_s, 1.0, position)
    demand = job_demand(job, RULES, times)
    assert demand is not None
    assert demand.chain_s > 2.5
    assert demand.objective_s < 2.0 * 1.9 * longest_of(10) + 0.5


@pytest.mark.parametrize(
    ("job", "rules"),
    [
        pytest.param(make_job(StepSpec(1, SHAPE, lasts=True)), RULES, id="lasts"),
        pytest.param(
            make_job(step()),
            QueueRules(ServiceName("pool"), 0, 3, 0.0, 500),
            id="no_stretch",
        ),
        pytest.param(
            make_job(step()),
            QueueRules(ServiceName("pool"), 0, 3, 2.0, 0),
            id="no_target",
        ),
    ],
)
def test_job_without_an_objective_has_no_demand(
    job: JobProgress, rules: QueueRules
) -> None:
    assert job_demand(job, rules, TaskTimes()) is None


def test_large_step_counts_with_all_of_its_running_tasks() -> None:
    job = make_job(step(1_000))
    for position in range(1_000):
        job.place(TaskKey(0, 0, position), WORKER, 0.0)
    demand = job_demand(job, RULES, TaskTimes())
    assert demand is not None
    mean_s = demand.room.core_s / 2.0 / 1_000
    assert mean_s == pytest.approx(1.1, rel=0.1)


def test_room_fills_a_capacity_by_its_scarcest_dimension() -> None:
    room = Room(8.0, 100.0, 0.0) + Room(0.0, 300.0, 2.0)
    assert room.seconds_of(Shape(4_000, 1_000, 2)) == pytest.approx(2.0)
    assert room.seconds_of(Shape(4_000, 50, 2)) == pytest.approx(8.0)
    assert room.seconds_of(Shape()) == 0.0
