"""Evacuations of the simulated system, with faults of its processes and its store."""

from collections.abc import Iterator
from dataclasses import replace

import pytest
from job_schedule import EVACUATING
from job_simulation import (
    Evacuation,
    JobSimulation,
    SimulatedAgent,
    SubmittedJob,
    follower_of,
    lines,
    owner_of,
    silence,
    started,
)
from memory_network import MemoryNetwork
from virtual_loop import Process

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.evacuation_status import ask_evacuations
from almondspan_jobs.messages import EvacuationsReply
from almondspan_standins.memory_task_worker import WorkerRun

SMALL = Shape(500, 500)
LASTING = (StepSpec(6, SMALL, lasts=True, n_may_be_away=2),)
SHORT = (StepSpec(4, SMALL, estimate_ms=300),)
PLACE, OTHER_PLACE = "dc0", "dc1"
LIMIT_S = EVACUATING.evacuation_limit_s


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(3, n_entries=3, n_agents=4, options=EVACUATING)


def agents_in(simulation: JobSimulation, place: str) -> list[SimulatedAgent]:
    return [machine for machine in simulation.agents if machine.place == place]


def runs_in(simulation: JobSimulation, place: str) -> list[WorkerRun]:
    return [run for each in agents_in(simulation, place) for run in each.worker.runs]


def running_in(simulation: JobSimulation, place: str) -> list[WorkerRun]:
    return [run for run in runs_in(simulation, place) if run.ended_s is None]


def submit(simulation: JobSimulation, steps: tuple[StepSpec, ...]) -> SubmittedJob:
    job = simulation.make_job(steps)
    machine = next(each for each in simulation.entries if each.entry is not None)
    simulation.submit(job, machine)
    return job


def evacuate(simulation: JobSimulation, *places: str) -> list[Evacuation]:
    found: list[Evacuation] = []

    def store_requests(simulation: JobSimulation) -> None:
        for place in places:
            request = simulation.evacuate(place)
            assert request is not None
            found.append(request)

    simulation.run_in_loop(store_requests)
    return found


def withdraw(simulation: JobSimulation, requests: list[Evacuation]) -> None:
    def remove_requests(simulation: JobSimulation) -> None:
        for request in requests:
            simulation.withdraw(request)

    simulation.run_in_loop(remove_requests)


def keep_submitting(simulation: JobSimulation, for_s: float) -> None:
    for _ in range(round(for_s / 0.25)):
        submit(simulation, SHORT)
        simulation.run(0.25)


def begun_after(simulation: JobSimulation, place: str, at_s: float) -> list[WorkerRun]:
    return [run for run in runs_in(simulation, place) if run.begun_s > at_s]


def test_starts_cease_and_lasting_tasks_move(simulation: JobSimulation) -> None:
    submit(simulation, LASTING)
    keep_submitting(simulation, 3.0)
    assert running_in(simulation, PLACE)
    requested_s = simulation.loop.now_s
    requests = evacuate(simulation, PLACE)
    keep_submitting(simulation, 12.0)
    assert begun_after(simulation, PLACE, requested_s + 0.1) == []
    assert running_in(simulation, PLACE) == []
    assert len(running_in(simulation, OTHER_PLACE)) >= 6
    withdraw(simulation, requests)
    withdrawn_s = simulation.loop.now_s
    keep_submitting(simulation, 1.0)
    [first, *_] = begun_after(simulation, PLACE, withdrawn_s)
    assert first.begun_s < withdrawn_s + 0.5
    assert simulation.violations() == []


def test_no_more_lasting_tasks_are_away_than_may_be(simulation: JobSimulation) -> None:
    submit(simulation, LASTING)
    simulation.run(4.0)
    evacuate(simulation, PLACE)
    fewest = 6
    for _ in range(200):
        simulation.run(0.05)
        at_work = [
            run
            for run in simulation.runs()
            if run.ended_s is None and simulation.loop.now_s - run.begun_s >= 1.0
        ]
        fewest = min(fewest, len(at_work))
    assert fewest == 4
    assert running_in(simulation, PLACE) == []


def test_request_that_is_withdrawn_within_a_second_moves_nothing(
    simulation: JobSimulation,
) -> None:
    submit(simulation, LASTING)
    simulation.run(4.0)
    for stands_s in (0.05, 0.5, 1.0):
        requests = evacuate(simulation, PLACE)
        simulation.run(stands_s)
        withdraw(simulation, requests)
        simulation.run(2.0)
    assert all(run.ended_s is None for run in simulation.runs())
    assert len(simulation.runs()) == 6


def test_all_places_are_evacuated(simulation: JobSimulation) -> None:
    """Nothing starts, and nothing is stopped as there is nowhere to go."""
    submit(simulation, LASTING)
    simulation.run(4.0)
    evacuate(simulation, PLACE, OTHER_PLACE)
    keep_submitting(simulation, 8.0)
    assert len(simulation.runs()) == 6
    assert all(run.ended_s is None for run in simulation.runs())


