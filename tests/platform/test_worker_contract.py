"""The contract of `Worker`, for every adapter, with and without injected faults."""

import dataclasses
from collections.abc import Awaitable, Callable

import pytest

from almondspan_decisions.ids import ShardId, TaskClass, TaskId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_decisions.shapes import Shape
from almondspan_platform.worker import (
    AttemptState,
    StartAttempt,
    StartResult,
    Worker,
    WorkerAttempt,
    WorkerInfo,
    WorkerUnavailable,
    WorkerUsage,
)
from almondspan_standins.faults import WorkerFaults
from almondspan_standins.rigs import CAPACITY, WORKER_RIGS, WorkerRig
from almondspan_standins.worker_core import task_payload

BRIEF_S = 0.1
RUN_S = 10.0
LEASE_S = 5.0
TASK = TaskId("job/0")


@pytest.fixture(params=list(WORKER_RIGS))
def rig(request: pytest.FixtureRequest) -> Callable[[], WorkerRig]:
    return WORKER_RIGS[request.param]


def request(
    attempt: int = 1,
    task_id: TaskId = TASK,
    run_s: float = RUN_S,
    cpu_millicores: int = 1000,
    checkpoint: bytes = b"",
    fail: bool | str = False,
) -> StartAttempt:
    return StartAttempt(
        task_id=task_id,
        attempt=attempt,
        task_class=TaskClass("transcribe"),
        shape=Shape(cpu_millicores, 1000, 0),
        payload=task_payload(run_s, "transcribe", "record-1", fail),
        checkpoint=checkpoint,
        shard_id=ShardId(7),
        epoch=3,
        idempotent=True,
    )


async def listed(worker: Worker) -> list[WorkerAttempt]:
    attempts = await worker.list_attempts()
    assert not isinstance(attempts, WorkerUnavailable)
    return list(attempts)


async def run_for(rig: WorkerRig, worker: Worker, seconds: float) -> None:
    """Advance the worker's clock in steps shorter than the lease, renewing at each."""
    left_s = seconds
    while left_s > 0:
        step_s = min(left_s, LEASE_S / 2)
        rig.skip(step_s)
        left_s -= step_s
        keys = tuple((one.task_id, one.attempt) for one in await listed(worker))
        await worker.renew(keys)


async def test_info(rig: WorkerRig) -> None:
    info = await (await rig.client()).info()
    assert isinstance(info, WorkerInfo)
    assert info.clock_s is not None
    assert info == WorkerInfo(rig.core.worker_id, CAPACITY, LEASE_S, info.clock_s)


async def test_repeated_start_runs_once(rig: WorkerRig) -> None:
    worker = await rig.client()
    first, *others = [await worker.start_attempt(request()) for _ in range(3)]
    assert first is StartResult.STARTED
    assert set(others) == {StartResult.ALREADY_KNOWN}
    await run_for(rig, worker, RUN_S + 1)
    assert await worker.start_attempt(request()) is StartResult.ALREADY_KNOWN
    assert await worker.forget(((TASK, 1),)) is True
    assert await listed(worker) == []
    assert await worker.start_attempt(request()) is StartResult.ALREADY_KNOWN
    assert rig.core.n_started == len(rig.core.ledger) == 1


@pytest.mark.parametrize(
    ("late_s", "result"),
    [
        pytest.param(-1.0, StartResult.STARTED, id="in-time"),
        pytest.param(1.0, StartResult.REFUSED, id="late"),
    ],
)
async def test_start_by_the_worker_clock(
    rig: WorkerRig, late_s: float, result: StartResult
) -> None:
    worker = await rig.client()
    info = await worker.info()
    assert isinstance(info, WorkerInfo)
    assert info.clock_s is not None
    rig.skip(30.0)
    not_after_s = info.clock_s + 30.0 - late_s
    held_back = dataclasses.replace(request(), not_after_s=not_after_s)
    assert await worker.start_attempt(held_back) is result
    assert len(await listed(worker)) == (result is StartResult.STARTED)


