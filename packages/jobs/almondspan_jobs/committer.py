"""Stores the owner's decisions in groups of writes conditioned on the head key.

Every group requires the head's last known revision and rewrites the head, so the groups
of all owners are totally ordered. An unanswered group is sent again under the same
condition: at most one of the sends takes effect, and the nonce in the head shows
whether one did. A head written by another process means that the ownership is lost; it
is never regained under the same epoch. A group that the store will never take is not
sent again.
"""

import asyncio
import secrets
from enum import Enum
from typing import Final

from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import HEAD_KEY, HeadRecord, decode_record, encode_record
from almondspan_platform.group_store import (
    GroupConflict,
    GroupRefused,
    GroupStore,
    Write,
    WriteGroup,
)
from almondspan_platform.store import (
    Found,
    KeyValue,
    LeaseLapsed,
    Revision,
    Swapped,
)

__all__ = ["CommitResult", "HeadCommitter"]


class CommitResult(Enum):
    """The outcome of a commit."""

    STORED = "stored"
    REFUSED = "refused"
    """Nothing of it is stored, and the store will not take it: a value is too large, or
    a lease has ended."""
    LOST = "lost"
    """The ownership is lost."""


class HeadCommitter:
    """Writes the decisions of one epoch."""

    def __init__(
        self,
        store: GroupStore,
        head: HeadRecord,
        revision: Revision,
        confirmed_s: float,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._store: Final = store
        self._head = head
        self._revision = revision
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._lock: Final = asyncio.Lock()
        self.confirmed_s = confirmed_s
        """Send time of the latest store call that confirmed the ownership."""
        self.is_lost = False

    @property
    def epoch(self) -> int:
        """The epoch of the owner."""
        return self._head.epoch

    @property
    def revision(self) -> Revision:
        """The revision of the latest group that is known to be stored."""
        return self._revision

    async def commit(
        self, writes: tuple[Write, ...], removals: tuple[str, ...] = ()
    ) -> CommitResult:
        """Store a group."""
        async with self._lock:
            if self.is_lost:
                return CommitResult.LOST
            nonce = secrets.token_hex(8)
            head = HeadRecord(self.epoch, self._head.node, nonce)
            group = WriteGroup(
                ((HEAD_KEY, self._revision),),
                (Write(HEAD_KEY, encode_record(head)), *writes),
                removals,
            )
            return await self._send(group, head)

    async def _send(self, group: WriteGroup, head: HeadRecord) -> CommitResult:
        n_tries = 0
        while True:
            n_tries += 1
            sent_s = steady_s()
            outcome = await self._store.commit(group)
            self._metrics.observe_s("commit", steady_s() - sent_s)
            if isinstance(outcome, Swapped):
                self._adopt(head, outcome.revision, sent_s)
                return CommitResult.STORED
            if isinstance(outcome, GroupConflict):
                return self._on_other_head(outcome.item(HEAD_KEY), head, sent_s)
            if isinstance(outcome, GroupRefused | LeaseLapsed):
                self._log.line("commit_refused", reason=str(outcome), of=head.nonce)
                if n_tries == 1:
                    return CommitResult.REFUSED
                return await self._find_out(head)
            if self.is_lost:
                return CommitResult.LOST
            self._log.line(
                "commit_unanswered", reason=str(outcome), n_tries=n_tries, of=head.nonce
            )
            await asyncio.sleep(self._options.retry_s)

    async def _find_out(self, head: HeadRecord) -> CommitResult:
        """Return what became of a group that was refused after an unanswered send."""
        while not self.is_lost:
            sent_s = steady_s()
            found = await self._store.get(HEAD_KEY)
            if isinstance(found, Found):
                item = found.item
                if item is not None and item.revision == self._revision:
                    return CommitResult.REFUSED
                return self._on_other_head(item, head, sent_s)
            self._log.line("commit_unanswered", reason=found.reason, of=head.nonce)
            await asyncio.sleep(self._options.retry_s)
        return CommitResult.LOST

    def _adopt(self, head: HeadRecord, revision: Revision, sent_s: float) -> None:
        self._head = head
        self._revision = revision
        self.confirmed_s = sent_s

    def _on_other_head(
        self, item: KeyValue | None, head: HeadRecord, sent_s: float
    ) -> CommitResult:
        """Return whether the head has changed by an earlier send of the same group."""
        found = decode_record(HeadRecord, item.value) if item is not None else None
        if item is not None and found == head:
            self._adopt(head, item.revision, sent_s)
            return CommitResult.STORED
        self.lose(str(found))
        return CommitResult.LOST

    async def confirm(self) -> None:
        """Confirm the ownership by reading the head."""
        async with self._lock:
            sent_s = steady_s()
            outcome = await self._store.get(HEAD_KEY)
            if not isinstance(outcome, Found):
                self._log.line("confirm_unanswered", reason=str(outcome))
                return
            if outcome.item is None or outcome.item.revision != self._revision:
                self.lose(
                    f"the head is at revision {outcome.item and outcome.item.revision}"
                )
                return
            self.confirmed_s = sent_s

    def lose(self, reason: str) -> None:
        """Give up the ownership permanently."""
        if self.is_lost:
            return
        self.is_lost = True
        self._log.line("ownership_lost", epoch=self.epoch, reason=reason)
