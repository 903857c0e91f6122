"""The configuration client under store faults, in virtual time."""

import asyncio

import pytest
from admin_api import FLEET
from virtual_time import run_virtual

from almondspan_admin.config_client import ConfigClient, ConfigClientOptions
from almondspan_admin.config_submit import (
    ConfigAccepted,
    ConfigConflict,
    ConfigRefused,
    ConfigSubmission,
    ConfigUnavailable,
    SubmitOptions,
)
from almondspan_admin.stored_config import CURRENT_KEY, HISTORY_PREFIX, history_key
from almondspan_platform.store import ABSENT_REVISION
from almondspan_standins.faults import StoreFaults
from almondspan_standins.memory_store import MemoryStore
from almondspan_standins.store_core import StoreCore
from almondspan_wire.membership import ConfigPush

IN_FORCE_S = 5.0
"""The time within which every client must have received a change, in seconds."""


def submission(expected, nonce=None, toml=None):
    """Return a submission whose text differs from that of other revisions."""
    toml = FLEET + f"# {expected}" if toml is None else toml
    return ConfigSubmission(expected, toml, "operators", 1.0, nonce or f"n{expected}")


class Harness:
    """One store with the clients of several entries; `seen` records their changes."""

    def __init__(self, n_clients=2, **options):
        self.core = StoreCore(asyncio.get_running_loop().time)
        self.stores = [MemoryStore(self.core) for _ in range(n_clients)]
        self.seen = [[] for _ in range(n_clients)]
        self.clients = [
            ConfigClient(store, seen.append, ConfigClientOptions(**options))
            for store, seen in zip(self.stores, self.seen, strict=True)
        ]

    async def __aenter__(self):
        for client in self.clients:
            await client.start()
        return self

    async def __aexit__(self, *_):
        for client in self.clients:
            await client.close()

    def revisions(self):
        return [[push.revision for push in seen] for seen in self.seen]


FAULTS = [
    pytest.param(StoreFaults(), id="none"),
    pytest.param(StoreFaults(watch_silent=True), id="watch silent"),
    pytest.param(StoreFaults(delay_s=1.0), id="slow"),
    pytest.param(StoreFaults(lose_answer_share=0.3), id="lost answers"),
]


@pytest.mark.parametrize("faults", FAULTS)
def test_change_reaches_the_other_entry(faults):
    async def run():
        async with Harness() as harness:
            await asyncio.sleep(3)
            harness.stores[1].faults = faults
            assert await harness.clients[0].submit(submission(0)) == ConfigAccepted(1)
            await asyncio.sleep(IN_FORCE_S + 2 * faults.delay_s)
            return harness.revisions()

    assert run_virtual(run()) == [[1], [1]]


def test_last_copy_is_kept_during_outage_and_updated_after_it():
    async def run():
        async with Harness() as harness:
            await harness.clients[0].submit(submission(0))
            await asyncio.sleep(IN_FORCE_S)
            harness.core.faults = StoreFaults(outage=True)
            await asyncio.sleep(600)
            outcome = await harness.clients[0].submit(submission(1))
            held = [client.current().revision for client in harness.clients]
            harness.core.faults = StoreFaults()
            await harness.clients[1].submit(submission(1))
            await asyncio.sleep(IN_FORCE_S)
            return outcome, held, harness.revisions()

    outcome, held, revisions = run_virtual(run())
    assert outcome == ConfigUnavailable("outage", may_have_applied=False)
    assert held == [1, 1]
    assert revisions == [[1, 2], [1, 2]]


def test_idle_client_makes_few_store_calls():
    async def run():
        async with Harness(n_clients=1) as harness:
            calls = harness.core.n_calls
            await asyncio.sleep(60)
            return calls.total()

    # One read every four seconds, the watch, and the read before the watch.
    assert run_virtual(run()) < 60 / 3


def test_watch_restarts_after_compaction():
    async def run():
        async with Harness() as harness:
            await harness.clients[0].submit(submission(0))
            for _ in range(50):
                found = harness.core.get("other")
                revision = found.revision if found else ABSENT_REVISION
                harness.core.compare_and_swap("other", revision, b"x")
            harness.core.compact(harness.core.revision)
            harness.stores[1].faults = StoreFaults(outage=True)
            await asyncio.sleep(1)
            harness.stores[1].faults = StoreFaults()
            await asyncio.sleep(IN_FORCE_S)
            n_reads = harness.core.n_calls.total()
            await asyncio.sleep(40)
            return harness.revisions(), harness.core.n_calls.total() - n_reads

    revisions, n_calls = run_virtual(run())
    assert revisions == [[1], [1]]
    assert n_calls < 2 * 40 / 3


def test_store_restored_from_an_older_copy():
    """A store restored from an older copy neither reverts the fleet nor blocks it."""

    async def run():
        async with Harness() as harness:
            await harness.clients[0].submit(submission(0))
            old = harness.core.get(CURRENT_KEY).value
            await harness.clients[0].submit(submission(1))
            await asyncio.sleep(IN_FORCE_S)
            now = harness.core.get(CURRENT_KEY)
            harness.core.compare_and_swap(CURRENT_KEY, now.revision, old)
            await asyncio.sleep(IN_FORCE_S)
            held = [client.current().revision for client in harness.clients]
            outcome = await harness.clients[1].submit(submission(2, "after"))
            await asyncio.sleep(IN_FORCE_S)
            return held, outcome, harness.revisions()

    held, outcome, revisions = run_virtual(run())
    assert held == [2, 2]
    assert outcome == ConfigAccepted(3)
    assert revisions == [[1, 2, 3], [1, 2, 3]]


