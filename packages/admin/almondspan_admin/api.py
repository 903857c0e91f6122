"""Serves the administration API over HTTP.

Each request passes through the same steps: authenticate the bearer token; apply the
team's rate limit; check the role; read the body up to its size limit; decode it as
the route's body type; call the handler; encode the response as JSON.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from importlib import resources
from typing import Final

import msgspec
from aiohttp import web

from almondspan_admin import config_routes, fleet_routes, job_routes
from almondspan_admin.auth import Identity, identify
from almondspan_admin.config_client import ConfigClient
from almondspan_admin.fleet_view import FleetView
from almondspan_admin.rate_limiter import RateLimiter
from almondspan_admin.routes import (
    ROUTES,
    Access,
    ApiCall,
    ApiContext,
    Reply,
    Route,
    refuse,
)
from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason
from almondspan_decisions.fleet import FleetConfig
from almondspan_tasks.job_client import JobClient

__all__ = ["AdminApi", "AdminCounters", "AdminOptions"]

ROUTE_MODULES: Final = (config_routes, fleet_routes, job_routes)
"""Modules that register their routes when they are imported."""

OPENAPI_PATH: Final = "/v1/openapi.json"
ANONYMOUS: Final = "(no valid token)"
"""The rate limiter's key for requests without a valid token."""


@dataclass(frozen=True, slots=True)
class AdminOptions:
    """Limits of the administration API, and the digest of the bootstrap token.

    The bootstrap token authorises submitting the first configuration.
    """

    bootstrap_token_sha256: str = ""
    max_body_bytes: int = 1_000_000
    max_requests_per_s: float = 50.0
    wall_clock: Callable[[], float] = time.time


@dataclass(slots=True)
class AdminCounters:
    """Counters of requests since the process started."""

    n_requests: int = 0
    n_unauthorized: int = 0
    n_forbidden: int = 0
    n_rate_limited: int = 0
    n_oversized: int = 0
    n_malformed: int = 0


class AdminApi:
    """The administration API of an entry.

    Parameters
    ----------
    job_client : JobClient
        Submits, cancels and looks up jobs.
    config_client : ConfigClient
    fleet_view : FleetView
    options : AdminOptions, optional
    """

    def __init__(
        self,
        job_client: JobClient,
        config_client: ConfigClient,
        fleet_view: FleetView,
        options: AdminOptions | None = None,
    ) -> None:
        self._options = options or AdminOptions()
        self._context = ApiContext(
            job_client, config_client, fleet_view, self._options.wall_clock
        )
        self._limiter = RateLimiter()
        self._openapi = (
            resources.files("almondspan_admin").joinpath("openapi.json").read_bytes()
        )
        self.counters = AdminCounters()

    def add_routes(self, app: web.Application) -> None:
        """Add every route of the API to an application that has not started."""
        app.router.add_get(OPENAPI_PATH, self._serve_openapi)
        for route in ROUTES:
            app.router.add_route(route.method, route.path, self._make_handler(route))

    async def _serve_openapi(self, request: web.Request) -> web.Response:
        return web.Response(body=self._openapi, content_type="application/json")

    def _make_handler(
        self, route: Route
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handle(request: web.Request) -> web.StreamResponse:
            return _encode(await self._respond(route, request))

        return handle

    async def _respond(self, route: Route, request: web.Request) -> Reply:
        self.counters.n_requests += 1
        identity = self._identify(request, self._context.fleet())
        if identity is None:
            fleet = await self._context.fresh_fleet()
            identity = self._identify(request, fleet)
        refusal = self._admit(route, identity)
        if refusal is not None:
            return refusal
        assert identity is not None
        data = await self._read_body(request)
        if isinstance(data, Reply):
            return data
        body: msgspec.Struct | None = None
        if route.body is not None:
            try:
                body = msgspec.json.decode(data, type=route.body)
            except DECODE_ERRORS as error:
                self.counters.n_malformed += 1
                return refuse(
                    HTTPStatus.BAD_REQUEST, "bad_request", decode_reason(error)
                )
        call = ApiCall(identity, request.match_info, body)
        return await route.handler(self._context, call)

    def _identify(self, request: web.Request, fleet: FleetConfig) -> Identity | None:
        header = request.headers.get("Authorization", "")
        return identify(header, fleet, self._options.bootstrap_token_sha256)

    def _admit(self, route: Route, identity: Identity | None) -> Reply | None:
        """Return the error response when the request is not allowed, or None."""
        now_s = asyncio.get_running_loop().time()
        rate_per_s = self._options.max_requests_per_s
        if identity is not None and identity.max_requests_per_s > 0:
            rate_per_s = identity.max_requests_per_s
        key = identity.team if identity is not None else ANONYMOUS
        wait_s = self._limiter.delay_s(key, rate_per_s, now_s)
        if wait_s > 0:
            self.counters.n_rate_limited += 1
            reason = f"rate limit exceeded; retry in {wait_s:.2f} s"
            return refuse(HTTPStatus.TOO_MANY_REQUESTS, "rate_limited", reason)
        if identity is None:
            self.counters.n_unauthorized += 1
            reason = "missing or invalid bearer token"
            return refuse(HTTPStatus.UNAUTHORIZED, "unauthorized", reason)
        if route.access is Access.OPERATOR and not identity.operator:
            self.counters.n_forbidden += 1
            reason = f"team {identity.team} does not have the operator role"
            return refuse(HTTPStatus.FORBIDDEN, "forbidden", reason)
        return None

    async def _read_body(self, request: web.Request) -> bytes | Reply:
        limit = self._options.max_body_bytes
        data = bytearray()
        if (request.content_length or 0) <= limit:
            async for chunk in request.content.iter_any():
                data += chunk
                if len(data) > limit:
                    break
            else:
                return bytes(data)
        self.counters.n_oversized += 1
        reason = f"request body exceeds {limit} bytes"
        return refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too_large", reason)


def _encode(reply: Reply) -> web.Response:
    headers = {}
    if reply.status is HTTPStatus.TOO_MANY_REQUESTS:
        headers["Retry-After"] = "1"
    if reply.status is HTTPStatus.UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        body=msgspec.json.encode(reply.body),
        status=reply.status,
        headers=headers,
        content_type="application/json",
    )
