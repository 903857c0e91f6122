"""Scores workers for best-effort tasks.

Best-effort tasks share the processors that other tasks leave unused, and are paced so
that the serving tasks beside them stay within their tail latency targets (see
`best_effort_pacing`). A task starts at full pace, so its start may push serving tasks
over their targets where a paced run would not.
"""

from collections.abc import Mapping
from typing import Final

from almondspan_decisions.best_effort_pacing import HARMLESS_WEIGHT, TARGET_HEADROOM
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.tail_latency_model import Image, InterferenceWeights
from almondspan_decisions.worker_record import WorkerRecord

__all__ = ["BestEffortScores"]

MIN_LEFT_MILLICORES: Final = 100.0
"""Lower bound of the unused processors; keeps the contention finite."""
MIN_SPEED: Final = 0.05
CONTENTION_COST: Final = 0.3
START_HEADROOM: Final = 1.3
"""Headroom that serving tasks should keep when a best-effort task starts."""
START_COST: Final = 1.0
"""Added for a start that would push serving tasks over their target."""


class BestEffortScores:
    """Scores by one set of interference weights.

    The interference of the tasks placed on a worker is kept until they change.
    """

    def __init__(self, interference: InterferenceWeights) -> None:
        self.interference: Final = interference
        self._budgets: Final[dict[Image, float]] = {}
        self._lost: Final[dict[WorkerIncarnation, tuple[int, dict[Image, float]]]] = {}

    def cost(self, step: StepSpec, worker: WorkerRecord) -> float:
        """Return the cost of running one more task of a step on a worker.

        It is the task's slowdown, plus terms for contention and for a start that would
        push serving tasks over their target.
        """
        contention = _contention(step, worker, n_added=1)
        speed = min(1 / max(contention, 1.0), self._pace(step, worker, n_added=1))
        cost = 1 / max(speed, MIN_SPEED) + CONTENTION_COST * contention
        if self.n_affected_by_start(step, worker):
            cost += START_COST
        return cost

    def speed(self, step: StepSpec, worker: WorkerRecord, n_added: int) -> float:
        """Return the expected speed of a task as a share of its full speed.

        Parameters
        ----------
        n_added : int
            Number of tasks of the step to add to those on the worker.
        """
        contention = _contention(step, worker, n_added)
        speed = min(1 / max(contention, 1.0), self._pace(step, worker, n_added))
        return max(speed, MIN_SPEED)

    def _pace(self, step: StepSpec, worker: WorkerRecord, n_added: int) -> float:
        """Return the pace, 0 to 1, that keeps serving tasks in target on average."""
        image = Image(step.image)
        added = n_added * _share(step.shape.cpu_millicores, worker)
        sensitive = {
            served: placed_loss + weight * added
            for served, placed_loss in self._placed_losses(worker).items()
            if (weight := self.interference.weight(served, image)) > HARMLESS_WEIGHT
        }
        of_all = worker.budget.of_all() if len(sensitive) > 1 else None
        pace = 1.0
        for served, lost in sensitive.items():
            if lost > 0:
                budget = self._budget(served, worker) if of_all is None else of_all
                pace = min(pace, budget / lost)
        return pace

    def _budget(self, served: Image, worker: WorkerRecord) -> float:
        """Return the headroom of an image that best-effort tasks may use."""
        observed = worker.budget.of(served)
        if observed is not None:
            return observed
        budget = self._budgets.get(served)
        if budget is None:
            budget = max(self.interference.mean(served) - TARGET_HEADROOM, 0.0)
            self._budgets[served] = budget
        return budget

    def _placed_losses(self, worker: WorkerRecord) -> Mapping[Image, float]:
        """Return the headroom that each serving image loses to the placed tasks."""
        kept = self._lost.get(worker.incarnation)
        if kept is not None and kept[0] == worker.n_changes:
            return kept[1]
        lost = {
            served: sum(
                self.interference.weight(served, image) * _share(1000 * cores, worker)
                for image, cores in worker.best_effort_cores.items()
                if cores
            )
            for served in worker.serving_images
        }
        self._lost[worker.incarnation] = (worker.n_changes, lost)
        return lost

    def n_unlike(self, image: Image, worker: WorkerRecord) -> float:
        """Return the serving tasks on a worker that are sensitive to other images."""
        alike = self.interference.alike
        return sum(
            n_tasks * (1.0 - alike.get((image, other), 0.0))
            for other, n_tasks in worker.n_serving.items()
            if other != image and n_tasks
        )

    def n_affected_by_start(self, step: StepSpec, worker: WorkerRecord) -> int:
        """Return how many serving tasks a start might push over their target."""
        return sum(
            worker.n_serving.get(served, 0)
            for served, headroom in worker.headrooms.items()
            if headroom - self._start_loss(step, worker, served) < START_HEADROOM
        )

    def deduct_start(self, step: StepSpec, worker: WorkerRecord) -> None:
        """Deduct the upper bound of a placed task's interference from the headrooms."""
        for served in worker.headrooms:
            worker.headrooms[served] -= self._start_loss(step, worker, served)

    def _start_loss(self, step: StepSpec, worker: WorkerRecord, served: Image) -> float:
        share = _share(step.shape.cpu_millicores, worker)
        return self.interference.upper(served, Image(step.image)) * share


def _contention(step: StepSpec, worker: WorkerRecord, n_added: int) -> float:
    """Return the processors requested by best-effort tasks over those left unused."""
    requested = worker.best_effort_millicores + n_added * step.shape.cpu_millicores
    return requested / max(worker.unused_millicores, MIN_LEFT_MILLICORES)


def _share(cpu_millicores: float, worker: WorkerRecord) -> float:
    """Return millicores as a share of a worker's processors."""
    return cpu_millicores / max(worker.capacity.cpu_millicores, 1)
