"""Options of jobs, with their defaults.

The bounds that a platform sets (lease, stop, drain, retention) come from its settings;
the others are the product's own.
"""

from dataclasses import dataclass

__all__ = ["JobOptions"]


@dataclass(frozen=True, slots=True)
class JobOptions:
    """Times and limits of entries, the owner and agents."""

    # The worker's lease.
    lease_ms: int = 5_500
    """Length of a renewal, on the worker's clock."""
    lease_step_ms: int = 400
    """A lease is renewed once it can grow by this."""
    clock_drift: float = 0.02
    """A worker's clock may be slower than ours by this share."""
    lease_margin_s: float = 0.3
    unconfirmed_s: float = 9.0
    """Leases never reach further than this past the owner's last proof of ownership."""

    # The agent.
    poll_wait_ms: int = 1_000
    """A look waits this long for an end."""
    paced_poll_wait_ms: int = 400
    """The same while tasks that fill run beside tasks with a tail target."""
    command_timeout_s: float = 0.4
    poll_timeout_s: float = 0.6
    """Beyond the time that the look itself waits."""
    poll_retry_s: float = 0.15
    acknowledge_wait_s: float = 0.2
    """After ends were listed, the next look waits so long for them to be noted."""
    max_concurrent_commands: int = 12
    pace_interval_s: float = 0.3
    pace_repeat_s: float = 1.5

    # The owner.
    owner_ttl_s: float = 1.5
    owner_renewal_interval_s: float = 0.4
    confirm_interval_s: float = 1.0
    takeover_jitter_s: float = 0.1
    watch_wait_s: float = 4.0
    config_wait_s: float = 1.0
    retry_s: float = 0.1
    dial_timeout_s: float = 0.6
    dial_retry_s: float = 0.4
    relay_recheck_s: float = 2.0
    """Beside a channel through an agent, a direct one is tried this often."""
    plan_delay_s: float = 0.003
    """Events within this time are planned together."""
    tick_s: float = 0.2
    max_jobs_per_commit: int = 14
    command_resend_s: float = 0.6
    """An order without a sign of effect is sent again."""
    late_command_s: float = 16.0
    """An order without an answer may be carried out until then."""
    listing_timeout_s: float = 1.6
    """A task placed so long ago that its worker does not list is made void."""
    departure_grace_s: float = 0.5
    """A worker that said it has left is taken as empty after this."""
    model_interval_s: float = 1.0
    """How often the weights of tasks that fill are solved and sent to agents."""
    interference_store_interval_s: float = 3.0
    """The weights are stored with a group of decisions at most this often."""
    observe_interval_s: float = 0.3
    """A worker's tails are observed at most this often."""
    stall_s: float = 1.5
    """A task whose progress does not rise for this long stands still."""
    best_effort_stall_s: float = 6.0
    best_effort_wait_s: float = 2.5
    """A task that fills waits this long for a start that harms no serving task."""
    finished_retention_s: float = 150.0
    """A finished job is forgotten after this."""

    # The entry.
    store_timeout_s: float = 1.2
    refused_write_retry_s: float = 0.3
    """A write that was refused for certain is tried again for this long."""
    store_suspect_s: float = 1.2
    """A store silent for this long is asked a question before it is sent a write."""
    probe_timeout_s: float = 0.25
    probe_interval_s: float = 0.4
    uncertain_write_retry_s: float = 1.2
    """A write that may have taken effect is tried again for this long."""
    late_write_s: float = 30.0
    """A write without an answer may take effect until then."""
    answer_margin_s: float = 0.4
    """An answer leaves this long before its caller stops waiting."""
    ask_timeout_s: float = 0.5
    max_payload_bytes: int = 4_000
    max_tasks_per_job: int = 5_000
    retry_after_ms: int = 500
