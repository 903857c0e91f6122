"""Outcome of a task or a request, as a tagged value.

An outcome is passed unchanged through every interface: from the worker or runner,
through the agent and the shard's owner or the entry, to the caller.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Outcome", "OutcomeKind"]


class OutcomeKind(Enum):
    """The tag of an outcome."""

    DONE = "done"
    """It completed; ``result`` is its complete answer."""

    NOT_RUN = "not_run"
    """No part of it ran, and none will run under this attempt or request."""

    UNKNOWN = "unknown"
    """It may have run; this can no longer be determined."""

    CANCELLED = "cancelled"
    """Its caller cancelled it; ``may_have_run`` tells whether it may have run."""

    INFEASIBLE = "infeasible"
    """No worker has enough capacity for it."""

    FAILED = "failed"
    """It ran and reported an error."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """A tagged outcome with a human-readable reason and the bytes of the result."""

    kind: OutcomeKind
    reason: str = ""
    result: bytes = b""
    may_have_run: bool = False
