"""Delivers messages between a router and admissions like faulty channels.

Messages of a channel stay in order. A channel can become silent: messages in transit
are then lost, or some of those to the agent arrive after it has a new channel. The
transport checks that no admission sends more of an answer than its credit allows.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from random import Random

from service_path import ENTRY, ServicePath

from almondspan_decisions.ids import AgentId
from almondspan_wire.codec import Message
from almondspan_wire.service_messages import (
    AnswerCredit,
    AnswerData,
    CallOpen,
    CallRecover,
)

Deliver = Callable[[AgentId, Message], None]


class LossyTransport:
    """Delays and loses messages of a `ServicePath`."""

    def __init__(self, path: ServicePath, rng: Random) -> None:
        self._path = path
        self._rng = rng
        self._generation: dict[AgentId, int] = defaultdict(int)
        self._silent: set[AgentId] = set()
        self._last_s: dict[tuple[AgentId, bool], float] = defaultdict(float)
        self._credit: dict[tuple[AgentId, int], int] = defaultdict(int)
        self.n_lost = 0
        self.n_stale = 0
        path.carry_to_agent = self._to_agent
        path.carry_to_router = self._to_router

    def _to_agent(self, agent_id: AgentId, message: Message) -> None:
        self._deliver_later(agent_id, message, True, self._deliver_to_agent)

    def _to_router(self, agent_id: AgentId, message: Message) -> None:
        if isinstance(message, AnswerData):
            key = (agent_id, message.call_id)
            self._credit[key] -= len(message.data)
            assert self._credit[key] >= 0, "more was sent than the credit allows"
        self._deliver_later(agent_id, message, False, self._path.to_router)

    def _deliver_to_agent(self, agent_id: AgentId, message: Message) -> None:
        if isinstance(message, AnswerCredit):
            self._credit[agent_id, message.call_id] += message.n_bytes
        if isinstance(message, (CallOpen, CallRecover)):
            self._credit[agent_id, message.call_id] += message.credit_bytes
        self._path.admissions[agent_id].on_message(ENTRY, message)

    def _deliver_later(
        self, agent_id: AgentId, message: Message, to_agent: bool, deliver: Deliver
    ) -> None:
        loop = asyncio.get_running_loop()
        direction = (agent_id, to_agent)
        at_s = loop.time() + self._rng.choice([0.0, 0.0005, 0.02 * self._rng.random()])
        at_s = max(at_s, self._last_s[direction] + 1e-6)
        self._last_s[direction] = at_s
        generation = self._generation[agent_id]
        loop.call_at(at_s, self._arrive, agent_id, message, generation, deliver)

    def _arrive(
        self, agent_id: AgentId, message: Message, generation: int, deliver: Deliver
    ) -> None:
        current = self._generation[agent_id] == generation
        if current and agent_id not in self._silent:
            deliver(agent_id, message)
        elif deliver == self._deliver_to_agent and self._rng.random() < 0.5:
            self.n_stale += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.random() * 5.0, deliver, agent_id, message)
        else:
            self.n_lost += 1

    async def break_channel(self, agent_id: AgentId) -> None:
        """Make a channel silent, close it on both sides, and open a new one."""
        if agent_id not in self._path.connected:
            return
        self._silent.add(agent_id)
        await asyncio.sleep(self._rng.choice([0.0, 3.0 * self._rng.random()]))
        self._path.connected.discard(agent_id)
        sides = [
            lambda: self._path.router.agent_left(agent_id),
            lambda: self._path.admissions[agent_id].entry_left(ENTRY),
        ]
        self._rng.shuffle(sides)
        sides[0]()
        await asyncio.sleep(self._rng.choice([0.0, self._rng.random()]))
        sides[1]()
        await asyncio.sleep(self._rng.choice([0.01, 4.0 * self._rng.random()]))
        self._generation[agent_id] += 1
        self._silent.discard(agent_id)
        self._path.connect(agent_id)
