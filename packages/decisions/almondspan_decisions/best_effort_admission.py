"""Decides whether a best-effort task starts now or waits for a better place.

Tasks that share what serving tasks leave free make the same progress in total whether
few run fast or many run slowly, but few fast ones end earlier, and a step ends with its
last task. So a task starts only where it is expected to run at a useful speed. A task
on a worker without other best-effort tasks slows none of them, so it starts at a lower
speed. The speed that is asked for falls with the time that its step has waited, so the
wait is bounded.
"""

from typing import Final

__all__ = ["patience_left", "useful_speed"]

FIRST_SPEED: Final = 0.7
"""Least expected speed beside other best-effort tasks, before any wait."""
FIRST_SPEED_ALONE: Final = 0.3
PATIENCE_S: Final = 8.0
"""A step that has waited for so long starts at any speed."""
PATIENCE_RUNS: Final = 2.0
"""The same in run times of its tasks: waiting longer costs more than a slow run."""


def patience_left(waited_s: float, run_s: float) -> float:
    """Return the share of its patience that a step has left after a wait, 0 to 1.

    Parameters
    ----------
    run_s : float
        Run time of its tasks at full speed; 0 if unknown.
    """
    patience_s = min(PATIENCE_S, PATIENCE_RUNS * run_s) if run_s > 0 else PATIENCE_S
    return max(0.0, 1.0 - waited_s / patience_s)


def useful_speed(patience: float, *, is_alone: bool) -> float:
    """Return the least expected speed at which a task starts.

    Parameters
    ----------
    patience : float
        Share of the patience that its step has left.
    is_alone : bool
        Whether no other best-effort task is on the worker.
    """
    return patience * (FIRST_SPEED_ALONE if is_alone else FIRST_SPEED)
