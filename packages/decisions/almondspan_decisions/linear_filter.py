"""Kalman filter for the weights of a linear model of named features.

The state is the mean weight of each feature and the covariance of the weights.
`LinearFilter.update` moves the weights towards a sample and narrows the variances along
its features; `LinearFilter.widen` adds process noise. The cost of a sample grows with
the square of the number of features.
"""

from collections.abc import Mapping
from typing import Final

__all__ = ["LinearFilter"]


class LinearFilter:
    """Means and covariance of the weights of named features."""

    def __init__(self) -> None:
        self._index: Final[dict[str, int]] = {}
        self._weights: Final[list[float]] = []
        self._covariance: Final[list[list[float]]] = []

    def __contains__(self, name: str) -> bool:
        return name in self._index

    def names(self) -> tuple[str, ...]:
        """Return the features in the order in which they were added."""
        return tuple(self._index)

    def add(self, name: str, mean: float, variance: float) -> None:
        """Add a feature that is independent of the others."""
        for line in self._covariance:
            line.append(0.0)
        self._covariance.append([0.0] * len(self._index) + [variance])
        self._weights.append(mean)
        self._index[name] = len(self._index)

    def drop(self, name: str) -> None:
        """Remove a feature."""
        index = self._index[name]
        del self._weights[index], self._covariance[index]
        for line in self._covariance:
            del line[index]
        names = [other for other in self._index if other != name]
        self._index.clear()
        self._index.update((other, n) for n, other in enumerate(names))

    def weight(self, name: str) -> float:
        """Return the mean weight of a feature; 0 if it does not exist."""
        index = self._index.get(name)
        return self._weights[index] if index is not None else 0.0

    def variance(self, name: str) -> float:
        """Return the variance of an existing feature's weight."""
        index = self._index[name]
        return self._covariance[index][index]

    def widen(self, name: str, variance: float) -> None:
        """Add to the variance of an existing feature's weight."""
        index = self._index[name]
        self._covariance[index][index] += variance

    def scale(self, name: str, mean: float, kept: float) -> None:
        """Scale a weight's distance from `mean` and its covariance row by `kept`."""
        index = self._index[name]
        self._weights[index] = mean + kept * (self._weights[index] - mean)
        line = self._covariance[index]
        for other in range(len(line)):
            line[other] *= kept

    def update(
        self, features: Mapping[str, float], value: float, noise_variance: float
    ) -> None:
        """Update the weights with a sample; all its features must have been added.

        Parameters
        ----------
        features : mapping of feature to amount
            Missing features count as 0.
        value : float
            The observed value.
        noise_variance : float
            Variance of the sample about the model.
        """
        row = [(self._index[name], amount) for name, amount in features.items()]
        spread = [
            sum(line[index] * amount for index, amount in row)
            for line in self._covariance
        ]
        error = value - sum(self._weights[index] * amount for index, amount in row)
        gain = 1.0 / (noise_variance + sum(spread[i] * amount for i, amount in row))
        moved = [(index, part) for index, part in enumerate(spread) if part != 0.0]
        for index, part in moved:
            step = gain * part
            self._weights[index] += step * error
            line = self._covariance[index]
            for other, other_part in moved:
                line[other] -= step * other_part

    def set_weight(self, name: str, mean: float) -> None:
        """Set the mean weight of an existing feature."""
        self._weights[self._index[name]] = mean
