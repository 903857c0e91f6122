"""The agent's part in tasks: the only code that admits attempts to its worker.

How an `AttemptAgent` works:

1. Rebuilding. It reads the worker's capacity and adopts the attempts that the worker
   lists. It admits nothing yet: a call by an earlier agent of this worker may still
   be in flight, so it waits for the time limit of a call and lists once more.
2. Running. A reservation takes capacity, and the start that quotes the reservation
   uses it. A start without a live reservation is admitted only after its shard has
   confirmed the assignment, or else refused permanently.
3. Each attempt runs up to its horizon: ``horizon_s`` after the *send* time of the
   last renewal that its shard answered (for a new start: after the reservation was
   granted). Past the horizon the worker's lease is not renewed, and the attempt is
   checkpointed and stopped.
4. An ended attempt is kept, here and by the worker, and reported until its shard
   has committed the end.
5. Draining. New work is refused at once; attempts that may be evicted are evicted,
   the others may finish within a time limit.

Each agent calls the worker at most once to start an attempt: after a lost answer
only the worker's list shows whether the attempt started.
"""

import asyncio
import random

from almondspan_decisions.ids import AgentId, TaskClass, TaskId
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_platform.worker import (
    StartAttempt,
    StartResult,
    Worker,
    WorkerUnavailable,
)
from almondspan_tasks.attempt_agent_state import AttemptAgentCounters, AttemptAgentState
from almondspan_tasks.attempt_lifecycle import AttemptPhase, LifecycleStep, advance
from almondspan_tasks.attempt_reporter import AttemptReporter
from almondspan_tasks.held_attempts import HeldAttempt, RunningAttempt
from almondspan_tasks.lease_renewer import LeaseRenewer
from almondspan_tasks.options import AttemptAgentOptions
from almondspan_tasks.reservation_handler import ReservationHandler
from almondspan_tasks.resting_rule import RestingRule
from almondspan_tasks.worker_reconciler import WorkerReconciler
from almondspan_wire.codec import Message
from almondspan_wire.messaging import MessageSender
from almondspan_wire.task_messages import (
    AttemptStarted,
    RenewReply,
    ReportAck,
    ReserveCapacity,
    StartTask,
    StopTask,
    shard_address,
)

__all__ = ["AttemptAgent"]


