"""Finds an agent for each waiting job of a shard.

Each tick starts placements for ready jobs in the order of the queue policy, limited
by a number of concurrent placements and a rate of starts. A placement is an asyncio
task that asks an entry for candidate agents, asks one after the other to reserve
capacity, and assigns the attempt to the first one that grants it. When no agent has
enough free capacity for a job, all jobs of the same shape, task class and urgency are
held back for a short time, so that a long queue sends no more requests than a short
one.
"""

import asyncio
import heapq
import math
import random
from collections.abc import Awaitable, Callable
from typing import Final

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import AgentId, JobId, TaskClass, TaskId, TeamName
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.queue_order import (
    QUEUE_POLICIES,
    QueueContext,
    QueuedTask,
    QueueKey,
)
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_tasks.attempt_lifecycle import AttemptPhase, LifecycleStep, advance
from almondspan_tasks.attempt_tracker import AttemptTracker
from almondspan_tasks.background_tasks import BackgroundTasks
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.shard_jobs import ShardJobs, WaitingJob
from almondspan_tasks.state import Job
from almondspan_tasks.team_usage import UsageByTeam
from almondspan_wire.membership import CandidatesFound, FindCandidates, FoundAgent
from almondspan_wire.messaging import MessageSender
from almondspan_wire.task_messages import ReserveCapacity, ReserveReply

__all__ = ["FindAgents", "Placer"]

FindAgents = Callable[[FindCandidates], Awaitable[CandidatesFound | None]]
"""Asks an entry for candidates; None when no entry answered."""

_DEFAULT_POLICY: Final = "urgent_first"
_PlacementClass = tuple[Shape, TaskClass, bool]
_ReplyKey = tuple[TaskId, int, AgentId]


