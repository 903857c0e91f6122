"""The owners of shards, and the nomination of new owners by an entry.

Agents report the shards that they own, with epochs, in `AgentStatus`; the highest
epoch of a shard wins. The entry computes a target owner for each shard from the
connected agents alone, by rendezvous hashing with a bound on the shards of each agent,
so that entries with the same agents nominate the same ones. A nomination is only a
hint: an agent takes ownership by compare-and-swap on the shard's head in the store.

An agent becomes eligible after being connected for `NOMINATION_DELAY_S`. The delay
doubles with each disconnection within `DISCONNECT_MEMORY_S`, so that an agent that
keeps reconnecting is not nominated repeatedly and does not delay the others.

Phases of a tick:

1. A shard without a known owner for `NOMINATION_DELAY_S` is nominated to its target,
   at most `MAX_NOMINATIONS_PER_TICK` shards at a time. The nomination is repeated
   after `RENOMINATION_DELAY_S`, doubled with each repetition.
2. Once the eligible agents have been unchanged for `STABLE_S`, owners above the bound
   are asked to release shards whose target is another agent, at most
   `MAX_RELEASES_PER_TICK` at a time. A shard that returns to such an owner stays there
   for `RELEASE_REPEAT_DELAY_S`, doubled with each repetition; otherwise entries that
   see different agents would move it back and forth.
"""

import asyncio
import zlib
from collections import Counter
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
MAX_NOMINATIONS_PER_TICK: Final = 32
MAX_RELEASES_PER_TICK: Final = 4
RENOMINATION_DELAY_S: Final = 1.0
MAX_RENOMINATION_DELAY_S: Final = 16.0
RELEASE_REPEAT_DELAY_S: Final = 60.0
MAX_RELEASE_REPEAT_DELAY_S: Final = 3600.0
DISCONNECT_MEMORY_S: Final = 60.0
MAX_AGENT_DELAY_S: Final = 32.0
STABLE_S: Final = 10.0
NOMINATION_DELAY_S: Final = 1.0
"""Time that an agent is connected or a shard unowned before a nomination."""


