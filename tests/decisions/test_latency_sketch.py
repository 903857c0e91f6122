"""Latency sketch: error bound, lossless merging, encoding."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspan_decisions.latency_sketch import RELATIVE_ERROR, LatencySketch

VALUES = st.lists(st.floats(0.001, 1e8), min_size=1, max_size=200)


def sketch_of(values: list[float]) -> LatencySketch:
    sketch = LatencySketch()
    for value in values:
        sketch.add(value)
    return sketch


@given(VALUES, st.floats(0.0, 1.0))
def test_quantiles_stay_within_the_error(values: list[float], share: float) -> None:
    exact = sorted(values)[max(1, math.ceil(share * len(values))) - 1]
    found = sketch_of(values).quantile(share)
    assert abs(found - exact) <= RELATIVE_ERROR * exact * 1.0001


@given(VALUES, VALUES, VALUES)
def test_merge_is_lossless_in_any_order(
    first: list[float], second: list[float], third: list[float]
) -> None:
    merged = sketch_of(third)
    merged.merge(sketch_of(first))
    merged.merge(sketch_of(second))
    assert merged == sketch_of(first + second + third)
    assert merged.n_values == len(first) + len(second) + len(third)


@given(VALUES)
def test_decode_inverts_encode(values: list[float]) -> None:
    sketch = sketch_of(values)
    assert LatencySketch.decode(sketch.encode()) == sketch
    assert LatencySketch(sketch.pairs()) == sketch


@given(st.binary(max_size=40))
def test_decoding_any_bytes_never_raises(data: bytes) -> None:
    sketch = LatencySketch.decode(data)
    assert sketch is None or sketch.n_values >= 0


def test_size_is_bounded() -> None:
    sketch = LatencySketch()
    for exponent in range(-400, 400):
        for step in range(10):
            sketch.add((1 + step / 10) * 2.0**exponent)
    assert len(sketch.pairs()) < 1_300
    assert len(sketch.encode()) < 4_000


@pytest.mark.parametrize(
    ("limit", "share"),
    [
        pytest.param(5.0, 0.0, id="below all"),
        pytest.param(10.0, 0.25, id="at a value"),
        pytest.param(50.0, 0.75, id="between"),
        pytest.param(1e9, 1.0, id="above all"),
    ],
)
def test_share_within(limit: float, share: float) -> None:
    sketch = sketch_of([10.0, 20.0, 40.0, 80.0])
    assert sketch.share_within(limit) == share


def test_mean_above_ignores_lower_values() -> None:
    assert sketch_of([1.0, 2.0, 100.0, 300.0]).mean_above(10.0) == pytest.approx(
        200.0, rel=RELATIVE_ERROR
    )
