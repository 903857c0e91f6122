"""Each team's usage over all shards of a region, for the order of the queues.

The owner of a shard writes the shard's usage by team to a key of its own when it has
changed, and each host reads all of these keys together. Both happen once per
interval, so the values lag by one or two intervals. They only order queues: a team
over its quota waits behind the others and uses what they leave free.

A new owner of a shard continues its key at whatever revision it finds there. Nothing
is written or read while no team is configured.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from almondspan_decisions.decoding import (
    DECODE_ERRORS,
    MAX_REASON_CHARS,
    decode_reason,
)
from almondspan_decisions.ids import RegionName, ShardId, TeamName
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_platform.store import (
    ABSENT_REVISION,
    Conflict,
    Revision,
    Store,
    Swapped,
    Unavailable,
)

__all__ = ["TeamUsage", "UsageByTeam"]

UsageByTeam = dict[TeamName, Shape]

_log = logging.getLogger(__name__)

_ENCODER: Final = msgspec.msgpack.Encoder(order="deterministic")
_DECODER: Final = msgspec.msgpack.Decoder(UsageByTeam)


class TeamUsage:
    """Exchanges usage by team between the owners of a region's shards."""

    def __init__(
        self,
        region: RegionName,
        store: Store,
        interval_s: float,
        rng: random.Random,
        own_usage: Callable[[], Mapping[ShardId, UsageByTeam]],
    ) -> None:
        self.is_enabled = False
        self._prefix = f"usage/{region}/"
        self._store = store
        self._interval_s = interval_s
        self._rng = rng
        self._own_usage = own_usage
        self._revisions: dict[ShardId, Revision] = {}
        self._written: dict[ShardId, bytes] = {}
        self._read: dict[ShardId, UsageByTeam] = {}

    def in_other_shards(self, shard_id: ShardId) -> UsageByTeam:
        """Return the usage by team in all other shards."""
        total: UsageByTeam = {}
        for other, usage in self._read.items():
            if other == shard_id:
                continue
            for team, shape in usage.items():
                total[team] = total.get(team, EMPTY_SHAPE) + shape
        return total

    async def run(self) -> None:
        """Write and read the usage once per interval, until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s * (0.8 + 0.4 * self._rng.random()))
            own = self._own_usage()
            if not self.is_enabled or not own:
                continue
            for shard_id, usage in own.items():
                await self._write(shard_id, usage)
            await self._read_all()

    async def _write(self, shard_id: ShardId, usage: UsageByTeam) -> None:
        data = _ENCODER.encode(usage)
        if self._written.get(shard_id) == data:
            return
        expected = self._revisions.get(shard_id, ABSENT_REVISION)
        key = f"{self._prefix}{shard_id}"
        answer = await self._store.compare_and_swap(key, expected, data)
        if isinstance(answer, Swapped):
            self._revisions[shard_id] = answer.revision
            self._written[shard_id] = data
        elif isinstance(answer, Conflict):
            # Another owner wrote the key, or an answer was lost: the next interval
            # writes over the revision found now.
            item = answer.item
            revision = ABSENT_REVISION if item is None else item.revision
            self._revisions[shard_id] = revision
            self._written.pop(shard_id, None)

    async def _read_all(self) -> None:
        found = await self._store.get_range(self._prefix)
        if isinstance(found, Unavailable):
            return
        self._read = {}
        for item in found.items:
            try:
                shard_id = ShardId(int(item.key.removeprefix(self._prefix)))
                self._read[shard_id] = _DECODER.decode(item.value)
            except DECODE_ERRORS as error:
                extra = {
                    "key": item.key[:MAX_REASON_CHARS],
                    "why": decode_reason(error),
                }
                _log.warning("usage unreadable", extra=extra)
