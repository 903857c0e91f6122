"""What a keeper holds: attempts on its worker, and the room that they take."""

from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import ShardId, TaskClass, TaskId
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_tasks.attempt_lifecycle import AttemptPhase
from almondspan_wire.task_messages import AttemptReport, StartTask

__all__ = ["AttemptKey", "HeldAttempts", "HeldAttempt", "RunningAttempt"]

AttemptKey = tuple[TaskId, int]

_NO_CLASS: Final = TaskClass("")
_USING_CAPACITY: Final = frozenset(
    {
        AttemptPhase.RESERVED,
        AttemptPhase.CONFIRMING,
        AttemptPhase.STARTING,
        AttemptPhase.RUNNING,
        AttemptPhase.CHECKPOINTING,
    }
)
_ON_WORKER: Final = frozenset({AttemptPhase.RUNNING, AttemptPhase.CHECKPOINTING})


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """A running attempt, for whoever decides about throttling and eviction."""

    task_id: TaskId
    attempt: int
    shard_id: ShardId
    task_class: TaskClass
    shape: Shape
    attained_s: float
    checkpointable: bool
    idempotent: bool
    urgent: bool


@dataclass(slots=True)
class HeldAttempt:
    """One attempt.

    ``lease_until_s`` is the horizon up to which it may run; 0 means that no
    renewal was answered yet. Only answers to renewals from ``first_renewal_id`` on
    count for it. ``doubt_until_s`` is set while the answer to its start is lost.
    ``n_list`` is the number of the last list call that had begun when it was
    found running: only a later list can show that it is gone. An eviction stops it at
    once unless it ``saves_checkpoint``. ``refusal`` says why
    it will be refused for good once its shard has confirmed the assignment.
    """

    shard_id: ShardId
    task_id: TaskId
    attempt: int
    shape: Shape
    task_class: TaskClass = _NO_CLASS
    idempotent: bool = True
    checkpointable: bool = True
    urgent: bool = False
    phase: AttemptPhase = AttemptPhase.QUEUED
    reservation: str = ""
    expires_s: float = 0.0
    refusal: str = ""
    awaits_preemption: bool = False
    lease_until_s: float = 0.0
    first_renewal_id: int = 0
    start: StartTask | None = None
    start_unknown_until_s: float = 0.0
    list_number: int = 0
    ran_s: float = 0.0
    abandoned: bool = False
    saves_checkpoint: bool = True
    next_evict_s: float = 0.0
    report: AttemptReport | None = None
    next_report_s: float = 0.0

    @property
    def key(self) -> AttemptKey:
        """Return the task and the attempt number."""
        return self.task_id, self.attempt

    @property
    def uses_capacity(self) -> bool:
        """Tell whether it counts against the worker's capacity."""
        return self.phase in _USING_CAPACITY and not self.refusal

    @property
    def is_on_worker(self) -> bool:
        """Tell whether the worker is known to run it."""
        return self.phase in _ON_WORKER


class HeldAttempts:
    """All attempts that a keeper holds, and the worker's capacity."""

    def __init__(self) -> None:
        self.capacity = EMPTY_SHAPE
        self.headroom = EMPTY_SHAPE
        self._held: dict[AttemptKey, HeldAttempt] = {}

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key: AttemptKey) -> HeldAttempt | None:
        """Return what is held of an attempt."""
        return self._held.get(key)

    def add(self, held: HeldAttempt) -> None:
        """Hold an attempt that is not held yet."""
        assert held.key not in self._held
        self._held[held.key] = held

    def drop(self, held: HeldAttempt) -> None:
        """Hold an attempt no longer."""
        self._held.pop(held.key, None)

    def all(self) -> list[HeldAttempt]:
        """Return everything that is held."""
        return list(self._held.values())

    def running(self) -> list[HeldAttempt]:
        """Return what runs and is not being evicted."""
        return [one for one in self.all() if one.phase is AttemptPhase.RUNNING]

    def used(self) -> Shape:
        """Return the room taken by everything that is held."""
        used = EMPTY_SHAPE
        for held in self._held.values():
            if held.uses_capacity:
                used = used + held.shape
        return used

    def fits(self, shape: Shape, urgent: bool) -> bool:
        """Tell whether one more attempt of this shape has room."""
        used = self.used() + shape
        if not urgent:
            used = used + self.headroom
        return used.fits_in(self.capacity)

    def is_within_capacity(self) -> bool:
        """Tell whether everything that is held has room together."""
        return self.used().fits_in(self.capacity)

    def free(self) -> Shape:
        """Return the room for work that is not urgent, at least nothing."""
        left = self.capacity - self.used() - self.headroom
        return Shape(
            max(0, left.cpu_millicores),
            max(0, left.memory_mb),
            max(0, left.n_accelerators),
        )
