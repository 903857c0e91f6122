"""The owner's decisions over all jobs and workers; no input or output of its own.

1. Events change the books: jobs stored or cancelled, workers' reports and listings,
   answers to orders, time. A changed job is `dirty`.
2. `plan` assigns waiting tasks, most urgent queue first, oldest job first.
3. `snapshot` hands out the records of dirty jobs; once they are stored,
   `on_stored` lets the orders leave that the stored assignments allow.
4. `tick` repeats orders without a sign of effect, proves attempts absent that their
   worker does not list, moves tasks off workers that leave, and releases the tasks
   of a silent worker once its lease has surely passed.

An attempt is released only on evidence: its listed end, a refused first order, a
void (see `StopReply`), a later lifetime of its worker, or the passed lease.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.graph_placing import (
    Candidate,
    choose_worker,
    may_ever_run,
    victims_on,
)
from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_book import (
    EndKind,
    JobBook,
    JobState,
    TaskPhase,
    TaskState,
    WorkerLife,
)
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    TaskKey,
    format_task_name,
    parse_task_name,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_model import HarmTable, Image, TailModel
from almondspan_decisions.worker_book import WorkerRecord, counted_shape
from almondspan_decisions.worker_lease import LeaseTerms, WorkerLease
from almondspan_jobs.clocks import steady_s, wall_ms
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    FactsPush,
    HarmPush,
    LeaseRenewal,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
    TaskFacts,
    WorkerListing,
    WorkerReport,
)
from almondspan_jobs.meters import Meters
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import (
    HARM_KEY,
    HOMES_KEY,
    HarmRecord,
    HomesRecord,
    cancel_key,
    encode_progress,
    encode_record,
    job_key,
    run_key,
)
from almondspan_platform.group_store import Write
from almondspan_platform.task_worker import EndWord, Verdict
from almondspan_wire.codec import Message

__all__ = ["Scheduler", "Snapshot"]

FULL_PERCENT: Final = 100
MIN_OBSERVED: Final = 1_000
"""Tails that a new owner observes before it solves its own model."""

MIN_WEIGHT: Final = 0.02
"""Smaller weights are not sent to agents."""

MAX_START_SENDS: Final = 3
"""After so many unanswered orders an attempt is proved absent instead."""

STALL_ESTIMATE_SHARE: Final = 0.25
"""A task may stand still for this share of its estimate."""

_END_KINDS: Final[Mapping[str, EndKind]] = {
    EndWord.DONE.value: EndKind.DONE,
    EndWord.FAILED.value: EndKind.FAILED,
    EndWord.STOPPED.value: EndKind.INTERRUPTED,
    EndWord.LAPSED.value: EndKind.INTERRUPTED,
    EndWord.BROKEN.value: EndKind.INTERRUPTED,
    EndWord.ALONE.value: EndKind.INTERRUPTED,
}

_NOTHING_DONE: Final = frozenset(
    {
        Verdict.NO_ROOM.value,
        Verdict.TOO_LATE.value,
        Verdict.NO_TICKET.value,
        Verdict.NOT_TAKEN.value,
        Verdict.MALFORMED.value,
    }
)
"""Answers after which a first order has surely not started its attempt."""

_UNKNOWN_QUEUE: Final = 1
"""Failures allowed to a task whose queue the configuration no longer names."""


@dataclass(slots=True)
class Snapshot:
    """A group of records to store, with what they cover."""

    writes: tuple[Write, ...]
    versions: dict[JobId, int]
    states: dict[JobId, JobState]
    assigned: list[tuple[JobId, TaskKey, int]]
    """Attempts whose assignment becomes stored: job, task, attempt."""


@dataclass(slots=True)
class _Progress:
    """Bookkeeping beside a job's book."""

    version: int = 0
    seen_s: float = field(default_factory=steady_s)


