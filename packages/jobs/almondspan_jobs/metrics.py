"""Counters, gauges and latency histograms of a process, as Prometheus text.

OpenTelemetry's SDK needs more memory than an agent may use on a worker, so this module
implements the three kinds of instrument that are needed.
"""

from bisect import bisect_left
from typing import Final

__all__ = ["Histogram", "Metrics"]

BOUNDS_MS: Final = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)


class Histogram:
    """Counts of durations in buckets with upper bounds in milliseconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def observe_s(self, duration_s: float) -> None:
        """Record one duration."""
        duration_ms = duration_s * 1000
        self.counts[bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Metrics:
    """All instruments of one process, created on first use."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, int] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, n: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] = self._counts.get(name, 0) + n

    def set(self, name: str, value: int) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def observe_s(self, name: str, duration_s: float) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.observe_s(duration_s)

    def text(self) -> str:
        """Return all instruments in the Prometheus text format."""
        lines = [f"almondspan_{name}_total {n}" for name, n in self._counts.items()]
        lines += [f"almondspan_{name} {n}" for name, n in self._gauges.items()]
        for name, histogram in self._histograms.items():
            lines += _histogram_lines(f"almondspan_{name}_ms", histogram)
        return "\n".join(lines) + "\n"


def _histogram_lines(name: str, histogram: Histogram) -> list[str]:
    lines = []
    n_total = 0
    for bound_ms, n in zip((*BOUNDS_MS, "+Inf"), histogram.counts, strict=True):
        n_total += n
        lines.append(f'{name}_bucket{{le="{bound_ms}"}} {n_total}')
    return [*lines, f"{name}_sum {histogram.sum_ms:g}", f"{name}_count {n_total}"]
