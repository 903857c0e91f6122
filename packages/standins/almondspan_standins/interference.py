"""How a service and the batch tasks on its worker slow each other down.

Each pair of a service and a task class has two slowdown factors: how many times
longer the service's requests take, and the task's work, when both load the whole
worker. Below that the effect grows with the load:

1. ``load`` is the share of the worker's processors that tasks and service use.
2. A class that uses the share ``u`` adds ``(factor - 1) * u * load ** exponent`` to
   the slowdown of the service, which is 1 on an empty worker.
3. A task is slowed by ``(factor - 1) * service load * load ** exponent``.

Parameters come from a TOML file; see ``misc/interference``.
"""

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import msgspec

from almondspan_decisions.ids import ServiceName, TaskClass

__all__ = ["InterferenceModel", "PairEffect", "load_model"]

MAX_LOAD: Final = 1.5


class PairEffect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The slowdown factors of one pair at full load, 1 for no effect."""

    service: ServiceName
    task_class: TaskClass
    service_slowdown: float = 1.0
    task_slowdown: float = 1.0


class InterferenceModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parameters of one deployment.

    Attributes
    ----------
    usage_lag_s : float
        How old the usage is that workers report, in seconds.
    service_share : float
        The share of a worker's processors that a runner uses with all slots busy.
    exponent : float
        How steeply effects grow with the load; at least 1.
    default_slowdown : float
        The service's factor for pairs that are not listed.
    pair : tuple of PairEffect
        The pairs that are known.
    """

    usage_lag_s: float = 2.0
    service_share: float = 0.25
    exponent: float = 2.0
    default_slowdown: float = 1.1
    pair: tuple[PairEffect, ...] = ()

    def service_slowdown(
        self,
        service: ServiceName,
        service_load: float,
        running: Iterable[tuple[TaskClass, float]],
    ) -> float:
        """Return how many times longer a request takes.

        Parameters
        ----------
        service : ServiceName
            The service of the runner.
        service_load : float
            The share of its slots that are busy, 0 to 1.
        running : iterable of (TaskClass, float)
            The tasks on its worker, each with its share of the processors.
        """
        tasks = tuple(running)
        growth = self._growth(service_load, tasks)
        harms = (
            (self._effect(service, task_class).service_slowdown - 1.0) * share
            for task_class, share in tasks
        )
        return 1.0 + sum(harms) * growth

    def task_slowdown(
        self,
        service: ServiceName,
        service_load: float,
        task_class: TaskClass,
        running: Iterable[tuple[TaskClass, float]],
    ) -> float:
        """Return how many times longer a task's work takes."""
        growth = self._growth(service_load, tuple(running))
        harm = self._effect(service, task_class).task_slowdown - 1.0
        return 1.0 + harm * service_load * growth

    def _growth(
        self, service_load: float, running: tuple[tuple[TaskClass, float], ...]
    ) -> float:
        load = service_load * self.service_share + sum(share for _, share in running)
        return float(min(load, MAX_LOAD) ** self.exponent)

    def _effect(self, service: ServiceName, task_class: TaskClass) -> PairEffect:
        for known in self.pair:
            if (known.service, known.task_class) == (service, task_class):
                return known
        return PairEffect(service, task_class, self.default_slowdown)


def load_model(path: Path) -> InterferenceModel:
    """Read a parameter file.

    Raises
    ------
    ValueError
        When the file is not TOML of the documented keys.
    """
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), InterferenceModel)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path}: {error}") from error
