"""Which ends of a worker count as a crash under its tasks, and what is stored of it."""

from collections.abc import Callable, Iterator

import msgspec
import pytest
from scheduler_harness import (
    JOB,
    KEY,
    QUEUE,
    STARTED_MS,
    STEP,
    TASK,
    WORKER,
    SchedulerHarness,
)

from almondspan_decisions.crash_blame import MAX_CRASHES
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_graph import JobSpec, StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress, JobState, TaskState
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.messages import StartReply
from almondspan_jobs.records import Unreadable, decode_progress, encode_progress

OTHER = WorkerId("w-2")


@pytest.fixture
def harness() -> Iterator[SchedulerHarness]:
    # Leases granted by earlier owners have expired by now.
    made = SchedulerHarness()
    made.advance(20.0)
    yield made
    clocks.use_clocks()


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
    harness.scheduler.on_start_reply(WORKER, StartReply(STARTED_MS, TASK, 1, "done"))


def crash_seen_running(harness: SchedulerHarness) -> None:
    start(harness)
    harness.list_worker(running=[(TASK, 1, "", 10, 0.0)])
    harness.report_worker(started_ms=STARTED_MS + 1)


def crash_before_any_listing(harness: SchedulerHarness) -> None:
    start(harness)
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_without_an_answer(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_twice_before_the_revocation(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.report_worker(started_ms=STARTED_MS + 1)
    harness.report_worker(started_ms=STARTED_MS + 2)


def crash_after_the_lease(harness: SchedulerHarness) -> None:
    start(harness)
    harness.advance(7.0)
    assert harness.scheduler.jobs[JOB].n_placed == 0
    harness.report_worker(OTHER, STARTED_MS + 1)


def crash_under_a_new_owner(harness: SchedulerHarness) -> None:
    start(harness)
    reload(harness)
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
    ("event", "n_crashes"),
    [
        pytest.param(crash_seen_running, 1, id="seen_running"),
        pytest.param(crash_before_any_listing, 1, id="before_any_listing"),
        pytest.param(crash_without_an_answer, 1, id="start_without_an_answer"),
        pytest.param(crash_twice_before_the_revocation, 1, id="twice_in_one_attempt"),
        pytest.param(crash_after_the_lease, 1, id="back_after_its_lease"),
        pytest.param(crash_under_a_new_owner, 1, id="under_a_new_owner"),
        pytest.param(cut_off_until_after_the_lease, 0, id="cut_off_only"),
        pytest.param(start_not_sent, 0, id="start_not_sent"),
        pytest.param(departure, 0, id="departure"),
        pytest.param(stop, 0, id="stop"),
    ],
)
def test_what_counts_as_a_crash(
    harness: SchedulerHarness, event: Event, n_crashes: int
) -> None:
    event(harness)
    assert task_of(harness).n_crashes == n_crashes


def test_count_outlives_the_owner(harness: SchedulerHarness) -> None:
    crash_seen_running(harness)
    harness.plan_and_store()
    reload(harness)
    assert task_of(harness).n_crashes == 1


def test_progress_stored_by_an_earlier_version_has_no_crashes(
    harness: SchedulerHarness,
) -> None:
    harness.add()
    job = harness.scheduler.jobs[JOB]
    occurrences, *others = msgspec.msgpack.decode(encode_progress(job), strict=False)
    before = {
        key: [[row[:-1] for row in rows] for rows in steps]
        for key, steps in occurrences.items()
    }
    stored = decode_progress(JOB, job.spec, msgspec.msgpack.encode([before, *others]))
    assert not isinstance(stored, Unreadable)
    task = stored.task(KEY)
    assert task is not None and task.n_crashes == 0


def test_job_is_failed_after_the_last_crash(harness: SchedulerHarness) -> None:
    for crash in range(MAX_CRASHES):
        harness.report_worker(WorkerId(f"w-{crash}"), STARTED_MS + crash)
        if not crash:
            harness.add()
        harness.plan_and_store()
        assert harness.scheduler.stored_states[JOB] is not JobState.FAILED
        assert task_of(harness).n_crashes == crash
    harness.report_worker(OTHER, STARTED_MS + MAX_CRASHES)
    harness.plan_and_store()
    assert harness.scheduler.stored_states[JOB] is JobState.FAILED
    assert "task_given_up" in harness.log.events


def placed_on(harness: SchedulerHarness, n_tasks: int) -> list[str]:
    """Return the workers of the first tasks, "" for one that waits."""
    job = harness.scheduler.jobs[JOB]
    tasks = [job.task(TaskKey(0, 0, position)) for position in range(n_tasks)]
    return [
        task.incarnation.worker_id if task is not None and task.incarnation else ""
        for task in tasks
    ]


def crash_under_three(harness: SchedulerHarness) -> None:
    """Crash a worker right after it was told to start three tasks."""
    harness.report_worker()
    harness.add(StepSpec(3, Shape(100, 100), estimate_ms=1_000))
    harness.report_worker(OTHER, STARTED_MS + 1, node="node-2")
    harness.report_worker(WorkerId("w-3"), STARTED_MS + 2, node="node-1")
    harness.plan_and_store()


def test_tasks_in_doubt_are_tried_one_at_a_time_on_a_worker(
    harness: SchedulerHarness,
) -> None:
    crash_under_three(harness)
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
    ("quiet_s", "state"),
    [
        pytest.param(20.0, JobState.FAILED, id="sound_worker"),
        pytest.param(0.0, JobState.RUNNING, id="worker_that_had_just_crashed"),
    ],
)
def test_failed_trial(
    harness: SchedulerHarness, quiet_s: float, state: JobState
) -> None:
    harness.report_worker()
    harness.add()
    harness.report_worker(OTHER, STARTED_MS + 1)
    harness.now_s += quiet_s
    harness.list_worker(OTHER, STARTED_MS + 1)
    harness.plan_and_store()
    assert placed_on(harness, 1) == [OTHER]
    harness.report_worker(WorkerId("w-3"), STARTED_MS + 2)
    harness.plan_and_store()
    assert task_of(harness).n_crashes == 2
    assert harness.scheduler.stored_states[JOB] is state
