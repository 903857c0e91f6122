"""A shard's owner with an in-memory store: commits, takeovers, jobs and claims."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from virtual_loop import VirtualLoop

from almondspan_decisions.fleet import FleetConfig, OrderConfig, TeamConfig
from almondspan_decisions.ids import (
    AgentId,
    JobId,
    OrderName,
    PlaceName,
    RegionName,
    RequestId,
    ShardId,
    TaskClass,
    TeamName,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec
from almondspan_platform.store import ABSENT_REVISION, Found
from almondspan_standins.faults import StoreFaults
from almondspan_standins.memory_store import MemoryStore
from almondspan_standins.store_core import CallKind, StoreCore
from almondspan_tasks.head import ChunkKind, ChunkRef
from almondspan_tasks.host import ShardHost
from almondspan_tasks.job_client import ClaimState, SubmitState
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.team_usage import TeamUsage
from almondspan_wire.codec import Message
from almondspan_wire.membership import CandidatesFound, FindCandidates, FoundAgent
from almondspan_wire.task_messages import (
    AttemptRef,
    AttemptReport,
    CancelJobs,
    ClaimAnswer,
    ClaimRequest,
    DeclareLost,
    JobAnswer,
    LossAnswer,
    OrderAnswer,
    OrderQuery,
    RenewAttempts,
    RenewReply,
    ReserveCapacity,
    ReserveReply,
    SettleClaim,
    StartTask,
    StatusQuery,
    SubmitAnswer,
    SubmitJobs,
)

SHARD = ShardId(0)
TEAM = TeamName("team")
AGENT = AgentId("agent")
WORKER = WorkerId("worker")
SHAPE = Shape(1_000, 1_000, 0)
OPTIONS = OwnerOptions(
    horizon_s=20.0,
    drift_margin_s=3.0,
    max_jobs=3,
    max_claims=2,
    answer_kept_s=100.0,
    claim_kept_s=200.0,
    page_jobs=2,
)
WORKER_LEASE_S = 7.0


class Harness:
    """A shard host with its store, and an agent that grants every reservation."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.core = StoreCore(self.loop.time)
        self.sent: list[Message] = []
        self.feasible = True
        self.hosts: dict[str, ShardHost] = {}
        self.host = self.new_host("owner-1")

    def new_host(self, name: str) -> ShardHost:
        host = ShardHost(
            AgentId(name),
            MemoryStore(self.core),
            RecordingSender(self, name),
            self.find,
            OPTIONS,
            random.Random(name),
            1,
            RegionName("viti"),
            self.loop.time,
        )
        self.hosts[name] = host
        return host

    async def find(self, query: FindCandidates) -> CandidatesFound | None:
        found = FoundAgent(AGENT, WORKER, PlaceName("p"), SHAPE)
        agents = (found,) if self.feasible else ()
        return CandidatesFound(query.query_id, agents, self.feasible, 5)

    async def take_ownership(self, host: ShardHost) -> float:
        """Nominate a host and return the seconds until it owns the shard."""
        began_s = self.loop.time()
        host.nominate(SHARD)
        while not host.owned():
            await asyncio.sleep(0.05)
            assert self.loop.time() - began_s < 30.0
        return self.loop.time() - began_s

    def last(self, kind: type) -> Message | None:  # type: ignore[type-arg]
        found = [body for body in self.sent if isinstance(body, kind)]
        return found[-1] if found else None

    async def submit(self, *specs: JobSpec) -> list[SubmitState]:
        self.host.on_routed_message("entry", SubmitJobs(SHARD, "q", specs))
        await asyncio.sleep(1.0)
        answer = self.last(SubmitAnswer)
        assert isinstance(answer, SubmitAnswer)
        return [SubmitState(verdict.state) for verdict in answer.verdicts]

    async def view(self, job_id: str) -> JobAnswer:
        self.host.on_routed_message(
            "entry", StatusQuery(SHARD, "q", TEAM, (JobId(job_id),))
        )
        await asyncio.sleep(1.0)
        answer = self.last(JobAnswer)
        assert isinstance(answer, JobAnswer)
        return answer


