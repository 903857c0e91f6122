"""The owner's view of one worker incarnation: its lease and its reported ends.

Lease: `WorkerLease.renewal` extends the time, on the worker's own clock, until which
its tasks may run. `surely_expired_s` is the owner's time after which the lease has
expired on that clock even if the clock is as slow as its drift bound allows; only then
may tasks of a silent worker run elsewhere. A renewal never extends further than a
fixed time past the owner's last proof of ownership, so that a later owner knows when
every lease of its predecessors has expired.

Ends: each is handled once, in order of its number. An end may be acknowledged to the
worker once the decision that resulted from it is stored.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from almondspan_decisions.ids import JobId

__all__ = ["LeaseTerms", "WorkerLease"]


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Bounds of leases.

    Attributes
    ----------
    lease_s : float
        Length of a renewal on the worker's clock.
    step_s : float
        Shortest extension that is worth sending.
    drift : float
        Largest share by which the worker's clock may be slow.
    margin_s : float
        Added to every wait for a lease to expire.
    unconfirmed_s : float
        Longest time that a lease extends past the owner's last proof of ownership.
    """

    lease_s: float
    step_s: float
    drift: float
    margin_s: float
    unconfirmed_s: float

    def inherited_expiry_s(self, takeover_s: float) -> float:
        """Return when every lease granted by earlier owners has expired."""
        return takeover_s + self.unconfirmed_s / (1 - self.drift) + self.margin_s


@dataclass(slots=True)
class WorkerLease:
    """The lease and the reported ends of one worker incarnation."""

    terms: LeaseTerms
    surely_expired_s: float
    until_ms: int = 0
    """The latest expiry granted, on the worker's clock."""
    listed_s: float = 0.0
    """When the latest listing arrived; 0 if none has."""
    clock_ms: int = 0
    """The worker's clock in the latest listing."""
    unreachable_s: float = 0.0
    """When the first failed poll since the latest listing was reported; 0 if none was.
    Stays with the lease of an incarnation that was replaced."""
    refused_s: float = 0.0
    """When the worker last did not take a start; 0 if never."""
    lists_all_ends: bool = True
    """Whether the latest listing had all ends that are not acknowledged."""
    n_seen: int = 0
    """Number of the last end that was handled."""
    n_acknowledged: int = 0
    """Number of the last end whose decision is stored."""
    unacknowledged: deque[tuple[int, JobId | None, int]] = field(default_factory=deque)
    """Handled ends that are not acknowledged yet: number, job, and the version of the
    job's state that includes the end."""

    def renewal(self, clock_ms: int, received_s: float, confirmed_s: float) -> bool:
        """Extend the lease if that is worth sending; return whether it was extended.

        Parameters
        ----------
        clock_ms : int
            The worker's clock at some moment before `received_s`.
        received_s : float
            The owner's time at which that reading of the clock arrived.
        confirmed_s : float
            When the call that last proved ownership was sent.
        """
        terms = self.terms
        left_s = confirmed_s + terms.unconfirmed_s - received_s
        reach_s = min(terms.lease_s, left_s * (1 - terms.drift))
        until_ms = clock_ms + int(reach_s * 1000)
        if until_ms < self.until_ms + int(terms.step_s * 1000):
            return False
        self.until_ms = until_ms
        passed_s = received_s + reach_s / (1 - terms.drift) + terms.margin_s
        self.surely_expired_s = max(self.surely_expired_s, passed_s)
        return True

    def acknowledge_stored(self, is_stored: Callable[[JobId, int], bool]) -> bool:
        """Acknowledge the ends whose decisions are stored; return whether any was new.

        Parameters
        ----------
        is_stored : callable of job and version
            Whether a job's state is stored at this version or a later one.
        """
        before = self.n_acknowledged
        while self.unacknowledged:
            number, job_id, version = self.unacknowledged[0]
            if job_id is not None and not is_stored(job_id, version):
                break
            self.n_acknowledged = number
            self.unacknowledged.popleft()
        return self.n_acknowledged > before
