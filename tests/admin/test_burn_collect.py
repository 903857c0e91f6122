"""A burn collection queries every agent once and counts those that do not answer."""

import asyncio

import pytest
from virtual_time import run_virtual

from almondspan_admin.burn_collect import BurnCollector, answer_burn
from almondspan_admin.burn_messages import BurnAnswer, ServiceEvidence, WindowCounts
from almondspan_decisions.fleet import FleetConfig, ServiceConfig
from almondspan_decisions.ids import AgentId
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_wire.membership import AgentStatus, RunnerStatus

FLEET = FleetConfig(services=(ServiceConfig("clips", 100), ServiceConfig("mains", 30)))


class Source:
    def __init__(self, service):
        self.service = service

    def evidence(self):
        return ServiceEvidence(self.service, (WindowCounts(60.0, 10, 1),))


class Harness:
    """A collector with agents that answer, are late, leave, or are not connected."""

    def __init__(self, behaviours):
        self.behaviours = behaviours
        self.n_queried = 0
        self.collector = BurnCollector(self.send, lambda: FLEET)
        for agent_id, (service, _) in behaviours.items():
            self.collector.agent_joined(agent_id, None)
            runners = (RunnerStatus(service, 8, 0, 0),) if service else ()
            status = AgentStatus(1, EMPTY_SHAPE, 0, False, 1, runners=runners)
            self.collector.on_status(agent_id, status)

    def send(self, agent_id, ask):
        self.n_queried += 1
        service, behaviour = self.behaviours[agent_id]
        loop = asyncio.get_running_loop()
        answer = answer_burn(ask, [Source(service)])
        if behaviour == "answers":
            loop.call_later(0.1, self.collector.on_message, agent_id, answer)
        if behaviour == "twice":
            loop.call_later(0.1, self.collector.on_message, agent_id, answer)
            loop.call_later(0.2, self.collector.on_message, agent_id, answer)
        if behaviour == "late":
            loop.call_later(9.0, self.collector.on_message, agent_id, answer)
        if behaviour == "leaves":
            loop.call_later(0.1, self.collector.agent_left, agent_id)
        if behaviour == "other query":
            other = BurnAnswer(ask.query_id + 1, answer.services)
            loop.call_later(0.1, self.collector.on_message, agent_id, other)
        return behaviour != "unconnected"


@pytest.mark.parametrize(
    ("behaviours", "clips", "mains", "took_s"),
    [
        pytest.param({}, (0, 0), (0, 0), 0, id="no agent"),
        pytest.param({"a": ("", "late")}, (0, 0), (0, 0), 0, id="no runner"),
        pytest.param(
            {"a": ("clips", "answers"), "b": ("mains", "answers")},
            (1, 0),
            (1, 0),
            0.1,
            id="all answer",
        ),
        pytest.param(
            {"a": ("clips", "answers"), "b": ("clips", "late")},
            (1, 1),
            (0, 0),
            2.0,
            id="one is late",
        ),
        pytest.param(
            {"a": ("clips", "twice"), "b": ("clips", "answers")},
            (2, 0),
            (0, 0),
            0.1,
            id="one answers twice",
        ),
        pytest.param(
            {"a": ("clips", "leaves"), "b": ("mains", "unconnected")},
            (0, 1),
            (0, 1),
            0.1,
            id="one leaves, one is gone",
        ),
        pytest.param({"a": ("clips", "other query")}, (0, 1), (0, 0), 2.0, id="stray"),
    ],
)
def test_collection(behaviours, clips, mains, took_s):
    async def run():
        harness = Harness({AgentId(name): one for name, one in behaviours.items()})
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        found = await harness.collector.burn()
        return found, loop.time() - began_s

    found, time_s = run_virtual(run())
    assert [(one.n_reporting, one.n_missing) for one in found] == [clips, mains]
    assert time_s == pytest.approx(took_s)


def test_requests_share_a_collection():
    async def run():
        harness = Harness({AgentId("a"): ("clips", "answers")})
        first = asyncio.create_task(harness.collector.burn())
        gone = asyncio.create_task(harness.collector.burn())
        await asyncio.sleep(0.05)
        gone.cancel()
        found = await first
        n_queried = harness.n_queried
        await harness.collector.burn()
        return found[0].n_reporting, n_queried, harness.n_queried

    assert run_virtual(run()) == (1, 1, 2)


def test_other_messages_are_not_handled():
    collector = BurnCollector(lambda agent_id, body: True, lambda: FLEET)
    assert not collector.on_message(
        AgentId("a"), AgentStatus(1, EMPTY_SHAPE, 0, False, 1)
    )
