"""The HTTP routes for probes and metrics."""

import asyncio
from dataclasses import dataclass

import aiohttp
import pytest
from aiohttp import web

from almondspan_daemon.health import add_health_routes
from almondspan_daemon.metrics import Metrics
from almondspan_daemon.web_server import WebServer


@dataclass
class ProbeCounts:
    """Counts of which only the integers are exposed."""

    n_seen: int = 3
    waited_s: float = 1.5


async def fetch(path: str, reason: str) -> tuple[int, str]:
    metrics = Metrics("agent-0-test", "agent")
    metrics.counter("probe.asked", lambda: 7, "Asked.")
    metrics.gauge("probe.level", lambda: 2.5, "Level.")
    metrics.counters("probe.counts", ProbeCounts())
    app = web.Application()
    add_health_routes(app, metrics, lambda: reason)
    server = WebServer(app)
    port = await server.start("127.0.0.1", 0, None)
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}{path}") as response,
        ):
            return response.status, await response.text()
    finally:
        await server.close()
        metrics.close()


@pytest.mark.parametrize(
    ("path", "reason", "status", "text"),
    [
        pytest.param("/healthz", "", 200, "alive", id="alive"),
        pytest.param("/healthz", "draining", 200, "alive", id="alive while draining"),
        pytest.param("/readyz", "", 200, "ready", id="ready"),
        pytest.param("/readyz", "draining", 503, "draining", id="not ready"),
        pytest.param("/metrics", "", 200, "probe_asked_total{", id="counter"),
        pytest.param("/metrics", "", 200, "probe_level{", id="gauge"),
        pytest.param("/metrics", "", 200, "probe_counts_seen_total{", id="counts"),
        pytest.param("/nothing", "", 404, "Not Found", id="no such route"),
    ],
)
def test_routes(path: str, reason: str, status: int, text: str) -> None:
    found = asyncio.run(fetch(path, reason))
    assert found[0] == status
    assert text in found[1]
