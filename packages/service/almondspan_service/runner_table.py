"""The runners known to an entry, and the choice of a runner for a call.

A row holds the load that the runner's agent reported last, in an answer or a status,
corrected by the attempts that this entry has opened and closed since.

A runner is chosen in these steps:

1. Candidates are the runners in the entry's subset of the service's runners that are
   not draining.
2. For an idempotent call, an idle runner that is being probed is chosen with a small
   probability.
3. Runners that are ejected, probed or suppressed by flap damping are excluded, then
   those that the call has tried. A step that would exclude all is undone.
4. Runners in the entry's own place are preferred unless they are overloaded. The
   routing policy chooses among the rest.
"""

import logging
from collections.abc import Container, Sequence
from random import Random

from almondspan_decisions.ids import AgentId, EntryId, PlaceName, ServiceName
from almondspan_decisions.routing import (
    ROUTING_POLICIES,
    RoutingContext,
    RoutingPolicy,
    pool_load,
    prefer_place,
    rendezvous_subset,
)
from almondspan_service.ejection import (
    HealthState,
    RunnerHealth,
    is_outlier,
    may_eject,
)
from almondspan_service.flap_damping import FlapDamper
from almondspan_service.router_counters import RouterCounters
from almondspan_service.router_options import RouterOptions
from almondspan_service.slow_start import slow_start_weight
from almondspan_wire.membership import AgentHello, AgentStatus, RunnerStatus

__all__ = ["RunnerRow", "RunnerTable"]

_LOGGER = logging.getLogger(__name__)

DEFAULT_POLICY = "three_choices"
"""Routing policy used until a configuration arrives."""

UNKNOWN_SLOTS = 1
"""Assumed slots of a runner before its first status."""


class RunnerRow:
    """A runner as seen by one entry; a `RunnerView` for the routing policies."""

    __slots__ = (
        "_n_open_at_report",
        "_n_reported",
        "agent_id",
        "damped_until_s",
        "draining",
        "health",
        "is_stale",
        "last_used_s",
        "n_answers",
        "n_open",
        "n_slots",
        "place",
        "ramp_start_s",
        "reported_ms",
        "service",
        "weight",
    )

    def __init__(
        self,
        agent_id: AgentId,
        place: PlaceName,
        service: ServiceName,
        health: RunnerHealth,
    ) -> None:
        self.agent_id = agent_id
        self.place = place
        self.service = service
        self.health = health
        self.n_slots = UNKNOWN_SLOTS
        self.reported_ms = 0.0
        self.last_used_s = 0.0
        self.is_stale = False
        self.n_answers = 0
        self.weight = 1.0
        self.ramp_start_s: float | None = None
        self.damped_until_s = 0.0
        self.draining = False
        self.n_open = 0
        self._n_reported = 0
        self._n_open_at_report = 0

    @property
    def n_outstanding(self) -> float:
        """Estimated calls at the runner, queued and running, of all entries."""
        estimate = self._n_reported + self.n_open - self._n_open_at_report
        return max(estimate, self.n_open)

    @property
    def latency_ms(self) -> float:
        """Reported run time; 0 if the report is stale and no attempt is open here.

        The 0 makes policies try a formerly slow runner again, one call at a time.
        """
        return 0.0 if self.is_stale and self.n_open == 0 else self.reported_ms

    def on_attempt_closed(self, now_s: float) -> None:
        """Update the row when an attempt ends or is cancelled."""
        self.n_open -= 1
        self.last_used_s = now_s
        self.is_stale = False

    def has_free_slot(self) -> bool:
        """Return whether the runner is estimated to have a free slot."""
        return self.n_outstanding < self.n_slots

    def on_load(self, n_held: int, latency_ms: float) -> None:
        """Store the load that the agent reported."""
        self._n_reported = n_held
        self._n_open_at_report = self.n_open
        self.reported_ms = latency_ms

    def on_status(self, status: RunnerStatus) -> None:
        """Apply a status of the runner."""
        self.n_slots = status.n_slots
        self.on_load(status.n_busy + status.n_queued, status.latency_ms)

    def update_weight(self, now_s: float, ramp_s: float) -> None:
        """Update the weight during a slow start."""
        if self.ramp_start_s is None:
            return
        self.weight = slow_start_weight(now_s - self.ramp_start_s, ramp_s)
        if self.weight >= 1.0:
            self.ramp_start_s = None


