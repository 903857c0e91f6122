"""Moves running tasks out of evacuated places, and reports what can't move.

The requests reach every part through `Fleet.evacuations`. Once a request has stood for
`evacuation_settle_s`, the tasks that run in its place are judged at intervals
(`almondspan_decisions.evacuation.decide`), and those that move are stopped; the planner
places their next attempts elsewhere. Nothing moves while the requests are not known:
nothing can be placed then, so no worker has capacity for it.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.evacuation import Outlook, PlacedTask, decide
from almondspan_decisions.ids import JobId, PlaceName, ServiceName
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import TaskPhase
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.evacuations import EvacuationRequests
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions

__all__ = ["Evacuator", "RemainingTask"]

REPORT_INTERVAL_S: Final = 5.0
"""Least time between two log lines of what remains."""

MAX_LOGGED_TASKS: Final = 8
"""Largest number of tasks that one log line names."""

STUCK: Final = frozenset(
    {Outlook.NO_CAPACITY, Outlook.NONE_MAY_BE_AWAY, Outlook.OTHERS_ARE_AWAY}
)
"""Outlooks of tasks that can't move now."""


@dataclass(frozen=True, slots=True)
class RemainingTask:
    """A task in an evacuated place, and what becomes of it."""

    name: str
    worker: WorkerRecord
    outlook: Outlook


class Evacuator:
    """Applies the requests to evacuate places to running tasks."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._moved: Final[dict[tuple[JobId, TaskKey], int]] = {}
        """The attempts that were stopped, by task, until the next one is placed."""
        self._judged_s = 0.0
        self._reported_s = 0.0

    def set_requests(self, requests: EvacuationRequests) -> None:
        """Apply the requests; workers of places that are free again count as freed."""
        evacuations = self._fleet.evacuations
        before, evacuations.requests = evacuations.requests, requests
        if before.since_s.keys() == requests.since_s.keys():
            return
        for record in self._fleet.workers.values():
            if record.place in before.since_s and record.place not in requests.since_s:
                self._fleet.mark_freed(record)
        self._table.needs_planning = True
        self._reported_s = 0.0
        if evacuations.terms.is_used:
            self._metrics.set_gauge("evacuated_places", len(requests.since_s))

    def tick(self, now_s: float) -> None:
        """Judge the tasks in evacuated places when that is due, and stop some."""
        evacuations = self._fleet.evacuations
        if now_s - self._judged_s < self._options.evacuation_interval_s:
            return
        self._judged_s = now_s
        if not evacuations.requests.since_s:
            if self._moved:
                self._moved.clear()
            self._set_gauges([])
            return
        remaining = []
        for placed, worker, outlook in self._judge(now_s):
            if outlook is Outlook.MOVES:
                self._stop(placed, worker)
            remaining.append(_remaining(placed, worker, outlook))
        self._set_gauges(remaining)
        self._report(remaining, now_s)

    def remaining(self) -> list[RemainingTask]:
        """Return the tasks in evacuated places, and what becomes of them now."""
        return [_remaining(*judged) for judged in self._judge(steady_s())]

    def _judge(self, now_s: float) -> list[tuple[PlacedTask, WorkerRecord, Outlook]]:
        evacuations = self._fleet.evacuations
        workers_of: dict[tuple[JobId, TaskKey], WorkerRecord] = {}
        tasks = []
        found = []
        for record in self._fleet.workers.values():
            if not evacuations.is_evacuated(record.place):
                continue
            is_settled = self._is_settled(record.place, now_s)
            for job_id, key in self._fleet.held_by(record.incarnation):
                placed = self._placed(job_id, key)
                if not is_settled:
                    found.append((placed, record, Outlook.REQUEST_IS_RECENT))
                    continue
                workers_of[(job_id, key)] = record
                tasks.append(placed)
        services = {placed.service for placed in tasks if placed.service is not None}
        workers = {
            service: self._fleet.placeable_workers(service, now_s)
            for service in services
        }
        moved = list(self._moved_and_waiting())
        silent_s = self._options.listing_timeout_s
        for placed, outlook in decide(tasks, moved, workers, now_s, silent_s):
            worker = workers_of[(placed.job.job_id, placed.key)]
            found.append((placed, worker, outlook))
        return found

    def _is_settled(self, place: PlaceName, now_s: float) -> bool:
        settle_s = self._options.evacuation_settle_s
        return self._fleet.evacuations.has_stood(place, settle_s, now_s)

    def _placed(self, job_id: JobId, key: TaskKey) -> PlacedTask:
        job = self._table[job_id]
        rules = self._table.rules_of(job)
        service: ServiceName | None = rules.service if rules is not None else None
        return PlacedTask(job, key, self._table.priority(job), service)

    def _moved_and_waiting(self) -> Iterator[PlacedTask]:
        """Yield the tasks that were stopped to move and are not placed again yet."""
        for (job_id, key), attempt in tuple(self._moved.items()):
            job = self._table.jobs.get(job_id)
            task = job.task(key) if job is not None else None
            if (
                job is None
                or task is None
                or not job.is_active
                or task.n_attempts != attempt
                or task.phase is TaskPhase.DONE
            ):
                del self._moved[(job_id, key)]
                continue
            yield self._placed(job_id, key)

    def _stop(self, placed: PlacedTask, worker: WorkerRecord) -> None:
        task = placed.state
        task.request_stop()
        self._moved[(placed.job.job_id, placed.key)] = task.n_attempts
        self._metrics.count("evacuation_moves")
        self._log.line(
            "task_evacuated",
            task=format_task_name(placed.job.job_id, placed.key),
            attempt=task.n_attempts,
            worker=worker.incarnation.worker_id,
            place=worker.place,
            percent=task.percent,
            checkpoint=task.checkpoint,
        )

    def _set_gauges(self, remaining: Sequence[RemainingTask]) -> None:
        if not self._fleet.evacuations.terms.is_used:
            return
        n_stuck = sum(task.outlook in STUCK for task in remaining)
        self._metrics.set_gauge("evacuation_tasks", len(remaining))
        self._metrics.set_gauge("evacuation_tasks_stuck", n_stuck)

    def _report(self, remaining: Sequence[RemainingTask], now_s: float) -> None:
        """Log what remains, and some of the tasks that can't move."""
        if not remaining or now_s - self._reported_s < REPORT_INTERVAL_S:
            return
        self._reported_s = now_s
        stuck = [task.name for task in remaining if task.outlook in STUCK]
        counts = Counter(task.outlook.value for task in remaining)
        self._log.line(
            "evacuation_remaining",
            n_places=len(self._fleet.evacuations.requests.since_s),
            n_tasks=len(remaining),
            n_stuck=len(stuck),
            outlooks=dict(counts),
            stuck=stuck[:MAX_LOGGED_TASKS],
        )

    def close(self) -> None:
        """Report nothing further: another entry owns the jobs, or none does."""
        if self._fleet.evacuations.terms.is_used:
            self._metrics.set_gauge("evacuated_places", 0)
            self._set_gauges([])


def _remaining(
    placed: PlacedTask, worker: WorkerRecord, outlook: Outlook
) -> RemainingTask:
    name = format_task_name(placed.job.job_id, placed.key)
    return RemainingTask(name, worker, outlook)
