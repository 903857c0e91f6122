"""An attempt on the worker stand-in: its progress and its end."""

from dataclasses import dataclass
from enum import Enum

from almondspan_decisions.ids import TaskId
from almondspan_decisions.outcomes import Outcome
from almondspan_platform.worker import AttemptState, StartAttempt, WorkerAttempt
from almondspan_standins.worker_payload import Payload

__all__ = ["Attempt", "AttemptEnd", "AttemptKey"]

AttemptKey = tuple[TaskId, int]


class AttemptEnd(Enum):
    """How an attempt ends; the value is the reason shown to operators."""

    FINISHED = "finished"
    LAPSED = "lease lapsed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(slots=True)
class Attempt:
    """The state of an attempt; times are on the worker's clock."""

    request: StartAttempt
    payload: Payload
    started_s: float
    lease_until_s: float
    done_s: float
    checkpoint: bytes
    share: float = 1.0
    rate: float = 1.0
    checkpoint_ends_s: float | None = None
    ended_s: float | None = None
    outcome: Outcome | None = None
    is_evicted: bool = False
    had_effect: bool = False

    @property
    def key(self) -> AttemptKey:
        """The task id and the attempt number."""
        return (self.request.task_id, self.request.attempt)

    @property
    def state(self) -> AttemptState:
        """The state that the worker reports."""
        if self.ended_s is not None:
            return AttemptState.ENDED
        if self.checkpoint_ends_s is not None:
            return AttemptState.CHECKPOINTING
        return AttemptState.RUNNING

    @property
    def used_millicores(self) -> int:
        """The processors in use now."""
        declared = self.request.shape.cpu_millicores
        return round(declared * self.share * self.payload.use_share)

    def next_event(self, now_s: float) -> tuple[float, AttemptEnd]:
        """Return when and how the attempt ends unless its state changes before."""
        ends = [(self.lease_until_s, AttemptEnd.LAPSED)]
        if self.checkpoint_ends_s is not None:
            ends.append((self.checkpoint_ends_s, AttemptEnd.CHECKPOINTED))
        elif self.rate > 0:
            left_s = max(self.payload.run_s - self.done_s, 0.0) / self.rate
            ends.append((now_s + left_s, AttemptEnd.FINISHED))
        return min(ends, key=lambda end: end[0])

    def describe(self, now_s: float) -> WorkerAttempt:
        """Return the attempt in the form that the worker lists."""
        request = self.request
        until_s = now_s if self.ended_s is None else self.ended_s
        return WorkerAttempt(
            task_id=request.task_id,
            attempt=request.attempt,
            state=self.state,
            task_class=request.task_class,
            shape=request.shape,
            shard_id=request.shard_id,
            epoch=request.epoch,
            idempotent=request.idempotent,
            ran_s=until_s - self.started_s,
            outcome=self.outcome,
            evicted=self.is_evicted,
            checkpoint=self.checkpoint if self.is_evicted else b"",
        )
