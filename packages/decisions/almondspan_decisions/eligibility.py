"""Which workers may run a task of a step, and what preemption would have to free.

A worker is eligible if it has the step's label, is not leaving, could hold the task
when empty, and is below the step's limit of tasks on one worker. It may run the task
now if its free capacity suffices as well. Callers pass the workers of the queue's
service.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress
from almondspan_decisions.shapes import Shape
from almondspan_decisions.worker_record import WorkerRecord, counted_shape

__all__ = ["Candidate", "could_ever_run", "is_eligible", "may_run", "victims_on"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A placed task that could be preempted."""

    job_id: JobId
    key: TaskKey
    shape: Shape
    loss_s: float
    """Unsaved work that preemption would lose, in core-seconds."""


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
