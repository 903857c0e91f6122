"""Rejections at submission: only of jobs that surely can't be served."""

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspan_decisions.admission import (
    CERTAIN_SHARE,
    KEPT_S,
    MAX_FIGURES_AGE_S,
    MAX_RETRY_S,
    STABLE_S,
    UNREPORTED_S,
    Admission,
    AdmissionFigures,
    FleetSizes,
    QueueBacklog,
    RejectionCause,
    WorkerSize,
    backlogs,
    longest_wait_s,
    service_capacities,
    worker_sizes,
)
from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_demand import JobDemand, Room
from almondspan_decisions.job_graph import JobSpec, QueueName, QueueRules, StepSpec
from almondspan_decisions.job_order import WaitingJob
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.shapes import Shape
from almondspan_decisions.worker_record import WorkerRecord

QUEUE, URGENT, LATER = QueueName("q"), QueueName("urgent"), QueueName("later")
POOL, OTHER_POOL = ServiceName("pool"), ServiceName("other")
RULES = QueueRules(POOL, 1, 3, 2.0, 500)
NOW_S = 100.0
STEP = StepSpec(1, Shape(2_000, 1_000), estimate_ms=1_000)
SIZES = (
    WorkerSize(POOL, "", Shape(8_000, 16_000)),
    WorkerSize(POOL, "", Shape(4_000, 64_000)),
    WorkerSize(POOL, "r1", Shape(8_000, 16_000)),
)
LIMIT_S = 3.0 * (2.0 * 1.9 * 1.0 + 0.5)
"""Of a job of one task of `STEP`."""


def spec(*steps: StepSpec, **fields: int) -> JobSpec:
    return JobSpec(QUEUE, "", steps or (STEP,), accepted_rules=RULES, **fields)


def figures(
    drain_s: float = 0.0,
    sizes: tuple[WorkerSize, ...] = SIZES,
    are_sizes_known: bool = True,
    is_settled: bool = True,
) -> AdmissionFigures:
    found = {QUEUE: QueueBacklog(QUEUE, drain_s, 0.5, 40)} if drain_s else {}
    return AdmissionFigures(found, sizes, are_sizes_known, is_settled, 2)


def decide(
    job: JobSpec,
    known: AdmissionFigures,
    rules: QueueRules | None = RULES,
    age_s: float = 0.5,
) -> RejectionCause | None:
    return informed(known, NOW_S - age_s).decide(job, rules, NOW_S)


def informed(known: AdmissionFigures, now_s: float = NOW_S) -> Admission:
    """Return an admission that has had the same figures for a minute."""
    admission = Admission()
    for number in range(120, -1, -1):
        admission.update(known, now_s - 0.5 * number)
    return admission


@pytest.mark.parametrize(
    ("step", "is_rejected"),
    [
        pytest.param(STEP, False, id="fits"),
        pytest.param(replace(STEP, shape=Shape(8_000, 16_000)), False, id="just_fits"),
        pytest.param(replace(STEP, shape=Shape(8_001, 10)), True, id="processors"),
        pytest.param(replace(STEP, shape=Shape(8_000, 20_000)), True, id="together"),
        pytest.param(replace(STEP, shape=Shape(1, 1, 1)), True, id="accelerator"),
        pytest.param(replace(STEP, label="r1"), False, id="label"),
        pytest.param(replace(STEP, label="gone"), True, id="unknown_label"),
        pytest.param(
            replace(STEP, shape=Shape(4_000, 64_000), label="r1"),
            True,
            id="label_of_smaller_workers",
        ),
        pytest.param(
            replace(STEP, shape=Shape(99_000, 100), fills=True),
            False,
            id="processors_of_best_effort_do_not_count",
        ),
        pytest.param(
            replace(STEP, n_tasks=999, max_per_worker=1),
            False,
            id="one_after_the_other",
        ),
        pytest.param(
            replace(STEP, shape=Shape(9_000, 1), lasts=True), True, id="lasting"
        ),
    ],
)
def test_job_that_fits_on_no_worker_is_rejected(
    step: StepSpec, is_rejected: bool
) -> None:
    expected = RejectionCause.NO_WORKER if is_rejected else None
    assert decide(spec(STEP, step), figures()) is expected


