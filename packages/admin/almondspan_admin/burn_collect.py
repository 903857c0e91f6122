"""Collects the figures of every agent for a burn report.

Nothing is sent until somebody asks: the entry then asks each agent with a runner
once, waits a bounded time for the answers, and merges them. Agents that gave none
count as missing. Requests that come while a collection is under way share it.
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
    """A part of an agent that knows figures of a service."""

    def evidence(self) -> ServiceEvidence:
        """Return the figures up to now."""
        ...


def answer_burn(ask: BurnAsk, sources: Iterable[EvidenceSource]) -> BurnAnswer:
    """Return an agent's answer to an entry."""
    return BurnAnswer(ask.query_id, tuple(source.evidence() for source in sources))


@dataclass(frozen=True, slots=True)
class BurnOptions:
    """How long a collection waits for answers."""

    timeout_s: float = 2.0


@dataclass(slots=True)
class _Collection:
    query_id: int
    waits_for: set[AgentId]
    answers: dict[AgentId, BurnAnswer]
    complete: asyncio.Event
    asked: dict[AgentId, frozenset[ServiceName]]


class BurnCollector:
    """The entry's half; also a listener of its agents.

    Parameters
    ----------
    post : Callable[[AgentId, Message], bool]
        Sends a message to an agent; False when it is not connected.
    fleet : Callable[[], FleetConfig]
        Returns the configuration in force.
    options : BurnOptions, optional
    """

    def __init__(
        self,
        post: Callable[[AgentId, Message], bool],
        fleet: Callable[[], FleetConfig],
        options: BurnOptions | None = None,
    ) -> None:
        self._post = post
        self._fleet = fleet
        self._options = options or BurnOptions()
        self._services: dict[AgentId, frozenset[ServiceName]] = {}
        self._collection: _Collection | None = None
        self._task: asyncio.Task[tuple[ServiceBurn, ...]] | None = None
        self._n_queries = 0

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Expect figures of the agent once it names its runners."""
        self._services[agent_id] = frozenset()

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Note which services the agent serves."""
        names = frozenset(runner.service for runner in status.runners)
        if self._services.get(agent_id) != names:
            self._services[agent_id] = names

    def agent_left(self, agent_id: AgentId) -> None:
        """Wait no longer for an agent; what it did not answer is missing."""
        self._services.pop(agent_id, None)
        if self._collection is not None:
            self._end_wait(self._collection, agent_id)

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Take the answers of agents."""
        if not isinstance(body, BurnAnswer):
            return False
        collection = self._collection
        if collection is not None and body.query_id == collection.query_id:
            if agent_id in collection.waits_for:
                collection.answers[agent_id] = body
            self._end_wait(collection, agent_id)
        return True

    async def burn(self) -> tuple[ServiceBurn, ...]:
        """Ask every agent and return the burn of each service."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._collect(), name="burn collection")
        # A caller that goes away does not end the collection of the others.
        return await asyncio.shield(self._task)

    async def close(self) -> None:
        """End a collection that is under way."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _collect(self) -> tuple[ServiceBurn, ...]:
        self._n_queries += 1
        asked = {agent: names for agent, names in self._services.items() if names}
        collection = _Collection(
            self._n_queries, set(asked), {}, asyncio.Event(), asked
        )
        self._collection = collection
        for agent_id in asked:
            if not self._post(agent_id, BurnAsk(collection.query_id)):
                self._end_wait(collection, agent_id)
        if collection.waits_for:
            try:
                async with asyncio.timeout(self._options.timeout_s):
                    await collection.complete.wait()
            except TimeoutError:
                pass
        self._collection = None
        return self._merge(collection)

    def _end_wait(self, collection: _Collection, agent_id: AgentId) -> None:
        collection.waits_for.discard(agent_id)
        if not collection.waits_for:
            collection.complete.set()

    def _merge(self, collection: _Collection) -> tuple[ServiceBurn, ...]:
        evidence = [
            one for answer in collection.answers.values() for one in answer.services
        ]
        return tuple(
            merge_burn(service, evidence, _n_missing(collection, service.name))
            for service in self._fleet().services
        )


def _n_missing(collection: _Collection, service: ServiceName) -> int:
    return sum(
        service in names and agent_id not in collection.answers
        for agent_id, names in collection.asked.items()
    )
