"""Commands that wait at an agent while an owner, the worker or their need changes."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest
from memory_network import Hub, MemoryChannel, MemoryNetwork
from virtual_loop import Process, VirtualLoop

from almondspan_decisions.ids import PlaceName, ServiceName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.messages import (
    AttemptRevoked,
    EvacuatedPlaces,
    OwnerHello,
    StartCommand,
    StartReply,
    StopCommand,
    TaskTraits,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.worker_agent import WorkerAgent
from almondspan_platform.task_worker import (
    EndedTask,
    EndReason,
    PollFailed,
    PollRequest,
    StartAnswer,
    StartTask,
    Verdict,
    WorkerPoll,
    WorkerState,
)
from almondspan_wire.codec import Message

STARTED_MS = 5
HOST, PORT = "machine", 1
OPTIONS = replace(JobOptions(), max_concurrent_commands=1)


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


class HeldWorker:
    """Records the commands that arrive, and answers them once it is released."""

    def __init__(self) -> None:
        self.fences: list[tuple[str, int]] = []
        self.started: list[str] = []
        self.release = asyncio.Event()
        self.started_ms = STARTED_MS
        self.ended: tuple[EndedTask, ...] = ()
        self.lists_all_ends = True

    async def _answer(self, task: str, fence: int) -> Verdict:
        self.fences.append((task, fence))
        await self.release.wait()
        return Verdict.TOO_LATE

    async def start_task(self, worker_id: WorkerId, request: StartTask) -> StartAnswer:
        self.started.append(request.task)
        return StartAnswer(await self._answer(request.task, request.fence))

    async def stop_task(
        self, worker_id: WorkerId, task: str, attempt: int, fence: int
    ) -> Verdict:
        await self._answer(task, fence)
        return Verdict.DONE

    async def pace_task(
        self, worker_id: WorkerId, task: str, attempt: int, percent: int, fence: int
    ) -> Verdict:
        return Verdict.DONE

    async def list_tasks(
        self, worker_id: WorkerId, fence: int
    ) -> WorkerPoll | PollFailed:
        return WorkerPoll(self.started_ms, 1, (), self.ended, self.lists_all_ends)

    async def poll(
        self, worker_id: WorkerId, request: PollRequest
    ) -> WorkerPoll | PollFailed:
        await asyncio.sleep(1.0)
        return PollFailed(Verdict.NO_ANSWER, "held")


class HandOver:
    """An agent, and the channels of its owners."""

    def __init__(self, hub: Hub) -> None:
        self.worker = HeldWorker()
        self._network = MemoryNetwork(hub)
        self._agent = WorkerAgent(
            HOST, HOST, PORT, self._network, self.worker, OPTIONS, Log(), Metrics()
        )

    async def start(self) -> None:
        await self._agent.start()
        self.report()

    def report(self, started_ms: int = STARTED_MS, is_leaving: bool = False) -> None:
        self.worker.started_ms = started_ms
        self._agent.on_report(
            WorkerState(
                WorkerId("w"),
                started_ms,
                ServiceName("pool"),
                PlaceName("here"),
                Shape(1_000, 1_000),
                (),
                is_leaving,
                0,
            )
        )

    async def connect_owner(self, epoch: int, *evacuated: str) -> MemoryChannel:
        channel = await self._network.dial(HOST, PORT, 1.0)
        assert isinstance(channel, MemoryChannel)
        name = f"entry{epoch}"
        hello = OwnerHello(epoch, name, name, 1, evacuated=list(evacuated))
        await channel.send(hello)
        await asyncio.sleep(0.1)
        return channel

    async def close(self) -> None:
        await self._agent.close()


RunTest = Callable[[Callable[[HandOver], Awaitable[None]]], None]


@pytest.fixture
def run_test() -> Iterator[RunTest]:
    loop = VirtualLoop()
    clocks.use_clocks(loop.time)

    def run(body: Callable[[HandOver], Awaitable[None]]) -> None:
        async def inner() -> None:
            hand_over = HandOver(Hub(loop))
            await hand_over.start()
            await body(hand_over)
            await hand_over.close()

        context = Process(HOST).new_context()
        loop.run_until_complete(loop.create_task(inner(), context=context))

    yield run
    clocks.use_clocks()
    loop.close()


def start(task: str) -> StartCommand:
    traits = TaskTraits(task, "", 0, False, 100)
    return StartCommand(STARTED_MS, 1, "", "", 1_000, traits, False)


def revoke(task: str) -> StopCommand:
    return StopCommand(task, 1, is_revocation=True)


@pytest.mark.parametrize(
    ("make_command", "reply"),
    [
        pytest.param(start, StartReply, id="start"),
        pytest.param(revoke, AttemptRevoked, id="revocation"),
    ],
)
def test_waiting_command_of_an_earlier_owner_is_not_taken_for_its_successors(
    run_test: RunTest, make_command: Callable[[str], Message], reply: type[Message]
) -> None:
    """Guards against a command that gets the fence of an owner who never sent it.

    The worker would carry it out for the successor, and the successor would take its
    answer for that to a command of its own.
    """

    async def body(hand_over: HandOver) -> None:
        first = await hand_over.connect_owner(1)
        first.post(make_command("a"))
        first.post(make_command("b"))
        await asyncio.sleep(0.1)
        second = await hand_over.connect_owner(2)
        hand_over.worker.release.set()
        await asyncio.sleep(0.1)
        assert hand_over.worker.fences == [("a", 1), ("b", 1)]
        assert not [body for body in second.inbox if isinstance(body, reply)]

    run_test(body)


@pytest.mark.parametrize(
    ("make_command", "reply"),
    [
        pytest.param(start, StartReply, id="start"),
        pytest.param(revoke, AttemptRevoked, id="revocation"),
    ],
)
def test_owner_that_reconnects_gets_the_answers_to_its_commands(
    run_test: RunTest, make_command: Callable[[str], Message], reply: type[Message]
) -> None:
    async def body(hand_over: HandOver) -> None:
        first = await hand_over.connect_owner(1)
        first.post(make_command("a"))
        await asyncio.sleep(0.1)
        again = await hand_over.connect_owner(1)
        hand_over.worker.release.set()
        await asyncio.sleep(0.1)
        assert len([body for body in again.inbox if isinstance(body, reply)]) == 1

    run_test(body)


@pytest.mark.parametrize(
    ("report", "verdict"),
    [
        pytest.param({"is_leaving": True}, Verdict.NOT_TAKEN, id="leaving"),
        pytest.param(
            {"started_ms": STARTED_MS + 1}, Verdict.OTHER_INCARNATION, id="restarted"
        ),
    ],
)
def test_waiting_start_is_not_sent_once_the_worker_has_changed(
    run_test: RunTest, report: dict[str, Any], verdict: Verdict
) -> None:
    """Guards against a check of the worker that was made before the wait."""

    async def body(hand_over: HandOver) -> None:
        owner = await hand_over.connect_owner(1)
        owner.post(start("a"))
        owner.post(start("b"))
        await asyncio.sleep(0.1)
        hand_over.report(**report)
        await asyncio.sleep(0.1)
        hand_over.worker.release.set()
        await asyncio.sleep(0.1)
        assert hand_over.worker.fences == [("a", 1)]
        replies = [body for body in owner.inbox if isinstance(body, StartReply)]
        assert [(each.task, each.verdict) for each in replies] == [
            ("a", Verdict.TOO_LATE.value),
            ("b", verdict.value),
        ]

    run_test(body)


def test_starts_are_refused_in_an_evacuated_place(run_test: RunTest) -> None:
    """Also one that has waited, and the first after the hello; others are sent."""

    async def body(hand_over: HandOver) -> None:
        owner = await hand_over.connect_owner(1)
        owner.post(start("a"))
        owner.post(start("b"))
        await asyncio.sleep(0.1)
        owner.post(EvacuatedPlaces(["elsewhere", "here"]))
        await asyncio.sleep(0.1)
        hand_over.worker.release.set()
        await asyncio.sleep(0.1)
        assert hand_over.worker.started == ["a"]
        owner.post(EvacuatedPlaces(["elsewhere"]))
        owner.post(start("c"))
        await asyncio.sleep(0.1)
        assert hand_over.worker.started == ["a", "c"]
        second = await hand_over.connect_owner(2, "here")
        second.post(start("d"))
        await asyncio.sleep(0.1)
        assert hand_over.worker.started == ["a", "c"]
        third = await hand_over.connect_owner(3)
        third.post(start("e"))
        await asyncio.sleep(0.1)
        assert hand_over.worker.started == ["a", "c", "e"]

    run_test(body)


def ends(n_ends: int, n_chars: int) -> tuple[EndedTask, ...]:
    """Return ends of other tasks, with checkpoints."""
    return tuple(
        EndedTask(n, f"b{n}", 1, EndReason.STOPPED, "c" * n_chars)
        for n in range(1, n_ends + 1)
    )


@pytest.mark.parametrize(
    ("ended", "lists_all_ends", "n_revoked"),
    [
        pytest.param((), True, 1, id="no_ends"),
        pytest.param(ends(20, 16), True, 1, id="all_ends"),
        pytest.param(ends(20, 16), False, 0, id="full_list"),
        pytest.param(ends(20, 64_000), True, 0, id="more_than_a_message_holds"),
    ],
)
def test_revocation_is_answered_only_once_the_owner_has_heard_of_all_ends(
    run_test: RunTest,
    ended: tuple[EndedTask, ...],
    lists_all_ends: bool,
    n_revoked: int,
) -> None:
    """Guards against TWICE: an attempt whose end is still to be listed."""

    async def body(hand_over: HandOver) -> None:
        hand_over.worker.release.set()
        hand_over.worker.ended = ended
        hand_over.worker.lists_all_ends = lists_all_ends
        owner = await hand_over.connect_owner(1)
        owner.post(revoke("a"))
        await asyncio.sleep(0.1)
        found = [body for body in owner.inbox if isinstance(body, AttemptRevoked)]
        assert len(found) == n_revoked

    run_test(body)


def test_stop_withdraws_the_waiting_start_of_its_attempt(run_test: RunTest) -> None:
    """Guards against a start that is sent seconds after its stop was ordered."""

    async def body(hand_over: HandOver) -> None:
        owner = await hand_over.connect_owner(1)
        for name in ("a", "b", "c"):
            owner.post(start(name))
        owner.post(StopCommand("b", 1))
        await asyncio.sleep(0.1)
        replies = [body for body in owner.inbox if isinstance(body, StartReply)]
        assert [(each.task, each.verdict) for each in replies] == [
            ("b", Verdict.NOT_TAKEN.value)
        ]
        hand_over.worker.release.set()
        await asyncio.sleep(0.1)
        assert hand_over.worker.started == ["a", "c"]
        assert hand_over.worker.fences == [("a", 1), ("b", 1), ("c", 1)]

    run_test(body)


def test_start_that_waits_is_not_sent_twice(run_test: RunTest) -> None:
    """Guards against a queue that grows with each repetition of a command."""

    async def body(hand_over: HandOver) -> None:
        owner = await hand_over.connect_owner(1)
        for name in ("a", "b", "b"):
            owner.post(start(name))
        await asyncio.sleep(0.1)
        hand_over.worker.release.set()
        await asyncio.sleep(0.1)
        assert hand_over.worker.started == ["a", "b"]

    run_test(body)


@pytest.mark.parametrize(
    ("make_command", "reply"),
    [
        pytest.param(start, StartReply, id="start"),
        pytest.param(revoke, AttemptRevoked, id="revocation"),
    ],
)
def test_command_at_the_worker_is_answered_before_the_agent_ends(
    run_test: RunTest, make_command: Callable[[str], Message], reply: type[Message]
) -> None:
    """Guards against an owner that can't tell what became of its command."""

    async def body(hand_over: HandOver) -> None:
        owner = await hand_over.connect_owner(1)
        owner.post(make_command("a"))
        await asyncio.sleep(0.1)
        closing = asyncio.create_task(hand_over.close())
        await asyncio.sleep(0.1)
        hand_over.worker.release.set()
        await closing
        await asyncio.sleep(0.1)
        assert [body.task for body in owner.inbox if isinstance(body, reply)] == ["a"]

    run_test(body)


