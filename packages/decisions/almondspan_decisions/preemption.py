"""Chooses the tasks to evict from a worker so that an urgent task fits.

Only checkpointable tasks that are not urgent may be evicted. Tasks are added in order
of the work at risk until the shape fits; tasks that turn out not to be needed are then
dropped again, the most expensive first.
"""

from dataclasses import dataclass

from almondspan_decisions.ids import TaskId
from almondspan_decisions.shapes import Shape

__all__ = ["PreemptionCandidate", "choose_victims"]


@dataclass(frozen=True, slots=True)
class PreemptionCandidate:
    """A running task that may be evicted.

    ``at_risk_s`` is the time that it ran since its last checkpoint.
    """

    task_id: TaskId
    attempt: int
    shape: Shape
    at_risk_s: float
    checkpointable: bool
    urgent: bool


def choose_victims(
    needed: Shape, free: Shape, tasks: tuple[PreemptionCandidate, ...]
) -> tuple[PreemptionCandidate, ...] | None:
    """Return the tasks to evict so that `needed` fits; None if it cannot fit."""
    candidates = sorted(
        (task for task in tasks if task.checkpointable and not task.urgent),
        key=lambda task: (task.at_risk_s, task.task_id),
    )
    chosen: list[PreemptionCandidate] = []
    for task in candidates:
        if needed.fits_in(free):
            break
        chosen.append(task)
        free = free + task.shape
    if not needed.fits_in(free):
        return None
    for task in reversed(list(chosen)):
        if needed.fits_in(free - task.shape):
            chosen.remove(task)
            free = free - task.shape
    return tuple(chosen)
