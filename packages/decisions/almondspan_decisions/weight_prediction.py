"""Predicts interference weights of pairs of images from images that behaved alike.

Serving images depend on shared resources of a worker, and each best-effort image uses
few of them, so the weights form groups: a pair is either heavy or light, and serving
images of one group lose headroom to the same best-effort images. `predict_weights`
combines the estimates of a linear filter with this:

1. Each observed pair gets a probability of being heavy. It follows from the estimate
   without the filter's prior, and from the share of heavy pairs.
2. Two serving images belong to one group with a probability that follows from the
   best-effort images observed beside both: agreement speaks for it, most of all about
   a heavy pair, and disagreement against it.
3. The other serving images, by these probabilities, tell how likely each pair is heavy.
4. The weight of a pair is the mean of the mixture of heavy and light weights, given its
   own estimate. The variance of the mixture is the uncertainty. Without evidence from
   other serving images a pair keeps the estimate of the filter, or its prior.
"""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.interference_rows import (
    PRIOR_WEIGHT,
    PRIOR_WEIGHT_VARIANCE,
    Image,
    InterferenceRow,
)

__all__ = ["WeightPrediction", "predict_weights"]

HEAVY_MEAN: Final = 6.5
HEAVY_VARIANCE: Final = 4.0
LIGHT_MEAN: Final = 0.9
LIGHT_VARIANCE: Final = 0.25
HEAVY_SHARE: Final = 0.3
"""Expected share of heavy pairs."""
N_PRIOR_PAIRS: Final = 8.0
"""The expected share counts as much as this many observed pairs."""
MAX_HEAVY_SHARE: Final = 0.45
SAME_GROUP_SHARE: Final = 0.25
"""Expected probability that two serving images belong to one group."""
OVERLAP: Final = 0.5
"""How often images of different groups are both sensitive to a best-effort image, over
that of independent images."""
DOUBT: Final = 0.02
"""Least probability of each kind, whatever the estimate of a pair."""
MIN_PRECISION: Final = 0.01
"""A pair that adds less to the precision of the prior counts as unobserved."""
MAX_SERVING: Final = 40
MAX_BEST_EFFORT: Final = 80
"""Further images, those with the fewest pairs, keep the estimates of the filter."""

Pair = tuple[Image, Image]
"""A serving and a best-effort image."""


@dataclass(frozen=True, slots=True)
class _Evidence:
    """Mean and variance of a pair's weight without the prior of the filter."""

    mean: float
    variance: float

    def density(self, mean: float, variance: float) -> float:
        """Return the density of the evidence if weights have this distribution."""
        total = variance + self.variance
        return math.exp(-((self.mean - mean) ** 2) / (2 * total)) / math.sqrt(total)

    def posterior(self, mean: float, variance: float) -> tuple[float, float]:
        """Return mean and variance of the weight, given its distribution."""
        kept = self.variance / (variance + self.variance)
        return self.mean + kept * (mean - self.mean), kept * variance


@dataclass(frozen=True, slots=True)
class WeightPrediction:
    """Weights of all pairs of known images, and which serving images are alike."""

    rows: Sequence[InterferenceRow]
    alike: Mapping[tuple[Image, Image], float] = field(default_factory=dict)
    """Probability that two serving images, in either order, belong to one group, less
    what is expected of any two images; from 0 to 1."""


def predict_weights(rows: Sequence[InterferenceRow]) -> WeightPrediction:
    """Return a row for every pair of the images of some rows."""
    kept = _within_bounds(rows)
    evidence = {
        (row.serving, row.best_effort_image): found
        for row in kept
        if (found := _evidence_of(row)) is not None
    }
    if not evidence:
        return WeightPrediction(rows)
    heavy_share = _heavy_share(evidence.values())
    odds = _GroupOdds(heavy_share)
    ratios = {
        pair: odds.ratios(_heavy_probability(found, heavy_share))
        for pair, found in evidence.items()
    }
    serving = list(dict.fromkeys(row.serving for row in kept))
    best_effort = list(dict.fromkeys(row.best_effort_image for row in kept))
    same: dict[tuple[Image, Image], float] = {}
    for one, other in itertools.combinations(serving, 2):
        probability = odds.same_group(one, other, best_effort, ratios)
        same[(one, other)] = same[(other, one)] = probability
    completed = {(row.serving, row.best_effort_image): row for row in rows}
    for pair in ((one, image) for one in serving for image in best_effort):
        heavy = odds.heavy_probability(pair, serving, same, ratios)
        if heavy is not None:
            completed[pair] = _mixture(pair, heavy, evidence.get(pair))
    alike = {
        pair: max(0.0, probability - SAME_GROUP_SHARE) / (1.0 - SAME_GROUP_SHARE)
        for pair, probability in same.items()
    }
    return WeightPrediction(tuple(completed.values()), alike)


