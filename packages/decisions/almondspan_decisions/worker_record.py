"""What the scheduler believes of the workers: room, health and who holds what.

A worker's room is its capacity less the shapes of all tasks assigned to its present
life, the ones being stopped included. Tasks that fill count their memory and
accelerators only. A worker on which tasks of several jobs fail in a row is rested
for a while; at most a share of the fleet is rested at the same time.
"""

from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import JobId, PlaceName, ServiceName
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_decisions.tail_latency_model import Image

__all__ = ["WorkerRecord", "counted_shape"]

N_FAILURES_TO_REST: Final = 2
"""Failures in a row, of different jobs, after which a worker is rested."""

REST_S: Final = 6.0


def counted_shape(step: StepSpec) -> Shape:
    """Return what a task of a step takes from its worker's room."""
    if not step.fills:
        return step.shape
    return Shape(0, step.shape.memory_mb, step.shape.n_accelerators)


@dataclass(slots=True)
class WorkerRecord:
    """One life of a worker as the scheduler knows it."""

    incarnation: WorkerIncarnation
    service: ServiceName
    place: PlaceName
    capacity: Shape
    labels: frozenset[str]
    rack: str = ""
    is_leaving: bool = False
    leaves_ms: int = 0
    """The time left to a leaving worker, in milliseconds."""
    used: Shape = EMPTY_SHAPE
    best_effort_millicores: int = 0
    """Processors asked for by the tasks that fill."""
    serving_millicores: int = 0
    """Processors asked for by lasting tasks, which rarely use all of them."""
    fill_cores: dict[Image, float] = field(default_factory=dict)
    """Processors asked for by the tasks that fill, by image."""
    n_serving: dict[Image, int] = field(default_factory=dict)
    """Tasks with a tail target, by image."""
    headrooms: dict[Image, float] = field(default_factory=dict)
    """Least headroom by serving image as last listed (see `tail_model`), less what the
    tasks placed since then will cost."""
    failed_jobs: list[JobId] = field(default_factory=list)
    """Jobs whose tasks failed here since the last success."""
    rested_until_s: float = 0.0

    @property
    def free(self) -> Shape:
        """The room that is left."""
        return self.capacity - self.used

    def take(self, step: StepSpec) -> None:
        """Count a task that was assigned."""
        self.used = self.used + counted_shape(step)
        self._count_shared(step, 1)

    def give_back(self, step: StepSpec) -> None:
        """Count a task that has ended."""
        self.used = self.used - counted_shape(step)
        self._count_shared(step, -1)

    def _count_shared(self, step: StepSpec, sign: int) -> None:
        image = Image(step.image)
        millicores = sign * step.shape.cpu_millicores
        if step.fills:
            self.best_effort_millicores += millicores
            cores = self.fill_cores.get(image, 0.0) + millicores / 1000
            self.fill_cores[image] = max(cores, 0.0)
        elif step.lasts:
            self.serving_millicores += millicores
        if step.tail_target_ms:
            self.n_serving[image] = self.n_serving.get(image, 0) + sign

    def record_success(self) -> None:
        """Forget earlier failures: the worker runs tasks to their end."""
        self.failed_jobs.clear()

    def record_failure(self, job_id: JobId, now_s: float) -> bool:
        """Count a failed task; tell whether the worker is to be rested now."""
        if job_id not in self.failed_jobs:
            self.failed_jobs.append(job_id)
        if len(self.failed_jobs) < N_FAILURES_TO_REST:
            return False
        self.rested_until_s = now_s + REST_S
        self.failed_jobs.clear()
        return True

    def is_rested(self, now_s: float) -> bool:
        """Tell whether the worker gets no tasks for now."""
        return now_s < self.rested_until_s
