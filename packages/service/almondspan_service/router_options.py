"""Settings of an entry's router."""

from dataclasses import dataclass, field

from almondspan_service.ejection import EjectionOptions
from almondspan_service.flap_damping import DampingOptions

__all__ = ["RouterOptions"]


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """Limits and time-outs of a `ServiceRouter`.

    ``answer_window_bytes`` bounds the part of an answer buffered for a slow caller.
    ``late_outcome_wait_s`` is how long the router waits for the outcome of a
    non-idempotent call after its caller was answered or disconnected.
    ``recovery_wait_s`` is how long a call waits for an agent to reconnect.
    ``claim_settle_wait_s`` bounds how long a drain waits for outcomes to be recorded.
    A runner's reported latency is ignored after ``latency_stale_after_s`` without a
    call to it.
    """

    default_timeout_ms: float = 2000.0
    max_timeout_ms: float = 3_600_000.0
    answer_window_bytes: int = 128 * 1024
    chunk_bytes: int = 32 * 1024
    max_attempts: int = 4
    retry_share: float = 0.2
    retry_burst: float = 10.0
    retry_base_s: float = 0.002
    retry_max_s: float = 0.1
    disconnect_check_s: float = 0.25
    late_outcome_wait_s: float = 30.0
    recovery_wait_s: float = 3.0
    claim_settle_wait_s: float = 5.0
    max_kept_result_bytes: int = 1024
    subset_size: int = 16
    max_in_flight: int = 4096
    slow_start_s: float = 10.0
    latency_stale_after_s: float = 5.0
    hedge_quantile: float = 0.9
    hedge_period_s: float = 15.0
    hedge_min_calls: int = 50
    hedge_min_delay_ms: float = 2.0
    ejection: EjectionOptions = field(default_factory=EjectionOptions)
    damping: DampingOptions = field(default_factory=DampingOptions)
