"""Merges the statistics of several processes into the burn of a service.

Call counts are summed per window and latency histograms per bucket, so the merged
tail latency is as accurate as that of a single process. The slowdown of a pair is
the mean over the processes, weighted by their number of observations.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from almondspan_admin.burn_messages import PairEvidence, ServiceEvidence
from almondspan_admin.fleet_view import (
    AlertBurn,
    InterferingPair,
    LatencyBucket,
    ServiceBurn,
    WindowBurn,
)
from almondspan_decisions.burn import (
    BURN_WINDOWS_S,
    CallCounts,
    alert_states,
    burn_rate,
)
from almondspan_decisions.fleet import ServiceConfig
from almondspan_decisions.ids import TaskClass
from almondspan_decisions.latency_sketch import LatencySketch, bucket_value

__all__ = ["merge_burn"]

N_PAIRS: Final = 10
"""How many pairs are reported, in order of decreasing slowdown."""


def merge_burn(
    service: ServiceConfig, evidence: Sequence[ServiceEvidence], n_missing: int
) -> ServiceBurn:
    """Return the burn of a service.

    Parameters
    ----------
    service : ServiceConfig
    evidence : Sequence[ServiceEvidence]
        The statistics of each process; those of other services are ignored.
    n_missing : int
        How many processes were queried and did not answer.
    """
    reports = [report for report in evidence if report.service == service.name]
    counts = _merge_windows(reports)
    sketch = _merge_sketches(reports)
    share = service.objective_share
    longest = counts[max(BURN_WINDOWS_S)]
    return ServiceBurn(
        service=service.name,
        objective_latency_ms=service.objective_latency_ms,
        objective_share=share,
        p50_ms=sketch.quantile(0.5),
        p99_ms=sketch.quantile(0.99),
        p999_ms=sketch.quantile(0.999),
        budget_spent_share=burn_rate(longest, share),
        windows=tuple(
            WindowBurn(window_s, burn_rate(count, share), count.n_calls, count.n_missed)
            for window_s, count in sorted(counts.items())
        ),
        alerts=_alerts(counts, share),
        latencies=tuple(
            LatencyBucket(bucket_value(index), n_calls)
            for index, n_calls in sketch.pairs()
        ),
        n_throttles=sum(report.n_throttles for report in reports),
        n_checkpoints=sum(report.n_checkpoints for report in reports),
        n_evictions=sum(report.n_evictions for report in reports),
        pairs=_merge_pairs(pair for report in reports for pair in report.pairs),
        n_reporting=len(reports),
        n_missing=n_missing,
    )


def _merge_windows(evidence: Iterable[ServiceEvidence]) -> dict[float, CallCounts]:
    counts = {window_s: CallCounts() for window_s in BURN_WINDOWS_S}
    for report in evidence:
        for window in report.windows:
            if window.window_s in counts:
                counts[window.window_s] += CallCounts(window.n_calls, window.n_missed)
    return counts


def _merge_sketches(evidence: Iterable[ServiceEvidence]) -> LatencySketch:
    merged = LatencySketch()
    for report in evidence:
        sketch = LatencySketch.decode(report.sketch)
        if sketch is not None:
            merged.merge(sketch)
    return merged


def _alerts(counts: dict[float, CallCounts], share: float) -> tuple[AlertBurn, ...]:
    return tuple(
        AlertBurn(
            severity=state.rule.severity.value,
            short_s=state.rule.short_s,
            long_s=state.rule.long_s,
            threshold=state.rule.burn_rate,
            short_burn_rate=state.short_burn_rate,
            long_burn_rate=state.long_burn_rate,
            firing=state.firing,
        )
        for state in alert_states(counts, share)
    )


def _merge_pairs(pairs: Iterable[PairEvidence]) -> tuple[InterferingPair, ...]:
    sums: dict[TaskClass, tuple[float, int]] = {}
    for pair in pairs:
        total, n_observations = sums.get(pair.task_class, (0.0, 0))
        sums[pair.task_class] = (
            total + pair.slowdown * pair.n_observations,
            n_observations + pair.n_observations,
        )
    merged = [
        InterferingPair(task_class, total / n_observations, n_observations)
        for task_class, (total, n_observations) in sums.items()
        if n_observations > 0
    ]
    merged.sort(key=lambda pair: (-pair.slowdown, pair.task_class))
    return tuple(merged[:N_PAIRS])
