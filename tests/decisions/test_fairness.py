"""Quotas, queue order, placement, preemption for urgent tasks, burn rates."""

import math
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspan_decisions.burn import (
    BURN_WINDOWS_S,
    BurnCounter,
    CallCounts,
    alert_states,
    burn_rate,
)
from almondspan_decisions.ids import (
    AgentId,
    PlaceName,
    ServiceName,
    ShardId,
    TaskClass,
    TaskId,
    TeamName,
    WorkerId,
)
from almondspan_decisions.placement import (
    PLACEMENT_POLICIES,
    AgentView,
    PlacementRequest,
    rank_agents,
    share_slowdowns,
)
from almondspan_decisions.preemption import PreemptionCandidate, choose_victims
from almondspan_decisions.queue_order import QUEUE_POLICIES, QueueContext, QueuedTask
from almondspan_decisions.quotas import (
    QuotaSlice,
    TransferId,
    confirm_transfer,
    give_units,
    receive_transfer,
    split_exactly,
    team_shares,
    units_to_give,
)
from almondspan_decisions.run_times import RunTimes
from almondspan_decisions.shapes import Shape

ARCHIVE, BOARD = TeamName("archive"), TeamName("board")
SHORT, LONG = TaskClass("validation"), TaskClass("pressure")
CAPACITY = Shape(16_000, 60_000, 2)


@given(st.integers(0, 10**9), st.lists(st.floats(0, 1e6), min_size=1, max_size=64))
def test_split_adds_up_exactly(total: int, weights: list[float]) -> None:
    parts = split_exactly(total, weights)
    assert sum(parts) == total
    assert min(parts) >= 0


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(1, 400))))
def test_escrowed_slices_add_up_to_the_quota(moves: list[tuple[int, int, int]]) -> None:
    slices = [
        QuotaSlice(ShardId(n), units)
        for n, units in enumerate(split_exactly(999, [1.0] * 4))
    ]
    for n, (giver, receiver, n_units) in enumerate(moves):
        given_slice = give_units(
            slices[giver], TransferId(f"t{n}"), ShardId(receiver), n_units
        )
        if given_slice is None or giver == receiver:
            continue
        slices[giver] = given_slice
        transfer = given_slice.outgoing[-1]
        in_flight = n_units
        assert sum(each.n_units for each in slices) + in_flight == 999
        for _ in range(2):
            slices[receiver] = receive_transfer(slices[receiver], transfer)
            slices[giver] = confirm_transfer(slices[giver], transfer.transfer_id)
        assert sum(each.n_units for each in slices) == 999
        assert min(each.n_units for each in slices) >= 0


def give(quota_slice: QuotaSlice, name: str, receiver: int) -> QuotaSlice:
    """Give one unit that is free."""
    given_slice = give_units(quota_slice, TransferId(name), ShardId(receiver), 1)
    assert given_slice is not None
    return given_slice


@pytest.mark.parametrize("order", ["in order", "reversed", "shuffled"])
def test_memory_of_received_transfers_is_bounded(order: str) -> None:
    """Guards against a slice that grows with every transfer that it ever received.

    Late duplicates still have no effect.
    """
    n_transfers = 200
    giver, receiver = QuotaSlice(ShardId(0), 1_000), QuotaSlice(ShardId(1), 0)
    for n in range(n_transfers):
        giver = give(giver, f"t{n}", 1)
    transfers = list(giver.outgoing)
    if order == "reversed":
        transfers.reverse()
    elif order == "shuffled":
        random.Random(1).shuffle(transfers)
    for transfer in transfers:
        receiver = receive_transfer(receiver, transfer)
        giver = confirm_transfer(giver, transfer.transfer_id)
    assert len(receiver.received) == 1
    assert all(not numbers.beyond for numbers in receiver.received.values())
    for transfer in transfers:
        assert receive_transfer(receiver, transfer) == receiver
    assert (giver.n_units, receiver.n_units) == (800, 200)


def test_transfers_of_several_givers_are_told_apart() -> None:
    receiver = QuotaSlice(ShardId(9), 0)
    for shard in range(3):
        giver = give(QuotaSlice(ShardId(shard), 10), "t", 9)
        receiver = receive_transfer(receiver, giver.outgoing[0])
    assert receiver.n_units == 3


