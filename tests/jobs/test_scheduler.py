"""The owner's books: evidence for releases, notes, budgets, orders."""

from collections.abc import Iterator

import pytest
from scheduler_harness import (
    BORN_MS,
    JOB,
    KEY,
    QUEUE,
    STEP,
    TASK,
    WORKER,
    SchedulerHarness,
)

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import (
    JobSpec,
    StepSpec,
)
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_latency_model import Image
from almondspan_jobs import clocks
from almondspan_jobs.messages import (
    AttemptRevoked,
    LeaseRenewal,
    StartCommand,
    StartReply,
    StopCommand,
)
from almondspan_jobs.records import (
    HOME_AGENTS_KEY,
    INTERFERENCE_KEY,
    HomeAgentsRecord,
    InterferenceRecord,
    decode_progress,
    decode_record,
    encode_progress,
)


@pytest.fixture
def bench() -> Iterator[SchedulerHarness]:
    yield SchedulerHarness()
    clocks.use_clocks()


def n_placed(bench: SchedulerHarness) -> int:
    return bench.scheduler.jobs[JOB].n_placed


def test_start_leaves_after_its_assignment_is_stored(bench: SchedulerHarness) -> None:
    bench.meet()
    bench.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    bench.scheduler.plan()
    assert bench.take(StartCommand) == []
    bench.scheduler.on_stored(bench.scheduler.snapshot())
    assert [order.attempt for order in bench.take(StartCommand)] == [1]


def test_end_is_noted_after_its_effect_is_stored(bench: SchedulerHarness) -> None:
    bench.meet()
    bench.add()
    bench.take(LeaseRenewal)
    bench.list_(ended=[(1, TASK, 1, "done", "")])
    assert all(body.n_acknowledged == 0 for body in bench.take(LeaseRenewal))
    assert bench.scheduler.shown[JOB] is not JobState.COMPLETED
    bench.decide()
    assert [body.n_acknowledged for body in bench.take(LeaseRenewal)] == [1]
    assert bench.scheduler.shown[JOB] is JobState.COMPLETED


def test_new_owner_notes_an_end_only_after_storing_it(bench: SchedulerHarness) -> None:
    bench.meet()
    bench.add()
    job = bench.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    bench.make()
    bench.scheduler.load(stored)
    bench.meet()
    bench.sent.clear()
    bench.list_(ended=[(1, TASK, 1, "done", "")])
    assert all(body.n_acknowledged == 0 for body in bench.take(LeaseRenewal))
    bench.decide()
    assert [body.n_acknowledged for body in bench.take(LeaseRenewal)] == [1]


@pytest.mark.parametrize(
    ("how", "attempts", "state"),
    [
        pytest.param("stopped", 3, JobState.RUNNING, id="stops_are_no_failures"),
        pytest.param("lapsed", 3, JobState.RUNNING, id="lapses_are_no_failures"),
        pytest.param("failed", 2, JobState.FAILED, id="failures_use_up_the_budget"),
    ],
)
def test_budget(
    bench: SchedulerHarness, how: str, attempts: int, state: JobState
) -> None:
    bench.meet()
    bench.add()
    for attempt in (1, 2):
        bench.list_(ended=[(attempt, TASK, attempt, how, "")])
        bench.decide()
    assert bench.scheduler.shown[JOB] is state
    assert bench.scheduler.jobs[JOB].task(KEY).n_attempts == attempts


@pytest.mark.parametrize(
    ("verdict", "n_sends", "is_released"),
    [
        pytest.param("no_room", 1, True, id="refused_at_once"),
        pytest.param("no_room", 2, False, id="refused_after_an_unanswered_order"),
        pytest.param("old_attempt", 1, False, id="perhaps_ended_already"),
        pytest.param("no_answer", 1, False, id="no_answer"),
        pytest.param("fenced", 1, False, id="a_later_owner_is_there"),
        pytest.param("done", 1, False, id="started"),
    ],
)
def test_refused_start(
    bench: SchedulerHarness, verdict: str, n_sends: int, is_released: bool
) -> None:
    bench.meet()
    bench.add()
    for _ in range(n_sends - 1):
        bench.scheduler.on_start_reply(
            WORKER, StartReply(BORN_MS, TASK, 1, "no_answer")
        )
        bench.pass_time(0.0)
    bench.scheduler.on_start_reply(WORKER, StartReply(BORN_MS, TASK, 1, verdict))
    assert n_placed(bench) == (0 if is_released else 1)


def test_attempt_that_is_not_listed_is_voided_then_released(
    bench: SchedulerHarness,
) -> None:
    bench.meet()
    bench.add()
    bench.scheduler.on_start_reply(WORKER, StartReply(BORN_MS, TASK, 1, "done"))
    bench.now_s += 1.8
    bench.list_()
    bench.sent.clear()
    bench.scheduler.tick()
    assert [body.is_revocation for body in bench.take(StopCommand)] == [True]
    assert n_placed(bench) == 1
    bench.scheduler.on_attempt_revoked(AttemptRevoked(BORN_MS, TASK, 1))
    assert n_placed(bench) == 0


def test_silent_worker_keeps_its_tasks_until_the_lease_has_passed(
    bench: SchedulerHarness,
) -> None:
    # Leases of owners before this one have passed by now.
    bench.pass_time(20.0)
    bench.meet()
    bench.add()
    lease_s = bench.options.lease_ms / 1000
    bench.pass_time(lease_s * (1 + bench.options.clock_drift))
    assert n_placed(bench) == 1
    bench.pass_time(1.0)
    assert n_placed(bench) == 0


