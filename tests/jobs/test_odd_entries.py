"""One odd entry among those of the members: the others are followed, and work goes on.

Another writer may leave any bytes under a key of the members. The entries go on to
follow the list, and the owner to link to the agents that it names.
"""

from collections.abc import Iterator

import msgspec
import pytest
from job_simulation import (
    JobSimulation,
    SimulatedAgent,
    complete_job,
    lines,
    owner_of,
    started,
)

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.records import (
    AGENT_PREFIX,
    HEAD_KEY,
    JOBS_PREFIX,
    OWNER_KEY,
    HeadRecord,
    OwnerRecord,
    Unreadable,
    decode_record,
    encode_record,
)
from almondspan_platform.group_store import Write, WriteGroup

STEPS = (StepSpec(8, Shape(1_000, 100), estimate_ms=300),)
MAX_LINE_CHARS = 600
MAX_LINES = 40
"""How often all entries together may log the odd entry."""

NESTED = b"\x91" * 5_000 + b"\x01"


def address(host: object = "odd", port: object = 1) -> bytes:
    return msgspec.msgpack.encode({"host": host, "port": port})


def owner(host: object = "odd", port: object = 1, epoch: object = 1) -> bytes:
    fields = {"epoch": epoch, "node": "odd", "host": host, "port": port}
    return msgspec.msgpack.encode(fields)


def with_nested_field(data: bytes) -> bytes:
    return bytes([data[0] + 1]) + data[1:] + msgspec.msgpack.encode("more") + NESTED


ODD_ADDRESSES = [
    pytest.param({"port": 0}, id="port_zero"),
    pytest.param({"port": -1}, id="port_negative"),
    pytest.param({"port": 65_536}, id="port_out_of_range"),
    pytest.param({"port": 2**64 - 1}, id="port_of_64_bits"),
    pytest.param({"port": 1e300}, id="port_as_float"),
    pytest.param({"host": ""}, id="no_host"),
    pytest.param({"host": "a\0b"}, id="host_with_a_null_character"),
    pytest.param({"host": "a b"}, id="host_with_a_space"),
    pytest.param({"host": "x" * 100_000}, id="host_too_long"),
]
ODD_BYTES = [
    pytest.param(b"", id="empty"),
    pytest.param(b"\xc1", id="no_message_pack"),
    pytest.param(b'{"host": "odd"}', id="json"),
    pytest.param(NESTED, id="nested_too_deeply"),
    pytest.param(b"\xdd\xff\xff\xff\xff", id="array_longer_than_the_bytes"),
]


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(7, n_agents=2)


def put(simulation: JobSimulation, key: str, value: bytes) -> None:
    simulation.run_in_loop(
        lambda made: _commit(made, WriteGroup(writes=(Write(key, value),)))
    )


def _commit(simulation: JobSimulation, group: WriteGroup) -> None:
    simulation.store.commit(group)


def add_agent(simulation: JobSimulation, name: str) -> None:
    simulation.run_in_loop(
        lambda made: made.agents.append(SimulatedAgent(made, name)),
    )


def stored_owner(simulation: JobSimulation) -> str:
    found: list[str] = []

    def read(made: JobSimulation) -> None:
        item = made.store.get(OWNER_KEY)
        assert item is not None
        record = decode_record(OwnerRecord, item.value)
        found.append("" if isinstance(record, Unreadable) else record.node)

    simulation.run_in_loop(read)
    return found[0]


def assert_not_ended(simulation: JobSimulation) -> None:
    assert simulation.violations() == []
    assert not lines(simulation, "task_failed")


def assert_followed(simulation: JobSimulation, key: str) -> None:
    """Check that nothing ended, and that the odd entry was logged a few times."""
    assert_not_ended(simulation)
    found = lines(simulation, f"record_unreadable key={key}")
    assert 0 < len(found) <= MAX_LINES
    assert max(map(len, found)) <= MAX_LINE_CHARS


ODD_AGENTS = [
    *(pytest.param(address(**one.values[0]), id=one.id) for one in ODD_ADDRESSES),
    pytest.param(with_nested_field(address()), id="additional_field_nested"),
    *ODD_BYTES,
]


