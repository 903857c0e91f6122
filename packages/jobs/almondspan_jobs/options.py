"""Options of the jobs subsystem, with their defaults.

Limits that a platform sets, such as the lease and the retention of finished jobs, are
overridden from its settings; the others are the same on every platform.
"""

from dataclasses import dataclass

__all__ = ["JobOptions"]


@dataclass(frozen=True, slots=True)
class JobOptions:
    """Durations and limits of entries, the owner and agents."""

    # The worker's lease.
    lease_ms: int = 5_500
    """Duration of a lease from its renewal, on the worker's clock."""
    lease_step_ms: int = 400
    """A lease is renewed once it can be extended by this much."""
    clock_drift: float = 0.02
    """Share by which a worker's clock may run slower than the owner's."""
    lease_margin_s: float = 0.3
    unconfirmed_s: float = 9.0
    """Longest time from the owner's last confirmed ownership to the end of a lease."""

    # The agent.
    poll_wait_ms: int = 1_000
    """How long a poll waits at the worker for a task to end."""
    paced_poll_wait_ms: int = 400
    """The same while best-effort tasks share the worker with latency-critical tasks."""
    command_timeout_s: float = 0.4
    poll_timeout_s: float = 0.6
    """Added to the time that the poll itself waits."""
    poll_retry_s: float = 0.15
    departure_check_s: float = 5.0
    """How long a worker that is said to have left is watched until it is gone."""
    acknowledge_wait_s: float = 0.2
    """How long the next poll is delayed for listed ends to be acknowledged."""
    max_concurrent_commands: int = 12
    """How many starts, and how many stops, are under way at a worker at once."""
    trial_list_s: float = 0.35
    """When a worker is listed again after the start of a task on trial."""
    pace_interval_s: float = 0.3
    pace_repeat_s: float = 1.5

    # The owner.
    owner_ttl_s: float = 1.5
    owner_renewal_interval_s: float = 0.4
    confirm_interval_s: float = 1.0
    takeover_jitter_s: float = 0.1
    small_takeover_delay_s: float = 0.5
    """How long an entry that is too small for the fleet lets others take over first."""
    watch_wait_s: float = 4.0
    config_wait_s: float = 1.0
    retry_s: float = 0.1
    dial_timeout_s: float = 0.6
    dial_retry_s: float = 0.4
    relay_recheck_s: float = 2.0
    """How often a direct channel is tried while a relayed one is in use."""
    plan_delay_s: float = 0.003
    """Events within this time share one planning round."""
    tick_s: float = 0.2
    max_jobs_per_commit: int = 14
    max_writes_per_commit: int = 28
    """How many records a group has at most, besides the head."""
    max_bytes_per_commit: int = 256_000
    """Length of a group's records; a longer record goes alone."""
    command_resend_s: float = 0.6
    """A command without a visible effect is sent again after this."""
    late_command_s: float = 16.0
    """How long an unanswered command may still be executed."""
    listing_timeout_s: float = 1.6
    """A task that its worker has not listed for this long is revoked.

    Also the age at which a worker's latest listing is too old to place tasks there.
    """
    departure_grace_s: float = 0.5
    """Delay from a worker's report that it has left to the release of its tasks."""
    model_interval_s: float = 1.0
    """How often the interference weights are solved and sent to agents."""
    interference_store_interval_s: float = 3.0
    """Least time between two writes of the interference weights to the store."""
    observe_interval_s: float = 0.3
    """Least time between two observations of a worker's tail latencies."""
    stall_s: float = 1.5
    """A task without progress for this long is stalled."""
    best_effort_stall_s: float = 6.0
    best_effort_wait_s: float = 2.5
    """How long a best-effort task waits for a start that slows no serving task."""
    evacuation_limit_s: float = 0.0
    """Longest time from the request to evacuate a place to the last start there; 0 if
    there are no such requests."""
    evacuation_settle_s: float = 1.5
    """A request that stands for less than this moves no task."""
    evacuation_interval_s: float = 0.5
    """How often running tasks in evacuated places are judged."""
    finished_retention_s: float = 150.0
    """How long a finished job is kept in memory and in the store."""

    @property
    def cancellation_retention_s(self) -> float:
        """How long the cancellation of a job that was never stored is kept."""
        return max(self.finished_retention_s, 2 * self.late_write_s)

    # The entry.
    store_timeout_s: float = 1.2
    refused_write_retry_s: float = 0.3
    """How long a write that certainly had no effect is retried."""
    store_suspect_s: float = 1.2
    """After this long without an answer the store is probed before a write is sent."""
    probe_timeout_s: float = 0.25
    probe_interval_s: float = 0.4
    uncertain_write_retry_s: float = 1.2
    """How long a write that may have taken effect is retried."""
    late_write_s: float = 30.0
    """How long an unanswered write may still take effect."""
    answer_margin_s: float = 0.4
    """How long before the caller's deadline an answer is sent."""
    ask_timeout_s: float = 0.5
    admission_interval_s: float = 0.5
    """How often an entry asks the owner for the figures of the admission."""
    admission_reserve_s: float = 0.8
    """Time that is left to write a job after waiting for the reason to reject it."""
    slow_write_s: float = 0.25
    """An entry with a write that is unanswered for longer is not settled."""
    max_payload_bytes: int = 4_000
    max_value_bytes: int = 1_000_000
    """The longest value that the store takes."""
    max_tasks_per_job: int = 5_000
    retry_after_ms: int = 500
