"""Bounds what one caller may have in flight while an entry is busy.

A caller may hold as many calls as there is room left. A lone caller is held to half
of the limit; each further busy caller finds room, however many calls others sent.
"""

from almondspan_decisions.ids import CallerId

__all__ = ["CallerShares"]


class CallerShares:
    """Calls in flight by caller, at most `n_max` of them."""

    def __init__(self, n_max: int) -> None:
        self._n_max = n_max
        self._n_by_caller: dict[CallerId, int] = {}
        self.n_in_flight = 0

    def admit(self, caller: CallerId) -> bool:
        """Count a call; False when the caller holds its share."""
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
