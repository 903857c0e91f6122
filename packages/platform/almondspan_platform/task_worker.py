"""A worker that runs tasks under one lease and lists how they ended.

The worker checks a fence on every order, numbers the ends of each of its lifetimes
and lists them until they are noted, and kills everything when its lease passes on
its own clock. No method raises; an order without an answer may still be carried out
later.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from almondspan_decisions.ids import PlaceName, ServiceName, WorkerId
from almondspan_decisions.shapes import Shape

__all__ = [
    "EndedTask",
    "EndReason",
    "PollFailed",
    "PollRequest",
    "RunningTask",
    "StartTask",
    "TaskWorker",
    "Verdict",
    "WorkerPoll",
    "WorkerState",
]


class EndReason(Enum):
    """How the worker says that an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    """Another member of its gang ended."""
    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not come."""


class Verdict(Enum):
    """What became of one order."""

    DONE = "done"
    FENCED = "fenced"
    OLD_ATTEMPT = "old_attempt"
    TOO_LATE = "too_late"
    NO_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_INCARNATION = "other_life"
    MALFORMED = "malformed"
    NOT_TAKEN = "not_taken"
    """The worker said that it did nothing."""
    NO_ANSWER = "no_answer"
    """It may be carried out, now or seconds later."""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A running attempt; `figure` is its tail latency in ms or its millicores."""

    task: str
    attempt: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An attempt that ended; `number` rises within a lifetime, from 1."""

    number: int
    task: str
    attempt: int
    how: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerPoll:
    """What a worker lists of itself at `clock_ms` of its own clock."""

    started_ms: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True, slots=True)
class PollFailed:
    """A look without an answer that could be used."""

    verdict: Verdict
    reason: str


@dataclass(frozen=True, slots=True)
class PollRequest:
    """Asks for a look, notes ends and lengthens the lease.

    `until_ms` is a time of the worker's clock; 0 leaves the lease as it is.
    """

    fence: int
    n_acknowledged: int
    until_ms: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Starts one attempt; `until_ms` is a time of the worker's clock."""

    task: str
    attempt: int
    payload: str
    checkpoint: str
    until_ms: int
    fence: int


@dataclass(frozen=True, slots=True)
class WorkerState:
    """What a worker says of itself and of its present lifetime."""

    worker_id: WorkerId
    started_ms: int
    service: ServiceName
    place: PlaceName
    capacity: Shape
    labels: tuple[str, ...]
    is_leaving: bool
    leaves_ms: int
    """The time left to a leaving worker, in milliseconds."""


class TaskWorker(Protocol):
    """Calls to one worker."""

    async def poll(
        self, worker_id: WorkerId, request: PollRequest
    ) -> WorkerPoll | PollFailed:
        """Return what runs and what has ended since the noted end."""
        ...

    async def start_task(self, worker_id: WorkerId, request: StartTask) -> Verdict:
        """Start an attempt; also `DONE` when it already runs there."""
        ...

    async def stop_task(
        self, worker_id: WorkerId, task: str, attempt: int, fence: int
    ) -> Verdict:
        """Stop an attempt; one that is not there yet can't start any more."""
        ...

    async def pace_task(
        self, worker_id: WorkerId, task: str, attempt: int, percent: int, fence: int
    ) -> Verdict:
        """Let a running attempt work at a share of its speed."""
        ...
