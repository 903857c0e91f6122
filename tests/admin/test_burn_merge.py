"""Statistics of several processes are merged without loss of accuracy."""

import random

import pytest

from almondspan_admin.burn_merge import merge_burn
from almondspan_admin.burn_messages import (
    BurnAnswer,
    PairEvidence,
    ServiceEvidence,
    WindowCounts,
)
from almondspan_decisions.burn import BURN_WINDOWS_S
from almondspan_decisions.fleet import ServiceConfig
from almondspan_decisions.latency_sketch import RELATIVE_ERROR, LatencySketch
from almondspan_wire.codec import decode, encode

CLIPS = ServiceConfig("clips", objective_latency_ms=100, objective_share=0.99)


def evidence(service="clips", counts=None, latencies=(), pairs=(), **fields):
    sketch = LatencySketch()
    for latency in latencies:
        sketch.add(latency)
    windows = tuple(WindowCounts(w, *counts) for w in BURN_WINDOWS_S) if counts else ()
    return ServiceEvidence(
        service,
        windows,
        sketch.encode(),
        pairs=tuple(PairEvidence(*pair) for pair in pairs),
        **fields,
    )


@pytest.mark.parametrize(
    ("counts", "burn", "firing"),
    [
        pytest.param([(1000, 0), (1000, 0)], 0.0, [], id="quiet"),
        pytest.param([(1000, 0), (1000, 30)], 1.5, ["ticket"], id="over the budget"),
        pytest.param([(1000, 0), (0, 0)], 0.0, [], id="one without calls"),
        pytest.param([], 0.0, [], id="no process"),
        pytest.param(
            [(1000, 50), (1000, 100)], 7.5, ["page", "ticket"], id="burns fast"
        ),
        pytest.param(
            [(10, 10), (30, 30)], 100.0, ["page", "page", "ticket"], id="all missed"
        ),
    ],
)
def test_window_counts_are_summed(counts, burn, firing):
    merged = merge_burn(CLIPS, [evidence(counts=one) for one in counts], n_missing=2)
    assert {round(one.burn_rate, 6) for one in merged.windows} == {burn}
    assert merged.budget_spent_share == pytest.approx(burn)
    assert [one.severity for one in merged.alerts if one.firing] == firing
    assert (merged.n_reporting, merged.n_missing) == (len(counts), 2)


def test_latency_quantiles_of_many_processes():
    rng = random.Random(3)
    latencies = [rng.lognormvariate(3, 1) for _ in range(5000)]
    parts = [evidence(latencies=latencies[first::7]) for first in range(7)]
    merged = merge_burn(CLIPS, parts, 0)
    exact = sorted(latencies)
    assert merged.p99_ms == pytest.approx(exact[4949], rel=RELATIVE_ERROR)
    assert merged.p999_ms == pytest.approx(exact[4994], rel=RELATIVE_ERROR)
    assert sum(one.n_calls for one in merged.latencies) == 5000


def test_pair_slowdowns_are_weighted_by_observations():
    parts = [
        evidence(pairs=[("align", 2.0, 30), ("cut", 1.1, 5)]),
        evidence(pairs=[("align", 1.0, 10), ("idle", 9.0, 0)]),
    ]
    merged = merge_burn(CLIPS, parts, 0)
    assert [(p.task_class, p.slowdown, p.n_observations) for p in merged.pairs] == [
        ("align", 1.75, 40),
        ("cut", 1.1, 5),
    ]


def test_other_services_and_invalid_sketches_are_ignored():
    parts = [evidence("mains", (10, 10)), ServiceEvidence("clips", (), b"\xff")]
    merged = merge_burn(CLIPS, parts, 0)
    assert (merged.n_reporting, merged.p99_ms) == (1, 0.0)
    assert all(one.n_calls == 0 for one in merged.windows)


def test_answer_round_trips_through_the_codec():
    answer = BurnAnswer(7, (evidence(counts=(5, 1), latencies=[3.0], n_evictions=2),))
    assert decode(encode(answer)) == answer
