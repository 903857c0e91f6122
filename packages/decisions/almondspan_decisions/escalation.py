"""Decides when a worker's batch tasks are throttled, checkpointed or stopped.

An escalation policy observes a worker several times a second and returns the actions
to take. The levels, in order, are none, throttle, checkpoint and evict.
`LoadBandEscalation` works in these phases:

1. Heat: the highest ratio of a signal (error budget burn, recent latency, and slowdown
   at peak load) to its limit. At 1 or more the worker is hot, below ``cool_heat`` it is
   calm; in between nothing changes.
2. Learned shares: for each band of the services' load it keeps the share of the
   interference that batch work may cause. Heat cuts the share of the current band and
   of all higher bands at once; sustained calm raises it, and that of all lower bands,
   in small steps. A change of load selects another band and so another share at once,
   before any change of latency has been measured.
3. Throttle: the share of the band is a share of the interference that all tasks
   together would cause. Classes with the lowest slowdown are granted their whole need
   first.
4. Checkpoint: while the share is at its floor and the worker stays hot for longer than
   usage reports lag, the task that is cheapest to evict is checkpointed and evicted,
   one at a time. A token bucket bounds the evictions.
5. Evict: a task whose checkpoint does not finish in time is stopped.

Tasks that are not checkpointable are only throttled. Escalating at once and
de-escalating slowly with hysteresis follows the degraded-mode levels of "LLM Serving
DR, in depth", applied to shares within a level as well.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, Protocol

from almondspan_decisions.ids import TaskClass, TaskId

__all__ = [
    "ESCALATION_POLICIES",
    "EvictTask",
    "EscalationAction",
    "EscalationDecision",
    "EscalationLevel",
    "EscalationObservation",
    "EscalationOptions",
    "EscalationPolicy",
    "EscalationTask",
    "LoadBandEscalation",
    "ThrottleTask",
    "eviction_cost",
    "escalation_policy",
]


class EscalationLevel(Enum):
    """How strongly a worker's batch work is restricted."""

    NONE = 0
    THROTTLE = 1
    CHECKPOINT = 2
    EVICT = 3


