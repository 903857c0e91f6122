"""State machine of one attempt, shared by the owner and the agent.

The owner tracks an attempt from ``QUEUED`` to ``COMMITTED`` and then to its end; the
agent tracks it from ``RESERVED`` on. A step that `LIFECYCLE_TABLE` does not allow
from the current phase violates an invariant and raises `ValueError`.
"""

from enum import Enum
from typing import Final, Protocol

from transitions import Machine

__all__ = ["LIFECYCLE_TABLE", "AttemptPhase", "LifecycleStep", "WithPhase", "advance"]


class AttemptPhase(Enum):
    """The state of an attempt."""

    QUEUED = "queued"
    RESERVED = "reserved"
    COMMITTED = "committed"
    CONFIRMING = "confirming"
    """The agent has no live reservation and asks the shard before it starts."""
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    EVICTED = "evicted"
    FINISHING = "finishing"
    """It has ended; its outcome is kept until the shard has committed it."""
    CLOSED = "closed"


class LifecycleStep(Enum):
    """A transition of an attempt."""

    RESERVE = "reserve"
    COMMIT = "commit"
    ASK = "ask"
    CONFIRM = "confirm"
    START = "start"
    STARTED = "started"
    CHECKPOINT = "checkpoint"
    EVICT = "evict"
    FINISH = "finish"
    REFUSE = "refuse"
    CLOSE = "close"


P = AttemptPhase
S = LifecycleStep

LIFECYCLE_TABLE: Final[
    tuple[tuple[LifecycleStep, tuple[AttemptPhase, ...], AttemptPhase], ...]
] = (
    (S.RESERVE, (P.QUEUED,), P.RESERVED),
    (S.COMMIT, (P.QUEUED, P.RESERVED), P.COMMITTED),
    (S.ASK, (P.QUEUED, P.RESERVED), P.CONFIRMING),
    (S.START, (P.RESERVED, P.COMMITTED, P.CONFIRMING), P.STARTING),
    (
        S.STARTED,
        (P.QUEUED, P.RESERVED, P.COMMITTED, P.CONFIRMING, P.STARTING, P.RUNNING),
        P.RUNNING,
    ),
    (S.CHECKPOINT, (P.STARTING, P.RUNNING, P.CHECKPOINTING), P.CHECKPOINTING),
    (
        S.EVICT,
        (P.QUEUED, P.COMMITTED, P.STARTING, P.RUNNING, P.CHECKPOINTING),
        P.EVICTED,
    ),
    (
        S.FINISH,
        (
            P.QUEUED,
            P.RESERVED,
            P.COMMITTED,
            P.CONFIRMING,
            P.STARTING,
            P.RUNNING,
            P.CHECKPOINTING,
        ),
        P.FINISHING,
    ),
    (S.REFUSE, (P.QUEUED, P.RESERVED, P.CONFIRMING, P.STARTING), P.FINISHING),
    (S.CLOSE, tuple(phase for phase in P if phase is not P.CLOSED), P.CLOSED),
)


class WithPhase(Protocol):
    """An object whose phase `advance` may change."""

    phase: AttemptPhase


def _build_machine() -> Machine:
    machine = Machine(
        model=None,
        states=[phase.value for phase in AttemptPhase],
        initial=None,
        auto_transitions=False,
        model_attribute="phase",
    )
    for step, sources, target in LIFECYCLE_TABLE:
        machine.add_transition(
            step.value, [source.value for source in sources], target.value
        )
    return machine


_MACHINE: Final = _build_machine()
_NEXT: Final[dict[tuple[LifecycleStep, AttemptPhase], AttemptPhase]] = {}


def _fill_next() -> None:
    for step in LifecycleStep:
        event = _MACHINE.events.get(step.value)
        if event is None:
            continue
        for source, found in event.transitions.items():
            _NEXT[step, AttemptPhase(source)] = AttemptPhase(found[0].dest)


_fill_next()


def advance(attempt: WithPhase, step: LifecycleStep) -> None:
    """Change the phase of an attempt by `step`.

    Raises
    ------
    ValueError
        When the table does not allow this step from the attempt's phase.
    """
    target = _NEXT.get((step, attempt.phase))
    if target is None:
        raise ValueError(
            f"attempt step {step.value} is not allowed in phase {attempt.phase.value}"
        )
    attempt.phase = target
