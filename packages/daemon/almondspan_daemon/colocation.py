"""Limits the interference of batch tasks with the services on an agent's worker.

A `ColocationController` has two loops:

- The usage loop polls the worker's resource usage. A report describes the worker some
  time ago; it is paired with the services' load and latency of that moment, and both
  update the interference model and the peak-demand tracker. When the worker does not
  answer, the last report ages; the control loop never waits for it.
- The control loop reads the services' signals and the running attempts, steps the
  escalation policy, and passes its actions to the worker's attempt agent. The attempt
  agent does not report the outcome of a throttle, so each throttle is sent again
  periodically for as long as it applies.
"""

import asyncio
import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, Protocol

from almondspan_decisions.escalation import (
    ESCALATION_POLICIES,
    EscalationAction,
    EscalationDecision,
    EscalationLevel,
    EscalationObservation,
    EscalationOptions,
    EscalationTask,
    EvictTask,
    ThrottleTask,
)
from almondspan_decisions.ids import ServiceName, TaskClass, TaskId
from almondspan_decisions.interference import (
    InterferenceModel,
    LagAligner,
    LearnedPair,
    ServiceSample,
)
from almondspan_decisions.peak_demand import PeakDemandTracker
from almondspan_decisions.shapes import Shape
from almondspan_platform.worker import WorkerUnavailable, WorkerUsage

__all__ = [
    "ColocationCounters",
    "ColocationOptions",
    "ColocationController",
    "TaskController",
    "LevelChange",
    "RunningTask",
    "ServiceSignal",
    "ServiceSignalSource",
    "UsageSource",
]

_log = logging.getLogger(__name__)

MAX_LEVEL_CHANGES: Final = 256
"""Number of recent changes of the escalation level that are kept for reports."""

RELEASE_RESENDS: Final = 2
"""How often the end of a throttle (a share of 1) is sent again, in case of loss."""


@dataclass(frozen=True, slots=True)
class ServiceSignal:
    """Load and latency of a service at one moment.

    ``run_ms`` is the mean run time of recent calls on the runner, without queueing;
    ``tail_ms`` is a high quantile of their total latency. Both are 0 without calls.
    """

    service: ServiceName
    n_slots: int
    n_busy: int
    n_queued: int
    burn_rate: float
    run_ms: float
    tail_ms: float
    objective_ms: float
    n_recent_calls: int

    @property
    def load(self) -> float:
        """Running and queued calls per slot."""
        return (self.n_busy + self.n_queued) / max(1, self.n_slots)


class ServiceSignalSource(Protocol):
    """Provides the signal of one service."""

    def signal(self) -> ServiceSignal:
        """Return the current signal of the service."""
        ...


class RunningTask(Protocol):
    """A running attempt, as its attempt agent describes it."""

    @property
    def task_id(self) -> TaskId:
        """The id of the task."""
        ...

    @property
    def attempt(self) -> int:
        """The number of the attempt."""
        ...

    @property
    def task_class(self) -> TaskClass:
        """The task's class."""
        ...

    @property
    def shape(self) -> Shape:
        """The resources that the task declares."""
        ...

    @property
    def attained_s(self) -> float:
        """The run time of this attempt; it is all at risk, as a checkpoint ends it."""
        ...

    @property
    def checkpointable(self) -> bool:
        """Whether the attempt may be checkpointed and evicted."""
        ...

    @property
    def idempotent(self) -> bool:
        """Whether the task may be stopped and run again from its start."""
        ...

    @property
    def urgent(self) -> bool:
        """Whether the task is urgent."""
        ...


class TaskController(Protocol):
    """Lists, throttles and evicts the attempts on a worker.

    `throttle` and `evict` only begin the action. They return whether the attempt is
    running and allows it; the request may still be lost on its way to the worker.
    """

    def running(self) -> Sequence[RunningTask]:
        """Return the running attempts that are not being evicted."""
        ...

    def throttle(self, task: TaskId, share: float) -> bool:
        """Begin to limit a task to a share of its declared processor time."""
        ...

    def evict(self, task: TaskId, checkpoint: bool) -> bool:
        """Begin to end a task on this worker, after a checkpoint if asked."""
        ...


class UsageSource(Protocol):
    """Reports the resource usage of a worker."""

    async def usage(self) -> WorkerUsage | WorkerUnavailable:
        """Return the latest usage, measured some time ago."""
        ...


@dataclass(frozen=True, slots=True)
class ColocationOptions:
    """Intervals and time limits of the control.

    Parameters
    ----------
    step_s : interval of the control loop.
    usage_s : interval of the usage loop.
    call_timeout_s : limit of one call for usage.
    resend_s : time after which a throttle is sent again, in case it was lost.
    tolerance_s : maximum distance in time between a usage report and the service
        samples that it is paired with.
    escalation : options of the escalation policy.
    """

    step_s: float = 0.25
    usage_s: float = 1.0
    call_timeout_s: float = 2.0
    resend_s: float = 3.0
    tolerance_s: float = 0.5
    escalation: EscalationOptions = field(default_factory=EscalationOptions)


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A change of the escalation level; ``at_s`` is on the event loop's clock."""

    at_s: float
    level: EscalationLevel
    share: float


