"""Predicts the peak demand of a worker's services, to reserve capacity for it.

The prediction uses observed demand, since declared sizes are far off.
`PeakDemandTracker` keeps the highest demand of each slice of time in a ring. The
predicted peak is the mean of the highest slices, decayed by their age, times a margin.
Memory is bounded by the number of slices.
"""

import math
from dataclasses import dataclass

__all__ = ["PeakDemandOptions", "PeakDemandTracker"]


@dataclass(frozen=True, slots=True)
class PeakDemandOptions:
    """How long peaks are remembered, and the margin on them."""

    slice_s: float = 5.0
    n_slices: int = 60
    n_highest: int = 3
    half_life_s: float = 120.0
    margin: float = 1.1


class PeakDemandTracker:
    """Tracks the recent peak demand of a service, in the caller's unit."""

    def __init__(self, options: PeakDemandOptions | None = None) -> None:
        self._options = options or PeakDemandOptions()
        self._highest: dict[int, float] = {}
        self._current = 0.0

    def observe(self, now_s: float, demand: float) -> None:
        """Record the demand at `now_s`."""
        index = math.floor(now_s / self._options.slice_s)
        self._current = demand
        self._highest[index] = max(self._highest.get(index, 0.0), demand)
        oldest = index - self._options.n_slices
        for known in [known for known in self._highest if known <= oldest]:
            del self._highest[known]

    def expected_peak(self, now_s: float) -> float:
        """Return the predicted peak demand; 0 before any observation."""
        options = self._options
        index = math.floor(now_s / options.slice_s)
        faded = sorted(
            (
                high
                * math.exp2(-(index - known) * options.slice_s / options.half_life_s)
                for known, high in self._highest.items()
            ),
            reverse=True,
        )
        if not faded:
            return 0.0
        top = faded[: options.n_highest]
        return options.margin * sum(top) / len(top)

    def reserve(self, now_s: float) -> float:
        """Return the capacity to reserve on top of the current demand."""
        return max(0.0, self.expected_peak(now_s) - self._current)
