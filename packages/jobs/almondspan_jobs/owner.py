"""The owner of all jobs for one epoch.

1. Load: read every job with its progress. The takeover has already made earlier
   owners unable to write.
2. Serve: keep a channel to each agent; plan and store decisions in groups; watch the
   store for jobs and cancellations; repeat commands without effect.
3. End: when another owner has written the head, or the process drains. No state in
   memory outlives the owner.
"""

import asyncio
import random
from collections.abc import Coroutine, Mapping, Sequence
from typing import Any, Final

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import QueueName, QueueRules
from almondspan_jobs.admission_desk import AdmissionDesk
from almondspan_jobs.agent_link import AgentLink
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.committer import CommitResult, HeadCommitter
from almondspan_jobs.evacuations import EvacuationRequests
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    AdmissionRequest,
    JobCancelled,
    JobStored,
    PendingCountReply,
    PendingCountRequest,
    StateReply,
    StateRequest,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.progress_records import (
    HEAD,
    Part,
    decode_progress,
    keys_of_job,
    parse_part_key,
)
from almondspan_jobs.records import (
    HOME_AGENTS_KEY,
    INTERFERENCE_KEY,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    AgentRecord,
    HomeAgentsRecord,
    InterferenceRecord,
    OwnerRecord,
    Unreadable,
    decode_record,
    decode_spec,
)
from almondspan_jobs.scheduler import Scheduler
from almondspan_platform.group_store import GroupStore
from almondspan_platform.store import (
    KeyValue,
    RangeFound,
    Revision,
    WatchEvent,
    WatchLost,
)
from almondspan_wire.codec import Message

__all__ = ["Owner"]

REMOVAL_INTERVAL_S: Final = 10.0
"""Time between two removals of finished jobs."""


