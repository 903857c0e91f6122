"""What a process holds for its clients stays within its budget."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspan_decisions.request_budget import (
    CONNECTION_BYTES,
    RESERVED_FDS,
    ConnectionId,
    Drop,
    DropReason,
    ListenerName,
    RequestBudget,
    body_bytes,
    budget_bytes,
    listener_limits,
)

FRONT, READY = ListenerName("front"), ListenerName("ready")
LATER_S = 1_000.0
N_MAX = 5


def budget(n_requests: float, n_connections: int = 100) -> RequestBudget:
    """Return a budget for so many connections with a request of 1 MB each."""
    n_bytes = int(n_requests * (1_000_000 + CONNECTION_BYTES))
    return RequestBudget(n_bytes, {FRONT: n_connections, READY: 2})


def opened(found: RequestBudget, listener: ListenerName = FRONT) -> ConnectionId:
    connection, _ = found.open(listener)
    assert connection is not None
    return connection


def receive(
    found: RequestBudget, connection: ConnectionId, n_bytes: int = 1_000_000
) -> list[Drop]:
    return found.set_unfinished(connection, n_bytes, LATER_S, DropReason.BODY_TIME)


def test_unfinished_requests_that_stalled_longest_are_dropped_first() -> None:
    held = budget(2.5)
    first, second, third = (opened(held) for _ in range(3))
    assert receive(held, first) == []
    assert receive(held, second) == []
    assert receive(held, first) == []
    assert receive(held, third) == [Drop(second, DropReason.MEMORY)]


def test_idle_connections_are_dropped_after_the_unfinished() -> None:
    held = RequestBudget(CONNECTION_BYTES * 4 + 10, {FRONT: 100})
    idle = [opened(held) for _ in range(3)]
    stalled = opened(held)
    receive(held, stalled, 10)
    assert held.open(FRONT)[1] == [Drop(stalled, DropReason.MEMORY)]
    assert held.open(FRONT)[1] == [Drop(idle[0], DropReason.MEMORY)]


def test_request_that_is_handled_is_never_dropped() -> None:
    held = budget(2.5)
    first, second, third = (opened(held) for _ in range(3))
    assert held.set_handling(first, 1_000_000) == (True, [])
    receive(held, second)
    assert held.set_handling(third, 1_000_000) == (
        True,
        [Drop(second, DropReason.MEMORY)],
    )
    fourth = opened(held)
    assert held.set_handling(fourth, 1_000_000) == (False, [])
    assert receive(held, fourth) == [Drop(fourth, DropReason.MEMORY)]


def test_one_request_is_served_whatever_the_budget() -> None:
    held = budget(0.5)
    connection = opened(held)
    assert receive(held, connection) == []
    assert held.set_handling(connection, 4_000_000) == (True, [])
    held.set_idle(connection)
    assert held.n_bytes == CONNECTION_BYTES


def test_new_connection_replaces_the_one_that_stalled_longest() -> None:
    held = budget(50, n_connections=3)
    first, second, third = (opened(held) for _ in range(3))
    held.set_handling(second, 10)
    receive(held, first, 10)
    assert held.open(FRONT)[1] == [Drop(third, DropReason.CONNECTIONS)]
    assert held.open(FRONT)[1] == [Drop(first, DropReason.CONNECTIONS)]


def test_connection_is_refused_while_all_others_are_handled() -> None:
    held = budget(50, n_connections=2)
    for _ in range(2):
        held.set_handling(opened(held), 10)
    assert held.open(FRONT) == (None, [])
    assert held.open(READY)[0] is not None


def test_full_listener_takes_no_connection_of_another() -> None:
    held = budget(50, n_connections=2)
    ready = opened(held, READY)
    for _ in range(10):
        assert Drop(ready, DropReason.CONNECTIONS) not in held.open(FRONT)[1]
    assert held.n_connections(READY) == 1


def test_requests_are_dropped_at_their_deadline() -> None:
    held = budget(50)
    first, second, third = (opened(held) for _ in range(3))
    held.set_unfinished(first, 10, 5.0, DropReason.HEAD_TIME)
    held.set_unfinished(second, 10, 7.0, DropReason.BODY_TIME)
    held.set_unfinished(third, 10, 5.0, DropReason.HEAD_TIME)
    held.set_handling(third, 10)
    assert held.expired(4.9) == []
    assert held.expired(5.0) == [Drop(first, DropReason.HEAD_TIME)]
    assert held.expired(9.0) == [Drop(second, DropReason.BODY_TIME)]
    assert held.expired(99.0) == []


def test_updates_of_a_dropped_connection_have_no_effect() -> None:
    held = budget(50)
    connection = opened(held)
    held.close(connection)
    held.close(connection)
    held.set_idle(connection)
    assert receive(held, connection) == []
    assert held.set_handling(connection, 10) == (False, [])
    assert held.n_bytes == 0


def test_chunks_hold_more_than_their_bytes() -> None:
    n_bytes = 10_000
    assert body_bytes(n_bytes, n_chunks=n_bytes) > 50 * n_bytes
    assert body_bytes(n_bytes, n_chunks=0) < 1.2 * n_bytes


def test_memory_is_given_back_once_after_much_was_held() -> None:
    held = budget(4)
    connections = [opened(held) for _ in range(3)]
    assert not held.has_fallen()
    for connection in connections:
        receive(held, connection)
    assert not held.has_fallen()
    for connection in connections:
        held.set_idle(connection)
    assert held.has_fallen()
    assert not held.has_fallen()


@pytest.mark.parametrize(
    ("memory_mb", "expected_mb"),
    [
        pytest.param(552, 69, id="large_entry"),
        pytest.param(200, 25, id="small_entry"),
        pytest.param(168, 21, id="agent"),
        pytest.param(20, 8.4, id="two_of_the_longest_reports"),
    ],
)
def test_budget_is_a_share_of_the_memory(memory_mb: float, expected_mb: float) -> None:
    assert budget_bytes(memory_mb, 0.125) == pytest.approx(expected_mb * 1e6, rel=0.01)


@pytest.mark.parametrize("max_fds", [0, 210, 600, 4_100, 8_192])
def test_listeners_leave_descriptors_to_the_process(max_fds: int) -> None:
    n_own = 1_000
    limits = listener_limits(max_fds, n_own, {FRONT: 10, READY: 1})
    n_free = max(max_fds - RESERVED_FDS, 0)
    # A socket that is refused is open for a few turns of the event loop.
    n_clients = sum(
        limit.n_connections + 4 * limit.n_accepted_at_once for limit in limits.values()
    )
    n_left = n_free - min(n_own, n_free // 2)
    assert n_clients <= max(n_left, 5 * len(limits))
    assert min(limit.n_connections for limit in limits.values()) >= 1
    if max_fds >= 4_100:
        assert limits[FRONT].n_connections >= 1_000


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["open", "receive", "handle", "idle", "close", "expire"]),
        st.integers(0, 7),
        st.integers(0, 2_000_000),
        st.integers(0, 20),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(OPERATIONS, st.integers(0, 6_000_000))
def test_budget_holds_for_any_sequence(
    operations: list[tuple[str, int, int, int]], max_bytes: int
) -> None:
    """Over-commitment: only one request may be beyond the budget, while it is alone."""
    held = RequestBudget(max_bytes, {FRONT: N_MAX, READY: 2})
    known: dict[ConnectionId, str] = {}

    def take(drops: list[Drop]) -> None:
        for drop in drops:
            assert known.pop(drop.connection) != "handling"

    for operation, index, n_bytes, until_s in operations:
        connection = sorted(known)[index % len(known)] if known else None
        if operation == "open":
            listener = READY if index == 0 else FRONT
            new, drops = held.open(listener)
            take(drops)
            if new is not None:
                known[new] = "idle"
        elif connection is None:
            continue
        elif operation == "receive":
            before = dict(known)
            known[connection] = "unfinished"
            drops = held.set_unfinished(
                connection, n_bytes, until_s, DropReason.BODY_TIME
            )
            take(drops)
            if Drop(connection, DropReason.MEMORY) in drops:
                others = [its for key, its in before.items() if key != connection]
                assert "handling" in others
        elif operation == "handle":
            is_admitted, drops = held.set_handling(connection, n_bytes)
            take(drops)
            if is_admitted:
                known[connection] = "handling"
            else:
                assert "handling" in [its for key, its in known.items()]
        elif operation == "idle":
            held.set_idle(connection)
            known[connection] = "idle"
        elif operation == "close":
            held.close(connection)
            del known[connection]
        else:
            take(held.expired(until_s))
        assert held.n_connections(FRONT) <= N_MAX
        assert held.n_connections(FRONT) + held.n_connections(READY) == len(known)
        assert held.n_bytes >= CONNECTION_BYTES * len(known)
        assert held.n_bytes <= held.max_bytes or len(known) == 1
    for connection in known:
        held.close(connection)
    assert held.n_bytes == 0


@given(OPERATIONS)
def test_same_input_gives_same_decisions(
    operations: list[tuple[str, int, int, int]],
) -> None:
    def decisions() -> list[object]:
        held = RequestBudget(3_000_000, {FRONT: N_MAX, READY: 2})
        found: list[object] = []
        for operation, index, n_bytes, until_s in operations:
            connection = ConnectionId(index)
            if operation == "open":
                found.append(held.open(FRONT))
            elif operation == "receive":
                found.append(
                    held.set_unfinished(
                        connection, n_bytes, until_s, DropReason.BODY_TIME
                    )
                )
            elif operation == "handle":
                found.append(held.set_handling(connection, n_bytes))
            elif operation == "close":
                held.close(connection)
        return found

    assert decisions() == decisions()
