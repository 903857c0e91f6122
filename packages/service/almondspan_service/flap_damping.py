"""Flap damping: suppresses agents that disconnect too often.

Each departure adds 1 to an agent's penalty, which decays exponentially. An agent
whose penalty exceeds one limit is suppressed until it falls below a lower limit.
"""

import math
from dataclasses import dataclass
from typing import Final

__all__ = ["DampingOptions", "FlapDamper"]

FORGET_PENALTY: Final = 0.01
"""Penalties that have decayed below this are dropped."""


@dataclass(frozen=True, slots=True)
class DampingOptions:
    """Penalty limits for suppression and for reuse, and the penalty's half-life."""

    suppress_limit: float = 2.5
    reuse_limit: float = 1.2
    half_life_s: float = 20.0


@dataclass(slots=True)
class _Penalty:
    amount: float
    at_s: float
    suppressed: bool = False


class FlapDamper:
    """Penalties by worker id, or by agent id for agents without a worker."""

    def __init__(self, options: DampingOptions) -> None:
        self._options = options
        self._penalties: dict[str, _Penalty] = {}

    def on_departure(self, name: str, now_s: float) -> None:
        """Add the penalty for a departure."""
        amount = self._amount(name, now_s) + 1.0
        known = self._penalties.get(name)
        suppressed = amount > self._options.suppress_limit or (
            known is not None
            and known.suppressed
            and amount > self._options.reuse_limit
        )
        self._drop_decayed(now_s)
        self._penalties[name] = _Penalty(amount, now_s, suppressed)

    def suppressed_until_s(self, name: str, now_s: float) -> float:
        """Return until when an agent is suppressed; at most `now_s` if it is not."""
        known = self._penalties.get(name)
        if known is None or not known.suppressed:
            return now_s
        halvings = math.log2(max(1.0, known.amount / self._options.reuse_limit))
        return known.at_s + halvings * self._options.half_life_s

    def _amount(self, name: str, now_s: float) -> float:
        known = self._penalties.get(name)
        if known is None:
            return 0.0
        halvings = (now_s - known.at_s) / self._options.half_life_s
        return float(known.amount * 0.5**halvings)

    def _drop_decayed(self, now_s: float) -> None:
        small = [
            name
            for name in self._penalties
            if self._amount(name, now_s) < FORGET_PENALTY
        ]
        for name in small:
            del self._penalties[name]
