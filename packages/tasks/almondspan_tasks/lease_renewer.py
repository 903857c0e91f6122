"""Renewals of attempts by their shards, and of the worker's leases that depend on them.

A lease counts from the send time of the renewal that was answered. The worker's lease
of an attempt is renewed only while the attempt's own lease has not expired.
"""

import asyncio

from almondspan_decisions.ids import ShardId
from almondspan_tasks.attempt_agent_state import AttemptAgentState
from almondspan_tasks.attempt_lifecycle import AttemptPhase
from almondspan_tasks.held_attempts import HeldAttempt
from almondspan_wire.task_messages import AttemptRef, RenewAttempts, shard_address

__all__ = ["LeaseRenewer"]


class LeaseRenewer:
    """Requests renewals from the shards and renews the worker's leases."""

    def __init__(self, state: AttemptAgentState) -> None:
        self._state = state
        self._last_id = 0
        self._sent_s: dict[int, float] = {}
        self._next_s = 0.0

    @property
    def next_id(self) -> int:
        """Return the number of the next renewal."""
        return self._last_id + 1

    def sent_s(self, renewal_id: int) -> float | None:
        """Return when a renewal was sent; None if that is longer ago than a horizon."""
        return self._sent_s.get(renewal_id)

    def send_renewals(self, attempts: list[HeldAttempt]) -> None:
        """Ask the shards whether these attempts are still assigned."""
        state = self._state
        by_shard: dict[ShardId, list[AttemptRef]] = {}
        for held in attempts:
            ref = AttemptRef(held.task_id, held.attempt)
            by_shard.setdefault(held.shard_id, []).append(ref)
        for shard_id, refs in by_shard.items():
            self._last_id += 1
            self._sent_s[self._last_id] = state.now_s()
            body = RenewAttempts(shard_id, self._last_id, state.worker_id, tuple(refs))
            state.outbox.send(shard_address(shard_id), body)

    def send_due_renewals(self, now_s: float) -> None:
        """Send renewals of attempts that run or wait for confirmation, when due."""
        if now_s < self._next_s:
            return
        state = self._state
        interval_s = state.options.renew_interval_s
        self._next_s = now_s + interval_s * (0.8 + 0.2 * state.rng.random())
        attempts = [
            held
            for held in state.held_attempts.all()
            if held.is_on_worker
            or held.phase in (AttemptPhase.STARTING, AttemptPhase.CONFIRMING)
        ]
        self.send_renewals(attempts)
        oldest_s = now_s - state.options.horizon_s
        outdated = [i for i, at in self._sent_s.items() if at < oldest_s]
        for renewal_id in outdated:
            del self._sent_s[renewal_id]

    async def renew_worker_leases(self) -> None:
        """Renew the worker's leases four times per lease duration, until cancelled."""
        state = self._state
        while True:
            now_s = state.now_s()
            leased = tuple(
                held.key
                for held in state.held_attempts.all()
                if held.is_on_worker
                and held.lease_until_s > now_s
                and not held.abandoned
            )
            if leased:
                await state.worker.renew(leased)
            await asyncio.sleep(state.worker_lease_s / 4)
