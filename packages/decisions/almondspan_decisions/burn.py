"""Error budget burn rates of services over several windows.

The error budget of a service is the share of calls that may miss its objective. A burn
rate of 1 spends the budget exactly; 10 spends it ten times too fast. Calls are counted
in slices of time: fine slices for the short windows, coarse slices for the long ones.
Counts of several processes can be added without loss.

An alert requires a high rate in two windows: the long window shows that the burn is
significant, the short one that it is still happening.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

__all__ = [
    "ALERT_RULES",
    "BURN_WINDOWS_S",
    "AlertRule",
    "AlertState",
    "BurnCounter",
    "BurnSeverity",
    "CallCounts",
    "alert_states",
    "burn_rate",
    "merge_counts",
]

BURN_WINDOWS_S: Final = (5.0, 60.0, 300.0, 1800.0, 3600.0, 21600.0)
"""The windows of the report, in seconds."""

_FINE_SLICE_S: Final = 1.0
_N_FINE_SLICES: Final = 60
_COARSE_SLICE_S: Final = 60.0
_N_COARSE_SLICES: Final = 361
"""Six hours and the current slice."""


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Number of calls in a window, and of those that missed the objective."""

    n_calls: int = 0
    n_missed: int = 0

    def __add__(self, other: "CallCounts") -> "CallCounts":
        return CallCounts(self.n_calls + other.n_calls, self.n_missed + other.n_missed)


class BurnSeverity(Enum):
    """Severity of an alert."""

    PAGE = "page"
    TICKET = "ticket"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Fires while the burn rate of both windows is at least `burn_rate`."""

    severity: BurnSeverity
    short_s: float
    long_s: float
    burn_rate: float


ALERT_RULES: Final = (
    AlertRule(BurnSeverity.PAGE, 300.0, 3600.0, 14.4),
    AlertRule(BurnSeverity.PAGE, 1800.0, 21600.0, 6.0),
    AlertRule(BurnSeverity.TICKET, 3600.0, 21600.0, 1.0),
)
"""Pairs of windows with their thresholds, in descending order of burn rate."""


@dataclass(frozen=True, slots=True)
class AlertState:
    """A rule with the rates of its two windows."""

    rule: AlertRule
    short_burn_rate: float
    long_burn_rate: float

    @property
    def firing(self) -> bool:
        """Whether the burn rate of both windows is at or above the threshold."""
        least = min(self.short_burn_rate, self.long_burn_rate)
        return least >= self.rule.burn_rate


class _SliceRing:
    """Counts by slice of time; only the most recent slices are kept."""

    def __init__(self, slice_s: float, n_slices: int) -> None:
        self._slice_s = slice_s
        self._n_slices = n_slices
        self._slices: dict[int, CallCounts] = {}

    def add(self, now_s: float, counts: CallCounts) -> None:
        index = math.floor(now_s / self._slice_s)
        known = self._slices.get(index)
        if known is None:
            self._drop_before(index - self._n_slices)
            known = CallCounts()
        self._slices[index] = known + counts

    def total(self, now_s: float, window_s: float) -> CallCounts:
        last = math.floor(now_s / self._slice_s)
        first = last - math.ceil(window_s / self._slice_s)
        return merge_counts(
            counts for index, counts in self._slices.items() if first < index <= last
        )

    def _drop_before(self, first: int) -> None:
        for index in [index for index in self._slices if index <= first]:
            del self._slices[index]


class BurnCounter:
    """Counts one service's calls for every window up to six hours."""

    def __init__(self) -> None:
        self._fine = _SliceRing(_FINE_SLICE_S, _N_FINE_SLICES)
        self._coarse = _SliceRing(_COARSE_SLICE_S, _N_COARSE_SLICES)

    def record(self, now_s: float, missed: bool) -> None:
        """Count a call that ended at `now_s`."""
        self.record_many(now_s, CallCounts(1, int(missed)))

    def record_many(self, now_s: float, counts: CallCounts) -> None:
        """Count several calls that ended at `now_s`."""
        self._fine.add(now_s, counts)
        self._coarse.add(now_s, counts)

    def counts(self, now_s: float, window_s: float) -> CallCounts:
        """Return the calls of the last `window_s`, to the precision of a slice."""
        if window_s <= _FINE_SLICE_S * _N_FINE_SLICES:
            return self._fine.total(now_s, window_s)
        return self._coarse.total(now_s, window_s)


def merge_counts(counts: Iterable[CallCounts]) -> CallCounts:
    """Add the counts of several processes or slices."""
    return sum(counts, CallCounts())


def burn_rate(counts: CallCounts, objective_share: float) -> float:
    """Return the rate at which the error budget is spent over the rate allowed.

    With an objective of 1 there is no budget, so the rate of any miss is infinite.
    """
    if counts.n_missed == 0 or counts.n_calls == 0:
        return 0.0
    budget_share = 1.0 - objective_share
    if budget_share <= 0.0:
        return math.inf
    return counts.n_missed / counts.n_calls / budget_share


def alert_states(
    counts_by_window_s: dict[float, CallCounts], objective_share: float
) -> tuple[AlertState, ...]:
    """Return the state of every rule whose windows are in `counts_by_window_s`."""
    rates = {
        window_s: burn_rate(counts, objective_share)
        for window_s, counts in counts_by_window_s.items()
    }
    return tuple(
        AlertState(rule, rates[rule.short_s], rates[rule.long_s])
        for rule in ALERT_RULES
        if rule.short_s in rates and rule.long_s in rates
    )
