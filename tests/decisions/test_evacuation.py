"""Which tasks in an evacuated place move, and until when starts may begin."""

from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspan_decisions.evacuation import (
    MAX_MOVES,
    EvacuationTerms,
    Outlook,
    PlacedTask,
    decide,
    is_away,
)
from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec, TaskKey
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    TaskState,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.worker_record import WorkerRecord

SERVICE = ServiceName("pool")
CAPACITY = Shape(8_000, 16_000)
SMALL = Shape(1_000, 1_000)
NOW_S = 100.0
SILENT_S = 1.6
LASTING = StepSpec(4, SMALL, lasts=True, n_may_be_away=1)
LONG = StepSpec(1, SMALL, estimate_ms=20_000, saves_progress=True)


def worker(name: str, capacity: Shape = CAPACITY) -> WorkerRecord:
    place = PlaceName("near" if name.startswith("near") else "far")
    return WorkerRecord(
        WorkerIncarnation(WorkerId(name), 1), SERVICE, place, capacity, frozenset()
    )


SOURCE = worker("near")


def place(job: JobProgress, percent: int = 100) -> list[PlacedTask]:
    """Place every task of a job's first step on the source, listed just now."""
    placed = []
    for key in job.waiting(0, 0):
        task = job.place(key, SOURCE.incarnation, NOW_S - 10.0)
        task.is_stored, task.n_sends = True, 1
        task.listed_s, task.percent = NOW_S - 0.1, percent
        placed.append(PlacedTask(job, key, 0, SERVICE))
    return placed


def make_job(step: StepSpec, name: str = "0123456789abcdef") -> JobProgress:
    job = JobProgress(JobId(name), JobSpec(QueueName("q"), "p", (step,)))
    job.add_due_occurrences(0)
    return job


def outlooks(
    tasks: Sequence[PlacedTask],
    workers: Sequence[WorkerRecord] = (worker("far"),),
    moved: Sequence[PlacedTask] = (),
) -> list[Outlook]:
    found = decide(tasks, moved, {SERVICE: workers}, NOW_S, SILENT_S)
    by_key = {(placed.job.job_id, placed.key): outlook for placed, outlook in found}
    return [by_key[(placed.job.job_id, placed.key)] for placed in tasks]


# Batch tasks


@pytest.mark.parametrize(
    ("step", "percent", "outlook"),
    [
        pytest.param(LONG, 10, Outlook.MOVES, id="long"),
        pytest.param(LONG, 90, Outlook.ENDS_SOON, id="nearly_done"),
        pytest.param(
            replace(LONG, saves_progress=False),
            10,
            Outlook.SAVES_NO_PROGRESS,
            id="would_lose_its_work",
        ),
        pytest.param(
            replace(LONG, estimate_ms=2_000), 0, Outlook.ENDS_SOON, id="short"
        ),
        pytest.param(replace(LONG, fills=True), 10, Outlook.MOVES, id="best_effort"),
    ],
)
def test_batch_task(step: StepSpec, percent: int, outlook: Outlook) -> None:
    assert outlooks(place(make_job(step), percent)) == [outlook]


@pytest.mark.parametrize(
    ("ran_s", "percent", "outlook"),
    [
        pytest.param(4.0, 80, Outlook.ENDS_SOON, id="faster_than_declared"),
        pytest.param(12.0, 10, Outlook.MOVES, id="slower_than_declared"),
    ],
)
def test_progress_counts_more_than_the_declared_time(
    ran_s: float, percent: int, outlook: Outlook
) -> None:
    [placed] = place(make_job(replace(LONG, estimate_ms=10_000)), percent)
    placed.state.ran_s = ran_s
    assert outlooks([placed]) == [outlook]


def stop(task: TaskState) -> None:
    task.is_stopping = True


def revoke(task: TaskState) -> None:
    task.is_revoking = True


def unlist(task: TaskState) -> None:
    task.listed_s = 0.0


@pytest.mark.parametrize(
    ("change", "outlook"),
    [
        pytest.param(stop, Outlook.STOPPING, id="stopping"),
        pytest.param(revoke, Outlook.STOPPING, id="revoking"),
        pytest.param(unlist, Outlook.UNCONFIRMED, id="not_listed"),
    ],
)
def test_task_whose_state_does_not_allow_a_move(
    change: Callable[[TaskState], None], outlook: Outlook
) -> None:
    [placed] = place(make_job(LONG), 10)
    change(placed.state)
    assert outlooks([placed]) == [outlook]


# Lasting tasks


