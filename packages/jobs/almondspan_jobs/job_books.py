"""The owner's books of jobs and workers, and the evidence that changes them.

An attempt is released only on evidence: its listed end, a refused first order, a void
(see `StopReply`), a later life of its worker, or the passed lease. A changed job is
`dirty` until its record is stored.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_book import EndKind, JobBook, JobState, WorkerLife
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    TaskKey,
    format_task_name,
    parse_task_name,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_model import HarmTable, TailModel
from almondspan_decisions.worker_book import WorkerRecord
from almondspan_decisions.worker_lease import LeaseTerms, WorkerLease
from almondspan_jobs.clocks import steady_s, wall_ms
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import HarmPush, StopOrder, WorkerReport
from almondspan_jobs.meters import Meters
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import HOMES_KEY, HomesRecord, encode_record
from almondspan_platform.group_store import Write
from almondspan_wire.codec import Message

__all__ = ["JobBooks", "MAX_START_SENDS"]

_UNKNOWN_QUEUE: Final = 1
"""Failures allowed to a task whose queue the configuration no longer names."""

MAX_START_SENDS: Final = 3
"""After so many unanswered orders an attempt is proved absent instead."""


@dataclass(slots=True)
class _Progress:
    """Bookkeeping beside a job's book."""

    version: int = 0
    seen_s: float = field(default_factory=steady_s)


