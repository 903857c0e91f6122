"""Keeps the tasks that fill on one worker at the pace that their neighbours bear.

`WorkerPacing` holds what the agent knows of each task, the weights that the owner sent
and the paces that were ordered. After a look it lets `FillPacer` decide and orders the
paces that changed; a low pace is ordered again now and then, since an order may come
late and undo a newer one.
"""

import asyncio
from typing import Final

from almondspan_decisions.fill_pace import Filling, FillPacer, Serving
from almondspan_decisions.ids import WorkerId
from almondspan_decisions.tail_model import HarmTable, Image
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import HarmPush, TaskFacts
from almondspan_jobs.options import JobOptions
from almondspan_platform.task_worker import (
    RunningTask,
    TaskWorker,
    Verdict,
    WorkerLook,
)

__all__ = ["WorkerPacing"]

FULL_PERCENT: Final = 100


class WorkerPacing:
    """The paces on one worker."""

    def __init__(self, worker: TaskWorker, options: JobOptions, log: EventLog) -> None:
        self._worker: Final = worker
        self._options: Final = options
        self._log: Final = log
        self._table = HarmTable({}, {})
        self._facts: dict[str, TaskFacts] = {}
        self.begin_life()

    def begin_life(self) -> None:
        """Forget the paces: a new lifetime of the worker runs nothing yet."""
        self._pacer = FillPacer()
        self._image_paces: dict[Image, int] = {}
        self._paces: dict[tuple[str, int], tuple[int, float]] = {}

    def learn(self, facts: TaskFacts) -> None:
        """Take in what a task is."""
        self._facts[facts.task] = facts

    def learn_all(self, tasks: list[TaskFacts]) -> None:
        """Take in every task that is assigned to the worker."""
        self._facts = {facts.task: facts for facts in tasks}

    def forget(self, task: str) -> None:
        """Drop a task that has ended."""
        self._facts.pop(task, None)

    def take_weights(self, push: HarmPush) -> None:
        """Take in the owner's weights."""
        self._table = HarmTable.from_rows(push.weights, {})

    @property
    def is_needed(self) -> bool:
        """Tell whether tasks that fill run beside tasks with a tail target."""
        has_target = any(facts.tail_target_ms for facts in self._facts.values())
        return has_target and any(facts.fills for facts in self._facts.values())

    @property
    def is_paced(self) -> bool:
        """Tell whether an image works at less than its full pace."""
        return any(percent < FULL_PERCENT for percent in self._image_paces.values())

    async def pace(self, worker_id: WorkerId, look: WorkerLook, fence: int) -> None:
        """Order the paces that follow from a look."""
        now_s = steady_s()
        if now_s - self._pacer.looked_s < self._options.pace_interval_s:
            return
        serving, filling = self._shared_tasks(look)
        before = self._image_paces
        self._image_paces = self._pacer.look(
            serving, _by_image(filling), self._table, now_s
        )
        if self._image_paces != before and serving:
            self._log.line(
                "pace_changed",
                paces=self._image_paces,
                cut=round(self._pacer.cut, 2),
                tails=[(task.image, round(task.share, 2)) for task in serving],
            )
        due = []
        for task, facts in filling:
            percent = self._image_paces[Image(facts.image)]
            if self._is_pace_due(task, percent, now_s):
                due.append(self._pace_task(worker_id, task, percent, fence, now_s))
        await asyncio.gather(*due)
        running = {(task.task, task.attempt) for task in look.running}
        self._paces = {key: pace for key, pace in self._paces.items() if key in running}

    def _shared_tasks(
        self, look: WorkerLook
    ) -> tuple[list[Serving], list[tuple[RunningTask, TaskFacts]]]:
        """Return the tasks with a tail target and the tasks that fill."""
        serving = []
        filling = []
        for task in look.running:
            facts = self._facts.get(task.task)
            if facts is None:
                continue
            if facts.tail_target_ms and task.percent == FULL_PERCENT:
                share = task.figure / facts.tail_target_ms
                serving.append(Serving(task.task, Image(facts.image), share))
            elif facts.fills:
                filling.append((task, facts))
        return serving, filling

    def _is_pace_due(self, task: RunningTask, percent: int, now_s: float) -> bool:
        known = self._paces.get((task.task, task.attempt), (FULL_PERCENT, 0.0))
        sent, sent_s = known
        if sent != percent:
            return True
        is_old = now_s - sent_s > self._options.pace_repeat_s
        return percent < FULL_PERCENT and is_old

    async def _pace_task(
        self,
        worker_id: WorkerId,
        task: RunningTask,
        percent: int,
        fence: int,
        now_s: float,
    ) -> None:
        verdict = await self._worker.pace_task(
            worker_id, task.task, task.attempt, percent, fence
        )
        if verdict is Verdict.DONE:
            self._paces[(task.task, task.attempt)] = (percent, now_s)
        else:
            self._log.line("pace_refused", task=task.task, verdict=verdict.value)


def _by_image(filling: list[tuple[RunningTask, TaskFacts]]) -> list[Filling]:
    """Sum the processors of the tasks that fill by their image."""
    used: dict[Image, float] = {}
    full: dict[Image, float] = {}
    for task, facts in filling:
        image = Image(facts.image)
        used[image] = used.get(image, 0.0) + task.figure / 1000
        full[image] = full.get(image, 0.0) + facts.cpu_millicores / 1000
    return [Filling(image, used[image], full[image]) for image in full]
