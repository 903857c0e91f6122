"""Compares the medians of measured figures over seeds with the targets."""

import statistics
from collections.abc import Iterable
from typing import Final

__all__ = ["print_targets"]

BASELINES: Final = ("least_loaded", "random", "round_robin", "static_partition")
WORK_CONSERVING: Final = ("least_loaded", "random", "round_robin")

Runs = dict[str, list[dict[str, float]]]


def median(runs: Runs, policy: str, column: str) -> float | None:
    """Return a median, None if the policy was not measured."""
    if policy not in runs:
        return None
    return statistics.median(run[column] for run in runs[policy])


def best(runs: Runs, policies: Iterable[str], column: str) -> float | None:
    """Return the highest median of the measured policies."""
    found = [median(runs, policy, column) for policy in policies]
    known = [value for value in found if value is not None]
    return max(known, default=None)


def ratio(value: float | None, base: float | None) -> float | None:
    return None if value is None or not base else value / base


def print_targets(figures: dict[str, Runs]) -> None:
    """Print each target with the measured value and whether it was met."""
    print("\ntargets (medians over seeds)")
    for mix_name, runs in figures.items():
        own_work = median(runs, "almondspan", "work_cores")
        evictions = median(runs, "almondspan", "evictions")
        naive = median(runs, "naive_eviction", "evictions")
        if mix_name == "archive":
            peak = median(runs, "almondspan", "crest_p99_ms")
            alone = median(runs, "no_batch", "crest_p99_ms")
            show(mix_name, "peak p99 over no batch", ratio(peak, alone), 1.3, True)
            work = best(runs, BASELINES, "work_cores")
            show(mix_name, "work over best baseline", ratio(own_work, work), 0.8)
        else:
            work = best(runs, WORK_CONSERVING, "work_cores")
            show(mix_name, "work over work-conserving", ratio(own_work, work), 0.95)
            wait = median(runs, "almondspan", "short_wait_p99_s")
            fifo = median(runs, "least_loaded", "short_wait_p99_s")
            show(mix_name, "short wait p99 over FIFO", ratio(wait, fifo), 0.2, True)
        show(mix_name, "evictions over naive", ratio(evictions, naive), 0.1, True)
        violations = sum(run["violations"] for each in runs.values() for run in each)
        show(mix_name, "violations", violations, 0.0, True)


def show(
    mix_name: str,
    name: str,
    value: float | None,
    limit: float,
    at_most: bool = False,
) -> None:
    bound = f"{'at most' if at_most else 'at least'} {limit:g}"
    if value is None:
        print(f"  {mix_name:12} {name:28} not measured, wanted {bound}")
        return
    is_met = value <= limit if at_most else value >= limit
    verdict = "met" if is_met else "MISSED"
    print(f"  {mix_name:12} {name:28} {value:8.3f}, wanted {bound}: {verdict}")
