"""Options of agents, shard owners and shard clients, with their defaults.

``horizon_s`` is H: how long an attempt may run after the send time of its last
answered renewal. Agents and owners must be given the same value.
"""

from dataclasses import dataclass

from almondspan_decisions.shapes import EMPTY_SHAPE, Shape

__all__ = ["ShardClientOptions", "AttemptAgentOptions", "OwnerOptions"]


@dataclass(frozen=True, slots=True)
class AttemptAgentOptions:
    """Options of an `AttemptAgent`.

    ``call_bound_s`` is the time after which a call to the worker has taken effect or
    never will. ``rest_n_tasks`` different tasks that fail within ``rest_window_s``
    rest the worker for ``rest_s``. ``headroom`` is free capacity that only urgent
    work may use.
    """

    horizon_s: float = 60.0
    renew_interval_s: float = 5.0
    poll_interval_s: float = 0.25
    report_interval_s: float = 2.0
    call_bound_s: float = 2.0
    retry_s: float = 0.5
    drain_timeout_s: float = 30.0
    rest_n_tasks: int = 5
    rest_window_s: float = 300.0
    rest_s: float = 60.0
    headroom: Shape = EMPTY_SHAPE


@dataclass(frozen=True, slots=True)
class OwnerOptions:
    """Options of a `ShardHost` and its owners.

    ``drift_margin_s`` covers clock drift over the horizon and the time within which
    a call to a worker may still take effect. An owner commits at least every
    ``heartbeat_interval_s``; a head unchanged for ``silence_s`` is taken over. A
    commit waits ``linger_s`` for further deltas. ``max_placements`` bounds the
    placements that run at a time, ``starts_per_s`` their rate. ``gc_interval_s`` is
    the interval at which unreferenced chunks are deleted. ``answer_kept_s`` and
    ``claim_kept_s`` are the retention periods of ended jobs and of claims.
    """

    horizon_s: float = 60.0
    drift_margin_s: float = 4.0
    heartbeat_interval_s: float = 1.5
    silence_s: float = 3.5
    linger_s: float = 0.02
    min_commit_interval_s: float = 0.25
    tail_limit_bytes: int = 2_048
    chunk_limit_bytes: int = 900_000
    merge_n_chunks: int = 8
    compact_min_bytes: int = 65_536
    gc_interval_s: float = 300.0
    store_retry_s: float = 0.25
    store_retry_max_s: float = 2.0
    tick_s: float = 0.25
    max_placements: int = 8
    n_candidates: int = 3
    find_timeout_s: float = 2.0
    reserve_timeout_s: float = 1.0
    preemption_timeout_s: float = 3.0
    reservation_ttl_s: float = 10.0
    start_retry_s: float = 1.0
    capacity_retry_s: float = 0.25
    backoff_s: float = 1.0
    backoff_max_s: float = 30.0
    starts_per_s: float = 20.0
    infeasible_n_checks: int = 4
    infeasible_after_s: float = 10.0
    infeasible_min_workers: int = 3
    quarantine_n_workers: int = 3
    answer_kept_s: float = 3_600.0
    claim_kept_s: float = 86_400.0
    max_jobs: int = 20_000
    max_claims: int = 50_000
    max_job_bytes: int = 262_144
    max_result_bytes: int = 262_144
    page_jobs: int = 500
    usage_interval_s: float = 5.0


@dataclass(frozen=True, slots=True)
class ShardClientOptions:
    """Options of a `ShardClient`.

    A request is repeated about every ``repeat_s`` until it is answered, for at most
    ``timeout_s``.
    """

    timeout_s: float = 5.0
    repeat_s: float = 0.5
    batch_jobs: int = 64
    batch_bytes: int = 1_000_000
