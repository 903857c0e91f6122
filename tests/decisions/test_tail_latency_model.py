"""Learned weights and the paces that follow from them."""

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
HARM = 7.0
SWING_S = 10.0
LOOK_S = 0.4


def level_at(now_s: float, phase: float) -> float:
    return 2.4 + 0.9 * math.sin(2 * math.pi * now_s / SWING_S + phase)


def seen(headroom: float) -> float:
    """Return a headroom as it shows in whole milliseconds of a full queue."""
    tail_ms = max(1, round(TARGET_MS / max(headroom, 0.05)))
    return TARGET_MS / tail_ms


def play(model: TailLatencyModel, for_s: float, seed: int) -> None:
    """Show looks at four workers whose tasks that fill come and go."""
    rng = random.Random(seed)
    used = [{CALM: 0.0, HEAVY: 0.0} for _ in range(4)]
    now_s = 0.0
    while now_s < for_s:
        for worker, shares in enumerate(used):
            for image in shares:
                if rng.random() < 0.1:
                    shares[image] = rng.choice([0.0, 0.1, 0.2])
            live = level_at(now_s, worker % 2) - HARM * shares[HEAVY]
            quiet = level_at(now_s, 2.0)
            model.observe(
                [
                    TailLatencySample(
                        JobId(f"l{worker % 2}"), LIVE, seen(live), 2, TARGET_MS
                    ),
                    TailLatencySample(JobId("q"), QUIET, seen(quiet), 1, TARGET_MS),
                ],
                shares,
                now_s,
            )
        now_s += LOOK_S


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_model_tells_the_pair_that_hurts_under_a_swinging_load(seed: int) -> None:
    model = TailLatencyModel()
    play(model, 15.0, seed)
    table = model.table()
    assert table.weight(LIVE, HEAVY) == pytest.approx(HARM, rel=0.3)
    assert table.weight(LIVE, CALM) < HARMLESS_WEIGHT
    assert table.weight(QUIET, HEAVY) < HARMLESS_WEIGHT
    assert table.upper(LIVE, CALM) < table.weight(LIVE, HEAVY)


def test_full_queue_does_not_hide_the_harm() -> None:
    """A worker that is overloaded from the first look on shows no slope."""
    model = TailLatencyModel()
    for number in range(40):
        now_s = LOOK_S * number
        is_on = number % 10 < 8
        headroom = 0.1 if is_on else 2.0
        sample = TailLatencySample(JobId("l"), LIVE, headroom, 1, TARGET_MS)
        model.observe([sample], {HEAVY: 0.5} if is_on else {}, now_s)
    assert model.table().weight(LIVE, HEAVY) > 3.0


def test_weights_stay_above_the_least() -> None:
    model = TailLatencyModel()
    for number in range(40):
        share = 0.1 * (number % 4)
        sample = TailLatencySample(JobId("l"), LIVE, 2.0 + 5.0 * share, 1, TARGET_MS)
        model.observe([sample], {CALM: share}, LOOK_S * number)
    assert model.table().weight(LIVE, CALM) == MIN_WEIGHT


def test_unknown_pair_is_taken_as_harmful() -> None:
    table = TailLatencyModel().table()
    assert HARMLESS_WEIGHT < table.weight(LIVE, HEAVY) < table.upper(LIVE, HEAVY)


def test_model_goes_on_from_what_an_earlier_one_knew() -> None:
    first, second = TailLatencyModel(), TailLatencyModel()
    play(first, 15.0, 1)
    second.load(first.rows(), first.table().means)
    assert second.table().weight(LIVE, HEAVY) == first.table().weight(LIVE, HEAVY)
    play(second, 4.0, 2)
    assert second.table().weight(LIVE, HEAVY) == pytest.approx(HARM, rel=0.3)


def test_levels_of_jobs_that_are_gone_are_forgotten() -> None:
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
    """Show one look at a serving task and return the paces."""
    serving = [ServingTask("t", LIVE, headroom)]
    pacer.look(serving, loads, TABLE, now_s)
    return pacer.paces(serving, loads, TABLE)


