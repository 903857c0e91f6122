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
MIN_TAIL_MS: Final = 0.5
"""A shorter tail latency counts as this, since it is listed in whole milliseconds."""


@dataclass(frozen=True, slots=True)
class _Fill:
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
        self._table = InterferenceWeights({})
        self._facts: dict[str, TaskTraits] = {}
        self.begin_life(0)

    def begin_life(self, cpu_millicores: int) -> None:
        """Forget the paces: a new lifetime of the worker runs nothing yet."""
        self._cpu_millicores = max(cpu_millicores, 1)
        self._pacer = BestEffortPacer()
        self._image_paces: dict[Image, int] = {}
        self._paces: dict[tuple[str, int], tuple[int, float]] = {}
        self._serving: list[ServingTask] = []
        """The serving tasks of the latest look."""
        self._filling: dict[tuple[str, int], _Fill] = {}
        """The tasks that fill: those of the latest look and those begun since."""

    def learn(self, facts: TaskTraits) -> None:
        """Take in what a task is."""
        self._facts[facts.task] = facts

    def learn_all(self, tasks: list[TaskTraits]) -> None:
        """Take in every task that is assigned to the worker."""
        self._facts = {facts.task: facts for facts in tasks}

    def forget(self, task: str) -> None:
        """Drop a task that has ended."""
        self._facts.pop(task, None)

    def take_weights(self, push: InterferenceUpdate) -> None:
        """Take in the owner's weights."""
        self._table = InterferenceWeights(
            {
                (Image(serving), Image(filling)): weight
                for serving, filling, weight in push.weights
            }
        )

    @property
    def is_needed(self) -> bool:
        """Tell whether tasks that fill run beside tasks with a tail target."""
        has_target = any(facts.tail_target_ms for facts in self._facts.values())
        return has_target and any(facts.fills for facts in self._facts.values())

    @property
    def is_paced(self) -> bool:
        """Tell whether an image works at less than its full pace."""
        return any(percent < FULL_PERCENT for percent in self._image_paces.values())

    async def pace(self, worker_id: WorkerId, look: WorkerPoll, fence: int) -> None:
        """Order the paces that follow from a look."""
        now_s = steady_s()
        if now_s - self._pacer.looked_s < self._options.pace_interval_s:
            return
        self._apply_poll(look)
        self._pacer.look(self._serving, self._by_image(), self._table, now_s)
        await self._order_paces(worker_id, fence, now_s)

    async def pace_begun(
        self, worker_id: WorkerId, facts: TaskTraits, attempt: int, fence: int
    ) -> None:
        """Order the paces that a task which the worker has just begun asks for."""
        image = Image(facts.image)
        now_s = steady_s()
        if facts.fills:
            fill = _Fill(image, 0.0, facts.cpu_millicores)
            self._filling.setdefault((facts.task, attempt), fill)
        elif facts.tail_target_ms:
            self._serving.append(self._pacer.expect(facts.task, image, now_s))
        if self._filling and self._serving:
            await self._order_paces(worker_id, fence, now_s)

    async def _order_paces(self, worker_id: WorkerId, fence: int, now_s: float) -> None:
        paces = self._pacer.paces(self._serving, self._by_image(), self._table)
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
                self._pace_task(worker_id, *key, paces[fill.image], fence, now_s)
                for key, fill in self._filling.items()
                if self._is_pace_due(key, paces[fill.image], now_s)
            )
        )

    def _apply_poll(self, look: WorkerPoll) -> None:
        """Keep the tasks with a tail target and the tasks that fill."""
        self._serving = []
        self._filling = {}
        for task in look.running:
            facts = self._facts.get(task.task)
            if facts is None:
                continue
            image = Image(facts.image)
            if facts.tail_target_ms and task.percent == FULL_PERCENT:
                headroom = facts.tail_target_ms / max(task.measurement, MIN_TAIL_MS)
                self._serving.append(ServingTask(task.task, image, headroom))
            elif facts.fills:
                key = (task.task, task.attempt)
                self._filling[key] = _Fill(
                    image, task.measurement, facts.cpu_millicores
                )
        self._paces = {
            key: pace for key, pace in self._paces.items() if key in self._filling
        }

    def _by_image(self) -> list[BestEffortLoad]:
        """Sum the shares of the tasks that fill by their image."""
        used: dict[Image, float] = {}
        full: dict[Image, float] = {}
        for fill in self._filling.values():
            used[fill.image] = used.get(fill.image, 0.0) + fill.used_millicores
            full[fill.image] = full.get(fill.image, 0.0) + fill.full_millicores
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
