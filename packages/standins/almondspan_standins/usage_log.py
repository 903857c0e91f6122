"""Resource usage as a worker reports it: with a lag."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import TaskId
from almondspan_platform.worker import WorkerUsage

__all__ = ["UsageLog"]

ByTask = tuple[tuple[TaskId, int], ...]


@dataclass(frozen=True, slots=True)
class _Sample:
    taken_s: float
    memory_mb: int
    by_task: ByTask


class UsageLog:
    """Records changes of the usage and returns the usage before the lag."""

    def __init__(self, now_s: float, lag_s: float) -> None:
        self._lag_s: Final = lag_s
        self._samples: deque[_Sample] = deque([_Sample(now_s, 0, ())])

    def add(self, now_s: float, memory_mb: int, by_task: ByTask) -> None:
        """Record the usage from `now_s` on, in megabytes and millicores."""
        last = self._samples[-1]
        if (last.memory_mb, last.by_task) != (memory_mb, by_task):
            self._samples.append(_Sample(now_s, memory_mb, by_task))
        self._drop_old(now_s)

    def read(self, now_s: float) -> WorkerUsage:
        """Return the usage at the time `now_s` minus the lag."""
        self._drop_old(now_s)
        sample = self._samples[0]
        n_millicores = sum(millicores for _, millicores in sample.by_task)
        return WorkerUsage(self._lag_s, n_millicores, sample.memory_mb, sample.by_task)

    def _drop_old(self, now_s: float) -> None:
        while (
            len(self._samples) > 1 and self._samples[1].taken_s <= now_s - self._lag_s
        ):
            self._samples.popleft()
