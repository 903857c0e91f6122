"""Payloads, checkpoints and results of tasks on the worker stand-in.

A payload is JSON with ``run_s``, ``effect``, ``record`` and optionally:

- ``fail``: true for a failure at the end, ``"infeasible"`` for an infeasible task,
  ``"refuse"`` for a task that the worker refuses to start;
- ``use_share``: the processors used, as a share of those declared;
- ``effect_share``: the share of the run after which the effect takes place; with 1,
  an evicted attempt has had no effect;
- ``run_s_by_class``: run times by task class, so that one payload serves all stages
  of a job; the name of the class is then the effect.
"""

import msgspec

from almondspan_decisions.ids import TaskClass

__all__ = [
    "Payload",
    "Progress",
    "WorkResult",
    "read_payload",
    "read_progress",
    "task_payload",
]


class Payload(msgspec.Struct, frozen=True):
    """The work of a task; ``run_s`` is its run time on an idle worker."""

    run_s: float = 0.0
    effect: str = ""
    record: str = ""
    fail: bool | str = False
    use_share: float = 1.0
    run_s_by_class: dict[str, float] = {}
    effect_share: float = 1.0

    def has_early_effect(self, done_s: float) -> bool:
        """Return whether an effect before the end has taken place after `done_s`."""
        return self.effect_share < 1.0 and done_s >= self.effect_share * self.run_s


class Progress(msgspec.Struct, frozen=True):
    """A checkpoint: how much of ``run_s`` is done."""

    done_s: float = 0.0


class WorkResult(msgspec.Struct, frozen=True):
    """The result of an attempt that has completed."""

    record: str
    effect: str


def task_payload(
    run_s: float,
    effect: str,
    record: str,
    fail: bool | str = False,
    effect_share: float = 1.0,
) -> bytes:
    """Return an encoded payload."""
    payload = Payload(run_s, effect, record, fail, effect_share=effect_share)
    return msgspec.json.encode(payload)


def read_payload(data: bytes, task_class: TaskClass) -> Payload:
    """Decode the payload of a task; a malformed one makes the task fail at once."""
    if not data:
        return Payload()
    try:
        payload = msgspec.json.decode(data, type=Payload)
    except msgspec.DecodeError:
        return Payload(fail=True)
    if not payload.run_s_by_class:
        return payload
    run_s = payload.run_s_by_class.get(task_class, 0.0)
    return msgspec.structs.replace(payload, run_s=run_s, effect=str(task_class))


def read_progress(checkpoint: bytes) -> Progress:
    """Return the progress stored in a checkpoint.

    Raises
    ------
    msgspec.DecodeError
        When the checkpoint is malformed.
    """
    if not checkpoint:
        return Progress()
    return msgspec.json.decode(checkpoint, type=Progress)
