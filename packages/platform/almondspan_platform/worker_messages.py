"""JSON bodies of the worker's HTTP API, version 1.

Bytes are sent as base64 and states as the values of their `Enum`. `StartAttempt`,
`WorkerInfo`, `WorkerUsage` and lists of `WorkerAttempt` are sent without a wrapper.
"""

import msgspec

from almondspan_decisions.ids import TaskId
from almondspan_platform.worker import StartResult

__all__ = ["AttemptRef", "AttemptRefs", "Started", "ThrottleRequest", "ChangeResult"]


class AttemptRef(msgspec.Struct, frozen=True):
    """Identifies one attempt."""

    task_id: TaskId
    attempt: int

    def key(self) -> tuple[TaskId, int]:
        """Return the pair that identifies the attempt."""
        return (self.task_id, self.attempt)


class AttemptRefs(msgspec.Struct, frozen=True):
    """Identifies attempts: those to renew or forget, or those that no longer run."""

    attempts: tuple[AttemptRef, ...]

    @classmethod
    def of(cls, keys: tuple[tuple[TaskId, int], ...]) -> "AttemptRefs":
        """Make a body from pairs of task id and attempt number."""
        return cls(tuple(AttemptRef(task, attempt) for task, attempt in keys))

    def keys(self) -> tuple[tuple[TaskId, int], ...]:
        """Return the pairs that identify the attempts."""
        return tuple(ref.key() for ref in self.attempts)


class ThrottleRequest(msgspec.Struct, frozen=True):
    """Limits an attempt to ``share`` (0 to 1) of its shape."""

    task_id: TaskId
    attempt: int
    share: float


class Started(msgspec.Struct, frozen=True):
    """The answer to a start."""

    result: StartResult


class ChangeResult(msgspec.Struct, frozen=True):
    """The answer to a change; ``took`` is False if the attempt is not running."""

    took: bool
