"""Admission control of an agent for one runner; all of the runner's calls pass it.

A call passes through these phases:

1. Admission: the call is refused while the agent drains, when the ledger holds an
   earlier copy of it, or when it cannot finish before its deadline.
2. Queue: the call waits while all slots are busy. Callers take turns. The call is
   shed when too little time is left before its deadline or when the queue overflows.
3. Run: the call holds a slot from its dispatch until the runner's answer has been
   read. The answer's body is relayed within the credit granted by the entry.
4. End: the answer to a non-idempotent call is kept in the ledger, so that the entry
   can ask for it again if its channel was lost.

A call is reported as `OutcomeKind.NOT_RUN` only after the ledger has recorded it as
refused; it is never dispatched afterwards.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import Final

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import EntryId, ServiceName
from almondspan_decisions.latency_sketch import LatencySketch
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_decisions.recent_calls import RecentSummary
from almondspan_service.admission_metrics import AdmissionMetrics, BurnSample
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.admitted_call import AdmittedCall
from almondspan_service.answer_relay import AnswerRelay
from almondspan_service.answer_sender import AnswerSender, RunnerLoad, SendToEntry
from almondspan_service.call_ledger import CallKey, CallLedger, CallState
from almondspan_service.fair_queue import FairQueue
from almondspan_service.runner_client import (
    HttpRunnerClient,
    RunnerClient,
    RunnerFault,
)
from almondspan_wire.codec import Message
from almondspan_wire.membership import RunnerStatus
from almondspan_wire.service_messages import (
    AnswerCredit,
    CallCancel,
    CallOpen,
    CallRecover,
    RequestCredit,
    RequestData,
)

__all__ = ["BurnSample", "AdmissionOptions", "RunnerAdmission"]

STOP_ALLOWANCE_RUNS: Final = 4.0
"""Mean run times from dispatch after which a stopped run is assumed to have ended."""

_LOGGER = logging.getLogger(__name__)


class RunnerAdmission:
    """Admits, queues and runs the calls to one runner.

    Parameters
    ----------
    service : the service that the runner serves.
    runner_url : the runner's address (``http://ip:port``).
    send : sends a message to an entry; returns False when the channel is lost.
    options : limits and time-outs.
    client : client of the runner; by default HTTP to `runner_url`.
    """

    def __init__(
        self,
        service: ServiceName,
        runner_url: str,
        send: SendToEntry,
        options: AdmissionOptions,
        client: RunnerClient | None = None,
    ) -> None:
        self._service = service
        self._options = options
        self._client = client or HttpRunnerClient(
            runner_url, options.n_connections, options.connect_timeout_s
        )
        self._queue: FairQueue[AdmittedCall] = FairQueue(
            options.n_connections - options.n_slots
        )
        self._calls: dict[CallKey, AdmittedCall] = {}
        self._ledger = CallLedger(
            options.n_remembered_calls,
            options.n_kept_answers,
            options.n_remembered_entries,
        )
        self._metrics = AdmissionMetrics(options)
        self._sender = AnswerSender(send, self._load)
        self._relay = AnswerRelay(
            self._sender, self._ledger, options, self._on_answer, self._free_slot
        )
        self._n_busy = 0
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._handlers: dict[type[Message], Callable[[EntryId, Message], bool]] = {
            CallOpen: self._on_open,
            CallCancel: self._on_cancel,
            CallRecover: self._on_recover,
            RequestData: self._on_request_data,
            AnswerCredit: self._on_answer_credit,
        }

    async def start(self) -> None:
        """Start the runner's client."""
        await self._client.start()

    async def close(self) -> None:
        """Cancel all calls; call `drain` first to let them finish."""
        self._draining = True
        for _, queued in self._queue.items():
            self._refuse(queued, "the agent is shutting down")
        tasks = [call.task for call in self._calls.values() if call.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._sender.finish()
        await self._client.close()

    async def drain(self) -> None:
        """Refuse new calls and wait until queued and running calls have ended."""
        self._draining = True
        _LOGGER.info(
            "admission to %s: draining %d calls", self._service, len(self._calls)
        )
        await self._idle.wait()

    def resume(self) -> None:
        """Accept calls again after a drain."""
        self._draining = False

    @property
    def service(self) -> ServiceName:
        """The service that the runner serves."""
        return self._service

    def knows(self, entry_id: EntryId, incarnation: int, call_id: int) -> bool:
        """Return whether the ledger has a record of a call, in any state."""
        key = CallKey(entry_id, incarnation, call_id)
        return self._ledger.state(key) is not CallState.NEW

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Apply the service's objective from a configuration."""
        self._metrics.set_fleet(fleet, self._service)

    def status(self) -> RunnerStatus:
        """Return the runner's load, as reported to the entries."""
        burn = self._metrics.burn(_now_s(), self._options.burn_window_s)
        return RunnerStatus(
            service=self._service,
            n_slots=self._options.n_slots,
            n_busy=self._n_busy,
            n_queued=len(self._queue),
            latency_ms=self._metrics.run_ms(),
            burn_rate=burn.burn_rate,
        )

    def _load(self) -> RunnerLoad:
        return RunnerLoad(self._n_busy, len(self._queue), self._metrics.run_ms())

    def burn(self, window_s: float) -> BurnSample:
        """Return the error budget's burn rate over the last `window_s` seconds."""
        return self._metrics.burn(_now_s(), window_s)

    def recent(self, window_s: float, tail_share: float) -> RecentSummary:
        """Summarise the calls of the last `window_s` seconds, at most 3 s."""
        return self._metrics.recent.summary(_now_s(), window_s, tail_share)

    def latencies(self) -> LatencySketch:
        """Return the latencies of all calls since the start, in milliseconds."""
        return self._metrics.latencies

    def run_ms(self) -> float:
        """Return the mean run time of recent calls in ms, without queueing."""
        return self._metrics.run.mean_s * 1000.0

    def tail_ms(self) -> float:
        """Return the tail latency of recent calls with queueing in ms; 0 if unknown."""
        return self._metrics.tail_ms(_now_s())

    def objective_ms(self) -> float:
        """Return the service's latency objective, in milliseconds."""
        return self._metrics.objective_ms

    def on_message(self, entry_id: EntryId, message: Message) -> bool:
        """Handle a message of an entry; False when it is not about a call to here."""
        handler = self._handlers.get(type(message))
        return handler is not None and handler(entry_id, message)

    def entry_left(self, entry_id: EntryId) -> None:
        """Detach the calls of an entry whose channel was lost.

        Queued calls are refused and idempotent ones stopped; the others run on.
        """
        held = [call for key, call in self._calls.items() if key.entry_id == entry_id]
        for call in held:
            call.detach()
            if self._ledger.state(call.key) is CallState.QUEUED:
                self._refuse(call, "the entry's channel was lost")
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
            self._answer_duplicate(key, state)
            return
        call = AdmittedCall(key, message, _now_s())
        if self._draining:
            self._refuse(call, "the runner is draining")
            return
        reason = self._shed_reason(call)
        if reason:
            self._shed(call, reason)
            return
        self._track(call)
        dropped = self._queue.push(message.caller, call)
        if dropped is not None:
            self._shed(dropped, "the queue is full")
        self._dispatch()
        if call.key in self._calls and not call.has_slot:
            self._schedule_shedding(call)

    def _answer_duplicate(self, key: CallKey, state: CallState) -> None:
        if state is CallState.REFUSED:
            self._sender.send_end_in_background(
                key, OutcomeKind.NOT_RUN, "refused earlier"
            )
        elif state is CallState.FORGOTTEN:
            self._sender.send_end_in_background(
                key, OutcomeKind.UNKNOWN, "the record of the call was evicted"
            )

    def _shed_reason(self, call: AdmittedCall) -> str:
        """Return why a call would miss its deadline, or an empty string."""
        if self._n_busy < self._options.n_slots:
            return "" if call.opened.timeout_ms > 0 else "the deadline has passed"
        n_ahead = self._queue.n_ahead(call.opened.caller)
        estimated_finish_s = self._metrics.run.estimated_finish_s(
            n_ahead, self._options.n_slots
        )
        if estimated_finish_s * 1000.0 > call.opened.timeout_ms:
            return "it cannot finish before its deadline"
        return ""

    def _track(self, call: AdmittedCall) -> None:
        self._ledger.record(call.key, CallState.QUEUED)
        self._calls[call.key] = call
        self._idle.clear()

    def _untrack(self, call: AdmittedCall) -> None:
        self._calls.pop(call.key, None)
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._calls and self._n_busy == 0:
            self._idle.set()

    def _shed(self, call: AdmittedCall, reason: str) -> None:
        """Refuse a call because of overload, and count it as missed."""
        self._record_miss(call)
        self._refuse(call, reason)

    def _record_miss(self, call: AdmittedCall) -> None:
        """Count a call without an answer as missed, unless another attempt got one."""
        if not call.superseded:
            self._metrics.record_miss(_now_s())

    def _refuse(self, call: AdmittedCall, reason: str) -> None:
        """Record that a call will never run, and notify its entry."""
        self._ledger.record(call.key, CallState.REFUSED)
        self._queue.remove(call.opened.caller, call)
        if call.shed_timer is not None:
            call.shed_timer.cancel()
        self._untrack(call)
        if not call.is_detached:
            self._sender.send_end_in_background(call.key, OutcomeKind.NOT_RUN, reason)

    def _schedule_shedding(self, call: AdmittedCall) -> None:
        latest_s = call.deadline_s - self._metrics.run.median_s
        call.shed_timer = asyncio.get_running_loop().call_at(
            latest_s, self._shed, call, "it waited too long in the queue"
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

    async def _run_call(self, call: AdmittedCall) -> None:
        try:
            async with asyncio.timeout_at(self._run_deadline_s(call)):
                await self._serve(call)
        except TimeoutError:
            self._record_miss(call)
            self._free_slot_after_stop(call)
            await self._sender.end(
                call, OutcomeKind.UNKNOWN, "the deadline passed during the run"
            )

    def _after_run(self, call: AdmittedCall, task: asyncio.Task[None]) -> None:
        """Release the resources of a call.

        Runs as a done callback, so also for a task cancelled before its first step.
        """
        self._free_slot_after_stop(call)
        if not call.is_measured:
            self._metrics.run.add_stopped(_now_s() - call.dispatched_s)
        self._untrack(call)
        if task.cancelled():
            if not call.is_detached:
                self._sender.send_end_in_background(
                    call.key, OutcomeKind.CANCELLED, "the run was stopped"
                )
        elif error := task.exception():
            _LOGGER.error("unexpected error while running a call", exc_info=error)
            self._sender.send_end_in_background(
                call.key, OutcomeKind.UNKNOWN, "internal error of the agent"
            )

    def _run_deadline_s(self, call: AdmittedCall) -> float:
        if call.opened.idempotent:
            return call.deadline_s
        return call.dispatched_s + self._options.run_limit_s

    def _free_slot_after_stop(self, call: AdmittedCall) -> None:
        """Free the slot of a stopped call once its run is assumed to have ended.

        A runner may continue with a request whose connection was closed. The slot
        stays taken for the time within which nearly all runs end, from the dispatch.
        """
        if not call.has_slot:
            return
        until_s = self._assumed_stop_s(call)
        if until_s <= _now_s():
            self._free_slot(call)
        else:
            asyncio.get_running_loop().call_at(until_s, self._free_slot, call)

    def _assumed_stop_s(self, call: AdmittedCall) -> float:
        return call.dispatched_s + STOP_ALLOWANCE_RUNS * self._metrics.run.mean_s

    def _free_slot(self, call: AdmittedCall) -> None:
        """Free the slot of a call that the runner has finished, and start the next."""
        if not call.has_slot:
            return
        call.has_slot = False
        self._n_busy -= 1
        self._update_idle()
        if self._ledger.state(call.key) is CallState.RUNNING:
            self._ledger.record(call.key, CallState.ENDED)
        self._dispatch()

    async def _serve(self, call: AdmittedCall) -> None:
        opened = call.opened
        body = opened.data if opened.end else self._request_body(call)
        answer = await self._client.send(call.runner_request(body, _now_s()))
        if isinstance(answer, RunnerFault):
            await self._on_fault(call, answer)
            return
        try:
            await self._relay.relay(call, answer)
        finally:
            answer.close()

    async def _request_body(self, call: AdmittedCall) -> AsyncIterator[bytes]:
        while part := await call.body.read():
            yield part
            key = call.key
            credit = RequestCredit(key.incarnation, key.call_id, len(part))
            await self._sender.send(call, credit)

    async def _on_fault(self, call: AdmittedCall, fault: RunnerFault) -> None:
        """End a call that got no answer from the runner."""
        kind = OutcomeKind.UNKNOWN
        if not fault.may_have_run:
            kind = OutcomeKind.NOT_RUN
            self._ledger.record(call.key, CallState.REFUSED)
        self._record_miss(call)
        self._free_slot(call)
        await self._sender.end(call, kind, fault.reason, True)

    def _on_answer(self, call: AdmittedCall) -> None:
        """Record run time and latency of a call whose answer has arrived."""
        now_s = _now_s()
        call.is_measured = True
        run_s = now_s - call.dispatched_s
        if call.superseded:
            self._metrics.run.add(run_s)
        else:
            self._metrics.record_answer(now_s, run_s, now_s - call.arrived_s)

    # Messages about calls that were opened before.

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
        self._cancel_call(entry_id, message)
        return True

    def _cancel_call(self, entry_id: EntryId, message: CallCancel) -> None:
        key = CallKey(entry_id, message.incarnation, message.call_id)
        call = self._calls.get(key)
        state = self._ledger.state(key)
        if state is CallState.NEW:
            self._refuse_unseen(key, "cancelled before it arrived")
        elif state is CallState.QUEUED and call is not None:
            self._refuse(call, "cancelled while queued")
        elif call is not None and call.task is not None:
            call.body.abort()
            if call.opened.idempotent:
                self._stop_running(call, call.task, message.superseded)

    def _refuse_unseen(self, key: CallKey, reason: str) -> None:
        """Record that a call without a record must never be dispatched."""
        if self._ledger.n_entries_forgotten:
            # The record may be among those evicted, so the call may have run.
            self._ledger.record(key, CallState.ENDED)
            reason = "the record of the call was evicted"
            self._sender.send_end_in_background(key, OutcomeKind.UNKNOWN, reason)
            return
        self._ledger.record(key, CallState.REFUSED)
        self._sender.send_end_in_background(key, OutcomeKind.NOT_RUN, reason)

    def _stop_running(
        self, call: AdmittedCall, task: asyncio.Task[None], superseded: bool
    ) -> None:
        """Stop a running call; a superseded one gets time to finish by itself.

        If it does, its slot is free at once, and its run time enters the estimate.
        """
        if not superseded:
            task.cancel()
            return
        call.superseded = True
        call.detach()
        loop = asyncio.get_running_loop()
        timer = loop.call_at(self._assumed_stop_s(call), task.cancel)
        task.add_done_callback(lambda _: timer.cancel())

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
            self._refuse_unseen(key, "the call never arrived")
        elif state is CallState.REFUSED:
            self._sender.send_end_in_background(
                key, OutcomeKind.NOT_RUN, "refused earlier"
            )
        elif state is CallState.QUEUED and call is not None:
            self._refuse(call, "withdrawn after its channel was lost")
        elif state is CallState.RUNNING and call is not None:
            call.detach()
            call.recovery_requested = True
        else:
            self._relay.send_kept(key)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
