"""Cancellations that the store has without their jobs.

An entry stores the cancellation of a job that the store does not have, since a write of
the job may still take effect. While it is there, the job can't be stored. It is removed
from the store after a retention, and forgotten once everything that the store reports
is later than the removal.
"""

from collections.abc import Iterable
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_jobs.clocks import steady_s
from almondspan_platform.store import Revision

__all__ = ["EarlyCancellations"]


class EarlyCancellations:
    """The owner's early cancellations."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s: Final = retention_s
        self._seen_s: Final[dict[JobId, float]] = {}
        """When the owner first saw each, the oldest first."""
        self._removed_at: Final[dict[JobId, Revision]] = {}
        """Those removed from the store, and at which revision at the latest."""

    def __contains__(self, job_id: JobId) -> bool:
        return job_id in self._seen_s

    def add(self, job_id: JobId) -> None:
        """Add the cancellation of a job that the owner does not know."""
        self._seen_s[job_id] = steady_s()

    def discard(self, job_id: JobId) -> None:
        """Forget a cancellation whose job is known now, and removed with it."""
        self._seen_s.pop(job_id, None)
        self._removed_at.pop(job_id, None)

    def removable(self, n_most: int) -> list[JobId]:
        """Return some of those that are past their retention."""
        limit_s = steady_s() - self._retention_s
        found: list[JobId] = []
        for job_id, seen_s in self._seen_s.items():
            if seen_s > limit_s or len(found) >= n_most:
                break
            if job_id not in self._removed_at:
                found.append(job_id)
        return found

    def on_removed(self, job_ids: Iterable[JobId], revision: Revision) -> None:
        """Record that those of `job_ids` which are here are removed from the store."""
        for job_id in job_ids:
            if job_id in self._seen_s:
                self._removed_at[job_id] = revision

    def forget_removed(self, reported: Revision) -> None:
        """Forget those removed; the store has reported its changes up to a revision."""
        for job_id, revision in tuple(self._removed_at.items()):
            if revision <= reported:
                self.discard(job_id)
