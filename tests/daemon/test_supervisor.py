"""Restarts, failure of the tree, and the order of closing in the supervisor."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from itertools import pairwise

import pytest

from almondspan_daemon.supervisor import MAX_DELAY_S, STABLE_S, Supervisor
from almondspan_decisions.invariants import InvariantError
from almondspan_standins.virtual_time import run_in_virtual_time

Main = Callable[[], Awaitable[None]]


async def with_root_supervisor(use: Callable[[Supervisor], Awaitable[None]]) -> None:
    supervisor = Supervisor("root", random.Random(1))
    await supervisor.start()
    try:
        await use(supervisor)
    finally:
        await supervisor.close()


@pytest.mark.parametrize(
    "error",
    [
        pytest.param(OSError("down"), id="an external error"),
        pytest.param(TimeoutError(), id="a timeout"),
        pytest.param(KeyError("x"), id="a bug in handling input"),
        pytest.param(ExceptionGroup("g", [OSError()]), id="a group of them"),
    ],
)
def test_failed_child_is_restarted_with_backoff(error: Exception) -> None:
    started_at_s: list[float] = []

    async def fails() -> None:
        started_at_s.append(asyncio.get_running_loop().time())
        raise error

    async def use(supervisor: Supervisor) -> None:
        supervisor.spawn("child", fails)
        await asyncio.sleep(60.0)
        assert supervisor.n_restarts == len(started_at_s)

    run_in_virtual_time(with_root_supervisor(use))
    waits = [later - earlier for earlier, later in pairwise(started_at_s)]
    assert waits[0] < 0.2
    assert waits[3] > 2 * waits[0]
    assert max(waits) <= 1.5 * MAX_DELAY_S
    assert 8 < len(started_at_s) < 20


def test_backoff_is_reset_after_a_stable_run() -> None:
    started_at_s: list[float] = []
    run_times_s = iter([0.0] * 8 + [STABLE_S + 1, 1000.0])

    async def child() -> None:
        started_at_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(next(run_times_s))
        raise OSError

    async def use(supervisor: Supervisor) -> None:
        supervisor.spawn("child", child)
        await asyncio.sleep(200.0)

    run_in_virtual_time(with_root_supervisor(use))
    assert started_at_s[9] - started_at_s[8] - (STABLE_S + 1) < 0.2


async def break_invariant() -> None:
    raise InvariantError("two owners")


async def break_invariant_in_group() -> None:
    raise ExceptionGroup("g", [OSError(), InvariantError("two owners")])


async def break_invariant_in_own_task() -> None:
    task = asyncio.create_task(break_invariant())
    await asyncio.sleep(60.0)
    await task


async def break_invariant_in_callback() -> None:
    def callback() -> None:
        raise InvariantError("two owners")

    asyncio.get_running_loop().call_soon(callback)
    await asyncio.sleep(60.0)


@pytest.mark.parametrize(
    "main",
    [
        pytest.param(break_invariant, id="in the child"),
        pytest.param(break_invariant_in_group, id="in a group"),
        pytest.param(break_invariant_in_own_task, id="in a task of a component"),
        pytest.param(break_invariant_in_callback, id="in a callback of the loop"),
    ],
)
@pytest.mark.parametrize("nested", [False, True])
def test_broken_invariant_fails_the_tree(main: Main, nested: bool) -> None:
    async def use(supervisor: Supervisor) -> None:
        asyncio.get_running_loop().set_exception_handler(None)
        await supervisor.start()
        parent = supervisor.child("below") if nested else supervisor
        parent.spawn("child", main)
        async with asyncio.timeout(1.0):
            error = await supervisor.wait_failed()
        assert "two owners" in repr(error)
        assert supervisor.n_restarts == 0

    run_in_virtual_time(with_root_supervisor(use))


def test_close_stops_children_in_reverse_order() -> None:
    log: list[str] = []

    def child(name: str) -> Main:
        async def main() -> None:
            try:
                await asyncio.sleep(1000.0)
            finally:
                log.append(f"{name} is cancelled")
                await asyncio.sleep(1.0)
                log.append(f"{name} has ended")

        return main

    async def use(supervisor: Supervisor) -> None:
        for name in ("old", "young", "stopped"):
            supervisor.spawn(name, child(name))
        await asyncio.sleep(1.0)
        supervisor.stop("stopped")
        await supervisor.close()

    run_in_virtual_time(with_root_supervisor(use))
    shutdown_order = [entry for entry in log if not entry.startswith("stopped")]
    assert shutdown_order == [
        "young is cancelled",
        "young has ended",
        "old is cancelled",
        "old has ended",
    ]
    assert "stopped has ended" in log


def test_parent_counts_restarts_of_child_supervisors() -> None:
    async def fails() -> None:
        raise OSError

    async def use(supervisor: Supervisor) -> None:
        below = supervisor.child("below")
        below.spawn("child", fails)
        await asyncio.sleep(1.0)
        await below.close()
        assert supervisor.n_restarts == below.n_restarts > 0

    run_in_virtual_time(with_root_supervisor(use))


def test_spawn_replaces_child_of_same_name() -> None:
    n_running = 0

    async def main() -> None:
        nonlocal n_running
        n_running += 1
        try:
            await asyncio.sleep(1000.0)
        finally:
            n_running -= 1

    async def use(supervisor: Supervisor) -> None:
        for _ in range(3):
            supervisor.spawn("child", main)
            await asyncio.sleep(1.0)
            assert n_running == 1

    run_in_virtual_time(with_root_supervisor(use))
    assert n_running == 0
