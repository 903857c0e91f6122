"""Paces best-effort tasks on workers of serving tasks with a tail latency target.

One `BestEffortPacer` controls one worker, in terms of headroom (see
`tail_latency_model`). For each poll of the worker:

1. For every serving task it estimates the level: the headroom that the task would have
   without best-effort tasks, by the learned interference weights. The level follows
   the load, which swings, so the lowest level while a new pace is in force is forecast
   (see `swinging_level`).
2. The level above the target headroom is the budget for interference. Images with a
   low weight are served first; the others are paced so that together they stay within
   the rest. While a tail latency is far over its target, images with a high weight
   stop.
3. A tail latency that stays over its target although the weights do not explain it
   cuts the pace of all images for a while, since the weights may be wrong. If it stays
   over its target for longer, all images stop.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.swinging_level import SwingingLevel
from almondspan_decisions.tail_latency_model import (
    CAUTIOUS_LEVEL,
    Image,
    InterferenceWeights,
)

__all__ = [
    "TARGET_HEADROOM",
    "BestEffortLoad",
    "BestEffortPacer",
    "HARMLESS_WEIGHT",
    "ServingTask",
]

FULL_PERCENT: Final = 100
TARGET_HEADROOM: Final = 1.25
"""The headroom that pacing aims to leave to serving tasks."""
RECOVERY_HEADROOM: Final = 1.15
"""Above this headroom a cut of all paces is lifted again."""
HARMLESS_WEIGHT: Final = 1.5
"""Images with a lower weight are paced only once the others have stopped."""
SEVERE_HEADROOM: Final = 0.6
"""Below this, harmful images stop so that the queue of the serving task drains."""
EFFECT_S: Final = (0.0, 0.7)
"""The paces of a poll are in force within this time after it."""
EXCESS_S: Final = 0.6
"""A tail latency over its target for this long is not explained by the weights."""
LONG_EXCESS_S: Final = 1.4
"""A tail latency over its target for this long stops all images."""
CUT_FACTOR: Final = 0.5
CUT_INTERVAL_S: Final = 0.6
CUT_RISE_PER_S: Final = 0.4
RISE_PER_S: Final = 0.5
"""Limits the rise of a pace, so that a wrong weight shows at a low pace first."""
MIN_PERCENT: Final = 4
"""Lower paces become 0."""
STEP_PERCENT: Final = 5
"""Paces are multiples of this, so that small changes need no call to the worker."""


@dataclass(frozen=True, slots=True)
class ServingTask:
    """A serving task as reported by a poll of the worker."""

    task: str
    image: Image
    headroom: float
    """Latency target over tail latency."""


@dataclass(frozen=True, slots=True)
class BestEffortLoad:
    """Load of all tasks of one best-effort image on the worker."""

    image: Image
    used_share: float
    """Share of the worker's processors in use."""
    full_share: float
    """Share that would be in use at full pace."""


