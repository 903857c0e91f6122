"""The books, compared with what the worker lists.

The list is the truth about what runs. Attempts that an earlier agent started are
adopted, ended ones are reported, and one that the worker no longer lists is
reported as unknown. After a start and after a pause the books are whole only once
a list was taken, the bound of a call has passed, and a second list was taken.
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
from almondspan_tasks.attempt_life import AttemptPhase, LifeStep, advance
from almondspan_tasks.held import Held
from almondspan_tasks.keeper_state import KeeperState
from almondspan_tasks.renewals import Renewals
from almondspan_tasks.reports import Reports

__all__ = ["WorkerList"]

_MAX_LISTS: Final = 16
"""More list calls than this are never under way together."""

_YOUNG_S: Final = 5.0
"""An attempt that has run for less, in seconds, is listed at every poll."""

_FRESH_POLLS: Final = 3
"""A list older than this many poll intervals is taken anew before a start."""


class WorkerList:
    """Keeps the books in step with the worker's list."""

    def __init__(
        self,
        state: KeeperState,
        reports: Reports,
        renewals: Renewals,
        on_running: Callable[[Held], None],
    ) -> None:
        self._state = state
        self._reports = reports
        self._renewals = renewals
        self._on_running = on_running
        self._listed_s = 0.0
        self.ticked_s = 0.0

    async def learn_worker(self) -> None:
        """Ask for the worker's capacity until it answers."""
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
        state.worker_clock.note(info.clock_s, state.now_s())
        state.books.capacity = info.capacity
        return True

    async def settle(self) -> None:
        """Make the books whole, whatever another agent may have sent before."""
        await self._list_until_answered()
        await asyncio.sleep(self._state.options.call_bound_s)
        await self._list_until_answered()
        self.ticked_s = self._state.now_s()
        self._state.ready.set()

    def note_pause(self) -> None:
        """Settle again after a pause, in which another agent may have been here."""
        options = self._state.options
        gap_s = self._state.now_s() - self.ticked_s
        limit_s = options.poll_interval_s + options.call_bound_s / 2
        if self._state.ready.is_set() and gap_s > limit_s:
            self._state.counters.n_pauses += 1
            self._state.ready.clear()
            self._state.background.spawn(self.settle())

    async def poll(self) -> None:
        """Take the list for ever, more often while short work may end."""
        while True:
            await asyncio.sleep(self._state.options.poll_interval_s)
            if self._holds_young() or not self.is_fresh():
                await self._list()
            if self._state.worker_clock.is_due(self._state.now_s()):
                await self._read_info()

    def _holds_young(self) -> bool:
        """Tell whether an attempt may end soon after its start.

        The room of short work is told at once; long work is listed when the last
        list is no longer fresh, which costs the worker and this process less.
        """
        return any(held.ran_s < _YOUNG_S for held in self._state.books.all())

    def is_fresh(self) -> bool:
        """Tell whether the last list is young enough for a start."""
        age_s = self._state.now_s() - self._listed_s
        return age_s <= _FRESH_POLLS * self._state.options.poll_interval_s

    async def refresh(self) -> None:
        """Take the list unless the last one is fresh."""
        if not self.is_fresh():
            await self._list()

    async def _list_until_answered(self) -> None:
        while True:
            if await self._list():
                return
            await asyncio.sleep(self._state.options.retry_s)

    async def _list(self) -> bool:
        self._state.n_list += 1
        n_list = self._state.n_list
        begun_s = self._state.now_s()
        answer = await self._state.worker.list_attempts()
        if isinstance(answer, WorkerUnavailable):
            return False
        self._listed_s = max(self._listed_s, begun_s)
        listed = {(found.task_id, found.attempt) for found in answer}
        for found in answer:
            self._compare(found, n_list)
        for held in self._state.books.all():
            if held.key not in listed:
                self._note_absent(held, n_list, begun_s)
        self._forget_dropped(n_list)
        return True

    def _forget_dropped(self, n_list: int) -> None:
        """Forget what only lists before this one may still show."""
        dropped = self._state.dropped
        outdated = [key for key, last in dropped.items() if last < n_list - _MAX_LISTS]
        for key in outdated:
            del dropped[key]

    def _compare(self, found: WorkerAttempt, n_list: int) -> None:
        held = self._state.books.get((found.task_id, found.attempt))
        if held is None:
            if n_list <= self._state.dropped.get((found.task_id, found.attempt), 0):
                return
            held = self._adopt(found)
        held.ran_s = found.ran_s
        if held.phase is AttemptPhase.FINISHING:
            return
        if found.state is AttemptState.ENDED:
            self._note_ended(held, found)
        elif not held.is_on_worker:
            self._on_running(held)
        else:
            held.n_list = max(held.n_list, n_list)

    def _adopt(self, found: WorkerAttempt) -> Held:
        """Hold an attempt that an earlier agent of this worker started.

        It has no lease yet: the worker's lease is not renewed before its shard
        has answered.
        """
        state = self._state
        held = Held(
            shard_id=found.shard_id,
            task_id=found.task_id,
            attempt=found.attempt,
            shape=found.shape,
            task_class=found.task_class,
            idempotent=found.idempotent,
            checkpointable=found.idempotent,
            first_renewal_id=self._renewals.next_id,
        )
        state.books.add(held)
        state.counters.n_adopted += 1
        if found.state is not AttemptState.ENDED:
            self._renewals.ask([held])
            if state.ready.is_set():
                # Nothing that was on its way before can arrive any more, so another
                # agent of this worker is at work; two must not both admit.
                state.shared_until_s = state.now_s() + state.options.horizon_s
        return held

    def _note_ended(self, held: Held, found: WorkerAttempt) -> None:
        assert found.outcome is not None or found.evicted
        advance(held, LifeStep.FINISH)
        if held.abandoned:
            self._reports.forget(held)
            return
        outcome = found.outcome
        if outcome is None:
            outcome = Outcome(OutcomeKind.UNKNOWN, "evicted", b"", True)
        if not found.evicted:
            now_s = self._state.now_s()
            self._state.resting.note(now_s, held.task_id, outcome.kind)
        self._reports.keep(held, outcome, found.evicted, found.checkpoint)

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
            self._state.drop(held)
            return
        reason = "the worker does not list it any more"
        self._reports.keep(held, Outcome(OutcomeKind.UNKNOWN, reason, b"", True))
