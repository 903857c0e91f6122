"""Gives a runner that has just come or come back less than its share at first."""

from typing import Final

__all__ = ["slow_start_weight"]

MIN_WEIGHT: Final = 0.1
"""The weight at the beginning."""


def slow_start_weight(age_s: float, ramp_s: float) -> float:
    """Return a weight that rises evenly to 1 over `ramp_s`."""
    if age_s >= ramp_s:
        return 1.0
    return max(MIN_WEIGHT, age_s / ramp_s)
