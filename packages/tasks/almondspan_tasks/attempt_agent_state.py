"""State shared by the parts of an `AttemptAgent`."""

import asyncio
import random
from dataclasses import dataclass, field

from almondspan_decisions.ids import AgentId, Epoch, ShardId, WorkerId
from almondspan_platform.worker import Worker
from almondspan_tasks.attempt_lifecycle import LifecycleStep, advance
from almondspan_tasks.background_tasks import BackgroundTasks
from almondspan_tasks.held_attempts import AttemptKey, HeldAttempt, HeldAttempts
from almondspan_tasks.options import AttemptAgentOptions
from almondspan_tasks.resting_rule import RestingRule
from almondspan_tasks.worker_clock import WorkerClock
from almondspan_wire.messaging import MessageSender

__all__ = ["AttemptAgentCounters", "AttemptAgentState"]


@dataclass(slots=True)
class AttemptAgentCounters:
    """Counters of an `AttemptAgent`.

    ``n_expired`` counts attempts evicted at their horizon; ``n_stale_epochs`` counts
    messages of superseded owners; ``n_pauses`` counts detected pauses of this process.
    """

    n_reserved: int = 0
    n_refused: int = 0
    n_started: int = 0
    n_adopted: int = 0
    n_evicted: int = 0
    n_expired: int = 0
    n_stale_epochs: int = 0
    n_reports: int = 0
    n_pauses: int = 0


@dataclass(slots=True)
class AttemptAgentState:
    """The held attempts of one worker, and what decides about admission.

    ``ready`` is set while the held attempts are rebuilt; ``changed`` is set whenever
    capacity may have become free. Nothing is admitted before ``shared_until_s``,
    because another agent of the worker was seen at work. ``list_number`` numbers the
    list calls in the order in which they begin; ``dropped`` maps a dropped attempt to
    the number of the last list call that may still show it.
    """

    agent_id: AgentId
    worker: Worker
    outbox: MessageSender
    options: AttemptAgentOptions
    rng: random.Random
    resting: RestingRule
    held_attempts: HeldAttempts = field(default_factory=HeldAttempts)
    background: BackgroundTasks = field(default_factory=BackgroundTasks)
    counters: AttemptAgentCounters = field(default_factory=AttemptAgentCounters)
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    worker_id: WorkerId = WorkerId("")
    worker_lease_s: float = 0.0
    worker_clock: WorkerClock = field(default_factory=WorkerClock)
    shared_until_s: float = 0.0
    draining: bool = False
    epochs: dict[ShardId, Epoch] = field(default_factory=dict)
    list_number: int = 0
    dropped: dict[AttemptKey, int] = field(default_factory=dict)

    def now_s(self) -> float:
        """Return the monotonic time of this process."""
        return asyncio.get_running_loop().time()

    def is_stale(self, shard_id: ShardId, epoch: Epoch) -> bool:
        """Return whether a later owner of the shard is known; else record this one."""
        if epoch < self.epochs.get(shard_id, Epoch(0)):
            self.counters.n_stale_epochs += 1
            return True
        self.epochs[shard_id] = epoch
        return False

    def is_shared(self) -> bool:
        """Return whether another agent was recently seen at work on this worker."""
        return self.now_s() < self.shared_until_s

    def n_using_capacity(self) -> int:
        """Return the number of attempts that use capacity."""
        return sum(held.uses_capacity for held in self.held_attempts.all())

    def refusal(self) -> str:
        """Return why no new work is admitted; empty when it is admitted."""
        if not self.ready.is_set():
            return "the agent has not yet rebuilt its state from the worker's list"
        if self.draining:
            return "draining"
        if self.is_shared():
            return "another agent admits work to this worker"
        if self.resting.is_resting(self.now_s()):
            return "resting"
        if self.resting.is_probing and self.n_using_capacity() > 0:
            return "probing the worker with one task after its rest"
        return ""

    def drop(self, held: HeldAttempt) -> None:
        """Close and remove an attempt."""
        advance(held, LifecycleStep.CLOSE)
        self.held_attempts.drop(held)
        self.dropped[held.key] = self.list_number
        self.changed.set()