@dataclass(slots=True)
class ColocationCounters:
    """Counts of the controller's actions since its start."""

    n_steps: int = 0
    n_throttles: int = 0
    n_checkpoints: int = 0
    n_stops: int = 0
    n_refused_actions: int = 0
    n_usage_reports: int = 0
    n_usage_missing: int = 0
    throttled_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _SentThrottle:
    share: float
    at_s: float
    n_resends: int = 0


class ColocationController:
    """Runs an escalation policy for one worker and the services next to it.

    Parameters
    ----------
    task_controller : lists, throttles and evicts the attempts on the worker.
    services : signals of the services whose runners are next to the agent.
    worker : reports resource usage.
    capacity_millicores : the worker's processor capacity.
    options : intervals and time limits.
    policy : the registry name of the escalation policy.
    """

    def __init__(
        self,
        task_controller: TaskController,
        services: Sequence[ServiceSignalSource],
        worker: UsageSource,
        capacity_millicores: int,
        options: ColocationOptions | None = None,
        policy: str = "ladder",
    ) -> None:
        self._task_controller = task_controller
        self._services = tuple(services)
        self._worker = worker
        self._capacity_millicores = max(1, capacity_millicores)
        self._options = options or ColocationOptions()
        self._policy = ESCALATION_POLICIES[policy](self._options.escalation)
        self._policy_name = policy
        self._model = InterferenceModel()
        self._aligner = LagAligner()
        self._peak_demand = PeakDemandTracker()
        self._decision = EscalationDecision(EscalationLevel.NONE, 1.0)
        self._measured_s: float | None = None
        self._used_millicores = 0
        self._classes: dict[TaskId, TaskClass] = {}
        self._sent_throttles: dict[tuple[TaskId, int], _SentThrottle] = {}
        self._loops: list[asyncio.Task[None]] = []
        self.counters = ColocationCounters()
        self.level_changes: list[LevelChange] = []

    async def start(self) -> None:
        """Start both loops."""
        self._loops = [
            asyncio.create_task(self._run_usage_loop()),
            asyncio.create_task(self._run_control_loop()),
        ]

    async def close(self) -> None:
        """Stop the loops; current throttles stay in effect."""
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)

    def set_policy(self, policy: str) -> None:
        """Switch to another escalation policy; an unknown name is ignored."""
        if policy != self._policy_name and policy in ESCALATION_POLICIES:
            self._policy_name = policy
            self._policy = ESCALATION_POLICIES[policy](self._options.escalation)

    @property
    def escalation_level(self) -> int:
        """The current escalation level, from 0."""
        return int(self._decision.level.value)

    @property
    def share(self) -> float:
        """The share of their processor time that batch tasks may use now."""
        return self._decision.share

    @property
    def cpu_used_millicores(self) -> int:
        """The processor time in use, as last reported."""
        return self._used_millicores

    @property
    def peak_millicores(self) -> int:
        """The processor time that the services are expected to use at their peak."""
        return round(self._peak_demand.expected_peak(_now_s()))

    def pairs(self) -> tuple[LearnedPair, ...]:
        """Return the learned pairs of service and task class, worst slowdown first."""
        return self._model.pairs()

    def worst_slowdowns(self) -> tuple[tuple[TaskClass, float], ...]:
        """Return the worst learned slowdown of any service for each task class."""
        worst: dict[TaskClass, float] = {}
        for pair in self.pairs():
            worst[pair.task_class] = max(worst.get(pair.task_class, 1.0), pair.slowdown)
        return tuple(sorted(worst.items()))

    async def _run_control_loop(self) -> None:
        while True:
            self._step()
            await asyncio.sleep(self._options.step_s)

    def _step(self) -> None:
        now_s = _now_s()
        signals = [source.signal() for source in self._services]
        samples = [_sample(now_s, signal) for signal in signals if signal.run_ms > 0.0]
        for sample in samples:
            self._aligner.add(sample)
        observation = self._observe(now_s, signals, samples)
        decision = self._policy.step(observation)
        self._record_level_change(now_s, decision)
        self._decision = decision
        self.counters.n_steps += 1
        if decision.share < 1.0:
            self.counters.throttled_s += self._options.step_s
        for action in decision.actions:
            self._apply(action, now_s)

    def _observe(
        self,
        now_s: float,
        signals: Sequence[ServiceSignal],
        samples: Sequence[ServiceSample],
    ) -> EscalationObservation:
        worst_slowdowns = dict(self.worst_slowdowns())
        running = self._task_controller.running()
        self._classes.update((task.task_id, task.task_class) for task in running)
        self._resend_throttles(now_s, running)
        tasks = tuple(self._escalation_task(task, worst_slowdowns) for task in running)
        age_s = float("inf") if self._measured_s is None else now_s - self._measured_s
        return EscalationObservation(
            now_s=now_s,
            load=max((signal.load for signal in signals), default=0.0),
            burn_rate=max((signal.burn_rate for signal in signals), default=0.0),
            latency_ratio=max(map(_latency_ratio, signals), default=0.0),
            slowdown=max(map(self._model.measured_slowdown, samples), default=1.0),
            usage_age_s=age_s,
            tasks=tasks,
        )

    def _resend_throttles(self, now_s: float, running: Sequence[RunningTask]) -> None:
        """Drop the throttles of ended attempts; send due ones of the others again."""
        running_keys = {(task.task_id, task.attempt) for task in running}
        self._sent_throttles = {
            key: sent
            for key, sent in self._sent_throttles.items()
            if key in running_keys
        }
        due_before_s = now_s - self._options.resend_s
        for (task_id, attempt), sent in list(self._sent_throttles.items()):
            is_needed = sent.share < 1.0 or sent.n_resends < RELEASE_RESENDS
            if sent.at_s <= due_before_s and is_needed:
                self._task_controller.throttle(task_id, sent.share)
                resent = _SentThrottle(sent.share, now_s, sent.n_resends + 1)
                self._sent_throttles[task_id, attempt] = resent

    def _escalation_task(
        self, task: RunningTask, worst_slowdowns: Mapping[TaskClass, float]
    ) -> EscalationTask:
        sent = self._sent_throttles.get((task.task_id, task.attempt))
        return EscalationTask(
            task_id=task.task_id,
            attempt=task.attempt,
            task_class=task.task_class,
            cpu_millicores=task.shape.cpu_millicores,
            interference=worst_slowdowns.get(task.task_class, 1.0),
            at_risk_s=task.attained_s,
            share=1.0 if sent is None else sent.share,
            checkpointable=task.checkpointable,
            idempotent=task.idempotent,
            urgent=task.urgent,
        )

    def _record_level_change(self, now_s: float, decision: EscalationDecision) -> None:
        if decision.level is self._decision.level:
            return
        self.level_changes.append(LevelChange(now_s, decision.level, decision.share))
        del self.level_changes[:-MAX_LEVEL_CHANGES]
        _log.info(
            "escalation level changed",
            extra={"level": decision.level.name, "share": decision.share},
        )

    def _apply(self, action: EscalationAction, now_s: float) -> None:
        match action:
            case ThrottleTask(task_id, attempt, share):
                accepted = self._task_controller.throttle(task_id, share)
                self._sent_throttles[task_id, attempt] = _SentThrottle(share, now_s)
                self.counters.n_throttles += 1
            case EvictTask(task_id, _, checkpoint):
                accepted = self._task_controller.evict(task_id, checkpoint)
                self.counters.n_checkpoints += checkpoint
                self.counters.n_stops += not checkpoint
        self.counters.n_refused_actions += not accepted

    async def _run_usage_loop(self) -> None:
        while True:
            await self._poll_usage()
            await asyncio.sleep(self._options.usage_s)

    async def _poll_usage(self) -> None:
        try:
            async with asyncio.timeout(self._options.call_timeout_s):
                usage = await self._worker.usage()
        except TimeoutError:
            usage = WorkerUnavailable("no answer in time")
        if isinstance(usage, WorkerUnavailable):
            self.counters.n_usage_missing += 1
            return
        self.counters.n_usage_reports += 1
        self._measured_s = _now_s() - usage.lag_s
        self._used_millicores = usage.cpu_millicores
        self._update_models(self._measured_s, usage)

    def _update_models(self, measured_s: float, usage: WorkerUsage) -> None:
        by_task = dict(usage.by_task)
        services_millicores = usage.cpu_millicores - sum(by_task.values())
        self._peak_demand.observe(measured_s, max(0.0, float(services_millicores)))
        shares = self._class_shares(by_task)
        for sample in self._aligner.around(measured_s, self._options.tolerance_s):
            self._model.observe(sample, shares)

    def _class_shares(self, by_task: Mapping[TaskId, int]) -> dict[TaskClass, float]:
        """Return the share of the worker that each task class used in the report."""
        shares: dict[TaskClass, float] = {}
        for task_id, used_millicores in by_task.items():
            task_class = self._classes.get(task_id)
            if task_class is not None:
                share = used_millicores / self._capacity_millicores
                shares[task_class] = shares.get(task_class, 0.0) + share
        running = {task.task_id for task in self._task_controller.running()}
        for task_id in self._classes.keys() - running - by_task.keys():
            del self._classes[task_id]
        return shares


def _sample(now_s: float, signal: ServiceSignal) -> ServiceSample:
    busy_share = signal.n_busy / max(1, signal.n_slots)
    return ServiceSample(
        now_s, signal.service, busy_share, signal.run_ms, signal.n_recent_calls
    )


def _latency_ratio(signal: ServiceSignal) -> float:
    return signal.tail_ms / signal.objective_ms if signal.objective_ms > 0.0 else 0.0


def _now_s() -> float:
    return asyncio.get_running_loop().time()
