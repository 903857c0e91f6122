"""The owner's channel to one agent, dialled again whenever it ends."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_book import WorkerLife
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    OwnerHello,
    OwnerReplaced,
    StartReply,
    StopReply,
    WorkerListing,
    WorkerReport,
)
from almondspan_jobs.network import Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import AgentRecord, OwnerRecord
from almondspan_jobs.scheduler import Scheduler
from almondspan_wire.channel import Channel, ChannelClosed
from almondspan_wire.codec import Message

__all__ = ["WorkerLink"]


class WorkerLink:
    """Carries orders to one agent and its listings back."""

    def __init__(
        self,
        node: str,
        address: AgentRecord,
        record: OwnerRecord,
        on_replaced: Callable[[OwnerRecord], None],
        network: Network,
        scheduler: Scheduler,
        links: dict[WorkerId, "WorkerLink"],
        wake: Callable[[], None],
        options: JobOptions,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._node: Final = node
        self.address: Final = address
        self._hello: Final = OwnerHello(
            record.epoch, record.node, record.host, record.port
        )
        self._on_replaced: Final = on_replaced
        self._network: Final = network
        self._scheduler: Final = scheduler
        self._links: Final = links
        self._wake: Final = wake
        self._options: Final = options
        self._log: Final = log
        self._rng: Final = rng
        self._channel: Channel | None = None
        self._life: WorkerLife | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to dial."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the channel."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def post(self, body: Message) -> bool:
        """Send without waiting; False when there is no channel now."""
        return self._channel is not None and self._channel.post(body)

    async def _run(self) -> None:
        was_up = False
        while True:
            channel = await self._network.dial(
                self.address.host, self.address.port, self._options.dial_timeout_s
            )
            if isinstance(channel, str):
                if was_up:
                    self._log.line("agent_unreachable", agent=self._node, why=channel)
                was_up = False
                jitter = self._rng.uniform(0.5, 1.5)
                await asyncio.sleep(self._options.dial_retry_s * jitter)
                continue
            was_up = True
            try:
                await self._serve(channel)
            finally:
                self._channel = None
                await channel.close()

    async def _serve(self, channel: Channel) -> None:
        self._log.line("agent_linked", agent=self._node, epoch=self._hello.epoch)
        await channel.send(self._hello)
        self._channel = channel
        # The agent may be a restarted one, which knows nothing of its worker's tasks.
        self._life = None
        while True:
            body = await channel.receive()
            if isinstance(body, ChannelClosed):
                self._log.line(
                    "agent_lost",
                    agent=self._node,
                    cause=body.cause.value,
                    reason=body.reason,
                )
                return
            self._on_message(body)
            if self._scheduler.wants_plan or self._scheduler.is_dirty:
                self._wake()

    def _on_message(self, body: Message) -> None:
        if isinstance(body, WorkerReport):
            self._on_report(body)
        elif isinstance(body, OwnerReplaced):
            if body.epoch > self._hello.epoch:
                self._on_replaced(
                    OwnerRecord(body.epoch, body.owner, body.host, body.port)
                )
        elif self._life is None:
            return
        elif isinstance(body, WorkerListing):
            if body.born_ms == self._life.born_ms:
                self._scheduler.on_listing(self._life, body)
        elif isinstance(body, StartReply):
            self._scheduler.on_start_reply(self._life.worker_id, body)
        elif isinstance(body, StopReply):
            self._scheduler.on_stop_reply(body)

    def _on_report(self, report: WorkerReport) -> None:
        life = WorkerLife(report.worker_id, report.born_ms)
        old = self._life
        if old is not None and old.born_ms > life.born_ms:
            return
        self._life = life
        self._links[life.worker_id] = self
        self._scheduler.on_report(self._node, report)
        if old != life:
            self.post(self._scheduler.facts_for(life.worker_id))
            self.post(self._scheduler.harm_push_to(life.worker_id))
