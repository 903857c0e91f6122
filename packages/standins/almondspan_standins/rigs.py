"""Test rigs that run the same contract tests on every adapter.

A rig consists of a stand-in with its own clock and of the adapter's clients connected
to it; closing the rig closes them all. To run the contract tests on an adapter from
another package, register a rig for it in `STORE_RIGS` or `WORKER_RIGS`.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final, Protocol, TypeVar

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_platform.etcd_json import EtcdJsonOptions, EtcdJsonStore
from almondspan_platform.http_json import HttpJsonWorker, HttpJsonWorkerOptions
from almondspan_platform.registry import CallLimits
from almondspan_platform.store import Store
from almondspan_platform.worker import Worker
from almondspan_standins.memory_store import MemoryStore, MemoryStoreOptions
from almondspan_standins.memory_worker import MemoryWorker
from almondspan_standins.serving import HttpServer
from almondspan_standins.store_app import StoreApp
from almondspan_standins.store_core import StoreCore
from almondspan_standins.worker_app import WorkerApp
from almondspan_standins.worker_core import WorkerCore

__all__ = [
    "STORE_RIGS",
    "WORKER_RIGS",
    "HttpStoreRig",
    "HttpWorkerRig",
    "MemoryStoreRig",
    "MemoryWorkerRig",
    "ShiftedClock",
    "StoreRig",
    "WorkerRig",
    "opened",
]

LONG_TIMEOUT_S: Final = 10.0
"""Timeout that expires only when a test injects a fault."""

PROGRESS_S: Final = 0.05

SHUTDOWN_TIMEOUT_S: Final = 0.02

CAPACITY: Final = Shape(4000, 8000, 1)


class ShiftedClock:
    """The time of the running loop plus the time skipped by a test."""

    def __init__(self) -> None:
        self._now: Final = asyncio.get_running_loop().time
        self._skipped_s = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self._now() + self._skipped_s

    def skip(self, seconds: float) -> None:
        """Move the clock forward."""
        self._skipped_s += seconds


class StoreRig(Protocol):
    """A store stand-in with its clients."""

    core: StoreCore

    async def start(self) -> None:
        """Start the stand-in."""
        ...

    async def close(self) -> None:
        """Close the clients, then the stand-in."""
        ...

    async def client(
        self, call_timeout_s: float = LONG_TIMEOUT_S, silence_s: float = LONG_TIMEOUT_S
    ) -> Store:
        """Return a new started client."""
        ...

    def skip(self, seconds: float) -> None:
        """Move the stand-in's clock forward."""
        ...


class WorkerRig(Protocol):
    """A worker stand-in with its clients."""

    core: WorkerCore

    async def start(self) -> None:
        """Start the stand-in."""
        ...

    async def close(self) -> None:
        """Close the clients, then the stand-in."""
        ...

    async def client(self, call_timeout_s: float = LONG_TIMEOUT_S) -> Worker:
        """Return a new started client."""
        ...

    def skip(self, seconds: float) -> None:
        """Move the stand-in's clock forward."""
        ...


class _Rig(Protocol):
    async def start(self) -> None: ...

    async def close(self) -> None: ...


AnyRig = TypeVar("AnyRig", bound=_Rig)


@asynccontextmanager
async def opened(
    make_rig: Callable[[], AnyRig], limit_s: float
) -> AsyncIterator[AnyRig]:
    """Start a rig and close it at the end; the body must end within `limit_s`."""
    rig = make_rig()
    await rig.start()
    try:
        async with asyncio.timeout(limit_s):
            yield rig
    finally:
        await rig.close()


class MemoryStoreRig:
    """Clients in the process of the stand-in."""

    def __init__(self) -> None:
        self._clock: Final = ShiftedClock()
        self._clients: list[Store] = []
        self.core: StoreCore = StoreCore(self._clock)

    async def start(self) -> None:
        """Do nothing: there is no server."""

    async def close(self) -> None:
        """Close the clients."""
        for client in self._clients:
            await client.close()

    async def client(
        self, call_timeout_s: float = LONG_TIMEOUT_S, silence_s: float = LONG_TIMEOUT_S
    ) -> Store:
        """Return a new started client."""
        client = self.make_client(call_timeout_s, silence_s)
        await client.start()
        self._clients.append(client)
        return client

    def make_client(self, call_timeout_s: float, silence_s: float) -> Store:
        """Return a client without starting it."""
        return MemoryStore(self.core, MemoryStoreOptions(call_timeout_s, silence_s))

    def skip(self, seconds: float) -> None:
        """Move the clock forward and delete the keys of expired leases."""
        self._clock.skip(seconds)
        self.core.collect_lapsed()


class HttpStoreRig(MemoryStoreRig):
    """Clients over HTTP on a loopback address."""

    def __init__(self) -> None:
        super().__init__()
        app = StoreApp(self.core, random.Random(1), PROGRESS_S).app
        self.server: Final = HttpServer(app, shutdown_timeout_s=SHUTDOWN_TIMEOUT_S)

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start()

    async def close(self) -> None:
        """Close the clients, then the server."""
        await super().close()
        await self.server.close()

    def make_client(self, call_timeout_s: float, silence_s: float) -> Store:
        """Return a client without starting it."""
        limits = CallLimits(call_timeout_s)
        options = EtcdJsonOptions(limits, call_timeout_s, silence_s)
        return EtcdJsonStore((self.server.address,), options)


class MemoryWorkerRig:
    """Clients in the process of the stand-in."""

    def __init__(self) -> None:
        self._clock: Final = ShiftedClock()
        self._clients: list[Worker] = []
        self.core: WorkerCore = WorkerCore(WorkerId("w1"), CAPACITY, self._clock)

    async def start(self) -> None:
        """Do nothing: there is no server."""

    async def close(self) -> None:
        """Close the clients."""
        for client in self._clients:
            await client.close()

    async def client(self, call_timeout_s: float = LONG_TIMEOUT_S) -> Worker:
        """Return a new started client."""
        client = self.make_client(call_timeout_s)
        await client.start()
        self._clients.append(client)
        return client

    def make_client(self, call_timeout_s: float) -> Worker:
        """Return a client without starting it."""
        return MemoryWorker(self.core, call_timeout_s)

    def skip(self, seconds: float) -> None:
        """Move the clock forward."""
        self._clock.skip(seconds)


class HttpWorkerRig(MemoryWorkerRig):
    """Clients over HTTP on a loopback address."""

    def __init__(self) -> None:
        super().__init__()
        app = WorkerApp(self.core, random.Random(1)).app
        self.server: Final = HttpServer(app, shutdown_timeout_s=SHUTDOWN_TIMEOUT_S)

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start()

    async def close(self) -> None:
        """Close the clients, then the server."""
        await super().close()
        await self.server.close()

    def make_client(self, call_timeout_s: float) -> Worker:
        """Return a client without starting it."""
        options = HttpJsonWorkerOptions(CallLimits(call_timeout_s), call_timeout_s)
        return HttpJsonWorker(self.server.address, options)


STORE_RIGS: dict[str, Callable[[], StoreRig]] = {
    "memory": MemoryStoreRig,
    "etcd_json": HttpStoreRig,
}

WORKER_RIGS: dict[str, Callable[[], WorkerRig]] = {
    "memory": MemoryWorkerRig,
    "http_json": HttpWorkerRig,
}