class Scheduler:
    """The books of one owner."""

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
        self._preempted_s: dict[WorkerId, float] = {}
        self._model: Final = TailModel()
        self._table = HarmTable({}, {})
        self._solved_s = 0.0
        self._harm_stored_s = steady_s()
        self._observed_s: dict[WorkerLife, float] = {}
        self.wants_plan = False

    # Jobs

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

    # Workers

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

    # Listings

    def on_listing(self, life: WorkerLife, listing: WorkerListing) -> None:
        """Take in what a worker lists, and renew its lease."""
        now_s = steady_s()
        lease = self._lease(life)
        lease.listed_s = now_s
        for end in listing.ended:
            self._on_end(life, lease, end)
        for row in listing.running:
            self._on_running(life, row, now_s, listing.is_paced)
        self._observe_tails(life, listing, now_s)
        grew = lease.renewal(listing.clock_ms, now_s, self._confirmed_s())
        noted = lease.note_stored(self._is_stored)
        if grew or noted:
            self._send_renewal(life, lease)

    def _is_stored(self, job_id: JobId, version: int) -> bool:
        """Tell whether a version of a job is stored, or the job is forgotten."""
        if job_id not in self.jobs:
            return True
        return self._stored_version.get(job_id, 0) >= version

    def _send_renewal(self, life: WorkerLife, lease: WorkerLease) -> None:
        renewal = LeaseRenewal(life.born_ms, lease.until_ms, lease.n_noted)
        self._post(life.worker_id, renewal)

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

    def _on_end(
        self, life: WorkerLife, lease: WorkerLease, row: tuple[int, str, int, str, str]
    ) -> None:
        number, name, attempt, how, checkpoint = row
        if number <= lease.n_seen:
            return
        lease.n_seen = number
        parsed = parse_task_name(name)
        book = self.jobs.get(parsed[0]) if parsed is not None else None
        if (
            parsed is None
            or book is None
            or not self._is_held(book, parsed[1], attempt, life)
        ):
            lease.unnoted.append((number, None, 0))
            self._log.line(
                "end_ignored",
                task=name,
                attempt=attempt,
                how=how,
                worker=life.worker_id,
                reason="the attempt is not assigned to this life",
            )
            return
        self._end(book, parsed[1], _END_KINDS[how], checkpoint, how)
        version = self._progress[book.job_id].version
        lease.unnoted.append((number, book.job_id, version))

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

    def _on_running(
        self,
        life: WorkerLife,
        row: tuple[str, int, str, int, float],
        now_s: float,
        is_paced: bool,
    ) -> None:
        name, attempt, checkpoint, percent, _ = row
        parsed = parse_task_name(name)
        book = self.jobs.get(parsed[0]) if parsed is not None else None
        if (
            parsed is None
            or book is None
            or not self._is_held(book, parsed[1], attempt, life)
        ):
            self._stop_unassigned(life, name, attempt, now_s)
            return
        task = book.task(parsed[1])
        assert task is not None
        if not task.listed_s:
            self._meters.observe_s("start", now_s - task.placed_s)
        task.listed_s = now_s
        if checkpoint:
            task.checkpoint = checkpoint
        is_held = is_paced and book.step_of(parsed[1]).fills
        if percent > task.percent or is_held:
            task.percent = percent
            task.percent_s = now_s

    def _observe_tails(
        self, life: WorkerLife, listing: WorkerListing, now_s: float
    ) -> None:
        """Show the model the tails on a worker with what fills beside them."""
        last_s = self._observed_s.get(life, 0.0)
        if now_s - last_s < self._options.observe_interval_s:
            return
        self._observed_s[life] = now_s
        serving: list[tuple[Image, float]] = []
        filling: dict[Image, float] = {}
        for name, _, _, percent, figure in listing.running:
            parsed = parse_task_name(name)
            book = self.jobs.get(parsed[0]) if parsed is not None else None
            if parsed is None or book is None or book.task(parsed[1]) is None:
                continue
            step = book.step_of(parsed[1])
            image = Image(step.image)
            if step.tail_target_ms and percent == FULL_PERCENT:
                serving.append((image, figure / step.tail_target_ms))
            elif step.fills:
                filling[image] = filling.get(image, 0.0) + figure / 1000
        self._model.observe(serving, filling)

    def _solve_model(self, now_s: float) -> None:
        """Solve the model now and then, and send the weights to the agents."""
        if now_s - self._solved_s < self._options.model_interval_s:
            return
        self._solved_s = now_s
        if self._model.n_observed < MIN_OBSERVED and self._table.weights:
            return
        self._table = self._model.solve()
        push = self.harm_push()
        for worker_id in self.workers:
            self._post(worker_id, push)
        self._log.line(
            "tail_model",
            n_observed=self._model.n_observed,
            weights=push.weights,
            bases={image: round(base, 2) for image, base in self._table.bases.items()},
        )

    def load_harm(self, record: HarmRecord) -> None:
        """Use the weights of an earlier owner until enough was observed."""
        weights = {
            (Image(serving), Image(filling)): weight
            for serving, filling, weight in record.weights
        }
        bases = {Image(image): base for image, base in record.bases.items()}
        self._table = HarmTable(weights, bases)

    def _harm_write(self) -> Write:
        """Return the record of the weights."""
        self._harm_stored_s = steady_s()
        bases = {str(image): base for image, base in self._table.bases.items()}
        record = HarmRecord(self.harm_push().weights, bases)
        return Write(HARM_KEY, encode_record(record))

    def harm_push(self) -> HarmPush:
        """Return the weights that matter."""
        return HarmPush(
            [
                (serving, filling, round(weight, 3))
                for (serving, filling), weight in self._table.weights.items()
                if weight >= MIN_WEIGHT
            ]
        )

    def _stop_unassigned(
        self, life: WorkerLife, name: str, attempt: int, now_s: float
    ) -> None:
        last_s = self._unlisted_stops.get((name, attempt), 0.0)
        if now_s - last_s < self._options.order_repeat_s:
            return
        self._unlisted_stops[(name, attempt)] = now_s
        self._post(life.worker_id, StopOrder(name, attempt))
        self._log.line(
            "unassigned_stopped", task=name, attempt=attempt, worker=life.worker_id
        )

    # Answers

    def on_start_reply(self, worker_id: WorkerId, reply: StartReply) -> None:
        """Take in the answer to a start."""
        life = WorkerLife(worker_id, reply.born_ms)
        parsed = parse_task_name(reply.task)
        book = self.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or book is None:
            return
        key = parsed[1]
        if not book.is_assigned(key, reply.attempt, life):
            return
        task = book.task(key)
        assert task is not None
        if reply.verdict != Verdict.NO_ANSWER.value and task.n_sends == 1:
            orders = self._open_orders.get(worker_id, {})
            orders.pop((reply.task, reply.attempt), None)
        if reply.verdict == Verdict.DONE.value:
            self._meters.observe_s("order", steady_s() - task.sent_s)
            return
        self._log.line(
            "start_refused",
            task=reply.task,
            attempt=reply.attempt,
            worker=worker_id,
            verdict=reply.verdict,
            n_sends=task.n_sends,
        )
        self._meters.count(f"start_{reply.verdict}")
        if reply.verdict in _NOTHING_DONE and task.n_sends == 1:
            task.avoid(worker_id)
            self._release(book.job_id, key, reply.verdict)
        elif reply.verdict == Verdict.NO_ANSWER.value and not task.listed_s:
            task.sent_s = 0.0
            task.is_voiding = task.n_sends >= MAX_START_SENDS
        elif reply.verdict != Verdict.FENCED.value and not task.listed_s:
            task.is_voiding = True

    def on_stop_reply(self, reply: StopReply) -> None:
        """Release an attempt that was proved absent."""
        parsed = parse_task_name(reply.task)
        book = self.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or book is None:
            return
        task = book.task(parsed[1])
        if task is None or task.n_attempts != reply.attempt or not task.is_voiding:
            return
        if task.phase is TaskPhase.PLACED:
            self._release(book.job_id, parsed[1], "absent")

    # Planning

    def plan(self) -> None:
        """Assign waiting tasks to workers with room."""
        self.wants_plan = False
        now_s = steady_s()
        order = sorted(self._hungry, key=self._urgency)
        n_jobs_placed = 0
        for job_id in order:
            n_jobs_placed += self._plan_job(self.jobs[job_id], now_s)
        if n_jobs_placed:
            self._meters.count("jobs_planned", n_jobs_placed)

    def _urgency(self, job_id: JobId) -> tuple[int, int]:
        book = self.jobs[job_id]
        rules = self.rules.get(book.spec.queue)
        priority = rules.priority if rules is not None else 99
        return priority, book.spec.accepted_ms

    def _plan_job(self, book: JobBook, now_s: float) -> bool:
        rules = self.rules.get(book.spec.queue)
        if rules is None:
            return False
        workers = [
            worker
            for worker in self.workers.values()
            if worker.service == rules.service and self._is_heard(worker, now_s)
        ]
        placed = False
        for occurrence, step in tuple(book.ready_steps()):
            for key in book.waiting(occurrence, step):
                worker = choose_worker(book, key, workers, self._table, now_s)
                if worker is None:
                    self._preempt(book, key, rules, workers, now_s)
                    break
                self._place(book, key, worker, now_s)
                placed = True
        if placed:
            self._touch(book)
        return placed

    def _is_heard(self, worker: WorkerRecord, now_s: float) -> bool:
        lease = self._lease(worker.life)
        return now_s - lease.listed_s < self._options.absent_s

    def _place(
        self, book: JobBook, key: TaskKey, worker: WorkerRecord, now_s: float
    ) -> None:
        task = book.place(key, worker.life, now_s)
        worker.take(book.step_of(key))
        held = self._on_life.setdefault(worker.life, set())
        held.add((book.job_id, key))
        self._lease(worker.life)
        self._log.line(
            "task_placed",
            task=format_task_name(book.job_id, key),
            attempt=task.n_attempts,
            worker=worker.life.worker_id,
            born=worker.life.born_ms,
            free_cpu=worker.free.cpu_millicores,
            free_memory=worker.free.memory_mb,
            fill_cpu=worker.fill_millicores,
            checkpoint=task.checkpoint,
            waited_ms=int((now_s - self._progress[book.job_id].seen_s) * 1000),
        )

    def _preempt(
        self,
        book: JobBook,
        key: TaskKey,
        rules: QueueRules,
        workers: list[WorkerRecord],
        now_s: float,
    ) -> None:
        """Stop less urgent tasks so that a task finds room once they have ended."""
        step = book.step_of(key)
        best: list[Candidate] = []
        best_worker: WorkerRecord | None = None
        for worker in workers:
            last_s = self._preempted_s.get(worker.life.worker_id, 0.0)
            if now_s - last_s < self._options.order_repeat_s or worker.is_leaving:
                continue
            if not may_ever_run(step, worker):
                continue
            chosen = victims_on(
                step, worker, list(self._candidates(worker, rules.priority))
            )
            if chosen and (not best or _loss_s(chosen) < _loss_s(best)):
                best, best_worker = chosen, worker
        if best_worker is None:
            return
        self._preempted_s[best_worker.life.worker_id] = now_s
        for victim in best:
            task = self.jobs[victim.job_id].task(victim.key)
            assert task is not None
            task.is_stopping = True
            task.sent_s = 0.0
            self._log.line(
                "task_preempted",
                task=format_task_name(victim.job_id, victim.key),
                worker=best_worker.life.worker_id,
                by=format_task_name(book.job_id, key),
                loss_s=round(victim.loss_s, 2),
            )

    def _candidates(self, worker: WorkerRecord, priority: int) -> Iterator[Candidate]:
        for job_id, key in self._on_life.get(worker.life, ()):
            book = self.jobs[job_id]
            rules = self.rules.get(book.spec.queue)
            task = book.task(key)
            assert task is not None
            if rules is None or rules.priority <= priority or task.is_stopping:
                continue
            step = book.step_of(key)
            if step.lasts:
                continue
            worked_s = 0.0 if step.saves_progress else steady_s() - task.placed_s
            loss_s = (worked_s + 0.1) * step.shape.cpu_millicores / 1000
            yield Candidate(job_id, key, counted_shape(step), loss_s)

    # Storing

    @property
    def is_dirty(self) -> bool:
        """Tell whether a decision waits to be stored."""
        return bool(self._dirty)

    def _homes_write(self) -> Write:
        """Return the record of homes, which is clean from now on."""
        self._are_homes_dirty = False
        homes: dict[str, list[tuple[str, int]]] = {}
        for life, node in self._homes.items():
            homes.setdefault(node, []).append((life.worker_id, life.born_ms))
        return Write(HOMES_KEY, encode_record(HomesRecord(homes)))

    def snapshot(self) -> Snapshot:
        """Return the records of some dirty jobs, which are clean from now on."""
        chosen = list(self._dirty)[: self._options.max_jobs_per_commit]
        result = Snapshot((), {}, {}, [])
        writes = [self._homes_write()] if self._are_homes_dirty else []
        if steady_s() - self._harm_stored_s > self._options.harm_interval_s:
            writes.append(self._harm_write())
        for job_id in chosen:
            del self._dirty[job_id]
            book = self.jobs[job_id]
            writes.append(Write(run_key(job_id), encode_progress(book)))
            result.versions[job_id] = self._progress[job_id].version
            result.states[job_id] = book.state
            result.assigned += [
                (job_id, key, task.n_attempts)
                for key, task in book.placed()
                if not task.is_stored
            ]
        result.writes = tuple(writes)
        return result

    def on_stored(self, stored: Snapshot) -> None:
        """Let the orders leave that a stored group allows."""
        self._stored_version.update(stored.versions)
        self.shown.update(stored.states)
        now_s = steady_s()
        for job_id, key, attempt in stored.assigned:
            book = self.jobs.get(job_id)
            task = book.task(key) if book is not None else None
            if book is None or task is None or task.phase is not TaskPhase.PLACED:
                continue
            if task.n_attempts == attempt:
                task.is_stored = True
                self._order(book, key, task, now_s)
        for life, lease in self._leases.items():
            if lease.unnoted and lease.note_stored(self._is_stored):
                self._send_renewal(life, lease)

    # Orders

    def _order(
        self, book: JobBook, key: TaskKey, task: TaskState, now_s: float
    ) -> None:
        """Send what one placed task needs now."""
        life = task.life
        assert life is not None
        is_unwanted = task.is_stopping or not book.is_active
        if is_unwanted and task.n_sends == 0:
            self._release(book.job_id, key, "never_sent")
            return
        if now_s - task.sent_s < self._options.order_repeat_s:
            return
        if task.is_voiding or is_unwanted:
            self._send_stop(book, key, task, now_s)
        elif not task.listed_s and task.n_sends < MAX_START_SENDS:
            self._send_start(book, key, task, life, now_s)

    def _send_stop(
        self, book: JobBook, key: TaskKey, task: TaskState, now_s: float
    ) -> None:
        assert task.life is not None
        name = format_task_name(book.job_id, key)
        is_void = task.is_voiding
        if self._post(
            task.life.worker_id, StopOrder(name, task.n_attempts, is_void=is_void)
        ):
            task.sent_s = now_s
            self._log.line(
                "stop_sent",
                task=name,
                attempt=task.n_attempts,
                worker=task.life.worker_id,
                void=is_void,
                job_state=book.state.value,
            )

    def _send_start(
        self,
        book: JobBook,
        key: TaskKey,
        task: TaskState,
        life: WorkerLife,
        now_s: float,
    ) -> None:
        record = self.workers.get(life.worker_id)
        if record is None or record.life != life or record.is_leaving:
            if task.n_sends == 0:
                self._release(book.job_id, key, "worker_unfit")
            else:
                task.is_voiding = True
            return
        order = StartOrder(
            life.born_ms,
            task.n_attempts,
            book.spec.payload,
            task.checkpoint,
            self._lease(life).until_ms,
            self._facts(book, key),
        )
        if self._post(life.worker_id, order):
            task.n_sends += 1
            task.sent_s = now_s
            orders = self._open_orders.setdefault(life.worker_id, {})
            orders[(order.facts.task, task.n_attempts)] = now_s

    def _facts(self, book: JobBook, key: TaskKey) -> TaskFacts:
        step = book.step_of(key)
        name = format_task_name(book.job_id, key)
        return TaskFacts(
            name,
            step.image,
            step.tail_target_ms,
            step.fills,
            step.shape.cpu_millicores,
        )

    def facts_for(self, worker_id: WorkerId) -> FactsPush:
        """Return the facts of the tasks assigned to a worker."""
        record = self.workers.get(worker_id)
        held = self._on_life.get(record.life, set()) if record is not None else set()
        return FactsPush([self._facts(self.jobs[job_id], key) for job_id, key in held])

    # Time

    def tick(self) -> None:
        """Do what is due by time."""
        now_s = steady_s()
        for life, gone_s in tuple(self._gone_s.items()):
            if now_s >= gone_s:
                del self._gone_s[life]
                self._empty(life, "worker_left")
                self._forget_worker(life)
        for life, lease in tuple(self._leases.items()):
            self._tick_life(life, lease, now_s)
        self._open_due_rounds()
        self._solve_model(now_s)
        for orders in self._open_orders.values():
            for name, sent_s in tuple(orders.items()):
                if now_s - sent_s > self._options.late_order_s:
                    del orders[name]
        self._unlisted_stops = {
            name: sent_s
            for name, sent_s in self._unlisted_stops.items()
            if now_s - sent_s < self._options.order_repeat_s
        }
        if self._hungry:
            self.wants_plan = True

    def _tick_life(self, life: WorkerLife, lease: WorkerLease, now_s: float) -> None:
        if now_s > lease.sure_empty_s:
            self._empty(life, "lease_passed")
            self._forget_worker(life)
            return
        is_fresh = now_s - lease.listed_s < self._options.absent_s
        record = self.workers.get(life.worker_id)
        for job_id, key in tuple(self._on_life.get(life, ())):
            book = self.jobs[job_id]
            task = book.task(key)
            assert task is not None
            if not task.is_stored:
                continue
            if record is not None and record.is_leaving:
                self._leave(book, key, task, record, now_s)
            if is_fresh:
                self._watch(book, key, task, now_s)
            self._order(book, key, task, now_s)

    def _leave(
        self,
        book: JobBook,
        key: TaskKey,
        task: TaskState,
        record: WorkerRecord,
        now_s: float,
    ) -> None:
        """Stop a task on a leaving worker unless it may end there in time."""
        step = book.step_of(key)
        if task.is_stopping:
            return
        done_s = (now_s - task.placed_s) if not step.saves_progress else 0.0
        left_ms = step.estimate_ms - done_s * 1000
        if step.lasts or left_ms > record.leaves_ms:
            task.is_stopping = True
            task.sent_s = 0.0
            self._log.line(
                "task_moved_off",
                task=format_task_name(book.job_id, key),
                worker=record.life.worker_id,
                left_ms=int(left_ms),
                leaves_ms=record.leaves_ms,
            )

    def _watch(
        self, book: JobBook, key: TaskKey, task: TaskState, now_s: float
    ) -> None:
        """Find attempts that their worker does not list, and ones that stand still."""
        seen_s = max(task.listed_s, task.placed_s)
        if task.n_sends and not task.is_voiding:
            task.is_voiding = now_s - seen_s > self._options.absent_s
        step = book.step_of(key)
        if step.lasts or task.is_stopping or not task.listed_s:
            return
        limit_s = self._options.fill_stall_s if step.fills else self._options.stall_s
        limit_s = max(limit_s, step.estimate_ms / 1000 * STALL_ESTIMATE_SHARE)
        if now_s - task.percent_s <= limit_s:
            return
        assert task.life is not None
        task.is_stopping = True
        task.sent_s = 0.0
        task.avoid(task.life.worker_id)
        self._log.line(
            "task_stalled",
            task=format_task_name(book.job_id, key),
            worker=task.life.worker_id,
            percent=task.percent,
            still_s=round(now_s - task.percent_s, 2),
        )
        record = self.workers.get(task.life.worker_id)
        if record is not None and record.note_failure(book.job_id, now_s):
            self._log.line("worker_rested", worker=task.life.worker_id, why="stalls")

    def _open_due_rounds(self) -> None:
        now_ms = wall_ms()
        for book in self.jobs.values():
            if len(book.rounds) < book.spec.n_rounds and book.is_active:
                if book.open_rounds(now_ms):
                    self._touch(book)

    def forget_finished(self) -> tuple[str, ...]:
        """Drop jobs that ended long ago; return the keys to remove."""
        limit_ms = wall_ms() - int(self._options.finished_retention_s * 1000)
        old = [
            book.job_id
            for book in self.jobs.values()
            if book.finished_ms and book.finished_ms < limit_ms and not book.n_placed
        ][: self._options.max_jobs_per_commit // 2]
        for job_id in old:
            del self.jobs[job_id], self.shown[job_id], self._progress[job_id]
            self._stored_version.pop(job_id, None)
            self._dirty.pop(job_id, None)
        return tuple(
            key
            for job_id in old
            for key in (job_key(job_id), cancel_key(job_id), run_key(job_id))
        )


def _loss_s(chosen: list[Candidate]) -> float:
    return sum(candidate.loss_s for candidate in chosen)
