"""An agent's figures of one service, for the burn report."""

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
    """An `EvidenceSource` over a gate and the ladder of its worker."""

    def __init__(
        self,
        admission: RunnerAdmission,
        colocation_controller: ColocationController | None,
    ) -> None:
        self._admission = admission
        self._colocation_controller = colocation_controller

    def evidence(self) -> ServiceEvidence:
        """Return the figures up to now."""
        plain = ServiceEvidence(
            service=self._admission.service,
            windows=tuple(map(self._window, BURN_WINDOWS_S)),
            sketch=self._admission.latencies().encode(),
        )
        if self._colocation_controller is None:
            return plain
        counters = self._colocation_controller.counters
        return ServiceEvidence(
            service=plain.service,
            windows=plain.windows,
            sketch=plain.sketch,
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
        # The report weighs pairs by their observations: confidence in percent
        # stands for the count, which the model does not keep.
        return tuple(
            PairEvidence(pair.task_class, pair.slowdown, round(100 * pair.confidence))
            for pair in colocation_controller.pairs()
            if pair.service == self._admission.service
        )
