"""In-memory worker whose best-effort and serving tasks slow each other down.

In each short step of time:

1. Best-effort tasks share the processors that the other tasks leave unused, each at
   its pace at most.
2. The utilisation of a serving task is its own load plus, for each best-effort image,
   the interference weight of the pair of images times the share of the worker's
   processors that the image uses.
3. The tail latency grows with the inverse of the unused capacity of that queue.

The worker records for how long serving tasks were over their target because of
best-effort tasks, and how much work of stopped runs was not saved.
"""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_platform.task_worker import EndReason, RunningTask, Verdict
from almondspan_standins.memory_task_worker import (
    MemoryTaskWorker,
    RunningScript,
    Script,
)

__all__ = ["ColocatedTaskWorker", "ColocationCounts", "Interference"]

STEP_S: Final = 0.05
PACE_DELAY_S: Final = 0.1
"""Time until a new pace takes effect."""
SMOOTHING_S: Final = 0.25
"""Time constant of the listed measurements."""
WARM_UP_S: Final = 0.4
"""Time from the start of a serving task until it serves."""
RESTORE_S: Final = 0.1
CHECKPOINT_S: Final = 1.0
"""Work between two checkpoints."""
MAX_UTILISATION: Final = 0.97
FULL_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class Interference:
    """How images affect each other.

    Attributes
    ----------
    weights : mapping of (serving image, best-effort image) to float
        Utilisation that the best-effort image adds when it uses a whole worker.
    calm_ms : float
        Tail latency of an idle serving task.
    """

    weights: Mapping[tuple[str, str], float]
    calm_ms: float

    def tail_ms(self, load: float, added: float) -> float:
        """Return the tail latency at a load, with the utilisation added to it."""
        utilisation = min(max(load + added, 0.0), MAX_UTILISATION)
        return self.calm_ms / (1.0 - utilisation)


@dataclass(slots=True)
class ColocationCounts:
    """What the tasks of one or more workers have experienced, in task-seconds."""

    served_s: float = 0.0
    interfered_s: float = 0.0
    """Over the target, and within it without the best-effort tasks."""
    longest_interfered_s: float = 0.0
    """Longest time of a task over its target while best-effort tasks ran beside it."""
    lost_core_s: float = 0.0
    """Work of runs that ended early, beyond their last checkpoint."""
    n_pace_calls: int = 0


@dataclass(slots=True)
class _Colocated:
    """State of one run beyond `RunningScript`."""

    resumed_s: float
    """Work saved by earlier runs of the task."""
    pace: float = 1.0
    next_pace: tuple[float, float] | None = None
    """A pace that takes effect at a time: (time, pace)."""
    measurement: float = 0.0
    worked_s: float = field(default=0.0)
    interfered_s: float = 0.0
    """Time over the target beside best-effort tasks, without interruption."""


