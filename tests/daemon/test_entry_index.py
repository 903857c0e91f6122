"""Answers of an entry to owners and operators, from the statuses of agents."""

import asyncio
import random

import pytest

from almondspan_admin.fleet_view import ChangeResult, ServiceBurn
from almondspan_daemon.capacity_index import CapacityIndex
from almondspan_daemon.fleet_view import RETENTION_S, EntryFleetView
from almondspan_decisions.ids import (
    AgentId,
    Epoch,
    PlaceName,
    ShardId,
    TaskClass,
    WorkerId,
)
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_standins.virtual_time import run_in_virtual_time
from almondspan_tasks.job_client import OwnerUnavailable
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    CandidatesFound,
    DrainRequest,
    FindCandidates,
)

FULL_CAPACITY = Shape(16_000, 60_000)
HALF_CAPACITY = Shape(8_000, 30_000)
AGENTS = [AgentId(f"a{n}") for n in range(3)]


def hello(agent_id: AgentId, worker: str = "") -> AgentHello:
    worker_id = WorkerId(worker or f"w-{agent_id}")
    return AgentHello(agent_id, worker_id, PlaceName("p1"), FULL_CAPACITY)


def status(free: Shape, draining: bool = False, resting: bool = False) -> AgentStatus:
    return AgentStatus(1, free, 0, draining, 3, resting=resting)


def index_of(*statuses: AgentStatus) -> CapacityIndex:
    index = CapacityIndex(lambda agent_id, body: True, random.Random(1))
    for agent_id, reported in zip(AGENTS, statuses, strict=False):
        index.agent_joined(agent_id, hello(agent_id))
        index.on_status(agent_id, reported)
    return index


def query(shape: Shape, n_wanted: int = 3, avoid: str = "") -> FindCandidates:
    avoided = (WorkerId(avoid),) if avoid else ()
    return FindCandidates(1, shape, TaskClass("align"), n_wanted, avoided)


def found(answer: CandidatesFound) -> set[str]:
    return {agent.agent_id for agent in answer.agents}


@pytest.mark.parametrize(
    ("statuses", "asked", "names", "feasible"),
    [
        pytest.param([], query(HALF_CAPACITY), set(), False, id="no agent"),
        pytest.param(
            [status(FULL_CAPACITY)] * 2,
            query(HALF_CAPACITY),
            {"a0", "a1"},
            True,
            id="free",
        ),
        pytest.param(
            [status(EMPTY_SHAPE), status(FULL_CAPACITY)],
            query(HALF_CAPACITY),
            {"a1"},
            True,
            id="full",
        ),
        pytest.param(
            [status(EMPTY_SHAPE)], query(HALF_CAPACITY), set(), True, id="all full"
        ),
        pytest.param(
            [status(FULL_CAPACITY)],
            query(Shape(16_001, 1)),
            set(),
            False,
            id="too large",
        ),
        pytest.param(
            [status(FULL_CAPACITY, draining=True), status(FULL_CAPACITY)],
            query(HALF_CAPACITY),
            {"a1"},
            True,
            id="draining",
        ),
        pytest.param(
            [status(FULL_CAPACITY, resting=True), status(FULL_CAPACITY)],
            query(HALF_CAPACITY),
            {"a1"},
            True,
            id="resting",
        ),
    ],
)
def test_candidates_have_enough_capacity(
    statuses: list[AgentStatus], asked: FindCandidates, names: set[str], feasible: bool
) -> None:
    answer = index_of(*statuses).find(asked)
    assert found(answer) == names
    assert answer.feasible is feasible
    assert answer.n_workers_known == len(statuses)


def test_simultaneous_queries_get_different_capacity() -> None:
    index = index_of(status(FULL_CAPACITY), status(FULL_CAPACITY))
    best = [index.find(query(HALF_CAPACITY, n_wanted=1)).agents for _ in range(5)]
    counts = [sum(a[0].agent_id == name for a in best if a) for name in AGENTS[:2]]
    assert counts == [2, 2]
    assert best[4] == ()
    index.on_status(AGENTS[0], status(HALF_CAPACITY))
    assert found(index.find(query(HALF_CAPACITY))) == {"a0"}


def test_avoided_worker_ranks_last() -> None:
    index = index_of(
        status(FULL_CAPACITY), status(HALF_CAPACITY), status(HALF_CAPACITY)
    )
    answer = index.find(query(HALF_CAPACITY, avoid="w-a0"))
    assert answer.agents[-1].agent_id == "a0"
    assert found(answer) == {"a0", "a1", "a2"}