class Owner:
    """The owner of one epoch, from its takeover to its end."""

    def __init__(
        self,
        record: OwnerRecord,
        network: Network,
        store: GroupStore,
        committer: HeadCommitter,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._record: Final = record
        self.successor: OwnerRecord | None = None
        """The later owner, if an agent reported one."""
        self._network: Final = network
        self._store: Final = store
        self._committer: Final = committer
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._rng: Final = rng
        self._links_by_worker: Final[dict[WorkerId, AgentLink]] = {}
        self._links: Final[dict[str, AgentLink]] = {}
        self.scheduler: Final = Scheduler(
            options, log, metrics, self._post, lambda: committer.confirmed_s
        )
        self._tasks: Final[list[asyncio.Task[None]]] = []
        self._plan_wake: Final = asyncio.Event()
        self._store_wake: Final = asyncio.Event()
        self._loaded_at: Revision | None = None
        self._reported: Revision | None = None
        """The revision up to which the watch has reported all changes of jobs."""
        self._agents: Mapping[str, AgentRecord] = {}
        self._admission: Final = AdmissionDesk(
            self.scheduler, lambda: self._agents, committer.epoch, options, log
        )
        self.ended: Final = asyncio.Event()

    @property
    def epoch(self) -> int:
        """The owner's epoch."""
        return self._committer.epoch

    @property
    def is_serving(self) -> bool:
        """Return whether the state is loaded and the ownership recently confirmed."""
        age_s = steady_s() - self._committer.confirmed_s
        is_recent = age_s < 2 * self._options.confirm_interval_s
        return self._loaded_at is not None and is_recent and not self.ended.is_set()

    async def start(self, rules: Mapping[QueueName, QueueRules]) -> None:
        """Start to load and serve."""
        self.scheduler.rules = rules
        self._spawn(self._run())

    def _spawn(self, body: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(body)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.line("owner_task_failed", error=repr(task.exception()))
            self.ended.set()

    async def close(self) -> None:
        """Cancel every task and close every channel."""
        self.ended.set()
        self.scheduler.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in tuple(self._links.values()):
            await link.close()
        self.scheduler.evacuator.close()

    def set_evacuations(self, requests: EvacuationRequests) -> None:
        """Apply the requests to evacuate places, and tell the agents of changes."""
        before = self.scheduler.told_evacuations
        self.scheduler.set_evacuations(requests)
        if self.scheduler.told_evacuations != before:
            for link in self._links.values():
                link.tell_evacuations()
        if self.scheduler.needs_planning:
            self.wake()

    async def set_agents(self, agents: Mapping[str, AgentRecord]) -> None:
        """Connect to the registered agents, from the end of the load to `ended`.

        Before that, every task in a listing would be treated as unknown and stopped.
        After `ended` the links are closed, and none may be added or taken out.
        """
        self._agents = agents
        if self._loaded_at is None:
            return
        for node, link in tuple(self._links.items()):
            if agents.get(node) != link.address and not self.ended.is_set():
                del self._links[node]
                await link.close()
        for node, address in agents.items():
            if node not in self._links and not self.ended.is_set():
                await self._link_agent(node, address)

    async def _link_agent(self, node: str, address: AgentRecord) -> None:
        link = AgentLink(
            node,
            address,
            self._record,
            self._on_replaced,
            self._direct_agents,
            self._network,
            self.scheduler,
            self._links_by_worker,
            self.wake,
            self._options,
            self._log,
            self._rng,
        )
        self._links[node] = link
        await link.start()

    def _direct_agents(self) -> Sequence[AgentRecord]:
        """Return the agents with a direct channel, which can serve as relays."""
        return [link.address for link in self._links.values() if link.is_direct]

    def _on_replaced(self, successor: OwnerRecord) -> None:
        self.successor = successor
        self._committer.lose(
            f"an agent is connected to the later owner {successor.node}"
        )
        self.ended.set()

    def _post(self, worker_id: WorkerId, body: Message) -> bool:
        link = self._links_by_worker.get(worker_id)
        return link is not None and link.post(body)

    def wake(self) -> None:
        """Schedule planning and storing."""
        self._plan_wake.set()
        self._store_wake.set()

    # Loading

    async def _run(self) -> None:
        loaded_at = await self._load()
        self._loaded_at = self._reported = loaded_at
        await self.set_agents(self._agents)
        self._spawn(self._watch_jobs(loaded_at))
        self._spawn(self._tick())
        self._spawn(self._confirm())
        self._spawn(self._remove_finished())
        self._spawn(self._plan())
        await self._store_changes()

    async def _read_range(self, prefix: str) -> RangeFound:
        while True:
            found = await self._store.get_range(prefix)
            if isinstance(found, RangeFound):
                return found
            self._log.line("load_unanswered", prefix=prefix, reason=found.reason)
            await asyncio.sleep(self._options.retry_s)

    async def _load(self) -> Revision:
        began_s = steady_s()
        jobs = await self._read_range(JOBS_PREFIX)
        runs = await self._read_range(PROGRESS_PREFIX)
        await self._load_learned_state()
        progress = _parts_by_job(runs.items)
        for item in jobs.items:
            self._load_job(item, progress)
        self._handle_items(jobs.items)
        self._log.line(
            "owner_loaded",
            epoch=self.epoch,
            n_jobs=len(self.scheduler.jobs),
            revision=jobs.revision,
            took_ms=int((steady_s() - began_s) * 1000),
        )
        return jobs.revision

    async def _load_learned_state(self) -> None:
        """Load the agents of the workers and the interference weights."""
        for item in (await self._read_range(HOME_AGENTS_KEY)).items:
            homes = decode_record(HomeAgentsRecord, item.value)
            if isinstance(homes, Unreadable):
                self._log.line("record_unreadable", key=item.key, reason=homes.reason)
            else:
                self.scheduler.load_home_agents(homes.homes)
        for item in (await self._read_range(INTERFERENCE_KEY)).items:
            interference = decode_record(InterferenceRecord, item.value)
            if isinstance(interference, Unreadable):
                self._log.line(
                    "record_unreadable", key=item.key, reason=interference.reason
                )
            else:
                self.scheduler.load_interference(interference)

    def _load_job(
        self, item: KeyValue, progress: Mapping[JobId, Mapping[Part, bytes]]
    ) -> None:
        name, _, kind = item.key.removeprefix(JOBS_PREFIX).partition("/")
        parts = dict(progress.get(JobId(name), {}))
        head = parts.pop(HEAD, None)
        if kind != "job" or head is None:
            return
        spec = decode_spec(item.value)
        if isinstance(spec, Unreadable):
            self._log.line("record_unreadable", key=item.key, reason=spec.reason)
            return
        job = decode_progress(JobId(name), spec, head, parts)
        if isinstance(job, Unreadable):
            self._log.line("progress_unreadable", job=name, reason=job.reason)
            return
        self.scheduler.load(job, parts)

    # Jobs

    def _handle_items(self, items: tuple[KeyValue, ...]) -> None:
        """Add stored jobs first, then apply cancellations."""
        cancelled = []
        for item in items:
            name, _, kind = item.key.removeprefix(JOBS_PREFIX).partition("/")
            if kind == "job":
                self.add_stored_job(JobId(name), item.value)
            elif kind == "cancel":
                cancelled.append(JobId(name))
        for job_id in cancelled:
            self.scheduler.cancel_job(job_id)
        self.wake()

    def add_stored_job(self, job_id: JobId, record: bytes) -> None:
        """Add a stored job, unless it is known."""
        if job_id in self.scheduler.jobs:
            return
        spec = decode_spec(record)
        if isinstance(spec, Unreadable):
            self._log.line("record_unreadable", key=job_id, reason=spec.reason)
            return
        self.scheduler.add_job(job_id, spec)

    async def _watch_jobs(self, after: Revision) -> None:
        while True:
            event = await self._store.changes(
                JOBS_PREFIX, after, self._options.watch_wait_s
            )
            if isinstance(event, WatchEvent):
                self._handle_items(event.changed)
                after = event.revision
                self._on_reported(after)
            elif isinstance(event, WatchLost):
                self._log.line("watch_lost", prefix=JOBS_PREFIX, reason=event.reason)
                found = await self._read_range(JOBS_PREFIX)
                self._handle_items(found.items)
                after = found.revision
                self._on_reported(after)
            else:
                self._log.line("watch_unanswered", reason=event.reason)
                await asyncio.sleep(self._options.retry_s)

    def _on_reported(self, revision: Revision) -> None:
        """Note that the watch has reported all changes up to a revision."""
        self._reported = revision
        self.scheduler.forget_removed(revision)

    def answer(self, body: Message) -> Message | None:
        """Handle an entry's message; None if it needs no answer."""
        if isinstance(body, StateRequest):
            state = (
                self.scheduler.stored_states.get(body.job_id)
                if self.is_serving
                else None
            )
            return StateReply(body.number, state.value if state is not None else "")
        if isinstance(body, PendingCountRequest):
            n_jobs = self.scheduler.n_pending(body.queue) if self.is_serving else -1
            return PendingCountReply(body.number, n_jobs)
        if isinstance(body, AdmissionRequest):
            return self._admission.answer(body) if self.is_serving else None
        if isinstance(body, JobStored):
            self._on_job_stored(body)
        elif isinstance(body, JobCancelled) and self._loaded_at is not None:
            self.scheduler.cancel_job(body.job_id)
        self.wake()
        return None

    def _on_job_stored(self, body: JobStored) -> None:
        """Add a job ahead of the watch, unless the watch has already passed it.

        Such a job is known, or has been removed since.
        """
        if self._reported is None or 0 < body.revision <= self._reported:
            return
        self.add_stored_job(body.job_id, body.record)

    # Planning and storing

    async def _plan(self) -> None:
        """Plan waiting tasks, also while a group is being stored.

        The pause before each round is at least as long as the last round took, so that
        planning leaves half of the processor to everything else.
        """
        took_s = 0.0
        while True:
            await self._plan_wake.wait()
            await asyncio.sleep(max(self._options.plan_delay_s, took_s))
            self._plan_wake.clear()
            if not self.scheduler.needs_planning:
                continue
            began_s = steady_s()
            self.scheduler.plan()
            took_s = steady_s() - began_s
            self._metrics.observe_s("plan", took_s)
            self._store_wake.set()

    async def _store_changes(self) -> None:
        """Store the changed jobs, group by group."""
        while True:
            await self._store_wake.wait()
            await asyncio.sleep(self._options.plan_delay_s)
            self._store_wake.clear()
            while self.scheduler.is_dirty:
                snapshot = self.scheduler.snapshot()
                result = await self._committer.commit(snapshot.writes)
                if result is CommitResult.LOST:
                    self.ended.set()
                    return
                if result is CommitResult.STORED:
                    self.scheduler.on_stored(snapshot)
                else:
                    self.scheduler.on_refused(snapshot)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self._options.tick_s)
            self.scheduler.tick()
            self.wake()

    async def _remove_finished(self) -> None:
        """Remove the records of finished jobs; the watch then lets the jobs be dropped.

        A read of all jobs that began before the removal may still return them.
        """
        while True:
            await asyncio.sleep(REMOVAL_INTERVAL_S)
            job_ids = self.scheduler.removable_jobs()
            keys = [key for job_id in job_ids for key in keys_of_job(job_id)]
            if not job_ids or not await self._remove_extra(job_ids):
                continue
            if not await self._remove(keys):
                continue
            revision = self._committer.revision
            self.scheduler.on_removed(job_ids, revision)
            if self._reported is not None:
                self.scheduler.forget_removed(self._reported)
            self._log.line("jobs_removed", revision=revision, jobs=job_ids)

    async def _remove_extra(self, job_ids: Sequence[JobId]) -> bool:
        """Remove parts of finished jobs' progress, before the heads that tell the end.

        Returns whether all are removed.
        """
        keys = [key for name in job_ids for key in self.scheduler.extra_keys(name)]
        n_keys = self._options.max_writes_per_commit
        for first in range(0, len(keys), n_keys):
            if not await self._remove(keys[first : first + n_keys]):
                return False
        return True

    async def _remove(self, keys: Sequence[str]) -> bool:
        """Remove keys from the store; return whether they are removed."""
        result = await self._committer.commit((), tuple(keys))
        if result is CommitResult.LOST:
            self.ended.set()
        return result is CommitResult.STORED

    async def _confirm(self) -> None:
        """Confirm the ownership by a read when no write has done so."""
        while True:
            await asyncio.sleep(self._options.confirm_interval_s / 4)
            age_s = steady_s() - self._committer.confirmed_s
            if age_s >= self._options.confirm_interval_s:
                await self._committer.confirm()
            if self._committer.is_lost:
                self.ended.set()
                return


def _parts_by_job(items: Sequence[KeyValue]) -> dict[JobId, dict[Part, bytes]]:
    """Return the stored parts of each job's progress."""
    progress: dict[JobId, dict[Part, bytes]] = {}
    for item in items:
        parsed = parse_part_key(item.key)
        if parsed is not None:
            job_id, part = parsed
            progress.setdefault(job_id, {})[part] = item.value
    return progress
