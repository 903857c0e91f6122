"""The attempts that an agent holds for its worker, and the capacity that they use."""

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
    """A running attempt, as the throttling and eviction policies see it."""

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
    """One attempt on the worker, or one that holds capacity for its start.

    ``lease_until_s`` is the horizon up to which it may run; 0 means that no renewal
    was answered yet. Only answers to renewals numbered ``first_renewal_id`` or higher
    extend it. ``start_unknown_until_s`` is set when the answer to the start call was
    lost: until then the call may still take effect. ``list_number`` is the number of
    the latest list call that had begun when the attempt was found running; only a
    later list can prove that it is gone. An eviction stops the attempt at once unless
    it ``saves_checkpoint``. ``refusal`` is the reason for which it will be refused
    permanently once its shard has confirmed the assignment. ``awaits_preemption``
    means that its capacity is still being freed by evictions.
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
        """Whether the attempt counts against the worker's capacity."""
        return self.phase in _USING_CAPACITY and not self.refusal

    @property
    def is_on_worker(self) -> bool:
        """Whether the worker is known to run the attempt."""
        return self.phase in _ON_WORKER


class HeldAttempts:
    """All attempts that an agent holds, and the worker's capacity.

    ``headroom`` is free capacity that only urgent attempts may use.
    """

    def __init__(self) -> None:
        self.capacity = EMPTY_SHAPE
        self.headroom = EMPTY_SHAPE
        self._held: dict[AttemptKey, HeldAttempt] = {}

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key: AttemptKey) -> HeldAttempt | None:
        """Return the held attempt of this key; None when it is not held."""
        return self._held.get(key)

    def add(self, held: HeldAttempt) -> None:
        """Add an attempt that is not held yet."""
        assert held.key not in self._held
        self._held[held.key] = held

    def drop(self, held: HeldAttempt) -> None:
        """Remove an attempt."""
        self._held.pop(held.key, None)

    def all(self) -> list[HeldAttempt]:
        """Return all held attempts."""
        return list(self._held.values())

    def running(self) -> list[HeldAttempt]:
        """Return the attempts that run and are not being evicted."""
        return [one for one in self.all() if one.phase is AttemptPhase.RUNNING]

    def used(self) -> Shape:
        """Return the capacity used by all held attempts."""
        used = EMPTY_SHAPE
        for held in self._held.values():
            if held.uses_capacity:
                used = used + held.shape
        return used

    def fits(self, shape: Shape, urgent: bool) -> bool:
        """Return whether one more attempt of this shape fits into the free capacity."""
        used = self.used() + shape
        if not urgent:
            used = used + self.headroom
        return used.fits_in(self.capacity)

    def is_within_capacity(self) -> bool:
        """Return whether all held attempts together fit on the worker."""
        return self.used().fits_in(self.capacity)

    def free(self) -> Shape:
        """Return the free capacity for attempts that are not urgent, never negative."""
        left = self.capacity - self.used() - self.headroom
        return Shape(
            max(0, left.cpu_millicores),
            max(0, left.memory_mb),
            max(0, left.n_accelerators),
        )
