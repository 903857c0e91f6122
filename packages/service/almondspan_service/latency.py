"""A bounded record of recent latencies.

Latencies are counted in buckets whose bounds grow by a constant ratio, in slices
of time. Slices older than the record's window are dropped; a question about a
window sums the slices that it reaches into.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

__all__ = ["BurnSample", "LatencyRecord"]

RATIO: Final = 1.15
"""Upper bound of a bucket over its lower bound."""

LOWEST_MS: Final = 0.1
"""Upper bound of the first bucket, in milliseconds."""

N_BUCKETS: Final = 96
"""Buckets reach to about 60 000 ms."""

_LOG_RATIO: Final = math.log(RATIO)


@dataclass(frozen=True, slots=True)
class BurnSample:
    """Calls of a window against an objective.

    ``burn_rate`` is the share of calls that missed it over the share that may.
    """

    n_calls: int
    n_missed: int
    burn_rate: float


@dataclass(slots=True)
class _Slice:
    begin_s: float
    n_calls: int = 0
    n_missed: int = 0
    buckets: list[int] = field(default_factory=lambda: [0] * N_BUCKETS)


class LatencyRecord:
    """Latencies of the last `window_s` seconds in slices of `slice_s`."""

    def __init__(self, window_s: float, slice_s: float) -> None:
        self._slice_s = slice_s
        self._slices: deque[_Slice] = deque(maxlen=math.ceil(window_s / slice_s) + 1)

    def add(self, now_s: float, latency_ms: float, missed: bool = False) -> None:
        """Count one call."""
        current = self._current(now_s)
        current.n_calls += 1
        current.n_missed += missed
        current.buckets[_bucket(latency_ms)] += 1

    def _current(self, now_s: float) -> _Slice:
        if not self._slices or now_s >= self._slices[-1].begin_s + self._slice_s:
            self._slices.append(_Slice(now_s))
        return self._slices[-1]

    def _recent(self, now_s: float, window_s: float) -> list[_Slice]:
        since_s = now_s - window_s
        return [one for one in self._slices if one.begin_s + self._slice_s > since_s]

    def quantile_ms(
        self, now_s: float, window_s: float, share: float, n_least: int = 1
    ) -> float | None:
        """Return a quantile's upper bound; None below `n_least` calls."""
        recent = self._recent(now_s, window_s)
        n_calls = sum(one.n_calls for one in recent)
        if n_calls < n_least:
            return None
        rank = math.ceil(share * n_calls)
        n_seen = 0
        for index in range(N_BUCKETS):
            n_seen += sum(one.buckets[index] for one in recent)
            if n_seen >= rank:
                return LOWEST_MS * RATIO**index
        return LOWEST_MS * RATIO ** (N_BUCKETS - 1)

    def burn(self, now_s: float, window_s: float, objective_share: float) -> BurnSample:
        """Return how fast the window's calls used up what may miss."""
        recent = self._recent(now_s, window_s)
        n_calls = sum(one.n_calls for one in recent)
        n_missed = sum(one.n_missed for one in recent)
        allowed = max(1.0 - objective_share, 1e-6)
        rate = n_missed / n_calls / allowed if n_calls else 0.0
        return BurnSample(n_calls, n_missed, rate)


def _bucket(latency_ms: float) -> int:
    if latency_ms <= LOWEST_MS:
        return 0
    index = math.ceil(math.log(latency_ms / LOWEST_MS) / _LOG_RATIO)
    return min(index, N_BUCKETS - 1)
