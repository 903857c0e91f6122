"""The agent's half of tasks: the only one that admits work to its worker.

Phases of an `AttemptKeeper`:

1. Rebuilding. It learns the worker's capacity and adopts what the worker lists.
   It admits nothing yet: a call of the agent that ran here before may still be on
   its way, so it waits for the bound of a call and lists once more.
2. Running. A reservation takes room in the books; the start that quotes it
   consumes it. A start without a live reservation is admitted only after its
   shard has confirmed the assignment, or is refused for good.
3. Each attempt runs up to its horizon: ``horizon_s`` after the *send* time of the
   last renewal that its shard answered (for a fresh start: after the reservation
   was granted). Past it, the worker's lease is not renewed and the attempt is
   checkpointed and stopped.
4. An ended attempt is kept, here and by the worker, and reported until its shard
   has committed it.
5. Draining. New work is refused at once; what can be evicted is evicted, the rest
   may finish within a limit.

The worker is told to start an attempt at most once by each keeper: after a lost
answer only the worker's list tells what became of it.
"""

import asyncio
import random
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import (
    AgentId,
    Epoch,
    ShardId,
    TaskClass,
    TaskId,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.room import RoomTask, choose_victims
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_platform.worker import (
    AttemptState,
    StartAttempt,
    StartResult,
    Worker,
    WorkerAttempt,
    WorkerInfo,
    WorkerUnavailable,
)
from almondspan_tasks.attempt_life import AttemptPhase, LifeStep, advance
from almondspan_tasks.background import Background
from almondspan_tasks.held import AttemptKey, Books, Held, RunningAttempt
from almondspan_tasks.options import KeeperOptions
from almondspan_tasks.resting import RestingRule
from almondspan_wire.codec import Message
from almondspan_wire.mail import Mailer
from almondspan_wire.task_messages import (
    AttemptRef,
    AttemptReport,
    AttemptStarted,
    RenewAttempts,
    RenewReply,
    ReportAck,
    ReserveReply,
    ReserveRoom,
    StartTask,
    StopTask,
    shard_address,
)

__all__ = ["AttemptKeeper", "KeeperCounters"]

_FRESH_POLLS: Final = 3
"""A list older than this many poll intervals is taken anew before a start."""


@dataclass(slots=True)
class KeeperCounters:
    """Counts of what the keeper did."""

    n_reserved: int = 0
    n_refused: int = 0
    n_started: int = 0
    n_adopted: int = 0
    n_evicted: int = 0
    n_expired: int = 0
    n_stale_epochs: int = 0
    n_reports: int = 0
    n_pauses: int = 0


class AttemptKeeper:
    """Admits, runs and reports the attempts on one worker."""

    def __init__(
        self,
        agent_id: AgentId,
        worker: Worker,
        mailer: Mailer,
        options: KeeperOptions,
        rng: random.Random,
    ) -> None:
        self.counters = KeeperCounters()
        self._agent_id = agent_id
        self._worker = worker
        self._mailer = mailer
        self._options = options
        self._rng = rng
        self._books = Books()
        self._books.headroom = options.headroom
        self._worker_id = WorkerId("")
        self._worker_lease_s = 0.0
        self._ready = asyncio.Event()
        self._ticked_s = 0.0
        self._draining = False
        self._resting = RestingRule(options)
        self._epochs: dict[ShardId, Epoch] = {}
        self._renewal_id = 0
        self._renewals_sent_s: dict[int, float] = {}
        self._n_list = 0
        self._listed_s = 0.0
        self._next_renew_s = 0.0
        self._shared_until_s = 0.0
        self._background = Background()
        self._changed = asyncio.Event()

    # What others may know and ask.

    async def start(self) -> None:
        """Begin to rebuild the books, then to run."""
        self._background.spawn(self._run())

    async def close(self) -> None:
        """Stop at once; attempts go on under the worker's lease."""
        await self._background.close()

    def capacity(self) -> Shape:
        """Return the worker's capacity; empty until it is known."""
        return self._books.capacity

    def free(self) -> Shape:
        """Return what would be admitted now; empty until the books are whole."""
        return self._books.free() if self.is_ready else EMPTY_SHAPE

    def n_tasks(self) -> int:
        """Return the number of attempts that take room."""
        return sum(held.takes_room for held in self._books.all())

    def classes(self) -> tuple[tuple[TaskClass, int], ...]:
        """Return the number of running attempts of each class."""
        counts: dict[TaskClass, int] = {}
        for held in self._books.all():
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
            for held in self._books.all()
            if held.phase is AttemptPhase.RUNNING
        )

    @property
    def is_resting(self) -> bool:
        """Tell whether the worker takes no work since too much failed on it."""
        return self._resting.is_resting(self._now_s())

    @property
    def is_ready(self) -> bool:
        """Tell whether the books are whole."""
        return self._ready.is_set()

    @property
    def is_draining(self) -> bool:
        """Tell whether new work is refused."""
        return self._draining

    def set_resting(self, resting: bool) -> None:
        """Rest the worker, or end its rest, by order of an operator."""
        self._resting.set_by_hand(resting)

    def set_headroom(self, headroom: Shape) -> None:
        """Keep room free that only urgent work may take."""
        self._books.headroom = headroom

    def throttle(self, task: TaskId, share: float) -> bool:
        """Limit a running task to a share of its shape; False when not running."""
        held = self._running_attempt(task)
        if held is None:
            return False
        self._background.spawn(self._throttle_on_worker(held, share))
        return True

    def evict(self, task: TaskId, checkpoint: bool) -> bool:
        """Evict a running task; False when it is not running or must not stop.

        A task that is not idempotent is evicted only with a checkpoint.
        """
        held = self._running_attempt(task)
        if held is None or not _may_evict(held, checkpoint):
            return False
        self.counters.n_evicted += 1
        self._begin_evict(held)
        return True

    async def drain(self) -> None:
        """Refuse new work at once; return when nothing runs or time is up."""
        self._draining = True
        limit_s = self._now_s() + self._options.drain_timeout_s
        for held in self._books.all():
            if held.phase is AttemptPhase.RUNNING and _may_evict(held, True):
                self._begin_evict(held)
        try:
            async with asyncio.timeout_at(limit_s):
                await self._wait_until_empty()
        except TimeoutError:
            return

    def resume(self) -> None:
        """Take new work again after a drain."""
        self._draining = False

    async def _wait_until_empty(self) -> None:
        while len(self._books):
            self._changed.clear()
            await self._changed.wait()

    def on_mail(self, sender: str, body: Message) -> None:
        """Handle mail from the owners of shards."""
        self._note_pause()
        match body:
            case ReserveRoom():
                self._on_reserve(sender, body)
            case StartTask():
                self._on_start(sender, body)
            case StopTask():
                self._on_stop(body)
            case RenewReply():
                self._on_renew_reply(body)
            case ReportAck():
                self._on_ack(body)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _running_attempt(self, task: TaskId) -> Held | None:
        for held in self._books.all():
            if held.task_id == task and held.phase is AttemptPhase.RUNNING:
                return held
        return None

    def _is_stale(self, shard_id: ShardId, epoch: Epoch) -> bool:
        """Tell whether a later owner of the shard was seen; else note this one."""
        if epoch < self._epochs.get(shard_id, Epoch(0)):
            self.counters.n_stale_epochs += 1
            return True
        self._epochs[shard_id] = epoch
        return False

    # Reservations.

    def _on_reserve(self, sender: str, body: ReserveRoom) -> None:
        if self._is_stale(body.shard_id, body.epoch):
            return
        known = self._books.get((body.task_id, body.attempt))
        held = self._try_reserve(body) if known is None else known
        if isinstance(held, str):
            self._reply_reserve(sender, body, None, held)
        elif held.phase is AttemptPhase.RESERVED:
            self._reply_reserve(sender, body, held, "")
        else:
            self._reply_reserve(sender, body, None, "the attempt is known here")

    def _try_reserve(self, body: ReserveRoom) -> Held | str:
        refusal = self._refusal()
        if refusal:
            return refusal
        held = Held(
            shard_id=body.shard_id,
            task_id=body.task_id,
            attempt=body.attempt,
            shape=body.shape,
            urgent=body.urgent,
            expires_s=self._now_s() + body.ttl_s,
            reservation=f"{self._rng.getrandbits(64):016x}",
        )
        if not self._books.fits(body.shape, body.urgent):
            if not body.urgent or not self._make_room(body.shape):
                return "no room"
            held.makes_room = True
        held.lease_until_s = self._now_s() + self._options.horizon_s
        advance(held, LifeStep.RESERVE)
        self._books.add(held)
        self.counters.n_reserved += 1
        return held

    def _refusal(self) -> str:
        if not self.is_ready:
            return "the books are not rebuilt"
        if self._draining:
            return "draining"
        if self._now_s() < self._shared_until_s:
            return "another agent admits work to this worker"
        if self.is_resting:
            return "resting"
        if self._resting.is_probing and self.n_tasks() > 0:
            return "probing with one task"
        return ""

    def _reply_reserve(
        self, sender: str, body: ReserveRoom, held: Held | None, reason: str
    ) -> None:
        granted = held is not None and not held.makes_room
        reply = ReserveReply(
            shard_id=body.shard_id,
            task_id=body.task_id,
            attempt=body.attempt,
            granted=granted,
            worker_id=self._worker_id,
            reservation=held.reservation if held is not None and granted else "",
            worker_lease_s=self._worker_lease_s,
            making_room=held is not None and held.makes_room,
            reason=reason,
            capacity=self._books.capacity,
        )
        self._mailer.send(sender, reply)
        if held is not None and held.makes_room:
            self._background.spawn(self._grant_when_room(sender, body, held))

    def _make_room(self, shape: Shape) -> bool:
        """Evict batch that can be checkpointed until `shape` will fit."""
        running = tuple(
            RoomTask(
                task_id=one.task_id,
                attempt=one.attempt,
                shape=one.shape,
                at_risk_s=one.attained_s,
                checkpointable=one.checkpointable,
                urgent=one.urgent,
            )
            for one in self.running()
        )
        free = self._books.capacity - self._books.used()
        victims = choose_victims(shape, free, running)
        if victims is None:
            return False
        for victim in victims:
            self.evict(victim.task_id, checkpoint=True)
        return True

    async def _grant_when_room(
        self, sender: str, body: ReserveRoom, held: Held
    ) -> None:
        while self._books.get(held.key) is held and held.makes_room:
            if self._books.is_within_capacity():
                held.makes_room = False
                held.lease_until_s = self._now_s() + self._options.horizon_s
                self._reply_reserve(sender, body, held, "")
                return
            self._changed.clear()
            await self._changed.wait()

    # Starts.

    def _on_start(self, sender: str, body: StartTask) -> None:
        if self._is_stale(body.shard_id, body.epoch):
            return
        held = self._books.get((body.task_id, body.attempt))
        if held is None:
            self._start_without_reservation(body)
        elif held.phase is AttemptPhase.RESERVED:
            self._start_reserved(held, body)
        elif held.is_on_worker:
            self._tell_started(held)
        elif held.phase is AttemptPhase.FINISHING:
            self._send_report(held)

    def _start_reserved(self, held: Held, body: StartTask) -> None:
        if body.agent_id != self._agent_id:
            return
        self._describe(held, body)
        is_live = held.reservation == body.reservation and not held.makes_room
        if is_live and self._has_time(held):
            self._begin_start(held)
        else:
            # A repeated reservation or a repeated start: the shard must confirm.
            self._ask_first(held)

    def _start_without_reservation(self, body: StartTask) -> None:
        if body.agent_id != self._agent_id or not self.is_ready:
            # Only the agent of the assignment may start or refuse it; after a
            # restart the shard waits for the horizon instead.
            return
        held = Held(body.shard_id, body.task_id, body.attempt, body.shape)
        self._describe(held, body)
        held.refusal = self._refusal()
        if not held.refusal and not self._books.fits(body.shape, body.urgent):
            held.refusal = "no room"
        self._books.add(held)
        # This may be a late copy for an attempt that ran and was acknowledged, so
        # even a refusal waits until the shard has confirmed the assignment.
        self._ask_first(held)

    def _describe(self, held: Held, body: StartTask) -> None:
        held.start = body
        held.task_class = body.task_class
        held.idempotent = body.idempotent
        held.checkpointable = body.checkpointable
        held.urgent = body.urgent

    def _ask_first(self, held: Held) -> None:
        advance(held, LifeStep.ASK)
        held.lease_until_s = 0.0
        held.first_renewal_id = self._renewal_id + 1
        held.expires_s = self._now_s() + self._options.horizon_s / 2
        self._send_renewals([held])

    def _has_time(self, held: Held) -> bool:
        return held.lease_until_s - self._now_s() > self._options.call_bound_s

    def _refuse(self, held: Held, reason: str) -> None:
        """Promise never to start an attempt for which no start was called."""
        advance(held, LifeStep.REFUSE)
        self.counters.n_refused += 1
        self._keep_report(held, Outcome(OutcomeKind.NOT_RUN, reason))

    def _begin_start(self, held: Held) -> None:
        advance(held, LifeStep.START)
        self._background.spawn(self._start_on_worker(held))

    async def _start_on_worker(self, held: Held) -> None:
        self._note_pause()
        await self._ready.wait()
        await self._refresh_list()
        if held.phase is not AttemptPhase.STARTING:
            return
        refusal = self._late_refusal(held)
        if refusal:
            self._refuse(held, refusal)
            return
        assert held.start is not None
        request = _start_request(held.start)
        answer = await self._worker.start_attempt(request)
        if held.phase is not AttemptPhase.STARTING:
            return
        if isinstance(answer, WorkerUnavailable) and answer.may_have_applied:
            held.doubt_until_s = self._now_s() + self._options.call_bound_s
        elif isinstance(answer, WorkerUnavailable):
            self._refuse(held, answer.reason)
        elif answer is StartResult.REFUSED:
            self._refuse(held, "the worker refused it")
        else:
            self._note_running(held)

    def _late_refusal(self, held: Held) -> str:
        if self._draining:
            return "draining"
        if held.abandoned:
            return "its shard no longer wants it"
        if not self._is_list_fresh():
            return "the worker does not answer"
        if not self._has_time(held):
            return "too little of its lease is left"
        if self._now_s() < self._shared_until_s:
            return "another agent admits work to this worker"
        if not self._books.is_within_capacity():
            return "no room"
        return ""

    def _note_running(self, held: Held) -> None:
        advance(held, LifeStep.STARTED)
        held.doubt_until_s = 0.0
        held.n_list = self._n_list
        self.counters.n_started += 1
        if held.abandoned:
            self._begin_evict(held)
        else:
            self._tell_started(held)

    def _tell_started(self, held: Held) -> None:
        body = AttemptStarted(held.shard_id, held.task_id, held.attempt)
        self._mailer.send(shard_address(held.shard_id), body)

    # Stops and evictions.

    def _on_stop(self, body: StopTask) -> None:
        held = self._books.get((body.task_id, body.attempt))
        if held is not None and not self._is_stale(body.shard_id, body.epoch):
            self._abandon(held)

    def _abandon(self, held: Held) -> None:
        """Give up an attempt that its shard has committed as over."""
        if held.phase in (AttemptPhase.RESERVED, AttemptPhase.CONFIRMING):
            self._drop(held)
        elif held.phase is AttemptPhase.FINISHING:
            self._forget(held)
        elif not held.abandoned:
            held.abandoned = True
            if held.phase is AttemptPhase.RUNNING:
                self._begin_evict(held)

    def _begin_evict(self, held: Held) -> None:
        advance(held, LifeStep.CHECKPOINT)
        self._evict_again(held)

    def _evict_again(self, held: Held) -> None:
        held.next_evict_s = self._now_s() + self._options.call_bound_s
        self._background.spawn(self._evict_on_worker(held))

    async def _evict_on_worker(self, held: Held) -> None:
        if held.abandoned:
            await self._worker.stop(held.task_id, held.attempt)
        else:
            await self._worker.checkpoint(held.task_id, held.attempt)

    async def _throttle_on_worker(self, held: Held, share: float) -> None:
        await self._worker.throttle(held.task_id, held.attempt, share)

    # Renewals.

    def _send_renewals(self, attempts: list[Held]) -> None:
        by_shard: dict[ShardId, list[AttemptRef]] = {}
        for held in attempts:
            ref = AttemptRef(held.task_id, held.attempt)
            by_shard.setdefault(held.shard_id, []).append(ref)
        for shard_id, refs in by_shard.items():
            self._renewal_id += 1
            self._renewals_sent_s[self._renewal_id] = self._now_s()
            body = RenewAttempts(
                shard_id, self._renewal_id, self._worker_id, tuple(refs)
            )
            self._mailer.send(shard_address(shard_id), body)

    def _on_renew_reply(self, body: RenewReply) -> None:
        sent_s = self._renewals_sent_s.get(body.renewal_id)
        if sent_s is None or self._is_stale(body.shard_id, body.epoch):
            return
        for ref in body.assigned:
            held = self._books.get((ref.task_id, ref.attempt))
            if held is not None and body.renewal_id >= held.first_renewal_id:
                self._extend(held, sent_s + self._options.horizon_s)
        for ref in body.unassigned:
            held = self._books.get((ref.task_id, ref.attempt))
            if held is not None and body.renewal_id >= held.first_renewal_id:
                self._abandon(held)

    def _extend(self, held: Held, until_s: float) -> None:
        held.lease_until_s = max(held.lease_until_s, until_s)
        if held.phase is not AttemptPhase.CONFIRMING:
            return
        if held.refusal:
            self._refuse(held, held.refusal)
        elif self._has_time(held):
            self._begin_start(held)

    # Reports.

    def _keep_report(
        self,
        held: Held,
        outcome: Outcome,
        evicted: bool = False,
        checkpoint: bytes = b"",
    ) -> None:
        held.report = AttemptReport(
            shard_id=held.shard_id,
            task_id=held.task_id,
            attempt=held.attempt,
            worker_id=self._worker_id,
            outcome=outcome,
            evicted=evicted,
            checkpoint=checkpoint,
            ran_s=held.ran_s,
        )
        self._changed.set()
        self._send_report(held)

    def _send_report(self, held: Held) -> None:
        assert held.report is not None
        held.next_report_s = self._now_s() + self._options.report_interval_s
        self.counters.n_reports += 1
        self._mailer.send(shard_address(held.shard_id), held.report)

    def _on_ack(self, body: ReportAck) -> None:
        held = self._books.get((body.task_id, body.attempt))
        if held is None or held.phase is not AttemptPhase.FINISHING:
            return
        if not self._is_stale(body.shard_id, body.epoch):
            self._forget(held)

    def _forget(self, held: Held) -> None:
        self._drop(held)
        self._background.spawn(self._forget_on_worker(held.key))

    async def _forget_on_worker(self, key: AttemptKey) -> None:
        await self._worker.forget((key,))

    def _drop(self, held: Held) -> None:
        advance(held, LifeStep.CLOSE)
        self._books.drop(held)
        self._changed.set()

    # The worker's list.

    async def _run(self) -> None:
        await self._learn_worker()
        await self._settle()
        self._background.spawn(self._run_ticks())
        self._background.spawn(self._run_worker_leases())
        while True:
            await asyncio.sleep(self._options.poll_interval_s)
            if len(self._books) or not self._is_list_fresh():
                await self._list()

    async def _settle(self) -> None:
        """Make the books whole, whatever another agent may have sent before."""
        await self._list_until_answered()
        await asyncio.sleep(self._options.call_bound_s)
        await self._list_until_answered()
        self._ticked_s = self._now_s()
        self._ready.set()

    def _note_pause(self) -> None:
        """Settle again after a pause, in which another agent may have been here."""
        gap_s = self._now_s() - self._ticked_s
        limit_s = self._options.poll_interval_s + self._options.call_bound_s / 2
        if self.is_ready and gap_s > limit_s:
            self.counters.n_pauses += 1
            self._ready.clear()
            self._background.spawn(self._settle())

    async def _learn_worker(self) -> None:
        while True:
            info = await self._worker.info()
            if isinstance(info, WorkerInfo):
                self._worker_id = info.worker_id
                self._worker_lease_s = info.lease_s
                self._books.capacity = info.capacity
                return
            await asyncio.sleep(self._options.retry_s)

    async def _list_until_answered(self) -> None:
        while True:
            if await self._list():
                return
            await asyncio.sleep(self._options.retry_s)

    async def _list(self) -> bool:
        self._n_list += 1
        n_list = self._n_list
        begun_s = self._now_s()
        answer = await self._worker.list_attempts()
        if isinstance(answer, WorkerUnavailable):
            return False
        self._listed_s = max(self._listed_s, begun_s)
        listed = {(found.task_id, found.attempt): found for found in answer}
        for found in answer:
            self._compare(found, n_list)
        for held in self._books.all():
            if held.key not in listed:
                self._note_absent(held, n_list, begun_s)
        return True

    def _is_list_fresh(self) -> bool:
        age_s = self._now_s() - self._listed_s
        return age_s <= _FRESH_POLLS * self._options.poll_interval_s

    async def _refresh_list(self) -> None:
        if not self._is_list_fresh():
            await self._list()

    def _compare(self, found: WorkerAttempt, n_list: int) -> None:
        held = self._books.get((found.task_id, found.attempt))
        if held is None:
            held = self._adopt(found)
        held.ran_s = found.ran_s
        if held.phase is AttemptPhase.FINISHING:
            return
        if found.state is AttemptState.ENDED:
            self._note_ended(held, found)
        elif not held.is_on_worker:
            self._note_running(held)
        else:
            held.n_list = max(held.n_list, n_list)

    def _adopt(self, found: WorkerAttempt) -> Held:
        """Hold an attempt that an earlier agent of this worker started.

        It has no lease yet: the worker's lease is not renewed before its shard
        has answered.
        """
        held = Held(
            shard_id=found.shard_id,
            task_id=found.task_id,
            attempt=found.attempt,
            shape=found.shape,
            task_class=found.task_class,
            idempotent=found.idempotent,
            checkpointable=found.idempotent,
            first_renewal_id=self._renewal_id + 1,
        )
        self._books.add(held)
        self.counters.n_adopted += 1
        if found.state is not AttemptState.ENDED:
            self._send_renewals([held])
            if self.is_ready:
                # Nothing that was on its way before can arrive any more, so another
                # agent of this worker is at work; two must not both admit.
                self._shared_until_s = self._now_s() + self._options.horizon_s
        return held

    def _note_ended(self, held: Held, found: WorkerAttempt) -> None:
        assert found.outcome is not None or found.evicted
        advance(held, LifeStep.FINISH)
        if held.abandoned:
            self._forget(held)
            return
        outcome = found.outcome
        if outcome is None:
            outcome = Outcome(OutcomeKind.UNKNOWN, "evicted", b"", True)
        if not found.evicted:
            self._resting.note(self._now_s(), held.task_id, outcome.kind)
        self._keep_report(held, outcome, found.evicted, found.checkpoint)

    def _note_absent(self, held: Held, n_list: int, begun_s: float) -> None:
        """Report an attempt that the worker should list and does not."""
        if held.is_on_worker:
            is_lost = held.n_list < n_list
        else:
            is_in_doubt = held.phase is AttemptPhase.STARTING and held.doubt_until_s
            is_lost = bool(is_in_doubt) and begun_s >= held.doubt_until_s
        if not is_lost:
            return
        advance(held, LifeStep.FINISH)
        if held.abandoned:
            self._drop(held)
            return
        reason = "the worker does not list it any more"
        self._keep_report(held, Outcome(OutcomeKind.UNKNOWN, reason, b"", True))

    # Time.

    async def _run_worker_leases(self) -> None:
        while True:
            now_s = self._now_s()
            leased = tuple(
                held.key
                for held in self._books.all()
                if held.is_on_worker
                and held.lease_until_s > now_s
                and not held.abandoned
            )
            if leased:
                await self._worker.renew(leased)
            await asyncio.sleep(self._worker_lease_s / 4)

    async def _run_ticks(self) -> None:
        while True:
            self._note_pause()
            now_s = self._now_s()
            self._ticked_s = now_s
            for held in self._books.all():
                self._tick(held, now_s)
            if now_s >= self._next_renew_s:
                self._renew_all(now_s)
            await asyncio.sleep(self._options.poll_interval_s)

    def _renew_all(self, now_s: float) -> None:
        interval_s = self._options.renew_interval_s
        self._next_renew_s = now_s + interval_s * (0.8 + 0.2 * self._rng.random())
        attempts = [
            held
            for held in self._books.all()
            if held.is_on_worker
            or held.phase in (AttemptPhase.STARTING, AttemptPhase.CONFIRMING)
        ]
        self._send_renewals(attempts)
        oldest_s = now_s - self._options.horizon_s
        outdated = [i for i, at in self._renewals_sent_s.items() if at < oldest_s]
        for renewal_id in outdated:
            del self._renewals_sent_s[renewal_id]

    def _tick(self, held: Held, now_s: float) -> None:
        match held.phase:
            case AttemptPhase.RESERVED | AttemptPhase.CONFIRMING:
                if now_s >= held.expires_s:
                    self._drop(held)
            case AttemptPhase.RUNNING if 0.0 < held.lease_until_s <= now_s:
                self.counters.n_expired += 1
                self._begin_evict(held)
            case AttemptPhase.CHECKPOINTING if now_s >= held.next_evict_s:
                self._evict_again(held)
            case AttemptPhase.FINISHING if now_s >= held.next_report_s:
                self._send_report(held)


def _may_evict(held: Held, checkpoint: bool) -> bool:
    if held.idempotent:
        return True
    return checkpoint and held.checkpointable


def _start_request(body: StartTask) -> StartAttempt:
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
    )
