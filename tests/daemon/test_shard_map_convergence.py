"""Nominations and releases while agents reconnect and entries see different agents."""

import pytest

from almondspan_daemon.shard_map import (
    DISCONNECT_MEMORY_S,
    MAX_RENOMINATION_DELAY_S,
    NOMINATION_DELAY_S,
    TICK_S,
    ShardMap,
)
from almondspan_decisions.ids import AgentId, Epoch, PlaceName, ShardId, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    NominateOwner,
    ReleaseShard,
)

N_SHARDS = 16


class Region:
    """Agents that accept every nomination, and entries that each see some of them."""

    def __init__(self, views: list[set[str]]) -> None:
        self.views = views
        self.now_s = 100.0
        self.owners: dict[ShardId, AgentId] = {}
        self.epochs: dict[ShardId, int] = {}
        self.n_acquired = 0
        self.nominated: list[tuple[AgentId, ShardId, float]] = []
        self.maps = [ShardMap(N_SHARDS, self.post) for _ in views]

    def post(self, agent_id: AgentId, body: Message) -> bool:
        match body:
            case NominateOwner():
                self.nominated.append((agent_id, body.shard_id, self.now_s))
                if body.shard_id not in self.owners:
                    self.owners[body.shard_id] = agent_id
                    self.epochs[body.shard_id] = self.epochs.get(body.shard_id, 0) + 1
                    self.n_acquired += 1
            case ReleaseShard():
                if self.owners.get(body.shard_id) == agent_id:
                    del self.owners[body.shard_id]
        return True

    def status(self, agent: str) -> AgentStatus:
        owned = tuple(
            (shard, Epoch(self.epochs[shard]))
            for shard, owner in sorted(self.owners.items())
            if owner == agent
        )
        return AgentStatus(1, Shape(), 0, False, 0, owned)

    def step(self) -> None:
        self.now_s += TICK_S
        for shard_map, view in zip(self.maps, self.views, strict=True):
            for agent in sorted(view):
                shard_map.on_status(AgentId(agent), self.status(agent))
            shard_map.tick(self.now_s)

    def run(self, duration_s: float) -> None:
        for _ in range(int(duration_s / TICK_S)):
            self.step()

    def leave(self, agent: str) -> None:
        for shard_map, view in zip(self.maps, self.views, strict=True):
            view.discard(agent)
            shard_map.agent_left(AgentId(agent))


@pytest.mark.parametrize(
    "views",
    [
        pytest.param([{"a0", "a1", "a2"}] * 2, id="alike"),
        pytest.param([{"a0", "a1", "a2"}, {"a1", "a2"}], id="one sees fewer"),
        pytest.param([{"a0", "a1"}, {"a1", "a2"}], id="they overlap"),
        pytest.param([{"a0", "a1"}, {"a2", "a3"}], id="they share none"),
        pytest.param([{"a0"}, {"a0", "a1", "a2", "a3", "a4"}], id="one sees one"),
    ],
)
def test_entries_that_see_different_agents_converge(views: list[set[str]]) -> None:
    region = Region([set(view) for view in views])
    region.run(60.0)
    assert len(region.owners) == N_SHARDS
    region.run(900.0)
    n_acquired = region.n_acquired
    region.run(900.0)
    assert len(region.owners) == N_SHARDS
    assert region.n_acquired - n_acquired <= N_SHARDS


def test_flapping_agent_does_not_delay_nominations_of_others() -> None:
    region = Region([{"a0", "a1"}])
    for n in range(200):
        region.step()
        if n % 2:
            region.leave("a9")
        else:
            region.views[0].add("a9")
    assert len(region.owners) == N_SHARDS
    assert set(region.owners.values()) == {"a0", "a1"}
    assert all(agent != "a9" for agent, _, _ in region.nominated)


def test_agent_is_eligible_again_after_staying_connected() -> None:
    region = Region([{"a0"}])
    for _ in range(6):
        region.views[0].add("a9")
        region.run(NOMINATION_DELAY_S / 2)
        region.leave("a9")
    region.views[0].add("a9")
    region.run(2 * DISCONNECT_MEMORY_S)
    assert "a9" in region.owners.values()


def test_short_disconnections_cause_no_nominations() -> None:
    region = Region([{"a0", "a1"}])
    region.run(60.0)
    region.nominated.clear()
    for _ in range(3):
        region.leave("a0")
        region.run(NOMINATION_DELAY_S / 2)
        region.views[0].add("a0")
        region.run(NOMINATION_DELAY_S / 2)
    assert region.nominated == []


def test_nominations_of_unowned_shard_back_off_to_a_maximum() -> None:
    posted: list[Message] = []

    def post(agent_id: AgentId, body: Message) -> bool:
        posted.append(body)
        return True

    shard_map = ShardMap(1, post)
    shard_map.agent_joined(
        AgentId("a0"), AgentHello(AgentId("a0"), WorkerId(""), PlaceName("p"), Shape())
    )
    shard_map.on_status(AgentId("a0"), AgentStatus(1, Shape(), 0, False, 0))
    for n in range(80_000):
        shard_map.tick(n * TICK_S)
    assert (
        20_000 / MAX_RENOMINATION_DELAY_S
        <= len(posted)
        <= 20_000 / MAX_RENOMINATION_DELAY_S + 8
    )


def test_new_target_does_not_inherit_the_backoff() -> None:
    posted: list[AgentId] = []

    def post(agent_id: AgentId, body: Message) -> bool:
        posted.append(agent_id)
        return True

    shard_map = ShardMap(1, post)
    idle = AgentStatus(1, Shape(), 0, False, 0)
    shard_map.on_status(AgentId("a0"), idle)
    for n in range(400):
        shard_map.tick(n * TICK_S)
    shard_map.on_status(AgentId("a1"), idle)
    shard_map.tick(100.0)
    shard_map.agent_left(AgentId("a0"))
    posted.clear()
    shard_map.tick(100.0 + NOMINATION_DELAY_S)
    assert posted == ["a1"]
