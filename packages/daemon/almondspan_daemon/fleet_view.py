"""The entry's view of its region for operators, and the changes that they request.

An agent that left is listed for `RETENTION_S`, so that operators see a lost worker
with the time since its last status.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from almondspan_admin.fleet_view import (
    AgentSummary,
    ChangeResult,
    RunnerSummary,
    ServiceBurn,
    ShardSummary,
)
from almondspan_decisions.ids import AgentId, Epoch, ShardId, WorkerId
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_tasks.job_client import OwnerUnavailable
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    DrainRequest,
    RunnerStatus,
)

__all__ = ["EntryFleetView"]

RETENTION_S: Final = 3600.0
"""Time since its last status after which a disconnected agent is not listed."""


CollectBurn = Callable[[], Awaitable[tuple[ServiceBurn, ...]]]
"""Collects the burn of every service from all agents and merges it."""

DeclareLost = Callable[[tuple[WorkerId, ...]], Awaitable[int | OwnerUnavailable]]
"""Notifies the owners of all shards; returns the number of attempts given up."""

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _AgentRecord:
    hello: AgentHello
    last_seen_s: float
    status: AgentStatus | None = None
    is_connected: bool = True


class EntryFleetView:
    """The entry's `FleetView`; also an `AgentListener`."""

    def __init__(
        self,
        n_shards: int,
        owners: Callable[[], dict[ShardId, tuple[AgentId, Epoch]]],
        post: Callable[[AgentId, Message], bool],
        declare_lost: DeclareLost,
        collect_burn: CollectBurn,
    ) -> None:
        self._n_shards = n_shards
        self._collect_burn = collect_burn
        self._declare_lost = declare_lost
        self._owners = owners
        self._post = post
        self._records: dict[AgentId, _AgentRecord] = {}

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Add an agent, replacing an earlier agent of the same worker."""
        if hello.worker_id:
            for other_id, record in list(self._records.items()):
                if record.hello.worker_id == hello.worker_id:
                    del self._records[other_id]
        self._records[agent_id] = _AgentRecord(hello, _now_s())

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Record an agent's status."""
        record = self._records.get(agent_id)
        if record is not None:
            record.status = status
            record.last_seen_s = _now_s()

    def agent_left(self, agent_id: AgentId) -> None:
        """Mark an agent as disconnected; it stays listed for `RETENTION_S`."""
        record = self._records.get(agent_id)
        if record is not None:
            record.is_connected = False

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Leave every message to the other listeners."""
        return False

    def agents(self) -> tuple[AgentSummary, ...]:
        """Return every known agent, including disconnected ones."""
        now_s = _now_s()
        for agent_id, record in list(self._records.items()):
            if not record.is_connected and now_s - record.last_seen_s > RETENTION_S:
                del self._records[agent_id]
        return tuple(
            _summary(agent_id, record, now_s)
            for agent_id, record in sorted(self._records.items())
        )

    def shards(self) -> tuple[ShardSummary, ...]:
        """Return every shard of the region; an unowned one has an empty owner."""
        owners = self._owners()
        unowned = (AgentId(""), Epoch(0))
        return tuple(
            ShardSummary(ShardId(shard), *owners.get(ShardId(shard), unowned))
            for shard in range(self._n_shards)
        )

    async def burn(self) -> tuple[ServiceBurn, ...]:
        """Return the burn of every service, collected from all agents."""
        return await self._collect_burn()

    async def drain(self, agent_id: AgentId, resume: bool = False) -> ChangeResult:
        """Ask an agent to drain, or to accept work again."""
        record = self._records.get(agent_id)
        if record is None:
            return ChangeResult.NOT_FOUND
        if not self._post(agent_id, DrainRequest(resume)):
            return ChangeResult.UNAVAILABLE
        return ChangeResult.DONE

    async def declare_lost(self, workers: tuple[WorkerId, ...]) -> ChangeResult:
        """Have every shard's owner treat these workers' attempts as ended.

        Returns `UNAVAILABLE` if an owner did not answer; other owners may have
        applied the declaration already.
        """
        n_attempts = await self._declare_lost(workers)
        if isinstance(n_attempts, OwnerUnavailable):
            return ChangeResult.UNAVAILABLE
        _log.info("workers lost", extra={"workers": workers, "attempts": n_attempts})
        return ChangeResult.DONE


def _summary(agent_id: AgentId, record: _AgentRecord, now_s: float) -> AgentSummary:
    hello, status = record.hello, record.status
    return AgentSummary(
        agent_id=agent_id,
        worker_id=hello.worker_id,
        place=hello.place,
        capacity=hello.capacity,
        free=EMPTY_SHAPE if status is None else status.free,
        n_tasks=0 if status is None else status.n_tasks,
        draining=status is not None and status.draining,
        resting=status is not None and status.resting,
        config_revision=0 if status is None else status.config_revision,
        silent_s=round(now_s - record.last_seen_s, 3),
        n_shards=0 if status is None else len(status.owned),
        ladder_level=0 if status is None else status.ladder_level,
        runners=() if status is None else tuple(map(_runner, status.runners)),
    )


def _runner(status: RunnerStatus) -> RunnerSummary:
    return RunnerSummary(
        status.service,
        status.n_slots,
        status.n_busy,
        status.n_queued,
        status.latency_ms,
        status.burn_rate,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