def test_start_that_comes_as_the_agent_ends_is_refused(run_test: RunTest) -> None:
    """Guards against new work for an endpoint that leaves."""

    async def body(hand_over: HandOver) -> None:
        owner = await hand_over.connect_owner(1)
        for name in ("a", "b"):
            owner.post(start(name))
        await asyncio.sleep(0.1)
        closing = asyncio.create_task(hand_over.close())
        await asyncio.sleep(0.1)
        owner.post(start("c"))
        await asyncio.sleep(0.1)
        hand_over.worker.release.set()
        await closing
        await asyncio.sleep(0.1)
        replies = [body for body in owner.inbox if isinstance(body, StartReply)]
        verdicts = {reply.task: reply.verdict for reply in replies}
        assert hand_over.worker.started == ["a"]
        assert [verdicts[name] for name in ("b", "c")] == [Verdict.NOT_TAKEN.value] * 2

    run_test(body)


@pytest.mark.parametrize(
    ("is_owner_gone", "wait_s"),
    [
        pytest.param(True, 0.1, id="owner_gone"),
        pytest.param(False, 1.1, id="poll_failed"),
    ],
)
def test_waiting_start_is_not_sent_without_an_owner_or_beside_failing_polls(
    run_test: RunTest, is_owner_gone: bool, wait_s: float
) -> None:
    """Guards against a start that is sent long after it was ordered."""

    async def body(hand_over: HandOver) -> None:
        owner = await hand_over.connect_owner(1)
        owner.post(start("a"))
        owner.post(start("b"))
        await asyncio.sleep(0.1)
        if is_owner_gone:
            await owner.close()
        await asyncio.sleep(wait_s)
        hand_over.worker.release.set()
        await asyncio.sleep(0.1)
        assert hand_over.worker.started == ["a"]

    run_test(body)


def test_commands_of_an_owner_that_connects_after_its_successor_are_ignored(
    run_test: RunTest,
) -> None:
    """Guards against a resumed owner that still gives commands."""

    async def body(hand_over: HandOver) -> None:
        await hand_over.connect_owner(2)
        earlier = await hand_over.connect_owner(1)
        earlier.post(start("a"))
        await asyncio.sleep(0.1)
        assert hand_over.worker.fences == []

    run_test(body)
