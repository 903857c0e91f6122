"""Chooses the worker for a task of a job graph.

1. Workers that may run the task at all: of the queue's service, with the label,
   not leaving, with room, under the step's limit of tasks on one worker.
2. Among them the lowest cost. A task that fills goes where it is expected to run
   fastest: by what the others leave, and by the pace that keeps the tails there within
   their targets. It begins at full pace, so a worker where that would put serving tasks
   over their targets costs much. Any other task goes where it keeps the room balanced.
   Data on another rack, a task's failure on the worker before and a rested worker add
   to the cost.
3. No worker: `victims_on` names the tasks of less urgent queues whose end makes room
   at the lowest loss of unsaved work.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.best_effort_placement import fill_cost
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
    "may_ever_run",
    "may_run",
    "victims_on",
]

AVOIDED_COST: Final = 4.0
RESTED_COST: Final = 8.0
OTHER_RACK_COST: Final = 0.5
OTHER_IMAGE_COST: Final = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A placed task that could be stopped to make room."""

    job_id: JobId
    key: TaskKey
    shape: Shape
    loss_s: float
    """Core-seconds of work that would be lost."""


def choose_worker(
    job: JobProgress,
    key: TaskKey,
    workers: Iterable[WorkerRecord],
    table: InterferenceWeights,
    now_s: float,
) -> WorkerRecord | None:
    """Return the cheapest worker for a waiting task; None when none has room."""
    step = job.step_of(key)
    task = job.task(key)
    assert task is not None
    best: WorkerRecord | None = None
    best_cost = math.inf
    for worker in workers:
        if not may_run(job, key, step, worker):
            continue
        cost = placing_cost(step, task, worker, table, now_s)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def may_run(
    job: JobProgress, key: TaskKey, step: StepSpec, worker: WorkerRecord
) -> bool:
    """Tell whether a worker may be given a task now."""
    is_room = counted_shape(step).fits_in(worker.free)
    return is_room and is_eligible(job, key, step, worker)


def is_eligible(
    job: JobProgress, key: TaskKey, step: StepSpec, worker: WorkerRecord
) -> bool:
    """Tell whether a worker may be given a task once it has room."""
    if worker.is_leaving or not may_ever_run(step, worker):
        return False
    if not step.max_per_worker:
        return True
    n_here = job.n_on_worker(key.occurrence, key.step, worker.incarnation.worker_id)
    return n_here < step.max_per_worker


def may_ever_run(step: StepSpec, worker: WorkerRecord) -> bool:
    """Tell whether a worker could hold a task of a step if it were empty."""
    if step.label and step.label not in worker.labels:
        return False
    return counted_shape(step).fits_in(worker.capacity)


def placing_cost(
    step: StepSpec,
    task: TaskState,
    worker: WorkerRecord,
    table: InterferenceWeights,
    now_s: float,
) -> float:
    """Return the cost of running a task on a worker; only its order matters."""
    if step.fills:
        cost = fill_cost(step, worker, table)
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

    Workers without lasting tasks remain for the tasks that fill, and an image that
    bears a filling image badly is then not on every worker.
    """
    n_others = sum(
        n_tasks for image, n_tasks in worker.n_serving.items() if image != step.image
    )
    return OTHER_IMAGE_COST * n_others - load_after(step, worker)


def load_after(step: StepSpec, worker: WorkerRecord) -> float:
    """Return the dominant share of a worker with one more task."""
    return (worker.used + counted_shape(step)).dominant_share(worker.capacity)


def victims_on(
    step: StepSpec, worker: WorkerRecord, candidates: Sequence[Candidate]
) -> list[Candidate]:
    """Return the cheapest tasks whose end makes room; empty when none suffice."""
    free = worker.free
    wanted = counted_shape(step)
    chosen: list[Candidate] = []
    for candidate in sorted(candidates, key=lambda item: item.loss_s):
        if wanted.fits_in(free):
            break
        chosen.append(candidate)
        free = free + candidate.shape
    return chosen if wanted.fits_in(free) else []
