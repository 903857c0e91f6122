"""An entry's link to the owner: questions with answers, and things to tell.

The owner may be this process; then nothing is sent. Otherwise one channel is kept to
the owner that the store names, and dialled again when it ends. An owner that can't be
reached is tried through an agent, which knows the latest owner also while the store
can't be read here. A question has a number;
its answer ends the wait, and so do the end of the channel and the time limit.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import PendingCountReply, StateReply, StoreReply
from almondspan_jobs.network import DialFailed, Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import AgentRecord, OwnerRecord
from almondspan_jobs.relay import dial_via_agent
from almondspan_wire.channel import Channel, ChannelClosed
from almondspan_wire.codec import Message

__all__ = ["NoAnswer", "OwnerLink"]

N_RELAYS: Final = 3
"""Agents that are asked to go on to the owner."""

LocalHandler = Callable[[Message], Awaitable[Message | None]]


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A question without an answer; the owner has not seen it unless it was sent."""

    was_sent: bool


class OwnerLink:
    """Reaches whichever process owns the jobs."""

    def __init__(
        self,
        node: str,
        network: Network,
        local: LocalHandler,
        relays: Callable[[], Sequence[AgentRecord]],
        options: JobOptions,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._node: Final = node
        self._network: Final = network
        self._local: Final = local
        self._relays: Final = relays
        self._options: Final = options
        self._log: Final = log
        self._rng: Final = rng
        self._record: OwnerRecord | None = None
        self._channel: Channel | None = None
        self._task: asyncio.Task[None] | None = None
        self._pending: Final[dict[int, asyncio.Future[Message]]] = {}
        self._background: Final[set[asyncio.Task[Message | None]]] = set()
        self._number = 0

    def set_owner(self, record: OwnerRecord | None) -> None:
        """Follow the owner that the store names now; keep the last when it is None."""
        if record is None or record == self._record:
            return
        self._record = record
        if self._task is not None:
            self._task.cancel()
        self._task = None
        if record.node != self._node:
            self._task = asyncio.create_task(self._run(record))

    async def close(self) -> None:
        """End the channel."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def notify(self, body: Message) -> None:
        """Send without an answer; what is lost here the owner's watch still sees."""
        if self.is_local:
            task = asyncio.ensure_future(self._local(body))
            self._background.add(task)
            task.add_done_callback(self._background.discard)
        elif self._channel is not None:
            self._channel.post(body)

    @property
    def is_local(self) -> bool:
        """Tell whether this process is the owner."""
        return self._record is not None and self._record.node == self._node

    @property
    def is_up(self) -> bool:
        """Tell whether a question would reach the owner."""
        return self.is_local or self._channel is not None

    async def request(
        self, make_request: Callable[[int], Message], timeout_s: float
    ) -> Message | NoAnswer:
        """Return the owner's answer, or that there was none in time."""
        self._number += 1
        number = self._number
        if self.is_local:
            return await self._local(make_request(number)) or NoAnswer(was_sent=False)
        if self._channel is None or not self._channel.post(make_request(number)):
            return NoAnswer(was_sent=False)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except (TimeoutError, ConnectionError):
            return NoAnswer(was_sent=True)
        finally:
            self._pending.pop(number, None)

    async def _run(self, record: OwnerRecord) -> None:
        while True:
            channel = await self._dial(record)
            if channel is None:
                jitter = self._rng.uniform(0.5, 1.5)
                await asyncio.sleep(self._options.dial_retry_s * jitter)
                continue
            self._channel = channel
            try:
                await self._read(channel, record)
            finally:
                self._channel = None
                self._fail_pending()
                await channel.close()

    async def _dial(self, record: OwnerRecord) -> Channel | None:
        """Open a channel to the owner, directly or through an agent."""
        timeout_s = self._options.dial_timeout_s
        channel = await self._network.dial(record.host, record.port, timeout_s)
        if not isinstance(channel, DialFailed):
            self._log.line("owner_linked", owner=record.node, epoch=record.epoch)
            return channel
        self._log.line("owner_unreachable", owner=record.node, why=channel.reason)
        return None if channel.was_refused else await self._dial_via_agent(record)

    async def _dial_via_agent(self, record: OwnerRecord) -> Channel | None:
        relays = self._relays()
        chosen = self._rng.sample(relays, min(len(relays), N_RELAYS))
        timeout_s = self._options.dial_timeout_s
        relayed = await dial_via_agent(self._network, chosen, None, timeout_s)
        if relayed is None:
            return None
        if relayed.owner is None or relayed.owner.node == self._node:
            # The agent has not heard of any owner after this process.
            await relayed.channel.close()
            return None
        self._log.line(
            "owner_relayed",
            owner=relayed.owner.node,
            epoch=relayed.owner.epoch,
            by=relayed.by.host,
            known=record.epoch,
        )
        return relayed.channel

    async def _read(self, channel: Channel, record: OwnerRecord) -> None:
        while True:
            body = await channel.receive()
            if isinstance(body, ChannelClosed):
                self._log.line("owner_lost", owner=record.node, cause=body.cause.value)
                return
            if isinstance(body, StateReply | PendingCountReply | StoreReply):
                future = self._pending.get(body.number)
                if future is not None and not future.done():
                    future.set_result(body)

    def _fail_pending(self) -> None:
        for future in self._pending.values():
            if not future.done():
                future.set_exception(ConnectionError("the channel ended"))
