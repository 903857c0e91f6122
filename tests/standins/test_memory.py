"""The in-memory store and worker, through their Protocols."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from almondspan_decisions.ids import ShardId, TaskClass, TaskId, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_platform.store import ABSENT_REVISION, Found, Store, Swapped
from almondspan_platform.worker import StartAttempt, StartResult, Worker
from almondspan_standins.memory_store import MemoryStore
from almondspan_standins.memory_worker import MemoryWorker
from almondspan_standins.store_core import StoreCore
from almondspan_standins.worker_core import Effect, WorkerCore, task_payload


def run(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(main)


def test_store_reads_back_what_it_wrote() -> None:
    async def main() -> None:
        core = StoreCore(asyncio.get_running_loop().time)
        store: Store = MemoryStore(core)
        swapped = await store.compare_and_swap("a", ABSENT_REVISION, b"1")
        assert isinstance(swapped, Swapped)
        found = await store.get("a")
        assert isinstance(found, Found)
        assert found.item is not None
        assert found.item.revision == swapped.revision

    run(main())


def test_worker_runs_a_task_once() -> None:
    now_s = 0.0
    core = WorkerCore(WorkerId("w1"), Shape(1000, 1000, 0), lambda: now_s)
    request = StartAttempt(
        TaskId("job/0"),
        1,
        TaskClass("cut"),
        Shape(600, 100, 0),
        task_payload(2.0, "cut", "record-1"),
        b"",
        ShardId(0),
        1,
        True,
    )

    async def main() -> None:
        nonlocal now_s
        worker: Worker = MemoryWorker(core)
        assert await worker.start_attempt(request) is StartResult.STARTED
        assert await worker.start_attempt(request) is StartResult.ALREADY_KNOWN
        now_s = 2.0
        await worker.list_attempts()

    run(main())
    assert core.ledger == [Effect("record-1", "cut", TaskId("job/0"), 1)]
