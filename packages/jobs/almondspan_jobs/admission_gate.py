"""An entry's part of the admission: asks the owner for figures, and decides by them.

A job that can't be served by the latest figures is not rejected at once: `confirmed`
waits for figures that were requested `CONFIRM_S` after the submission. By then the
owner knows of entries at which an earlier submission of the job may have got stuck, and
its figures suspend the admission.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from almondspan_decisions.admission import (
    Admission,
    AdmissionFigures,
    QueueBacklog,
    Rejection,
    RejectionCause,
    WorkerSize,
)
from almondspan_decisions.ids import ServiceName
from almondspan_decisions.job_graph import JobSpec, QueueName
from almondspan_decisions.shapes import Shape
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import AdmissionRequest, AdmissionUpdate
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.owner_link import OwnerLink
from almondspan_jobs.supervision import keep_running

__all__ = ["AdmissionGate"]

CONFIRM_S: Final = 1.0
"""The owner finds an entry silent after 0.9 s."""


class AdmissionGate:
    """Rejects jobs of one entry that surely can't be served."""

    def __init__(
        self,
        node: str,
        owner: OwnerLink,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._node: Final = node
        self._owner: Final = owner
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._admission: Final = Admission()
        self._sizes: tuple[WorkerSize, ...] = ()
        self._sizes_epoch = 0
        self._sizes_version = -1
        self._requested_s = -math.inf
        """When the latest figures were requested."""
        self._updated: Final = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None
        self.is_settled: Callable[[], bool] = lambda: True
        """Whether no write of this entry is unanswered for long or uncertain."""

    async def start(self) -> None:
        """Start to ask the owner for figures."""
        self._task = asyncio.create_task(
            keep_running("admission", self._run, self._options.retry_s, self._log)
        )

    async def close(self) -> None:
        """Stop asking; the last figures soon count as too old."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._options.admission_interval_s)
            if not self._owner.answers_admission:
                continue
            requested_s = steady_s()
            reply = await self._owner.request(
                lambda number: AdmissionRequest(
                    number,
                    self._node,
                    self.is_settled(),
                    self._sizes_epoch,
                    max(0, self._sizes_version),
                ),
                self._options.ask_timeout_s,
            )
            if isinstance(reply, AdmissionUpdate):
                await self._on_update(reply, requested_s)

    async def _on_update(self, update: AdmissionUpdate, requested_s: float) -> None:
        known = (self._sizes_epoch, self._sizes_version)
        if known != (update.sizes_epoch, update.sizes_version):
            self._sizes_epoch = update.sizes_epoch
            self._sizes_version = update.sizes_version
            self._sizes = tuple(
                WorkerSize(ServiceName(service), label, Shape(*amounts))
                for service, label, *amounts in update.sizes
            )
        figures = AdmissionFigures(
            {
                QueueName(queue): QueueBacklog(
                    QueueName(queue), drain_s, spacing_s, n_waiting
                )
                for queue, drain_s, spacing_s, n_waiting in update.backlogs
            },
            self._sizes,
            update.are_sizes_known,
            update.is_settled,
            update.n_entries,
        )
        for queue in self._admission.update(figures, requested_s):
            self._metrics.count("admission_wrong_rejections", 1, {"queue": queue})
            self._log.line("rejection_wrong", queue=queue)
        self._requested_s = requested_s
        async with self._updated:
            self._updated.notify_all()

    def find_cause(self, spec: JobSpec) -> RejectionCause | None:
        """Return why a job can't be served by the latest figures, if it can't."""
        return self._admission.decide(spec, spec.accepted_rules, steady_s())

    async def confirmed(self, spec: JobSpec, budget_s: float) -> bool:
        """Return whether later figures also say that a job can't be served."""
        since_s = steady_s() + CONFIRM_S
        try:
            async with asyncio.timeout(budget_s), self._updated:
                await self._updated.wait_for(lambda: self._requested_s >= since_s)
        except TimeoutError:
            return False
        return self.find_cause(spec) is not None

    def reject(self, spec: JobSpec) -> Rejection | None:
        """Return the answer to the caller of a job that can't be served."""
        now_s = steady_s()
        rules = spec.accepted_rules
        cause = self._admission.decide(spec, rules, now_s)
        if cause is None or rules is None:
            return None
        labels = {"queue": spec.queue, "cause": cause.value}
        self._metrics.count("admission_rejections", 1, labels)
        return self._admission.reject(spec, rules, cause, now_s)
