"""An entry's API for callers: submits, cancels, looks up and counts jobs.

- A job is stored by a write that requires its key and the key of its cancellation to be
  absent, so the same job submitted at several entries is stored once, and never after
  its cancellation. It is accepted once it is stored.
- A cancellation is stored before it is acknowledged, also that of a job that the store
  does not have: a write of the job may still take effect, or the job come again.
- A job is refused only when no write of it can take effect any more, of this request or
  of another one at this entry. An unanswered write is repeated, here and through the
  owner; if the outcome stays uncertain, it is reported as unknown and the caller may
  submit again.
- A job that surely can't be served is rejected before anything is written (see
  `admission`), but only if the store does not have it, and no write of it may take
  effect later: a repeated submission of a stored job is answered as accepted.
- States come from the owner's stored decisions. Without an owner they are read from
  the store; only the store can tell that a job does not exist, and only while no write
  of it at this entry may take effect later.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, QueueName, spec_fault
from almondspan_decisions.job_progress import JobState
from almondspan_jobs.admission_gate import AdmissionGate
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    JobCancelled,
    JobStored,
    PendingCountReply,
    PendingCountRequest,
    StateReply,
    StateRequest,
    StoreJob,
    StoreReply,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.owner_link import NoAnswer, OwnerLink
from almondspan_jobs.progress_records import HEAD, decode_state, part_key
from almondspan_jobs.records import (
    Unreadable,
    cancel_key,
    decode_spec,
    encode_spec,
    job_key,
)
from almondspan_platform.group_store import GroupConflict, GroupStore, Write, WriteGroup
from almondspan_platform.store import (
    ABSENT_REVISION,
    Found,
    KeyValue,
    Swapped,
    Unavailable,
)

__all__ = ["JobAnswer", "JobApi", "StateAnswer", "StoreResult"]


class StoreResult(Enum):
    """The outcome of a caller's write."""

    STORED = "stored"
    NOT_DONE = "not_done"
    """The write has not taken effect and can't do so later."""
    UNKNOWN = "unknown"
    NO_JOB = "no_job"
    CANCELLED = "cancelled"
    """The job was cancelled before it was stored, and is not stored any more."""
    TOO_LARGE = "too_large"
    """The job does not fit into the store, and would not later either."""


_DECIDED: Final = frozenset({StoreResult.STORED, StoreResult.CANCELLED})
"""Results that no other write of the job changes."""

# An owner of a later release may answer with other values.
_STORE_RESULTS: Final = {result.value: result for result in StoreResult}
_JOB_STATES: Final = {state.value: state for state in JobState}


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The outcome of a submission or a cancellation."""

    result: StoreResult
    reason: str = ""
    stored: KeyValue | None = None
    """What the store has, if it told this entry."""
    retry_after_s: float = 0.0
    """When the caller may try again; 0 if nothing is known of it."""


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """A job's state; None with `is_known` if the job does not exist."""

    state: JobState | None
    is_known: bool
    reason: str = ""


