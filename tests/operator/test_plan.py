"""Plans, the files that they print, and parsing of job files."""

import dataclasses
import random
from datetime import UTC, datetime

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspan import FileFaults, Plan
from almondspan.canonical import canonical_fleet
from almondspan.job_files import jobs_text, order_text, parse_jobs
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_document import parse_fleet
from almondspan_decisions.ids import JobId, OrderName, TaskClass, TeamName
from almondspan_decisions.orders import record_job_id
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec

DEADLINE = datetime(2026, 12, 20, 8, tzinfo=UTC)


def declarations():
    return [
        lambda plan: plan.team("archive", 0.5, "ab" * 32, operator=True),
        lambda plan: plan.team("water", 0.25, "cd" * 32),
        lambda plan: plan.task_class("validate", 1000, 512),
        lambda plan: plan.task_class("deliver", 500, 256, idempotent=False),
        lambda plan: plan.service("clips", objective_latency_ms=150),
        lambda plan: plan.service("mains", objective_latency_ms=30),
        lambda plan: plan.policies(queue="fifo"),
        lambda plan: plan.job("b", "water", ["validate"], b"\x00"),
        lambda plan: plan.job("a", "water", ["validate"], urgent=True),
    ]


def make_plan(rng=None):
    steps, records = declarations(), ["tape-2", "tape-1", "tape-3"]
    if rng is not None:
        rng.shuffle(steps)
        rng.shuffle(records)
    plan = Plan()
    for step in steps:
        step(plan)
    order = plan.order("return", "archive", DEADLINE, ["validate", "deliver"])
    for record in records:
        order.record(record, payload=record.encode())
    return plan


@given(st.randoms(use_true_random=False))
@settings(max_examples=25, deadline=None)
def test_output_is_independent_of_declaration_order(rng: random.Random):
    plan, other = make_plan(), make_plan(rng)
    assert plan.config_text() == other.config_text()
    assert plan.order_text("return") == other.order_text("return")
    assert plan.jobs_text() == other.jobs_text()


def test_config_text_is_canonical():
    text = make_plan().config_text()
    fleet = parse_fleet(text)
    assert isinstance(fleet, FleetConfig)
    assert canonical_fleet(fleet) == text
    assert "deadline = 2026-12-20 08:00:00+00:00" in text
    assert text.index('"archive"') < text.index('"water"')


def test_records_become_jobs_of_an_order():
    jobs = parse_jobs(make_plan().order_text("return"))
    assert [job.job_id for job in jobs] == [
        f"return/tape-{number}" for number in (1, 2, 3)
    ]
    assert [stage.task_class for stage in jobs[0].stages] == ["validate", "deliver"]
    assert [stage.idempotent for stage in jobs[0].stages] == [True, False]
    assert {stage.payload for stage in jobs[0].stages} == {b"tape-1"}
    assert jobs[0].deadline_unix_s == DEADLINE.timestamp()


@pytest.mark.parametrize(
    ("change", "method", "key"),
    [
        pytest.param(
            lambda plan: plan.team("archive", 0.1, "ef" * 32),
            "config_text",
            "teams.archive.name",
            id="team twice",
        ),
        pytest.param(
            lambda plan: plan.task_class("validate", 1, 1),
            "config_text",
            "task_classes.validate",
            id="class twice",
        ),
        pytest.param(
            lambda plan: plan.order("late", "archive", datetime(2026, 1, 1), ["cut"]),
            "config_text",
            "orders.late.deadline",
            id="no time zone",
        ),
        pytest.param(
            lambda plan: plan.order("late", "archive", DEADLINE, ["cut"]),
            "config_text",
            "orders.late.stages",
            id="unknown stage",
        ),
        pytest.param(
            lambda plan: plan.policies(queue="lifo"),
            "config_text",
            "policies.queue",
            id="unknown policy",
        ),
        pytest.param(
            lambda plan: plan.job("c", "water", ["cut"]),
            "jobs_text",
            "jobs.c.stages",
            id="unknown stage of a job",
        ),
        pytest.param(
            lambda plan: plan.job("a", "water", ["validate"]),
            "jobs_text",
            "jobs.a.job_id",
            id="job twice",
        ),
        pytest.param(
            lambda plan: plan.job("c", "water", []),
            "jobs_text",
            "jobs.c.stages",
            id="job without stages",
        ),
        pytest.param(
            lambda plan: plan.job(
                "c", "water", ["validate"], deadline=datetime(2027, 1, 1)
            ),
            "jobs_text",
            "jobs.c.deadline",
            id="job's time without zone",
        ),
    ],
)
def test_invalid_declaration(change, method, key):
    plan = make_plan()
    change(plan)
    found = getattr(plan, method)()
    assert isinstance(found, FileFaults)
    assert key in [fault.key for fault in found.faults]


