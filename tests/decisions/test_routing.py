"""Routing policies, preference for the own place, and subsets."""

from collections import Counter
from dataclasses import dataclass
from random import Random

import pytest

from almondspan_decisions.ids import AgentId, PlaceName
from almondspan_decisions.routing import (
    ROUTING_POLICIES,
    RoutingContext,
    prefer_place,
    rendezvous_subset,
)

HERE = PlaceName("here")
FAR = PlaceName("far")


@dataclass(frozen=True)
class Runner:
    agent_id: AgentId
    n_outstanding: float = 0.0
    latency_ms: float = 10.0
    place: PlaceName = HERE
    weight: float = 1.0
    n_slots: int = 8


def shares(policy: str, runners: list[Runner], n_calls: int = 4000) -> list[float]:
    rng = Random(1)
    choose = ROUTING_POLICIES[policy]
    counts = Counter(choose(RoutingContext(n), runners, rng) for n in range(n_calls))
    return [counts[index] / n_calls for index in range(len(runners))]


@pytest.mark.parametrize("policy", sorted(ROUTING_POLICIES))
@pytest.mark.parametrize("n_runners", [1, 2, 10])
def test_every_policy_chooses_a_runner(policy: str, n_runners: int) -> None:
    runners = [Runner(AgentId(f"a{n}")) for n in range(n_runners)]
    assert sum(shares(policy, runners)) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("policy", "other", "low", "high"),
    [
        pytest.param("random", {"n_outstanding": 8}, 0.2, 0.3, id="random"),
        pytest.param("round_robin", {"n_outstanding": 8}, 0.2, 0.3, id="in-turn"),
        pytest.param("least_loaded", {"n_outstanding": 8}, 0.0, 0.0, id="least"),
        pytest.param("two_choices", {"n_outstanding": 8}, 0.0, 0.0, id="loaded"),
        pytest.param("two_choices", {"latency_ms": 90.0}, 0.0, 0.0, id="slow"),
        pytest.param("two_choices", {"weight": 0.1}, 0.0, 0.0, id="ramping"),
        pytest.param("two_choices", {}, 0.2, 0.3, id="equal"),
        pytest.param("three_choices", {"n_outstanding": 8}, 0.0, 0.0, id="full"),
        pytest.param("three_choices", {"n_outstanding": 2}, 0.0, 0.0, id="spread"),
        pytest.param("three_choices", {"latency_ms": 10.3}, 0.2, 0.3, id="alike"),
        pytest.param("three_choices", {"latency_ms": 15.0}, 0.0, 0.0, id="slower"),
        pytest.param("three_choices", {"weight": 0.1}, 0.0, 0.0, id="ramping-3"),
        pytest.param("three_choices", {}, 0.2, 0.3, id="equal-3"),
        pytest.param("two_choices", {"latency_ms": 1.0}, 0.45, 0.55, id="fast"),
    ],
)
def test_share_of_calls_of_one_different_runner(policy, other, low, high) -> None:
    runners = [Runner(AgentId(f"a{n}"), n_outstanding=1.0) for n in range(3)]
    runners.append(Runner(AgentId("b"), **({"n_outstanding": 1.0} | other)))
    assert low <= shares(policy, runners)[3] <= high


@pytest.mark.parametrize(
    ("near_load", "far_load", "spills"),
    [
        pytest.param([0, 0], [0], False, id="idle"),
        pytest.param([6, 6], [0], False, id="at-the-limit"),
        pytest.param([7, 7], [0], True, id="overloaded"),
        pytest.param([7, 7], [8], False, id="far-is-worse"),
        pytest.param([8, 0], [0], False, id="one-is-overloaded"),
        pytest.param([], [9], True, id="none-near"),
    ],
)
def test_calls_leave_a_place_only_when_it_is_overloaded(near_load, far_load, spills):
    near = [Runner(AgentId(f"n{n}"), load) for n, load in enumerate(near_load)]
    far = [Runner(AgentId(f"f{n}"), load, place=FAR) for n, load in enumerate(far_load)]
    chosen = prefer_place(HERE, near + far)
    assert list(chosen) == (near + far if spills else near)


def test_subsets_are_balanced_and_stable() -> None:
    agents = [AgentId(f"agent-{n}") for n in range(100)]
    subsets = {
        f"entry-{n}": rendezvous_subset(f"entry-{n}", agents, 16) for n in range(50)
    }
    uses = Counter(agent for subset in subsets.values() for agent in subset)
    assert all(len(subset) == 16 for subset in subsets.values())
    assert max(uses.values()) <= 20
    assert len(uses) == 100
    for entry, subset in subsets.items():
        fewer = rendezvous_subset(entry, agents[:-1], 16)
        assert len(set(subset) - set(fewer)) <= 1
