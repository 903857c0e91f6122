"""Outlier detection: temporarily ejects failing and very slow runners.

A runner's health has three states:

1. Healthy: the runner is ejected after consecutive failures, or when its latency is
   many times the median of its peers and the peers have free capacity.
2. Ejected: the runner gets no calls until the ejection time has passed. The time
   doubles with each ejection and halves with each recovery.
3. Probing: the runner gets one call at a time. Consecutive successes make it healthy,
   one failure ejects it again.

The share of a service's runners that are ejected or probed at once is capped.
"""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from transitions import Machine

__all__ = ["EjectionOptions", "HealthState", "RunnerHealth", "is_outlier", "may_eject"]


class HealthState(Enum):
    """Whether a runner gets calls: all, none, or one at a time."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class EjectionOptions:
    """Thresholds and times of ejection.

    A runner is ejected after ``n_failures`` consecutive failures and healthy again
    after ``n_probes`` successful probes, which are sent with probability
    ``probe_share``. It is slow when its latency is over ``slow_ratio`` times the
    median of its peers and over ``slow_min_excess_ms`` above it, once it has given
    ``slow_min_answers`` answers since its last ejection. It is kept when its peers
    hold more than ``max_peer_load`` calls per slot: then a slow runner is better than
    none.
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
    """State machine for the health of one runner, as seen by one entry."""

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
        """Record a success; returns True when it makes the runner healthy again."""
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
        """Record a failure; returns True when the runner should be ejected."""
        self._n_failures += 1
        if self.state is HealthState.PROBING:
            return True
        return (
            self.state is HealthState.HEALTHY
            and self._n_failures >= self._options.n_failures
        )

    def start_ejection(self, now_s: float) -> None:
        """Eject the runner, for longer with each ejection."""
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
        """Start probing when the ejection time has passed."""
        if self.state is HealthState.EJECTED and now_s >= self._ejected_until_s:
            self._trigger("probe")

    def _trigger(self, name: str) -> None:
        getattr(self, name)()


def may_eject(n_unhealthy: int, n_runners: int, max_ejected_share: float) -> bool:
    """Return whether another runner may be ejected; one of several always may."""
    return n_runners > 1 and n_unhealthy + 1 <= max(
        1, int(n_runners * max_ejected_share)
    )


def is_outlier(
    latency_ms: float, peers_ms: Sequence[float], options: EjectionOptions
) -> bool:
    """Return whether a runner is very slow compared with its peers."""
    if len(peers_ms) < 2:
        return False
    typical_ms = statistics.median(peers_ms)
    return (
        latency_ms > typical_ms * options.slow_ratio
        and latency_ms > typical_ms + options.slow_min_excess_ms
    )