def assign_targets(shards: range, agents: list[AgentId]) -> dict[ShardId, AgentId]:
    """Return the target owner of every shard; empty without agents.

    An agent gets at most the mean number of shards per agent, rounded up, plus one.
    """
    if not agents:
        return {}
    bound = -(-len(shards) // len(agents)) + 1
    n_owned = dict.fromkeys(agents, 0)
    targets = {}
    for shard in shards:
        best = max(
            (agent for agent in agents if n_owned[agent] < bound),
            key=lambda agent: (zlib.crc32(f"{shard}|{agent}".encode()), agent),
        )
        targets[ShardId(shard)] = best
        n_owned[best] += 1
    return targets


@dataclass(slots=True)
class _Owner:
    agent_id: AgentId
    epoch: Epoch


@dataclass(slots=True)
class _Unowned:
    """A shard without an owner, and the back-off of its nominations."""

    since_s: float
    n_nominations: int = 0
    next_s: float = 0.0


@dataclass(slots=True)
class _Disconnects:
    """The number of recent disconnections of an agent, and the time of the last."""

    n_disconnects: int
    last_s: float


@dataclass(slots=True)
class _ReleaseRequest:
    """The latest request to an owner to release a shard."""

    epoch: Epoch
    requested_s: float
    n_releases: int = 1

    def may_request(self, epoch: Epoch, now_s: float) -> bool:
        """Return whether a release may be requested from the owner at `epoch`."""
        n_repeated = self.n_releases - 1
        wait_s = _backoff_s(
            RELEASE_REPEAT_DELAY_S, n_repeated, MAX_RELEASE_REPEAT_DELAY_S
        )
        return epoch == self.epoch or now_s - self.requested_s >= wait_s


def _backoff_s(first_s: float, n_doublings: int, limit_s: float) -> float:
    for _ in range(n_doublings):
        if first_s >= limit_s:
            break
        first_s *= 2
    return min(first_s, limit_s)


class ShardMap:
    """The entry's view of the owners of its region's shards; an `AgentListener`."""

    def __init__(self, n_shards: int, post: Callable[[AgentId, Message], bool]) -> None:
        self._n_shards = n_shards
        self._post = post
        self._owners: dict[ShardId, _Owner] = {}
        self._statuses: dict[AgentId, AgentStatus] = {}
        self._unowned: dict[ShardId, _Unowned] = {}
        self._release_requests: dict[ShardId, _ReleaseRequest] = {}
        self._joined_s: dict[AgentId, float] = {}
        self._disconnects: dict[AgentId, _Disconnects] = {}
        self._now_s = 0.0
        self._targets: dict[ShardId, AgentId] = {}
        self._eligible: list[AgentId] = []
        self._stable_since_s = 0.0
        self.n_nominations = 0
        self.n_releases = 0

    def owner_of(self, shard_id: ShardId) -> AgentId | None:
        """Return the connected owner of a shard, or None if there is none."""
        owner = self._owners.get(shard_id)
        return None if owner is None else owner.agent_id

    def owners(self) -> dict[ShardId, tuple[AgentId, Epoch]]:
        """Return every known owner with its epoch."""
        return {
            shard_id: (owner.agent_id, owner.epoch)
            for shard_id, owner in self._owners.items()
        }

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Do nothing: the agent's first status names its shards."""

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Leave every message to the other listeners."""
        return False

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Record the shards that an agent owns."""
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
        """Remove an agent and its shards, and count the disconnection."""
        self._statuses.pop(agent_id, None)
        if self._joined_s.pop(agent_id, None) is not None:
            earlier = self._disconnects.get(agent_id)
            n_disconnects = 1 if earlier is None else earlier.n_disconnects + 1
            self._disconnects[agent_id] = _Disconnects(n_disconnects, self._now_s)
        for shard_id, owner in list(self._owners.items()):
            if owner.agent_id == agent_id:
                del self._owners[shard_id]

    async def run(self) -> None:
        """Nominate and rebalance until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            self.tick(loop.time())

    def tick(self, now_s: float) -> None:
        """Nominate and rebalance once."""
        self._now_s = now_s
        self._update_targets(now_s)
        self._nominate(now_s)
        if now_s - self._stable_since_s >= STABLE_S:
            self._rebalance(now_s)

    def _update_targets(self, now_s: float) -> None:
        self._expire_disconnects(now_s)
        for agent_id, status in self._statuses.items():
            if status.draining:
                self._joined_s.pop(agent_id, None)
            else:
                self._joined_s.setdefault(agent_id, now_s)
        eligible = sorted(
            agent_id
            for agent_id, joined_s in self._joined_s.items()
            if now_s - joined_s >= self._agent_delay_s(agent_id)
        )
        if eligible == self._eligible:
            return
        new_s = [self._joined_s[agent] for agent in set(eligible) - set(self._eligible)]
        has_lost = not set(self._eligible) <= set(eligible)
        self._stable_since_s = now_s if has_lost else max(new_s)
        self._eligible = eligible
        self._replace_targets(assign_targets(range(self._n_shards), eligible))

    def _replace_targets(self, targets: dict[ShardId, AgentId]) -> None:
        for shard_id, unowned in self._unowned.items():
            if targets.get(shard_id) != self._targets.get(shard_id):
                # The back-off belongs to the nominations of the old target.
                unowned.n_nominations = 0
                unowned.next_s = 0.0
        self._targets = targets

    def _expire_disconnects(self, now_s: float) -> None:
        for agent_id, disconnects in list(self._disconnects.items()):
            if now_s - disconnects.last_s >= DISCONNECT_MEMORY_S:
                del self._disconnects[agent_id]

    def _agent_delay_s(self, agent_id: AgentId) -> float:
        disconnects = self._disconnects.get(agent_id)
        n_disconnects = 0 if disconnects is None else disconnects.n_disconnects
        return _backoff_s(NOMINATION_DELAY_S, n_disconnects, MAX_AGENT_DELAY_S)

    def _nominate(self, now_s: float) -> None:
        n_remaining = MAX_NOMINATIONS_PER_TICK
        for number in range(self._n_shards):
            shard_id = ShardId(number)
            if shard_id in self._owners:
                self._unowned.pop(shard_id, None)
                continue
            unowned = self._unowned.setdefault(shard_id, _Unowned(now_s))
            target = self._targets.get(shard_id)
            is_early = now_s - unowned.since_s < NOMINATION_DELAY_S
            if n_remaining == 0 or target is None or is_early or now_s < unowned.next_s:
                continue
            unowned.next_s = now_s + _backoff_s(
                RENOMINATION_DELAY_S, unowned.n_nominations, MAX_RENOMINATION_DELAY_S
            )
            unowned.n_nominations += 1
            self._post(target, NominateOwner(shard_id))
            self.n_nominations += 1
            n_remaining -= 1

    def _rebalance(self, now_s: float) -> None:
        bound = -(-self._n_shards // max(1, len(self._eligible))) + 1
        n_remaining = MAX_RELEASES_PER_TICK
        n_owned = Counter(owner.agent_id for owner in self._owners.values())
        for shard_id, owner in self._owners.items():
            is_above_bound = n_owned[owner.agent_id] > bound
            target = self._targets.get(shard_id, owner.agent_id)
            if n_remaining == 0 or not is_above_bound or target == owner.agent_id:
                continue
            n_owned[owner.agent_id] -= 1
            if self._may_request_release(shard_id, owner.epoch, now_s):
                self._post(owner.agent_id, ReleaseShard(shard_id, owner.epoch))
                self.n_releases += 1
                n_remaining -= 1

    def _may_request_release(
        self, shard_id: ShardId, epoch: Epoch, now_s: float
    ) -> bool:
        """Return whether to request a release, and record the request."""
        earlier = self._release_requests.get(shard_id)
        if earlier is None:
            self._release_requests[shard_id] = _ReleaseRequest(epoch, now_s)
            return True
        if not earlier.may_request(epoch, now_s):
            return False
        if epoch != earlier.epoch:
            n_releases = earlier.n_releases + 1
            self._release_requests[shard_id] = _ReleaseRequest(epoch, now_s, n_releases)
        return True
