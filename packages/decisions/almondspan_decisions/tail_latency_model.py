"""Learns how much tasks that fill cost tasks that serve in tail latency.

A serving task's headroom is its target over its tail latency: 1 at the target, more
below it. The tail of a queue grows with the inverse of what is left of its capacity, so
the headroom is close to linear in the load: for each serving image

    headroom = level of the job - sum over filling images of weight * share in use,

where the share is that of the worker's processors. The level swings with the job's own
load, equally on all workers, and walks at random in the model; the weights are those of
a pair of images and hardly change. One Kalman filter for each serving image estimates
both.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, NewType

from almondspan_decisions.ids import JobId
from almondspan_decisions.linear_filter import LinearFilter

__all__ = [
    "PRIOR_LOW",
    "InterferenceRow",
    "InterferenceWeights",
    "Image",
    "TailLatencyModel",
    "TailLatencySample",
]

Image = NewType("Image", str)
"""What a task runs; tasks of one image behave alike."""

PRIOR_LEVEL: Final = 2.4
PRIOR_LEVEL_VARIANCE: Final = 0.8
PRIOR_LOW: Final = 1.6
"""The level to reckon with for a task that has just begun to serve."""
LEVEL_WALK_PER_S: Final = 0.2
"""Variance that a level gains each second."""
PRIOR_WEIGHT: Final = 2.5
"""Weight of a pair that was never seen."""
PRIOR_WEIGHT_VARIANCE: Final = 11.0
WEIGHT_WALK_PER_S: Final = 0.002
CAUTION: Final = 0.5
"""Weights are told this many standard deviations above their mean."""
START_CAUTION: Final = 1.5
"""The same for a start, which is at full pace at once."""
MIN_WEIGHT: Final = 0.7
"""Every image costs this much at least."""
UNKNOWN_WEIGHT: Final = PRIOR_WEIGHT + CAUTION * math.sqrt(PRIOR_WEIGHT_VARIANCE)
UNKNOWN_UPPER: Final = PRIOR_WEIGHT + START_CAUTION * math.sqrt(PRIOR_WEIGHT_VARIANCE)
NOISE_VARIANCE: Final = 0.05
"""Of a headroom about the model."""
SATURATED: Final = 0.4
"""A headroom below this says only that the sum is not above it: a full queue hides by
how much its load exceeds its capacity."""
ROUNDING_DEVIATION_MS: Final = 0.3
"""Of a tail latency that was rounded to whole milliseconds."""
MAX_GAP_S: Final = 5.0
"""Time between two samples that counts for the walks at most."""
LEVEL_KEPT_S: Final = 20.0
"""The level of a job that was not seen for so long is forgotten."""
MEAN_S: Final = 10.0
"""The time over which a level's mean is taken."""
MIN_SHARE: Final = 0.003
"""A smaller share of a worker's processors counts as none."""


@dataclass(frozen=True, slots=True)
class InterferenceRow:
    """What is known of one pair: headroom lost to a whole worker of the image."""

    serving: Image
    filling: Image
    weight: float
    variance: float

    def above(self, n_deviations: float) -> float:
        """Return the weight with so many standard deviations added."""
        deviation = math.sqrt(max(self.variance, 0.0))
        return max(MIN_WEIGHT, self.weight + n_deviations * deviation)


@dataclass(frozen=True, slots=True)
class InterferenceWeights:
    """Headroom lost for each whole worker used, by serving and filling image."""

    weights: Mapping[tuple[Image, Image], float]
    uppers: Mapping[tuple[Image, Image], float] = field(default_factory=dict)
    """Cautious weights."""
    means: Mapping[Image, float] = field(default_factory=dict)
    """The headroom of a serving image without tasks that fill, over some seconds."""

    def weight(self, serving: Image, filling: Image) -> float:
        """Return a pair's weight, of an unknown pair the expected one."""
        return self.weights.get((serving, filling), UNKNOWN_WEIGHT)

    def upper(self, serving: Image, filling: Image) -> float:
        """Return a weight that a pair hardly exceeds."""
        return self.uppers.get((serving, filling), UNKNOWN_UPPER)

    def mean(self, serving: Image) -> float:
        """Return an image's mean level, of an unknown image the expected one."""
        return self.means.get(serving, PRIOR_LEVEL)


@dataclass(frozen=True, slots=True)
class TailLatencySample:
    """What the tasks of one job and image showed on one worker."""

    job_id: JobId
    image: Image
    headroom: float
    """Mean of the tasks' target over tail latency."""
    n_tasks: int
    target_ms: float


