"""The jobs with waiting tasks, in the order in which they get free capacity.

`JobOrder` decides the order. What a job needs is computed again after it has changed,
and at the latest after `MAX_AGE_S`; in between only its age grows.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Final

from almondspan_decisions.ids import JobId, ServiceName
from almondspan_decisions.job_demand import job_demand
from almondspan_decisions.job_graph import QueueName
from almondspan_decisions.job_order import (
    JobOrder,
    TimeClass,
    WaitingJob,
    time_class,
    waiting_job,
)
from almondspan_decisions.job_progress import JobProgress, JobState
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_decisions.task_times import TaskTimes
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.metrics import Metrics

__all__ = ["JobRanking"]

MAX_AGE_S: Final = 1.0
MIN_AGE_S: Final = 0.2
"""A job that changes more often is not measured more often than this."""

REPORT_S: Final = 1.0
"""Time between two updates of the metrics."""


@dataclass(frozen=True, slots=True)
class _Measured:
    """A job as it was measured at one time and version."""

    job: WaitingJob
    at_s: float
    version: int


class JobRanking:
    """Ranks the jobs with waiting tasks."""

    def __init__(
        self, table: JobTable, fleet: Fleet, times: TaskTimes, metrics: Metrics
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._times: Final = times
        self._metrics: Final = metrics
        self._order: Final = JobOrder()
        self._measured: dict[JobId, _Measured] = {}
        self._capacities: dict[ServiceName, Shape] = {}
        self._capacities_s = 0.0
        self._reported_s = 0.0
        self._reported_queues: set[QueueName] = set()

    def ranked(self, now_s: float) -> list[JobProgress]:
        """Return the jobs with waiting tasks in their order."""
        before, self._measured = self._measured, {}
        for job_id in self._table.placeable:
            self._measured[job_id] = self._measure(job_id, before.get(job_id), now_s)
        jobs = (measured.job for measured in self._measured.values())
        return [self._table[job.job_id] for job in self._order.sorted(jobs, now_s)]

    def _measure(
        self, job_id: JobId, before: _Measured | None, now_s: float
    ) -> _Measured:
        job = self._table[job_id]
        version = self._table.version(job)
        if before is not None:
            age_s = now_s - before.at_s
            if age_s < (MAX_AGE_S if version == before.version else MIN_AGE_S):
                return before
        rules = self._table.rules_of(job)
        demand = None
        if rules is not None and not _is_in_doubt(job):
            demand = job_demand(job, rules, self._times)
        capacity = EMPTY_SHAPE
        if rules is not None and demand is not None:
            capacity = self.capacity(rules.service, now_s)
        waiting = waiting_job(
            job_id,
            self._table.priority(job),
            job.spec.accepted_ms,
            self._table.since_s(job),
            demand,
            capacity,
        )
        return _Measured(waiting, now_s, version)

    def capacity(self, service: ServiceName, now_s: float) -> Shape:
        """Return the capacity of all workers of a service."""
        if now_s - self._capacities_s >= MAX_AGE_S or service not in self._capacities:
            self._capacities_s = now_s
            self._capacities = dict.fromkeys((service, *self._capacities), EMPTY_SHAPE)
            for worker in self._fleet.workers.values():
                known = self._capacities.get(worker.service, EMPTY_SHAPE)
                self._capacities[worker.service] = known + worker.capacity
        return self._capacities[service]

    def on_placed(self, job: JobProgress, n_tasks: int, now_s: float) -> None:
        """Record that tasks of a job have been placed."""
        measured = self._measured.get(job.job_id)
        if measured is None or measured.job.demand is None:
            return
        share = n_tasks / max(1, measured.job.demand.n_open_tasks)
        self._order.on_placed(measured.job, share * measured.job.room_s, now_s)

    def waiting_jobs(self) -> Iterator[tuple[QueueName, WaitingJob]]:
        """Yield the jobs with waiting tasks, as last measured, with their queues."""
        for job_id, measured in self._measured.items():
            if job_id in self._table.placeable:
                yield self._table[job_id].spec.queue, measured.job

    def on_ended(self, job: JobProgress) -> None:
        """Count a job that has completed, by the class in which it ended."""
        rules = self._table.rules_of(job)
        if job.state is not JobState.COMPLETED or rules is None:
            return
        measured = self._measured.get(job.job_id)
        demand = job_demand(job, rules, self._times)
        if demand is None and measured is not None:
            demand = measured.job.demand
        if demand is None or job.spec.n_occurrences:
            return
        age_s = steady_s() - self._table.since_s(job)
        kind = time_class(replace(demand, chain_s=0.0), age_s)
        labels = {"queue": job.spec.queue, "class": kind.name.lower()}
        self._metrics.count("jobs_completed", 1, labels)

    def close(self) -> None:
        """Report no waiting jobs: another process may own them from now on."""
        self._report(Counter())

    def tick(self, now_s: float) -> None:
        """Report the waiting jobs of each queue, by their class."""
        if now_s - self._reported_s < REPORT_S:
            return
        self._reported_s = now_s
        counts: Counter[tuple[QueueName, TimeClass]] = Counter()
        for measured in self._measured.values():
            waiting = measured.job
            if waiting.demand is None or waiting.job_id not in self._table.placeable:
                continue
            kind = time_class(waiting.demand, now_s - waiting.since_s)
            counts[(self._table[waiting.job_id].spec.queue, kind)] += 1
        self._report(counts)

    def _report(self, counts: Counter[tuple[QueueName, TimeClass]]) -> None:
        queues = {queue for queue, _ in counts}
        for queue in queues | self._reported_queues:
            for kind in TimeClass:
                self._metrics.set_gauge(
                    "jobs_waiting",
                    counts[(queue, kind)],
                    {"queue": queue, "class": kind.name.lower()},
                )
        self._reported_queues = queues


def _is_in_doubt(job: JobProgress) -> bool:
    """Return whether tasks of a job may have crashed their workers.

    Such a job keeps its place by age: placed after newer jobs, it would be tried beside
    their tasks, and a further crash would tell less of what caused it.
    """
    return any(
        task.n_crashes or task.n_unproven_crashes
        for steps in job.occurrences.values()
        for step in steps
        if step.n_waiting
        for task in step.tasks
    )
