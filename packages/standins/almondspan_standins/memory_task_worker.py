"""In-memory worker that runs tasks under one lease, with its own clock.

Each `MemoryTaskWorker` is one machine; `MemoryTaskWorker.restart` starts a new
incarnation with the same or another id. `MemoryTaskWorker.runs` records all runs for
checks by tests. As faults, a command may be executed seconds later and without a
response, a worker may hang, and a task may crash the worker.
"""

import asyncio
import contextvars
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_platform.task_worker import (
    EndedTask,
    EndReason,
    PollFailed,
    PollRequest,
    RunningTask,
    StartAnswer,
    StartTask,
    Verdict,
    WorkerPoll,
)

__all__ = ["MemoryTaskWorker", "RunningScript", "TaskScript", "WorkerRun"]

ANSWER_S: Final = 0.001
COMMAND_TIMEOUT_S: Final = 0.4
POLL_TIMEOUT_S: Final = 0.6
"""Added to the time that the poll itself waits."""
STOP_S: Final = 0.2
MAX_LISTED_ENDS: Final = 500
MAX_LEASE_S: Final = 6.0


@dataclass(frozen=True, slots=True)
class TaskScript:
    """How a task behaves: its resources, its duration and how it ends."""

    shape: Shape
    duration_s: float
    """Time to completion at full speed."""
    how: EndReason = EndReason.DONE
    image: str = ""
    is_best_effort: bool = False
    saves_progress: bool = False
    load: Callable[[float], float] | None = None
    """For a serving task, the share of its processors in use, by time."""
    tail_target_ms: float = 0.0
    ready_s: float | None = None
    """Time from its start after which a lasting task lists 100 percent; None if never.
    """
    crash_after_s: float | None = None
    """Time from its start after which a run crashes the worker; None if never."""

    @property
    def counted_shape(self) -> Shape:
        """The resources that count against the worker's capacity."""
        if not self.is_best_effort:
            return self.shape
        return Shape(0, self.shape.memory_mb, self.shape.n_accelerators)


@dataclass(slots=True)
class WorkerRun:
    """One run of an attempt, recorded for checks by tests."""

    task: str
    attempt: int
    worker_id: WorkerId
    started_ms: int
    begun_s: float
    ended_s: float | None = None
    how: EndReason | None = None
    acknowledged_s: float | None = None
    worked_s: float = 0.0
    """Work done by this run, in seconds at full speed; set by a colocated worker."""


@dataclass(slots=True)
class RunningScript:
    """A script that is being executed."""

    run: WorkerRun
    script: TaskScript
    done_s: float
    stop_s: float | None = None


Script = Callable[[str, int], TaskScript]


