"""HTTP routes for the platform's probes and for scraping metrics."""

from collections.abc import Callable

from aiohttp import web

from almondspan_daemon.metrics import Metrics

__all__ = ["add_health_routes"]


def add_health_routes(
    app: web.Application, metrics: Metrics, not_ready_reason: Callable[[], str]
) -> None:
    """Add ``/healthz``, ``/readyz`` and ``/metrics``.

    `not_ready_reason` returns an empty string when the process is ready.
    """

    async def healthz(request: web.Request) -> web.Response:
        return web.json_response({"status": "alive"})

    async def readyz(request: web.Request) -> web.Response:
        reason = not_ready_reason()
        if reason:
            return web.json_response({"status": reason}, status=503)
        return web.json_response({"status": "ready"})

    async def scrape(request: web.Request) -> web.Response:
        return web.Response(
            body=metrics.exposition(), content_type="text/plain", charset="utf-8"
        )

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", scrape)
