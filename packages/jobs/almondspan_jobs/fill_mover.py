"""Moves tasks that fill to workers where they would run much faster.

A task that saves its progress loses next to nothing when it is stopped, so one that
its neighbours slow down goes on elsewhere. Few move at a time, and none soon after it
was placed, so that what the moves change is seen before the next ones.
"""

from collections import Counter
from typing import Final

from almondspan_decisions.fill_placing import fill_speed, n_harmed_by_start
from almondspan_decisions.graph_placing import may_run
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_book import JobBook, TaskState
from almondspan_decisions.job_graph import StepSpec, TaskKey, format_task_name
from almondspan_decisions.worker_book import WorkerRecord
from almondspan_jobs.planner import Planner

__all__ = ["FillMover"]

MOVE_INTERVAL_S: Final = 0.6
MAX_MOVES: Final = 4
"""Moves that are begun at the same time."""
MIN_STAY_S: Final = 1.5
MIN_SPEED_RATIO: Final = 1.7
MIN_GAIN_S: Final = 1.0
"""A move must bring the end of its task forward by this."""
RESTART_S: Final = 0.6
"""What a stop and a new start take."""


class FillMover(Planner):
    """The books with the moves of tasks that fill."""

    def _move_slow_fills(self, now_s: float) -> None:
        """Stop a few tasks that fill which would end much sooner elsewhere."""
        if now_s - self._moved_s < MOVE_INTERVAL_S:
            return
        self._moved_s = now_s
        added: Counter[WorkerId] = Counter()
        for life, held in self._on_life.items():
            here = self.workers.get(life.worker_id)
            if here is None or here.life != life or here.is_leaving:
                continue
            for job_id, key in tuple(held):
                book = self.jobs[job_id]
                if self._move_if_slow(book, key, here, added, now_s):
                    if added.total() >= MAX_MOVES:
                        return

    def _move_if_slow(
        self,
        book: JobBook,
        key: TaskKey,
        here: WorkerRecord,
        added: Counter[WorkerId],
        now_s: float,
    ) -> bool:
        step, task = book.step_of(key), book.task(key)
        assert task is not None
        if not step.fills or not _is_movable(step, task, now_s):
            return False
        speed = fill_speed(step, here, self._table, n_added=0)
        left_s = step.estimate_ms / 1000 * (1 - task.percent / 100)
        best = self._fastest(book, key, here, added, now_s)
        if best is None:
            return False
        there = fill_speed(step, best, self._table, 1 + added[best.life.worker_id])
        gain_s = left_s / speed - left_s / there - RESTART_S
        if there < MIN_SPEED_RATIO * speed or gain_s < MIN_GAIN_S:
            return False
        added[best.life.worker_id] += 1
        task.ask_stop()
        self._log.line(
            "task_moved",
            task=format_task_name(book.job_id, key),
            worker=here.life.worker_id,
            to=best.life.worker_id,
            speed=round(speed, 2),
            speed_there=round(there, 2),
            percent=task.percent,
        )
        return True

    def _fastest(
        self,
        book: JobBook,
        key: TaskKey,
        here: WorkerRecord,
        added: Counter[WorkerId],
        now_s: float,
    ) -> WorkerRecord | None:
        """Return the worker where a task would run fastest, without harm."""
        step = book.step_of(key)
        rules = self.rules.get(book.spec.queue)
        found = [
            worker
            for worker in self.workers.values()
            if worker is not here
            and rules is not None
            and worker.service == rules.service
            and not worker.is_rested(now_s)
            and self._is_heard(worker, now_s)
            and may_run(book, key, step, worker)
            and not n_harmed_by_start(step, worker, self._table)
        ]
        return max(
            found,
            key=lambda worker: fill_speed(
                step, worker, self._table, 1 + added[worker.life.worker_id]
            ),
            default=None,
        )


def _is_movable(step: StepSpec, task: TaskState, now_s: float) -> bool:
    return (
        step.saves_progress
        and bool(task.listed_s)
        and not task.is_stopping
        and not task.is_voiding
        and now_s - task.placed_s > MIN_STAY_S
    )
