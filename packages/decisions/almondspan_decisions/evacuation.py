"""Evacuation of places: when starts must cease, and which running tasks move.

Starts. A request must end all starts in its place within a limit (`EvacuationTerms`).
The scheduler starts nothing while its view of the requests is older than
`view_limit_s`, and every start command expires `start_window_s` after it is sent, on
the worker's clock. The view that allows the last start was read before the request, so
that start begins at most `view_limit_s` and `start_window_s` after the request, however
long the command is on its way. The sum leaves a margin for the drift of the clocks.

Moves. `decide` judges every task that runs in an evacuated place:

1. A lasting task moves if the tasks of its step that are away are fewer than may be.
2. A task that ends soon, or that would lose its work, finishes. Others move.
3. Nothing moves without free capacity elsewhere. Capacity for tasks that were stopped
   before and are not placed again yet is set aside first.
4. The most urgent queues go first, then lasting tasks, then the largest, and those with
   the most work left. One round stops a limited number of tasks.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final, NamedTuple

from almondspan_decisions.eligibility import could_ever_run
from almondspan_decisions.ids import JobId, ServiceName, WorkerId
from almondspan_decisions.job_graph import StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress, TaskPhase, TaskState
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_decisions.worker_record import WorkerRecord, counted_shape

__all__ = [
    "READY_PERCENT",
    "EvacuationTerms",
    "Outlook",
    "PlacedTask",
    "decide",
    "is_away",
]

VIEW_SHARE: Final = 0.55
"""Share of the limit for which a view of the requests may be used.

A watch that waits for a fifth of the limit confirms the view after two fifths at most,
and a lost answer is made up for by a read before the view is too old.
"""

OVERDUE_SHARE: Final = 0.44
WATCH_SHARE: Final = 0.2
START_SHARE: Final = 0.36

READY_PERCENT: Final = 100
"""A lasting task is at work at this progress."""

ENDS_SOON_S: Final = 3.0
"""A move takes about a second; a task with less work left than this ends sooner."""

MIN_RAN_S: Final = 0.5
"""The remaining time is estimated from the progress after this run time."""

MAX_MOVES: Final = 16
"""Moves that one round may start."""


@dataclass(frozen=True, slots=True)
class EvacuationTerms:
    """How long a view of the requests and a start command are valid.

    Attributes
    ----------
    limit_s : float
        Longest time from a request to the last start; 0 if there are no evacuations.
    drift : float
        Largest share by which a worker's clock may be slow.
    """

    limit_s: float
    drift: float

    @property
    def is_used(self) -> bool:
        """Whether there are evacuations."""
        return self.limit_s > 0

    @property
    def view_limit_s(self) -> float:
        """How long after the sending of the read a view allows starts."""
        return VIEW_SHARE * self.limit_s

    @property
    def overdue_s(self) -> float:
        """The age of a view at which the requests are read without the watch."""
        return OVERDUE_SHARE * self.limit_s

    @property
    def watch_wait_s(self) -> float:
        """Longest wait of a watch for changes."""
        return WATCH_SHARE * self.limit_s

    @property
    def start_window_s(self) -> float:
        """How long after its sending a start command may be executed."""
        return START_SHARE * self.limit_s

    def start_until_ms(self, clock_ms: int, age_s: float, lease_until_ms: int) -> int:
        """Return the time on the worker's clock at which a start command expires.

        Parameters
        ----------
        clock_ms : int
            The worker's clock in its latest listing.
        age_s : float
            Time since that listing arrived. The worker's clock is later by at least
            this much, less the drift.
        lease_until_ms : int
            The end of the worker's lease.
        """
        if not self.is_used:
            return lease_until_ms
        valid_s = age_s * (1 - self.drift) + self.start_window_s
        return min(lease_until_ms, clock_ms + int(valid_s * 1000))


class Outlook(Enum):
    """What becomes of a task that runs in an evacuated place."""

    MOVES = "moves"
    """It is to be stopped now."""
    STOPPING = "stopping"
    UNCONFIRMED = "unconfirmed"
    """Its worker has not listed it yet."""
    ENDS_SOON = "ends_soon"
    SAVES_NO_PROGRESS = "saves_no_progress"
    """It finishes, since a move would lose its work."""
    NONE_MAY_BE_AWAY = "none_may_be_away"
    OTHERS_ARE_AWAY = "others_are_away"
    """As many tasks of its step are away as may be."""
    NO_CAPACITY = "no_capacity"
    """No worker elsewhere has free capacity for it."""
    WAITS_ITS_TURN = "waits_its_turn"
    REQUEST_IS_RECENT = "request_is_recent"


StepKey = tuple[JobId, int, int]
"""Identifies a step of one occurrence: job, occurrence and number of the step."""


class PlacedTask(NamedTuple):
    """A task that is assigned to a worker, or was until it was stopped to be moved."""

    job: JobProgress
    key: TaskKey
    priority: int
    service: ServiceName | None
    """The service of the queue; None if the queue's rules are unknown."""

    @property
    def step_key(self) -> StepKey:
        """The job, occurrence and number of the step."""
        return self.job.job_id, self.key.occurrence, self.key.step

    @property
    def step(self) -> StepSpec:
        """The step of the task."""
        return self.job.step_of(self.key)

    @property
    def state(self) -> TaskState:
        """The state of the task."""
        task = self.job.task(self.key)
        assert task is not None
        return task


