"""Learning from samples: interference, peak demand, run times, recent calls."""

import math
import random

import pytest

from almondspan_decisions.ids import ServiceName, TaskClass
from almondspan_decisions.interference import (
    InterferenceModel,
    LagAligner,
    LearnedPair,
    ServiceSample,
    merge_pairs,
)
from almondspan_decisions.peak_demand import PeakDemandOptions, PeakDemandTracker
from almondspan_decisions.recent_calls import RecentCalls, RecentSummary
from almondspan_decisions.run_times import RunTimes

SERVICE = ServiceName("listening")
NOISY, QUIET = TaskClass("alignment"), TaskClass("cutting")


def learn(n_samples: int, seed: int) -> InterferenceModel:
    """Return a model trained on a service that NOISY slows down.

    The slowdown is exp(1.5) if NOISY uses the whole worker; QUIET has no effect.
    """
    rng = random.Random(seed)
    model = InterferenceModel()
    for n in range(n_samples):
        shares = {NOISY: rng.uniform(0, 0.6), QUIET: rng.uniform(0, 0.4)}
        if rng.random() < 0.2:
            shares = {}
        factor = math.exp(1.5 * shares.get(NOISY, 0.0)) * rng.uniform(1.0, 1.1)
        sample = ServiceSample(n * 0.25, SERVICE, 0.4, 10.0 * factor, 50)
        model.observe(sample, shares)
    return model


@pytest.mark.parametrize("seed", range(3))
def test_noisy_class_is_distinguished_from_a_quiet_one(seed: int) -> None:
    pairs = {pair.task_class: pair for pair in learn(800, seed).pairs()}
    assert pairs[NOISY].slowdown > 3.0
    assert pairs[QUIET].slowdown < 1.6
    assert pairs[NOISY].confidence > 0.9


def test_learned_slowdown_decays_to_the_prior() -> None:
    model = learn(800, 1)
    old = model.slowdown(SERVICE, NOISY, 1.0)
    model.observe(ServiceSample(6_200.0, SERVICE, 0.4, 10.0, 50), {})
    faded = model.slowdown(SERVICE, NOISY, 1.0)
    assert old > 3.0
    assert faded == pytest.approx(1.3, abs=0.05)
    assert model.pairs()[0].confidence < 0.1


def test_base_is_learned_while_batch_work_is_always_present() -> None:
    rng = random.Random(4)
    model = InterferenceModel()
    for n in range(400):
        share = rng.uniform(0.2, 0.8)
        latency_ms = 10.0 * math.exp(1.5 * share) * rng.uniform(0.95, 1.05)
        model.observe(
            ServiceSample(n * 0.25, SERVICE, 0.4, latency_ms, 50), {NOISY: share}
        )
    measured = model.measured_slowdown(ServiceSample(100.0, SERVICE, 0.4, 20.0, 50))
    assert measured == pytest.approx(2.0, rel=0.2)


def test_single_fast_calls_do_not_lower_the_base() -> None:
    rng = random.Random(5)
    model = InterferenceModel()
    for n in range(400):
        n_calls = 1 if n < 8 else 10
        runs = [10.0 * rng.lognormvariate(0.0, 0.5) for _ in range(n_calls)]
        latency_ms = 4.0 if n == 0 else sum(runs) / n_calls
        model.observe(ServiceSample(n * 0.25, SERVICE, 0.2, latency_ms, n_calls), {})
    measured = model.measured_slowdown(ServiceSample(100.0, SERVICE, 0.2, 11.3, 10))
    assert measured < 1.15


def test_features_are_bounded() -> None:
    model = InterferenceModel()
    for n in range(100):
        classes = {TaskClass(f"class-{n}"): 0.5}
        model.observe(ServiceSample(float(n), SERVICE, 0.4, 10.0, 50), classes)
    assert len(model.pairs()) < 16


def test_merged_pairs_weigh_by_confidence() -> None:
    sure = LearnedPair(SERVICE, NOISY, 4.0, 0.9)
    unsure = LearnedPair(SERVICE, NOISY, 1.0, 0.1)
    (merged,) = merge_pairs([sure, unsure])
    assert 3.0 < merged.slowdown < 4.0
    assert merged.confidence == pytest.approx(0.91)


def test_aligner_returns_samples_around_a_time() -> None:
    aligner = LagAligner(keep_s=10.0)
    for n in range(100):
        aligner.add(ServiceSample(n * 0.25, SERVICE, 0.5, float(n), 9))
    assert [sample.at_s for sample in aligner.around(20.0, 0.3)] == [19.75, 20.0, 20.25]
    assert aligner.around(2.0, 0.3) == []


def test_predicted_peak_outlasts_the_peak_and_decays() -> None:
    options = PeakDemandOptions(half_life_s=60.0, n_highest=1, margin=1.0)
    tracker = PeakDemandTracker(options)
    assert tracker.expected_peak(0.0) == 0.0
    for second in range(100):
        tracker.observe(float(second), 8.0 if 40 <= second < 45 else 2.0)
    assert 3.5 < tracker.expected_peak(100.0) < 8.0
    assert tracker.reserve(100.0) == pytest.approx(tracker.expected_peak(100.0) - 2.0)
    for second in range(100, 700):
        tracker.observe(float(second), 2.0)
    assert tracker.expected_peak(700.0) == pytest.approx(2.0, abs=0.2)


@pytest.mark.parametrize(
    "declared_s",
    [pytest.param(0.1, id="ten times short"), pytest.param(10.0, id="ten times long")],
)
def test_run_times_correct_the_declaration(declared_s: float) -> None:
    run_times = RunTimes()
    assert run_times.expected_s(QUIET, declared_s) == declared_s
    for _ in range(95):
        run_times.observe(QUIET, 1.0)
    for _ in range(5):
        run_times.observe(QUIET, 50.0)
    assert 0.85 < run_times.expected_s(QUIET, declared_s) < 1.9
    assert run_times.remaining_s(QUIET, declared_s, 3.0) == pytest.approx(
        47.0, rel=0.05
    )
    assert run_times.remaining_s(QUIET, declared_s, 80.0) == 80.0


def test_recent_calls_cover_the_window_and_drop_older_ones() -> None:
    recent = RecentCalls()
    assert recent.summary(0.0, 1.0, 0.95) == RecentSummary(0, 0.0, 0.0)
    for n in range(100):
        recent.add(n * 0.1, run_ms=10.0 if n < 90 else 20.0, latency_ms=float(n + 1))
    last = recent.summary(9.95, 1.0, 0.95)
    assert 8 <= last.n_calls <= 10
    assert last.mean_run_ms == 20.0
    assert last.tail_ms == pytest.approx(100.0, rel=0.02)
    assert recent.summary(9.95, 100.0, 0.95).n_calls <= 30
    assert recent.summary(20.0, 1.0, 0.95).n_calls == 0
