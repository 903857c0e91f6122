"""Learns how much tasks that fill raise the tail latency of tasks that serve.

For each image that serves, a linear model: the tail latency over its target is a base
plus, for each image that fills on the same worker, a weight times the processors it
uses there. Observations of all workers are summed into normal equations, older ones
with less weight. `solve` finds the weights by coordinate descent; they are never
negative, and a ridge keeps what was seen little near zero.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, NewType

__all__ = ["HarmTable", "Image", "TailModel"]

Image = NewType("Image", str)
"""What a task runs; tasks of one image behave alike."""

RIDGE: Final = 3.0
"""Added to each weight's diagonal, in observations times processors squared."""
KEPT_SHARE: Final = 0.9995
"""What an observation keeps of its weight when the next one of its image arrives."""
N_SWEEPS: Final = 12
MAX_SHARE: Final = 3.0
"""Tails over this multiple of the target count as this much."""


@dataclass(frozen=True, slots=True)
class HarmTable:
    """Tail latency over target added per processor, by serving and filling image."""

    weights: Mapping[tuple[Image, Image], float]
    bases: Mapping[Image, float]
    """Tail latency over target without tasks that fill."""

    @classmethod
    def from_rows(
        cls, rows: Iterable[tuple[str, str, float]], bases: Mapping[str, float]
    ) -> "HarmTable":
        """Return the table of rows of serving image, filling image and weight."""
        weights = {
            (Image(serving), Image(filling)): weight
            for serving, filling, weight in rows
        }
        return cls(weights, {Image(image): base for image, base in bases.items()})

    def weight(self, serving: Image, filling: Image) -> float:
        """Return what one processor of an image adds; 0 when nothing is known."""
        return self.weights.get((serving, filling), 0.0)


@dataclass(slots=True)
class _Sums:
    """Normal equations of one serving image; row and column 0 are the base."""

    columns: list[Image] = field(default_factory=list)
    gram: list[list[float]] = field(default_factory=lambda: [[0.0]])
    moments: list[float] = field(default_factory=lambda: [0.0])

    def column(self, filling: Image) -> int:
        """Return the row of an image, adding it when it is new."""
        if filling not in self.columns:
            self.columns.append(filling)
            for row in self.gram:
                row.append(0.0)
            self.gram.append([0.0] * (len(self.columns) + 1))
            self.moments.append(0.0)
        return self.columns.index(filling) + 1

    def add(self, values: Sequence[tuple[int, float]], share: float) -> None:
        """Add an observation of the given columns."""
        for row in self.gram:
            for index in range(len(row)):
                row[index] *= KEPT_SHARE
        for index in range(len(self.moments)):
            self.moments[index] *= KEPT_SHARE
        for row_index, row_value in values:
            self.moments[row_index] += row_value * share
            row = self.gram[row_index]
            for index, value in values:
                row[index] += row_value * value

    def solve(self) -> list[float]:
        """Return the base and the weights."""
        size = len(self.moments)
        weights = [0.0] * size
        for _ in range(N_SWEEPS):
            for index in range(size):
                row = self.gram[index]
                rest = sum(row[other] * weights[other] for other in range(size))
                rest -= row[index] * weights[index]
                diagonal = row[index] + (RIDGE if index else 0.0)
                if diagonal > 0:
                    weights[index] = max(0.0, (self.moments[index] - rest) / diagonal)
        return weights


class TailModel:
    """The models of all serving images."""

    def __init__(self) -> None:
        self._sums: Final[dict[Image, _Sums]] = {}
        self.n_observed = 0

    def observe(
        self,
        serving: Sequence[tuple[Image, float]],
        filling: Mapping[Image, float],
    ) -> None:
        """Add what one worker showed at one moment.

        Parameters
        ----------
        serving : sequence of (image, share)
            Tail latency over target of each serving task.
        filling : mapping of image to processors
            Processors in use by the tasks that fill.
        """
        for image, share in serving:
            sums = self._sums.setdefault(image, _Sums())
            values = [(0, 1.0)]
            values += [
                (sums.column(fill), cores) for fill, cores in filling.items() if cores
            ]
            sums.add(values, min(share, MAX_SHARE))
            self.n_observed += 1

    def solve(self) -> HarmTable:
        """Return the present weights."""
        weights: dict[tuple[Image, Image], float] = {}
        bases: dict[Image, float] = {}
        for image, sums in self._sums.items():
            base, *rest = sums.solve()
            bases[image] = base
            for fill, weight in zip(sums.columns, rest, strict=True):
                weights[(image, fill)] = weight
        return HarmTable(weights, bases)
