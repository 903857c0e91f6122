"""Collects statistics from all agents for a burn-rate report.

A collection runs on demand: the entry queries each agent that serves a runner once,
waits a bounded time for the answers, and merges them. Agents that do not answer are
counted as missing. Concurrent requests share one collection.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from almondspan_admin.burn_merge import merge_burn
from almondspan_admin.burn_messages import BurnAnswer, BurnAsk, ServiceEvidence
from almondspan_admin.fleet_view import ServiceBurn
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import AgentId, ServiceName
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentHello, AgentStatus

__all__ = [
    "BurnCollector",
    "BurnOptions",
    "EvidenceSource",
    "answer_burn",
]


class EvidenceSource(Protocol):
    """A component of an agent that has statistics of a service."""

    def evidence(self) -> ServiceEvidence:
        """Return the current statistics."""
        ...


def answer_burn(ask: BurnAsk, sources: Iterable[EvidenceSource]) -> BurnAnswer:
    """Return an agent's answer to an entry's query."""
    return BurnAnswer(ask.query_id, tuple(source.evidence() for source in sources))


@dataclass(frozen=True, slots=True)
class BurnOptions:
    """How long a collection waits for the agents' answers."""

    timeout_s: float = 2.0


@dataclass(slots=True)
class _Collection:
    query_id: int
    pending: set[AgentId]
    answers: dict[AgentId, BurnAnswer]
    complete: asyncio.Event
    queried: dict[AgentId, frozenset[ServiceName]]


class BurnCollector:
    """Runs collections on an entry; a listener of the entry's agents.

    Parameters
    ----------
    send : Callable[[AgentId, Message], bool]
        Sends a message to an agent; False when it is not connected.
    fleet : Callable[[], FleetConfig]
        Returns the current configuration.
    options : BurnOptions, optional
    """

    def __init__(
        self,
        send: Callable[[AgentId, Message], bool],
        fleet: Callable[[], FleetConfig],
        options: BurnOptions | None = None,
    ) -> None:
        self._send = send
        self._fleet = fleet
        self._options = options or BurnOptions()
        self._services: dict[AgentId, frozenset[ServiceName]] = {}
        self._collection: _Collection | None = None
        self._task: asyncio.Task[tuple[ServiceBurn, ...]] | None = None
        self._n_queries = 0

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Add an agent; it is queried once its status names a runner."""
        self._services[agent_id] = frozenset()

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Record which services the agent serves."""
        names = frozenset(runner.service for runner in status.runners)
        if self._services.get(agent_id) != names:
            self._services[agent_id] = names

    def agent_left(self, agent_id: AgentId) -> None:
        """Remove an agent; it counts as missing unless it has answered."""
        self._services.pop(agent_id, None)
        if self._collection is not None:
            self._mark_done(self._collection, agent_id)

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Handle an agent's answer; return False for other messages."""
        if not isinstance(body, BurnAnswer):
            return False
        collection = self._collection
        if collection is not None and body.query_id == collection.query_id:
            if agent_id in collection.pending:
                collection.answers[agent_id] = body
            self._mark_done(collection, agent_id)
        return True

    async def burn(self) -> tuple[ServiceBurn, ...]:
        """Query the agents and return the burn of each service."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._collect(), name="burn collection")
        # Shielded: other callers may be waiting for the same collection.
        return await asyncio.shield(self._task)

    async def close(self) -> None:
        """Cancel a collection that is in progress."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _collect(self) -> tuple[ServiceBurn, ...]:
        self._n_queries += 1
        queried = {agent: names for agent, names in self._services.items() if names}
        collection = _Collection(
            self._n_queries, set(queried), {}, asyncio.Event(), queried
        )
        self._collection = collection
        for agent_id in queried:
            if not self._send(agent_id, BurnAsk(collection.query_id)):
                self._mark_done(collection, agent_id)
        if collection.pending:
            try:
                async with asyncio.timeout(self._options.timeout_s):
                    await collection.complete.wait()
            except TimeoutError:
                pass
        self._collection = None
        return self._merge(collection)

    def _mark_done(self, collection: _Collection, agent_id: AgentId) -> None:
        collection.pending.discard(agent_id)
        if not collection.pending:
            collection.complete.set()

    def _merge(self, collection: _Collection) -> tuple[ServiceBurn, ...]:
        evidence = [
            report
            for answer in collection.answers.values()
            for report in answer.services
        ]
        return tuple(
            merge_burn(service, evidence, _n_missing(collection, service.name))
            for service in self._fleet().services
        )


def _n_missing(collection: _Collection, service: ServiceName) -> int:
    return sum(
        service in names and agent_id not in collection.answers
        for agent_id, names in collection.queried.items()
    )
