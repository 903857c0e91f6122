"""The worker's clock, read at intervals.

An agent that pauses between its last check and the sending of a start sends the start
when it resumes, however late. Then only the worker can refuse it, by a deadline on
its own clock. The deadline is computed from the latest reading as if the worker had
read its clock just before the answer arrived here, so it may be early but is never
late. The drift of the two clocks since the reading is covered by the drift margin.
"""

from dataclasses import dataclass
from typing import Final

__all__ = ["READ_INTERVAL_S", "WorkerClock"]

READ_INTERVAL_S: Final = 30.0
"""Interval between readings of the clock, in seconds."""


@dataclass(slots=True)
class WorkerClock:
    """The latest reading of the worker's clock, and when it arrived here."""

    clock_s: float | None = None
    arrived_s: float = 0.0

    def update(self, clock_s: float | None, now_s: float) -> None:
        """Store a reading."""
        self.clock_s = clock_s
        self.arrived_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Return whether another reading is due."""
        return now_s - self.arrived_s >= READ_INTERVAL_S

    def at(self, here_s: float) -> float | None:
        """Convert a time of this process to the worker's clock, never too late.

        Returns None when the worker's clock is unknown.
        """
        if self.clock_s is None:
            return None
        return self.clock_s + here_s - self.arrived_s
