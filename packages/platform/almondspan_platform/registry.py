"""Adapters of the two Protocols, found by the name that the settings give.

Importing an adapter's module registers it; `almondspan_platform.adapters` imports
those of this package.
"""

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from almondspan_platform.store import Store
from almondspan_platform.worker import Worker

__all__ = [
    "DEFAULT_LIMITS",
    "STORE_ADAPTERS",
    "WORKER_ADAPTERS",
    "CallLimits",
    "StoreFactory",
    "TlsSource",
    "WorkerFactory",
    "store_adapter",
    "worker_adapter",
]

TlsSource = Callable[[], ssl.SSLContext]
"""Returns the context that new connections use; called for each request."""


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of every call of one client.

    Attributes
    ----------
    timeout_s : float
        Deadline of a call in seconds, the wait for the rate bound included.
    calls_per_s, n_burst : float, int
        The bound on all calls together; an opened watch is one call.
    """

    timeout_s: float = 2.5
    calls_per_s: float = 100.0
    n_burst: int = 100


DEFAULT_LIMITS: Final = CallLimits()


class StoreFactory(Protocol):
    """Makes a client from the service's addresses (``http://ip:port``)."""

    def __call__(
        self,
        addresses: tuple[str, ...],
        tls: TlsSource | None = None,
        limits: CallLimits = DEFAULT_LIMITS,
    ) -> Store:
        """Return a client that is not started; `tls` serves https addresses."""
        ...


class WorkerFactory(Protocol):
    """Makes a client from a worker's address (``http://ip:port``)."""

    def __call__(
        self,
        address: str,
        tls: TlsSource | None = None,
        limits: CallLimits = DEFAULT_LIMITS,
    ) -> Worker:
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
