"""When a second attempt is sent for a call whose first one is slow.

The delay is a high quantile of the recent times until an answer began, learned per
service, and at least a multiple of their median: when all calls take about as long,
hardly any is hedged. Only idempotent requests are hedged, only when another runner
has a free slot, and each hedge is paid from the retry budget.
"""

from typing import Final

from almondspan_decisions.ids import ServiceName
from almondspan_service.latency_window import LatencyWindow
from almondspan_service.router_options import RouterOptions

__all__ = ["HedgeDelays"]

MIN_DELAY_MEDIANS: Final = 2.0
"""The least delay, in medians."""


class HedgeDelays:
    """Learned delays by service."""

    def __init__(self, options: RouterOptions) -> None:
        self._options = options
        self._windows: dict[ServiceName, LatencyWindow] = {}

    def add(self, service: ServiceName, now_s: float, latency_ms: float) -> None:
        """Count the time until an answer began."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = LatencyWindow(
                self._options.hedge_period_s,
                (0.5, self._options.hedge_quantile),
                self._options.hedge_min_calls,
            )
        window.add(now_s, latency_ms)

    def delay_s(self, service: ServiceName, now_s: float) -> float | None:
        """Return how long to wait before a hedge; None while not known."""
        window = self._windows.get(service)
        known_ms = () if window is None else window.quantiles_ms(now_s)
        if not known_ms:
            return None
        median_ms, high_ms = known_ms
        least_ms = max(median_ms * MIN_DELAY_MEDIANS, self._options.hedge_min_delay_ms)
        return max(high_ms, least_ms) / 1000.0
