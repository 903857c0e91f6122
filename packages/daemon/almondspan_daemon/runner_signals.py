"""Adapts a runner's admission to the signals that colocation control reads."""

from typing import Final

from almondspan_daemon.colocation import ServiceSignal
from almondspan_service.runner_admission import RunnerAdmission

__all__ = ["RunnerSignalSource"]

RECENT_S: Final = 1.0
"""The window of run times and tail latencies."""

BURN_S: Final = 5.0
"""The window of the burn rate."""

TAIL_SHARE: Final = 0.95


class RunnerSignalSource:
    """A `ServiceSignalSource` that reads a runner's admission."""

    def __init__(self, admission: RunnerAdmission) -> None:
        self._admission = admission

    def signal(self) -> ServiceSignal:
        """Return the current signal of the service."""
        status = self._admission.status()
        recent = self._admission.recent(RECENT_S, TAIL_SHARE)
        return ServiceSignal(
            service=status.service,
            n_slots=status.n_slots,
            n_busy=status.n_busy,
            n_queued=status.n_queued,
            burn_rate=self._admission.burn(BURN_S).burn_rate,
            run_ms=recent.mean_run_ms,
            tail_ms=recent.tail_ms,
            objective_ms=self._admission.objective_ms(),
            n_recent_calls=recent.n_calls,
        )
