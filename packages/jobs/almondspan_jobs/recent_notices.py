"""The latest notifications to the owner, which a new channel to it repeats.

A notification may be lost with its channel, also one that was sent: a channel may be
silent for a while before it is found so. The owner then learns of the change from its
watch of the store, which may be silent at the same time, and for longer.
"""

from collections import deque
from typing import Final

from almondspan_jobs.clocks import steady_s
from almondspan_jobs.messages import JobStored
from almondspan_wire.codec import Message

__all__ = ["RecentNotices"]

KEPT_S: Final = 8.0
"""Longer than the owner's watch may be silent."""

MAX_KEPT_BYTES: Final = 512 * 1024
NOTICE_BYTES: Final = 200
"""What a notification holds besides a job's record."""


class RecentNotices:
    """Keeps notifications for `KEPT_S`, up to `MAX_KEPT_BYTES`."""

    def __init__(self) -> None:
        self._kept: Final[deque[tuple[float, Message]]] = deque()
        self._n_bytes = 0

    def add(self, body: Message) -> None:
        """Keep a notification."""
        self._kept.append((steady_s(), body))
        self._n_bytes += _size_bytes(body)
        self._forget()

    def latest(self) -> list[Message]:
        """Return the notifications that are kept, the oldest first."""
        self._forget()
        return [body for _, body in self._kept]

    def _forget(self) -> None:
        limit_s = steady_s() - KEPT_S
        while self._kept and (
            self._kept[0][0] < limit_s or self._n_bytes > MAX_KEPT_BYTES
        ):
            _, body = self._kept.popleft()
            self._n_bytes -= _size_bytes(body)


def _size_bytes(body: Message) -> int:
    n_record_bytes = len(body.record) if isinstance(body, JobStored) else 0
    return NOTICE_BYTES + n_record_bytes
