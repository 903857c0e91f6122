"""The colocated worker: contention, interference, paces and checkpoints."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_platform.task_worker import (
    EndReason,
    PollRequest,
    RunningTask,
    StartTask,
    Verdict,
    WorkerPoll,
)
from almondspan_standins.colocated_task_worker import (
    ColocatedTaskWorker,
    ColocationCounts,
    Interference,
)
from almondspan_standins.memory_task_worker import TaskScript
from almondspan_standins.virtual_time import run_in_virtual_time

WORKER = WorkerId("w")
CAPACITY = Shape(10_000, 10_000)
FENCE = 1
LEASE_MS = 5_900
SCRIPTS = {
    "short": TaskScript(Shape(4_000, 100), 2.0),
    "serving": TaskScript(
        Shape(4_000, 100), 1e6, image="live", load=lambda now_s: 0.5, tail_target_ms=40
    ),
    "heavy": TaskScript(
        Shape(4_000, 100), 2.0, image="heavy", is_best_effort=True, saves_progress=True
    ),
    "wide": TaskScript(
        Shape(20_000, 100), 2.0, image="calm", is_best_effort=True, saves_progress=True
    ),
}
INTERFERENCE = Interference({("live", "heavy"): 1.0, ("live", "calm"): 0.1}, 10.0)

Body = Callable[[ColocatedTaskWorker, ColocationCounts], Awaitable[None]]


def run(body: Body) -> None:
    async def main() -> None:
        counts = ColocationCounts()
        worker = ColocatedTaskWorker(
            WORKER,
            CAPACITY,
            lambda task, attempt: SCRIPTS[task],
            random.Random(1),
            INTERFERENCE,
            counts,
        )
        await body(worker, counts)

    run_in_virtual_time(main())


async def start(worker: ColocatedTaskWorker, task: str, checkpoint: str = "") -> None:
    request = StartTask(task, 1, "", checkpoint, LEASE_MS, FENCE)
    assert (await worker.start_task(WORKER, request)).verdict is Verdict.DONE


async def rows(worker: ColocatedTaskWorker) -> dict[str, RunningTask]:
    poll = await worker.poll(WORKER, PollRequest(FENCE, 0, LEASE_MS, 0))
    assert isinstance(poll, WorkerPoll)
    return {row.task: row for row in poll.running}


@pytest.mark.parametrize(
    ("tasks", "percent", "measurement"),
    [
        pytest.param(["heavy"], 50, 4_000, id="alone"),
        pytest.param(["wide"], 25, 10_000, id="wider_than_the_worker"),
        pytest.param(["short", "wide"], 15, 6_000, id="beside_a_counted_task"),
        pytest.param(["serving", "wide"], 20, 8_000, id="beside_a_serving_task"),
    ],
)
def test_best_effort_tasks_use_what_is_left(
    tasks: list[str], percent: int, measurement: float
) -> None:
    async def body(worker: ColocatedTaskWorker, counts: ColocationCounts) -> None:
        for task in tasks:
            await start(worker, task)
        await asyncio.sleep(1.0)
        found = (await rows(worker))[tasks[-1]]
        assert found.percent == pytest.approx(percent, abs=2)
        assert found.measurement == pytest.approx(measurement, rel=0.05)

    run(body)


@pytest.mark.parametrize(
    ("best_effort", "pace", "tail_ms", "is_over"),
    [
        pytest.param([], 100, 20, False, id="calm"),
        pytest.param(["heavy"], 100, 100, True, id="heavy_image"),
        pytest.param(["heavy"], 25, 25, False, id="paced"),
    ],
)
def test_best_effort_tasks_raise_the_tail_latency(
    best_effort: list[str], pace: int, tail_ms: int, is_over: bool
) -> None:
    async def body(worker: ColocatedTaskWorker, counts: ColocationCounts) -> None:
        await start(worker, "serving")
        for task in best_effort:
            await start(worker, task)
            await worker.pace_task(WORKER, task, 1, pace, FENCE)
        await asyncio.sleep(1.5)
        serving = (await rows(worker))["serving"]
        assert serving.percent == 100
        assert serving.measurement == pytest.approx(tail_ms, rel=0.1)
        assert (counts.interfered_s > 0.5) is is_over

    run(body)


def test_stopped_task_resumes_from_its_checkpoint() -> None:
    async def body(worker: ColocatedTaskWorker, counts: ColocationCounts) -> None:
        await start(worker, "heavy")
        await asyncio.sleep(1.0)
        assert await worker.stop_task(WORKER, "heavy", 1, FENCE) is Verdict.DONE
        await asyncio.sleep(0.3)
        poll = await worker.poll(WORKER, PollRequest(FENCE, 0, LEASE_MS, 0))
        assert isinstance(poll, WorkerPoll)
        (end,) = poll.ended
        assert end.how is EndReason.STOPPED
        request = StartTask("heavy", 2, "", end.checkpoint, LEASE_MS, FENCE)
        assert (await worker.start_task(WORKER, request)).verdict is Verdict.DONE
        assert (await rows(worker))["heavy"].percent >= 55
        assert counts.lost_core_s == pytest.approx(0.0, abs=0.01)

    run(body)
