"""Which tasks make room on a worker for one that may not wait.

Only tasks that their keeper calls checkpointable and that are not urgent may go.
The cheapest are taken until the shape fits; then those that turned out not to be
needed are left, the dearest first.
"""

from dataclasses import dataclass

from almondspan_decisions.ids import TaskId
from almondspan_decisions.shapes import Shape

__all__ = ["PreemptionCandidate", "choose_victims"]


@dataclass(frozen=True, slots=True)
class PreemptionCandidate:
    """A running task that might go; ``at_risk_s`` ran since its last checkpoint."""

    task_id: TaskId
    attempt: int
    shape: Shape
    at_risk_s: float
    checkpointable: bool
    urgent: bool


def choose_victims(
    needed: Shape, free: Shape, tasks: tuple[PreemptionCandidate, ...]
) -> tuple[PreemptionCandidate, ...] | None:
    """Return the tasks to evict so that `needed` fits; None when it cannot."""
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
