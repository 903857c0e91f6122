"""Where a task of a job graph may run, and where it runs best."""

import pytest

from almondspan_decisions.best_effort_placement import (
    deduct_start_interference,
    n_harmed_by_start,
)
from almondspan_decisions.graph_placement import (
    Candidate,
    choose_worker,
    victims_on,
)
from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress, WorkerIncarnation
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_latency_model import Image, InterferenceWeights
from almondspan_decisions.worker_record import WorkerRecord

KEY = TaskKey(0, 0, 0)
NO_HARM = InterferenceWeights({}, {})
LIVE, HEAVY, LIGHT = Image("live"), Image("heavy"), Image("light")


def worker(name: str, cpu: int = 8_000, labels: tuple[str, ...] = ()) -> WorkerRecord:
    return WorkerRecord(
        WorkerIncarnation(WorkerId(name), 1),
        ServiceName("pool"),
        PlaceName("here"),
        Shape(cpu, 16_000, 0),
        frozenset(labels),
    )


def job(step: StepSpec) -> JobProgress:
    found = JobProgress(JobId("j"), JobSpec(QueueName("q"), "", (step,)))
    found.add_due_occurrences(0)
    return found


def chosen(step: StepSpec, workers: list[WorkerRecord]) -> str | None:
    found = choose_worker(job(step), KEY, workers, NO_HARM, 0.0)
    return found.incarnation.worker_id if found is not None else None


def leaving(record: WorkerRecord) -> WorkerRecord:
    record.is_leaving = True
    return record


def rested(record: WorkerRecord) -> WorkerRecord:
    record.rested_until_s = 5.0
    return record


SMALL = Shape(1_000, 1_000, 0)


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
            StepSpec(1, Shape(9_000, 1, 0)), [worker("a")], None, id="no_room"
        ),
        pytest.param(StepSpec(1, SMALL), [leaving(worker("a"))], None, id="leaving"),
        pytest.param(
            StepSpec(1, SMALL), [rested(worker("a")), worker("b")], "b", id="rested"
        ),
        pytest.param(
            StepSpec(1, SMALL),
            [rested(worker("a"))],
            "a",
            id="rested_is_better_than_none",
        ),
        pytest.param(
            StepSpec(1, SMALL, data_rack="r2"),
            [worker("a", labels=("r1",)), worker("b", labels=("r2",))],
            "b",
            id="rack_of_the_data",
        ),
        pytest.param(
            StepSpec(1, Shape(9_000, 1_000, 0), fills=True),
            [worker("a")],
            "a",
            id="fills_beyond_the_processors",
        ),
    ],
)
def test_choice(step: StepSpec, workers: list[WorkerRecord], name: str | None) -> None:
    assert chosen(step, workers) == name


def test_limit_of_tasks_on_one_worker() -> None:
    jobs = job(StepSpec(3, SMALL, max_per_worker=1))
    first, second = worker("a"), worker("b")
    for position, expected in enumerate(["a", "b", None]):
        key = TaskKey(0, 0, position)
        found = choose_worker(jobs, key, [first, second], NO_HARM, 0.0)
        assert (found.incarnation.worker_id if found is not None else None) == expected
        if found is not None:
            jobs.place(key, found.incarnation, 0.0)
            found.take(jobs.step_of(key))


def test_task_that_fills_keeps_away_from_what_it_hurts() -> None:
    table = InterferenceWeights({(LIVE, HEAVY): 7.0}, {}, {LIVE: 1.6})
    beside, free = worker("a", 64_000), worker("b")
    beside.take(StepSpec(1, SMALL, lasts=True, image="live", tail_target_ms=10))
    step = StepSpec(1, Shape(7_000, 1_000, 0), fills=True, image="heavy")
    found = choose_worker(job(step), KEY, [beside, free], table, 0.0)
    assert found is free


SERVES = StepSpec(1, SMALL, lasts=True, image="live", tail_target_ms=10)


@pytest.mark.parametrize(
    ("image", "headroom", "n_harmed"),
    [
        pytest.param("heavy", 3.0, 0, id="enough_headroom"),
        pytest.param("heavy", 1.5, 2, id="both_tasks_that_serve"),
        pytest.param("light", 1.4, 0, id="harmless"),
        pytest.param("light", 1.31, 2, id="not_even_room_for_the_harmless"),
        pytest.param("unknown", 1.9, 2, id="never_seen"),
    ],
)
def test_harm_of_a_start_at_full_pace(
    image: str, headroom: float, n_harmed: int
) -> None:
    weights = {(LIVE, HEAVY): 7.0, (LIVE, LIGHT): 0.7}
    table = InterferenceWeights(weights, weights)
    beside = worker("a", 16_000)
    beside.take(SERVES)
    beside.take(SERVES)
    beside.headrooms[LIVE] = headroom
    step = StepSpec(1, Shape(2_000, 1_000, 0), fills=True, image=image)
    assert n_harmed_by_start(step, beside, table) == n_harmed


def test_starts_of_one_round_are_counted_together() -> None:
    table = InterferenceWeights({}, {(LIVE, HEAVY): 7.0})
    beside = worker("a", 16_000)
    beside.take(SERVES)
    beside.headrooms[LIVE] = 3.1
    step = StepSpec(1, Shape(2_000, 1_000, 0), fills=True, image="heavy")
    assert n_harmed_by_start(step, beside, table) == 0
    deduct_start_interference(step, beside, table)
    deduct_start_interference(step, beside, table)
    assert n_harmed_by_start(step, beside, table) == 1


def test_lasting_tasks_of_one_image_are_kept_together() -> None:
    same, other, empty = worker("a"), worker("b"), worker("c")
    same.take(StepSpec(1, SMALL, lasts=True, image="x", tail_target_ms=10))
    other.take(StepSpec(1, SMALL, lasts=True, image="y", tail_target_ms=10))
    step = StepSpec(1, SMALL, lasts=True, image="x", tail_target_ms=10)
    found = choose_worker(job(step), KEY, [empty, other, same], NO_HARM, 0.0)
    assert found is same


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
        pytest.param(9_000, [candidate("a", 4_000, 1.0)], [], id="never_in_vain"),
    ],
)
def test_victims(wanted: int, candidates: list[Candidate], names: list[str]) -> None:
    full = worker("a")
    full.take(StepSpec(1, Shape(8_000, 0, 0)))
    found = victims_on(StepSpec(1, Shape(wanted, 0, 0)), full, candidates)
    assert [item.job_id for item in found] == names
