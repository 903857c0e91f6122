"""Scores workers for best-effort tasks.

Best-effort tasks share the processors that other tasks leave unused, and are paced so
that the serving tasks beside them stay within their tail latency targets (see
`best_effort_pacing`). A task starts at full pace, so its start may push serving tasks
over their targets where a paced run would not.
"""

from typing import Final

from almondspan_decisions.best_effort_pacing import HARMLESS_WEIGHT, TARGET_HEADROOM
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.tail_latency_model import Image, InterferenceWeights
from almondspan_decisions.worker_record import WorkerRecord

__all__ = [
    "best_effort_cost",
    "best_effort_speed",
    "n_affected_by_start",
    "deduct_start_interference",
]

SERVING_USE_SHARE: Final = 0.5
"""The share of their processors that lasting tasks use on average."""
MIN_LEFT_MILLICORES: Final = 100.0
"""Lower bound of the unused processors; keeps the contention finite."""
MIN_SPEED: Final = 0.05
CONTENTION_COST: Final = 0.3
START_HEADROOM: Final = 1.3
"""Headroom that serving tasks should keep when a best-effort task starts."""
START_COST: Final = 1.0
"""Added for a start that would push serving tasks over their target."""


def best_effort_cost(
    step: StepSpec, worker: WorkerRecord, interference: InterferenceWeights
) -> float:
    """Return the cost of running one more best-effort task of a step on a worker.

    It is the task's slowdown, plus terms for contention and for a start that would
    push serving tasks over their target.
    """
    cost = 1 / best_effort_speed(step, worker, interference, n_added=1)
    cost += CONTENTION_COST * _contention(step, worker, n_added=1)
    if n_affected_by_start(step, worker, interference):
        cost += START_COST
    return cost


def best_effort_speed(
    step: StepSpec,
    worker: WorkerRecord,
    interference: InterferenceWeights,
    n_added: int,
) -> float:
    """Return the expected speed of a best-effort task as a share of its full speed.

    Parameters
    ----------
    n_added : int
        Number of tasks of the step to add to those on the worker.
    """
    contention = _contention(step, worker, n_added)
    speed = min(1 / max(contention, 1.0), _pace(step, worker, interference, n_added))
    return max(speed, MIN_SPEED)


def _contention(step: StepSpec, worker: WorkerRecord, n_added: int) -> float:
    """Return the processors requested by best-effort tasks over those left unused."""
    requested = worker.best_effort_millicores + n_added * step.shape.cpu_millicores
    counted = worker.used.cpu_millicores - worker.serving_millicores
    left = (
        worker.capacity.cpu_millicores
        - counted
        - SERVING_USE_SHARE * worker.serving_millicores
    )
    return requested / max(left, MIN_LEFT_MILLICORES)


def _pace(
    step: StepSpec,
    worker: WorkerRecord,
    interference: InterferenceWeights,
    n_added: int,
) -> float:
    """Return the pace, 0 to 1, that keeps serving tasks in target on average."""
    image = Image(step.image)
    shares = {
        running_image: _share(1000 * cores, worker)
        for running_image, cores in worker.best_effort_cores.items()
    }
    added = n_added * _share(step.shape.cpu_millicores, worker)
    shares[image] = shares.get(image, 0.0) + added
    pace = 1.0
    for served, n_tasks in worker.n_serving.items():
        if not n_tasks or interference.weight(served, image) <= HARMLESS_WEIGHT:
            continue
        lost = sum(
            interference.weight(served, running_image) * share
            for running_image, share in shares.items()
        )
        budget = max(interference.mean(served) - TARGET_HEADROOM, 0.0)
        pace = min(pace, budget / lost) if lost else pace
    return pace


def n_affected_by_start(
    step: StepSpec, worker: WorkerRecord, interference: InterferenceWeights
) -> int:
    """Return how many serving tasks a start might push over their target."""
    return sum(
        worker.n_serving.get(served, 0)
        for served, headroom in worker.headrooms.items()
        if headroom - _start_loss(step, worker, interference, served) < START_HEADROOM
    )


def deduct_start_interference(
    step: StepSpec, worker: WorkerRecord, interference: InterferenceWeights
) -> None:
    """Deduct the upper bound of a placed task's interference from the headrooms."""
    for served in worker.headrooms:
        worker.headrooms[served] -= _start_loss(step, worker, interference, served)


def _start_loss(
    step: StepSpec,
    worker: WorkerRecord,
    interference: InterferenceWeights,
    served: Image,
) -> float:
    share = _share(step.shape.cpu_millicores, worker)
    return interference.upper(served, Image(step.image)) * share


def _share(cpu_millicores: float, worker: WorkerRecord) -> float:
    """Return millicores as a share of a worker's processors."""
    return cpu_millicores / max(worker.capacity.cpu_millicores, 1)
