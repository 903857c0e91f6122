"""Which workers are rested and which tasks are quarantined after failures.

A failed attempt may be the task's fault or the worker's. They are told apart by
distinct names: a worker on which several different tasks failed, most of them
without failing elsewhere, is at fault and rests; a task that failed on several
different workers is at fault and is quarantined. A rested worker is probed with one
task after a time that doubles with every failed probe.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from almondspan_decisions.ids import TaskId, WorkerId

__all__ = ["FailureBook", "RestState", "RestingOptions"]


@dataclass(frozen=True, slots=True)
class RestingOptions:
    """How many distinct failures count, and how long a worker rests."""

    n_tasks_to_rest: int = 3
    n_workers_to_quarantine: int = 3
    failed_share_to_rest: float = 0.6
    window_s: float = 300.0
    first_rest_s: float = 30.0
    longest_rest_s: float = 1800.0


@dataclass(slots=True)
class RestState:
    """A worker's rest: until when, how often in a row, and whether a probe runs."""

    until_s: float
    n_rests: int
    probing: bool = False


@dataclass(slots=True)
class _Recent:
    failed_at_s: dict[TaskId, float] = field(default_factory=dict)
    done_at_s: dict[TaskId, float] = field(default_factory=dict)


class FailureBook:
    """Failures of the recent past by worker and by task."""

    def __init__(self, options: RestingOptions | None = None) -> None:
        self._options = options or RestingOptions()
        self._by_worker: dict[WorkerId, _Recent] = {}
        self._failed_on: dict[TaskId, dict[WorkerId, float]] = {}
        self._rests: dict[WorkerId, RestState] = {}

    @property
    def rests(self) -> Mapping[WorkerId, RestState]:
        """The workers that rest."""
        return self._rests

    def record_done(self, worker: WorkerId, task: TaskId, now_s: float) -> None:
        """Record an attempt that ended well; it ends the worker's rest."""
        recent = self._by_worker.setdefault(worker, _Recent())
        recent.done_at_s[task] = now_s
        self._failed_on.pop(task, None)
        self._rests.pop(worker, None)
        self._forget_old(now_s)

    def record_failed(self, worker: WorkerId, task: TaskId, now_s: float) -> None:
        """Record an attempt that failed; it may begin or prolong a rest."""
        self._failed_on.setdefault(task, {})[worker] = now_s
        recent = self._by_worker.setdefault(worker, _Recent())
        recent.failed_at_s[task] = now_s
        self._forget_old(now_s)
        rest = self._rests.get(worker)
        if rest is not None and rest.probing:
            self._begin_rest(worker, rest.n_rests + 1, now_s)
        elif rest is None and self._is_worker_at_fault(recent):
            self._begin_rest(worker, 1, now_s)

    def _is_worker_at_fault(self, recent: _Recent) -> bool:
        blamed = [task for task in recent.failed_at_s if not self.is_quarantined(task)]
        if len(blamed) < self._options.n_tasks_to_rest:
            return False
        n_ended = len(blamed) + len(recent.done_at_s)
        return len(blamed) >= self._options.failed_share_to_rest * n_ended

    def _begin_rest(self, worker: WorkerId, n_rests: int, now_s: float) -> None:
        options = self._options
        rest_s = options.first_rest_s * 2.0 ** min(n_rests - 1, 16)
        until_s = now_s + min(options.longest_rest_s, rest_s)
        self._rests[worker] = RestState(until_s, n_rests)

    def is_quarantined(self, task: TaskId) -> bool:
        """Tell whether a task failed on too many different workers."""
        n_workers = len(self._failed_on.get(task, ()))
        return n_workers >= self._options.n_workers_to_quarantine

    def is_resting(self, worker: WorkerId, now_s: float) -> bool:
        """Tell whether a worker takes no task now, except for one probe."""
        rest = self._rests.get(worker)
        return rest is not None and (rest.probing or now_s < rest.until_s)

    def begin_probe(self, worker: WorkerId, now_s: float) -> bool:
        """Take the one probe of a worker whose rest is over; False otherwise."""
        rest = self._rests.get(worker)
        if rest is None or rest.probing or now_s < rest.until_s:
            return False
        rest.probing = True
        return True

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - self._options.window_s
        for worker, recent in list(self._by_worker.items()):
            recent.failed_at_s = _newer(recent.failed_at_s, oldest_s)
            recent.done_at_s = _newer(recent.done_at_s, oldest_s)
            if not recent.failed_at_s and not recent.done_at_s:
                del self._by_worker[worker]
        for task, workers in list(self._failed_on.items()):
            kept = {each: at_s for each, at_s in workers.items() if at_s > oldest_s}
            if kept:
                self._failed_on[task] = kept
            else:
                del self._failed_on[task]


def _newer(at_s: dict[TaskId, float], oldest_s: float) -> dict[TaskId, float]:
    return {task: when_s for task, when_s in at_s.items() if when_s > oldest_s}
