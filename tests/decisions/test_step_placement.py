"""Placement of tasks of a job graph: eligibility, cost and victims."""

import pytest

from almondspan_decisions.best_effort_pacing import TARGET_HEADROOM
from almondspan_decisions.best_effort_placement import BestEffortScores
from almondspan_decisions.eligibility import Candidate, victims_on
from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec, TaskKey
from almondspan_decisions.job_progress import (
    JobProgress,
    TaskState,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.step_placement import PlacementCosts, StepPlacement
from almondspan_decisions.tail_latency_model import Image, InterferenceWeights
from almondspan_decisions.worker_record import WorkerRecord

KEY = TaskKey(0, 0, 0)
NO_INTERFERENCE = InterferenceWeights({}, {})
LIVE, HEAVY, LIGHT = Image("live"), Image("heavy"), Image("light")


def worker(name: str, cpu: int = 8_000, labels: tuple[str, ...] = ()) -> WorkerRecord:
    return WorkerRecord(
        WorkerIncarnation(WorkerId(name), 1),
        ServiceName("pool"),
        PlaceName("here"),
        Shape(cpu, 16_000, 0),
        frozenset(labels),
    )


def make_job(step: StepSpec) -> JobProgress:
    found = JobProgress(JobId("j"), JobSpec(QueueName("q"), "", (step,)))
    found.add_due_occurrences(0)
    return found


def make_placement(
    job: JobProgress,
    workers: list[WorkerRecord],
    interference: InterferenceWeights = NO_INTERFERENCE,
) -> StepPlacement:
    costs = PlacementCosts(BestEffortScores(interference), 0.0)
    return StepPlacement(job, 0, 0, workers, costs)


def choose(
    step: StepSpec,
    workers: list[WorkerRecord],
    interference: InterferenceWeights = NO_INTERFERENCE,
    avoided: tuple[WorkerId, ...] = (),
) -> WorkerRecord | None:
    placement = make_placement(make_job(step), workers, interference)
    return placement.cheapest(TaskState(avoided=avoided))


def chosen(
    step: StepSpec,
    workers: list[WorkerRecord],
    avoided: tuple[WorkerId, ...] = (),
) -> str | None:
    found = choose(step, workers, avoided=avoided)
    return found.incarnation.worker_id if found is not None else None


def leaving(record: WorkerRecord) -> WorkerRecord:
    record.is_leaving = True
    return record


def rested(record: WorkerRecord) -> WorkerRecord:
    record.rested_until_s = 5.0
    return record


SMALL = Shape(1_000, 1_000, 0)

OTHER_TASK = (JobId("other"), KEY)


def trying(record: WorkerRecord) -> WorkerRecord:
    record.trials.add(OTHER_TASK)
    return record


def crashed(record: WorkerRecord) -> WorkerRecord:
    record.crashed_s = -1.0
    return record


def keeping_apart(record: WorkerRecord) -> WorkerRecord:
    record.kept_apart.add(OTHER_TASK)
    return record


@pytest.mark.parametrize(
    ("workers", "task", "expected"),
    [
        pytest.param(
            [trying(worker("a")), worker("b", 2_000)],
            TaskState(n_crashes=1, needs_trial=True),
            "b",
            id="trial_where_no_other_is",
        ),
        pytest.param(
            [trying(worker("a"))],
            TaskState(n_crashes=1, needs_trial=True),
            None,
            id="no_worker_without_a_trial",
        ),
        pytest.param(
            [trying(worker("a")), worker("b", 2_000)],
            TaskState(n_crashes=1),
            "a",
            id="not_in_doubt",
        ),
        pytest.param(
            [crashed(worker("a")), worker("b", 2_000)],
            TaskState(n_crashes=1),
            "b",
            id="off_a_worker_that_has_just_crashed",
        ),
        pytest.param(
            [crashed(worker("a")), worker("b", 2_000)],
            TaskState(),
            "a",
            id="no_crashes",
        ),
        pytest.param(
            [keeping_apart(worker("a")), worker("b", 2_000)],
            TaskState(n_crashes=2),
            "b",
            id="apart_from_others_like_it",
        ),
        pytest.param(
            [keeping_apart(worker("a")), worker("b", 2_000)],
            TaskState(n_crashes=1),
            "a",
            id="one_crash_only",
        ),
    ],
)
def test_task_under_which_workers_crash(
    workers: list[WorkerRecord], task: TaskState, expected: str | None
) -> None:
    found = make_placement(make_job(StepSpec(1, SMALL)), workers).cheapest(task)
    name = found.incarnation.worker_id if found is not None else None
    assert name == expected


@pytest.mark.parametrize(
    ("step", "workers", "name"),
    [
        pytest.param(
            StepSpec(1, SMALL, label="b"),
            [worker("a"), worker("b", labels=("b",))],
            "b",
            id="label",
        ),
        pytest.param(
            StepSpec(1, Shape(9_000, 1, 0)), [worker("a")], None, id="no_capacity"
        ),
        pytest.param(StepSpec(1, SMALL), [leaving(worker("a"))], None, id="leaving"),
        pytest.param(
            StepSpec(1, SMALL), [rested(worker("a")), worker("b")], "b", id="rested"
        ),
        pytest.param(
            StepSpec(1, SMALL),
            [rested(worker("a"))],
            "a",
            id="rested_if_no_other",
        ),
        pytest.param(
            StepSpec(1, SMALL, data_rack="r2"),
            [worker("a", labels=("r1",)), worker("b", labels=("r2",))],
            "b",
            id="data_rack",
        ),
        pytest.param(
            StepSpec(1, Shape(9_000, 1_000, 0), fills=True),
            [worker("a")],
            "a",
            id="best_effort_ignores_processors",
        ),
    ],
)
def test_choice(step: StepSpec, workers: list[WorkerRecord], name: str | None) -> None:
    assert chosen(step, workers) == name


def test_limit_of_tasks_on_one_worker() -> None:
    job = make_job(StepSpec(3, SMALL, max_per_worker=1))
    placement = make_placement(job, [worker("a"), worker("b")])
    for position, expected in enumerate(["a", "b", None]):
        key = TaskKey(0, 0, position)
        task = job.task(key)
        assert task is not None
        found = placement.cheapest(task)
        assert (found.incarnation.worker_id if found is not None else None) == expected
        if found is not None:
            job.place(key, found.incarnation, 0.0)
            found.allocate(job.step_of(key))
            placement.on_placed(found)


def test_limit_counts_tasks_placed_before() -> None:
    job = make_job(StepSpec(2, SMALL, max_per_worker=1))
    first, second = worker("a"), worker("b")
    job.place(KEY, first.incarnation, 0.0)
    found = make_placement(job, [first, second]).cheapest(TaskState())
    assert found is second


def test_task_avoids_the_worker_on_which_it_failed() -> None:
    used = worker("b")
    used.allocate(StepSpec(1, Shape(4_000, 1_000, 0)))
    workers = [worker("a"), used]
    step = StepSpec(1, SMALL)
    assert chosen(step, workers) == "a"
    assert chosen(step, workers, avoided=(WorkerId("a"),)) == "b"


def test_placed_tasks_spread_over_workers_of_equal_load() -> None:
    job = make_job(StepSpec(6, SMALL))
    placement = make_placement(job, [worker("a"), worker("b"), worker("c")])
    names = []
    for position in range(6):
        found = placement.cheapest(TaskState())
        assert found is not None
        job.place(TaskKey(0, 0, position), found.incarnation, 0.0)
        found.allocate(job.spec.steps[0])
        placement.on_placed(found)
        names.append(found.incarnation.worker_id)
    assert names == ["a", "b", "c", "a", "b", "c"]


def test_best_effort_task_avoids_sensitive_serving_tasks() -> None:
    interference = InterferenceWeights({(LIVE, HEAVY): 7.0}, {}, {LIVE: 1.6})
    beside, free = worker("a", 64_000), worker("b")
    beside.allocate(StepSpec(1, SMALL, lasts=True, image="live", tail_target_ms=10))
    step = StepSpec(1, Shape(7_000, 1_000, 0), fills=True, image="heavy")
    assert choose(step, [beside, free], interference) is free


SERVING_STEP = StepSpec(1, SMALL, lasts=True, image="live", tail_target_ms=10)


@pytest.mark.parametrize(
    ("image", "headroom", "n_affected"),
    [
        pytest.param("heavy", 3.0, 0, id="enough_headroom"),
        pytest.param("heavy", 1.5, 2, id="both_serving_tasks"),
        pytest.param("light", 1.4, 0, id="low_weight"),
        pytest.param("light", 1.31, 2, id="too_little_headroom_for_low_weight"),
        pytest.param("unknown", 1.9, 2, id="unknown_image"),
    ],
)
def test_serving_tasks_affected_by_a_start(
    image: str, headroom: float, n_affected: int
) -> None:
    weights = {(LIVE, HEAVY): 7.0, (LIVE, LIGHT): 0.7}
    scores = BestEffortScores(InterferenceWeights(weights, weights))
    beside = worker("a", 16_000)
    beside.allocate(SERVING_STEP)
    beside.allocate(SERVING_STEP)
    beside.headrooms[LIVE] = headroom
    step = StepSpec(1, Shape(2_000, 1_000, 0), fills=True, image=image)
    assert scores.n_affected_by_start(step, beside) == n_affected


def test_starts_before_the_next_poll_add_up() -> None:
    scores = BestEffortScores(InterferenceWeights({}, {(LIVE, HEAVY): 7.0}))
    beside = worker("a", 16_000)
    beside.allocate(SERVING_STEP)
    beside.headrooms[LIVE] = 3.1
    step = StepSpec(1, Shape(2_000, 1_000, 0), fills=True, image="heavy")
    assert scores.n_affected_by_start(step, beside) == 0
    scores.deduct_start(step, beside)
    scores.deduct_start(step, beside)
    assert scores.n_affected_by_start(step, beside) == 1


def test_lasting_tasks_of_one_image_are_kept_together() -> None:
    same, other, empty = worker("a"), worker("b"), worker("c")
    same.allocate(StepSpec(1, SMALL, lasts=True, image="x", tail_target_ms=10))
    other.allocate(StepSpec(1, SMALL, lasts=True, image="y", tail_target_ms=10))
    step = StepSpec(1, SMALL, lasts=True, image="x", tail_target_ms=10)
    assert choose(step, [empty, other, same]) is same


def test_lasting_tasks_of_alike_images_share_workers() -> None:
    """Guards against spreading images over workers without regard to their groups."""
    alike, unlike = worker("a"), worker("b")
    unlike.allocate(StepSpec(1, SMALL, lasts=True, image="y", tail_target_ms=10))
    alike.allocate(StepSpec(1, SMALL, lasts=True, image="z", tail_target_ms=10))
    step = StepSpec(1, SMALL, lasts=True, image="x", tail_target_ms=10)
    interference = InterferenceWeights({}, alike={(Image("x"), Image("z")): 0.9})
    assert choose(step, [unlike, alike], interference) is alike


def test_observed_budget_sets_the_expected_speed() -> None:
    """Guards against the mean level where tasks of other phases share a worker."""
    beside = worker("a", 16_000)
    beside.allocate(SERVING_STEP)
    weights = {(LIVE, HEAVY): 7.0}
    scores = BestEffortScores(InterferenceWeights(weights, weights, {LIVE: 3.0}))
    step = StepSpec(1, Shape(2_000, 1_000, 0), fills=True, image="heavy")
    assert scores.speed(step, beside, n_added=1) == 1.0
    for number in range(20):
        beside.budget.observe({LIVE: TARGET_HEADROOM + 0.3}, 0.4 * number)
    assert scores.speed(step, beside, n_added=1) == pytest.approx(0.3 / (7.0 / 8))


def candidate(name: str, cpu: int, loss_s: float) -> Candidate:
    return Candidate(JobId(name), KEY, Shape(cpu, 0, 0), loss_s)


@pytest.mark.parametrize(
    ("wanted", "candidates", "names"),
    [
        pytest.param(
            3_000,
            [candidate("dear", 4_000, 9.0), candidate("cheap", 4_000, 1.0)],
            ["cheap"],
            id="lowest_loss",
        ),
        pytest.param(
            6_000,
            [candidate("a", 4_000, 2.0), candidate("b", 4_000, 1.0)],
            ["b", "a"],
            id="as_many_as_needed",
        ),
        pytest.param(9_000, [candidate("a", 4_000, 1.0)], [], id="none_if_not_enough"),
    ],
)
def test_victims(wanted: int, candidates: list[Candidate], names: list[str]) -> None:
    full = worker("a")
    full.allocate(StepSpec(1, Shape(8_000, 0, 0)))
    found = victims_on(StepSpec(1, Shape(wanted, 0, 0)), full, candidates)
    assert [item.job_id for item in found] == names
