"""The owner of one shard, from its takeover until it is released or superseded.

It runs two tasks: the log's writer, and a tick that places waiting jobs, repeats
starts, closes lost attempts and deletes expired jobs and claims. Messages are handled
as they arrive; see `attempt_tracker`, `job_request_handler` and `placer`.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import AgentId
from almondspan_tasks.attempt_tracker import AttemptTracker
from almondspan_tasks.background_tasks import BackgroundTasks
from almondspan_tasks.job_request_handler import JobRequestHandler
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.placer import FindAgents, Placer
from almondspan_tasks.shard_jobs import ShardJobs
from almondspan_tasks.shard_log import LogEnd, ShardLog
from almondspan_tasks.team_usage import UsageByTeam
from almondspan_wire.codec import Message
from almondspan_wire.messaging import MessageSender
from almondspan_wire.task_messages import (
    AttemptReport,
    AttemptStarted,
    CancelJobs,
    ClaimRequest,
    DeclareLost,
    OrderQuery,
    RenewAttempts,
    ReserveReply,
    SettleClaim,
    StatusQuery,
    SubmitJobs,
)

__all__ = ["ShardOwner"]

_HOUSEKEEPING_TICKS: Final = 40
"""Expired jobs and claims are deleted once in this many ticks."""


class ShardOwner:
    """Makes the decisions for one shard that was taken over."""

    def __init__(
        self,
        log: ShardLog,
        outbox: MessageSender,
        find_agents: FindAgents,
        options: OwnerOptions,
        rng: random.Random,
        wall_clock: Callable[[], float],
        on_end: Callable[["ShardOwner", LogEnd], None],
        usage_in_other_shards: Callable[[], UsageByTeam] = dict,
    ) -> None:
        self.log = log
        self.shard_jobs = ShardJobs(log, options, wall_clock)
        self._options = options
        self._on_end = on_end
        self._attempt_tracker = AttemptTracker(self.shard_jobs, outbox, options, rng)
        self._job_requests = JobRequestHandler(
            self.shard_jobs, self._attempt_tracker, outbox, options, wall_clock
        )
        self._placer = Placer(
            self.shard_jobs,
            self._attempt_tracker,
            outbox,
            find_agents,
            options,
            rng,
            wall_clock,
            usage_in_other_shards,
        )
        self._is_open = False
        self._background = BackgroundTasks()

    async def start(self) -> None:
        """Start to commit and to handle messages, after the log's takeover."""
        self.shard_jobs.rebuild()
        self._is_open = True
        self._background.spawn(self._write())
        self._background.spawn(self._run_ticks())

    async def close(self) -> None:
        """Stop at once, without releasing the shard."""
        self._is_open = False
        await self._background.close()
        await self._placer.close()

    def release(self) -> None:
        """Commit all pending decisions and release the shard."""
        self._is_open = False
        self.log.release()

    def set_fleet(self, config: FleetConfig) -> None:
        """Apply a configuration."""
        self._placer.set_fleet(config)
        self.shard_jobs.set_fleet(config)

    async def _write(self) -> None:
        end = await self.log.run()
        self._is_open = False
        self._on_end(self, end)

    async def _run_ticks(self) -> None:
        n_ticks = 0
        while self._is_open:
            self._attempt_tracker.tick()
            self._placer.tick()
            n_ticks += 1
            if n_ticks % _HOUSEKEEPING_TICKS == 0:
                self._job_requests.drop_expired()
            await asyncio.sleep(self._options.tick_s)

    def on_routed_message(self, sender: str, body: Message) -> None:
        """Handle a message to this shard; ignored once the shard is being released."""
        if not self._is_open:
            return
        match body:
            case RenewAttempts():
                self._attempt_tracker.on_renew(AgentId(sender), body)
            case AttemptReport():
                self._attempt_tracker.on_report(AgentId(sender), body)
                self._placer.tick()
            case AttemptStarted():
                self._attempt_tracker.on_started(AgentId(sender), body)
            case ReserveReply():
                self._placer.on_reserve_reply(AgentId(sender), body)
            case SubmitJobs():
                self._job_requests.on_submit(sender, body)
                self._placer.tick()
            case CancelJobs():
                self._job_requests.on_cancel(sender, body)
            case StatusQuery():
                self._job_requests.on_status(sender, body)
            case OrderQuery():
                self._job_requests.on_order(sender, body)
            case DeclareLost():
                self._job_requests.on_declare_lost(sender, body)
            case ClaimRequest():
                self._job_requests.on_claim(sender, body)
            case SettleClaim():
                self._job_requests.on_settle(sender, body)
