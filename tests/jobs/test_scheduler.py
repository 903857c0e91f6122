"""The scheduler: releases, acknowledgements, failure budgets and commands."""

from dataclasses import replace

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
    n_placed,
)

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import (
    JobSpec,
    StepSpec,
)
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_latency_model import Image
from almondspan_jobs.messages import (
    AttemptRevoked,
    LeaseRenewal,
    StartCommand,
    StartReply,
    StopCommand,
)
from almondspan_jobs.progress_records import decode_progress, encode_progress
from almondspan_jobs.records import (
    HOME_AGENTS_KEY,
    INTERFERENCE_KEY,
    HomeAgentsRecord,
    InterferenceRecord,
    decode_record,
)


def test_start_is_sent_after_its_assignment_is_stored(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    assert harness.take_sent(StartCommand) == []
    harness.scheduler.on_stored(harness.scheduler.snapshot())
    assert [command.attempt for command in harness.take_sent(StartCommand)] == [1]


def test_task_is_not_stalled_by_the_time_until_its_assignment_is_stored(
    harness: SchedulerHarness,
) -> None:
    """Guards against work that is thrown away after an outage of the store."""
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    snapshot = harness.scheduler.snapshot()
    harness.now_s += 4.0
    harness.scheduler.on_stored(snapshot)
    harness.now_s += 0.1
    harness.list_worker(running=[(TASK, 1, "", 0, 0.0)])
    harness.advance(harness.options.stall_s - 0.2)
    assert harness.take_sent(StopCommand) == []
    harness.list_worker(running=[(TASK, 1, "", 0, 0.0)])
    harness.advance(0.4)
    assert len(harness.take_sent(StopCommand)) == 1


def test_end_is_acknowledged_after_its_effect_is_stored(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    harness.take_sent(LeaseRenewal)
    harness.list_worker(ended=[(1, TASK, 1, "done", "")])
    assert all(body.n_acknowledged == 0 for body in harness.take_sent(LeaseRenewal))
    assert harness.scheduler.stored_states[JOB] is not JobState.COMPLETED
    harness.plan_and_store()
    assert [body.n_acknowledged for body in harness.take_sent(LeaseRenewal)] == [1]
    assert harness.scheduler.stored_states[JOB] is JobState.COMPLETED


def test_new_owner_acknowledges_an_end_only_after_storing_it(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    job = harness.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    harness.restart_owner()
    harness.scheduler.load(stored)
    harness.report_worker()
    harness.sent.clear()
    harness.list_worker(ended=[(1, TASK, 1, "done", "")])
    assert all(body.n_acknowledged == 0 for body in harness.take_sent(LeaseRenewal))
    harness.plan_and_store()
    assert [body.n_acknowledged for body in harness.take_sent(LeaseRenewal)] == [1]


@pytest.mark.parametrize(
    ("how", "attempts", "state"),
    [
        pytest.param("stopped", 3, JobState.RUNNING, id="stops_are_no_failures"),
        pytest.param("lapsed", 3, JobState.RUNNING, id="lapses_are_no_failures"),
        pytest.param("failed", 2, JobState.FAILED, id="failures_use_up_the_budget"),
    ],
)
def test_failure_budget(
    harness: SchedulerHarness, how: str, attempts: int, state: JobState
) -> None:
    harness.report_worker()
    harness.add()
    for attempt in (1, 2):
        harness.list_worker(ended=[(attempt, TASK, attempt, how, "")])
        harness.plan_and_store()
    assert harness.scheduler.stored_states[JOB] is state
    assert harness.scheduler.jobs[JOB].task(KEY).n_attempts == attempts


@pytest.mark.parametrize(
    ("verdict", "n_sends", "is_released"),
    [
        pytest.param("no_room", 1, True, id="refused_at_once"),
        pytest.param("no_room", 2, False, id="refused_after_an_unanswered_start"),
        pytest.param("old_attempt", 1, False, id="may_have_ended"),
        pytest.param("no_answer", 1, False, id="no_answer"),
        pytest.param("fenced", 1, False, id="a_later_owner_exists"),
        pytest.param("done", 1, False, id="started"),
    ],
)
def test_start_reply(
    harness: SchedulerHarness, verdict: str, n_sends: int, is_released: bool
) -> None:
    harness.report_worker()
    harness.add()
    for _ in range(n_sends - 1):
        harness.scheduler.on_start_reply(
            WORKER, StartReply(STARTED_MS, TASK, 1, "no_answer")
        )
        harness.advance(0.0)
    harness.scheduler.on_start_reply(WORKER, StartReply(STARTED_MS, TASK, 1, verdict))
    assert n_placed(harness) == (0 if is_released else 1)


def test_attempt_that_was_stored_late_has_time_to_start(
    harness: SchedulerHarness,
) -> None:
    """Guards against a revocation right after the start, when storing took long."""
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    snapshot = harness.scheduler.snapshot()
    stored_s = harness.options.listing_timeout_s + 1.0
    harness.now_s += stored_s
    harness.list_worker()
    harness.scheduler.on_stored(snapshot)
    assert len(harness.take_sent(StartCommand)) == 1
    harness.advance(harness.options.command_resend_s + 0.1)
    assert harness.take_sent(StopCommand) == []
    harness.now_s += harness.options.listing_timeout_s
    harness.list_worker()
    harness.advance(harness.options.command_resend_s + 0.1)
    assert [stop.is_revocation for stop in harness.take_sent(StopCommand)] == [True]


def test_unlisted_attempt_is_revoked_then_released(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    harness.scheduler.on_start_reply(WORKER, StartReply(STARTED_MS, TASK, 1, "done"))
    harness.now_s += 1.8
    harness.list_worker()
    harness.sent.clear()
    harness.scheduler.tick()
    assert [body.is_revocation for body in harness.take_sent(StopCommand)] == [True]
    assert n_placed(harness) == 1
    harness.scheduler.on_attempt_revoked(WORKER, AttemptRevoked(STARTED_MS, TASK, 1))
    assert n_placed(harness) == 0


@pytest.mark.parametrize(
    ("worker_id", "started_ms", "is_released"),
    [
        pytest.param(WORKER, STARTED_MS, True, id="assigned"),
        pytest.param(WORKER, STARTED_MS + 1, True, id="later_incarnation"),
        pytest.param(WORKER, STARTED_MS - 1, False, id="earlier_incarnation"),
        pytest.param(WorkerId("w-2"), STARTED_MS, False, id="other_worker"),
        pytest.param(WorkerId("w-2"), STARTED_MS + 1, False, id="other_and_later"),
    ],
)
def test_only_its_worker_can_revoke_an_attempt(
    harness: SchedulerHarness, worker_id: WorkerId, started_ms: int, is_released: bool
) -> None:
    """Guards against TWICE: an attempt that is absent where it never was."""
    harness.report_worker()
    harness.add()
    harness.scheduler.on_start_reply(WORKER, StartReply(STARTED_MS, TASK, 1, "done"))
    harness.now_s += 1.8
    harness.list_worker()
    harness.scheduler.tick()
    revoked = AttemptRevoked(started_ms, TASK, 1)
    harness.scheduler.on_attempt_revoked(worker_id, revoked)
    assert n_placed(harness) == (0 if is_released else 1)


def test_silent_worker_keeps_its_tasks_until_its_lease_expires(
    harness: SchedulerHarness,
) -> None:
    # Leases granted by earlier owners have expired by now.
    harness.advance(20.0)
    harness.report_worker()
    harness.add()
    lease_s = harness.options.lease_ms / 1000
    harness.advance(lease_s * (1 + harness.options.clock_drift))
    assert n_placed(harness) == 1
    harness.advance(1.0)
    assert n_placed(harness) == 0


def test_new_owner_waits_for_leases_of_earlier_owners(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    job = harness.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    harness.restart_owner()
    harness.scheduler.load(stored)
    harness.advance(harness.options.unconfirmed_s)
    assert n_placed(harness) == 1
    harness.advance(1.0)
    assert n_placed(harness) == 0


def test_new_owner_sends_no_start_before_it_has_granted_a_lease(
    harness: SchedulerHarness,
) -> None:
    """Guards against a start that its worker refuses as late while it runs the task."""
    harness.report_worker()
    harness.add()
    job = harness.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    harness.restart_owner()
    harness.sent.clear()
    harness.scheduler.load(stored)
    harness.report_worker(is_listed=False)
    harness.advance(harness.options.command_resend_s)
    assert harness.take_sent(StartCommand) == []
    harness.list_worker()
    harness.advance(harness.options.command_resend_s)
    assert [body.until_ms > 0 for body in harness.take_sent(StartCommand)] == [True]


def test_lease_is_bounded_by_the_confirmed_ownership(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.sent.clear()
    proved_s = harness.now_s
    harness.confirmed_s = lambda: proved_s
    for _ in range(20):
        harness.now_s += 1.0
        harness.list_worker()
    until_s = max(body.until_ms for body in harness.take_sent(LeaseRenewal)) / 1000
    assert until_s <= proved_s + harness.options.unconfirmed_s


def test_later_incarnation_releases_listed_attempts(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add()
    harness.scheduler.on_start_reply(WORKER, StartReply(STARTED_MS, TASK, 1, "done"))
    harness.list_worker(running=[(TASK, 1, "", 10, 0.0)])
    harness.report_worker(started_ms=STARTED_MS + 1)
    assert n_placed(harness) == 0


def test_later_incarnation_may_have_executed_a_start(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    harness.sent.clear()
    harness.report_worker(started_ms=STARTED_MS + 1)
    assert n_placed(harness) == 1
    harness.advance(0.0)
    assert any(body.is_revocation for body in harness.take_sent(StopCommand))
    harness.list_worker(started_ms=STARTED_MS + 1, ended=[(1, TASK, 1, "done", "")])
    harness.plan_and_store()
    assert harness.scheduler.stored_states[JOB] is JobState.COMPLETED


def test_new_owner_knows_which_worker_a_new_one_replaced(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    snapshot = harness.scheduler.snapshot()
    homes = next(write for write in snapshot.writes if write.key == HOME_AGENTS_KEY)
    record = decode_record(HomeAgentsRecord, homes.value)
    job = harness.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    harness.restart_owner()
    harness.scheduler.load_home_agents(record.homes)
    harness.scheduler.load(stored)
    harness.report_worker(WorkerId("w-9"), STARTED_MS + 1, node="node-2")
    assert n_placed(harness) == 1
    harness.report_worker(WorkerId("w-2"), STARTED_MS + 1, node="node-1")
    assert n_placed(harness) == 0


def test_new_owner_keeps_the_interference_weights(harness: SchedulerHarness) -> None:
    record = InterferenceRecord([("live", "heavy", 6.0, 1.0)], {"live": 1.5})
    harness.scheduler.load_interference(record)
    harness.report_worker()
    harness.advance(1.0)
    weights = harness.scheduler.interference_weights
    assert weights.weight(Image("live"), Image("heavy")) == 6.5
    harness.advance(harness.options.interference_store_interval_s)
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.list_worker()
    harness.scheduler.plan()
    writes = harness.scheduler.snapshot().writes
    stored = next(write for write in writes if write.key == INTERFERENCE_KEY)
    assert decode_record(InterferenceRecord, stored.value) == record


def test_cancelled_job_starts_no_tasks(harness: SchedulerHarness) -> None:
    harness.add(STEP, STEP)
    harness.scheduler.cancel_job(JOB)
    harness.report_worker()
    harness.plan_and_store()
    assert harness.take_sent(StartCommand) == []
    assert harness.scheduler.stored_states[JOB] is JobState.CANCELLED


def test_job_cancelled_before_its_assignment_is_stored(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    snapshot = harness.scheduler.snapshot()
    harness.scheduler.cancel_job(JOB)
    harness.scheduler.on_stored(snapshot)
    assert harness.take_sent(StartCommand) == []
    assert n_placed(harness) == 0


def test_unknown_running_attempt_is_stopped(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.list_worker(running=[("feedfeedfeedfeed.0.0.0", 1, "", 5, 0.0)])
    assert len(harness.take_sent(StopCommand)) == 1


def test_second_step_waits_for_all_tasks_of_the_first(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add(StepSpec(2, Shape(100, 100)), StepSpec(1, Shape(100, 100), after=(0,)))
    harness.list_worker(ended=[(1, f"{JOB}.0.0.0", 1, "done", "")])
    harness.plan_and_store()
    names = [command.traits.task for command in harness.take_sent(StartCommand)]
    assert f"{JOB}.0.1.0" not in names
    harness.list_worker(ended=[(2, f"{JOB}.0.0.1", 1, "done", "")])
    harness.plan_and_store()
    names = [command.traits.task for command in harness.take_sent(StartCommand)]
    assert names == [f"{JOB}.0.1.0"]


def test_capacity_of_a_stopping_task_is_not_free(harness: SchedulerHarness) -> None:
    harness.report_worker()
    big = StepSpec(1, Shape(4_000, 8_000))
    harness.add(big)
    harness.scheduler.cancel_job(JOB)
    other = JobId("fedcba9876543210")
    harness.scheduler.add_job(other, JobSpec(QUEUE, "payload", (big,)))
    harness.sent.clear()
    harness.plan_and_store()
    assert harness.take_sent(StartCommand) == []
    harness.list_worker(ended=[(1, TASK, 1, "stopped", "")])
    harness.plan_and_store()
    assert len(harness.take_sent(StartCommand)) == 1


@pytest.mark.parametrize(
    ("capacities", "n_started"),
    [
        pytest.param([(4_000, 8_000)], 4, id="as_registered"),
        pytest.param([(2_000, 8_000)], 2, id="fewer_processors"),
        pytest.param([(4_000, 1_000)], 1, id="less_memory"),
        pytest.param([(0, 0)], 0, id="nothing_left"),
        pytest.param([(1_000, 8_000), (3_000, 8_000)], 3, id="grown_again"),
    ],
)
def test_worker_gets_no_more_than_it_now_holds(
    harness: SchedulerHarness, capacities: list[tuple[int, int]], n_started: int
) -> None:
    harness.report_worker()
    for cpu_millicores, memory_mb in capacities:
        harness.report_worker(cpu_millicores=cpu_millicores, memory_mb=memory_mb)
    harness.add(StepSpec(4, Shape(1_000, 1_000)))
    assert len(harness.take_sent(StartCommand)) == n_started


def test_worker_whose_capacity_shrinks_keeps_its_tasks_and_gets_more_when_it_grows(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add(StepSpec(6, Shape(1_000, 1_000)))
    assert len(harness.take_sent(StartCommand)) == 4
    harness.report_worker(cpu_millicores=2_000)
    harness.list_worker(ended=[(1, TASK, 1, "done", "")])
    harness.plan_and_store()
    assert n_placed(harness) == 3
    assert harness.take_sent(StartCommand) == harness.take_sent(StopCommand) == []
    harness.report_worker(cpu_millicores=5_000)
    harness.plan_and_store()
    assert len(harness.take_sent(StartCommand)) == 2


def test_pair_of_images_that_is_stored_twice_raises_nothing(
    harness: SchedulerHarness,
) -> None:
    """Guards against owners that end one after the other on the same record."""
    serving = replace(STEP, lasts=True, image="live", tail_target_ms=10)
    record = InterferenceRecord(
        [("live", "heavy", 1.0, 0.5), ("live", "heavy", 3.0, 0.5)], {}
    )
    harness.scheduler.load_interference(record)
    harness.report_worker()
    harness.add(serving)
    harness.advance(1.0)
    harness.list_worker(running=[(TASK, 1, "", 100, 5.0)])
    harness.advance(2.0)
    weights = harness.scheduler.interference_weights.weights
    assert [pair for pair in weights] == [(Image("live"), Image("heavy"))]


@pytest.mark.parametrize(
    ("ended", "running"),
    [
        pytest.param([(1, TASK, 1, "melted", "")], [], id="unknown_end"),
        pytest.param([(1, "a.0.0." + "9" * 5_000, 1, "done", "")], [], id="end_name"),
        pytest.param([], [("a.0.0." + "9" * 5_000, 1, "", 0, 0.0)], id="task_name"),
    ],
)
def test_odd_row_of_a_listing_raises_nothing(
    harness: SchedulerHarness,
    ended: list[tuple[int, str, int, str, str]],
    running: list[tuple[str, int, str, int, float]],
) -> None:
    """Guards against the end of the link to the agent that forwards the listing."""
    harness.report_worker()
    harness.add()
    harness.list_worker(ended=ended, running=running)
    assert harness.scheduler.jobs[JOB].state is JobState.RUNNING
