"""What an entry tells operators of its region, and does for them.

Agents that left are kept for `FORGET_S`, so that a lost worker still shows with the
time since its last status.
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
from almondspan_tasks.desk import DeskUnavailable
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    DrainRequest,
    RunnerStatus,
)

__all__ = ["EntryFleetView"]

FORGET_S: Final = 3600.0
"""Time after which an agent that left is no longer listed."""


DeclareLost = Callable[[tuple[WorkerId, ...]], Awaitable[int | DeskUnavailable]]
"""Tells the owners of all shards; returns how many attempts were given up."""

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Known:
    hello: AgentHello
    heard_s: float
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
    ) -> None:
        self._n_shards = n_shards
        self._declare_lost = declare_lost
        self._owners = owners
        self._post = post
        self._known: dict[AgentId, _Known] = {}

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Note an agent; an earlier one of the same worker is replaced."""
        if hello.worker_id:
            for known_id, known in list(self._known.items()):
                if known.hello.worker_id == hello.worker_id:
                    del self._known[known_id]
        self._known[agent_id] = _Known(hello, _now_s())

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Note an agent's status."""
        known = self._known.get(agent_id)
        if known is not None:
            known.status = status
            known.heard_s = _now_s()

    def agent_left(self, agent_id: AgentId) -> None:
        """Keep an agent that left, for a while."""
        known = self._known.get(agent_id)
        if known is not None:
            known.is_connected = False

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Take nothing."""
        return False

    def agents(self) -> tuple[AgentSummary, ...]:
        """Return every agent that is known, the silent ones included."""
        now_s = _now_s()
        for agent_id, known in list(self._known.items()):
            if not known.is_connected and now_s - known.heard_s > FORGET_S:
                del self._known[agent_id]
        return tuple(
            _summary(agent_id, known, now_s)
            for agent_id, known in sorted(self._known.items())
        )

    def shards(self) -> tuple[ShardSummary, ...]:
        """Return every shard of the region."""
        owners = self._owners()
        nobody = (AgentId(""), Epoch(0))
        return tuple(
            ShardSummary(ShardId(shard), *owners.get(ShardId(shard), nobody))
            for shard in range(self._n_shards)
        )

    def burn(self) -> tuple[ServiceBurn, ...]:
        """Return nothing: the entry's `BurnCollector` answers burn reports."""
        return ()

    async def drain(self, agent_id: AgentId, resume: bool = False) -> ChangeResult:
        """Ask an agent to drain, or to take work again."""
        known = self._known.get(agent_id)
        if known is None:
            return ChangeResult.NOT_FOUND
        if not self._post(agent_id, DrainRequest(resume)):
            return ChangeResult.UNAVAILABLE
        return ChangeResult.DONE

    async def declare_lost(self, workers: tuple[WorkerId, ...]) -> ChangeResult:
        """Have every shard's owner take these workers' attempts for ended.

        `UNAVAILABLE` when an owner did not answer; others may have done it.
        """
        n_attempts = await self._declare_lost(workers)
        if isinstance(n_attempts, DeskUnavailable):
            return ChangeResult.UNAVAILABLE
        _log.info("workers lost", extra={"workers": workers, "attempts": n_attempts})
        return ChangeResult.DONE


def _summary(agent_id: AgentId, known: _Known, now_s: float) -> AgentSummary:
    hello, status = known.hello, known.status
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
        silent_s=round(now_s - known.heard_s, 3),
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
