"""Finds the agents that can hold a task.

The index keeps the latest status of each agent. Capacity that it offered in answer to
recent queries is subtracted as tentatively assigned, so that owners that ask at the
same moment are not all sent to one agent. The next status of an agent replaces its
tentative assignments.
"""

import random
from collections.abc import Callable
from dataclasses import replace

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import AgentId
from almondspan_decisions.placement import (
    PLACEMENT_POLICIES,
    AgentView,
    PlacementRequest,
    rank_agents,
    share_slowdowns,
)
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    CandidatesFound,
    FindCandidates,
    FoundAgent,
)

__all__ = ["CapacityIndex"]


class CapacityIndex:
    """Free capacity of all connected agents; an `AgentListener`."""

    def __init__(
        self, post: Callable[[AgentId, Message], bool], rng: random.Random
    ) -> None:
        self._post = post
        self._rng = rng
        self._policy = PLACEMENT_POLICIES["least_loaded"]
        self._hellos: dict[AgentId, AgentHello] = {}
        self._views: dict[AgentId, AgentView] = {}
        self._tentative: dict[AgentId, Shape] = {}
        self.n_queries = 0

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Use the placement policy that the configuration names."""
        known = PLACEMENT_POLICIES.get(fleet.policies.placement)
        if known is not None:
            self._policy = known

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Record an agent's total capacity."""
        self._hellos[agent_id] = hello

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Replace the agent's view and drop its tentative assignments."""
        hello = self._hellos[agent_id]
        self._tentative.pop(agent_id, None)
        self._views[agent_id] = AgentView(
            agent_id=agent_id,
            worker_id=hello.worker_id,
            place=hello.place,
            capacity=hello.capacity,
            free=status.free,
            n_tasks=status.n_tasks,
            draining=status.draining,
            resting=status.resting,
            ladder_level=status.ladder_level,
            services=tuple(runner.service for runner in status.runners),
            classes=status.classes,
            cpu_used_millicores=status.cpu_used_millicores,
            peak_millicores=status.peak_millicores,
            slowdowns=status.slowdowns,
        )

    def agent_left(self, agent_id: AgentId) -> None:
        """Remove an agent."""
        self._hellos.pop(agent_id, None)
        self._views.pop(agent_id, None)
        self._tentative.pop(agent_id, None)

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Answer an owner's query for candidates."""
        if not isinstance(body, FindCandidates):
            return False
        self.n_queries += 1
        self._post(agent_id, self.find(body))
        return True

    def find(self, query: FindCandidates) -> CandidatesFound:
        """Return the best agents for a query, assigning it tentatively to the first."""
        request = PlacementRequest(
            query.shape,
            query.task_class,
            query.urgent,
            query.avoid,
            sequence=self.n_queries,
        )
        views = share_slowdowns(map(self._subtract_tentative, self._views.values()))
        ranked = rank_agents(request, views, self._policy, self._rng)
        found = ranked[: query.n_wanted]
        if found:
            best = found[0].agent_id
            tentative = self._tentative.get(best, EMPTY_SHAPE)
            self._tentative[best] = tentative + query.shape
        workers = [hello for hello in self._hellos.values() if hello.worker_id]
        return CandidatesFound(
            query.query_id,
            tuple(
                FoundAgent(view.agent_id, view.worker_id, view.place, view.free)
                for view in found
            ),
            any(query.shape.fits_in(hello.capacity) for hello in workers),
            len(workers),
        )

    def _subtract_tentative(self, view: AgentView) -> AgentView:
        tentative = self._tentative.get(view.agent_id)
        if tentative is None:
            return view
        return replace(view, free=view.free - tentative)
