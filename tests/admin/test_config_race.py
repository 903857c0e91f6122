"""Concurrent submissions by several operators through a faulty store.

Each operator repeatedly reads the current text from an entry, appends its own line,
and submits it as the next revision. Under lost responses, delays and outages, every
revision must be its predecessor plus one line, contain every accepted and no refused
submission, and no entry may revert to a lower revision. Runs in virtual time.
"""

import asyncio
import random

from admin_api import FLEET
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_time import run_virtual

from almondspan_admin.active_config import ActiveConfig
from almondspan_admin.config_client import ConfigClient, ConfigClientOptions
from almondspan_admin.config_submit import (
    ConfigAccepted,
    ConfigConflict,
    ConfigSubmission,
    ConfigUnavailable,
    SubmitOptions,
)
from almondspan_admin.stored_config import StoredConfig
from almondspan_standins.faults import StoreFaults
from almondspan_standins.memory_store import MemoryStore
from almondspan_standins.store_core import StoreCore

N_ENTRIES = 3
N_SUBMISSIONS = 4

FAULTS = st.sampled_from(
    [
        StoreFaults(),
        StoreFaults(lose_answer_share=0.4),
        StoreFaults(lose_answer_share=0.9),
        StoreFaults(delay_s=0.7),
        StoreFaults(delay_s=2.5),
        StoreFaults(outage=True),
        StoreFaults(watch_silent=True),
    ]
)
STEPS = st.lists(
    st.tuples(st.integers(0, N_ENTRIES), FAULTS, st.floats(0.1, 8.0)), max_size=12
)


class Entry:
    """An entry's configuration client with the revisions that it reported."""

    def __init__(self, core, index):
        self.store = MemoryStore(core, rng=random.Random(index))
        self.active_config = ActiveConfig()
        self.pushed = []
        options = ConfigClientOptions(
            submit=SubmitOptions(timeout_s=6.0, n_history=1000)
        )
        self.config_client = ConfigClient(self.store, self.on_change, options)

    def on_change(self, push):
        assert self.active_config.accept(push)
        self.pushed.append(push.revision)


class Race:
    """Runs the operators and records the outcome of each submission."""

    def __init__(self, seed):
        self.core = StoreCore(asyncio.get_running_loop().time)
        self.entries = [Entry(self.core, index) for index in range(N_ENTRIES)]
        self.rng = random.Random(seed)
        self.outcomes = {}

    async def run(self, steps, n_operators, replaced):
        for entry in self.entries:
            await entry.config_client.start()
        operators = [
            asyncio.create_task(self.operate(index)) for index in range(n_operators)
        ]
        for index, faults, time_s in steps:
            if index == N_ENTRIES:
                self.core.faults = faults
            else:
                self.entries[index].store.faults = faults
            await asyncio.sleep(time_s)
        if replaced:
            await self.replace_entry()
        await asyncio.gather(*operators)
        self.core.faults = StoreFaults()
        for entry in self.entries:
            entry.store.faults = StoreFaults()
        # Writes in progress take effect, and every entry reads once more.
        await asyncio.sleep(10.0)
        history = await self.entries[0].config_client.history()
        held = [entry.config_client.current() for entry in self.entries]
        for entry in self.entries:
            await entry.config_client.close()
        return history, held

    async def replace_entry(self):
        await self.entries[-1].config_client.close()
        self.entries[-1] = Entry(self.core, 99)
        await self.entries[-1].config_client.start()

    async def operate(self, operator):
        for number in range(N_SUBMISSIONS):
            await asyncio.sleep(self.rng.uniform(0, 3))
            entry = self.rng.choice(self.entries)
            held = entry.config_client.current()
            revision = held.revision if held else 0
            text = held.toml.decode() if held else FLEET
            nonce = f"{operator}.{number}"
            submission = ConfigSubmission(
                revision, f"{text}# {nonce}\n", f"op{operator}", 1.0, nonce
            )
            outcome = await entry.config_client.submit(submission)
            if isinstance(outcome, ConfigUnavailable) and self.rng.random() < 0.5:
                first = outcome
                outcome = await self.rng.choice(self.entries).config_client.submit(
                    submission
                )
                outcome = merge_outcomes(first, outcome)
            self.outcomes[nonce] = outcome


def merge_outcomes(first, second):
    """Combine the outcomes at two entries as the operators' client does."""
    if isinstance(second, ConfigUnavailable):
        may_have_applied = first.may_have_applied or second.may_have_applied
        return ConfigUnavailable(second.reason, may_have_applied)
    return second


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), STEPS, st.integers(1, 5), st.booleans())
def test_revisions_form_one_chain(seed, steps, n_operators, replaced):
    async def run():
        race = Race(seed)
        history, held = await race.run(steps, n_operators, replaced)
        return race, history, held

    race, history, held = run_virtual(run())
    assert [one.revision for one in history] == list(range(1, len(history) + 1))
    check_chain(history)
    check_outcomes(race.outcomes, {one.nonce: one.revision for one in history})
    for entry in race.entries:
        assert entry.pushed == sorted(set(entry.pushed))
    if history:
        assert {push.revision for push in held} == {history[-1].revision}
        assert {push.toml.decode() for push in held} == {history[-1].toml}


def check_chain(history: tuple[StoredConfig, ...]) -> None:
    text = FLEET
    for one in history:
        assert one.toml == f"{text}# {one.nonce}\n"
        text = one.toml


def check_outcomes(outcomes, revision_of) -> None:
    for nonce, outcome in outcomes.items():
        match outcome:
            case ConfigAccepted(revision):
                assert revision_of[nonce] == revision
            case ConfigConflict():
                assert nonce not in revision_of
            case ConfigUnavailable(_, may_have_applied):
                assert may_have_applied or nonce not in revision_of
            case _:
                raise AssertionError(outcome)
