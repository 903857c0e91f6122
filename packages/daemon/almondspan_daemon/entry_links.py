"""The agent's side of membership: one channel to each entry of its region.

Entries are known from the settings, from the store at start, and from the `EntryList`
that each entry sends. One supervised task serves each address:

1. Dial the address; after a failure, retry with exponential back-off and jitter.
2. Send `AgentHello`, which names the entries that are already linked, and wait for
   `EntryHello`.
3. If the entry is already linked through another address, for instance behind a load
   balancer, close the connection and wait until any channel ends, or for
   `DUPLICATE_RETRY_S`. Then dial again.
4. Otherwise send the status and read messages until the channel ends, then dial
   again.

An address from the settings is dialled indefinitely. Any other address is dropped
when it is missing from the latest list and `MAX_UNLISTED_FAILURES` dials in a row
have failed.
"""

import asyncio
import logging
import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

import msgspec

from almondspan_daemon.supervisor import Supervisor
from almondspan_decisions.decoding import decode_reason
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

__all__ = ["HostPort", "EntryLinks", "LinkListener"]

INITIAL_DELAY_S: Final = 0.1
MAX_DELAY_S: Final = 5.0
DIAL_TIMEOUT_S: Final = 3.0
HELLO_TIMEOUT_S: Final = 5.0
DUPLICATE_RETRY_S: Final = 30.0
MAX_UNLISTED_FAILURES: Final = 5

HostPort = tuple[str, int]
"""The host (an IP number) and port at which an entry listens for agents."""

_log = logging.getLogger(__name__)


class LinkListener(Protocol):
    """Is notified of the channels to entries and of the messages on them."""

    def entry_joined(self, entry_id: EntryId) -> None:
        """Handle a new channel to an entry."""
        ...

    def entry_left(self, entry_id: EntryId) -> None:
        """Handle the end of the channel to an entry."""
        ...

    def on_entry_message(self, entry_id: EntryId, body: Message) -> None:
        """Handle a message; must not block."""
        ...


@dataclass(slots=True)
class _DialState:
    """State of dialling one address.

    ``is_configured`` marks an address from the settings; ``is_listed`` is False when
    the latest entry list lacks the address.
    """

    is_configured: bool
    is_listed: bool = True
    n_failures: int = 0
    delay_s: float = INITIAL_DELAY_S


