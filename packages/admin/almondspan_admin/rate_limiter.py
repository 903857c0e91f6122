"""Limits the request rate of each team by token buckets."""

from typing import Final

__all__ = ["RateLimiter"]

BURST_S: Final = 2.0
"""The capacity of a bucket, in seconds of the permitted rate."""


class RateLimiter:
    """A token bucket for each key; the caller passes the current time.

    There is one bucket for each configured team and one shared by all requests
    without a valid token, so the number of buckets is bounded.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, float]] = {}

    def delay_s(self, key: str, rate_per_s: float, now_s: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        burst = max(1.0, rate_per_s * BURST_S)
        n_tokens, refilled_s = self._buckets.get(key, (burst, now_s))
        n_tokens = min(burst, n_tokens + (now_s - refilled_s) * rate_per_s)
        if n_tokens >= 1.0:
            self._buckets[key] = (n_tokens - 1.0, now_s)
            return 0.0
        self._buckets[key] = (n_tokens, now_s)
        return (1.0 - n_tokens) / rate_per_s
