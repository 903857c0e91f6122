"""The runners that an entry knows, and the choice between them.

A row holds a runner's load as its agent told it last, with an answer or with a
status, corrected by what this entry has opened and closed there since.
"""

from collections.abc import Container, Sequence
from random import Random

from almondspan_decisions.ids import AgentId, EntryId, PlaceName, ServiceName
from almondspan_decisions.routing import (
    ROUTING_POLICIES,
    RoutingContext,
    RoutingPolicy,
    prefer_place,
    rendezvous_subset,
)
from almondspan_wire.membership import AgentHello, AgentStatus, RunnerStatus

__all__ = ["RunnerRow", "RunnerTable"]

UNKNOWN_SLOTS = 1
"""Slots of a runner whose status has not arrived."""


class RunnerRow:
    """A runner as one entry sees it; a `RunnerView` for the routing policies."""

    __slots__ = (
        "_n_open_then",
        "_n_reported",
        "agent_id",
        "draining",
        "latency_ms",
        "n_open",
        "n_slots",
        "place",
        "service",
        "weight",
    )

    def __init__(
        self, agent_id: AgentId, place: PlaceName, service: ServiceName
    ) -> None:
        self.agent_id = agent_id
        self.place = place
        self.service = service
        self.n_slots = UNKNOWN_SLOTS
        self.latency_ms = 0.0
        self.weight = 1.0
        self.draining = False
        self.n_open = 0
        self._n_reported = 0
        self._n_open_then = 0

    @property
    def n_outstanding(self) -> float:
        """How many calls the runner holds, of every entry."""
        estimate = self._n_reported + self.n_open - self._n_open_then
        return max(estimate, self.n_open)

    def on_load(self, n_held: int, latency_ms: float) -> None:
        """Take the number of calls that the agent says the runner holds."""
        self._n_reported = n_held
        self._n_open_then = self.n_open
        self.latency_ms = latency_ms

    def on_status(self, status: RunnerStatus) -> None:
        """Take a status of the runner."""
        self.n_slots = status.n_slots
        self.on_load(status.n_busy + status.n_queued, status.latency_ms)


class RunnerTable:
    """Rows by agent and by service.

    Parameters
    ----------
    entry_id : the entry, for its subset of the runners.
    place : the entry's place.
    n_subset : how many runners of a service the entry talks to.
    rng : randomness of the routing policies.
    """

    def __init__(
        self, entry_id: EntryId, place: PlaceName, n_subset: int, rng: Random
    ) -> None:
        self._entry_id = entry_id
        self._place = place
        self._n_subset = n_subset
        self._rng = rng
        self._policy: RoutingPolicy = ROUTING_POLICIES["two_choices"]
        self._n_calls = 0
        self._hellos: dict[AgentId, AgentHello] = {}
        self._rows: dict[AgentId, dict[ServiceName, RunnerRow]] = {}
        self._subsets: dict[ServiceName, list[RunnerRow]] = {}

    def set_policy(self, name: str) -> bool:
        """Use the policy registered as `name`; False when there is none."""
        policy = ROUTING_POLICIES.get(name)
        if policy is not None:
            self._policy = policy
        return policy is not None

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Know an agent; its runners come with its first status."""
        self._hellos[agent_id] = hello
        self._rows[agent_id] = {}
        self._subsets.clear()

    def agent_left(self, agent_id: AgentId) -> None:
        """Forget an agent."""
        self._hellos.pop(agent_id, None)
        self._rows.pop(agent_id, None)
        self._subsets.clear()

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Take the runners of an agent and their load."""
        hello = self._hellos.get(agent_id)
        if hello is None:
            return
        rows = self._rows[agent_id]
        for runner in status.runners:
            row = rows.get(runner.service)
            if row is None:
                row = RunnerRow(agent_id, hello.place, runner.service)
                rows[runner.service] = row
                self._subsets.clear()
            row.draining = status.draining
            row.on_status(runner)

    def choose(
        self, service: ServiceName, avoid: Container[AgentId]
    ) -> RunnerRow | None:
        """Return the runner for a call; None when there is none.

        Agents to avoid are chosen only when there is no other.
        """
        ready = [row for row in self._subset(service) if not row.draining]
        fresh = [row for row in ready if row.agent_id not in avoid]
        rows: Sequence[RunnerRow] = fresh or ready
        if not rows:
            return None
        near = prefer_place(self._place, rows)
        self._n_calls += 1
        index = self._policy(RoutingContext(self._n_calls), near, self._rng)
        return near[index]

    def _subset(self, service: ServiceName) -> list[RunnerRow]:
        known = self._subsets.get(service)
        if known is not None:
            return known
        serving = {
            agent_id: rows[service]
            for agent_id, rows in self._rows.items()
            if service in rows
        }
        chosen = rendezvous_subset(self._entry_id, serving, self._n_subset)
        self._subsets[service] = [serving[agent_id] for agent_id in chosen]
        return self._subsets[service]
