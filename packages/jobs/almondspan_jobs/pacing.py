"""Paces the best-effort tasks of one worker to protect its serving tasks.

`WorkerPacing` holds the traits of each task, the owner's interference weights and the
paces that were set. After each poll `BestEffortPacer` computes the paces, and those
that changed are sent to the worker. A reduced pace is sent again periodically, since a
delayed command may overwrite a newer one. A best-effort task starts at full pace, so
its pace is set as soon as the worker has accepted the start, based on the latest poll.
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
"""Lower bound, since workers list tail latencies in whole milliseconds."""


@dataclass(frozen=True, slots=True)
class _BestEffortTask:
    """A best-effort task, with its use of processors now and at full pace."""

    image: Image
    used_millicores: float
    full_millicores: float


class WorkerPacing:
    """Computes and sends the paces of one worker's best-effort tasks."""

    def __init__(self, worker: TaskWorker, options: JobOptions, log: EventLog) -> None:
        self._worker: Final = worker
        self._options: Final = options
        self._log: Final = log
        self._interference = InterferenceWeights({})
        self._traits: dict[str, TaskTraits] = {}
        self.on_new_incarnation(0)

    def on_new_incarnation(self, cpu_millicores: int) -> None:
        """Reset the paces: a new incarnation of the worker runs nothing yet."""
        self.set_capacity(cpu_millicores)
        self._pacer = BestEffortPacer()
        self._image_paces: dict[Image, int] = {}
        self._paces: dict[tuple[str, int], tuple[int, float]] = {}
        self._serving: list[ServingTask] = []
        """The serving tasks of the latest poll, and those started since."""
        self._best_effort: dict[tuple[str, int], _BestEffortTask] = {}
        """The best-effort tasks of the latest poll, and those started since."""

    def set_capacity(self, cpu_millicores: int) -> None:
        """Set the worker's processors, of which tasks use shares."""
        self._cpu_millicores = max(cpu_millicores, 1)

    def add_traits(self, traits: TaskTraits) -> None:
        """Add the traits of one task."""
        self._traits[traits.task] = traits

    def replace_traits(self, tasks: list[TaskTraits]) -> None:
        """Replace the traits by those of all tasks assigned to the worker."""
        self._traits = {traits.task: traits for traits in tasks}

    def forget_task(self, task: str) -> None:
        """Drop the traits of an ended task."""
        self._traits.pop(task, None)

    def set_weights(self, update: InterferenceUpdate) -> None:
        """Set the interference weights sent by the owner."""
        self._interference = InterferenceWeights(
            {
                (Image(serving), Image(best_effort)): weight
                for serving, best_effort, weight in update.weights
            }
        )

    @property
    def is_needed(self) -> bool:
        """Return whether there are both best-effort tasks and tasks with a target."""
        has_target = any(traits.tail_target_ms for traits in self._traits.values())
        return has_target and any(traits.fills for traits in self._traits.values())

    @property
    def is_paced(self) -> bool:
        """Return whether any image runs below its full pace."""
        return any(percent < FULL_PERCENT for percent in self._image_paces.values())

    async def pace_after_poll(
        self, worker_id: WorkerId, poll: WorkerPoll, fence: int
    ) -> None:
        """Set the paces that follow from a poll."""
        now_s = steady_s()
        if now_s - self._pacer.observed_s < self._options.pace_interval_s:
            return
        self._apply_poll(poll)
        self._pacer.observe(
            self._serving, self._loads_by_image(), self._interference, now_s
        )
        await self._send_paces(worker_id, fence, now_s)

    async def pace_after_start(
        self, worker_id: WorkerId, traits: TaskTraits, attempt: int, fence: int
    ) -> None:
        """Set the paces that follow from a task that has just started."""
        image = Image(traits.image)
        now_s = steady_s()
        if traits.fills:
            load = _BestEffortTask(image, 0.0, traits.cpu_millicores)
            self._best_effort.setdefault((traits.task, attempt), load)
        elif traits.tail_target_ms:
            self._serving.append(self._pacer.add_serving_task(traits.task, image))
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

    def _apply_poll(self, poll: WorkerPoll) -> None:
        """Extract the serving and the best-effort tasks from a poll."""
        self._serving = []
        self._best_effort = {}
        for task in poll.running:
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
        """Sum the processor shares of best-effort tasks by image."""
        used: dict[Image, float] = {}
        full: dict[Image, float] = {}
        for load in self._best_effort.values():
            used[load.image] = used.get(load.image, 0.0) + load.used_millicores
            full[load.image] = full.get(load.image, 0.0) + load.full_millicores
        return [
            BestEffortLoad(
                image,
                used[image] / self._cpu_millicores,
                requested / self._cpu_millicores,
            )
            for image, requested in full.items()
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
