"""A linear fit that takes one sample at a time and follows slow changes.

The weights are those of a Kalman filter whose state walks at random: every weight
has a prior mean and variance, each sample narrows the variances along its features,
and time lets means and variances return to the prior. Size is the square of the
number of features, which is bounded; the feature seen longest ago makes room for a
new one.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

__all__ = ["FeaturePrior", "RecursiveFit"]

MAX_FEATURES: Final = 16


@dataclass(frozen=True, slots=True)
class FeaturePrior:
    """What is assumed of a feature's weight before any sample."""

    mean: float
    variance: float
    is_positive: bool = False


class RecursiveFit:
    """Weights of named features, fitted to samples with noise.

    Parameters
    ----------
    half_life_s : the time in which half of the prior variance comes back.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._names: list[str] = []
        self._priors: list[FeaturePrior] = []
        self._seen_s: list[float] = []
        self._weights: list[float] = []
        self._covariance: list[list[float]] = []
        self._at_s: float | None = None

    def add_feature(self, name: str, prior: FeaturePrior, now_s: float) -> None:
        """Add a feature unless it is known."""
        if name in self._names:
            return
        if len(self._names) >= MAX_FEATURES:
            self._drop(self._seen_s.index(min(self._seen_s)))
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append([0.0] * len(self._names) + [prior.variance])
        self._names.append(name)
        self._priors.append(prior)
        self._seen_s.append(now_s)
        self._weights.append(prior.mean)

    def _drop(self, index: int) -> None:
        for row in self._covariance:
            del row[index]
        for held in (
            self._names,
            self._priors,
            self._seen_s,
            self._weights,
            self._covariance,
        ):
            del held[index]

    def observe(
        self,
        now_s: float,
        features: Mapping[str, float],
        value: float,
        noise_variance: float,
    ) -> None:
        """Move the weights towards a sample; all its features must be known.

        ``noise_variance`` is that of the sample about the fit.
        """
        self._widen(now_s)
        row = [features.get(name, 0.0) for name in self._names]
        spread = [_dot(line, row) for line in self._covariance]
        gain = 1.0 / (noise_variance + _dot(row, spread))
        error = value - _dot(self._weights, row)
        for i, spread_i in enumerate(spread):
            if row[i] != 0.0:
                self._seen_s[i] = now_s
            moved = self._weights[i] + gain * spread_i * error
            self._weights[i] = max(0.0, moved) if self._priors[i].is_positive else moved
            line = self._covariance[i]
            for j, spread_j in enumerate(spread):
                line[j] -= gain * spread_i * spread_j

    def _widen(self, now_s: float) -> None:
        """Let weights and variances return to the prior for the time passed."""
        elapsed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if elapsed_s == 0.0:
            return
        kept = 0.5 ** (elapsed_s / self._half_life_s)
        for i, prior in enumerate(self._priors):
            line = self._covariance[i]
            for j in range(len(line)):
                line[j] *= kept
            line[i] += (1.0 - kept) * prior.variance
            self._weights[i] = prior.mean + kept * (self._weights[i] - prior.mean)

    def weight(self, name: str) -> float:
        """Return a feature's weight; 0 when it is not known."""
        return self._weights[self._names.index(name)] if name in self._names else 0.0

    def confidence(self, name: str) -> float:
        """Return 1 less the part of the prior variance that is left."""
        if name not in self._names:
            return 0.0
        index = self._names.index(name)
        left = self._covariance[index][index] / self._priors[index].variance
        return max(0.0, min(1.0, 1.0 - left))

    def names(self) -> tuple[str, ...]:
        """Return the known features."""
        return tuple(self._names)


def _dot(left: list[float], right: list[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))
