"""Makes the platform's clients that the settings name."""

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
"""A call may be sent until its deadline and must take effect within the keeper's
`call_bound_s`, so that its deadline lies below that bound."""


def make_store(settings: EntrySettings | AgentSettings, tls: TlsSource | None) -> Store:
    """Return an unopened client of the store."""
    section = settings.store
    limits = CallLimits(section.call_timeout_s, section.max_calls_per_s)
    return STORE_ADAPTERS[section.adapter](section.addresses, tls, limits)


def make_worker(adapter: str, address: str, tls: TlsSource | None) -> Worker:
    """Return an unopened client of the worker at `address`."""
    return WORKER_ADAPTERS[adapter](address, tls, WORKER_LIMITS)
