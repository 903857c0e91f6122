"""Applies the budget for clients' requests to the connections of a process.

One `ClientGate` serves all listeners of a process. A connection reports what it holds
to its `ConnectionGate`; `RequestBudget` decides, and the gate calls the connections
that are dropped. Each drop is counted by listener and reason, and logged in sums.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.request_budget import (
    REQUEST_BYTES,
    ConnectionId,
    Drop,
    DropReason,
    ListenerLimit,
    ListenerName,
    RequestBudget,
    budget_bytes,
    listener_limits,
)
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.heap import release_free_memory
from almondspan_jobs.metrics import Metrics

__all__ = ["ClientGate", "ClientLimits", "ConnectionGate", "ListenerGate"]

SWEEP_S: Final = 0.5
"""How often requests whose time is over are dropped, and drops are logged."""

DropHandler = Callable[[DropReason], None]


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits for the clients of a process."""

    memory_mb: float = 200.0
    max_fds: int = 4_096
    memory_share: float = 0.125
    """Share of the memory for the unfinished requests of all clients."""

    max_head_bytes: int = 32 * 1024
    max_head_fields: int = 100
    head_s: float = 10.0
    """How long a request's head may take from its first byte."""

    max_body_s: float = 30.0
    """How long a body may take, however long the caller waits."""

    report_s: float = 15.0
    """How long the body of a worker's report may take."""

    frame_s: float = 20.0
    """How long a message of another process may take."""

    unread_s: float = 10.0
    """How long a response may wait for a client that doesn't read it."""

    idle_s: float = 630.0
    """How long a connection without a request is kept."""


class ClientGate:
    """Bounds what all clients of a process hold, and their connections."""

    def __init__(
        self,
        limits: ClientLimits,
        n_own_fds: int,
        weights: Mapping[str, int],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Set the limits of each listener.

        Parameters
        ----------
        n_own_fds : int
            Descriptors for the connections that the process itself opens.
        weights : mapping
            How the others are divided among the listeners.
        """
        self.limits: Final = limits
        self._log: Final = log
        self._metrics: Final = metrics
        by_name = {ListenerName(name): weight for name, weight in weights.items()}
        self._by_listener: Final = listener_limits(limits.max_fds, n_own_fds, by_name)
        self._budget: Final = RequestBudget(
            budget_bytes(limits.memory_mb, limits.memory_share),
            {name: its.n_connections for name, its in self._by_listener.items()},
        )
        self._on_drop: Final[dict[ConnectionId, tuple[ListenerName, DropHandler]]] = {}
        self._unlogged: Final[Counter[tuple[ListenerName, DropReason]]] = Counter()
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start to drop what takes too long."""
        self._sweep()

    async def close(self) -> None:
        """Stop dropping."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self._log_drops()

    def listener(self, name: str) -> "ListenerGate":
        """Return the gate of one listener."""
        listener = ListenerName(name)
        return ListenerGate(self, listener, self._by_listener[listener])

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._apply(self._budget.expired(loop.time()))
        self._log_drops()
        if self._budget.has_fallen():
            release_free_memory()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def _log_drops(self) -> None:
        for (listener, reason), n in self._unlogged.items():
            self._log.line(
                "clients_dropped", listener=listener, reason=reason.value, n=n
            )
        self._unlogged.clear()

    def _apply(self, drops: list[Drop]) -> None:
        for drop in drops:
            listener, on_drop = self._on_drop.pop(drop.connection)
            self._count(listener, drop.reason)
            on_drop(drop.reason)

    def _count(self, listener: ListenerName, reason: DropReason) -> None:
        self._metrics.count(f"clients_dropped_{listener}_{reason.value}")
        self._unlogged[listener, reason] += 1

    def _open(
        self, listener: ListenerName, on_drop: DropHandler
    ) -> ConnectionId | None:
        connection, drops = self._budget.open(listener)
        self._apply(drops)
        if connection is None:
            self._count(listener, DropReason.CONNECTIONS)
            return None
        self._on_drop[connection] = listener, on_drop
        return connection

    def _close(self, connection: ConnectionId) -> None:
        self._on_drop.pop(connection, None)
        self._budget.close(connection)


class ListenerGate:
    """Admits the connections of one listener."""

    def __init__(
        self, gate: ClientGate, name: ListenerName, limit: ListenerLimit
    ) -> None:
        self._gate: Final = gate
        self._name: Final = name
        self.limits: Final = gate.limits
        self.n_accepted_at_once: Final = limit.n_accepted_at_once

    def open(self, on_drop: DropHandler) -> "ConnectionGate | None":
        """Admit a connection; None if it must be closed at once.

        `on_drop` is called at most once, when the connection's request is dropped.
        """
        connection = self._gate._open(self._name, on_drop)
        return ConnectionGate(self._gate, connection) if connection else None

    def count(self, reason: DropReason) -> None:
        """Count a request that its connection rejects."""
        self._gate._count(self._name, reason)

    def log_error(self, error: str) -> None:
        """Log an error while a request was handled."""
        self._gate._log.line("request_failed", listener=self._name, error=error)


class ConnectionGate:
    """Reports what one connection holds."""

    __slots__ = ("_connection", "_gate")

    def __init__(self, gate: ClientGate, connection: ConnectionId) -> None:
        self._gate: Final = gate
        self._connection: Final = connection

    def set_idle(self) -> None:
        """Note that the connection has no request."""
        self._gate._budget.set_idle(self._connection)

    def set_unfinished(self, n_bytes: int, until_s: float, reason: DropReason) -> None:
        """Note progress of a request that holds `n_bytes` and must end by `until_s`."""
        gate = self._gate
        gate._apply(
            gate._budget.set_unfinished(self._connection, n_bytes, until_s, reason)
        )

    def set_handling(self, n_bytes: int = 0) -> bool:
        """Admit a complete request; return False if it must be rejected."""
        is_admitted, drops = self._gate._budget.set_handling(
            self._connection, REQUEST_BYTES + n_bytes
        )
        self._gate._apply(drops)
        return is_admitted

    def close(self) -> None:
        """Forget the connection."""
        self._gate._close(self._connection)
