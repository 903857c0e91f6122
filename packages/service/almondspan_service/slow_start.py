"""Slow start: a new or recovered runner gets a rising share of the calls."""

from typing import Final

__all__ = ["slow_start_weight"]

MIN_WEIGHT: Final = 0.1
"""Weight at the start."""


def slow_start_weight(age_s: float, ramp_s: float) -> float:
    """Return the weight of a runner, which rises linearly to 1 over `ramp_s`."""
    if age_s >= ramp_s:
        return 1.0
    return max(MIN_WEIGHT, age_s / ramp_s)