@pytest.mark.parametrize("after_s", [0.0, 0.003, 0.05, 1.0])
def test_owner_dies_after_the_request(
    simulation: JobSimulation, after_s: float
) -> None:
    """Also before it has read the request, or told the agents of it."""
    submit(simulation, LASTING)
    keep_submitting(simulation, 2.0)
    requested_s = simulation.loop.now_s
    evacuate(simulation, PLACE)
    simulation.run(after_s)
    simulation.run_in_loop(lambda simulation: owner_of(simulation).kill())
    keep_submitting(simulation, 15.0)
    assert begun_after(simulation, PLACE, requested_s + 0.1) == []
    assert running_in(simulation, PLACE) == []
    assert simulation.violations() == []


def test_new_owner_without_a_view_places_nothing(simulation: JobSimulation) -> None:
    """The operators' keys can't be read; every other call to the store works."""
    requested_s = simulation.loop.now_s
    evacuate(simulation, PLACE)

    def break_reads(simulation: JobSimulation) -> None:
        for machine in simulation.entries:
            machine.faults.unread_prefix = "op/"
            machine.kill()

    simulation.run_in_loop(break_reads)
    simulation.run(3.0)
    keep_submitting(simulation, 8.0)
    assert simulation.owner() is not None
    assert simulation.runs() == []
    for machine in simulation.entries:
        machine.faults.unread_prefix = ""
    simulation.run(4.0)
    assert begun_after(simulation, OTHER_PLACE, requested_s)
    assert runs_in(simulation, PLACE) == []


def test_owner_with_an_old_view_places_nothing(simulation: JobSimulation) -> None:
    """The operators' keys can't be read any more; commits and other watches work."""
    for machine in simulation.entries:
        machine.faults.unread_prefix = "op/"
    requested_s = simulation.loop.now_s
    evacuate(simulation, PLACE)
    keep_submitting(simulation, 12.0)
    late = begun_after(simulation, PLACE, requested_s + 3.0)
    assert late == []
    assert begun_after(simulation, OTHER_PLACE, requested_s + 3.0) == []
    assert simulation.violations() == []


def test_start_that_is_late_at_its_worker_does_not_begin(
    simulation: JobSimulation,
) -> None:
    """It was sent right before the request, and arrives seconds later."""
    for machine in agents_in(simulation, PLACE):
        machine.worker.start_s = 4.9
    submit(simulation, SHORT)
    submit(simulation, SHORT)
    simulation.run(0.02)
    n_sent = len(lines(simulation, " task_placed "))
    assert n_sent == 8
    requested_s = simulation.loop.now_s
    evacuate(simulation, PLACE)
    simulation.run(12.0)
    assert begun_after(simulation, PLACE, requested_s) == []
    assert simulation.violations() == []


def test_outage_of_the_store_right_after_the_request(
    simulation: JobSimulation,
) -> None:
    keep_submitting(simulation, 2.0)
    for machine in simulation.entries:
        silence(machine)
    requested_s = simulation.loop.now_s
    evacuate(simulation, PLACE)
    keep_submitting(simulation, 8.0)
    assert begun_after(simulation, PLACE, requested_s + LIMIT_S) == []
    for machine in simulation.entries:
        machine.faults.is_silent = False
    keep_submitting(simulation, 5.0)
    assert begun_after(simulation, PLACE, requested_s + LIMIT_S) == []
    assert begun_after(simulation, OTHER_PLACE, requested_s + 9.0)


def test_operators_are_told_what_remains(simulation: JobSimulation) -> None:
    """An entry that is not the owner names it, and the owner names the tasks."""
    submit(simulation, (replace(LASTING[0], n_may_be_away=0),))
    simulation.run(4.0)
    evacuate(simulation, PLACE)
    simulation.run(3.0)
    replies: list[EvacuationsReply | str] = []

    async def ask(address: str) -> None:
        network = MemoryNetwork(simulation.hub)
        replies.append(await ask_evacuations(network, address, 1))

    for machine in (follower_of(simulation), owner_of(simulation)):
        simulation.spawn(Process("operator"), ask(machine.name))
    simulation.spawn(Process("operator"), ask("nobody"))
    simulation.run(1.0)
    expected = {run.task for run in running_in(simulation, PLACE)}
    assert expected
    for reply in replies[1:]:
        assert isinstance(reply, EvacuationsReply)
        assert reply.is_owner and reply.is_used
        assert [place for place, _ in reply.places] == [PLACE]
        assert {row.task for row in reply.tasks} == expected
        assert reply.counts == [(PLACE, "none_may_be_away", len(expected))]
    assert isinstance(replies[0], str)
