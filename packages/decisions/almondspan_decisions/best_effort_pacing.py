"""Paces the tasks that fill beside tasks with a tail latency target.

One `FillPacer` watches one worker, in terms of headroom (see `tail_model`). From each
look:

1. For every serving task, its level is what its headroom would be without the tasks
   that fill, by the learned weights. The level swings, so it is followed with its
   slope and foreseen for the time until the next look has had an effect.
2. What the level leaves over the headroom aimed at is shared out: first to the images
   that cost little, what is left to those that harm, paced so that all of them together
   stay within it. Beside a tail far over its target all that harm pause.
3. A tail that stays over its target although the weights do not explain it cuts the
   pace of all images for a while, since the weights may be wrong. One over its target
   for long pauses them all.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.tail_latency_model import (
    PRIOR_LOW,
    Image,
    InterferenceWeights,
)

__all__ = [
    "AIM_HEADROOM",
    "BestEffortLoad",
    "BestEffortPacer",
    "HARMLESS_WEIGHT",
    "ServingTask",
]

FULL_PERCENT: Final = 100
AIM_HEADROOM: Final = 1.25
"""The headroom that the paces aim at."""
CALM_HEADROOM: Final = 1.15
HARMLESS_WEIGHT: Final = 1.5
"""Images that weigh less than this are paced only once the others have stopped."""
SEVERE_HEADROOM: Final = 0.6
"""Below this harmful images pause, so that the queue of the serving task drains."""
FORESIGHT_S: Final = 0.5
LEVEL_GAIN: Final = 0.6
"""Weight of the newest look in the level."""
SLOPE_GAIN: Final = 0.25
MAX_GAP_S: Final = 2.0
"""A level that was not followed for this long begins anew."""
EXCESS_S: Final = 0.6
"""A tail over its target for this long is an excess that the weights missed."""
LONG_EXCESS_S: Final = 1.4
CUT_FACTOR: Final = 0.5
CUT_INTERVAL_S: Final = 0.6
CUT_RISE_PER_S: Final = 0.4
RISE_PER_S: Final = 0.5
"""A pace rises at most so fast, so that a wrong weight shows before it does harm."""
MIN_PERCENT: Final = 4
"""Below this a task is paced to nothing."""
STEP_PERCENT: Final = 5
"""Paces are multiples of this, so that small changes need no order."""


@dataclass(frozen=True, slots=True)
class ServingTask:
    """A serving task as listed."""

    task: str
    image: Image
    headroom: float
    """Target over tail latency."""


@dataclass(frozen=True, slots=True)
class BestEffortLoad:
    """All tasks of one filling image on the worker."""

    image: Image
    used_share: float
    """Share of the worker's processors in use."""
    full_share: float
    """What they would use at full pace."""


@dataclass(slots=True)
class _Level:
    """A level followed with its slope."""

    value: float
    slope_per_s: float
    at_s: float

    def follow(self, seen: float, now_s: float) -> None:
        """Move towards what was seen."""
        gap_s = now_s - self.at_s
        if gap_s <= 0:
            return
        if gap_s > MAX_GAP_S:
            self.value, self.slope_per_s, self.at_s = seen, 0.0, now_s
            return
        expected = self.value + self.slope_per_s * gap_s
        error = seen - expected
        self.value = expected + LEVEL_GAIN * error
        self.slope_per_s += SLOPE_GAIN * error / gap_s
        self.at_s = now_s

    def foreseen(self) -> float:
        """Return the lowest value until the next look has had an effect."""
        return self.value + min(self.slope_per_s, 0.0) * FORESIGHT_S


