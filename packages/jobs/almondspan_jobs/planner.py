"""Assigns waiting tasks to workers: most urgent queue first, oldest job first.

For a task that fits on no worker, `Preemptor` frees capacity.
"""

from typing import Final

from almondspan_decisions.best_effort_placement import n_affected_by_start
from almondspan_decisions.graph_placement import choose_worker
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import JobProgress, TaskState
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.assignments import Assignments
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.interference_monitor import InterferenceMonitor
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.preemptor import Preemptor

__all__ = ["Planner"]


class Planner:
    """Assigns waiting tasks to workers."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        assignments: Assignments,
        interference: InterferenceMonitor,
        preemptor: Preemptor,
        options: JobOptions,
        metrics: Metrics,
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._assignments: Final = assignments
        self._interference: Final = interference
        self._preemptor: Final = preemptor
        self._options: Final = options
        self._metrics: Final = metrics

    def plan(self) -> None:
        """Assign waiting tasks to workers with enough free capacity."""
        self._table.needs_planning = False
        now_s = steady_s()
        order = sorted(self._table.placeable, key=self._plan_order)
        n_jobs_placed = 0
        for job_id in order:
            n_jobs_placed += self._plan_job(self._table[job_id], now_s)
        if n_jobs_placed:
            self._metrics.count("jobs_planned", n_jobs_placed)

    def _plan_order(self, job_id: JobId) -> tuple[int, int]:
        job = self._table[job_id]
        return self._table.priority(job), job.spec.accepted_ms

    def _plan_job(self, job: JobProgress, now_s: float) -> bool:
        rules = self._table.rules_of(job)
        if rules is None:
            return False
        workers = self._fleet.placeable_workers(rules.service, now_s)
        weights = self._interference.weights
        placed = False
        for occurrence, step in tuple(job.ready_steps()):
            for key in job.waiting(occurrence, step):
                worker = choose_worker(job, key, workers, weights, now_s)
                if worker is None:
                    self._preemptor.free_capacity_for(job, key, rules, workers, now_s)
                    break
                task = job.task(key)
                assert task is not None
                if self._should_wait(task, job.step_of(key), worker, now_s):
                    break
                self._assignments.place(job, key, worker, weights, now_s)
                placed = True
        if placed:
            self._table.mark_dirty(job)
        return placed

    def _should_wait(
        self, task: TaskState, step: StepSpec, worker: WorkerRecord, now_s: float
    ) -> bool:
        """Return whether a best-effort task waits to avoid slowing serving tasks."""
        weights = self._interference.weights
        if not step.fills or not n_affected_by_start(step, worker, weights):
            return False
        task.held_s = task.held_s or now_s
        return now_s - task.held_s < self._options.best_effort_wait_s
