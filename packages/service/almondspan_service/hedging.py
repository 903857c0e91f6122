"""When a second attempt is sent for a call whose first one is slow.

The delay is a high quantile of the recent times until an answer began, learned per
service. Only idempotent requests are hedged, only when another runner has a free
slot, and each hedge is paid from the retry budget.
"""

from almondspan_decisions.ids import ServiceName
from almondspan_service.latency import LatencyWindow
from almondspan_service.router_options import RouterOptions

__all__ = ["HedgeDelays"]


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
                self._options.hedge_quantile,
                self._options.hedge_least_calls,
            )
        window.add(now_s, latency_ms)

    def delay_s(self, service: ServiceName, now_s: float) -> float | None:
        """Return how long to wait before a hedge; None while not known."""
        window = self._windows.get(service)
        quantile_ms = None if window is None else window.quantile_ms(now_s)
        if quantile_ms is None:
            return None
        return max(quantile_ms, self._options.hedge_least_ms) / 1000.0
