"""Who owns which shard, and whom an entry nominates.

Owners name their shards with epochs in `AgentStatus`; the highest epoch wins. The
entry computes a target owner for each shard from the connected agents alone, by
rendezvous hashing with a bound on the shards of one agent, so entries that see
the same agents nominate the same ones. A nomination is only a hint: ownership is
taken by compare-and-swap on the shard's head.

Phases of a tick:

1. Shards without a known owner are nominated to their target, at most
   `MAX_NOMINATIONS` a tick, each again after `RENOMINATE_S`.
2. When the agents have been the same for `SETTLED_S`, owners above the bound are
   asked to release shards whose target is another agent, `MAX_RELEASES` a tick.
"""

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import AgentId, Epoch, ShardId
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    NominateOwner,
    ReleaseShard,
)

__all__ = ["ShardMap", "assign_targets"]

TICK_S: Final = 0.25
MAX_NOMINATIONS: Final = 32
MAX_RELEASES: Final = 4
RENOMINATE_S: Final = 1.0
SETTLED_S: Final = 10.0
FIRST_NOMINATION_S: Final = 1.0
"""An entry lets agents connect for this long before it nominates."""


def assign_targets(shards: range, agents: list[AgentId]) -> dict[ShardId, AgentId]:
    """Return the target owner of every shard; empty without agents.

    Each agent gets at most the mean number of shards, rounded up, plus one.
    """
    if not agents:
        return {}
    bound = -(-len(shards) // len(agents)) + 1
    n_owned = dict.fromkeys(agents, 0)
    targets = {}
    for shard in shards:
        ranked = max(
            (agent for agent in agents if n_owned[agent] < bound),
            key=lambda agent: (zlib.crc32(f"{shard}|{agent}".encode()), agent),
        )
        targets[ShardId(shard)] = ranked
        n_owned[ranked] += 1
    return targets


@dataclass(slots=True)
class _Owner:
    agent_id: AgentId
    epoch: Epoch


class ShardMap:
    """The entry's view of the shards of its region; an `AgentListener`."""

    def __init__(self, n_shards: int, post: Callable[[AgentId, Message], bool]) -> None:
        self._n_shards = n_shards
        self._post = post
        self._owners: dict[ShardId, _Owner] = {}
        self._statuses: dict[AgentId, AgentStatus] = {}
        self._nominated_s: dict[ShardId, float] = {}
        self._targets: dict[ShardId, AgentId] = {}
        self._eligible: list[AgentId] = []
        self._changed_s = 0.0
        self.n_nominations = 0
        self.n_releases = 0

    def owner_of(self, shard_id: ShardId) -> AgentId | None:
        """Return the connected owner of a shard."""
        owner = self._owners.get(shard_id)
        return None if owner is None else owner.agent_id

    def owners(self) -> dict[ShardId, tuple[AgentId, Epoch]]:
        """Return every known owner with its epoch."""
        return {
            shard_id: (owner.agent_id, owner.epoch)
            for shard_id, owner in self._owners.items()
        }

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Wait for the agent's first status."""

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Take nothing."""
        return False

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Note which shards an agent owns."""
        self._statuses[agent_id] = status
        claimed = dict(status.owned)
        for shard_id, owner in list(self._owners.items()):
            if owner.agent_id == agent_id and shard_id not in claimed:
                del self._owners[shard_id]
        for shard_id, epoch in status.owned:
            known = self._owners.get(shard_id)
            if known is None or epoch >= known.epoch:
                self._owners[shard_id] = _Owner(agent_id, epoch)

    def agent_left(self, agent_id: AgentId) -> None:
        """Forget an agent and its shards."""
        self._statuses.pop(agent_id, None)
        for shard_id, owner in list(self._owners.items()):
            if owner.agent_id == agent_id:
                del self._owners[shard_id]

    async def run(self) -> None:
        """Nominate and rebalance until cancelled."""
        loop = asyncio.get_running_loop()
        self._changed_s = loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            self.tick(loop.time())

    def tick(self, now_s: float) -> None:
        """Nominate and rebalance once."""
        self._update_targets(now_s)
        if now_s - self._changed_s < FIRST_NOMINATION_S:
            return
        self._nominate(now_s)
        if now_s - self._changed_s >= SETTLED_S:
            self._rebalance()

    def _update_targets(self, now_s: float) -> None:
        eligible = sorted(
            agent_id
            for agent_id, status in self._statuses.items()
            if not status.draining
        )
        if eligible == self._eligible:
            return
        self._eligible = eligible
        self._changed_s = now_s
        self._targets = assign_targets(range(self._n_shards), eligible)

    def _nominate(self, now_s: float) -> None:
        n_left = MAX_NOMINATIONS
        for shard_id, target in self._targets.items():
            if n_left == 0:
                return
            since_s = now_s - self._nominated_s.get(shard_id, -RENOMINATE_S)
            if shard_id in self._owners or since_s < RENOMINATE_S:
                continue
            self._nominated_s[shard_id] = now_s
            self._post(target, NominateOwner(shard_id))
            self.n_nominations += 1
            n_left -= 1

    def _rebalance(self) -> None:
        bound = -(-self._n_shards // max(1, len(self._eligible))) + 1
        n_left = MAX_RELEASES
        n_owned: dict[AgentId, int] = {}
        for owner in self._owners.values():
            n_owned[owner.agent_id] = n_owned.get(owner.agent_id, 0) + 1
        for shard_id, owner in self._owners.items():
            is_over = n_owned[owner.agent_id] > bound
            if n_left == 0 or not is_over or self._targets[shard_id] == owner.agent_id:
                continue
            n_owned[owner.agent_id] -= 1
            self._post(owner.agent_id, ReleaseShard(shard_id, owner.epoch))
            self.n_releases += 1
            n_left -= 1
