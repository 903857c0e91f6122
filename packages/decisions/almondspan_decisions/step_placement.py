"""Places the waiting tasks of one step, each on the cheapest worker that may run it.

1. The workers that may run a task of the step now are scored once; a heap returns the
   cheapest. After a placement only the chosen worker is scored again.
2. A best-effort task goes where it is expected to run fastest, given the processors
   that other tasks leave and the pace that keeps the tail latencies there within their
   targets. It starts at full pace, so a worker where that would push serving tasks over
   their targets costs more.
3. A lasting task is packed onto full workers, any other task goes to the worker with
   the lowest load.
4. A task that is in doubt of having crashed a worker is tried where no other such task
   is being tried; one with repeated proven crashes is kept apart from others like it,
   off workers that have just crashed, and where little else runs. Lasting tasks avoid
   its worker.
5. Data on another rack, an earlier failure of the task on the worker and a rested
   worker add to the cost.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Final

from almondspan_decisions.best_effort_placement import BestEffortScores
from almondspan_decisions.crash_blame import N_CRASHES_APART
from almondspan_decisions.eligibility import could_ever_run
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import JobProgress, TaskState
from almondspan_decisions.tail_latency_model import Image
from almondspan_decisions.worker_record import WorkerRecord, counted_shape

__all__ = ["PlacementCosts", "StepPlacement"]

AVOIDED_COST: Final = 4.0
"""Added for a worker on which the task failed or stalled."""
RESTED_COST: Final = 8.0
OTHER_RACK_COST: Final = 0.5
UNSOUND_COST: Final = 8.0
"""Added for a worker that has just crashed, if workers crash under the task."""
KEPT_APART_COST: Final = 2.0
"""Added for each task on the worker from which the task is kept apart."""
LOADED_COST: Final = 4.0
"""Added for a worker with its full load, if workers crash under the task."""
SUSPECT_COST: Final = 1.0
"""Added for each task on the worker under which workers crash."""
OTHER_IMAGE_COST: Final = 0.5
"""Added for each serving task of an unlike image on the worker."""


class StepKind(Enum):
    """What decides where the tasks of a step run best."""

    BEST_EFFORT = "best_effort"
    LASTING = "lasting"
    COUNTED = "counted"
    """Ends by itself and counts against the worker's capacity."""


def kind_of(step: StepSpec) -> StepKind:
    """Return the kind of a step."""
    if step.fills:
        return StepKind.BEST_EFFORT
    return StepKind.LASTING if step.lasts else StepKind.COUNTED


CostFunction = Callable[[StepSpec, WorkerRecord, BestEffortScores], float]

COST_FUNCTIONS: Final[dict[StepKind, CostFunction]] = {}


def cost_function(kind: StepKind) -> Callable[[CostFunction], CostFunction]:
    """Register the cost function of one kind of step."""

    def register(function: CostFunction) -> CostFunction:
        COST_FUNCTIONS[kind] = function
        return function

    return register


@cost_function(StepKind.BEST_EFFORT)
def best_effort_cost(
    step: StepSpec, worker: WorkerRecord, scores: BestEffortScores
) -> float:
    """Return the expected slowdown of a best-effort task."""
    return scores.cost(step, worker)


@cost_function(StepKind.LASTING)
def lasting_cost(
    step: StepSpec, worker: WorkerRecord, scores: BestEffortScores
) -> float:
    """Return the cost of a lasting task: like images together, full workers first.

    Images that are sensitive to the same best-effort images share workers, so that
    these images find workers where they harm none. Full workers first leaves workers
    without lasting tasks to best-effort tasks.
    """
    n_others = scores.n_unlike(Image(step.image), worker)
    cost = OTHER_IMAGE_COST * n_others + SUSPECT_COST * len(worker.kept_apart)
    return cost - load_after(step, worker)


@cost_function(StepKind.COUNTED)
def counted_cost(
    step: StepSpec, worker: WorkerRecord, scores: BestEffortScores
) -> float:
    """Return the load of the worker with the task."""
    return load_after(step, worker)


