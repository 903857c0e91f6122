"""What became of a task or a request, as a tagged value.

An outcome crosses every interface unchanged: from the worker or runner, through
the agent and the shard's owner or the entry, to the caller.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Outcome", "OutcomeKind"]


class OutcomeKind(Enum):
    """The tag of an outcome."""

    DONE = "done"
    """It ran to its end; ``result`` is its whole answer."""

    NOT_RUN = "not_run"
    """No part of it ran, and none will under this attempt or request."""

    UNKNOWN = "unknown"
    """It may have run; whether it did cannot be found out any more."""

    CANCELLED = "cancelled"
    """Its caller asked to end it; ``may_have_run`` tells how far it came."""

    INFEASIBLE = "infeasible"
    """No worker can hold it."""

    FAILED = "failed"
    """It ran and reported an error."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """A tagged outcome with a reason for people and the result's bytes."""

    kind: OutcomeKind
    reason: str = ""
    result: bytes = b""
    may_have_run: bool = False
