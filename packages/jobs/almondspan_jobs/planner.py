"""Assigns waiting tasks to workers: most urgent queue first, oldest job first.

For a task without room see `RoomMaker`.
"""

from almondspan_decisions.fill_placing import n_harmed_by_start, note_start
from almondspan_decisions.graph_placing import choose_worker
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_book import JobBook, TaskState
from almondspan_decisions.job_graph import StepSpec, TaskKey, format_task_name
from almondspan_decisions.worker_book import WorkerRecord
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.room_maker import RoomMaker

__all__ = ["Planner"]


class Planner(RoomMaker):
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
                    self._make_room(book, key, rules, workers, now_s)
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