class RecordingSender:
    """Records the messages that a host sends, and grants its reservations."""

    def __init__(self, harness: Harness, name: str) -> None:
        self._harness = harness
        self._name = name

    def send(self, to: str, body: Message) -> None:
        self._harness.sent.append(body)
        if isinstance(body, ReserveCapacity):
            reply = ReserveReply(
                SHARD, body.task_id, body.attempt, True, WORKER, "r", WORKER_LEASE_S
            )
            host = self._harness.hosts[self._name]
            self._harness.loop.call_soon(host.on_routed_message, to, reply)


def job(name: str, idempotent: bool = True, **more: object) -> JobSpec:
    stage = StageSpec(TaskClass("cut"), SHAPE, 1.0, b"{}", idempotent=idempotent)
    return JobSpec(JobId(name), TEAM, (stage,), **more)  # type: ignore[arg-type]


def report(harness: Harness, outcome: Outcome, evicted: bool = False) -> AttemptReport:
    start = harness.last(StartTask)
    assert isinstance(start, StartTask)
    return AttemptReport(
        SHARD, start.task_id, start.attempt, WORKER, outcome, evicted, b"", 1.0
    )


async def renewals_wait_for_a_new_commit(harness: Harness) -> None:
    await harness.submit(job("a"))
    harness.core.faults = StoreFaults(outage=True)
    await asyncio.sleep(3.0)
    start = harness.last(StartTask)
    assert isinstance(start, StartTask)
    ref = AttemptRef(start.task_id, start.attempt)
    harness.host.on_routed_message(AGENT, RenewAttempts(SHARD, 1, WORKER, (ref,)))
    await asyncio.sleep(5.0)
    assert harness.last(RenewReply) is None
    harness.core.faults = StoreFaults()
    await asyncio.sleep(6.0)
    reply = harness.last(RenewReply)
    assert isinstance(reply, RenewReply)
    assert reply.assigned == (ref,)


async def lost_attempts_are_closed_after_the_full_wait(harness: Harness) -> None:
    await harness.submit(job("a"))
    begun = harness.loop.time()
    owner = harness.host.owner(SHARD)
    assert owner is not None
    while owner.shard_jobs.counters.n_lost == 0:
        await asyncio.sleep(0.1)
        assert harness.loop.time() - begun < 60.0
    waited_s = harness.loop.time() - begun
    assert waited_s > OPTIONS.horizon_s + OPTIONS.drift_margin_s + WORKER_LEASE_S - 1.5


async def a_lost_attempt_that_may_have_run_is_unknown(harness: Harness) -> None:
    await harness.submit(job("a", idempotent=False))
    await asyncio.sleep(40.0)
    outcome = (await harness.view("a")).jobs[0].outcome
    assert outcome is not None
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert outcome.reason


async def attempts_on_a_lost_worker_are_closed_at_once(harness: Harness) -> None:
    await harness.submit(job("a"), job("b", idempotent=False))
    harness.host.on_routed_message(
        "entry", DeclareLost(SHARD, "q", (WorkerId("other"),))
    )
    await asyncio.sleep(1.0)
    assert harness.last(LossAnswer) == LossAnswer("q", 0)
    harness.host.on_routed_message("entry", DeclareLost(SHARD, "q", (WORKER,)))
    await asyncio.sleep(1.0)
    assert harness.last(LossAnswer) == LossAnswer("q", 2)
    assert (await harness.view("a")).jobs[0].outcome is None
    outcome = (await harness.view("b")).jobs[0].outcome
    assert outcome is not None
    assert outcome.kind is OutcomeKind.UNKNOWN


async def submissions_are_idempotent(harness: Harness) -> None:
    other = job("a", urgent=True)
    assert await harness.submit(job("a")) == [SubmitState.ACCEPTED]
    assert await harness.submit(job("a")) == [SubmitState.ALREADY_KNOWN]
    assert await harness.submit(other) == [SubmitState.CONFLICT]
    states = await harness.submit(job("b"), job("c"), job("d"))
    assert states[-1] is SubmitState.REFUSED
    assert await harness.submit(JobSpec(JobId("e"), TEAM, ())) == [SubmitState.REFUSED]


