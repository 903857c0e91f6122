"""Estimates of the run times of a runner's calls.

The mean is an exponential moving average and tells how fast a queue is processed.
The median of the last runs estimates the run time of a single call; a few very long
runs hardly change it.
"""

from bisect import bisect_left, insort
from collections import deque
from typing import Final

__all__ = ["RunEstimate"]

MEAN_WEIGHT: Final = 0.05
"""Weight of the latest run in the moving average."""

MIN_RUNS: Final = 5
"""Number of runs below which the initial median is used."""

MEDIAN_RUNS: Final = 31
"""Number of the latest runs that the median covers."""


class RunEstimate:
    """Mean and median of recent run times."""

    __slots__ = ("_recent", "_sorted", "mean_s", "median_s")

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self.median_s = initial_s
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, run_s: float) -> None:
        """Add the time of a run."""
        share = max(MEAN_WEIGHT, 1.0 / (len(self._recent) + 1))
        self.mean_s += share * (run_s - self.mean_s)
        if len(self._recent) == MEDIAN_RUNS:
            oldest_s = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest_s)]
        self._recent.append(run_s)
        insort(self._sorted, run_s)
        if len(self._sorted) >= MIN_RUNS:
            self.median_s = self._sorted[len(self._sorted) // 2]

    def add_stopped(self, run_s: float) -> None:
        """Add the time of a stopped run if it is longer than the median.

        Otherwise a slow runner whose slow calls are all hedged would seem fast.
        """
        if run_s > self.median_s:
            self.add(run_s)

    def estimated_finish_s(self, n_ahead: int, n_slots: int) -> float:
        """Estimate the time to the end of a call behind `n_ahead` queued ones."""
        return self.mean_s * (n_ahead + 1) / n_slots + self.median_s
