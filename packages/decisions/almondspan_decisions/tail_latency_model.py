"""Learns how much best-effort tasks raise the tail latency of serving tasks.

A serving task's headroom is its latency target over its tail latency: 1 at the target,
more below it. The tail latency of a queue grows with the inverse of its unused
capacity, so the headroom is close to linear in the load. For each serving image

    headroom = level of the job - sum over best-effort images of weight * share in use,

where the share is that of the worker's processors. The level varies with the job's own
load, equally on all workers, and is modelled as a random walk. The interference weight
belongs to a pair of images and hardly changes. One Kalman filter for each serving image
estimates levels and weights. `weight_prediction` adds pairs that never ran together.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.interference_rows import (
    MIN_WEIGHT,
    PRIOR_WEIGHT,
    PRIOR_WEIGHT_VARIANCE,
    Image,
    InterferenceRow,
)
from almondspan_decisions.linear_filter import LinearFilter
from almondspan_decisions.weight_prediction import predict_weights

__all__ = [
    "CAUTIOUS_LEVEL",
    "MIN_WEIGHT",
    "InterferenceRow",
    "InterferenceWeights",
    "Image",
    "TailLatencyModel",
    "TailLatencySample",
]

PRIOR_LEVEL: Final = 2.4
PRIOR_LEVEL_VARIANCE: Final = 0.8
CAUTIOUS_LEVEL: Final = 1.6
"""Level assumed for a serving task that has just started."""
LEVEL_VARIANCE_PER_S: Final = 0.2
"""Variance that a level gains each second."""
WEIGHT_VARIANCE_PER_S: Final = 0.002
CAUTION_DEVIATIONS: Final = 0.5
"""`InterferenceWeights.weight` is this many standard deviations above the mean."""
START_CAUTION_DEVIATIONS: Final = 1.5
"""The same for `InterferenceWeights.upper`, which judges starts at full pace."""
UNKNOWN_WEIGHT: Final = PRIOR_WEIGHT + CAUTION_DEVIATIONS * math.sqrt(
    PRIOR_WEIGHT_VARIANCE
)
UNKNOWN_UPPER: Final = PRIOR_WEIGHT + START_CAUTION_DEVIATIONS * math.sqrt(
    PRIOR_WEIGHT_VARIANCE
)
NOISE_VARIANCE: Final = 0.05
"""Variance of a headroom about the model."""
SATURATED_HEADROOM: Final = 0.4
"""A headroom below this is only an upper bound: a full queue hides by how much its load
exceeds its capacity."""
ROUNDING_DEVIATION_MS: Final = 0.3
"""Standard deviation of a tail latency that was rounded to whole milliseconds."""
MAX_GAP_S: Final = 5.0
"""Longest time between two samples that adds to the variance."""
LEVEL_KEPT_S: Final = 20.0
"""The level of a job without samples for this long is dropped."""
MEAN_S: Final = 10.0
"""Time over which a level is averaged."""
MIN_SHARE: Final = 0.003
"""A smaller share of a worker's processors counts as none."""


@dataclass(frozen=True, slots=True)
class InterferenceWeights:
    """Headroom lost for each whole worker used, by serving and best-effort image."""

    weights: Mapping[tuple[Image, Image], float]
    uppers: Mapping[tuple[Image, Image], float] = field(default_factory=dict)
    """Upper bounds of the weights."""
    means: Mapping[Image, float] = field(default_factory=dict)
    """Mean headroom of a serving image without best-effort tasks, over some seconds."""
    alike: Mapping[tuple[Image, Image], float] = field(default_factory=dict)
    """How likely two serving images are sensitive to the same best-effort images."""

    def weight(self, serving: Image, best_effort: Image) -> float:
        """Return the weight of a pair, or the expected weight of an unknown pair."""
        return self.weights.get((serving, best_effort), UNKNOWN_WEIGHT)

    def upper(self, serving: Image, best_effort: Image) -> float:
        """Return an upper bound of a pair's weight."""
        return self.uppers.get((serving, best_effort), UNKNOWN_UPPER)

    def mean(self, serving: Image) -> float:
        """Return the mean level of an image, or the prior level of an unknown one."""
        return self.means.get(serving, PRIOR_LEVEL)


@dataclass(frozen=True, slots=True)
class TailLatencySample:
    """Observed headroom of the tasks of one job and image on one worker."""

    job_id: JobId
    image: Image
    headroom: float
    """Mean over the tasks of latency target over tail latency."""
    n_tasks: int
    target_ms: float


