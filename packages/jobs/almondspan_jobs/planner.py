"""Assigns waiting tasks to workers: most urgent queue first, oldest job first.

For a task that fits on no worker, `Preemptor` frees capacity.
"""

from almondspan_decisions.best_effort_placement import (
    deduct_start_interference,
    n_affected_by_start,
)
from almondspan_decisions.graph_placement import choose_worker
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import StepSpec, TaskKey, format_task_name
from almondspan_decisions.job_progress import JobProgress, TaskState
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.preemptor import Preemptor

__all__ = ["Planner"]


class Planner(Preemptor):
    """The owner's state with the assignment of tasks to workers."""

    def plan(self) -> None:
        """Assign waiting tasks to workers with enough free capacity."""
        self.needs_planning = False
        now_s = steady_s()
        order = sorted(self._placeable, key=self._plan_order)
        n_jobs_placed = 0
        for job_id in order:
            n_jobs_placed += self._plan_job(self.jobs[job_id], now_s)
        if n_jobs_placed:
            self._metrics.count("jobs_planned", n_jobs_placed)

    def _plan_order(self, job_id: JobId) -> tuple[int, int]:
        job = self.jobs[job_id]
        rules = self.rules.get(job.spec.queue)
        priority = rules.priority if rules is not None else 99
        return priority, job.spec.accepted_ms

    def _plan_job(self, job: JobProgress, now_s: float) -> bool:
        rules = self.rules.get(job.spec.queue)
        if rules is None:
            return False
        workers = [
            worker
            for worker in self.workers.values()
            if worker.service == rules.service
            and self._has_recent_listing(worker, now_s)
        ]
        placed = False
        for occurrence, step in tuple(job.ready_steps()):
            for key in job.waiting(occurrence, step):
                worker = choose_worker(job, key, workers, self._interference, now_s)
                if worker is None:
                    self._free_capacity_for(job, key, rules, workers, now_s)
                    break
                task = job.task(key)
                assert task is not None
                if self._should_wait(task, job.step_of(key), worker, now_s):
                    break
                self._place(job, key, worker, now_s)
                placed = True
        if placed:
            self._mark_dirty(job)
        return placed

    def _should_wait(
        self, task: TaskState, step: StepSpec, worker: WorkerRecord, now_s: float
    ) -> bool:
        """Return whether a best-effort task waits to avoid slowing serving tasks."""
        if not step.fills or not n_affected_by_start(step, worker, self._interference):
            return False
        task.held_s = task.held_s or now_s
        return now_s - task.held_s < self._options.best_effort_wait_s

    def _has_recent_listing(self, worker: WorkerRecord, now_s: float) -> bool:
        lease = self._lease(worker.incarnation)
        return now_s - lease.listed_s < self._options.listing_timeout_s

    def _place(
        self, job: JobProgress, key: TaskKey, worker: WorkerRecord, now_s: float
    ) -> None:
        task = job.place(key, worker.incarnation, now_s)
        step = job.step_of(key)
        worker.allocate(step)
        n_affected = 0
        if step.fills:
            n_affected = n_affected_by_start(step, worker, self._interference)
            deduct_start_interference(step, worker, self._interference)
        held = self._tasks_by_incarnation.setdefault(worker.incarnation, set())
        held.add((job.job_id, key))
        self._lease(worker.incarnation)
        self._log.line(
            "task_placed",
            task=format_task_name(job.job_id, key),
            attempt=task.n_attempts,
            worker=worker.incarnation.worker_id,
            born=worker.incarnation.started_ms,
            free_cpu=worker.free.cpu_millicores,
            free_memory=worker.free.memory_mb,
            fill_cpu=worker.best_effort_millicores,
            n_harmed=n_affected,
            checkpoint=task.checkpoint,
            waited_ms=int((now_s - self._tracking[job.job_id].seen_s) * 1000),
        )
