"""Commands and polls over the platform's protocol."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fake_platform import FakeRunner

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_platform.task_worker import (
    PollFailed,
    PollRequest,
    StartAnswer,
    StartTask,
    Verdict,
    WorkerPoll,
)
from almondspan_site.http_task_worker import HttpTaskWorker
from almondspan_standins.memory_task_worker import MemoryTaskWorker, TaskScript

WORKER = WorkerId("i-1")
TASK = "00000000000000aa.0.0.0"


def start(
    attempt: int = 1, until_ms: int = 5_000, fence: int = 1, task: str = TASK
) -> StartTask:
    return StartTask(task, attempt, "spec", "", until_ms, fence)


Body = Callable[[HttpTaskWorker, FakeRunner], Awaitable[None]]


def run(body: Body) -> None:
    async def main() -> None:
        script = TaskScript(Shape(1_000, 1_000, 0), 0.05)
        worker = MemoryTaskWorker(
            WORKER,
            Shape(2_000, 2_000, 0),
            lambda task, attempt: script,
            random.Random(1),
        )
        fake = FakeRunner(worker)
        await fake.start()
        client = HttpTaskWorker(fake.address, 0.4, 0.6)
        await client.start()
        try:
            await body(client, fake)
        finally:
            await client.close()
            await fake.close()

    asyncio.run(main())


def test_task_runs_ends_and_is_acknowledged() -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        assert (await client.start_task(WORKER, start())).verdict is Verdict.DONE
        assert (await client.start_task(WORKER, start())).verdict is Verdict.DONE
        poll = await client.poll(WORKER, PollRequest(1, 0, 5_000, 1_000))
        assert isinstance(poll, WorkerPoll)
        assert [(end.number, end.task, end.how.value) for end in poll.ended] == [
            (1, TASK, "done")
        ]
        acknowledged = await client.poll(WORKER, PollRequest(1, 1, 5_000, 0))
        assert isinstance(acknowledged, WorkerPoll) and acknowledged.ended == ()

    run(body)


@pytest.mark.parametrize(
    ("answer", "clock_ms"),
    [
        pytest.param(b'{"clockMs":1200}', 1_200, id="clock"),
        pytest.param(b"{}", 0, id="no_clock"),
        pytest.param(b'{"clockMs":"1200"}', 0, id="clock_of_another_type"),
        pytest.param(b"", 0, id="empty"),
    ],
)
def test_clock_of_a_confirmed_start(answer: bytes, clock_ms: int) -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        fake.raw_answer = answer
        found = await client.start_task(WORKER, start())
        assert found == StartAnswer(Verdict.DONE, clock_ms)

    run(body)


def test_acknowledgement_does_not_reach_a_later_incarnation() -> None:
    """The next incarnation has the same id and port, and numbers its ends from 1."""

    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        first = await client.poll(WORKER, PollRequest(1, 0, 5_000, 0))
        assert isinstance(first, WorkerPoll)
        await fake.close()
        fake.worker.restart()
        later = FakeRunner(fake.worker)
        await later.start(int(fake.address.rpartition(":")[2]))
        try:
            assert (await client.start_task(WORKER, start())).verdict is Verdict.DONE
            await asyncio.sleep(0.1)
            stale = await client.poll(WORKER, PollRequest(1, 3, 5_000, 0))
            assert isinstance(stale, PollFailed)
            poll = await client.poll(WORKER, PollRequest(1, 0, 5_000, 0))
            assert isinstance(poll, WorkerPoll)
            assert [end.number for end in poll.ended] == [1]
        finally:
            await later.close()

    run(body)


@pytest.mark.parametrize(
    ("start_request", "verdict"),
    [
        pytest.param(start(fence=1), Verdict.FENCED, id="fence"),
        pytest.param(start(fence=2, until_ms=1), Verdict.TOO_LATE, id="late"),
        pytest.param(start(fence=2, attempt=1), Verdict.OLD_ATTEMPT, id="old"),
    ],
)
def test_refused_start(start_request: StartTask, verdict: Verdict) -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        assert await client.stop_task(WORKER, TASK, 1, 2) is Verdict.DONE
        await asyncio.sleep(0.01)
        assert (await client.start_task(WORKER, start_request)).verdict is verdict

    run(body)


def test_no_capacity() -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        for number in range(2):
            name = f"00000000000000bb.0.0.{number}"
            assert (
                await client.start_task(WORKER, start(task=name))
            ).verdict is Verdict.DONE
        assert (await client.start_task(WORKER, start())).verdict is Verdict.NO_CAPACITY

    run(body)


def test_other_incarnation() -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        other = WorkerId("i-2")
        assert (
            await client.start_task(other, start())
        ).verdict is Verdict.OTHER_INCARNATION
        poll = await client.poll(other, PollRequest(1, 0, 0, 0))
        assert (
            isinstance(poll, PollFailed) and poll.verdict is Verdict.OTHER_INCARNATION
        )

    run(body)


@pytest.mark.parametrize(
    ("status", "verdict"),
    [
        pytest.param(429, Verdict.NOT_TAKEN, id="busy"),
        pytest.param(503, Verdict.NOT_TAKEN, id="unhealthy"),
        pytest.param(400, Verdict.MALFORMED, id="malformed"),
        pytest.param(500, Verdict.NO_ANSWER, id="fault_tells_nothing"),
    ],
)
def test_status(status: int, verdict: Verdict) -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        fake.status = status
        assert (await client.start_task(WORKER, start())).verdict is verdict

    run(body)


def test_late_command_has_no_answer() -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        fake.worker.late_share = 1.0
        assert (await client.start_task(WORKER, start())).verdict is Verdict.NO_ANSWER

    run(body)


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(b"{", id="cut_short"),
        pytest.param(b'{"clockMs": "x", "running": [], "ended": []}', id="other_type"),
        pytest.param(
            b'{"clockMs": 1, "running": [["t", 1]], "ended": []}', id="short_row"
        ),
        pytest.param(
            b'{"clockMs": 1, "running": [], "ended": [[1, "t", 1, "odd", ""]]}',
            id="unknown_reason",
        ),
    ],
)
def test_invalid_answer_to_a_poll(raw: bytes) -> None:
    async def body(client: HttpTaskWorker, fake: FakeRunner) -> None:
        fake.raw_answer = raw
        poll = await client.poll(WORKER, PollRequest(1, 0, 0, 0))
        assert isinstance(poll, PollFailed) and poll.verdict is Verdict.MALFORMED

    run(body)
