"""Rests a worker on which many different tasks fail.

A resting worker gets no new work. Failures of distinct tasks are counted; a task that
succeeds clears them, since then the worker is not the cause. After the rest the worker
is probed with one task at a time, and each failed probe doubles the rest, up to 16
times ``rest_s``.
"""

from almondspan_decisions.ids import TaskId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_tasks.options import AttemptAgentOptions

__all__ = ["RestingRule"]


class RestingRule:
    """Decides whether a worker gets new work."""

    def __init__(self, options: AttemptAgentOptions) -> None:
        self.is_probing = False
        self._options = options
        self._failed_s: dict[TaskId, float] = {}
        self._resting_until_s = 0.0
        self._n_rests = 0
        self._is_set_manually = False

    def set_manually(self, resting: bool) -> None:
        """Start or end a manual rest; ending it also clears the failures."""
        self._is_set_manually = resting
        if not resting:
            self._clear()

    def is_resting(self, now_s: float) -> bool:
        """Return whether the worker rests, so that new work is refused."""
        return self._is_set_manually or now_s < self._resting_until_s

    def record_outcome(self, now_s: float, task: TaskId, kind: OutcomeKind) -> None:
        """Record the outcome of an attempt."""
        if kind is OutcomeKind.DONE:
            self._clear()
            return
        if kind is not OutcomeKind.FAILED or self.is_resting(now_s):
            return
        oldest_s = now_s - self._options.rest_window_s
        self._failed_s = {
            known: at for known, at in self._failed_s.items() if at >= oldest_s
        }
        self._failed_s[task] = now_s
        if self.is_probing or len(self._failed_s) >= self._options.rest_n_tasks:
            self._rest(now_s)

    def _rest(self, now_s: float) -> None:
        self._resting_until_s = now_s + self._options.rest_s * 2 ** min(
            self._n_rests, 4
        )
        self._n_rests += 1
        self.is_probing = True
        self._failed_s.clear()

    def _clear(self) -> None:
        self._failed_s.clear()
        self._resting_until_s = 0.0
        self._n_rests = 0
        self.is_probing = False