def load_after(step: StepSpec, worker: WorkerRecord) -> float:
    """Return the dominant share in use on a worker with one more task."""
    return (worker.used + counted_shape(step)).dominant_share(worker.capacity)


class PlacementCosts:
    """Costs of running tasks on workers at one time; only their order matters."""

    def __init__(self, scores: BestEffortScores, now_s: float) -> None:
        self._scores: Final = scores
        self._now_s: Final = now_s

    def cost(self, step: StepSpec, worker: WorkerRecord) -> float:
        """Return the cost of running one more task of a step on a worker."""
        cost = COST_FUNCTIONS[kind_of(step)](step, worker, self._scores)
        if step.data_rack and step.data_rack not in worker.labels:
            cost += OTHER_RACK_COST
        if worker.is_rested(self._now_s):
            cost += RESTED_COST
        return cost

    def cost_for(self, task: TaskState, worker: WorkerRecord) -> float:
        """Return what the history of a task adds to its cost on a worker."""
        cost = 0.0
        if worker.incarnation.worker_id in task.avoided:
            cost += AVOIDED_COST
        if task.n_crashes and worker.has_crashed_lately(self._now_s):
            cost += UNSOUND_COST
        if task.n_crashes >= N_CRASHES_APART:
            cost += KEPT_APART_COST * len(worker.kept_apart)
            cost += LOADED_COST * worker.used.dominant_share(worker.capacity)
        return cost


class StepPlacement:
    """Chooses workers for the tasks of one step of one occurrence."""

    def __init__(
        self,
        job: JobProgress,
        occurrence: int,
        number: int,
        workers: Iterable[WorkerRecord],
        costs: PlacementCosts,
    ) -> None:
        self._step: Final = job.spec.steps[number]
        self._shape: Final = counted_shape(self._step)
        self._costs: Final = costs
        self._n_here: Final[Counter[WorkerId]] = Counter()
        if self._step.max_per_worker:
            self._n_here.update(
                task.incarnation.worker_id
                for task in job.occurrences[occurrence][number].tasks
                if task.incarnation is not None
            )
        self._heap: Final = [
            (costs.cost(self._step, worker), index, worker)
            for index, worker in enumerate(workers)
            if self._may_run_on(worker)
        ]
        heapq.heapify(self._heap)

    def _may_run_on(self, worker: WorkerRecord) -> bool:
        step = self._step
        if worker.is_leaving or not self._shape.fits_in(worker.free):
            return False
        if step.max_per_worker:
            n_here = self._n_here[worker.incarnation.worker_id]
            if n_here >= step.max_per_worker:
                return False
        return could_ever_run(step, worker)

    @property
    def has_candidates(self) -> bool:
        """Whether any worker may run a task of the step."""
        return bool(self._heap)

    def cheapest(self, task: TaskState) -> WorkerRecord | None:
        """Return the cheapest worker for a task; None if no worker may run it now."""
        if not self._heap:
            return None
        if not (task.avoided or task.n_crashes or task.needs_trial):
            return self._heap[0][2]
        entries = self._heap
        if task.needs_trial:
            entries = [entry for entry in entries if not entry[2].trials]
        best = min(
            entries,
            key=lambda entry: entry[0] + self._costs.cost_for(task, entry[2]),
            default=None,
        )
        return best[2] if best is not None else None

    def on_placed(self, worker: WorkerRecord) -> None:
        """Score a worker again after a task of the step was placed there."""
        self._n_here[worker.incarnation.worker_id] += 1
        index = next(n for n, entry in enumerate(self._heap) if entry[2] is worker)
        order = self._heap[index][1]
        if not self._may_run_on(worker):
            self._remove(index)
            return
        entry = (self._costs.cost(self._step, worker), order, worker)
        if index == 0:
            heapq.heapreplace(self._heap, entry)
            return
        self._heap[index] = entry
        heapq.heapify(self._heap)

    def _remove(self, index: int) -> None:
        if index == 0:
            heapq.heappop(self._heap)
            return
        del self._heap[index]
        heapq.heapify(self._heap)
