"""Channels relayed by an agent, for processes that can't reach each other directly.

A process opens a channel to any agent that it can reach and sends a `RelayRequest`. The
agent connects to the requested address, answers `RelayReady` and then forwards every
message in both directions until either side closes. A request without an address
connects to the agent's current owner.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import OwnerHello, RelayReady, RelayRequest
from almondspan_jobs.network import DialFailed, Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import AgentRecord, OwnerRecord
from almondspan_wire.channel import Channel, ChannelClosed

__all__ = ["Relay", "RelayedChannel", "dial_via_agent"]

MAX_RELAYED: Final = 64
"""Limit of pairs of channels that one agent joins at the same time."""


@dataclass(frozen=True, slots=True)
class RelayedChannel:
    """A channel through an agent; `owner` is set if it leads to the agent's owner."""

    channel: Channel
    by: AgentRecord
    owner: OwnerRecord | None


async def dial_via_agent(
    network: Network,
    relays: Sequence[AgentRecord],
    target: AgentRecord | None,
    timeout_s: float,
) -> RelayedChannel | None:
    """Open a channel through the first agent that can reach the target.

    Parameters
    ----------
    target : AgentRecord or None
        None for the agent's current owner.
    timeout_s : float
        For each agent, in seconds.
    """
    request = RelayRequest("", 0)
    if target is not None:
        request = RelayRequest(target.host, target.port)
    for relay in relays:
        channel = await network.dial(relay.host, relay.port, timeout_s)
        if isinstance(channel, DialFailed):
            continue
        reply = None
        try:
            reply = await _request_relay(channel, request, timeout_s)
        finally:
            # Also when the caller is cancelled.
            if reply is None:
                await channel.close()
        if reply is not None:
            owner = None
            if target is None:
                owner = OwnerRecord(reply.epoch, reply.owner, reply.host, reply.port)
            return RelayedChannel(channel, relay, owner)
    return None


async def _request_relay(
    channel: Channel, request: RelayRequest, timeout_s: float
) -> RelayReady | None:
    try:
        async with asyncio.timeout(timeout_s):
            await channel.send(request)
            reply = await channel.receive()
    except TimeoutError:
        return None
    return reply if isinstance(reply, RelayReady) else None


class Relay:
    """Joins channels of other processes, on an agent."""

    def __init__(self, network: Network, options: JobOptions, log: EventLog) -> None:
        self._network: Final = network
        self._options: Final = options
        self._log: Final = log
        self._n_joined = 0
        """Pairs that are joined or whose target is being dialled."""

    async def serve(
        self, channel: Channel, request: RelayRequest, owner: OwnerHello | None
    ) -> None:
        """Join a channel with one to the target until either ends."""
        host, port = request.host, request.port
        if not host and owner is not None:
            host, port = owner.host, owner.port
        if not host or self._n_joined >= MAX_RELAYED:
            self._log.line("relay_refused", host=host, n_joined=self._n_joined)
            return
        ready = RelayReady(0, "", host, port)
        if owner is not None:
            ready = RelayReady(owner.epoch, owner.owner, host, port)
        self._n_joined += 1
        try:
            await self._join_target(channel, ready)
        finally:
            self._n_joined -= 1

    async def _join_target(self, channel: Channel, ready: RelayReady) -> None:
        host, port = ready.host, ready.port
        timeout_s = self._options.dial_timeout_s
        target = await self._network.dial(host, port, timeout_s)
        if isinstance(target, DialFailed):
            self._log.line("relay_unreachable", host=host, port=port, why=target.reason)
            return
        self._log.line("relay_joined", host=host, port=port)
        try:
            await channel.send(ready)
            await _join(channel, target)
        finally:
            await target.close()
            self._log.line("relay_parted", host=host, port=port)


async def _join(one: Channel, other: Channel) -> None:
    """Forward messages in both directions until one channel closes."""
    pumps = [
        asyncio.create_task(_pump(one, other)),
        asyncio.create_task(_pump(other, one)),
    ]
    try:
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)


async def _pump(source: Channel, target: Channel) -> None:
    while True:
        body = await source.receive()
        if isinstance(body, ChannelClosed) or not await target.send(body):
            return
