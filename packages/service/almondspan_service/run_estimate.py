"""How long calls run at a runner, estimated without keeping them.

The mean follows each run by a small share: it tells how fast a queue empties. The
median moves up or down by a small ratio: it tells how long one more call takes, and
a few very long runs do not move it.
"""

from typing import Final

__all__ = ["RunEstimate"]

MEAN_SHARE: Final = 0.1
"""Weight of the newest run in the mean."""

MEDIAN_STEP: Final = 1.05
"""Ratio by which one run moves the median."""


class RunEstimate:
    """Mean and median of recent run times, in seconds."""

    __slots__ = ("mean_s", "median_s")

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self.median_s = initial_s

    def add(self, run_s: float) -> None:
        """Count one run."""
        self.mean_s += MEAN_SHARE * (run_s - self.mean_s)
        if run_s > self.median_s:
            self.median_s *= MEDIAN_STEP
        else:
            self.median_s /= MEDIAN_STEP

    def finish_s(self, n_ahead: int, n_slots: int) -> float:
        """Return when a call ends that comes after `n_ahead` queued ones."""
        return self.mean_s * (n_ahead + 1) / n_slots + self.median_s
