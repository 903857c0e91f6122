"""The command line, run against a served administration API."""

import os
import subprocess
import sys
from datetime import UTC, datetime

import pytest
from admin_api import token_digest
from served_api import run_command

from almondspan import Plan

DEADLINE = datetime(2026, 12, 20, 8, tzinfo=UTC)


def make_plan(n_records=3, **changed):
    plan = Plan()
    for name in ("operator", "archive", "water"):
        digest = token_digest(f"{name}-token")
        plan.team(name, 0.5, digest, operator=name == "operator")
    stages = ("validate", "cut", "transcribe", "deliver")
    for name in stages:
        plan.task_class(name, cpu_millicores=500, memory_mb=256, declared_run_s=2)
    order = plan.order("return-2026", "archive", DEADLINE, stages)
    for n in range(n_records):
        order.record(f"tape-{n:04}", payload=f"tape {n}".encode())
    plan.service("clips", objective_latency_ms=changed.get("latency_ms", 150))
    return plan


def test_from_plan_to_report(serve, tmp_path):
    plan = make_plan(n_records=450)
    config, records = tmp_path / "fleet.toml", tmp_path / "records.toml"
    config.write_text(plan.config_text())
    records.write_text(plan.order_text("return-2026"))
    with serve(toml="") as fleet:
        first = fleet.run(
            "config", "submit", str(config), "--expected", "0", team="bootstrap"
        )
        assert (first.code, first.out) == (0, "accepted as revision 1\n"), first.err
        submitted = fleet.run("submit", str(records), team="archive")
        assert submitted.out.startswith("450 accepted, 0 known already")
        again = fleet.run("submit", str(records), team="archive")
        assert (again.code, again.out[:28]) == (0, "0 accepted, 450 known alread")
        assert len(fleet.api.job_client.jobs) == 450
        report = fleet.run("report", "order", "return-2026")
        assert report.code == 0
        assert "verdict:   complete" in report.out
        assert "450 ordered, 450 delivered (100.0%)" in report.out
        assert "number and digest agree" in report.out
        assert fleet.run("diff", str(config)).out == "no difference to revision 1\n"


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        pytest.param(["config", "show"], 0, "# revision 1\n", id="config show"),
        pytest.param(["config", "show", "1"], 0, "# revision 1\n", id="kept revision"),
        pytest.param(["config", "show", "7"], 3, "no such revision", id="not kept"),
        pytest.param(["config", "history"], 0, "bootstrap", id="config history"),
        pytest.param(["config", "status"], 0, "2 agents, 100.0%", id="config status"),
        pytest.param(["fleet", "agents"], 0, "worker-of-agent-1", id="agents"),
        pytest.param(["fleet", "shards"], 0, "agent-1", id="shards"),
        pytest.param(["drain", "agent-2"], 0, "agent-2 drains", id="drain"),
        pytest.param(
            ["drain", "agent-2", "--undo"], 0, "accepts work", id="drain undone"
        ),
        pytest.param(
            ["drain", "a", "--undo", "b"], 2, "no value", id="undo with value"
        ),
        pytest.param(["drain", "007"], 3, "no agent 007", id="id like a number"),
        pytest.param(["drain", "agent-9"], 3, "no agent agent-9", id="drain unknown"),
        pytest.param(["lost", "place", "suva"], 0, "--token", id="lost, first step"),
        pytest.param(
            ["lost", "rack", "r1"], 2, "worker|place", id="lost, unknown kind"
        ),
        pytest.param(
            ["lost", "place", "suva", "--token", "1.x"], 4, "too old", id="old token"
        ),
        pytest.param(["status", "job-9"], 7, "absent", id="absent job"),
        pytest.param(["status"], 2, "which jobs", id="status without jobs"),
        pytest.param(["report", "order", "none"], 3, "no order none", id="no order"),
        pytest.param(["report", "burn"], 0, "no service", id="burn"),
        pytest.param(["submit", "/nowhere"], 2, "/nowhere", id="no file"),
        pytest.param(["status", "--jsn"], 2, "--jsn", id="mistyped flag"),
        pytest.param(["status", "job", "--json"], 7, '"absent"', id="json"),
        pytest.param(["config"], 2, "history", id="group alone"),
    ],
)
def test_command(serve, arguments, code, text):
    with serve() as fleet:
        ended = fleet.run(*arguments)
    assert ended.code == code, ended.err
    assert text in ended.out + ended.err


def test_mistyped_flag_changes_nothing(serve):
    with serve() as fleet:
        assert fleet.run("drain", "agent-1", "--nw").code == 2
        assert fleet.api.fleet.drained == []