@dataclass(slots=True)
class BestEffortPacer:
    """Paces of the best-effort tasks on one worker, in percent by image."""

    levels: dict[str, SwingingLevel] = field(default_factory=dict)
    over_since_s: dict[str, float] = field(default_factory=dict)
    cut: float = 1.0
    """Factor on the pace of all images, below 1 after an unexplained excess."""
    cut_s: float = 0.0
    ceilings: dict[Image, float] = field(default_factory=dict)
    """Limit of an image's pace at the latest poll, which bounds its rise."""
    observed_s: float = 0.0
    """When the latest poll was handled."""

    def observe(
        self,
        serving: Sequence[ServingTask],
        loads: Sequence[BestEffortLoad],
        interference: InterferenceWeights,
        now_s: float,
    ) -> None:
        """Update the estimates with a poll of the worker."""
        self._update_levels(serving, loads, interference, now_s)
        self._update_cut(serving, loads, now_s)
        rise = RISE_PER_S * min(now_s - self.observed_s, 1.0)
        self.observed_s = now_s
        self.ceilings = {
            load.image: self.ceilings.get(load.image, 1.0) + rise for load in loads
        }

    def add_serving_task(self, task: str, image: Image) -> ServingTask:
        """Return a serving task that has just started, with a cautious level."""
        self.levels.pop(task, None)
        return ServingTask(task, image, CAUTIOUS_LEVEL)

    def paces(
        self,
        serving: Sequence[ServingTask],
        loads: Sequence[BestEffortLoad],
        interference: InterferenceWeights,
    ) -> dict[Image, int]:
        """Return the paces for the state at the latest poll."""
        paces = dict.fromkeys((load.image for load in loads), 1.0)
        for task in serving:
            self._apply_budget(task, loads, interference, paces)
        for image in paces:
            ceiling = self.ceilings.get(image, 1.0)
            paces[image] = min(paces[image] * self.cut, ceiling)
            self.ceilings[image] = min(ceiling, paces[image])
        return {image: _percent(pace) for image, pace in paces.items()}

    def _update_levels(
        self,
        serving: Sequence[ServingTask],
        loads: Sequence[BestEffortLoad],
        interference: InterferenceWeights,
        now_s: float,
    ) -> None:
        before, self.levels = self.levels, {}
        for task in serving:
            lost = sum(
                interference.weight(task.image, load.image) * load.used_share
                for load in loads
            )
            observed = task.headroom + lost
            level = before.get(task.task)
            if level is None:
                level = SwingingLevel(observed, now_s)
            else:
                level.update(observed, now_s)
            self.levels[task.task] = level

    def _update_cut(
        self,
        serving: Sequence[ServingTask],
        loads: Sequence[BestEffortLoad],
        now_s: float,
    ) -> None:
        """Cut all paces while a tail latency stays over its target."""
        before, self.over_since_s = self.over_since_s, {}
        for task in serving:
            if task.headroom <= 1.0:
                self.over_since_s[task.task] = before.get(task.task, now_s)
        since_s = min(self.over_since_s.values(), default=now_s)
        least = min((task.headroom for task in serving), default=RECOVERY_HEADROOM + 1)
        over_s = now_s - since_s
        if loads and over_s >= LONG_EXCESS_S:
            self.cut = 0.0
        elif loads and over_s >= EXCESS_S:
            if now_s - self.cut_s >= CUT_INTERVAL_S:
                self.cut *= CUT_FACTOR
                self.cut_s = now_s
        elif least > RECOVERY_HEADROOM:
            rise = CUT_RISE_PER_S * min(now_s - self.observed_s, 1.0)
            self.cut = min(1.0, self.cut + rise)

    def _apply_budget(
        self,
        task: ServingTask,
        loads: Sequence[BestEffortLoad],
        interference: InterferenceWeights,
        paces: dict[Image, float],
    ) -> None:
        level = self.levels.get(task.task)
        lowest = level.lowest(*EFFECT_S) if level is not None else CAUTIOUS_LEVEL
        harmful: dict[Image, float] = {}
        harmless: dict[Image, float] = {}
        for load in loads:
            weight = interference.weight(task.image, load.image)
            group = harmful if weight > HARMLESS_WEIGHT else harmless
            group[load.image] = weight * load.full_share
        is_severe = task.headroom < SEVERE_HEADROOM
        budget = max(lowest - TARGET_HEADROOM, 0.0)
        left = max(budget - sum(harmless.values()), 0.0)
        _limit_paces(paces, harmful, 0.0 if is_severe else left)
        _limit_paces(paces, harmless, budget)


def _limit_paces(
    paces: dict[Image, float], lost: dict[Image, float], budget: float
) -> None:
    """Limit the paces so that the interference of all images fits the budget."""
    total = sum(lost.values())
    if total <= budget:
        return
    for image in lost:
        paces[image] = min(paces[image], budget / total)


def _percent(pace: float) -> int:
    percent = int(pace * FULL_PERCENT / STEP_PERCENT) * STEP_PERCENT
    if percent < MIN_PERCENT:
        return 0
    return min(percent, FULL_PERCENT)