class _ImageFit:
    """Kalman filter of one serving image."""

    def __init__(self) -> None:
        self._filter: Final = LinearFilter()
        self._level_s: Final[dict[JobId, float]] = {}
        """When each job's level was last observed."""
        self.widened_s: Final[dict[Image, float]] = {}
        """When the variance of each best-effort image's weight was last widened."""
        self.mean = PRIOR_LEVEL
        self._mean_s = 0.0

    def load(self, best_effort: Image, weight: float, variance: float) -> None:
        """Start from a pair's weight in an earlier model."""
        self._filter.add(_weight_name(best_effort), weight, variance)
        self.widened_s[best_effort] = 0.0

    def observe(
        self,
        sample: TailLatencySample,
        best_effort: Mapping[Image, float],
        now_s: float,
    ) -> None:
        """Update the filter with a sample and the shares of best-effort images."""
        self._forget_levels(now_s)
        self._prepare_level(sample.job_id, now_s)
        features = {_level_name(sample.job_id): 1.0}
        for image, share in best_effort.items():
            self._prepare_weight(image, now_s)
            features[_weight_name(image)] = -share
        if not self._is_hidden(features, sample.headroom):
            rounding = sample.headroom**2 / sample.target_ms * ROUNDING_DEVIATION_MS
            noise = rounding**2 / sample.n_tasks + NOISE_VARIANCE
            self._filter.update(features, sample.headroom, noise)
        self._update_mean(self._filter.weight(_level_name(sample.job_id)), now_s)

    def _is_hidden(self, features: Mapping[str, float], headroom: float) -> bool:
        """Return whether a full queue hides a headroom that the model expects."""
        expected = sum(
            self._filter.weight(name) * amount for name, amount in features.items()
        )
        return headroom < SATURATED_HEADROOM and expected < headroom

    def _prepare_level(self, job_id: JobId, now_s: float) -> None:
        name = _level_name(job_id)
        if job_id not in self._level_s:
            self._filter.add(name, PRIOR_LEVEL, PRIOR_LEVEL_VARIANCE)
        else:
            gap_s = min(now_s - self._level_s[job_id], MAX_GAP_S)
            self._filter.widen(name, LEVEL_VARIANCE_PER_S * gap_s)
        self._level_s[job_id] = now_s

    def _prepare_weight(self, image: Image, now_s: float) -> None:
        name = _weight_name(image)
        if image not in self.widened_s:
            self._filter.add(name, PRIOR_WEIGHT, PRIOR_WEIGHT_VARIANCE)
        else:
            gap_s = min(now_s - self.widened_s[image], MAX_GAP_S)
            self._filter.widen(name, WEIGHT_VARIANCE_PER_S * gap_s)
        self.widened_s[image] = now_s

    def _forget_levels(self, now_s: float) -> None:
        old = [
            job_id
            for job_id, seen_s in self._level_s.items()
            if now_s - seen_s > LEVEL_KEPT_S
        ]
        for job_id in old:
            self._filter.drop(_level_name(job_id))
            del self._level_s[job_id]

    def _update_mean(self, level: float, now_s: float) -> None:
        share = min((now_s - self._mean_s) / MEAN_S, 1.0)
        self._mean_s = now_s
        self.mean += share * (level - self.mean)

    def weight(self, best_effort: Image) -> tuple[float, float]:
        """Return the mean and the variance of a known pair's weight."""
        name = _weight_name(best_effort)
        return self._filter.weight(name), self._filter.variance(name)


class TailLatencyModel:
    """Kalman filters of all serving images."""

    def __init__(self) -> None:
        self._fits: Final[dict[Image, _ImageFit]] = {}
        self.n_observed = 0

    def load(
        self, rows: Iterable[InterferenceRow], means: Mapping[Image, float]
    ) -> None:
        """Start from the weights and mean levels of an earlier model."""
        for row in rows:
            fit = self._fits.setdefault(row.serving, _ImageFit())
            fit.load(row.best_effort_image, row.weight, row.variance)
            fit.mean = means.get(row.serving, PRIOR_LEVEL)

    def observe(
        self,
        samples: Iterable[TailLatencySample],
        best_effort: Mapping[Image, float],
        now_s: float,
    ) -> None:
        """Update the model with one worker's samples of one moment.

        Parameters
        ----------
        samples : iterable of TailLatencySample
            One for each job and serving image.
        best_effort : mapping of image to share
            Share of the worker's processors used by each best-effort image.
        now_s : float
            Time of the monotonic clock.
        """
        used = {
            image: share for image, share in best_effort.items() if share > MIN_SHARE
        }
        for sample in samples:
            fit = self._fits.setdefault(sample.image, _ImageFit())
            fit.observe(sample, used, now_s)
            self.n_observed += 1

    def rows(self) -> list[InterferenceRow]:
        """Return the estimated weight of every pair."""
        return [
            InterferenceRow(serving, best_effort, *fit.weight(best_effort))
            for serving, fit in self._fits.items()
            for best_effort in fit.widened_s
        ]

    def latest_rows(self, n_rows: int) -> list[InterferenceRow]:
        """Return the rows of the pairs that were observed last."""
        rows = self.rows()
        if len(rows) <= n_rows:
            return rows
        rows.sort(key=self._observed_s, reverse=True)
        return rows[:n_rows]

    def _observed_s(self, row: InterferenceRow) -> float:
        return self._fits[row.serving].widened_s[row.best_effort_image]

    def weights(self) -> InterferenceWeights:
        """Return the weights and mean levels for scheduling decisions.

        Pairs that were not observed are predicted from images that behaved alike.
        """
        prediction = predict_weights(self.rows())
        rows = prediction.rows
        weights = {
            (row.serving, row.best_effort_image): row.above(CAUTION_DEVIATIONS)
            for row in rows
        }
        uppers = {
            (row.serving, row.best_effort_image): row.above(START_CAUTION_DEVIATIONS)
            for row in rows
        }
        means = {image: fit.mean for image, fit in self._fits.items()}
        return InterferenceWeights(weights, uppers, means, prediction.alike)


def _level_name(job_id: JobId) -> str:
    return f"level {job_id}"


def _weight_name(image: Image) -> str:
    return f"weight {image}"
