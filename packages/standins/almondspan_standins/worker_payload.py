"""What a task tells a stand-in worker, and what an attempt leaves behind.

A payload is JSON: ``run_s``, ``effect``, ``record`` and optionally ``fail`` (true:
fails at its end; ``"infeasible"``: ends as infeasible at once; ``"refuse"``: the
worker refuses it), ``use_share`` (the processors used over those declared) and
``effect_share`` (the part of the run after which the effect takes place; at 1 an
attempt that is evicted has had none). With ``run_s_by_class`` one payload serves all
stages of a job: the task's class gives the run time and names the effect.
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
    """The work of a task; ``run_s`` is its time on an idle worker."""

    run_s: float = 0.0
    effect: str = ""
    record: str = ""
    fail: bool | str = False
    use_share: float = 1.0
    run_s_by_class: dict[str, float] = {}
    effect_share: float = 1.0

    def has_early_effect(self, done_s: float) -> bool:
        """Tell whether an effect before the end has taken place after `done_s`."""
        return self.effect_share < 1.0 and done_s >= self.effect_share * self.run_s


class Progress(msgspec.Struct, frozen=True):
    """A checkpoint: the part of ``run_s`` that is done."""

    done_s: float = 0.0


class WorkResult(msgspec.Struct, frozen=True):
    """The result of an attempt that reached its end."""

    record: str
    effect: str


def task_payload(
    run_s: float,
    effect: str,
    record: str,
    fail: bool | str = False,
    effect_share: float = 1.0,
) -> bytes:
    """Return the payload of a task for this worker."""
    payload = Payload(run_s, effect, record, fail, effect_share=effect_share)
    return msgspec.json.encode(payload)


def read_payload(data: bytes, task_class: TaskClass) -> Payload:
    """Return the payload of a task; one that is no payload fails at once."""
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
    """Return the progress that a checkpoint holds.

    Raises
    ------
    msgspec.DecodeError
        When no worker has made this checkpoint.
    """
    if not checkpoint:
        return Progress()
    return msgspec.json.decode(checkpoint, type=Progress)