def test_new_owner_waits_for_leases_of_earlier_owners(bench: SchedulerHarness) -> None:
    bench.meet()
    bench.add()
    job = bench.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    bench.make()
    bench.scheduler.load(stored)
    bench.pass_time(bench.options.unconfirmed_s)
    assert n_placed(bench) == 1
    bench.pass_time(1.0)
    assert n_placed(bench) == 0


def test_lease_never_reaches_far_past_the_proof_of_ownership(
    bench: SchedulerHarness,
) -> None:
    bench.meet()
    bench.sent.clear()
    proved_s = bench.now_s
    bench.scheduler._confirmed_s = lambda: proved_s
    for _ in range(20):
        bench.now_s += 1.0
        bench.list_()
    until_s = max(body.until_ms for body in bench.take(LeaseRenewal)) / 1000
    assert until_s <= proved_s + bench.options.unconfirmed_s


def test_later_life_releases_what_was_listed_before(bench: SchedulerHarness) -> None:
    bench.meet()
    bench.add()
    bench.scheduler.on_start_reply(WORKER, StartReply(BORN_MS, TASK, 1, "done"))
    bench.list_(running=[(TASK, 1, "", 10, 0.0)])
    bench.meet(started_ms=BORN_MS + 1)
    assert n_placed(bench) == 0


def test_later_life_of_the_same_name_may_have_taken_an_order(
    bench: SchedulerHarness,
) -> None:
    bench.meet()
    bench.add()
    bench.sent.clear()
    bench.meet(started_ms=BORN_MS + 1)
    assert n_placed(bench) == 1
    bench.pass_time(0.0)
    assert any(body.is_revocation for body in bench.take(StopCommand))
    bench.list_(started_ms=BORN_MS + 1, ended=[(1, TASK, 1, "done", "")])
    bench.decide()
    assert bench.scheduler.shown[JOB] is JobState.COMPLETED


def test_new_owner_knows_whose_place_a_new_worker_has_taken(
    bench: SchedulerHarness,
) -> None:
    bench.meet()
    bench.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    bench.scheduler.plan()
    snapshot = bench.scheduler.snapshot()
    homes = next(write for write in snapshot.writes if write.key == HOME_AGENTS_KEY)
    record = decode_record(HomeAgentsRecord, homes.value)
    job = bench.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    bench.make()
    bench.scheduler.load_homes(record.homes)
    bench.scheduler.load(stored)
    bench.meet(WorkerId("w-9"), BORN_MS + 1, node="node-2")
    assert n_placed(bench) == 1
    bench.meet(WorkerId("w-2"), BORN_MS + 1, node="node-1")
    assert n_placed(bench) == 0


def test_new_owner_keeps_the_learned_weights(bench: SchedulerHarness) -> None:
    record = InterferenceRecord([("live", "heavy", 6.0, 1.0)], {"live": 1.5})
    bench.scheduler.load_harm(record)
    bench.meet()
    bench.pass_time(1.0)
    assert bench.scheduler._table.weight(Image("live"), Image("heavy")) == 6.5
    bench.pass_time(bench.options.harm_interval_s)
    bench.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    bench.list_()
    bench.scheduler.plan()
    writes = bench.scheduler.snapshot().writes
    stored = next(write for write in writes if write.key == INTERFERENCE_KEY)
    assert decode_record(InterferenceRecord, stored.value) == record


def test_cancelled_job_starts_nothing_more(bench: SchedulerHarness) -> None:
    bench.add(STEP, STEP)
    bench.scheduler.cancel_job(JOB)
    bench.meet()
    bench.decide()
    assert bench.take(StartCommand) == []
    assert bench.scheduler.shown[JOB] is JobState.CANCELLED


def test_cancelled_between_the_decision_and_its_storing(
    bench: SchedulerHarness,
) -> None:
    bench.meet()
    bench.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    bench.scheduler.plan()
    snapshot = bench.scheduler.snapshot()
    bench.scheduler.cancel_job(JOB)
    bench.scheduler.on_stored(snapshot)
    assert bench.take(StartCommand) == []
    assert n_placed(bench) == 0


def test_unknown_running_attempt_is_stopped(bench: SchedulerHarness) -> None:
    bench.meet()
    bench.list_(running=[("feedfeedfeedfeed.0.0.0", 1, "", 5, 0.0)])
    assert len(bench.take(StopCommand)) == 1


def test_second_step_waits_for_the_whole_first(bench: SchedulerHarness) -> None:
    bench.meet()
    bench.add(StepSpec(2, Shape(100, 100)), StepSpec(1, Shape(100, 100), after=(0,)))
    bench.list_(ended=[(1, f"{JOB}.0.0.0", 1, "done", "")])
    bench.decide()
    names = [order.facts.task for order in bench.take(StartCommand)]
    assert f"{JOB}.0.1.0" not in names
    bench.list_(ended=[(2, f"{JOB}.0.0.1", 1, "done", "")])
    bench.decide()
    names = [order.facts.task for order in bench.take(StartCommand)]
    assert names == [f"{JOB}.0.1.0"]


def test_room_of_a_stopping_task_is_not_free(bench: SchedulerHarness) -> None:
    bench.meet()
    big = StepSpec(1, Shape(4_000, 8_000))
    bench.add(big)
    bench.scheduler.cancel_job(JOB)
    other = JobId("fedcba9876543210")
    bench.scheduler.add_job(other, JobSpec(QUEUE, "payload", (big,)))
    bench.sent.clear()
    bench.decide()
    assert bench.take(StartCommand) == []
    bench.list_(ended=[(1, TASK, 1, "stopped", "")])
    bench.decide()
    assert len(bench.take(StartCommand)) == 1
