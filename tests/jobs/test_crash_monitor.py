"""Which ends of a worker count as a crash under its tasks, and what is stored of it."""

from collections.abc import Callable

import msgspec
import pytest
from scheduler_harness import (
    JOB,
    KEY,
    QUEUE,
    STARTED_MS,
    STEP,
    TASK,
    SchedulerHarness,
)

from almondspan_decisions.crash_blame import MAX_CRASHES, MAX_POSSIBLE_CRASHES
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_graph import JobSpec, StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress, JobState, TaskState
from almondspan_decisions.shapes import Shape
from almondspan_jobs.progress_records import decode_progress, encode_progress
from almondspan_jobs.records import Unreadable
from almondspan_platform.task_worker import Verdict

Percents = tuple[int, int, int]

OTHER = WorkerId("w-2")
SHAPE = Shape(100, 100)


@pytest.fixture
def harness(harness: SchedulerHarness) -> SchedulerHarness:
    # Leases granted by earlier owners have expired by now.
    harness.advance(20.0)
    return harness


def task_of(harness: SchedulerHarness) -> TaskState:
    task = harness.scheduler.jobs[JOB].task(KEY)
    assert task is not None
    return task


def reload(harness: SchedulerHarness) -> JobProgress:
    """Replace the owner by one that knows only what is stored."""
    job = harness.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    assert not isinstance(stored, Unreadable)
    harness.restart_owner()
    harness.scheduler.load(stored)
    return stored