def is_away(task: TaskState, now_s: float, silent_s: float) -> bool:
    """Return whether a lasting task is not at work.

    So is a task that is being stopped, or that its worker has not listed for
    `silent_s`.
    """
    return (
        task.phase is not TaskPhase.PLACED
        or task.is_stopping
        or task.percent < READY_PERCENT
        or now_s - task.listed_s > silent_s
    )


def remaining_s(step: StepSpec, task: TaskState, now_s: float) -> float:
    """Return the expected time until a task ends, by its progress or its estimate."""
    n_percent = task.percent - task.first_percent
    if n_percent > 0 and task.ran_s >= MIN_RAN_S:
        return task.ran_s / n_percent * (100 - task.percent)
    estimate_s = step.estimate_ms / 1000
    if step.saves_progress:
        return estimate_s * (1 - task.percent / 100)
    return max(0.0, estimate_s - (now_s - task.placed_s))


class _FreeCapacity:
    """The free capacity of the workers elsewhere, less what moves have taken."""

    def __init__(self, workers: Mapping[ServiceName, Sequence[WorkerRecord]]) -> None:
        self._workers: Final = workers
        self._taken: Final[dict[WorkerId, Shape]] = {}
        self._taken_best_effort: Final[Counter[WorkerId]] = Counter()
        self._n_on_worker: Final[dict[StepKey, Counter[WorkerId]]] = {}
        """For steps with a limit per worker: their tasks by worker."""
        self._full: Final[set[StepKey]] = set()
        """Steps whose tasks fit nowhere; what is free only shrinks within a round."""

    def take(self, placed: PlacedTask) -> bool:
        """Set the capacity for a task aside; return whether there was any."""
        step, step_key = placed.step, placed.step_key
        if placed.service is None or step_key in self._full:
            return False
        n_here = self._n_here(placed) if step.max_per_worker else None
        fitting = [
            worker
            for worker in self._workers.get(placed.service, ())
            if self._fits(step, n_here, worker)
        ]
        if not fitting:
            self._full.add(step_key)
            return False
        worker = min(fitting, key=self._free_share)
        worker_id = worker.incarnation.worker_id
        self._taken[worker_id] = self._taken_on(worker_id) + counted_shape(step)
        if step.fills:
            self._taken_best_effort[worker_id] += step.shape.cpu_millicores
        if n_here is not None:
            n_here[worker_id] += 1
        return True

    def _n_here(self, placed: PlacedTask) -> Counter[WorkerId]:
        n_here = self._n_on_worker.get(placed.step_key)
        if n_here is None:
            key = placed.key
            n_here = self._n_on_worker[placed.step_key] = Counter(
                task.incarnation.worker_id
                for task in placed.job.occurrences[key.occurrence][key.step].tasks
                if task.incarnation is not None
            )
        return n_here

    def _taken_on(self, worker_id: WorkerId) -> Shape:
        return self._taken.get(worker_id, EMPTY_SHAPE)

    def _free(self, worker: WorkerRecord) -> Shape:
        return worker.free - self._taken_on(worker.incarnation.worker_id)

    def _free_share(self, worker: WorkerRecord) -> float:
        return self._free(worker).dominant_share(worker.capacity)

    def _fits(
        self, step: StepSpec, n_here: Counter[WorkerId] | None, worker: WorkerRecord
    ) -> bool:
        if worker.is_leaving or not could_ever_run(step, worker):
            return False
        if not counted_shape(step).fits_in(self._free(worker)):
            return False
        worker_id = worker.incarnation.worker_id
        if step.fills:
            unused = worker.unused_millicores - worker.best_effort_millicores
            unused -= self._taken_best_effort[worker_id]
            if step.shape.cpu_millicores > unused:
                return False
        return n_here is None or n_here[worker_id] < step.max_per_worker


