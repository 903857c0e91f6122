"""The agent: the process that runs next to a worker, runners, or both.

`AgentComponents` holds the components that admit work: the attempt agent of the
worker, a `RunnerAdmission` for each runner, and a `ShardHost` for the shards that this
agent owns. `EntryLinks` keeps a channel to every entry of the region,
`AgentDispatcher` passes incoming messages to the components, and `AgentDrain` drains
them.

Phases: `start` opens the clients of the platform, restores the attempt agent's state
from the worker, and connects to the entries; `drain` refuses new work, waits for work
in flight and hands the shards over; `close` stops everything.

Supervision: the process's supervisor runs ``find-entries``, ``announce-changes`` and
the ``drain`` that an operator requests. Its child supervisor for the links runs one
task for each address and one that sends statuses. The attempt agent, the runner
admissions, the colocation controller and the shard owners manage their own tasks. A
broken invariant in any task ends the process.
"""

import asyncio
import logging
import random
import time
from typing import Final

from aiohttp import web

from almondspan_admin.active_config import ActiveConfig
from almondspan_daemon.agent_components import AgentComponents
from almondspan_daemon.agent_dispatcher import AgentDispatcher
from almondspan_daemon.agent_drain import AgentDrain
from almondspan_daemon.agent_status import agent_hello, agent_status
from almondspan_daemon.candidate_finder import CandidateFinder
from almondspan_daemon.entry_links import EntryLinks, HostPort
from almondspan_daemon.entry_registration import decode_address, entries_prefix
from almondspan_daemon.health import add_health_routes
from almondspan_daemon.message_routing import AgentMessageRouter
from almondspan_daemon.metrics import Metrics
from almondspan_daemon.platform_clients import make_store, make_worker
from almondspan_daemon.runner_admission_set import RunnerAdmissionSet
from almondspan_daemon.settings import AgentSettings, RunnerSection
from almondspan_daemon.settings_model import split_address
from almondspan_daemon.supervisor import Supervisor
from almondspan_daemon.tls import ProcessTls
from almondspan_daemon.web_server import WebServer
from almondspan_decisions.ids import (
    AgentId,
    PlaceName,
    RegionName,
    ServiceName,
)
from almondspan_platform.store import Unavailable
from almondspan_platform.worker import Worker, WorkerInfo
from almondspan_service.runner_admission import AdmissionOptions, RunnerAdmission
from almondspan_tasks.attempt_agent import AttemptAgent
from almondspan_tasks.host import ShardHost
from almondspan_tasks.options import AttemptAgentOptions, OwnerOptions
from almondspan_wire.channel import ChannelOptions
from almondspan_wire.membership import AgentHello, AgentStatus

__all__ = ["AgentRole"]

WORKER_RETRY_S: Final = 1.0
ENTRIES_RETRY_S: Final = 5.0
CHANGE_CHECK_INTERVAL_S: Final = 0.1
RENEWALS_PER_HORIZON: Final = 6
"""Attempts to renew a lease before its horizon has passed."""

