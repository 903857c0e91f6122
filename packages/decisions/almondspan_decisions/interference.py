"""Learns, on each worker, how much each task class slows down each service.

An agent observes the current latency of the service's calls on the runner, and the
worker's resource usage by task class, which is reported with a lag.
`InterferenceModel` learns from pairs of both that belong to the same moment. For each
service it fits the logarithm of the latency as a base, plus a weight times the busy
share of the slots, plus a weight for each class times the class's share of the worker's
processors. The base and the weight for load describe the service without batch work.
Since batch work may be present all the time, the lowest observed latency serves as an
upper bound of both.
Weights of classes are never negative.

`LagAligner` keeps the latencies of the last seconds, so that a lagging usage report can
be paired with the latency of the moment that it describes.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import ServiceName, TaskClass
from almondspan_decisions.recursive_fit import FeaturePrior, RecursiveFit

__all__ = [
    "InterferenceModel",
    "InterferenceOptions",
    "LagAligner",
    "LearnedPair",
    "ServiceSample",
    "merge_pairs",
]

N_CALLS_SMOOTHED: Final = 200
"""Calls in the moving average of the latency, besides those of the newest sample."""

N_CALLS_TRUSTED: Final = 100
"""With fewer calls the latency floor is not used."""

FLOOR_RISE_PER_S: Final = 0.001
"""Rate at which the latency floor rises, so that it follows slow changes."""

_BASE: Final = "base"
_LOAD: Final = "load"
_CLASS_PREFIX: Final = "class "


@dataclass(frozen=True, slots=True)
class InterferenceOptions:
    """How fast pairs are learned and forgotten; variances are of logarithms.

    ``prior_slowdown`` is assumed for a class without samples that uses a whole worker.
    """

    half_life_s: float = 600.0
    noise_variance: float = 0.02
    call_variance: float = 0.8
    base_variance: float = 0.5
    load_variance: float = 0.02
    class_variance: float = 1.0
    prior_slowdown: float = 1.3
    min_class_share: float = 0.01
    max_slowdown: float = 50.0


@dataclass(frozen=True, slots=True)
class ServiceSample:
    """A service's load at one moment and the mean latency of the calls around it.

    Samples may overlap; ``n_calls`` is the number of calls in the mean.
    """

    at_s: float
    service: ServiceName
    busy_share: float
    latency_ms: float
    n_calls: int


@dataclass(frozen=True, slots=True)
class LearnedPair:
    """Slowdown of a service by a task class, as learned by one or more workers.

    ``slowdown`` is the factor on the service's latency when the class uses the whole
    worker; ``confidence`` ranges from 0 to 1.
    """

    service: ServiceName
    task_class: TaskClass
    slowdown: float
    confidence: float


@dataclass(slots=True)
class _LatencyFloor:
    smooth_ms: float
    floor_ms: float
    at_s: float
    n_calls: int = 0


class LagAligner:
    """Service samples of the last seconds, looked up by time."""

    def __init__(self, keep_s: float = 30.0) -> None:
        self._keep_s = keep_s
        self._samples: deque[ServiceSample] = deque()

    def add(self, sample: ServiceSample) -> None:
        """Keep a sample; samples must be added in order of time."""
        self._samples.append(sample)
        while self._samples[0].at_s < sample.at_s - self._keep_s:
            self._samples.popleft()

    def around(self, at_s: float, tolerance_s: float) -> list[ServiceSample]:
        """Return the samples within `tolerance_s` of `at_s`."""
        return [
            sample for sample in self._samples if abs(sample.at_s - at_s) <= tolerance_s
        ]


class InterferenceModel:
    """Learns the slowdowns of the service and class pairs that share one worker."""

    def __init__(self, options: InterferenceOptions | None = None) -> None:
        self._options = options or InterferenceOptions()
        self._fits: dict[ServiceName, RecursiveFit] = {}
        self._floors: dict[ServiceName, _LatencyFloor] = {}

    def observe(
        self, sample: ServiceSample, class_shares: Mapping[TaskClass, float]
    ) -> None:
        """Learn from a service sample and the classes' shares of the worker then."""
        if sample.latency_ms <= 0.0 or sample.n_calls <= 0:
            return
        self._update_floor(sample)
        fit = self._fit_of(sample)
        features = {_BASE: 1.0, _LOAD: sample.busy_share}
        for task_class, share in class_shares.items():
            if share >= self._options.min_class_share:
                name = _CLASS_PREFIX + task_class
                fit.add_feature(name, self._class_prior(), sample.at_s)
                features[name] = share
        options = self._options
        noise = options.noise_variance + options.call_variance / sample.n_calls
        fit.observe(sample.at_s, features, math.log(sample.latency_ms), noise)

    def _update_floor(self, sample: ServiceSample) -> None:
        """Update the lowest smoothed latency, which rises slowly over time."""
        known = self._floors.get(sample.service)
        if known is None:
            known = _LatencyFloor(sample.latency_ms, math.inf, sample.at_s)
            self._floors[sample.service] = known
        elapsed_s = max(0.0, sample.at_s - known.at_s)
        known.at_s = sample.at_s
        known.n_calls += sample.n_calls
        before = min(N_CALLS_SMOOTHED, known.n_calls - sample.n_calls)
        weight = sample.n_calls / max(1, sample.n_calls + before)
        known.smooth_ms += weight * (sample.latency_ms - known.smooth_ms)
        known.floor_ms *= 1.0 + FLOOR_RISE_PER_S * elapsed_s
        if known.n_calls >= N_CALLS_TRUSTED:
            known.floor_ms = min(known.smooth_ms, known.floor_ms)

    def _fit_of(self, sample: ServiceSample) -> RecursiveFit:
        known = self._fits.get(sample.service)
        if known is not None:
            return known
        options = self._options
        fit = RecursiveFit(options.half_life_s)
        base = FeaturePrior(math.log(sample.latency_ms), options.base_variance)
        fit.add_feature(_BASE, base, sample.at_s)
        load = FeaturePrior(0.0, options.load_variance, is_positive=True)
        fit.add_feature(_LOAD, load, sample.at_s)
        self._fits[sample.service] = fit
        return fit

    def _class_prior(self) -> FeaturePrior:
        mean = math.log(self._options.prior_slowdown)
        return FeaturePrior(mean, self._options.class_variance, is_positive=True)

    def measured_slowdown(self, sample: ServiceSample) -> float:
        """Return a sample's latency over that expected without batch work.

        It is never below 1, and 1 until enough calls were observed.
        """
        fit = self._fits.get(sample.service)
        least = self._floors.get(sample.service)
        if fit is None or least is None or math.isinf(least.floor_ms):
            return 1.0
        alone = fit.weight(_BASE) + fit.weight(_LOAD) * sample.busy_share
        alone = min(alone, math.log(least.floor_ms))
        excess = math.log(max(sample.latency_ms, 1e-9)) - alone
        return math.exp(max(0.0, min(excess, math.log(self._options.max_slowdown))))

    def slowdown(
        self, service: ServiceName, task_class: TaskClass, share: float
    ) -> float:
        """Return the expected factor on latency of a class that uses `share`."""
        name = _CLASS_PREFIX + task_class
        fit = self._fits.get(service)
        if fit is None or name not in fit.names():
            weight = math.log(self._options.prior_slowdown)
        else:
            weight = fit.weight(name)
        return math.exp(weight * max(0.0, share))

    def pairs(self) -> tuple[LearnedPair, ...]:
        """Return every learned pair, the largest slowdown first."""
        found = []
        for service, fit in self._fits.items():
            for name in fit.names():
                if name.startswith(_CLASS_PREFIX):
                    task_class = TaskClass(name.removeprefix(_CLASS_PREFIX))
                    slowdown = self.slowdown(service, task_class, 1.0)
                    confidence = fit.confidence(name)
                    found.append(LearnedPair(service, task_class, slowdown, confidence))
        found.sort(key=lambda pair: (-pair.slowdown, pair.service, pair.task_class))
        return tuple(found)


def merge_pairs(reports: Iterable[LearnedPair]) -> tuple[LearnedPair, ...]:
    """Merge the pairs of several workers: geometric means weighted by confidence."""
    by_pair: dict[tuple[ServiceName, TaskClass], list[LearnedPair]] = {}
    for pair in reports:
        by_pair.setdefault((pair.service, pair.task_class), []).append(pair)
    merged = [_merge_one(pairs) for pairs in by_pair.values()]
    merged.sort(key=lambda pair: (-pair.slowdown, pair.service, pair.task_class))
    return tuple(merged)


def _merge_one(pairs: list[LearnedPair]) -> LearnedPair:
    total = sum(pair.confidence for pair in pairs)
    if total <= 0.0:
        return pairs[0]
    log_mean = sum(pair.confidence * math.log(pair.slowdown) for pair in pairs) / total
    doubt = math.prod(1.0 - pair.confidence for pair in pairs)
    return LearnedPair(
        service=pairs[0].service,
        task_class=pairs[0].task_class,
        slowdown=math.exp(log_mean),
        confidence=1.0 - doubt,
    )
