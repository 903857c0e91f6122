"""A worker's API as almondspan sees it.

The worker runs attempts under leases that it counts itself: an attempt whose
lease is not renewed within its time is stopped by the worker. Starting an attempt
is idempotent by (task, attempt). The worker lists ended attempts with their
outcome until they are forgotten. Usage is reported with a lag.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from almondspan_decisions.ids import ShardId, TaskClass, TaskId, WorkerId
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.shapes import Shape

__all__ = [
    "AttemptState",
    "StartAttempt",
    "StartResult",
    "Worker",
    "WorkerAttempt",
    "WorkerInfo",
    "WorkerUnavailable",
    "WorkerUsage",
]


class AttemptState(Enum):
    """What a worker says of an attempt."""

    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker's capacity and the time that it grants an unrenewed attempt.

    ``clock_s`` is the worker's monotonic clock when it answered, or None when the
    worker can't refuse a start by its clock.
    """

    worker_id: WorkerId
    capacity: Shape
    lease_s: float
    clock_s: float | None = None


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """What the worker needs to run one attempt.

    ``checkpoint`` is what an earlier attempt left, empty for a fresh start.
    ``labels`` come back unread in the list (the agent stores the shard and epoch).
    A worker with a clock refuses a start that reaches it after ``not_after_s`` of
    that clock, so that a start held back by a pause takes no effect.
    """

    task_id: TaskId
    attempt: int
    task_class: TaskClass
    shape: Shape
    payload: bytes
    checkpoint: bytes
    shard_id: ShardId
    epoch: int
    idempotent: bool
    not_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerAttempt:
    """One attempt in the worker's list; ``outcome`` is set once it has ended.

    ``checkpoint`` holds the last checkpoint of an attempt that was evicted.
    ``ran_s`` is the time that it has run, in seconds.
    """

    task_id: TaskId
    attempt: int
    state: AttemptState
    task_class: TaskClass
    shape: Shape
    shard_id: ShardId
    epoch: int
    idempotent: bool
    ran_s: float
    outcome: Outcome | None = None
    evicted: bool = False
    checkpoint: bytes = b""


@dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Usage as the worker measured it, ``lag_s`` before the answer was made."""

    lag_s: float
    cpu_millicores: int
    memory_mb: int
    by_task: tuple[tuple[TaskId, int], ...] = ()


class StartResult(Enum):
    """The worker's answer to a start."""

    STARTED = "started"
    ALREADY_KNOWN = "already_known"
    REFUSED = "refused"
    """It never ran and the worker keeps nothing of it."""


@dataclass(frozen=True, slots=True)
class WorkerUnavailable:
    """No answer in time; a call that changes something may have taken effect."""

    reason: str
    may_have_applied: bool = True


class Worker(Protocol):
    """A client of one worker's API; safe to share between tasks."""

    async def start(self) -> None:
        """Open the client; does not need the worker to be up."""
        ...

    async def close(self) -> None:
        """Release every connection."""
        ...

    async def info(self) -> WorkerInfo | WorkerUnavailable:
        """Return the worker's capacity and lease time."""
        ...

    async def list_attempts(self) -> tuple[WorkerAttempt, ...] | WorkerUnavailable:
        """Return every attempt that runs or has ended and was not forgotten."""
        ...

    async def start_attempt(
        self, request: StartAttempt
    ) -> StartResult | WorkerUnavailable:
        """Run an attempt; repeated calls for the same attempt start it once."""
        ...

    async def renew(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> tuple[tuple[TaskId, int], ...] | WorkerUnavailable:
        """Renew leases; returns those attempts that are no longer running."""
        ...

    async def throttle(
        self, task_id: TaskId, attempt: int, share: float
    ) -> bool | WorkerUnavailable:
        """Limit a task to `share` (0 to 1) of its shape; False when not running."""
        ...

    async def checkpoint(
        self, task_id: TaskId, attempt: int
    ) -> bool | WorkerUnavailable:
        """Save a checkpoint, then stop; the attempt ends with ``evicted``."""
        ...

    async def stop(self, task_id: TaskId, attempt: int) -> bool | WorkerUnavailable:
        """Stop at once; the attempt ends ``evicted`` with its last checkpoint."""
        ...

    async def forget(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> bool | WorkerUnavailable:
        """Drop ended attempts from the list; running ones stay."""
        ...

    async def usage(self) -> WorkerUsage | WorkerUnavailable:
        """Return usage, measured some time ago."""
        ...
