"""The agent of one worker: polls it, executes the owner's commands, paces its tasks.

1. The worker reports itself to the agent. Once `ReportCheck` has confirmed it with the
   worker, a reported incarnation is the current one.
2. An owner connects. The agent follows the owner with the highest epoch. The fence of a
   command is the epoch of the owner that sent it, so the worker refuses commands of
   earlier owners that are still in flight; only that owner gets the answer.
3. Polls run one after another, each waiting at the worker for a task to end. A poll
   carries the lease and the acknowledged ends from the owner, and its result is
   forwarded to the owner. The first of several failed polls is reported to the owner.
4. Commands run concurrently with the polls; `CommandSlots` limits how many. A start
   that waits is sent only if it still may be, and a stop of its attempt withdraws it. A
   revocation is answered only when a poll that began after the worker's answer to the
   stop lists all ends, and the attempt as running no longer.
5. `WorkerPacing` paces the best-effort tasks based on the listed tail latencies.
6. `Relay` joins channels of processes that can't reach each other directly.

Without an owner the agent extends no lease.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from almondspan_decisions.clock_reading import ClockReading
from almondspan_decisions.ids import WorkerId
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.command_slots import CommandSlots
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.listings import make_listing
from almondspan_jobs.messages import (
    AttemptRevoked,
    InterferenceUpdate,
    LeaseRenewal,
    OwnerHello,
    OwnerReplaced,
    RelayRequest,
    StartCommand,
    StartReply,
    StopCommand,
    TaskTraitsUpdate,
    WorkerListing,
    WorkerReport,
    WorkerUnreachable,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import Listener, Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.pacing import WorkerPacing
from almondspan_jobs.relay import Relay
from almondspan_jobs.report_check import ReportCheck
from almondspan_jobs.supervision import keep_running
from almondspan_platform.task_worker import (
    PollFailed,
    PollRequest,
    StartAnswer,
    StartTask,
    TaskWorker,
    Verdict,
    WorkerPoll,
    WorkerState,
)
from almondspan_wire.channel import Channel, ChannelClosed
from almondspan_wire.codec import Message

__all__ = ["WorkerAgent"]


class _AttemptKey(NamedTuple):
    """Identifies the start of an attempt by the owner of an epoch."""

    task: str
    attempt: int
    epoch: int


@dataclass(slots=True)
class _Incarnation:
    """The agent's state of its worker's current incarnation."""

    state: WorkerState
    until_ms: int = 0
    n_acknowledged: int = 0
    n_listed: int = 0
    """Number of the last end that was forwarded."""
    is_confirmed: bool = False
    """The latest poll was answered, by this incarnation."""
    clock: ClockReading | None = None
    """The incarnation's clock in its latest answer to a poll."""
    failed_verdict: str = ""
    """Why the first poll since the latest listing failed; empty if none has."""