@pytest.mark.parametrize(
    ("n_may_be_away", "n_moves", "rest"),
    [
        pytest.param(0, 0, Outlook.NONE_MAY_BE_AWAY, id="none"),
        pytest.param(1, 1, Outlook.OTHERS_ARE_AWAY, id="one"),
        pytest.param(3, 3, Outlook.OTHERS_ARE_AWAY, id="three"),
        pytest.param(9, 4, Outlook.MOVES, id="all"),
    ],
)
def test_lasting_tasks_move_within_their_allowance(
    n_may_be_away: int, n_moves: int, rest: Outlook
) -> None:
    step = replace(LASTING, n_may_be_away=n_may_be_away)
    found = outlooks(place(make_job(step)))
    assert found.count(Outlook.MOVES) == n_moves
    assert set(found) - {Outlook.MOVES} <= {rest}


def wait_again(job: JobProgress) -> None:
    job.end(TaskKey(0, 0, 3), EndKind.INTERRUPTED, "")


def warm_up(job: JobProgress) -> None:
    task = job.task(TaskKey(0, 0, 3))
    assert task is not None
    task.percent = 60


def fall_silent(job: JobProgress) -> None:
    task = job.task(TaskKey(0, 0, 3))
    assert task is not None
    task.listed_s = NOW_S - SILENT_S - 0.1


def stop_one(job: JobProgress) -> None:
    task = job.task(TaskKey(0, 0, 3))
    assert task is not None
    task.is_stopping = True


@pytest.mark.parametrize("change", [wait_again, warm_up, fall_silent, stop_one])
def test_tasks_that_are_away_use_up_the_allowance(
    change: Callable[[JobProgress], None],
) -> None:
    """Also one whose worker is silent, and one that is being stopped elsewhere."""
    job = make_job(LASTING)
    others = place(job)[:3]
    change(job)
    assert outlooks(others) == [Outlook.OTHERS_ARE_AWAY] * 3


def test_task_that_is_not_at_work_moves_first_hand() -> None:
    """It is away already; its move makes no further task of the step away."""
    job = make_job(LASTING)
    placed = place(job)
    warm_up(job)
    assert outlooks(placed).count(Outlook.MOVES) == 1
    assert outlooks(placed)[3] is Outlook.MOVES


# Capacity


@pytest.mark.parametrize(
    ("capacity", "n_moves"),
    [
        pytest.param(Shape(500, 500), 0, id="none_fits"),
        pytest.param(Shape(2_000, 8_000), 2, id="processors"),
        pytest.param(Shape(8_000, 3_000), 3, id="memory"),
    ],
)
def test_no_more_move_than_fit_elsewhere(capacity: Shape, n_moves: int) -> None:
    tasks = place(make_job(replace(LONG, n_tasks=5)), 10)
    found = outlooks(tasks, [worker("far", capacity)])
    assert found.count(Outlook.MOVES) == n_moves
    assert found.count(Outlook.NO_CAPACITY) == 5 - n_moves


def test_nothing_moves_without_workers_elsewhere() -> None:
    assert outlooks(place(make_job(LONG), 10), []) == [Outlook.NO_CAPACITY]


def test_capacity_for_tasks_that_were_stopped_before_is_set_aside() -> None:
    waiting = make_job(LONG, "a" * 16)
    moved = [PlacedTask(waiting, TaskKey(0, 0, 0), 0, SERVICE)]
    tasks = place(make_job(LONG), 10)
    one = [worker("far", SMALL)]
    assert outlooks(tasks, one) == [Outlook.MOVES]
    assert outlooks(tasks, one, moved) == [Outlook.NO_CAPACITY]


@pytest.mark.parametrize(
    ("step", "n_moves"),
    [
        pytest.param(replace(LONG, n_tasks=4, max_per_worker=1), 2, id="per_worker"),
        pytest.param(replace(LONG, n_tasks=4, label="r2"), 0, id="label"),
        pytest.param(
            replace(LONG, n_tasks=4, fills=True, shape=Shape(5_000, 100)),
            2,
            id="best_effort_needs_unused_processors",
        ),
    ],
)
def test_limits_of_a_step(step: StepSpec, n_moves: int) -> None:
    workers = [worker("far-1"), worker("far-2")]
    assert outlooks(place(make_job(step), 10), workers).count(Outlook.MOVES) == n_moves


def test_leaving_worker_takes_nothing() -> None:
    leaving = worker("far")
    leaving.is_leaving = True
    assert outlooks(place(make_job(LONG), 10), [leaving]) == [Outlook.NO_CAPACITY]


# Order


