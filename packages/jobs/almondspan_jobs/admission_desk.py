"""The owner's part of the admission: the figures that it gives to the entries.

Each entry asks twice a second. Its request says whether it is settled: whether it has
no write that is unanswered for long, and none of uncertain outcome. The figures say
whether all entries are. They are not while an entry is silent that has asked before,
nor for `late_write_s` after an owner has begun or an entry was not settled: until then,
a write of a job that is submitted again at another entry may still take effect.
"""

import math
from collections.abc import Callable, Collection
from typing import Final

from almondspan_decisions.admission import (
    FleetSizes,
    QueueBacklog,
    WorkerSize,
    backlogs,
    service_capacities,
    worker_sizes,
)
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import AdmissionRequest, AdmissionUpdate
from almondspan_jobs.options import JobOptions
from almondspan_jobs.scheduler import Scheduler

__all__ = ["AdmissionDesk"]

MAX_SILENCE_S: Final = 0.9
"""An entry that asks every `admission_interval_s` is silent after this."""

FORGOTTEN_S: Final = 60.0
"""An entry that has been silent for this long is gone."""

COMPUTE_S: Final = 0.4
"""Least time between two computations of the figures."""


class AdmissionDesk:
    """Answers the entries' requests for figures."""

    def __init__(
        self,
        scheduler: Scheduler,
        agents: Callable[[], Collection[str]],
        epoch: int,
        options: JobOptions,
        log: EventLog,
    ) -> None:
        self._scheduler: Final = scheduler
        self._agents: Final = agents
        self._epoch: Final = epoch
        self._options: Final = options
        self._log: Final = log
        self._sizes: Final = FleetSizes(steady_s())
        self._unsettled_s = steady_s()
        """When an entry was last not settled."""
        self._was_settled = False
        self._asked_s: Final[dict[str, float]] = {}
        """When each entry has last asked."""
        self._computed_s = -math.inf
        self._backlogs: list[QueueBacklog] = []

    def answer(self, request: AdmissionRequest) -> AdmissionUpdate:
        """Return the figures, with the sizes of workers if the entry has others."""
        now_s = steady_s()
        self._asked_s[request.entry] = now_s
        if not request.is_settled:
            self._unsettled_s = now_s
        if now_s - self._computed_s >= COMPUTE_S:
            self._compute(now_s)
        known = (request.sizes_epoch, request.sizes_version)
        is_news = known != (self._epoch, self._sizes.version)
        sizes = self._sizes.sizes if is_news else ()
        return AdmissionUpdate(
            request.number,
            self._is_settled(now_s),
            len(self._asked_s),
            self._sizes.are_known(now_s),
            self._epoch,
            self._sizes.version,
            [_size_row(size) for size in sizes],
            [
                (backlog.queue, backlog.drain_s, backlog.spacing_s, backlog.n_waiting)
                for backlog in self._backlogs
            ],
        )

    def _is_settled(self, now_s: float) -> bool:
        for entry, asked_s in tuple(self._asked_s.items()):
            if now_s - asked_s > FORGOTTEN_S:
                del self._asked_s[entry]
            elif now_s - asked_s > MAX_SILENCE_S:
                self._unsettled_s = now_s
        is_settled = now_s - self._unsettled_s >= self._options.late_write_s
        if is_settled is not self._was_settled:
            self._was_settled = is_settled
            self._log.line(
                "admission_settled" if is_settled else "admission_suspended",
                n_entries=len(self._asked_s),
            )
        return is_settled

    def _compute(self, now_s: float) -> None:
        self._computed_s = now_s
        scheduler = self._scheduler
        workers = scheduler.workers.values()
        self._sizes.observe(
            worker_sizes(workers),
            now_s,
            have_all_reported=scheduler.reported_agents.issuperset(self._agents()),
        )
        found = backlogs(
            scheduler.waiting_jobs(),
            scheduler.rules,
            service_capacities(workers),
            now_s,
        )
        self._backlogs = list(found.values())


def _size_row(size: WorkerSize) -> tuple[str, str, int, int, int]:
    shape = size.capacity
    return (
        size.service,
        size.label,
        max(0, shape.cpu_millicores),
        max(0, shape.memory_mb),
        max(0, shape.n_accelerators),
    )
