"""Quantiles of recent latencies in bounded memory.

Latencies are counted in a sketch that is replaced after each period; the one before
it is kept. A quantile covers both, so it reaches back from one to two periods. It is
computed anew only after a while, since it is asked for with every call.
"""

from typing import Final

from almondspan_decisions.latency_sketch import LatencySketch

__all__ = ["LatencyWindow"]

REFRESH_S: Final = 0.5
"""How long a computed quantile is used, in seconds."""


class LatencyWindow:
    """Latencies of the last one to two periods, and one quantile of them."""

    def __init__(self, period_s: float, share: float, n_least: int) -> None:
        self._period_s = period_s
        self._share = share
        self._n_least = n_least
        self._begin_s = 0.0
        self._current = LatencySketch()
        self._previous = LatencySketch()
        self._quantile_ms: float | None = None
        self._computed_s = float("-inf")

    def add(self, now_s: float, latency_ms: float) -> None:
        """Count one latency."""
        self._turn(now_s)
        self._current.add(latency_ms)

    def quantile_ms(self, now_s: float) -> float | None:
        """Return the quantile; None while too few latencies are known."""
        if now_s < self._computed_s + REFRESH_S:
            return self._quantile_ms
        self._turn(now_s)
        self._computed_s = now_s
        both = LatencySketch(self._previous.pairs())
        both.merge(self._current)
        enough = both.n_values >= self._n_least
        self._quantile_ms = both.quantile(self._share) if enough else None
        return self._quantile_ms

    def _turn(self, now_s: float) -> None:
        age_s = now_s - self._begin_s
        if age_s < self._period_s:
            return
        recent = age_s < 2.0 * self._period_s
        self._previous = self._current if recent else LatencySketch()
        self._current = LatencySketch()
        self._begin_s = now_s
