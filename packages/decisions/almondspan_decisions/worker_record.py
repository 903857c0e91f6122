"""The owner's record of a worker: free capacity, running load and failures.

A worker's free capacity is its capacity less the shapes of all tasks assigned to its
current incarnation, including those being stopped. Best-effort tasks count with their
memory and accelerators only. A worker on which tasks of several jobs fail in a row is
rested: for a while, tasks are placed on it only if no other worker may run them.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.headroom_budget import HeadroomBudget
from almondspan_decisions.ids import JobId, PlaceName, ServiceName
from almondspan_decisions.job_graph import StepSpec, TaskKey
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_decisions.tail_latency_model import Image

__all__ = ["SERVING_USE_SHARE", "WorkerRecord", "counted_shape"]

SERVING_USE_SHARE: Final = 0.5
"""The share of their processors that lasting tasks use on average."""

N_FAILURES_TO_REST: Final = 2
"""Consecutive failures, of different jobs, after which a worker is rested."""

REST_S: Final = 6.0
"""How long a worker is rested."""

UNSOUND_S: Final = 5.0
"""A worker that crashes again within this time may do so by itself."""


def counted_shape(step: StepSpec) -> Shape:
    """Return what a task of a step takes from its worker's free capacity."""
    if not step.fills:
        return step.shape
    return Shape(0, step.shape.memory_mb, step.shape.n_accelerators)


@dataclass(slots=True)
class WorkerRecord:
    """What the scheduler knows of one incarnation of a worker."""

    incarnation: WorkerIncarnation
    service: ServiceName
    place: PlaceName
    capacity: Shape
    """As last reported; it may shrink below what is assigned, and grow again."""
    labels: frozenset[str]
    rack: str = ""
    is_leaving: bool = False
    leaves_ms: int = 0
    """Milliseconds left until a leaving worker is gone."""
    used: Shape = EMPTY_SHAPE
    best_effort_millicores: int = 0
    """Processors requested by best-effort tasks."""
    serving_millicores: int = 0
    """Processors requested by lasting tasks, which rarely use all of them."""
    best_effort_cores: dict[Image, float] = field(default_factory=dict)
    """Processors requested by best-effort tasks, by image."""
    n_serving: dict[Image, int] = field(default_factory=dict)
    """Number of tasks with a tail latency target, by image."""
    headrooms: dict[Image, float] = field(default_factory=dict)
    """Lowest headroom by serving image in the last poll (see `tail_latency_model`),
    less the expected interference of the best-effort tasks placed since then."""
    budget: HeadroomBudget = field(default_factory=HeadroomBudget)
    """What the serving tasks leave to best-effort tasks, on average."""
    serving_images: frozenset[Image] = frozenset()
    """Images of the tasks with a tail latency target."""
    n_changes: int = 0
    """Rises whenever a task is added or removed, or the capacity changes."""
    failed_jobs: list[JobId] = field(default_factory=list)
    """Jobs with a task that failed here since the last success."""
    rested_until_s: float = 0.0
    crashed_s: float = -math.inf
    """When an earlier incarnation at the same agent was last found to have crashed."""
    trials: set[tuple[JobId, TaskKey]] = field(default_factory=set)
    """Tasks in doubt that have not yet run long enough here (see `crash_blame`)."""
    kept_apart: set[tuple[JobId, TaskKey]] = field(default_factory=set)
    """Assigned tasks that are kept apart from each other (see `crash_blame`)."""

    @property
    def free(self) -> Shape:
        """The free capacity; negative where less is left than is assigned."""
        return self.capacity - self.used

    @property
    def unused_millicores(self) -> float:
        """Processors that best-effort tasks find unused, on average."""
        counted = self.used.cpu_millicores - self.serving_millicores
        return (
            self.capacity.cpu_millicores
            - counted
            - SERVING_USE_SHARE * self.serving_millicores
        )

    def resize(self, capacity: Shape) -> None:
        """Change the capacity to what the worker now reports."""
        self.capacity = capacity
        self.n_changes += 1

    def allocate(self, step: StepSpec) -> None:
        """Add an assigned task to the counts."""
        self.used = self.used + counted_shape(step)
        self._count_shared(step, 1)

    def release(self, step: StepSpec) -> None:
        """Remove a task that has ended from the counts."""
        self.used = self.used - counted_shape(step)
        self._count_shared(step, -1)

    def _count_shared(self, step: StepSpec, sign: int) -> None:
        self.n_changes += 1
        image = Image(step.image)
        millicores = sign * step.shape.cpu_millicores
        if step.fills:
            self.best_effort_millicores += millicores
            cores = self.best_effort_cores.get(image, 0.0) + millicores / 1000
            self.best_effort_cores[image] = max(cores, 0.0)
        elif step.lasts:
            self.serving_millicores += millicores
        if step.tail_target_ms:
            self.n_serving[image] = self.n_serving.get(image, 0) + sign
            self.serving_images = frozenset(
                served for served, n_tasks in self.n_serving.items() if n_tasks > 0
            )

    def record_success(self) -> None:
        """Clear the failures, since a task has completed on the worker."""
        self.failed_jobs.clear()

    def record_failure(self, job_id: JobId, now_s: float) -> bool:
        """Count a failed task; return whether the worker is rested from now on."""
        if job_id not in self.failed_jobs:
            self.failed_jobs.append(job_id)
        if len(self.failed_jobs) < N_FAILURES_TO_REST:
            return False
        self.rested_until_s = now_s + REST_S
        self.failed_jobs.clear()
        return True

    def has_crashed_lately(self, now_s: float) -> bool:
        """Return whether the worker crashed shortly before `now_s`."""
        return now_s - self.crashed_s < UNSOUND_S

    def is_rested(self, now_s: float) -> bool:
        """Return whether the worker is rested at `now_s`."""
        return now_s < self.rested_until_s
