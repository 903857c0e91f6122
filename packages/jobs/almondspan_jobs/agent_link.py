"""The owner's channel to one agent, redialled whenever it closes.

An agent that can't be reached directly is dialled through another agent. A relayed
channel is replaced by a direct one as soon as that can be opened.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    AttemptRevoked,
    EvacuatedPlaces,
    OwnerHello,
    OwnerReplaced,
    StartReply,
    WorkerListing,
    WorkerReport,
    WorkerUnreachable,
)
from almondspan_jobs.network import DialFailed, Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import AgentRecord, OwnerRecord
from almondspan_jobs.relay import RelayedChannel, dial_via_agent
from almondspan_jobs.scheduler import Scheduler
from almondspan_jobs.supervision import keep_running
from almondspan_wire.channel import Channel, ChannelClosed
from almondspan_wire.codec import Message

__all__ = ["AgentLink"]

N_RELAYS: Final = 2
"""Agents that are tried as relays to an unreachable one."""


class AgentLink:
    """Sends commands to one agent and passes its messages to the scheduler."""

    def __init__(
        self,
        node: str,
        address: AgentRecord,
        record: OwnerRecord,
        on_replaced: Callable[[OwnerRecord], None],
        relays: Callable[[], Sequence[AgentRecord]],
        network: Network,
        scheduler: Scheduler,
        links: dict[WorkerId, "AgentLink"],
        wake: Callable[[], None],
        options: JobOptions,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._node: Final = node
        self.address: Final = address
        self._hello: Final = OwnerHello(
            record.epoch,
            record.node,
            record.host,
            record.port,
            accepts_unreachable=True,
            agent=node,
        )
        self._on_replaced: Final = on_replaced
        self._relays: Final = relays
        self._network: Final = network
        self._scheduler: Final = scheduler
        self._links: Final = links
        self._wake: Final = wake
        self._options: Final = options
        self._log: Final = log
        self._rng: Final = rng
        self._channel: Channel | None = None
        self._direct_channel: Channel | None = None
        """A direct channel opened while a relayed one was in use."""
        self.is_direct = False
        """Whether a channel is open that does not lead through another agent."""
        self._incarnation: WorkerIncarnation | None = None
        self._told_evacuations: list[str] = []
        """The evacuated places that the agent was told on this channel."""
        self._accepts_evacuations = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to dial."""
        self._task = asyncio.create_task(
            keep_running("agent_link", self._run, self._options.dial_retry_s, self._log)
        )

    async def close(self) -> None:
        """Close the channel."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def post(self, body: Message) -> bool:
        """Send without waiting; False when no channel is open."""
        return self._channel is not None and self._channel.post(body)

    async def _run(self) -> None:
        was_up = False
        while True:
            channel = self._direct_channel or await self._dial()
            self._direct_channel = None
            if not isinstance(channel, DialFailed):
                was_up = True
                if not await self._serve_until_closed(channel, is_direct=True):
                    # Perhaps another node's agent has the address now.
                    await self._pause()
                continue
            relayed = None if channel.was_refused else await self._dial_via_agent()
            if relayed is not None:
                self._log.line("agent_relayed", agent=self._node, by=relayed.by.host)
                was_up = True
                await self._serve_until_direct(relayed.channel)
                continue
            if was_up:
                reason = channel.reason
                self._log.line("agent_unreachable", agent=self._node, why=reason)
            was_up = False
            await self._pause()

    async def _pause(self) -> None:
        jitter = self._rng.uniform(0.5, 1.5)
        await asyncio.sleep(self._options.dial_retry_s * jitter)

    async def _dial_via_agent(self) -> RelayedChannel | None:
        relays = self._relays()
        chosen = self._rng.sample(relays, min(len(relays), N_RELAYS))
        return await dial_via_agent(
            self._network, chosen, self.address, self._options.dial_timeout_s
        )

    async def _dial(self) -> Channel | DialFailed:
        return await self._network.dial(
            self.address.host, self.address.port, self._options.dial_timeout_s
        )

    async def _serve_until_closed(self, channel: Channel, is_direct: bool) -> bool:
        """Serve a channel until it closes; return whether the agent has sent anything.

        An agent of another node closes the channel without an answer.
        """
        try:
            self.is_direct = is_direct
            return await self._serve(channel)
        finally:
            self._channel = None
            self.is_direct = False
            await channel.close()

    async def _serve_until_direct(self, channel: Channel) -> None:
        """Serve a relayed channel until a direct one is open."""
        serving = asyncio.create_task(
            self._serve_until_closed(channel, is_direct=False)
        )
        dialling = asyncio.create_task(self._dial_until_direct())
        try:
            await asyncio.wait((serving, dialling), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (serving, dialling):
                task.cancel()
            await asyncio.gather(serving, dialling, return_exceptions=True)

    async def _dial_until_direct(self) -> None:
        while True:
            await asyncio.sleep(self._options.relay_recheck_s)
            channel = await self._dial()
            if not isinstance(channel, DialFailed):
                self._direct_channel = channel
                return

    async def _serve(self, channel: Channel) -> bool:
        self._log.line("agent_linked", agent=self._node, epoch=self._hello.epoch)
        evacuated = self._scheduler.told_evacuations
        await channel.send(msgspec.structs.replace(self._hello, evacuated=evacuated))
        self._told_evacuations, self._accepts_evacuations = evacuated, False
        self._channel = channel
        # A restarted agent does not know its worker's tasks; they are sent again.
        self._incarnation = None
        has_answered = False
        while True:
            body = await channel.receive()
            if isinstance(body, ChannelClosed):
                self._log.line(
                    "agent_lost",
                    agent=self._node,
                    cause=body.cause.value,
                    reason=body.reason,
                )
                return has_answered
            has_answered = True
            self._on_message(body)
            self.tell_evacuations()
            if self._scheduler.needs_planning or self._scheduler.is_dirty:
                self._wake()

    def tell_evacuations(self) -> None:
        """Tell the agent which places are evacuated, if that has changed.

        A message that does not go out is sent with the agent's next one.
        """
        evacuated = self._scheduler.told_evacuations
        if not self._accepts_evacuations or evacuated == self._told_evacuations:
            return
        if self.post(EvacuatedPlaces(evacuated)):
            self._told_evacuations = evacuated

    def _on_message(self, body: Message) -> None:
        if isinstance(body, WorkerReport):
            self._on_report(body)
        elif isinstance(body, OwnerReplaced):
            if body.epoch > self._hello.epoch:
                self._on_replaced(
                    OwnerRecord(body.epoch, body.owner, body.host, body.port)
                )
        elif self._incarnation is None:
            return
        elif isinstance(body, WorkerListing):
            if body.started_ms == self._incarnation.started_ms:
                self._scheduler.on_listing(self._incarnation, body)
        elif isinstance(body, WorkerUnreachable):
            if body.started_ms == self._incarnation.started_ms:
                self._scheduler.on_unreachable(self._incarnation, body)
        elif isinstance(body, StartReply):
            self._scheduler.on_start_reply(self._incarnation.worker_id, body)
        elif isinstance(body, AttemptRevoked):
            self._scheduler.on_attempt_revoked(self._incarnation.worker_id, body)

    def _on_report(self, report: WorkerReport) -> None:
        incarnation = WorkerIncarnation(report.worker_id, report.started_ms)
        old = self._incarnation
        if old is not None and old.started_ms > incarnation.started_ms:
            return
        self._incarnation = incarnation
        self._accepts_evacuations = report.accepts_evacuations
        self._links[incarnation.worker_id] = self
        self._scheduler.on_report(self._node, report)
        if old != incarnation:
            self.post(self._scheduler.traits_update_for(incarnation.worker_id))
            self.post(self._scheduler.interference_update_for(incarnation.worker_id))
