"""Quantiles of recent latencies in bounded memory.

Latencies are added to a sketch that is replaced after each period, and the previous
sketch is kept. Quantiles cover both sketches, so one to two periods. They are cached
for a short time, since they are read with every call.
"""

from typing import Final

from almondspan_decisions.latency_sketch import LatencySketch

__all__ = ["LatencyWindow"]

RECOMPUTE_INTERVAL_S: Final = 0.5
"""Lifetime of cached quantiles, in seconds."""


class LatencyWindow:
    """Quantiles (``shares``) of the latencies of the last one to two periods."""

    def __init__(
        self, period_s: float, shares: tuple[float, ...], min_values: int
    ) -> None:
        self._period_s = period_s
        self._shares = shares
        self._n_least = min_values
        self._begin_s = 0.0
        self._current = LatencySketch()
        self._previous = LatencySketch()
        self._quantiles_ms: tuple[float, ...] = ()
        self._computed_s = float("-inf")

    def add(self, now_s: float, latency_ms: float) -> None:
        """Add a latency."""
        self._rotate(now_s)
        self._current.add(latency_ms)

    def quantiles_ms(self, now_s: float) -> tuple[float, ...]:
        """Return the quantiles; an empty tuple while there are too few latencies."""
        if now_s < self._computed_s + RECOMPUTE_INTERVAL_S:
            return self._quantiles_ms
        self._rotate(now_s)
        self._computed_s = now_s
        both = LatencySketch(self._previous.pairs())
        both.merge(self._current)
        if both.n_values >= self._n_least:
            self._quantiles_ms = tuple(both.quantile(one) for one in self._shares)
        else:
            self._quantiles_ms = ()
        return self._quantiles_ms

    def _rotate(self, now_s: float) -> None:
        age_s = now_s - self._begin_s
        if age_s < self._period_s:
            return
        recent = age_s < 2.0 * self._period_s
        self._previous = self._current if recent else LatencySketch()
        self._current = LatencySketch()
        self._begin_s = now_s
