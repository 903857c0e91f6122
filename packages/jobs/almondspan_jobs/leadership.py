"""Leader election among entries: membership, takeover and step-down.

Every entry watches the members' keys: the owner's key, which is bound to the owner's
lease, and one key for each agent. An entry that sees no owner's key takes over with one
conditional group of writes: the owner's key must be absent and the head unchanged, and
the group writes the head with the next epoch. An entry that is too small for the fleet
lets the others take over first. The owner renews its lease; if its key is
lost while the head is still its own, it writes the key again. It steps down when
another entry has changed the head. It then reads the members again, since the watch may
have told of a later owner, or of none, before the step-down. An unreadable owner's key
counts as lost: if no owner has rewritten it within a lease, an entry takes over by
replacing it.

The states are following, taking, owning and closed.
"""

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Final

from transitions import Machine

from almondspan_decisions.job_graph import QueueName, QueueRules
from almondspan_decisions.owner_capacity import InstanceCapacity, can_own
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.committer import CommitResult, HeadCommitter
from almondspan_jobs.evacuations import EvacuationRequests
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.owner import Owner
from almondspan_jobs.records import (
    AGENT_PREFIX,
    HEAD_KEY,
    MEMBERS_PREFIX,
    OWNER_KEY,
    AgentRecord,
    HeadRecord,
    OwnerRecord,
    Unreadable,
    decode_record,
    encode_record,
)
from almondspan_jobs.supervision import keep_running
from almondspan_platform.group_store import GroupStore, Write, WriteGroup
from almondspan_platform.store import (
    ABSENT_REVISION,
    Found,
    KeyValue,
    LeaseGranted,
    LeaseId,
    LeaseLapsed,
    RangeFound,
    Revision,
    Swapped,
    WatchEvent,
    WatchLost,
)

__all__ = ["Leadership"]

STATES: Final = ["following", "taking", "owning", "closed"]


