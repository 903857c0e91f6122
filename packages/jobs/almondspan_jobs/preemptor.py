"""Frees capacity for a waiting task that fits on no worker.

1. If stopping tasks will free enough capacity, wait for them.
2. Otherwise stop tasks of less urgent queues, with the least loss of unsaved work.
3. For a lasting task, otherwise move one lasting task that fits elsewhere now and whose
   worker can run the waiting task without it. This resolves fragmented free capacity
   and limits on the tasks of one step per worker.

The waiting task is placed once the ends of the stopped tasks are listed.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.eligibility import (
    Candidate,
    is_eligible,
    may_run,
    victims_on,
)
from almondspan_decisions.job_graph import QueueRules, TaskKey, format_task_name
from almondspan_decisions.job_progress import JobProgress
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_decisions.worker_record import WorkerRecord, counted_shape
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable

__all__ = ["Preemptor"]

MOVE_INTERVAL_S: Final = 1.0
MIN_STAY_S: Final = 5.0
"""Least time from the placement of a lasting task to its move."""
READY_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class _Move:
    """A task that could move to another worker, and the capacity that it would free."""

    job: JobProgress
    key: TaskKey
    worker: WorkerRecord
    to: WorkerRecord
    shape: Shape


class Preemptor:
    """Stops or moves tasks so that others fit."""

    def __init__(self, table: JobTable, fleet: Fleet, log: EventLog) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._log: Final = log
        self._moved_s = 0.0
        """When a lasting task was last moved."""

    def free_capacity_for(
        self,
        job: JobProgress,
        key: TaskKey,
        rules: QueueRules,
        workers: Sequence[WorkerRecord],
        now_s: float,
    ) -> None:
        """Stop tasks so that a waiting task fits once they have ended."""
        step = job.step_of(key)
        eligible = [worker for worker in workers if is_eligible(job, key, step, worker)]
        wanted = counted_shape(step)
        if any(
            wanted.fits_in(worker.free + self._capacity_being_freed(worker))
            for worker in eligible
        ):
            return
        if not self._preempt(job, key, rules, eligible, now_s) and step.lasts:
            self._move_lasting_task(job, key, eligible, workers, now_s)

    def _capacity_being_freed(self, worker: WorkerRecord) -> Shape:
        """Return the capacity that the stopping tasks of a worker will free."""
        freed = EMPTY_SHAPE
        for job_id, key in self._fleet.held_by(worker.incarnation):
            job = self._table[job_id]
            task = job.task(key)
            if task is not None and (task.is_stopping or not job.is_active):
                freed = freed + counted_shape(job.step_of(key))
        return freed

    def _preempt(
        self,
        job: JobProgress,
        key: TaskKey,
        rules: QueueRules,
        workers: Sequence[WorkerRecord],
        now_s: float,
    ) -> bool:
        """Stop less urgent tasks on one worker; False if that can't free enough."""
        step = job.step_of(key)
        best: list[Candidate] = []
        best_worker: WorkerRecord | None = None
        for worker in workers:
            candidates = list(self._candidates(worker, rules.priority, now_s))
            chosen = victims_on(step, worker, candidates)
            if chosen and (not best or _loss_s(chosen) < _loss_s(best)):
                best, best_worker = chosen, worker
        if best_worker is None:
            return False
        for victim in best:
            task = self._table[victim.job_id].task(victim.key)
            assert task is not None
            task.request_stop()
            self._log.line(
                "task_preempted",
                task=format_task_name(victim.job_id, victim.key),
                worker=best_worker.incarnation.worker_id,
                by=format_task_name(job.job_id, key),
                loss_s=round(victim.loss_s, 2),
            )
        return True

    def _candidates(
        self, worker: WorkerRecord, priority: int, now_s: float
    ) -> Iterator[Candidate]:
        for job_id, key in self._fleet.held_by(worker.incarnation):
            job = self._table[job_id]
            rules = self._table.rules_of(job)
            task = job.task(key)
            assert task is not None
            if rules is None or rules.priority <= priority or task.is_stopping:
                continue
            step = job.step_of(key)
            if step.lasts:
                continue
            worked_s = 0.0 if step.saves_progress else now_s - task.placed_s
            loss_s = (worked_s + 0.1) * step.shape.cpu_millicores / 1000
            yield Candidate(job_id, key, counted_shape(step), loss_s)

    def _move_lasting_task(
        self,
        job: JobProgress,
        key: TaskKey,
        eligible: Sequence[WorkerRecord],
        workers: Sequence[WorkerRecord],
        now_s: float,
    ) -> None:
        """Move the smallest task whose move lets the waiting task fit."""
        if now_s - self._moved_s < MOVE_INTERVAL_S:
            return
        wanted = counted_shape(job.step_of(key))
        moves = [
            move
            for worker in eligible
            for move in self._moves_from(worker, workers, now_s)
            if wanted.fits_in(worker.free + move.shape)
        ]
        if not moves:
            return
        move = min(moves, key=lambda move: move.shape.dominant_share(move.to.capacity))
        self._moved_s = now_s
        task = move.job.task(move.key)
        assert task is not None
        task.request_stop()
        task.avoid(move.worker.incarnation.worker_id)
        self._log.line(
            "task_moved_for_room",
            task=format_task_name(move.job.job_id, move.key),
            worker=move.worker.incarnation.worker_id,
            to=move.to.incarnation.worker_id,
            by=format_task_name(job.job_id, key),
        )

    def _moves_from(
        self, worker: WorkerRecord, workers: Sequence[WorkerRecord], now_s: float
    ) -> Iterator[_Move]:
        for job_id, key in self._fleet.held_by(worker.incarnation):
            job = self._table[job_id]
            if not self._is_movable(job, key, now_s):
                continue
            step = job.step_of(key)
            to = next(
                (
                    other
                    for other in workers
                    if other is not worker and may_run(job, key, step, other)
                ),
                None,
            )
            if to is not None:
                yield _Move(job, key, worker, to, counted_shape(step))

    def _is_movable(self, job: JobProgress, key: TaskKey, now_s: float) -> bool:
        """Return whether a lasting task may be interrupted by a move now."""
        step, task = job.step_of(key), job.task(key)
        assert task is not None
        if not step.lasts or task.is_stopping or not task.listed_s:
            return False
        if now_s - task.placed_s < MIN_STAY_S or not job.is_active:
            return False
        others = job.occurrences[key.occurrence][key.step].tasks
        n_away = sum(
            other is not task and (other.is_stopping or other.percent < READY_PERCENT)
            for other in others
        )
        return not step.n_may_be_away or n_away < step.n_may_be_away


def _loss_s(chosen: list[Candidate]) -> float:
    return sum(candidate.loss_s for candidate in chosen)
