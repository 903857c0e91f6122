"""Model of how a service and the batch tasks on its worker slow each other down.

Each pair of a service and a task class has two slowdown factors at full load of the
worker: one for the service's requests and one for the task's work. At lower load
the slowdown is smaller:

1. ``load`` is the share of the worker's processors used by tasks and service.
2. A class that uses the share ``u`` of the processors adds
   ``(factor - 1) * u * load ** exponent`` to the slowdown of the service, which is 1
   on an idle worker.
3. A task is slowed by ``(factor - 1) * service load * load ** exponent``.

The parameters are read from a TOML file; see ``misc/interference``.
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
    """Slowdown factors of one pair at full load; 1 means no slowdown."""

    service: ServiceName
    task_class: TaskClass
    service_slowdown: float = 1.0
    task_slowdown: float = 1.0


class InterferenceModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parameters of one deployment.

    Attributes
    ----------
    usage_lag_s : float
        Age of the usage that workers report, in seconds.
    service_share : float
        Share of a worker's processors that a runner with all slots busy uses.
    exponent : float
        Exponent of the growth with the load; at least 1.
    default_slowdown : float
        The service's factor for pairs without an entry.
    pair : tuple of PairEffect
        The pairs with their own factors.
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
        """Return the factor by which a request takes longer.

        Parameters
        ----------
        service : ServiceName
            The service of the runner.
        service_load : float
            Share of its slots that are busy, 0 to 1.
        running : iterable of (TaskClass, float)
            The tasks on its worker with their shares of the processors.
        """
        tasks = tuple(running)
        growth = self._growth(service_load, tasks)
        increases = (
            (self._effect(service, task_class).service_slowdown - 1.0) * share
            for task_class, share in tasks
        )
        return 1.0 + sum(increases) * growth

    def task_slowdown(
        self,
        service: ServiceName,
        service_load: float,
        task_class: TaskClass,
        running: Iterable[tuple[TaskClass, float]],
    ) -> float:
        """Return the factor by which a task's work takes longer."""
        growth = self._growth(service_load, tuple(running))
        increase = self._effect(service, task_class).task_slowdown - 1.0
        return 1.0 + increase * service_load * growth

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
    """Load a parameter file.

    Raises
    ------
    ValueError
        When the file is not valid TOML or has unknown or wrong keys.
    """
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), InterferenceModel)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path}: {error}") from error
