"""The entry: a process without persistent state behind the platform's balancer.

It serves callers (`ServiceRouter`) and operators (`AdminApi`), keeps the channels of
the region's agents (`AgentDirectory`), routes their messages, nominates owners of
shards and distributes the configuration. It holds no state that the other entries do
not receive as well.

Phases: `start` opens the store's client, listens and registers in the store; `drain`
removes the registration and waits for calls in flight; `close` stops everything.
"""

import asyncio
import logging
import random
from functools import partial
from typing import Final

from aiohttp import web

from almondspan_admin.active_config import ActiveConfig
from almondspan_admin.api import AdminApi, AdminOptions
from almondspan_admin.burn_collect import BurnCollector
from almondspan_admin.config_client import ConfigClient, ConfigClientOptions
from almondspan_admin.config_fetcher import ConfigFetcher
from almondspan_daemon.agent_directory import AgentDirectory
from almondspan_daemon.capacity_index import CapacityIndex
from almondspan_daemon.config_pusher import ConfigPusher
from almondspan_daemon.entry_registration import EntryRegistration
from almondspan_daemon.fleet_view import EntryFleetView
from almondspan_daemon.health import add_health_routes
from almondspan_daemon.message_routing import EntryMessageRouter
from almondspan_daemon.metrics import Metrics
from almondspan_daemon.platform_clients import make_store
from almondspan_daemon.settings import EntrySettings
from almondspan_daemon.shard_map import ShardMap
from almondspan_daemon.supervisor import Supervisor
from almondspan_daemon.tls import ProcessTls
from almondspan_daemon.web_server import WebServer
from almondspan_decisions.ids import EntryId, PlaceName, RegionName
from almondspan_service.router import RouterOptions, ServiceRouter
from almondspan_tasks.options import ShardClientOptions
from almondspan_tasks.shard_client import ShardClient
from almondspan_wire.channel import ChannelOptions, StreamChannel
from almondspan_wire.membership import (
    ConfigPush,
    EntryAddress,
    EntryList,
)

__all__ = ["EntryRole"]

DRAIN_NOTICE_S: Final = 1.0
"""Time for the balancer to notice that the entry is not ready any more."""

_log = logging.getLogger(__name__)


