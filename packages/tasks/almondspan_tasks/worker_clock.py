"""The worker's clock, read from time to time.

A keeper that is stopped between its last check and the sending of a start sends it
when it goes on, whatever time has passed. Only the worker can refuse it then, by a
time of its own clock. The time is worked out from the latest reading as if the
worker had read its clock just before the answer arrived here, so it is early and
never late; the drift of the two clocks since the reading is left to the margin.
"""

from dataclasses import dataclass
from typing import Final

__all__ = ["READ_INTERVAL_S", "WorkerClock"]

READ_INTERVAL_S: Final = 30.0
"""How often the clock is read, in seconds."""


@dataclass(slots=True)
class WorkerClock:
    """A reading of the worker's clock and when its answer arrived here."""

    clock_s: float | None = None
    arrived_s: float = 0.0

    def update(self, clock_s: float | None, now_s: float) -> None:
        """Take a reading."""
        self.clock_s = clock_s
        self.arrived_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Tell whether it is time for another reading."""
        return now_s - self.arrived_s >= READ_INTERVAL_S

    def at(self, here_s: float) -> float | None:
        """Return the worker's time at a time of this process, at the latest."""
        if self.clock_s is None:
            return None
        return self.clock_s + here_s - self.arrived_s
