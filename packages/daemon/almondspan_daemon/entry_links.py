"""The agent's half of membership: one channel to each entry of its region.

The set of entries comes from the settings, from the store at start, and from the
`EntryList` of every entry. One task per entry:

1. Dial the entry, with an exponential delay and jitter between failures.
2. Send `AgentHello` and a first status; wait for `EntryHello`.
3. Read messages until the channel ends, then dial again on a new connection. An
   address that no list names any more is given up after failed dials.
"""

import asyncio
import logging
import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from almondspan_decisions.ids import EntryId
from almondspan_wire.channel import ChannelClosed, ChannelOptions, StreamChannel
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    EntryHello,
    EntryList,
    Goodbye,
)

__all__ = ["EntryAddressPair", "EntryLinks", "LinkListener"]

FIRST_DELAY_S: Final = 0.1
LAST_DELAY_S: Final = 5.0
DIAL_TIMEOUT_S: Final = 3.0
N_DIALS_OF_UNLISTED: Final = 5

EntryAddressPair = tuple[str, int]
"""The host (an IP number) and port at which an entry listens for agents."""

_log = logging.getLogger(__name__)


class LinkListener(Protocol):
    """What the agent does with the messages of its entries."""

    def entry_joined(self, entry_id: EntryId) -> None:
        """Note that a channel to an entry is open."""
        ...

    def entry_left(self, entry_id: EntryId) -> None:
        """Note that the channel to an entry has ended."""
        ...

    def on_entry_message(self, entry_id: EntryId, body: Message) -> None:
        """Handle a message; must not block."""
        ...


@dataclass(slots=True)
class _Dialled:
    """One address; ``listed`` is False once an entry list left it out."""

    listed: bool = True
    n_failures: int = 0
    task: asyncio.Task[None] | None = field(default=None)


class EntryLinks:
    """Channels to all entries of the region."""

    def __init__(
        self,
        hello: Callable[[], AgentHello],
        status: Callable[[], AgentStatus],
        listener: LinkListener,
        channel_options: ChannelOptions,
        tls: Callable[[], ssl.SSLContext | None],
        rng: random.Random,
        status_interval_s: float = 1.0,
    ) -> None:
        self._hello = hello
        self._status = status
        self._listener = listener
        self._channel_options = channel_options
        self._tls = tls
        self._rng = rng
        self._status_interval_s = status_interval_s
        self._addresses: dict[EntryAddressPair, _Dialled] = {}
        self._channels: dict[EntryId, StreamChannel] = {}
        self._status_task: asyncio.Task[None] | None = None
        self._status_due = asyncio.Event()
        self._is_closing = False
        self._n_bytes_of_ended = 0
        self.n_dials = 0
        self.n_posts_without_entry = 0

    async def start(self, addresses: list[EntryAddressPair]) -> None:
        """Begin to dial `addresses` and to send the status each interval."""
        for address in addresses:
            self.add(address)
        self._status_task = asyncio.create_task(self._send_statuses())

    async def close(self) -> None:
        """Say goodbye to every entry and close the channels."""
        self._is_closing = True
        tasks = [dialled.task for dialled in self._addresses.values() if dialled.task]
        if self._status_task is not None:
            tasks.append(self._status_task)
        for channel in list(self._channels.values()):
            channel.post(Goodbye())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add(self, address: EntryAddressPair) -> None:
        """Dial an address, unless that is being done already."""
        known = self._addresses.get(address)
        if known is not None:
            known.listed = True
            return
        dialled = _Dialled()
        self._addresses[address] = dialled
        dialled.task = asyncio.create_task(self._keep_dialled(address, dialled))

    def replace_list(self, entries: EntryList) -> None:
        """Dial the entries of a list; others are given up once they fail."""
        named = {(entry.host, entry.port) for entry in entries.entries}
        for address, dialled in self._addresses.items():
            dialled.listed = address in named
        for address in sorted(named):
            self.add(address)

    def entry_ids(self) -> list[EntryId]:
        """Return the entries with an open channel."""
        return list(self._channels)

    async def send(self, entry_id: EntryId, body: Message) -> bool:
        """Send a message to one entry, waiting while its channel is full."""
        channel = self._channels.get(entry_id)
        return channel is not None and await channel.send(body)

    def post(self, entry_id: EntryId, body: Message) -> bool:
        """Send a message to one entry without waiting."""
        channel = self._channels.get(entry_id)
        return channel is not None and channel.post(body)

    def post_mail(self, to: str, body: Message) -> bool:
        """Send mail: to the entry `to` itself, or through any entry."""
        if to in self._channels:
            return self.post(EntryId(to), body)
        if not self._channels:
            self.n_posts_without_entry += 1
            return False
        return self.post(self._rng.choice(list(self._channels)), body)

    def n_bytes(self) -> int:
        """Return the bytes carried in both directions by all channels so far."""
        now = sum(c.n_bytes_sent + c.n_bytes_received for c in self._channels.values())
        return self._n_bytes_of_ended + now

    def status_changed(self) -> None:
        """Send the status now rather than at the end of the interval."""
        self._status_due.set()

    async def _send_statuses(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._status_interval_s):
                    await self._status_due.wait()
            except TimeoutError:
                pass
            self._status_due.clear()
            status = self._status()
            for channel in list(self._channels.values()):
                channel.post(status)

    async def _keep_dialled(self, address: EntryAddressPair, dialled: _Dialled) -> None:
        delay_s = FIRST_DELAY_S
        while not self._is_closing:
            channel = await self._dial(address)
            entry_id = None if channel is None else await self._greet(channel)
            if channel is not None and entry_id is not None:
                dialled.n_failures = 0
                delay_s = FIRST_DELAY_S
                await self._follow(entry_id, channel)
            dialled.n_failures += 1
            if not dialled.listed and dialled.n_failures >= N_DIALS_OF_UNLISTED:
                self._addresses.pop(address, None)
                return
            await asyncio.sleep(delay_s * (0.5 + self._rng.random()))
            delay_s = min(2 * delay_s, LAST_DELAY_S)

    async def _dial(self, address: EntryAddressPair) -> StreamChannel | None:
        self.n_dials += 1
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *address, ssl=self._tls()
                )
        except (OSError, TimeoutError):
            return None
        channel = StreamChannel(reader, writer, self._channel_options)
        await channel.start()
        return channel

    async def _greet(self, channel: StreamChannel) -> EntryId | None:
        await channel.send(self._hello())
        answer = await channel.receive()
        if isinstance(answer, EntryHello):
            return answer.entry_id
        await channel.close()
        return None

    async def _follow(self, entry_id: EntryId, channel: StreamChannel) -> None:
        if entry_id in self._channels:
            # Two addresses lead to one entry: the balancer's and its own.
            await channel.close()
            return
        self._channels[entry_id] = channel
        channel.post(self._status())
        _log.info("linked to entry", extra={"entry": entry_id})
        self._listener.entry_joined(entry_id)
        try:
            await self._read(entry_id, channel)
        finally:
            del self._channels[entry_id]
            self._n_bytes_of_ended += channel.n_bytes_sent + channel.n_bytes_received
            self._listener.entry_left(entry_id)
            await channel.close()

    async def _read(self, entry_id: EntryId, channel: StreamChannel) -> None:
        while True:
            body = await channel.receive()
            if isinstance(body, ChannelClosed):
                _log.info(
                    "entry left",
                    extra={"entry": entry_id, "cause": body.cause.value},
                )
                return
            if isinstance(body, Goodbye):
                return
            if isinstance(body, EntryList):
                self.replace_list(body)
                continue
            self._listener.on_entry_message(entry_id, body)