async def an_ended_job_is_still_known(harness: Harness) -> None:
    await harness.submit(job("a"))
    harness.host.on_routed_message(
        AGENT, report(harness, Outcome(OutcomeKind.DONE, "", b"whole"))
    )
    await asyncio.sleep(1.0)
    assert await harness.submit(job("a")) == [SubmitState.ALREADY_KNOWN]
    assert await harness.submit(job("a", urgent=True)) == [SubmitState.CONFLICT]


async def ended_jobs_are_kept_and_then_deleted(harness: Harness) -> None:
    await harness.submit(job("a"))
    harness.host.on_routed_message(
        AGENT, report(harness, Outcome(OutcomeKind.DONE, "", b"whole"))
    )
    await asyncio.sleep(60.0)
    view = (await harness.view("a")).jobs[0]
    assert view.outcome == Outcome(OutcomeKind.DONE, "", b"whole")
    await asyncio.sleep(60.0)
    assert (await harness.view("a")).jobs[0].state == "absent"


async def records_are_known_while_their_order_is_configured(harness: Harness) -> None:
    order = OrderConfig(OrderName("return"), TEAM, 1e9, (TaskClass("cut"),))
    record = job("return/a", order_name=OrderName("return"), record_name="a")
    harness.host.set_fleet(FleetConfig(revision=1, orders=(order,)))
    await harness.submit(record)
    harness.host.on_routed_message(
        AGENT, report(harness, Outcome(OutcomeKind.DONE, "", b"whole"))
    )
    await asyncio.sleep(3 * OPTIONS.answer_kept_s)
    assert await harness.submit(record) == [SubmitState.ALREADY_KNOWN]
    successor = harness.new_host("owner-2")
    await harness.host.drain()
    await harness.take_ownership(successor)
    harness.host = successor
    await asyncio.sleep(3 * OPTIONS.answer_kept_s)
    assert await harness.submit(record) == [SubmitState.ALREADY_KNOWN]
    successor.set_fleet(FleetConfig(revision=2))
    await asyncio.sleep(OPTIONS.answer_kept_s)
    assert (await harness.view("return/a")).jobs[0].state == "absent"


async def cancelled_jobs_say_whether_they_may_have_run(harness: Harness) -> None:
    harness.feasible = False
    await harness.submit(job("a"))
    harness.feasible = True
    await harness.submit(job("b"))
    ids = (JobId("a"), JobId("b"))
    harness.feasible = False
    n_commits = _commits(harness)
    harness.host.on_routed_message("entry", CancelJobs(SHARD, "q", TEAM, ids))
    await asyncio.sleep(0.4)
    assert _commits(harness) - n_commits <= 1
    answer = harness.last(JobAnswer)
    assert isinstance(answer, JobAnswer)
    outcomes = [view.outcome for view in answer.jobs if view.outcome is not None]
    assert [one.kind for one in outcomes] == [OutcomeKind.CANCELLED] * 2
    assert outcomes[1].may_have_run


def _commits(harness: Harness) -> int:
    owner = harness.host.owner(SHARD)
    assert owner is not None
    return owner.log.counters.n_commits


async def jobs_that_fit_nowhere_are_infeasible(harness: Harness) -> None:
    harness.feasible = False
    await harness.submit(job("a"))
    await asyncio.sleep(40.0)
    outcome = (await harness.view("a")).jobs[0].outcome
    assert outcome is not None
    assert outcome.kind is OutcomeKind.INFEASIBLE


async def failing_jobs_use_up_their_attempts(harness: Harness) -> None:
    await harness.submit(job("a", max_attempts=2))
    failed = Outcome(OutcomeKind.FAILED, "boom")
    for _ in range(2):
        harness.host.on_routed_message(AGENT, report(harness, failed))
        await asyncio.sleep(10.0)
    view = (await harness.view("a")).jobs[0]
    assert view.outcome == failed
    assert view.n_attempts == 2


