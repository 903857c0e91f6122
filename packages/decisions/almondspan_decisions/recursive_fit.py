"""Recursive linear regression that follows slow changes.

The weights are the state of a Kalman filter: every weight has a prior mean and
variance, each sample narrows the variances along its features, and over time means and
variances decay back to the prior. Memory grows with the square of the number of
features, which is bounded: a new feature replaces the one seen longest ago.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.linear_filter import LinearFilter

__all__ = ["FeaturePrior", "RecursiveFit"]

MAX_FEATURES: Final = 16


@dataclass(frozen=True, slots=True)
class FeaturePrior:
    """Prior distribution of a feature's weight."""

    mean: float
    variance: float
    is_positive: bool = False


class RecursiveFit:
    """Weights of named features, fitted to noisy samples.

    Parameters
    ----------
    half_life_s : time in which weights decay halfway back to their prior.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._filter = LinearFilter()
        self._priors: dict[str, FeaturePrior] = {}
        self._seen_s: dict[str, float] = {}
        self._at_s: float | None = None

    def add_feature(self, name: str, prior: FeaturePrior, now_s: float) -> None:
        """Add a feature unless it exists."""
        if name in self._filter:
            return
        if len(self._priors) >= MAX_FEATURES:
            self._drop(min(self._seen_s, key=self._seen_s.__getitem__))
        self._filter.add(name, prior.mean, prior.variance)
        self._priors[name] = prior
        self._seen_s[name] = now_s

    def _drop(self, name: str) -> None:
        self._filter.drop(name)
        del self._priors[name], self._seen_s[name]

    def observe(
        self,
        now_s: float,
        features: Mapping[str, float],
        value: float,
        noise_variance: float,
    ) -> None:
        """Update the weights with a sample; all its features must have been added.

        ``noise_variance`` is the variance of the sample about the fit.
        """
        self._widen(now_s)
        present = {name: amount for name, amount in features.items() if amount}
        self._seen_s.update(dict.fromkeys(present, now_s))
        self._filter.update(present, value, noise_variance)
        for name, prior in self._priors.items():
            if prior.is_positive and self._filter.weight(name) < 0.0:
                self._filter.set_weight(name, 0.0)

    def _widen(self, now_s: float) -> None:
        """Decay weights and variances towards the prior for the time passed."""
        elapsed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if elapsed_s == 0.0:
            return
        kept = 0.5 ** (elapsed_s / self._half_life_s)
        for name, prior in self._priors.items():
            self._filter.scale(name, prior.mean, kept)
            self._filter.widen(name, (1.0 - kept) * prior.variance)

    def weight(self, name: str) -> float:
        """Return the weight of a feature; 0 if it does not exist."""
        return self._filter.weight(name)

    def confidence(self, name: str) -> float:
        """Return 1 less the share of the prior variance that remains."""
        if name not in self._filter:
            return 0.0
        left = self._filter.variance(name) / self._priors[name].variance
        return max(0.0, min(1.0, 1.0 - left))

    def names(self) -> tuple[str, ...]:
        """Return the names of all features."""
        return self._filter.names()
