"""Assigns waiting tasks to workers, in the order of `JobRanking`.

A step that can't be placed is checked against all workers again after `RECHECK_S`, and
before that only against workers whose free capacity has grown. For a task that fits on
no worker, `Preemptor` frees capacity.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.best_effort_admission import patience_left, useful_speed
from almondspan_decisions.ids import JobId, ServiceName
from almondspan_decisions.job_graph import QueueRules, StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress, TaskState
from almondspan_decisions.shapes import Shape
from almondspan_decisions.step_placement import PlacementCosts, StepPlacement
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.assignments import Assignments
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.interference_monitor import InterferenceMonitor
from almondspan_jobs.job_ranking import JobRanking
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.preemptor import Preemptor

__all__ = ["Planner"]

RECHECK_S: Final = 0.2

MAX_UNPLACED: Final = 16
"""A step is not tried in further occurrences after it found no worker in so many: its
tasks need the same in each of them."""

StartKind = tuple[ServiceName, str, str, str]
"""What decides which workers suit a best-effort task, besides its shape: service,
image, label and rack of its data."""

StepKey = tuple[JobId, int, int]
"""Identifies a step of one occurrence: job, occurrence and number of the step."""


@dataclass(frozen=True, slots=True)
class _SlowStart:
    """A best-effort task that would run slowly on all workers."""

    shape: Shape
    patience: float

    def covers(self, shape: Shape, patience: float) -> bool:
        """Return whether a task of the same image would run too slowly as well."""
        return self.shape.fits_in(shape) and patience >= self.patience


@dataclass(slots=True)
class _Round:
    """One planning round: its time and the workers to consider, by service."""

    now_s: float
    costs: PlacementCosts
    checked_s: Mapping[StepKey, float]
    """When each waiting step was last checked against all workers."""
    held_s: Mapping[StepKey, float]
    """Since when each step has waited for workers where it would run fast enough."""
    freed: Sequence[WorkerRecord]
    """Workers whose free capacity has grown since the last round."""
    workers: dict[ServiceName, list[WorkerRecord]] = field(default_factory=dict)
    slow_starts: dict[StartKind, _SlowStart] = field(default_factory=dict)
    """Best-effort tasks that were checked against all workers in vain."""

    def is_slow(self, service: ServiceName, step: StepSpec, patience: float) -> bool:
        """Return whether a task of a step is known to run too slowly on all workers."""
        found = self.slow_starts.get(_start_kind(service, step))
        return found is not None and found.covers(step.shape, patience)

    def patience_of(self, step_key: StepKey, step: StepSpec) -> float:
        """Return the share of its patience that a best-effort step has left."""
        waited_s = self.now_s - self.held_s.get(step_key, self.now_s)
        return patience_left(waited_s, step.estimate_ms / 1000)


@dataclass(frozen=True, slots=True)
class _StepOutcome:
    """How many tasks of a step were placed, and the first that could not be."""

    n_placed: int
    unplaced: TaskKey | None = None
    is_held: bool = False
    """A worker may run the task, but its start would slow serving tasks, other tasks
    are on trial there, or the task is to wait after a crash."""
    is_slow: bool = False
    """It is held since it would run slowly."""


class Planner:
    """Assigns waiting tasks to workers."""

    def __init__(
        self,
        table: JobTable,
        ranking: JobRanking,
        fleet: Fleet,
        assignments: Assignments,
        interference: InterferenceMonitor,
        preemptor: Preemptor,
        options: JobOptions,
        metrics: Metrics,
    ) -> None:
        self._table: Final = table
        self._ranking: Final = ranking
        self._fleet: Final = fleet
        self._assignments: Final = assignments
        self._interference: Final = interference
        self._preemptor: Final = preemptor
        self._options: Final = options
        self._metrics: Final = metrics
        self._checked_s: dict[StepKey, float] = {}
        """When each step that could not be placed was checked against all workers."""
        self._held_s: dict[StepKey, float] = {}
        """Since when each step has waited to run fast enough."""

    def plan(self) -> None:
        """Assign waiting tasks to workers with enough free capacity."""
        self._table.needs_planning = False
        now_s = steady_s()
        costs = PlacementCosts(self._interference.scores, now_s)
        this_round = _Round(
            now_s, costs, self._checked_s, self._held_s, self._fleet.take_freed()
        )
        self._checked_s, self._held_s = {}, {}
        n_jobs_placed = 0
        for job in self._ranking.ranked(now_s):
            rules = self._table.rules_of(job)
            n_before = job.n_placed
            if rules is not None and self._plan_job(job, rules, this_round):
                n_jobs_placed += 1
                self._ranking.on_placed(job, job.n_placed - n_before, now_s)
                self._table.mark_dirty(job)
        if n_jobs_placed:
            self._metrics.count("jobs_planned", n_jobs_placed)

    def _plan_job(self, job: JobProgress, rules: QueueRules, this: _Round) -> bool:
        """Place the tasks of one job; return whether any was placed."""
        n_placed = 0
        n_unplaced: Counter[int] = Counter()
        n_full = 0
        for occurrence, number in job.ready_steps():
            if n_unplaced[number] >= MAX_UNPLACED:
                continue
            step_key = (job.job_id, occurrence, number)
            last_s = this.checked_s.get(step_key)
            step = job.spec.steps[number]
            patience = this.patience_of(step_key, step)
            if step.fills and this.is_slow(rules.service, step, patience):
                self._held_s[step_key] = this.held_s.get(step_key, this.now_s)
                self._checked_s[step_key] = this.now_s if last_s is None else last_s
                continue
            is_full_check = last_s is None or this.now_s - last_s >= RECHECK_S
            workers = self._workers(rules.service, this, is_full_check)
            outcome = self._place_tasks(job, occurrence, number, workers, this)
            n_placed += outcome.n_placed
            if outcome.unplaced is None:
                continue
            if outcome.is_slow and is_full_check and not step.max_per_worker:
                kind = _start_kind(rules.service, step)
                this.slow_starts[kind] = _SlowStart(step.shape, patience)
            if not outcome.is_held and not step.max_per_worker:
                n_unplaced[number] += 1
                n_full += n_unplaced[number] == MAX_UNPLACED
            if last_s is None or is_full_check:
                self._checked_s[step_key] = this.now_s
                if not outcome.is_held:
                    self._preemptor.free_capacity_for(
                        job, outcome.unplaced, rules, workers, this.now_s
                    )
            else:
                self._checked_s[step_key] = last_s
            if n_full == len(job.spec.steps):
                break
        return n_placed > 0

    def _workers(
        self, service: ServiceName, this: _Round, is_full_check: bool
    ) -> Sequence[WorkerRecord]:
        if not is_full_check:
            return self._fleet.placeable_among(this.freed, service, this.now_s)
        workers = this.workers.get(service)
        if workers is None:
            workers = self._fleet.placeable_workers(service, this.now_s)
            this.workers[service] = workers
        return workers

    def _place_tasks(
        self,
        job: JobProgress,
        occurrence: int,
        number: int,
        workers: Sequence[WorkerRecord],
        this: _Round,
    ) -> _StepOutcome:
        """Place the waiting tasks of a step until one can't be placed."""
        scores = self._interference.scores
        step_key = (job.job_id, occurrence, number)
        held_s = this.held_s.get(step_key, this.now_s)
        placement = StepPlacement(job, occurrence, number, workers, this.costs)
        n_placed = 0
        untried: TaskKey | None = None
        for key in job.waiting(occurrence, number):
            task = job.task(key)
            assert task is not None
            if this.now_s < task.not_before_s:
                untried = key
                continue
            worker = placement.cheapest(task)
            if worker is None and placement.has_candidates and task.needs_trial:
                untried = key
                continue
            if worker is None:
                if step_key in this.held_s:
                    self._held_s[step_key] = held_s
                return _StepOutcome(n_placed, key)
            step = job.step_of(key)
            is_slow = self._is_slow(step, worker, this.patience_of(step_key, step))
            if is_slow or self._would_slow_serving(task, step, worker, this.now_s):
                if step_key not in this.held_s:
                    self._metrics.count("best_effort_steps_held")
                self._held_s[step_key] = held_s
                return _StepOutcome(n_placed, key, is_held=True, is_slow=is_slow)
            if step_key in this.held_s:
                self._metrics.observe_s("best_effort_hold", this.now_s - held_s)
            self._assignments.place(job, key, worker, scores, this.now_s)
            placement.on_placed(worker)
            n_placed += 1
        return _StepOutcome(n_placed, untried, is_held=untried is not None)

    def _is_slow(self, step: StepSpec, worker: WorkerRecord, patience: float) -> bool:
        """Return whether a best-effort task waits for a worker where it runs faster."""
        if not step.fills:
            return False
        speed = self._interference.scores.speed(step, worker, n_added=1)
        is_alone = worker.best_effort_millicores <= 0
        return speed < useful_speed(patience, is_alone=is_alone)

    def _would_slow_serving(
        self, task: TaskState, step: StepSpec, worker: WorkerRecord, now_s: float
    ) -> bool:
        """Return whether a best-effort task waits to avoid slowing serving tasks."""
        if not step.fills:
            return False
        if not self._interference.scores.n_affected_by_start(step, worker):
            return False
        task.held_s = task.held_s or now_s
        return now_s - task.held_s < self._options.best_effort_wait_s


def _start_kind(service: ServiceName, step: StepSpec) -> StartKind:
    return service, step.image, step.label, step.data_rack