class EntryRole:
    """One entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        process_id: str,
        supervisor: Supervisor,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._supervisor = supervisor
        self._rng = rng
        self.entry_id = EntryId(process_id)
        self._metrics = Metrics(process_id, "entry")
        self._tls = ProcessTls.of(settings.tls)
        self._store = make_store(settings, self._tls.client_source)
        self._active_config = ActiveConfig()
        self._directory = AgentDirectory(
            self.entry_id,
            ChannelOptions(settings.streams.heartbeat_s, settings.streams.silence_s),
            self._send_entry_list,
        )
        self._shard_map = ShardMap(settings.shards.n_shards, self._directory.post)
        self._index = CapacityIndex(self._directory.post, rng)
        self._message_router = EntryMessageRouter(
            self.entry_id, self._directory.post, self._shard_map.owner_of
        )
        self._shard_client = ShardClient(
            self.entry_id,
            self._message_router,
            self._shard_map.owner_of,
            ShardClientOptions(),
            rng,
            settings.shards.n_shards,
        )
        self._router = ServiceRouter(
            self.entry_id,
            PlaceName(settings.process.place),
            self._directory.send,
            self._shard_client,
            RouterOptions(),
            rng,
        )
        self._pusher = ConfigPusher(self._directory.agents, self._directory.post, rng)
        self._config_client = ConfigClient(
            self._store, self._on_config, ConfigClientOptions(), rng
        )
        self._config_fetcher = ConfigFetcher(self._config_client, self._directory.post)
        self._burn = BurnCollector(
            self._directory.post, lambda: self._active_config.fleet
        )
        self._view = EntryFleetView(
            settings.shards.n_shards,
            self._shard_map.owners,
            self._directory.post,
            self._shard_client.declare_lost,
            self._burn.burn,
        )
        self._registration: EntryRegistration | None = None
        self._servers: list[WebServer] = []
        self._is_draining = False
        self.http_port = 0
        self.admin_port = 0
        self.agent_port = 0

    async def start(self) -> None:
        """Start every component; return once the entry is listening."""
        await self._tls.start()
        await self._store.start()
        self._message_router.add_handler(self._shard_client)
        for listener in (
            self._shard_map,
            self._index,
            self._pusher,
            self._config_fetcher,
            self._burn,
            self._view,
            self._router,
            self._message_router,
        ):
            self._directory.add_listener(listener)
        await self._shard_client.start()
        await self._router.start()
        await self._config_client.start()
        await self._listen()
        self._spawn_loops()
        _log.info(
            "entry started",
            extra={
                "http_port": self.http_port,
                "admin_port": self.admin_port,
                "agent_port": self.agent_port,
            },
        )

    async def _listen(self) -> None:
        host = self._settings.process.host
        ports = self._settings.entry
        self.agent_port = await self._directory.start(
            host, ports.agent_port, self._tls.stream_server()
        )
        callers = web.Application()
        self._router.add_routes(callers)
        self.http_port = await self._serve(callers, ports.http_port)
        self.admin_port = await self._serve(self._admin_app(), ports.admin_port)

    async def _serve(self, app: web.Application, port: int) -> int:
        server = WebServer(app)
        self._servers.append(server)
        return await server.start(
            self._settings.process.host, port, self._tls.http_server()
        )

    def _admin_app(self) -> web.Application:
        admin = self._settings.admin
        app = web.Application(client_max_size=admin.max_body_bytes)
        options = AdminOptions(
            bootstrap_token_sha256=admin.bootstrap_token_sha256,
            max_body_bytes=admin.max_body_bytes,
            max_requests_per_s=admin.max_requests_per_s,
        )
        api = AdminApi(self._shard_client, self._config_client, self._view, options)
        api.add_routes(app)
        self._metrics.counters("entry.admin", api.counters)
        add_health_routes(app, self._metrics, self._not_ready_reason)
        self._add_metrics()
        return app

    def _add_metrics(self) -> None:
        gauge, counter = self._metrics.gauge, self._metrics.counter
        directory, router, shards = (
            self._directory,
            self._message_router,
            self._shard_map,
        )
        gauge("entry.agents", lambda: len(directory.agents), "Agents connected.")
        gauge("entry.shards_owned", lambda: len(shards.owners()), "Shards with owner.")
        gauge("entry.calls_in_flight", self._router.n_in_flight, "Calls in flight.")
        gauge(
            "entry.config_revision",
            lambda: self._active_config.revision,
            "Revision of the active configuration.",
        )
        counter("entry.mail_carried", lambda: router.n_forwarded, "Messages forwarded.")
        counter(
            "entry.undeliverable", lambda: router.n_undeliverable, "Messages dropped."
        )
        counter("entry.nominations", lambda: shards.n_nominations, "Nominations.")
        counter("entry.agents_left", lambda: directory.n_left, "Agents that left.")
        self._metrics.counters("entry.router", self._router.counters)
        for kind in self._router.counters.n_outcomes:
            read = partial(self._router.counters.n_outcomes.__getitem__, kind)
            counter(
                f"entry.calls.{kind.value}", read, f"Calls that ended {kind.value}."
            )
        counter("entry.restarts", lambda: self._supervisor.n_restarts, "Restarts.")

    def _spawn_loops(self) -> None:
        process = self._settings.process
        own = EntryAddress(
            self.entry_id, process.host, self.agent_port, PlaceName(process.place)
        )
        self._registration = EntryRegistration(
            self._store, RegionName(process.region), own, self._on_entries, self._rng
        )
        self._supervisor.spawn("register", self._registration.keep_registered)
        self._supervisor.spawn("follow-entries", self._registration.watch_entries)
        self._supervisor.spawn("shard-map", self._shard_map.run)
        self._supervisor.spawn("config-pusher", self._pusher.run)

    async def drain(self) -> None:
        """Remove the registration and wait for calls in flight."""
        self._is_draining = True
        _log.info("draining")
        self._supervisor.stop("register")
        if self._registration is not None:
            await self._registration.close()
        await asyncio.sleep(DRAIN_NOTICE_S)
        await self._router.drain()

    async def close(self) -> None:
        """Close every component in the reverse order of its start."""
        for server in reversed(self._servers):
            await server.close()
        await self._directory.close()
        await self._burn.close()
        await self._config_client.close()
        await self._router.close()
        await self._shard_client.close()
        await self._store.close()
        await self._tls.close()
        self._metrics.close()

    def _send_entry_list(self, channel: StreamChannel) -> None:
        if self._registration is not None:
            channel.post(self._registration.entry_list())

    def _on_entries(self, entries: EntryList) -> None:
        self._directory.post_all(entries)

    def _on_config(self, push: ConfigPush) -> None:
        if not self._active_config.accept(push):
            return
        self._index.set_fleet(self._active_config.fleet)
        self._router.set_fleet(self._active_config.fleet)
        self._pusher.set_config(push)

    def _not_ready_reason(self) -> str:
        if self._is_draining:
            return "draining"
        if not self._directory.agents:
            return "no agent is connected"
        return ""
