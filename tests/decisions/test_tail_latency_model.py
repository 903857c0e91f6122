"""Learned interference weights and the resulting paces of best-effort tasks."""

import itertools
import math
import random

import pytest

from almondspan_decisions.best_effort_pacing import (
    HARMLESS_WEIGHT,
    TARGET_HEADROOM,
    BestEffortLoad,
    BestEffortPacer,
    ServingTask,
)
from almondspan_decisions.ids import JobId
from almondspan_decisions.tail_latency_model import (
    CAUTIOUS_LEVEL,
    MIN_WEIGHT,
    Image,
    InterferenceWeights,
    TailLatencyModel,
    TailLatencySample,
)

CALM, HEAVY = Image("calm"), Image("heavy")
LIVE, QUIET = Image("live"), Image("quiet")
TARGET_MS = 18.0
TRUE_WEIGHT = 7.0
LOAD_PERIOD_S = 10.0
POLL_S = 0.4


def level_at(now_s: float, phase: float) -> float:
    return 2.4 + 0.9 * math.sin(2 * math.pi * now_s / LOAD_PERIOD_S + phase)


def observed_headroom(headroom: float) -> float:
    """Return a headroom as measured: in whole milliseconds, and bounded below."""
    tail_ms = max(1, round(TARGET_MS / max(headroom, 0.05)))
    return TARGET_MS / tail_ms


def simulate(model: TailLatencyModel, for_s: float, seed: int) -> None:
    """Feed polls of four workers, with varying best-effort load, to the model."""
    rng = random.Random(seed)
    used = [{CALM: 0.0, HEAVY: 0.0} for _ in range(4)]
    now_s = 0.0
    while now_s < for_s:
        for worker, shares in enumerate(used):
            for image in shares:
                if rng.random() < 0.1:
                    shares[image] = rng.choice([0.0, 0.1, 0.2])
            live = level_at(now_s, worker % 2) - TRUE_WEIGHT * shares[HEAVY]
            quiet = level_at(now_s, 2.0)
            model.observe(
                [
                    TailLatencySample(
                        JobId(f"l{worker % 2}"),
                        LIVE,
                        observed_headroom(live),
                        2,
                        TARGET_MS,
                    ),
                    TailLatencySample(
                        JobId("q"), QUIET, observed_headroom(quiet), 1, TARGET_MS
                    ),
                ],
                shares,
                now_s,
            )
        now_s += POLL_S


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_interfering_pair_is_found_under_varying_load(seed: int) -> None:
    model = TailLatencyModel()
    simulate(model, 15.0, seed)
    weights = model.weights()
    assert weights.weight(LIVE, HEAVY) == pytest.approx(TRUE_WEIGHT, rel=0.3)
    assert weights.weight(LIVE, CALM) < HARMLESS_WEIGHT
    assert weights.weight(QUIET, HEAVY) < HARMLESS_WEIGHT
    assert weights.upper(LIVE, CALM) < weights.weight(LIVE, HEAVY)


def test_full_queue_does_not_hide_interference() -> None:
    """Guards against underestimating a pair that overloads the worker at once.

    While the queue is full, the headroom does not depend on the load.
    """
    model = TailLatencyModel()
    for number in range(40):
        now_s = POLL_S * number
        is_on = number % 10 < 8
        headroom = 0.1 if is_on else 2.0
        sample = TailLatencySample(JobId("l"), LIVE, headroom, 1, TARGET_MS)
        model.observe([sample], {HEAVY: 0.5} if is_on else {}, now_s)
    assert model.weights().weight(LIVE, HEAVY) > 3.0


def test_weights_have_a_lower_bound() -> None:
    model = TailLatencyModel()
    for number in range(40):
        share = 0.1 * (number % 4)
        sample = TailLatencySample(JobId("l"), LIVE, 2.0 + 5.0 * share, 1, TARGET_MS)
        model.observe([sample], {CALM: share}, POLL_S * number)
    assert model.weights().weight(LIVE, CALM) == MIN_WEIGHT


def test_unknown_pair_is_assumed_to_interfere() -> None:
    weights = TailLatencyModel().weights()
    assert HARMLESS_WEIGHT < weights.weight(LIVE, HEAVY) < weights.upper(LIVE, HEAVY)


def test_model_continues_from_loaded_weights() -> None:
    first, second = TailLatencyModel(), TailLatencyModel()
    simulate(first, 15.0, 1)
    second.load(first.rows(), first.weights().means)
    assert second.weights().weight(LIVE, HEAVY) == first.weights().weight(LIVE, HEAVY)
    simulate(second, 4.0, 2)
    assert second.weights().weight(LIVE, HEAVY) == pytest.approx(TRUE_WEIGHT, rel=0.3)


def test_levels_of_ended_jobs_are_dropped() -> None:
    model = TailLatencyModel()
    for number in range(300):
        sample = TailLatencySample(JobId(str(number)), LIVE, 2.0, 1, TARGET_MS)
        model.observe([sample], {}, 1.0 * number)
    fit = model._fits[LIVE]
    assert len(fit._level_s) < 30


TABLE = InterferenceWeights({(LIVE, HEAVY): 7.0, (LIVE, CALM): 0.7})


