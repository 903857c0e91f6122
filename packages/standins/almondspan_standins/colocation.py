"""Makes a worker and a runner on one machine slow each other down.

Both get their slowdown from an interference model and the load of the other. In one
process they read each other directly (`colocate`). In two processes each polls the
other's page ``/debug/pressure`` with a `Poller` and uses the latest response.
"""

import asyncio
from typing import Final, Generic, TypeVar

import aiohttp
import msgspec

from almondspan_decisions.ids import ServiceName, TaskClass
from almondspan_standins.interference import InterferenceModel
from almondspan_standins.runner_app import RunnerApp, RunnerPressure
from almondspan_standins.worker_app import Pressure
from almondspan_standins.worker_core import WorkerCore

__all__ = [
    "Poller",
    "SlowdownRefresher",
    "colocate",
    "slow_runner_by",
    "slow_worker_by",
]

REFRESH_S: Final = 0.1
POLL_TIMEOUT_S: Final = 1.0

Body = TypeVar("Body")


class SlowdownRefresher:
    """Updates the slowdowns of all workers of a process every `REFRESH_S`."""

    def __init__(self, cores: tuple[WorkerCore, ...]) -> None:
        self._cores: Final = cores
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic updates."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop."""
        await _cancel(self._task)

    async def _run(self) -> None:
        while True:
            for core in self._cores:
                core.refresh_slowdown()
            await asyncio.sleep(REFRESH_S)


class Poller(Generic[Body]):
    """Polls the pressure page of the other program and keeps the latest response."""

    def __init__(self, url: str, initial: Body) -> None:
        self._url: Final = f"{url}/debug/pressure"
        self._task: asyncio.Task[None] | None = None
        self.latest = initial

    async def start(self) -> None:
        """Start polling; the other program need not run yet."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop."""
        await _cancel(self._task)

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._poll(session)
                await asyncio.sleep(REFRESH_S)

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        try:
            async with session.get(self._url) as response:
                data = await response.read()
            self.latest = msgspec.json.decode(data, type=type(self.latest))
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return


def colocate(core: WorkerCore, runner: RunnerApp, model: InterferenceModel) -> None:
    """Make a worker and a runner of this process slow each other down."""

    def runner_slowdown() -> float:
        core.advance()
        running = core.running_classes()
        return model.service_slowdown(runner.service, runner.load_share(), running)

    def worker_slowdown(task_class: TaskClass) -> float:
        running = core.running_classes()
        load = runner.load_share()
        return model.task_slowdown(runner.service, load, task_class, running)

    runner.slowdown_of = runner_slowdown
    core.slowdown_of = worker_slowdown


def slow_runner_by(
    runner: RunnerApp, model: InterferenceModel, worker: Poller[Pressure]
) -> None:
    """Slow a runner down by the tasks of a worker in another process."""

    def slowdown() -> float:
        load = runner.load_share()
        return model.service_slowdown(runner.service, load, worker.latest.running)

    runner.slowdown_of = slowdown


def slow_worker_by(
    core: WorkerCore,
    model: InterferenceModel,
    service: ServiceName,
    runner: Poller[RunnerPressure],
) -> None:
    """Slow a worker's tasks down by a runner in another process."""

    def slowdown(task_class: TaskClass) -> float:
        load = runner.latest.load_share
        running = core.running_classes()
        return model.task_slowdown(service, load, task_class, running)

    core.slowdown_of = slowdown


async def _cancel(task: asyncio.Task[None] | None) -> None:
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
