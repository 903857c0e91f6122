"""Settings of an agent's admission to a runner."""

from dataclasses import dataclass

__all__ = ["AdmissionOptions"]


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Limits and time-outs of a `RunnerAdmission`.

    ``n_connections`` bounds the running and queued calls together. ``run_limit_s``
    bounds the run of a non-idempotent call, which may outlive its deadline. Answers
    up to ``max_whole_answer_bytes`` are sent in one message. Answers to non-idempotent
    calls that are streamed are kept up to ``max_kept_answer_bytes``.
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
