"""Relays a runner's answer to the entry that opened the call.

A small answer of known length is read completely and sent in one message. Other
answers are streamed in parts within the credit granted by the entry. The answer to
a non-idempotent call is kept, up to a size limit, so that an entry whose channel
was lost can ask for it again.
"""

from collections.abc import Callable

from almondspan_decisions.outcomes import OutcomeKind
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.admitted_call import AdmittedCall
from almondspan_service.answer_sender import AnswerSender
from almondspan_service.call_ledger import CallKey, CallLedger
from almondspan_service.runner_client import RunnerAnswer, RunnerFault
from almondspan_wire.service_messages import AnswerData

__all__ = ["AnswerRelay"]

CallHook = Callable[[AdmittedCall], None]


class AnswerRelay:
    """Relays the answers of one runner.

    Parameters
    ----------
    sender : sends messages to entries.
    ledger : keeps answers to non-idempotent calls.
    options : size limits.
    on_answer : called when an answer's head, or a small answer, has been read.
    on_runner_finished : called when the runner has finished a call.
    """

    def __init__(
        self,
        sender: AnswerSender,
        ledger: CallLedger,
        options: AdmissionOptions,
        on_answer: CallHook,
        on_runner_finished: CallHook,
    ) -> None:
        self._sender = sender
        self._ledger = ledger
        self._options = options
        self._on_answer = on_answer
        self._on_runner_finished = on_runner_finished

    async def relay(self, call: AdmittedCall, answer: RunnerAnswer) -> None:
        """Relay an answer until its end."""
        if call.superseded and answer.body_bytes < 0:
            # A stream without a known end may take long, and nobody reads it.
            return
        if 0 <= answer.body_bytes <= self._options.max_whole_answer_bytes:
            await self._relay_whole(call, answer)
        else:
            await self._relay_parts(call, answer)

    def send_kept(self, key: CallKey) -> None:
        """Send the kept answer of an ended call, or report that it was lost."""
        kept = self._ledger.kept_answer(key)
        if kept is not None:
            self._sender.send_in_background(key.entry_id, kept)
            return
        reason = "the call ran, but its answer was not kept"
        self._sender.send_end_in_background(key, OutcomeKind.UNKNOWN, reason)

    async def _relay_whole(self, call: AdmittedCall, answer: RunnerAnswer) -> None:
        body = await _read_whole(answer)
        if isinstance(body, RunnerFault):
            await self._end_cut_answer(call, body)
            return
        self._on_answer(call)
        self._on_runner_finished(call)
        head = self._sender.head(call.key, answer, body, end=True)
        if not call.opened.idempotent:
            self._ledger.keep_answer(call.key, head)
        await self._sender.send_last(call, head)

    async def _relay_parts(self, call: AdmittedCall, answer: RunnerAnswer) -> None:
        self._on_answer(call)
        head = self._sender.head(call.key, answer, b"", end=False)
        await self._sender.send(call, head)
        kept = None if call.opened.idempotent else bytearray()
        sequence = 0
        n_bytes = 0
        end = False
        while not end:
            part = await self._read_part(call, answer)
            if isinstance(part, RunnerFault):
                await self._end_cut_answer(call, part)
                return
            n_bytes += len(part)
            end = not part or n_bytes == answer.body_bytes
            kept = self._extend_kept(kept, part)
            if end:
                self._on_runner_finished(call)
                self._keep_answer(call, answer, kept)
            await self._sender.send(call, _answer_data(call.key, sequence, part, end))
            sequence += 1
        if call.recovery_requested:
            self.send_kept(call.key)

    async def _read_part(
        self, call: AdmittedCall, answer: RunnerAnswer
    ) -> bytes | RunnerFault:
        """Read a part within the entry's credit; without a limit if it is detached."""
        n_wanted = self._options.chunk_bytes
        n_granted = await call.answer_credit.take(n_wanted)
        part = await answer.read(n_granted or n_wanted)
        if isinstance(part, bytes) and n_granted > len(part):
            call.answer_credit.grant(n_granted - len(part))
        return part

    def _extend_kept(self, kept: bytearray | None, part: bytes) -> bytearray | None:
        if kept is None or len(kept) + len(part) > self._options.max_kept_answer_bytes:
            return None
        kept += part
        return kept

    def _keep_answer(
        self, call: AdmittedCall, answer: RunnerAnswer, kept: bytearray | None
    ) -> None:
        if kept is not None:
            head = self._sender.head(call.key, answer, bytes(kept), end=True)
            self._ledger.keep_answer(call.key, head)

    async def _end_cut_answer(self, call: AdmittedCall, fault: RunnerFault) -> None:
        self._on_runner_finished(call)
        await self._sender.end(call, OutcomeKind.UNKNOWN, fault.reason, True)


async def _read_whole(answer: RunnerAnswer) -> bytes | RunnerFault:
    """Read a body of known length; a shorter one is a fault."""
    n_bytes = answer.body_bytes
    parts: list[bytes] = []
    n_read = 0
    while n_read < n_bytes:
        part = await answer.read(n_bytes - n_read)
        if isinstance(part, RunnerFault):
            return part
        if not part:
            return RunnerFault(True, "the answer's body is shorter than announced")
        parts.append(part)
        n_read += len(part)
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _answer_data(key: CallKey, sequence: int, data: bytes, end: bool) -> AnswerData:
    return AnswerData(key.incarnation, key.call_id, sequence, data, end)
