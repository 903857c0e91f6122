"""Forecasts a level that swings about a mean with an unknown period.

The load of serving tasks varies nearly as a sine. For each of a few periods a linear
filter estimates

    level(t) = mean + a * cos(2 pi t / period) + b * sin(2 pi t / period),

where the coefficients may drift. The period with the least recent error of prediction
gives the forecasts. A level far below its prediction is taken as a new mean at once.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.linear_filter import LinearFilter

__all__ = ["SwingingLevel"]

PERIODS_S: Final = (7.0, 8.5, 10.0, 12.0, 14.0, 20.0)
FIRST_PERIOD_S: Final = 10.0
"""Used until another period has predicted better."""
PRIOR_MEAN: Final = 2.4
PRIOR_MEAN_VARIANCE: Final = 0.3
PRIOR_SWING_VARIANCE: Final = 0.4
MEAN_VARIANCE_PER_S: Final = 0.02
SWING_VARIANCE_PER_S: Final = 0.05
NOISE_VARIANCE: Final = 0.04
ERROR_KEPT: Final = 0.95
"""Share of a period's mean squared error that is kept with each observation."""
SWITCH_RATIO: Final = 0.8
"""Another period is used once its error is this much smaller."""
JUMP: Final = 0.6
"""A level this far below its prediction has a new mean."""
SETTLED_S: Final = 1.5
"""Before, the level is not expected to be above the latest observation."""
MAX_RISE: Final = 0.4
"""Later it is expected to be above that by this much at most."""
MAX_GAP_S: Final = 5.0
"""Longest time between two observations that adds to the variances."""
MEAN, COSINE, SINE = "mean", "cosine", "sine"


@dataclass(slots=True)
class _Harmonic:
    """Level with one period."""

    period_s: float
    filter: LinearFilter = field(default_factory=LinearFilter)
    squared_error: float = 0.0

    def __post_init__(self) -> None:
        self.filter.add(MEAN, PRIOR_MEAN, PRIOR_MEAN_VARIANCE)
        self.filter.add(COSINE, 0.0, PRIOR_SWING_VARIANCE)
        self.filter.add(SINE, 0.0, PRIOR_SWING_VARIANCE)

    def _features(self, at_s: float) -> dict[str, float]:
        angle = 2 * math.pi * at_s / self.period_s
        return {MEAN: 1.0, COSINE: math.cos(angle), SINE: math.sin(angle)}

    def at(self, at_s: float) -> float:
        """Return the level expected at a time."""
        features = self._features(at_s)
        return sum(self.filter.weight(name) * part for name, part in features.items())

    def update(self, observed: float, gap_s: float, now_s: float) -> None:
        error = observed - self.at(now_s)
        self.squared_error *= ERROR_KEPT
        self.squared_error += (1.0 - ERROR_KEPT) * error**2
        self.filter.widen(MEAN, MEAN_VARIANCE_PER_S * gap_s)
        self.filter.widen(COSINE, SWING_VARIANCE_PER_S * gap_s)
        self.filter.widen(SINE, SWING_VARIANCE_PER_S * gap_s)
        if error < -JUMP:
            self.filter.widen(MEAN, error**2)
        self.filter.update(self._features(now_s), observed, NOISE_VARIANCE)


class SwingingLevel:
    """A level with its mean, its swing and its period."""

    def __init__(self, observed: float, now_s: float) -> None:
        self._begun_s: Final = now_s
        self._at_s = now_s
        self._observed = observed
        self._harmonics: Final = [_Harmonic(period_s) for period_s in PERIODS_S]
        self._best = next(
            harmonic
            for harmonic in self._harmonics
            if harmonic.period_s == FIRST_PERIOD_S
        )
        for harmonic in self._harmonics:
            harmonic.update(observed, 0.0, now_s)
            harmonic.squared_error = 0.0

    def update(self, observed: float, now_s: float) -> None:
        """Update the estimates with an observed level."""
        gap_s = min(now_s - self._at_s, MAX_GAP_S)
        if gap_s <= 0:
            return
        self._at_s, self._observed = now_s, observed
        for harmonic in self._harmonics:
            harmonic.update(observed, gap_s, now_s)
        least = min(self._harmonics, key=lambda harmonic: harmonic.squared_error)
        if least.squared_error < SWITCH_RATIO * self._best.squared_error:
            self._best = least

    def lowest(self, begin_s: float, end_s: float) -> float:
        """Return the lowest level expected from `begin_s` to `end_s` after now."""
        is_settled = self._at_s - self._begun_s >= SETTLED_S
        times_s = (begin_s, (begin_s + end_s) / 2, end_s)
        return min(
            self._observed + (MAX_RISE if is_settled else 0.0),
            *(self._best.at(self._at_s + after_s) for after_s in times_s),
        )
