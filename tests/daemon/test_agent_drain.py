"""Drain, resume and shutdown of an agent in any order, in virtual time."""

import asyncio
import random
from typing import cast

import pytest

from almondspan_daemon.agent_components import AgentComponents
from almondspan_daemon.agent_drain import (
    HAND_OVER_TIMEOUT_S,
    AgentDrain,
    DrainState,
)
from almondspan_daemon.supervisor import Supervisor
from almondspan_standins.virtual_time import run_in_virtual_time
from almondspan_wire.membership import DrainRequest

DRAIN = DrainRequest()
RESUME = DrainRequest(resume=True)


class FakeComponent:
    """A component that takes ``drain_s`` to drain."""

    def __init__(self, name: str, drain_s: float, log: list[str]) -> None:
        self.name = name
        self.drain_s = drain_s
        self.log = log
        self.refuses = False

    async def drain(self) -> None:
        self.refuses = True
        self.log.append(f"{self.name} drains")
        await asyncio.sleep(self.drain_s)
        self.log.append(f"{self.name} is empty")

    def resume(self) -> None:
        self.refuses = False


class Harness:
    """An `AgentDrain` over three fake components."""

    def __init__(
        self,
        admission_s: float = 1.0,
        attempt_agent_s: float = 2.0,
        host_s: float = 1.0,
    ):
        self.log: list[str] = []
        self.admissions = FakeComponent("admissions", admission_s, self.log)
        self.attempt_agent = FakeComponent("attempt agent", attempt_agent_s, self.log)
        self.host = FakeComponent("host", host_s, self.log)
        self.n_changes = 0
        self.supervisor = Supervisor("agent", random.Random(1))
        self.components = cast(AgentComponents, self)
        self.drain = AgentDrain(self.supervisor, self.components, self.on_change)

    def on_change(self) -> None:
        self.n_changes += 1

    def refusing(self) -> list[str]:
        components = (self.admissions, self.attempt_agent, self.host)
        return [component.name for component in components if component.refuses]


def test_work_is_refused_at_once_and_shards_are_handed_over_last() -> None:
    async def main() -> None:
        harness = Harness(admission_s=100.0)
        harness.drain.on_request(DRAIN)
        assert harness.drain.is_draining
        await asyncio.sleep(0.1)
        assert harness.refusing() == ["admissions", "attempt agent"]
        await asyncio.sleep(5.0)
        assert harness.log[2:] == [
            "attempt agent is empty",
            "host drains",
            "host is empty",
        ]
        await harness.supervisor.close()

    run_in_virtual_time(main())


@pytest.mark.parametrize(
    ("requests", "state"),
    [
        pytest.param([DRAIN], DrainState.DRAINING, id="drain"),
        pytest.param([DRAIN, DRAIN], DrainState.DRAINING, id="drain twice"),
        pytest.param([RESUME], DrainState.SERVING, id="resume alone"),
        pytest.param([DRAIN, RESUME], DrainState.SERVING, id="drain, resume"),
        pytest.param([DRAIN, RESUME, DRAIN], DrainState.DRAINING, id="and drain"),
        pytest.param([DRAIN, RESUME, RESUME], DrainState.SERVING, id="resume twice"),
    ],
)
@pytest.mark.parametrize("pause_s", [0.0, 0.5, 1.5, 2.5, 10.0])
def test_last_request_wins(
    requests: list[DrainRequest], state: DrainState, pause_s: float
) -> None:
    async def main() -> None:
        harness = Harness()
        for request in requests:
            harness.drain.on_request(request)
            if pause_s:
                await asyncio.sleep(pause_s)
        await asyncio.sleep(20.0)
        assert harness.drain.state is state
        assert len(harness.refusing()) == (3 if state is DrainState.DRAINING else 0)
        await harness.supervisor.close()

    run_in_virtual_time(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 2.5, 10.0])
def test_shutdown_during_a_drain_is_neither_blocked_nor_reverted(
    delay_s: float,
) -> None:
    async def main() -> None:
        harness = Harness()
        harness.drain.on_request(DRAIN)
        await asyncio.sleep(delay_s)
        ending = asyncio.create_task(harness.drain.drain_to_end())
        await asyncio.sleep(0.1)
        harness.drain.on_request(RESUME)
        assert harness.drain.state is DrainState.ENDING
        async with asyncio.timeout(10.0):
            await ending
        assert len(harness.refusing()) == 3
        await harness.supervisor.close()

    run_in_virtual_time(main())


def test_failing_hand_over_does_not_block_shutdown() -> None:
    async def main() -> None:
        harness = Harness(host_s=1e6)
        async with asyncio.timeout(HAND_OVER_TIMEOUT_S + 5.0):
            await harness.drain.drain_to_end()
        await harness.supervisor.close()

    run_in_virtual_time(main())


def test_shutdown_waits_for_calls_in_flight() -> None:
    async def main() -> None:
        harness = Harness(admission_s=300.0)
        await harness.drain.drain_to_end()
        assert harness.log[-1] == "admissions is empty"
        await harness.supervisor.close()

    run_in_virtual_time(main())