@dataclass(frozen=True, slots=True)
class EscalationTask:
    """A running batch attempt as the agent describes it.

    ``interference`` is the learned slowdown of the worker's services when the class
    uses the whole worker, 1 for none. ``at_risk_s`` is the time that the attempt ran
    since its last checkpoint. ``share`` is the current throttle share.
    """

    task_id: TaskId
    attempt: int
    task_class: TaskClass
    cpu_millicores: int
    interference: float = 1.0
    at_risk_s: float = 0.0
    share: float = 1.0
    checkpointable: bool = True
    idempotent: bool = True
    urgent: bool = False
    checkpointing_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EscalationObservation:
    """The state of a worker at ``now_s`` as observed by its agent.

    ``load`` is the number of busy and queued requests over the slots, ``burn_rate`` the
    rate at which the error budget is spent over the rate allowed, and
    ``latency_ratio`` the recent tail latency over the objective. ``slowdown`` is the
    mean time on the runner over that without batch work. Each is the worst of the
    services. ``usage_age_s`` is the age of the last usage report, infinite without one.
    """

    now_s: float
    load: float
    burn_rate: float
    latency_ratio: float
    slowdown: float = 1.0
    usage_age_s: float = 0.0
    tasks: tuple[EscalationTask, ...] = ()


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit a task to a share (0 to 1) of its shape."""

    task_id: TaskId
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class EvictTask:
    """End a task on this worker, after a checkpoint or at once."""

    task_id: TaskId
    attempt: int
    checkpoint: bool


EscalationAction = ThrottleTask | EvictTask


@dataclass(frozen=True, slots=True)
class EscalationDecision:
    """The current level, the share allowed to batch work, and the actions to take."""

    level: EscalationLevel
    share: float
    actions: tuple[EscalationAction, ...] = ()


class EscalationPolicy(Protocol):
    """Decides for one worker; keeps state between steps."""

    def step(self, observation: EscalationObservation) -> EscalationDecision:
        """Return the decision for an observation later than all before."""
        ...


@dataclass(frozen=True, slots=True)
class EscalationOptions:
    """Limits and rates of an escalation policy.

    ``hot_burn_rate``, ``hot_latency_ratio`` and, from ``peak_load`` on,
    ``hot_slowdown`` correspond to heat 1. A share is cut by ``cut_factor`` at most once
    every ``cut_dwell_s``. It is raised by ``raise_step`` after each ``raise_dwell_s``
    of calm, and below ``peak_load`` it is multiplied by ``calm_raise_factor`` as well.
    A throttle is sent if it changes a task's share by more than ``share_resolution`` of
    the new share, or to 1.
    """

    hot_burn_rate: float = 4.0
    hot_latency_ratio: float = 0.8
    hot_slowdown: float = 1.25
    max_slowdown_heat: float = 1.9
    peak_load: float = 0.4
    load_hold_s: float = 0.75
    cool_heat: float = 0.75
    floor_share: float = 0.05
    urgent_floor_share: float = 0.5
    cut_factor: float = 0.5
    cut_dwell_s: float = 0.5
    raise_step: float = 0.03
    calm_raise_factor: float = 2.0
    raise_dwell_s: float = 0.5
    top_load: float = 1.5
    n_bands: int = 8
    evict_heat: float = 2.0
    evict_dwell_s: float = 5.0
    eviction_refill_s: float = 60.0
    eviction_burst: float = 2.0
    checkpoint_timeout_s: float = 10.0
    share_resolution: float = 0.1
    base_interference: float = 0.1


EscalationFactory = Callable[[EscalationOptions], EscalationPolicy]

ESCALATION_POLICIES: Final[dict[str, EscalationFactory]] = {}


def escalation_policy(name: str) -> Callable[[EscalationFactory], EscalationFactory]:
    """Register a factory of escalation policies under `name`."""

    def register(factory: EscalationFactory) -> EscalationFactory:
        ESCALATION_POLICIES[name] = factory
        return factory

    return register


def heat_of(
    observation: EscalationObservation, load: float, options: EscalationOptions
) -> float:
    """Return the highest ratio of a signal to its limit.

    Slowdown counts only at peak load; at lower load, latency within the objective is
    enough.
    """
    heat = max(
        observation.burn_rate / options.hot_burn_rate,
        observation.latency_ratio / options.hot_latency_ratio,
    )
    if load < options.peak_load:
        return heat
    excess = (observation.slowdown - 1.0) / (options.hot_slowdown - 1.0)
    return max(heat, min(excess, options.max_slowdown_heat))


def eviction_cost(task: EscalationTask) -> tuple[bool, float, str]:
    """Return a sort key that orders tasks by the cost of evicting them, lowest first.

    The cost is the work at risk over the relief: processors times learned slowdown.
    Urgent tasks come last.
    """
    relief = max(1, task.cpu_millicores) * max(0.05, task.interference - 1.0)
    return (task.urgent, task.at_risk_s / relief, task.task_id)


def may_checkpoint(task: EscalationTask) -> bool:
    """Return whether a task may be evicted after a checkpoint."""
    return task.checkpointable and task.checkpointing_s <= 0.0


def may_stop(task: EscalationTask) -> bool:
    """Return whether a task may be stopped without a checkpoint and restarted."""
    return task.checkpointable and task.idempotent


@dataclass(slots=True)
class _TokenBucket:
    n_tokens: float
    at_s: float | None = None

    def take(self, now_s: float, refill_s: float, burst: float) -> bool:
        if self.at_s is not None:
            refilled = self.n_tokens + (now_s - self.at_s) / refill_s
            self.n_tokens = min(burst, refilled)
        self.at_s = now_s
        if self.n_tokens < 1.0:
            return False
        self.n_tokens -= 1.0
        return True


@dataclass(slots=True)
class _LoadBandState:
    shares: list[float]
    evictions: _TokenBucket
    load: float = 0.0
    load_at_s: float = float("-inf")
    cut_at_s: float = float("-inf")
    raised_at_s: float = float("-inf")
    hot_at_floor_since_s: float | None = None
    evicted_at_s: float = float("-inf")
    stopped: set[tuple[TaskId, int]] = field(default_factory=set)


class LoadBandEscalation:
    """Escalation with a learned share for each band of the services' load."""

    def __init__(self, options: EscalationOptions, *, may_evict: bool = True) -> None:
        self._options = options
        self._may_evict = may_evict
        self._state = _LoadBandState(
            shares=[1.0] * options.n_bands,
            evictions=_TokenBucket(options.eviction_burst),
        )

    def step(self, observation: EscalationObservation) -> EscalationDecision:
        """Return the decision for an observation later than all before."""
        load = self._held_load(observation)
        band = self._band(load)
        heat = heat_of(observation, load, self._options)
        self._learn(observation.now_s, band, heat)
        share = self._state.shares[band]
        actions: list[EscalationAction] = []
        if self._may_evict:
            actions += self._stops(observation)
            actions += self._checkpoints(observation, share, heat)
        actions += throttles(observation, share, self._options)
        return EscalationDecision(
            self._level(observation, share, actions), share, tuple(actions)
        )

    def _held_load(self, observation: EscalationObservation) -> float:
        """Return the load, held high for a while since single samples are noisy."""
        state = self._state
        elapsed_s = max(0.0, observation.now_s - state.load_at_s)
        kept = math.exp(-elapsed_s / self._options.load_hold_s)
        state.load_at_s = observation.now_s
        state.load = max(observation.load, state.load * kept)
        return state.load

    def _band(self, load: float) -> int:
        options = self._options
        band = int(max(0.0, load) / options.top_load * options.n_bands)
        return min(options.n_bands - 1, band)

    def _learn(self, now_s: float, band: int, heat: float) -> None:
        options = self._options
        state = self._state
        if heat >= 1.0:
            state.raised_at_s = now_s
            if now_s - state.cut_at_s >= options.cut_dwell_s:
                state.cut_at_s = now_s
                self._cut_from(band, heat)
        elif heat >= options.cool_heat:
            state.raised_at_s = now_s
        elif now_s - state.raised_at_s >= options.raise_dwell_s:
            state.raised_at_s = now_s
            is_peak = band >= self._band(options.peak_load)
            self._raise_up_to(band, 1.0 if is_peak else options.calm_raise_factor)

    def _cut_from(self, band: int, heat: float) -> None:
        options = self._options
        shares = self._state.shares
        n_cuts = 2 if heat >= options.evict_heat else 1
        cut = shares[band] * options.cut_factor**n_cuts
        for higher in range(band, options.n_bands):
            shares[higher] = max(options.floor_share, min(shares[higher], cut))

    def _raise_up_to(self, band: int, factor: float) -> None:
        shares = self._state.shares
        raised = min(1.0, shares[band] * factor + self._options.raise_step)
        for lower in range(band + 1):
            shares[lower] = max(shares[lower], raised)

    def _stops(self, observation: EscalationObservation) -> list[EscalationAction]:
        stops: list[EscalationAction] = []
        running = {(task.task_id, task.attempt) for task in observation.tasks}
        self._state.stopped &= running
        for task in observation.tasks:
            key = (task.task_id, task.attempt)
            is_late = task.checkpointing_s > self._options.checkpoint_timeout_s
            if is_late and may_stop(task) and key not in self._state.stopped:
                self._state.stopped.add(key)
                stops.append(EvictTask(task.task_id, task.attempt, checkpoint=False))
        return stops

    def _checkpoints(
        self, observation: EscalationObservation, share: float, heat: float
    ) -> list[EscalationAction]:
        options = self._options
        state = self._state
        now_s = observation.now_s
        if heat < options.evict_heat or share > options.floor_share:
            state.hot_at_floor_since_s = None
            return []
        if state.hot_at_floor_since_s is None:
            state.hot_at_floor_since_s = now_s
        lag_s = min(observation.usage_age_s, options.evict_dwell_s)
        since_s = max(state.hot_at_floor_since_s, state.evicted_at_s)
        if now_s - since_s < options.evict_dwell_s + lag_s:
            return []
        victims = sorted(filter(may_checkpoint, observation.tasks), key=eviction_cost)
        if not victims or not state.evictions.take(
            now_s, options.eviction_refill_s, options.eviction_burst
        ):
            return []
        state.evicted_at_s = now_s
        return [EvictTask(victims[0].task_id, victims[0].attempt, checkpoint=True)]

    def _level(
        self,
        observation: EscalationObservation,
        share: float,
        actions: list[EscalationAction],
    ) -> EscalationLevel:
        if any(isinstance(each, EvictTask) and not each.checkpoint for each in actions):
            return EscalationLevel.EVICT
        is_evicting = any(task.checkpointing_s > 0.0 for task in observation.tasks)
        if is_evicting or any(isinstance(each, EvictTask) for each in actions):
            return EscalationLevel.CHECKPOINT
        return EscalationLevel.THROTTLE if share < 1.0 else EscalationLevel.NONE


