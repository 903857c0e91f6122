"""Takes failing and very slow runners out of use for a while.

A runner's health is one of three states:

1. Healthy: it is ejected after several failures in a row, or when its recent answers
   were many times slower than the median of its peers and the peers have room.
2. Ejected: it gets no calls until its time has passed. The time doubles with each
   ejection and shrinks again while the runner does well.
3. Probing: it gets single calls. Some successes in a row make it healthy, one
   failure ejects it again.

The share of the runners that are out of use at once is capped.
"""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from transitions import Machine

__all__ = ["EjectionOptions", "HealthState", "RunnerHealth", "is_outlier", "may_eject"]


class HealthState(Enum):
    """Whether a runner gets calls."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class EjectionOptions:
    """Limits of ejection.

    A runner is slow when its latency exceeds the median of its peers ``slow_ratio``
    times and by ``slow_least_ms``, in ``slow_answers`` answers since it was last out
    of use. The peers have room while they hold fewer than ``room_load`` calls a slot:
    beyond that, a slow runner is better than none.
    """

    n_failures: int = 5
    n_probes: int = 3
    slow_ratio: float = 10.0
    slow_min_excess_ms: float = 20.0
    slow_min_answers: int = 10
    max_peer_load: float = 0.5
    base_ejection_s: float = 2.0
    max_ejection_s: float = 60.0
    max_ejected_share: float = 0.34
    probe_share: float = 0.05
    check_s: float = 1.0


_TRANSITIONS: Final[list[dict[str, Any]]] = [
    {
        "trigger": "eject",
        "source": [HealthState.HEALTHY, HealthState.PROBING],
        "dest": HealthState.EJECTED,
    },
    {"trigger": "probe", "source": HealthState.EJECTED, "dest": HealthState.PROBING},
    {
        "trigger": "recover",
        "source": HealthState.PROBING,
        "dest": HealthState.HEALTHY,
    },
]


class RunnerHealth:
    """The health of one runner, as one entry sees it."""

    state: HealthState

    def __init__(self, options: EjectionOptions) -> None:
        self._options = options
        self._n_failures = 0
        self._n_successes = 0
        self._n_ejections = 0
        self._ejected_until_s = 0.0
        self._machine = Machine(
            self,
            states=HealthState,
            initial=HealthState.HEALTHY,
            transitions=_TRANSITIONS,
            auto_transitions=False,
        )

    def on_success(self) -> bool:
        """Count a success; True when the runner has become healthy by it."""
        self._n_failures = 0
        if self.state is not HealthState.PROBING:
            return False
        self._n_successes += 1
        if self._n_successes < self._options.n_probes:
            return False
        self._n_ejections = max(0, self._n_ejections - 1)
        self._trigger("recover")
        return True

    def on_failure(self) -> bool:
        """Count a failure; True when the runner should be ejected."""
        self._n_failures += 1
        if self.state is HealthState.PROBING:
            return True
        return (
            self.state is HealthState.HEALTHY
            and self._n_failures >= self._options.n_failures
        )

    def start_ejection(self, now_s: float) -> None:
        """Take the runner out of use."""
        options = self._options
        ejected_s = min(
            options.max_ejection_s, options.base_ejection_s * 2.0**self._n_ejections
        )
        self._n_ejections += 1
        self._n_failures = 0
        self._n_successes = 0
        self._ejected_until_s = now_s + ejected_s
        self._trigger("eject")

    def end_ejection_if_due(self, now_s: float) -> None:
        """Begin to probe when the runner's time out of use has passed."""
        if self.state is HealthState.EJECTED and now_s >= self._ejected_until_s:
            self._trigger("probe")

    def _trigger(self, name: str) -> None:
        getattr(self, name)()


def may_eject(n_ejected: int, n_runners: int, max_ejected_share: float) -> bool:
    """Tell whether one more of `n_runners` may be out of use; one always may."""
    return n_runners > 1 and n_ejected + 1 <= max(1, int(n_runners * max_ejected_share))


def is_outlier(
    latency_ms: float, peers_ms: Sequence[float], options: EjectionOptions
) -> bool:
    """Tell whether a runner is very slow beside its peers."""
    if len(peers_ms) < 2:
        return False
    typical_ms = statistics.median(peers_ms)
    return (
        latency_ms > typical_ms * options.slow_ratio
        and latency_ms > typical_ms + options.slow_min_excess_ms
    )