@pytest.mark.parametrize(
    ("headroom", "used_share", "paces"),
    [
        pytest.param(2.1, 0.0, {HEAVY: 50, CALM: 100}, id="shares_the_room_out"),
        pytest.param(1.41, 0.0, {HEAVY: 0, CALM: 100}, id="room_for_the_harmless"),
        pytest.param(1.32, 0.0, {HEAVY: 0, CALM: 50}, id="hardly_any_room"),
        pytest.param(1.41, 0.1, {HEAVY: 50, CALM: 100}, id="knows_its_own_part"),
        pytest.param(4.0, 0.0, {HEAVY: 100, CALM: 100}, id="room_for_all"),
    ],
)
def test_pace_of_harmful_images(
    headroom: float, used_share: float, paces: dict[Image, int]
) -> None:
    loads = [BestEffortLoad(HEAVY, used_share, 0.2), BestEffortLoad(CALM, 0.0, 0.2)]
    assert paces_after(BestEffortPacer(), headroom, loads, 10.0) == paces


def test_falling_level_is_foreseen() -> None:
    steady, falling = BestEffortPacer(), BestEffortPacer()
    loads = [BestEffortLoad(HEAVY, 0.0, 0.2)]
    for number in range(5):
        now_s = 10.0 + LOOK_S * number
        flat = paces_after(steady, 2.0, loads, now_s)
        sunk = paces_after(falling, 2.0 + 0.3 * (4 - number), loads, now_s)
    assert sunk[HEAVY] < flat[HEAVY]


def test_pace_rises_step_by_step() -> None:
    pacer = BestEffortPacer()
    loads = [BestEffortLoad(HEAVY, 0.0, 0.2)]
    paces = [
        paces_after(pacer, headroom, loads, 10.0 + LOOK_S * number)[HEAVY]
        for number, headroom in enumerate((1.2, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0, 4.0))
    ]
    assert paces[0] == 0
    assert max(later - sooner for sooner, later in itertools.pairwise(paces)) <= 25
    assert paces[-1] == 100


def test_task_that_has_just_begun_to_serve_is_given_room() -> None:
    pacer = BestEffortPacer()
    loads = [BestEffortLoad(HEAVY, 0.2, 0.2)]
    pacer.look([], loads, TABLE, 10.0)
    assert pacer.paces([], loads, TABLE) == {HEAVY: 100}
    begun = pacer.expect("t", LIVE, 10.2)
    assert begun.headroom == CAUTIOUS_LEVEL
    left = (CAUTIOUS_LEVEL - TARGET_HEADROOM) / (7.0 * 0.2)
    assert pacer.paces([begun], loads, TABLE)[HEAVY] <= 100 * left


def test_excess_pauses_and_the_pace_comes_back() -> None:
    pacer = BestEffortPacer()
    loads = [BestEffortLoad(CALM, 0.0, 0.2)]
    paces = [
        paces_after(pacer, 0.7 if n < 6 else 2.0, loads, 10.0 + LOOK_S * n)[CALM]
        for n in range(20)
    ]
    assert paces[0] == 0
    assert paces[-1] == 100


@pytest.mark.parametrize(
    ("headroom", "image", "used_share"),
    [
        pytest.param(0.4, Image("never seen"), 0.2, id="far_over_beside_an_unknown"),
        pytest.param(0.4, HEAVY, 0.2, id="far_over_beside_a_harmful"),
        pytest.param(0.4, CALM, 0.2, id="far_over_beside_a_harmless"),
    ],
)
def test_tail_far_over_its_target_pauses_all_at_once(
    headroom: float, image: Image, used_share: float
) -> None:
    loads = [BestEffortLoad(image, used_share, 0.2)]
    assert paces_after(BestEffortPacer(), headroom, loads, 10.0) == {image: 0}


@pytest.mark.parametrize("weight", [0.7, 3.0, 7.0, 20.0])
def test_lasting_excess_pauses_all_well_within_the_time_allowed(weight: float) -> None:
    """Also when the weight is far too high, so that the level seems to bear it."""
    table = InterferenceWeights({(LIVE, HEAVY): weight})
    pacer, loads = BestEffortPacer(), [BestEffortLoad(HEAVY, 0.2, 0.2)]
    serving = [ServingTask("t", LIVE, 0.8)]
    now_s = 10.0
    pacer.look(serving, loads, table, now_s)
    while pacer.paces(serving, loads, table)[HEAVY]:
        now_s += LOOK_S
        pacer.look(serving, loads, table, now_s)
    assert now_s - 10.0 <= 1.7


def test_nothing_serves() -> None:
    pacer, loads = BestEffortPacer(), [BestEffortLoad(HEAVY, 0.1, 0.2)]
    pacer.look([], loads, TABLE, 1.0)
    assert pacer.paces([], loads, TABLE) == {HEAVY: 100}
