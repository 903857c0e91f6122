"""The owner's in-memory view of a shard's jobs, besides the committed state.

Only `ShardJobs` appends deltas about jobs. With each delta it updates three sets:
jobs that wait for a placement, attempts that are tracked, and jobs with uncommitted
deltas. None of this is needed for safety after a takeover: `rebuild` derives it from
the state.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import (
    AgentId,
    JobId,
    OrderName,
    TaskId,
    TeamName,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.run_times import RunTimes
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_decisions.tasks import JobSpec, job_of_task
from almondspan_tasks.attempt_lifecycle import AttemptPhase, LifecycleStep, advance
from almondspan_tasks.deltas import (
    AttemptAssigned,
    AttemptClosed,
    CloseCause,
    Delta,
    JobAdded,
    JobDropped,
    JobEnded,
    StageAdvanced,
)
from almondspan_tasks.options import OwnerOptions
from almondspan_tasks.shard_log import ShardLog
from almondspan_tasks.state import Job

__all__ = ["TrackedAttempt", "ShardJobs", "WaitingJob"]


@dataclass(slots=True)
class WaitingJob:
    """A job whose current stage waits for placement.

    It may be placed from ``ready_s`` on; ``reason`` tells callers why it waits.
    """

    queued_s: float
    ready_s: float
    reason: str = "queued"
    is_placing: bool = False
    n_infeasible: int = 0
    infeasible_since_s: float = 0.0
    phase: AttemptPhase = AttemptPhase.QUEUED


@dataclass(slots=True)
class TrackedAttempt:
    """An assigned attempt.

    ``evidence_s`` is the latest time from which its agent may count its lease: the
    commit of the assignment, the takeover, or the last positive answer to a renewal.
    """

    agent_id: AgentId
    evidence_s: float
    next_start_s: float
    phase: AttemptPhase = AttemptPhase.COMMITTED


@dataclass(slots=True)
class ShardJobCounters:
    """Counts of the decisions about jobs."""

    n_submitted: int = 0
    n_assigned: int = 0
    n_evicted: int = 0
    n_lost: int = 0
    n_ended: dict[OutcomeKind, int] = field(default_factory=dict)


class ShardJobs:
    """The jobs of one shard: waiting, running and ended."""

    def __init__(
        self,
        log: ShardLog,
        options: OwnerOptions,
        wall_clock: Callable[[], float],
    ) -> None:
        self.log = log
        self.waiting: dict[JobId, WaitingJob] = {}
        self.tracked: dict[JobId, TrackedAttempt] = {}
        self.ended: dict[JobId, float] = {}
        self.counters = ShardJobCounters()
        self.run_times = RunTimes()
        self._options = options
        self._wall_clock = wall_clock
        self._n_uncommitted: dict[JobId, int] = {}
        self._orders: frozenset[OrderName] = frozenset()
        self._has_config = False

    @property
    def jobs(self) -> dict[JobId, Job]:
        """Return all jobs of the shard's state."""
        return self.log.state.jobs

    def now_s(self) -> float:
        """Return the monotonic time of this process."""
        return asyncio.get_running_loop().time()

    def rebuild(self) -> None:
        """Derive the sets from the state, right after a takeover."""
        now_s = self.now_s()
        for job_id, job in self.jobs.items():
            if job.outcome is not None:
                self.ended[job_id] = job.ended_unix_s
            elif job.assignment is not None:
                # Every answer of an earlier owner follows from a commit that began
                # before this owner's compare-and-swap of the head.
                self.tracked[job_id] = TrackedAttempt(
                    job.assignment.agent_id, now_s, now_s
                )
            else:
                self.waiting[job_id] = WaitingJob(now_s, now_s)

    def is_uncommitted(self, job_id: JobId) -> bool:
        """Return whether the job has uncommitted deltas."""
        return job_id in self._n_uncommitted

    def find(self, task: TaskId) -> Job | None:
        """Return the job that a task belongs to."""
        return self.jobs.get(job_of_task(task))

    def usage(self) -> dict[TeamName, Shape]:
        """Return the capacity used by each team's assigned attempts."""
        used: dict[TeamName, Shape] = {}
        for job_id in self.tracked:
            job = self.jobs[job_id]
            team = job.spec.team
            used[team] = used.get(team, EMPTY_SHAPE) + job.stage.shape
        return used

    # Decisions.

    def add_job(self, spec: JobSpec) -> None:
        """Add a submitted job."""
        now_s = self.now_s()
        self._append(spec.job_id, JobAdded(spec, self._wall_clock()))
        self.waiting[spec.job_id] = WaitingJob(now_s, now_s)
        self.counters.n_submitted += 1

    def assign(
        self,
        job: Job,
        worker_id: WorkerId,
        agent_id: AgentId,
        reservation: str,
        worker_lease_s: float,
    ) -> None:
        """Assign the next attempt; its start may be sent after the commit."""
        job_id = job.spec.job_id
        waiting = self.waiting.pop(job_id)
        advance(waiting, LifecycleStep.COMMIT)
        delta = AttemptAssigned(
            job_id,
            job.attempt + 1,
            worker_id,
            agent_id,
            reservation,
            worker_lease_s,
        )
        self._append(job_id, delta)
        now_s = self.now_s()
        self.tracked[job_id] = TrackedAttempt(agent_id, now_s, now_s, waiting.phase)
        self.counters.n_assigned += 1

    def close_attempt(
        self,
        job: Job,
        cause: CloseCause,
        ran_s: float = 0.0,
        checkpoint: bytes = b"",
        delay_s: float = 0.0,
    ) -> None:
        """Close the assigned attempt; the stage waits for the next one."""
        job_id = job.spec.job_id
        assignment = job.assignment
        assert assignment is not None
        tracked = self.tracked.pop(job_id)
        step = (
            LifecycleStep.EVICT if cause is CloseCause.EVICTED else LifecycleStep.CLOSE
        )
        advance(tracked, step)
        delta = AttemptClosed(
            job_id,
            assignment.attempt,
            cause,
            assignment.worker_id,
            ran_s,
            checkpoint,
        )
        self._append(job_id, delta)
        now_s = self.now_s()
        self.waiting[job_id] = WaitingJob(now_s, now_s + delay_s, cause.value)
        self.counters.n_evicted += cause is CloseCause.EVICTED
        self.counters.n_lost += cause is CloseCause.LOST

    def record_run_time(self, job: Job, ran_s: float) -> None:
        """Record the total run time of a stage that is done, over all its attempts."""
        self.run_times.observe(job.stage.task_class, job.attained_s + ran_s)

    def advance_stage(self, job: Job, ran_s: float) -> None:
        """Proceed to the next stage."""
        job_id = job.spec.job_id
        advance(self.tracked.pop(job_id), LifecycleStep.FINISH)
        self._append(job_id, StageAdvanced(job_id, ran_s))
        now_s = self.now_s()
        self.waiting[job_id] = WaitingJob(now_s, now_s)

    def end_job(self, job: Job, outcome: Outcome) -> None:
        """End the job with an outcome."""
        job_id = job.spec.job_id
        self.waiting.pop(job_id, None)
        self.tracked.pop(job_id, None)
        ended_unix_s = self._wall_clock()
        self._append(job_id, JobEnded(job_id, outcome, ended_unix_s))
        self.ended[job_id] = ended_unix_s
        n_ended = self.counters.n_ended
        n_ended[outcome.kind] = n_ended.get(outcome.kind, 0) + 1

    def drop_expired(self) -> None:
        """Delete ended jobs whose retention period has passed.

        The jobs of an order are kept as long as the configuration names the order,
        since a record that is submitted again must not be handed back twice.
        """
        limit = self._wall_clock() - self._options.answer_kept_s
        outdated = [
            job_id
            for job_id, at in self.ended.items()
            if at < limit and not self._is_in_configured_order(job_id)
        ]
        for job_id in outdated:
            del self.ended[job_id]
            self._append(job_id, JobDropped(job_id))

    def set_fleet(self, config: FleetConfig) -> None:
        """Record which orders are configured."""
        self._orders = frozenset(order.name for order in config.orders)
        self._has_config = config.revision > 0

    def _is_in_configured_order(self, job_id: JobId) -> bool:
        name = self.jobs[job_id].spec.order_name
        return bool(name) and (not self._has_config or name in self._orders)

    def _append(self, job_id: JobId, delta: Delta) -> None:
        self.log.append(delta)
        self._n_uncommitted[job_id] = self._n_uncommitted.get(job_id, 0) + 1
        self.log.after_commit(lambda: self._committed(job_id))

    def _committed(self, job_id: JobId) -> None:
        n_left = self._n_uncommitted[job_id] - 1
        if n_left:
            self._n_uncommitted[job_id] = n_left
        else:
            del self._n_uncommitted[job_id]
