"""Chooses the runner for a call.

Routing has three phases:

1. `rendezvous_subset` selects, by rendezvous hashing, the runners to which an entry
   connects. It is deterministic, and a runner that joins or leaves changes the subsets
   of few entries.
2. `prefer_place` keeps the runners of the entry's own place, unless these are
   loaded beyond `SPILL_LOAD` and runners of other places are loaded less.
3. A routing policy chooses one of them.

A runner's load is the one reported with its last answer, corrected by the calls that
this entry has started and ended there since.
"""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol, TypeVar
from zlib import crc32

from almondspan_decisions.ids import AgentId, PlaceName

__all__ = [
    "ROUTING_POLICIES",
    "SPILL_LOAD",
    "RoutingContext",
    "RoutingPolicy",
    "RunnerView",
    "pool_load",
    "prefer_place",
    "rendezvous_subset",
    "routing_policy",
]

SPILL_LOAD: Final = 0.75
"""Calls per slot in a place above which calls may go to other places."""

MIN_SLOTS: Final = 0.01
"""Lower bound of weighted slots, for a runner whose weight is 0."""

SPREAD_SHARE: Final = 0.2
"""A full runner's delay exceeds that of an idle one by this share of its latency."""

LATENCY_STEP: Final = 1.25
"""Ratio between the steps to which latencies are rounded."""

_LOG_LATENCY_STEP: Final = math.log(LATENCY_STEP)

MIN_LATENCY_MS: Final = 1.0
"""Lower latencies count as this one."""


class RunnerView(Protocol):
    """What an entry knows of a runner.

    ``n_outstanding`` counts the calls of every entry at the runner. ``weight`` is below
    1 while the runner gets less than its full share of calls.
    """

    @property
    def agent_id(self) -> AgentId:
        """The agent next to the runner."""
        ...

    @property
    def place(self) -> PlaceName:
        """The place of the runner."""
        ...

    @property
    def n_slots(self) -> int:
        """Number of calls that the runner serves concurrently."""
        ...

    @property
    def n_outstanding(self) -> float:
        """Number of calls at the runner, running or queued."""
        ...

    @property
    def latency_ms(self) -> float:
        """Latency of a call at the runner, in milliseconds."""
        ...

    @property
    def weight(self) -> float:
        """The share of its normal calls that the runner should get, from 0 to 1."""
        ...


Runner = TypeVar("Runner", bound=RunnerView)


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """Further input of a policy; ``n_calls`` is the number of calls routed so far."""

    n_calls: int


RoutingPolicy = Callable[[RoutingContext, Sequence[RunnerView], random.Random], int]
"""Returns the index of the chosen runner; there is at least one."""

ROUTING_POLICIES: Final[dict[str, RoutingPolicy]] = {}


def routing_policy(name: str) -> Callable[[RoutingPolicy], RoutingPolicy]:
    """Register a routing policy under `name`."""

    def register(policy: RoutingPolicy) -> RoutingPolicy:
        ROUTING_POLICIES[name] = policy
        return policy

    return register


def rendezvous_subset(
    chooser: str, agents: Iterable[AgentId], n_wanted: int
) -> tuple[AgentId, ...]:
    """Return up to `n_wanted` agents, those with the highest hash for `chooser`."""
    ranked = sorted(agents, key=lambda agent: (-_weight(chooser, agent), agent))
    return tuple(sorted(ranked[:n_wanted]))


def _weight(chooser: str, agent: AgentId) -> int:
    return crc32(agent.encode(), crc32(chooser.encode()))


def prefer_place(place: PlaceName, runners: Sequence[Runner]) -> Sequence[Runner]:
    """Return the runners of `place`, or all if those of `place` are overloaded."""
    near = [runner for runner in runners if runner.place == place]
    if not near or len(near) == len(runners):
        return runners
    near_load = pool_load(near)
    if near_load <= SPILL_LOAD:
        return near
    far = [runner for runner in runners if runner.place != place]
    return runners if pool_load(far) < near_load else near


def pool_load(runners: Sequence[RunnerView]) -> float:
    """Return the calls per weighted slot of a group of runners."""
    n_slots = sum(runner.n_slots * runner.weight for runner in runners)
    n_outstanding = sum(runner.n_outstanding for runner in runners)
    return n_outstanding / n_slots if n_slots > 0 else float("inf")


def load_with_one_more(runner: RunnerView) -> float:
    """Return the calls per weighted slot of a runner with one more call."""
    n_slots = max(runner.n_slots * runner.weight, MIN_SLOTS)
    return (runner.n_outstanding + 1) / n_slots


def proportional_delay(runner: RunnerView) -> float:
    """Return a delay that is proportional to the load with one more call."""
    return load_with_one_more(runner) * max(runner.latency_ms, MIN_LATENCY_MS)


def queueing_delay(runner: RunnerView) -> float:
    """Return a delay that grows fast only when calls have to wait for a slot.

    It then grows with the square of the load: a call that waits also delays the calls
    after it, so a slower runner with a free slot is better overall. Below one call per
    slot it still grows slightly, so that calls spread over equal runners. Latencies are
    rounded to steps, so that small differences do not attract all calls.
    """
    load = load_with_one_more(runner)
    factor = max(1.0, load) ** 2 + SPREAD_SHARE * load
    return factor * latency_step_ms(runner.latency_ms)


def latency_step_ms(latency_ms: float) -> float:
    """Round a latency to a logarithmic scale with the ratio `LATENCY_STEP`."""
    steps = round(math.log(max(latency_ms, MIN_LATENCY_MS)) / _LOG_LATENCY_STEP)
    return float(LATENCY_STEP**steps)


def best_of(
    n_drawn: int,
    delay: Callable[[RunnerView], float],
    runners: Sequence[RunnerView],
    rng: random.Random,
) -> int:
    """Sample runners at random and return the index of the one with the least delay."""
    drawn = rng.sample(range(len(runners)), min(n_drawn, len(runners)))
    return min(drawn, key=lambda index: delay(runners[index]))


@routing_policy("random")
def random_runner(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Choose uniformly at random."""
    return rng.randrange(len(runners))


@routing_policy("round_robin")
def round_robin(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Choose the runners in turn."""
    return context.n_calls % len(runners)


@routing_policy("least_loaded")
def least_loaded(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Choose the runner with the fewest calls per slot."""
    return min(
        range(len(runners)),
        key=lambda n: runners[n].n_outstanding / max(runners[n].n_slots, 1),
    )


@routing_policy("two_choices")
def two_choices(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Sample two runners and choose the one with the lower proportional delay."""
    return best_of(2, proportional_delay, runners, rng)


@routing_policy("three_choices")
def three_choices(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Sample three runners and choose the one with the lowest queueing delay."""
    return best_of(3, queueing_delay, runners, rng)
