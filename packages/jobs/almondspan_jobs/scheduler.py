"""The owner's decisions about all jobs and workers, without input or output.

1. Events change the state: stored and cancelled jobs, workers' reports and listings,
   failed polls, answers to commands, and time. A changed job is `dirty`.
2. `plan` assigns waiting tasks, most urgent queue first (see `job_order`).
3. `snapshot` returns a group of records of dirty jobs; once it is stored, `on_stored`
   sends the commands that the stored assignments permit.
4. `tick` repeats commands without a visible effect, revokes attempts that their worker
   does not list, moves tasks off leaving workers, and releases the tasks of a silent
   worker once its lease has certainly expired.

`Scheduler` holds the parts and passes each event to those that it concerns.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, QueueRules
from almondspan_decisions.job_order import WaitingJob
from almondspan_decisions.job_progress import (
    JobProgress,
    JobState,
    TaskPhase,
    WorkerIncarnation,
)
from almondspan_decisions.tail_latency_model import InterferenceWeights
from almondspan_decisions.task_times import TaskTimes
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.assignments import Assignments
from almondspan_jobs.attempt_monitor import AttemptMonitor
from almondspan_jobs.best_effort_mover import BestEffortMover
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.command_dispatcher import CommandDispatcher
from almondspan_jobs.crash_monitor import CrashMonitor
from almondspan_jobs.early_cancellations import EarlyCancellations
from almondspan_jobs.evacuations import EvacuationRequests
from almondspan_jobs.evacuator import Evacuator
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.interference_monitor import InterferenceMonitor
from almondspan_jobs.job_ranking import JobRanking
from almondspan_jobs.job_table import Batch, JobTable
from almondspan_jobs.messages import (
    AttemptRevoked,
    InterferenceUpdate,
    StartReply,
    TaskTraitsUpdate,
    WorkerListing,
    WorkerReport,
    WorkerUnreachable,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.planner import Planner
from almondspan_jobs.preemptor import Preemptor
from almondspan_jobs.progress_records import Part, encode_end, encode_part, part_key
from almondspan_jobs.records import InterferenceRecord
from almondspan_jobs.run_time_monitor import RunTimeMonitor
from almondspan_jobs.worker_lifecycle import WorkerLifecycle
from almondspan_platform.group_store import Write
from almondspan_platform.store import Revision
from almondspan_wire.codec import Message

__all__ = ["Scheduler", "Snapshot"]

LEARNED_PAUSE_S: Final = 30.0
"""After a refused group, jobs are stored by themselves for this long."""


@dataclass(slots=True)
class Snapshot:
    """A group of records to store."""

    writes: tuple[Write, ...]
    taken: dict[JobId, list[Part]]
    """The parts of jobs that are among the records."""
    completed: list[JobId]
    """Jobs whose batch of changes the group completes."""
    n_learned: int = 0
    """How many records are not of jobs: what the owner has learned of the workers."""


class Scheduler:
    """The owner's state and the parts that decide on it."""

    def __init__(
        self,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
        post: Callable[[WorkerId, Message], bool],
        confirmed_s: Callable[[], float],
    ) -> None:
        self._options: Final = options
        self._log: Final = log
        self._learned_from_s = -math.inf
        """From when on what is learned of the workers is stored with the decisions."""
        self._table: Final = JobTable(log)
        self._early_cancellations: Final = EarlyCancellations(
            options.cancellation_retention_s
        )
        self._fleet: Final = Fleet(options)
        table, fleet = self._table, self._fleet
        self._assignments: Final = Assignments(table, fleet, log)
        assignments = self._assignments
        self._interference: Final = InterferenceMonitor(
            table, fleet, post, options, log
        )
        self.task_times: Final = TaskTimes()
        self._commands: Final = CommandDispatcher(
            table, fleet, assignments, self._interference, post, options, log, metrics
        )
        self._attempts: Final = AttemptMonitor(
            table,
            fleet,
            assignments,
            self._commands,
            RunTimeMonitor(table, self.task_times),
            post,
            confirmed_s,
            options,
            log,
            metrics,
        )
        self._lifecycle: Final = WorkerLifecycle(
            table,
            fleet,
            assignments,
            self._commands,
            self._interference,
            CrashMonitor(table, fleet, log, metrics),
            options,
            log,
        )
        preemptor = Preemptor(table, fleet, log)
        self._ranking: Final = JobRanking(table, fleet, self.task_times, metrics)
        table.on_ended = self._ranking.on_ended
        self._planner: Final = Planner(
            table,
            self._ranking,
            fleet,
            assignments,
            self._interference,
            preemptor,
            options,
            metrics,
        )
        self._mover: Final = BestEffortMover(table, fleet, self._interference, log)
        self.evacuator: Final = Evacuator(table, fleet, options, log, metrics)

    # State

    @property
    def rules(self) -> Mapping[QueueName, QueueRules]:
        """The rules of the configured queues."""
        return self._table.rules

    @rules.setter
    def rules(self, rules: Mapping[QueueName, QueueRules]) -> None:
        self._table.set_rules(rules)

    @property
    def jobs(self) -> Mapping[JobId, JobProgress]:
        """All jobs by id."""
        return self._table.jobs

    @property
    def workers(self) -> Mapping[WorkerId, WorkerRecord]:
        """All current workers by id."""
        return self._fleet.workers

    @property
    def stored_states(self) -> Mapping[JobId, JobState]:
        """Job states as last stored; callers are only told these."""
        return self._table.stored_states

    @property
    def interference_weights(self) -> InterferenceWeights:
        """The learned interference weights."""
        return self._interference.weights

    @property
    def needs_planning(self) -> bool:
        """Return whether an event may have made a placement possible."""
        return self._table.needs_planning

    @property
    def is_dirty(self) -> bool:
        """Return whether there are changes to store."""
        return self._table.is_dirty

    @property
    def reported_agents(self) -> set[str]:
        """The agents whose current workers have reported."""
        homes = self._fleet.home_agents
        workers = self._fleet.workers.values()
        return {homes.get(worker.incarnation, "") for worker in workers}

    def waiting_jobs(self) -> Iterable[tuple[QueueName, WaitingJob]]:
        """Return the jobs with waiting tasks, as last ranked, with their queues."""
        return self._ranking.waiting_jobs()

    def n_pending(self, queue: QueueName) -> int:
        """Return the number of pending jobs of a queue."""
        return self._table.n_pending(queue)

    # Loading after a takeover

    def load(self, job: JobProgress, parts: Iterable[Part] = ()) -> None:
        """Load a job with its stored progress, of which there are these parts."""
        self._table.load(job, parts)
        self._assignments.load(job)
        self._commands.load(job)

    def load_home_agents(
        self, home_agents: Mapping[str, list[tuple[str, int]]]
    ) -> None:
        """Load the agent of each worker incarnation."""
        self._fleet.load_home_agents(home_agents)

    def load_interference(self, record: InterferenceRecord) -> None:
        """Load the weights that an earlier owner stored."""
        self._interference.load(record)

    # Events

    def add_job(self, job_id: JobId, spec: JobSpec) -> None:
        """Add a stored job; a known one is left unchanged."""
        self._table.add(job_id, spec)
        if job_id in self._early_cancellations:
            # An entry of an earlier release stores a job also after its cancellation.
            self._early_cancellations.discard(job_id)
            self._table.cancel(job_id)

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job unless it has already reached a final state."""
        if self._table.is_kept(job_id):
            self._table.cancel(job_id)
        elif job_id not in self._early_cancellations:
            self._early_cancellations.add(job_id)
            self._log.line("job_cancelled_early", job=job_id)

    def on_report(self, node: str, report: WorkerReport) -> None:
        """Handle a worker's report about itself, forwarded by its agent."""
        self._lifecycle.on_report(node, report)

    def on_listing(
        self, incarnation: WorkerIncarnation, listing: WorkerListing
    ) -> None:
        """Handle a worker's listing, and renew its lease."""
        now_s = steady_s()
        self._lifecycle.on_listing(incarnation, now_s)
        self._attempts.on_listing(incarnation, listing, now_s)
        self._interference.observe(incarnation, listing, now_s)

    def on_unreachable(
        self, incarnation: WorkerIncarnation, report: WorkerUnreachable
    ) -> None:
        """Handle the first failed poll of a worker since its latest listing."""
        self._lifecycle.on_unreachable(incarnation, report)

    def on_start_reply(self, worker_id: WorkerId, reply: StartReply) -> None:
        """Handle the answer to a start command."""
        self._commands.on_start_reply(worker_id, reply)

    def on_attempt_revoked(self, worker_id: WorkerId, reply: AttemptRevoked) -> None:
        """Release an attempt that its worker has revoked."""
        self._commands.on_attempt_revoked(worker_id, reply)

    def traits_update_for(self, worker_id: WorkerId) -> TaskTraitsUpdate:
        """Return the traits of the tasks assigned to a worker."""
        return self._commands.traits_update_for(worker_id)

    def interference_update_for(self, worker_id: WorkerId) -> InterferenceUpdate:
        """Return the weights that apply to a worker's serving tasks."""
        return self._interference.update_for(worker_id)

    def set_evacuations(self, requests: EvacuationRequests) -> None:
        """Apply the requests to evacuate places, as read from the store."""
        self.evacuator.set_requests(requests)

    @property
    def told_evacuations(self) -> list[str]:
        """The evacuated places that agents are told."""
        return self._fleet.evacuations.told_places

    # Decisions

    def plan(self) -> None:
        """Assign waiting tasks to workers with enough free capacity.

        Nothing is placed while the requests to evacuate places are not known.
        """
        if self._fleet.evacuations.are_known(steady_s()):
            self._planner.plan()

    def tick(self) -> None:
        """Perform the actions that are due."""
        now_s = steady_s()
        self._lifecycle.tick(now_s)
        self._attempts.tick(now_s)
        self._table.add_due_occurrences()
        self._interference.tick(now_s)
        self._mover.tick(now_s)
        self.evacuator.tick(now_s)
        self._ranking.tick(now_s)
        self._commands.tick(now_s)
        if self._table.placeable:
            self._table.needs_planning = True

    def close(self) -> None:
        """Report nothing of the jobs any more."""
        self._ranking.close()

    # Storing

    def snapshot(self) -> Snapshot:
        """Return a group of records of dirty jobs, which are then no longer dirty."""
        result = Snapshot((), {}, [])
        writes: list[Write] = []
        if steady_s() >= self._learned_from_s:
            if self._fleet.are_home_agents_dirty:
                writes.append(self._fleet.home_agents_write())
            if self._interference.is_write_due:
                writes.append(self._interference.write())
        result.n_learned = len(writes)
        for job, batch in self._table.next_batches(self._options.max_jobs_per_commit):
            self._take_parts(job, batch, writes, result)
        result.writes = tuple(writes)
        return result

    def _take_parts(
        self, job: JobProgress, batch: Batch, writes: list[Write], result: Snapshot
    ) -> None:
        """Add the parts of a batch to a group as far as there is room."""
        taken: list[Part] = []
        while batch.parts:
            write = self._part_write(job, batch.parts[0])
            if not self._has_room(writes, write, is_first=not (taken or result.taken)):
                break
            writes.append(write)
            taken.append(batch.parts.pop(0))
        if taken:
            result.taken[job.job_id] = taken
            self._table.on_taken(job)
            if not batch.parts:
                result.completed.append(job.job_id)

    def _part_write(self, job: JobProgress, part: Part) -> Write:
        is_storable = self._table.is_storable(job)
        record = encode_part(job, part) if is_storable else encode_end(job)
        return Write(part_key(job.job_id, part), record)

    def _has_room(self, writes: list[Write], write: Write, *, is_first: bool) -> bool:
        """Return whether a group can take another write; a long one goes alone."""
        n_bytes = sum(len(other.value) for other in writes) + len(write.value)
        fits = is_first or n_bytes <= self._options.max_bytes_per_commit
        return fits and len(writes) < self._options.max_writes_per_commit

    def on_stored(self, stored: Snapshot) -> None:
        """Send the commands that a stored group permits."""
        now_s = steady_s()
        for job_id, batch in tuple(self._table.on_stored(stored.completed)):
            job = self._table[job_id]
            for key, attempt in batch.assigned:
                task = job.task(key)
                if task is None or task.phase is not TaskPhase.PLACED:
                    continue
                if task.n_attempts == attempt:
                    task.is_stored = True
                    self._commands.send_due(job, key, task, now_s)
        self._attempts.acknowledge_stored()

    def on_refused(self, refused: Snapshot) -> None:
        """Handle a group that the store does not take.

        No job is to blame as long as other records may be: those are left out for a
        while.
        """
        if refused.n_learned:
            self._learned_from_s = steady_s() + LEARNED_PAUSE_S
            self._log.line("learned_unstorable", n_jobs=len(refused.taken))
        self._table.on_refused(refused.taken, is_blamed=not refused.n_learned)

    # Removing finished jobs

    def removable_jobs(self) -> list[JobId]:
        """Return some jobs whose records are to be removed from the store.

        They are finished, or were cancelled before they were stored.
        """
        n_most = self._options.max_jobs_per_commit // 2
        finished = self._table.removable(self._options.finished_retention_s, n_most)
        n_left = n_most - len(finished)
        return finished + self._early_cancellations.removable(n_left)

    def extra_keys(self, job_id: JobId) -> list[str]:
        """Return the keys of a job's progress besides the head."""
        return self._table.extra_keys(job_id)

    def on_removed(self, job_ids: Sequence[JobId], revision: Revision) -> None:
        """Record that the records of jobs are removed from the store."""
        known = [job_id for job_id in job_ids if job_id in self._table.jobs]
        self._table.on_removed(known, revision)
        self._early_cancellations.on_removed(job_ids, revision)

    def forget_removed(self, reported: Revision) -> None:
        """Drop removed jobs; the store has reported its changes up to a revision."""
        self._table.forget_removed(reported)
        self._early_cancellations.forget_removed(reported)
