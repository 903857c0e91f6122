"""Assigns waiting tasks to workers: most urgent queue first, oldest job first.

A task without room may have tasks of less urgent queues stopped; it is placed once
their ends are listed.
"""

from collections.abc import Iterator

from almondspan_decisions.fill_placing import n_harmed_by_start, note_start
from almondspan_decisions.graph_placing import (
    Candidate,
    choose_worker,
    may_ever_run,
    victims_on,
)
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_book import JobBook, TaskState
from almondspan_decisions.job_graph import (
    QueueRules,
    StepSpec,
    TaskKey,
    format_task_name,
)
from almondspan_decisions.worker_book import WorkerRecord, counted_shape
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.order_desk import OrderDesk

__all__ = ["Planner"]


class Planner(OrderDesk):
    """The books with the choice of workers."""

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
                task = book.task(key)
                assert task is not None
                if self._should_wait(task, book.step_of(key), worker, now_s):
                    break
                self._place(book, key, worker, now_s)
                placed = True
        if placed:
            self._touch(book)
        return placed

    def _should_wait(
        self, task: TaskState, step: StepSpec, worker: WorkerRecord, now_s: float
    ) -> bool:
        """Tell whether a task that fills waits for a start that harms nobody."""
        if not step.fills or not n_harmed_by_start(step, worker, self._table):
            return False
        task.held_s = task.held_s or now_s
        return now_s - task.held_s < self._options.fill_wait_s

    def _is_heard(self, worker: WorkerRecord, now_s: float) -> bool:
        lease = self._lease(worker.life)
        return now_s - lease.listed_s < self._options.absent_s

    def _place(
        self, book: JobBook, key: TaskKey, worker: WorkerRecord, now_s: float
    ) -> None:
        task = book.place(key, worker.life, now_s)
        step = book.step_of(key)
        worker.take(step)
        n_harmed = 0
        if step.fills:
            n_harmed = n_harmed_by_start(step, worker, self._table)
            note_start(step, worker, self._table)
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
            n_harmed=n_harmed,
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
            task.ask_stop()
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


def _loss_s(chosen: list[Candidate]) -> float:
    return sum(candidate.loss_s for candidate in chosen)