def test_one_round_stops_a_limited_number() -> None:
    tasks = place(make_job(replace(LONG, n_tasks=MAX_MOVES + 5)), 10)
    found = outlooks(tasks, [worker("far", Shape(99_000, 99_000))])
    assert found.count(Outlook.MOVES) == MAX_MOVES
    assert found.count(Outlook.WAITS_ITS_TURN) == 5


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param((LONG, 0), (LASTING, 1), id="urgent_queue"),
        pytest.param((replace(LASTING, n_tasks=1), 0), (LONG, 0), id="lasting"),
        pytest.param(
            (replace(LONG, shape=Shape(1_500, 1_000)), 0), (LONG, 0), id="larger"
        ),
        pytest.param(
            (replace(LONG, estimate_ms=60_000), 0), (LONG, 0), id="more_work_left"
        ),
    ],
)
def test_what_goes_first_where_one_fits(
    first: tuple[StepSpec, int], second: tuple[StepSpec, int]
) -> None:
    tasks = []
    for name, (step, priority) in (("f" * 16, first), ("0" * 16, second)):
        found = place(make_job(replace(step, n_tasks=1), name), 10)
        tasks += [placed._replace(priority=priority) for placed in found]
    room = [worker("far", Shape(1_500, 1_000))]
    assert outlooks(tasks, room) == [Outlook.MOVES, Outlook.NO_CAPACITY]


STEPS = st.builds(
    StepSpec,
    st.integers(1, 6),
    st.builds(Shape, st.integers(0, 4_000), st.integers(0, 4_000)),
    st.integers(0, 30_000),
    max_per_worker=st.integers(0, 2),
    saves_progress=st.booleans(),
    lasts=st.booleans(),
    fills=st.booleans(),
    n_may_be_away=st.integers(0, 3),
)


@given(
    steps=st.lists(STEPS, max_size=6),
    capacities=st.lists(
        st.builds(Shape, st.integers(0, 9_000), st.integers(0, 9_000)), max_size=4
    ),
    percents=st.lists(st.integers(0, 100), min_size=6, max_size=6),
)
def test_moves_fit_and_keep_the_allowances(
    steps: list[StepSpec], capacities: list[Shape], percents: list[int]
) -> None:
    jobs = [make_job(step, f"{number:016}") for number, step in enumerate(steps)]
    tasks = [
        placed
        for job, percent in zip(jobs, percents, strict=False)
        for placed in place(job, percent)
    ]
    workers = [worker(f"far-{n}", shape) for n, shape in enumerate(capacities)]
    found = outlooks(tasks, workers)
    assert found == outlooks(tasks, workers)
    moving = [
        placed
        for placed, outlook in zip(tasks, found, strict=True)
        if outlook is Outlook.MOVES
    ]
    counted = [placed for placed in moving if not placed.step.fills]
    for resource in ("cpu_millicores", "memory_mb"):
        demand = sum(getattr(placed.step.shape, resource) for placed in counted)
        assert demand <= sum(getattr(shape, resource) for shape in capacities)
    for job, step in zip(jobs, steps, strict=True):
        n_moving = sum(placed.job is job for placed in moving)
        if step.lasts:
            n_away = sum(
                is_away(placed.state, NOW_S, SILENT_S)
                for placed in tasks
                if placed.job is job and placed not in moving
            )
            assert not n_moving or n_moving + n_away <= step.n_may_be_away
        if step.max_per_worker:
            assert n_moving <= step.max_per_worker * len(workers)


# Starts

TERMS = EvacuationTerms(5.0, 0.02)


@given(
    read_age_s=st.floats(0.0, TERMS.view_limit_s),
    listing_age_s=st.floats(0.0, 30.0),
    latency_s=st.floats(0.0, 5.0),
    rate=st.floats(1 - 0.02, 1.0),
)
def test_last_start_begins_within_the_limit(
    read_age_s: float, listing_age_s: float, latency_s: float, rate: float
) -> None:
    """Whatever the clock's rate, and the delays of the listing and the command.

    The request comes right after the view was read. The worker executes the start at
    the last moment that its clock allows.
    """
    clock_s = 1_000.0
    until_ms = TERMS.start_until_ms(int(clock_s * 1000), listing_age_s, 10**9)
    clock_when_sent_s = clock_s + (latency_s + listing_age_s) * rate
    begins_after_s = max(0.0, until_ms / 1000 - clock_when_sent_s) / rate
    assert read_age_s + begins_after_s < TERMS.limit_s - 0.3


@pytest.mark.parametrize(
    ("limit_s", "until_ms"),
    [
        pytest.param(5.0, 11_800, id="window"),
        pytest.param(50.0, 15_500, id="lease_is_shorter"),
        pytest.param(0.0, 15_500, id="no_evacuations"),
    ],
)
def test_start_expires_with_its_window_or_its_lease(
    limit_s: float, until_ms: int
) -> None:
    terms = EvacuationTerms(limit_s, 0.02)
    found = terms.start_until_ms(10_000, 0.0, 15_500)
    assert found == pytest.approx(until_ms, abs=1)


def test_view_outlasts_an_ordinary_watch_and_one_lost_answer() -> None:
    """Two watches in a row, each with a slow store's 0.2 s; a read that is overdue."""
    slow_answer_s = 0.2
    assert 2 * (TERMS.watch_wait_s + slow_answer_s) < TERMS.view_limit_s
    assert TERMS.overdue_s + 2 * slow_answer_s < TERMS.view_limit_s
    assert 2 * TERMS.watch_wait_s < TERMS.overdue_s