def decide(
    tasks: Iterable[PlacedTask],
    moved: Iterable[PlacedTask],
    workers: Mapping[ServiceName, Sequence[WorkerRecord]],
    now_s: float,
    silent_s: float,
) -> list[tuple[PlacedTask, Outlook]]:
    """Return what becomes of each task, in the order of the moves.

    Parameters
    ----------
    tasks : iterable of PlacedTask
        The tasks that are assigned to workers in evacuated places.
    moved : iterable of PlacedTask
        Tasks that were stopped to be moved and are not placed again yet.
    workers : mapping of service to workers
        The workers elsewhere on which tasks may be placed now.
    silent_s : float
        A task that its worker has not listed for this long is not at work.
    """
    free = _FreeCapacity(workers)
    for placed in moved:
        free.take(placed)
    n_away = _AwayCounts(now_s, silent_s)
    n_moves = 0
    found = []
    for placed in sorted(tasks, key=lambda placed: _order(placed, now_s)):
        outlook = _outlook(placed, n_away, now_s)
        if outlook is Outlook.MOVES and n_moves >= MAX_MOVES:
            outlook = Outlook.WAITS_ITS_TURN
        elif outlook is Outlook.MOVES and not free.take(placed):
            outlook = Outlook.NO_CAPACITY
        if outlook is Outlook.MOVES:
            n_moves += 1
            n_away.add(placed)
        found.append((placed, outlook))
    return found


class _AwayCounts:
    """How many tasks of each lasting step are away, with the moves of this round."""

    def __init__(self, now_s: float, silent_s: float) -> None:
        self._now_s: Final = now_s
        self._silent_s: Final = silent_s
        self._counts: Final[Counter[StepKey]] = Counter()

    def others(self, placed: PlacedTask) -> int:
        """Return how many tasks of a task's step are away besides itself."""
        if placed.step_key not in self._counts:
            key = placed.key
            tasks = placed.job.occurrences[key.occurrence][key.step].tasks
            self._counts[placed.step_key] = sum(map(self._is_away, tasks))
        return self._counts[placed.step_key] - self._is_away(placed.state)

    def add(self, placed: PlacedTask) -> None:
        """Count a task that moves."""
        self._counts[placed.step_key] += not self._is_away(placed.state)

    def _is_away(self, task: TaskState) -> bool:
        return is_away(task, self._now_s, self._silent_s)


def _order(
    placed: PlacedTask, now_s: float
) -> tuple[int, bool, float, float, JobId, TaskKey]:
    step = placed.step
    size = counted_shape(step).cpu_millicores + counted_shape(step).memory_mb
    left_s = 0.0 if step.lasts else remaining_s(step, placed.state, now_s)
    return (
        placed.priority,
        not step.lasts,
        -size,
        -left_s,
        placed.job.job_id,
        placed.key,
    )


def _outlook(placed: PlacedTask, n_away: _AwayCounts, now_s: float) -> Outlook:
    """Return what becomes of a task if there is free capacity elsewhere."""
    step, task = placed.step, placed.state
    if task.is_stopping or task.is_revoking or not placed.job.is_active:
        return Outlook.STOPPING
    if not task.listed_s:
        return Outlook.UNCONFIRMED
    if step.lasts:
        if not step.n_may_be_away:
            return Outlook.NONE_MAY_BE_AWAY
        is_allowed = n_away.others(placed) < step.n_may_be_away
        return Outlook.MOVES if is_allowed else Outlook.OTHERS_ARE_AWAY
    if remaining_s(step, task, now_s) <= ENDS_SOON_S:
        return Outlook.ENDS_SOON
    return Outlook.MOVES if step.saves_progress else Outlook.SAVES_NO_PROGRESS
