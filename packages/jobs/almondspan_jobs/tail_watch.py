"""Shows listed tail latencies to the model and keeps its weights.

The weights are solved now and then, sent to the agents, and stored with a group of
decisions, so that a later owner begins with them.
"""

from typing import Final

from almondspan_decisions.job_book import WorkerLife
from almondspan_decisions.tail_model import HarmTable, Image
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.job_books import JobBooks
from almondspan_jobs.messages import HarmPush, WorkerListing
from almondspan_jobs.records import HARM_KEY, HarmRecord, encode_record
from almondspan_platform.group_store import Write

__all__ = ["FULL_PERCENT", "MIN_OBSERVED", "MIN_WEIGHT", "TailWatch"]

FULL_PERCENT: Final = 100

MIN_OBSERVED: Final = 1_000
"""Tails that a new owner observes before it solves its own model."""

MIN_WEIGHT: Final = 0.02
"""Smaller weights are not sent to agents."""


class TailWatch(JobBooks):
    """The books with the model of tails."""

    def _observe_tails(
        self, life: WorkerLife, listing: WorkerListing, now_s: float
    ) -> None:
        """Show the model the tails on a worker with what fills beside them."""
        last_s = self._observed_s.get(life, 0.0)
        if now_s - last_s < self._options.observe_interval_s:
            return
        self._observed_s[life] = now_s
        serving: list[tuple[Image, float]] = []
        filling: dict[Image, float] = {}
        for name, _, _, percent, figure in listing.running:
            found = self._find(name)
            if found is None:
                continue
            book, key = found
            step = book.step_of(key)
            image = Image(step.image)
            if step.tail_target_ms and percent == FULL_PERCENT:
                serving.append((image, figure / step.tail_target_ms))
            elif step.fills:
                filling[image] = filling.get(image, 0.0) + figure / 1000
        self._model.observe(serving, filling)

    def _solve_model(self, now_s: float) -> None:
        """Solve the model now and then, and send the weights to the agents."""
        if now_s - self._solved_s < self._options.model_interval_s:
            return
        self._solved_s = now_s
        if self._model.n_observed < MIN_OBSERVED and self._table.weights:
            return
        self._table = self._model.solve()
        push = self.harm_push()
        for worker_id in self.workers:
            self._post(worker_id, push)
        self._log.line(
            "tail_model",
            n_observed=self._model.n_observed,
            weights=push.weights,
            bases={image: round(base, 2) for image, base in self._table.bases.items()},
        )

    def load_harm(self, record: HarmRecord) -> None:
        """Use the weights of an earlier owner until enough was observed."""
        self._table = HarmTable.from_rows(record.weights, record.bases)

    def _harm_write(self) -> Write:
        """Return the record of the weights."""
        self._harm_stored_s = steady_s()
        bases = {str(image): base for image, base in self._table.bases.items()}
        record = HarmRecord(self.harm_push().weights, bases)
        return Write(HARM_KEY, encode_record(record))

    def harm_push(self) -> HarmPush:
        """Return the weights that matter."""
        return HarmPush(
            [
                (serving, filling, round(weight, 3))
                for (serving, filling), weight in self._table.weights.items()
                if weight >= MIN_WEIGHT
            ]
        )
