"""Metrics of one runner's calls: run times, latencies and error-budget burn."""

from dataclasses import dataclass

from almondspan_decisions.burn import BurnCounter, burn_rate
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import ServiceName
from almondspan_decisions.latency_sketch import LatencySketch
from almondspan_decisions.recent_calls import RecentCalls
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.latency_window import LatencyWindow
from almondspan_service.run_estimate import RunEstimate

__all__ = ["BurnSample", "AdmissionMetrics"]


@dataclass(frozen=True, slots=True)
class BurnSample:
    """Calls of a time window, those that missed the objective, and the burn rate."""

    n_calls: int
    n_missed: int
    burn_rate: float


class AdmissionMetrics:
    """Run times and latencies of calls, in bounded memory.

    ``latencies`` holds all calls since the start, in milliseconds; the other values
    cover recent calls.
    """

    def __init__(self, options: AdmissionOptions) -> None:
        self.run = RunEstimate(options.initial_run_s)
        self.recent = RecentCalls()
        self.latencies = LatencySketch()
        self.objective_ms = options.objective_latency_ms
        self._objective_share = options.objective_share
        self._burn = BurnCounter()
        self._tail = LatencyWindow(
            options.tail_period_s, (options.tail_share,), options.tail_min_calls
        )

    def set_fleet(self, fleet: FleetConfig, service: ServiceName) -> None:
        """Apply the service's objective from a configuration."""
        for known in fleet.services:
            if known.name == service:
                self.objective_ms = known.objective_latency_ms
                self._objective_share = known.objective_share

    def record_answer(self, now_s: float, run_s: float, latency_s: float) -> None:
        """Record an answered call: its run time and its latency with queueing."""
        latency_ms = latency_s * 1000.0
        self.run.add(run_s)
        self.recent.add(now_s, run_s * 1000.0, latency_ms)
        self.latencies.add(latency_ms)
        self._burn.record(now_s, latency_ms > self.objective_ms)
        self._tail.add(now_s, latency_ms)

    def record_miss(self, now_s: float) -> None:
        """Record a call without an answer as one that missed the objective."""
        self._burn.record(now_s, True)

    def burn(self, now_s: float, window_s: float) -> BurnSample:
        """Return the burn rate over the last `window_s` seconds and its counts."""
        counts = self._burn.counts(now_s, window_s)
        rate = burn_rate(counts, self._objective_share)
        return BurnSample(counts.n_calls, counts.n_missed, rate)

    def tail_ms(self, now_s: float) -> float:
        """Return the tail latency of recent calls; 0 while unknown."""
        known_ms = self._tail.quantiles_ms(now_s)
        return known_ms[0] if known_ms else 0.0

    def run_ms(self) -> float:
        """Return the median of recent run times, in milliseconds."""
        return self.run.median_s * 1000.0
