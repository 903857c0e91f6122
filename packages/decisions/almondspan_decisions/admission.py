"""Whether a job is rejected at its submission, and when its caller may try again.

A job is rejected only if it surely can't be served:

- One of its steps fits on no worker that was seen lately. Its service has workers, the
  fleet has not changed for a while, and every known worker has reported.
- Its queue's backlog is longer than `LATE_FACTOR` times the job's objective, and has
  been for as long: bursts of a few seconds reject nothing. The backlog is a lower
  bound: the waiting jobs of more urgent queues, and those of queues as urgent that can
  still be in time, at the full speed of all workers. Jobs that are late don't count,
  since a new one goes before them. The objective is an upper bound: declared times may
  be too short by `MAX_RATIO`.

In doubt a job is accepted: without recent figures, for jobs that last or are repeated,
for steps without a declared time, and while a write of an entry may be under way whose
outcome is unknown (`is_settled`).

Rejected callers are told to return one after another, in the order in which they came,
as the backlog is expected to make room for their jobs.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple

from almondspan_decisions.ids import ServiceName
from almondspan_decisions.job_demand import (
    LATE_FACTOR,
    JobDemand,
    Room,
    longest_chain_s,
    longest_of,
)
from almondspan_decisions.job_graph import JobSpec, QueueName, QueueRules, StepSpec
from almondspan_decisions.job_order import TimeClass, WaitingJob, time_class
from almondspan_decisions.shapes import Shape
from almondspan_decisions.task_times import MAX_RATIO
from almondspan_decisions.worker_record import (
    SERVING_USE_SHARE,
    WorkerRecord,
    counted_shape,
)

__all__ = [
    "Admission",
    "AdmissionFigures",
    "FleetSizes",
    "QueueBacklog",
    "Rejection",
    "RejectionCause",
    "ServiceCapacity",
    "WorkerSize",
    "backlogs",
    "service_capacities",
    "worker_sizes",
]

MAX_FIGURES_AGE_S: Final = 2.0
"""Older figures reject nothing."""

CERTAIN_SHARE: Final = 0.7
"""Share of the expected room of waiting jobs that they surely need."""

KEPT_S: Final = 300.0
"""A size of worker counts for this long after the last such worker was seen."""

STABLE_S: Final = 10.0
"""For this long no new size of worker must have appeared."""

UNREPORTED_S: Final = 60.0
"""After this long an agent without a report from its worker is taken for gone."""

NO_WORKER_RETRY_S: Final = 30.0
MIN_RETRY_S: Final = 1.0
MAX_RETRY_S: Final = 60.0

MAX_DRAIN_S: Final = 86_400.0
"""Longer backlogs count as this one."""

MAX_WATCHED_S: Final = 60.0
"""A backlog that has been too long for this time rejects in any case."""

MAX_UPDATES_KEPT: Final = 256

MAX_AUDITED: Final = 1_000
"""Rejections whose correctness is checked at the same time."""


class WorkerSize(NamedTuple):
    """Workers of a service that have a label are up to this large."""

    service: ServiceName
    label: str
    """Empty for any worker."""
    capacity: Shape


class ServiceCapacity(NamedTuple):
    """The capacity of all workers of a service: a bound of what tasks may use."""

    counted: Shape
    """For tasks that count against the capacity of their workers."""
    shared: Shape
    """For all tasks that end, also those that use processors which others leave."""


class QueueBacklog(NamedTuple):
    """How long the work that comes before a new job of a queue takes at least.

    Jobs of the same queue that are late come after a new one.
    """

    queue: QueueName
    drain_s: float
    spacing_s: float
    """Time that one more job of the queue takes, if it has all workers."""
    n_waiting: int


@dataclass(frozen=True, slots=True)
class AdmissionFigures:
    """What an entry needs to know to reject jobs."""

    backlogs: Mapping[QueueName, QueueBacklog]
    """A queue without a backlog is left out."""
    sizes: tuple[WorkerSize, ...]
    are_sizes_known: bool
    is_settled: bool
    """Whether no entry has, or lately had, a write whose outcome it does not know."""
    n_entries: int = 1


# The owner: sizes of workers


def worker_sizes(workers: Iterable[WorkerRecord]) -> frozenset[WorkerSize]:
    """Return the largest sizes of the workers, for each label and for any."""
    found: dict[tuple[ServiceName, str], set[Shape]] = {}
    for worker in workers:
        for label in ("", *worker.labels):
            found.setdefault((worker.service, label), set()).add(worker.capacity)
    return frozenset(
        WorkerSize(service, label, shape)
        for (service, label), shapes in found.items()
        for shape in shapes
        if not any(shape != other and shape.fits_in(other) for other in shapes)
    )


class FleetSizes:
    """Remembers the sizes of workers that were seen lately."""

    def __init__(self, started_s: float) -> None:
        self._started_s: Final = started_s
        self._changed_s = started_s
        self._seen_s: dict[WorkerSize, float] = {}
        self.version = 0
        """Rises with every change of `sizes`."""

    def observe(
        self, sizes: frozenset[WorkerSize], now_s: float, *, have_all_reported: bool
    ) -> None:
        """Record the sizes of the current workers."""
        if any(size not in self._seen_s for size in sizes) or (
            not have_all_reported and now_s - self._started_s < UNREPORTED_S
        ):
            self._changed_s = now_s
        before = self._seen_s.keys()
        self._seen_s = {
            **{size: at_s for size, at_s in self._seen_s.items() if now_s < at_s},
            **dict.fromkeys(sizes, now_s + KEPT_S),
        }
        self.version += before != self._seen_s.keys()

    @property
    def sizes(self) -> tuple[WorkerSize, ...]:
        """The sizes that were seen lately, sorted."""
        return tuple(sorted(self._seen_s, key=_size_key))

    def are_known(self, now_s: float) -> bool:
        """Return whether a worker of another size is unlikely to appear."""
        return now_s - self._changed_s >= STABLE_S


def _size_key(size: WorkerSize) -> tuple[str, str, int, int, int]:
    shape = size.capacity
    return (
        size.service,
        size.label,
        shape.cpu_millicores,
        shape.memory_mb,
        shape.n_accelerators,
    )


# The owner: backlogs


def service_capacities(
    workers: Iterable[WorkerRecord],
) -> dict[ServiceName, ServiceCapacity]:
    """Return for each service how much its workers have for tasks that end."""
    found: dict[ServiceName, ServiceCapacity] = {}
    empty = ServiceCapacity(Shape(), Shape())
    for worker in workers:
        known = found.get(worker.service, empty)
        serving = worker.serving_millicores
        used = int(SERVING_USE_SHARE * serving)
        found[worker.service] = ServiceCapacity(
            known.counted + worker.capacity - Shape(serving),
            known.shared + worker.capacity - Shape(used),
        )
    return found


@dataclass(slots=True)
class _Backlog:
    """The sum of what waiting jobs need."""

    room: Room = field(default_factory=Room)
    fill_core_s: float = 0.0
    n_jobs: int = 0

    def add(self, demand: JobDemand) -> None:
        self.room = self.room + demand.room
        self.fill_core_s += demand.fill_core_s
        self.n_jobs += 1

    def merge(self, other: "_Backlog") -> None:
        self.room = self.room + other.room
        self.fill_core_s += other.fill_core_s
        self.n_jobs += other.n_jobs

    def drain_s(self, capacity: ServiceCapacity) -> float:
        """Return how long the jobs take at least, with all workers at full speed."""
        room = self.room
        counted = Room(
            room.core_s - self.fill_core_s, room.memory_mb_s, room.accelerator_s
        )
        drain_s = max(
            counted.seconds_of(capacity.counted), room.seconds_of(capacity.shared)
        )
        return min(drain_s, MAX_DRAIN_S)


def backlogs(
    waiting: Iterable[tuple[QueueName, WaitingJob]],
    rules: Mapping[QueueName, QueueRules],
    capacities: Mapping[ServiceName, ServiceCapacity],
    now_s: float,
) -> dict[QueueName, QueueBacklog]:
    """Return the backlog of each queue before which there is work."""
    in_time: dict[QueueName, _Backlog] = {}
    late: dict[QueueName, _Backlog] = {}
    for queue, job in waiting:
        if job.demand is None or queue not in rules:
            continue
        is_in_time = time_class(job.demand, now_s - job.since_s) is TimeClass.IN_TIME
        sums = in_time if is_in_time else late
        sums.setdefault(queue, _Backlog()).add(job.demand)
    found = {}
    for queue, own in rules.items():
        capacity = capacities.get(own.service)
        if capacity is None:
            continue
        before, of_queue = _Backlog(), _Backlog()
        for sums in (in_time, late):
            for name, other in sums.items():
                if rules[name].service == own.service and (
                    rules[name].priority < own.priority
                    or (rules[name].priority == own.priority and sums is in_time)
                ):
                    before.merge(other)
            of_queue.merge(sums.get(queue, _Backlog()))
        drain_s = CERTAIN_SHARE * before.drain_s(capacity)
        spacing_s = of_queue.drain_s(capacity) / max(1, of_queue.n_jobs)
        if drain_s:
            found[queue] = QueueBacklog(queue, drain_s, spacing_s, of_queue.n_jobs)
    return found


# The entry


class RejectionCause(Enum):
    """Why a job can't be served."""

    NO_WORKER = "no_worker"
    BACKLOG = "backlog"


