"""Ranks the agents on which a task may be placed, best first.

A placement policy scores an agent for a task; lower is better. `rank_agents` filters
the agents that have capacity for the task and sorts them by score; an infinite score
excludes the agent.

The policy ``colocated`` adds up, all as shares of a worker:

- the expected slowdown of the agent's services by the task's class, as learned on
  the worker;
- the part of the task that overlaps with the predicted peak of the services;
- the current escalation level, since that worker is already short of capacity;
- the distance, if the request names a place;
- a small weight on utilization, to spread work over otherwise equal agents.
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

    ``peak_millicores`` is the predicted peak usage of its services. ``slowdowns``
    holds, for each task class that has run on its worker, the learned factor on the
    services' latency when the class uses the whole worker.
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
    slowdowns: tuple[tuple[TaskClass, float], ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place a task.

    ``place`` is where its data are, or None if that does not matter.
    ``sequence`` counts the requests of the requester.
    """

    shape: Shape
    task_class: TaskClass
    urgent: bool
    avoid: tuple[WorkerId, ...] = ()
    place: PlaceName | None = None
    sequence: int = 0


PlacementPolicy = Callable[[PlacementRequest, AgentView, random.Random], float]

PLACEMENT_POLICIES: Final[dict[str, PlacementPolicy]] = {}

UNKNOWN_SLOWDOWN: Final = 1.3
"""Slowdown assumed for a class that has not run on a worker with services."""

ESCALATION_WEIGHT: Final = 0.5
FULLNESS_WEIGHT: Final = 0.1
DISTANCE_WEIGHT: Final = 0.05

_GOLDEN_RATIO_FRACTION: Final = 0.618033988749895


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under `name`."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


def share_slowdowns(agents: Iterable[AgentView]) -> list[AgentView]:
    """Replace each agent's slowdowns by those of all agents with the same services.

    The slowdown by a class is the geometric mean over the workers that have run it.
    """
    views = list(agents)
    logs: dict[tuple[ServiceName, ...], dict[TaskClass, list[float]]] = {}
    for view in views:
        by_class = logs.setdefault(view.services, {})
        for task_class, slowdown in view.slowdowns:
            by_class.setdefault(task_class, []).append(math.log(max(1.0, slowdown)))
    means = {
        services: tuple(
            (task_class, math.exp(sum(found) / len(found)))
            for task_class, found in sorted(by_class.items())
        )
        for services, by_class in logs.items()
    }
    return [replace(view, slowdowns=means[view.services]) for view in views]


def rank_agents(
    request: PlacementRequest,
    agents: Iterable[AgentView],
    policy: PlacementPolicy,
    rng: random.Random,
) -> list[AgentView]:
    """Return the agents that could admit the task now, best first.

    Workers to avoid are ranked last instead of being excluded, since they may be the
    only ones left.
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
    """Return whether an agent accepts new work and has capacity for the task."""
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
    """Score randomly."""
    return rng.random()


@placement_policy("least_loaded")
def least_loaded(
    request: PlacementRequest, agent: AgentView, rng: random.Random
) -> float:
    """Score by the share of the worker in use with the task added."""
    used = agent.capacity - agent.free + request.shape
    return used.dominant_share(agent.capacity) + 0.01 * rng.random()


@placement_policy("round_robin")
def round_robin(
    request: PlacementRequest, agent: AgentView, rng: random.Random
) -> float:
    """Score by the distance on a ring from a point that advances with each request."""
    position = zlib.crc32(agent.agent_id.encode()) / 2.0**32
    return (position - request.sequence * _GOLDEN_RATIO_FRACTION) % 1.0


@placement_policy("static_partition")
def static_partition(
    request: PlacementRequest, agent: AgentView, rng: random.Random
) -> float:
    """Exclude workers with services; use ``least_loaded`` for the others."""
    if agent.services:
        return math.inf
    return least_loaded(request, agent, rng)


@placement_policy("colocated")
def colocated(request: PlacementRequest, agent: AgentView, rng: random.Random) -> float:
    """Score by slowdown of services, overlap with their peak, level and distance."""
    task_share = request.shape.cpu_millicores / max(1, agent.capacity.cpu_millicores)
    is_distant = request.place is not None and agent.place != request.place
    return (
        _log_slowdown(request, agent) * task_share
        + _peak_overlap(request, agent)
        + ESCALATION_WEIGHT * agent.ladder_level
        + DISTANCE_WEIGHT * is_distant
        + FULLNESS_WEIGHT * least_loaded(request, agent, rng)
    )


def _log_slowdown(request: PlacementRequest, agent: AgentView) -> float:
    """Return the logarithm of the slowdown if the class used the whole worker."""
    if not agent.services:
        return 0.0
    slowdown = dict(agent.slowdowns).get(request.task_class, UNKNOWN_SLOWDOWN)
    return math.log(max(1.0, slowdown))


def _peak_overlap(request: PlacementRequest, agent: AgentView) -> float:
    """Return the share of the worker that both the task and the peak would need."""
    capacity = max(1, agent.capacity.cpu_millicores)
    used = capacity - agent.free.cpu_millicores + request.shape.cpu_millicores
    overlap = used + agent.peak_millicores - capacity
    return max(0.0, min(overlap, request.shape.cpu_millicores)) / capacity
