"""Reconciles the agent's held attempts with the worker's list.

The list is authoritative about what runs. Attempts that an earlier agent started are
adopted, ended ones are reported, and one that the worker no longer lists is reported
as unknown. After a start and after a pause, the held attempts count as rebuilt only
once a list was read, the time limit of a call has passed, and a second list was read.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_platform.worker import (
    AttemptState,
    WorkerAttempt,
    WorkerInfo,
    WorkerUnavailable,
)
from almondspan_tasks.attempt_agent_state import AttemptAgentState
from almondspan_tasks.attempt_lifecycle import AttemptPhase, LifecycleStep, advance
from almondspan_tasks.attempt_reporter import AttemptReporter
from almondspan_tasks.held_attempts import HeldAttempt
from almondspan_tasks.lease_renewer import LeaseRenewer

__all__ = ["WorkerReconciler"]

_MAX_CONCURRENT_LISTS: Final = 16
"""Upper bound of the list calls that may be in flight at a time."""

_SHORT_RUN_S: Final = 5.0
"""While an attempt has run for less than this, in seconds, every poll lists."""

_FRESH_POLLS: Final = 3
"""A list older than this many poll intervals is read again before a start."""


class WorkerReconciler:
    """Keeps the held attempts consistent with the worker's list."""

    def __init__(
        self,
        state: AttemptAgentState,
        reporter: AttemptReporter,
        renewer: LeaseRenewer,
        on_running: Callable[[HeldAttempt], None],
    ) -> None:
        self._state = state
        self._reporter = reporter
        self._renewer = renewer
        self._on_running = on_running
        self._listed_s = 0.0
        self.last_tick_s = 0.0

    async def wait_for_worker(self) -> None:
        """Read the worker's capacity, repeatedly until it answers."""
        while True:
            if await self._read_info():
                return
            await asyncio.sleep(self._state.options.retry_s)

    async def _read_info(self) -> bool:
        state = self._state
        info = await state.worker.info()
        if not isinstance(info, WorkerInfo):
            return False
        state.worker_id = info.worker_id
        state.worker_lease_s = info.lease_s
        state.worker_clock.update(info.clock_s, state.now_s())
        state.held_attempts.capacity = info.capacity
        return True

    async def rebuild(self) -> None:
        """Rebuild the held attempts, whatever calls another agent has in flight."""
        await self._list_until_answered()
        await asyncio.sleep(self._state.options.call_bound_s)
        await self._list_until_answered()
        self.last_tick_s = self._state.now_s()
        self._state.ready.set()

    def check_for_pause(self) -> None:
        """Rebuild after a pause of this process: another agent may have taken over."""
        options = self._state.options
        gap_s = self._state.now_s() - self.last_tick_s
        limit_s = options.poll_interval_s + options.call_bound_s / 2
        if self._state.ready.is_set() and gap_s > limit_s:
            self._state.counters.n_pauses += 1
            self._state.ready.clear()
            self._state.background.spawn(self.rebuild())

    async def poll(self) -> None:
        """Read the list until cancelled, more often while short attempts may end."""
        while True:
            await asyncio.sleep(self._state.options.poll_interval_s)
            if self._has_short_attempt() or not self.is_fresh():
                await self._fetch_list()
            if self._state.worker_clock.is_due(self._state.now_s()):
                await self._read_info()

    def _has_short_attempt(self) -> bool:
        """Return whether an attempt has started recently and so may end soon.

        The capacity of short attempts becomes free quickly this way. Long attempts
        are listed only when the last list is no longer fresh, which costs the worker
        and this process less.
        """
        return any(
            held.ran_s < _SHORT_RUN_S for held in self._state.held_attempts.all()
        )

    def is_fresh(self) -> bool:
        """Return whether the last list is recent enough for a start."""
        age_s = self._state.now_s() - self._listed_s
        return age_s <= _FRESH_POLLS * self._state.options.poll_interval_s

    async def refresh(self) -> None:
        """Read the list unless the last one is fresh."""
        if not self.is_fresh():
            await self._fetch_list()

    async def _list_until_answered(self) -> None:
        while True:
            if await self._fetch_list():
                return
            await asyncio.sleep(self._state.options.retry_s)

    async def _fetch_list(self) -> bool:
        self._state.list_number += 1
        list_number = self._state.list_number
        begun_s = self._state.now_s()
        answer = await self._state.worker.list_attempts()
        if isinstance(answer, WorkerUnavailable):
            return False
        self._listed_s = max(self._listed_s, begun_s)
        listed = {(found.task_id, found.attempt) for found in answer}
        for found in answer:
            self._reconcile(found, list_number)
        for held in self._state.held_attempts.all():
            if held.key not in listed:
                self._on_absent(held, list_number, begun_s)
        self._forget_dropped(list_number)
        return True

    def _forget_dropped(self, list_number: int) -> None:
        """Forget dropped attempts that no list call in flight can still show."""
        dropped = self._state.dropped
        outdated = [
            key
            for key, last in dropped.items()
            if last < list_number - _MAX_CONCURRENT_LISTS
        ]
        for key in outdated:
            del dropped[key]

    def _reconcile(self, found: WorkerAttempt, list_number: int) -> None:
        held = self._state.held_attempts.get((found.task_id, found.attempt))
        if held is None:
            if list_number <= self._state.dropped.get(
                (found.task_id, found.attempt), 0
            ):
                return
            held = self._adopt(found)
        held.ran_s = found.ran_s
        if held.phase is AttemptPhase.FINISHING:
            return
        if found.state is AttemptState.ENDED:
            self._on_ended(held, found)
        elif not held.is_on_worker:
            self._on_running(held)
        else:
            held.list_number = max(held.list_number, list_number)

    def _adopt(self, found: WorkerAttempt) -> HeldAttempt:
        """Hold an attempt that an earlier agent of this worker started.

        It has no lease yet: the worker's lease is not renewed until its shard has
        answered.
        """
        state = self._state
        held = HeldAttempt(
            shard_id=found.shard_id,
            task_id=found.task_id,
            attempt=found.attempt,
            shape=found.shape,
            task_class=found.task_class,
            idempotent=found.idempotent,
            checkpointable=found.idempotent,
            first_renewal_id=self._renewer.next_id,
        )
        state.held_attempts.add(held)
        state.counters.n_adopted += 1
        if found.state is not AttemptState.ENDED:
            self._renewer.send_renewals([held])
            if state.ready.is_set():
                # No call in flight before the rebuild can arrive any more, so another
                # agent of this worker is at work; only one of them may admit.
                state.shared_until_s = state.now_s() + state.options.horizon_s
        return held

    def _on_ended(self, held: HeldAttempt, found: WorkerAttempt) -> None:
        advance(held, LifecycleStep.FINISH)
        if held.abandoned:
            self._reporter.forget(held)
            return
        outcome = found.outcome
        if outcome is None:
            reason = "evicted" if found.evicted else "the worker lists no outcome"
            outcome = Outcome(OutcomeKind.UNKNOWN, reason, b"", True)
        if not found.evicted:
            now_s = self._state.now_s()
            self._state.resting.record_outcome(now_s, held.task_id, outcome.kind)
        self._reporter.add(held, outcome, found.evicted, found.checkpoint)

    def _on_absent(self, held: HeldAttempt, list_number: int, begun_s: float) -> None:
        """Report an attempt that is missing from the worker's list as unknown."""
        if held.is_on_worker:
            is_lost = held.list_number < list_number
        else:
            is_start_unknown = (
                held.phase is AttemptPhase.STARTING and held.start_unknown_until_s
            )
            is_lost = bool(is_start_unknown) and begun_s >= held.start_unknown_until_s
        if not is_lost:
            return
        advance(held, LifecycleStep.FINISH)
        if held.abandoned:
            self._state.drop(held)
            return
        reason = "the worker no longer lists the attempt"
        self._reporter.add(held, Outcome(OutcomeKind.UNKNOWN, reason, b"", True))
