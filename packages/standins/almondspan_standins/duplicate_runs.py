"""Finds tasks that run on two workers of one process at once."""

from typing import Protocol

from almondspan_decisions.ids import TaskId, WorkerId
from almondspan_standins.worker_attempt import AttemptKey

__all__ = ["DuplicateRunDetector", "SteppedWorker"]


class SteppedWorker(Protocol):
    """A worker as the detector needs it."""

    @property
    def worker_id(self) -> WorkerId:
        """The worker's name."""
        ...

    def advance(self) -> None:
        """Step through all events up to the present."""
        ...


class DuplicateRunDetector:
    """Counts tasks that run in two places at once, over the workers that share it."""

    def __init__(self) -> None:
        self._places: dict[TaskId, set[tuple[WorkerId, int]]] = {}
        self._cores: dict[WorkerId, SteppedWorker] = {}
        self.n_in_two_places = 0

    def add_worker(self, core: SteppedWorker) -> None:
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
