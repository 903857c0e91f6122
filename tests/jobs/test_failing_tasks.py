"""A task that runs as long as its process goes on after an unexpected error.

Each case makes one call of such a task raise, as an odd entry or message that no check
has refused would. The work of the others goes on, and the error is logged.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from job_simulation import (
    JobSimulation,
    complete_job,
    lines,
    owner_of,
    started,
)
from memory_network import MemoryNetwork

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.leadership import Leadership
from almondspan_jobs.scheduler import Scheduler
from almondspan_jobs.supervision import MAX_ERROR_CHARS, keep_running
from almondspan_standins.memory_group_store import GroupStoreClient
from almondspan_standins.memory_task_worker import MemoryTaskWorker

STEPS = (StepSpec(8, Shape(1_000, 100), estimate_ms=300),)
N_DIALS = 14
"""Dials that raise: those of the entries to the ended owner, then the next owner's."""


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(7, n_agents=2)


def raise_once(call: Any, n_raised: list[int], limit: int) -> Callable[..., Any]:
    """Return a call that raises the first `limit` times."""

    def run(*args: Any, **options: Any) -> Any:
        if len(n_raised) < limit:
            n_raised.append(1)
            raise OverflowError("x" * 100_000)
        return call(*args, **options)

    return run


@pytest.mark.parametrize(
    ("cls", "name", "task"),
    [
        pytest.param(MemoryTaskWorker, "poll", "polls", id="polls"),
        pytest.param(GroupStoreClient, "changes", "members", id="members"),
        pytest.param(Scheduler, "on_listing", "agent_link", id="listing"),
        pytest.param(Scheduler, "on_report", "agent_link", id="report"),
    ],
)
def test_task_goes_on_after_an_error(
    simulation: JobSimulation,
    monkeypatch: pytest.MonkeyPatch,
    cls: type,
    name: str,
    task: str,
) -> None:
    n_raised: list[int] = []
    call = raise_once(getattr(cls, name), n_raised, 3)
    monkeypatch.setattr(cls, name, call)
    if name == "on_report":
        # Only a new channel brings a report of every worker at once.
        owner_of(simulation).kill()
    simulation.run(6.0)
    assert len(n_raised) == 3
    complete_without_errors(simulation)
    found = lines(simulation, f"task_failed task={task}")
    assert found
    assert max(map(len, found)) <= MAX_ERROR_CHARS + 200


def complete_without_errors(simulation: JobSimulation) -> None:
    complete_job(simulation, simulation.entries[0], STEPS)
    assert simulation.loop.errors == []


def test_dial_that_raises_is_repeated(
    simulation: JobSimulation, monkeypatch: pytest.MonkeyPatch
) -> None:
    n_raised: list[int] = []
    call = raise_once(MemoryNetwork.dial, n_raised, N_DIALS)
    monkeypatch.setattr(MemoryNetwork, "dial", call)
    owner_of(simulation).kill()
    simulation.run(6.0)
    assert len(n_raised) == N_DIALS
    complete_without_errors(simulation)
    assert lines(simulation, "task_failed task=agent_link")
    assert lines(simulation, "task_failed task=owner_link")


@pytest.mark.parametrize("name", ["_take_over", "_run_owner"])
def test_election_goes_on_after_an_error(
    simulation: JobSimulation, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    n_raised: list[int] = []
    call = raise_once(getattr(Leadership, name), n_raised, 4)
    monkeypatch.setattr(Leadership, name, call)
    owner_of(simulation).kill()
    simulation.run(20.0)
    assert len(n_raised) == 4
    complete_without_errors(simulation)
    assert lines(simulation, "task_failed task=election")


def test_ended_task_is_not_repeated() -> None:
    n_runs = []

    async def body() -> None:
        n_runs.append(1)
        if len(n_runs) < 3:
            raise ValueError("odd")

    class Log:
        events: list[tuple[str, dict[str, Any]]] = []

        def line(self, event: str, **fields: Any) -> None:
            self.events.append((event, fields))

    log = Log()
    asyncio.run(keep_running("body", body, 0.0, log))
    assert len(n_runs) == 3
    assert [event for event, _ in log.events] == ["task_failed"] * 2
    assert log.events[0][1] == {"task": "body", "error": "ValueError('odd')"}


def test_cancelled_task_ends() -> None:
    async def body() -> None:
        await asyncio.Event().wait()

    async def main() -> None:
        task = asyncio.create_task(keep_running("body", body, 0.0, None))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(main())
