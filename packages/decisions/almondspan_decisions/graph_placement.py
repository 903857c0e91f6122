"""Chooses the worker for a task of a job graph.

1. Filter: workers that have the step's label, are not leaving, have free capacity and
   are below the step's limit of tasks on one worker. The caller passes the workers of
   the queue's service.
2. Score: the eligible worker with the lowest cost wins. A best-effort task goes where
   it is expected to run fastest, given the processors that other tasks leave and the
   pace that keeps the tail latencies there within their targets. It starts at full
   pace, so a worker where that would push serving tasks over their targets costs more.
   A serving task is packed onto full workers, any other task goes to the worker with
   the lowest load. Data on another rack, an earlier failure of the task on the worker
   and a rested worker add to the cost.
3. If no worker fits, `victims_on` selects the tasks whose preemption frees enough
   capacity at the lowest loss of unsaved work. The caller passes the candidates.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.best_effort_placement import best_effort_cost
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress, TaskState
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_latency_model import InterferenceWeights
from almondspan_decisions.worker_record import WorkerRecord, counted_shape

__all__ = [
    "Candidate",
    "choose_worker",
    "is_eligible",
    "could_ever_run",
    "may_run",
    "victims_on",
]

AVOIDED_COST: Final = 4.0
"""Added for a worker on which the task failed or stalled."""
RESTED_COST: Final = 8.0
OTHER_RACK_COST: Final = 0.5
OTHER_IMAGE_COST: Final = 0.1
"""Added for each serving task of another image on the worker."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A placed task that could be preempted."""

    job_id: JobId
    key: TaskKey
    shape: Shape
    loss_s: float
    """Unsaved work that preemption would lose, in core-seconds."""


def choose_worker(
    job: JobProgress,
    key: TaskKey,
    workers: Iterable[WorkerRecord],
    interference: InterferenceWeights,
    now_s: float,
) -> WorkerRecord | None:
    """Return the cheapest worker for a waiting task; None if no worker may run it."""
    step = job.step_of(key)
    task = job.task(key)
    assert task is not None
    best: WorkerRecord | None = None
    best_cost = math.inf
    for worker in workers:
        if not may_run(job, key, step, worker):
            continue
        cost = placement_cost(step, task, worker, interference, now_s)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def may_run(
    job: JobProgress, key: TaskKey, step: StepSpec, worker: WorkerRecord
) -> bool:
    """Return whether a task may be placed on a worker now."""
    has_capacity = counted_shape(step).fits_in(worker.free)
    return has_capacity and is_eligible(job, key, step, worker)


def is_eligible(
    job: JobProgress, key: TaskKey, step: StepSpec, worker: WorkerRecord
) -> bool:
    """Return whether a task may be placed on a worker once it has free capacity."""
    if worker.is_leaving or not could_ever_run(step, worker):
        return False
    if not step.max_per_worker:
        return True
    n_here = job.n_on_worker(key.occurrence, key.step, worker.incarnation.worker_id)
    return n_here < step.max_per_worker


def could_ever_run(step: StepSpec, worker: WorkerRecord) -> bool:
    """Return whether an empty worker could run a task of a step."""
    if step.label and step.label not in worker.labels:
        return False
    return counted_shape(step).fits_in(worker.capacity)


def placement_cost(
    step: StepSpec,
    task: TaskState,
    worker: WorkerRecord,
    interference: InterferenceWeights,
    now_s: float,
) -> float:
    """Return the cost of running a task on a worker; only the order matters."""
    if step.fills:
        cost = best_effort_cost(step, worker, interference)
    elif step.lasts:
        cost = serving_cost(step, worker)
    else:
        cost = load_after(step, worker)
    if step.data_rack and step.data_rack not in worker.labels:
        cost += OTHER_RACK_COST
    if worker.incarnation.worker_id in task.avoided:
        cost += AVOIDED_COST
    if worker.is_rested(now_s):
        cost += RESTED_COST
    return cost


def serving_cost(step: StepSpec, worker: WorkerRecord) -> float:
    """Return the cost of a lasting task: full workers first, images kept together.

    This leaves workers without lasting tasks to best-effort tasks, and keeps an image
    that is sensitive to some best-effort image from running on every worker.
    """
    n_others = sum(
        n_tasks for image, n_tasks in worker.n_serving.items() if image != step.image
    )
    return OTHER_IMAGE_COST * n_others - load_after(step, worker)


def load_after(step: StepSpec, worker: WorkerRecord) -> float:
    """Return the dominant share in use on a worker with one more task."""
    return (worker.used + counted_shape(step)).dominant_share(worker.capacity)


def victims_on(
    step: StepSpec, worker: WorkerRecord, candidates: Sequence[Candidate]
) -> list[Candidate]:
    """Return the tasks to preempt, at the lowest loss; empty if all do not suffice."""
    free = worker.free
    wanted = counted_shape(step)
    chosen: list[Candidate] = []
    for candidate in sorted(candidates, key=lambda item: item.loss_s):
        if wanted.fits_in(free):
            break
        chosen.append(candidate)
        free = free + candidate.shape
    return chosen if wanted.fits_in(free) else []