def test_repeated_transfer_is_given_once() -> None:
    once = give(QuotaSlice(ShardId(0), 10), "t", 1)
    assert give(once, "t", 1) == once


def test_used_units_are_not_given() -> None:
    held = QuotaSlice(ShardId(0), n_units=100, n_units_used=80)
    assert give_units(held, TransferId("t"), ShardId(1), 21) is None
    assert units_to_give(held, 50) == 10


def test_team_shares_use_the_dominant_resource() -> None:
    running = {ARCHIVE: Shape(1_600, 30_000), BOARD: Shape(1_600, 0)}
    shares = team_shares(running, {ARCHIVE: 0.5}, CAPACITY)
    assert shares == {ARCHIVE: 1.0, BOARD: math.inf}


def queued(name: str, **fields: object) -> QueuedTask:
    task = QueuedTask(
        task_id=TaskId(name),
        team=ARCHIVE,
        task_class=SHORT,
        shape=Shape(1_000),
        urgent=False,
        declared_run_s=1.0,
        queued_s=0.0,
        attained_s=0.0,
        slack_s=math.inf,
    )
    return replace(task, **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param({"urgent": True}, {"slack_s": -5.0}, id="urgent before late"),
        pytest.param({"slack_s": 1.0}, {}, id="deadline at risk before none"),
        pytest.param({"slack_s": 0.5}, {"slack_s": 1.0}, id="less slack first"),
        pytest.param({}, {"team": BOARD, "slack_s": 0.0}, id="within the quota first"),
        pytest.param({"queued_s": 9.0}, {"task_class": LONG}, id="short before long"),
        pytest.param(
            {"queued_s": 9.0}, {"attained_s": 60.0}, id="new task before straggler"
        ),
        pytest.param({"queued_s": 1.0}, {"queued_s": 2.0}, id="then by time queued"),
        pytest.param(
            {"task_class": LONG, "queued_s": -90_000.0},
            {},
            id="long task does not starve",
        ),
    ],
)
def test_fair_policy_order(first: dict[str, object], second: dict[str, object]) -> None:
    run_times = RunTimes()
    for _ in range(100):
        run_times.observe(SHORT, 1.0)
        run_times.observe(LONG, 100.0)
    context = QueueContext(10.0, {ARCHIVE: 0.9, BOARD: 1.2}, run_times)
    fair = QUEUE_POLICIES["fair"]
    assert fair(queued("b", **first), context) < fair(queued("a", **second), context)


def test_every_queue_policy_gives_finite_length_keys() -> None:
    context = QueueContext(1.0, {ARCHIVE: math.inf})
    for policy in QUEUE_POLICIES.values():
        assert policy(queued("a"), context) == policy(queued("a"), context)


def agent(name: str, **fields: object) -> AgentView:
    view = AgentView(
        agent_id=AgentId(name),
        worker_id=WorkerId(f"worker-{name}"),
        place=PlaceName("suva"),
        capacity=CAPACITY,
        free=CAPACITY,
        n_tasks=0,
        draining=False,
        resting=False,
        ladder_level=0,
        services=(ServiceName("listening"),),
    )
    return replace(view, **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        pytest.param(
            {"slowdowns": ((LONG, 1.0),)}, {"slowdowns": ((LONG, 4.0),)}, id="slowdown"
        ),
        pytest.param({"services": ()}, {"slowdowns": ((LONG, 2.0),)}, id="no services"),
        pytest.param({}, {"ladder_level": 1}, id="escalation level"),
        pytest.param({}, {"peak_millicores": 15_000}, id="predicted peak"),
        pytest.param({}, {"place": PlaceName("nadi")}, id="place"),
        pytest.param({}, {"free": Shape(8_000, 30_000, 1)}, id="utilization"),
    ],
)
def test_colocated_prefers(better: dict[str, object], worse: dict[str, object]) -> None:
    request = PlacementRequest(
        Shape(4_000, 1_000), LONG, False, place=PlaceName("suva")
    )
    agents = [agent("a", **worse), agent("b", **better)]
    policy = PLACEMENT_POLICIES["colocated"]
    ranked = rank_agents(request, agents, policy, random.Random(1))
    assert [each.agent_id for each in ranked] == ["b", "a"]


