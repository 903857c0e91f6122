"""The agent: the process beside a worker, a runner, or both.

It holds an `AttemptKeeper` for its worker, a `RunnerGate` for each runner, a
`ShardHost` for the shards that it owns, and channels to all entries of its region.

Phases: `start` opens the platform's clients, rebuilds the keeper's books, finds
the entries and dials them; `drain` refuses new work, waits for what is in flight
and hands the shards over; `close` ends everything.
"""

import asyncio
import logging
import random
import time

from aiohttp import web

from almondspan_admin.burn_collect import answer_burn
from almondspan_admin.burn_messages import BurnAsk
from almondspan_admin.config_learner import ConfigAsk
from almondspan_admin.holder import ConfigHolder
from almondspan_daemon.burn_evidence import GateEvidence
from almondspan_daemon.candidate_finder import CandidateFinder
from almondspan_daemon.colocation import Colocator
from almondspan_daemon.colocation_views import GateView
from almondspan_daemon.entry_links import EntryAddressPair, EntryLinks
from almondspan_daemon.entry_registration import decode_address, entries_prefix
from almondspan_daemon.gate_set import GateSet
from almondspan_daemon.health import add_health_routes
from almondspan_daemon.metrics import Metrics
from almondspan_daemon.platform_clients import make_store, make_worker
from almondspan_daemon.post_office import AgentPost
from almondspan_daemon.settings import AgentSettings, RunnerSection
from almondspan_daemon.settings_model import split_address
from almondspan_daemon.supervisor import Supervisor
from almondspan_daemon.tls import ProcessTls
from almondspan_daemon.web_server import WebServer
from almondspan_decisions.ids import (
    AgentId,
    EntryId,
    PlaceName,
    RegionName,
    ServiceName,
    ShardId,
    WorkerId,
)
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_platform.store import Unavailable
from almondspan_platform.worker import Worker, WorkerInfo
from almondspan_service.gate import GateOptions, RunnerGate
from almondspan_tasks.host import ShardHost
from almondspan_tasks.keeper import AttemptKeeper
from almondspan_tasks.options import KeeperOptions, OwnerOptions
from almondspan_wire.channel import ChannelOptions
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    CandidatesFound,
    ConfigPush,
    DrainRequest,
    NominateOwner,
    Post,
    ReleaseShard,
)

__all__ = ["AgentRole"]

WORKER_RETRY_S = 1.0
ENTRIES_RETRY_S = 5.0
RENEWALS_PER_HORIZON = 6
MAX_RENEW_S = 5.0

_log = logging.getLogger(__name__)


