"""Commands take their turns at the slots, and leave no slot taken."""

import asyncio

import pytest

from almondspan_jobs.command_slots import CommandSlots


async def play(n_slots: int, names: list[str], withdrawn: set[str]) -> list[str]:
    """Let commands wait, withdraw some, and return the order of the others."""
    slots: CommandSlots[str] = CommandSlots(n_slots)
    order: list[str] = []

    async def run(name: str) -> None:
        if await slots.acquire(name):
            order.append(name)
            await asyncio.sleep(0.001)
            slots.release()

    tasks = [asyncio.create_task(run(name)) for name in names]
    await asyncio.sleep(0)
    assert slots.withdraw(withdrawn.__contains__) == [
        name for name in names if name in withdrawn
    ]
    await asyncio.gather(*tasks)
    assert all([await slots.acquire("again") for _ in range(n_slots)])
    return order


@pytest.mark.parametrize(
    ("n_slots", "withdrawn", "order"),
    [
        pytest.param(1, set(), ["a", "b", "c", "d"], id="in_turn"),
        pytest.param(3, set(), ["a", "b", "c", "d"], id="side_by_side"),
        pytest.param(1, {"b", "d"}, ["a", "c"], id="withdrawn"),
        pytest.param(2, {"c", "d"}, ["a", "b"], id="all_waiting_withdrawn"),
    ],
)
def test_turns(n_slots: int, withdrawn: set[str], order: list[str]) -> None:
    assert asyncio.run(play(n_slots, ["a", "b", "c", "d"], withdrawn)) == order


def test_command_that_is_cancelled_while_it_waits_leaves_the_queue() -> None:
    async def run() -> bool:
        slots: CommandSlots[str] = CommandSlots(1)
        assert await slots.acquire("a")
        waiting = asyncio.create_task(slots.acquire("b"))
        await asyncio.sleep(0)
        assert slots.is_waiting("b")
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        slots.release()
        return not slots.is_waiting("b") and await slots.acquire("c")

    assert asyncio.run(run())


def test_command_that_waits_again_as_its_turn_comes_keeps_its_place() -> None:
    async def run() -> bool:
        slots: CommandSlots[str] = CommandSlots(1)
        assert await slots.acquire("a")
        first = asyncio.create_task(slots.acquire("b"))
        await asyncio.sleep(0)
        slots.release()
        second = asyncio.create_task(slots.acquire("b"))
        assert await first
        await asyncio.sleep(0)
        slots.release()
        return await second

    assert asyncio.run(run())
