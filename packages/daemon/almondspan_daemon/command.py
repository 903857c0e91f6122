"""The command ``almondspand``, which runs one process of the system.

``almondspand entry --settings FILE`` or ``almondspand agent --settings FILE``. The
exit code is 0 after a drain, 1 after a broken invariant, and 2 for invalid settings.
"""

import asyncio
import faulthandler
import random
import signal
import sys
import traceback
from typing import Final, Protocol

import fire

from almondspan_daemon.agent_role import AgentRole
from almondspan_daemon.entry_role import EntryRole
from almondspan_daemon.logs import configure_logs
from almondspan_daemon.process_id import new_process_id
from almondspan_daemon.settings import (
    AgentSettings,
    EntrySettings,
    SettingsFaults,
    load_settings,
)
from almondspan_daemon.supervisor import Supervisor

__all__ = ["main"]

EXIT_DRAINED: Final = 0
EXIT_BROKEN: Final = 1
EXIT_SETTINGS: Final = 2


class _Role(Protocol):
    async def start(self) -> None: ...

    async def drain(self) -> None: ...

    async def close(self) -> None: ...


class Almondspand:
    """Runs one process of almondspan in the foreground."""

    def entry(self, settings: str) -> int:
        """Run an entry with the settings file SETTINGS."""
        return _run_file("entry", str(settings))

    def agent(self, settings: str) -> int:
        """Run an agent with the settings file SETTINGS."""
        return _run_file("agent", str(settings))


def main() -> None:
    """Run the command line and end the process with its exit code."""
    code = fire.Fire(Almondspand, name="almondspand", serialize=lambda result: None)
    sys.exit(code if isinstance(code, int) else EXIT_DRAINED)


def _run_file(role: str, path: str) -> int:
    settings = load_settings(path)
    if isinstance(settings, SettingsFaults):
        print(settings, file=sys.stderr)
        return EXIT_SETTINGS
    if settings.process.role != role:
        print(
            f"{path}: process.role = {settings.process.role!r}; allowed: {role!r}"
            f" for `almondspand {role}`",
            file=sys.stderr,
        )
        return EXIT_SETTINGS
    faulthandler.enable()
    return asyncio.run(_serve(settings))


async def _serve(settings: EntrySettings | AgentSettings) -> int:
    rng = random.Random()
    process_id = new_process_id(settings.process.id_prefix, rng)
    configure_logs(settings.log.level, process_id, settings.process.role)
    supervisor = Supervisor(settings.process.role, rng)
    await supervisor.start()
    role: _Role
    if isinstance(settings, EntrySettings):
        role = EntryRole(settings, process_id, supervisor, rng)
    else:
        role = AgentRole(settings, process_id, supervisor, rng)
    return await _run_until_exit(role, supervisor)


async def _run_until_exit(role: _Role, supervisor: Supervisor) -> int:
    """Run `role` until it has drained or an invariant is broken."""
    running = asyncio.create_task(_run_role(role, supervisor))
    failed = asyncio.create_task(supervisor.wait_failed())
    await asyncio.wait({running, failed}, return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        traceback.print_exception(failed.result())
        return EXIT_BROKEN
    failed.cancel()
    await running
    return EXIT_DRAINED


async def _run_role(role: _Role, supervisor: Supervisor) -> None:
    await role.start()
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()
    await role.drain()
    await role.close()
    await supervisor.close()


if __name__ == "__main__":
    main()
