"""The operators' requests to evacuate places, as this process last read them.

`RequestTracker` applies what the store answers: a read returns all requests, a watch
tells which have changed. An answer older than the tracker's state has no effect.
`Evacuations` is the owner's copy. It also tells whether it is recent enough to start
tasks: the requests may have changed since the last answered call was sent.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.evacuation import EvacuationTerms
from almondspan_decisions.ids import PlaceName
from almondspan_decisions.worker_lease import WorkerLease
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.options import JobOptions
from almondspan_platform.store import ABSENT_REVISION, Revision

__all__ = ["EvacuationRequests", "Evacuations", "RequestTracker", "evacuation_terms"]

MAX_TOLD_PLACES: Final = 256
"""Agents are told of this many places; their owner holds the others back alone."""


def evacuation_terms(options: JobOptions) -> EvacuationTerms:
    """Return the terms that follow from the options."""
    return EvacuationTerms(options.evacuation_limit_s, options.clock_drift)


@dataclass(frozen=True, slots=True)
class EvacuationRequests:
    """The requests that stand, as of one call to the store."""

    since_s: Mapping[PlaceName, float] = field(default_factory=dict)
    """When this process first read the request for each place."""
    read_s: float = -math.inf
    """When the latest answered call was sent; what it tells was true then or later."""


class RequestTracker:
    """Keeps the requests from the answers of reads and watches."""

    def __init__(
        self, log: EventLog, on_change: Callable[[EvacuationRequests], None]
    ) -> None:
        self._log: Final = log
        self._on_change: Final = on_change
        self.current = EvacuationRequests()
        self._revision: Revision = ABSENT_REVISION

    def on_read(
        self, places: Iterable[PlaceName], revision: Revision, sent_s: float
    ) -> None:
        """Handle a read of all requests, which was sent at `sent_s`."""
        if revision >= self._revision:
            self._apply(set(places), revision, sent_s)

    def on_changed(
        self,
        requested: Iterable[PlaceName],
        withdrawn: Iterable[PlaceName],
        revision: Revision,
        sent_s: float,
    ) -> None:
        """Handle the changes that a watch tells, as of a revision."""
        if revision >= self._revision:
            places = self.current.since_s.keys() | set(requested)
            self._apply(places - set(withdrawn), revision, sent_s)

    def _apply(
        self, places: Iterable[PlaceName], revision: Revision, sent_s: float
    ) -> None:
        now_s = steady_s()
        before = self.current
        since_s = {place: before.since_s.get(place, now_s) for place in sorted(places)}
        if since_s.keys() != before.since_s.keys():
            self._log.line(
                "evacuation_requests",
                n_places=len(since_s),
                added=sorted(since_s.keys() - before.since_s.keys())[:8],
                removed=sorted(before.since_s.keys() - since_s.keys())[:8],
                revision=revision,
            )
        self._revision = revision
        self.current = EvacuationRequests(since_s, max(before.read_s, sent_s))
        self._on_change(self.current)


class Evacuations:
    """The requests that the owner knows, and what they allow."""

    def __init__(self, options: JobOptions) -> None:
        self.terms: Final = evacuation_terms(options)
        self.requests = EvacuationRequests()

    def are_known(self, now_s: float) -> bool:
        """Return whether the requests were read recently enough to start tasks."""
        age_s = now_s - self.requests.read_s
        return not self.terms.is_used or age_s <= self.terms.view_limit_s

    def is_evacuated(self, place: PlaceName) -> bool:
        """Return whether a place is known to be evacuated."""
        return place in self.requests.since_s

    def may_start(self, place: PlaceName, now_s: float) -> bool:
        """Return whether tasks may be placed and started in a place."""
        return self.are_known(now_s) and not self.is_evacuated(place)

    def has_stood(self, place: PlaceName, for_s: float, now_s: float) -> bool:
        """Return whether the request for a place has stood for some time."""
        return now_s - self.requests.since_s.get(place, math.inf) >= for_s

    @property
    def told_places(self) -> list[str]:
        """The evacuated places that agents are told."""
        return sorted(map(str, self.requests.since_s))[:MAX_TOLD_PLACES]

    def start_until_ms(self, lease: WorkerLease, now_s: float) -> int:
        """Return when a start command that is sent now expires on its worker."""
        return self.terms.start_until_ms(
            lease.clock_ms, now_s - lease.listed_s, lease.until_ms
        )