async def orders_are_paged(harness: Harness) -> None:
    specs = [
        job(name, order_name=OrderName("o"), record_name=name) for name in ("a", "b")
    ]
    await harness.submit(*specs, job("c", order_name=OrderName("o")))
    query = OrderQuery(SHARD, "q", TEAM, OrderName("o"))
    harness.host.on_routed_message("entry", query)
    await asyncio.sleep(1.0)
    page = harness.last(OrderAnswer)
    assert isinstance(page, OrderAnswer)
    assert [view.job_id for view in page.jobs] == ["a", "b"]
    assert page.more


async def claims_are_granted_once(harness: Harness) -> None:
    async def claim(request: str, nonce: str) -> ClaimAnswer:
        harness.host.on_routed_message(
            "entry", ClaimRequest(SHARD, "q", RequestId(request), nonce)
        )
        await asyncio.sleep(1.0)
        answer = harness.last(ClaimAnswer)
        assert isinstance(answer, ClaimAnswer)
        return answer

    assert (await claim("r", "1")).state == ClaimState.GRANTED.value
    assert (await claim("r", "1")).state == ClaimState.GRANTED.value
    assert (await claim("r", "2")).state == ClaimState.TAKEN.value
    done = Outcome(OutcomeKind.DONE, "", b"x")
    harness.host.on_routed_message(
        "entry", SettleClaim(SHARD, "q", RequestId("r"), done)
    )
    assert (await claim("r", "2")).outcome == done
    assert (await claim("s", "1")).state == ClaimState.GRANTED.value
    assert (await claim("t", "1")).state == ClaimState.UNAVAILABLE.value
    await asyncio.sleep(250.0)
    assert (await claim("t", "1")).state == ClaimState.GRANTED.value


async def a_teams_usage_counts_over_all_shards(harness: Harness) -> None:
    await harness.host.start()
    harness.host.set_fleet(FleetConfig(teams=(TeamConfig(TEAM, 0.5, ""),)))
    await harness.submit(job("a"))
    await asyncio.sleep(10.0)
    other = TeamUsage(
        RegionName("viti"), MemoryStore(harness.core), 1.0, random.Random(1), dict
    )
    other.is_enabled = True
    assert other.in_other_shards(ShardId(1)) == {}
    item = harness.core.get("usage/viti/0")
    assert item is not None
    n_writes = harness.core.n_calls[CallKind.WRITE]
    await other._read_all()
    assert other.in_other_shards(ShardId(1)) == {TEAM: SHAPE}
    assert other.in_other_shards(SHARD) == {}
    assert harness.core.n_calls[CallKind.WRITE] == n_writes
    harness.host.on_routed_message(AGENT, report(harness, Outcome(OutcomeKind.DONE)))
    await asyncio.sleep(10.0)
    await other._read_all()
    assert other.in_other_shards(ShardId(1)) == {}


async def odd_usage_among_others_hides_none(harness: Harness) -> None:
    await harness.host.start()
    harness.host.set_fleet(FleetConfig(teams=(TeamConfig(TEAM, 0.5, ""),)))
    await harness.submit(job("a"))
    odd = {
        "usage/viti/odd": b"\x80",
        "usage/viti/" + "9" * 5_000: b"\x80",
        "usage/viti/8": b"\xc1",
        "usage/viti/9": b"\x81\xa1t\x81\xa4more" + b"\x91" * 5_000 + b"\x01",
    }
    for key, value in odd.items():
        harness.core.compare_and_swap(key, ABSENT_REVISION, value, None)
    await asyncio.sleep(10.0)
    other = TeamUsage(
        RegionName("viti"), MemoryStore(harness.core), 1.0, random.Random(1), dict
    )
    await other._read_all()
    assert other.in_other_shards(ShardId(1)) == {TEAM: SHAPE}


async def odd_chunk_among_others_ends_no_owner(harness: Harness) -> None:
    await harness.submit(job("a"))
    for name in ("odd", "9" * 5_000):
        key = f"chunks/viti/0/{name}-1"
        harness.core.compare_and_swap(key, ABSENT_REVISION, b"x", None)
    owner = harness.host.owner(SHARD)
    assert owner is not None
    owner.log._next_gc_s = 0.0
    await owner.log._collect_garbage_if_due()
    assert harness.core.get("chunks/viti/0/odd-1") is not None