@pytest.mark.parametrize(
    ("drain_s", "is_rejected"),
    [
        pytest.param(0.0, False, id="none"),
        pytest.param(LIMIT_S - 0.1, False, id="just_in_time"),
        pytest.param(LIMIT_S + 0.1, True, id="too_long"),
    ],
)
def test_backlog_beyond_three_objectives_rejects(
    drain_s: float, is_rejected: bool
) -> None:
    expected = RejectionCause.BACKLOG if is_rejected else None
    assert decide(spec(), figures(drain_s)) is expected


@pytest.mark.parametrize(
    ("drains_s", "is_rejected"),
    [
        pytest.param([99.0] * 40, True, id="as_long_as_the_limit"),
        pytest.param([99.0] * 20, False, id="burst"),
        pytest.param([99.0] * 39 + [1.0], False, id="over"),
        pytest.param([99.0] * 20 + [0.0] + [99.0] * 20, False, id="two_bursts"),
        pytest.param([99.0] * 20 + [None] * 5 + [99.0] * 20, False, id="no_figures"),
    ],
)
def test_burst_of_a_few_seconds_rejects_nothing(
    drains_s: list[float | None], is_rejected: bool
) -> None:
    """Guards against rejecting what is served in time once a burst is over."""
    admission = Admission()
    for number, drain_s in enumerate(drains_s):
        if drain_s is not None:
            admission.update(figures(drain_s), NOW_S + 0.5 * number)
    now_s = NOW_S + 0.5 * len(drains_s)
    expected = RejectionCause.BACKLOG if is_rejected else None
    assert admission.decide(spec(), RULES, now_s) is expected


TOO_LARGE = replace(STEP, shape=Shape(99_000, 99_000))
LONG = figures(1_000.0)


@pytest.mark.parametrize(
    ("job", "known", "rules", "age_s"),
    [
        pytest.param(spec(), LONG, RULES, MAX_FIGURES_AGE_S + 0.1, id="old_figures"),
        pytest.param(spec(), LONG, None, 0.5, id="no_rules"),
        pytest.param(spec(), LONG, replace(RULES, stretch=0.0), 0.5, id="no_stretch"),
        pytest.param(spec(), LONG, replace(RULES, target_ms=0), 0.5, id="no_target"),
        pytest.param(
            spec(TOO_LARGE), replace(LONG, is_settled=False), RULES, 0.5, id="unsettled"
        ),
        pytest.param(
            spec(TOO_LARGE), figures(are_sizes_known=False), RULES, 0.5, id="new_fleet"
        ),
        pytest.param(
            spec(TOO_LARGE),
            figures(),
            replace(RULES, service=OTHER_POOL),
            0.5,
            id="service_without_workers",
        ),
        pytest.param(spec(replace(STEP, lasts=True)), LONG, RULES, 0.5, id="lasting"),
        pytest.param(
            spec(replace(STEP, estimate_ms=0)), LONG, RULES, 0.5, id="no_declared_time"
        ),
        pytest.param(spec(n_occurrences=3), LONG, RULES, 0.5, id="repeated"),
    ],
)
def test_job_is_accepted_in_doubt(
    job: JobSpec, known: AdmissionFigures, rules: QueueRules | None, age_s: float
) -> None:
    assert decide(job, known, rules, age_s) is None


def test_job_is_accepted_without_figures() -> None:
    assert Admission().decide(spec(TOO_LARGE), RULES, NOW_S) is None


def test_rejected_callers_return_one_after_another() -> None:
    """Guards against callers that come back all at once, and are rejected again."""
    admission = informed(figures(LIMIT_S + 5.0))
    waits_s = [
        admission.reject(spec(), RULES, RejectionCause.BACKLOG, NOW_S).retry_after_s
        for _ in range(200)
    ]
    assert waits_s[:3] == pytest.approx([5.0, 6.0, 7.0])
    assert waits_s == sorted(waits_s)
    assert waits_s[-1] == MAX_RETRY_S
    later = admission.reject(spec(), RULES, RejectionCause.BACKLOG, NOW_S + 10.0)
    assert later.retry_after_s <= MAX_RETRY_S


