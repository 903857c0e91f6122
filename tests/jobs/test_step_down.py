"""Owners that step down, and what their entries then know of the ownership."""

import asyncio
from collections.abc import Iterator

import pytest
from job_simulation import JobSimulation, other_than, owner_of, started

from almondspan_jobs.records import OWNER_KEY, AgentRecord, OwnerRecord, decode_record

PAUSE_S = 6.0
LATE_ANSWER_S = 0.9
STEP_S = 0.01
MAX_STEPS = 1_000


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(3, n_entries=2, n_agents=2)


def stored_owner(simulation: JobSimulation) -> str:
    found: list[str] = []

    def read(simulation: JobSimulation) -> None:
        item = simulation.store.get(OWNER_KEY)
        if item is not None:
            record = decode_record(OwnerRecord, item.value)
            assert isinstance(record, OwnerRecord)
            found.append(record.node)

    simulation.run_in_loop(read)
    return found[0] if found else ""


def test_resumed_owner_takes_over_when_its_successor_has_resigned(
    simulation: JobSimulation,
) -> None:
    """Guards against an entry that waits for the end of an owner that is gone.

    While the owner is paused, its successor takes over and resigns. When the owner
    resumes, the watch tells it of the resignation before an agent names the successor.
    """
    paused = owner_of(simulation)
    successor = other_than(simulation, paused)
    simulation.pause(paused.process, PAUSE_S)
    simulation.run(PAUSE_S / 2)
    assert stored_owner(simulation) == successor.name
    assert successor.entry is not None
    simulation.spawn(successor.process, successor.entry.leadership.close())
    simulation.run(0.5)
    assert stored_owner(simulation) == ""
    simulation.kill(successor.process)
    simulation.run(PAUSE_S)
    assert stored_owner(simulation) == paused.name


def test_entry_with_a_late_takeover_learns_of_its_successor(
    simulation: JobSimulation,
) -> None:
    """Guards against an entry that regards itself as the owner for good.

    It is paused between its takeover's write and the answer, until another entry has
    taken over. When it resumes, the watch tells it of that before the answer arrives.
    """
    first = owner_of(simulation)
    late = other_than(simulation, first)
    late.faults.answer_s = LATE_ANSWER_S
    simulation.kill(first.process)
    for _ in range(MAX_STEPS):
        if stored_owner(simulation) == late.name:
            break
        simulation.run(STEP_S)
    assert late.entry is not None and late.entry.leadership.owner is None
    simulation.pause(late.process, PAUSE_S)
    late.faults.answer_s = 0.004
    first.boot()
    simulation.run(2 * PAUSE_S)
    assert stored_owner(simulation) == first.name
    known = late.entry.leadership.owner_record
    assert known is not None and known.node == first.name


def test_agent_that_registers_while_an_owner_closes_is_not_linked(
    simulation: JobSimulation,
) -> None:
    """Guards against an entry that never takes over again.

    A change of the links would end the close with an error, and with it the loop that
    takes over.
    """
    machine = owner_of(simulation)
    assert machine.entry is not None
    owner = machine.entry.leadership.owner
    assert owner is not None
    agents = {agent.name: AgentRecord(agent.name, 1) for agent in simulation.agents}
    errors: list[BaseException] = []

    async def close_and_register() -> None:
        closing = asyncio.create_task(owner.close())
        while not closing.done():
            await owner.set_agents(agents)
            agents[f"later{len(agents)}"] = AgentRecord("later", 1)
            await asyncio.sleep(0)
        if closing.exception() is not None:
            errors.append(closing.exception())  # type: ignore[arg-type]

    simulation.spawn(machine.process, close_and_register())
    simulation.run(4.0)
    assert errors == []
    assert set(owner._links) == {agent.name for agent in simulation.agents}
    assert not any("leadership_failed" in line for line in simulation.trace)
    assert stored_owner(simulation) != ""