class AgentRole:
    """One agent process."""

    def __init__(
        self,
        settings: AgentSettings,
        process_id: str,
        supervisor: Supervisor,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._supervisor = supervisor
        self._rng = rng
        self.agent_id = AgentId(process_id)
        self._place = PlaceName(settings.process.place)
        self._metrics = Metrics(process_id, "agent")
        self._tls = ProcessTls.of(settings.tls)
        self._store = make_store(settings, self._tls.client_source)
        self._holder = ConfigHolder()
        self._links = EntryLinks(
            self._hello,
            self._status,
            self,
            ChannelOptions(settings.streams.heartbeat_s, settings.streams.silence_s),
            self._tls.stream_client,
            rng,
            supervisor.child("links"),
        )
        self._post = AgentPost(self.agent_id, self._links.post_mail)
        self._finder = CandidateFinder(self._links.entry_ids, self._links.post, rng)
        self._host = ShardHost(
            self.agent_id,
            self._store,
            self._post,
            self._finder.find,
            OwnerOptions(
                horizon_s=settings.leases.horizon_s,
                drift_margin_s=settings.leases.margin_s,
            ),
            rng,
            settings.shards.n_shards,
            RegionName(settings.process.region),
            time.time,
        )
        self._worker: Worker | None = None
        self._worker_info: WorkerInfo | None = None
        self._keeper: AttemptKeeper | None = None
        self._colocator: Colocator | None = None
        self._gates = GateSet(
            [self._make_gate(runner) for runner in settings.agent.services],
            self._links.post,
        )
        self._push: ConfigPush | None = None
        self._is_draining = False
        self._status_sequence = 0
        self._health: WebServer | None = None
        self.health_port = 0

    def _make_gate(self, runner: RunnerSection) -> RunnerGate:
        return RunnerGate(
            self.agent_id,
            ServiceName(runner.name),
            runner.runner_address,
            self._links.send,
            GateOptions(n_slots=runner.n_slots, n_connections=runner.n_connections),
            self._rng,
        )

    async def start(self) -> None:
        """Start every part; returns when the agent is ready to be dialled back."""
        await self._tls.start()
        await self._store.start()
        await self._start_keeper()
        await self._gates.start()
        if self._colocator is not None:
            await self._colocator.start()
        await self._host.start()
        self._post.set_handlers(self._keeper, self._host, self._owns)
        await self._start_health()
        known = [split_address(address) for address in self._settings.agent.entries]
        await self._links.start(known)
        self._supervisor.spawn("find-entries", self._find_entries)
        self._supervisor.spawn("watch-shards", self._announce_shard_changes)
        _log.info("agent started", extra={"health_port": self.health_port})

    async def _start_keeper(self) -> None:
        address = self._settings.agent.worker_address
        if address is None:
            return
        adapter = self._settings.agent.worker_adapter
        self._worker = make_worker(adapter, address, self._tls.client_source)
        await self._worker.start()
        self._worker_info = await self._ask_worker_info(self._worker)
        self._keeper = AttemptKeeper(
            self.agent_id,
            self._worker,
            self._post,
            self._keeper_options(),
            self._rng,
        )
        await self._keeper.start()
        self._colocator = Colocator(
            self._keeper,
            [GateView(gate) for gate in self._gates.gates],
            self._worker,
            self._worker_info.capacity.cpu_millicores,
        )

    def _keeper_options(self) -> KeeperOptions:
        horizon_s = self._settings.leases.horizon_s
        renew_s = min(MAX_RENEW_S, horizon_s / RENEWALS_PER_HORIZON)
        return KeeperOptions(horizon_s=horizon_s, renew_interval_s=renew_s)

    async def _ask_worker_info(self, worker: Worker) -> WorkerInfo:
        while True:
            info = await worker.info()
            if isinstance(info, WorkerInfo):
                return info
            _log.warning("worker does not answer", extra={"reason": info.reason})
            await asyncio.sleep(WORKER_RETRY_S)

    async def _start_health(self) -> None:
        app = web.Application()
        add_health_routes(app, self._metrics, self._not_ready_reason)
        self._add_metrics()
        self._health = WebServer(app)
        process = self._settings.process
        port = self._settings.agent.health_port
        self.health_port = await self._health.start(
            process.host, port, self._tls.http_server()
        )

    def _add_metrics(self) -> None:
        gauge, counter = self._metrics.gauge, self._metrics.counter
        gauge("agent.entries", lambda: len(self._links.entry_ids()), "Open channels.")
        gauge("agent.shards", lambda: len(self._host.owned()), "Shards owned.")
        gauge("agent.tasks", self._n_tasks, "Attempts held.")
        gauge("agent.config_revision", lambda: self._holder.revision, "Revision held.")
        counter("agent.bytes", self._links.n_bytes, "Bytes on channels, both ways.")
        counter("agent.dials", lambda: self._links.n_dials, "Dials of entries.")
        counter(
            "agent.undeliverable",
            lambda: self._post.n_undeliverable,
            "Mail that no entry took.",
        )
        counter("agent.restarts", lambda: self._supervisor.n_restarts, "Restarts.")

    async def drain(self) -> None:
        """Refuse new work, finish what is in flight, hand the shards over."""
        self._set_draining(True)
        await self._gates.drain()
        if self._keeper is not None:
            await self._keeper.drain()
        await self._host.drain()

    async def close(self) -> None:
        """Close every part in the reverse order of its start."""
        await self._links.close()
        await self._host.close()
        if self._colocator is not None:
            await self._colocator.close()
        await self._gates.close()
        if self._keeper is not None:
            await self._keeper.close()
        if self._worker is not None:
            await self._worker.close()
        if self._health is not None:
            await self._health.close()
        await self._store.close()
        await self._tls.close()
        self._metrics.close()

    def entry_joined(self, entry_id: EntryId) -> None:
        """Nothing to do; the status follows by itself."""

    def entry_left(self, entry_id: EntryId) -> None:
        """Tell the gates that answers to this entry can't be sent any more."""
        self._gates.entry_left(entry_id)

    def on_entry_message(self, entry_id: EntryId, body: Message) -> None:
        """Hand a message of an entry to the part that it is for."""
        match body:
            case Post():
                self._post.on_post(body)
            case CandidatesFound():
                self._finder.on_found(body)
            case NominateOwner():
                self._host.nominate(body.shard_id)
            case ReleaseShard():
                self._host.release(body.shard_id, body.epoch)
            case ConfigPush():
                self._accept_config(body)
            case ConfigAsk():
                self._answer_config(entry_id)
            case BurnAsk():
                self._links.post(entry_id, answer_burn(body, self._evidence()))
            case DrainRequest():
                self._on_drain_request(body)
            case _:
                self._gates.on_message(entry_id, body)

    def _accept_config(self, push: ConfigPush) -> None:
        if self._holder.accept(push):
            self._host.set_fleet(self._holder.fleet)
            self._gates.set_fleet(self._holder.fleet)
            if self._colocator is not None:
                self._colocator.set_policy(self._holder.fleet.policies.ladder)
            self._push = push
            self._links.status_changed()

    def _answer_config(self, entry_id: EntryId) -> None:
        if self._push is not None:
            self._links.post(entry_id, self._push)

    def _evidence(self) -> list[GateEvidence]:
        return [GateEvidence(gate, self._colocator) for gate in self._gates.gates]

    def _on_drain_request(self, request: DrainRequest) -> None:
        if request.resume:
            # A drain under way would still release shards after the resume.
            self._supervisor.stop("drain")
            self._set_draining(False)
            return
        self._supervisor.spawn("drain", self.drain)

    def _set_draining(self, is_draining: bool) -> None:
        self._is_draining = is_draining
        if not is_draining:
            self._gates.resume()
            self._host.resume()
            if self._keeper is not None:
                self._keeper.resume()
        _log.info("draining" if is_draining else "taking work again")
        self._links.status_changed()

    def _owns(self, shard_id: ShardId) -> bool:
        return any(owned == shard_id for owned, _ in self._host.owned())

    def _n_tasks(self) -> int:
        return 0 if self._keeper is None else self._keeper.n_tasks()

    def _hello(self) -> AgentHello:
        info = self._worker_info
        return AgentHello(
            self.agent_id,
            WorkerId("") if info is None else info.worker_id,
            self._place,
            EMPTY_SHAPE if info is None else info.capacity,
        )

    def _status(self) -> AgentStatus:
        self._status_sequence += 1
        keeper, colocator = self._keeper, self._colocator
        return AgentStatus(
            sequence=self._status_sequence,
            free=EMPTY_SHAPE if keeper is None else keeper.free(),
            n_tasks=self._n_tasks(),
            draining=self._is_draining,
            config_revision=self._holder.revision,
            owned=self._host.owned(),
            runners=self._gates.statuses(),
            classes=() if keeper is None else keeper.classes(),
            resting=keeper is not None and keeper.is_resting,
            ladder_level=0 if colocator is None else colocator.ladder_level,
            cpu_used_millicores=0
            if colocator is None
            else colocator.cpu_used_millicores,
            harms=() if colocator is None else colocator.harms(),
            crest_millicores=0 if colocator is None else colocator.crest_millicores,
        )

    def _not_ready_reason(self) -> str:
        if self._is_draining:
            return "draining"
        if not self._links.entry_ids():
            return "no channel to an entry"
        return ""

    async def _find_entries(self) -> None:
        """Read the entries from the store until a channel is open.

        Runs at start, after a random delay so that a place that returns does not
        read all at once; afterwards the entries' own lists are enough.
        """
        prefix = entries_prefix(RegionName(self._settings.process.region))
        while True:
            await asyncio.sleep(ENTRIES_RETRY_S * self._rng.random())
            if self._links.entry_ids():
                continue
            found = await self._store.get_range(prefix)
            if isinstance(found, Unavailable):
                continue
            for item in found.items:
                address = decode_address(item.value)
                if address is not None:
                    self._links.add(_pair(address.host, address.port))

    async def _announce_shard_changes(self) -> None:
        owned = self._host.owned()
        while True:
            await asyncio.sleep(0.1)
            if self._host.owned() != owned:
                owned = self._host.owned()
                self._links.status_changed()


def _pair(host: str, port: int) -> EntryAddressPair:
    return host, port
