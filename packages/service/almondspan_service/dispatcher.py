"""Sends attempts to agents and matches their answers to the open attempts.

An answer belongs to an attempt if it names the attempt's number, which is never
reused, and the router's incarnation, and comes from the agent that the attempt was
sent to. All other answers are late: they are counted and dropped.
"""

import asyncio
from collections.abc import Awaitable, Callable, Container
from random import Random
from typing import Final

from almondspan_decisions.ids import AgentId
from almondspan_service.attempt import (
    AgentLost,
    Attempt,
    AttemptEvent,
    AttemptUpdate,
    UpdateQueue,
)
from almondspan_service.call_spec import CallSpec
from almondspan_service.hedge_delays import HedgeDelays
from almondspan_service.retry_budget import RetryBudget
from almondspan_service.router_counters import RouterCounters
from almondspan_service.router_options import RouterOptions
from almondspan_service.runner_table import RunnerRow, RunnerTable
from almondspan_service.send_credit import SendCredit
from almondspan_wire.codec import Message
from almondspan_wire.service_messages import (
    REQUEST_WINDOW_BYTES,
    AnswerCredit,
    AnswerData,
    AnswerHead,
    CallCancel,
    CallEnded,
    CallOpen,
    CallRecover,
    RequestCredit,
    RequestData,
)

__all__ = ["FIRST_FAILING_STATUS", "Dispatcher", "SendToAgent"]

SendToAgent = Callable[[AgentId, Message], Awaitable[bool]]

N_INCARNATIONS: Final = 2**62

FIRST_FAILING_STATUS: Final = 500
"""The lowest HTTP status that counts as a failure of the runner."""


