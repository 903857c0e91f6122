"""Makes the platform's clients that the settings name."""

# Importing the adapters registers them.
from almondspan_daemon.settings import AgentSettings, EntrySettings
from almondspan_platform import adapters  # noqa: F401
from almondspan_platform.registry import STORE_ADAPTERS, WORKER_ADAPTERS
from almondspan_platform.store import Store
from almondspan_platform.worker import Worker

__all__ = ["make_store", "make_worker"]


def make_store(settings: EntrySettings | AgentSettings) -> Store:
    """Return an unopened client of the store."""
    return STORE_ADAPTERS[settings.store.adapter](settings.store.addresses)


def make_worker(adapter: str, address: str) -> Worker:
    """Return an unopened client of the worker at `address`."""
    return WORKER_ADAPTERS[adapter](address)
