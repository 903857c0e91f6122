"""An agent's measurements of one service, for the burn report."""

from almondspan_admin.burn_messages import (
    PairEvidence,
    ServiceEvidence,
    WindowCounts,
)
from almondspan_daemon.colocation import ColocationController
from almondspan_decisions.burn import BURN_WINDOWS_S
from almondspan_service.runner_admission import RunnerAdmission

__all__ = ["RunnerBurnEvidence"]


class RunnerBurnEvidence:
    """An `EvidenceSource` for a runner and the colocation control of its worker."""

    def __init__(
        self,
        admission: RunnerAdmission,
        colocation_controller: ColocationController | None,
    ) -> None:
        self._admission = admission
        self._colocation_controller = colocation_controller

    def evidence(self) -> ServiceEvidence:
        """Return the current measurements."""
        service_evidence = ServiceEvidence(
            service=self._admission.service,
            windows=tuple(map(self._window, BURN_WINDOWS_S)),
            sketch=self._admission.latencies().encode(),
        )
        if self._colocation_controller is None:
            return service_evidence
        counters = self._colocation_controller.counters
        return ServiceEvidence(
            service=service_evidence.service,
            windows=service_evidence.windows,
            sketch=service_evidence.sketch,
            n_throttles=counters.n_throttles,
            n_checkpoints=counters.n_checkpoints,
            n_evictions=counters.n_checkpoints + counters.n_stops,
            pairs=self._pairs(self._colocation_controller),
        )

    def _window(self, window_s: float) -> WindowCounts:
        sample = self._admission.burn(window_s)
        return WindowCounts(window_s, sample.n_calls, sample.n_missed)

    def _pairs(
        self, colocation_controller: ColocationController
    ) -> tuple[PairEvidence, ...]:
        # The report weights pairs by their number of observations. The model does
        # not keep that number, so the confidence in percent takes its place.
        return tuple(
            PairEvidence(pair.task_class, pair.slowdown, round(100 * pair.confidence))
            for pair in colocation_controller.pairs()
            if pair.service == self._admission.service
        )