@dataclass(frozen=True, slots=True)
class Rejection:
    """A job that is not accepted, and after which time its caller may try again."""

    cause: RejectionCause
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class _Audited:
    """A rejection, until a job accepted then would have been of no worth any more."""

    queue: QueueName
    cause: RejectionCause
    until_s: float
    service: ServiceName
    steps: tuple[StepSpec, ...]
    shortest_s: float
    """How long the job would have taken at least."""


class Admission:
    """Decides on the jobs that callers submit at one entry."""

    def __init__(self) -> None:
        self._figures: AdmissionFigures | None = None
        self._received_s = -math.inf
        self._drains: Final[dict[QueueName, deque[tuple[float, float]]]] = {}
        """The recent backlogs of each queue, with their times."""
        self._next_return_s: Final[dict[QueueName, float]] = {}
        """When the next rejected caller of a queue is to return."""
        self._audited: deque[_Audited] = deque(maxlen=MAX_AUDITED)

    def update(self, figures: AdmissionFigures, now_s: float) -> list[QueueName]:
        """Set new figures; return the queue of each rejection found to be wrong."""
        self._figures = figures
        self._received_s = now_s
        self._record_drains(figures, now_s)
        wrong: list[QueueName] = []
        kept: deque[_Audited] = deque(maxlen=MAX_AUDITED)
        for rejected in self._audited:
            if now_s + rejected.shortest_s > rejected.until_s:
                continue
            if _is_servable(rejected, figures, now_s):
                wrong.append(rejected.queue)
            else:
                kept.append(rejected)
        self._audited = kept
        return wrong

    def decide(
        self, spec: JobSpec, rules: QueueRules | None, now_s: float
    ) -> RejectionCause | None:
        """Return why a job can't be served; None if it is accepted."""
        figures = self._figures
        if figures is None or now_s - self._received_s > MAX_FIGURES_AGE_S:
            return None
        if rules is None or not (rules.stretch > 0 and rules.target_ms > 0):
            return None
        if not figures.is_settled:
            return None
        if figures.are_sizes_known and not _has_worker(
            rules.service, spec.steps, figures.sizes
        ):
            return RejectionCause.NO_WORKER
        limit_s = longest_wait_s(spec, rules)
        if self._is_backlog_longer(spec.queue, limit_s, now_s):
            return RejectionCause.BACKLOG
        return None

    def _record_drains(self, figures: AdmissionFigures, now_s: float) -> None:
        for queue in tuple(self._drains):
            if queue not in figures.backlogs:
                del self._drains[queue]
        for queue, backlog in figures.backlogs.items():
            drains = self._drains.setdefault(queue, deque(maxlen=MAX_UPDATES_KEPT))
            if drains and now_s - drains[-1][0] > MAX_FIGURES_AGE_S:
                drains.clear()
            drains.append((now_s, backlog.drain_s))

    def _is_backlog_longer(
        self, queue: QueueName, limit_s: float, now_s: float
    ) -> bool:
        """Return whether a queue's backlog is, and has long been, above a limit."""
        for at_s, drain_s in reversed(self._drains.get(queue, ())):
            if drain_s <= limit_s:
                return False
            if now_s - at_s >= min(limit_s, MAX_WATCHED_S):
                return True
        return False

    def reject(
        self, spec: JobSpec, rules: QueueRules, cause: RejectionCause, now_s: float
    ) -> Rejection:
        """Return the answer to a caller whose job is rejected, and count it."""
        limit_s = longest_wait_s(spec, rules)
        if math.isfinite(limit_s):
            shortest = [step.estimate_ms / 1000 / MAX_RATIO for step in spec.steps]
            self._audited.append(
                _Audited(
                    spec.queue,
                    cause,
                    now_s + limit_s,
                    rules.service,
                    spec.steps,
                    longest_chain_s(spec, shortest),
                )
            )
        if cause is RejectionCause.NO_WORKER:
            return Rejection(cause, "no worker can hold the job", NO_WORKER_RETRY_S)
        assert self._figures is not None
        backlog = self._figures.backlogs[spec.queue]
        return Rejection(
            cause,
            f"the jobs before it take {math.ceil(backlog.drain_s)} s or more, its limit"
            f" is {limit_s:.1f} s",
            self._return_s(backlog, limit_s, now_s) - now_s,
        )

    def _return_s(self, backlog: QueueBacklog, limit_s: float, now_s: float) -> float:
        """Return when a caller is to return: after those that were rejected before."""
        figures = self._figures
        assert figures is not None
        room_s = now_s + max(backlog.drain_s - limit_s, MIN_RETRY_S)
        return_s = max(room_s, self._next_return_s.get(backlog.queue, 0.0))
        return_s = min(return_s, now_s + MAX_RETRY_S)
        spacing_s = backlog.spacing_s * figures.n_entries
        self._next_return_s[backlog.queue] = return_s + spacing_s
        return return_s


