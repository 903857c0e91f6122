"""Registry of the `Store` and `Worker` adapters, by the name used in the settings.

Importing an adapter's module registers it; `almondspan_platform.adapters` imports all
adapters of this package.
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
"""Returns the TLS context for new connections; called for each request."""


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Time and rate limits of one client's calls.

    Attributes
    ----------
    timeout_s : float
        Time limit in seconds until a call is answered, including the wait for the rate
        limit, and for each pause while the answer arrives.
    calls_per_s, n_burst : float, int
        Rate limit for all calls together; opening a watch counts as one call.
    """

    timeout_s: float = 2.5
    calls_per_s: float = 100.0
    n_burst: int = 100


DEFAULT_LIMITS: Final = CallLimits()


class StoreFactory(Protocol):
    """Makes a `Store` client from the store's addresses (``http://ip:port``)."""

    def __call__(
        self,
        addresses: tuple[str, ...],
        tls: TlsSource | None = None,
        limits: CallLimits = DEFAULT_LIMITS,
    ) -> Store:
        """Return a client that is not started; `tls` serves https addresses."""
        ...


class WorkerFactory(Protocol):
    """Makes a `Worker` client from a worker's address (``http://ip:port``)."""

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
