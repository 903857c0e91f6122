"""Queries entries for candidate agents and matches their answers to the queries.

Each retry goes to another entry, so that an unresponsive one costs a single timeout.
An answer that arrives after its timeout matches no pending query and is dropped.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import msgspec

from almondspan_decisions.ids import EntryId
from almondspan_wire.codec import Message
from almondspan_wire.membership import CandidatesFound, FindCandidates

__all__ = ["CandidateFinder"]

ANSWER_TIMEOUT_S: Final = 0.5
MAX_TRIES: Final = 3


class CandidateFinder:
    """The agent's side of `FindCandidates`."""

    def __init__(
        self,
        entry_ids: Callable[[], list[EntryId]],
        post: Callable[[EntryId, Message], bool],
        rng: random.Random,
    ) -> None:
        self._entry_ids = entry_ids
        self._post = post
        self._rng = rng
        self._pending: dict[int, asyncio.Future[CandidatesFound]] = {}
        self._last_id = 0
        self.n_unanswered = 0

    async def find(self, query: FindCandidates) -> CandidatesFound | None:
        """Return an entry's answer, or None if no entry answered in time.

        At most `MAX_TRIES` entries are queried, one after another.
        """
        entry_ids = self._entry_ids()
        self._rng.shuffle(entry_ids)
        for entry_id in entry_ids[:MAX_TRIES]:
            answer = await self._query_entry(entry_id, query)
            if answer is not None:
                return answer
        return None

    async def _query_entry(
        self, entry_id: EntryId, query: FindCandidates
    ) -> CandidatesFound | None:
        self._last_id += 1
        query_id = self._last_id
        answer = asyncio.get_running_loop().create_future()
        self._pending[query_id] = answer
        try:
            if not self._post(
                entry_id, msgspec.structs.replace(query, query_id=query_id)
            ):
                return None
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                found: CandidatesFound = await answer
                return found
        except TimeoutError:
            self.n_unanswered += 1
            return None
        finally:
            del self._pending[query_id]

    def on_found(self, found: CandidatesFound) -> None:
        """Complete the query that an answer belongs to; drop a late answer."""
        pending = self._pending.get(found.query_id)
        if pending is not None and not pending.done():
            pending.set_result(found)
