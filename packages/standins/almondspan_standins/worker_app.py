"""HTTP handlers of a worker.

The bodies are defined in `almondspan_platform.worker_messages`.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from aiohttp import web

from almondspan_decisions.ids import TaskClass, TaskId, WorkerId
from almondspan_platform.worker import StartAttempt
from almondspan_platform.worker_messages import (
    AttemptRef,
    AttemptRefs,
    ChangeResult,
    Started,
    ThrottleRequest,
)
from almondspan_standins.faults import WorkerFaults
from almondspan_standins.serving import (
    add_debug_routes,
    fault_middleware,
    json_answer,
    read_json,
)
from almondspan_standins.worker_core import Effect, WorkerCore

__all__ = ["Pressure", "WorkerApp", "WorkerDebug"]

Handler = Callable[[web.Request], Awaitable[web.Response]]


class WorkerDebug(msgspec.Struct, frozen=True):
    """Counters of the worker, and all effects of its tasks."""

    worker_id: WorkerId
    n_started: int
    n_running: int
    n_evicted: int
    n_over_capacity: int
    n_duplicate_running: int
    running: tuple[tuple[TaskId, int], ...]
    ledger: tuple[Effect, ...]
    faults: WorkerFaults


class Pressure(msgspec.Struct, frozen=True):
    """The running task classes with their shares of the worker's processors."""

    running: tuple[tuple[TaskClass, float], ...]


class WorkerApp:
    """The HTTP handlers of one worker."""

    def __init__(self, core: WorkerCore, rng: random.Random) -> None:
        self._core: Final = core
        faults = fault_middleware(lambda: core.faults, rng)
        self.app: Final = web.Application(middlewares=[faults], client_max_size=2**23)
        reads: dict[str, Callable[[], Any]] = {
            "/v1/info": core.info,
            "/v1/attempts": core.list_attempts,
            "/v1/usage": core.usage,
            "/debug/pressure": self.pressure,
        }
        for path, read in reads.items():
            self.app.router.add_get(path, _reader(read))
        changes: dict[str, Handler] = {
            "start": self._start,
            "renew": self._renew,
            "throttle": self._throttle,
            "checkpoint": self._checkpoint,
            "stop": self._stop,
            "forget": self._forget,
        }
        for verb, handler in changes.items():
            self.app.router.add_post(f"/v1/attempts/{verb}", handler)
        add_debug_routes(self.app, self.describe, WorkerFaults, self._set_faults)

    def describe(self) -> WorkerDebug:
        """Return the counters and the ledger."""
        core = self._core
        core.advance()
        running = tuple(core.running_keys())
        return WorkerDebug(
            worker_id=core.worker_id,
            n_started=core.n_started,
            n_running=len(running),
            n_evicted=core.n_evicted,
            n_over_capacity=core.n_over_capacity,
            n_duplicate_running=core.n_duplicate_running,
            running=running,
            ledger=tuple(core.ledger),
            faults=core.faults,
        )

    def pressure(self) -> Pressure:
        """Return the classes that run now."""
        self._core.advance()
        return Pressure(tuple(self._core.running_classes()))

    def _set_faults(self, faults: WorkerFaults) -> None:
        self._core.advance()
        self._core.faults = faults

    async def _start(self, request: web.Request) -> web.Response:
        body = await read_json(request, StartAttempt)
        return json_answer(Started(self._core.start_attempt(body)))

    async def _renew(self, request: web.Request) -> web.Response:
        body = await read_json(request, AttemptRefs)
        return json_answer(AttemptRefs.of(self._core.renew(body.keys())))

    async def _throttle(self, request: web.Request) -> web.Response:
        body = await read_json(request, ThrottleRequest)
        key = (body.task_id, body.attempt)
        return json_answer(ChangeResult(self._core.throttle(key, body.share)))

    async def _checkpoint(self, request: web.Request) -> web.Response:
        body = await read_json(request, AttemptRef)
        return json_answer(ChangeResult(self._core.checkpoint(body.key())))

    async def _stop(self, request: web.Request) -> web.Response:
        body = await read_json(request, AttemptRef)
        return json_answer(ChangeResult(self._core.stop(body.key())))

    async def _forget(self, request: web.Request) -> web.Response:
        body = await read_json(request, AttemptRefs)
        return json_answer(ChangeResult(self._core.forget(body.keys())))


def _reader(read: Callable[[], Any]) -> Handler:
    async def answer(request: web.Request) -> web.Response:
        return json_answer(read())

    return answer