async def test_list_returns_the_started_attempt(rig: WorkerRig) -> None:
    worker = await rig.client()
    asked = request()
    await worker.start_attempt(asked)
    (one,) = await listed(worker)
    assert (one.task_id, one.attempt) == (asked.task_id, asked.attempt)
    assert one.state is AttemptState.RUNNING
    assert one.shape == asked.shape
    assert (one.shard_id, one.epoch) == (asked.shard_id, asked.epoch)
    assert (one.task_class, one.idempotent) == (asked.task_class, True)
    assert one.outcome is None
    await run_for(rig, worker, RUN_S + 1)
    (one,) = await listed(worker)
    assert one.state is AttemptState.ENDED
    assert one.outcome is not None
    assert one.outcome.kind is OutcomeKind.DONE
    assert one.outcome.result == b'{"record":"record-1","effect":"transcribe"}'


async def test_answer_lost_after_a_start(rig: WorkerRig) -> None:
    worker = await rig.client()
    rig.core.faults = WorkerFaults(lose_answer_share=1.0)
    outcome = await worker.start_attempt(request())
    assert isinstance(outcome, WorkerUnavailable)
    assert outcome.may_have_applied
    rig.core.faults = WorkerFaults()
    assert len(await listed(worker)) == 1
    assert await worker.start_attempt(request()) is StartResult.ALREADY_KNOWN
    assert rig.core.n_started == 1


@pytest.mark.parametrize(
    ("second", "n_over_capacity", "n_duplicate_running"),
    [
        pytest.param(
            request(task_id=TaskId("job/1"), cpu_millicores=3001), 1, 0, id="too-large"
        ),
        pytest.param(request(attempt=2), 0, 1, id="same-task"),
        pytest.param(request(task_id=TaskId("j/1"), fail="refuse"), 0, 0, id="refuse"),
    ],
)
async def test_refused_start_leaves_nothing(
    rig: WorkerRig, second: StartAttempt, n_over_capacity: int, n_duplicate_running: int
) -> None:
    worker = await rig.client()
    await worker.start_attempt(request())
    assert await worker.start_attempt(second) is StartResult.REFUSED
    assert len(await listed(worker)) == 1
    assert rig.core.n_over_capacity == n_over_capacity
    assert rig.core.n_duplicate_running == n_duplicate_running


async def test_lapsed_lease_stops_the_attempt(rig: WorkerRig) -> None:
    worker = await rig.client()
    other = TaskId("job/1")
    await worker.start_attempt(request(run_s=4 * LEASE_S))
    await worker.start_attempt(request(task_id=other, run_s=4 * LEASE_S))
    rig.skip(LEASE_S - 1)
    assert await worker.renew(((TASK, 1),)) == ()
    rig.skip(LEASE_S - 1)
    assert await worker.renew(((TASK, 1), (other, 1))) == ((other, 1),)
    kept, lapsed = await listed(worker)
    assert kept.state is AttemptState.RUNNING
    assert lapsed.state is AttemptState.ENDED
    assert lapsed.evicted
    assert lapsed.outcome is not None
    assert lapsed.outcome.kind is OutcomeKind.UNKNOWN
    rig.skip(4 * LEASE_S)
    kept, lapsed = await listed(worker)
    assert kept.evicted
    assert rig.core.ledger == []


@pytest.mark.parametrize(
    ("ran_s", "left_s"),
    [
        pytest.param(4.0, 6.0, id="part"),
        pytest.param(0.0, 10.0, id="nothing"),
    ],
)
async def test_checkpointed_attempt_resumes_with_the_rest(
    rig: WorkerRig, ran_s: float, left_s: float
) -> None:
    worker = await rig.client()
    await worker.start_attempt(request())
    await run_for(rig, worker, ran_s)
    assert await worker.checkpoint(TASK, 1) is True
    (one,) = await listed(worker)
    assert one.state is AttemptState.CHECKPOINTING
    rig.skip(1.0)
    (one,) = await listed(worker)
    assert one.state is AttemptState.ENDED
    assert one.evicted
    await worker.start_attempt(request(attempt=2, checkpoint=one.checkpoint))
    await run_for(rig, worker, left_s - 1.0)
    assert rig.core.ledger == []
    await run_for(rig, worker, 2.0)
    assert [effect.attempt for effect in rig.core.ledger] == [2]


