"""Protocol of a worker that runs each attempt under its own lease.

The worker tracks the leases itself and stops an attempt whose lease is not renewed in
time. Starting an attempt is idempotent by task and attempt number. The worker lists
ended attempts with their outcomes until they are forgotten, and reports usage with a
lag.
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
    """The state of an attempt on a worker."""

    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker's capacity and lease time.

    ``lease_s`` is how long an attempt runs without a renewal. ``clock_s`` is the
    worker's monotonic clock at the time of its answer, None if the worker does not
    support ``StartAttempt.not_after_s``.
    """

    worker_id: WorkerId
    capacity: Shape
    lease_s: float
    clock_s: float | None = None


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Request to run one attempt.

    ``checkpoint`` was saved by an earlier attempt and is empty for a fresh start. The
    worker returns ``shard_id`` and ``epoch`` unchanged when it lists the attempt. A
    worker with a clock refuses a start that arrives after ``not_after_s`` of that
    clock, so that a start delayed by a pause has no effect.
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

    ``checkpoint`` is the last checkpoint of an evicted attempt. ``ran_s`` is the time
    that the attempt has run, in seconds.
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
    """Resource usage as measured ``lag_s`` before the answer."""

    lag_s: float
    cpu_millicores: int
    memory_mb: int
    by_task: tuple[tuple[TaskId, int], ...] = ()


class StartResult(Enum):
    """The worker's answer to a start."""

    STARTED = "started"
    ALREADY_KNOWN = "already_known"
    REFUSED = "refused"
    """The attempt never ran and the worker holds no record of it."""


@dataclass(frozen=True, slots=True)
class WorkerUnavailable:
    """No usable answer; a change may take effect if ``may_have_applied`` is set."""

    reason: str
    may_have_applied: bool = True


class Worker(Protocol):
    """A client of one worker's API; safe to share between tasks."""

    async def start(self) -> None:
        """Open the client; the worker need not be reachable yet."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...

    async def info(self) -> WorkerInfo | WorkerUnavailable:
        """Return the worker's capacity and lease time."""
        ...

    async def list_attempts(self) -> tuple[WorkerAttempt, ...] | WorkerUnavailable:
        """Return all running attempts and the ended ones that were not forgotten."""
        ...

    async def start_attempt(
        self, request: StartAttempt
    ) -> StartResult | WorkerUnavailable:
        """Start an attempt; repeated calls start it only once."""
        ...

    async def renew(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> tuple[tuple[TaskId, int], ...] | WorkerUnavailable:
        """Renew leases; return those of the attempts that no longer run."""
        ...

    async def throttle(
        self, task_id: TaskId, attempt: int, share: float
    ) -> bool | WorkerUnavailable:
        """Limit a task to `share` (0 to 1) of its shape; False if it is not running."""
        ...

    async def checkpoint(
        self, task_id: TaskId, attempt: int
    ) -> bool | WorkerUnavailable:
        """Save a checkpoint, then stop; the attempt is listed as ``evicted``."""
        ...

    async def stop(self, task_id: TaskId, attempt: int) -> bool | WorkerUnavailable:
        """Stop at once; the attempt is ``evicted`` and keeps its last checkpoint."""
        ...

    async def forget(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> bool | WorkerUnavailable:
        """Remove ended attempts from the list; running ones remain."""
        ...

    async def usage(self) -> WorkerUsage | WorkerUnavailable:
        """Return the latest measured usage."""
        ...