class Dispatcher:
    """Holds the open attempts of all calls of one entry.

    Parameters
    ----------
    table : the runners to choose from.
    send : sends a message to an agent; returns False when the channel is lost.
    options : limits and time-outs.
    counters : counters of the router.
    rng : random number generator.
    """

    def __init__(
        self,
        table: RunnerTable,
        send: SendToAgent,
        options: RouterOptions,
        counters: RouterCounters,
        rng: Random,
    ) -> None:
        self.table = table
        self.options = options
        self.rng = rng
        self.counters = counters
        self.budget = RetryBudget(options.retry_share, options.retry_burst)
        self.hedge_delays = HedgeDelays(options)
        self._send = send
        self._incarnation = rng.randrange(N_INCARNATIONS)
        self._attempts: dict[int, Attempt] = {}
        self._pending_sends: set[asyncio.Task[bool]] = set()

    def prepare(
        self, spec: CallSpec, updates: UpdateQueue, tried: Container[AgentId]
    ) -> Attempt | None:
        """Choose a runner for the next attempt; None when there is none."""
        now_s = asyncio.get_running_loop().time()
        row = self.table.choose(spec.service, tried, now_s, spec.idempotent)
        return None if row is None else self._new_attempt(row, updates, now_s)

    def prepare_hedge(
        self, spec: CallSpec, updates: UpdateQueue, tried: Container[AgentId]
    ) -> Attempt | None:
        """Choose a runner with a free slot for a hedge; None when there is none."""
        now_s = asyncio.get_running_loop().time()
        row = self.table.choose_free(spec.service, tried, now_s)
        if row is None or not self.budget.take():
            return None
        attempt = self._new_attempt(row, updates, now_s)
        attempt.is_hedge = True
        self.counters.n_hedges += 1
        return attempt

    def _new_attempt(
        self, row: RunnerRow, updates: UpdateQueue, now_s: float
    ) -> Attempt:
        self.counters.n_attempts += 1
        number = self.counters.n_attempts
        attempt = Attempt(number, row, updates, SendCredit(0), now_s)
        self._attempts[attempt.call_id] = attempt
        row.n_open += 1
        return attempt

    async def open(
        self, attempt: Attempt, spec: CallSpec, first: bytes, end: bool
    ) -> None:
        """Send the `CallOpen` message of an attempt.

        If the channel is lost meanwhile, the message may still have arrived.
        """
        attempt.request_credit.grant(REQUEST_WINDOW_BYTES - len(first))
        opening = CallOpen(
            self._incarnation,
            attempt.call_id,
            spec.service,
            spec.request_id,
            spec.caller,
            spec.method,
            spec.path,
            spec.headers,
            spec.idempotent,
            spec.left_ms(),
            self.options.answer_window_bytes,
            first,
            spec.body_bytes,
            end,
        )
        if not await self._send(attempt.row.agent_id, opening):
            self._mark_lost(attempt)

    async def send_body(
        self, attempt: Attempt, sequence: int, data: bytes, end: bool
    ) -> bool:
        """Send the next part of a request's body."""
        part = RequestData(self._incarnation, attempt.call_id, sequence, data, end)
        return await self._send(attempt.row.agent_id, part)

    def grant(self, attempt: Attempt, n_bytes: int) -> None:
        """Grant the agent credit for `n_bytes` more of the answer."""
        credit = AnswerCredit(self._incarnation, attempt.call_id, n_bytes)
        self._send_in_background(attempt, credit)

    def cancel(self, attempt: Attempt, superseded: bool = False) -> None:
        """Send a cancellation of an attempt; the attempt stays open."""
        service = attempt.row.service
        self._send_in_background(
            attempt,
            CallCancel(self._incarnation, attempt.call_id, service, superseded),
        )

    def close(self, attempt: Attempt) -> None:
        """Close an attempt; messages that still arrive for it count as late."""
        if not attempt.is_open:
            return
        attempt.is_open = False
        attempt.request_credit.close()
        if attempt.body_task is not None:
            attempt.body_task.cancel()
        del self._attempts[attempt.call_id]
        attempt.row.on_attempt_closed(asyncio.get_running_loop().time())

    def on_message(self, agent_id: AgentId, message: Message) -> bool:
        """Handle a message of an agent; False when it is not about an attempt."""
        if isinstance(message, RequestCredit):
            attempt = self._find(agent_id, message.incarnation, message.call_id)
            if attempt is not None:
                attempt.request_credit.grant(message.n_bytes)
            return True
        if isinstance(message, (AnswerHead, AnswerData, CallEnded)):
            attempt = self._find(agent_id, message.incarnation, message.call_id)
            if attempt is not None:
                self._on_answer_message(attempt, message)
            return True
        return False

    def _find(
        self, agent_id: AgentId, incarnation: int, call_id: int
    ) -> Attempt | None:
        attempt = self._attempts.get(call_id)
        if (
            attempt is None
            or incarnation != self._incarnation
            or attempt.row.agent_id != agent_id
        ):
            self.counters.n_late_answers += 1
            return None
        return attempt

    def _on_answer_message(
        self, attempt: Attempt, message: AnswerHead | AnswerData | CallEnded
    ) -> None:
        if not isinstance(message, AnswerData):
            n_held = message.n_busy + message.n_queued
            attempt.row.on_load(n_held, message.latency_ms)
            self._record_health(attempt, message)
        self._notify(attempt, message)

    def _record_health(self, attempt: Attempt, message: AnswerHead | CallEnded) -> None:
        """Record a success or failure of the runner for its health."""
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, CallEnded):
            if message.fault:
                self.table.on_failure(attempt.row, now_s)
        elif message.status >= FIRST_FAILING_STATUS:
            self.table.on_failure(attempt.row, now_s)
        else:
            self.table.on_success(attempt.row, now_s)

    def _notify(self, attempt: Attempt, event: AttemptEvent) -> None:
        attempt.updates.put(AttemptUpdate(attempt, event))

    def agent_left(self, agent_id: AgentId) -> None:
        """Mark every attempt at an agent as lost, since its channel was lost."""
        for attempt in list(self._attempts.values()):
            if attempt.row.agent_id == agent_id:
                self._mark_lost(attempt)

    def _mark_lost(self, attempt: Attempt) -> None:
        if attempt.is_open and not attempt.is_lost:
            attempt.is_lost = True
            attempt.request_credit.close()
            self._notify(attempt, AgentLost())

    def agent_joined(self, agent_id: AgentId) -> None:
        """Ask a reconnected agent for the outcome of its lost attempts."""
        for attempt in self._attempts.values():
            if attempt.row.agent_id == agent_id and attempt.is_lost:
                attempt.is_lost = False
                window = self.options.answer_window_bytes
                recover = CallRecover(
                    self._incarnation, attempt.call_id, window, attempt.row.service
                )
                self._send_in_background(attempt, recover)

    def _send_in_background(self, attempt: Attempt, message: Message) -> None:
        sending = self._send(attempt.row.agent_id, message)
        task = asyncio.ensure_future(sending)
        self._pending_sends.add(task)
        task.add_done_callback(self._pending_sends.discard)

    def n_open(self) -> int:
        """Return the number of open attempts."""
        return len(self._attempts)

    async def finish(self) -> None:
        """Wait until the messages sent in the background are out."""
        await asyncio.gather(*self._pending_sends, return_exceptions=True)
