"""Replays arrivals of jobs on one pool of processors, without the rest of the system.

Jobs of steps one after another share the pool. Whenever processors are free, waiting
tasks start in the order of the jobs that an `Order` returns. Tasks of a step are alike
within 25%; their declared time is wrong by up to 1.9 either way.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from almondspan_decisions.ids import JobId, ServiceName, WorkerId
from almondspan_decisions.job_demand import LATE_FACTOR, job_demand
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    StepSpec,
    TaskKey,
)
from almondspan_decisions.job_order import JobOrder, WaitingJob, waiting_job
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.task_times import TaskTimes, timed_step

QUEUE = QueueName("q")
POOL = WorkerIncarnation(WorkerId("pool"), 1)
LISTING_S = 0.5
MEASURE_S = 0.5


@dataclass(frozen=True)
class Load:
    """The jobs of one replay; rates are per second."""

    rules: QueueRules
    cores: int
    task_cores: float
    task_s: float
    width: int
    job_rate: float
    bursts: tuple[tuple[float, float, float], ...] = ()
    """Begin, end and factor of each burst."""
    for_s: float = 60.0


SHORT = Load(QueueRules(ServiceName("pool"), 0, 3, 1.5, 250), 64, 1.3, 1.0, 10, 1.6)
WIDE = Load(QueueRules(ServiceName("pool"), 0, 3, 2.0, 1_000), 160, 1.0, 4.0, 20, 0.7)
BURSTS = ((10.0, 16.0, 2.6), (28.0, 33.0, 2.0), (45.0, 50.0, 2.4))


@dataclass
class ReplayedJob:
    progress: JobProgress
    at_s: float
    durations_s: list[list[float]]
    objective_s: float
    started_s: float | None = None
    ended_s: float | None = None

    @property
    def took_s(self) -> float:
        assert self.ended_s is not None
        return self.ended_s - self.at_s

    @property
    def is_in_time(self) -> bool:
        return self.took_s <= self.objective_s

    @property
    def is_late(self) -> bool:
        return self.objective_s < self.took_s <= LATE_FACTOR * self.objective_s


Order = Callable[[Sequence[WaitingJob], float], list[WaitingJob]]


def by_age(jobs: Sequence[WaitingJob], now_s: float) -> list[WaitingJob]:
    """The order before `JobOrder`."""
    return sorted(jobs, key=lambda job: (job.priority, job.accepted_ms))


def make_jobs(load: Load, seed: int, first: int = 0) -> list[ReplayedJob]:
    """Return the jobs of a load, numbered from `first`."""
    rng = random.Random(seed)
    jobs: list[ReplayedJob] = []
    at_s = 0.0
    while True:
        factors = [f for begin, end, f in load.bursts if begin <= at_s < end]
        at_s += rng.expovariate(load.job_rate * max(factors, default=1.0))
        if at_s >= load.for_s:
            return jobs
        jobs.append(_make_job(load, rng, at_s, first + len(jobs)))


def _make_job(load: Load, rng: random.Random, at_s: float, number: int) -> ReplayedJob:
    steps: list[StepSpec] = []
    durations_s: list[list[float]] = []
    for index in range(rng.choice([1, 1, 2, 3])):
        width = max(1, min(int(load.width * rng.lognormvariate(0, 0.6)), 60))
        mean_s = load.task_s * rng.uniform(0.6, 1.4)
        durations_s.append([mean_s * rng.uniform(0.8, 1.25) for _ in range(width)])
        steps.append(
            StepSpec(
                width,
                Shape(int(load.task_cores * 1000), 100),
                int(1000 * mean_s * 1.9 ** rng.uniform(-1, 1)),
                after=(index - 1,) if index else (),
            )
        )
    spec = JobSpec(QUEUE, "", tuple(steps), accepted_ms=int(at_s * 1000))
    progress = JobProgress(JobId(f"{number:016x}"), spec)
    progress.open_occurrence()
    chain_s = sum(max(of_step) for of_step in durations_s)
    objective_s = load.rules.stretch * chain_s + load.rules.target_ms / 1000
    return ReplayedJob(progress, at_s, durations_s, objective_s)


@dataclass
class OrderReplay:
    """Runs the jobs of a load, one event after another."""

    load: Load
    jobs: list[ReplayedJob]
    order: Order
    on_placed: Callable[[WaitingJob, float, float], None]
    times: TaskTimes = field(default_factory=TaskTimes)

    def run(self) -> None:
        self.by_id = {job.progress.job_id: job for job in self.jobs}
        self.free = float(self.load.cores)
        self.active: dict[JobId, ReplayedJob] = {}
        self.measured: dict[JobId, tuple[float, WaitingJob]] = {}
        self.running: dict[tuple[JobId, TaskKey], float] = {}
        events: list[tuple[float, int, JobId, TaskKey | None]] = []
        for number, job in enumerate(self.jobs):
            heapq.heappush(events, (job.at_s, number, job.progress.job_id, None))
        n_events = len(events)
        listed_s = 0.0
        while events:
            now_s, _, job_id, key = heapq.heappop(events)
            if key is None:
                self.active[job_id] = self.by_id[job_id]
            else:
                self._end(job_id, key, now_s)
            if now_s - listed_s >= LISTING_S:
                self._list(now_s)
                listed_s = now_s
            for placed_id, placed_key, duration_s in self._place(now_s):
                n_events += 1
                heapq.heappush(
                    events, (now_s + duration_s, n_events, placed_id, placed_key)
                )

    def _end(self, job_id: JobId, key: TaskKey, now_s: float) -> None:
        job = self.by_id[job_id]
        run_s = now_s - self.running.pop((job_id, key))
        timed = timed_step(job_id, job.progress.spec, key.step)
        self.times.observe(QUEUE, timed, run_s, timed.declared_s, key.position)
        job.progress.end(key, EndKind.DONE, "")
        self.free += self.load.task_cores
        if not job.progress.is_active:
            job.ended_s = now_s
            del self.active[job_id]

    def _list(self, now_s: float) -> None:
        for (job_id, key), begun_s in self.running.items():
            job = self.by_id[job_id]
            task = job.progress.task(key)
            assert task is not None
            duration_s = job.durations_s[key.step][key.position]
            task.ran_s = now_s - begun_s
            task.percent = int(100 * task.ran_s / duration_s)
            timed = timed_step(job_id, job.progress.spec, key.step)
            self.times.observe_progress(
                QUEUE, timed, key.position, task.ran_s, task.percent
            )

    def _place(self, now_s: float) -> list[tuple[JobId, TaskKey, float]]:
        if self.free < self.load.task_cores:
            return []
        waiting = [
            self._measure(job, now_s)
            for job in self.active.values()
            if next(job.progress.ready_steps(), None) is not None
        ]
        placed = []
        for ranked in self.order(waiting, now_s):
            job = self.by_id[ranked.job_id]
            n_placed = 0
            for occurrence, number in tuple(job.progress.ready_steps()):
                for key in job.progress.waiting(occurrence, number):
                    if self.free < self.load.task_cores:
                        break
                    self.free -= self.load.task_cores
                    job.progress.place(key, POOL, now_s)
                    n_placed += 1
                    self.running[(ranked.job_id, key)] = now_s
                    duration_s = job.durations_s[number][key.position]
                    placed.append((ranked.job_id, key, duration_s))
            if n_placed:
                job.started_s = now_s if job.started_s is None else job.started_s
                assert ranked.demand is not None
                share = n_placed / max(1, ranked.demand.n_open_tasks)
                self.on_placed(ranked, share * ranked.room_s, now_s)
        return placed

    def _measure(self, job: ReplayedJob, now_s: float) -> WaitingJob:
        job_id = job.progress.job_id
        measured_s, known = self.measured.get(job_id, (-MEASURE_S, None))
        if known is not None and now_s - measured_s < MEASURE_S:
            return known
        found = waiting_job(
            job_id,
            self.load.rules.priority,
            job.progress.spec.accepted_ms,
            job.at_s,
            job_demand(job.progress, self.load.rules, self.times),
            Shape(self.load.cores * 1000, 1_000_000),
        )
        self.measured[job_id] = (now_s, found)
        return found


def replay(
    load: Load,
    seed: int,
    *,
    is_by_age: bool = False,
    others: Sequence[ReplayedJob] = (),
) -> list[ReplayedJob]:
    """Return the jobs of a load after all have ended, also those of other callers."""
    jobs = make_jobs(load, seed)
    order = JobOrder()
    replayed = OrderReplay(
        load,
        [*jobs, *others],
        by_age if is_by_age else order.sorted,
        order.on_placed,
    )
    replayed.run()
    return jobs


def share_in_time(jobs: Sequence[ReplayedJob]) -> float:
    return sum(job.is_in_time for job in jobs) / len(jobs)
