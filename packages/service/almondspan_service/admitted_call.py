"""A call at the agent: the body of its request and its progress."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator

from almondspan_service.call_ledger import CallKey
from almondspan_service.runner_client import RunnerRequest
from almondspan_service.send_credit import SendCredit
from almondspan_wire.service_messages import CallOpen, RequestData

__all__ = ["BodyAborted", "AdmittedCall", "RequestBody"]


class BodyAborted(Exception):
    """Raised into the HTTP client when the rest of a request's body will not arrive."""


class RequestBody:
    """Buffer for the parts of a request's body, with a single reader.

    The credit granted to the entry bounds its size.
    """

    def __init__(self, first: bytes, end: bool) -> None:
        self._parts: deque[bytes] = deque([first] if first else [])
        self._end = end
        self._aborted = False
        self._next_sequence = 0
        self._waiter: asyncio.Future[None] | None = None

    def feed(self, part: RequestData) -> None:
        """Append a part; ignores duplicates, and aborts the body at a missing part."""
        if part.sequence < self._next_sequence:
            return
        if part.sequence > self._next_sequence:
            self.abort()
            return
        self._next_sequence += 1
        if part.data:
            self._parts.append(part.data)
        self._end = part.end
        self._wake()

    def abort(self) -> None:
        """Make `read` raise once the received parts are read."""
        self._aborted = True
        self._wake()

    async def read(self) -> bytes:
        """Return the next part; ``b""`` at the end.

        Raises
        ------
        BodyAborted
            When the rest of the body will not arrive.
        """
        while not self._parts:
            if self._end:
                return b""
            if self._aborted:
                raise BodyAborted
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._parts.popleft()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class AdmittedCall:
    """A queued or running call.

    ``is_detached`` is set once nothing more may be sent to the entry, except the
    call's end if ``recovery_requested``. ``is_measured`` tells that the run time was
    recorded, ``superseded`` that another attempt of the call was answered.
    """

    __slots__ = (
        "answer_credit",
        "arrived_s",
        "body",
        "deadline_s",
        "dispatched_s",
        "has_slot",
        "is_detached",
        "is_measured",
        "key",
        "opened",
        "recovery_requested",
        "shed_timer",
        "superseded",
        "task",
    )

    def __init__(self, key: CallKey, opened: CallOpen, now_s: float) -> None:
        self.key = key
        self.opened = opened
        self.arrived_s = now_s
        self.deadline_s = now_s + opened.timeout_ms / 1000.0
        self.dispatched_s = 0.0
        self.body = RequestBody(opened.data, opened.end)
        self.answer_credit = SendCredit(opened.credit_bytes)
        self.has_slot = False
        self.is_measured = False
        self.is_detached = False
        self.recovery_requested = False
        self.superseded = False
        self.shed_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def detach(self) -> None:
        """Continue the call without its entry."""
        self.is_detached = True
        self.answer_credit.close()
        self.body.abort()

    def runner_request(
        self, body: bytes | AsyncIterator[bytes], now_s: float
    ) -> RunnerRequest:
        """Build the request to the runner."""
        opened = self.opened
        left_ms = max(0, int((self.deadline_s - now_s) * 1000.0))
        headers = (
            *opened.headers,
            ("X-Request-Id", opened.request_id),
            ("X-Caller", opened.caller),
            ("X-Timeout-Ms", str(left_ms)),
            ("X-Idempotent", "true" if opened.idempotent else "false"),
        )
        return RunnerRequest(
            opened.method, opened.path, headers, body, opened.body_bytes
        )
