"""The colocation controller with a simulated machine, in virtual time."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import pytest

from almondspan_daemon.colocation import ColocationController, ServiceSignal
from almondspan_decisions.escalation import EscalationLevel
from almondspan_decisions.ids import ServiceName, TaskClass, TaskId
from almondspan_decisions.shapes import Shape
from almondspan_platform.worker import WorkerUnavailable, WorkerUsage

OBJECTIVE_MS = 100.0
N_SLOTS = 8
CAPACITY_MILLICORES = 16_000
ALIGNMENT, CUTTING = TaskClass("alignment"), TaskClass("cutting")
TRANSCRIPTION = TaskClass("transcription")
TASK_SHAPE = Shape(4_000, 1_000)
INTERFERENCE = {ALIGNMENT: 6.0, TRANSCRIPTION: 1.0, CUTTING: 0.0}


class _InstantSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Advances virtual time instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in which time advances as soon as no callback is ready."""

    def __init__(self) -> None:
        self.jumping = _InstantSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now_s


@dataclass(frozen=True)
class FakeTask:
    task_id: TaskId
    attempt: int
    task_class: TaskClass
    shape: Shape = TASK_SHAPE
    attained_s: float = 0.0
    checkpointable: bool = True
    idempotent: bool = True
    urgent: bool = False
    share: float = 1.0


class FakeMachine:
    """Attempts, service and worker of one machine with known interference."""

    def __init__(self, tasks: tuple[FakeTask, ...], usage_lag_s: float = 2.0) -> None:
        self.tasks = {task.task_id: task for task in tasks}
        self.usage_lag_s = usage_lag_s
        self.n_busy = 1
        self.worker_answers = True
        self.drops_throttles = False
        self.evicted: list[tuple[TaskId, bool]] = []
        self._usage_history: list[tuple[float, WorkerUsage]] = []

    def running(self) -> tuple[FakeTask, ...]:
        return tuple(self.tasks.values())

    def throttle(self, task: TaskId, share: float) -> bool:
        if task not in self.tasks:
            return False
        if not self.drops_throttles:
            self.tasks[task] = replace(self.tasks[task], share=share)
        return True

    def evict(self, task: TaskId, checkpoint: bool) -> bool:
        self.evicted.append((task, checkpoint))
        return self.tasks.pop(task, None) is not None

    def run_ms(self) -> float:
        pressure = sum(
            INTERFERENCE[task.task_class] * task.share * task.shape.cpu_millicores
            for task in self.tasks.values()
        )
        return 20.0 * (1.0 + pressure / CAPACITY_MILLICORES)

    def signal(self) -> ServiceSignal:
        waits = self.n_busy / N_SLOTS
        tail_ms = self.run_ms() * (1.5 + waits)
        missed = tail_ms > OBJECTIVE_MS
        return ServiceSignal(
            service=ServiceName("listening"),
            n_slots=N_SLOTS,
            n_busy=self.n_busy,
            n_queued=0,
            burn_rate=20.0 if missed else 0.0,
            run_ms=self.run_ms(),
            tail_ms=tail_ms,
            objective_ms=OBJECTIVE_MS,
            n_recent_calls=50,
        )

    async def usage(self) -> WorkerUsage | WorkerUnavailable:
        if not self.worker_answers:
            await asyncio.Event().wait()
        now_s = asyncio.get_running_loop().time()
        by_task = tuple(
            (task.task_id, round(task.share * task.shape.cpu_millicores))
            for task in self.tasks.values()
        )
        used = sum(millicores for _, millicores in by_task)
        usage = WorkerUsage(self.usage_lag_s, used, 0, by_task)
        self._usage_history.append((now_s, usage))
        old = [
            each
            for at_s, each in self._usage_history
            if at_s <= now_s - self.usage_lag_s
        ]
        return old[-1] if old else WorkerUnavailable("nothing measured yet")


def make_machine(task_class: TaskClass = ALIGNMENT, n_tasks: int = 3) -> FakeMachine:
    return FakeMachine(
        tuple(
            FakeTask(TaskId(f"{task_class}-{n}/0"), 1, task_class)
            for n in range(n_tasks)
        )
    )


def in_virtual_time(body: Callable[[], Awaitable[None]]) -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(asyncio.wait_for(body(), 10_000.0))
    finally:
        loop.close()


async def start_controller(
    machine: FakeMachine, policy: str = "ladder"
) -> ColocationController:
    colocation_controller = ColocationController(
        machine, [machine], machine, CAPACITY_MILLICORES, policy=policy
    )
    await colocation_controller.start()
    return colocation_controller


