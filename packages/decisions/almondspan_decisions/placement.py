"""On which agents a task may be placed, best first.

A placement policy scores an agent for a task; lower is better. `rank_agents`
filters the agents that could hold the task and sorts them by score.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
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
]


@dataclass(frozen=True, slots=True)
class AgentView:
    """What an entry knows of an agent with a worker."""

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


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task looking for an agent."""

    shape: Shape
    task_class: TaskClass
    urgent: bool
    avoid: tuple[WorkerId, ...] = ()


PlacementPolicy = Callable[[PlacementRequest, AgentView, random.Random], float]

PLACEMENT_POLICIES: Final[dict[str, PlacementPolicy]] = {}


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under `name`."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


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