@pytest.mark.parametrize(
    ("job", "later", "after_s", "n_wrong"),
    [
        pytest.param(spec(), figures(), 3.0, 1, id="capacity_became_free"),
        pytest.param(spec(), figures(0.1), 3.0, 1, id="hardly_any_wait"),
        pytest.param(spec(), figures(LIMIT_S), 3.0, 0, id="jobs_still_wait"),
        pytest.param(spec(), figures(), LIMIT_S, 0, id="too_late"),
        pytest.param(spec(TOO_LARGE), figures(), 3.0, 0, id="still_no_worker"),
        pytest.param(
            spec(TOO_LARGE),
            figures(sizes=(*SIZES, WorkerSize(POOL, "", Shape(99_000, 99_000)))),
            3.0,
            1,
            id="worker_came",
        ),
    ],
)
def test_wrong_rejections_are_counted(
    job: JobSpec, later: AdmissionFigures, after_s: float, n_wrong: int
) -> None:
    admission = informed(LONG)
    cause = admission.decide(job, RULES, NOW_S)
    assert cause is not None
    admission.reject(job, RULES, cause, NOW_S)
    assert admission.update(later, NOW_S + after_s) == [QUEUE] * n_wrong
    assert admission.update(later, NOW_S + after_s) == []


# The owner


def worker(
    name: str, capacity: Shape, labels: tuple[str, ...] = (), serving: int = 0
) -> WorkerRecord:
    record = WorkerRecord(
        WorkerIncarnation(WorkerId(name), 1),
        POOL,
        PlaceName("here"),
        capacity,
        frozenset(labels),
    )
    record.serving_millicores = serving
    return record


def test_sizes_of_workers_are_the_largest_for_each_label() -> None:
    small, large = Shape(4_000, 8_000), Shape(8_000, 8_000)
    wide = Shape(2_000, 90_000)
    workers = [
        worker("a", small, ("r1",)),
        worker("b", large, ("r2",)),
        worker("c", wide, ("r2",)),
    ]
    assert worker_sizes(workers) == {
        WorkerSize(POOL, "", large),
        WorkerSize(POOL, "", wide),
        WorkerSize(POOL, "r1", small),
        WorkerSize(POOL, "r2", large),
        WorkerSize(POOL, "r2", wide),
    }


def test_sizes_are_known_once_the_fleet_is_stable_and_has_reported() -> None:
    """Guards against rejecting jobs for workers that have not reported yet."""
    small = frozenset({WorkerSize(POOL, "", Shape(1, 1))})
    large = frozenset({WorkerSize(POOL, "", Shape(2, 2))})
    fleet = FleetSizes(0.0)
    fleet.observe(small, 1.0, have_all_reported=True)
    assert not fleet.are_known(STABLE_S)
    assert fleet.are_known(1.0 + STABLE_S)
    fleet.observe(large, 20.0, have_all_reported=True)
    assert not fleet.are_known(20.0 + STABLE_S - 0.1)
    assert set(fleet.sizes) == small | large
    version = fleet.version
    fleet.observe(large, 1.0 + KEPT_S, have_all_reported=True)
    assert set(fleet.sizes) == large
    assert fleet.version == version + 1
    waiting = FleetSizes(0.0)
    waiting.observe(small, UNREPORTED_S - 1.0, have_all_reported=False)
    assert not waiting.are_known(UNREPORTED_S - 1.0 + STABLE_S - 0.1)
    waiting.observe(small, UNREPORTED_S + STABLE_S, have_all_reported=False)
    assert waiting.are_known(UNREPORTED_S + STABLE_S)