@dataclass(slots=True)
class _Incarnation:
    worker_id: WorkerId
    started_ms: int
    started_s: float
    """The start on the loop's clock."""
    fence: int = 0
    until_ms: int = 0
    n_ended: int = 0
    lapsed_s: float = 0.0
    running: dict[str, RunningScript] = field(default_factory=dict)
    ended: list[tuple[EndedTask, WorkerRun]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    """Highest attempt of each task that was stopped or has ended here."""


class MemoryTaskWorker:
    """One machine that runs tasks."""

    def __init__(
        self,
        worker_id: WorkerId,
        capacity: Shape,
        script: Script,
        rng: random.Random,
        clock_rate: float = 1.0,
    ) -> None:
        self.capacity: Final = capacity
        self._script: Final = script
        self._rng: Final = rng
        self._clock_rate: Final = clock_rate
        self.runs: Final[list[WorkerRun]] = []
        self.late_share = 0.0
        """Share of commands that are executed 2 to 8 s later, without a response."""
        self.start_s = 0.0
        """Time from the arrival of a start to its execution."""
        self.max_listed_ends = MAX_LISTED_ENDS
        """A poll lists this many ends at most, those with the lowest numbers."""
        self._hung_until_s = 0.0
        self.is_down = False
        self.closes_on_crash = False
        """Whether a crash ends a poll in progress, as when only the process dies.

        When the machine loses power, the poll's connection stays open.
        """
        self.on_task_crash: Callable[[], None] = self.crash
        """Called when a task crashes the worker."""
        self._incarnation = _Incarnation(worker_id, 1_000, self._now_s())
        self._polled: _Incarnation | None = None
        """The incarnation that the client's poll connection leads to, if it is open."""

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()

    @property
    def worker_id(self) -> WorkerId:
        """The id of the current incarnation."""
        return self._incarnation.worker_id

    @property
    def started_ms(self) -> int:
        """When the current incarnation started."""
        return self._incarnation.started_ms

    def clock_ms(self) -> int:
        """Return the time of the worker's own steady clock."""
        return int(
            (self._now_s() - self._incarnation.started_s) * 1000 * self._clock_rate
        )

    def crash(self) -> None:
        """End all runs at once and stop responding until `restart`."""
        self._advance()
        for running in self._incarnation.running.values():
            running.run.ended_s = self._now_s()
        self._incarnation.running.clear()
        self.is_down = True

    def restart(self, worker_id: WorkerId | None = None) -> None:
        """Start a new incarnation without any state of the earlier one."""
        if not self.is_down:
            self.crash()
        started_ms = self._incarnation.started_ms + 1 + int(self._now_s() * 1000)
        self._incarnation = _Incarnation(
            worker_id or self.worker_id, started_ms, self._now_s()
        )
        self.is_down = False

    def hang(self, for_s: float) -> None:
        """Neither execute nor answer any call for a while; runs go on."""
        self._hung_until_s = self._now_s() + for_s

    @property
    def _is_hung(self) -> bool:
        return self._now_s() < self._hung_until_s

    # Clock and ends of runs

    def _advance(self) -> None:
        """End all runs that are due by now, in the order of their times."""
        now_s = self._now_s()
        while True:
            due = sorted(
                (min(item.done_s, item.stop_s or item.done_s), name)
                for name, item in self._incarnation.running.items()
            )
            lapse_s = self._lapse_s()
            if due and due[0][0] <= min(now_s, lapse_s):
                self._end_due(due[0][1], due[0][0])
            elif self._incarnation.running and lapse_s <= now_s:
                for name in tuple(self._incarnation.running):
                    self._end(name, EndReason.LAPSED, lapse_s)
            else:
                return

    def _lapse_s(self) -> float:
        return (
            self._incarnation.started_s
            + self._incarnation.until_ms / 1000 / self._clock_rate
        )

    def _end_due(self, name: str, at_s: float) -> None:
        item = self._incarnation.running[name]
        is_stopped = item.stop_s is not None and item.stop_s <= item.done_s
        self._end(name, EndReason.STOPPED if is_stopped else item.script.how, at_s)

    def _end(self, name: str, how: EndReason, at_s: float) -> None:
        incarnation = self._incarnation
        item = incarnation.running.pop(name)
        incarnation.n_ended += 1
        item.run.ended_s = at_s
        item.run.how = how
        attempt = item.run.attempt
        incarnation.highest[name] = max(incarnation.highest.get(name, 0), attempt)
        checkpoint = self._checkpoint(item) if how is EndReason.STOPPED else ""
        row = EndedTask(incarnation.n_ended, name, attempt, how, checkpoint)
        incarnation.ended.append((row, item.run))

    def _checkpoint(self, item: RunningScript) -> str:
        """Return the checkpoint of a run; this worker saves none."""
        return ""

    def advance_runs(self) -> None:
        """Bring `runs` up to date, for checks by tests."""
        if not self.is_down:
            self._advance()

    # Calls

    async def _deliver(
        self, worker_id: WorkerId, command: Callable[[], Verdict]
    ) -> Verdict:
        """Execute a command now or late; return the verdict that its sender gets."""
        await asyncio.sleep(ANSWER_S)
        if self._rng.random() < self.late_share:
            delay_s = self._rng.uniform(2.0, 8.0)
            asyncio.get_running_loop().call_later(
                delay_s,
                self._execute,
                worker_id,
                command,
                context=contextvars.Context(),
            )
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Verdict.NO_ANSWER
        if self._is_hung and not self.is_down:
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Verdict.NO_ANSWER
        if self.is_down:
            return Verdict.NOT_TAKEN
        return self._execute(worker_id, command)

    def _execute(self, worker_id: WorkerId, command: Callable[[], Verdict]) -> Verdict:
        if self.is_down:
            return Verdict.NOT_TAKEN
        if worker_id != self.worker_id:
            return Verdict.OTHER_INCARNATION
        self._advance()
        return command()

    def _check_fence(self, fence: int) -> bool:
        if fence < self._incarnation.fence:
            return False
        self._incarnation.fence = fence
        return True

    def _record_lapse(self) -> None:
        """Record that the lease has expired, even if nothing ran under it."""
        if self._incarnation.until_ms and self.clock_ms() > self._incarnation.until_ms:
            self._incarnation.lapsed_s = self._lapse_s()

    def _extend(self, until_ms: int) -> None:
        self._record_lapse()
        limit_ms = self.clock_ms() + int(MAX_LEASE_S * 1000)
        self._incarnation.until_ms = max(
            self._incarnation.until_ms, min(until_ms, limit_ms)
        )

    async def start_task(self, worker_id: WorkerId, request: StartTask) -> StartAnswer:
        """Start an attempt."""
        if self.start_s:
            await asyncio.sleep(self.start_s)
        verdict = await self._deliver(worker_id, lambda: self._start(request))
        return StartAnswer(verdict, self.clock_ms() if verdict is Verdict.DONE else 0)

    def _start(self, request: StartTask) -> Verdict:
        incarnation = self._incarnation
        if not self._check_fence(request.fence):
            return Verdict.FENCED
        if request.until_ms <= self.clock_ms():
            return Verdict.TOO_LATE
        self._extend(request.until_ms)
        present = incarnation.running.get(request.task)
        if present is not None and present.run.attempt == request.attempt:
            return Verdict.DONE
        if present is not None or request.attempt <= incarnation.highest.get(
            request.task, 0
        ):
            return Verdict.OLD_ATTEMPT
        script = self._script(request.task, request.attempt)
        used = script.counted_shape
        for item in incarnation.running.values():
            used = used + item.script.counted_shape
        if not used.fits_in(self.capacity):
            return Verdict.NO_CAPACITY
        now_s = self._now_s()
        run = WorkerRun(
            request.task,
            request.attempt,
            incarnation.worker_id,
            incarnation.started_ms,
            now_s,
        )
        self.runs.append(run)
        item = RunningScript(run, script, now_s + script.duration_s)
        incarnation.running[request.task] = item
        self._begin_run(item, request.checkpoint)
        if script.crash_after_s is not None:
            asyncio.get_running_loop().call_later(
                script.crash_after_s,
                self._crash_by_task,
                run,
                context=contextvars.Context(),
            )
        return Verdict.DONE

    def _crash_by_task(self, run: WorkerRun) -> None:
        self.advance_runs()
        if run.ended_s is None:
            self.on_task_crash()

    def _begin_run(self, item: RunningScript, checkpoint: str) -> None:
        """Prepare a run that has just started."""

    async def stop_task(
        self, worker_id: WorkerId, task: str, attempt: int, fence: int
    ) -> Verdict:
        """Stop an attempt."""
        return await self._deliver(worker_id, lambda: self._stop(task, attempt, fence))

    def _stop(self, task: str, attempt: int, fence: int) -> Verdict:
        if not self._check_fence(fence):
            return Verdict.FENCED
        highest = self._incarnation.highest
        highest[task] = max(highest.get(task, 0), attempt)
        item = self._incarnation.running.get(task)
        if item is not None and item.run.attempt <= attempt and item.stop_s is None:
            item.stop_s = self._now_s() + STOP_S
        return Verdict.DONE

    async def pace_task(
        self, worker_id: WorkerId, task: str, attempt: int, percent: int, fence: int
    ) -> Verdict:
        """Accept a pace, which has no effect on this worker."""
        return await self._deliver(
            worker_id,
            lambda: Verdict.DONE if self._check_fence(fence) else Verdict.FENCED,
        )

    async def poll(
        self, worker_id: WorkerId, request: PollRequest
    ) -> WorkerPoll | PollFailed:
        """Poll on the client's connection; see `hold` for the worker's side."""
        if request.n_acknowledged and self._polled is not self._incarnation:
            self._polled = None
            return PollFailed(Verdict.NOT_TAKEN, "no open connection")
        incarnation = self._incarnation
        poll = await self.hold(worker_id, request)
        self._polled = incarnation if isinstance(poll, WorkerPoll) else None
        return poll

    async def list_tasks(
        self, worker_id: WorkerId, fence: int
    ) -> WorkerPoll | PollFailed:
        """Return what `poll` returns, at once and without any effect."""
        return await self.hold(worker_id, PollRequest(fence, 0, 0, 0))

    async def hold(
        self, worker_id: WorkerId, request: PollRequest
    ) -> WorkerPoll | PollFailed:
        """Return the running tasks and the ends that are not acknowledged."""
        verdict = await self._deliver(worker_id, lambda: self._begin_poll(request))
        if verdict is not Verdict.DONE:
            return PollFailed(verdict, verdict.value, is_absent=self.is_down)
        incarnation = self._incarnation
        limit_s = self._now_s() + request.wait_ms / 1000
        while (
            not incarnation.ended
            and self._now_s() < limit_s
            and incarnation is self._incarnation
            and not (self.is_down and self.closes_on_crash)
        ):
            next_s = [
                min(item.done_s, item.stop_s or item.done_s)
                for item in incarnation.running.values()
            ]
            until_s = min([limit_s, self._now_s() + 0.05, *next_s])
            await asyncio.sleep(max(until_s - self._now_s(), 0.0005))
            self._advance()
        if self._is_hung:
            await asyncio.sleep(POLL_TIMEOUT_S)
            return PollFailed(Verdict.NO_ANSWER, "the worker hangs")
        if self.is_down or incarnation is not self._incarnation:
            return PollFailed(Verdict.NO_ANSWER, "the worker has crashed or restarted")
        listed = incarnation.ended[: self.max_listed_ends]
        return WorkerPoll(
            incarnation.started_ms,
            self.clock_ms(),
            tuple(self._running_rows()),
            tuple(row for row, _ in listed),
            lists_all_ends=len(listed) < self.max_listed_ends,
        )

    def _begin_poll(self, request: PollRequest) -> Verdict:
        incarnation = self._incarnation
        if not self._check_fence(request.fence):
            return Verdict.FENCED
        self._record_lapse()
        for row, run in incarnation.ended:
            # After the lease has expired, earlier ends can no longer be acknowledged.
            is_in_time = (run.ended_s or 0.0) >= incarnation.lapsed_s
            if (
                row.number <= request.n_acknowledged
                and run.acknowledged_s is None
                and is_in_time
            ):
                run.acknowledged_s = self._now_s()
        incarnation.ended = [
            pair
            for pair in incarnation.ended
            if pair[0].number > request.n_acknowledged
        ]
        if request.until_ms:
            self._extend(request.until_ms)
        return Verdict.DONE

    def _running_rows(self) -> list[RunningTask]:
        now_s = self._now_s()
        rows = []
        for name, item in self._incarnation.running.items():
            done_share = (now_s - item.run.begun_s) / item.script.duration_s
            percent = min(99, int(done_share * 100))
            ready_s = item.script.ready_s
            if ready_s is not None and now_s - item.run.begun_s >= ready_s:
                percent = 100
            rows.append(RunningTask(name, item.run.attempt, "", percent))
        return rows
