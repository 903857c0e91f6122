"""Delays after which a slow call is hedged by a second attempt.

The delay of a service is a high quantile of its recent times to an answer's head, but
at least a multiple of their median: when all calls take similar times, hardly any is
hedged. Only idempotent calls are hedged, only if another runner has a free slot, and
within the retry budget.
"""

from typing import Final

from almondspan_decisions.ids import ServiceName
from almondspan_service.latency_window import LatencyWindow
from almondspan_service.router_options import RouterOptions

__all__ = ["HedgeDelays"]

MIN_DELAY_MEDIANS: Final = 2.0
"""Minimum delay, as a multiple of the median."""


class HedgeDelays:
    """Hedge delays by service."""

    def __init__(self, options: RouterOptions) -> None:
        self._options = options
        self._windows: dict[ServiceName, LatencyWindow] = {}

    def add(self, service: ServiceName, now_s: float, latency_ms: float) -> None:
        """Record the time to an answer's head."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = LatencyWindow(
                self._options.hedge_period_s,
                (0.5, self._options.hedge_quantile),
                self._options.hedge_min_calls,
            )
        window.add(now_s, latency_ms)

    def delay_s(self, service: ServiceName, now_s: float) -> float | None:
        """Return the delay before a hedge; None while too few latencies are known."""
        window = self._windows.get(service)
        known_ms = () if window is None else window.quantiles_ms(now_s)
        if not known_ms:
            return None
        median_ms, high_ms = known_ms
        least_ms = max(median_ms * MIN_DELAY_MEDIANS, self._options.hedge_min_delay_ms)
        return max(high_ms, least_ms) / 1000.0
