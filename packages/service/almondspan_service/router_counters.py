"""Counters of a router since its start."""

from dataclasses import dataclass, field

from almondspan_decisions.outcomes import OutcomeKind

__all__ = ["RouterCounters"]


def _zeros() -> dict[OutcomeKind, int]:
    return dict.fromkeys(OutcomeKind, 0)


@dataclass(slots=True)
class RouterCounters:
    """Monotonic counters of one router.

    ``n_hedges_won`` counts hedges whose answer was used, ``n_late_answers`` messages
    for attempts that were no longer open.
    """

    n_attempts: int = 0
    n_retries: int = 0
    n_hedges: int = 0
    n_hedges_won: int = 0
    n_late_answers: int = 0
    n_ejections: int = 0
    n_refused_callers: int = 0
    n_outcomes: dict[OutcomeKind, int] = field(default_factory=_zeros)
