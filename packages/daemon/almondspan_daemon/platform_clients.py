"""Creates the clients of the platform's services that the settings name."""

from typing import Final

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

__all__ = ["WORKER_LIMITS", "make_store", "make_worker"]

WORKER_LIMITS: Final = CallLimits(timeout_s=1.5)
"""A call may be sent until its deadline, and it must take effect within the attempt
agent's `call_bound_s`; the deadline is therefore below that bound."""


def make_store(settings: EntrySettings | AgentSettings, tls: TlsSource | None) -> Store:
    """Return a client of the store; it is not started."""
    section = settings.store
    limits = CallLimits(section.call_timeout_s, section.max_calls_per_s)
    return STORE_ADAPTERS[section.adapter](section.addresses, tls, limits)


def make_worker(adapter: str, address: str, tls: TlsSource | None) -> Worker:
    """Return a client of the worker at `address`; it is not started."""
    return WORKER_ADAPTERS[adapter](address, tls, WORKER_LIMITS)
