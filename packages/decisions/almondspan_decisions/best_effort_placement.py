"""How well a worker would run a task that fills.

Such a task gets the processors that the others leave, shared with all that fill there,
and is paced so that the serving tasks beside it stay within their tail targets (see
`fill_pace`). It begins at full pace, so a start may harm where a paced run would not.
"""

from typing import Final

from almondspan_decisions.best_effort_pacing import AIM_HEADROOM, HARMLESS_WEIGHT
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.tail_latency_model import Image, InterferenceWeights
from almondspan_decisions.worker_record import WorkerRecord

__all__ = [
    "fill_cost",
    "best_effort_speed",
    "n_harmed_by_start",
    "deduct_start_interference",
]

SERVING_USE_SHARE: Final = 0.5
"""The share of their processors that lasting tasks use on average."""
MIN_LEFT_MILLICORES: Final = 100.0
"""Keeps the share of the tasks that fill finite on a full worker."""
MIN_SPEED: Final = 0.05
FILL_SHARE_COST: Final = 0.3
START_HEADROOM: Final = 1.3
"""Serving tasks should keep this when a task that fills begins beside them."""
START_COST: Final = 1.0
"""For a start that would put serving tasks over their target."""


def fill_cost(
    step: StepSpec, worker: WorkerRecord, table: InterferenceWeights
) -> float:
    """Return the cost of running one more task of a step: its slowdown, and more."""
    cost = 1 / best_effort_speed(step, worker, table, n_added=1)
    cost += FILL_SHARE_COST * _crowding(step, worker, n_added=1)
    if n_harmed_by_start(step, worker, table):
        cost += START_COST
    return cost


def best_effort_speed(
    step: StepSpec, worker: WorkerRecord, table: InterferenceWeights, n_added: int
) -> float:
    """Return the expected speed of a task that fills, over its full speed.

    Parameters
    ----------
    n_added : int
        How many tasks of the step the worker would have besides those it has.
    """
    crowding = _crowding(step, worker, n_added)
    speed = min(1 / max(crowding, 1.0), _pace(step, worker, table, n_added))
    return max(speed, MIN_SPEED)


def _crowding(step: StepSpec, worker: WorkerRecord, n_added: int) -> float:
    """Return asked over left processors for the tasks that fill."""
    asked = worker.best_effort_millicores + n_added * step.shape.cpu_millicores
    counted = worker.used.cpu_millicores - worker.serving_millicores
    left = (
        worker.capacity.cpu_millicores
        - counted
        - SERVING_USE_SHARE * worker.serving_millicores
    )
    return asked / max(left, MIN_LEFT_MILLICORES)


def _pace(
    step: StepSpec, worker: WorkerRecord, table: InterferenceWeights, n_added: int
) -> float:
    """Return the pace that the serving tasks bear on average, from 0 to 1."""
    image = Image(step.image)
    shares = {
        fill: _share(1000 * cores, worker) for fill, cores in worker.fill_cores.items()
    }
    added = n_added * _share(step.shape.cpu_millicores, worker)
    shares[image] = shares.get(image, 0.0) + added
    pace = 1.0
    for served, n_tasks in worker.n_serving.items():
        if not n_tasks or table.weight(served, image) <= HARMLESS_WEIGHT:
            continue
        lost = sum(table.weight(served, fill) * share for fill, share in shares.items())
        room = max(table.mean(served) - AIM_HEADROOM, 0.0)
        pace = min(pace, room / lost) if lost else pace
    return pace


def n_harmed_by_start(
    step: StepSpec, worker: WorkerRecord, table: InterferenceWeights
) -> int:
    """Return how many serving tasks a start might put over their target."""
    return sum(
        worker.n_serving.get(served, 0)
        for served, headroom in worker.headrooms.items()
        if headroom - _start_loss(step, worker, table, served) < START_HEADROOM
    )


def deduct_start_interference(
    step: StepSpec, worker: WorkerRecord, table: InterferenceWeights
) -> None:
    """Take what a placed task that fills might cost off the listed headrooms."""
    for served in worker.headrooms:
        worker.headrooms[served] -= _start_loss(step, worker, table, served)


def _start_loss(
    step: StepSpec, worker: WorkerRecord, table: InterferenceWeights, served: Image
) -> float:
    share = _share(step.shape.cpu_millicores, worker)
    return table.upper(served, Image(step.image)) * share


def _share(cpu_millicores: float, worker: WorkerRecord) -> float:
    """Return the share of a worker's processors."""
    return cpu_millicores / max(worker.capacity.cpu_millicores, 1)
