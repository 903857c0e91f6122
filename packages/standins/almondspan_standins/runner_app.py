"""HTTP handlers of a runner that serves clips and bills with seeded latencies.

A request is refused when its connection exceeds the limit or no slot is free. Else it
occupies a slot, waits for its latency and is answered. A bill is added to the ledger
before its latency passes. Latencies follow a log-normal distribution around the
median; a share of the requests are stragglers, and a slowdown factor applies to all.
The runner counts the requests that exceeded its limits.
"""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final
from weakref import WeakSet

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from almondspan_decisions.ids import ServiceName
from almondspan_standins.bodies import bill_body, clip_body
from almondspan_standins.faults import CallFaults
from almondspan_standins.serving import (
    JSON_TYPE,
    add_debug_routes,
    fault_middleware,
    json_answer,
)

__all__ = [
    "RunnerApp",
    "RunnerDebug",
    "RunnerFaults",
    "RunnerOptions",
    "RunnerPressure",
]


@dataclass(frozen=True, slots=True)
class RunnerOptions:
    """Limits and latencies of a runner.

    ``sigma`` is the parameter of the log-normal distribution of the latencies.
    """

    service: str = "clips"
    n_slots: int = 8
    n_connections: int = 64
    median_ms: float = 15.0
    sigma: float = 0.4
    straggler_share: float = 0.05
    straggler_factor: float = 8.0


@dataclass(frozen=True, slots=True)
class RunnerFaults(CallFaults):
    """Faults of a runner.

    Attributes
    ----------
    error_share : float
        Share of requests, 0 to 1, that are answered with status 500.
    freeze : bool
        All requests hang until the fault is removed.
    """

    error_share: float = 0.0
    freeze: bool = False


class RunnerDebug(msgspec.Struct, frozen=True):
    """Counters of the runner, and the request ids of its bills in order."""

    service: str
    n_served: int
    n_bills: int
    n_bills_repeated: int
    n_over_slots: int
    n_over_connections: int
    n_busy: int
    n_max_busy: int
    n_max_connections: int
    ledger: tuple[str, ...]
    faults: RunnerFaults


class RunnerPressure(msgspec.Struct, frozen=True):
    """Share of the slots that are busy."""

    load_share: float


class RunnerApp:
    """The HTTP handlers of one runner.

    ``n_open_connections`` is set by the server of the application.
    """

    def __init__(self, options: RunnerOptions, rng: random.Random) -> None:
        self._options: Final = options
        self._rng: Final = rng
        self._connections: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._n_busy = 0
        self._n_max_busy = 0
        self._n_max_connections = 0
        self._n_served = 0
        self._n_over_slots = 0
        self._n_over_connections = 0
        self._ledger: list[str] = []
        self._billed: set[str] = set()
        self._n_bills_repeated = 0
        self._unfrozen: Final = asyncio.Event()
        self._unfrozen.set()
        self.faults = RunnerFaults()
        self.slowdown_of: Callable[[], float] = lambda: 1.0
        self.n_open_connections: Callable[[], int] = lambda: len(self._connections)
        middlewares = [
            fault_middleware(lambda: self.faults, rng),
            self._slot_middleware(),
        ]
        self.app: Final = web.Application(middlewares=middlewares)
        self.app.router.add_get("/clip/{clip_id}", self._clip)
        self.app.router.add_post("/bill/{bill_id}", self._bill)
        self.app.router.add_get("/debug/pressure", self._show_pressure)
        add_debug_routes(self.app, self.describe, RunnerFaults, self.set_faults)

    def describe(self) -> RunnerDebug:
        """Return the counters and the ledger."""
        return RunnerDebug(
            service=self._options.service,
            n_served=self._n_served,
            n_bills=len(self._ledger),
            n_bills_repeated=self._n_bills_repeated,
            n_over_slots=self._n_over_slots,
            n_over_connections=self._n_over_connections,
            n_busy=self._n_busy,
            n_max_busy=self._n_max_busy,
            n_max_connections=self._n_max_connections,
            ledger=tuple(self._ledger),
            faults=self.faults,
        )

    @property
    def service(self) -> ServiceName:
        """The service that the runner serves."""
        return ServiceName(self._options.service)

    def load_share(self) -> float:
        """Return the share of the slots that are busy."""
        return self._n_busy / self._options.n_slots

    def set_faults(self, faults: RunnerFaults) -> None:
        """Replace the faults; hanging requests continue when ``freeze`` is unset."""
        self.faults = faults
        if faults.freeze:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    def _slot_middleware(self) -> Middleware:
        @web.middleware
        async def serve(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path.startswith("/debug"):
                return await handler(request)
            if not self._admit_connection(request):
                return _refuse("too many connections")
            if self._n_busy >= self._options.n_slots:
                self._n_over_slots += 1
                return _refuse("too many requests at once")
            self._n_busy += 1
            self._n_max_busy = max(self._n_max_busy, self._n_busy)
            try:
                return await self._serve(request, handler)
            finally:
                self._n_busy -= 1

        return serve

    async def _serve(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self._rng.random() < self.faults.error_share:
            return web.Response(status=500, text="error")
        answer = await handler(request)
        await asyncio.sleep(self.next_latency_s())
        await self._unfrozen.wait()
        self._n_served += 1
        return answer

    def _admit_connection(self, request: web.Request) -> bool:
        """Return whether a connection is within the limit; count a new one."""
        transport = request.transport
        if transport is None or transport in self._connections:
            return True
        n_open = self.n_open_connections()
        self._n_max_connections = max(self._n_max_connections, n_open)
        if n_open > self._options.n_connections:
            self._n_over_connections += 1
            return False
        self._connections.add(transport)
        return True

    def next_latency_s(self) -> float:
        """Draw the latency of the next request, in seconds."""
        options = self._options
        latency_ms = self._rng.lognormvariate(
            math.log(options.median_ms), options.sigma
        )
        if self._rng.random() < options.straggler_share:
            latency_ms *= options.straggler_factor
        return latency_ms * self.slowdown_of() / 1000.0

    async def _show_pressure(self, request: web.Request) -> web.Response:
        return json_answer(RunnerPressure(self.load_share()))

    async def _clip(self, request: web.Request) -> web.Response:
        body = clip_body(request.match_info["clip_id"])
        return web.Response(body=body, content_type="application/octet-stream")

    async def _bill(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("X-Request-Id", "")
        if not request_id:
            raise web.HTTPBadRequest(text="a bill needs X-Request-Id")
        self._n_bills_repeated += request_id in self._billed
        self._billed.add(request_id)
        self._ledger.append(request_id)
        body = bill_body(request.match_info["bill_id"], request_id)
        return web.Response(body=body, content_type=JSON_TYPE)


def _refuse(reason: str) -> web.Response:
    return web.Response(status=503, text=reason, headers={"Connection": "close"})