def test_drain_and_undo(serve):
    with serve() as fleet:
        fleet.run("drain", "agent-1")
        fleet.run("drain", "agent-2", "--undo")
        assert fleet.api.fleet.drained == ["agent-1"]
        assert fleet.api.fleet.resumed == ["agent-2"]


def test_loss_in_two_steps(serve):
    with serve() as fleet:
        first = fleet.run("lost", "worker", "worker-of-agent-1", "--json")
        assert fleet.api.fleet.lost == []
        token = first.result["token"]
        second = fleet.run("lost", "worker", "worker-of-agent-1", "--token", token)
        assert (second.code, fleet.api.fleet.lost) == (0, [("worker-of-agent-1",)])


def test_conflict_shows_both_sides_changes(serve, tmp_path):
    ours, theirs = tmp_path / "ours.toml", tmp_path / "theirs.toml"
    base = make_plan().config_text()
    ours.write_text(make_plan(latency_ms=100).config_text())
    theirs.write_text(make_plan(latency_ms=200, n_records=4).config_text())
    with serve(toml=base) as fleet:
        assert fleet.run("config", "submit", str(theirs), "--expected=1").code == 0
        lost = fleet.run("config", "submit", str(ours), "--expected=1")
        again = fleet.run("config", "submit", str(theirs), "--expected=1")
        as_json = fleet.run("config", "submit", str(ours), "--expected=1", "--json")
    assert lost.code == 4
    key = "services.clips.objective_latency_ms"
    their_part, our_part = lost.err.split("your changes since revision 1:")
    assert f"{key}: 150.0 -> 200.0" in their_part
    assert "orders.return-2026.n_records: 3 -> 4" in their_part
    assert f"{key}: 150.0 -> 100.0" in our_part
    assert f"both changed, differently: {key}" in our_part
    assert "--expected 2" in our_part
    assert as_json.result["clashes"] == [key]
    assert (again.code, again.out) == (0, "revision 2 already holds exactly this\n")


def test_expected_revision_is_read_from_the_file(serve, tmp_path):
    file = tmp_path / "fleet.toml"
    with serve(toml=make_plan().config_text()) as fleet:
        shown = fleet.run("config", "show").out
        file.write_text(shown.replace("150.0", "120.0"))
        assert (
            fleet.run("config", "submit", str(file)).out == "accepted as revision 2\n"
        )
        file.write_text(shown.partition("\n")[2])
        without_revision = fleet.run("config", "submit", str(file))
    assert (without_revision.code, "--expected" in without_revision.err) == (2, True)


@pytest.mark.parametrize(
    ("variables", "flags", "text"),
    [
        pytest.param({}, [], "no entry addresses given", id="no entry"),
        pytest.param(
            {"ENTRIES": "127.0.0.1:1"}, [], "is not an address", id="no scheme"
        ),
        pytest.param({"ENTRIES": "http://127.0.0.1:1"}, [], "no token", id="no token"),
        pytest.param(
            {"ENTRIES": "http://10.0.0.7:1", "TOKEN": "t"},
            [],
            "without encryption",
            id="unencrypted to another machine",
        ),
        pytest.param(
            {"ENTRIES": "http://127.0.0.1:1", "TOKEN": "t"},
            ["--timeout_s", "soon"],
            "allowed: seconds",
            id="no number",
        ),
        pytest.param(
            {"ENTRIES": "http://127.0.0.1:1"},
            ["--token_file", "/nowhere"],
            "/nowhere",
            id="no token file",
        ),
        pytest.param(
            {"ENTRIES": "https://127.0.0.1:1", "TOKEN": "t", "CA": "/nowhere"},
            [],
            "certificates cannot be read",
            id="no certificate",
        ),
    ],
)
def test_invalid_connection_settings(variables, flags, text):
    named = {f"ALMONDSPAN_{name}": value for name, value in variables.items()}
    ended = run_command("fleet", "agents", *flags, **named)
    assert (ended.code, ended.out) == (2, "")
    assert text in ended.err


def test_closed_output_pipe_is_ignored():
    """A reader such as ``head`` that closes the pipe causes no traceback or error."""
    command = [sys.executable, "-m", "almondspan.command", "token", "--json"]
    read_end, write_end = os.pipe()
    os.close(read_end)
    ended = subprocess.run(command, stdout=write_end, stderr=subprocess.PIPE)
    os.close(write_end)
    assert (ended.returncode, ended.stderr) == (0, b"")