class Leadership:
    """One entry's participation in the ownership of the jobs."""

    state: str

    def __init__(
        self,
        node: str,
        host: str,
        port: int,
        network: Network,
        store: GroupStore,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        on_owner: Callable[[OwnerRecord | None], None],
        capacity: InstanceCapacity | None = None,
    ) -> None:
        self._node: Final = node
        self._host: Final = host
        self._port: Final = port
        self._network: Final = network
        self._store: Final = store
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._rng: Final = rng
        self._on_owner: Final = on_owner
        self._capacity: Final = capacity
        """What this process may use; None if that is not limited."""
        self._machine = Machine(model=self, states=STATES, initial="following")
        self._machine.add_transition("begin", "following", "taking")
        self._machine.add_transition("give_up", "taking", "following")
        self._machine.add_transition("win", "taking", "owning")
        self._machine.add_transition("step_down", "owning", "following")
        self._machine.add_transition("end", "*", "closed")
        self._agents: dict[str, AgentRecord] = {}
        self._rules: Mapping[QueueName, QueueRules] = {}
        self.evacuations = EvacuationRequests()
        """The requests to evacuate places, as this entry last read them."""
        self.owner_record: OwnerRecord | None = None
        self.owner: Owner | None = None
        self._lease: LeaseId | None = None
        self._is_vacant: Final = asyncio.Event()
        self._vacant_at: Revision = ABSENT_REVISION
        """The revision of the owner's key that a takeover replaces."""
        self._watch_task: asyncio.Task[None] | None = None
        self._ownership_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to watch the members and to take over when there is no owner."""
        self._watch_task = self._spawn("members", self._watch_members)
        self._ownership_task = self._spawn("election", self._ownership_loop)

    def _spawn(
        self, name: str, body: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[None]:
        return asyncio.create_task(
            keep_running(name, body, self._options.retry_s, self._log)
        )

    def _restart_watch(self) -> None:
        """Read the members and watch them from then on."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._watch_task = self._spawn("members", self._watch_members)

    async def close(self) -> None:
        """Resign from the ownership and stop watching."""
        self.trigger_event("end")
        running = (self._watch_task, self._ownership_task)
        tasks = [task for task in running if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.owner is not None:
            await self.owner.close()
            await self._resign()
            self.owner = None

    def trigger_event(self, name: str) -> None:
        """Change the state and log it."""
        before = self.state
        trigger: Any = getattr(self, name)
        trigger()
        self._log.line("leadership", before=before, now=self.state)

    @property
    def agents(self) -> list[AgentRecord]:
        """The registered agents, as last read from the store."""
        return list(self._agents.values())

    def set_rules(self, rules: Mapping[QueueName, QueueRules]) -> None:
        """Set the queues' rules of a new configuration."""
        self._rules = rules
        if self.owner is not None:
            self.owner.scheduler.rules = rules
            self.owner.wake()

    def set_evacuations(self, requests: EvacuationRequests) -> None:
        """Set the requests to evacuate places, after each call that read them."""
        self.evacuations = requests
        if self.owner is not None:
            self.owner.set_evacuations(requests)

    # Members

    async def _watch_members(self) -> None:
        after: Revision | None = None
        while True:
            if after is None:
                after = await self._read_members()
                continue
            event = await self._store.changes(
                MEMBERS_PREFIX, after, self._options.watch_wait_s
            )
            if isinstance(event, WatchEvent):
                after = event.revision
                await self._apply_changes(event.changed, event.deleted)
            elif isinstance(event, WatchLost):
                self._log.line("watch_lost", prefix=MEMBERS_PREFIX, why=event.reason)
                after = None
            else:
                self._log.line("watch_unanswered", reason=event.reason)
                await asyncio.sleep(self._options.retry_s)
                after = None

    async def _read_members(self) -> Revision | None:
        found = await self._store.get_range(MEMBERS_PREFIX)
        if not isinstance(found, RangeFound):
            self._log.line("members_unanswered", reason=found.reason)
            await asyncio.sleep(self._options.retry_s)
            return None
        keys = {item.key for item in found.items}
        known = {AGENT_PREFIX + node for node in self._agents}
        missing = known - keys
        if OWNER_KEY not in keys:
            missing.add(OWNER_KEY)
        await self._apply_changes(found.items, tuple(missing))
        return found.revision

    async def _apply_changes(
        self, changed: tuple[KeyValue, ...], deleted: tuple[str, ...]
    ) -> None:
        for item in changed:
            self._apply_item(item)
        for key in deleted:
            if key == OWNER_KEY:
                self._set_vacant(ABSENT_REVISION)
            else:
                self._agents.pop(key.removeprefix(AGENT_PREFIX), None)
        if self.owner is not None:
            await self.owner.set_agents(self._agents)

    def _apply_item(self, item: KeyValue) -> None:
        if item.key == OWNER_KEY:
            record = decode_record(OwnerRecord, item.value)
            if not isinstance(record, Unreadable):
                self._set_owner(record)
                return
            self._set_vacant(item.revision)
        elif item.key.startswith(AGENT_PREFIX):
            agent = decode_record(AgentRecord, item.value)
            if not isinstance(agent, Unreadable):
                self._agents[item.key.removeprefix(AGENT_PREFIX)] = agent
                return
        self._log.line("record_unreadable", key=item.key, revision=item.revision)

    def _set_vacant(self, revision: Revision) -> None:
        """Handle an owner's key that is absent, or unreadable at a revision."""
        self._vacant_at = revision
        self._set_owner(None)

    def _set_owner(self, record: OwnerRecord | None) -> None:
        if record == self.owner_record:
            if record is None:
                self._is_vacant.set()
            return
        self.owner_record = record
        self._log.line("owner_known", owner=str(record))
        if record is None:
            self._is_vacant.set()
        else:
            self._is_vacant.clear()
        self._on_owner(record)

    # Taking over

    async def _ownership_loop(self) -> None:
        # An error leaves the state in which it was raised.
        if self.state == "taking":
            self.trigger_event("give_up")
        elif self.state == "owning":
            self.trigger_event("step_down")
        while True:
            await self._is_vacant.wait()
            await asyncio.sleep(self._takeover_delay_s())
            if not self._is_vacant.is_set():
                continue
            self.trigger_event("begin")
            committer = await self._take_over()
            if committer is None:
                self.trigger_event("give_up")
                await asyncio.sleep(self._options.retry_s)
                continue
            self.trigger_event("win")
            await self._run_owner(committer)
            self.trigger_event("step_down")

    def _takeover_delay_s(self) -> float:
        """Return how long to wait for another entry to take over first."""
        delay_s = self._rng.uniform(0, self._options.takeover_jitter_s)
        if self._vacant_at != ABSENT_REVISION:
            # The owner, if there is one, writes its key again first.
            delay_s += self._options.owner_ttl_s
        if self._capacity is not None and not can_own(
            self._capacity, len(self._agents)
        ):
            delay_s += self._options.small_takeover_delay_s
        return delay_s

    async def _take_over(self) -> HeadCommitter | None:
        lease = await self._store.grant_lease(self._options.owner_ttl_s)
        found = await self._store.get(HEAD_KEY)
        if not isinstance(lease, LeaseGranted) or not isinstance(found, Found):
            self._log.line("takeover_failed", lease=str(lease), head=str(found)[:200])
            return None
        epoch, revision = _epoch_of(found)
        if epoch is None:
            self._log.line("record_unreadable", key=HEAD_KEY, revision=revision)
            return None
        head = HeadRecord(epoch + 1, self._node, secrets.token_hex(8))
        record = self._make_record(head.epoch)
        group = WriteGroup(
            ((OWNER_KEY, self._vacant_at), (HEAD_KEY, revision)),
            (
                Write(OWNER_KEY, encode_record(record), lease.lease_id),
                Write(HEAD_KEY, encode_record(head)),
            ),
        )
        sent_s = steady_s()
        outcome = await self._store.commit(group)
        if not isinstance(outcome, Swapped):
            # If this write takes effect later, its key expires with the lease, which
            # is not renewed.
            self._log.line("takeover_refused", outcome=str(outcome)[:200])
            return None
        self._lease = lease.lease_id
        self._set_owner(record)
        self._log.line("takeover", epoch=head.epoch, revision=outcome.revision)
        return HeadCommitter(
            self._store,
            head,
            outcome.revision,
            sent_s,
            self._options,
            self._log,
            self._metrics,
        )

    def _make_record(self, epoch: int) -> OwnerRecord:
        return OwnerRecord(
            epoch, self._node, self._host, self._port, answers_admission=True
        )

    async def _run_owner(self, committer: HeadCommitter) -> None:
        owner = Owner(
            self._make_record(committer.epoch),
            self._network,
            self._store,
            committer,
            self._options,
            self._log,
            self._metrics,
            self._rng,
        )
        self.owner = owner
        try:
            owner.set_evacuations(self.evacuations)
            await owner.start(self._rules)
            await owner.set_agents(self._agents)
            await self._renew_until_end(owner, committer)
        finally:
            if self.state != "closed":
                await owner.close()
                self.owner = None
                if owner.successor is not None:
                    self._set_owner(owner.successor)
                self._restart_watch()

    async def _renew_until_end(self, owner: Owner, committer: HeadCommitter) -> None:
        while not owner.ended.is_set():
            try:
                async with asyncio.timeout(self._options.owner_renewal_interval_s):
                    await owner.ended.wait()
            except TimeoutError:
                await self._renew_lease(committer)

    async def _renew_lease(self, committer: HeadCommitter) -> None:
        assert self._lease is not None
        kept = await self._store.keep_lease(self._lease)
        is_own = self.owner_record == self._make_record(committer.epoch)
        if isinstance(kept, LeaseLapsed) or not is_own:
            self._log.line("owner_key_lost", epoch=committer.epoch, lease=str(kept))
            await self._restore_key(committer)
        elif not isinstance(kept, LeaseGranted):
            self._log.line("keep_unanswered", reason=str(kept))

    async def _restore_key(self, committer: HeadCommitter) -> None:
        lease = await self._store.grant_lease(self._options.owner_ttl_s)
        if not isinstance(lease, LeaseGranted):
            self._log.line("lease_refused", reason=str(lease))
            return
        record = self._make_record(committer.epoch)
        write = Write(OWNER_KEY, encode_record(record), lease.lease_id)
        if await committer.commit((write,)) is CommitResult.STORED:
            self._lease = lease.lease_id
            self._set_owner(record)

    async def _resign(self) -> None:
        """Delete the owner's key so that another entry takes over immediately."""
        record = self.owner_record
        if record is None or record.node != self._node:
            return
        found = await self._store.get(OWNER_KEY)
        if not isinstance(found, Found) or found.item is None:
            self._log.line("resign_skipped", found=str(found)[:200])
            return
        if decode_record(OwnerRecord, found.item.value) != record:
            return
        group = WriteGroup(((OWNER_KEY, found.item.revision),), removals=(OWNER_KEY,))
        outcome = await self._store.commit(group)
        self._log.line("resigned", epoch=record.epoch, outcome=type(outcome).__name__)


def _epoch_of(found: Found) -> tuple[int | None, Revision]:
    """Return the stored epoch, None if unreadable, and the head's revision."""
    if found.item is None:
        return 0, ABSENT_REVISION
    head = decode_record(HeadRecord, found.item.value)
    if isinstance(head, Unreadable):
        return None, found.item.revision
    return head.epoch, found.item.revision
