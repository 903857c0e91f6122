"""The jobs subsystem of one entry.

It combines the API for callers, the link to the owner and the leader election, and
answers the messages of other entries.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

from almondspan_decisions.owner_capacity import InstanceCapacity
from almondspan_jobs.admission_gate import AdmissionGate
from almondspan_jobs.evacuation_status import evacuation_status
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.job_api import JobApi, StoreResult
from almondspan_jobs.leadership import Leadership
from almondspan_jobs.messages import EvacuationsRequest, StoreJob, StoreReply
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import Listener, Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.owner_link import OwnerLink
from almondspan_jobs.records import AgentRecord
from almondspan_platform.group_store import GroupStore
from almondspan_wire.channel import Channel, ChannelClosed
from almondspan_wire.codec import Message

__all__ = ["JobEntry"]

MAX_RELAYED_BYTES: Final = 4_000_000
"""Records of other entries that are being stored at the same time."""

RELAYED_BYTES: Final = 4_000
"""What such a record holds besides its bytes."""


class JobEntry:
    """The jobs subsystem of one entry."""

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
        capacity: InstanceCapacity | None = None,
    ) -> None:
        self._log: Final = log
        self._options: Final = options
        self._metrics: Final = metrics
        self._link: Final = OwnerLink(
            node, network, self._answer, self._agents, options, log, rng
        )
        self.leadership: Final = Leadership(
            node,
            host,
            port,
            network,
            store,
            options,
            log,
            metrics,
            rng,
            self._link.set_owner,
            capacity,
        )
        self._gate: Final = AdmissionGate(node, self._link, options, log, metrics)
        self.job_api: Final = JobApi(
            store, self._link, options, log, metrics, self._gate
        )
        self._host: Final = host
        self._port: Final = port
        self._network: Final = network
        self._listener: Listener | None = None
        self._n_relayed_bytes = 0

    async def start(self) -> None:
        """Listen for other entries and join the leader election."""
        self._listener = await self._network.listen(
            self._host, self._port, self._serve_entry
        )
        await self.leadership.start()
        await self._gate.start()

    async def close(self) -> None:
        """Resign from the ownership and close the links."""
        await self._gate.close()
        await self.leadership.close()
        await self._link.close()
        if self._listener is not None:
            await self._listener.close()

    def _agents(self) -> Sequence[AgentRecord]:
        return self.leadership.agents

    @property
    def has_owner_link(self) -> bool:
        """Return whether the owner is local or a channel to it is open."""
        return self._link.is_up

    async def _serve_entry(self, channel: Channel) -> None:
        """Answer the messages of one entry; store requests run in their own tasks."""
        async with asyncio.TaskGroup() as group:
            while True:
                body = await channel.receive()
                if isinstance(body, ChannelClosed):
                    cause = body.cause.value
                    self._log.line("entry_lost", cause=cause, reason=body.reason)
                    return
                if isinstance(body, StoreJob):
                    if not self._may_relay(body):
                        refusal = StoreResult.NOT_DONE.value
                        await channel.send(StoreReply(body.number, refusal))
                        continue
                    group.create_task(self._reply(channel, body))
                    continue
                answer = await self._answer(body)
                if answer is not None:
                    await channel.send(answer)

    def _may_relay(self, body: StoreJob) -> bool:
        """Return whether a record fits beside those that are being stored."""
        n_bytes = self._n_relayed_bytes + len(body.record) + RELAYED_BYTES
        if self._n_relayed_bytes and n_bytes > MAX_RELAYED_BYTES:
            self._metrics.count("relayed_jobs_refused")
            return False
        self._n_relayed_bytes = n_bytes
        return True

    async def _reply(self, channel: Channel, body: StoreJob) -> None:
        try:
            await channel.send(await self.job_api.relay(body))
        finally:
            self._n_relayed_bytes -= len(body.record) + RELAYED_BYTES

    async def _answer(self, body: Message) -> Message | None:
        if isinstance(body, StoreJob):
            return await self.job_api.relay(body)
        owner = self.leadership.owner
        if isinstance(body, EvacuationsRequest):
            return evacuation_status(body, self.leadership, self._options)
        return owner.answer(body) if owner is not None else None
