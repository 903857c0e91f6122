"""Parsing of configuration text, the canonical document, and differences."""

import dataclasses
from datetime import UTC, timedelta, timezone

import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_diff import clashing_keys, diff_fleets
from almondspan_decisions.fleet_document import (
    ConfigFaults,
    fleet_document,
    parse_fleet,
    records_digest,
)
from almondspan_decisions.fleet_rules import FIELD_RULES

DIGEST = "ab" * 32
TEXT = f"""
[[services]]
name = "clips"
objective_latency_ms = 150
[[teams]]
name = "archive"
quota_share = 0.5
token_sha256 = "{DIGEST}"
operator = true
[[task_classes]]
name = "cut"
cpu_millicores = 500
memory_mb = 256
[[orders]]
name = "return"
team = "archive"
deadline = 2026-12-20T08:00:00Z
stages = ["cut"]
[policies]
queue = "fifo"
"""
POLICIES = {"queue": {"fifo", "urgent_first"}}


def test_valid_text():
    fleet = parse_fleet(TEXT, policies=POLICIES)
    assert isinstance(fleet, FleetConfig)
    assert fleet.orders[0].deadline_unix_s == 1_797_753_600.0
    assert fleet.policies.queue == "fifo"
    assert fleet.services[0].objective_latency_ms == 150.0


def change(old, new):
    assert old in TEXT
    return TEXT.replace(old, new)


@pytest.mark.parametrize(
    ("text", "key", "value", "allowed"),
    [
        pytest.param("[[", "(text)", "", "TOML", id="no TOML"),
        pytest.param(
            "a = " + "[" * 5000, "(text)", "nested too deeply", "tables", id="deep"
        ),
        pytest.param(b"\xff", "(text)", "utf-8", "UTF-8", id="no text"),
        pytest.param("a = " + "9" * 5000, "(text)", "4300", "TOML", id="digits"),
        pytest.param(
            TEXT + "[polices]",
            "polices",
            "(unknown key)",
            "mean policies",
            id="section",
        ),
        pytest.param(
            change("quota_share", "quota"),
            "teams.archive.quota",
            "(unknown key)",
            "mean quota_share",
            id="unknown key",
        ),
        pytest.param(
            change("quota_share = 0.5", ""),
            "teams.archive.quota_share",
            "(missing)",
            "share above 0",
            id="missing key",
        ),
        pytest.param(
            change("0.5", '"50%"'),
            "teams.archive.quota_share",
            "50%",
            "share",
            id="unit",
        ),
        pytest.param(
            change("0.5", "1.5"),
            "teams.archive.quota_share",
            "1.5",
            "most 1",
            id="range",
        ),
        pytest.param(
            change("0.5", "nan"), "teams.archive.quota_share", "NaN", "share", id="nan"
        ),
        pytest.param(
            change("0.5", "true"),
            "teams.archive.quota_share",
            "true",
            "share",
            id="flag",
        ),
        pytest.param(
            change(DIGEST, "my secret token"),
            "teams.archive.token_sha256",
            "(hidden)",
            "SHA-256",
            id="token instead of its digest",
        ),
        pytest.param(
            change("operator = true", ""),
            "teams",
            "(no operator)",
            "one",
            id="lock-out",
        ),
        pytest.param(
            change("operator = true", "operator = 1"),
            "teams.archive.operator",
            "1",
            "true or false",
            id="number for a flag",
        ),
        pytest.param(
            change('name = "archive"', 'name = "The Archive"'),
            "teams.The Archive.name",
            "The Archive",
            "a-z",
            id="bad name",
        ),
        pytest.param(
            change("2026-12-20T08:00:00Z", "2026-12-20T08:00:00"),
            "orders.return.deadline",
            "2026-12-20 08:00:00",
            "with its zone",
            id="time without zone",
        ),
        pytest.param(
            change("2026-12-20T08:00:00Z", "1797753600"),
            "orders.return.deadline",
            "1797753600",
            "date",
            id="number for a time",
        ),
        pytest.param(
            change('team = "archive"', 'team = "archives"'),
            "orders.return.team",
            "archives",
            "[[teams]]",
            id="unknown team",
        ),
        pytest.param(
            change('["cut"]', '["cut", "send"]'),
            "orders.return.stages",
            "send",
            "[[task_classes]]",
            id="unknown stage",
        ),
        pytest.param(
            change('["cut"]', "[]"), "orders.return.stages", "[]", "one", id="no stage"
        ),
        pytest.param(
            change("memory_mb = 256", "memory_mb = 256.5"),
            "task_classes.cut.memory_mb",
            "256.5",
            "whole",
            id="fraction",
        ),
        pytest.param(
            TEXT.replace(
                "[policies]", TEXT[TEXT.index("[[task") : TEXT.index("[[ord")]
            ).replace('queue = "fifo"', ""),
            "task_classes.cut.name",
            "cut",
            "no other",
            id="name twice",
        ),
        pytest.param(
            TEXT.replace(
                "[[task_classes]]",
                f'[[teams]]\nname="w"\nquota_share=1\ntoken_sha256="{DIGEST}"\n'
                "[[task_classes]]",
            ),
            "teams.w.token_sha256",
            "(hidden)",
            "other than that of team archive",
            id="one token for two teams",
        ),
        pytest.param(
            change('"fifo"', '"lifo"'),
            "policies.queue",
            "lifo",
            "fifo, urgent_first",
            id="unknown policy",
        ),
        pytest.param("teams = 3", "teams", "3", "[[teams]]", id="no tables"),
        pytest.param("teams = [3]", "teams.0", "3", "a table", id="no table"),
    ],
)
def test_fault(text, key, value, allowed):
    found = parse_fleet(text, policies=POLICIES)
    assert isinstance(found, ConfigFaults)
    by_key = {fault.key: fault for fault in found.faults}
    assert key in by_key, found
    assert value in by_key[key].value
    assert allowed in by_key[key].allowed
    assert "secret" not in str(found)