class ColocatedTaskWorker(MemoryTaskWorker):
    """A `MemoryTaskWorker` whose tasks interfere with each other."""

    def __init__(
        self,
        worker_id: WorkerId,
        capacity: Shape,
        script: Script,
        rng: random.Random,
        interference: Interference,
        counts: ColocationCounts,
        clock_rate: float = 1.0,
        speed: float = 1.0,
    ) -> None:
        super().__init__(worker_id, capacity, script, rng, clock_rate)
        self._interference: Final = interference
        self._counts: Final = counts
        self.speed = speed
        """Factor on the progress of all tasks."""
        self._colocated: dict[str, _Colocated] = {}
        self._advanced_s = self._now_s()

    # Progress

    def _begin_run(self, item: RunningScript, checkpoint: str) -> None:
        saved_s = float(checkpoint) if checkpoint else 0.0
        state = _Colocated(saved_s, worked_s=-RESTORE_S if checkpoint else 0.0)
        self._colocated[item.run.task] = state
        if item.script.is_best_effort:
            # Its speed varies, so its end is noticed in the step in which it happens.
            item.done_s = math.inf

    def crash(self) -> None:
        """End all runs at once and stop responding until `restart`."""
        super().crash()
        self._colocated.clear()

    def _advance(self) -> None:
        now_s = self._now_s()
        while self._advanced_s < now_s:
            until_s = min(now_s, self._advanced_s + STEP_S)
            lapse_s = self._lapse_s()
            if self._incarnation.running and lapse_s <= until_s:
                for name in tuple(self._incarnation.running):
                    self._finish(name, EndReason.LAPSED, lapse_s)
            self._step(self._advanced_s, until_s - self._advanced_s)
            self._advanced_s = until_s

    def _step(self, begin_s: float, step_s: float) -> None:
        running = self._incarnation.running
        shares = self._best_effort_shares(begin_s)
        smoothing = min(step_s / SMOOTHING_S, 1.0)
        for name, item in tuple(running.items()):
            state, script = self._colocated[name], item.script
            if script.load is not None:
                self._serve(item, state, shares, begin_s, step_s)
                continue
            speed = self._speed(script.shape, state) if script.is_best_effort else 1.0
            used = speed * script.shape.cpu_millicores
            state.measurement += smoothing * (used - state.measurement)
            state.worked_s += speed * self.speed * step_s
            if state.resumed_s + max(state.worked_s, 0.0) >= script.duration_s:
                self._finish(name, script.how, begin_s + step_s)
        for name, item in tuple(running.items()):
            if item.stop_s is not None and item.stop_s <= begin_s + step_s:
                self._finish(name, EndReason.STOPPED, item.stop_s)

    def _best_effort_shares(self, now_s: float) -> dict[str, float]:
        """Set the contention, and return the shares in use by best-effort image."""
        left = float(self.capacity.cpu_millicores)
        requested = 0.0
        for name, item in self._incarnation.running.items():
            script, state = item.script, self._colocated[name]
            if script.is_best_effort:
                if state.next_pace is not None and state.next_pace[0] <= now_s:
                    state.pace, state.next_pace = state.next_pace[1], None
                requested += state.pace * script.shape.cpu_millicores
            elif script.load is not None:
                left -= script.load(now_s) * script.shape.cpu_millicores
            else:
                left -= script.shape.cpu_millicores
        self._contention = min(1.0, max(left, 0.0) / requested) if requested else 1.0
        shares: dict[str, float] = {}
        for name, item in self._incarnation.running.items():
            if item.script.is_best_effort:
                used = item.script.shape.cpu_millicores * self._speed(
                    item.script.shape, self._colocated[name]
                )
                image = item.script.image
                share = used / self.capacity.cpu_millicores
                shares[image] = shares.get(image, 0.0) + share
        return shares

    _contention = 1.0

    def _speed(self, shape: Shape, state: _Colocated) -> float:
        return state.pace * self._contention

    def _serve(
        self,
        item: RunningScript,
        state: _Colocated,
        shares: Mapping[str, float],
        now_s: float,
        step_s: float,
    ) -> None:
        script = item.script
        assert script.load is not None
        load = script.load(now_s)
        added = sum(
            self._interference.weights.get((script.image, image), 0.0) * share
            for image, share in shares.items()
        )
        tail_ms = self._interference.tail_ms(load, added)
        smoothing = min(step_s / SMOOTHING_S, 1.0)
        state.measurement += smoothing * (tail_ms - state.measurement)
        if now_s - item.run.begun_s < WARM_UP_S:
            return
        self._counts.served_s += step_s
        calm_ms = self._interference.tail_ms(load, 0.0)
        if calm_ms <= script.tail_target_ms < tail_ms:
            self._counts.interfered_s += step_s
        is_over = bool(shares) and tail_ms > script.tail_target_ms
        state.interfered_s = state.interfered_s + step_s if is_over else 0.0
        self._counts.longest_interfered_s = max(
            self._counts.longest_interfered_s, state.interfered_s
        )

    def _finish(self, name: str, how: EndReason, at_s: float) -> None:
        item = self._incarnation.running[name]
        self._end(name, how, at_s)
        state = self._colocated.pop(name)
        item.run.worked_s = max(state.worked_s, 0.0)
        if how not in (EndReason.DONE, EndReason.FAILED) and item.script.load is None:
            saved = self._saved_s(item, state, is_stop=how is EndReason.STOPPED)
            lost_s = state.resumed_s + item.run.worked_s - saved
            self._counts.lost_core_s += lost_s * item.script.shape.cpu_millicores / 1000

    def _saved_s(self, item: RunningScript, state: _Colocated, is_stop: bool) -> float:
        """Return the work that the latest checkpoint of a run holds."""
        if not item.script.saves_progress:
            return 0.0
        worked_s = max(state.worked_s, 0.0)
        if not is_stop:
            worked_s -= worked_s % CHECKPOINT_S
        return state.resumed_s + worked_s

    def _checkpoint(self, item: RunningScript) -> str:
        saved_s = self._saved_s(item, self._colocated[item.run.task], is_stop=True)
        return f"{saved_s:.3f}" if saved_s else ""

    # Calls

    async def pace_task(
        self, worker_id: WorkerId, task: str, attempt: int, percent: int, fence: int
    ) -> Verdict:
        """Set the pace of a running attempt."""

        def apply() -> Verdict:
            if not self._check_fence(fence):
                return Verdict.FENCED
            item = self._incarnation.running.get(task)
            if item is None or item.run.attempt != attempt:
                return Verdict.NOT_TAKEN
            self._counts.n_pace_calls += 1
            at_s = self._now_s() + PACE_DELAY_S
            self._colocated[task].next_pace = (at_s, percent / FULL_PERCENT)
            return Verdict.DONE

        return await self._deliver(worker_id, apply)

    def _running_rows(self) -> list[RunningTask]:
        return [
            self._running_row(name, item)
            for name, item in self._incarnation.running.items()
        ]

    def _running_row(self, name: str, item: RunningScript) -> RunningTask:
        state, script = self._colocated[name], item.script
        if script.load is not None:
            is_serving = self._now_s() - item.run.begun_s >= WARM_UP_S
            percent = FULL_PERCENT if is_serving else 0
            return RunningTask(
                name, item.run.attempt, "", percent, float(round(state.measurement))
            )
        done_s = state.resumed_s + max(state.worked_s, 0.0)
        percent = min(FULL_PERCENT - 1, int(FULL_PERCENT * done_s / script.duration_s))
        saved_s = self._saved_s(item, state, is_stop=False)
        checkpoint = f"{saved_s:.3f}" if saved_s else ""
        return RunningTask(
            name, item.run.attempt, checkpoint, percent, state.measurement
        )