async def odd_chunk_of_the_state_ends_no_process(harness: Harness) -> None:
    """Guards against an `AssertionError`, which ends the process."""
    key = "chunks/viti/0/00000001-000001"
    harness.core.compare_and_swap(key, ABSENT_REVISION, b"odd", None)
    owner = harness.host.owner(SHARD)
    assert owner is not None
    whole, damaged = (ChunkRef(key, ChunkKind.DELTAS, n_bytes) for n_bytes in (3, 9))
    assert await owner.log._read_chunk(whole) == b"odd"
    assert await owner.log._read_chunk(damaged) is None


async def a_silent_owner_is_replaced_within_seconds(harness: Harness) -> None:
    await harness.submit(job("a"))
    await harness.host.close()
    successor = harness.new_host("owner-2")
    assert await harness.take_ownership(successor) < 8.0
    owner = successor.owner(SHARD)
    assert owner is not None
    assert owner.log.epoch == 2
    assert list(owner.shard_jobs.jobs) == ["a"]


async def a_live_owner_is_not_replaced(harness: Harness) -> None:
    successor = harness.new_host("owner-2")
    successor.nominate(SHARD)
    await asyncio.sleep(20.0)
    assert successor.owned() == ()
    assert harness.host.owned() != ()


async def a_release_is_followed_by_a_takeover_within_a_second(harness: Harness) -> None:
    await harness.submit(job("a"))
    successor = harness.new_host("owner-2")
    began_s = harness.loop.time()
    await harness.host.drain()
    await harness.take_ownership(successor)
    assert harness.loop.time() - began_s < 1.0


async def unreferenced_chunks_are_deleted(harness: Harness) -> None:
    payload = StageSpec(TaskClass("cut"), SHAPE, 1.0, b"x" * 20_000)
    for number in range(40):
        spec = JobSpec(JobId(f"j{number}"), TEAM, (payload,))
        await harness.submit(spec)
        ids = (spec.job_id,)
        harness.host.on_routed_message("entry", CancelJobs(SHARD, "q", TEAM, ids))
        await asyncio.sleep(120.0)
    store = MemoryStore(harness.core)
    owner = harness.host.owner(SHARD)
    assert owner is not None
    assert owner.log.counters.n_snapshots > 0
    found = harness.core.get_range("chunks/").items
    assert len(found) == len(owner.log.head.chunks)
    for ref in owner.log.head.chunks:
        answer = await store.get(ref.key)
        assert isinstance(answer, Found) and answer.item is not None


Case = Callable[[Harness], Awaitable[None]]


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(case, id=case.__name__)
        for case in (
            renewals_wait_for_a_new_commit,
            lost_attempts_are_closed_after_the_full_wait,
            a_lost_attempt_that_may_have_run_is_unknown,
            attempts_on_a_lost_worker_are_closed_at_once,
            submissions_are_idempotent,
            an_ended_job_is_still_known,
            ended_jobs_are_kept_and_then_deleted,
            records_are_known_while_their_order_is_configured,
            cancelled_jobs_say_whether_they_may_have_run,
            jobs_that_fit_nowhere_are_infeasible,
            failing_jobs_use_up_their_attempts,
            orders_are_paged,
            claims_are_granted_once,
            a_teams_usage_counts_over_all_shards,
            odd_usage_among_others_hides_none,
            odd_chunk_among_others_ends_no_owner,
            odd_chunk_of_the_state_ends_no_process,
            a_silent_owner_is_replaced_within_seconds,
            a_live_owner_is_not_replaced,
            a_release_is_followed_by_a_takeover_within_a_second,
            unreferenced_chunks_are_deleted,
        )
    ],
)
def test_owner(case: Case) -> None:
    async def main() -> None:
        harness = Harness()
        await harness.take_ownership(harness.host)
        await case(harness)
        for host in harness.hosts.values():
            await host.close()

    loop = VirtualLoop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    assert loop.errors == []
