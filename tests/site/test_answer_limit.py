"""The limit of a process that shuts down, for whatever its requests wait for."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from almondspan_site.answer_limit import AnswerLimit, OutOfTime
from almondspan_standins.virtual_time import run_in_virtual_time


async def never() -> str:
    await asyncio.Event().wait()
    return "never"


async def in_time() -> str:
    await asyncio.sleep(0.5)
    return "in_time"


async def times_out() -> str:
    raise TimeoutError("of its own")


@pytest.mark.parametrize(
    "set_after_s",
    [
        pytest.param(0.0, id="arrives_later"),
        pytest.param(0.2, id="is_being_handled"),
    ],
)
@pytest.mark.parametrize(
    ("handle", "expected"),
    [
        pytest.param(never, OutOfTime, id="never"),
        pytest.param(in_time, "in_time", id="in_time"),
        pytest.param(times_out, TimeoutError, id="error_of_its_own"),
    ],
)
def test_handling_ends_by_the_limit(
    handle: Callable[[], Awaitable[str]], expected: object, set_after_s: float
) -> None:
    async def main() -> object:
        limit = AnswerLimit()
        if not set_after_s:
            limit.set(1.0)
        handling = asyncio.create_task(limit.run(handle()))
        if set_after_s:
            await asyncio.sleep(set_after_s)
            limit.set(1.0)
        try:
            return await handling
        except (OutOfTime, TimeoutError) as error:
            return type(error)

    assert run_in_virtual_time(main()) == expected


def test_request_after_the_limit_is_not_handled() -> None:
    async def main() -> object:
        limit = AnswerLimit()
        limit.set(0.0)
        try:
            return await limit.run(never())
        except OutOfTime as error:
            return type(error)

    assert run_in_virtual_time(main()) is OutOfTime
