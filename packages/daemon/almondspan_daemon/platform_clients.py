"""Makes the platform's clients that the settings name."""

# Importing the adapters registers them.
from almondspan_daemon.settings import AgentSettings, EntrySettings
from almondspan_platform import adapters  # noqa: F401
from almondspan_platform.registry import (
    STORE_ADAPTERS,
    WORKER_ADAPTERS,
    CallLimits,
    TlsSource,
)
from almondspan_platform.store import Store
from almondspan_platform.worker import Worker

__all__ = ["make_store", "make_worker"]


def make_store(settings: EntrySettings | AgentSettings, tls: TlsSource | None) -> Store:
    """Return an unopened client of the store."""
    section = settings.store
    limits = CallLimits(section.call_timeout_s, section.max_calls_per_s)
    return STORE_ADAPTERS[section.adapter](section.addresses, tls, limits)


def make_worker(adapter: str, address: str, tls: TlsSource | None) -> Worker:
    """Return an unopened client of the worker at `address`."""
    return WORKER_ADAPTERS[adapter](address, tls)
