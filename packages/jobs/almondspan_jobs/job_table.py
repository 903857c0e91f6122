"""The owner's jobs: their progress, what of it is stored, and which wait for placement.

Every change of a job raises its version and makes parts of its progress dirty. These
are stored as one batch, which may take several groups of writes: `next_batches` returns
the batches that wait, and `on_stored` records the version that the store has once it
has the whole batch. Callers are told only stored states.

A finished job past its retention is first removed from the store. It stays in the table
until everything that the store reports is later than the removal, so that the job is
never taken for a new one.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    TaskKey,
    parse_task_name,
)
from almondspan_decisions.job_progress import (
    FINAL_STATES,
    JobProgress,
    JobState,
    TaskPhase,
)
from almondspan_jobs.clocks import steady_s, wall_ms
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.progress_records import (
    HEAD,
    Part,
    long_checkpoints,
    part_key,
    parts_of_task,
)
from almondspan_platform.store import Revision

__all__ = ["Batch", "JobTable"]

OLDEST_SHARE: Final = 0.25
"""The share of a group that is kept for the jobs that have waited longest.

The rest goes first to jobs whose tasks can't start before they are stored."""

LAST_PRIORITY: Final = 99
"""Priority of jobs without rules."""

MAX_AGE_S: Final = 3_600.0
"""A job that seems to be older as the owner first sees it counts as new: an entry's
clock, or the owner's, has jumped."""


@dataclass(slots=True)
class Batch:
    """Changes of a job that are stored together, and what is then stored."""

    version: int
    state: JobState
    parts: list[Part]
    """Parts of the progress that are still to be taken, the head last."""
    assigned: list[tuple[TaskKey, int]]
    """Attempts whose assignment the batch stores."""


@dataclass(slots=True)
class _JobTracking:
    """What the owner tracks of a job besides its progress."""

    version: int = 0
    """Rises with every change of the job."""
    stored_version: int = 0
    dirty_parts: dict[Part, None] = field(default_factory=dict)
    """Parts with changes that are in no batch yet."""
    unstored: dict[TaskKey, None] = field(default_factory=dict)
    """Tasks that have changed since they were known to be stored."""
    batch: Batch | None = None
    """The batch that is being stored."""
    extra_parts: set[Part] = field(default_factory=set)
    """Parts, besides the head, that the store may have."""
    seen_s: float = field(default_factory=steady_s)
    """When the owner first saw the job."""
    since_s: float = 0.0
    """When an entry accepted the job, on the owner's steady clock. The wall clocks are
    compared once, so that a later jump of one has no effect."""
    ended_s: float = math.inf
    """When the store had the job's final state."""


