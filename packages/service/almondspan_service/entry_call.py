"""One caller's call at the entry, from its request to the end of its answer.

A call passes through these phases:

1. Body: the first part of the request's body is read, so that a slow sender does
   not occupy a slot of a runner.
2. Claim: the id of a non-idempotent request is claimed before the first attempt.
3. Attempts: the call is sent to a runner. It is retried at another one if that is
   safe: the request is idempotent, or the first runner certainly did not run it. An
   idempotent call may also be hedged. The first attempt to answer is used.
4. Relay: the answer is streamed to the caller. If it is cut off, the caller's
   connection is aborted.
5. Late outcome: if the outcome of a non-idempotent call is still open when its
   caller was answered or disconnected, the entry waits for it for a limited time,
   so that it can be recorded with the claim.
"""

import asyncio
from dataclasses import dataclass

from almondspan_decisions.ids import AgentId
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_service.attempt import AgentLost, Attempt, AttemptUpdate, UpdateQueue
from almondspan_service.call_spec import AnswerSink, BodyFailure, BodyReader, CallSpec
from almondspan_service.dispatcher import FIRST_FAILING_STATUS, Dispatcher
from almondspan_wire.service_messages import (
    REQUEST_WINDOW_BYTES,
    AnswerData,
    AnswerHead,
    CallEnded,
)

__all__ = ["EntryCall", "outcome_of_status"]


@dataclass(frozen=True, slots=True)
class _StartedAnswer:
    """The attempt whose answer is used, and the head of the answer."""

    attempt: Attempt
    head: AnswerHead


def outcome_of_status(status: int) -> OutcomeKind:
    """Return the outcome of a call with a complete answer."""
    return OutcomeKind.FAILED if status >= FIRST_FAILING_STATUS else OutcomeKind.DONE


