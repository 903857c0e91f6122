"""Target owners of shards, and the nominations and releases of one entry."""

import pytest

from almondspan_daemon.shard_map import (
    NOMINATION_DELAY_S,
    RENOMINATION_DELAY_S,
    STABLE_S,
    ShardMap,
    assign_targets,
)
from almondspan_decisions.ids import AgentId, Epoch, ShardId
from almondspan_decisions.shapes import Shape
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentStatus, NominateOwner, ReleaseShard

N_SHARDS = 16


class Outbox:
    """Records the messages that the shard map posts."""

    def __init__(self) -> None:
        self.sent: list[tuple[AgentId, Message]] = []

    def post(self, agent_id: AgentId, body: Message) -> bool:
        self.sent.append((agent_id, body))
        return True

    def take_sent(self) -> list[tuple[AgentId, Message]]:
        sent, self.sent = self.sent, []
        return sent


def status(*owned: tuple[int, int], draining: bool = False) -> AgentStatus:
    pairs = tuple((ShardId(shard), Epoch(epoch)) for shard, epoch in owned)
    return AgentStatus(1, Shape(), 0, draining, 0, pairs)


def agent_ids(n_agents: int) -> list[AgentId]:
    return [AgentId(f"a{n}") for n in range(n_agents)]


@pytest.mark.parametrize(
    ("n_shards", "n_agents", "at_most"),
    [
        pytest.param(64, 10, 8, id="ten agents"),
        pytest.param(64, 445, 2, id="a region"),
        pytest.param(64, 1, 65, id="one agent"),
    ],
)
def test_targets_per_agent_are_bounded(
    n_shards: int, n_agents: int, at_most: int
) -> None:
    targets = assign_targets(range(n_shards), agent_ids(n_agents))
    assert len(targets) == n_shards
    assert max(list(targets.values()).count(a) for a in agent_ids(n_agents)) <= at_most


def test_leaving_agent_moves_few_other_shards() -> None:
    before = assign_targets(range(64), agent_ids(10))
    after = assign_targets(range(64), agent_ids(9))
    kept = [shard for shard, agent in before.items() if agent != "a9"]
    n_moved = sum(before[shard] != after[shard] for shard in kept)
    assert n_moved <= 16


def test_there_are_no_targets_without_agents() -> None:
    assert assign_targets(range(4), []) == {}


def map_with_agents(n_agents: int) -> tuple[ShardMap, Outbox]:
    outbox = Outbox()
    shard_map = ShardMap(N_SHARDS, outbox.post)
    for agent in agent_ids(n_agents):
        shard_map.on_status(agent, status())
    shard_map.tick(100.0)
    return shard_map, outbox


def test_entries_nominate_the_same_agents_after_a_delay() -> None:
    first, first_box = map_with_agents(4)
    second, second_box = map_with_agents(4)
    assert not first_box.sent
    first.tick(100.0 + NOMINATION_DELAY_S)
    second.tick(100.0 + NOMINATION_DELAY_S)
    assert len(first_box.sent) == N_SHARDS
    assert first_box.sent == second_box.sent


def test_nomination_is_repeated_until_the_shard_is_owned() -> None:
    shard_map, outbox = map_with_agents(1)
    now_s = 100.0 + NOMINATION_DELAY_S
    shard_map.tick(now_s)
    shard_map.on_status(AgentId("a0"), status(*[(n, 1) for n in range(1, N_SHARDS)]))
    outbox.take_sent()
    shard_map.tick(now_s + RENOMINATION_DELAY_S / 2)
    assert outbox.take_sent() == []
    shard_map.tick(now_s + RENOMINATION_DELAY_S)
    assert outbox.take_sent() == [(AgentId("a0"), NominateOwner(ShardId(0)))]


@pytest.mark.parametrize(
    ("statuses", "owner"),
    [
        pytest.param([("a0", (3, 1)), ("a1", (3, 2))], "a1", id="higher epoch"),
        pytest.param([("a1", (3, 2)), ("a0", (3, 1))], "a1", id="late lower epoch"),
        pytest.param([("a0", (3, 1)), ("a0", None)], None, id="given up"),
        pytest.param([("a0", (3, 1)), ("a1", None)], "a0", id="another's status"),
    ],
)
def test_highest_epoch_wins(
    statuses: list[tuple[str, tuple[int, int] | None]], owner: str | None
) -> None:
    shard_map, _ = map_with_agents(2)
    for agent, owned in statuses:
        shard_map.on_status(AgentId(agent), status(*([owned] if owned else [])))
    assert shard_map.owner_of(ShardId(3)) == owner


def test_lost_owner_is_replaced_by_another_agent() -> None:
    shard_map, outbox = map_with_agents(2)
    shard_map.on_status(AgentId("a0"), status(*[(n, 1) for n in range(N_SHARDS)]))
    shard_map.agent_left(AgentId("a0"))
    shard_map.tick(200.0)
    shard_map.tick(200.0 + NOMINATION_DELAY_S)
    assert {agent for agent, _ in outbox.take_sent()} == {AgentId("a1")}


def test_draining_agent_is_not_nominated() -> None:
    shard_map, outbox = map_with_agents(2)
    shard_map.on_status(AgentId("a0"), status(draining=True))
    shard_map.tick(200.0)
    shard_map.tick(200.0 + NOMINATION_DELAY_S)
    assert {agent for agent, _ in outbox.take_sent()} == {AgentId("a1")}


def test_overloaded_owner_is_asked_to_release_once_stable() -> None:
    shard_map, outbox = map_with_agents(4)
    shard_map.on_status(AgentId("a0"), status(*[(n, 1) for n in range(N_SHARDS)]))
    shard_map.tick(100.0 + STABLE_S / 2)
    assert outbox.take_sent() == []
    shard_map.tick(100.0 + STABLE_S)
    sent = outbox.take_sent()
    assert sent
    assert all(agent == "a0" and isinstance(body, ReleaseShard) for agent, body in sent)


def test_balanced_fleet_is_not_rebalanced() -> None:
    shard_map, outbox = map_with_agents(4)
    targets = assign_targets(range(N_SHARDS), agent_ids(4))
    for agent in agent_ids(4):
        owned = [(int(s), 1) for s, target in targets.items() if target == agent]
        shard_map.on_status(agent, status(*owned))
    shard_map.tick(100.0 + 2 * STABLE_S)
    assert outbox.take_sent() == []