def class_shares(
    tasks: tuple[EscalationTask, ...], share: float, options: EscalationOptions
) -> dict[TaskClass, float]:
    """Return each class's share if all may cause `share` of their interference.

    The interference of a class is its processors times the sum of the logarithm of its
    slowdown and a small constant. The allowed interference is granted to classes in
    order of their slowdown, lowest first, until it is used up.
    """
    needs: dict[TaskClass, float] = {}
    slowdowns: dict[TaskClass, float] = {}
    for task in tasks:
        slowdowns[task.task_class] = max(1.0, task.interference)
        interference = task.cpu_millicores * (
            math.log(max(1.0, task.interference)) + options.base_interference
        )
        needs[task.task_class] = needs.get(task.task_class, 0.0) + interference
    left = share * sum(needs.values())
    shares: dict[TaskClass, float] = {}
    for task_class in sorted(needs, key=lambda each: (slowdowns[each], each)):
        need = needs[task_class]
        granted = min(left, need)
        left -= granted
        shares[task_class] = granted / need if need > 0.0 else share
    return shares


def throttles(
    observation: EscalationObservation, share: float, options: EscalationOptions
) -> list[EscalationAction]:
    """Return a throttle action for each task whose share should change."""
    found: list[EscalationAction] = []
    by_class = class_shares(observation.tasks, share, options)
    for task in observation.tasks:
        floor = options.urgent_floor_share if task.urgent else options.floor_share
        wanted = max(floor, by_class[task.task_class])
        is_large = abs(wanted - task.share) > options.share_resolution * wanted
        if is_large or (wanted == 1.0 and task.share < 1.0):
            found.append(ThrottleTask(task.task_id, task.attempt, wanted))
    return found


