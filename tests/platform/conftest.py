"""Runs the coroutine tests of this folder.

The fixture ``rig`` returns a factory; the test receives an opened rig made by it.
"""

import asyncio
import inspect
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import pytest

from almondspan_standins.rigs import opened

TEST_LIMIT_S = 20.0


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    values = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(_run(pyfuncitem.obj, values))
    return True


async def _run(test: Callable[..., Awaitable[None]], values: dict[str, Any]) -> None:
    async with AsyncExitStack() as stack:
        if "rig" in values:
            rig = opened(values["rig"], TEST_LIMIT_S)
            values["rig"] = await stack.enter_async_context(rig)
        await test(**values)
