"""Simulation of a worker machine: attempts, leases, progress and usage.

On each use, a `WorkerCore` processes all events up to now. Events are the end of an
attempt's work, the lapse of its lease and the end of a checkpoint. Between events an
attempt progresses at a constant rate: the share that it is throttled to, divided by
the slowdown caused by other work on the machine.

An attempt adds its effect to the ledger at its end, or earlier if its payload says so.
The worker remembers all attempts that it has started, so that a delayed start request
can't run one again.
"""

from collections.abc import Callable
from dataclasses import dataclass
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
from almondspan_standins.duplicate_runs import DuplicateRunDetector
from almondspan_standins.faults import WorkerFaults
from almondspan_standins.usage_log import UsageLog
from almondspan_standins.worker_attempt import Attempt, AttemptEnd, AttemptKey
from almondspan_standins.worker_payload import (
    Payload,
    Progress,
    WorkResult,
    read_payload,
    read_progress,
    task_payload,
)

__all__ = [
    "Effect",
    "DuplicateRunDetector",
    "WorkerCore",
    "WorkerOptions",
    "task_payload",
]

SlowdownOf = Callable[[TaskClass], float]


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """Times of a worker, in seconds."""

    lease_s: float = 5.0
    usage_lag_s: float = 2.0
    checkpoint_s: float = 0.1


@dataclass(frozen=True, slots=True)
class Effect:
    """An external side effect of an attempt."""

    record: str
    effect: str
    task_id: TaskId
    attempt: int


