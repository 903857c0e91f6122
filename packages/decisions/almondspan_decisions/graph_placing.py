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

from almondspan_decisions.fill_pace import AIM_HEADROOM, HARMLESS_WEIGHT
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_book import JobBook, TaskState
from almondspan_decisions.job_graph import StepSpec, TaskKey
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tail_model import HarmTable, Image
from almondspan_decisions.worker_book import WorkerRecord, counted_shape

__all__ = [
    "Candidate",
    "choose_worker",
    "may_ever_run",
    "n_harmed_by_start",
    "note_start",
    "victims_on",
]

AVOIDED_COST: Final = 4.0
RESTED_COST: Final = 8.0
OTHER_RACK_COST: Final = 0.5
SERVING_USE_SHARE: Final = 0.5
"""The share of their processors that lasting tasks use on average."""
OTHER_IMAGE_COST: Final = 0.1
MIN_SPEED: Final = 0.05
FILL_SHARE_COST: Final = 0.3
START_HEADROOM: Final = 1.15
"""Serving tasks should keep this when a task that fills begins beside them."""
START_COST: Final = 2.0
"""For each serving task that is put over its target by a start."""
MIN_LEFT_MILLICORES: Final = 100.0
"""Keeps the share of the tasks that fill finite on a full worker."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A placed task that could be stopped to make room."""

    job_id: JobId
    key: TaskKey
    shape: Shape
    loss_s: float
    """Core-seconds of work that would be lost."""


def choose_worker(
    book: JobBook,
    key: TaskKey,
    workers: Iterable[WorkerRecord],
    table: HarmTable,
    now_s: float,
) -> WorkerRecord | None:
    """Return the cheapest worker for a waiting task; None when none has room."""
    step = book.step_of(key)
    task = book.task(key)
    assert task is not None
    best: WorkerRecord | None = None
    best_cost = math.inf
    for worker in workers:
        if not may_run(book, key, step, worker):
            continue
        cost = placing_cost(step, task, worker, table, now_s)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def may_run(book: JobBook, key: TaskKey, step: StepSpec, worker: WorkerRecord) -> bool:
    """Tell whether a worker may be given a task now."""
    if worker.is_leaving or not may_ever_run(step, worker):
        return False
    if not counted_shape(step).fits_in(worker.free):
        return False
    if not step.max_per_worker:
        return True
    n_here = book.n_on_worker(key.occurrence, key.step, worker.life.worker_id)
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
    table: HarmTable,
    now_s: float,
) -> float:
    """Return the cost of running a task on a worker; only its order matters."""
    if step.fills:
        share = fill_share(step, worker)
        speed = min(1 / max(share, 1.0), pace_after(step, worker, table))
        cost = 1 / max(speed, MIN_SPEED) + FILL_SHARE_COST * share
        cost += START_COST * n_harmed_by_start(step, worker, table)
    elif step.lasts:
        cost = serving_cost(step, worker)
    else:
        cost = load_after(step, worker)
    if step.data_rack and step.data_rack not in worker.labels:
        cost += OTHER_RACK_COST
    if worker.life.worker_id in task.avoided:
        cost += AVOIDED_COST
    if worker.is_rested(now_s):
        cost += RESTED_COST
    return cost


def fill_share(step: StepSpec, worker: WorkerRecord) -> float:
    """Return asked over left processors for the tasks that fill, with one more."""
    asked = worker.fill_millicores + step.shape.cpu_millicores
    counted = worker.used.cpu_millicores - worker.serving_millicores
    left = (
        worker.capacity.cpu_millicores
        - counted
        - SERVING_USE_SHARE * worker.serving_millicores
    )
    return asked / max(left, MIN_LEFT_MILLICORES)


def serving_cost(step: StepSpec, worker: WorkerRecord) -> float:
    """Return the cost of a lasting task: full workers first, images kept together.

    Workers without lasting tasks remain for the tasks that fill, and an image that
    bears a filling image badly is then not on every worker.
    """
    n_others = sum(
        n_tasks for image, n_tasks in worker.n_serving.items() if image != step.image
    )
    return OTHER_IMAGE_COST * n_others - load_after(step, worker)


def pace_after(step: StepSpec, worker: WorkerRecord, table: HarmTable) -> float:
    """Return the expected pace of a task that fills, from 0 to 1."""
    image = Image(step.image)
    shares = {
        fill: share_of(1000 * cores, worker)
        for fill, cores in worker.fill_cores.items()
    }
    shares[image] = shares.get(image, 0.0) + share_of(step.shape.cpu_millicores, worker)
    pace = 1.0
    for served, n_tasks in worker.n_serving.items():
        if not n_tasks or table.weight(served, image) <= HARMLESS_WEIGHT:
            continue
        lost = sum(table.weight(served, fill) * share for fill, share in shares.items())
        pace = min(pace, max(table.low(served) - AIM_HEADROOM, 0.0) / lost)
    return pace


def n_harmed_by_start(step: StepSpec, worker: WorkerRecord, table: HarmTable) -> int:
    """Return how many serving tasks a start puts over their target at full pace."""
    share = share_of(step.shape.cpu_millicores, worker)
    image = Image(step.image)
    return sum(
        worker.n_serving.get(served, 0)
        for served, headroom in worker.headrooms.items()
        if table.weight(served, image) > HARMLESS_WEIGHT
        and headroom - table.weight(served, image) * share < START_HEADROOM
    )


def note_start(step: StepSpec, worker: WorkerRecord, table: HarmTable) -> None:
    """Take what a placed task that fills will cost off the listed headrooms."""
    share = share_of(step.shape.cpu_millicores, worker)
    for served in worker.headrooms:
        worker.headrooms[served] -= table.weight(served, Image(step.image)) * share


def share_of(cpu_millicores: float, worker: WorkerRecord) -> float:
    """Return the share of a worker's processors."""
    return cpu_millicores / max(worker.capacity.cpu_millicores, 1)


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
