"""Feeds listed tail latencies to the interference model and distributes its weights.

Each agent is sent the weights of its worker's serving tasks whenever they change. All
weights are stored periodically with a group of decisions, so that the next owner starts
with them.
"""

import math
from collections.abc import Mapping
from typing import Final

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.tail_latency_model import (
    Image,
    InterferenceRow,
    TailLatencySample,
)
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.messages import InterferenceUpdate, WorkerListing
from almondspan_jobs.owner_state import OwnerState
from almondspan_jobs.records import INTERFERENCE_KEY, InterferenceRecord, encode_record
from almondspan_platform.group_store import Write

__all__ = ["InterferenceMonitor"]

FULL_PERCENT: Final = 100
MIN_TAIL_LATENCY_MS: Final = 0.5
"""Lower bound, since workers list tail latencies in whole milliseconds."""


class InterferenceMonitor(OwnerState):
    """The owner's state with the model of interference."""

    def _observe_tail_latencies(
        self, incarnation: WorkerIncarnation, listing: WorkerListing, now_s: float
    ) -> None:
        """Give the model the headrooms and best-effort shares on a worker."""
        last_s = self._observed_s.get(incarnation, 0.0)
        record = self.workers.get(incarnation.worker_id)
        if record is None or now_s - last_s < self._options.observe_interval_s:
            return
        self._observed_s[incarnation] = now_s
        headrooms_by_group: dict[tuple[JobId, Image, int], list[float]] = {}
        best_effort_shares: dict[Image, float] = {}
        for name, _, _, percent, measurement in listing.running:
            found = self._find_task(name)
            if found is None:
                continue
            job, key = found
            step = job.step_of(key)
            image = Image(step.image)
            if step.tail_target_ms and percent == FULL_PERCENT:
                headroom = step.tail_target_ms / max(measurement, MIN_TAIL_LATENCY_MS)
                group = (job.job_id, image, step.tail_target_ms)
                headrooms_by_group.setdefault(group, []).append(headroom)
            elif step.fills:
                share = measurement / max(record.capacity.cpu_millicores, 1)
                best_effort_shares[image] = best_effort_shares.get(image, 0.0) + share
        samples = tuple(
            TailLatencySample(
                job_id,
                image,
                sum(headrooms) / len(headrooms),
                len(headrooms),
                target_ms,
            )
            for (job_id, image, target_ms), headrooms in headrooms_by_group.items()
        )
        self._model.observe(samples, best_effort_shares, now_s)
        record.headrooms = {}
        for (_, image, _), headrooms in headrooms_by_group.items():
            lowest = min(min(headrooms), record.headrooms.get(image, math.inf))
            record.headrooms[image] = lowest

    def _update_model(self, now_s: float) -> None:
        """Periodically solve the model and send changed weights to the agents."""
        if now_s - self._model_solved_s < self._options.model_interval_s:
            return
        self._model_solved_s = now_s
        self._interference = self._model.weights()
        for worker in self.workers.values():
            self._push_interference(worker)
        self._log.line(
            "tail_model",
            n_observed=self._model.n_observed,
            weights=_rounded(self._interference.weights),
            means={
                image: round(mean, 2)
                for image, mean in self._interference.means.items()
            },
        )

    def _push_interference(self, worker: WorkerRecord) -> None:
        """Send the weights that apply to a worker, if they have changed."""
        update = self.interference_update(worker)
        if update != self._interference_sent.get(worker.incarnation):
            if self._post(worker.incarnation.worker_id, update):
                self._interference_sent[worker.incarnation] = update

    def load_interference(self, record: InterferenceRecord) -> None:
        """Load the weights that an earlier owner stored."""
        rows = [
            InterferenceRow(Image(serving), Image(best_effort), weight, variance)
            for serving, best_effort, weight, variance in record.weights
        ]
        means = {Image(image): mean for image, mean in record.means.items()}
        self._model.load(rows, means)
        self._interference = self._model.weights()

    def _interference_write(self) -> Write:
        """Return the write of the weights."""
        self._interference_stored_s = steady_s()
        rows = [
            (str(row.serving), str(row.best_effort_image), row.weight, row.variance)
            for row in self._model.rows()
        ]
        means = {str(image): mean for image, mean in self._interference.means.items()}
        return Write(INTERFERENCE_KEY, encode_record(InterferenceRecord(rows, means)))

    def interference_update(self, worker: WorkerRecord) -> InterferenceUpdate:
        """Return the weights that apply to a worker's serving tasks."""
        weights = {
            pair: weight
            for pair, weight in self._interference.weights.items()
            if worker.n_serving.get(pair[0], 0) > 0
        }
        return InterferenceUpdate(_rounded(weights))

    def interference_update_for(self, worker_id: WorkerId) -> InterferenceUpdate:
        """Return the weights that apply to a worker, by its id."""
        record = self.workers.get(worker_id)
        return (
            self.interference_update(record)
            if record is not None
            else InterferenceUpdate([])
        )


def _rounded(
    weights: Mapping[tuple[Image, Image], float],
) -> list[tuple[str, str, float]]:
    return [
        (str(serving), str(best_effort), round(weight, 1))
        for (serving, best_effort), weight in weights.items()
    ]
