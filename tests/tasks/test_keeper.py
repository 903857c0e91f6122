"""The keeper's answers to single messages, over an in-memory worker."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from virtual_loop import Process, VirtualLoop

from almondspan_decisions.ids import (
    AgentId,
    Epoch,
    ShardId,
    TaskClass,
    TaskId,
    WorkerId,
)
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_standins.memory_worker import MemoryWorker
from almondspan_standins.worker_core import WorkerCore, task_payload
from almondspan_tasks.keeper import AttemptKeeper
from almondspan_tasks.options import KeeperOptions
from almondspan_wire.codec import Message
from almondspan_wire.task_messages import (
    AttemptRef,
    AttemptReport,
    AttemptStarted,
    RenewAttempts,
    RenewReply,
    ReportAck,
    ReserveCapacity,
    ReserveReply,
    StartTask,
)

ME = AgentId("agent-1")
SHARD = ShardId(3)
TASK = TaskId("job/0")
WHOLE = Shape(4_000, 4_000, 0)
HALF = Shape(2_000, 2_000, 0)
OPTIONS = KeeperOptions(horizon_s=20.0, call_bound_s=1.0)


class Desk:
    """A keeper with its worker, and the mail that it sent."""

    def __init__(self) -> None:
        now = asyncio.get_running_loop().time
        self.core = WorkerCore(WorkerId("w"), WHOLE, now)
        self.sent: list[Message] = []
        self.keeper = AttemptKeeper(
            ME, MemoryWorker(self.core), self, OPTIONS, random.Random(1)
        )

    def send(self, to: str, body: Message) -> None:
        self.sent.append(body)

    def last(self, kind: type) -> Message | None:  # type: ignore[type-arg]
        found = [body for body in self.sent if isinstance(body, kind)]
        return found[-1] if found else None

    def reserve(self, attempt: int = 1, epoch: int = 5, shape: Shape = HALF) -> str:
        body = ReserveCapacity(SHARD, Epoch(epoch), TASK, attempt, shape, 5.0)
        self.keeper.on_routed_message("owner", body)
        reply = self.last(ReserveReply)
        assert isinstance(reply, ReserveReply)
        return reply.reservation

    def start(
        self,
        reservation: str,
        attempt: int = 1,
        epoch: int = 5,
        agent: AgentId = ME,
        shape: Shape = HALF,
        run_s: float = 3.0,
        idempotent: bool = False,
    ) -> None:
        body = StartTask(
            shard_id=SHARD,
            epoch=Epoch(epoch),
            task_id=TASK,
            attempt=attempt,
            agent_id=agent,
            reservation=reservation,
            task_class=TaskClass("cut"),
            shape=shape,
            payload=task_payload(run_s, "effect", "record"),
            checkpoint=b"",
            idempotent=idempotent,
            checkpointable=False,
        )
        self.keeper.on_routed_message("owner", body)

    def confirm(self, assigned: bool = True) -> None:
        asked = self.last(RenewAttempts)
        assert isinstance(asked, RenewAttempts)
        refs = (AttemptRef(TASK, 1),)
        lists = (refs, ()) if assigned else ((), refs)
        reply = RenewReply(SHARD, Epoch(5), asked.renewal_id, *lists)
        self.keeper.on_routed_message("owner", reply)


Case = Callable[[Desk], Awaitable[None]]


def run(case: Case) -> None:
    async def main() -> None:
        desk = Desk()
        await desk.keeper.start()
        await asyncio.sleep(3.0)
        await case(desk)
        await desk.keeper.close()

    loop = VirtualLoop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    assert loop.errors == []


async def starts_once_by_its_reservation(desk: Desk) -> None:
    reservation = desk.reserve()
    desk.start(reservation)
    desk.start(reservation)
    await asyncio.sleep(0.5)
    assert desk.core.n_started == 1
    assert desk.last(AttemptStarted) is not None


async def a_lower_epoch_is_refused(desk: Desk) -> None:
    desk.reserve(epoch=5)
    n_sent = len(desk.sent)
    assert desk.keeper.counters.n_reserved == 1
    body = ReserveCapacity(SHARD, Epoch(4), TaskId("other/0"), 1, HALF, 5.0)
    desk.keeper.on_routed_message("owner", body)
    assert len(desk.sent) == n_sent
    assert desk.keeper.counters.n_stale_epochs == 1


async def another_reservation_needs_confirmation(desk: Desk) -> None:
    desk.reserve()
    desk.start("of an earlier reservation")
    await asyncio.sleep(0.5)
    assert desk.core.n_started == 0
    desk.confirm()
    await asyncio.sleep(0.5)
    assert desk.core.n_started == 1


async def an_unassigned_start_is_dropped(desk: Desk) -> None:
    desk.start("")
    desk.confirm(assigned=False)
    await asyncio.sleep(0.5)
    assert desk.core.n_started == 0
    assert desk.keeper.n_tasks() == 0
    assert desk.last(AttemptReport) is None


async def another_agents_start_is_left_alone(desk: Desk) -> None:
    desk.start("", agent=AgentId("agent-0"))
    await asyncio.sleep(0.5)
    assert desk.last(RenewAttempts) is None
    assert desk.last(AttemptReport) is None


async def a_start_without_room_is_refused_for_good(desk: Desk) -> None:
    desk.start("", shape=Shape(5_000, 1, 0))
    assert desk.last(AttemptReport) is None
    desk.confirm()
    report = desk.last(AttemptReport)
    assert isinstance(report, AttemptReport)
    assert report.outcome.kind is OutcomeKind.NOT_RUN
    desk.start("", shape=HALF)
    desk.confirm()
    await asyncio.sleep(0.5)
    assert desk.core.n_started == 0


async def a_reservation_lapses(desk: Desk) -> None:
    reservation = desk.reserve(shape=WHOLE)
    assert desk.keeper.free() == EMPTY_SHAPE
    await asyncio.sleep(6.0)
    assert desk.keeper.free() == WHOLE
    desk.start(reservation, shape=WHOLE)
    await asyncio.sleep(0.2)
    assert desk.core.n_started == 0


async def a_result_is_reported_until_acknowledged(desk: Desk) -> None:
    desk.start(desk.reserve())
    await asyncio.sleep(8.0)
    reports = [one for one in desk.sent if isinstance(one, AttemptReport)]
    assert len(reports) > 1
    assert reports[0].outcome.kind is OutcomeKind.DONE
    assert len(desk.core.list_attempts()) == 1
    desk.keeper.on_routed_message("owner", ReportAck(SHARD, Epoch(5), TASK, 1))
    await asyncio.sleep(0.5)
    assert desk.core.list_attempts() == ()


async def a_late_answer_counts_from_its_question(desk: Desk) -> None:
    desk.start(desk.reserve(), run_s=100.0)
    await asyncio.sleep(6.0)
    asked = desk.last(RenewAttempts)
    assert isinstance(asked, RenewAttempts)
    await asyncio.sleep(12.0)
    refs = (AttemptRef(TASK, 1),)
    reply = RenewReply(SHARD, Epoch(5), asked.renewal_id, refs, ())
    desk.keeper.on_routed_message("owner", reply)
    await asyncio.sleep(11.0)
    assert desk.core.running() == []


async def an_adopted_attempt_has_no_lease(desk: Desk) -> None:
    desk.start(desk.reserve(), run_s=100.0)
    await asyncio.sleep(1.0)
    await desk.keeper.close()
    heir = AttemptKeeper(
        AgentId("heir"), MemoryWorker(desk.core), desk, OPTIONS, random.Random(2)
    )
    await heir.start()
    await asyncio.sleep(8.0)
    assert heir.counters.n_adopted == 1
    assert desk.core.running() == []
    await heir.close()


async def an_adopted_attempt_goes_on_once_confirmed(desk: Desk) -> None:
    desk.start(desk.reserve(), run_s=100.0)
    await asyncio.sleep(1.0)
    await desk.keeper.close()
    heir = AttemptKeeper(
        AgentId("heir"), MemoryWorker(desk.core), desk, OPTIONS, random.Random(2)
    )
    desk.keeper = heir
    await heir.start()
    await asyncio.sleep(1.5)
    desk.confirm()
    await asyncio.sleep(8.0)
    assert desk.core.running_keys() == [(TASK, 1)]


async def an_urgent_task_gets_room(desk: Desk) -> None:
    body = ReserveCapacity(SHARD, Epoch(5), TaskId("batch/0"), 1, WHOLE, 5.0)
    desk.keeper.on_routed_message("owner", body)
    reply = desk.last(ReserveReply)
    assert isinstance(reply, ReserveReply)
    start = StartTask(
        shard_id=SHARD,
        epoch=Epoch(5),
        task_id=TaskId("batch/0"),
        attempt=1,
        agent_id=ME,
        reservation=reply.reservation,
        task_class=TaskClass("cut"),
        shape=WHOLE,
        payload=task_payload(100.0, "effect", "record"),
        checkpoint=b"",
        idempotent=False,
        checkpointable=True,
    )
    desk.keeper.on_routed_message("owner", start)
    await asyncio.sleep(2.0)
    urgent = ReserveCapacity(SHARD, Epoch(5), TASK, 1, HALF, 5.0, urgent=True)
    desk.keeper.on_routed_message("owner", urgent)
    reply = desk.last(ReserveReply)
    assert isinstance(reply, ReserveReply) and reply.preempting
    await asyncio.sleep(1.5)
    reply = desk.last(ReserveReply)
    assert isinstance(reply, ReserveReply) and reply.granted
    report = desk.last(AttemptReport)
    assert isinstance(report, AttemptReport) and report.evicted
    assert report.checkpoint


async def an_eviction_saves_a_checkpoint_if_asked(desk: Desk) -> None:
    for attempt, checkpoint in ((1, True), (2, False)):
        reservation = desk.reserve(attempt=attempt)
        desk.start(reservation, attempt=attempt, run_s=100.0, idempotent=True)
        await asyncio.sleep(1.0)
        assert desk.keeper.evict(TASK, checkpoint)
        await asyncio.sleep(2.0)
        report = desk.last(AttemptReport)
        assert isinstance(report, AttemptReport)
        assert (report.attempt, bool(report.checkpoint)) == (attempt, checkpoint)
        desk.keeper.on_routed_message(
            "owner", ReportAck(SHARD, Epoch(5), TASK, attempt)
        )


async def work_that_cannot_resume_is_not_evicted(desk: Desk) -> None:
    desk.start(desk.reserve(), run_s=100.0)
    await asyncio.sleep(1.0)
    assert not desk.keeper.evict(TASK, True)
    assert not desk.keeper.evict(TASK, False)
    assert desk.core.running_keys() == [(TASK, 1)]


async def draining_refuses_at_once(desk: Desk) -> None:
    await desk.keeper.drain()
    assert desk.reserve() == ""


async def resting_refuses(desk: Desk) -> None:
    desk.keeper.set_resting(True)
    assert desk.reserve() == ""
    desk.keeper.set_resting(False)
    assert desk.reserve() != ""


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(case, id=case.__name__)
        for case in (
            starts_once_by_its_reservation,
            a_lower_epoch_is_refused,
            another_reservation_needs_confirmation,
            an_unassigned_start_is_dropped,
            another_agents_start_is_left_alone,
            a_start_without_room_is_refused_for_good,
            a_reservation_lapses,
            a_result_is_reported_until_acknowledged,
            a_late_answer_counts_from_its_question,
            an_adopted_attempt_has_no_lease,
            an_adopted_attempt_goes_on_once_confirmed,
            an_urgent_task_gets_room,
            an_eviction_saves_a_checkpoint_if_asked,
            work_that_cannot_resume_is_not_evicted,
            draining_refuses_at_once,
            resting_refuses,
        )
    ],
)
def test_keeper(case: Case) -> None:
    run(case)


def test_a_keeper_settles_again_after_a_pause() -> None:
    loop = VirtualLoop()
    process = Process("agent")

    async def main() -> None:
        desk = Desk()
        await loop.create_task(desk.keeper.start(), context=process.new_context())
        await asyncio.sleep(3.0)
        assert desk.keeper.free() == WHOLE
        process.is_paused = True
        await asyncio.sleep(5.0)
        loop.resume(process)
        assert desk.reserve() == ""
        await asyncio.sleep(3.0)
        assert desk.reserve() != ""
        process.is_dead = True

    loop.run_until_complete(main())
    loop.close()


def test_nothing_is_free_before_the_books_are_whole() -> None:
    async def main() -> None:
        desk = Desk()
        await desk.keeper.start()
        await asyncio.sleep(0.5)
        assert desk.keeper.capacity() == WHOLE
        assert desk.keeper.free() == EMPTY_SHAPE
        assert desk.reserve() == ""
        await desk.keeper.close()

    loop = VirtualLoop()
    loop.run_until_complete(main())
    loop.close()