class _ImageFit:
    """The filter of one serving image."""

    def __init__(self) -> None:
        self._filter: Final = LinearFilter()
        self._level_s: Final[dict[JobId, float]] = {}
        """When each job's level was last seen."""
        self.fills: Final[dict[Image, float]] = {}
        """When each filling image's weight was last widened."""
        self.mean = PRIOR_LEVEL
        self._mean_s = 0.0

    def load(self, filling: Image, weight: float, variance: float) -> None:
        """Begin with what an earlier model knew of a pair."""
        self._filter.add(_fill_name(filling), weight, variance)
        self.fills[filling] = 0.0

    def observe(
        self, sample: TailLatencySample, filling: Mapping[Image, float], now_s: float
    ) -> None:
        """Take in one sample beside the shares of the images that fill."""
        self._forget_levels(now_s)
        self._prepare_level(sample.job_id, now_s)
        features = {_level_name(sample.job_id): 1.0}
        for image, share in filling.items():
            self._prepare_fill(image, now_s)
            features[_fill_name(image)] = -share
        if not self._is_hidden(features, sample.headroom):
            rounding = sample.headroom**2 / sample.target_ms * ROUNDING_DEVIATION_MS
            noise = rounding**2 / sample.n_tasks + NOISE_VARIANCE
            self._filter.update(features, sample.headroom, noise)
        self._follow_mean(self._filter.weight(_level_name(sample.job_id)), now_s)

    def _is_hidden(self, features: Mapping[str, float], headroom: float) -> bool:
        """Tell whether a full queue hides what the model expects below it."""
        expected = sum(
            self._filter.weight(name) * amount for name, amount in features.items()
        )
        return headroom < SATURATED and expected < headroom

    def _prepare_level(self, job_id: JobId, now_s: float) -> None:
        name = _level_name(job_id)
        if job_id not in self._level_s:
            self._filter.add(name, PRIOR_LEVEL, PRIOR_LEVEL_VARIANCE)
        else:
            gap_s = min(now_s - self._level_s[job_id], MAX_GAP_S)
            self._filter.widen(name, LEVEL_WALK_PER_S * gap_s)
        self._level_s[job_id] = now_s

    def _prepare_fill(self, image: Image, now_s: float) -> None:
        name = _fill_name(image)
        if image not in self.fills:
            self._filter.add(name, PRIOR_WEIGHT, PRIOR_WEIGHT_VARIANCE)
        else:
            gap_s = min(now_s - self.fills[image], MAX_GAP_S)
            self._filter.widen(name, WEIGHT_WALK_PER_S * gap_s)
        self.fills[image] = now_s

    def _forget_levels(self, now_s: float) -> None:
        old = [
            job_id
            for job_id, seen_s in self._level_s.items()
            if now_s - seen_s > LEVEL_KEPT_S
        ]
        for job_id in old:
            self._filter.drop(_level_name(job_id))
            del self._level_s[job_id]

    def _follow_mean(self, level: float, now_s: float) -> None:
        share = min((now_s - self._mean_s) / MEAN_S, 1.0)
        self._mean_s = now_s
        self.mean += share * (level - self.mean)

    def weight(self, filling: Image) -> tuple[float, float]:
        """Return the mean and the variance of a known pair's weight."""
        name = _fill_name(filling)
        return self._filter.weight(name), self._filter.variance(name)


class TailLatencyModel:
    """The filters of all serving images."""

    def __init__(self) -> None:
        self._fits: Final[dict[Image, _ImageFit]] = {}
        self.n_observed = 0

    def load(
        self, rows: Iterable[InterferenceRow], means: Mapping[Image, float]
    ) -> None:
        """Begin with what an earlier model knew."""
        for row in rows:
            fit = self._fits.setdefault(row.serving, _ImageFit())
            fit.load(row.filling, row.weight, row.variance)
            fit.mean = means.get(row.serving, PRIOR_LEVEL)

    def observe(
        self,
        samples: Iterable[TailLatencySample],
        filling: Mapping[Image, float],
        now_s: float,
    ) -> None:
        """Add what one worker showed at one moment.

        Parameters
        ----------
        samples : iterable of TailSample
            One for each job and serving image.
        filling : mapping of image to share
            Share of the worker's processors in use by the tasks that fill.
        now_s : float
            The steady clock.
        """
        used = {image: share for image, share in filling.items() if share > MIN_SHARE}
        for sample in samples:
            fit = self._fits.setdefault(sample.image, _ImageFit())
            fit.observe(sample, used, now_s)
            self.n_observed += 1

    def rows(self) -> list[InterferenceRow]:
        """Return what is known of every pair."""
        return [
            InterferenceRow(serving, filling, *fit.weight(filling))
            for serving, fit in self._fits.items()
            for filling in fit.fills
        ]

    def table(self) -> InterferenceWeights:
        """Return the weights to decide by."""
        rows = self.rows()
        weights = {(row.serving, row.filling): row.above(CAUTION) for row in rows}
        uppers = {(row.serving, row.filling): row.above(START_CAUTION) for row in rows}
        means = {image: fit.mean for image, fit in self._fits.items()}
        return InterferenceWeights(weights, uppers, means)


def _level_name(job_id: JobId) -> str:
    return f"level {job_id}"


def _fill_name(image: Image) -> str:
    return f"fill {image}"
