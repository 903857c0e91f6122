"""Interference weights of pairs of images that never ran together."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspan_decisions.best_effort_pacing import HARMLESS_WEIGHT
from almondspan_decisions.interference_rows import Image, InterferenceRow
from almondspan_decisions.tail_latency_model import (
    UNKNOWN_UPPER,
    UNKNOWN_WEIGHT,
    TailLatencyModel,
)
from almondspan_decisions.weight_prediction import predict_weights

HEAVY, LIGHT = 7.0, 0.8
KNOWN_VARIANCE = 0.2
N_BEST_EFFORT = 6
GROUPS = {"a1": 0, "a2": 0, "a3": 0, "b1": 1, "b2": 1, "b3": 1}
"""Serving images by group; group 0 is sensitive to the first best-effort images."""


def image_of(number: int) -> Image:
    return Image(f"best-effort{number}")


def weight_of(serving: str, number: int) -> float:
    return HEAVY if (number < N_BEST_EFFORT // 2) == (GROUPS[serving] == 0) else LIGHT


def row(serving: str, number: int, weight: float | None = None) -> InterferenceRow:
    found = weight_of(serving, number) if weight is None else weight
    return InterferenceRow(Image(serving), image_of(number), found, KNOWN_VARIANCE)


def rows_without(*unseen: tuple[str, int]) -> list[InterferenceRow]:
    return [
        row(serving, number)
        for serving in GROUPS
        for number in range(N_BEST_EFFORT)
        if (serving, number) not in unseen
    ]


def loaded(rows: list[InterferenceRow]) -> TailLatencyModel:
    model = TailLatencyModel()
    model.load(rows, {})
    return model


@pytest.mark.parametrize(
    ("serving", "number", "is_heavy"),
    [
        pytest.param("a1", 0, True, id="heavy_in_its_group"),
        pytest.param("a1", 5, False, id="light_in_its_group"),
        pytest.param("b2", 4, True, id="heavy_in_the_other_group"),
        pytest.param("b2", 0, False, id="light_in_the_other_group"),
    ],
)
def test_unseen_pair_gets_the_weight_of_its_group(
    serving: str, number: int, is_heavy: bool
) -> None:
    """Guards against the fixed prior for pairs that others tell much about."""
    weights = loaded(rows_without((serving, number))).weights()
    pair = Image(serving), image_of(number)
    if is_heavy:
        assert weights.weight(*pair) > 0.8 * HEAVY
    else:
        assert weights.weight(*pair) < 2 * HARMLESS_WEIGHT
        assert weights.upper(*pair) < UNKNOWN_WEIGHT


def test_few_observations_of_an_image_suffice() -> None:
    """A new serving image was observed beside two best-effort images only."""
    unseen = [("a3", number) for number in (1, 2, 4, 5)]
    weights = loaded(rows_without(*unseen)).weights()
    heavy = [weights.weight(Image("a3"), image_of(number)) for number in (1, 2)]
    light = [weights.weight(Image("a3"), image_of(number)) for number in (4, 5)]
    assert min(heavy) > 5.0
    assert max(light) < 3.0


def test_prediction_is_cautious_after_one_agreement() -> None:
    weights = loaded([row("a1", 4), row("a1", 5), row("a2", 4)]).weights()
    assert weights.upper(Image("a2"), image_of(5)) > UNKNOWN_WEIGHT


def test_pair_without_evidence_keeps_the_prior() -> None:
    weights = loaded([row("a1", 0)]).weights()
    assert weights.weight(Image("a1"), image_of(5)) == UNKNOWN_WEIGHT
    assert weights.upper(Image("other"), image_of(0)) == UNKNOWN_UPPER


def test_uncertain_pair_is_corrected_by_its_group() -> None:
    uncertain = InterferenceRow(Image("a1"), image_of(5), 2.5, 8.0)
    weights = loaded([*rows_without(("a1", 5)), uncertain]).weights()
    assert weights.weight(Image("a1"), image_of(5)) < 2 * HARMLESS_WEIGHT


def test_certain_pair_keeps_its_weight_against_its_group() -> None:
    rows = [*rows_without(("a1", 5)), row("a1", 5, HEAVY)]
    weights = loaded(rows).weights()
    assert weights.weight(Image("a1"), image_of(5)) == pytest.approx(HEAVY, rel=0.1)


def test_next_owner_predicts_the_same() -> None:
    first = loaded(rows_without(("a1", 0), ("b1", 0)))
    second = loaded(first.latest_rows(100))
    assert second.weights().weights == first.weights().weights


IMAGES = st.integers(0, 5)
ROWS = st.dictionaries(
    st.tuples(IMAGES, IMAGES),
    st.tuples(st.floats(-20.0, 30.0), st.floats(0.0, 30.0)),
    max_size=36,
)


@given(ROWS)
def test_predictions_are_bounded_and_repeatable(
    known: dict[tuple[int, int], tuple[float, float]],
) -> None:
    rows = [
        InterferenceRow(Image(f"s{serving}"), image_of(number), *estimate)
        for (serving, number), estimate in known.items()
    ]
    prediction = predict_weights(rows)
    completed = prediction.rows
    assert prediction == predict_weights(rows)
    assert all(0.0 <= share <= 1.0 for share in prediction.alike.values())
    weights = [found.weight for found in completed]
    lowest = min([0.0, *(found.weight for found in rows)])
    highest = max([10.0, *(found.weight for found in rows)])
    assert all(lowest - 25.0 <= weight <= highest + 25.0 for weight in weights)
    assert all(found.variance >= 0.0 for found in completed)
    assert len({(one.serving, one.best_effort_image) for one in completed}) == len(
        completed
    )
