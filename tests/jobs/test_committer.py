"""Conditional groups of decisions with lost answers and competing owners."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator

import pytest
from virtual_loop import VirtualLoop

from almondspan_jobs import clocks
from almondspan_jobs.committer import CommitResult, HeadCommitter
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import HEAD_KEY, HeadRecord, encode_record
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_platform.store import Swapped
from almondspan_standins.memory_group_store import MemoryGroupStore, StoreFaults


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


class CommitterHarness:
    """A store with a head, and committers for it."""

    def __init__(self) -> None:
        self.store = MemoryGroupStore(random.Random(3))

    def write_head(self, epoch: int) -> tuple[HeadRecord, Swapped]:
        head = HeadRecord(epoch, f"node{epoch}", f"nonce{epoch}")
        write = Write(HEAD_KEY, encode_record(head))
        outcome = self.store.commit(WriteGroup(writes=(write,)))
        assert isinstance(outcome, Swapped)
        return head, outcome

    def committer(self, epoch: int, faults: StoreFaults) -> HeadCommitter:
        head, outcome = self.write_head(epoch)
        return HeadCommitter(
            self.store.client(faults),
            head,
            outcome.revision,
            0.0,
            JobOptions(),
            Log(),
            Metrics(),
        )

    def value(self, key: str) -> bytes | None:
        item = self.store.get(key)
        return item.value if item is not None else None


@pytest.fixture
def run_test() -> Iterator[
    Callable[[Callable[[CommitterHarness], Awaitable[None]]], None]
]:
    loop = VirtualLoop()
    clocks.use_clocks(loop.time)

    def run(body: Callable[[CommitterHarness], Awaitable[None]]) -> None:
        async def inner() -> None:
            await body(CommitterHarness())

        loop.run_until_complete(inner())

    yield run
    clocks.use_clocks()
    loop.close()


RunTest = Callable[[Callable[[CommitterHarness], Awaitable[None]]], None]


def test_earlier_owner_can_write_nothing(run_test: RunTest) -> None:
    async def body(harness: CommitterHarness) -> None:
        first = harness.committer(1, StoreFaults())
        assert await first.commit((Write("k", b"first"),)) is CommitResult.STORED
        second = harness.committer(2, StoreFaults())
        assert await first.commit((Write("k", b"late"),)) is CommitResult.LOST
        assert first.is_lost
        assert await second.commit((Write("k", b"second"),)) is CommitResult.STORED
        assert harness.value("k") == b"second"

    run_test(body)


def test_unanswered_group_is_applied_once(run_test: RunTest) -> None:
    async def body(harness: CommitterHarness) -> None:
        faults = StoreFaults(lost_share=1.0)
        committer = harness.committer(1, faults)
        asyncio.get_running_loop().call_later(0.5, setattr, faults, "lost_share", 0.0)
        n_before = harness.store.n_commits
        assert await committer.commit((Write("k", b"v"),)) is CommitResult.STORED
        assert harness.store.n_commits == n_before + 1
        assert await committer.commit((Write("k", b"w"),)) is CommitResult.STORED
        assert harness.value("k") == b"w"

    run_test(body)


def test_late_group_does_not_overwrite_a_later_one(run_test: RunTest) -> None:
    async def body(harness: CommitterHarness) -> None:
        faults = StoreFaults(late_share=1.0)
        committer = harness.committer(1, faults)
        asyncio.get_running_loop().call_later(0.5, setattr, faults, "late_share", 0.0)
        assert await committer.commit((Write("k", b"old"),)) is CommitResult.STORED
        assert await committer.commit((Write("k", b"new"),)) is CommitResult.STORED
        await asyncio.sleep(10.0)
        assert harness.value("k") == b"new"

    run_test(body)


def test_late_takeover_by_another_entry_ends_the_ownership(run_test: RunTest) -> None:
    async def body(harness: CommitterHarness) -> None:
        committer = harness.committer(1, StoreFaults())
        harness.write_head(2)
        await committer.confirm()
        assert committer.is_lost

    run_test(body)


def test_confirmation_updates_the_confirmed_time(run_test: RunTest) -> None:
    async def body(harness: CommitterHarness) -> None:
        committer = harness.committer(1, StoreFaults())
        await asyncio.sleep(5.0)
        sent_s = clocks.steady_s()
        await committer.confirm()
        assert committer.confirmed_s == sent_s and not committer.is_lost

    run_test(body)


def test_silent_store_confirms_nothing(run_test: RunTest) -> None:
    async def body(harness: CommitterHarness) -> None:
        committer = harness.committer(1, StoreFaults(is_silent=True))
        await committer.confirm()
        assert committer.confirmed_s == 0.0 and not committer.is_lost

    run_test(body)


def test_refused_group_is_not_sent_again(run_test: RunTest) -> None:
    """Guards against a group that holds up all others for ever."""

    async def body(harness: CommitterHarness) -> None:
        committer = harness.committer(1, StoreFaults())
        harness.store.max_value_bytes = 100
        group = (Write("k", b"x" * 101),)
        assert await committer.commit(group) is CommitResult.REFUSED
        assert await committer.commit((Write("k", b"v"),)) is CommitResult.STORED
        assert harness.value("k") == b"v"

    run_test(body)


@pytest.mark.parametrize(
    ("is_applied", "result"),
    [
        pytest.param(True, CommitResult.STORED, id="applied"),
        pytest.param(False, CommitResult.REFUSED, id="not_applied"),
    ],
)
def test_group_that_is_refused_after_an_unanswered_send_may_be_stored(
    run_test: RunTest, is_applied: bool, result: CommitResult
) -> None:
    """Guards against an owner that takes its own group for another owner's.

    The lease of a key in the group lapses before the group is sent again.
    """

    async def body(harness: CommitterHarness) -> None:
        faults = StoreFaults(lost_share=1.0)
        faults.is_silent = not is_applied
        committer = harness.committer(1, faults)
        lease = harness.store.grant(0.9)
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, setattr, faults, "lost_share", 0.0)
        loop.call_later(0.5, setattr, faults, "is_silent", False)
        group = (Write("k", b"v", lease.lease_id),)
        assert await committer.commit(group) is result
        assert await committer.commit((Write("m", b"w"),)) is CommitResult.STORED
        assert harness.value("m") == b"w"

    run_test(body)