def waiting(room: Room, age_s: float = 0.0, fill_core_s: float = 0.0) -> WaitingJob:
    demand = JobDemand(10.0, 1.0, room, Room(), 1, fill_core_s)
    return WaitingJob(JobId("a"), 0, 0, NOW_S - age_s, demand)


QUEUES = {
    QUEUE: RULES,
    URGENT: replace(RULES, priority=0),
    LATER: replace(RULES, priority=2),
}
WORKERS = [
    worker("a", Shape(4_000, 8_000)),
    worker("b", Shape(6_000, 8_000), (), 8_000),
]
"""10 processors, 8 of which serve."""


@pytest.mark.parametrize(
    ("jobs", "drain_s", "n_waiting"),
    [
        pytest.param([(QUEUE, waiting(Room(4.0)))], 2.0, 1, id="own"),
        pytest.param(
            [(QUEUE, waiting(Room(4.0))), (URGENT, waiting(Room(2.0)))],
            3.0,
            1,
            id="more_urgent",
        ),
        pytest.param(
            [(QUEUE, waiting(Room(4.0))), (LATER, waiting(Room(99.0)))],
            2.0,
            1,
            id="less_urgent",
        ),
        pytest.param(
            [(QUEUE, waiting(Room(4.0))), (QUEUE, waiting(Room(9.0), 10.0))],
            2.0,
            2,
            id="late_jobs_come_after_a_new_one",
        ),
        pytest.param(
            [(QUEUE, waiting(Room(4.0))), (URGENT, waiting(Room(2.0), 30.0))],
            3.0,
            1,
            id="late_jobs_of_a_more_urgent_queue_come_first",
        ),
        pytest.param([(URGENT, waiting(Room(2.0)))], 1.0, 0, id="none_of_its_own"),
        pytest.param(
            [(QUEUE, waiting(Room(6.0), fill_core_s=6.0))],
            1.0,
            1,
            id="best_effort_uses_what_serving_tasks_leave",
        ),
        pytest.param(
            [(QUEUE, waiting(Room(1.0, 32_000.0)))], 2.0, 1, id="scarcest_dimension"
        ),
    ],
)
def test_backlog_of_a_queue(
    jobs: list[tuple[QueueName, WaitingJob]], drain_s: float, n_waiting: int
) -> None:
    capacities = service_capacities(WORKERS)
    found = backlogs(jobs, QUEUES, capacities, NOW_S)[QUEUE]
    assert found.drain_s == pytest.approx(CERTAIN_SHARE * drain_s)
    assert found.n_waiting == n_waiting


def test_queue_without_rules_or_workers_has_no_backlog() -> None:
    jobs = [(QueueName("gone"), waiting(Room(4.0))), (QUEUE, waiting(Room(4.0)))]
    assert backlogs(jobs, QUEUES, {}, NOW_S) == {}
    late = [(QUEUE, waiting(Room(4.0), 10.0))]
    found = backlogs(late, QUEUES, service_capacities(WORKERS), NOW_S)
    assert set(found) == {LATER}


@given(
    st.floats(0, 1e6),
    st.integers(0, 10**6),
    st.integers(1, 5_000),
    st.floats(0, 10),
    st.booleans(),
)
def test_rejection_is_certain_and_bounded(
    drain_s: float, estimate_ms: int, n_tasks: int, age_s: float, is_settled: bool
) -> None:
    job = spec(replace(STEP, estimate_ms=estimate_ms, n_tasks=n_tasks))
    known = figures(drain_s, is_settled=is_settled)
    admission = informed(known, NOW_S - age_s)
    cause = admission.decide(job, RULES, NOW_S)
    assert cause is admission.decide(job, RULES, NOW_S)
    if cause is None:
        return
    limit_s = longest_wait_s(job, RULES)
    assert is_settled and age_s <= MAX_FIGURES_AGE_S
    assert drain_s > limit_s >= 3.0 * (2.0 * 1.9 * estimate_ms / 1000 + 0.5)
    rejection = admission.reject(job, RULES, cause, NOW_S)
    assert 0.0 < rejection.retry_after_s <= MAX_RETRY_S
    assert math.isfinite(limit_s)
