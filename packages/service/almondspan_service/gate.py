"""The gate in front of a runner: the only one that sends it work.

A call passes through these phases:

1. Admission: it is refused when the gate drains, when its record says that it came
   before, or when it could not end before its deadline.
2. Queue: while all slots are busy it waits, fair between callers. It is refused
   when its deadline comes too near or when the queue overflows.
3. Run: it holds a slot from its dispatch until the runner's answer has been read.
   The answer's body is relayed as far as the entry has granted credit.
4. End: a call that is not idempotent leaves its answer in the ledger, in case the
   entry's channel was lost.

`NotRun` is said of a call only when the ledger has marked it as refused, after
which the gate never dispatches it.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from almondspan_decisions.burn import BurnCounter, burn_rate
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import AgentId, EntryId, ServiceName
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_service.fair_queue import FairQueue
from almondspan_service.gate_call import GateCall
from almondspan_service.gate_options import GateOptions
from almondspan_service.latency import LatencyWindow
from almondspan_service.ledger import CallKey, CallLedger, CallState
from almondspan_service.run_estimate import RunEstimate
from almondspan_service.runner_client import (
    HttpRunnerClient,
    RunnerAnswer,
    RunnerClient,
    RunnerFault,
)
from almondspan_wire.codec import Message
from almondspan_wire.membership import RunnerStatus
from almondspan_wire.service_messages import (
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

__all__ = ["BurnSample", "GateOptions", "RunnerGate"]

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class BurnSample:
    """Calls of a window against the service's objective."""

    n_calls: int
    n_missed: int
    burn_rate: float


SendToEntry = Callable[[EntryId, Message], Awaitable[bool]]


