"""A caller's request, independent of the protocol it arrived by."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from almondspan_decisions.ids import CallerId, RequestId, ServiceName
from almondspan_wire.service_messages import AnswerHead, Headers

__all__ = ["AnswerSink", "BodyFailure", "BodyReader", "CallSpec"]


@dataclass(frozen=True, slots=True)
class CallSpec:
    """A caller's request; its body is read through a `BodyReader`.

    ``deadline_s`` is in the event loop's time. ``body_bytes`` is -1 when the length
    is unknown. ``generated_id`` says that the entry generated the request id, so that
    no earlier call has the same one.
    """

    service: ServiceName
    request_id: RequestId
    caller: CallerId
    method: str
    path: str
    headers: Headers
    idempotent: bool
    deadline_s: float
    body_bytes: int = 0
    generated_id: bool = False

    def left_ms(self) -> float:
        """Return the milliseconds until the deadline; 0 when it has passed."""
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        return max(0.0, left_s * 1000.0)


@dataclass(frozen=True, slots=True)
class BodyFailure:
    """The rest of a request's body cannot be read."""

    reason: str


class BodyReader(Protocol):
    """The body of a caller's request."""

    async def read(self, n_bytes: int) -> bytes | BodyFailure:
        """Return up to `n_bytes`; returns ``b""`` at the end."""
        ...


class AnswerSink(Protocol):
    """Sends the answer to one caller; methods return False if it disconnected."""

    async def send_whole(self, head: AnswerHead) -> bool:
        """Send a complete answer."""
        ...

    async def send_head(self, head: AnswerHead) -> bool:
        """Send status and headers of an answer that is streamed."""
        ...

    async def write(self, data: bytes) -> bool:
        """Send the next part; waits while the caller's buffer is full."""
        ...

    async def finish(self) -> bool:
        """Send the end of an answer that is streamed."""
        ...

    def abort(self) -> None:
        """Abort the connection, so that the caller sees the answer as truncated."""
        ...

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        ...
