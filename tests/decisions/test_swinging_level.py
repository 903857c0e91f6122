"""Forecasts of a level that swings, as observed in polls with rounded latencies."""

import math
import random
import statistics

import pytest

from almondspan_decisions.swinging_level import SwingingLevel

TARGET_MS = 18.0
MEAN, SWING = 2.6, 0.95
LEARN_S, END_S = 8.0, 40.0
AHEAD_S = (0.0, 0.7)


def level_at(at_s: float, period_s: float, phase: float) -> float:
    return MEAN + SWING * math.sin(2 * math.pi * at_s / period_s + phase)


def forecast_errors(period_s: float, seed: int) -> list[float]:
    """Return by how much each forecast exceeds the lowest level until the next poll."""
    rng = random.Random(seed)
    phase = rng.uniform(0.0, 2 * math.pi)
    now_s, level, errors = 0.0, None, []
    while now_s < END_S:
        tail_ms = round(TARGET_MS / level_at(now_s, period_s, phase))
        observed = TARGET_MS / tail_ms
        if level is None:
            level = SwingingLevel(observed, now_s)
        else:
            level.update(observed, now_s)
        if now_s >= LEARN_S:
            lowest = min(
                level_at(now_s + part * AHEAD_S[1] / 7, period_s, phase)
                for part in range(8)
            )
            errors.append(level.lowest(*AHEAD_S) - lowest)
        now_s += rng.uniform(0.4, 0.6)
    return errors


@pytest.mark.parametrize("period_s", [7.0, 9.0, 10.0, 11.0, 14.0])
def test_swing_is_forecast(period_s: float) -> None:
    """Guards against paces that lag behind the load; a slope alone was off by 0.3."""
    errors = sorted(
        error for seed in range(5) for error in forecast_errors(period_s, seed)
    )
    assert statistics.pstdev(errors) < 0.2
    assert errors[int(0.95 * len(errors))] < 0.35


def test_constant_level_is_kept() -> None:
    level = SwingingLevel(2.0, 0.0)
    for number in range(1, 60):
        level.update(2.0, 0.45 * number)
    assert level.lowest(*AHEAD_S) == pytest.approx(2.0, abs=0.05)


@pytest.mark.parametrize("n_polls", [1, 2, 3])
def test_first_forecasts_are_not_above_the_observation(n_polls: int) -> None:
    level = SwingingLevel(1.3, 0.0)
    for number in range(1, n_polls):
        level.update(1.3, 0.45 * number)
    assert level.lowest(*AHEAD_S) <= 1.3


def test_sudden_drop_is_followed_at_once() -> None:
    """Guards against holding on to the swing when the load doubles."""
    level = SwingingLevel(2.5, 0.0)
    for number in range(1, 50):
        level.update(2.5 + 0.5 * math.sin(0.28 * number), 0.45 * number)
    level.update(1.0, 0.45 * 50)
    assert level.lowest(*AHEAD_S) < 1.4


def test_forecast_rises_only_a_little_above_the_observation() -> None:
    level = SwingingLevel(1.0, 0.0)
    for number in range(1, 40):
        level.update(1.0 + 0.1 * number, 0.45 * number)
    assert level.lowest(*AHEAD_S) <= 1.0 + 3.9 + 0.41
