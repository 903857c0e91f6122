"""Detects tasks that run on two workers of one process at the same time."""

from typing import Protocol

from almondspan_decisions.ids import TaskId, WorkerId
from almondspan_standins.worker_attempt import AttemptKey

__all__ = ["DuplicateRunDetector", "SteppableWorker"]


class SteppableWorker(Protocol):
    """The part of a worker that the detector uses."""

    @property
    def worker_id(self) -> WorkerId:
        """The worker's id."""
        ...

    def advance(self) -> None:
        """Process all events up to now."""
        ...


class DuplicateRunDetector:
    """Counts tasks that run twice at the same time on the workers registered here."""

    def __init__(self) -> None:
        self._places: dict[TaskId, set[tuple[WorkerId, int]]] = {}
        self._cores: dict[WorkerId, SteppableWorker] = {}
        self.n_concurrent_duplicates = 0

    def add_worker(self, core: SteppableWorker) -> None:
        """Register a worker."""
        self._cores[core.worker_id] = core

    def on_started(self, worker_id: WorkerId, key: AttemptKey) -> None:
        """Record a start, after processing the due events of the other workers."""
        places = self._places.setdefault(key[0], set())
        for other, _ in tuple(places):
            self._cores[other].advance()
        self.n_concurrent_duplicates += bool(places)
        self._places.setdefault(key[0], set()).add((worker_id, key[1]))

    def on_ended(self, worker_id: WorkerId, key: AttemptKey) -> None:
        """Record the end of an attempt."""
        places = self._places.get(key[0], set())
        places.discard((worker_id, key[1]))
        if not places:
            self._places.pop(key[0], None)