@escalation_policy("ladder")
def swing_ladder(options: EscalationOptions) -> EscalationPolicy:
    """Create the escalation policy with all levels."""
    return LoadBandEscalation(options)


@escalation_policy("no_eviction")
def ladder_without_eviction(options: EscalationOptions) -> EscalationPolicy:
    """Create the escalation policy that only throttles."""
    return LoadBandEscalation(options, may_evict=False)


@escalation_policy("no_control")
class NoControl:
    """Baseline that never acts."""

    def __init__(self, options: EscalationOptions) -> None:
        self._options = options

    def step(self, observation: EscalationObservation) -> EscalationDecision:
        """Return no action."""
        return EscalationDecision(EscalationLevel.NONE, 1.0)


@escalation_policy("naive_eviction")
class NaiveEviction:
    """Baseline that stops every task that may be stopped while a service is hot."""

    def __init__(self, options: EscalationOptions) -> None:
        self._options = options

    def step(self, observation: EscalationObservation) -> EscalationDecision:
        """Return a stop for each task that may be stopped while the worker is hot."""
        if heat_of(observation, observation.load, self._options) < 1.0:
            return EscalationDecision(EscalationLevel.NONE, 1.0)
        stops = tuple(
            EvictTask(task.task_id, task.attempt, checkpoint=False)
            for task in observation.tasks
            if may_stop(task)
        )
        return EscalationDecision(EscalationLevel.EVICT, 1.0, stops)
