"""What the serving tasks of a worker leave to best-effort tasks, on average."""

import math

import pytest

from almondspan_decisions.best_effort_pacing import TARGET_HEADROOM
from almondspan_decisions.headroom_budget import HeadroomBudget
from almondspan_decisions.interference_rows import Image

ONE, OTHER = Image("one"), Image("other")
POLL_S = 0.4


def observed(for_s: float, phase: float = math.pi) -> HeadroomBudget:
    """Return the budget after polls of two images that swing with a phase between."""
    budget = HeadroomBudget()
    for number in range(int(for_s / POLL_S) + 1):
        now_s = POLL_S * number
        angle = 2 * math.pi * now_s / 10.0
        levels = {ONE: 2.6 + math.sin(angle), OTHER: 2.6 + math.sin(angle + phase)}
        budget.observe(levels, now_s)
    return budget


def test_budget_is_unknown_at_first() -> None:
    budget = observed(2.0)
    assert budget.of(ONE) is None
    assert budget.of_all() is None


def test_budget_is_the_mean_over_the_swing() -> None:
    assert observed(30.0).of(ONE) == pytest.approx(2.6 - TARGET_HEADROOM, abs=0.2)


def test_images_of_other_phase_leave_less_together() -> None:
    """Guards against taking the mean of each for what both leave at any time."""
    together, apart = observed(30.0, phase=0.0), observed(30.0)
    assert together.of_all() == pytest.approx(2.6 - TARGET_HEADROOM, abs=0.2)
    lowest = apart.of_all()
    assert lowest is not None
    assert lowest == pytest.approx(2.6 - 2 / math.pi - TARGET_HEADROOM, abs=0.2)


def test_image_that_left_is_forgotten() -> None:
    budget = observed(30.0)
    budget.observe({OTHER: 2.0}, 30.4)
    assert budget.of(ONE) is None
    budget.observe({}, 30.8)
    assert budget.of_all() is None


def test_excess_leaves_no_negative_budget() -> None:
    budget = HeadroomBudget()
    for number in range(20):
        budget.observe({ONE: 0.5}, POLL_S * number)
    assert budget.of(ONE) == 0.0
