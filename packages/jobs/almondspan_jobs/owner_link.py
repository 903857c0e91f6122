"""An entry's link to the owner, for requests and notifications.

If the owner is in this process, messages are handled locally. Otherwise the link keeps
one channel to the owner recorded in the store and redials it when it closes. An owner
that can't be reached directly is dialled through an agent, which may know a later owner
than this entry when the entry can't read the store. Each request has a number that its
answer repeats; a request fails when the channel closes or the time limit is reached.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    AdmissionUpdate,
    PendingCountReply,
    StateReply,
    StoreReply,
)
from almondspan_jobs.network import DialFailed, Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.recent_notices import RecentNotices
from almondspan_jobs.records import AgentRecord, OwnerRecord
from almondspan_jobs.relay import dial_via_agent
from almondspan_jobs.supervision import keep_running
from almondspan_wire.channel import Channel, ChannelClosed
from almondspan_wire.codec import Message

__all__ = ["NoAnswer", "OwnerLink"]

N_RELAYS: Final = 3
"""Agents that are tried as relays to the owner."""

LocalHandler = Callable[[Message], Awaitable[Message | None]]


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A request got no answer; the owner has not received it unless `was_sent`."""

    was_sent: bool


class OwnerLink:
    """Sends messages to the process that owns the jobs."""

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
        self._is_relayed = False
        """Whether the channel leads through an agent, perhaps to a later owner."""
        self._task: asyncio.Task[None] | None = None
        self._pending: Final[dict[int, asyncio.Future[Message]]] = {}
        self._background: Final[set[asyncio.Task[Message | None]]] = set()
        self._last_number = 0
        self._notices: Final = RecentNotices()

    def set_owner(self, record: OwnerRecord | None) -> None:
        """Connect to the owner in the record; None keeps the previous one."""
        if record is None or record == self._record:
            return
        self._record = record
        if self._task is not None:
            self._task.cancel()
        self._task = None
        if record.node != self._node:
            self._task = asyncio.create_task(
                keep_running(
                    "owner_link",
                    lambda: self._run(record),
                    self._options.dial_retry_s,
                    self._log,
                )
            )

    async def close(self) -> None:
        """Close the channel."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def notify(self, body: Message) -> None:
        """Send a notification, and repeat it on a channel that is opened soon after.

        The owner's store watch makes up for one that is lost all the same.
        """
        self._notices.add(body)
        if self.is_local:
            task = asyncio.ensure_future(self._local(body))
            self._background.add(task)
            task.add_done_callback(self._background.discard)
        elif self._channel is not None:
            self._channel.post(body)

    @property
    def is_local(self) -> bool:
        """Return whether this process is the owner."""
        return self._record is not None and self._record.node == self._node

    @property
    def is_up(self) -> bool:
        """Return whether the owner is local or a channel to it is open."""
        return self.is_local or self._channel is not None

    @property
    def answers_admission(self) -> bool:
        """Return whether the owner can be asked for the figures of the admission."""
        if self._record is None or not self._record.answers_admission:
            return False
        return self.is_local or (self._channel is not None and not self._is_relayed)

    async def request(
        self, make_request: Callable[[int], Message], timeout_s: float
    ) -> Message | NoAnswer:
        """Send a request; return its answer, or `NoAnswer` after a failure."""
        self._last_number += 1
        number = self._last_number
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
            for body in self._notices.latest():
                channel.post(body)
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
        self._is_relayed = isinstance(channel, DialFailed)
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
            # The agent knows no owner later than this process.
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
                self._log.line(
                    "owner_lost",
                    owner=record.node,
                    cause=body.cause.value,
                    reason=body.reason,
                )
                return
            if isinstance(
                body, StateReply | PendingCountReply | StoreReply | AdmissionUpdate
            ):
                future = self._pending.get(body.number)
                if future is not None and not future.done():
                    future.set_result(body)

    def _fail_pending(self) -> None:
        for future in self._pending.values():
            if not future.done():
                future.set_exception(ConnectionError("the channel to the owner closed"))
