"""Counters, gauges and latency histograms of a process, as Prometheus text.

OpenTelemetry's SDK needs more memory than an agent may use on a worker, so this module
implements the three kinds of instrument that are needed.
"""

from bisect import bisect_left
from collections.abc import Mapping
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
        self._labelled_counts: dict[tuple[str, str], int] = {}
        self._gauges: dict[tuple[str, str], float] = {}
        """By name and labels."""
        self._histograms: dict[str, Histogram] = {}

    def count(
        self, name: str, n: int = 1, labels: Mapping[str, str] | None = None
    ) -> None:
        """Increase a counter."""
        if labels is None:
            self._counts[name] = self._counts.get(name, 0) + n
            return
        key = (name, _labels_text(labels))
        self._labelled_counts[key] = self._labelled_counts.get(key, 0) + n

    def set_gauge(
        self, name: str, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        """Set the current value of a gauge."""
        self._gauges[(name, _labels_text(labels or {}))] = value

    def observe_s(self, name: str, duration_s: float) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.observe_s(duration_s)

    def text(self) -> str:
        """Return all instruments in the Prometheus text format."""
        lines = [f"almondspan_{name}_total {n}" for name, n in self._counts.items()]
        lines += [
            f"almondspan_{name}_total{labels} {n}"
            for (name, labels), n in self._labelled_counts.items()
        ]
        lines += [
            f"almondspan_{name}{labels} {value:g}"
            for (name, labels), value in self._gauges.items()
        ]
        for name, histogram in self._histograms.items():
            lines += _histogram_lines(f"almondspan_{name}_ms", histogram)
        return "\n".join(lines) + "\n"


def _labels_text(labels: Mapping[str, str]) -> str:
    """Return labels as the text format has them, or nothing."""
    if not labels:
        return ""
    pairs = [f'{name}="{_escaped(value)}"' for name, value in labels.items()]
    return "{" + ",".join(pairs) + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _histogram_lines(name: str, histogram: Histogram) -> list[str]:
    lines = []
    n_total = 0
    for bound_ms, n in zip((*BOUNDS_MS, "+Inf"), histogram.counts, strict=True):
        n_total += n
        lines.append(f'{name}_bucket{{le="{bound_ms}"}} {n_total}')
    return [*lines, f"{name}_sum {histogram.sum_ms:g}", f"{name}_count {n_total}"]
