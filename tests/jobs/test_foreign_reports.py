"""Reports that another writer sends to an agent don't move its worker's tasks."""

from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest
from job_simulation import CAPACITY, SERVICE, JobSimulation, SimulatedAgent, started

from almondspan_decisions.ids import PlaceName, WorkerId
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.records import AGENT_PREFIX, AgentRecord, encode_record
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_platform.task_worker import EndReason, WorkerState

N_TASKS = 12
LONG = (StepSpec(N_TASKS, Shape(1_000, 500), estimate_ms=9_000),)
LATER_MS = 1_000
MAX_RESTART_S = 2.5
"""Limit of the time from a departure to the next start of the worker's tasks."""

Forge = Callable[[WorkerState], WorkerState]


def other_id(state: WorkerState) -> WorkerState:
    return replace(state, worker_id=WorkerId("w-foreign"))


def later(state: WorkerState) -> WorkerState:
    return replace(state, started_ms=state.started_ms + LATER_MS)


def other_id_and_later(state: WorkerState) -> WorkerState:
    return later(other_id(state))


FORGERIES = [
    pytest.param(other_id, id="other_id"),
    pytest.param(later, id="later_start"),
    pytest.param(other_id_and_later, id="other_id_and_later_start"),
]


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(11, n_entries=2, n_agents=3)


def report_of(machine: SimulatedAgent) -> WorkerState:
    """Return what the worker of a machine says of itself."""
    worker = machine.worker
    place = PlaceName("here")
    return WorkerState(
        worker.worker_id,
        worker.started_ms,
        SERVICE,
        place,
        CAPACITY,
        ("r1",),
        is_leaving=False,
        leaves_ms=0,
    )


def send(simulation: JobSimulation, machine: SimulatedAgent, forge: Forge) -> None:
    """Send a forged report to a machine's agent, in the agent's process."""
    agent = machine.worker_agent
    assert agent is not None
    state = forge(report_of(machine))
    simulation.run_in_loop(
        lambda _: simulation.hub.call_in(machine.process, 0.0, agent.on_report, state)
    )


def leave(simulation: JobSimulation, machine: SimulatedAgent) -> None:
    """Tell a machine's agent that its worker has left."""
    agent = machine.worker_agent
    assert agent is not None
    worker_id = machine.worker.worker_id
    simulation.run_in_loop(
        lambda _: simulation.hub.call_in(machine.process, 0.0, agent.on_left, worker_id)
    )


def check_all_done_once(simulation: JobSimulation) -> None:
    assert simulation.violations() == []
    runs = simulation.runs()
    done = [run.task for run in runs if run.how is EndReason.DONE]
    assert len(done) == len(set(done)) == N_TASKS
    others = [run for run in runs if run.how not in (EndReason.DONE, EndReason.FAILED)]
    assert others == []


@pytest.mark.parametrize("forge", FORGERIES)
@pytest.mark.parametrize("is_agent_new", [False, True])
def test_tasks_go_on_once_beside_a_foreign_incarnation(
    simulation: JobSimulation, forge: Forge, is_agent_new: bool
) -> None:
    """Guards against TWICE: the sender's word replaced the worker's incarnation.

    A restarted agent knows no incarnation that the foreign one could be compared with.
    """
    simulation.submit(simulation.make_job(LONG), simulation.entries[0])
    simulation.run(2.0)
    for machine in simulation.agents:
        if is_agent_new:
            machine.kill()
            while machine.worker_agent is None:
                simulation.run(0.01)
        send(simulation, machine, forge)
    simulation.run(25.0)
    check_all_done_once(simulation)


@pytest.mark.parametrize("forge", FORGERIES)
def test_worker_is_used_after_a_foreign_incarnation(
    simulation: JobSimulation, forge: Forge
) -> None:
    """Guards against workers whose own reports count as outdated from then on."""
    for machine in simulation.agents:
        send(simulation, machine, forge)
    simulation.run(2.0)
    simulation.submit(simulation.make_job(LONG), simulation.entries[0])
    simulation.run(30.0)
    check_all_done_once(simulation)


def test_tasks_go_on_once_beside_a_false_departure(simulation: JobSimulation) -> None:
    """Guards against TWICE: tasks of a worker that is said to have left."""
    simulation.submit(simulation.make_job(LONG), simulation.entries[0])
    simulation.run(2.0)
    for machine in simulation.agents:
        leave(simulation, machine)
    simulation.run(25.0)
    check_all_done_once(simulation)


def test_tasks_of_a_worker_that_has_left_start_again_soon(
    simulation: JobSimulation,
) -> None:
    simulation.submit(simulation.make_job(LONG), simulation.entries[0])
    simulation.run(2.0)
    machine = simulation.agents[0]
    lost = {run.task for run in machine.worker.runs}
    assert lost
    left_s = simulation.loop.now_s
    leave(simulation, machine)
    simulation.run_in_loop(lambda _: machine.worker.crash())
    simulation.run(25.0)
    assert simulation.violations() == []
    for task in lost:
        again = [run for run in simulation.runs() if run.task == task][1]
        assert again.begun_s < left_s + MAX_RESTART_S


def test_agent_does_not_speak_for_another_node(simulation: JobSimulation) -> None:
    """Guards against TWICE: an agent's address that is stored for another node.

    The owner took a new incarnation beside that agent for one of the other node, and
    released the tasks that the other node's worker was running.
    """
    simulation.submit(simulation.make_job(LONG), simulation.entries[0])
    simulation.run(2.0)
    first, second, _ = simulation.agents
    assert second.worker.runs
    record = encode_record(AgentRecord(first.name, 1))
    write = Write(AGENT_PREFIX + second.name, record)
    simulation.run_in_loop(
        lambda _: simulation.store.commit(WriteGroup(writes=(write,)))
    )
    simulation.run(1.0)
    simulation.run_in_loop(lambda _: first.crash_worker(0.2, keeps_id=False))
    simulation.run(40.0)
    assert simulation.violations() == []
    done = [run.task for run in simulation.runs() if run.how is EndReason.DONE]
    assert len(done) == len(set(done)) == N_TASKS