class RunnerTable:
    """Rows of runners by agent and by service.

    Parameters
    ----------
    entry_id : the entry; determines its subset of the runners.
    place : the entry's place.
    options : limits and time-outs.
    counters : counters of the router.
    rng : random number generator of probes and routing policies.
    """

    def __init__(
        self,
        entry_id: EntryId,
        place: PlaceName,
        options: RouterOptions,
        counters: RouterCounters,
        rng: Random,
    ) -> None:
        self._entry_id = entry_id
        self._place = place
        self._options = options
        self._counters = counters
        self._rng = rng
        self._policy: RoutingPolicy = ROUTING_POLICIES[DEFAULT_POLICY]
        self._n_calls = 0
        self._damper = FlapDamper(options.damping)
        self._hellos: dict[AgentId, AgentHello] = {}
        self._rows: dict[AgentId, dict[ServiceName, RunnerRow]] = {}
        self._subsets: dict[ServiceName, list[RunnerRow]] = {}
        self._next_check_s: dict[ServiceName, float] = {}

    def set_policy(self, name: str) -> bool:
        """Use the policy registered as `name`; returns False when there is none."""
        policy = ROUTING_POLICIES.get(name)
        if policy is not None:
            self._policy = policy
        return policy is not None

    # Membership.

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Add an agent; its runners follow with its first status."""
        self._hellos[agent_id] = hello
        self._rows[agent_id] = {}
        self._subsets.clear()

    def agent_left(self, agent_id: AgentId, now_s: float) -> None:
        """Remove an agent and its runners."""
        hello = self._hellos.pop(agent_id, None)
        if hello is not None:
            self._damper.on_departure(_damping_key(hello), now_s)
        self._rows.pop(agent_id, None)
        self._subsets.clear()

    def on_status(self, agent_id: AgentId, status: AgentStatus, now_s: float) -> None:
        """Add new runners of an agent and update the load of all."""
        hello = self._hellos.get(agent_id)
        if hello is None:
            return
        rows = self._rows[agent_id]
        for runner in status.runners:
            row = rows.get(runner.service)
            if row is None:
                row = rows[runner.service] = self._new_row(hello, runner, now_s)
            row.draining = status.draining
            row.on_status(runner)

    def _new_row(
        self, hello: AgentHello, runner: RunnerStatus, now_s: float
    ) -> RunnerRow:
        health = RunnerHealth(self._options.ejection)
        row = RunnerRow(hello.agent_id, hello.place, runner.service, health)
        row.damped_until_s = self._damper.suppressed_until_s(_damping_key(hello), now_s)
        row.ramp_start_s = max(now_s, row.damped_until_s)
        row.update_weight(now_s, self._options.slow_start_s)
        self._subsets.clear()
        return row

    def _subset(self, service: ServiceName) -> list[RunnerRow]:
        known = self._subsets.get(service)
        if known is not None:
            return known
        serving = {
            agent_id: rows[service]
            for agent_id, rows in self._rows.items()
            if service in rows
        }
        chosen = rendezvous_subset(self._entry_id, serving, self._options.subset_size)
        self._subsets[service] = [serving[agent_id] for agent_id in chosen]
        return self._subsets[service]

    # Health.

    def on_success(self, row: RunnerRow, now_s: float) -> None:
        """Record a success of a runner."""
        row.n_answers += 1
        if row.health.on_success():
            _LOGGER.info("runner of %s is healthy again after ejection", row.agent_id)
            row.ramp_start_s = now_s
            row.update_weight(now_s, self._options.slow_start_s)

    def on_failure(self, row: RunnerRow, now_s: float) -> None:
        """Record a failure of a runner, and eject it after too many."""
        if row.health.on_failure():
            self._eject(row, now_s, "failed calls")

    def _eject(self, row: RunnerRow, now_s: float, reason: str) -> None:
        subset = self._subset(row.service)
        n_unhealthy = sum(
            other.health.state is not HealthState.HEALTHY
            for other in subset
            if other is not row
        )
        if not may_eject(
            n_unhealthy, len(subset), self._options.ejection.max_ejected_share
        ):
            return
        row.health.start_ejection(now_s)
        row.n_answers = 0
        self._counters.n_ejections += 1
        _LOGGER.warning("ejected the runner of %s: %s", row.agent_id, reason)

    def _update_health(self, service: ServiceName, now_s: float) -> None:
        """Periodically update health, weight and staleness, and eject slow runners."""
        if now_s < self._next_check_s.get(service, 0.0):
            return
        self._next_check_s[service] = now_s + self._options.ejection.check_s
        subset = self._subset(service)
        for row in subset:
            row.health.end_ejection_if_due(now_s)
            row.update_weight(now_s, self._options.slow_start_s)
            row.is_stale = now_s > row.last_used_s + self._options.latency_stale_after_s
            if self._is_slow(row, [other for other in subset if other is not row]):
                self._eject(row, now_s, "latency far above its peers")

    def _is_slow(self, row: RunnerRow, peers: Sequence[RunnerRow]) -> bool:
        options = self._options.ejection
        if (
            row.health.state is not HealthState.HEALTHY
            or row.n_answers < options.slow_min_answers
            or pool_load(peers) > options.max_peer_load
        ):
            return False
        peers_ms = [peer.reported_ms for peer in peers]
        return is_outlier(row.reported_ms, peers_ms, options)

    # Choice of a runner.

    def choose(
        self,
        service: ServiceName,
        tried: Container[AgentId],
        now_s: float,
        may_probe: bool = False,
    ) -> RunnerRow | None:
        """Choose a runner for a call; None when there is none."""
        self._update_health(service, now_s)
        subset = [row for row in self._subset(service) if not row.draining]
        if not subset:
            return None
        usable = [row for row in subset if _is_usable(row, now_s)]
        untried = [row for row in usable if row.agent_id not in tried]
        probe_target = self._choose_probe_target(subset) if may_probe else None
        if probe_target is not None:
            return probe_target
        return self._apply_policy(untried or usable or subset)

    def choose_free(
        self, service: ServiceName, tried: Container[AgentId], now_s: float
    ) -> RunnerRow | None:
        """Choose an untried runner with a free slot; None when there is none."""
        rows = [
            row
            for row in self._subset(service)
            if not row.draining
            and row.agent_id not in tried
            and _is_usable(row, now_s)
            and row.has_free_slot()
        ]
        return self._apply_policy(rows) if rows else None

    def _choose_probe_target(self, subset: Sequence[RunnerRow]) -> RunnerRow | None:
        for row in subset:
            if (
                row.health.state is HealthState.PROBING
                and row.n_open == 0
                and self._rng.random() < self._options.ejection.probe_share
            ):
                return row
        return None

    def _apply_policy(self, rows: Sequence[RunnerRow]) -> RunnerRow:
        candidates = prefer_place(self._place, rows)
        self._n_calls += 1
        index = self._policy(RoutingContext(self._n_calls), candidates, self._rng)
        return candidates[index]


def _is_usable(row: RunnerRow, now_s: float) -> bool:
    return row.health.state is HealthState.HEALTHY and now_s >= row.damped_until_s


def _damping_key(hello: AgentHello) -> str:
    """Return the worker's id if there is one, as it outlives restarts of the agent."""
    return hello.worker_id or hello.agent_id
