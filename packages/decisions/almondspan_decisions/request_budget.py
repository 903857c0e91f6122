"""Bounds what one process holds for the unfinished requests of all its clients.

Each connection is in one phase:

- idle: between two requests, or before the first one;
- unfinished: a request has begun that is not complete, or its response is not read;
- handling: the request is complete and its response is awaited.

`RequestBudget` adds up what all connections hold. When that exceeds the budget, it
drops the unfinished requests that have stalled longest, then the connections that have
been idle longest. A request that is being handled is never dropped. What still does not
fit is rejected, unless nothing else is being handled: one request always fits. When a
listener has all its connections, a new one replaces the one that has stalled longest;
it is refused if all are being handled.

Stalled longest means that a connection made progress before all others, whether by
bytes or by a response. Order is kept by updates, so only deadlines need a clock.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Final, NewType

__all__ = [
    "CONNECTION_BYTES",
    "REQUEST_BYTES",
    "ConnectionId",
    "Drop",
    "DropReason",
    "ListenerLimit",
    "ListenerName",
    "RequestBudget",
    "body_bytes",
    "budget_bytes",
    "listener_limits",
]

CONNECTION_BYTES: Final = 16_000
"""What an open connection holds: its protocol, parser, transport and task."""

REQUEST_BYTES: Final = 24_000
"""What a request that is being handled holds besides its body: its head, its task, and
its calls to the store and the owner."""

CHUNK_BYTES: Final = 100
"""What a piece of a body holds besides its bytes until they are joined."""

RESERVED_FDS: Final = 200
"""Descriptors that the platform reserves for files."""

MIN_BUDGET_BYTES: Final = 8 * 1024 * 1024
"""Two of the longest reports fit."""

FALL_SHARE: Final = 4
"""Memory is given back after more than this part of the budget was held."""

ACCEPT_SHARE: Final = 8
"""A listener accepts this part of its descriptors at once. A socket that is refused is
open for a few more turns of the event loop, in which as many are accepted again."""

ConnectionId = NewType("ConnectionId", int)
ListenerName = NewType("ListenerName", str)


class DropReason(Enum):
    """Why a request was rejected or a connection closed."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD_SIZE = "head_size"
    HEAD_TIME = "head_time"
    BODY_SIZE = "body_size"
    BODY_TIME = "body_time"
    BODY_ENCODING = "body_encoding"
    MALFORMED = "malformed"
    FRAME_TIME = "frame_time"
    UNREAD = "unread"
    """The response is not read."""


@dataclass(frozen=True, slots=True)
class Drop:
    """A connection whose request is dropped."""

    connection: ConnectionId
    reason: DropReason


@dataclass(frozen=True, slots=True)
class ListenerLimit:
    """How many connections a listener has at most, and accepts at once."""

    n_connections: int
    n_accepted_at_once: int


def budget_bytes(memory_mb: float, share: float) -> int:
    """Return the budget for unfinished requests of a process with this memory."""
    return max(int(memory_mb * 1_000_000 * share), MIN_BUDGET_BYTES)