class Placer:
    """Places the waiting jobs of one shard."""

    def __init__(
        self,
        shard_jobs: ShardJobs,
        attempt_tracker: AttemptTracker,
        outbox: MessageSender,
        find_agents: FindAgents,
        options: OwnerOptions,
        rng: random.Random,
        wall_clock: Callable[[], float],
        usage_in_other_shards: Callable[[], UsageByTeam],
    ) -> None:
        self._shard_jobs = shard_jobs
        self._attempt_tracker = attempt_tracker
        self._outbox = outbox
        self._find_agents = find_agents
        self._options = options
        self._rng = rng
        self._wall_clock = wall_clock
        self._usage_in_other_shards = usage_in_other_shards
        self._policy = QUEUE_POLICIES[_DEFAULT_POLICY]
        self._quota: dict[TeamName, float] = {}
        self._fleet_capacity = EMPTY_SHAPE
        self._blocked_until_s: dict[_PlacementClass, float] = {}
        self._replies: dict[_ReplyKey, asyncio.Queue[ReserveReply]] = {}
        self._placements = BackgroundTasks()
        self._query_id = 0
        self._tokens = options.starts_per_s
        self._refilled_s = 0.0

    def set_fleet(self, config: FleetConfig) -> None:
        """Apply the queue policy and the teams' quotas of a configuration."""
        name = config.policies.queue
        self._policy = QUEUE_POLICIES.get(name, QUEUE_POLICIES[_DEFAULT_POLICY])
        self._quota = {team.name: team.quota_share for team in config.teams}

    async def close(self) -> None:
        """Stop all placements; their reservations expire."""
        await self._placements.close()

    # Choosing jobs.

    def tick(self) -> None:
        """Start placements for the next jobs in the queue order."""
        n_free = self._options.max_placements - len(self._placements)
        if (
            self._shard_jobs.log.is_stalled
            or n_free <= 0
            or not self._shard_jobs.waiting
        ):
            return
        self._refill_tokens()
        n_free = min(n_free, int(self._tokens))
        if n_free <= 0:
            return
        for _, job_id in heapq.nsmallest(n_free, self._ready()):
            self._tokens -= 1.0
            waiting = self._shard_jobs.waiting[job_id]
            waiting.is_placing = True
            self._placements.spawn(self._place(job_id, waiting))

    def _refill_tokens(self) -> None:
        now_s = self._shard_jobs.now_s()
        rate = self._options.starts_per_s
        self._tokens = min(rate, self._tokens + rate * (now_s - self._refilled_s))
        self._refilled_s = now_s

    def _ready(self) -> list[tuple[QueueKey, JobId]]:
        now_s = self._shard_jobs.now_s()
        context = QueueContext(now_s, self._team_shares(), self._shard_jobs.run_times)
        ready: list[tuple[QueueKey, JobId]] = []
        for job_id, waiting in self._shard_jobs.waiting.items():
            if waiting.is_placing or waiting.ready_s > now_s:
                continue
            job = self._shard_jobs.jobs[job_id]
            if self._blocked_until_s.get(_placement_class(job), 0.0) > now_s:
                waiting.reason = "no worker has enough free capacity"
                continue
            task = self._queued_task(job, waiting)
            ready.append((self._policy(task, context), job_id))
        return ready

    def _queued_task(self, job: Job, waiting: WaitingJob) -> QueuedTask:
        stage = job.stage
        slack_s = math.inf
        if job.spec.deadline_unix_s:
            left_s = sum(
                later.declared_run_s for later in job.spec.stages[job.stage_index :]
            )
            slack_s = job.spec.deadline_unix_s - self._wall_clock() - left_s
        return QueuedTask(
            task_id=job.task_id,
            team=job.spec.team,
            task_class=stage.task_class,
            shape=stage.shape,
            urgent=job.spec.urgent,
            declared_run_s=stage.declared_run_s,
            queued_s=waiting.queued_s,
            attained_s=job.attained_s,
            slack_s=slack_s,
        )

    def _team_shares(self) -> dict[TeamName, float]:
        used = self._shard_jobs.usage()
        for team, shape in self._usage_in_other_shards().items():
            used[team] = used.get(team, EMPTY_SHAPE) + shape
        return {
            team: shape.dominant_share(self._fleet_capacity)
            / max(1e-9, self._quota.get(team, 1))
            for team, shape in used.items()
        }

    # Placing one job.

    async def _place(self, job_id: JobId, waiting: WaitingJob) -> None:
        try:
            reason = await self._try_agents(job_id, waiting)
        finally:
            waiting.is_placing = False
        if not reason:
            return
        waiting.reason = reason
        if waiting.phase is AttemptPhase.QUEUED:
            waiting.ready_s = self._shard_jobs.now_s() + self._retry_delay_s()

    async def _try_agents(self, job_id: JobId, waiting: WaitingJob) -> str:
        """Return why no agent was found; empty when the job is no longer waiting."""
        job = self._shard_jobs.jobs[job_id]
        found = await self._find(job, job.stage.shape)
        if found is not None and found.feasible and not found.agents:
            found = await self._find_for_preemption(job, found)
        if not self._is_still_waiting(job_id, waiting):
            return ""
        if found is None:
            return "no entry answered"
        if not found.feasible:
            return self._check_infeasible(job, waiting, found)
        waiting.n_infeasible = 0
        for agent in found.agents:
            reply = await self._reserve(agent, job)
            if not self._is_still_waiting(job_id, waiting):
                return ""
            if reply is not None and reply.granted:
                self._assign(job, waiting, agent, reply, found)
                return ""
        self._blocked_until_s[_placement_class(job)] = (
            self._shard_jobs.now_s() + self._retry_delay_s()
        )
        return "no worker has enough free capacity"

    def _retry_delay_s(self) -> float:
        return self._options.capacity_retry_s * (0.3 + 0.7 * self._rng.random())

    def _is_still_waiting(self, job_id: JobId, waiting: WaitingJob) -> bool:
        return self._shard_jobs.waiting.get(job_id) is waiting

    async def _find_for_preemption(
        self, job: Job, found: CandidatesFound
    ) -> CandidatesFound:
        """Find agents that might preempt other tasks for an urgent task."""
        if not job.spec.urgent:
            return found
        return await self._find(job, EMPTY_SHAPE) or found

    async def _find(self, job: Job, shape: Shape) -> CandidatesFound | None:
        self._query_id += 1
        query = FindCandidates(
            query_id=self._query_id,
            shape=shape,
            task_class=job.stage.task_class,
            n_wanted=self._options.n_candidates,
            avoid=job.failed_on,
            urgent=job.spec.urgent,
        )
        try:
            async with asyncio.timeout(self._options.find_timeout_s):
                return await self._find_agents(query)
        except TimeoutError:
            return None

    def _check_infeasible(
        self, job: Job, waiting: WaitingJob, found: CandidatesFound
    ) -> str:
        now_s = self._shard_jobs.now_s()
        if found.n_workers_known < self._options.infeasible_min_workers:
            return "too few workers are known to decide whether it fits"
        if waiting.n_infeasible == 0:
            waiting.infeasible_since_s = now_s
        waiting.n_infeasible += 1
        is_sure = (
            waiting.n_infeasible >= self._options.infeasible_n_checks
            and now_s - waiting.infeasible_since_s >= self._options.infeasible_after_s
        )
        if is_sure:
            reason = f"none of {found.n_workers_known} workers is large enough for it"
            outcome = Outcome(OutcomeKind.INFEASIBLE, reason, b"", job.may_have_run)
            self._shard_jobs.end_job(job, outcome)
            return ""
        return "no known worker is large enough for it"

    async def _reserve(self, agent: FoundAgent, job: Job) -> ReserveReply | None:
        attempt = job.attempt + 1
        key = (job.task_id, attempt, agent.agent_id)
        replies: asyncio.Queue[ReserveReply] = asyncio.Queue()
        self._replies[key] = replies
        request = ReserveCapacity(
            shard_id=self._shard_jobs.log.shard_id,
            epoch=self._shard_jobs.log.epoch,
            task_id=job.task_id,
            attempt=attempt,
            shape=job.stage.shape,
            ttl_s=self._options.reservation_ttl_s,
            urgent=job.spec.urgent,
        )
        self._outbox.send(agent.agent_id, request)
        try:
            return await self._await_reply(replies)
        finally:
            del self._replies[key]

    async def _await_reply(
        self, replies: "asyncio.Queue[ReserveReply]"
    ) -> ReserveReply | None:
        limit_s = self._options.reserve_timeout_s
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    reply = await replies.get()
            except TimeoutError:
                return None
            if not reply.preempting:
                return reply
            limit_s = self._options.preemption_timeout_s

    def on_reserve_reply(self, sender: AgentId, body: ReserveReply) -> None:
        """Pass a reply to the placement that waits for it."""
        replies = self._replies.get((body.task_id, body.attempt, sender))
        if replies is not None:
            replies.put_nowait(body)

    def _assign(
        self,
        job: Job,
        waiting: WaitingJob,
        agent: FoundAgent,
        reply: ReserveReply,
        found: CandidatesFound,
    ) -> None:
        advance(waiting, LifecycleStep.RESERVE)
        n_workers = max(1, found.n_workers_known)
        self._fleet_capacity = Shape(
            reply.capacity.cpu_millicores * n_workers,
            reply.capacity.memory_mb * n_workers,
            reply.capacity.n_accelerators * n_workers,
        )
        self._shard_jobs.assign(
            job,
            reply.worker_id,
            agent.agent_id,
            reply.reservation,
            reply.worker_lease_s,
        )
        self._attempt_tracker.start_committed(job)


def _placement_class(job: Job) -> _PlacementClass:
    return (job.stage.shape, job.stage.task_class, job.spec.urgent)