class JobApi:
    """Handles the jobs of one entry's callers."""

    def __init__(
        self,
        store: GroupStore,
        owner: OwnerLink,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
        gate: AdmissionGate | None = None,
    ) -> None:
        self._gate: Final = gate
        if gate is not None:
            gate.is_settled = self.is_settled
        self._store: Final = store
        self._owner: Final = owner
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._uncertain_since_s: dict[JobId, float] = {}
        """Jobs with a write of uncertain outcome, and when it was given up."""
        self._n_requests: Final[Counter[JobId]] = Counter()
        """Number of requests that are writing a job now, also of other entries."""
        self._write_begun_s: Final[dict[int, float]] = {}
        """When each write that is not answered yet has begun, the oldest first."""
        self._last_write = 0
        self._n_doubted: Final[Counter[JobId]] = Counter()
        """Number of requests that may be about to reject a job."""
        self._written_when_doubted: Final[set[JobId]] = set()
        self._probe_failed_s = -math.inf
        """When a probe of the store last got no answer."""

    async def submit(self, job_id: JobId, spec: JobSpec, budget_s: float) -> JobAnswer:
        """Store a job; the caller waits for `budget_s` seconds."""
        began_s = steady_s()
        fault = self._rejection_reason(spec)
        record = encode_spec(spec)
        if fault:
            answer = JobAnswer(StoreResult.NOT_DONE, fault)
        elif len(record) > self._options.max_value_bytes:
            reason = f"a record of {len(record)} bytes"
            answer = JobAnswer(StoreResult.TOO_LARGE, reason)
        elif (rejected := await self._rejected(job_id, spec, budget_s)) is not None:
            answer = rejected
        else:
            answer = await self._store_job(job_id, record, began_s + budget_s)
            self._notify_of_job(job_id, answer)
        self._record_outcome("job_submitted", "submit", job_id, answer, began_s)
        return answer

    # Admission

    @property
    def _has_slow_write(self) -> bool:
        oldest_s = next(iter(self._write_begun_s.values()), math.inf)
        return steady_s() - oldest_s > self._options.slow_write_s

    def is_settled(self) -> bool:
        """Return whether no write is unanswered for long, or of uncertain outcome."""
        self._forget_late_writes(steady_s())
        return not self._uncertain_since_s and not self._has_slow_write

    async def _rejected(
        self, job_id: JobId, spec: JobSpec, budget_s: float
    ) -> JobAnswer | None:
        """Return the rejection of a job that surely can't be served, if it is one."""
        if self._gate is None or self._gate.find_cause(spec) is None:
            return None
        self._n_doubted[job_id] += 1
        try:
            wait_s = max(0.0, budget_s - self._options.admission_reserve_s)
            if not await self._gate.confirmed(spec, wait_s):
                return None
            if await self._may_be_stored(job_id):
                return None
            rejection = self._gate.reject(spec)
        finally:
            self._n_doubted[job_id] -= 1
            if not self._n_doubted[job_id]:
                del self._n_doubted[job_id]
                self._written_when_doubted.discard(job_id)
        if rejection is None:
            return None
        reason = rejection.reason
        retry_after_s = rejection.retry_after_s
        return JobAnswer(
            StoreResult.NOT_DONE, reason, None, retry_after_s=retry_after_s
        )

    async def _may_be_stored(self, job_id: JobId) -> bool:
        """Return whether the store may have a job, or a write of it take effect."""
        found = await self._store.get(job_key(job_id))
        if not isinstance(found, Found) or found.item is not None:
            return True
        is_written = self._n_requests[job_id] or job_id in self._written_when_doubted
        return bool(is_written) or self._has_uncertain_write(job_id, steady_s())

    def _notify_of_job(self, job_id: JobId, answer: JobAnswer) -> None:
        """Tell the owner of a job what the store has, which may be another's record."""
        stored = answer.stored
        if stored is not None:
            self._owner.notify(JobStored(job_id, stored.value, stored.revision))

    def _rejection_reason(self, spec: JobSpec) -> str:
        if spec.n_tasks > self._options.max_tasks_per_job:
            return (
                f"the job has {spec.n_tasks} tasks, the limit is"
                f" {self._options.max_tasks_per_job}"
            )
        if any(step.is_gang for step in spec.steps):
            return "gangs are not supported yet"
        return spec_fault(spec)

    def _record_outcome(
        self, event: str, name: str, job_id: JobId, answer: JobAnswer, began_s: float
    ) -> None:
        took_s = steady_s() - began_s
        self._metrics.observe_s(name, took_s)
        self._metrics.count(f"{name}_{answer.result.value}")
        self._log.line(
            event,
            job=job_id,
            result=answer.result.value,
            reason=answer.reason,
            took_ms=int(took_s * 1000),
        )

    async def _store_job(
        self, job_id: JobId, record: bytes, until_s: float
    ) -> JobAnswer:
        answer = await self._write(job_id, record, _submission(job_id, record), until_s)
        if answer.result is StoreResult.CANCELLED:
            retry_after_s = self._options.cancellation_retention_s
            return replace(answer, retry_after_s=retry_after_s)
        return answer

    async def _write(
        self, job_id: JobId, record: bytes, group: WriteGroup, until_s: float
    ) -> JobAnswer:
        """Write directly or through the owner until stored or out of time."""
        with self._writing(job_id):
            return await self._write_until_answered(job_id, record, group, until_s)

    @contextmanager
    def _writing(self, job_id: JobId) -> Iterator[None]:
        """Count a write of a job, of uncertain outcome if it is cut off."""
        self._n_requests[job_id] += 1
        if job_id in self._n_doubted:
            self._written_when_doubted.add(job_id)
        self._last_write += 1
        number = self._last_write
        self._write_begun_s[number] = steady_s()
        try:
            yield
        except asyncio.CancelledError:
            self._uncertain_since_s[job_id] = steady_s()
            raise
        finally:
            del self._write_begun_s[number]
            self._n_requests[job_id] -= 1
            if not self._n_requests[job_id]:
                del self._n_requests[job_id]

    async def _write_until_answered(
        self, job_id: JobId, record: bytes, group: WriteGroup, until_s: float
    ) -> JobAnswer:
        now_s = steady_s()
        refuse_until_s = now_s + self._options.refused_write_retry_s
        if self._store.silent_s > self._options.store_suspect_s:
            refuse_until_s = now_s
        until_s = min(until_s, now_s + self._options.uncertain_write_retry_s)
        is_uncertain = False
        while True:
            outcome = await self.write_once(group)
            if outcome.result not in _DECIDED and not self._owner.is_local:
                is_uncertain |= outcome.result is StoreResult.UNKNOWN
                outcome = await self._write_by_owner(job_id, record, outcome.reason)
            if outcome.result in _DECIDED:
                return outcome
            is_uncertain |= outcome.result is StoreResult.UNKNOWN
            now_s = steady_s()
            may_be_stored = is_uncertain or self._may_store_otherwise(job_id, now_s)
            if now_s > (until_s if may_be_stored else refuse_until_s):
                break
            await asyncio.sleep(self._options.retry_s)
        if is_uncertain:
            self._uncertain_since_s[job_id] = now_s
        result = StoreResult.UNKNOWN if may_be_stored else StoreResult.NOT_DONE
        return JobAnswer(result, outcome.reason)

    def _may_store_otherwise(self, job_id: JobId, now_s: float) -> bool:
        """Return whether another request's write of the job may still take effect."""
        return self._n_requests[job_id] > 1 or self._has_uncertain_write(job_id, now_s)

    def may_be_stored(self, job_id: JobId) -> bool:
        """Return whether a write of the job at this entry may still take effect."""
        n_requests = self._n_requests.get(job_id, 0)
        return n_requests > 0 or self._has_uncertain_write(job_id, steady_s())

    def _has_uncertain_write(self, job_id: JobId, now_s: float) -> bool:
        """Return whether an earlier write of the job may still take effect."""
        self._forget_late_writes(now_s)
        return job_id in self._uncertain_since_s

    def _forget_late_writes(self, now_s: float) -> None:
        """Forget the writes that can no longer take effect."""
        limit_s = now_s - self._options.late_write_s
        self._uncertain_since_s = {
            name: since_s
            for name, since_s in self._uncertain_since_s.items()
            if since_s > limit_s
        }

    async def _write_by_owner(
        self, job_id: JobId, record: bytes, reason: str
    ) -> JobAnswer:
        reply = await self._owner.request(
            lambda number: StoreJob(number, job_id, record),
            self._options.store_timeout_s,
        )
        if isinstance(reply, StoreReply):
            result = _STORE_RESULTS.get(reply.result, StoreResult.UNKNOWN)
            return JobAnswer(result, f"via the owner ({reply.result}); {reason}")
        was_sent = isinstance(reply, NoAnswer) and reply.was_sent
        result = StoreResult.UNKNOWN if was_sent else StoreResult.NOT_DONE
        return JobAnswer(result, f"the owner did not answer; {reason}")

    async def write_once(self, group: WriteGroup) -> JobAnswer:
        """Send a group once; an existing key counts as stored.

        A store that has been silent is first probed with a read: a write that was not
        sent certainly has no effect, while the outcome of an unanswered one is
        uncertain. For a short time after a failed probe nothing is sent at all.
        """
        if self._store.silent_s > self._options.store_suspect_s:
            if not await self._probe_store(group.writes[0].key):
                return JobAnswer(
                    StoreResult.NOT_DONE, "the store did not answer a probe"
                )
        write = group.writes[0]
        outcome = await self._store.commit(group)
        if isinstance(outcome, Swapped):
            stored = KeyValue(write.key, write.value, outcome.revision)
            return JobAnswer(StoreResult.STORED, stored=stored)
        if isinstance(outcome, GroupConflict):
            return _conflict_answer(group, outcome)
        if isinstance(outcome, Unavailable) and outcome.may_have_applied:
            return JobAnswer(StoreResult.UNKNOWN, outcome.reason)
        return JobAnswer(StoreResult.NOT_DONE, str(outcome))

    async def _probe_store(self, key: str) -> bool:
        if steady_s() - self._probe_failed_s < self._options.probe_interval_s:
            return False
        try:
            async with asyncio.timeout(self._options.probe_timeout_s):
                is_answering = isinstance(await self._store.get(key), Found)
        except TimeoutError:
            is_answering = False
        if not is_answering:
            self._probe_failed_s = steady_s()
        return is_answering

    async def relay(self, body: StoreJob) -> StoreReply:
        """Write a job or a cancellation for another entry."""
        if body.record:
            group = _submission(body.job_id, body.record)
        else:
            group = _cancellation(body.job_id)
        with self._writing(body.job_id):
            answer = await self.write_once(group)
        if answer.result is StoreResult.UNKNOWN:
            self._uncertain_since_s[body.job_id] = steady_s()
        if body.record:
            self._notify_of_job(body.job_id, answer)
        elif answer.result is StoreResult.STORED:
            self._owner.notify(JobCancelled(body.job_id))
        return StoreReply(body.number, answer.result.value)

    async def cancel(self, job_id: JobId, budget_s: float) -> JobAnswer:
        """Cancel a job permanently, whether the store has it or not."""
        began_s = steady_s()
        found = await self.state(job_id)
        answer = await self._write(
            job_id, b"", _cancellation(job_id), began_s + budget_s
        )
        if answer.result is StoreResult.STORED:
            # Writes of the job that are executed from now on have no effect.
            self._uncertain_since_s.pop(job_id, None)
            self._owner.notify(JobCancelled(job_id))
            if found.is_known and found.state is None:
                answer = JobAnswer(StoreResult.NO_JOB)
        self._record_outcome("job_cancel", "cancel", job_id, answer, began_s)
        return answer

    async def state(self, job_id: JobId) -> StateAnswer:
        """Look up a job's state."""
        began_s = steady_s()
        reply = await self._owner.request(
            lambda number: StateRequest(number, job_id), self._options.ask_timeout_s
        )
        if isinstance(reply, StateReply) and reply.state in _JOB_STATES:
            answer = StateAnswer(_JOB_STATES[reply.state], True)
        else:
            answer = await self._stored_state(job_id)
            self._log.line(
                "state_from_store",
                job=job_id,
                owner=type(reply).__name__,
                state=answer.state.value if answer.state is not None else "",
                known=answer.is_known,
                reason=answer.reason,
            )
        self._metrics.observe_s("state", steady_s() - began_s)
        return answer

    async def _stored_state(self, job_id: JobId) -> StateAnswer:
        found = await self._store.get(job_key(job_id))
        if not isinstance(found, Found):
            return StateAnswer(None, False, found.reason)
        if found.item is None:
            if self.may_be_stored(job_id):
                return StateAnswer(None, False, "a write of the job is uncertain")
            return StateAnswer(None, True)
        spec = decode_spec(found.item.value)
        run = await self._store.get(part_key(job_id, HEAD))
        if not isinstance(run, Found):
            return StateAnswer(None, False, run.reason)
        if run.item is None:
            return StateAnswer(JobState.PENDING, True)
        if isinstance(spec, Unreadable):
            return StateAnswer(None, False, spec.reason)
        state = decode_state(job_id, spec, run.item.value)
        if isinstance(state, Unreadable):
            return StateAnswer(None, False, state.reason)
        return StateAnswer(state, True)

    async def n_pending(self, queue: QueueName) -> int | None:
        """Return the number of pending jobs of a queue; None if no owner answers."""
        reply = await self._owner.request(
            lambda number: PendingCountRequest(number, queue),
            self._options.ask_timeout_s,
        )
        if isinstance(reply, PendingCountReply) and reply.n_jobs >= 0:
            return reply.n_jobs
        return None


def _submission(job_id: JobId, record: bytes) -> WriteGroup:
    """Return the group that stores a job, unless it is stored or cancelled."""
    key = job_key(job_id)
    conditions = ((key, ABSENT_REVISION), (cancel_key(job_id), ABSENT_REVISION))
    return WriteGroup(conditions, (Write(key, record),))


def _conflict_answer(group: WriteGroup, conflict: GroupConflict) -> JobAnswer:
    """Return what a conflict says of a submission or a cancellation."""
    stored = conflict.item(group.writes[0].key)
    if stored is not None:
        return JobAnswer(StoreResult.STORED, "it was already stored", stored)
    if any(conflict.item(key) is not None for key, _ in group.conditions):
        return JobAnswer(StoreResult.CANCELLED, "the job was cancelled")
    return JobAnswer(StoreResult.UNKNOWN, "a conflict without its cause")


def _cancellation(job_id: JobId) -> WriteGroup:
    key = cancel_key(job_id)
    return WriteGroup(((key, ABSENT_REVISION),), (Write(key, b"1"),))