def test_all_faults_are_reported():
    text = change("0.5", "7").replace("memory_mb = 256", "memory_mb = 0")
    text = text.replace('["cut"]', '["cut", "send"]').replace('"fifo"', '"lifo"')
    found = parse_fleet(text, policies=POLICIES)
    assert [fault.key for fault in found.faults] == [
        "teams.archive.quota_share",
        "task_classes.cut.memory_mb",
        "orders.return.stages",
        "policies.queue",
    ]


@pytest.mark.parametrize("cls", FIELD_RULES)
def test_every_field_has_a_rule(cls):
    fields = {field.name for field in dataclasses.fields(cls)}
    assert {f.replace("deadline_unix_s", "deadline") for f in fields} == set(
        FIELD_RULES[cls]
    )


def test_every_section_is_in_the_document():
    sections = {field.name for field in dataclasses.fields(FleetConfig)} - {"revision"}
    assert set(fleet_document(parse_fleet(TEXT))) == sections


def test_records_digest_does_not_depend_on_order():
    assert records_digest(["a", "b"]) == records_digest(["b", "a"])
    assert records_digest(["a", "b"]) != records_digest(["a\nb"]) != records_digest([])
    assert records_digest(["a"]) != records_digest(["a", "b"])


def test_differences():
    base = parse_fleet(TEXT)
    ours = parse_fleet(change("150", "100").replace("0.5", "0.6"))
    theirs = parse_fleet(change("150", "200").replace('"fifo"', '"urgent_first"'))
    assert [str(one) for one in diff_fleets(base, ours)] == [
        "services.clips.objective_latency_ms: 150.0 -> 100.0",
        "teams.archive.quota_share: 0.5 -> 0.6",
    ]
    clashes = clashing_keys(diff_fleets(base, ours), diff_fleets(base, theirs))
    assert clashes == ("services.clips.objective_latency_ms",)
    assert diff_fleets(base, base.at_revision(9)) == ()


def test_removing_a_table_conflicts_with_changing_it():
    base = parse_fleet(TEXT)
    without = dataclasses.replace(base, services=())
    changed = parse_fleet(change("150", "100"))
    clashes = clashing_keys(diff_fleets(base, without), diff_fleets(base, changed))
    assert clashes == ("services.clips.objective_latency_ms",)


KEYS = st.sampled_from(
    ["name", "team", "stages", "operator", "token_sha256", "quota_share", "deadline"]
    + ["cpu_millicores", "memory_mb", "declared_run_s", "objective_latency_ms", "queue"]
)
SCALARS = st.one_of(
    st.text(max_size=5),
    st.sampled_from(["archive", "cut", DIGEST]),
    st.integers(),
    st.just(10**400),
    st.floats(),
    st.booleans(),
    st.datetimes(
        timezones=st.sampled_from([None, UTC, timezone(timedelta(hours=-12))])
    ),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(KEYS, inner, max_size=8)
    ),
    max_leaves=12,
)
SECTIONS = st.sampled_from(["services", "teams", "task_classes", "orders", "policies"])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.dictionaries(SECTIONS, VALUES | st.lists(VALUES, max_size=3)))
def test_any_document_is_parsed_or_rejected(document):
    text = tomli_w.dumps(document)
    for strict in (True, False):
        found = parse_fleet(text, strict=strict)
        if isinstance(found, FleetConfig):
            assert (
                parse_fleet(tomli_w.dumps(fleet_document(found)), strict=False) == found
            )


@pytest.mark.parametrize(
    "moment", ["0001-01-01T00:00:00+14:00", "9999-12-31T23:59:59-12:00"]
)
def test_out_of_range_deadline_is_rejected(moment):
    found = parse_fleet(change("2026-12-20T08:00:00Z", moment))
    assert isinstance(found, ConfigFaults)
