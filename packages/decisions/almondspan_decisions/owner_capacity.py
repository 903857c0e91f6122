"""Whether an entry has the capacity to own the jobs of a fleet.

The owner handles the listings of all workers and stores every decision, so its network
traffic and processor time grow with the number of workers. Entries differ in size; one
that is too small for the fleet lets the others take over first.
"""

from dataclasses import dataclass
from typing import Final

__all__ = ["InstanceCapacity", "can_own"]

CORES_PER_WORKER: Final = 0.008
LINK_MBPS_PER_WORKER: Final = 0.15
"""Several times the mean traffic, since a takeover reads the state of all jobs."""

MIN_WORKERS: Final = 64
"""The least size assumed: while a fleet starts, few of its agents are registered."""


@dataclass(frozen=True, slots=True)
class InstanceCapacity:
    """What a process may use of its instance."""

    cores: float
    link_mbps: float


def can_own(capacity: InstanceCapacity, n_workers: int) -> bool:
    """Return whether an instance can carry the owner of a fleet of this size."""
    n_expected = max(n_workers, MIN_WORKERS)
    return (
        capacity.cores >= CORES_PER_WORKER * n_expected
        and capacity.link_mbps >= LINK_MBPS_PER_WORKER * n_expected
    )
