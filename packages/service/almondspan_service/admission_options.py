"""Settings of the gate in front of a runner."""

from dataclasses import dataclass

__all__ = ["AdmissionOptions"]


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Limits and times of a `RunnerGate`.

    ``n_connections`` bounds the calls that are held, running and queued together.
    ``run_limit_s`` ends a call that is not idempotent and outlives its deadline.
    ``kept_answer_bytes`` bounds the body of an answer kept for an entry that left.
    """

    n_slots: int = 8
    n_connections: int = 64
    connect_timeout_s: float = 1.0
    chunk_bytes: int = 32 * 1024
    max_whole_answer_bytes: int = 64 * 1024
    run_limit_s: float = 600.0
    max_kept_answer_bytes: int = 64 * 1024
    n_kept_answers: int = 64
    n_remembered_calls: int = 8192
    n_remembered_entries: int = 256
    objective_latency_ms: float = 200.0
    objective_share: float = 0.99
    burn_window_s: float = 5.0
    tail_share: float = 0.99
    tail_period_s: float = 5.0
    tail_min_calls: int = 20
    initial_run_s: float = 0.01
