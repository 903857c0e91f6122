"""A process never reverts to an earlier configuration."""

import pytest
from admin_api import FLEET
from hypothesis import given
from hypothesis import strategies as st

from almondspan_admin.active_config import ActiveConfig
from almondspan_wire.membership import ConfigPush


def push(revision, toml=FLEET):
    return ConfigPush(revision=revision, toml=toml.encode())


@pytest.mark.parametrize(
    ("pushes", "accepted", "revision"),
    [
        pytest.param([push(1)], [True], 1, id="first"),
        pytest.param([push(0)], [False], 0, id="nothing"),
        pytest.param([push(2), push(2)], [True, False], 2, id="repeated"),
        pytest.param([push(3), push(2)], [True, False], 3, id="overtaken"),
        pytest.param([push(1), push(9)], [True, True], 9, id="gap"),
        pytest.param([push(1), push(2, "[")], [True, False], 1, id="no TOML"),
        pytest.param(
            [push(1), push(2, FLEET + "[new_section]\nkey = 1")],
            [True, True],
            2,
            id="a newer release's section",
        ),
        pytest.param(
            [push(1), push(2, "[[teams]]\nname = 3")], [True, False], 1, id="wrong type"
        ),
    ],
)
def test_accept(pushes, accepted, revision):
    active_config = ActiveConfig()
    assert [active_config.accept(one) for one in pushes] == accepted
    assert active_config.revision == revision
    assert active_config.fleet.revision == revision


@given(st.lists(st.integers(0, 12), max_size=40))
def test_pushes_in_any_order(revisions):
    active_config = ActiveConfig()
    seen = []
    for revision in revisions:
        is_newer = revision > max(seen, default=0)
        assert active_config.accept(push(revision, "")) == is_newer
        seen.append(revision)
        assert active_config.revision == max(seen)
    assert active_config.n_refused_old == len(revisions) - len(
        set(_running_maxima(revisions))
    )


def _running_maxima(revisions):
    highest = 0
    for revision in revisions:
        if revision > highest:
            highest = revision
            yield revision
