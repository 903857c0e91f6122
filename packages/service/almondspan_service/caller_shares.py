"""Limits the calls in flight of one caller at an entry.

A caller may have at most as many calls in flight as the limit leaves free. So a
single caller gets up to half of the limit, and every further caller finds free
capacity, however many calls the others send.
"""

from almondspan_decisions.ids import CallerId

__all__ = ["CallerShares"]


class CallerShares:
    """Counts calls in flight by caller, at most `n_max` in total."""

    def __init__(self, n_max: int) -> None:
        self._n_max = n_max
        self._n_by_caller: dict[CallerId, int] = {}
        self.n_in_flight = 0

    def admit(self, caller: CallerId) -> bool:
        """Count a call; returns False when the caller's share is used up."""
        n_held = self._n_by_caller.get(caller, 0)
        if n_held >= self._n_max - self.n_in_flight:
            return False
        self._n_by_caller[caller] = n_held + 1
        self.n_in_flight += 1
        return True

    def release(self, caller: CallerId) -> None:
        """Count the end of an admitted call."""
        self.n_in_flight -= 1
        n_held = self._n_by_caller[caller] - 1
        if n_held:
            self._n_by_caller[caller] = n_held
        else:
            del self._n_by_caller[caller]
