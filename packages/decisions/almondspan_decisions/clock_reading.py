"""Tells a worker's incarnations apart by its clock, which starts anew with each.

An answer without the incarnation's start time may be by a later incarnation with the
same id. Its clock then shows less time than has passed since the earlier incarnation's
clock was read, whereas the earlier one's clock goes on from that reading.
"""

from dataclasses import dataclass
from typing import Final

__all__ = ["ClockReading"]

MARGIN_MS: Final = 20
"""For readings that are rounded, and calls that overtake each other."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A worker's clock, and when the answer that contains it arrived."""

    clock_ms: int
    read_s: float

    def is_continued(self, clock_ms: int, sent_s: float, drift: float) -> bool:
        """Return whether the same incarnation has answered a later call.

        Parameters
        ----------
        clock_ms : int
            The clock in the answer to that call.
        sent_s : float
            When the call was sent.
        drift : float
            Largest share by which the worker's clock may be slow.
        """
        passed_ms = (sent_s - self.read_s) * 1000 * (1 - drift)
        return clock_ms >= self.clock_ms + passed_ms - MARGIN_MS
