"""Adapters of the two Protocols, found by the name that the settings give.

Importing an adapter's module registers it; `almondspan_platform.adapters` imports
those of this package.
"""

import ssl
from collections.abc import Callable
from typing import Protocol

from almondspan_platform.store import Store
from almondspan_platform.worker import Worker

__all__ = [
    "STORE_ADAPTERS",
    "WORKER_ADAPTERS",
    "StoreFactory",
    "TlsSource",
    "WorkerFactory",
    "store_adapter",
    "worker_adapter",
]

TlsSource = Callable[[], ssl.SSLContext]
"""Returns the context that new connections use; called for each request."""


class StoreFactory(Protocol):
    """Makes a client from the service's addresses (``http://ip:port``)."""

    def __call__(
        self, addresses: tuple[str, ...], tls: TlsSource | None = None
    ) -> Store:
        """Return a client that is not started; `tls` serves https addresses."""
        ...


class WorkerFactory(Protocol):
    """Makes a client from a worker's address (``http://ip:port``)."""

    def __call__(self, address: str, tls: TlsSource | None = None) -> Worker:
        """Return a client that is not started; `tls` serves https addresses."""
        ...


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
