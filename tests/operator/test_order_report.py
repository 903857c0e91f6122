"""Verdicts, counts and forecasts of order reports."""

import pytest

from almondspan.answers import Job, Ledger, OrderTerms
from almondspan.order_report import Verdict, make_report
from almondspan_decisions.fleet_document import records_digest
from almondspan_decisions.outcomes import Outcome, OutcomeKind

DEADLINE = 10_000.0
STAGES = ("validate", "cut", "deliver")


def names(n):
    return [f"r{number}" for number in range(n)]


def job(name, state="ended", kind=OutcomeKind.DONE, ended=1000.0, **fields):
    outcome = None
    if state == "ended":
        outcome = Outcome(
            kind, fields.pop("reason", ""), may_have_run=fields.pop("ran", False)
        )
    else:
        ended = 0.0
    return Job(
        f"o/{name}",
        state,
        outcome=outcome,
        record_name=name,
        ended_unix_s=ended,
        **fields,
    )


def ledger(jobs, ordered=None, now=2000.0, missing=0, digest=True):
    ordered = [one.record_name for one in jobs] if ordered is None else ordered
    terms = OrderTerms(
        "o",
        "archive",
        DEADLINE,
        STAGES,
        n_records=len(set(ordered)) if digest else 0,
        records_sha256=records_digest(set(ordered)) if digest else "",
    )
    return Ledger(terms, tuple(jobs), missing, now)


DONE = [job(name, ended=1000.0 + 10 * at) for at, name in enumerate(names(10))]
QUEUED = [job(f"q{number}", "queued") for number in range(20)]


@pytest.mark.parametrize(
    ("given", "verdict", "problems"),
    [
        pytest.param(ledger(DONE), Verdict.COMPLETE, [], id="complete"),
        pytest.param(
            ledger(DONE, missing=1), Verdict.UNPROVEN, [], id="a shard does not answer"
        ),
        pytest.param(
            ledger(DONE, names(11)), Verdict.INCOMPLETE, [], id="one was not submitted"
        ),
        pytest.param(
            ledger(DONE, [*names(9), "x"]), Verdict.INCOMPLETE, [], id="another record"
        ),
        pytest.param(
            ledger([*DONE, DONE[3]]),
            Verdict.INCOMPLETE,
            [("r3", "duplicated")],
            id="duplicated record",
        ),
        pytest.param(
            ledger([*DONE, job("f", kind=OutcomeKind.FAILED, reason="no tape")]),
            Verdict.INCOMPLETE,
            [("f", "failed")],
            id="one failed",
        ),
        pytest.param(
            ledger([*DONE, job("u", kind=OutcomeKind.UNKNOWN, ran=True)]),
            Verdict.INCOMPLETE,
            [("u", "unknown")],
            id="one may have run",
        ),
        pytest.param(
            ledger([*DONE[:9], job("l", ended=DEADLINE + 1)], now=DEADLINE + 2),
            Verdict.COMPLETE_LATE,
            [("l", "late")],
            id="complete but late",
        ),
        pytest.param(ledger([]), Verdict.INCOMPLETE, [], id="nothing submitted"),
        pytest.param(ledger(QUEUED), Verdict.NO_FORECAST, [], id="nothing delivered"),
        pytest.param(
            ledger([*DONE, *QUEUED], now=1100.0), Verdict.ON_TIME, [], id="on time"
        ),
        pytest.param(
            ledger([*DONE, *QUEUED], now=9_000.0),
            Verdict.AT_RISK,
            [],
            id="deliveries have stopped",
        ),
        pytest.param(
            ledger([*DONE, *QUEUED], now=DEADLINE + 1),
            Verdict.AT_RISK,
            [],
            id="deadline passed",
        ),
        pytest.param(
            ledger(DONE, digest=False), Verdict.UNPROVEN, [], id="records not declared"
        ),
    ],
)
def test_verdict(given, verdict, problems):
    report = make_report(given)
    assert report.verdict is verdict
    assert [(note.record_name, note.state) for note in report.problems] == problems


def test_missing_records_are_listed_by_name():
    report = make_report(ledger(DONE, names(12)), names(12))
    assert (report.n_missing, report.records_match) == (2, False)
    assert [(note.record_name, note.state) for note in report.problems] == [
        ("r10", "missing"),
        ("r11", "missing"),
    ]


def test_records_of_an_unanswering_shard_are_not_reported_missing():
    report = make_report(ledger(DONE, names(12), missing=1), names(12))
    assert (report.n_missing, report.n_unseen, report.problems) == (0, 2, ())


def test_record_that_was_not_ordered_is_reported():
    report = make_report(ledger(DONE, names(9)), names(9))
    assert report.records_match is False
    assert report.problems[0].state == "not_ordered"


def test_forecast_follows_the_recent_rate():
    report = make_report(ledger([*DONE, *QUEUED], now=1090.0))
    assert report.forecast.records_per_s == pytest.approx(0.1)
    assert report.forecast.ends_unix_s == pytest.approx(1290.0)


def test_counts():
    jobs = [
        *DONE,
        job("a", "running", stage_index=1, n_attempts=3, n_evictions=2),
        job("b", "queued", waiting_reason="no room", n_attempts=1),
        job("c", kind=OutcomeKind.CANCELLED, ran=True, reason="asked"),
    ]
    report = make_report(ledger(jobs, now=1100.0))
    assert (report.n_ordered, report.n_delivered) == (13, 10)
    assert (report.n_running, report.n_queued, report.n_ended_otherwise) == (1, 1, 1)
    assert (report.n_attempts, report.n_evictions) == (4, 2)
    assert report.by_stage == (("validate", 1), ("cut", 1), ("deliver", 0))
    assert report.waiting[0].reason == "no room"
    assert report.problems[0].reason == "asked (it may have run)"
