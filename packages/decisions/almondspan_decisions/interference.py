"""How much each task class slows each service down, learned by each worker.

What an agent sees: the latency of its service now, and what each task class used
on the worker some time ago. `InterferenceModel` learns from pairs of both that
belong to the same moment:

1. The service's latency without batch work is kept for each quarter of its load,
   as the least latency seen, which rises slowly so that it may be unlearned.
2. The logarithm of latency over that baseline is taken as the sum, over classes,
   of a weight times the class's share of the worker's processors.
3. Each sample moves the weights of the classes that ran, by a normalised step
   (Kaczmarz), never below 0. Weights and their evidence fade with time.

`LagAligner` keeps the latencies of the last seconds, so that a usage report with
a lag meets the latency of the moment that it describes.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import ServiceName, TaskClass

__all__ = [
    "InterferenceModel",
    "InterferenceOptions",
    "LagAligner",
    "LearnedPair",
    "ServiceSample",
    "merge_pairs",
]

N_LOAD_BANDS: Final = 4
"""Baselines are kept for each quarter of a service's slots."""

BASELINE_SMOOTHING: Final = 0.2
"""The weight of a new sample in the smoothed latency."""


@dataclass(frozen=True, slots=True)
class InterferenceOptions:
    """How fast pairs are learned and forgotten.

    ``prior_slowdown`` is assumed of a class never seen, running on a whole worker.
    """

    step: float = 0.15
    half_life_s: float = 600.0
    n_samples_trusted: float = 10.0
    prior_slowdown: float = 1.3
    baseline_rise_per_s: float = 0.002
    min_class_share: float = 0.01
    max_slowdown: float = 50.0


@dataclass(frozen=True, slots=True)
class ServiceSample:
    """A service's load and latency at one moment."""

    at_s: float
    service: ServiceName
    busy_share: float
    latency_ms: float


@dataclass(frozen=True, slots=True)
class LearnedPair:
    """What one worker or several have learned of a pair.

    ``slowdown`` is the factor on the service's latency when the class fills the
    worker; ``confidence`` runs from 0 to 1.
    """

    service: ServiceName
    task_class: TaskClass
    slowdown: float
    confidence: float


@dataclass(slots=True)
class _Baseline:
    smooth_ms: float
    least_ms: float
    at_s: float


@dataclass(slots=True)
class _Weight:
    log_slowdown: float
    evidence: float
    at_s: float


class LagAligner:
    """Service samples of the last seconds, looked up by time."""

    def __init__(self, keep_s: float = 30.0) -> None:
        self._keep_s = keep_s
        self._samples: deque[ServiceSample] = deque()

    def add(self, sample: ServiceSample) -> None:
        """Keep a sample; samples come in the order of time."""
        self._samples.append(sample)
        while self._samples[0].at_s < sample.at_s - self._keep_s:
            self._samples.popleft()

    def around(self, at_s: float, tolerance_s: float) -> list[ServiceSample]:
        """Return the samples within `tolerance_s` of `at_s`."""
        return [
            sample for sample in self._samples if abs(sample.at_s - at_s) <= tolerance_s
        ]


class InterferenceModel:
    """Learned slowdowns of the pairs that met on one worker."""

    def __init__(self, options: InterferenceOptions | None = None) -> None:
        self._options = options or InterferenceOptions()
        self._baselines: dict[tuple[ServiceName, int], _Baseline] = {}
        self._weights: dict[tuple[ServiceName, TaskClass], _Weight] = {}

    def observe(
        self, sample: ServiceSample, class_shares: Mapping[TaskClass, float]
    ) -> None:
        """Learn from a service sample and the shares of the worker used then."""
        if sample.latency_ms <= 0.0:
            return
        baseline_ms = self._update_baseline(sample)
        ran = {
            task_class: share
            for task_class, share in class_shares.items()
            if share >= self._options.min_class_share
        }
        if not ran:
            return
        measured = math.log(max(1.0, sample.latency_ms / baseline_ms))
        measured = min(measured, math.log(self._options.max_slowdown))
        self._move_weights(sample, ran, measured)

    def measured_slowdown(self, sample: ServiceSample) -> float:
        """Return a sample's latency over the baseline of its load; 1 if unknown."""
        known = self._baselines.get(_band_key(sample))
        if known is None or sample.latency_ms <= 0.0:
            return 1.0
        return sample.latency_ms / known.least_ms

    def _update_baseline(self, sample: ServiceSample) -> float:
        """Follow the least smoothed latency; single samples are too noisy."""
        key = _band_key(sample)
        known = self._baselines.get(key)
        if known is None:
            known = _Baseline(sample.latency_ms, sample.latency_ms, sample.at_s)
            self._baselines[key] = known
            return known.least_ms
        rise = self._options.baseline_rise_per_s * max(0.0, sample.at_s - known.at_s)
        known.smooth_ms += BASELINE_SMOOTHING * (sample.latency_ms - known.smooth_ms)
        known.least_ms = min(known.smooth_ms, known.least_ms * (1.0 + rise))
        known.at_s = sample.at_s
        return known.least_ms

    def _move_weights(
        self, sample: ServiceSample, ran: Mapping[TaskClass, float], measured: float
    ) -> None:
        weights = {
            task_class: self._faded(sample.service, task_class, sample.at_s)
            for task_class in ran
        }
        expected = sum(
            weights[each].log_slowdown * share for each, share in ran.items()
        )
        norm = sum(share * share for share in ran.values())
        error = measured - expected
        for task_class, share in ran.items():
            weight = weights[task_class]
            moved = weight.log_slowdown + self._options.step * error * share / norm
            weight.log_slowdown = max(0.0, moved)
            weight.evidence += share / sum(ran.values())
            self._weights[sample.service, task_class] = weight

    def _faded(
        self, service: ServiceName, task_class: TaskClass, now_s: float
    ) -> _Weight:
        prior = math.log(self._options.prior_slowdown)
        known = self._weights.get((service, task_class))
        if known is None:
            return _Weight(prior, 0.0, now_s)
        kept = 0.5 ** (max(0.0, now_s - known.at_s) / self._options.half_life_s)
        faded = prior + (known.log_slowdown - prior) * kept
        return _Weight(faded, known.evidence * kept, now_s)

    def slowdown(
        self, service: ServiceName, task_class: TaskClass, share: float, now_s: float
    ) -> float:
        """Return the factor on latency that a class using `share` is expected to be."""
        weight = self._faded(service, task_class, now_s)
        return math.exp(weight.log_slowdown * max(0.0, share))

    def pairs(self, now_s: float) -> tuple[LearnedPair, ...]:
        """Return every pair learned, the most harmful first."""
        found = []
        for service, task_class in self._weights:
            weight = self._faded(service, task_class, now_s)
            trusted = weight.evidence + self._options.n_samples_trusted
            found.append(
                LearnedPair(
                    service=service,
                    task_class=task_class,
                    slowdown=math.exp(weight.log_slowdown),
                    confidence=weight.evidence / trusted,
                )
            )
        found.sort(key=lambda pair: (-pair.slowdown, pair.service, pair.task_class))
        return tuple(found)


def _band_key(sample: ServiceSample) -> tuple[ServiceName, int]:
    band = min(N_LOAD_BANDS - 1, int(max(0.0, sample.busy_share) * N_LOAD_BANDS))
    return sample.service, band


def merge_pairs(reports: Iterable[LearnedPair]) -> tuple[LearnedPair, ...]:
    """Merge what several workers learned: means weighted by confidence."""
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
