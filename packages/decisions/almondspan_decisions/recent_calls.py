"""Statistics of the calls of the last seconds, for decisions that must be fast.

Calls are counted in short slices of time; the oldest slice is dropped when a new one
starts, so that memory is bounded by the number of slices.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.latency_sketch import LatencySketch

__all__ = ["RecentCalls", "RecentSummary"]

SLICE_S: Final = 0.25
N_SLICES: Final = 12


@dataclass(frozen=True, slots=True)
class RecentSummary:
    """Calls of a window: their number, mean run time and a latency quantile."""

    n_calls: int
    mean_run_ms: float
    tail_ms: float


@dataclass(slots=True)
class _Slice:
    index: int
    n_calls: int = 0
    run_ms: float = 0.0
    latencies: LatencySketch = field(default_factory=LatencySketch)


class RecentCalls:
    """Counts calls, for windows of up to three seconds."""

    def __init__(self) -> None:
        self._slices: deque[_Slice] = deque(maxlen=N_SLICES)

    def add(self, now_s: float, run_ms: float, latency_ms: float) -> None:
        """Count a call that ended: its time on the runner and its total latency."""
        index = math.floor(now_s / SLICE_S)
        if not self._slices or self._slices[-1].index != index:
            self._slices.append(_Slice(index))
        current = self._slices[-1]
        current.n_calls += 1
        current.run_ms += run_ms
        current.latencies.add(latency_ms)

    def summary(
        self, now_s: float, window_s: float, tail_share: float
    ) -> RecentSummary:
        """Return the calls of the last `window_s`, to the width of a slice."""
        first = math.floor((now_s - window_s) / SLICE_S)
        recent = [one for one in self._slices if one.index > first]
        n_calls = sum(one.n_calls for one in recent)
        if n_calls == 0:
            return RecentSummary(0, 0.0, 0.0)
        merged = LatencySketch()
        for one in recent:
            merged.merge(one.latencies)
        mean_run_ms = sum(one.run_ms for one in recent) / n_calls
        return RecentSummary(n_calls, mean_run_ms, merged.quantile(tail_share))
