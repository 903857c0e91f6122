"""Paces the tasks that fill beside tasks with a tail latency target.

One `FillPacer` watches one worker. From each look:

1. For every serving task, its base is what its tail would be without the tasks that
   fill, by the learned weights; it is smoothed over looks.
2. What the target leaves over the base is shared out: each filling image that adds to
   a serving task's tail is paced so that all of them together stay within it.
3. A tail that stays over its target although the weights do not explain it cuts the
   pace of all images for a while, since the weights may be wrong or missing. One far
   over its target, or over it for long, pauses them all at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.tail_model import HarmTable, Image

__all__ = ["Filling", "FillPacer", "Serving"]

FULL_PERCENT: Final = 100
AIM_SHARE: Final = 0.75
"""The tail latency over target that the paces aim at."""
OVER_SHARE: Final = 1.0
CALM_SHARE: Final = 0.85
BASE_SMOOTHING: Final = 0.4
"""Weight of the newest look in a smoothed base."""
HARMLESS: Final = 0.04
"""Images that add less than this share of the target are not paced."""
SEVERE_SHARE: Final = 1.6
EXCESS_S: Final = 0.6
"""A tail over its target for this long is an excess that the weights missed."""
LONG_EXCESS_S: Final = 1.4
CUT_FACTOR: Final = 0.5
CUT_INTERVAL_S: Final = 0.6
CUT_RISE_PER_S: Final = 0.4
MIN_PERCENT: Final = 4
"""Below this a task is paced to nothing."""
STEP_PERCENT: Final = 5
"""Paces are multiples of this, so that small changes need no order."""


@dataclass(frozen=True, slots=True)
class Serving:
    """A serving task as listed."""

    task: str
    image: Image
    share: float
    """Tail latency over target."""


@dataclass(frozen=True, slots=True)
class Filling:
    """All tasks of one filling image on the worker."""

    image: Image
    used_cores: float
    full_cores: float
    """Processors that they would use at full pace."""


@dataclass(slots=True)
class FillPacer:
    """The paces of one worker's tasks that fill, in percent by image."""

    bases: dict[str, float] = field(default_factory=dict)
    over_since_s: dict[str, float] = field(default_factory=dict)
    cut: float = 1.0
    """Share of the pace that is left to all images after an unexplained excess."""
    cut_s: float = 0.0
    looked_s: float = 0.0

    def look(
        self,
        serving: Sequence[Serving],
        filling: Sequence[Filling],
        table: HarmTable,
        now_s: float,
    ) -> dict[Image, int]:
        """Return the paces after a look."""
        self._smooth_bases(serving, filling, table)
        self._judge_excess(serving, filling, now_s)
        self.looked_s = now_s
        paces = dict.fromkeys((fill.image for fill in filling), 1.0)
        for task in serving:
            self._share_out(task, filling, table, paces)
        return {image: _percent(pace * self.cut) for image, pace in paces.items()}

    def _smooth_bases(
        self,
        serving: Sequence[Serving],
        filling: Sequence[Filling],
        table: HarmTable,
    ) -> None:
        before, self.bases = self.bases, {}
        for task in serving:
            added = sum(
                table.weight(task.image, fill.image) * fill.used_cores
                for fill in filling
            )
            base = max(task.share - added, 0.0)
            last = before.get(task.task, base)
            smooth = last + BASE_SMOOTHING * (base - last)
            self.bases[task.task] = max(base, smooth)

    def _judge_excess(
        self, serving: Sequence[Serving], filling: Sequence[Filling], now_s: float
    ) -> None:
        """Cut all paces while a tail stays over its target."""
        before, self.over_since_s = self.over_since_s, {}
        for task in serving:
            if task.share >= OVER_SHARE:
                self.over_since_s[task.task] = before.get(task.task, now_s)
        since_s = min(self.over_since_s.values(), default=now_s)
        worst = max((task.share for task in serving), default=0.0)
        over_s = now_s - since_s
        if filling and (worst >= SEVERE_SHARE or over_s >= LONG_EXCESS_S):
            self.cut = 0.0
        elif filling and over_s >= EXCESS_S:
            if now_s - self.cut_s >= CUT_INTERVAL_S:
                self.cut *= CUT_FACTOR
                self.cut_s = now_s
        elif worst < CALM_SHARE:
            rise = CUT_RISE_PER_S * min(now_s - self.looked_s, 1.0)
            self.cut = min(1.0, self.cut + rise)

    def _share_out(
        self,
        task: Serving,
        filling: Sequence[Filling],
        table: HarmTable,
        paces: dict[Image, float],
    ) -> None:
        added = {
            fill.image: table.weight(task.image, fill.image) * fill.full_cores
            for fill in filling
        }
        harmful = {image: share for image, share in added.items() if share > HARMLESS}
        total = sum(harmful.values())
        if not total:
            return
        room = max(AIM_SHARE - self.bases[task.task], 0.0)
        for image in harmful:
            paces[image] = min(paces[image], room / total)


def _percent(pace: float) -> int:
    percent = int(pace * FULL_PERCENT / STEP_PERCENT) * STEP_PERCENT
    if percent < MIN_PERCENT:
        return 0
    return min(percent, FULL_PERCENT)
