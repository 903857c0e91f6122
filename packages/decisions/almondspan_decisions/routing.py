"""Which runner gets a call.

Routing has three phases:

1. `rendezvous_subset` picks, for one entry, the runners that it talks to. It is
   deterministic, and a runner that comes or goes moves few entries.
2. `prefer_place` keeps the runners of the entry's own place, unless these are
   loaded beyond `SPILL_LOAD` and runners of other places are loaded less.
3. A routing policy chooses one of them.

A runner's load is what it told with its last answer, corrected by what this entry
has opened and closed there since.
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
"""Calls per slot in a place above which calls may leave it."""

LEAST_SLOTS: Final = 0.01
"""Slots of a runner that should get no calls."""

SPREAD_SHARE: Final = 0.2
"""Share of its run time by which a full runner's delay exceeds an idle one's."""

LATENCY_STEP: Final = 1.25
"""Ratio below which latencies are not told apart."""

_LOG_LATENCY_STEP: Final = math.log(LATENCY_STEP)

MIN_LATENCY_MS: Final = 1.0
"""Latencies below this are not told apart, in milliseconds."""


class RunnerView(Protocol):
    """What an entry knows of a runner.

    ``n_outstanding`` counts the calls that the runner holds, of every entry.
    ``weight`` is below 1 while the runner is given less than its share.
    """

    @property
    def agent_id(self) -> AgentId:
        """The agent beside the runner."""
        ...

    @property
    def place(self) -> PlaceName:
        """Where the runner is."""
        ...

    @property
    def n_slots(self) -> int:
        """How many calls the runner serves at once."""
        ...

    @property
    def n_outstanding(self) -> float:
        """How many calls the runner holds, running or queued."""
        ...

    @property
    def latency_ms(self) -> float:
        """How long the runner takes for a call, in milliseconds."""
        ...

    @property
    def weight(self) -> float:
        """The share of its calls that the runner should get, from 0 to 1."""
        ...


Runner = TypeVar("Runner", bound=RunnerView)


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """What a policy may know besides the runners; ``n_calls`` counts calls."""

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
    """Return up to `n_wanted` agents, those that hash highest with `chooser`."""
    ranked = sorted(agents, key=lambda agent: (-_weight(chooser, agent), agent))
    return tuple(sorted(ranked[:n_wanted]))


def _weight(chooser: str, agent: AgentId) -> int:
    return crc32(agent.encode(), crc32(chooser.encode()))


def prefer_place(place: PlaceName, runners: Sequence[Runner]) -> Sequence[Runner]:
    """Return the runners of `place`, or all when these are the more loaded."""
    near = [runner for runner in runners if runner.place == place]
    if not near or len(near) == len(runners):
        return runners
    near_load = pool_load(near)
    if near_load <= SPILL_LOAD:
        return near
    far = [runner for runner in runners if runner.place != place]
    return runners if pool_load(far) < near_load else near


def pool_load(runners: Sequence[RunnerView]) -> float:
    """Return the calls that some runners hold for each of their slots."""
    n_slots = sum(runner.n_slots * runner.weight for runner in runners)
    n_outstanding = sum(runner.n_outstanding for runner in runners)
    return n_outstanding / n_slots if n_slots > 0 else float("inf")


def load_with_one_more(runner: RunnerView) -> float:
    """Return the calls per slot that the runner should get, with one more call."""
    n_slots = max(runner.n_slots * runner.weight, LEAST_SLOTS)
    return (runner.n_outstanding + 1) / n_slots


def proportional_delay(runner: RunnerView) -> float:
    """Return a delay that grows with every call that the runner holds."""
    return load_with_one_more(runner) * max(runner.latency_ms, MIN_LATENCY_MS)


def queueing_delay(runner: RunnerView) -> float:
    """Return a delay that grows fast only when calls have to wait for a slot.

    It then grows with the square of the load: a call that waits also holds up the
    calls after it, so a slower runner with a free slot is better for all. Below one
    call a slot it still grows a little, so that calls spread over equal runners.
    Latencies count in steps, so that small differences do not gather all calls.
    """
    load = load_with_one_more(runner)
    factor = max(1.0, load) ** 2 + SPREAD_SHARE * load
    return factor * latency_step_ms(runner.latency_ms)


def latency_step_ms(latency_ms: float) -> float:
    """Return the nearest step of a scale that grows by `LATENCY_STEP`."""
    steps = round(math.log(max(latency_ms, MIN_LATENCY_MS)) / _LOG_LATENCY_STEP)
    return float(LATENCY_STEP**steps)


def best_of(
    n_drawn: int,
    delay: Callable[[RunnerView], float],
    runners: Sequence[RunnerView],
    rng: random.Random,
) -> int:
    """Draw runners at random and return the index of the one with the least delay."""
    drawn = rng.sample(range(len(runners)), min(n_drawn, len(runners)))
    return min(drawn, key=lambda index: delay(runners[index]))


@routing_policy("random")
def random_runner(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Choose evenly at random."""
    return rng.randrange(len(runners))


@routing_policy("round_robin")
def round_robin(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Choose in turn."""
    return context.n_calls % len(runners)


@routing_policy("least_loaded")
def least_loaded(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Choose the runner with the fewest calls for its slots."""
    return min(
        range(len(runners)),
        key=lambda n: runners[n].n_outstanding / max(runners[n].n_slots, 1),
    )


@routing_policy("two_choices")
def two_choices(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Draw two runners and choose the one with the lower proportional delay."""
    return best_of(2, proportional_delay, runners, rng)


@routing_policy("three_choices")
def three_choices(
    context: RoutingContext, runners: Sequence[RunnerView], rng: random.Random
) -> int:
    """Draw three runners and choose the one with the lowest queueing delay."""
    return best_of(3, queueing_delay, runners, rng)
