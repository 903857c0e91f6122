"""The deliberate breakages that `mutants.py` makes."""

from dataclasses import dataclass
from typing import Final

__all__ = ["MUTANTS", "Change", "Mutant"]


@dataclass(frozen=True)
class Change:
    """A replacement of text that occurs once in a module."""

    module: str
    before: str
    after: str


@dataclass(frozen=True)
class Mutant:
    """One breakage."""

    name: str
    changes: tuple[Change, ...]
    package: str = "tasks"
    system: str = "tasks"
    tests: tuple[str, ...] = ("tests/tasks",)


def mutant(name: str, module: str, before: str, after: str) -> Mutant:
    return Mutant(name, (Change(module, before, after),))


WRITE_HEAD: Final = (
    "        revision = await self._write_head(head, self._revision)\n"
    "        if revision is"
)

MUTANTS: Final = (
    # The shard's log.
    mutant(
        "skip the nonce in read-back",
        "shard_log.py",
        "    return item.revision if is_own else None",
        "    return item.revision",
    ),
    mutant(
        "keep the epoch at a takeover",
        "shard_log.py",
        "epoch=Epoch(head.epoch + 1),",
        "epoch=Epoch(max(1, head.epoch)),",
    ),
    mutant(
        "drop the tail into no chunk",
        "shard_log.py",
        "self._merge((*self._head.chunks, *written))",
        "self._merge((*self._head.chunks, *written[1:]))",
    ),
    mutant(
        "delete chunks before the commit",
        "shard_log.py",
        WRITE_HEAD,
        "        await self._delete_chunks(obsolete)\n" + WRITE_HEAD,
    ),
    mutant(
        "collect chunks in use",
        "shard_log.py",
        "if item.key not in referenced and chunk_epoch",
        "if chunk_epoch",
    ),
    mutant(
        "snapshot without the batch",
        "shard_log.py",
        "            return tuple(chunks), (), self._head.chunks",
        "            return (*self._head.chunks[:1], *chunks), (), ()",
    ),
    mutant(
        "effects before the commit",
        "shard_log.py",
        WRITE_HEAD,
        "        for effect in effects:\n            effect()\n        effects = []\n"
        + WRITE_HEAD,
    ),
    # The owner.
    mutant(
        "answer renewals without a commit",
        "attempt_tracker.py",
        "        self._log.after_commit(partial(self._answer_renewal, sender, body))",
        "        self._answer_renewal(sender, body)",
    ),
    mutant(
        "acknowledge without a commit",
        "attempt_tracker.py",
        "        self._log.after_commit("
        "partial(self._ack, sender, ack), immediate=True)",
        "        self._outbox.send(sender, ack)",
    ),
    mutant(
        "start before the commit",
        "attempt_tracker.py",
        "self._log.after_commit(partial(self._send_first_start, job, task, attempt))",
        "self._send_first_start(job, task, attempt)",
    ),
    mutant(
        "give up without the horizon",
        "attempt_tracker.py",
        "return tracked.evidence_s + wait_s + worker_s",
        "return tracked.evidence_s + 0.3 * wait_s",
    ),
    mutant(
        "give up without the worker's lease",
        "attempt_tracker.py",
        "return tracked.evidence_s + wait_s + worker_s",
        "return tracked.evidence_s + self._options.horizon_s",
    ),
    mutant(
        "give up without time for a late renewal",
        "attempt_tracker.py",
        "_N_WORKER_LEASES: Final = 2",
        "_N_WORKER_LEASES: Final = 1",
    ),
    mutant(
        "take over without waiting",
        "shard_jobs.py",
        "                    job.assignment.agent_id, now_s, now_s\n",
        "                    job.assignment.agent_id, now_s - 30.0, now_s\n",
    ),
    mutant(
        "restart a lost task that ran",
        "attempt_tracker.py",
        "        if not job.stage.idempotent:\n"
        "            self._shard_jobs.end_job(\n"
        "                job, Outcome(OutcomeKind.UNKNOWN, reason",
        "        if False:\n"
        "            self._shard_jobs.end_job(\n"
        "                job, Outcome(OutcomeKind.UNKNOWN, reason",
    ),
    mutant(
        "resume without a new checkpoint",
        "attempt_tracker.py",
        "        if not job.stage.idempotent and not is_new:",
        '        if not job.stage.idempotent and checkpoint == b"":',
    ),
    mutant(
        "forget the checkpoint",
        "state.py",
        "    if delta.checkpoint:\n",
        "    if False:\n",
    ),
    mutant(
        "use an attempt number twice",
        "state.py",
        "    job.assignment = None\n    job.attained_s += delta.ran_s\n"
        "    if delta.checkpoint",
        "    job.assignment = None\n    job.attempt -= 1\n"
        "    job.attained_s += delta.ran_s\n    if delta.checkpoint",
    ),
    mutant(
        "cancel as if it never ran",
        "job_request_handler.py",
        'job, Outcome(OutcomeKind.CANCELLED, reason, b"", job.may_have_run)',
        'job, Outcome(OutcomeKind.CANCELLED, reason, b"", False)',
    ),
    mutant(
        "answer a submission at once",
        "job_request_handler.py",
        "        answer = SubmitAnswer(body.question_id, verdicts)\n"
        "        self._log.after_commit(\n"
        "            partial(self._outbox.send, sender, answer), immediate=True\n"
        "        )",
        "        answer = SubmitAnswer(body.question_id, verdicts)\n"
        "        self._outbox.send(sender, answer)",
    ),
    # The agent's part.
    mutant(
        "skip the epoch check",
        "attempt_agent_state.py",
        "        if epoch < self.epochs.get(shard_id, Epoch(0)):",
        "        if False:",
    ),
    Mutant(
        "run past the horizon",
        (
            Change(
                "attempt_agent.py",
                "case AttemptPhase.RUNNING if 0.0 < held.lease_until_s <= now_s:",
                "case AttemptPhase.RUNNING if False:",
            ),
            Change(
                "lease_renewer.py",
                "                and held.lease_until_s > now_s\n",
                "",
            ),
        ),
    ),
    mutant(
        "count the lease from the answer",
        "attempt_agent.py",
        "self._extend(held, sent_s + self._options.horizon_s)",
        "self._extend(held, self._state.now_s() + self._options.horizon_s)",
    ),
    Mutant(
        "adopt with a lease",
        (
            Change(
                "worker_reconciler.py",
                "            first_renewal_id=self._renewer.next_id,\n        )",
                "            first_renewal_id=self._renewer.next_id,\n"
                "            lease_until_s=state.now_s() + state.options.horizon_s,\n"
                "        )",
            ),
        ),
    ),
    Mutant(
        "admit before rebuilding",
        (
            Change(
                "attempt_agent.py",
                "        await self._reconciler.wait_for_worker()\n",
                "        await self._reconciler.wait_for_worker()\n"
                "        self._state.ready.set()\n",
            ),
            Change(
                "worker_reconciler.py",
                "        return age_s <= _FRESH_POLLS * "
                "self._state.options.poll_interval_s",
                "        return True",
            ),
        ),
    ),
    mutant(
        "admit without settling",
        "worker_reconciler.py",
        "        await asyncio.sleep(self._state.options.call_bound_s)\n"
        "        await self._list_until_answered()\n",
        "",
    ),
    Mutant(
        "admit more than there is room for",
        (
            Change(
                "held_attempts.py",
                "        return used.fits_in(self.capacity)\n\n    def is_within",
                "        return True\n\n    def is_within",
            ),
            Change(
                "held_attempts.py",
                "return self.used().fits_in(self.capacity)",
                "return True",
            ),
        ),
    ),
    mutant(
        "skip settling after a pause",
        "worker_reconciler.py",
        "        if self._state.ready.is_set() and gap_s > limit_s:",
        "        if False:",
    ),
    mutant(
        "grant a claim twice",
        "job_request_handler.py",
        "        if known is not None and known.nonce != body.nonce:",
        "        if False:",
    ),
    mutant(
        "accept any reservation",
        "attempt_agent.py",
        "is_live = held.reservation == body.reservation and not held.awaits_preemption",
        "is_live = not held.awaits_preemption",
    ),
    mutant(
        "confirm by an old answer",
        "attempt_agent.py",
        "held is not None and body.renewal_id >= held.first_renewal_id:\n"
        "                self._extend",
        "held is not None:\n                self._extend",
    ),
    mutant(
        "start without confirmation",
        "attempt_agent.py",
        "        # so even a refusal waits until the shard has confirmed "
        "the assignment.\n"
        "        self._confirm_first(held)",
        "        advance(held, LifecycleStep.RESERVE)\n"
        "        held.lease_until_s = self._state.now_s() + self._options.horizon_s\n"
        "        self._begin_start(held)",
    ),
    mutant(
        "refuse without confirmation",
        "attempt_agent.py",
        "        # so even a refusal waits until the shard has confirmed "
        "the assignment.\n"
        "        self._confirm_first(held)",
        "        if held.refusal:\n            self._refuse(held, held.refusal)\n"
        "        else:\n            self._confirm_first(held)",
    ),
    mutant(
        "refuse for another agent",
        "attempt_agent.py",
        "        if body.agent_id != self._state.agent_id or not self.is_ready:",
        "        if not self.is_ready:",
    ),
    mutant(
        "repeat a start after a lost answer",
        "attempt_agent.py",
        "        answer = await self._state.worker.start_attempt(request)\n",
        "        answer = await self._state.worker.start_attempt(request)\n"
        "        while isinstance(answer, WorkerUnavailable):\n"
        "            await asyncio.sleep(0.2)\n"
        "            answer = await self._state.worker.start_attempt(request)\n",
    ),
    mutant(
        "report a lost start as never run",
        "attempt_agent.py",
        "        if isinstance(answer, WorkerUnavailable) and answer.may_have_applied:",
        "        if False:",
    ),
    mutant(
        "forget a result before its commit",
        "worker_reconciler.py",
        "        self._reporter.add(held, outcome, found.evicted, found.checkpoint)",
        "        self._reporter.add(held, outcome, found.evicted, found.checkpoint)\n"
        "        self._reporter.forget(held)",
    ),
    mutant(
        "start without the worker's clock",
        "attempt_agent.py",
        "        not_after_s = self._state.worker_clock.at(held.lease_until_s)\n",
        "        not_after_s = None\n",
    ),
)