class JobBooks:
    """Jobs, workers, leases, and which attempts each life of a worker holds."""

    def __init__(
        self,
        options: JobOptions,
        log: EventLog,
        meters: Meters,
        post: Callable[[WorkerId, Message], bool],
        confirmed_s: Callable[[], float],
    ) -> None:
        self._options: Final = options
        self._log: Final = log
        self._meters: Final = meters
        self._post: Final = post
        self._confirmed_s: Final = confirmed_s
        self._terms: Final = LeaseTerms(
            options.lease_ms / 1000,
            options.lease_step_ms / 1000,
            options.clock_drift,
            options.lease_margin_s,
            options.unconfirmed_s,
        )
        self._started_s: Final = steady_s()
        self.rules: Mapping[QueueName, QueueRules] = {}
        self.jobs: dict[JobId, JobBook] = {}
        self.shown: dict[JobId, JobState] = {}
        """The stored states, which callers may be told."""
        self.workers: dict[WorkerId, WorkerRecord] = {}
        self._leases: dict[WorkerLife, WorkerLease] = {}
        self._homes: dict[WorkerLife, str] = {}
        """The agent that each life was beside."""
        self._are_homes_dirty = False
        self._on_life: dict[WorkerLife, set[tuple[JobId, TaskKey]]] = {}
        self._progress: dict[JobId, _Progress] = {}
        self._stored_version: dict[JobId, int] = {}
        self._dirty: dict[JobId, None] = {}
        self._hungry: set[JobId] = set()
        self._unlisted_stops: dict[tuple[str, int], float] = {}
        self._open_orders: dict[WorkerId, dict[tuple[str, int], float]] = {}
        """Starts without a definite answer: task and attempt, when sent."""
        self._gone_s: dict[WorkerLife, float] = {}
        self._model: Final = TailModel()
        self._table = HarmTable({})
        self._solved_s = 0.0
        self._moved_s = 0.0
        self._made_room_s = 0.0
        self._harm_stored_s = steady_s()
        self._observed_s: dict[WorkerLife, float] = {}
        self._harm_sent: dict[WorkerLife, HarmPush] = {}
        """The weights that each worker's agent has."""
        self.wants_plan = False

    def _find(self, name: str) -> tuple[JobBook, TaskKey] | None:
        """Return the job and the task that a name means; None when there is none."""
        parsed = parse_task_name(name)
        book = self.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or book is None or book.task(parsed[1]) is None:
            return None
        return book, parsed[1]

    def load(self, book: JobBook) -> None:
        """Take in a job with its stored progress, after a takeover."""
        self.jobs[book.job_id] = book
        self._progress[book.job_id] = _Progress()
        self.shown[book.job_id] = book.state
        for key, task in book.placed():
            assert task.life is not None
            task.is_stored = True
            task.n_sends = 1
            task.placed_s = task.percent_s = steady_s()
            orders = self._open_orders.setdefault(task.life.worker_id, {})
            name = format_task_name(book.job_id, key)
            orders[(name, task.n_attempts)] = steady_s()
            self._on_life.setdefault(task.life, set()).add((book.job_id, key))
            self._lease(task.life)
        self._note_hunger(book)

    def add_job(self, job_id: JobId, spec: JobSpec) -> None:
        """Take in a stored job; one that is known already stays as it is."""
        if job_id in self.jobs:
            return
        book = JobBook(job_id, spec)
        self.jobs[job_id] = book
        self._progress[job_id] = _Progress()
        self.shown[job_id] = JobState.PENDING
        book.open_rounds(wall_ms())
        self._note_hunger(book)
        self._log.line(
            "job_seen",
            job=job_id,
            queue=spec.queue,
            n_steps=len(spec.steps),
            n_tasks=sum(step.n_tasks for step in spec.steps),
            after_ms=wall_ms() - spec.accepted_ms,
        )

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job for good, unless it has reached its last state before."""
        book = self.jobs.get(job_id)
        if book is None or not book.is_active:
            return
        book.is_cancelled = True
        self._touch(book)
        self._log.line("job_cancelled", job=job_id, n_placed=book.n_placed)

    def n_pending(self, queue: QueueName) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            state is JobState.PENDING and self.jobs[job_id].spec.queue == queue
            for job_id, state in self.shown.items()
        )

    def _touch(self, book: JobBook) -> None:
        if not book.is_active and not book.finished_ms:
            book.finished_ms = wall_ms()
            self._log.line("job_ended", job=book.job_id, state=book.state.value)
        self._progress[book.job_id].version += 1
        self._dirty[book.job_id] = None
        self._note_hunger(book)

    def _note_hunger(self, book: JobBook) -> None:
        if book.is_active and next(book.ready_steps(), None) is not None:
            self._hungry.add(book.job_id)
            self.wants_plan = True
        else:
            self._hungry.discard(book.job_id)

    def _max_failures(self, book: JobBook) -> int:
        rules = self.rules.get(book.spec.queue)
        return rules.max_failures if rules is not None else _UNKNOWN_QUEUE

    def _lease(self, life: WorkerLife) -> WorkerLease:
        lease = self._leases.get(life)
        if lease is None:
            empty_s = max(
                self._terms.inherited_s(self._started_s),
                steady_s() + self._terms.lease_s,
            )
            lease = self._leases[life] = WorkerLease(self._terms, empty_s)
        return lease

    def load_homes(self, homes: Mapping[str, list[tuple[str, int]]]) -> None:
        """Take in which lives each agent was beside, after a takeover."""
        for node, lives in homes.items():
            for worker_id, born_ms in lives:
                self._homes[WorkerLife(WorkerId(worker_id), born_ms)] = node

    def on_report(self, node: str, report: WorkerReport) -> None:
        """Take in what the worker beside an agent says of itself."""
        life = WorkerLife(report.worker_id, report.born_ms)
        known = self.workers.get(report.worker_id)
        if known is not None and known.life.born_ms > report.born_ms:
            self._log.line("report_outdated", worker=life.worker_id, born=life.born_ms)
            return
        if report.has_left:
            self._on_left(life)
            return
        if known is None or known.life != life:
            self._meet(node, life, report)
            return
        if report.is_leaving and not known.is_leaving:
            self._log.line(
                "worker_leaving", worker=life.worker_id, leaves_ms=report.leaves_ms
            )
        known.is_leaving = report.is_leaving
        known.leaves_ms = report.leaves_ms

    def _meet(self, node: str, life: WorkerLife, report: WorkerReport) -> None:
        """Know a life for the first time; earlier ones in its place are over."""
        record = WorkerRecord(
            life,
            report.service,
            report.place,
            Shape(report.cpu_millicores, report.memory_mb, report.n_accelerators),
            frozenset(report.labels),
            is_leaving=report.is_leaving,
            leaves_ms=report.leaves_ms,
        )
        earlier = [
            old
            for old in self._leases
            if old.born_ms < life.born_ms
            and (old.worker_id == life.worker_id or self._homes.get(old) == node)
        ]
        self._homes[life] = node
        self._are_homes_dirty = True
        self.workers[life.worker_id] = record
        self._lease(life)
        for old in earlier:
            self._on_replaced(old, life)
        for job_id, key in self._on_life.get(life, ()):
            record.take(self.jobs[job_id].step_of(key))
        self._log.line(
            "worker_seen",
            worker=life.worker_id,
            born=life.born_ms,
            service=report.service,
            labels=report.labels,
            cpu=report.cpu_millicores,
            memory=report.memory_mb,
            leaving=report.is_leaving,
        )
        self.wants_plan = True

    def _on_replaced(self, old: WorkerLife, new: WorkerLife) -> None:
        """Learn that a later life has taken the place of another.

        What was listed there ended with it. An order that is not known to have reached
        the old life may reach a later one of the same name, so it is made void there.
        """
        self._log.line("worker_replaced", old=str(old), new=str(new))
        is_renamed = old.worker_id != new.worker_id
        open_orders = {} if is_renamed else self._open_orders.get(new.worker_id, {})
        for job_id, key in tuple(self._on_life.get(old, ())):
            task = self.jobs[job_id].task(key)
            assert task is not None
            name = format_task_name(job_id, key)
            was_here = task.listed_s and (name, task.n_attempts) not in open_orders
            if is_renamed or was_here or task.n_sends == 0:
                self._release(job_id, key, "worker_replaced")
            else:
                task.is_voiding = True
                task.sent_s = 0.0
        for name, attempt in open_orders:
            self._post(new.worker_id, StopOrder(name, attempt))
        self._forget_worker(old)

    def _on_left(self, life: WorkerLife) -> None:
        record = self.workers.get(life.worker_id)
        if record is None or record.life != life or life in self._gone_s:
            return
        record.is_leaving = True
        self._gone_s[life] = steady_s() + self._options.gone_delay_s
        self._log.line("worker_left", worker=life.worker_id, born=life.born_ms)

    def _forget_worker(self, life: WorkerLife) -> None:
        record = self.workers.get(life.worker_id)
        if record is not None and record.life == life:
            del self.workers[life.worker_id]
        if not self._on_life.get(life):
            self._on_life.pop(life, None)
            self._leases.pop(life, None)
            self._observed_s.pop(life, None)
            self._harm_sent.pop(life, None)
            self._are_homes_dirty |= self._homes.pop(life, None) is not None

    def _empty(self, life: WorkerLife, reason: str) -> None:
        """Release every task of a life that surely runs nothing any more."""
        held = tuple(self._on_life.get(life, ()))
        if held:
            self._log.line(
                "worker_empty",
                worker=life.worker_id,
                born=life.born_ms,
                reason=reason,
                n_tasks=len(held),
            )
        for job_id, key in held:
            self._release(job_id, key, reason)

    def _is_held(
        self, book: JobBook, key: TaskKey, attempt: int, life: WorkerLife
    ) -> bool:
        """Tell whether a listed attempt is the assigned one; follow it if need be."""
        if book.is_assigned(key, attempt, life):
            return True
        task = book.task(key)
        old = task.life if task is not None else None
        if task is None or old is None or not book.adopt(key, attempt, life):
            return False
        held = (book.job_id, key)
        task.is_voiding = False
        self._on_life[old].discard(held)
        self._on_life.setdefault(life, set()).add(held)
        record = self.workers.get(life.worker_id)
        if record is not None and record.life == life:
            record.take(book.step_of(key))
        self._touch(book)
        self._log.line(
            "task_followed",
            task=format_task_name(book.job_id, key),
            attempt=attempt,
            worker=life.worker_id,
            born=life.born_ms,
            before=old.born_ms,
        )
        return True

    def _end(
        self, book: JobBook, key: TaskKey, kind: EndKind, checkpoint: str, why: str
    ) -> None:
        """Take an assigned attempt off its worker and record its end."""
        task = book.task(key)
        assert task is not None and task.life is not None
        life = task.life
        now_s = steady_s()
        self._log.line(
            "task_ended",
            task=format_task_name(book.job_id, key),
            attempt=task.n_attempts,
            how=why,
            worker=life.worker_id,
            n_failed=task.n_failed,
            checkpoint=checkpoint,
            ran_ms=int((now_s - task.placed_s) * 1000),
        )
        self._on_life[life].discard((book.job_id, key))
        record = self.workers.get(life.worker_id)
        if record is not None and record.life == life:
            record.give_back(book.step_of(key))
            self._judge(record, book, kind, now_s)
        book.end(key, kind, checkpoint, self._max_failures(book))
        self._touch(book)
        self.wants_plan = True

    def _judge(
        self, record: WorkerRecord, book: JobBook, kind: EndKind, now_s: float
    ) -> None:
        if kind is EndKind.DONE:
            record.note_success()
        elif kind is EndKind.FAILED and record.note_failure(book.job_id, now_s):
            self._log.line(
                "worker_rested", worker=record.life.worker_id, why="failures"
            )

    def _release(self, job_id: JobId, key: TaskKey, reason: str) -> None:
        self._end(self.jobs[job_id], key, EndKind.INTERRUPTED, "", reason)

    def _homes_write(self) -> Write:
        """Return the record of homes, which is clean from now on."""
        self._are_homes_dirty = False
        homes: dict[str, list[tuple[str, int]]] = {}
        for life, node in self._homes.items():
            homes.setdefault(node, []).append((life.worker_id, life.born_ms))
        return Write(HOMES_KEY, encode_record(HomesRecord(homes)))