def listener_limits(
    max_fds: int, n_own: int, weights: Mapping[ListenerName, int]
) -> dict[ListenerName, ListenerLimit]:
    """Divide the descriptors among the listeners by their weights.

    Parameters
    ----------
    n_own : int
        Descriptors that the process needs for its own connections; at most half of
        those that are not reserved for files is set aside for them.
    """
    n_free = max(max_fds - RESERVED_FDS, 0)
    n_clients = n_free - min(n_own, n_free // 2)
    n_parts = sum(weights.values())
    return {
        name: _listener_limit(n_clients * weight // n_parts)
        for name, weight in weights.items()
    }


def _listener_limit(n_fds: int) -> ListenerLimit:
    n_at_once = max(n_fds // ACCEPT_SHARE, 1)
    return ListenerLimit(max(n_fds - 4 * n_at_once, 1), n_at_once)


def body_bytes(n_received: int, n_chunks: int) -> int:
    """Return what an unfinished body holds.

    Parameters
    ----------
    n_received : int
        Bytes of the body, without the framing of its chunks.
    n_chunks : int
        The number of its pieces: chunks, or what was read at once.
    """
    # The pieces leave gaps in the heap between them.
    return n_received + n_received // 8 + n_chunks * CHUNK_BYTES


class _Phase(IntEnum):
    IDLE = 0
    UNFINISHED = 1
    HANDLING = 2


@dataclass(slots=True)
class _Connection:
    listener: ListenerName
    phase: _Phase = _Phase.IDLE
    n_bytes: int = CONNECTION_BYTES
    n_updates: int = 0
    """The number of its last update; the smallest has stalled longest."""

    until_s: float = 0.0
    reason: DropReason = DropReason.HEAD_TIME
    """Why an unfinished request is dropped at `until_s`."""


class _Listener:
    """The connections of one listener by phase, each in the order of last updates."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections: Final = max_connections
        self.by_phase: Final[list[dict[ConnectionId, _Connection]]] = [
            {} for _ in _Phase
        ]

    @property
    def n_connections(self) -> int:
        return sum(map(len, self.by_phase))


class RequestBudget:
    """Decides which requests of a process are served, rejected or dropped.

    A connection that is dropped, refused or closed is forgotten at once; later updates
    of it have no effect.
    """

    def __init__(
        self, max_bytes: int, max_connections: Mapping[ListenerName, int]
    ) -> None:
        self.max_bytes: Final = max_bytes
        self.n_bytes = 0
        self._peak_bytes = 0
        """The most that was held since memory was last given back."""
        self._connections: Final[dict[ConnectionId, _Connection]] = {}
        self._listeners: Final = {
            name: _Listener(n) for name, n in max_connections.items()
        }
        self._n_opened = 0
        self._n_updates = 0

    def n_connections(self, listener: ListenerName) -> int:
        """Return the number of open connections of a listener."""
        return self._listeners[listener].n_connections

    def open(self, listener: ListenerName) -> tuple[ConnectionId | None, list[Drop]]:
        """Add a connection; return None for it if the listener refuses it."""
        its = self._listeners[listener]
        drops = []
        if its.n_connections >= its.max_connections:
            victim = self._stalled_longest([its], _DROPPABLE, None)
            if victim is None:
                return None, []
            drops.append(self._drop(victim, DropReason.CONNECTIONS))
        self._n_opened += 1
        connection = ConnectionId(self._n_opened)
        self._connections[connection] = _Connection(listener)
        self.n_bytes += CONNECTION_BYTES
        its.by_phase[_Phase.IDLE][connection] = self._connections[connection]
        self._progress(self._connections[connection])
        relieved, more = self._relieve(connection)
        if not relieved and self._is_other_handling(connection):
            self.close(connection)
            return None, drops + more
        return connection, drops + more

    def close(self, connection: ConnectionId) -> None:
        """Forget a connection."""
        found = self._connections.pop(connection, None)
        if found is None:
            return
        self.n_bytes -= found.n_bytes
        del self._listeners[found.listener].by_phase[found.phase][connection]

    def set_idle(self, connection: ConnectionId) -> None:
        """Note that a response was sent and no request has begun."""
        self._set(connection, _Phase.IDLE, 0)

    def set_unfinished(
        self,
        connection: ConnectionId,
        n_bytes: int,
        until_s: float,
        reason: DropReason,
    ) -> list[Drop]:
        """Note that an unfinished request has made progress and holds `n_bytes`.

        It is dropped for `reason` unless it has ended at `until_s`.
        """
        if connection not in self._connections:
            return []
        self._set(connection, _Phase.UNFINISHED, n_bytes)
        found = self._connections[connection]
        found.until_s, found.reason = until_s, reason
        relieved, drops = self._relieve(connection)
        if not relieved and self._is_other_handling(connection):
            drops.append(self._drop(connection, DropReason.MEMORY))
        return drops

    def set_handling(
        self, connection: ConnectionId, n_bytes: int
    ) -> tuple[bool, list[Drop]]:
        """Admit a complete request that holds `n_bytes` until its response is sent.

        Returns False if it must be rejected. Its phase is then as before.
        """
        found = self._connections.get(connection)
        if found is None:
            return False, []
        before = found.phase, found.n_bytes - CONNECTION_BYTES
        self._set(connection, _Phase.HANDLING, n_bytes)
        relieved, drops = self._relieve(connection)
        if relieved or not self._is_other_handling(connection):
            return True, drops
        self._set(connection, *before)
        return False, drops

    def expired(self, now_s: float) -> list[Drop]:
        """Drop the unfinished requests whose time is over."""
        late = [
            (connection, found.reason)
            for listener in self._listeners.values()
            for connection, found in listener.by_phase[_Phase.UNFINISHED].items()
            if found.until_s <= now_s
        ]
        return [self._drop(connection, reason) for connection, reason in late]

    def has_fallen(self) -> bool:
        """Return whether much less is held than before, once for each fall."""
        is_much = self._peak_bytes > self.max_bytes // FALL_SHARE
        if not is_much or self.n_bytes > self._peak_bytes // 2:
            return False
        self._peak_bytes = self.n_bytes
        return True

    def _set(self, connection: ConnectionId, phase: _Phase, n_bytes: int) -> None:
        found = self._connections.get(connection)
        if found is None:
            return
        self.n_bytes += CONNECTION_BYTES + n_bytes - found.n_bytes
        found.n_bytes = CONNECTION_BYTES + n_bytes
        if self.n_bytes > self._peak_bytes:
            self._peak_bytes = self.n_bytes
        by_phase = self._listeners[found.listener].by_phase
        del by_phase[found.phase][connection]
        found.phase = phase
        by_phase[phase][connection] = found
        self._progress(found)

    def _progress(self, found: _Connection) -> None:
        self._n_updates += 1
        found.n_updates = self._n_updates

    def _relieve(self, spared: ConnectionId) -> tuple[bool, list[Drop]]:
        """Drop what has stalled longest until the rest fits; return whether it does."""
        if self.n_bytes <= self.max_bytes:
            return True, []
        drops = []
        for phases in ([_Phase.UNFINISHED], [_Phase.IDLE]):
            while self.n_bytes > self.max_bytes:
                victim = self._stalled_longest(self._listeners.values(), phases, spared)
                if victim is None:
                    break
                drops.append(self._drop(victim, DropReason.MEMORY))
        return self.n_bytes <= self.max_bytes, drops

    def _stalled_longest(
        self,
        listeners: Iterable[_Listener],
        phases: Iterable[_Phase],
        spared: ConnectionId | None,
    ) -> ConnectionId | None:
        """Return the connection in one of the phases whose progress is longest ago."""
        phases = list(phases)
        oldest: tuple[int, ConnectionId] | None = None
        for listener in listeners:
            for phase in phases:
                for connection, found in listener.by_phase[phase].items():
                    if connection == spared:
                        continue
                    if oldest is None or found.n_updates < oldest[0]:
                        oldest = found.n_updates, connection
                    break
        return oldest[1] if oldest is not None else None

    def _is_other_handling(self, connection: ConnectionId) -> bool:
        """Return whether a request of another connection is being handled."""
        own = self._connections[connection].phase is _Phase.HANDLING
        n_handling = sum(
            len(listener.by_phase[_Phase.HANDLING])
            for listener in self._listeners.values()
        )
        return n_handling > own

    def _drop(self, connection: ConnectionId, reason: DropReason) -> Drop:
        self.close(connection)
        return Drop(connection, reason)


_DROPPABLE: Final = (_Phase.UNFINISHED, _Phase.IDLE)