def start(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts()


def crash_seen_running(harness: SchedulerHarness) -> None:
    start(harness)
    harness.list_worker(running=[(TASK, 1, "", 10, 0.0)])
    harness.report_worker(started_ms=STARTED_MS + 1)


def crash_before_any_listing(harness: SchedulerHarness) -> None:
    start(harness)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_with_the_answer_expected(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_without_an_answer(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(Verdict.NO_ANSWER)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_without_an_answer_in_time(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.advance(0.7)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_without_an_answer_after_a_failed_poll(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.fail_poll()
    harness.advance(0.7)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_without_an_answer_while_cut_off(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.is_linked = False
    harness.advance(0.7)
    harness.is_linked = True
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_without_an_answer_while_stopped(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.advance(0.3)
    task_of(harness).request_stop()
    harness.advance(0.2)
    harness.advance(0.7)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_answered_the_second_time(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(Verdict.NO_ANSWER)
    harness.advance(0.7)
    harness.answer_starts()
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_answered_by_a_successor(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(is_proven=False)
    harness.report_worker(started_ms=STARTED_MS + 1)


def crash_before_the_start(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(Verdict.OTHER_INCARNATION)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_long_after_a_refused_start(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(Verdict.OTHER_INCARNATION)
    harness.advance(0.7)
    harness.advance(0.7)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_before_a_repeated_start(harness: SchedulerHarness) -> None:
    start(harness)
    harness.advance(0.7)
    harness.answer_starts(Verdict.NOT_TAKEN)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_twice_before_the_revocation(harness: SchedulerHarness) -> None:
    start(harness)
    harness.report_worker(started_ms=STARTED_MS + 1)
    harness.report_worker(started_ms=STARTED_MS + 2)


def crash_of_the_later_incarnation_that_started_it(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(Verdict.NO_ANSWER)
    harness.report_worker(started_ms=STARTED_MS + 1)
    harness.list_worker(started_ms=STARTED_MS + 1, running=[(TASK, 1, "", 10, 0.0)])
    harness.report_worker(started_ms=STARTED_MS + 2)


def crash_after_the_lease(harness: SchedulerHarness) -> None:
    start(harness)
    harness.fail_poll()
    harness.advance(7.0)
    assert harness.scheduler.jobs[JOB].n_placed == 0
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_after_a_cut_and_the_lease(harness: SchedulerHarness) -> None:
    start(harness)
    harness.advance(7.0)
    assert harness.scheduler.jobs[JOB].n_placed == 0
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_during_a_cut(harness: SchedulerHarness) -> None:
    start(harness)
    harness.now_s += 2.0
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_known_after_that_of_the_next_attempt(harness: SchedulerHarness) -> None:
    start(harness)
    harness.fail_poll()
    harness.advance(7.0)
    harness.report_worker(OTHER, node="node-2")
    harness.plan_and_store()
    assert task_of(harness).n_attempts == 2
    harness.answer_starts()
    harness.report_worker(WorkerId("w-3"), STARTED_MS + 1, node="node-2")
    harness.report_worker(WorkerId("w-4"), STARTED_MS + 1, node="node-1")


def crash_under_a_new_owner(harness: SchedulerHarness) -> None:
    start(harness)
    reload(harness)
    harness.report_worker(started_ms=STARTED_MS + 1)


def crash_known_to_two_owners(harness: SchedulerHarness) -> None:
    start(harness)
    harness.report_worker(started_ms=STARTED_MS + 1)
    harness.plan_and_store()
    reload(harness)
    harness.report_worker(started_ms=STARTED_MS + 1)


def crash_listed_by_a_new_owner(harness: SchedulerHarness) -> None:
    start(harness)
    reload(harness)
    harness.report_worker()
    harness.list_worker(running=[(TASK, 1, "", 10, 0.0)])
    harness.report_worker(started_ms=STARTED_MS + 1)


def cut_off_until_after_the_lease(harness: SchedulerHarness) -> None:
    start(harness)
    harness.advance(7.0)
    harness.report_worker()


def start_not_sent(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    harness.report_worker(started_ms=STARTED_MS + 1)


def departure(harness: SchedulerHarness) -> None:
    start(harness)
    harness.report_worker(is_leaving=True)
    harness.report_worker(OTHER, STARTED_MS + 1)


def stop(harness: SchedulerHarness) -> None:
    start(harness)
    harness.list_worker(ended=[(1, TASK, 1, "stopped", "")])


Event = Callable[[SchedulerHarness], None]


@pytest.mark.parametrize(
    ("event", "n_proven", "n_unproven"),
    [
        pytest.param(crash_seen_running, 1, 0, id="seen_running"),
        pytest.param(crash_before_any_listing, 1, 0, id="before_any_listing"),
        pytest.param(crash_answered_the_second_time, 1, 0, id="repeated_start"),
        pytest.param(crash_before_a_repeated_start, 1, 0, id="refused_repeated_start"),
        pytest.param(crash_twice_before_the_revocation, 1, 0, id="twice_an_attempt"),
        pytest.param(crash_after_the_lease, 1, 0, id="back_after_its_lease"),
        pytest.param(
            crash_known_after_that_of_the_next_attempt, 2, 0, id="back_after_the_next"
        ),
        pytest.param(
            crash_of_the_later_incarnation_that_started_it, 1, 1, id="later_incarnation"
        ),
        pytest.param(crash_known_to_two_owners, 1, 0, id="known_to_two_owners"),
        pytest.param(crash_listed_by_a_new_owner, 1, 0, id="listed_by_a_new_owner"),
        pytest.param(
            crash_after_a_cut_and_the_lease, 0, 1, id="lease_expired_in_a_cut"
        ),
        pytest.param(crash_during_a_cut, 0, 1, id="cut_off_before"),
        pytest.param(crash_without_an_answer, 0, 1, id="start_without_an_answer"),
        pytest.param(crash_without_an_answer_in_time, 0, 1, id="no_answer_in_time"),
        pytest.param(
            crash_without_an_answer_after_a_failed_poll, 0, 1, id="poll_failed"
        ),
        pytest.param(crash_without_an_answer_while_cut_off, 0, 1, id="cut_off"),
        pytest.param(crash_without_an_answer_while_stopped, 0, 1, id="being_stopped"),
        pytest.param(crash_answered_by_a_successor, 0, 1, id="answer_of_a_successor"),
        pytest.param(crash_under_a_new_owner, 0, 1, id="under_a_new_owner"),
        pytest.param(crash_with_the_answer_expected, 0, 0, id="answer_expected"),
        pytest.param(crash_before_the_start, 0, 0, id="refused_start"),
        pytest.param(crash_long_after_a_refused_start, 0, 0, id="refused_long_before"),
        pytest.param(cut_off_until_after_the_lease, 0, 0, id="cut_off_only"),
        pytest.param(start_not_sent, 0, 0, id="start_not_sent"),
        pytest.param(departure, 0, 0, id="departure"),
        pytest.param(stop, 0, 0, id="stop"),
    ],
)
def test_what_counts_as_a_crash(
    harness: SchedulerHarness, event: Event, n_proven: int, n_unproven: int
) -> None:
    event(harness)
    task = task_of(harness)
    assert (task.n_crashes, task.n_unproven_crashes) == (n_proven, n_unproven)


@pytest.mark.parametrize(
    ("event", "n_proven", "n_unproven"),
    [
        pytest.param(crash_seen_running, 1, 0, id="proven"),
        pytest.param(crash_without_an_answer, 0, 1, id="unproven"),
    ],
)
def test_counts_outlive_the_owner(
    harness: SchedulerHarness, event: Event, n_proven: int, n_unproven: int
) -> None:
    event(harness)
    harness.plan_and_store()
    reload(harness)
    task = task_of(harness)
    assert (task.n_crashes, task.n_unproven_crashes) == (n_proven, n_unproven)


@pytest.mark.parametrize("n_missing", [1, 2, 3])
def test_progress_stored_by_an_earlier_version_has_no_crashes(
    harness: SchedulerHarness, n_missing: int
) -> None:
    harness.add()
    job = harness.scheduler.jobs[JOB]
    occurrences, *others = msgspec.msgpack.decode(encode_progress(job), strict=False)
    before = {
        key: [[row[:-n_missing] for row in rows] for rows in steps]
        for key, steps in occurrences.items()
    }
    stored = decode_progress(JOB, job.spec, msgspec.msgpack.encode([before, *others]))
    assert not isinstance(stored, Unreadable)
    task = stored.task(KEY)
    assert task is not None
    assert (task.n_crashes, task.n_unproven_crashes) == (0, 0)


@pytest.mark.parametrize(
    ("verdict", "n_crashes"),
    [
        pytest.param(Verdict.DONE, MAX_CRASHES, id="proven"),
        pytest.param(Verdict.NO_ANSWER, MAX_POSSIBLE_CRASHES, id="unproven"),
    ],
)
def test_job_is_failed_after_the_last_crash(
    harness: SchedulerHarness, verdict: Verdict, n_crashes: int
) -> None:
    for crash in range(n_crashes):
        harness.report_worker(WorkerId(f"w-{crash}"), STARTED_MS + crash)
        if not crash:
            harness.add()
        harness.plan_and_store()
        assert harness.scheduler.stored_states[JOB] is not JobState.FAILED
        task = task_of(harness)
        assert task.n_crashes + task.n_unproven_crashes == crash
        harness.answer_starts(verdict)
    harness.report_worker(OTHER, STARTED_MS + n_crashes)
    harness.plan_and_store()
    assert harness.scheduler.stored_states[JOB] is JobState.FAILED
    assert "task_given_up" in harness.log.events


def test_crash_known_late_of_an_attempt_before_the_trial_is_no_failed_trial(
    harness: SchedulerHarness,
) -> None:
    crash_known_after_that_of_the_next_attempt(harness)
    harness.plan_and_store()
    assert harness.scheduler.stored_states[JOB] is JobState.RUNNING


def placed_on(harness: SchedulerHarness, n_tasks: int) -> list[str]:
    """Return the workers of the first tasks, "" for one that waits."""
    job = harness.scheduler.jobs[JOB]
    tasks = [job.task(TaskKey(0, 0, position)) for position in range(n_tasks)]
    return [
        task.incarnation.worker_id if task is not None and task.incarnation else ""
        for task in tasks
    ]


def crash_under_three(
    harness: SchedulerHarness, verdict: Verdict = Verdict.DONE
) -> None:
    """Crash a worker right after it was told to start three tasks."""
    harness.report_worker()
    harness.add(StepSpec(3, Shape(100, 100), estimate_ms=1_000))
    harness.answer_starts(verdict)
    harness.report_worker(OTHER, STARTED_MS + 1, node="node-2")
    harness.report_worker(WorkerId("w-3"), STARTED_MS + 2, node="node-1")
    harness.plan_and_store()


@pytest.mark.parametrize("verdict", [Verdict.DONE, Verdict.NO_ANSWER])
def test_tasks_in_doubt_are_tried_one_at_a_time_on_a_worker(
    harness: SchedulerHarness, verdict: Verdict
) -> None:
    crash_under_three(harness, verdict)
    assert sorted(placed_on(harness, 3)) == ["", "w-2", "w-3"]


def test_trial_ends_when_the_task_has_run(harness: SchedulerHarness) -> None:
    crash_under_three(harness)
    position = placed_on(harness, 3).index("w-2")
    row = (f"{JOB}.0.0.{position}", 2, "", 5, 0.0)
    harness.list_worker(OTHER, STARTED_MS + 1, running=[row])
    harness.plan_and_store()
    assert "" in placed_on(harness, 3)
    harness.now_s += 0.4
    harness.list_worker(OTHER, STARTED_MS + 1, running=[row])
    harness.plan_and_store()
    assert sorted(placed_on(harness, 3)) == ["w-2", "w-2", "w-3"]


def test_waiting_for_a_trial_stops_no_other_task(harness: SchedulerHarness) -> None:
    crash_under_three(harness)
    harness.advance(1.0)
    harness.plan_and_store()
    assert "task_preempted" not in harness.log.events


@pytest.mark.parametrize(
    ("first", "second", "quiet_s", "state"),
    [
        pytest.param(
            Verdict.DONE, Verdict.DONE, 20.0, JobState.FAILED, id="sound_worker"
        ),
        pytest.param(
            Verdict.DONE,
            Verdict.DONE,
            0.0,
            JobState.RUNNING,
            id="worker_that_had_just_crashed",
        ),
        pytest.param(
            Verdict.NO_ANSWER,
            Verdict.DONE,
            20.0,
            JobState.RUNNING,
            id="first_start_without_an_answer",
        ),
        pytest.param(
            Verdict.DONE,
            Verdict.NO_ANSWER,
            20.0,
            JobState.RUNNING,
            id="second_start_without_an_answer",
        ),
        pytest.param(
            Verdict.DONE,
            Verdict.OTHER_INCARNATION,
            20.0,
            JobState.RUNNING,
            id="second_start_refused",
        ),
    ],
)
def test_failed_trial(
    harness: SchedulerHarness,
    first: Verdict,
    second: Verdict,
    quiet_s: float,
    state: JobState,
) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(first)
    harness.report_worker(OTHER, STARTED_MS + 1)
    harness.now_s += quiet_s
    harness.list_worker(OTHER, STARTED_MS + 1)
    harness.plan_and_store()
    assert placed_on(harness, 1) == [OTHER]
    harness.answer_starts(second)
    harness.report_worker(WorkerId("w-3"), STARTED_MS + 2)
    harness.plan_and_store()
    task = task_of(harness)
    assert task.n_crashes == [first, second].count(Verdict.DONE)
    assert task.n_unproven_crashes == [first, second].count(Verdict.NO_ANSWER)
    assert harness.scheduler.stored_states[JOB] is state


@pytest.mark.parametrize(
    ("n_silent", "is_job_on_all", "is_seen_running", "n_crashes"),
    [
        pytest.param(4, False, True, 0, id="many_at_once"),
        pytest.param(3, False, True, 1, id="few_at_once"),
        pytest.param(4, True, True, 1, id="job_with_tasks_on_all"),
        pytest.param(4, False, False, 1, id="task_in_doubt"),
    ],
)
def test_crash_of_many_workers_at_once_is_no_fault_of_a_task_on_one(
    harness: SchedulerHarness,
    n_silent: int,
    is_job_on_all: bool,
    is_seen_running: bool,
    n_crashes: int,
) -> None:
    """Four workers report; `n_silent` of them crash, the first with the task."""
    shape = Shape(3_000, 100)
    n_tasks = 4 if is_job_on_all else 1
    for number in range(4):
        worker = WorkerId(f"w-{number}")
        harness.report_worker(worker, STARTED_MS, node=f"node-{number}")
    harness.add(StepSpec(n_tasks, shape, estimate_ms=1_000))
    harness.answer_starts()
    crashed = WorkerId(placed_on(harness, 1)[0])
    if is_seen_running:
        harness.now_s += 1.0
        harness.list_worker(crashed, running=[(TASK, 1, "", 10, 0.0)])
    silent = sorted(
        (WorkerId(f"w-{number}") for number in range(4)),
        key=lambda worker: worker != crashed,
    )
    for worker in silent[:n_silent]:
        harness.fail_poll(worker)
    node = crashed.replace("w", "node")
    harness.report_worker(WorkerId("w-9"), STARTED_MS + 1, node=node)
    task = task_of(harness)
    assert (task.n_crashes, task.n_unproven_crashes) == (n_crashes, 1 - n_crashes)


def test_worker_that_is_heard_again_has_not_crashed_with_others(
    harness: SchedulerHarness,
) -> None:
    for number in range(4):
        worker = WorkerId(f"w-{number}")
        harness.report_worker(worker, STARTED_MS, node=f"node-{number}")
    harness.add()
    harness.answer_starts()
    crashed = WorkerId(placed_on(harness, 1)[0])
    harness.now_s += 1.0
    harness.list_worker(crashed, running=[(TASK, 1, "", 10, 0.0)])
    for number in range(4):
        harness.fail_poll(WorkerId(f"w-{number}"))
    for number in range(4):
        if f"w-{number}" != crashed:
            harness.list_worker(WorkerId(f"w-{number}"))
    node = crashed.replace("w", "node")
    harness.report_worker(WorkerId("w-9"), STARTED_MS + 1, node=node)
    assert task_of(harness).n_crashes == 1


def run_and_crash(
    harness: SchedulerHarness, crash: int, run_s: float, percents: Percents = (5, 5, 5)
) -> None:
    """Let the task run on the next worker, list it meanwhile, and crash the worker.

    It is listed at its start, half-way and at its end, with the given progress.
    """
    worker, started_ms = WorkerId(f"w-{crash}"), STARTED_MS + crash
    harness.plan_and_store()
    harness.answer_starts()
    attempt = task_of(harness).n_attempts
    for number, percent in enumerate(percents):
        row = (TASK, attempt, "", percent, 0.0)
        harness.list_worker(worker, started_ms, running=[row])
        harness.now_s += run_s / 2 if number < 2 else 0.0
    harness.fail_poll(worker, started_ms)
    harness.now_s += 0.5
    harness.report_worker(WorkerId(f"w-{crash + 1}"), started_ms + 1)


@pytest.mark.parametrize(
    ("run_times_s", "step", "n_crashes"),
    [
        pytest.param([1.0, 1.0], StepSpec(1, SHAPE, lasts=True), 2, id="alike"),
        pytest.param([1.0, 3.0], StepSpec(1, SHAPE, lasts=True), 1, id="later_longer"),
        pytest.param(
            [3.0, 1.0], StepSpec(1, SHAPE, lasts=True), 1, id="earlier_longer"
        ),
        pytest.param(
            [1.0, 1.0, 3.0, 1.0], StepSpec(1, SHAPE, lasts=True), 1, id="all_but_one"
        ),
        pytest.param(
            [1.0, 3.0],
            StepSpec(1, SHAPE, estimate_ms=9_000, saves_progress=True),
            2,
            id="resumes_from_checkpoints",
        ),
        pytest.param(
            [1.0, 3.0],
            StepSpec(1, SHAPE, estimate_ms=9_000, fills=True),
            2,
            id="held_back",
        ),
    ],
)
def test_crash_that_the_task_has_outlived_is_taken_back(
    harness: SchedulerHarness,
    run_times_s: list[float],
    step: StepSpec,
    n_crashes: int,
) -> None:
    harness.report_worker(WorkerId("w-0"))
    harness.add(step)
    for crash, run_s in enumerate(run_times_s):
        run_and_crash(harness, crash, run_s)
    assert task_of(harness).n_crashes == n_crashes
    assert ("crashes_disproved" in harness.log.events) is (
        n_crashes < len(run_times_s) and run_times_s[0] < max(run_times_s)
    )


RESUMED = StepSpec(1, SHAPE, estimate_ms=9_000, saves_progress=True)
HELD_BACK = StepSpec(1, SHAPE, estimate_ms=9_000, fills=True)


@pytest.mark.parametrize(
    ("step", "runs", "n_crashes"),
    [
        pytest.param(RESUMED, [(0, 10, 20), (18, 30, 40)], 1, id="resumed_and_passed"),
        pytest.param(RESUMED, [(0, 10, 20), (18, 19, 20)], 2, id="resumed_same_point"),
        pytest.param(RESUMED, [(0, 10, 20), (18, 19, 21)], 2, id="within_the_margin"),
        pytest.param(
            RESUMED, [(0, 10, 20), (18, 30, 40), (38, 50, 60)], 1, id="passed_each_time"
        ),
        pytest.param(HELD_BACK, [(0, 30, 60), (0, 5, 10)], 1, id="earlier_farther"),
        pytest.param(HELD_BACK, [(0, 5, 10), (0, 30, 60)], 1, id="later_farther"),
        pytest.param(HELD_BACK, [(0, 5, 10), (0, 5, 10)], 2, id="same_point"),
    ],
)
def test_crash_at_a_point_that_the_task_has_passed_does_not_count(
    harness: SchedulerHarness, step: StepSpec, runs: list[Percents], n_crashes: int
) -> None:
    """Guards against LOST: a long task is given up for crashes that it has survived."""
    harness.report_worker(WorkerId("w-0"))
    harness.add(step)
    for crash, percents in enumerate(runs):
        run_and_crash(harness, crash, 2.0, percents)
    assert task_of(harness).n_crashes == n_crashes
