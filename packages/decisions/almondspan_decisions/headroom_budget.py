"""Tracks how much headroom the serving tasks of one worker leave to best-effort tasks.

The load of serving tasks varies, with its own phase for each job, so what best-effort
tasks get is set by the task that is nearest to its target at each time.
`HeadroomBudget` averages, over about a period of the load, the headroom above the
pacer's target: for each serving image, and for the lowest of the worker.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.best_effort_pacing import TARGET_HEADROOM
from almondspan_decisions.interference_rows import Image

__all__ = ["HeadroomBudget"]

MEAN_S: Final = 10.0
"""Time over which a budget is averaged."""
MIN_OBSERVED_S: Final = 4.0
"""A budget observed for less time is not representative of the load's period."""


@dataclass(slots=True)
class _Average:
    """An average over the recent past."""

    value: float
    begun_s: float
    at_s: float

    def update(self, observed: float, now_s: float) -> None:
        # At first all observations have equal weight.
        span_s = min(now_s - self.begun_s, MEAN_S)
        share = min((now_s - self.at_s) / span_s, 1.0) if span_s > 0 else 1.0
        self.value += share * (observed - self.value)
        self.at_s = now_s

    @property
    def is_settled(self) -> bool:
        """Whether it covers enough time."""
        return self.at_s - self.begun_s >= MIN_OBSERVED_S


@dataclass(slots=True)
class HeadroomBudget:
    """Average headroom above the target on one worker."""

    by_image: dict[Image, _Average] = field(default_factory=dict)
    lowest: _Average | None = None

    def observe(self, levels: Mapping[Image, float], now_s: float) -> None:
        """Add the lowest level of each serving image in one poll."""
        for image in [image for image in self.by_image if image not in levels]:
            del self.by_image[image]
        if not levels:
            self.lowest = None
            return
        budgets = {
            image: max(level - TARGET_HEADROOM, 0.0) for image, level in levels.items()
        }
        for image, budget in budgets.items():
            average = self.by_image.setdefault(image, _Average(budget, now_s, now_s))
            average.update(budget, now_s)
        lowest = min(budgets.values())
        if self.lowest is None:
            self.lowest = _Average(lowest, now_s, now_s)
        self.lowest.update(lowest, now_s)

    def of(self, image: Image) -> float | None:
        """Return the budget of one image; None if it is not known yet."""
        average = self.by_image.get(image)
        return average.value if average is not None and average.is_settled else None

    def of_all(self) -> float | None:
        """Return the budget of all images together; None if it is not known yet."""
        average = self.lowest
        return average.value if average is not None and average.is_settled else None
