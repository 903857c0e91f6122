"""Reports of ended attempts, each repeated until its shard has committed the end."""

from typing import Final

from almondspan_decisions.outcomes import Outcome
from almondspan_tasks.attempt_agent_state import AttemptAgentState
from almondspan_tasks.attempt_lifecycle import AttemptPhase
from almondspan_tasks.held_attempts import AttemptKey, HeldAttempt
from almondspan_wire.task_messages import AttemptReport, ReportAck, shard_address

__all__ = ["AttemptReporter"]

_AFTER_ANY_LIST: Final = 2**62
"""Higher than the number of any list call."""


class AttemptReporter:
    """Keeps ended attempts, here and on the worker, until they are acknowledged."""

    def __init__(self, state: AttemptAgentState) -> None:
        self._state = state

    def add(
        self,
        held: HeldAttempt,
        outcome: Outcome,
        evicted: bool = False,
        checkpoint: bytes = b"",
    ) -> None:
        """Create and send the report of an attempt that ended or will never start."""
        held.report = AttemptReport(
            shard_id=held.shard_id,
            task_id=held.task_id,
            attempt=held.attempt,
            worker_id=self._state.worker_id,
            outcome=outcome,
            evicted=evicted,
            checkpoint=checkpoint,
            ran_s=held.ran_s,
        )
        self._state.changed.set()
        self.send(held)

    def send(self, held: HeldAttempt) -> None:
        """Send the report of an attempt, for the first time or again."""
        assert held.report is not None
        state = self._state
        held.next_report_s = state.now_s() + state.options.report_interval_s
        state.counters.n_reports += 1
        state.outbox.send(shard_address(held.shard_id), held.report)

    def on_ack(self, body: ReportAck) -> None:
        """Forget an attempt whose end its shard has committed."""
        held = self._state.held_attempts.get((body.task_id, body.attempt))
        if held is None or held.phase is not AttemptPhase.FINISHING:
            return
        if not self._state.is_stale(body.shard_id, body.epoch):
            self.forget(held)

    def forget(self, held: HeldAttempt) -> None:
        """Forget an attempt, here and on the worker."""
        self._state.drop(held)
        self._state.dropped[held.key] = _AFTER_ANY_LIST
        self._state.background.spawn(self._forget_on_worker(held.key))

    async def _forget_on_worker(self, key: AttemptKey) -> None:
        answer = await self._state.worker.forget((key,))
        if answer is True:
            self._state.dropped[key] = self._state.list_number
        else:
            # The worker still lists it, so it is adopted and reported once more.
            self._state.dropped.pop(key, None)
