"""Reservations of capacity on the worker, and preemption for urgent work."""

from collections.abc import Callable

from almondspan_decisions.preemption import PreemptionCandidate, choose_victims
from almondspan_decisions.shapes import Shape
from almondspan_tasks.attempt_agent_state import AttemptAgentState
from almondspan_tasks.attempt_lifecycle import AttemptPhase, LifecycleStep, advance
from almondspan_tasks.held_attempts import HeldAttempt
from almondspan_wire.task_messages import ReserveCapacity, ReserveReply

__all__ = ["ReservationHandler"]


class ReservationHandler:
    """Answers owners' requests to reserve capacity for an attempt."""

    def __init__(
        self, state: AttemptAgentState, evict: Callable[[HeldAttempt], None]
    ) -> None:
        self._state = state
        self._evict = evict

    def on_reserve(self, sender: str, body: ReserveCapacity) -> None:
        """Reserve capacity for an attempt if it fits; a repeated request is idempotent.

        An urgent attempt may preempt others; it is granted once their capacity is free.
        """
        if self._state.is_stale(body.shard_id, body.epoch):
            return
        known = self._state.held_attempts.get((body.task_id, body.attempt))
        held = self._try(body) if known is None else known
        if isinstance(held, str):
            self._reply(sender, body, None, held)
        elif held.phase is AttemptPhase.RESERVED:
            self._reply(sender, body, held, "")
        else:
            self._reply(sender, body, None, "the agent already holds the attempt")

    def _try(self, body: ReserveCapacity) -> HeldAttempt | str:
        state = self._state
        refusal = state.refusal()
        if refusal:
            return refusal
        held = HeldAttempt(
            shard_id=body.shard_id,
            task_id=body.task_id,
            attempt=body.attempt,
            shape=body.shape,
            urgent=body.urgent,
            expires_s=state.now_s() + body.ttl_s,
            reservation=f"{state.rng.getrandbits(64):016x}",
        )
        if not state.held_attempts.fits(body.shape, body.urgent):
            if not body.urgent or not self._preempt(body.shape):
                return "not enough free capacity"
            held.awaits_preemption = True
        held.lease_until_s = state.now_s() + state.options.horizon_s
        advance(held, LifecycleStep.RESERVE)
        state.held_attempts.add(held)
        state.counters.n_reserved += 1
        return held

    def _reply(
        self, sender: str, body: ReserveCapacity, held: HeldAttempt | None, reason: str
    ) -> None:
        state = self._state
        granted = held is not None and not held.awaits_preemption
        reply = ReserveReply(
            shard_id=body.shard_id,
            task_id=body.task_id,
            attempt=body.attempt,
            granted=granted,
            worker_id=state.worker_id,
            reservation=held.reservation if held is not None and granted else "",
            worker_lease_s=state.worker_lease_s,
            preempting=held is not None and held.awaits_preemption,
            reason=reason,
            capacity=state.held_attempts.capacity,
        )
        state.outbox.send(sender, reply)
        if held is not None and held.awaits_preemption:
            state.background.spawn(self._grant_after_preemption(sender, body, held))

    def _preempt(self, shape: Shape) -> bool:
        """Evict attempts that can be checkpointed, so that `shape` will fit.

        Returns False, and evicts none, when no such set of attempts exists.
        """
        held_attempts = self._state.held_attempts
        running = {held.task_id: held for held in held_attempts.running()}
        tasks = tuple(
            PreemptionCandidate(
                task_id=held.task_id,
                attempt=held.attempt,
                shape=held.shape,
                at_risk_s=held.ran_s,
                checkpointable=held.checkpointable,
                urgent=held.urgent,
            )
            for held in running.values()
        )
        victims = choose_victims(
            shape, held_attempts.capacity - held_attempts.used(), tasks
        )
        if victims is None:
            return False
        for victim in victims:
            self._evict(running[victim.task_id])
        return True

    async def _grant_after_preemption(
        self, sender: str, body: ReserveCapacity, held: HeldAttempt
    ) -> None:
        state = self._state
        while state.held_attempts.get(held.key) is held and held.awaits_preemption:
            if state.held_attempts.is_within_capacity():
                held.awaits_preemption = False
                held.lease_until_s = state.now_s() + state.options.horizon_s
                self._reply(sender, body, held, "")
                return
            state.changed.clear()
            await state.changed.wait()