def test_store_that_lost_the_key():
    async def run():
        async with Harness() as harness:
            await harness.clients[0].submit(submission(0))
            await asyncio.sleep(IN_FORCE_S)
            now = harness.core.get(CURRENT_KEY)
            harness.core.compare_and_swap(CURRENT_KEY, now.revision, None)
            await asyncio.sleep(IN_FORCE_S)
            wrong = await harness.clients[0].submit(submission(0, "again"))
            right = await harness.clients[0].submit(submission(1, "after"))
            return wrong, right

    wrong, right = run_virtual(run())
    assert wrong.current.revision == 1
    assert right == ConfigAccepted(2)


def test_undecodable_key_is_not_overwritten():
    async def run():
        async with Harness() as harness:
            await harness.clients[0].submit(submission(0))
            now = harness.core.get(CURRENT_KEY)
            harness.core.compare_and_swap(CURRENT_KEY, now.revision, b"\xff")
            await asyncio.sleep(IN_FORCE_S)
            outcome = await harness.clients[0].submit(submission(1))
            return (
                outcome,
                harness.clients[0].current().revision,
                harness.core.get(CURRENT_KEY),
            )

    outcome, held, item = run_virtual(run())
    assert outcome == ConfigConflict(None)
    assert (held, item.value) == (1, b"\xff")


@pytest.mark.parametrize(
    ("toml", "reason"),
    [
        pytest.param("[[teams]]", "name", id="missing keys"),
        pytest.param(FLEET.replace("operator = true", ""), "operator", id="lock-out"),
        pytest.param(
            FLEET + '[policies]\nladder = "none"', "no_control", id="unknown policy"
        ),
        pytest.param(FLEET + "#" * 1_000_000, "bytes", id="too large"),
    ],
)
def test_invalid_submission_is_refused_without_store_access(toml, reason):
    async def run():
        async with Harness() as harness:
            outcome = await harness.clients[0].submit(submission(0, toml=toml))
            return outcome, harness.core.get(CURRENT_KEY)

    outcome, item = run_virtual(run())
    assert isinstance(outcome, ConfigRefused)
    assert reason in str(outcome.faults)
    assert item is None


def test_repeated_submission_is_applied_once():
    async def run():
        async with Harness() as harness:
            first = await harness.clients[0].submit(submission(0, "a"))
            again = await harness.clients[1].submit(submission(0, "a"))
            other = await harness.clients[1].submit(submission(1, "b"))
            late = await harness.clients[0].submit(submission(0, "a"))
            return first, again, other, late, await harness.clients[0].history()

    first, again, other, late, history = run_virtual(run())
    assert first == again == late == ConfigAccepted(1)
    assert other == ConfigAccepted(2)
    assert [one.nonce for one in history] == ["a", "b"]


def test_unchanged_text_creates_no_revision():
    async def run():
        async with Harness() as harness:
            first = await harness.clients[0].submit(submission(0, "a", FLEET))
            same = await harness.clients[1].submit(submission(1, "b", FLEET))
            stale = await harness.clients[1].submit(submission(0, "c", FLEET))
            return first, same, stale, await harness.clients[0].history()

    first, same, stale, history = run_virtual(run())
    assert first == same == ConfigAccepted(1)
    assert isinstance(stale, ConfigConflict)
    assert [one.nonce for one in history] == ["a"]


def test_history_is_bounded():
    async def run():
        options = {"submit": SubmitOptions(n_history=3)}
        async with Harness(n_clients=1, **options) as harness:
            for revision in range(12):
                await harness.clients[0].submit(submission(revision))
            kept = [one.revision for one in await harness.clients[0].history()]
            found = await harness.clients[0].revision(10)
            gone = await harness.clients[0].revision(2)
            n_keys = len(harness.core.get_range(HISTORY_PREFIX).items)
            return kept, found, gone, n_keys

    kept, found, gone, n_keys = run_virtual(run())
    assert kept == [9, 10, 11, 12]
    assert (found.revision, gone, n_keys) == (10, None, 3)


def test_timeout_while_pruning_reports_success():
    """A time-out while the history is pruned does not lose the result."""

    async def run():
        options = SubmitOptions(timeout_s=3.0, n_history=1)
        async with Harness(n_clients=1, submit=options) as harness:
            for revision in range(5):
                await harness.clients[0].submit(submission(revision))
            harness.core.faults = StoreFaults(delay_s=0.9)
            return await harness.clients[0].submit(submission(5))

    assert run_virtual(run()) == ConfigAccepted(6)


def test_timeout_during_write_reports_that_it_may_have_applied():
    """A write in progress at the time-out may still take effect."""

    async def run():
        async with Harness(n_clients=1, submit=SubmitOptions(timeout_s=3.0)) as harness:
            await asyncio.sleep(1)
            harness.core.faults = StoreFaults(delay_s=1.9)
            outcome = await harness.clients[0].submit(submission(0))
            await asyncio.sleep(5)
            return outcome, harness.core.get(CURRENT_KEY)

    outcome, item = run_virtual(run())
    assert isinstance(outcome, ConfigUnavailable)
    assert outcome.may_have_applied
    assert item is not None


def test_copy_from_an_agent_is_adopted_if_newer():
    async def run():
        async with Harness() as harness:
            harness.core.faults = StoreFaults(outage=True)
            push = ConfigPush(revision=4, toml=FLEET.encode())
            older = ConfigPush(revision=3, toml=b"")
            return [harness.clients[0].adopt(one) for one in (push, older, push)]

    assert run_virtual(run()) == [True, False, False]


def test_history_keys_sort_as_revisions():
    keys = [history_key(revision) for revision in (1, 9, 10, 99, 100, 12_345)]
    assert keys == sorted(keys)