def test_slowdowns_are_shared_by_agents_with_same_services() -> None:
    search = (ServiceName("search"),)
    views = share_slowdowns(
        [
            agent("a", slowdowns=((LONG, 2.0),)),
            agent("b", slowdowns=((LONG, 8.0), (SHORT, 1.0))),
            agent("c"),
            agent("d", services=search, slowdowns=((SHORT, 3.0),)),
        ]
    )
    assert [dict(view.slowdowns).get(LONG) for view in views[:3]] == [
        pytest.approx(4.0)
    ] * 3
    assert dict(views[3].slowdowns) == {SHORT: pytest.approx(3.0)}


def test_static_partition_excludes_workers_with_services() -> None:
    request = PlacementRequest(Shape(1_000), LONG, False)
    agents = [agent("a"), agent("b", services=())]
    policy = PLACEMENT_POLICIES["static_partition"]
    ranked = rank_agents(request, agents, policy, random.Random(1))
    assert [each.agent_id for each in ranked] == ["b"]


def test_round_robin_spreads_evenly() -> None:
    agents = [agent(f"agent-{n}") for n in range(4)]
    firsts: dict[AgentId, int] = {}
    for sequence in range(400):
        request = PlacementRequest(Shape(1_000), LONG, False, sequence=sequence)
        ranked = rank_agents(
            request, agents, PLACEMENT_POLICIES["round_robin"], random.Random(1)
        )
        firsts[ranked[0].agent_id] = firsts.get(ranked[0].agent_id, 0) + 1
    assert len(firsts) == 4


WORKER = WorkerId("worker-1")


def preemption_candidate(
    name: str, cores: int, at_risk_s: float, **fields: bool
) -> PreemptionCandidate:
    flags = {"checkpointable": True, "urgent": False, **fields}
    return PreemptionCandidate(
        TaskId(name), 1, Shape(cores * 1_000), at_risk_s, **flags
    )


@pytest.mark.parametrize(
    ("tasks", "victims"),
    [
        pytest.param(
            [preemption_candidate("a", 4, 9.0), preemption_candidate("b", 4, 1.0)],
            ["b"],
            id="least work at risk",
        ),
        pytest.param(
            [preemption_candidate("a", 1, 1.0), preemption_candidate("b", 4, 9.0)],
            ["b"],
            id="unneeded victim dropped",
        ),
        pytest.param(
            [preemption_candidate("a", 4, 1.0, urgent=True)], None, id="urgent task"
        ),
        pytest.param(
            [preemption_candidate("a", 4, 1.0, checkpointable=False)],
            None,
            id="not checkpointable",
        ),
    ],
)
def test_eviction_for_an_urgent_task(
    tasks: list[PreemptionCandidate], victims: list[str] | None
) -> None:
    chosen = choose_victims(Shape(4_000), Shape(0), tuple(tasks))
    names = None if chosen is None else [task.task_id for task in chosen]
    assert names == victims


def test_burn_over_windows_and_merged() -> None:
    counters = [BurnCounter(), BurnCounter()]
    for second in range(7_200):
        for counter in counters:
            counter.record(float(second), missed=second >= 7_140 and second % 2 == 0)
    now_s = 7_199.0
    counts = {
        window_s: counters[0].counts(now_s, window_s)
        + counters[1].counts(now_s, window_s)
        for window_s in BURN_WINDOWS_S
    }
    assert counts[60.0] == CallCounts(120, 60)
    assert counts[5.0].n_calls == 10
    assert counts[21600.0] == CallCounts(14_400, 60)
    assert burn_rate(counts[60.0], 0.99) == pytest.approx(50.0)
    page, slow_page, ticket = alert_states(counts, 0.99)
    assert page.short_burn_rate == pytest.approx(10.0)
    assert not page.firing
    assert not slow_page.firing
    assert not ticket.firing


@pytest.mark.parametrize(
    ("counts", "rate"),
    [
        pytest.param(CallCounts(0, 0), 0.0, id="no calls"),
        pytest.param(CallCounts(100, 1), 1.0, id="exactly the budget"),
        pytest.param(CallCounts(100, 20), 20.0, id="fast"),
    ],
)
def test_burn_rate(counts: CallCounts, rate: float) -> None:
    assert burn_rate(counts, 0.99) == pytest.approx(rate)


def test_burn_rate_without_budget_is_infinite() -> None:
    assert burn_rate(CallCounts(10, 1), 1.0) == math.inf
