"""Moves best-effort tasks to workers where they would run much faster.

A task that saves its progress loses almost no work when it is stopped, so one that is
slowed down by other tasks continues on another worker. Few tasks move at a time, and
none shortly after it was placed, so that the effect of a move is observed before the
next one.
"""

from collections import Counter
from typing import Final

from almondspan_decisions.eligibility import may_run
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_graph import StepSpec, TaskKey, format_task_name
from almondspan_decisions.job_progress import JobProgress, TaskState
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.interference_monitor import InterferenceMonitor
from almondspan_jobs.job_table import JobTable

__all__ = ["BestEffortMover"]

MOVE_INTERVAL_S: Final = 0.6
MAX_MOVES: Final = 4
"""Moves that one scan may start."""
MIN_STAY_S: Final = 1.5
MIN_SPEED_RATIO: Final = 1.7
MIN_GAIN_S: Final = 1.0
"""A move must let its task end at least this much earlier."""
RESTART_S: Final = 0.6
"""Time that a stop and a new start take."""


class BestEffortMover:
    """Moves best-effort tasks that are slowed down where they run."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        interference: InterferenceMonitor,
        log: EventLog,
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._interference: Final = interference
        self._log: Final = log
        self._scanned_s = 0.0

    def tick(self, now_s: float) -> None:
        """Stop a few best-effort tasks that would end much earlier elsewhere."""
        if now_s - self._scanned_s < MOVE_INTERVAL_S:
            return
        self._scanned_s = now_s
        added: Counter[WorkerId] = Counter()
        for incarnation in tuple(self._fleet.held):
            source = self._fleet.record_of(incarnation)
            if source is None or source.is_leaving:
                continue
            for job_id, key in self._fleet.held_by(incarnation):
                job = self._table[job_id]
                if self._move_if_slow(job, key, source, added, now_s):
                    if added.total() >= MAX_MOVES:
                        return

    def _move_if_slow(
        self,
        job: JobProgress,
        key: TaskKey,
        source: WorkerRecord,
        added: Counter[WorkerId],
        now_s: float,
    ) -> bool:
        step, task = job.step_of(key), job.task(key)
        assert task is not None
        if not step.fills or not _is_movable(step, task, now_s):
            return False
        speed = self._interference.scores.speed(step, source, n_added=0)
        left_s = step.estimate_ms / 1000 * (1 - task.percent / 100)
        if not _is_worth_moving(left_s, speed, target_speed=1.0):
            return False
        best = self._fastest_worker(job, key, source, added, now_s)
        if best is None:
            return False
        target_speed = self._interference.scores.speed(
            step, best, 1 + added[best.incarnation.worker_id]
        )
        if not _is_worth_moving(left_s, speed, target_speed):
            return False
        added[best.incarnation.worker_id] += 1
        task.request_stop()
        self._log.line(
            "task_moved",
            task=format_task_name(job.job_id, key),
            worker=source.incarnation.worker_id,
            to=best.incarnation.worker_id,
            speed=round(speed, 2),
            speed_there=round(target_speed, 2),
            percent=task.percent,
        )
        return True

    def _fastest_worker(
        self,
        job: JobProgress,
        key: TaskKey,
        source: WorkerRecord,
        added: Counter[WorkerId],
        now_s: float,
    ) -> WorkerRecord | None:
        """Return the worker where a task runs fastest without slowing serving tasks."""
        step = job.step_of(key)
        rules = self._table.rules_of(job)
        if rules is None:
            return None
        scores = self._interference.scores
        found = [
            worker
            for worker in self._fleet.placeable_workers(rules.service, now_s)
            if worker is not source
            and not worker.is_rested(now_s)
            and may_run(job, key, step, worker)
            and not scores.n_affected_by_start(step, worker)
        ]
        return max(
            found,
            key=lambda worker: scores.speed(
                step, worker, 1 + added[worker.incarnation.worker_id]
            ),
            default=None,
        )


def _is_worth_moving(left_s: float, speed: float, target_speed: float) -> bool:
    gain_s = left_s / speed - left_s / target_speed - RESTART_S
    return target_speed >= MIN_SPEED_RATIO * speed and gain_s >= MIN_GAIN_S


def _is_movable(step: StepSpec, task: TaskState, now_s: float) -> bool:
    return (
        step.saves_progress
        and bool(task.listed_s)
        and not task.is_stopping
        and not task.is_revoking
        and now_s - task.placed_s > MIN_STAY_S
    )
