"""All shards that one agent owns, and how it takes them over.

A nomination starts a task that polls the shard's head. An owner that releases the
shard removes itself from the head; a live owner changes the head with every
heartbeat. When the head stays unchanged for ``silence_s`` on this process's clock,
the nominee takes the shard over. An unanswered call to the store restarts the wait,
since the owner could not write a heartbeat either. Safety does not depend on any of
this: only the compare-and-swap of the head makes a process the owner.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import AgentId, Epoch, RegionName, ShardId
from almondspan_platform.store import KeyValue, Store, Unavailable
from almondspan_tasks.background_tasks import BackgroundTasks
from almondspan_tasks.head import NO_OWNER, decode_head, head_key
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.owner import ShardOwner
from almondspan_tasks.placer import FindAgents
from almondspan_tasks.shard_log import LogEnd, ShardLog, TakeOver
from almondspan_tasks.team_usage import TeamUsage, UsageByTeam
from almondspan_wire.codec import Message
from almondspan_wire.messaging import MessageSender

__all__ = ["HostCounters", "ShardHost"]


@dataclass(slots=True)
class HostCounters:
    """Counts of shards taken over, released and lost.

    ``n_deposed`` counts shards in which another owner superseded this one.
    """

    n_taken: int = 0
    n_released: int = 0
    n_deposed: int = 0


class ShardHost:
    """Owns any number of shards of a region."""

    def __init__(
        self,
        agent_id: AgentId,
        store: Store,
        outbox: MessageSender,
        find_candidates: FindAgents,
        options: OwnerOptions,
        rng: random.Random,
        n_shards: int,
        region: RegionName,
        wall_clock: Callable[[], float],
    ) -> None:
        self.counters = HostCounters()
        self._agent_id = agent_id
        self._store = store
        self._outbox = outbox
        self._find_candidates = find_candidates
        self._options = options
        self._rng = rng
        self._n_shards = n_shards
        self._region = region
        self._wall_clock = wall_clock
        self._fleet = FleetConfig()
        self._owners: dict[ShardId, ShardOwner] = {}
        self._acquiring: dict[ShardId, asyncio.Task[None]] = {}
        self._background = BackgroundTasks()
        self._draining = False
        self._all_released = asyncio.Event()
        self._usage = TeamUsage(
            region, store, options.usage_interval_s, rng, self._own_usage
        )

    async def start(self) -> None:
        """Start without shards; they are acquired through nominations."""
        self._draining = False
        self._background.spawn(self._usage.run())

    async def close(self) -> None:
        """Stop at once; other agents take the shards over after ``silence_s``."""
        self._draining = True
        await self._background.close()
        for owner in list(self._owners.values()):
            await owner.close()
        self._owners.clear()

    async def drain(self) -> None:
        """Release every shard; returns once all releases are committed."""
        self._draining = True
        for task in self._acquiring.values():
            task.cancel()
        for owner in self._owners.values():
            owner.release()
        while self._owners:
            self._all_released.clear()
            await self._all_released.wait()

    def resume(self) -> None:
        """Accept nominations again after a drain; releases under way continue."""
        self._draining = False

    def nominate(self, shard_id: ShardId) -> None:
        """Try to become the owner of a shard."""
        is_busy = shard_id in self._owners or shard_id in self._acquiring
        if self._draining or is_busy or not 0 <= shard_id < self._n_shards:
            return
        task = self._background.spawn(self._acquire(shard_id))
        self._acquiring[shard_id] = task
        task.add_done_callback(lambda _: self._acquiring.pop(shard_id, None))

    def release(self, shard_id: ShardId, epoch: Epoch) -> None:
        """Release a shard if it is owned under this epoch."""
        owner = self._owners.get(shard_id)
        if owner is not None and owner.log.epoch == epoch:
            owner.release()

    def owned(self) -> tuple[tuple[ShardId, Epoch], ...]:
        """Return the owned shards with their epochs."""
        return tuple(
            (shard_id, owner.log.epoch)
            for shard_id, owner in sorted(self._owners.items())
        )

    def owner(self, shard_id: ShardId) -> ShardOwner | None:
        """Return the owner of a shard that this agent owns."""
        return self._owners.get(shard_id)

    def set_fleet(self, config: FleetConfig) -> None:
        """Apply a configuration's quotas and policies."""
        self._fleet = config
        self._usage.is_enabled = bool(config.teams)
        for owner in self._owners.values():
            owner.set_fleet(config)

    def _own_usage(self) -> dict[ShardId, UsageByTeam]:
        return {
            shard_id: owner.shard_jobs.usage()
            for shard_id, owner in self._owners.items()
        }

    def on_routed_message(self, sender: str, body: Message) -> None:
        """Forward a message to the owner of the shard that it names."""
        shard_id = getattr(body, "shard_id", None)
        owner = None if shard_id is None else self._owners.get(shard_id)
        if owner is not None:
            owner.on_routed_message(sender, body)

    # Acquiring.

    async def _acquire(self, shard_id: ShardId) -> None:
        loop = asyncio.get_running_loop()
        seen: tuple[Epoch, int] | None = None
        seen_s = 0.0
        while True:
            answer = await self._store.get(head_key(self._region, shard_id))
            now_s = loop.time()
            if isinstance(answer, Unavailable):
                seen = None
                await self._pause(self._options.store_retry_max_s)
                continue
            version = _head_version(answer.item)
            if version is None or (seen == version and self._is_silent(seen_s, now_s)):
                if await self._take_over(shard_id, answer.item):
                    return
                seen = None
                await self._pause(self._options.store_retry_s)
                continue
            if seen is not None and seen != version:
                return
            if seen is None:
                seen, seen_s = version, now_s
            await self._pause(self._options.silence_s / 4)

    def _is_silent(self, seen_s: float, now_s: float) -> bool:
        return now_s - seen_s >= self._options.silence_s

    async def _pause(self, typical_s: float) -> None:
        await asyncio.sleep(typical_s * (0.5 + self._rng.random()))

    async def _take_over(self, shard_id: ShardId, item: KeyValue | None) -> bool:
        """Try once to take the shard over; True when no further try is needed."""
        log = ShardLog(
            shard_id,
            self._region,
            self._agent_id,
            self._store,
            self._options,
            self._rng,
        )
        taken = await log.take_over(item)
        if taken is not TakeOver.TAKEN:
            return taken is TakeOver.LOST
        owner = ShardOwner(
            log,
            self._outbox,
            self._find_candidates,
            self._options,
            self._rng,
            self._wall_clock,
            self._on_end,
            partial(self._usage.in_other_shards, shard_id),
        )
        owner.set_fleet(self._fleet)
        self._owners[shard_id] = owner
        self.counters.n_taken += 1
        await owner.start()
        if self._draining:
            owner.release()
        return True

    def _on_end(self, owner: ShardOwner, end: LogEnd) -> None:
        self._owners.pop(owner.log.shard_id, None)
        self.counters.n_released += end is LogEnd.RELEASED
        self.counters.n_deposed += end is LogEnd.SUPERSEDED
        if not self._owners:
            self._all_released.set()
        self._background.spawn(owner.close())


def _head_version(item: KeyValue | None) -> tuple[Epoch, int] | None:
    """Return the head's epoch and sequence; None when the shard has no owner."""
    if item is None:
        return None
    head = decode_head(item.value)
    if head.owner == NO_OWNER:
        return None
    return head.epoch, head.sequence