class JobTable:
    """All jobs of the owner, by id."""

    def __init__(self, log: EventLog) -> None:
        self._log: Final = log
        self._rules: Mapping[QueueName, QueueRules] = {}
        self.jobs: Final[dict[JobId, JobProgress]] = {}
        self.stored_states: Final[dict[JobId, JobState]] = {}
        """Job states as last stored; callers are only told these."""
        self._tracking: Final[dict[JobId, _JobTracking]] = {}
        self._n_pending: Final[Counter[QueueName]] = Counter()
        self._dirty: Final[dict[JobId, None]] = {}
        """Jobs with changes to store, in the order of their first change."""
        self._starting: Final[dict[JobId, None]] = {}
        """Dirty jobs with assignments to store, whose tasks can't start before."""
        self._suspects: Final[set[JobId]] = set()
        """Jobs of a group that the store refused; each is stored by itself."""
        self._unstorable: Final[set[JobId]] = set()
        """Jobs that the store refused by themselves; only their end is stored."""
        self.placeable: Final[dict[JobId, None]] = {}
        """Jobs with tasks that wait for placement, in the order in which they came."""
        self.needs_planning = False
        self.on_ended: Callable[[JobProgress], None] = lambda job: None
        """Called once for each job that reaches a final state."""
        self._removed_at: Final[dict[JobId, Revision]] = {}
        """Jobs that are removed from the store, and at which revision at the latest."""

    def __getitem__(self, job_id: JobId) -> JobProgress:
        return self.jobs[job_id]

    def find_task(self, name: str) -> tuple[JobProgress, TaskKey] | None:
        """Return the job and the key of a task by its name; None if it is unknown."""
        parsed = parse_task_name(name)
        job = self.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or job is None or job.task(parsed[1]) is None:
            return None
        return job, parsed[1]

    def load(self, job: JobProgress, parts: Iterable[Part] = ()) -> None:
        """Add a job with its stored progress, of which there are these parts."""
        self._add(job, job.state)
        self._tracking[job.job_id].extra_parts.update(parts)
        if self.apply_failure_limit(job):
            self.mark_dirty(job)

    def add(self, job_id: JobId, spec: JobSpec) -> None:
        """Add a stored job without progress; a known one is left unchanged."""
        if job_id in self.jobs:
            return
        job = JobProgress(job_id, spec)
        job.add_due_occurrences(wall_ms())
        self._add(job, JobState.PENDING)
        self._log.line(
            "job_seen",
            job=job_id,
            queue=spec.queue,
            n_steps=len(spec.steps),
            n_tasks=spec.n_tasks,
            after_ms=wall_ms() - spec.accepted_ms,
        )

    def _add(self, job: JobProgress, stored: JobState) -> None:
        self.jobs[job.job_id] = job
        tracking = self._tracking[job.job_id] = _JobTracking()
        tracking.since_s = tracking.seen_s - _age_s(job.spec.accepted_ms)
        self._set_stored_state(job, stored)
        if job.finished_ms:
            age_s = max(0, wall_ms() - job.finished_ms) / 1000
            self._tracking[job.job_id].ended_s -= age_s
        self._update_placeable(job)

    def cancel(self, job_id: JobId) -> None:
        """Cancel a job unless it has already reached a final state."""
        job = self.jobs.get(job_id)
        if job is None or not job.is_active:
            return
        job.is_cancelled = True
        self.mark_dirty(job)
        self._log.line("job_cancelled", job=job_id, n_placed=job.n_placed)

    # Rules

    @property
    def rules(self) -> Mapping[QueueName, QueueRules]:
        """The rules of the configured queues."""
        return self._rules

    def set_rules(self, rules: Mapping[QueueName, QueueRules]) -> None:
        """Set the rules of a new configuration, and apply them to every job."""
        self._rules = rules
        self.needs_planning = True
        for job in self.jobs.values():
            if self.apply_failure_limit(job):
                self.mark_dirty(job)

    def rules_of(self, job: JobProgress) -> QueueRules | None:
        """Return the rules of a job's queue, or else those that it was accepted under.

        None stands for a job of an earlier release whose queue is not configured, or
        of any queue before this process has read the configuration.
        """
        return self._rules.get(job.spec.queue) or job.spec.accepted_rules

    def priority(self, job: JobProgress) -> int:
        """Return the priority of a job's queue; 0 is the most urgent."""
        rules = self.rules_of(job)
        return rules.priority if rules is not None else LAST_PRIORITY

    def apply_failure_limit(self, job: JobProgress) -> bool:
        """Fail a job one of whose tasks has failed too often; without rules, wait."""
        rules = self.rules_of(job)
        if rules is None or not job.apply_failure_limit(rules.max_failures):
            return False
        self._log.line(
            "failures_used_up",
            job=job.job_id,
            queue=job.spec.queue,
            n_failures=job.n_most_failures,
            max_failures=rules.max_failures,
            is_configured=job.spec.queue in self._rules,
        )
        return True

    def seen_s(self, job: JobProgress) -> float:
        """Return when the owner first saw a job."""
        return self._tracking[job.job_id].seen_s

    def since_s(self, job: JobProgress) -> float:
        """Return when a job was accepted, or the oldest of its occurrences was due."""
        if job.spec.n_occurrences and job.occurrences:
            return steady_s() - _age_s(job.spec.due_ms(next(iter(job.occurrences))))
        return self._tracking[job.job_id].since_s

    def n_pending(self, queue: QueueName) -> int:
        """Return the number of pending jobs of a queue."""
        return self._n_pending[queue]

    # Changes and the store

    def mark_dirty(self, job: JobProgress) -> None:
        """Record that a job has changed."""
        if not job.is_active and not job.finished_ms:
            job.finished_ms = wall_ms()
            self._log.line("job_ended", job=job.job_id, state=job.state.value)
            self.on_ended(job)
        tracking = self._tracking[job.job_id]
        tracking.version += 1
        tracking.dirty_parts[HEAD] = None
        for key in job.take_changed():
            tracking.unstored[key] = None
            tracking.dirty_parts.update(dict.fromkeys(parts_of_task(job, key)))
            task = job.task(key)
            if task is not None and task.phase is TaskPhase.PLACED:
                self._starting[job.job_id] = None
        self._dirty[job.job_id] = None
        self._update_placeable(job)

    def _update_placeable(self, job: JobProgress) -> None:
        if job.is_active and next(job.ready_steps(), None) is not None:
            self.placeable[job.job_id] = None
            self.needs_planning = True
        else:
            self.placeable.pop(job.job_id, None)

    @property
    def is_dirty(self) -> bool:
        """Return whether there are changes to store."""
        return bool(self._dirty)

    def next_batches(self, n_jobs: int) -> Iterator[tuple[JobProgress, Batch]]:
        """Yield the batches of the first dirty jobs; one may be partly stored."""
        for job_id in self._next_dirty(n_jobs):
            job, tracking = self.jobs[job_id], self._tracking[job_id]
            if tracking.batch is None:
                tracking.batch = self._make_batch(job, tracking)
            yield job, tracking.batch

    def _make_batch(self, job: JobProgress, tracking: _JobTracking) -> Batch:
        for part in tuple(tracking.dirty_parts):
            # No row may lose its checkpoint, although that has grown in a listing only.
            new = set(long_checkpoints(job, part)) - tracking.extra_parts
            tracking.dirty_parts.update(dict.fromkeys(new))
        # The head is last: what it tells of the job is then true of all parts.
        parts = [*(part for part in tracking.dirty_parts if part != HEAD), HEAD]
        if job.job_id in self._unstorable:
            parts = [HEAD]
        tracking.dirty_parts.clear()
        tracking.extra_parts.update(parts[:-1])
        assigned = []
        for key in tuple(tracking.unstored):
            task = job.task(key)
            if task is None or task.phase is not TaskPhase.PLACED or task.is_stored:
                del tracking.unstored[key]
            else:
                assigned.append((key, task.n_attempts))
        return Batch(tracking.version, job.state, parts, assigned)

    def on_taken(self, job: JobProgress) -> None:
        """Mark a job clean if its batch is taken whole, and nothing has changed since.

        Otherwise it waits behind the other dirty jobs.
        """
        tracking = self._tracking[job.job_id]
        batch = tracking.batch
        del self._dirty[job.job_id]
        was_starting = job.job_id in self._starting
        self._starting.pop(job.job_id, None)
        if tracking.dirty_parts or batch is None or batch.parts:
            self._dirty[job.job_id] = None
        if was_starting and batch is not None and batch.parts:
            self._starting[job.job_id] = None

    def _next_dirty(self, n_jobs: int) -> list[JobId]:
        """Return the first dirty jobs; one alone if it may not be storable."""
        dirty = list(self._dirty)
        if dirty and dirty[0] in self._suspects:
            return dirty[:1]
        n_oldest = math.ceil(n_jobs * OLDEST_SHARE)
        ordered = dict.fromkeys((*dirty[:n_oldest], *self._starting, *dirty))
        return [job_id for job_id in ordered if job_id not in self._suspects][:n_jobs]

    def is_storable(self, job: JobProgress) -> bool:
        """Return whether the progress of a job may be stored, or its end only."""
        return job.job_id not in self._unstorable

    def on_refused(
        self, taken: Mapping[JobId, Sequence[Part]], *, is_blamed: bool = True
    ) -> None:
        """Store the jobs of a group one by one; fail one that was refused by itself.

        Parameters
        ----------
        taken : mapping of job to parts
            The parts of each job that the group had.
        is_blamed : bool
            Whether the group had no other records.
        """
        for job_id, parts in taken.items():
            job, tracking = self.jobs.get(job_id), self._tracking.get(job_id)
            if job is None or tracking is None or tracking.batch is None:
                continue
            if len(taken) > 1 or not is_blamed:
                tracking.batch.parts[:0] = parts
                if len(taken) > 1:
                    self._suspects.add(job_id)
                self._dirty[job_id] = None
            elif job_id not in self._unstorable:
                tracking.batch = None
                self._unstorable.add(job_id)
                job.is_failed = True
                self._log.line("job_unstorable", job=job_id, n_placed=job.n_placed)
                self.mark_dirty(job)

    def on_stored(self, job_ids: Iterable[JobId]) -> Iterator[tuple[JobId, Batch]]:
        """Record that the last writes of some jobs' batches are stored.

        Yields the jobs and their batches.
        """
        for job_id in job_ids:
            tracking = self._tracking.get(job_id)
            if tracking is None or tracking.batch is None:
                continue
            batch, tracking.batch = tracking.batch, None
            self._suspects.discard(job_id)
            tracking.stored_version = batch.version
            self._set_stored_state(self.jobs[job_id], batch.state)
            yield job_id, batch

    def _set_stored_state(self, job: JobProgress, state: JobState) -> None:
        before = self.stored_states.get(job.job_id)
        self.stored_states[job.job_id] = state
        if before is not state and state in FINAL_STATES:
            self._tracking[job.job_id].ended_s = steady_s()
        was_pending, is_pending = (
            before is JobState.PENDING,
            state is JobState.PENDING,
        )
        self._n_pending[job.spec.queue] += is_pending - was_pending

    def version(self, job: JobProgress) -> int:
        """Return the current version of a job."""
        return self._tracking[job.job_id].version

    def is_stored(self, job_id: JobId, version: int) -> bool:
        """Return whether a version of a job is stored, or the job dropped."""
        tracking = self._tracking.get(job_id)
        return tracking is None or tracking.stored_version >= version

    # Time

    def add_due_occurrences(self) -> None:
        """Add the occurrences of repeated jobs that are due."""
        now_ms = wall_ms()
        for job in self.jobs.values():
            if job.n_opened < job.spec.n_total_occurrences and job.is_active:
                if job.add_due_occurrences(now_ms):
                    self.mark_dirty(job)

    # Removal

    def removable(self, retention_s: float, n_jobs: int) -> list[JobId]:
        """Return some jobs whose final state was stored for their retention."""
        limit_s = steady_s() - retention_s
        return [
            job_id
            for job_id, tracking in self._tracking.items()
            if tracking.ended_s < limit_s
            and not self.jobs[job_id].n_placed
            and not tracking.dirty_parts
            and tracking.batch is None
            and job_id not in self._removed_at
        ][:n_jobs]

    def extra_keys(self, job_id: JobId) -> list[str]:
        """Return the keys of a job's progress besides the head."""
        tracking = self._tracking.get(job_id)
        parts = tracking.extra_parts if tracking is not None else ()
        return [part_key(job_id, part) for part in parts]

    def is_kept(self, job_id: JobId) -> bool:
        """Return whether a job is known, and not removed from the store."""
        return job_id in self.jobs and job_id not in self._removed_at

    def on_removed(self, job_ids: Sequence[JobId], revision: Revision) -> None:
        """Record that jobs are removed from the store."""
        self._removed_at.update((job_id, revision) for job_id in job_ids)

    def forget_removed(self, reported: Revision) -> None:
        """Drop removed jobs; the store has reported its changes up to a revision."""
        for job_id, revision in tuple(self._removed_at.items()):
            if revision <= reported:
                del self._removed_at[job_id]
                del self.jobs[job_id], self.stored_states[job_id]
                del self._tracking[job_id]
                self._dirty.pop(job_id, None)
                self._starting.pop(job_id, None)
                self._unstorable.discard(job_id)


def _age_s(from_ms: int) -> float:
    """Return the time since an entry's wall clock had a value; 0 if it is unlikely."""
    age_s = (wall_ms() - from_ms) / 1000
    return age_s if 0.0 < age_s <= MAX_AGE_S else 0.0