class AttemptAgent:
    """Admits, runs and reports the attempts on one worker."""

    def __init__(
        self,
        agent_id: AgentId,
        worker: Worker,
        outbox: MessageSender,
        options: AttemptAgentOptions,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._state = AttemptAgentState(
            agent_id, worker, outbox, options, rng, RestingRule(options)
        )
        self._held_attempts = self._state.held_attempts
        self._held_attempts.headroom = options.headroom
        self._background = self._state.background
        self._reporter = AttemptReporter(self._state)
        self._renewer = LeaseRenewer(self._state)
        self._reservation_handler = ReservationHandler(self._state, self._evict_held)
        self._reconciler = WorkerReconciler(
            self._state, self._reporter, self._renewer, self._mark_running
        )

    # Public interface.

    @property
    def counters(self) -> AttemptAgentCounters:
        """Return the agent's counters."""
        return self._state.counters

    async def start(self) -> None:
        """Start to rebuild the held attempts, then to admit work."""
        self._background.spawn(self._run())

    async def close(self) -> None:
        """Stop at once; attempts continue until the worker's lease expires."""
        await self._background.close()

    def capacity(self) -> Shape:
        """Return the worker's capacity; empty until it is known."""
        return self._held_attempts.capacity

    def free(self) -> Shape:
        """Return the free capacity; empty until the held attempts are rebuilt."""
        return self._held_attempts.free() if self.is_ready else EMPTY_SHAPE

    def n_tasks(self) -> int:
        """Return the number of attempts that use capacity."""
        return self._state.n_using_capacity()

    def classes(self) -> tuple[tuple[TaskClass, int], ...]:
        """Return the number of running attempts of each class."""
        counts: dict[TaskClass, int] = {}
        for held in self._held_attempts.all():
            if held.is_on_worker:
                counts[held.task_class] = counts.get(held.task_class, 0) + 1
        return tuple(sorted(counts.items()))

    def running(self) -> tuple[RunningAttempt, ...]:
        """Return the running attempts that are not being evicted."""
        return tuple(
            RunningAttempt(
                task_id=held.task_id,
                attempt=held.attempt,
                shard_id=held.shard_id,
                task_class=held.task_class,
                shape=held.shape,
                attained_s=held.ran_s,
                checkpointable=held.checkpointable,
                idempotent=held.idempotent,
                urgent=held.urgent,
            )
            for held in self._held_attempts.running()
        )

    @property
    def is_resting(self) -> bool:
        """Whether the worker gets no new work after too many failures."""
        return self._state.resting.is_resting(self._state.now_s())

    @property
    def is_ready(self) -> bool:
        """Whether the held attempts are rebuilt, so that work is admitted."""
        return self._state.ready.is_set()

    @property
    def is_draining(self) -> bool:
        """Whether the agent drains and refuses new work."""
        return self._state.draining

    def set_resting(self, resting: bool) -> None:
        """Rest the worker, or end its rest, on an operator's request."""
        self._state.resting.set_manually(resting)

    def set_headroom(self, headroom: Shape) -> None:
        """Set the free capacity that only urgent work may use."""
        self._held_attempts.headroom = headroom

    def throttle(self, task: TaskId, share: float) -> bool:
        """Limit a running task to a share of its shape; False if it is not running."""
        held = self._running_attempt(task)
        if held is None:
            return False
        self._background.spawn(self._throttle_on_worker(held, share))
        return True

    def evict(self, task: TaskId, checkpoint: bool) -> bool:
        """Evict a running task; False if it is not running or must not be stopped.

        A task that is not idempotent is evicted only with a checkpoint.
        """
        held = self._running_attempt(task)
        if held is None or not _may_evict(held, checkpoint):
            return False
        held.saves_checkpoint = checkpoint
        self._evict_held(held)
        return True

    async def drain(self) -> None:
        """Refuse new work; return when no attempt is held or at the time limit."""
        self._state.draining = True
        limit_s = self._state.now_s() + self._options.drain_timeout_s
        for held in self._held_attempts.all():
            if held.phase is AttemptPhase.RUNNING and _may_evict(held, True):
                self._begin_evict(held)
        try:
            async with asyncio.timeout_at(limit_s):
                await self._wait_until_empty()
        except TimeoutError:
            return

    def resume(self) -> None:
        """Admit new work again after a drain."""
        self._state.draining = False

    async def _wait_until_empty(self) -> None:
        while len(self._held_attempts):
            self._state.changed.clear()
            await self._state.changed.wait()

    def on_routed_message(self, sender: str, body: Message) -> None:
        """Handle a message from the owner of a shard."""
        self._reconciler.check_for_pause()
        match body:
            case ReserveCapacity():
                self._reservation_handler.on_reserve(sender, body)
            case StartTask():
                self._on_start(sender, body)
            case StopTask():
                self._on_stop(body)
            case RenewReply():
                self._on_renew_reply(body)
            case ReportAck():
                self._reporter.on_ack(body)

    def _running_attempt(self, task: TaskId) -> HeldAttempt | None:
        for held in self._held_attempts.all():
            if held.task_id == task and held.phase is AttemptPhase.RUNNING:
                return held
        return None

    # Starts.

    def _on_start(self, sender: str, body: StartTask) -> None:
        if self._state.is_stale(body.shard_id, body.epoch):
            return
        held = self._held_attempts.get((body.task_id, body.attempt))
        if held is None:
            self._start_without_reservation(body)
        elif held.phase is AttemptPhase.RESERVED:
            self._start_reserved(held, body)
        elif held.is_on_worker:
            self._report_started(held)
        elif held.phase is AttemptPhase.FINISHING:
            self._reporter.send(held)

    def _start_reserved(self, held: HeldAttempt, body: StartTask) -> None:
        if body.agent_id != self._state.agent_id:
            return
        self._copy_start_fields(held, body)
        is_live = held.reservation == body.reservation and not held.awaits_preemption
        if is_live and self._has_time_to_start(held):
            self._begin_start(held)
        else:
            # The reservation or the start was repeated: the shard must confirm.
            self._confirm_first(held)

    def _start_without_reservation(self, body: StartTask) -> None:
        if body.agent_id != self._state.agent_id or not self.is_ready:
            # Only the assigned agent may start or refuse the attempt. While it is
            # rebuilding it does neither, and the shard waits for the horizon.
            return
        held = HeldAttempt(body.shard_id, body.task_id, body.attempt, body.shape)
        self._copy_start_fields(held, body)
        held.refusal = self._state.refusal()
        if not held.refusal and not self._held_attempts.fits(body.shape, body.urgent):
            held.refusal = "not enough free capacity"
        self._held_attempts.add(held)
        # This may be a late copy of a start whose attempt ran and was acknowledged,
        # so even a refusal waits until the shard has confirmed the assignment.
        self._confirm_first(held)

    def _copy_start_fields(self, held: HeldAttempt, body: StartTask) -> None:
        held.start = body
        held.task_class = body.task_class
        held.idempotent = body.idempotent
        held.checkpointable = body.checkpointable
        held.urgent = body.urgent

    def _confirm_first(self, held: HeldAttempt) -> None:
        advance(held, LifecycleStep.ASK)
        held.lease_until_s = 0.0
        held.first_renewal_id = self._renewer.next_id
        held.expires_s = self._state.now_s() + self._options.horizon_s / 2
        self._renewer.send_renewals([held])

    def _has_time_to_start(self, held: HeldAttempt) -> bool:
        return held.lease_until_s - self._state.now_s() > self._options.call_bound_s

    def _refuse(self, held: HeldAttempt, reason: str) -> None:
        """Report that an attempt never starts; no start call may still take effect."""
        advance(held, LifecycleStep.REFUSE)
        self._state.counters.n_refused += 1
        self._reporter.add(held, Outcome(OutcomeKind.NOT_RUN, reason))

    def _begin_start(self, held: HeldAttempt) -> None:
        advance(held, LifecycleStep.START)
        self._background.spawn(self._start_on_worker(held))

    async def _start_on_worker(self, held: HeldAttempt) -> None:
        self._reconciler.check_for_pause()
        await self._state.ready.wait()
        await self._reconciler.refresh()
        if held.phase is not AttemptPhase.STARTING:
            return
        refusal = self._late_refusal(held)
        if refusal:
            self._refuse(held, refusal)
            return
        assert held.start is not None
        not_after_s = self._state.worker_clock.at(held.lease_until_s)
        request = _start_request(held.start, not_after_s)
        answer = await self._state.worker.start_attempt(request)
        if held.phase is not AttemptPhase.STARTING:
            return
        if isinstance(answer, WorkerUnavailable) and answer.may_have_applied:
            held.start_unknown_until_s = (
                self._state.now_s() + self._options.call_bound_s
            )
        elif isinstance(answer, WorkerUnavailable):
            self._refuse(held, answer.reason)
        elif answer is StartResult.REFUSED:
            self._refuse(held, "the worker refused it")
        else:
            self._mark_running(held)

    def _late_refusal(self, held: HeldAttempt) -> str:
        if self._state.draining:
            return "draining"
        if held.abandoned:
            return "its shard closed the attempt"
        if not self._reconciler.is_fresh():
            return "the worker does not answer"
        if not self._has_time_to_start(held):
            return "too little time is left on its lease"
        if self._state.is_shared():
            return "another agent admits work to this worker"
        if not self._held_attempts.is_within_capacity():
            return "not enough free capacity"
        return ""

    def _mark_running(self, held: HeldAttempt) -> None:
        advance(held, LifecycleStep.STARTED)
        held.start_unknown_until_s = 0.0
        held.list_number = self._state.list_number
        self._state.counters.n_started += 1
        if held.abandoned:
            self._begin_evict(held)
        else:
            self._report_started(held)

    def _report_started(self, held: HeldAttempt) -> None:
        body = AttemptStarted(held.shard_id, held.task_id, held.attempt)
        self._state.outbox.send(shard_address(held.shard_id), body)

    # Stops and evictions.

    def _on_stop(self, body: StopTask) -> None:
        held = self._held_attempts.get((body.task_id, body.attempt))
        if held is not None and not self._state.is_stale(body.shard_id, body.epoch):
            self._abandon(held)

    def _abandon(self, held: HeldAttempt) -> None:
        """Drop or stop an attempt that its shard has committed as closed."""
        if held.phase in (AttemptPhase.RESERVED, AttemptPhase.CONFIRMING):
            self._state.drop(held)
        elif held.phase is AttemptPhase.FINISHING:
            self._reporter.forget(held)
        elif not held.abandoned:
            held.abandoned = True
            if held.phase is AttemptPhase.RUNNING:
                self._begin_evict(held)

    def _evict_held(self, held: HeldAttempt) -> None:
        self._state.counters.n_evicted += 1
        self._begin_evict(held)

    def _begin_evict(self, held: HeldAttempt) -> None:
        advance(held, LifecycleStep.CHECKPOINT)
        self._send_evict(held)

    def _send_evict(self, held: HeldAttempt) -> None:
        held.next_evict_s = self._state.now_s() + self._options.call_bound_s
        self._background.spawn(self._evict_on_worker(held))

    async def _evict_on_worker(self, held: HeldAttempt) -> None:
        if held.abandoned or not held.saves_checkpoint:
            await self._state.worker.stop(held.task_id, held.attempt)
        else:
            await self._state.worker.checkpoint(held.task_id, held.attempt)

    async def _throttle_on_worker(self, held: HeldAttempt, share: float) -> None:
        await self._state.worker.throttle(held.task_id, held.attempt, share)

    # Renewals.

    def _on_renew_reply(self, body: RenewReply) -> None:
        sent_s = self._renewer.sent_s(body.renewal_id)
        if sent_s is None or self._state.is_stale(body.shard_id, body.epoch):
            return
        for ref in body.assigned:
            held = self._held_attempts.get((ref.task_id, ref.attempt))
            if held is not None and body.renewal_id >= held.first_renewal_id:
                self._extend(held, sent_s + self._options.horizon_s)
        for ref in body.unassigned:
            held = self._held_attempts.get((ref.task_id, ref.attempt))
            if held is not None and body.renewal_id >= held.first_renewal_id:
                self._abandon(held)

    def _extend(self, held: HeldAttempt, until_s: float) -> None:
        held.lease_until_s = max(held.lease_until_s, until_s)
        if held.phase is not AttemptPhase.CONFIRMING:
            return
        if held.refusal:
            self._refuse(held, held.refusal)
        elif self._has_time_to_start(held):
            self._begin_start(held)

    # Ticks.

    async def _run(self) -> None:
        await self._reconciler.wait_for_worker()
        await self._reconciler.rebuild()
        self._background.spawn(self._run_ticks())
        self._background.spawn(self._renewer.renew_worker_leases())
        await self._reconciler.poll()

    async def _run_ticks(self) -> None:
        while True:
            self._reconciler.check_for_pause()
            now_s = self._state.now_s()
            self._reconciler.last_tick_s = now_s
            for held in self._held_attempts.all():
                self._tick(held, now_s)
            self._renewer.send_due_renewals(now_s)
            await asyncio.sleep(self._options.poll_interval_s)

    def _tick(self, held: HeldAttempt, now_s: float) -> None:
        match held.phase:
            case AttemptPhase.RESERVED | AttemptPhase.CONFIRMING:
                if now_s >= held.expires_s:
                    self._state.drop(held)
            case AttemptPhase.RUNNING if 0.0 < held.lease_until_s <= now_s:
                self._state.counters.n_expired += 1
                self._begin_evict(held)
            case AttemptPhase.CHECKPOINTING if now_s >= held.next_evict_s:
                self._send_evict(held)
            case AttemptPhase.FINISHING if now_s >= held.next_report_s:
                self._reporter.send(held)


def _may_evict(held: HeldAttempt, checkpoint: bool) -> bool:
    if held.idempotent:
        return True
    return checkpoint and held.checkpointable


def _start_request(body: StartTask, not_after_s: float | None) -> StartAttempt:
    return StartAttempt(
        task_id=body.task_id,
        attempt=body.attempt,
        task_class=body.task_class,
        shape=body.shape,
        payload=body.payload,
        checkpoint=body.checkpoint,
        shard_id=body.shard_id,
        epoch=body.epoch,
        idempotent=body.idempotent,
        not_after_s=not_after_s,
    )
