"""Passes the ends and the progress of tasks to `TaskTimes`.

Only queues with an objective are observed. The run time of an attempt counts from the
worker's answer to its start command. An attempt that may have continued from a
checkpoint counts from its first listing, with the progress that it had then.
"""

import math
from typing import Final

from almondspan_decisions.job_graph import TaskKey
from almondspan_decisions.job_progress import JobProgress
from almondspan_decisions.task_times import TaskTimes, timed_step
from almondspan_jobs.job_table import JobTable

__all__ = ["RunTimeMonitor"]

FULL_PERCENT: Final = 100
STEP_PERCENT: Final = 10
MAX_FIRST_PERCENT: Final = 70
"""An attempt that was first listed later tells too little about its run time."""


class RunTimeMonitor:
    """Observes the run times of tasks."""

    def __init__(self, table: JobTable, times: TaskTimes) -> None:
        self._table: Final = table
        self._times: Final = times

    def on_done(self, job: JobProgress, key: TaskKey, now_s: float) -> None:
        """Record the run time of an attempt that has completed its task."""
        task, step = job.task(key), timed_step(job.job_id, job.spec, key.step)
        assert task is not None
        if not self._is_observed(job, key):
            return
        run_s, share = now_s - task.started_s, 1.0
        if not math.isfinite(run_s) or (task.checkpoint and task.n_attempts > 1):
            if not task.listed_s or task.first_percent > MAX_FIRST_PERCENT:
                return
            run_s = task.ran_s + now_s - task.listed_s
            share = 1.0 - task.first_percent / FULL_PERCENT
        self._times.observe(
            job.spec.queue, step, run_s, share * step.declared_s, key.position
        )

    def on_progress(self, job: JobProgress, key: TaskKey, before: int) -> None:
        """Record the progress of a listed attempt after each `STEP_PERCENT` of it."""
        task = job.task(key)
        assert task is not None
        has_grown = task.percent // STEP_PERCENT != before // STEP_PERCENT
        if has_grown and self._is_observed(job, key):
            self._times.observe_progress(
                job.spec.queue,
                timed_step(job.job_id, job.spec, key.step),
                key.position,
                task.ran_s,
                task.percent - task.first_percent,
            )

    def _is_observed(self, job: JobProgress, key: TaskKey) -> bool:
        rules = self._table.rules_of(job)
        if rules is None or job.step_of(key).lasts:
            return False
        return rules.stretch > 0 and rules.target_ms > 0
