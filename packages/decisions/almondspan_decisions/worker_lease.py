"""What the owner knows of one life of a worker: its lease and its listed ends.

The lease: `renewal` gives the worker a time of the worker's own clock until which
everything may run. `sure_empty_s` is the owner's time after which the lease has passed
on that clock, however slow it is within its bound; only then may tasks of a silent
worker run elsewhere. A renewal never reaches further than a fixed time past the
owner's last proof that it is the owner, so a later owner knows that bound too.

The ends: each is handled once, in the order of their numbers. An end may be noted at
the worker once the decision that it led to is stored.
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
        A renewal is worth sending when the lease grows by this.
    drift : float
        Share by which the worker's clock may be slow.
    margin_s : float
        Added to every wait for a lease to pass.
    unconfirmed_s : float
        Reach of leases past the owner's last proof of ownership.
    """

    lease_s: float
    step_s: float
    drift: float
    margin_s: float
    unconfirmed_s: float

    def inherited_expiry_s(self, takeover_s: float) -> float:
        """Return when every lease given by earlier owners has passed."""
        return takeover_s + self.unconfirmed_s / (1 - self.drift) + self.margin_s


@dataclass(slots=True)
class WorkerLease:
    """The lease and the listed ends of one life of a worker."""

    terms: LeaseTerms
    surely_expired_s: float
    until_ms: int = 0
    """The latest time given, on the worker's clock."""
    listed_s: float = 0.0
    """When the latest listing arrived; 0 if none has."""
    n_seen: int = 0
    """Number of the last end that was handled."""
    n_acknowledged: int = 0
    """Number of the last end whose decision is stored."""
    unacknowledged: deque[tuple[int, JobId | None, int]] = field(default_factory=deque)
    """Handled ends: number, job and the version of the job that holds it."""

    def renewal(self, clock_ms: int, heard_s: float, confirmed_s: float) -> bool:
        """Lengthen the lease if it is worth it; tell whether `until_ms` grew.

        Parameters
        ----------
        clock_ms : int
            The worker's clock at a moment before `heard_s`.
        heard_s : float
            The owner's time now.
        confirmed_s : float
            When the call left that last proved the owner to be the owner.
        """
        terms = self.terms
        left_s = confirmed_s + terms.unconfirmed_s - heard_s
        reach_s = min(terms.lease_s, left_s * (1 - terms.drift))
        until_ms = clock_ms + int(reach_s * 1000)
        if until_ms < self.until_ms + int(terms.step_s * 1000):
            return False
        self.until_ms = until_ms
        passed_s = heard_s + reach_s / (1 - terms.drift) + terms.margin_s
        self.surely_expired_s = max(self.surely_expired_s, passed_s)
        return True

    def acknowledge_stored(self, is_stored: Callable[[JobId, int], bool]) -> bool:
        """Advance `n_noted` over the ends that are stored; tell whether it moved.

        Parameters
        ----------
        is_stored : callable of job and version
            Whether a job's state lies in the store at this version or a later one.
        """
        before = self.n_acknowledged
        while self.unacknowledged:
            number, job_id, version = self.unacknowledged[0]
            if job_id is not None and not is_stored(job_id, version):
                break
            self.n_acknowledged = number
            self.unacknowledged.popleft()
        return self.n_acknowledged > before