class RunnerGate:
    """Admits calls to one runner.

    Parameters
    ----------
    agent_id : the agent beside the runner.
    service : the service that the runner serves.
    runner_url : the runner's address (``http://ip:port``).
    send : sends a message to an entry; False when its channel is lost.
    options : limits and times.
    rng : randomness.
    client : speaks with the runner; by default HTTP to `runner_url`.
    """

    def __init__(
        self,
        agent_id: AgentId,
        service: ServiceName,
        runner_url: str,
        send: SendToEntry,
        options: GateOptions,
        rng: Random,
        client: RunnerClient | None = None,
    ) -> None:
        self._agent_id = agent_id
        self._service = service
        self._send = send
        self._options = options
        self._rng = rng
        self._client = client or HttpRunnerClient(
            runner_url, options.n_connections, options.connect_timeout_s
        )
        self._queue: FairQueue[GateCall] = FairQueue(
            options.n_connections - options.n_slots
        )
        self._calls: dict[CallKey, GateCall] = {}
        self._ledger = CallLedger(
            options.n_remembered_calls,
            options.n_kept_answers,
            options.n_remembered_entries,
        )
        self._burn = BurnCounter()
        self._tail = LatencyWindow(
            options.tail_period_s, options.tail_share, options.tail_least_calls
        )
        self._run = RunEstimate(options.initial_run_s)
        self._objective_ms = options.objective_latency_ms
        self._objective_share = options.objective_share
        self._n_busy = 0
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._notices: set[asyncio.Task[bool]] = set()
        self._handlers: dict[type[Message], Callable[[EntryId, Message], bool]] = {
            CallOpen: self._on_open,
            CallCancel: self._on_cancel,
            CallRecover: self._on_recover,
            RequestData: self._on_request_data,
            AnswerCredit: self._on_answer_credit,
        }

    async def start(self) -> None:
        """Open the client of the runner."""
        await self._client.start()

    async def close(self) -> None:
        """Stop all work at once; `drain` first to cut nothing."""
        self._draining = True
        for _, queued in self._queue.items():
            self._refuse(queued, "the agent closes")
        tasks = [call.task for call in self._calls.values() if call.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *self._notices, return_exceptions=True)
        await self._client.close()

    async def drain(self) -> None:
        """Refuse new calls and wait for those queued and running."""
        self._draining = True
        _LOGGER.info("gate of %s drains %d calls", self._service, len(self._calls))
        await self._idle.wait()

    def resume(self) -> None:
        """Take calls again after a drain."""
        self._draining = False

    @property
    def service(self) -> ServiceName:
        """The service that the runner serves."""
        return self._service

    def knows(self, entry_id: EntryId, incarnation: int, call_id: int) -> bool:
        """Tell whether a call has reached this gate, in whatever state it is."""
        key = CallKey(entry_id, incarnation, call_id)
        return self._ledger.state(key) is not CallState.NEW

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Take the service's objective from a configuration."""
        for service in fleet.services:
            if service.name == self._service:
                self._objective_ms = service.objective_latency_ms
                self._objective_share = service.objective_share

    def status(self) -> RunnerStatus:
        """Return the runner's load."""
        return RunnerStatus(
            service=self._service,
            n_slots=self._options.n_slots,
            n_busy=self._n_busy,
            n_queued=len(self._queue),
            latency_ms=self._run.median_s * 1000.0,
            burn_rate=self.burn(self._options.burn_window_s).burn_rate,
        )

    def burn(self, window_s: float) -> BurnSample:
        """Return the calls of the last `window_s` seconds against the objective."""
        counts = self._burn.counts(_now_s(), window_s)
        rate = burn_rate(counts, self._objective_share)
        return BurnSample(counts.n_calls, counts.n_missed, rate)

    def run_ms(self) -> float:
        """Return the mean time of recent calls on the runner, without their wait."""
        return self._run.mean_s * 1000.0

    def tail_ms(self) -> float:
        """Return a high quantile of recent whole latencies; 0 while unknown."""
        return self._tail.quantile_ms(_now_s()) or 0.0

    def objective_ms(self) -> float:
        """Return the latency that the service's objective allows."""
        return self._objective_ms

    def on_message(self, entry_id: EntryId, message: Message) -> bool:
        """Handle a message of an entry; False when it is not one of the gate's."""
        handler = self._handlers.get(type(message))
        return handler is not None and handler(entry_id, message)

    def entry_left(self, entry_id: EntryId) -> None:
        """Settle the calls of an entry whose channel was lost."""
        held = [call for key, call in self._calls.items() if key.entry_id == entry_id]
        for call in held:
            call.detach()
            if self._ledger.state(call.key) is CallState.QUEUED:
                self._refuse(call, "the entry left")
            elif call.opened.idempotent and call.task is not None:
                call.task.cancel()

    # Admission.

    def _on_open(self, entry_id: EntryId, message: Message) -> bool:
        assert isinstance(message, CallOpen)
        if message.service != self._service:
            return False
        self._admit(entry_id, message)
        return True

    def _admit(self, entry_id: EntryId, message: CallOpen) -> None:
        key = CallKey(entry_id, message.incarnation, message.call_id)
        state = self._ledger.state(key)
        if state is not CallState.NEW:
            self._answer_again(key, state)
            return
        call = GateCall(key, message, _now_s())
        reason = self._refusal(call)
        if reason:
            self._refuse(call, reason)
            return
        self._hold(call)
        dropped = self._queue.push(message.caller, call)
        if dropped is not None:
            self._refuse(dropped, "the queue is full")
        self._dispatch()
        if call.key in self._calls and not call.has_slot:
            self._watch_deadline(call)

    def _answer_again(self, key: CallKey, state: CallState) -> None:
        if state is CallState.REFUSED:
            self._notify_end(key, OutcomeKind.NOT_RUN, "refused before")
        elif state is CallState.FORGOTTEN:
            self._notify_end(key, OutcomeKind.UNKNOWN, "no record is left of it")

    def _refusal(self, call: GateCall) -> str:
        """Return why a call is not admitted, or an empty string."""
        if self._draining:
            return "the runner drains"
        if self._n_busy < self._options.n_slots:
            return "" if call.opened.timeout_ms > 0 else "the deadline has passed"
        n_ahead = self._queue.n_ahead(call.opened.caller)
        finish_s = self._run.finish_s(n_ahead, self._options.n_slots)
        if finish_s * 1000.0 > call.opened.timeout_ms:
            return "it cannot end before its deadline"
        return ""

    def _hold(self, call: GateCall) -> None:
        self._ledger.record(call.key, CallState.QUEUED)
        self._calls[call.key] = call
        self._idle.clear()

    def _release(self, call: GateCall) -> None:
        self._calls.pop(call.key, None)
        if not self._calls:
            self._idle.set()

    def _refuse(self, call: GateCall, reason: str) -> None:
        """Mark a call as one that never runs, and say so."""
        self._ledger.record(call.key, CallState.REFUSED)
        self._queue.remove(call.opened.caller, call)
        if call.shed_timer is not None:
            call.shed_timer.cancel()
        self._release(call)
        if not call.detached:
            self._notify_end(call.key, OutcomeKind.NOT_RUN, reason)

    def _watch_deadline(self, call: GateCall) -> None:
        latest_s = call.deadline_s - self._run.median_s
        call.shed_timer = asyncio.get_running_loop().call_at(
            latest_s, self._refuse, call, "it waited too long"
        )

    # Run.

    def _dispatch(self) -> None:
        while self._n_busy < self._options.n_slots:
            call = self._queue.pop()
            if call is None:
                return
            if call.shed_timer is not None:
                call.shed_timer.cancel()
            self._n_busy += 1
            call.has_slot = True
            call.dispatched_s = _now_s()
            self._ledger.record(call.key, CallState.RUNNING)
            call.task = asyncio.create_task(self._run_call(call))
            call.task.add_done_callback(partial(self._after_run, call))

    async def _run_call(self, call: GateCall) -> None:
        try:
            async with asyncio.timeout_at(self._limit_s(call)):
                await self._serve(call)
        except TimeoutError:
            await self._end(call, OutcomeKind.UNKNOWN, "its deadline passed")

    def _after_run(self, call: GateCall, task: asyncio.Task[None]) -> None:
        """Free what a call held; also after a cancel before its first step."""
        self._over(call)
        self._release(call)
        if task.cancelled():
            self._notify_end(call.key, OutcomeKind.CANCELLED, "stopped while it ran")
        elif error := task.exception():
            _LOGGER.error("a call ended with an error", exc_info=error)
            self._notify_end(call.key, OutcomeKind.UNKNOWN, "the gate failed")

    def _limit_s(self, call: GateCall) -> float:
        if call.opened.idempotent:
            return call.deadline_s
        return call.dispatched_s + self._options.run_limit_s

    def _over(self, call: GateCall) -> None:
        """Free the slot of a call that the runner is done with."""
        if not call.has_slot:
            return
        call.has_slot = False
        self._n_busy -= 1
        if self._ledger.state(call.key) is CallState.RUNNING:
            self._ledger.record(call.key, CallState.ENDED)
        self._dispatch()

    async def _serve(self, call: GateCall) -> None:
        opened = call.opened
        body = opened.data if opened.end else self._request_body(call)
        answer = await self._client.send(call.runner_request(body, _now_s()))
        if isinstance(answer, RunnerFault):
            await self._end_fault(call, answer)
            return
        try:
            await self._relay(call, answer)
        finally:
            answer.close()

    async def _request_body(self, call: GateCall) -> AsyncIterator[bytes]:
        while part := await call.body.read():
            yield part
            await self._send_for(call, self._request_credit(call, len(part)))

    def _request_credit(self, call: GateCall, n_bytes: int) -> RequestCredit:
        return RequestCredit(call.key.incarnation, call.key.call_id, n_bytes)

    async def _end_fault(self, call: GateCall, fault: RunnerFault) -> None:
        if fault.may_have_run:
            await self._end(call, OutcomeKind.UNKNOWN, fault.reason, True)
            return
        self._ledger.record(call.key, CallState.REFUSED)
        await self._end(call, OutcomeKind.NOT_RUN, fault.reason, True)

    async def _relay(self, call: GateCall, answer: RunnerAnswer) -> None:
        """Relay an answer; a small one of known length goes in one message."""
        if 0 <= answer.body_bytes <= self._options.whole_answer_bytes:
            body = await _read_whole(answer)
            if isinstance(body, RunnerFault):
                await self._end(call, OutcomeKind.UNKNOWN, body.reason, True)
                return
            self._count(call)
            self._over(call)
            await self._send_whole(call, answer, body)
            return
        self._count(call)
        await self._relay_parts(call, answer)

    async def _send_whole(
        self, call: GateCall, answer: RunnerAnswer, body: bytes
    ) -> None:
        head = self._head(call, answer, body, end=True)
        if not call.opened.idempotent:
            self._ledger.keep_answer(call.key, head)
        if call.recover or not call.detached:
            await self._send(call.key.entry_id, head)

    async def _relay_parts(self, call: GateCall, answer: RunnerAnswer) -> None:
        head = self._head(call, answer, b"", end=False)
        await self._send_for(call, head)
        kept: bytearray | None = None if call.opened.idempotent else bytearray()
        sequence = 0
        n_bytes = 0
        while True:
            n_taken = await call.answer_credit.take(self._options.chunk_bytes)
            part = await answer.read(n_taken or self._options.chunk_bytes)
            if isinstance(part, RunnerFault):
                await self._end(call, OutcomeKind.UNKNOWN, part.reason, True)
                return
            n_bytes += len(part)
            kept = self._keep(kept, part)
            end = not part or n_bytes == answer.body_bytes
            if n_taken > len(part):
                call.answer_credit.grant(n_taken - len(part))
            if end:
                self._over(call)
            await self._send_for(call, self._part(call, sequence, part, end))
            sequence += 1
            if end:
                await self._finish_parts(call, answer, kept)
                return

    def _keep(self, kept: bytearray | None, part: bytes) -> bytearray | None:
        if kept is None or len(kept) + len(part) > self._options.kept_answer_bytes:
            return None
        kept += part
        return kept

    async def _finish_parts(
        self, call: GateCall, answer: RunnerAnswer, kept: bytearray | None
    ) -> None:
        if kept is not None:
            head = self._head(call, answer, bytes(kept), end=True)
            self._ledger.keep_answer(call.key, head)
        if call.recover:
            await self._send_recovered(call.key)

    def _head(
        self, call: GateCall, answer: RunnerAnswer, data: bytes, end: bool
    ) -> AnswerHead:
        return AnswerHead(
            call.key.incarnation,
            call.key.call_id,
            answer.status,
            answer.headers,
            len(data) if end else answer.body_bytes,
            data,
            end,
            self._n_busy,
            len(self._queue),
            self._run.median_s * 1000.0,
        )

    def _part(
        self, call: GateCall, sequence: int, data: bytes, end: bool
    ) -> AnswerData:
        return AnswerData(call.key.incarnation, call.key.call_id, sequence, data, end)

    def _count(self, call: GateCall) -> None:
        now_s = _now_s()
        self._run.add(now_s - call.dispatched_s)
        latency_ms = (now_s - call.arrived_s) * 1000.0
        self._burn.record(now_s, latency_ms > self._objective_ms)
        self._tail.add(now_s, latency_ms)

    # Messages about calls that are held or over.

    def _on_request_data(self, entry_id: EntryId, message: Message) -> bool:
        assert isinstance(message, RequestData)
        call = self._calls.get(CallKey(entry_id, message.incarnation, message.call_id))
        if call is not None:
            call.body.feed(message)
        return call is not None

    def _on_answer_credit(self, entry_id: EntryId, message: Message) -> bool:
        assert isinstance(message, AnswerCredit)
        call = self._calls.get(CallKey(entry_id, message.incarnation, message.call_id))
        if call is not None:
            call.answer_credit.grant(message.n_bytes)
        return call is not None

    def _on_cancel(self, entry_id: EntryId, message: Message) -> bool:
        assert isinstance(message, CallCancel)
        if message.service != self._service:
            return False
        self._withdraw(entry_id, message)
        return True

    def _withdraw(self, entry_id: EntryId, message: CallCancel) -> None:
        key = CallKey(entry_id, message.incarnation, message.call_id)
        call = self._calls.get(key)
        state = self._ledger.state(key)
        if state is CallState.NEW:
            self._ledger.record(key, CallState.REFUSED)
            self._notify_end(key, OutcomeKind.NOT_RUN, "withdrawn before it came")
        elif state is CallState.QUEUED and call is not None:
            self._refuse(call, "withdrawn")
        elif call is not None and call.task is not None:
            call.body.abort()
            if call.opened.idempotent:
                call.task.cancel()

    def _on_recover(self, entry_id: EntryId, message: Message) -> bool:
        assert isinstance(message, CallRecover)
        if message.service != self._service:
            return False
        self._recover(entry_id, message)
        return True

    def _recover(self, entry_id: EntryId, message: CallRecover) -> None:
        key = CallKey(entry_id, message.incarnation, message.call_id)
        call = self._calls.get(key)
        state = self._ledger.state(key)
        if state is CallState.NEW:
            self._ledger.record(key, CallState.REFUSED)
            self._notify_end(key, OutcomeKind.NOT_RUN, "it never came")
        elif state is CallState.REFUSED:
            self._notify_end(key, OutcomeKind.NOT_RUN, "refused before")
        elif state is CallState.QUEUED and call is not None:
            self._refuse(call, "withdrawn")
        elif state is CallState.RUNNING and call is not None:
            call.detach()
            call.recover = True
        else:
            self._post(self._send_recovered(key))

    async def _send_recovered(self, key: CallKey) -> bool:
        kept = self._ledger.kept_answer(key)
        if kept is not None:
            return await self._send(key.entry_id, kept)
        reason = "it ran and its answer is lost"
        return await self._send(
            key.entry_id, self._ended(key, OutcomeKind.UNKNOWN, reason)
        )

    # Sending.

    async def _send_for(self, call: GateCall, message: Message) -> None:
        if not call.detached:
            await self._send(call.key.entry_id, message)

    async def _end(
        self, call: GateCall, kind: OutcomeKind, reason: str, fault: bool = False
    ) -> None:
        self._over(call)
        if call.recover or not call.detached:
            ended = self._ended(call.key, kind, reason, fault)
            await self._send(call.key.entry_id, ended)

    def _notify_end(self, key: CallKey, kind: OutcomeKind, reason: str) -> None:
        self._post(self._send(key.entry_id, self._ended(key, kind, reason)))

    def _post(self, sending: Awaitable[bool]) -> None:
        """Send without waiting, since the caller reads a channel."""
        task = asyncio.ensure_future(sending)
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    def _ended(
        self, key: CallKey, kind: OutcomeKind, reason: str, fault: bool = False
    ) -> CallEnded:
        return CallEnded(
            key.incarnation,
            key.call_id,
            kind,
            reason,
            self._n_busy,
            len(self._queue),
            self._run.median_s * 1000.0,
            fault,
        )


async def _read_whole(answer: RunnerAnswer) -> bytes | RunnerFault:
    """Read a body of known length; one of another length is a fault."""
    n_bytes = answer.body_bytes
    parts: list[bytes] = []
    n_read = 0
    while n_read < n_bytes:
        part = await answer.read(n_bytes - n_read)
        if isinstance(part, RunnerFault):
            return part
        if not part:
            return RunnerFault(True, "the answer is too short")
        parts.append(part)
        n_read += len(part)
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
