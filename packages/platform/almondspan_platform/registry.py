"""Adapters of the two Protocols, found by the name that the settings give."""

from collections.abc import Callable

from almondspan_platform.store import Store
from almondspan_platform.worker import Worker

__all__ = ["STORE_ADAPTERS", "WORKER_ADAPTERS", "store_adapter", "worker_adapter"]

StoreFactory = Callable[[tuple[str, ...]], Store]
"""Makes a client from the service's addresses (``http://ip:port``)."""

WorkerFactory = Callable[[str], Worker]
"""Makes a client from a worker's address (``http://ip:port``)."""

STORE_ADAPTERS: dict[str, StoreFactory] = {}
WORKER_ADAPTERS: dict[str, WorkerFactory] = {}


def store_adapter(name: str) -> Callable[[StoreFactory], StoreFactory]:
    """Register a factory of `Store` clients under `name`."""

    def register(factory: StoreFactory) -> StoreFactory:
        STORE_ADAPTERS[name] = factory
        return factory

    return register


def worker_adapter(name: str) -> Callable[[WorkerFactory], WorkerFactory]:
    """Register a factory of `Worker` clients under `name`."""

    def register(factory: WorkerFactory) -> WorkerFactory:
        WORKER_ADAPTERS[name] = factory
        return factory

    return register