def test_disconnected_agent_is_not_a_candidate() -> None:
    index = index_of(status(FULL_CAPACITY), status(FULL_CAPACITY))
    index.agent_left(AGENTS[0])
    answer = index.find(query(HALF_CAPACITY))
    assert found(answer) == {"a1"}
    assert answer.n_workers_known == 1


class Harness:
    """A fleet view of two shards; declarations of loss return ``lost_result``."""

    def __init__(
        self, lost_result: int | OwnerUnavailable = 2, is_delivered: bool = True
    ) -> None:
        self.sent: list[tuple[AgentId, Message]] = []
        self.declared: list[tuple[WorkerId, ...]] = []
        self.lost_result = lost_result
        self.is_delivered = is_delivered
        owners = {ShardId(1): (AGENTS[0], Epoch(4))}
        self.view = EntryFleetView(
            2, lambda: owners, self.post, self.declare, self.burn
        )

    def post(self, agent_id: AgentId, body: Message) -> bool:
        self.sent.append((agent_id, body))
        return self.is_delivered

    async def burn(self) -> tuple[ServiceBurn, ...]:
        return ()

    async def declare(self, workers: tuple[WorkerId, ...]) -> int | OwnerUnavailable:
        self.declared.append(workers)
        return self.lost_result


def test_disconnected_agent_is_listed_until_it_expires_or_is_replaced() -> None:
    async def main() -> None:
        view = Harness().view
        for agent_id in AGENTS[:2]:
            view.agent_joined(agent_id, hello(agent_id))
            view.on_status(agent_id, status(HALF_CAPACITY))
        view.agent_left(AGENTS[0])
        view.agent_left(AGENTS[1])
        await asyncio.sleep(5.0)
        view.agent_joined(AGENTS[2], hello(AGENTS[2], worker="w-a1"))
        shown = {agent.agent_id: agent for agent in view.agents()}
        assert set(shown) == {"a0", "a2"}
        assert shown[AGENTS[0]].silent_s == 5.0
        assert shown[AGENTS[0]].free == HALF_CAPACITY
        assert shown[AGENTS[2]].free == EMPTY_SHAPE
        await asyncio.sleep(RETENTION_S)
        assert {agent.agent_id for agent in view.agents()} == {"a2"}

    run_in_virtual_time(main())


def test_every_shard_is_listed_with_its_owner() -> None:
    shown = [(s.shard_id, s.owner, s.epoch) for s in Harness().view.shards()]
    assert shown == [(0, "", 0), (1, "a0", 4)]


@pytest.mark.parametrize("resume", [False, True])
@pytest.mark.parametrize(
    ("agent_id", "is_delivered", "result"),
    [
        pytest.param("a0", True, ChangeResult.DONE, id="connected"),
        pytest.param("a0", False, ChangeResult.UNAVAILABLE, id="not connected"),
        pytest.param("a9", True, ChangeResult.NOT_FOUND, id="unknown"),
    ],
)
def test_drain(
    agent_id: str, is_delivered: bool, result: ChangeResult, resume: bool
) -> None:
    async def main() -> None:
        harness = Harness(is_delivered=is_delivered)
        harness.view.agent_joined(AGENTS[0], hello(AGENTS[0]))
        assert await harness.view.drain(AgentId(agent_id), resume) is result
        asked = [] if agent_id == "a9" else [(AGENTS[0], DrainRequest(resume))]
        assert harness.sent == asked

    run_in_virtual_time(main())


@pytest.mark.parametrize(
    ("lost_result", "result"),
    [
        pytest.param(0, ChangeResult.DONE, id="nothing ran there"),
        pytest.param(3, ChangeResult.DONE, id="some ran there"),
        pytest.param(
            OwnerUnavailable("a shard"), ChangeResult.UNAVAILABLE, id="no answer"
        ),
    ],
)
def test_declared_loss_is_sent_to_the_owners(
    lost_result: int | OwnerUnavailable, result: ChangeResult
) -> None:
    async def main() -> None:
        harness = Harness(lost_result)
        workers = (WorkerId("w1"), WorkerId("w2"))
        assert await harness.view.declare_lost(workers) is result
        assert harness.declared == [workers]

    run_in_virtual_time(main())