class _GroupOdds:
    """How likely pairs are heavy or light together, within and across groups."""

    def __init__(self, heavy_share: float) -> None:
        light_share = 1.0 - heavy_share
        both = OVERLAP * heavy_share**2
        self._heavy_share: Final = heavy_share
        self._prior: Final = heavy_share / light_share
        # Joint probabilities across groups: both heavy, only one, both light.
        self._across: Final = (
            both,
            heavy_share - both,
            light_share - heavy_share + both,
        )

    def ratios(self, probability: float) -> tuple[float, float]:
        """Return how much more likely a pair is heavy, and light, than expected."""
        return (
            probability / self._heavy_share,
            (1.0 - probability) / (1.0 - self._heavy_share),
        )

    def same_group(
        self,
        one: Image,
        other: Image,
        best_effort: Iterable[Image],
        ratios: Mapping[Pair, tuple[float, float]],
    ) -> float:
        """Return the probability that two serving images belong to one group."""
        odds = SAME_GROUP_SHARE / (1.0 - SAME_GROUP_SHARE)
        share = self._heavy_share
        both, one_only, none = self._across
        for image in best_effort:
            a, b = ratios.get((one, image)), ratios.get((other, image))
            if a is None or b is None:
                continue
            within = share * a[0] * b[0] + (1.0 - share) * a[1] * b[1]
            across = both * a[0] * b[0] + none * a[1] * b[1]
            across += one_only * (a[0] * b[1] + a[1] * b[0])
            odds *= within / across
        return _probability(odds)

    def heavy_probability(
        self,
        pair: Pair,
        serving: Iterable[Image],
        same: Mapping[Pair, float],
        ratios: Mapping[Pair, tuple[float, float]],
    ) -> float | None:
        """Return the probability of a heavy pair by other images; None if unknown."""
        image, best_effort = pair
        share = self._heavy_share
        both, one_only, none = self._across
        odds, n_found = self._prior, 0
        for other in serving:
            found = ratios.get((other, best_effort))
            if found is None or other == image:
                continue
            n_found += 1
            group = same[(image, other)]
            apart = 1.0 - group
            as_heavy = group + apart * both / share
            if_heavy = as_heavy * found[0] + apart * one_only / share * found[1]
            if_light = apart * one_only / (1.0 - share) * found[0]
            if_light += (group + apart * none / (1.0 - share)) * found[1]
            odds *= if_heavy / if_light
        return _probability(odds) if n_found else None


def _within_bounds(rows: Sequence[InterferenceRow]) -> Sequence[InterferenceRow]:
    serving = Counter(row.serving for row in rows)
    best_effort = Counter(row.best_effort_image for row in rows)
    if len(serving) <= MAX_SERVING and len(best_effort) <= MAX_BEST_EFFORT:
        return rows
    kept_serving = {image for image, _ in serving.most_common(MAX_SERVING)}
    kept = {image for image, _ in best_effort.most_common(MAX_BEST_EFFORT)}
    return [
        row
        for row in rows
        if row.serving in kept_serving and row.best_effort_image in kept
    ]


def _evidence_of(row: InterferenceRow) -> _Evidence | None:
    """Return what the samples alone say of a pair; None if that is next to nothing."""
    precision = 1.0 / max(row.variance, 1e-6) - 1.0 / PRIOR_WEIGHT_VARIANCE
    if precision < MIN_PRECISION:
        return None
    total = row.weight / max(row.variance, 1e-6) - PRIOR_WEIGHT / PRIOR_WEIGHT_VARIANCE
    return _Evidence(total / precision, 1.0 / precision)


def _heavy_share(evidence: Iterable[_Evidence]) -> float:
    found = [_heavy_probability(item, HEAVY_SHARE) for item in evidence]
    share = (sum(found) + N_PRIOR_PAIRS * HEAVY_SHARE) / (len(found) + N_PRIOR_PAIRS)
    return min(share, MAX_HEAVY_SHARE)


def _heavy_probability(evidence: _Evidence, expected: float) -> float:
    """Return the probability that a pair is heavy by its own evidence."""
    heavy = expected * evidence.density(HEAVY_MEAN, HEAVY_VARIANCE)
    light = (1.0 - expected) * evidence.density(LIGHT_MEAN, LIGHT_VARIANCE)
    if heavy + light > 0.0:
        share = heavy / (heavy + light)
    else:
        share = float(evidence.mean > PRIOR_WEIGHT)
    return DOUBT + (1.0 - 2 * DOUBT) * share


def _mixture(pair: Pair, heavy: float, own: _Evidence | None) -> InterferenceRow:
    """Return the weight of a pair that is heavy with some probability."""
    heavy_mean, heavy_variance = HEAVY_MEAN, HEAVY_VARIANCE
    light_mean, light_variance = LIGHT_MEAN, LIGHT_VARIANCE
    if own is not None:
        heavy = _heavy_probability(own, heavy)
        heavy_mean, heavy_variance = own.posterior(heavy_mean, heavy_variance)
        light_mean, light_variance = own.posterior(light_mean, light_variance)
    mean = heavy * heavy_mean + (1.0 - heavy) * light_mean
    variance = heavy * (heavy_variance + (heavy_mean - mean) ** 2)
    variance += (1.0 - heavy) * (light_variance + (light_mean - mean) ** 2)
    return InterferenceRow(*pair, mean, variance)


def _probability(odds: float) -> float:
    return 1.0 if math.isinf(odds) else odds / (1.0 + odds)
