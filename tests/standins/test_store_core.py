"""Compares the store's core with a simple model over random sequences of calls."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from almondspan_platform.store import (
    ABSENT_REVISION,
    Conflict,
    KeyValue,
    LeaseGranted,
    LeaseId,
    LeaseLapsed,
    Revision,
    Swapped,
)
from almondspan_standins.store_core import (
    CallKind,
    Change,
    Compacted,
    LeaseUnknown,
    StoreCore,
)

KEYS = st.sampled_from(["a", "a/1", "a/2", "b"])
VALUES = st.one_of(st.none(), st.binary(max_size=2))
LEASES = st.one_of(st.none(), st.integers(1, 4).map(LeaseId))
TTL_S = 10.0


class StoreMachine(RuleBasedStateMachine):
    """Writes, leases and passing time, with a watch from the first revision."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.core = StoreCore(lambda: self.now_s, n_history=10_000)
        self.model: dict[str, tuple[bytes, LeaseId | None]] = {}
        self.lapses_s: dict[LeaseId, float] = {}
        self.seen: dict[str, KeyValue] = {}
        self.seen_revision = self.core.revision
        self.n_changes = 0

    @rule(key=KEYS, value=VALUES, lease_id=LEASES, stale=st.booleans())
    def write(
        self, key: str, value: bytes | None, lease_id: LeaseId | None, stale: bool
    ) -> None:
        held = self.core.get(key)
        revision = held.revision if held else ABSENT_REVISION
        expected = Revision(revision + stale)
        outcome = self.core.compare_and_swap(key, expected, value, lease_id)
        if stale:
            assert outcome == Conflict(held)
        elif value is None:
            self.model.pop(key, None)
            assert isinstance(outcome, Swapped)
        elif lease_id is not None and lease_id not in self.lapses_s:
            assert isinstance(outcome, LeaseUnknown)
        else:
            self.model[key] = (value, lease_id)
            assert outcome == Swapped(self.core.revision)

    @rule()
    def grant(self) -> None:
        granted = self.core.grant_lease(TTL_S)
        self.lapses_s[granted.lease_id] = self.now_s + TTL_S

    @rule(lease_id=st.integers(1, 4).map(LeaseId))
    def keep(self, lease_id: LeaseId) -> None:
        outcome = self.core.keep_lease(lease_id)
        if lease_id in self.lapses_s:
            assert outcome == LeaseGranted(lease_id, TTL_S)
            self.lapses_s[lease_id] = self.now_s + TTL_S
        else:
            assert outcome == LeaseLapsed()

    @rule(lease_id=st.integers(1, 4).map(LeaseId))
    def revoke(self, lease_id: LeaseId) -> None:
        self.core.revoke_lease(lease_id)
        self._end([lease_id])

    @rule(seconds=st.floats(0.0, 8.0))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        self._end([one for one, at_s in self.lapses_s.items() if at_s <= self.now_s])

    @rule()
    def watch(self) -> None:
        changes = self.core.changes_after("", self.seen_revision)
        assert not isinstance(changes, Compacted)
        for change in changes:
            self._see(change)
        found = self.core.get_range("")
        assert found.items == tuple(self.seen[key] for key in sorted(self.seen))
        assert found.revision == self.seen_revision

    @rule(prefix=st.sampled_from(["a", "a/", "b", "c"]))
    def read_range(self, prefix: str) -> None:
        keys = [item.key for item in self.core.get_range(prefix).items]
        assert keys == sorted(key for key in self.model if key.startswith(prefix))

    @invariant()
    def has_the_same_items_as_the_model(self) -> None:
        held = {item.key: item.value for item in self.core.get_range("").items}
        assert held == {key: value for key, (value, _) in self.model.items()}

    def _see(self, change: Change) -> None:
        assert change.revision >= self.seen_revision
        self.seen_revision = change.revision
        if change.item is None:
            del self.seen[change.key]
        else:
            assert change.item.revision == change.revision
            self.seen[change.key] = change.item

    def _end(self, lease_ids: list[LeaseId]) -> None:
        for one in lease_ids:
            self.lapses_s.pop(one, None)
        for key, (_, lease_id) in tuple(self.model.items()):
            if lease_id in lease_ids:
                del self.model[key]


TestStoreCore = StoreMachine.TestCase
TestStoreCore.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def test_peak_rate_covers_one_second() -> None:
    now_s = 0.0
    core = StoreCore(lambda: now_s)
    for n_calls in (2, 5, 3):
        for _ in range(n_calls):
            core.get("a")
        now_s += 1.0
    assert core.n_peak_per_s == {CallKind.GET: 5}
    assert core.n_calls == {CallKind.GET: 10}


def test_long_history_is_compacted() -> None:
    core = StoreCore(lambda: 0.0, n_history=3)
    start = core.revision
    revision = ABSENT_REVISION
    for _ in range(5):
        outcome = core.compare_and_swap("a", revision, b"")
        assert isinstance(outcome, Swapped)
        revision = outcome.revision
    assert core.changes_after("", start) == Compacted(Revision(start + 2))
    recent = core.changes_after("", Revision(start + 2))
    assert isinstance(recent, list)
    assert [one.revision for one in recent] == [start + 3, start + 4, start + 5]