@pytest.mark.parametrize(
    ("record", "key"),
    [
        pytest.param("tape-1", "records.1.name", id="twice"),
        pytest.param("tape 9", "records.0.name", id="space"),
        pytest.param("../x", "records.0.name", id="begins with a dot"),
        pytest.param("x" * 121, "records.3.name", id="long"),
        pytest.param("", "records.0.name", id="empty"),
    ],
)
def test_invalid_record_name(record, key):
    plan = make_plan()
    plan._orders[0].record(record)
    found = plan.order_text("return")
    assert isinstance(found, FileFaults)
    assert [fault.key for fault in found.faults] == [key]


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        pytest.param(["config"], 0, "[[teams]]", id="config"),
        pytest.param(["order", "return"], 0, "tape-1", id="order"),
        pytest.param(["jobs"], 0, "job_id", id="jobs"),
        pytest.param(["order", "no"], 2, "return", id="unknown order"),
        pytest.param([], 2, "usage", id="nothing"),
        pytest.param(["order"], 2, "orders: return", id="no name"),
    ],
)
def test_main(capsys, arguments, code, text):
    with pytest.raises(SystemExit) as ended:
        make_plan().main(arguments)
    printed = capsys.readouterr()
    assert ended.value.code == code
    assert text in (printed.out if code == 0 else printed.err)


@pytest.mark.parametrize(
    ("text", "key", "allowed"),
    [
        pytest.param("", "(text)", "[[jobs]]", id="empty"),
        pytest.param("[", "(text)", "TOML", id="no TOML"),
        pytest.param("a = " + "[" * 5000, "(text)", "tables", id="nested too deeply"),
        pytest.param("jobs = 1", "jobs", "tables", id="no tables"),
        pytest.param("[[job]]", "job", "jobs", id="unknown section"),
        pytest.param("[[jobs]]\nurgent = 1", "jobs.0.urgent", "true", id="flag"),
        pytest.param("[[jobs]]\nteam = 3", "jobs.0.team", "a-z", id="team"),
        pytest.param("[[jobs]]\nidempotent = 1", "jobs.0.idempotent", "team", id="key"),
        pytest.param(
            "[[jobs]]\nmax_attempts = 0", "jobs.0.max_attempts", "from 1", id="attempts"
        ),
        pytest.param(
            "[[jobs]]\n[[jobs.stages]]\ndeclared_run_s = inf",
            "jobs.0.stages.0.declared_run_s",
            "seconds",
            id="infinite run time",
        ),
        pytest.param(
            '[[jobs]]\n[[jobs.stages]]\npayload_base64 = "?"',
            "jobs.0.stages.0.payload_base64",
            "base64",
            id="payload",
        ),
        pytest.param("[order]\nname = 'x y'", "order.name", "a-z", id="order's name"),
        pytest.param("order = 1", "order", "a table", id="order is no table"),
        pytest.param(
            "[order]\n[[records]]\nname = 'a'\npayloads = ''",
            "records.0.payloads",
            "payload_base64",
            id="record's key",
        ),
    ],
)
def test_invalid_job_file(text, key, allowed):
    found = parse_jobs(text)
    assert isinstance(found, FileFaults)
    by_key = {fault.key: fault for fault in found.faults}
    assert key in by_key, str(found)
    assert allowed in by_key[key].allowed


STAGES = st.builds(
    StageSpec,
    task_class=st.sampled_from(["cut", "deliver"]).map(TaskClass),
    shape=st.builds(Shape, st.integers(1, 9), st.integers(1, 9), st.integers(0, 2)),
    declared_run_s=st.floats(0.001, 1e6),
    payload=st.binary(max_size=20) | st.text(max_size=9).map(str.encode),
    idempotent=st.booleans(),
    checkpointable=st.booleans(),
)
JOBS = st.builds(
    JobSpec,
    job_id=st.from_regex(r"\A[A-Za-z0-9][A-Za-z0-9._:@/-]{0,30}\Z").map(JobId),
    team=st.just(TeamName("water")),
    stages=st.lists(STAGES, min_size=1, max_size=3).map(tuple),
    urgent=st.booleans(),
    deadline_unix_s=st.sampled_from([0.0, 1_797_753_600.25]),
    max_attempts=st.integers(1, 100),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(JOBS, min_size=1, max_size=4, unique_by=lambda job: job.job_id))
def test_jobs_round_trip_through_a_file(jobs):
    ordered = tuple(sorted(jobs, key=lambda job: job.job_id))
    assert parse_jobs(jobs_text(tuple(jobs))) == ordered


@settings(max_examples=40, deadline=None)
@given(JOBS, st.dictionaries(st.from_regex(r"\A[a-z]{1,5}\Z"), st.binary(max_size=9)))
def test_records_round_trip_through_a_file(job, records):
    name = OrderName("return")
    jobs = tuple(
        dataclasses.replace(
            job,
            job_id=record_job_id(name, record),
            order_name=name,
            record_name=record,
            stages=tuple(dataclasses.replace(s, payload=payload) for s in job.stages),
        )
        for record, payload in sorted(records.items())
    )
    if jobs:
        assert parse_jobs(order_text(jobs)) == jobs
