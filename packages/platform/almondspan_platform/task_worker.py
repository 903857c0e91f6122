"""Protocol of a worker that runs all of its tasks under a single lease.

The worker checks a fence on every command. It numbers the ended attempts of each of
its incarnations and lists them until they are acknowledged. When the lease expires by
the worker's own clock, it kills all tasks. No method raises; a command without an
answer may still be carried out later.
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
    "StartAnswer",
    "StartTask",
    "TaskWorker",
    "Verdict",
    "WorkerPoll",
    "WorkerState",
]


class EndReason(Enum):
    """How an attempt ended, as reported by the worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    """Another member of its gang ended."""

    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not start in time."""


class Verdict(Enum):
    """The outcome of one command."""

    DONE = "done"
    FENCED = "fenced"
    OLD_ATTEMPT = "old_attempt"
    TOO_LATE = "too_late"
    NO_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_INCARNATION = "other_life"
    MALFORMED = "malformed"
    NOT_TAKEN = "not_taken"
    """The worker did not carry the command out."""

    NO_ANSWER = "no_answer"
    """The command may be carried out, at once or seconds later."""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A running attempt.

    ``percent`` is its progress. ``measurement`` is the tail latency of a serving task
    in milliseconds or the processor use of another task in millicores.
    """

    task: str
    attempt: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An attempt that ended; ``number`` counts up from 1 within an incarnation."""

    number: int
    task: str
    attempt: int
    how: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerPoll:
    """A worker's answer to a poll, made at ``clock_ms`` of its own clock.

    ``started_ms`` identifies the incarnation of the worker. All running attempts are
    listed, but only a limited number of ends, those with the lowest numbers: an attempt
    that is in neither list may have ended unless ``lists_all_ends``.
    """

    started_ms: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    lists_all_ends: bool = True


@dataclass(frozen=True, slots=True)
class PollFailed:
    """A poll without a usable answer."""

    verdict: Verdict
    reason: str
    is_absent: bool = False
    """Nothing listens at the worker's address: no process of it is running."""


@dataclass(frozen=True, slots=True)
class PollRequest:
    """Polls the worker, acknowledges ended attempts and extends the lease.

    Ends with a number up to ``n_acknowledged`` are acknowledged. A poll with an
    acknowledgement reaches the incarnation that answered the previous poll or fails,
    because the next incarnation may have the same id and numbers its ends from 1 again.
    ``until_ms`` is the new end of the lease by the worker's clock; 0 leaves the lease
    unchanged. The worker may wait up to ``wait_ms`` for an attempt to end before it
    answers.
    """

    fence: int
    n_acknowledged: int
    until_ms: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Starts one attempt; ``until_ms`` is a time of the worker's clock.

    The worker refuses a start that arrives at that time or later, and extends its lease
    to that time.
    """

    task: str
    attempt: int
    payload: str
    checkpoint: str
    until_ms: int
    fence: int


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """The outcome of a `StartTask`."""

    verdict: Verdict
    clock_ms: int = 0
    """The worker's clock as it confirmed the start; 0 if it did not."""


@dataclass(frozen=True, slots=True)
class WorkerState:
    """What a worker reports of its current incarnation."""

    worker_id: WorkerId
    started_ms: int
    service: ServiceName
    place: PlaceName
    capacity: Shape
    labels: tuple[str, ...]
    is_leaving: bool
    leaves_ms: int
    """The time until a leaving worker stops, in milliseconds."""

    @property
    def identity(self) -> tuple[WorkerId, int]:
        """The id and the start time, which no other incarnation has."""
        return self.worker_id, self.started_ms


class TaskWorker(Protocol):
    """A client of one worker."""

    async def poll(
        self, worker_id: WorkerId, request: PollRequest
    ) -> WorkerPoll | PollFailed:
        """Return the running tasks and those that ended since the acknowledged end."""
        ...

    async def list_tasks(
        self, worker_id: WorkerId, fence: int
    ) -> WorkerPoll | PollFailed:
        """Return what `poll` returns, at once and without any effect on the worker."""
        ...

    async def start_task(self, worker_id: WorkerId, request: StartTask) -> StartAnswer:
        """Start an attempt; the verdict is `DONE` also if it is already running.

        The answer may be by a later incarnation with the same id.
        """
        ...

    async def stop_task(
        self, worker_id: WorkerId, task: str, attempt: int, fence: int
    ) -> Verdict:
        """Stop an attempt; one that has not started can no longer start."""
        ...

    async def pace_task(
        self, worker_id: WorkerId, task: str, attempt: int, percent: int, fence: int
    ) -> Verdict:
        """Limit a running attempt to `percent` of its speed."""
        ...