def paces_after(
    pacer: BestEffortPacer, headroom: float, loads: list[BestEffortLoad], now_s: float
) -> dict[Image, int]:
    """Feed one poll of a serving task to the pacer and return the paces."""
    serving = [ServingTask("t", LIVE, headroom)]
    pacer.observe(serving, loads, TABLE, now_s)
    return pacer.paces(serving, loads, TABLE)


@pytest.mark.parametrize(
    ("headroom", "used_share", "paces"),
    [
        pytest.param(2.1, 0.0, {HEAVY: 50, CALM: 100}, id="budget_is_shared"),
        pytest.param(1.41, 0.0, {HEAVY: 0, CALM: 100}, id="budget_for_low_weight"),
        pytest.param(1.32, 0.0, {HEAVY: 0, CALM: 50}, id="small_budget"),
        pytest.param(1.41, 0.1, {HEAVY: 50, CALM: 100}, id="own_load_is_added_back"),
        pytest.param(4.0, 0.0, {HEAVY: 100, CALM: 100}, id="budget_for_all"),
    ],
)
def test_pace_by_headroom(
    headroom: float, used_share: float, paces: dict[Image, int]
) -> None:
    loads = [BestEffortLoad(HEAVY, used_share, 0.2), BestEffortLoad(CALM, 0.0, 0.2)]
    assert paces_after(BestEffortPacer(), headroom, loads, 10.0) == paces


def test_falling_level_is_extrapolated() -> None:
    steady, falling = BestEffortPacer(), BestEffortPacer()
    loads = [BestEffortLoad(HEAVY, 0.0, 0.2)]
    for number in range(5):
        now_s = 10.0 + POLL_S * number
        flat = paces_after(steady, 2.0, loads, now_s)
        sunk = paces_after(falling, 2.0 + 0.3 * (4 - number), loads, now_s)
    assert sunk[HEAVY] < flat[HEAVY]


def test_pace_rises_gradually() -> None:
    pacer = BestEffortPacer()
    loads = [BestEffortLoad(HEAVY, 0.0, 0.2)]
    paces = [
        paces_after(pacer, headroom, loads, 10.0 + POLL_S * number)[HEAVY]
        for number, headroom in enumerate((1.2, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0))
    ]
    assert paces[0] == 0
    assert max(later - sooner for sooner, later in itertools.pairwise(paces)) <= 25
    assert paces[-1] == 100


def test_new_serving_task_gets_headroom_at_once() -> None:
    pacer = BestEffortPacer()
    loads = [BestEffortLoad(HEAVY, 0.2, 0.2)]
    pacer.observe([], loads, TABLE, 10.0)
    assert pacer.paces([], loads, TABLE) == {HEAVY: 100}
    started = pacer.add_serving_task("t", LIVE)
    assert started.headroom == CAUTIOUS_LEVEL
    left = (CAUTIOUS_LEVEL - TARGET_HEADROOM) / (7.0 * 0.2)
    assert pacer.paces([started], loads, TABLE)[HEAVY] <= 100 * left


def test_pace_recovers_after_an_excess() -> None:
    pacer = BestEffortPacer()
    loads = [BestEffortLoad(CALM, 0.0, 0.2)]
    paces = [
        paces_after(pacer, 0.7 if n < 6 else 2.0, loads, 10.0 + POLL_S * n)[CALM]
        for n in range(20)
    ]
    assert paces[0] == 0
    assert paces[-1] == 100


@pytest.mark.parametrize(
    ("headroom", "image", "used_share"),
    [
        pytest.param(0.4, Image("never seen"), 0.2, id="unknown_image"),
        pytest.param(0.4, HEAVY, 0.2, id="high_weight"),
        pytest.param(0.4, CALM, 0.2, id="low_weight"),
    ],
)
def test_tail_latency_far_over_target_stops_all_images(
    headroom: float, image: Image, used_share: float
) -> None:
    loads = [BestEffortLoad(image, used_share, 0.2)]
    assert paces_after(BestEffortPacer(), headroom, loads, 10.0) == {image: 0}


@pytest.mark.parametrize("weight", [0.7, 3.0, 7.0, 20.0])
def test_long_excess_stops_all_images_in_time(weight: float) -> None:
    """Guards against wrong weights: too high a weight overestimates the level."""
    weights = InterferenceWeights({(LIVE, HEAVY): weight})
    pacer, loads = BestEffortPacer(), [BestEffortLoad(HEAVY, 0.2, 0.2)]
    serving = [ServingTask("t", LIVE, 0.8)]
    now_s = 10.0
    pacer.observe(serving, loads, weights, now_s)
    while pacer.paces(serving, loads, weights)[HEAVY]:
        now_s += POLL_S
        pacer.observe(serving, loads, weights, now_s)
    assert now_s - 10.0 <= 1.7


def test_full_pace_without_serving_tasks() -> None:
    pacer, loads = BestEffortPacer(), [BestEffortLoad(HEAVY, 0.1, 0.2)]
    pacer.observe([], loads, TABLE, 1.0)
    assert pacer.paces([], loads, TABLE) == {HEAVY: 100}
