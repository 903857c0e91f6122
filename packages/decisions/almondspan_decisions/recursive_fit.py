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

from almondspan_decisions.linear_filter import LinearFilter

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
        self._filter = LinearFilter()
        self._priors: dict[str, FeaturePrior] = {}
        self._seen_s: dict[str, float] = {}
        self._at_s: float | None = None

    def add_feature(self, name: str, prior: FeaturePrior, now_s: float) -> None:
        """Add a feature unless it is known."""
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
        """Move the weights towards a sample; all its features must be known.

        ``noise_variance`` is that of the sample about the fit.
        """
        self._widen(now_s)
        present = {name: amount for name, amount in features.items() if amount}
        self._seen_s.update(dict.fromkeys(present, now_s))
        self._filter.update(present, value, noise_variance)
        for name, prior in self._priors.items():
            if prior.is_positive and self._filter.weight(name) < 0.0:
                self._filter.set_weight(name, 0.0)

    def _widen(self, now_s: float) -> None:
        """Let weights and variances return to the prior for the time passed."""
        elapsed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if elapsed_s == 0.0:
            return
        kept = 0.5 ** (elapsed_s / self._half_life_s)
        for name, prior in self._priors.items():
            self._filter.scale(name, prior.mean, kept)
            self._filter.widen(name, (1.0 - kept) * prior.variance)

    def weight(self, name: str) -> float:
        """Return a feature's weight; 0 when it is not known."""
        return self._filter.weight(name)

    def confidence(self, name: str) -> float:
        """Return 1 less the part of the prior variance that is left."""
        if name not in self._filter:
            return 0.0
        left = self._filter.variance(name) / self._priors[name].variance
        return max(0.0, min(1.0, 1.0 - left))

    def names(self) -> tuple[str, ...]:
        """Return the known features."""
        return self._filter.names()
