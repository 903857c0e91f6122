"""Sends answers to entries; each one carries the runner's load when it is sent."""

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
    """Running and queued calls of the runner, and its median run time."""

    n_busy: int
    n_queued: int
    run_ms: float


class AnswerSender:
    """Builds and sends messages about calls.

    Parameters
    ----------
    send : sends a message to an entry; returns False when the channel is lost.
    load : returns the runner's present load.
    """

    def __init__(self, send: SendToEntry, load: Callable[[], RunnerLoad]) -> None:
        self._send = send
        self._load = load
        self._pending_sends: set[asyncio.Task[bool]] = set()

    async def finish(self) -> None:
        """Wait until the messages sent in the background are out."""
        await asyncio.gather(*self._pending_sends, return_exceptions=True)

    async def send(self, call: AdmittedCall, message: Message) -> None:
        """Send a message about a call, unless the call is detached from its entry."""
        if not call.is_detached:
            await self._send(call.key.entry_id, message)

    async def send_last(self, call: AdmittedCall, message: Message) -> None:
        """Send a call's final message, also to a reconnected entry that asked."""
        if call.recovery_requested or not call.is_detached:
            await self._send(call.key.entry_id, message)

    async def end(
        self, call: AdmittedCall, kind: OutcomeKind, reason: str, fault: bool = False
    ) -> None:
        """Send the end of a call that has no complete answer."""
        await self.send_last(call, self._ended(call.key, kind, reason, fault))

    def send_end_in_background(
        self, key: CallKey, kind: OutcomeKind, reason: str
    ) -> None:
        """Send the end of a call without waiting for the channel."""
        self.send_in_background(key.entry_id, self._ended(key, kind, reason, False))

    def send_in_background(self, entry_id: EntryId, message: Message) -> None:
        """Send without waiting, so that a reader of a channel is not blocked."""
        task = asyncio.ensure_future(self._send(entry_id, message))
        self._pending_sends.add(task)
        task.add_done_callback(self._pending_sends.discard)

    def head(
        self, key: CallKey, answer: RunnerAnswer, data: bytes, end: bool
    ) -> AnswerHead:
        """Build the head of an answer; with `end`, `data` is the whole body."""
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