def test_load_swing_is_countered_within_two_seconds_and_faster_the_next_time() -> None:
    async def body() -> None:
        machine = make_machine()
        colocation_controller = await start_controller(machine)
        machine.n_busy = 5
        await asyncio.sleep(2.0)
        assert machine.signal().tail_ms <= OBJECTIVE_MS
        machine.n_busy = 1
        await asyncio.sleep(10.0)
        machine.n_busy = 5
        await asyncio.sleep(0.6)
        assert machine.signal().tail_ms <= OBJECTIVE_MS
        await colocation_controller.close()

    in_virtual_time(body)


def test_classes_without_interference_are_not_throttled() -> None:
    async def body() -> None:
        machine = make_machine(CUTTING)
        colocation_controller = await start_controller(machine)
        for n_busy in (1, 6, 1, 6):
            machine.n_busy = n_busy
            await asyncio.sleep(5.0)
        assert colocation_controller.counters.n_throttles == 0
        assert colocation_controller.escalation_level == EscalationLevel.NONE.value
        await colocation_controller.close()

    in_virtual_time(body)


def test_swings_every_few_seconds_do_not_thrash() -> None:
    async def body() -> None:
        machine = make_machine()
        colocation_controller = await start_controller(machine)
        for _ in range(60):
            machine.n_busy = 1
            await asyncio.sleep(3.0)
            machine.n_busy = 6
            await asyncio.sleep(2.0)
        assert not machine.evicted
        assert len(colocation_controller.level_changes) < 240
        await colocation_controller.close()

    in_virtual_time(body)


def test_unresponsive_worker_does_not_stop_the_control_loop() -> None:
    async def body() -> None:
        machine = make_machine()
        machine.worker_answers = False
        colocation_controller = await start_controller(machine)
        machine.n_busy = 6
        await asyncio.sleep(3.0)
        assert machine.signal().tail_ms <= OBJECTIVE_MS
        await asyncio.sleep(10.0)
        assert colocation_controller.counters.n_usage_missing >= 3
        await colocation_controller.close()

    in_virtual_time(body)


def test_lost_throttles_are_resent() -> None:
    async def body() -> None:
        machine = make_machine()
        machine.drops_throttles = True
        colocation_controller = await start_controller(machine)
        machine.n_busy = 6
        await asyncio.sleep(5.0)
        assert all(task.share == 1.0 for task in machine.tasks.values())
        machine.drops_throttles = False
        await asyncio.sleep(4.0)
        assert all(task.share < 1.0 for task in machine.tasks.values())
        await colocation_controller.close()

    in_virtual_time(body)


@pytest.mark.parametrize("held_s", [2.0 + 0.25 * n for n in range(16)])
def test_throttles_are_lifted_after_a_load_peak(held_s: float) -> None:
    async def body() -> None:
        machine = make_machine(TRANSCRIPTION)
        colocation_controller = await start_controller(machine)
        machine.n_busy = N_SLOTS
        await asyncio.sleep(held_s)
        assert all(task.share < 1.0 for task in machine.tasks.values())
        machine.n_busy = 0
        await asyncio.sleep(60.0)
        assert {task.share for task in machine.tasks.values()} == {1.0}
        await colocation_controller.close()

    in_virtual_time(body)


@pytest.mark.parametrize(
    "usage_lag_s", [pytest.param(1.0, id="1 s"), pytest.param(5.0, id="5 s")]
)
def test_slowdowns_are_learned_from_delayed_usage(usage_lag_s: float) -> None:
    async def body() -> None:
        machine = make_machine(n_tasks=2)
        machine.usage_lag_s = usage_lag_s
        quiet = FakeTask(TaskId("quiet/0"), 1, CUTTING)
        colocation_controller = await start_controller(machine, policy="no_control")
        for n in range(200):
            for task_id, task in list(machine.tasks.items()):
                if task.task_class == ALIGNMENT:
                    machine.throttle(task_id, 0.1 if n % 3 else 1.0)
            if n % 5 == 0:
                machine.tasks[quiet.task_id] = quiet
            elif n % 5 == 3:
                machine.tasks.pop(quiet.task_id, None)
            await asyncio.sleep(3.0)
        worst_slowdowns = dict(colocation_controller.worst_slowdowns())
        assert worst_slowdowns[ALIGNMENT] > 2.0 * worst_slowdowns[CUTTING]
        await colocation_controller.close()

    in_virtual_time(body)


def test_close_cancels_hanging_calls() -> None:
    async def body() -> None:
        machine = make_machine()
        machine.worker_answers = False
        before = asyncio.all_tasks()
        colocation_controller = await start_controller(machine)
        machine.n_busy = 6
        await asyncio.sleep(1.0)
        assert len(asyncio.all_tasks() - before) == 2
        await colocation_controller.close()
        assert asyncio.all_tasks() == before

    in_virtual_time(body)
