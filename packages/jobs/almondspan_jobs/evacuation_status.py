"""What an entry tells operators of the evacuations, and how they ask for it."""

import asyncio
import math
from collections import Counter
from typing import Final

from almondspan_jobs.clocks import steady_s
from almondspan_jobs.evacuations import evacuation_terms
from almondspan_jobs.leadership import Leadership
from almondspan_jobs.messages import (
    EvacuationsReply,
    EvacuationsRequest,
    RemainingTaskRow,
)
from almondspan_jobs.network import DialFailed, Network
from almondspan_jobs.options import JobOptions

__all__ = ["ask_evacuations", "evacuation_status"]

MAX_PLACES: Final = 1_000
MAX_TASKS: Final = 500
"""Largest number of tasks that one reply names."""

ASK_TIMEOUT_S: Final = 3.0
MAX_HOPS: Final = 3
"""An entry names the owner, which may have changed once more when it is asked."""


def evacuation_status(
    request: EvacuationsRequest, leadership: Leadership, options: JobOptions
) -> EvacuationsReply:
    """Return what an entry knows: the requests, and if it owns the jobs, the tasks."""
    now_s = steady_s()
    requests = leadership.evacuations
    is_read = requests.read_s > -math.inf
    owner, record = leadership.owner, leadership.owner_record
    remaining = owner.scheduler.evacuator.remaining() if owner is not None else []
    counts = Counter((task.worker.place, task.outlook.value) for task in remaining)
    return EvacuationsReply(
        request.number,
        evacuation_terms(options).is_used,
        owner is not None and owner.is_serving,
        record.node if record is not None else "",
        record.host if record is not None else "",
        record.port if record is not None else 0,
        int((now_s - requests.read_s) * 1000) if is_read else -1,
        [
            (place, int((now_s - since_s) * 1000))
            for place, since_s in list(requests.since_s.items())[:MAX_PLACES]
        ],
        [(place, outlook, n) for (place, outlook), n in sorted(counts.items())],
        [
            RemainingTaskRow(
                task.name,
                task.worker.incarnation.worker_id,
                task.worker.place,
                task.outlook.value,
            )
            for task in remaining[:MAX_TASKS]
        ],
    )


async def ask_evacuations(
    network: Network, host: str, port: int
) -> EvacuationsReply | str:
    """Ask an entry, and the owner that it names; return a reply or what went wrong.

    Without an answer of the owner this is the first entry's reply.
    """
    first: EvacuationsReply | None = None
    for number in range(MAX_HOPS):
        reply = await _ask(network, host, port, number)
        if isinstance(reply, str):
            return first or reply
        first = first or reply
        if reply.is_owner:
            return reply
        if not reply.host or (reply.host, reply.port) == (host, port):
            break
        host, port = reply.host, reply.port
    return first or "no entry was asked"


async def _ask(
    network: Network, host: str, port: int, number: int
) -> EvacuationsReply | str:
    channel = await network.dial(host, port, ASK_TIMEOUT_S)
    if isinstance(channel, DialFailed):
        return f"{host}:{port} can't be reached: {channel.reason}"
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            await channel.send(EvacuationsRequest(number))
            reply = await channel.receive()
    except TimeoutError:
        return f"{host}:{port} does not answer"
    finally:
        await channel.close()
    if isinstance(reply, EvacuationsReply):
        return reply
    return f"{host}:{port} is no entry of this release: {reply!r:.200}"
