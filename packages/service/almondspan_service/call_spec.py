"""A caller's request apart from the protocol that it came by."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from almondspan_decisions.ids import CallerId, RequestId, ServiceName
from almondspan_wire.service_messages import AnswerHead, Headers

__all__ = ["AnswerSink", "BodyFailure", "BodyReader", "CallSpec"]


@dataclass(frozen=True, slots=True)
class CallSpec:
    """What a caller asks; ``body_bytes`` is -1 when it is not known.

    ``deadline_s`` is in the time of the event loop. ``fresh_id`` says that the
    request id was made up for this call, so that no earlier call has it.
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
        """Return the time to the deadline, in milliseconds; 0 when it passed."""
        left_s = self.deadline_s - asyncio.get_running_loop().time()
        return max(0.0, left_s * 1000.0)


@dataclass(frozen=True, slots=True)
class BodyFailure:
    """The rest of a request's body will not come."""

    reason: str


class BodyReader(Protocol):
    """The body of a caller's request."""

    async def read(self, n_bytes: int) -> bytes | BodyFailure:
        """Return up to `n_bytes`; ``b""`` at the end."""
        ...


class AnswerSink(Protocol):
    """Takes the answer for one caller."""

    async def send_whole(self, head: AnswerHead) -> bool:
        """Take a whole answer; False when the caller is gone."""
        ...

    async def send_head(self, head: AnswerHead) -> bool:
        """Take status and headers of an answer that comes in parts."""
        ...

    async def write(self, data: bytes) -> bool:
        """Take the next part and wait until the caller has room for more."""
        ...

    async def finish(self) -> bool:
        """Take the end of an answer that came in parts."""
        ...

    def abort(self) -> None:
        """Break the connection, so that the part sent is not taken for all."""
        ...

    def is_disconnected(self) -> bool:
        """Tell whether the caller has closed its connection."""
        ...
