"""How long calls run at a runner, from its recent runs.

The mean follows each run by a small share: it tells how fast a queue empties. The
median of the last runs tells how long one more call takes; a few very long runs do
not move it.
"""

from bisect import bisect_left, insort
from collections import deque
from typing import Final

__all__ = ["RunEstimate"]

MEAN_WEIGHT: Final = 0.05
"""Weight of the newest run in the mean."""

MIN_RUNS: Final = 5
"""Runs below which the median is the initial one."""

MEDIAN_RUNS: Final = 31
"""Runs that the median is taken of."""


class RunEstimate:
    """Mean and median of recent run times, in seconds."""

    __slots__ = ("_recent", "_sorted", "mean_s", "median_s")

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self.median_s = initial_s
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, run_s: float) -> None:
        """Count one run."""
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
        """Count a run that was stopped early, if it was already a long one.

        Without these, a slow runner whose calls are all hedged would look fast.
        """
        if run_s > self.median_s:
            self.add(run_s)

    def estimated_finish_s(self, n_ahead: int, n_slots: int) -> float:
        """Return when a call ends that comes after `n_ahead` queued ones."""
        return self.mean_s * (n_ahead + 1) / n_slots + self.median_s
