"""Learned weights and the paces that follow from them."""

import random

import pytest

from almondspan_decisions.fill_pace import Filling, FillPacer, Serving
from almondspan_decisions.tail_model import HarmTable, Image, TailModel

CALM, HEAVY = Image("calm"), Image("heavy")
LIVE, QUIET = Image("live"), Image("quiet")


def test_model_finds_the_pair_that_hurts() -> None:
    rng = random.Random(4)
    model = TailModel()
    for _ in range(600):
        cores = {CALM: rng.uniform(0, 4), HEAVY: rng.uniform(0, 3)}
        live = 0.4 + 0.3 * cores[HEAVY] + rng.gauss(0, 0.15)
        quiet = 0.5 + rng.gauss(0, 0.15)
        model.observe([(LIVE, live), (QUIET, quiet)], cores)
    table = model.solve()
    assert table.weight(LIVE, HEAVY) == pytest.approx(0.3, abs=0.05)
    assert table.weight(LIVE, CALM) < 0.03
    assert table.weight(QUIET, HEAVY) < 0.03
    assert table.bases[LIVE] == pytest.approx(0.4, abs=0.1)


def test_weights_are_never_negative() -> None:
    model = TailModel()
    for cores in (0.0, 1.0, 2.0, 3.0):
        model.observe([(LIVE, 1.0 - 0.2 * cores)], {CALM: cores})
    assert model.solve().weight(LIVE, CALM) == 0.0


def test_unknown_pair_has_no_weight() -> None:
    assert TailModel().solve().weight(LIVE, HEAVY) == 0.0


TABLE = HarmTable({(LIVE, HEAVY): 0.3}, {})


@pytest.mark.parametrize(
    ("share", "used_cores", "paces"),
    [
        pytest.param(0.3, 0.0, {HEAVY: 50, CALM: 100}, id="shares_the_room_out"),
        pytest.param(0.74, 0.0, {HEAVY: 0, CALM: 100}, id="no_room"),
        pytest.param(0.9, 3.0, {HEAVY: 80, CALM: 100}, id="knows_its_own_part"),
    ],
)
def test_pace_of_harmful_images(
    share: float, used_cores: float, paces: dict[Image, int]
) -> None:
    pacer = FillPacer()
    filling = [Filling(HEAVY, used_cores, 3.0), Filling(CALM, 2.0, 2.0)]
    found = pacer.look([Serving("t", LIVE, share)], filling, TABLE, 10.0)
    assert found == paces


def test_unexplained_excess_cuts_all_and_recovers() -> None:
    pacer = FillPacer()
    filling = [Filling(CALM, 2.0, 2.0)]
    paces = []
    for number in range(16):
        share = 1.5 if number < 6 else 0.5
        now_s = 10.0 + 0.4 * number
        look = pacer.look([Serving("t", LIVE, share)], filling, TABLE, now_s)
        paces.append(look[CALM])
    assert paces[0] == 100
    assert min(paces) <= 50
    assert paces[-1] == 100


@pytest.mark.parametrize(
    ("share", "limit_s"),
    [
        pytest.param(2.4, 0.0, id="far_over"),
        pytest.param(1.2, 1.7, id="over_for_long"),
    ],
)
def test_excess_pauses_all_well_within_the_time_allowed(
    share: float, limit_s: float
) -> None:
    pacer = FillPacer()
    filling = [Filling(CALM, 2.0, 2.0)]
    now_s = 10.0
    while pacer.look([Serving("t", LIVE, share)], filling, TABLE, now_s)[CALM]:
        now_s += 0.4
    assert now_s - 10.0 <= limit_s


def test_nothing_serves() -> None:
    pacer = FillPacer()
    assert pacer.look([], [Filling(HEAVY, 1.0, 3.0)], TABLE, 1.0) == {HEAVY: 100}
