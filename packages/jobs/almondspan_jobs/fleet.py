"""The owner's workers: their records, leases, agents and the tasks assigned to them."""

from collections.abc import Iterable, Mapping
from typing import Final

from almondspan_decisions.ids import JobId, ServiceName, WorkerId
from almondspan_decisions.job_graph import TaskKey
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.worker_lease import LeaseTerms, WorkerLease
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.evacuations import Evacuations
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import HOME_AGENTS_KEY, HomeAgentsRecord, encode_record
from almondspan_platform.group_store import Write

__all__ = ["Fleet", "HeldTask"]

HeldTask = tuple[JobId, TaskKey]
"""A task that is assigned to a worker."""


class Fleet:
    """All workers that the owner knows, by id and by incarnation."""

    def __init__(self, options: JobOptions) -> None:
        self._listing_timeout_s: Final = options.listing_timeout_s
        self._terms: Final = LeaseTerms(
            options.lease_ms / 1000,
            options.lease_step_ms / 1000,
            options.clock_drift,
            options.lease_margin_s,
            options.unconfirmed_s,
        )
        self._started_s: Final = steady_s()
        self.evacuations: Final = Evacuations(options)
        self.workers: Final[dict[WorkerId, WorkerRecord]] = {}
        self.leases: Final[dict[WorkerIncarnation, WorkerLease]] = {}
        self.home_agents: Final[dict[WorkerIncarnation, str]] = {}
        """The agent that each incarnation reported to."""
        self.are_home_agents_dirty = False
        self.held: Final[dict[WorkerIncarnation, dict[HeldTask, None]]] = {}
        """The tasks assigned to each incarnation, in the order of assignment."""
        self._freed: dict[WorkerId, WorkerRecord] = {}
        """Workers whose free capacity has grown since `take_freed`."""

    def record_of(self, incarnation: WorkerIncarnation) -> WorkerRecord | None:
        """Return the record of an incarnation; None if it is not the current one."""
        record = self.workers.get(incarnation.worker_id)
        if record is None or record.incarnation != incarnation:
            return None
        return record

    def held_by(self, incarnation: WorkerIncarnation) -> tuple[HeldTask, ...]:
        """Return the tasks assigned to an incarnation."""
        return tuple(self.held.get(incarnation, ()))

    def hold(self, incarnation: WorkerIncarnation, task: HeldTask) -> None:
        """Add a task to those assigned to an incarnation."""
        self.held.setdefault(incarnation, {})[task] = None

    def release(self, incarnation: WorkerIncarnation, task: HeldTask) -> None:
        """Take a task out of those assigned to an incarnation."""
        self.held.get(incarnation, {}).pop(task, None)

    def lease(self, incarnation: WorkerIncarnation) -> WorkerLease:
        """Return the lease of an incarnation, a new one if there is none."""
        lease = self.leases.get(incarnation)
        if lease is None:
            empty_s = max(
                self._terms.inherited_expiry_s(self._started_s),
                steady_s() + self._terms.lease_s,
            )
            lease = self.leases[incarnation] = WorkerLease(self._terms, empty_s)
        return lease

    def has_recent_listing(self, incarnation: WorkerIncarnation, now_s: float) -> bool:
        """Return whether the latest poll of a worker was answered, and recently."""
        lease = self.lease(incarnation)
        is_recent = now_s - lease.listed_s < self._listing_timeout_s
        return is_recent and not lease.unreachable_s

    def is_placeable(self, incarnation: WorkerIncarnation, now_s: float) -> bool:
        """Return whether tasks may be placed on a worker.

        A worker that did not take a start has most likely crashed: nothing is placed
        on it until its next listing.
        """
        lease = self.lease(incarnation)
        is_taking = lease.listed_s > lease.refused_s
        return is_taking and self.has_recent_listing(incarnation, now_s)

    def is_unreachable(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether a poll of a worker has failed since its latest listing."""
        lease = self.leases.get(incarnation)
        return lease is not None and lease.unreachable_s > 0

    def mark_unreachable(self, incarnation: WorkerIncarnation, now_s: float) -> bool:
        """Record that a poll failed; return whether the worker was reachable before.

        A poll of an earlier incarnation than the current one has no effect.
        """
        if self.record_of(incarnation) is None or self.is_unreachable(incarnation):
            return False
        self.lease(incarnation).unreachable_s = now_s
        return True

    def mark_reachable(self, incarnation: WorkerIncarnation) -> float:
        """Record a listing; return since when the worker was unreachable, or 0."""
        lease = self.lease(incarnation)
        unreachable_s, lease.unreachable_s = lease.unreachable_s, 0.0
        was_placeable = not unreachable_s and lease.listed_s > lease.refused_s
        record = self.record_of(incarnation)
        if not was_placeable and record is not None:
            self.mark_freed(record)
        return unreachable_s

    def placeable_workers(
        self, service: ServiceName, now_s: float
    ) -> list[WorkerRecord]:
        """Return the workers of a service on which tasks may be placed."""
        return self.placeable_among(self.workers.values(), service, now_s)

    def placeable_among(
        self, workers: Iterable[WorkerRecord], service: ServiceName, now_s: float
    ) -> list[WorkerRecord]:
        """Return those of the workers that belong to a service and list their tasks.

        Workers in evacuated places are left out; all are while the requests to
        evacuate places are not known.
        """
        return [
            worker
            for worker in workers
            if worker.service == service
            and self.is_placeable(worker.incarnation, now_s)
            and self.evacuations.may_start(worker.place, now_s)
        ]

    def add(self, record: WorkerRecord) -> None:
        """Add a new incarnation of a worker."""
        self.workers[record.incarnation.worker_id] = record
        self.mark_freed(record)

    def mark_freed(self, record: WorkerRecord) -> None:
        """Record that the free capacity of a worker has grown."""
        self._freed[record.incarnation.worker_id] = record

    def take_freed(self) -> list[WorkerRecord]:
        """Return the workers whose free capacity has grown since the last call."""
        freed, self._freed = self._freed, {}
        return list(freed.values())

    def forget(self, incarnation: WorkerIncarnation) -> None:
        """Drop an incarnation; its lease stays while tasks are assigned to it."""
        if self.record_of(incarnation) is not None:
            del self.workers[incarnation.worker_id]
        if not self.held.get(incarnation):
            self.held.pop(incarnation, None)
            self.leases.pop(incarnation, None)
            self.are_home_agents_dirty |= (
                self.home_agents.pop(incarnation, None) is not None
            )

    # The agents of the workers

    def set_home_agent(self, incarnation: WorkerIncarnation, node: str) -> None:
        """Record which agent an incarnation reported to."""
        self.home_agents[incarnation] = node
        self.are_home_agents_dirty = True

    def load_home_agents(
        self, home_agents: Mapping[str, list[tuple[str, int]]]
    ) -> None:
        """Load the agent of each worker incarnation after a takeover."""
        for node, incarnations in home_agents.items():
            for worker_id, started_ms in incarnations:
                incarnation = WorkerIncarnation(WorkerId(worker_id), started_ms)
                self.home_agents[incarnation] = node

    def home_agents_write(self) -> Write:
        """Return the write of the agents by incarnation, and mark them clean."""
        self.are_home_agents_dirty = False
        home_agents: dict[str, list[tuple[str, int]]] = {}
        for incarnation, node in self.home_agents.items():
            home_agents.setdefault(node, []).append(
                (incarnation.worker_id, incarnation.started_ms)
            )
        return Write(HOME_AGENTS_KEY, encode_record(HomeAgentsRecord(home_agents)))