@pytest.mark.parametrize("value", ODD_AGENTS)
def test_odd_agent_among_others_stops_no_follower(
    simulation: JobSimulation, value: bytes
) -> None:
    key = f"{AGENT_PREFIX}odd"
    put(simulation, key, value)
    simulation.run(1.0)
    add_agent(simulation, "late")
    simulation.run(3.0)
    assert lines(simulation, "agent_linked agent=late")
    complete_job(simulation, simulation.entries[0], STEPS)
    # The next owner reads the list with the odd entry in it.
    owner_of(simulation).kill()
    simulation.run(4.0)
    successor = owner_of(simulation)
    linked = lines(simulation, f"{successor.name} agent_linked")
    assert {line.split("agent=")[1].split()[0] for line in linked} >= {
        "agent0",
        "agent1",
        "late",
    }
    complete_job(simulation, successor, STEPS)
    assert_followed(simulation, key)


ODD_OWNERS = [
    *(pytest.param(owner(**one.values[0]), id=one.id) for one in ODD_ADDRESSES),
    pytest.param(with_nested_field(owner()), id="additional_field_nested"),
    *ODD_BYTES,
]


@pytest.mark.parametrize("value", ODD_OWNERS)
def test_odd_owner_is_replaced_by_the_owner(
    simulation: JobSimulation, value: bytes
) -> None:
    before = owner_of(simulation)
    put(simulation, OWNER_KEY, value)
    simulation.run(3.0)
    assert owner_of(simulation) is before
    assert stored_owner(simulation) == before.name
    complete_job(simulation, simulation.entries[0], STEPS)
    assert_followed(simulation, OWNER_KEY)


@pytest.mark.parametrize("value", ODD_OWNERS)
def test_odd_owner_keeps_no_entry_from_taking_over(
    simulation: JobSimulation, value: bytes
) -> None:
    before = owner_of(simulation)
    before.kill()
    put(simulation, OWNER_KEY, value)
    simulation.run(6.0)
    assert stored_owner(simulation) == owner_of(simulation).name
    complete_job(simulation, owner_of(simulation), STEPS)
    assert_followed(simulation, OWNER_KEY)


def spec(**fields: object) -> bytes:
    step = {"n_tasks": 1, "shape": {"cpu_millicores": 100, "memory_mb": 100}}
    body = {"queue": "batch", "payload": "p", "steps": [step], **fields}
    return msgspec.msgpack.encode(body)


@pytest.mark.parametrize(
    "value",
    [
        *ODD_BYTES,
        pytest.param(with_nested_field(spec()), id="additional_field_nested"),
        pytest.param(spec(accepted_ms=2**64 - 1), id="number_of_64_bits"),
        pytest.param(spec(first_due_ms=-(2**63)), id="number_negative"),
        pytest.param(
            spec(steps=[{"n_tasks": 1, "shape": {}, "after": [5]}]),
            id="waits_for_no_step",
        ),
    ],
)
def test_odd_job_among_others_ends_no_owner(
    simulation: JobSimulation, value: bytes
) -> None:
    before = owner_of(simulation)
    key = f"{JOBS_PREFIX}00000000000000aa/job"
    put(simulation, key, value)
    simulation.run(1.0)
    assert owner_of(simulation) is before
    complete_job(simulation, simulation.entries[0], STEPS)
    before.kill()
    simulation.run(5.0)
    complete_job(simulation, owner_of(simulation), STEPS)
    assert_not_ended(simulation)
    assert 0 < len(lines(simulation, "record_unreadable")) <= MAX_LINES


@pytest.mark.parametrize(
    "epoch", [pytest.param(2**64 - 1, id="largest"), pytest.param(-1, id="negative")]
)
def test_odd_head_ends_no_election(simulation: JobSimulation, epoch: int) -> None:
    """The epoch can't be told, so there is no owner until the head is repaired."""
    item = simulation_head(simulation)
    put(simulation, HEAD_KEY, encode_record(HeadRecord(epoch, "odd", "n")))
    simulation.run(5.0)
    assert simulation.owner() is None
    put(simulation, HEAD_KEY, item)
    simulation.run(5.0)
    complete_job(simulation, owner_of(simulation), STEPS)
    assert_not_ended(simulation)


def simulation_head(simulation: JobSimulation) -> bytes:
    found: list[bytes] = []

    def read(made: JobSimulation) -> None:
        item = made.store.get(HEAD_KEY)
        assert item is not None
        found.append(item.value)

    simulation.run_in_loop(read)
    return found[0]


def test_foreign_owner_is_replaced_by_the_owner(simulation: JobSimulation) -> None:
    """A record that can be read, of a writer that does not own the head."""
    before = owner_of(simulation)
    put(simulation, OWNER_KEY, owner(epoch=1))
    simulation.run(3.0)
    assert owner_of(simulation) is before
    assert stored_owner(simulation) == before.name
    complete_job(simulation, simulation.entries[0], STEPS)
    assert_not_ended(simulation)
