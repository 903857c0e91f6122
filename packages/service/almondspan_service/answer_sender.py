"""Makes and sends a gate's messages; each tells the runner's load at that moment."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from almondspan_decisions.ids import EntryId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_service.admitted_call import AdmittedCall
from almondspan_service.call_ledger import CallKey
from almondspan_service.runner_client import RunnerAnswer
from almondspan_wire.codec import Message
from almondspan_wire.service_messages import AnswerHead, CallEnded

__all__ = ["AnswerSender", "RunnerLoad", "SendToEntry"]

SendToEntry = Callable[[EntryId, Message], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """Calls that the runner holds, and how long one takes."""

    n_busy: int
    n_queued: int
    run_ms: float


class AnswerSender:
    """Sends messages to entries.

    Parameters
    ----------
    send : sends a message to an entry; False when its channel is lost.
    load : returns the runner's load.
    """

    def __init__(self, send: SendToEntry, load: Callable[[], RunnerLoad]) -> None:
        self._send = send
        self._load = load
        self._pending_sends: set[asyncio.Task[bool]] = set()

    async def finish(self) -> None:
        """Wait for the messages that are being sent."""
        await asyncio.gather(*self._pending_sends, return_exceptions=True)

    async def send(self, call: AdmittedCall, message: Message) -> None:
        """Send a message about a call, unless its entry's channel was lost."""
        if not call.is_detached:
            await self._send(call.key.entry_id, message)

    async def send_last(self, call: AdmittedCall, message: Message) -> None:
        """Send what ends a call, also when its entry came back and asked."""
        if call.recovery_requested or not call.is_detached:
            await self._send(call.key.entry_id, message)

    async def end(
        self, call: AdmittedCall, kind: OutcomeKind, reason: str, fault: bool = False
    ) -> None:
        """End a call without a whole answer."""
        await self.send_last(call, self._ended(call.key, kind, reason, fault))

    def send_end_in_background(
        self, key: CallKey, kind: OutcomeKind, reason: str
    ) -> None:
        """End a call without waiting until the message is sent."""
        self.send_in_background(key.entry_id, self._ended(key, kind, reason, False))

    def send_in_background(self, entry_id: EntryId, message: Message) -> None:
        """Send without waiting, since the caller reads a channel."""
        task = asyncio.ensure_future(self._send(entry_id, message))
        self._pending_sends.add(task)
        task.add_done_callback(self._pending_sends.discard)

    def head(
        self, key: CallKey, answer: RunnerAnswer, data: bytes, end: bool
    ) -> AnswerHead:
        """Return the head of an answer; with `end`, `data` is its whole body."""
        load = self._load()
        return AnswerHead(
            key.incarnation,
            key.call_id,
            answer.status,
            answer.headers,
            len(data) if end else answer.body_bytes,
            data,
            end,
            load.n_busy,
            load.n_queued,
            load.run_ms,
        )

    def _ended(
        self, key: CallKey, kind: OutcomeKind, reason: str, fault: bool
    ) -> CallEnded:
        load = self._load()
        return CallEnded(
            key.incarnation,
            key.call_id,
            kind,
            reason,
            load.n_busy,
            load.n_queued,
            load.run_ms,
            fault,
        )
