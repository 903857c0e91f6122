"""Limits how often each team may ask, by token buckets."""

from typing import Final

__all__ = ["RateLimiter"]

BURST_S: Final = 2.0
"""How many seconds of unused requests a team may save up."""


class RateLimiter:
    """A token bucket for each key; the caller passes the time.

    Buckets exist only for teams of the configuration and for those without a
    valid token, so their number is bounded.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, float]] = {}

    def delay_s(self, key: str, rate_per_s: float, now_s: float) -> float:
        """Take one request; return 0, or in how many seconds one is free."""
        burst = max(1.0, rate_per_s * BURST_S)
        level, filled_s = self._buckets.get(key, (burst, now_s))
        level = min(burst, level + (now_s - filled_s) * rate_per_s)
        if level >= 1.0:
            self._buckets[key] = (level - 1.0, now_s)
            return 0.0
        self._buckets[key] = (level, now_s)
        return (1.0 - level) / rate_per_s