class WorkerCore:
    """The state of a worker; `now` returns a monotonic time in seconds."""

    def __init__(
        self,
        worker_id: WorkerId,
        capacity: Shape,
        now: Callable[[], float],
        options: WorkerOptions = WorkerOptions(),
        detector: DuplicateRunDetector | None = None,
    ) -> None:
        self.worker_id: Final = worker_id
        self.capacity: Final = capacity
        self._now: Final = now
        self._options: Final = options
        self._detector: Final = detector
        self._attempts: dict[AttemptKey, Attempt] = {}
        self._forgotten: set[AttemptKey] = set()
        self._usage: Final = UsageLog(now(), options.usage_lag_s)
        self._advanced_s = now()
        self.slowdown_of: SlowdownOf = _no_slowdown
        self.faults = WorkerFaults()
        self.ledger: list[Effect] = []
        self.n_started = 0
        self.n_evicted = 0
        self.n_over_capacity = 0
        self.n_duplicate_running = 0
        if detector is not None:
            detector.add_worker(self)

    def info(self) -> WorkerInfo:
        """Return the capacity and the duration of leases."""
        return WorkerInfo(
            self.worker_id, self.capacity, self._options.lease_s, self._now()
        )

    def list_attempts(self) -> tuple[WorkerAttempt, ...]:
        """Return all attempts that were not forgotten."""
        self.advance()
        now_s = self._now()
        return tuple(attempt.describe(now_s) for attempt in self._attempts.values())

    def start_attempt(self, request: StartAttempt) -> StartResult:
        """Start an attempt unless it was started before or does not fit."""
        self.advance()
        key = (request.task_id, request.attempt)
        if key in self._attempts or key in self._forgotten:
            return StartResult.ALREADY_KNOWN
        if request.not_after_s is not None and self._now() > request.not_after_s:
            return StartResult.REFUSED
        payload = read_payload(request.payload, request.task_class)
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
        """Start a checkpoint; the attempt ends when it is saved."""
        self.advance()
        attempt = self._attempts.get(key)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return False
        if attempt.checkpoint_ends_s is None:
            attempt.checkpoint_ends_s = self._now() + self._options.checkpoint_s
        return True

    def stop(self, key: AttemptKey) -> bool:
        """Stop an attempt; it keeps the checkpoint from which it started."""
        self.advance()
        attempt = self._attempts.get(key)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return False
        self._end(attempt, AttemptEnd.STOPPED)
        return True

    def forget(self, keys: tuple[AttemptKey, ...]) -> bool:
        """Remove ended attempts from the list."""
        self.advance()
        for key in keys:
            attempt = self._attempts.get(key)
            if attempt is not None and attempt.state is AttemptState.ENDED:
                del self._attempts[key]
                self._forgotten.add(key)
        return True

    def usage(self) -> WorkerUsage:
        """Return the usage before the lag."""
        self.advance()
        return self._usage.read(self._now())

    def running(self) -> list[Attempt]:
        """Return the attempts that occupy capacity."""
        return [one for one in self._attempts.values() if one.ended_s is None]

    def running_keys(self) -> list[AttemptKey]:
        """Return the keys of the attempts that occupy capacity."""
        return [one.key for one in self.running()]

    def running_classes(self) -> list[tuple[TaskClass, float]]:
        """Return the class of each running attempt and its share of the processors."""
        total_millicores = max(self.capacity.cpu_millicores, 1)
        return [
            (one.request.task_class, one.used_millicores / total_millicores)
            for one in self.running()
        ]

    def used_shape(self) -> Shape:
        """Return the capacity in use."""
        return sum((one.request.shape for one in self.running()), EMPTY_SHAPE)

    def refresh_slowdown(self) -> None:
        """Process all events up to now, then apply the current slowdowns."""
        self.advance()
        self._on_load_changed()

    def advance(self) -> None:
        """Process all events up to now."""
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
                self._apply_early_effect(attempt)
        self._advanced_s = max(at_s, self._advanced_s)

    def _begin(self, request: StartAttempt, payload: Payload) -> None:
        now_s = self._now()
        attempt = Attempt(
            request=request,
            payload=payload,
            started_s=now_s,
            lease_until_s=now_s + self._options.lease_s,
            done_s=read_progress(request.checkpoint).done_s,
            checkpoint=request.checkpoint,
        )
        # An effect before the checkpoint is not repeated after resuming from it.
        if request.checkpoint:
            attempt.had_effect = payload.has_early_effect(attempt.done_s)
        self._attempts[attempt.key] = attempt
        self.n_started += 1
        if self._detector is not None:
            self._detector.on_started(self.worker_id, attempt.key)
        if payload.fail == "infeasible":
            self._end(attempt, AttemptEnd.FINISHED)
        self._on_load_changed()

    def _end(self, attempt: Attempt, end: AttemptEnd) -> None:
        attempt.ended_s = self._advanced_s
        if end is AttemptEnd.FINISHED:
            attempt.outcome = self._finish(attempt)
        else:
            attempt.is_evicted = True
            self.n_evicted += 1
            attempt.outcome = Outcome(
                OutcomeKind.UNKNOWN, reason=end.value, may_have_run=True
            )
        if end is AttemptEnd.CHECKPOINTED:
            attempt.checkpoint = msgspec.json.encode(Progress(attempt.done_s))
        if self._detector is not None:
            self._detector.on_ended(self.worker_id, attempt.key)
        self._on_load_changed()

    def _finish(self, attempt: Attempt) -> Outcome:
        payload = attempt.payload
        if payload.fail == "infeasible":
            return Outcome(OutcomeKind.INFEASIBLE, reason="the task can never run")
        if payload.fail or self.faults.fail_all:
            return Outcome(OutcomeKind.FAILED, "the task failed", may_have_run=True)
        self._apply_effect(attempt)
        result = msgspec.json.encode(WorkResult(payload.record, payload.effect))
        return Outcome(OutcomeKind.DONE, result=result, may_have_run=True)

    def _apply_early_effect(self, attempt: Attempt) -> None:
        """Apply an effect that is due before the end of the run."""
        if attempt.payload.has_early_effect(attempt.done_s):
            self._apply_effect(attempt)

    def _apply_effect(self, attempt: Attempt) -> None:
        if not attempt.had_effect:
            attempt.had_effect = True
            payload = attempt.payload
            self.ledger.append(Effect(payload.record, payload.effect, *attempt.key))

    def _on_load_changed(self) -> None:
        running = self.running()
        for attempt in running:
            slowdown = self.slowdown_of(attempt.request.task_class)
            attempt.rate = attempt.share / slowdown
        by_task = tuple((one.request.task_id, one.used_millicores) for one in running)
        memory_mb = sum(one.request.shape.memory_mb for one in running)
        self._usage.add(self._advanced_s, memory_mb, by_task)


def _no_slowdown(task_class: TaskClass) -> float:
    return 1.0