class EntryLinks:
    """Channels to all entries of the region, and the dialling of their addresses."""

    def __init__(
        self,
        hello: Callable[[], AgentHello],
        status: Callable[[], AgentStatus],
        channel_options: ChannelOptions,
        tls: Callable[[], ssl.SSLContext | None],
        rng: random.Random,
        supervisor: Supervisor,
        status_interval_s: float = 1.0,
        hello_timeout_s: float = HELLO_TIMEOUT_S,
    ) -> None:
        self._hello = hello
        self._status = status
        self._listener: LinkListener | None = None
        self._channel_options = channel_options
        self._tls = tls
        self._rng = rng
        self._supervisor = supervisor
        self._status_interval_s = status_interval_s
        self._hello_timeout_s = hello_timeout_s
        self._addresses: dict[HostPort, _DialState] = {}
        self._channels: dict[EntryId, StreamChannel] = {}
        self._link_ended = asyncio.Event()
        self._status_due = asyncio.Event()
        self._is_closing = False
        self._n_bytes_closed = 0
        self.n_dials = 0
        self.n_posts_without_entry = 0

    def set_listener(self, listener: LinkListener) -> None:
        """Set the listener; call this before `start`."""
        self._listener = listener

    async def start(self, addresses: list[HostPort]) -> None:
        """Start dialling `addresses` and sending the status at each interval."""
        for address in addresses:
            self._start_dialling(address, _DialState(is_configured=True))
        self._supervisor.spawn("statuses", self._send_statuses)

    async def close(self) -> None:
        """Send `Goodbye` to every entry and close the channels."""
        self._is_closing = True
        for channel in list(self._channels.values()):
            channel.post(Goodbye())
        await self._supervisor.close()

    def add(self, address: HostPort) -> None:
        """Start dialling an address, unless it is already dialled."""
        known = self._addresses.get(address)
        if known is not None:
            known.is_listed = True
        elif not self._is_closing:
            self._start_dialling(address, _DialState(is_configured=False))

    def _start_dialling(self, address: HostPort, dial_state: _DialState) -> None:
        self._addresses[address] = dial_state
        self._supervisor.spawn(
            f"link {address[0]}:{address[1]}",
            lambda: self._run_dial_loop(address, dial_state),
        )

    def replace_list(self, entries: EntryList) -> None:
        """Dial the listed entries; an unlisted one is dropped when dials fail."""
        named = {(entry.host, entry.port) for entry in entries.entries}
        for address, dial_state in self._addresses.items():
            dial_state.is_listed = address in named
        for address in sorted(named):
            self.add(address)

    def entry_ids(self) -> list[EntryId]:
        """Return the entries with an open channel."""
        return list(self._channels)

    def addresses(self) -> list[HostPort]:
        """Return the addresses that are dialled or linked."""
        return list(self._addresses)

    async def send(self, entry_id: EntryId, body: Message) -> bool:
        """Send a message to one entry, waiting while the channel's buffer is full."""
        channel = self._channels.get(entry_id)
        return channel is not None and await channel.send(body)

    def post(self, entry_id: EntryId, body: Message) -> bool:
        """Send a message to one entry without waiting; return False if dropped."""
        channel = self._channels.get(entry_id)
        return channel is not None and channel.post(body)

    def post_routed(self, to: str, body: Message) -> bool:
        """Send a routed message to the entry `to` itself, or through any entry."""
        if to in self._channels:
            return self.post(EntryId(to), body)
        entry_ids = self.entry_ids()
        self._rng.shuffle(entry_ids)
        # A channel with a full buffer drops the message; another one may accept it.
        if any(self.post(entry_id, body) for entry_id in entry_ids):
            return True
        self.n_posts_without_entry += 1
        return False

    def n_bytes(self) -> int:
        """Return the bytes sent and received on all channels, closed ones included."""
        now = sum(c.n_bytes_sent + c.n_bytes_received for c in self._channels.values())
        return self._n_bytes_closed + now

    def status_changed(self) -> None:
        """Send the status now instead of at the end of the interval."""
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

    async def _run_dial_loop(self, address: HostPort, dial_state: _DialState) -> None:
        while not self._is_closing:
            await self._connect_once(address, dial_state)
            dial_state.n_failures += 1
            is_wanted = dial_state.is_configured or dial_state.is_listed
            if not is_wanted and dial_state.n_failures >= MAX_UNLISTED_FAILURES:
                del self._addresses[address]
                return
            await asyncio.sleep(dial_state.delay_s * (0.5 + self._rng.random()))
            dial_state.delay_s = min(2 * dial_state.delay_s, MAX_DELAY_S)

    async def _connect_once(self, address: HostPort, dial_state: _DialState) -> None:
        """Dial once and, if an entry answers, serve the channel until it ends."""
        channel = await self._dial(address)
        if channel is None:
            return
        try:
            entry_id = await self._exchange_hellos(channel)
            if entry_id is None:
                return
            dial_state.n_failures = 0
            dial_state.delay_s = INITIAL_DELAY_S
            if entry_id not in self._channels:
                await self._serve_link(entry_id, channel)
                return
            # Taken before the channel is closed: the link may end during the close.
            link_ended = self._link_ended
        finally:
            await channel.close()
        await self._wait_before_redial(link_ended)

    async def _wait_before_redial(self, link_ended: asyncio.Event) -> None:
        """Wait for the end of a link, at most for `DUPLICATE_RETRY_S`."""
        try:
            async with asyncio.timeout(DUPLICATE_RETRY_S):
                await link_ended.wait()
        except TimeoutError:
            return

    async def _dial(self, address: HostPort) -> StreamChannel | None:
        self.n_dials += 1
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *address, ssl=self._tls()
                )
        except (OSError, TimeoutError):
            return None
        except (ValueError, OverflowError) as error:
            # Not an address: another writer may have registered it.
            reason = decode_reason(error)
            _log.warning("entry not dialled", extra={"port": address[1], "why": reason})
            return None
        channel = StreamChannel(reader, writer, self._channel_options)
        await channel.start()
        return channel

    async def _exchange_hellos(self, channel: StreamChannel) -> EntryId | None:
        """Return the peer's id, or None if it does not answer as an entry in time."""
        linked = tuple(self._channels)
        hello = msgspec.structs.replace(self._hello(), linked_entries=linked)
        await channel.send(hello)
        try:
            async with asyncio.timeout(self._hello_timeout_s):
                answer = await channel.receive()
        except TimeoutError:
            return None
        return answer.entry_id if isinstance(answer, EntryHello) else None

    async def _serve_link(self, entry_id: EntryId, channel: StreamChannel) -> None:
        listener = self._listener
        assert listener is not None
        self._channels[entry_id] = channel
        try:
            channel.post(self._status())
            _log.info("linked to entry", extra={"entry": entry_id})
            listener.entry_joined(entry_id)
            await self._read_messages(entry_id, channel, listener)
        finally:
            del self._channels[entry_id]
            self._n_bytes_closed += channel.n_bytes_sent + channel.n_bytes_received
            # Wakes all who took this event; later ones get one for the next end.
            self._link_ended.set()
            self._link_ended = asyncio.Event()
            listener.entry_left(entry_id)

    async def _read_messages(
        self, entry_id: EntryId, channel: StreamChannel, listener: LinkListener
    ) -> None:
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
            listener.on_entry_message(entry_id, body)
