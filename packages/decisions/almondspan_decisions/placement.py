"""On which agents a task may be placed, best first.

A placement policy scores an agent for a task; lower is better. `rank_agents`
filters the agents that could hold the task and sorts them by score; an infinite
score leaves the agent out.

The policy ``colocated`` adds up, all as shares of a worker:

- the harm that the task's class is expected to do to the agent's services, from
  what its worker has learned of the pair;
- the part of the task that would take room from the services' next crest;
- the levels of the ladder in force, since the worker has no room to give;
- the distance, when the request names a place;
- a small weight on fullness, so that ties spread the work.
"""

import math
import random
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Final

from almondspan_decisions.ids import (
    AgentId,
    PlaceName,
    ServiceName,
    TaskClass,
    WorkerId,
)
from almondspan_decisions.shapes import Shape

__all__ = [
    "PLACEMENT_POLICIES",
    "AgentView",
    "PlacementPolicy",
    "PlacementRequest",
    "placement_policy",
    "rank_agents",
    "share_slowdowns",
]


@dataclass(frozen=True, slots=True)
class AgentView:
    """What an entry knows of an agent with a worker.

    ``crest_millicores`` is what its services are expected to use at their next
    crest. ``harms`` holds, for each task class that its worker has met, the learned
    factor on the services' latency when the class fills the worker.
    """

    agent_id: AgentId
    worker_id: WorkerId
    place: PlaceName
    capacity: Shape
    free: Shape
    n_tasks: int
    draining: bool
    resting: bool
    ladder_level: int
    services: tuple[ServiceName, ...] = ()
    classes: tuple[tuple[TaskClass, int], ...] = ()
    cpu_used_millicores: int = 0
    peak_millicores: int = 0
    harms: tuple[tuple[TaskClass, float], ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task looking for an agent.

    ``place`` is where its data are, None when that does not matter.
    ``sequence`` counts the requests of whoever places.
    """

    shape: Shape
    task_class: TaskClass
    urgent: bool
    avoid: tuple[WorkerId, ...] = ()
    place: PlaceName | None = None
    sequence: int = 0


PlacementPolicy = Callable[[PlacementRequest, AgentView, random.Random], float]

PLACEMENT_POLICIES: Final[dict[str, PlacementPolicy]] = {}

UNKNOWN_HARM: Final = 1.3
"""The harm assumed of a class that a worker with services has not met."""

LADDER_WEIGHT: Final = 0.5
FULLNESS_WEIGHT: Final = 0.1
DISTANCE_WEIGHT: Final = 0.05

_GOLDEN: Final = 0.618033988749895


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under `name`."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


def share_slowdowns(agents: Iterable[AgentView]) -> list[AgentView]:
    """Give each agent the harms that all agents with the same services learned.

    The harm of a class is the geometric mean over the workers that have met it.
    """
    views = list(agents)
    logs: dict[tuple[ServiceName, ...], dict[TaskClass, list[float]]] = {}
    for view in views:
        by_class = logs.setdefault(view.services, {})
        for task_class, harm in view.harms:
            by_class.setdefault(task_class, []).append(math.log(max(1.0, harm)))
    means = {
        services: tuple(
            (task_class, math.exp(sum(found) / len(found)))
            for task_class, found in sorted(by_class.items())
        )
        for services, by_class in logs.items()
    }
    return [replace(view, harms=means[view.services]) for view in views]


def rank_agents(
    request: PlacementRequest,
    agents: Iterable[AgentView],
    policy: PlacementPolicy,
    rng: random.Random,
) -> list[AgentView]:
    """Return the agents that could admit the task now, best first.

    Workers to avoid come last rather than not at all, since they may be the only
    ones left.
    """
    scored = [
        (agent.worker_id in request.avoid, policy(request, agent, rng), agent)
        for agent in agents
        if may_place(request, agent)
    ]
    scored = [item for item in scored if math.isfinite(item[1])]
    scored.sort(key=lambda item: (item[0], item[1], item[2].agent_id))
    return [agent for _, _, agent in scored]


def may_place(request: PlacementRequest, agent: AgentView) -> bool:
    """Tell whether an agent takes new work and has room for the task."""
    return (
        not agent.draining
        and not agent.resting
        and bool(agent.worker_id)
        and request.shape.fits_in(agent.free)
    )


@placement_policy("random")
def random_placement(
    request: PlacementRequest, agent: AgentView, rng: random.Random
) -> float:
    """Score at random."""
    return rng.random()


@placement_policy("least_loaded")
def least_loaded(
    request: PlacementRequest, agent: AgentView, rng: random.Random
) -> float:
    """Score by the share of the worker in use after the task was added."""
    used = agent.capacity - agent.free + request.shape
    return used.dominant_share(agent.capacity) + 0.01 * rng.random()


@placement_policy("round_robin")
def round_robin(
    request: PlacementRequest, agent: AgentView, rng: random.Random
) -> float:
    """Score by the distance on a ring from a point that turns with each request."""
    position = zlib.crc32(agent.agent_id.encode()) / 2.0**32
    return (position - request.sequence * _GOLDEN) % 1.0


@placement_policy("static_partition")
def static_partition(
    request: PlacementRequest, agent: AgentView, rng: random.Random
) -> float:
    """Keep batch work off every worker that serves; spread over the others."""
    if agent.services:
        return math.inf
    return least_loaded(request, agent, rng)


@placement_policy("colocated")
def colocated(request: PlacementRequest, agent: AgentView, rng: random.Random) -> float:
    """Score by harm to the services, room at the crest, level and distance."""
    task_share = request.shape.cpu_millicores / max(1, agent.capacity.cpu_millicores)
    is_distant = request.place is not None and agent.place != request.place
    return (
        _expected_harm(request, agent) * task_share
        + _crest_overlap(request, agent)
        + LADDER_WEIGHT * agent.ladder_level
        + DISTANCE_WEIGHT * is_distant
        + FULLNESS_WEIGHT * least_loaded(request, agent, rng)
    )


def _expected_harm(request: PlacementRequest, agent: AgentView) -> float:
    """Return the logarithm of the slowdown if the class filled the worker."""
    if not agent.services:
        return 0.0
    harm = dict(agent.harms).get(request.task_class, UNKNOWN_HARM)
    return math.log(max(1.0, harm))


def _crest_overlap(request: PlacementRequest, agent: AgentView) -> float:
    """Return the share of the worker that task and crest would both want."""
    capacity = max(1, agent.capacity.cpu_millicores)
    used = capacity - agent.free.cpu_millicores + request.shape.cpu_millicores
    overlap = used + agent.peak_millicores - capacity
    return max(0.0, min(overlap, request.shape.cpu_millicores)) / capacity