async def test_stopped_attempt_keeps_its_earlier_checkpoint(rig: WorkerRig) -> None:
    worker = await rig.client()
    earlier = b'{"done_s":2.0}'
    await worker.start_attempt(request(checkpoint=earlier))
    assert await worker.stop(TASK, 1) is True
    assert await worker.stop(TASK, 1) is False
    (one,) = await listed(worker)
    assert one.evicted
    assert one.checkpoint == earlier


async def test_throttled_attempt_is_slower(rig: WorkerRig) -> None:
    worker = await rig.client()
    await worker.start_attempt(request())
    assert await worker.throttle(TASK, 1, 0.5) is True
    await run_for(rig, worker, RUN_S + 1)
    assert rig.core.ledger == []
    await run_for(rig, worker, RUN_S)
    assert len(rig.core.ledger) == 1
    assert await worker.throttle(TASK, 1, 0.5) is False


async def test_forget_keeps_running_attempts(rig: WorkerRig) -> None:
    worker = await rig.client()
    await worker.start_attempt(request())
    assert await worker.forget(((TASK, 1), (TASK, 9))) is True
    assert len(await listed(worker)) == 1


async def test_usage_lags(rig: WorkerRig) -> None:
    worker = await rig.client()
    await worker.start_attempt(request())
    before = await worker.usage()
    assert isinstance(before, WorkerUsage)
    assert (before.cpu_millicores, before.by_task) == (0, ())
    rig.skip(before.lag_s)
    after = await worker.usage()
    assert after == WorkerUsage(before.lag_s, 1000, 1000, ((TASK, 1000),))


@pytest.mark.parametrize(
    ("fail", "fail_all", "kind"),
    [
        pytest.param(True, False, OutcomeKind.FAILED, id="task-fails"),
        pytest.param("infeasible", False, OutcomeKind.INFEASIBLE, id="infeasible"),
        pytest.param(False, True, OutcomeKind.FAILED, id="worker-fails-all"),
    ],
)
async def test_failing_attempt_has_no_effect(
    rig: WorkerRig, fail: bool | str, fail_all: bool, kind: OutcomeKind
) -> None:
    worker = await rig.client()
    rig.core.faults = WorkerFaults(fail_all=fail_all)
    await worker.start_attempt(request(fail=fail))
    await run_for(rig, worker, RUN_S + 1)
    (one,) = await listed(worker)
    assert one.outcome is not None
    assert one.outcome.kind is kind
    assert rig.core.ledger == []


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(lambda worker: worker.info(), id="info"),
        pytest.param(lambda worker: worker.list_attempts(), id="list"),
        pytest.param(lambda worker: worker.start_attempt(request()), id="start"),
        pytest.param(lambda worker: worker.renew(((TASK, 1),)), id="renew"),
        pytest.param(lambda worker: worker.throttle(TASK, 1, 0.5), id="throttle"),
        pytest.param(lambda worker: worker.checkpoint(TASK, 1), id="checkpoint"),
        pytest.param(lambda worker: worker.stop(TASK, 1), id="stop"),
        pytest.param(lambda worker: worker.forget(((TASK, 1),)), id="forget"),
        pytest.param(lambda worker: worker.usage(), id="usage"),
    ],
)
@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(WorkerFaults(outage=True), id="outage"),
        pytest.param(WorkerFaults(delay_s=30.0), id="slow"),
        pytest.param(WorkerFaults(lose_answer_share=1.0), id="answers-lost"),
    ],
)
async def test_faults_are_outcomes(
    rig: WorkerRig, call: Callable[[Worker], Awaitable[object]], faults: WorkerFaults
) -> None:
    worker = await rig.client(BRIEF_S)
    rig.core.faults = faults
    assert isinstance(await call(worker), WorkerUnavailable)
