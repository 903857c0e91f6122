"""The state of a worker machine: attempts, leases, progress and usage.

A `WorkerCore` steps from one event to the next up to the present whenever it is
used. The events are the end of an attempt's work, the lapse of its lease and the
end of a checkpoint. Between events every attempt progresses at a constant rate: the
share that it is throttled to, over the slowdown that its neighbours cause.

A payload is JSON: ``run_s``, ``effect``, ``record`` and optionally ``fail`` (true:
fails at its end; ``"infeasible"``: ends as infeasible at once; ``"refuse"``: the
worker refuses it) and ``use_share`` (the processors used over those declared). An
attempt that reaches its end adds its effect to the ledger; the worker never forgets
which attempts it has started.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec

from almondspan_decisions.ids import TaskClass, TaskId, WorkerId
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_platform.worker import (
    AttemptState,
    StartAttempt,
    StartResult,
    WorkerAttempt,
    WorkerInfo,
    WorkerUsage,
)
from almondspan_standins.faults import WorkerFaults

__all__ = ["Effect", "TaskWitness", "WorkerCore", "WorkerOptions", "task_payload"]

AttemptKey = tuple[TaskId, int]
SlowdownOf = Callable[[TaskClass], float]


class _Payload(msgspec.Struct, frozen=True):
    run_s: float = 0.0
    effect: str = ""
    record: str = ""
    fail: bool | str = False
    use_share: float = 1.0


class _Checkpoint(msgspec.Struct, frozen=True):
    done_s: float = 0.0


class _Result(msgspec.Struct, frozen=True):
    record: str
    effect: str


def task_payload(
    run_s: float, effect: str, record: str, fail: bool | str = False
) -> bytes:
    """Return the payload of a task for this worker."""
    return msgspec.json.encode(_Payload(run_s, effect, record, fail))


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """Times of a worker, in seconds."""

    lease_s: float = 5.0
    usage_lag_s: float = 2.0
    checkpoint_s: float = 0.1


@dataclass(frozen=True, slots=True)
class Effect:
    """Something that an attempt did to the outside."""

    record: str
    effect: str
    task_id: TaskId
    attempt: int


class _End(Enum):
    FINISHED = "finished"
    LAPSED = "lease lapsed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(slots=True)
class _Attempt:
    request: StartAttempt
    payload: _Payload
    started_s: float
    lease_until_s: float
    done_s: float
    checkpoint: bytes
    share: float = 1.0
    rate: float = 1.0
    checkpoint_ends_s: float | None = None
    ended_s: float | None = None
    outcome: Outcome | None = None
    is_evicted: bool = False

    @property
    def key(self) -> AttemptKey:
        return (self.request.task_id, self.request.attempt)

    @property
    def state(self) -> AttemptState:
        if self.ended_s is not None:
            return AttemptState.ENDED
        if self.checkpoint_ends_s is not None:
            return AttemptState.CHECKPOINTING
        return AttemptState.RUNNING

    @property
    def used_millicores(self) -> int:
        declared = self.request.shape.cpu_millicores
        return round(declared * self.share * self.payload.use_share)

    def next_event(self, now_s: float) -> tuple[float, _End]:
        """Return when and how the attempt ends if nothing else happens."""
        ends = [(self.lease_until_s, _End.LAPSED)]
        if self.checkpoint_ends_s is not None:
            ends.append((self.checkpoint_ends_s, _End.CHECKPOINTED))
        elif self.rate > 0:
            left_s = max(self.payload.run_s - self.done_s, 0.0) / self.rate
            ends.append((now_s + left_s, _End.FINISHED))
        return min(ends, key=lambda end: end[0])


@dataclass(frozen=True, slots=True)
class _UsageSample:
    taken_s: float
    memory_mb: int
    by_task: tuple[tuple[TaskId, int], ...]


class TaskWitness:
    """Counts tasks that run in two places at once, over the workers that share it."""

    def __init__(self) -> None:
        self._places: dict[TaskId, set[tuple[WorkerId, int]]] = {}
        self._cores: dict[WorkerId, WorkerCore] = {}
        self.n_in_two_places = 0

    def add_worker(self, core: "WorkerCore") -> None:
        """Take a worker into account."""
        self._cores[core.worker_id] = core

    def on_started(self, worker_id: WorkerId, key: AttemptKey) -> None:
        """Note a start; the other workers are brought up to the present first."""
        places = self._places.setdefault(key[0], set())
        for other, _ in tuple(places):
            self._cores[other].advance()
        self.n_in_two_places += bool(places)
        self._places.setdefault(key[0], set()).add((worker_id, key[1]))

    def on_ended(self, worker_id: WorkerId, key: AttemptKey) -> None:
        """Note the end of an attempt."""
        places = self._places.get(key[0], set())
        places.discard((worker_id, key[1]))
        if not places:
            self._places.pop(key[0], None)


class WorkerCore:
    """A worker's state; `now` returns a monotonic time in seconds."""

    def __init__(
        self,
        worker_id: WorkerId,
        capacity: Shape,
        now: Callable[[], float],
        options: WorkerOptions = WorkerOptions(),
        witness: TaskWitness | None = None,
    ) -> None:
        self.worker_id: Final = worker_id
        self.capacity: Final = capacity
        self._now: Final = now
        self._options: Final = options
        self._witness: Final = witness
        self._attempts: dict[AttemptKey, _Attempt] = {}
        self._forgotten: set[AttemptKey] = set()
        self._usage: deque[_UsageSample] = deque([_UsageSample(now(), 0, ())])
        self._advanced_s = now()
        self.slowdown_of: SlowdownOf = _no_slowdown
        self.faults = WorkerFaults()
        self.ledger: list[Effect] = []
        self.n_started = 0
        self.n_evicted = 0
        self.n_over_capacity = 0
        self.n_duplicate_running = 0
        if witness is not None:
            witness.add_worker(self)

    def info(self) -> WorkerInfo:
        """Return the capacity and the lease time."""
        return WorkerInfo(self.worker_id, self.capacity, self._options.lease_s)

    def list_attempts(self) -> tuple[WorkerAttempt, ...]:
        """Return every attempt that was not forgotten."""
        self.advance()
        now_s = self._now()
        return tuple(_describe(attempt, now_s) for attempt in self._attempts.values())

    def start_attempt(self, request: StartAttempt) -> StartResult:
        """Start an attempt unless it is known or does not fit."""
        self.advance()
        key = (request.task_id, request.attempt)
        if key in self._attempts or key in self._forgotten:
            return StartResult.ALREADY_KNOWN
        payload = _read_payload(request.payload)
        if payload.fail == "refuse":
            return StartResult.REFUSED
        if any(one.request.task_id == request.task_id for one in self.running()):
            self.n_duplicate_running += 1
            return StartResult.REFUSED
        if not request.shape.fits_in(self.capacity - self.used_shape()):
            self.n_over_capacity += 1
            return StartResult.REFUSED
        self._begin(request, payload)
        return StartResult.STARTED

    def renew(self, keys: tuple[AttemptKey, ...]) -> tuple[AttemptKey, ...]:
        """Renew leases; return the attempts that do not run."""
        self.advance()
        gone = []
        for key in keys:
            attempt = self._attempts.get(key)
            if attempt is None or attempt.state is AttemptState.ENDED:
                gone.append(key)
            else:
                attempt.lease_until_s = self._now() + self._options.lease_s
        return tuple(gone)

    def throttle(self, key: AttemptKey, share: float) -> bool:
        """Limit an attempt to a share of its shape."""
        self.advance()
        attempt = self._attempts.get(key)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return False
        attempt.share = min(max(share, 0.0), 1.0)
        self._on_load_changed()
        return True

    def checkpoint(self, key: AttemptKey) -> bool:
        """Begin a checkpoint; the attempt ends when it is saved."""
        self.advance()
        attempt = self._attempts.get(key)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return False
        if attempt.checkpoint_ends_s is None:
            attempt.checkpoint_ends_s = self._now() + self._options.checkpoint_s
        return True

    def stop(self, key: AttemptKey) -> bool:
        """End an attempt with the checkpoint that it has."""
        self.advance()
        attempt = self._attempts.get(key)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return False
        self._end(attempt, _End.STOPPED)
        return True

    def forget(self, keys: tuple[AttemptKey, ...]) -> bool:
        """Drop ended attempts from the list."""
        self.advance()
        for key in keys:
            attempt = self._attempts.get(key)
            if attempt is not None and attempt.state is AttemptState.ENDED:
                del self._attempts[key]
                self._forgotten.add(key)
        return True

    def usage(self) -> WorkerUsage:
        """Return the usage of ``usage_lag_s`` ago."""
        self.advance()
        self._sample_usage(self.running())
        sample = self._usage[0]
        n_millicores = sum(millicores for _, millicores in sample.by_task)
        lag_s = self._options.usage_lag_s
        return WorkerUsage(lag_s, n_millicores, sample.memory_mb, sample.by_task)

    def running(self) -> list[_Attempt]:
        """Return the attempts that hold a part of the capacity."""
        return [one for one in self._attempts.values() if one.ended_s is None]

    def running_keys(self) -> list[AttemptKey]:
        """Return the attempts that hold a part of the capacity, by their names."""
        return [one.key for one in self.running()]

    def running_classes(self) -> list[tuple[TaskClass, float]]:
        """Return the class and the processors used, over the capacity, of each."""
        whole = max(self.capacity.cpu_millicores, 1)
        return [
            (one.request.task_class, one.used_millicores / whole)
            for one in self.running()
        ]

    def used_shape(self) -> Shape:
        """Return the sum of the shapes that run."""
        return sum((one.request.shape for one in self.running()), EMPTY_SHAPE)

    def refresh_slowdown(self) -> None:
        """Bring progress up to the present and take new slowdowns from there on."""
        self.advance()
        self._on_load_changed()

    def advance(self) -> None:
        """Step through all events up to the present."""
        now_s = self._now()
        while True:
            events = [
                (*one.next_event(self._advanced_s), one) for one in self.running()
            ]
            at_s, end, attempt = min(
                events, key=lambda event: event[0], default=(now_s, None, None)
            )
            if end is None or attempt is None or at_s > now_s:
                self._progress_to(now_s)
                return
            self._progress_to(at_s)
            self._end(attempt, end)

    def _progress_to(self, at_s: float) -> None:
        elapsed_s = max(at_s - self._advanced_s, 0.0)
        for attempt in self.running():
            if attempt.checkpoint_ends_s is None:
                done_s = attempt.done_s + elapsed_s * attempt.rate
                attempt.done_s = min(done_s, attempt.payload.run_s)
        self._advanced_s = max(at_s, self._advanced_s)

    def _begin(self, request: StartAttempt, payload: _Payload) -> None:
        now_s = self._now()
        attempt = _Attempt(
            request=request,
            payload=payload,
            started_s=now_s,
            lease_until_s=now_s + self._options.lease_s,
            done_s=_read_checkpoint(request.checkpoint).done_s,
            checkpoint=request.checkpoint,
        )
        self._attempts[attempt.key] = attempt
        self.n_started += 1
        if self._witness is not None:
            self._witness.on_started(self.worker_id, attempt.key)
        if payload.fail == "infeasible":
            self._end(attempt, _End.FINISHED)
        self._on_load_changed()

    def _end(self, attempt: _Attempt, end: _End) -> None:
        attempt.ended_s = self._advanced_s
        if end is _End.FINISHED:
            attempt.outcome = self._finish(attempt)
        else:
            attempt.is_evicted = True
            self.n_evicted += 1
            attempt.outcome = Outcome(
                OutcomeKind.UNKNOWN, reason=end.value, may_have_run=True
            )
        if end is _End.CHECKPOINTED:
            attempt.checkpoint = msgspec.json.encode(_Checkpoint(attempt.done_s))
        if self._witness is not None:
            self._witness.on_ended(self.worker_id, attempt.key)
        self._on_load_changed()

    def _finish(self, attempt: _Attempt) -> Outcome:
        payload = attempt.payload
        if payload.fail == "infeasible":
            return Outcome(OutcomeKind.INFEASIBLE, reason="it can never run")
        if payload.fail or self.faults.fail_all:
            return Outcome(OutcomeKind.FAILED, "the task failed", may_have_run=True)
        self.ledger.append(Effect(payload.record, payload.effect, *attempt.key))
        result = msgspec.json.encode(_Result(payload.record, payload.effect))
        return Outcome(OutcomeKind.DONE, result=result, may_have_run=True)

    def _on_load_changed(self) -> None:
        running = self.running()
        for attempt in running:
            slowdown = self.slowdown_of(attempt.request.task_class)
            attempt.rate = attempt.share / slowdown
        self._sample_usage(running)

    def _sample_usage(self, running: list[_Attempt]) -> None:
        """Note a change of the usage, and drop what is older than the lag."""
        by_task = tuple((one.request.task_id, one.used_millicores) for one in running)
        memory_mb = sum(one.request.shape.memory_mb for one in running)
        if (memory_mb, by_task) != (self._usage[-1].memory_mb, self._usage[-1].by_task):
            self._usage.append(_UsageSample(self._advanced_s, memory_mb, by_task))
        wanted_s = self._now() - self._options.usage_lag_s
        while len(self._usage) > 1 and self._usage[1].taken_s <= wanted_s:
            self._usage.popleft()


def _no_slowdown(task_class: TaskClass) -> float:
    return 1.0


def _read_payload(payload: bytes) -> _Payload:
    if not payload:
        return _Payload()
    try:
        return msgspec.json.decode(payload, type=_Payload)
    except msgspec.DecodeError:
        return _Payload(fail=True)


def _read_checkpoint(checkpoint: bytes) -> _Checkpoint:
    if not checkpoint:
        return _Checkpoint()
    return msgspec.json.decode(checkpoint, type=_Checkpoint)


def _describe(attempt: _Attempt, now_s: float) -> WorkerAttempt:
    request = attempt.request
    until_s = now_s if attempt.ended_s is None else attempt.ended_s
    return WorkerAttempt(
        task_id=request.task_id,
        attempt=request.attempt,
        state=attempt.state,
        task_class=request.task_class,
        shape=request.shape,
        shard_id=request.shard_id,
        epoch=request.epoch,
        idempotent=request.idempotent,
        ran_s=until_s - attempt.started_s,
        outcome=attempt.outcome,
        evicted=attempt.is_evicted,
        checkpoint=attempt.checkpoint if attempt.is_evicted else b"",
    )
