"""An attempt agent's answers to single messages, with an in-memory worker."""

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
from almondspan_platform.worker import AttemptState, WorkerAttempt
from almondspan_standins.memory_worker import MemoryWorker
from almondspan_standins.worker_core import WorkerCore, task_payload
from almondspan_tasks.attempt_agent import AttemptAgent
from almondspan_tasks.options import AttemptAgentOptions
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

AGENT = AgentId("agent-1")
SHARD = ShardId(3)
TASK = TaskId("job/0")
FULL = Shape(4_000, 4_000, 0)
HALF = Shape(2_000, 2_000, 0)
OPTIONS = AttemptAgentOptions(horizon_s=20.0, call_bound_s=1.0)


class Harness:
    """An attempt agent with its worker, which records the messages that are sent."""

    def __init__(self) -> None:
        now = asyncio.get_running_loop().time
        self.core = WorkerCore(WorkerId("w"), FULL, now)
        self.sent: list[Message] = []
        self.attempt_agent = AttemptAgent(
            AGENT, MemoryWorker(self.core), self, OPTIONS, random.Random(1)
        )

    def send(self, to: str, body: Message) -> None:
        self.sent.append(body)

    def last(self, kind: type) -> Message | None:  # type: ignore[type-arg]
        found = [body for body in self.sent if isinstance(body, kind)]
        return found[-1] if found else None

    def reserve(self, attempt: int = 1, epoch: int = 5, shape: Shape = HALF) -> str:
        body = ReserveCapacity(SHARD, Epoch(epoch), TASK, attempt, shape, 5.0)
        self.attempt_agent.on_routed_message("owner", body)
        reply = self.last(ReserveReply)
        assert isinstance(reply, ReserveReply)
        return reply.reservation

    def start(
        self,
        reservation: str,
        attempt: int = 1,
        epoch: int = 5,
        agent: AgentId = AGENT,
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
        self.attempt_agent.on_routed_message("owner", body)

    def confirm(self, assigned: bool = True) -> None:
        asked = self.last(RenewAttempts)
        assert isinstance(asked, RenewAttempts)
        refs = (AttemptRef(TASK, 1),)
        lists = (refs, ()) if assigned else ((), refs)
        reply = RenewReply(SHARD, Epoch(5), asked.renewal_id, *lists)
        self.attempt_agent.on_routed_message("owner", reply)


Case = Callable[[Harness], Awaitable[None]]


def run(case: Case) -> None:
    async def main() -> None:
        harness = Harness()
        await harness.attempt_agent.start()
        await asyncio.sleep(3.0)
        await case(harness)
        await harness.attempt_agent.close()

    loop = VirtualLoop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    assert loop.errors == []


async def a_reservation_starts_its_attempt_once(harness: Harness) -> None:
    reservation = harness.reserve()
    harness.start(reservation)
    harness.start(reservation)
    await asyncio.sleep(0.5)
    assert harness.core.n_started == 1
    assert harness.last(AttemptStarted) is not None


async def a_lower_epoch_is_refused(harness: Harness) -> None:
    harness.reserve(epoch=5)
    n_sent = len(harness.sent)
    assert harness.attempt_agent.counters.n_reserved == 1
    body = ReserveCapacity(SHARD, Epoch(4), TaskId("other/0"), 1, HALF, 5.0)
    harness.attempt_agent.on_routed_message("owner", body)
    assert len(harness.sent) == n_sent
    assert harness.attempt_agent.counters.n_stale_epochs == 1


async def another_reservation_needs_confirmation(harness: Harness) -> None:
    harness.reserve()
    harness.start("of an earlier reservation")
    await asyncio.sleep(0.5)
    assert harness.core.n_started == 0
    harness.confirm()
    await asyncio.sleep(0.5)
    assert harness.core.n_started == 1


async def an_unassigned_start_is_dropped(harness: Harness) -> None:
    harness.start("")
    harness.confirm(assigned=False)
    await asyncio.sleep(0.5)
    assert harness.core.n_started == 0
    assert harness.attempt_agent.n_tasks() == 0
    assert harness.last(AttemptReport) is None


async def another_agents_start_is_ignored(harness: Harness) -> None:
    harness.start("", agent=AgentId("agent-0"))
    await asyncio.sleep(0.5)
    assert harness.last(RenewAttempts) is None
    assert harness.last(AttemptReport) is None


async def a_start_without_free_capacity_is_refused_permanently(
    harness: Harness,
) -> None:
    harness.start("", shape=Shape(5_000, 1, 0))
    assert harness.last(AttemptReport) is None
    harness.confirm()
    report = harness.last(AttemptReport)
    assert isinstance(report, AttemptReport)
    assert report.outcome.kind is OutcomeKind.NOT_RUN
    harness.start("", shape=HALF)
    harness.confirm()
    await asyncio.sleep(0.5)
    assert harness.core.n_started == 0


async def a_reservation_expires(harness: Harness) -> None:
    reservation = harness.reserve(shape=FULL)
    assert harness.attempt_agent.free() == EMPTY_SHAPE
    await asyncio.sleep(6.0)
    assert harness.attempt_agent.free() == FULL
    harness.start(reservation, shape=FULL)
    await asyncio.sleep(0.2)
    assert harness.core.n_started == 0


async def a_result_is_reported_until_acknowledged(harness: Harness) -> None:
    harness.start(harness.reserve())
    await asyncio.sleep(8.0)
    reports = [one for one in harness.sent if isinstance(one, AttemptReport)]
    assert len(reports) > 1
    assert reports[0].outcome.kind is OutcomeKind.DONE
    assert len(harness.core.list_attempts()) == 1
    harness.attempt_agent.on_routed_message(
        "owner", ReportAck(SHARD, Epoch(5), TASK, 1)
    )
    await asyncio.sleep(0.5)
    assert harness.core.list_attempts() == ()


async def a_late_answer_counts_from_the_send_time(harness: Harness) -> None:
    harness.start(harness.reserve(), run_s=100.0)
    await asyncio.sleep(6.0)
    asked = harness.last(RenewAttempts)
    assert isinstance(asked, RenewAttempts)
    await asyncio.sleep(12.0)
    refs = (AttemptRef(TASK, 1),)
    reply = RenewReply(SHARD, Epoch(5), asked.renewal_id, refs, ())
    harness.attempt_agent.on_routed_message("owner", reply)
    await asyncio.sleep(11.0)
    assert harness.core.running() == []


async def an_adopted_attempt_has_no_lease(harness: Harness) -> None:
    harness.start(harness.reserve(), run_s=100.0)
    await asyncio.sleep(1.0)
    await harness.attempt_agent.close()
    successor = AttemptAgent(
        AgentId("heir"), MemoryWorker(harness.core), harness, OPTIONS, random.Random(2)
    )
    await successor.start()
    await asyncio.sleep(8.0)
    assert successor.counters.n_adopted == 1
    assert harness.core.running() == []
    await successor.close()


async def an_adopted_attempt_continues_once_confirmed(harness: Harness) -> None:
    harness.start(harness.reserve(), run_s=100.0)
    await asyncio.sleep(1.0)
    await harness.attempt_agent.close()
    successor = AttemptAgent(
        AgentId("heir"), MemoryWorker(harness.core), harness, OPTIONS, random.Random(2)
    )
    harness.attempt_agent = successor
    await successor.start()
    await asyncio.sleep(1.5)
    harness.confirm()
    await asyncio.sleep(8.0)
    assert harness.core.running_keys() == [(TASK, 1)]


async def an_urgent_task_preempts_another(harness: Harness) -> None:
    body = ReserveCapacity(SHARD, Epoch(5), TaskId("batch/0"), 1, FULL, 5.0)
    harness.attempt_agent.on_routed_message("owner", body)
    reply = harness.last(ReserveReply)
    assert isinstance(reply, ReserveReply)
    start = StartTask(
        shard_id=SHARD,
        epoch=Epoch(5),
        task_id=TaskId("batch/0"),
        attempt=1,
        agent_id=AGENT,
        reservation=reply.reservation,
        task_class=TaskClass("cut"),
        shape=FULL,
        payload=task_payload(100.0, "effect", "record"),
        checkpoint=b"",
        idempotent=False,
        checkpointable=True,
    )
    harness.attempt_agent.on_routed_message("owner", start)
    await asyncio.sleep(2.0)
    urgent = ReserveCapacity(SHARD, Epoch(5), TASK, 1, HALF, 5.0, urgent=True)
    harness.attempt_agent.on_routed_message("owner", urgent)
    reply = harness.last(ReserveReply)
    assert isinstance(reply, ReserveReply) and reply.preempting
    await asyncio.sleep(1.5)
    reply = harness.last(ReserveReply)
    assert isinstance(reply, ReserveReply) and reply.granted
    report = harness.last(AttemptReport)
    assert isinstance(report, AttemptReport) and report.evicted
    assert report.checkpoint


async def an_eviction_saves_a_checkpoint_if_asked(harness: Harness) -> None:
    for attempt, checkpoint in ((1, True), (2, False)):
        reservation = harness.reserve(attempt=attempt)
        harness.start(reservation, attempt=attempt, run_s=100.0, idempotent=True)
        await asyncio.sleep(1.0)
        assert harness.attempt_agent.evict(TASK, checkpoint)
        await asyncio.sleep(2.0)
        report = harness.last(AttemptReport)
        assert isinstance(report, AttemptReport)
        assert (report.attempt, bool(report.checkpoint)) == (attempt, checkpoint)
        harness.attempt_agent.on_routed_message(
            "owner", ReportAck(SHARD, Epoch(5), TASK, attempt)
        )


async def work_that_cannot_resume_is_not_evicted(harness: Harness) -> None:
    harness.start(harness.reserve(), run_s=100.0)
    await asyncio.sleep(1.0)
    assert not harness.attempt_agent.evict(TASK, True)
    assert not harness.attempt_agent.evict(TASK, False)
    assert harness.core.running_keys() == [(TASK, 1)]


async def draining_refuses_at_once(harness: Harness) -> None:
    await harness.attempt_agent.drain()
    assert harness.reserve() == ""


async def resting_refuses(harness: Harness) -> None:
    harness.attempt_agent.set_resting(True)
    assert harness.reserve() == ""
    harness.attempt_agent.set_resting(False)
    assert harness.reserve() != ""


async def an_end_without_an_outcome_is_unknown(harness: Harness) -> None:
    """Guards against the end of the process, as of a broken invariant."""
    worker = harness.attempt_agent._state.worker
    listed = WorkerAttempt(
        TASK,
        1,
        AttemptState.ENDED,
        TaskClass("cut"),
        HALF,
        SHARD,
        epoch=5,
        idempotent=False,
        ran_s=1.0,
    )

    async def list_attempts() -> tuple[WorkerAttempt, ...]:
        return (listed,)

    worker.list_attempts = list_attempts  # type: ignore[method-assign]
    await asyncio.sleep(3.0)
    report = harness.last(AttemptReport)
    assert isinstance(report, AttemptReport)
    assert report.outcome.kind is OutcomeKind.UNKNOWN


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(case, id=case.__name__)
        for case in (
            a_reservation_starts_its_attempt_once,
            a_lower_epoch_is_refused,
            another_reservation_needs_confirmation,
            an_unassigned_start_is_dropped,
            another_agents_start_is_ignored,
            a_start_without_free_capacity_is_refused_permanently,
            a_reservation_expires,
            a_result_is_reported_until_acknowledged,
            a_late_answer_counts_from_the_send_time,
            an_adopted_attempt_has_no_lease,
            an_adopted_attempt_continues_once_confirmed,
            an_urgent_task_preempts_another,
            an_eviction_saves_a_checkpoint_if_asked,
            work_that_cannot_resume_is_not_evicted,
            draining_refuses_at_once,
            resting_refuses,
            an_end_without_an_outcome_is_unknown,
        )
    ],
)
def test_attempt_agent(case: Case) -> None:
    run(case)


def test_an_agent_rebuilds_after_a_pause() -> None:
    loop = VirtualLoop()
    process = Process("agent")

    async def main() -> None:
        harness = Harness()
        await loop.create_task(
            harness.attempt_agent.start(), context=process.new_context()
        )
        await asyncio.sleep(3.0)
        assert harness.attempt_agent.free() == FULL
        process.is_paused = True
        await asyncio.sleep(5.0)
        loop.resume(process)
        assert harness.reserve() == ""
        await asyncio.sleep(3.0)
        assert harness.reserve() != ""
        process.is_dead = True

    loop.run_until_complete(main())
    loop.close()


def test_nothing_is_free_before_the_rebuild() -> None:
    async def main() -> None:
        harness = Harness()
        await harness.attempt_agent.start()
        await asyncio.sleep(0.5)
        assert harness.attempt_agent.capacity() == FULL
        assert harness.attempt_agent.free() == EMPTY_SHAPE
        assert harness.reserve() == ""
        await harness.attempt_agent.close()

    loop = VirtualLoop()
    loop.run_until_complete(main())
    loop.close()
