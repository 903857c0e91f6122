"""Feeds listed tail latencies to the interference model and distributes its weights.

Each agent is sent the weights of its worker's serving tasks whenever they change. The
latest weights are stored periodically with a group of decisions, so that the next owner
starts with them.
"""

import math
from collections.abc import Callable, Mapping
from typing import Final

from almondspan_decisions.best_effort_placement import BestEffortScores
from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.tail_latency_model import (
    Image,
    InterferenceRow,
    InterferenceWeights,
    TailLatencyModel,
    TailLatencySample,
)
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.messages import InterferenceUpdate, WorkerListing
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import INTERFERENCE_KEY, InterferenceRecord, encode_record
from almondspan_platform.group_store import Write
from almondspan_wire.codec import Message

__all__ = ["InterferenceMonitor"]

FULL_PERCENT: Final = 100
MAX_STORED_PAIRS: Final = 400
"""Limit of the stored weights, which must fit into a value of the store."""

MIN_TAIL_LATENCY_MS: Final = 0.5
"""Lower bound, since workers list tail latencies in whole milliseconds."""


class InterferenceMonitor:
    """The learned interference weights, and what each agent knows of them."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        post: Callable[[WorkerId, Message], bool],
        options: JobOptions,
        log: EventLog,
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._post: Final = post
        self._options: Final = options
        self._log: Final = log
        self._model: Final = TailLatencyModel()
        self.scores = BestEffortScores(InterferenceWeights({}))
        """Scores by the weights as of the last solution of the model."""
        self._solved_s = 0.0
        self._stored_s = steady_s()
        self._observed_s: Final[dict[WorkerIncarnation, float]] = {}
        self._sent: Final[dict[WorkerIncarnation, InterferenceUpdate]] = {}
        """The weights last sent to each worker's agent."""

    @property
    def weights(self) -> InterferenceWeights:
        """The weights as of the last solution of the model."""
        return self.scores.interference

    def observe(
        self, incarnation: WorkerIncarnation, listing: WorkerListing, now_s: float
    ) -> None:
        """Give the model the headrooms and best-effort shares on a worker."""
        last_s = self._observed_s.get(incarnation, 0.0)
        record = self._fleet.workers.get(incarnation.worker_id)
        if record is None or now_s - last_s < self._options.observe_interval_s:
            return
        self._observed_s[incarnation] = now_s
        headrooms_by_group: dict[tuple[JobId, Image, int], list[float]] = {}
        best_effort_shares: dict[Image, float] = {}
        for name, _, _, percent, measurement in listing.running:
            found = self._table.find_task(name)
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
        self._observe_budget(record, best_effort_shares, now_s)

    def _observe_budget(
        self, record: WorkerRecord, shares: Mapping[Image, float], now_s: float
    ) -> None:
        """Track what the serving tasks of a worker leave to best-effort tasks."""
        levels = {
            served: headroom
            + sum(
                self.weights.weight(served, image) * share
                for image, share in shares.items()
            )
            for served, headroom in record.headrooms.items()
        }
        record.budget.observe(levels, now_s)

    def tick(self, now_s: float) -> None:
        """Periodically solve the model and send changed weights to the agents."""
        if now_s - self._solved_s < self._options.model_interval_s:
            return
        self._solved_s = now_s
        self.scores = BestEffortScores(self._model.weights())
        observed = {
            (row.serving, row.best_effort_image): row.weight
            for row in self._model.rows()
        }
        for worker in self._fleet.workers.values():
            self.push(worker)
        self._log.line(
            "tail_model",
            n_observed=self._model.n_observed,
            weights=_rounded(observed),
            n_predicted=len(self.weights.weights) - len(observed),
            means={image: round(mean, 2) for image, mean in self.weights.means.items()},
        )

    def push(self, worker: WorkerRecord) -> None:
        """Send the weights that apply to a worker, if they have changed."""
        update = self._update_of(worker)
        if update != self._sent.get(worker.incarnation):
            if self._post(worker.incarnation.worker_id, update):
                self._sent[worker.incarnation] = update

    def forget(self, incarnation: WorkerIncarnation) -> None:
        """Drop what is kept of an incarnation."""
        self._observed_s.pop(incarnation, None)
        self._sent.pop(incarnation, None)

    def load(self, record: InterferenceRecord) -> None:
        """Load the weights that an earlier owner stored."""
        # The model takes each pair once; another writer may have stored one twice.
        rows = {
            (serving, best_effort): InterferenceRow(
                Image(serving), Image(best_effort), weight, variance
            )
            for serving, best_effort, weight, variance in record.weights
        }
        means = {Image(image): mean for image, mean in record.means.items()}
        self._model.load(list(rows.values()), means)
        self.scores = BestEffortScores(self._model.weights())

    @property
    def is_write_due(self) -> bool:
        """Return whether the weights should be stored with the next group."""
        age_s = steady_s() - self._stored_s
        return age_s > self._options.interference_store_interval_s

    def write(self) -> Write:
        """Return the write of the weights."""
        self._stored_s = steady_s()
        rows = [
            (str(row.serving), str(row.best_effort_image), row.weight, row.variance)
            for row in self._model.latest_rows(MAX_STORED_PAIRS)
        ]
        means = {str(image): mean for image, mean in self.weights.means.items()}
        if len(means) > MAX_STORED_PAIRS:
            means = {row[0]: means[row[0]] for row in rows if row[0] in means}
        return Write(INTERFERENCE_KEY, encode_record(InterferenceRecord(rows, means)))

    def _update_of(self, worker: WorkerRecord) -> InterferenceUpdate:
        weights = {
            pair: weight
            for pair, weight in self.weights.weights.items()
            if worker.n_serving.get(pair[0], 0) > 0
        }
        return InterferenceUpdate(_rounded(weights))

    def update_for(self, worker_id: WorkerId) -> InterferenceUpdate:
        """Return the weights that apply to a worker's serving tasks, by its id."""
        record = self._fleet.workers.get(worker_id)
        if record is None:
            return InterferenceUpdate([])
        return self._update_of(record)


def _rounded(
    weights: Mapping[tuple[Image, Image], float],
) -> list[tuple[str, str, float]]:
    return [
        (str(serving), str(best_effort), round(weight, 1))
        for (serving, best_effort), weight in weights.items()
    ]