class WorkerAgent:
    """The agent of one worker."""

    def __init__(
        self,
        node: str,
        host: str,
        port: int,
        network: Network,
        worker: TaskWorker,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._worker: Final = worker
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._node: Final = node
        self._host: Final = host
        self._port: Final = port
        self._network: Final = network
        self._listener: Listener | None = None
        self._incarnation: _Incarnation | None = None
        self._epoch = 0
        self._n_listings = 0
        self._owner: OwnerHello | None = None
        """The owner with the highest epoch, connected or not."""
        self._relay: Final = Relay(network, options, log)
        self._channel: Channel | None = None
        self._pacing: Final = WorkerPacing(worker, options, log)
        self._report_check: Final = ReportCheck(
            worker,
            lambda: self._epoch if self._channel is not None else None,
            self._on_confirmed,
            self._on_departed,
            options,
            log,
        )
        self._changed: Final = asyncio.Event()
        n_slots = options.max_concurrent_commands
        self._start_slots: Final[CommandSlots[_AttemptKey]] = CommandSlots(n_slots)
        self._stop_slots: Final[CommandSlots[tuple[StopCommand, int]]] = CommandSlots(
            n_slots
        )
        self._command_tasks: Final[set[asyncio.Task[None]]] = set()
        self._poll_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for owners and start to poll."""
        self._listener = await self._network.listen(
            self._host, self._port, self._serve_channel
        )
        self._poll_task = asyncio.create_task(
            keep_running(
                "polls", self._poll_loop, self._options.poll_retry_s, self._log
            )
        )
        await self._report_check.start()

    async def close(self) -> None:
        """Stop polling and close the channels; the worker's lease then expires."""
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.gather(self._poll_task, return_exceptions=True)
        await self._report_check.close()
        for task in tuple(self._command_tasks):
            task.cancel()
        await asyncio.gather(*self._command_tasks, return_exceptions=True)
        if self._listener is not None:
            await self._listener.close()

    # Reports of the worker

    def on_report(self, state: WorkerState) -> None:
        """Handle a report, unless a later incarnation is already known."""
        incarnation = self._incarnation
        if incarnation is not None and incarnation.state.started_ms > state.started_ms:
            self._log.line(
                "report_outdated",
                born=state.started_ms,
                known=incarnation.state.started_ms,
            )
            return
        if incarnation is None or incarnation.state.identity != state.identity:
            self._report_check.check_incarnation(state)
            return
        self._update(incarnation, state)
        self._changed.set()
        self._send_report(has_left=False)

    def _update(self, incarnation: _Incarnation, state: WorkerState) -> None:
        """Apply what the current incarnation now says of itself."""
        before = incarnation.state
        if state.is_leaving and not before.is_leaving:
            self._log.line(
                "worker_leaving", worker=state.worker_id, leaves_ms=state.leaves_ms
            )
        if state.capacity != before.capacity:
            self._log.line("worker_capacity", capacity=str(state.capacity))
            self._pacing.set_capacity(state.capacity.cpu_millicores)
        incarnation.state = state

    def _on_confirmed(self, state: WorkerState, poll: WorkerPoll) -> None:
        """Handle a new incarnation, which the worker has confirmed by listing."""
        before = self._incarnation
        self._log.line(
            "worker_life",
            worker=state.worker_id,
            born=state.started_ms,
            before=str(before.state.worker_id) if before is not None else "",
            leaving=state.is_leaving,
            leaves_ms=state.leaves_ms,
        )
        self._incarnation = _Incarnation(state)
        self._pacing.on_new_incarnation(state.capacity.cpu_millicores)
        self._send_report(has_left=False)
        self._forward_poll(self._incarnation, poll)
        self._changed.set()

    def on_left(self, worker_id: WorkerId) -> None:
        """Handle a report that the worker is leaving now."""
        incarnation = self._incarnation
        if incarnation is None or incarnation.state.worker_id != worker_id:
            self._log.line("leave_unknown", worker=worker_id)
            return
        self._report_check.check_departure(incarnation.state)

    def _on_departed(self, state: WorkerState) -> None:
        """Handle the departure of an incarnation, which is confirmed."""
        incarnation = self._incarnation
        if incarnation is None or incarnation.state.identity != state.identity:
            return
        self._log.line("worker_left", worker=state.worker_id, born=state.started_ms)
        self._send_report(has_left=True)

    def _send_report(self, has_left: bool) -> None:
        incarnation = self._incarnation
        if incarnation is None:
            return
        state = incarnation.state
        self._post(
            WorkerReport(
                state.worker_id,
                state.started_ms,
                state.service,
                state.place,
                state.capacity.cpu_millicores,
                state.capacity.memory_mb,
                state.capacity.n_accelerators,
                list(state.labels),
                state.is_leaving,
                state.leaves_ms,
                has_left,
            )
        )

    def _send_unreachable(self, incarnation: _Incarnation) -> None:
        if self._owner is not None and self._owner.accepts_unreachable:
            self._post(
                WorkerUnreachable(
                    incarnation.state.started_ms, incarnation.failed_verdict
                )
            )

    def _post(self, body: Message) -> None:
        if self._channel is not None:
            self._channel.post(body)

    # The owner

    async def _serve_channel(self, channel: Channel) -> None:
        hello = await channel.receive()
        if isinstance(hello, RelayRequest):
            await self._relay.serve(channel, hello, self._owner)
        elif isinstance(hello, OwnerHello):
            await self._serve_owner(channel, hello)
        else:
            reason = hello.reason if isinstance(hello, ChannelClosed) else ""
            got = type(hello).__name__
            self._log.line("link_malformed", got=got, reason=reason)

    async def _serve_owner(self, channel: Channel, hello: OwnerHello) -> None:
        if hello.agent not in ("", self._node):
            # The owner has an old address of that agent, or one of another writer.
            self._log.line("owner_misled", owner=hello.owner, agent=hello.agent)
            return
        if hello.epoch < self._epoch:
            self._log.line("owner_outdated", epoch=hello.epoch, known=self._epoch)
            return
        self._log.line("owner_linked", owner=hello.owner, epoch=hello.epoch)
        self._epoch = hello.epoch
        self._owner = hello
        if self._channel is not None:
            # An owner without access to the store learns of its successor this way.
            self._channel.post(
                OwnerReplaced(hello.epoch, hello.owner, hello.host, hello.port)
            )
        self._channel = channel
        self._send_report(has_left=False)
        if self._incarnation is not None and self._incarnation.failed_verdict:
            self._send_unreachable(self._incarnation)
        self._changed.set()
        self._report_check.wake()
        while True:
            body = await channel.receive()
            if isinstance(body, ChannelClosed):
                self._log.line("link_closed", cause=body.cause.value, why=body.reason)
                break
            if self._channel is not channel:
                self._log.line("owner_outdated", epoch=hello.epoch, known=self._epoch)
                break
            self._on_message(body, hello.epoch)
        if self._channel is channel:
            self._channel = None
            self._log.line("owner_lost", owner=hello.owner, epoch=hello.epoch)

    def _on_message(self, body: Message, epoch: int) -> None:
        if isinstance(body, LeaseRenewal):
            self._on_renewal(body)
        elif isinstance(body, StartCommand):
            self._pacing.add_traits(body.traits)
            self._spawn(self._start_task(body, epoch))
        elif isinstance(body, StopCommand):
            self._spawn(self._stop_task(body, epoch))
        elif isinstance(body, InterferenceUpdate):
            self._pacing.set_weights(body)
        elif isinstance(body, TaskTraitsUpdate):
            self._pacing.replace_traits(body.tasks)

    def _on_renewal(self, renewal: LeaseRenewal) -> None:
        incarnation = self._incarnation
        if incarnation is None or incarnation.state.started_ms != renewal.started_ms:
            return
        incarnation.until_ms = max(incarnation.until_ms, renewal.until_ms)
        incarnation.n_acknowledged = max(
            incarnation.n_acknowledged, renewal.n_acknowledged
        )
        self._changed.set()

    def _spawn(self, body: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(body)
        self._command_tasks.add(task)
        task.add_done_callback(self._on_command_done)

    def _on_command_done(self, task: asyncio.Task[None]) -> None:
        self._command_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.line("order_broken", error=repr(task.exception()))

    # Commands

    def _reply(self, epoch: int, body: Message) -> None:
        """Answer a command, unless its owner has been replaced.

        The later owner would take the answer for that to a command of its own.
        """
        if epoch == self._epoch:
            self._post(body)
        else:
            self._log.line(
                "reply_dropped",
                kind=type(body).__name__,
                epoch=epoch,
                known=self._epoch,
            )

    async def _start_task(self, command: StartCommand, epoch: int) -> None:
        incarnation = self._incarnation
        name = command.traits.task
        key = _AttemptKey(name, command.attempt, epoch)
        if self._start_slots.is_waiting(key):
            # The command was sent again; the one that waits gets the answer.
            return
        verdict, is_proven = self._refusal(command), False
        if verdict is None:
            verdict, is_proven = await self._send_in_turn(command, key)
        self._metrics.count(f"start_{verdict.value}")
        self._log.line(
            "start_answered",
            task=name,
            attempt=command.attempt,
            born=command.started_ms,
            fence=epoch,
            verdict=verdict.value,
            proven=is_proven,
        )
        reply = StartReply(
            command.started_ms, name, command.attempt, verdict.value, is_proven
        )
        self._reply(epoch, reply)
        if verdict is Verdict.DONE and incarnation is not None:
            await self._pacing.pace_after_start(
                incarnation.state.worker_id,
                command.traits,
                command.attempt,
                epoch,
            )
            if command.is_trial:
                await self._list_after_trial(incarnation, epoch)

    async def _send_in_turn(
        self, command: StartCommand, key: _AttemptKey
    ) -> tuple[Verdict, bool]:
        """Send a start once it has a slot; return its verdict and if that is proven."""
        if not await self._start_slots.acquire(key):
            return Verdict.NOT_TAKEN, False
        try:
            # What allowed the start before the wait may have changed.
            verdict = self._refusal(command)
            if verdict is not None:
                return verdict, False
            incarnation = self._incarnation
            sent_s = steady_s()
            answer = await self._send_start(command, key.epoch)
            return answer.verdict, self._is_proven(incarnation, answer, sent_s)
        finally:
            self._start_slots.release()

    def _refusal(self, command: StartCommand) -> Verdict | None:
        """Return why a start must not be sent to the worker; None if it may be."""
        incarnation = self._incarnation
        if incarnation is None or incarnation.state.started_ms != command.started_ms:
            return Verdict.OTHER_INCARNATION
        is_silent = bool(incarnation.failed_verdict)
        if incarnation.state.is_leaving or is_silent or self._channel is None:
            return Verdict.NOT_TAKEN
        return None

    def _is_proven(
        self, incarnation: _Incarnation | None, answer: StartAnswer, sent_s: float
    ) -> bool:
        """Return whether the answer to a start came from this incarnation."""
        if incarnation is None or incarnation.clock is None:
            return False
        return answer.verdict is Verdict.DONE and incarnation.clock.is_continued(
            answer.clock_ms, sent_s, self._options.clock_drift
        )

    async def _send_start(self, command: StartCommand, epoch: int) -> StartAnswer:
        incarnation = self._incarnation
        assert incarnation is not None
        return await self._worker.start_task(
            incarnation.state.worker_id,
            StartTask(
                command.traits.task,
                command.attempt,
                command.payload,
                command.checkpoint,
                command.until_ms,
                epoch,
            ),
        )

    async def _list_after_trial(self, incarnation: _Incarnation, epoch: int) -> None:
        """List the worker's tasks once a task on trial has run long enough."""
        await asyncio.sleep(self._options.trial_list_s)
        poll = await self._worker.list_tasks(incarnation.state.worker_id, epoch)
        if isinstance(poll, WorkerPoll):
            if poll.started_ms == incarnation.state.started_ms:
                self._forward_poll(incarnation, poll)

    async def _stop_task(self, command: StopCommand, epoch: int) -> None:
        self._withdraw_starts(command)
        incarnation = self._incarnation
        key = (command, epoch)
        if incarnation is None or self._stop_slots.is_waiting(key):
            return
        await self._stop_slots.acquire(key)
        try:
            verdict = await self._worker.stop_task(
                incarnation.state.worker_id, command.task, command.attempt, epoch
            )
        finally:
            self._stop_slots.release()
        self._log.line(
            "stop_answered",
            task=command.task,
            attempt=command.attempt,
            void=command.is_revocation,
            verdict=verdict.value,
        )
        if command.is_revocation and verdict is Verdict.DONE:
            await self._confirm_revocation(incarnation, command, epoch)

    def _withdraw_starts(self, stop: StopCommand) -> None:
        """Withdraw the waiting starts of an attempt that is to be stopped."""
        withdrawn = self._start_slots.withdraw(
            lambda start: start.task == stop.task and start.attempt <= stop.attempt
        )
        for start in withdrawn:
            self._log.line(
                "start_withdrawn",
                task=start.task,
                attempt=start.attempt,
                fence=start.epoch,
            )

    async def _confirm_revocation(
        self, incarnation: _Incarnation, command: StopCommand, epoch: int
    ) -> None:
        """Answer a revocation if a new poll shows that the attempt is absent.

        An attempt that is in neither list may have ended if some ends are not listed.
        The owner asks again.
        """
        poll = await self._worker.list_tasks(incarnation.state.worker_id, epoch)
        if (
            not isinstance(poll, WorkerPoll)
            or poll.started_ms != incarnation.state.started_ms
        ):
            return
        listing = self._forward_poll(incarnation, poll)
        is_running = any(
            (task.task, task.attempt) == (command.task, command.attempt)
            for task in poll.running
        )
        if listing.lists_all_ends and not is_running:
            self._reply(
                epoch, AttemptRevoked(poll.started_ms, command.task, command.attempt)
            )

    # Polls

    async def _poll_loop(self) -> None:
        while True:
            incarnation = self._incarnation
            if incarnation is None or self._channel is None:
                self._changed.clear()
                await self._changed.wait()
                continue
            poll = await self._poll(incarnation)
            incarnation.is_confirmed = (
                isinstance(poll, WorkerPoll)
                and poll.started_ms == incarnation.state.started_ms
            )
            if isinstance(poll, PollFailed):
                self._log.line(
                    "look_failed",
                    worker=incarnation.state.worker_id,
                    verdict=poll.verdict.value,
                    reason=poll.reason,
                )
                self._on_poll_failed(incarnation, poll.verdict)
                await asyncio.sleep(self._options.poll_retry_s)
                continue
            if poll.started_ms != incarnation.state.started_ms:
                self._log.line(
                    "look_of_other_life",
                    born=poll.started_ms,
                    known=incarnation.state.started_ms,
                )
                self._on_poll_failed(incarnation, Verdict.OTHER_INCARNATION)
                await asyncio.sleep(self._options.poll_retry_s)
                continue
            listing = self._forward_poll(incarnation, poll)
            await self._pacing.pace_after_poll(
                incarnation.state.worker_id, poll, self._epoch
            )
            await self._wait_for_acknowledgement(incarnation, listing)

    async def _poll(self, incarnation: _Incarnation) -> WorkerPoll | PollFailed:
        wait_ms = (
            self._options.paced_poll_wait_ms
            if self._pacing.is_needed
            else self._options.poll_wait_ms
        )
        if incarnation.until_ms == 0 or incarnation.failed_verdict:
            wait_ms = 0
        self._metrics.count("looks")
        n_acknowledged = incarnation.n_acknowledged if incarnation.is_confirmed else 0
        return await self._worker.poll(
            incarnation.state.worker_id,
            PollRequest(self._epoch, n_acknowledged, incarnation.until_ms, wait_ms),
        )

    def _on_poll_failed(self, incarnation: _Incarnation, verdict: Verdict) -> None:
        """Report the first failed poll since the latest listing."""
        if incarnation is self._incarnation and not incarnation.failed_verdict:
            incarnation.failed_verdict = verdict.value
            self._send_unreachable(incarnation)

    def _forward_poll(
        self, incarnation: _Incarnation, poll: WorkerPoll
    ) -> WorkerListing:
        """Send a poll to the owner; return what is sent of it."""
        incarnation.clock = ClockReading(poll.clock_ms, steady_s())
        incarnation.failed_verdict = ""
        self._n_listings += 1
        listing = make_listing(poll, self._n_listings, is_paced=self._pacing.is_paced)
        self._post(listing)
        for end in poll.ended:
            if end.number > incarnation.n_listed:
                incarnation.n_listed = end.number
                self._pacing.forget_task(end.task)
                self._metrics.count(f"ended_{end.how.value}")
        return listing

    async def _wait_for_acknowledgement(
        self, incarnation: _Incarnation, listing: WorkerListing
    ) -> None:
        """Wait until listed ends are acknowledged, so that the next poll can wait."""
        if not listing.ended:
            return
        last = listing.ended[-1][0]
        until_s = steady_s() + self._options.acknowledge_wait_s
        while incarnation is self._incarnation and incarnation.n_acknowledged < last:
            left_s = until_s - steady_s()
            if left_s <= 0:
                return
            self._changed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                return