MAX_RENEW_INTERVAL_S: Final = 5.0

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
        self._active_config = ActiveConfig()
        self._links = self._make_links()
        self._router = AgentMessageRouter(self.agent_id, self._links.post_routed)
        self._finder = CandidateFinder(self._links.entry_ids, self._links.post, rng)
        admissions = [
            self._make_admission(runner) for runner in settings.agent.services
        ]
        self._components = AgentComponents(
            RunnerAdmissionSet(admissions, self._links.post), self._make_host()
        )
        self._drain = AgentDrain(
            supervisor, self._components, self._links.status_changed
        )
        self._dispatcher = AgentDispatcher(
            self._components,
            self._drain,
            self._links,
            self._router,
            self._finder,
            self._active_config,
        )
        self._links.set_listener(self._dispatcher)
        self._status_sequence = 0
        self._health: WebServer | None = None
        self.health_port = 0

    def _make_links(self) -> EntryLinks:
        streams = self._settings.streams
        return EntryLinks(
            self._hello,
            self._status,
            ChannelOptions(streams.heartbeat_s, streams.silence_s),
            self._tls.stream_client,
            self._rng,
            self._supervisor.child("links"),
        )

    def _make_host(self) -> ShardHost:
        leases = self._settings.leases
        return ShardHost(
            self.agent_id,
            self._store,
            self._router,
            self._finder.find,
            OwnerOptions(horizon_s=leases.horizon_s, drift_margin_s=leases.margin_s),
            self._rng,
            self._settings.shards.n_shards,
            RegionName(self._settings.process.region),
            time.time,
        )

    def _make_admission(self, runner: RunnerSection) -> RunnerAdmission:
        return RunnerAdmission(
            ServiceName(runner.name),
            runner.runner_address,
            self._links.send,
            AdmissionOptions(
                n_slots=runner.n_slots, n_connections=runner.n_connections
            ),
        )

    async def start(self) -> None:
        """Start every component, then dial the entries known from the settings."""
        await self._tls.start()
        await self._store.start()
        await self._open_worker()
        await self._components.start()
        self._router.set_handlers(
            self._components.attempt_agent,
            self._components.host,
            self._components.owns_shard,
        )
        await self._start_health()
        configured = [
            split_address(address) for address in self._settings.agent.entries
        ]
        await self._links.start(configured)
        self._supervisor.spawn("find-entries", self._find_entries)
        self._supervisor.spawn("announce-changes", self._send_status_on_change)
        _log.info("agent started", extra={"health_port": self.health_port})

    async def _open_worker(self) -> None:
        address = self._settings.agent.worker_address
        if address is None:
            return
        adapter = self._settings.agent.worker_adapter
        worker = make_worker(adapter, address, self._tls.client_source)
        await worker.start()
        info = await self._get_worker_info(worker)
        attempt_agent = AttemptAgent(
            self.agent_id,
            worker,
            self._router,
            self._attempt_agent_options(),
            self._rng,
        )
        # Running attempts must be known before anything requests capacity.
        await attempt_agent.start()
        self._components.set_worker(worker, info, attempt_agent)

    def _attempt_agent_options(self) -> AttemptAgentOptions:
        horizon_s = self._settings.leases.horizon_s
        interval_s = min(MAX_RENEW_INTERVAL_S, horizon_s / RENEWALS_PER_HORIZON)
        return AttemptAgentOptions(horizon_s=horizon_s, renew_interval_s=interval_s)

    async def _get_worker_info(self, worker: Worker) -> WorkerInfo:
        while True:
            info = await worker.info()
            if isinstance(info, WorkerInfo):
                return info
            _log.warning(
                "worker did not answer; retrying", extra={"reason": info.reason}
            )
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
        gauge(
            "agent.shards", lambda: len(self._components.host.owned()), "Shards owned."
        )
        gauge("agent.tasks", self._components.n_tasks, "Attempts held.")
        gauge(
            "agent.config_revision",
            lambda: self._active_config.revision,
            "Revision of the active configuration.",
        )
        counter("agent.bytes", self._links.n_bytes, "Bytes on channels, both ways.")
        counter("agent.dials", lambda: self._links.n_dials, "Dials of entries.")
        counter(
            "agent.undeliverable",
            lambda: self._router.n_undeliverable,
            "Routed messages that no entry accepted.",
        )
        self._metrics.counters("agent.host", self._components.host.counters)
        if self._components.attempt_agent is not None:
            self._metrics.counters(
                "agent.keeper", self._components.attempt_agent.counters
            )
        counter("agent.restarts", lambda: self._supervisor.n_restarts, "Restarts.")

    async def drain(self) -> None:
        """Refuse new work, finish work in flight, and hand the shards over."""
        await self._drain.drain_to_end()

    async def close(self) -> None:
        """Close every component in the reverse order of its start."""
        await self._links.close()
        await self._components.close()
        if self._health is not None:
            await self._health.close()
        await self._store.close()
        await self._tls.close()
        self._metrics.close()

    def _hello(self) -> AgentHello:
        return agent_hello(self.agent_id, self._place, self._components)

    def _status(self) -> AgentStatus:
        self._status_sequence += 1
        return agent_status(
            self._status_sequence,
            self._drain.is_draining,
            self._active_config.revision,
            self._components,
        )

    def _not_ready_reason(self) -> str:
        if self._drain.is_draining:
            return "draining"
        if not self._links.entry_ids():
            return "no channel to an entry"
        return ""

    async def _find_entries(self) -> None:
        """Read the entries' addresses from the store while no channel is open.

        Each read follows a random delay, so that the agents of a place that comes
        back do not read the store all at once. With an open channel, the lists that
        the entries send are enough.
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
                    self._links.add(_host_port(address.host, address.port))
                else:
                    _log.warning("entry unreadable", extra={"key": item.key})

    async def _send_status_on_change(self) -> None:
        """Send the status at once when the shards or the free capacity change.

        Entries place tasks by the reported free capacity. With the periodic status
        alone, capacity would stay idle for up to a second after each task.
        """
        components = self._components
        reported = (components.host.owned(), components.free())
        while True:
            await asyncio.sleep(CHANGE_CHECK_INTERVAL_S)
            now = (components.host.owned(), components.free())
            if now != reported:
                reported = now
                self._links.status_changed()


def _host_port(host: str, port: int) -> HostPort:
    return host, port