class EntryCall:
    """Runs one call: `read_first_part`, then `run`, then `abandon`.

    For a non-idempotent call, `await_late_outcome` follows if the outcome is open.
    """

    def __init__(
        self,
        spec: CallSpec,
        body: BodyReader,
        sink: AnswerSink,
        dispatcher: Dispatcher,
    ) -> None:
        self._spec = spec
        self._body = body
        self._sink = sink
        self._dispatcher = dispatcher
        self._options = dispatcher.options
        self._updates = UpdateQueue()
        self._open: list[Attempt] = []
        self._tried: set[AgentId] = set()
        self._first_part = b""
        self._first_part_is_whole = True
        self._replayable = True
        self._n_attempts = 0
        self._retry_at_s: float | None = None
        self._recover_until_s = float("inf")
        self._hedge_at_s = float("inf")
        self._failure = Outcome(
            OutcomeKind.NOT_RUN, "no runner is available for this service"
        )
        self._answer_head: AnswerHead | None = None
        self._result = b""

    async def read_first_part(self) -> str:
        """Read the first part of the body; returns an error text or an empty string."""
        if self._spec.body_bytes == 0:
            return ""
        try:
            async with asyncio.timeout_at(self._spec.deadline_s):
                return await self._read_first_part()
        except TimeoutError:
            return "the deadline passed before the request's body arrived"

    async def _read_first_part(self) -> str:
        parts: list[bytes] = []
        n_bytes = 0
        self._first_part_is_whole = False
        while n_bytes < REQUEST_WINDOW_BYTES:
            part = await self._body.read(REQUEST_WINDOW_BYTES - n_bytes)
            if isinstance(part, BodyFailure):
                return part.reason
            parts.append(part)
            n_bytes += len(part)
            if not part or n_bytes == self._spec.body_bytes:
                self._first_part_is_whole = True
                break
        self._first_part = b"".join(parts)
        return ""

    async def run(self) -> Outcome:
        """Send the request and relay its answer; returns the outcome for the caller."""
        try:
            async with asyncio.timeout_at(self._spec.deadline_s):
                return await self._execute()
        except TimeoutError:
            return self._at_deadline()

    def has_undecided_attempt(self) -> bool:
        """Return whether a non-idempotent call has open attempts."""
        return bool(self._open) and not self._spec.idempotent

    def abandon(self) -> None:
        """Cancel the open attempts, since their answers are no longer needed."""
        for attempt in list(self._open):
            self._dispatcher.cancel(attempt)
            if self._spec.idempotent:
                self._close(attempt)

    async def await_late_outcome(self) -> Outcome:
        """Wait for the outcome of the open attempts, to record it with the claim."""
        try:
            async with asyncio.timeout(self._options.late_outcome_wait_s):
                return await self._await_open_attempts()
        except TimeoutError:
            return Outcome(
                OutcomeKind.UNKNOWN, "the outcome did not arrive in time", b"", True
            )
        finally:
            for attempt in list(self._open):
                self._close(attempt)

    async def _execute(self) -> Outcome:
        started = await self._await_answer_head()
        if isinstance(started, Outcome):
            return started
        self._answer_head = started.head
        for attempt in list(self._open):
            if attempt is not started.attempt:
                self._dispatcher.cancel(attempt, superseded=True)
                self._close(attempt)
        if started.head.end:
            return await self._relay_whole(started)
        return await self._relay_parts(started)

    def _at_deadline(self) -> Outcome:
        if self._answer_head is not None:
            self._sink.abort()
            return Outcome(OutcomeKind.UNKNOWN, "the answer was cut off", b"", True)
        if not self._open:
            return self._failure
        return Outcome(
            OutcomeKind.UNKNOWN, "the deadline passed during the run", b"", True
        )

    # Attempts.

    async def _await_answer_head(self) -> _StartedAnswer | Outcome:
        """Make attempts until one answers or no further one is allowed."""
        self._dispatcher.budget.on_request()
        await self._send_attempt()
        self._plan_hedge()
        while self._open or self._retry_at_s is not None:
            update = await self._updates.next(self._next_wake_s())
            if update is None:
                if self._sink.is_disconnected():
                    return self._caller_disconnected()
                if self._recovery_timed_out():
                    return _outcome_of_failure(AgentLost())
                await self._on_timer()
            elif isinstance(update.event, AnswerHead):
                self._record_latency(update.attempt)
                return _StartedAnswer(update.attempt, update.event)
            else:
                self._on_failure(update)
        return self._failure

    def _next_wake_s(self) -> float:
        check_s = self._now_s() + self._options.disconnect_check_s
        if self._retry_at_s is not None:
            check_s = min(check_s, self._retry_at_s)
        return min(check_s, self._recover_until_s, self._hedge_at_s)

    def _plan_hedge(self) -> None:
        if self._spec.idempotent and self._first_part_is_whole:
            now_s = self._now_s()
            hedges = self._dispatcher.hedge_delays
            delay_s = hedges.delay_s(self._spec.service, now_s)
            self._hedge_at_s = float("inf") if delay_s is None else now_s + delay_s

    def _record_latency(self, attempt: Attempt) -> None:
        """Record the time to the answer's head, for the delay of later hedges."""
        now_s = self._now_s()
        latency_ms = (now_s - attempt.sent_s) * 1000.0
        self._dispatcher.hedge_delays.add(self._spec.service, now_s, latency_ms)
        self._dispatcher.counters.n_hedges_won += attempt.is_hedge

    def _recovery_timed_out(self) -> bool:
        """Return whether a lost agent did not reconnect in time."""
        if self._now_s() < self._recover_until_s:
            return False
        self._recover_until_s = float("inf")
        return any(attempt.is_lost for attempt in self._open)

    async def _on_timer(self) -> None:
        if self._retry_at_s is not None and self._now_s() >= self._retry_at_s:
            self._retry_at_s = None
            self._dispatcher.counters.n_retries += 1
            await self._send_attempt()
        elif self._now_s() >= self._hedge_at_s:
            self._hedge_at_s = float("inf")
            await self._send_hedge()

    async def _send_hedge(self) -> None:
        if len(self._open) != 1 or self._n_attempts >= self._options.max_attempts:
            return
        attempt = self._dispatcher.prepare_hedge(self._spec, self._updates, self._tried)
        if attempt is not None:
            await self._open_attempt(attempt)

    async def _send_attempt(self) -> None:
        attempt = self._dispatcher.prepare(self._spec, self._updates, self._tried)
        if attempt is not None:
            await self._open_attempt(attempt)

    async def _open_attempt(self, attempt: Attempt) -> None:
        self._open.append(attempt)
        self._n_attempts += 1
        self._tried.add(attempt.row.agent_id)
        await self._dispatcher.open(
            attempt, self._spec, self._first_part, self._first_part_is_whole
        )
        if not self._first_part_is_whole:
            attempt.body_task = asyncio.create_task(self._send_rest_of_body(attempt))

    def _on_failure(self, update: AttemptUpdate) -> None:
        """Close a failed attempt and schedule a retry if one is allowed."""
        attempt, event = update.attempt, update.event
        if not attempt.is_open:
            return
        if isinstance(event, AgentLost) and not self._spec.idempotent:
            self._recover_until_s = self._now_s() + self._options.recovery_wait_s
            return
        self._close(attempt)
        failure = _outcome_of_failure(event)
        if failure.may_have_run or not self._failure.may_have_run:
            self._failure = failure
        if not self._open and self._may_retry():
            self._retry_at_s = self._now_s() + self._backoff_s()

    def _may_retry(self) -> bool:
        return (
            (self._spec.idempotent or not self._failure.may_have_run)
            and self._replayable
            and self._n_attempts < self._options.max_attempts
            and self._dispatcher.budget.take()
        )

    def _backoff_s(self) -> float:
        """Return a retry delay: exponential back-off with full jitter."""
        bound_s = self._options.retry_base_s * 2.0 ** (self._n_attempts - 1)
        return self._dispatcher.rng.random() * min(bound_s, self._options.retry_max_s)

    async def _send_rest_of_body(self, attempt: Attempt) -> None:
        """Send the rest of the body within the credit granted by the agent."""
        sequence = 0
        n_sent = len(self._first_part)
        while n_taken := await attempt.request_credit.take(self._options.chunk_bytes):
            part = await self._body.read(n_taken)
            if isinstance(part, BodyFailure):
                self._dispatcher.cancel(attempt)
                self._updates.put(AttemptUpdate(attempt, part))
                return
            self._replayable = False
            n_sent += len(part)
            end = not part or n_sent == self._spec.body_bytes
            attempt.request_credit.grant(n_taken - len(part))
            await self._dispatcher.send_body(attempt, sequence, part, end)
            sequence += 1
            if end:
                return

    def _close(self, attempt: Attempt) -> None:
        self._dispatcher.close(attempt)
        self._open.remove(attempt)

    # Relay.

    async def _relay_whole(self, started: _StartedAnswer) -> Outcome:
        self._close(started.attempt)
        head = started.head
        self._result = head.data
        if not await self._sink.send_whole(head):
            return Outcome(OutcomeKind.CANCELLED, "the caller disconnected", b"", True)
        return self._completed(head)

    async def _relay_parts(self, started: _StartedAnswer) -> Outcome:
        if not await self._sink.send_head(started.head):
            return self._caller_disconnected()
        n_bytes = 0
        while True:
            update = await self._updates.next(
                self._now_s() + self._options.disconnect_check_s
            )
            if update is None:
                if self._sink.is_disconnected():
                    return self._caller_disconnected()
                continue
            part = update.event
            if update.attempt is not started.attempt:
                continue
            if not isinstance(part, AnswerData) or not _is_next_part(
                started.attempt, part
            ):
                return self._on_cut_answer(started, part)
            n_bytes += len(part.data)
            if part.data and not await self._sink.write(part.data):
                return self._caller_disconnected()
            if not part.end:
                self._dispatcher.grant(started.attempt, len(part.data))
                continue
            self._close(started.attempt)
            return await self._finish_parts(started.head, n_bytes)

    async def _finish_parts(self, head: AnswerHead, n_bytes: int) -> Outcome:
        if head.body_bytes not in (-1, n_bytes):
            self._sink.abort()
            return Outcome(OutcomeKind.UNKNOWN, "the answer was cut off", b"", True)
        if not await self._sink.finish():
            return Outcome(OutcomeKind.CANCELLED, "the caller disconnected", b"", True)
        return self._completed(head)

    def _on_cut_answer(self, started: _StartedAnswer, event: object) -> Outcome:
        """Abort the caller's connection, since the answer is incomplete."""
        self._sink.abort()
        if not isinstance(event, AgentLost) or self._spec.idempotent:
            self._close(started.attempt)
        return Outcome(OutcomeKind.UNKNOWN, "the answer was cut off", b"", True)

    def _caller_disconnected(self) -> Outcome:
        may_have_run = bool(self._open) or self._failure.may_have_run
        return Outcome(
            OutcomeKind.CANCELLED, "the caller disconnected", b"", may_have_run
        )

    def _completed(self, head: AnswerHead) -> Outcome:
        kind = outcome_of_status(head.status)
        kept = self._options.max_kept_result_bytes
        result = self._result if len(self._result) <= kept else b""
        return Outcome(kind, f"status {head.status}", result, True)

    # Late outcome.

    async def _await_open_attempts(self) -> Outcome:
        outcome = Outcome(
            OutcomeKind.UNKNOWN, "the outcome did not arrive in time", b"", True
        )
        while self._open:
            update = await self._updates.next(
                self._now_s() + self._options.late_outcome_wait_s
            )
            if update is None or not update.attempt.is_open:
                continue
            event = update.event
            if isinstance(event, AnswerHead):
                self._answer_head = event
                self._result = event.data if event.end else b""
            if isinstance(event, AnswerData):
                self._dispatcher.grant(update.attempt, len(event.data))
            if _is_final(event):
                outcome = self._late_outcome(event)
                self._close(update.attempt)
        return outcome

    def _late_outcome(self, event: object) -> Outcome:
        if (
            isinstance(event, (AnswerHead, AnswerData))
            and self._answer_head is not None
        ):
            return self._completed(self._answer_head)
        return _outcome_of_failure(event)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


def _is_next_part(attempt: Attempt, part: AnswerData) -> bool:
    if part.sequence != attempt.next_sequence:
        return False
    attempt.next_sequence += 1
    return True


def _is_final(event: object) -> bool:
    if isinstance(event, (AnswerHead, AnswerData)):
        return event.end
    return not isinstance(event, AgentLost)


def _outcome_of_failure(event: object) -> Outcome:
    if isinstance(event, CallEnded):
        may_have_run = event.kind is not OutcomeKind.NOT_RUN
        kind = OutcomeKind.UNKNOWN if may_have_run else OutcomeKind.NOT_RUN
        return Outcome(kind, event.reason, b"", may_have_run)
    if isinstance(event, BodyFailure):
        return Outcome(OutcomeKind.CANCELLED, event.reason, b"", True)
    if isinstance(event, AgentLost):
        return Outcome(
            OutcomeKind.UNKNOWN, "the channel to the agent was lost", b"", True
        )
    return Outcome(
        OutcomeKind.UNKNOWN,
        "parts of the answer are missing or out of order",
        b"",
        True,
    )
