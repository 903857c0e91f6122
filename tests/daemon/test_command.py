"""Exit codes of a process, after a drain and after a broken invariant."""

import asyncio
import os
import random
import signal

import pytest

from almondspan_daemon.command import EXIT_BROKEN, EXIT_DRAINED, _run_until_exit
from almondspan_daemon.supervisor import Supervisor
from almondspan_decisions.invariants import InvariantError


class Role:
    """A role that starts a task which breaks an invariant in one phase."""

    def __init__(self, broken_in: str) -> None:
        self.broken_in = broken_in
        self.phases: list[str] = []
        self.started = asyncio.Event()

    async def enter(self, phase: str) -> None:
        self.phases.append(phase)
        if phase == self.broken_in:
            task = asyncio.create_task(self.break_invariant())
            # The phase itself never ends, so only the supervisor can notice.
            await asyncio.wait({task})
            await asyncio.Event().wait()

    async def break_invariant(self) -> None:
        await asyncio.sleep(0)
        raise InvariantError("two owners of one shard")

    async def start(self) -> None:
        await self.enter("start")
        self.started.set()

    async def drain(self) -> None:
        await self.enter("drain")

    async def close(self) -> None:
        await self.enter("close")


@pytest.mark.parametrize("broken_in", ["start", "drain", "close", ""])
def test_broken_invariant_ends_the_process_in_any_phase(
    broken_in: str, capfd: pytest.CaptureFixture[str]
) -> None:
    async def main() -> int:
        supervisor = Supervisor("test", random.Random(1))
        await supervisor.start()
        role = Role(broken_in)
        ending = asyncio.create_task(_run_until_exit(role, supervisor))
        if broken_in != "start":
            await role.started.wait()
            await asyncio.sleep(0)
            os.kill(os.getpid(), signal.SIGTERM)
        async with asyncio.timeout(10.0):
            return await ending

    code = asyncio.run(main())
    trace = capfd.readouterr().err
    assert code == (EXIT_BROKEN if broken_in else EXIT_DRAINED)
    assert ("two owners of one shard" in trace) is bool(broken_in)
    assert ("break_invariant" in trace) is bool(broken_in)
