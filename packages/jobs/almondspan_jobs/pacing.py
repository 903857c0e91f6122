"""Keeps the tasks that fill on one worker at the pace that their neighbours bear.

`WorkerPacing` holds what the agent knows of each task, the weights that the owner sent
and the paces that were ordered. After a look it lets `FillPacer` decide and orders the
paces that changed; a low pace is ordered again now and then, since an order may come
late and undo a newer one. A task that fills begins at full pace, so its pace is ordered
as soon as the worker has taken its start, by what the latest look showed.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.best_effort_pacing import (
    BestEffortLoad,
    BestEffortPacer,
    ServingTask,
)
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.tail_latency_model import Image, InterferenceWeights
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import InterferenceUpdate, TaskTraits
from almondspan_jobs.options import JobOptions
from almondspan_platform.task_worker import (
    TaskWorker,
    Verdict,
    WorkerPoll,
)

__all__ = ["WorkerPacing"]

FULL_PERCENT: Final = 100
MIN_TAIL_LATENCY_MS: Final = 0.5
"""A shorter tail latency counts as this, since it is listed in whole milliseconds."""


@dataclass(frozen=True, slots=True)
class _BestEffortTask:
    """A task that fills, with the processors it uses and would use."""

    image: Image
    used_millicores: float
    full_millicores: float


class WorkerPacing:
    """The paces on one worker."""

    def __init__(self, worker: TaskWorker, options: JobOptions, log: EventLog) -> None:
        self._worker: Final = worker
        self._options: Final = options
        self._log: Final = log
        self._interference = InterferenceWeights({})
        self._traits: dict[str, TaskTraits] = {}
        self.on_new_incarnation(0)

    def on_new_incarnation(self, cpu_millicores: int) -> None:
        """Forget the paces: a new lifetime of the worker runs nothing yet."""
        self._cpu_millicores = max(cpu_millicores, 1)
        self._pacer = BestEffortPacer()
        self._image_paces: dict[Image, int] = {}
        self._paces: dict[tuple[str, int], tuple[int, float]] = {}
        self._serving: list[ServingTask] = []
        """The serving tasks of the latest look."""
        self._best_effort: dict[tuple[str, int], _BestEffortTask] = {}
        """The tasks that fill: those of the latest look and those begun since."""

    def add_traits(self, traits: TaskTraits) -> None:
        """Take in what a task is."""
        self._traits[traits.task] = traits

    def replace_traits(self, tasks: list[TaskTraits]) -> None:
        """Take in every task that is assigned to the worker."""
        self._traits = {traits.task: traits for traits in tasks}

    def forget_task(self, task: str) -> None:
        """Drop a task that has ended."""
        self._traits.pop(task, None)

    def set_weights(self, update: InterferenceUpdate) -> None:
        """Take in the owner's weights."""
        self._interference = InterferenceWeights(
            {
                (Image(serving), Image(filling)): weight
                for serving, filling, weight in update.weights
            }
        )

    @property
    def is_needed(self) -> bool:
        """Tell whether tasks that fill run beside tasks with a tail target."""
        has_target = any(traits.tail_target_ms for traits in self._traits.values())
        return has_target and any(traits.fills for traits in self._traits.values())

    @property
    def is_paced(self) -> bool:
        """Tell whether an image works at less than its full pace."""
        return any(percent < FULL_PERCENT for percent in self._image_paces.values())

    async def pace_after_poll(
        self, worker_id: WorkerId, look: WorkerPoll, fence: int
    ) -> None:
        """Order the paces that follow from a look."""
        now_s = steady_s()
        if now_s - self._pacer.looked_s < self._options.pace_interval_s:
            return
        self._apply_poll(look)
        self._pacer.look(
            self._serving, self._loads_by_image(), self._interference, now_s
        )
        await self._send_paces(worker_id, fence, now_s)

    async def pace_after_start(
        self, worker_id: WorkerId, traits: TaskTraits, attempt: int, fence: int
    ) -> None:
        """Order the paces that a task which the worker has just begun asks for."""
        image = Image(traits.image)
        now_s = steady_s()
        if traits.fills:
            load = _BestEffortTask(image, 0.0, traits.cpu_millicores)
            self._best_effort.setdefault((traits.task, attempt), load)
        elif traits.tail_target_ms:
            self._serving.append(self._pacer.expect(traits.task, image, now_s))
        if self._best_effort and self._serving:
            await self._send_paces(worker_id, fence, now_s)

    async def _send_paces(self, worker_id: WorkerId, fence: int, now_s: float) -> None:
        paces = self._pacer.paces(
            self._serving, self._loads_by_image(), self._interference
        )
        if paces != self._image_paces and self._serving:
            self._log.line(
                "pace_changed",
                paces=paces,
                cut=round(self._pacer.cut, 2),
                headrooms=[
                    (task.image, round(task.headroom, 2)) for task in self._serving
                ],
            )
        self._image_paces = paces
        await asyncio.gather(
            *(
                self._pace_task(worker_id, *key, paces[load.image], fence, now_s)
                for key, load in self._best_effort.items()
                if self._is_pace_due(key, paces[load.image], now_s)
            )
        )

    def _apply_poll(self, look: WorkerPoll) -> None:
        """Keep the tasks with a tail target and the tasks that fill."""
        self._serving = []
        self._best_effort = {}
        for task in look.running:
            traits = self._traits.get(task.task)
            if traits is None:
                continue
            image = Image(traits.image)
            if traits.tail_target_ms and task.percent == FULL_PERCENT:
                headroom = traits.tail_target_ms / max(
                    task.measurement, MIN_TAIL_LATENCY_MS
                )
                self._serving.append(ServingTask(task.task, image, headroom))
            elif traits.fills:
                key = (task.task, task.attempt)
                self._best_effort[key] = _BestEffortTask(
                    image, task.measurement, traits.cpu_millicores
                )
        self._paces = {
            key: pace for key, pace in self._paces.items() if key in self._best_effort
        }

    def _loads_by_image(self) -> list[BestEffortLoad]:
        """Sum the shares of the tasks that fill by their image."""
        used: dict[Image, float] = {}
        full: dict[Image, float] = {}
        for load in self._best_effort.values():
            used[load.image] = used.get(load.image, 0.0) + load.used_millicores
            full[load.image] = full.get(load.image, 0.0) + load.full_millicores
        return [
            BestEffortLoad(
                image, used[image] / self._cpu_millicores, asked / self._cpu_millicores
            )
            for image, asked in full.items()
        ]

    def _is_pace_due(self, key: tuple[str, int], percent: int, now_s: float) -> bool:
        sent, sent_s = self._paces.get(key, (FULL_PERCENT, 0.0))
        if sent != percent:
            return True
        is_old = now_s - sent_s > self._options.pace_repeat_s
        return percent < FULL_PERCENT and is_old

    async def _pace_task(
        self,
        worker_id: WorkerId,
        task: str,
        attempt: int,
        percent: int,
        fence: int,
        now_s: float,
    ) -> None:
        verdict = await self._worker.pace_task(worker_id, task, attempt, percent, fence)
        if verdict is Verdict.DONE:
            self._paces[(task, attempt)] = (percent, now_s)
        else:
            self._log.line("pace_refused", task=task, verdict=verdict.value)