def longest_wait_s(spec: JobSpec, rules: QueueRules) -> float:
    """Return after which time a job is certainly worth nothing; infinite if unknown."""
    is_known = all(step.estimate_ms > 0 and not step.lasts for step in spec.steps)
    if not is_known or spec.n_occurrences:
        return math.inf
    works_s = [
        MAX_RATIO * step.estimate_ms / 1000 * longest_of(step.n_tasks)
        for step in spec.steps
    ]
    objective_s = rules.stretch * longest_chain_s(spec, works_s)
    return LATE_FACTOR * (objective_s + rules.target_ms / 1000)


def _has_worker(
    service: ServiceName, steps: Iterable[StepSpec], sizes: Iterable[WorkerSize]
) -> bool:
    """Return whether each step fits on a worker, or the service has none at all."""
    of_service = [size for size in sizes if size.service == service]
    return not of_service or all(
        any(
            size.label == step.label and counted_shape(step).fits_in(size.capacity)
            for size in of_service
        )
        for step in steps
    )


def _is_servable(rejected: _Audited, figures: AdmissionFigures, now_s: float) -> bool:
    """Return whether a rejected job, accepted now instead, could be of some worth."""
    if rejected.cause is RejectionCause.NO_WORKER:
        return _has_worker(rejected.service, rejected.steps, figures.sizes)
    backlog = figures.backlogs.get(rejected.queue)
    waits_s = backlog.drain_s / CERTAIN_SHARE if backlog is not None else 0.0
    return now_s + waits_s + rejected.shortest_s <= rejected.until_s
