"""Paces the tasks that fill beside tasks with a tail latency target.

One `FillPacer` watches one worker. Each look gives the tail latency of the serving
tasks there. When the worst of them nears its target, all tasks that fill are paced
down at once; when all are well under theirs for some looks in a row, the pace is
raised step by step. Both thresholds are shares of the target.
"""

from dataclasses import dataclass
from typing import Final

__all__ = ["FillPacer"]

FULL_PERCENT: Final = 100
LOWER_AT: Final = 0.9
"""Pace down when a tail reaches this share of its target."""
RAISE_UNDER: Final = 0.7
"""Pace up while every tail is under this share of its target."""
LOWER_FACTOR: Final = 0.5
OVER_TARGET_FACTOR: Final = 0.25
RAISE_POINTS: Final = 15
N_CALM_LOOKS: Final = 2
MIN_PERCENT: Final = 5
"""Below this the tasks that fill are paced to nothing."""


@dataclass(slots=True)
class FillPacer:
    """The pace of one worker's tasks that fill, in percent."""

    percent: int = FULL_PERCENT
    n_calm: int = 0

    def look(self, worst_share: float | None) -> int:
        """Return the pace after a look.

        Parameters
        ----------
        worst_share : float or None
            The largest tail latency over its target; None when nothing serves.
        """
        if worst_share is None:
            self.percent = FULL_PERCENT
            self.n_calm = 0
        elif worst_share >= LOWER_AT:
            self._lower(worst_share)
        elif worst_share < RAISE_UNDER:
            self._raise()
        else:
            self.n_calm = 0
        return self.percent

    def _lower(self, worst_share: float) -> None:
        factor = OVER_TARGET_FACTOR if worst_share >= 1.0 else LOWER_FACTOR
        lowered = int(self.percent * factor)
        self.percent = lowered if lowered >= MIN_PERCENT else 0
        self.n_calm = 0

    def _raise(self) -> None:
        self.n_calm += 1
        if self.n_calm >= N_CALM_LOOKS:
            self.percent = min(FULL_PERCENT, self.percent + RAISE_POINTS)
            self.n_calm = 0