@dataclass(slots=True)
class BestEffortPacer:
    """The paces of one worker's tasks that fill, in percent by image."""

    levels: dict[str, _Level] = field(default_factory=dict)
    over_since_s: dict[str, float] = field(default_factory=dict)
    cut: float = 1.0
    """Share of the pace that is left to all images after an unexplained excess."""
    cut_s: float = 0.0
    ceilings: dict[Image, float] = field(default_factory=dict)
    """The pace that an image may reach at this look."""
    looked_s: float = 0.0

    def look(
        self,
        serving: Sequence[ServingTask],
        filling: Sequence[BestEffortLoad],
        table: InterferenceWeights,
        now_s: float,
    ) -> None:
        """Take in a look."""
        self._follow_levels(serving, filling, table, now_s)
        self._judge_excess(serving, filling, now_s)
        rise = RISE_PER_S * min(now_s - self.looked_s, 1.0)
        self.looked_s = now_s
        self.ceilings = {
            fill.image: self.ceilings.get(fill.image, 1.0) + rise for fill in filling
        }

    def expect(self, task: str, image: Image, now_s: float) -> ServingTask:
        """Return a serving task that has just begun, with a cautious level."""
        self.levels[task] = _Level(PRIOR_LOW, 0.0, now_s)
        return ServingTask(task, image, PRIOR_LOW)

    def paces(
        self,
        serving: Sequence[ServingTask],
        filling: Sequence[BestEffortLoad],
        table: InterferenceWeights,
    ) -> dict[Image, int]:
        """Return the paces by what the latest look showed."""
        paces = dict.fromkeys((fill.image for fill in filling), 1.0)
        for task in serving:
            self._share_out(task, filling, table, paces)
        for image in paces:
            ceiling = self.ceilings.get(image, 1.0)
            paces[image] = min(paces[image] * self.cut, ceiling)
            self.ceilings[image] = min(ceiling, paces[image])
        return {image: _percent(pace) for image, pace in paces.items()}

    def _follow_levels(
        self,
        serving: Sequence[ServingTask],
        filling: Sequence[BestEffortLoad],
        table: InterferenceWeights,
        now_s: float,
    ) -> None:
        before, self.levels = self.levels, {}
        for task in serving:
            lost = sum(
                table.weight(task.image, fill.image) * fill.used_share
                for fill in filling
            )
            seen = task.headroom + lost
            level = before.get(task.task)
            if level is None:
                level = _Level(seen, 0.0, now_s)
            else:
                level.follow(seen, now_s)
            self.levels[task.task] = level

    def _judge_excess(
        self,
        serving: Sequence[ServingTask],
        filling: Sequence[BestEffortLoad],
        now_s: float,
    ) -> None:
        """Cut all paces while a tail stays over its target."""
        before, self.over_since_s = self.over_since_s, {}
        for task in serving:
            if task.headroom <= 1.0:
                self.over_since_s[task.task] = before.get(task.task, now_s)
        since_s = min(self.over_since_s.values(), default=now_s)
        least = min((task.headroom for task in serving), default=CALM_HEADROOM + 1)
        over_s = now_s - since_s
        if filling and over_s >= LONG_EXCESS_S:
            self.cut = 0.0
        elif filling and over_s >= EXCESS_S:
            if now_s - self.cut_s >= CUT_INTERVAL_S:
                self.cut *= CUT_FACTOR
                self.cut_s = now_s
        elif least > CALM_HEADROOM:
            rise = CUT_RISE_PER_S * min(now_s - self.looked_s, 1.0)
            self.cut = min(1.0, self.cut + rise)

    def _share_out(
        self,
        task: ServingTask,
        filling: Sequence[BestEffortLoad],
        table: InterferenceWeights,
        paces: dict[Image, float],
    ) -> None:
        level = self.levels[task.task]
        harmful: dict[Image, float] = {}
        harmless: dict[Image, float] = {}
        for fill in filling:
            weight = table.weight(task.image, fill.image)
            group = harmful if weight > HARMLESS_WEIGHT else harmless
            group[fill.image] = weight * fill.full_share
        is_severe = task.headroom < SEVERE_HEADROOM
        room = max(level.foreseen() - AIM_HEADROOM, 0.0)
        left = max(room - sum(harmless.values()), 0.0)
        _limit(paces, harmful, 0.0 if is_severe else left)
        _limit(paces, harmless, room)


def _limit(paces: dict[Image, float], lost: dict[Image, float], room: float) -> None:
    """Pace images so that what they cost together fits into the room."""
    total = sum(lost.values())
    if total <= room:
        return
    for image in lost:
        paces[image] = min(paces[image], room / total)


def _percent(pace: float) -> int:
    percent = int(pace * FULL_PERCENT / STEP_PERCENT) * STEP_PERCENT
    if percent < MIN_PERCENT:
        return 0
    return min(percent, FULL_PERCENT)
