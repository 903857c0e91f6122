"""Metrics of a process: OpenTelemetry counters and gauges in Prometheus format.

Components count in plain integers; this module reads them when it is scraped, so that
counting on a hot path needs no call.
"""

from collections.abc import Callable, Iterable
from dataclasses import fields, is_dataclass
from functools import partial

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest

__all__ = ["Metrics"]


class Metrics:
    """The metrics of one process."""

    def __init__(self, process_id: str, role: str) -> None:
        resource = Resource({"service.name": f"almondspan-{role}"})
        self._provider = MeterProvider(
            resource=resource,
            metric_readers=[PrometheusMetricReader(disable_target_info=True)],
        )
        self._meter = self._provider.get_meter("almondspan")
        self._attributes = {"process": process_id}

    def counter(self, name: str, read: Callable[[], int], text: str) -> None:
        """Expose a monotonic count."""
        self._meter.create_observable_counter(
            name, callbacks=[self._observer(read)], description=text
        )

    def counters(self, prefix: str, counts: object) -> None:
        """Expose every integer field of a dataclass, named without its ``n_``."""
        assert is_dataclass(counts)
        for field in fields(counts):
            if isinstance(getattr(counts, field.name), int):
                name = f"{prefix}.{field.name.removeprefix('n_')}"
                read = partial(getattr, counts, field.name)
                self.counter(name, read, f"{prefix}: {field.name} since the start.")

    def gauge(self, name: str, read: Callable[[], float], text: str) -> None:
        """Expose a value that can go up and down."""
        self._meter.create_observable_gauge(
            name, callbacks=[self._observer(read)], description=text
        )

    def _observer(
        self, read: Callable[[], float]
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read(), self._attributes)]

        return observe

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest()

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()
