"""A runner may run on after a cancellation; it still gets no more calls than slots.

If the slot of a cancelled call were freed at once, the runner would be overloaded.
"""

import asyncio
from collections import deque

from service_path import ENTRY, SERVICE, FakeAnswer, FakeRunner, ServicePath
from virtual_clock import run_virtual

from almondspan_decisions.ids import AgentId
from almondspan_wire.service_messages import CallCancel, CallOpen

A = AgentId("a")
RUN_S = 0.1
N_SLOTS = 8


class UninterruptibleWork:
    """Runs each request to its end even if its connection is closed."""

    def __init__(self) -> None:
        self.n_running = 0
        self.n_peak = 0

    async def __call__(self, request) -> FakeAnswer:
        await asyncio.shield(asyncio.create_task(self._work()))
        return FakeAnswer(200, (), 2, deque([b"ok"]))

    async def _work(self) -> None:
        self.n_running += 1
        self.n_peak = max(self.n_peak, self.n_running)
        await asyncio.sleep(RUN_S)
        self.n_running -= 1


def opening(call_id: int) -> CallOpen:
    return CallOpen(
        incarnation=1,
        call_id=call_id,
        service=SERVICE,
        request_id=f"r{call_id}",
        caller="c",
        method="GET",
        path="/",
        headers=(),
        idempotent=True,
        timeout_ms=5_000.0,
        body_bytes=0,
        data=b"",
        end=True,
        credit_bytes=100_000,
    )


def test_slots_of_cancelled_calls_stay_taken_while_they_run() -> None:
    async def run() -> None:
        work = UninterruptibleWork()
        async with ServicePath({"a": FakeRunner(work)}) as path:
            admission = path.admissions[A]
            for call_id in range(1, 25):
                admission.on_message(ENTRY, opening(call_id))
            await asyncio.sleep(1.0)
            for call_id in range(101, 149):
                admission.on_message(ENTRY, opening(call_id))
                if call_id % 2:
                    await asyncio.sleep(0.005)
                    admission.on_message(ENTRY, CallCancel(1, call_id, SERVICE))
            await asyncio.sleep(2.0)
            assert work.n_peak == N_SLOTS
            assert admission.status().n_busy == 0
            await asyncio.wait_for(admission.drain(), 1.0)

    run_virtual(run())
