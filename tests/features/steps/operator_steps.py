"""Steps of the features about operators and their command line."""

import sys
import tempfile
from datetime import UTC, datetime
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2] / "operator"))

from served_api import Served, admin_api

from almondspan import Plan

ORDER = "return-2026"
N_RECORDS = 30


def make_plan(latency_ms=150, n_records=N_RECORDS):
    plan = Plan()
    plan.service("clips", objective_latency_ms=latency_ms)
    for team in ("operator", "archive", "water"):
        plan.team(
            team,
            0.5,
            admin_api.token_digest(f"{team}-token"),
            operator=team == "operator",
        )
    for stage in ("validate", "deliver"):
        plan.task_class(stage, cpu_millicores=500, memory_mb=256)
    deadline = datetime(2026, 12, 20, 8, tzinfo=UTC)
    order = plan.order(ORDER, "archive", deadline, ("validate", "deliver"))
    for number in range(n_records):
        order.record(f"tape-{number:04}")
    return plan


def write(context, name, text):
    path = context.folder / name
    path.write_text(text)
    return str(path)


@given("a fleet with the plan's configuration")
def step_fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.fleet = Served(make_plan().config_text())
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)


@given("no shard has an owner")
def step_no_owner(context):
    context.fleet.api.job_client.unavailable = True


@when("team {team} submits the order's {n_records:d} records")
def step_submit(context, team, n_records):
    file = write(
        context, "records.toml", make_plan(n_records=n_records).order_text(ORDER)
    )
    context.command_result = context.fleet.run(
        "submit", file, "--timeout_s", "1", team=team
    )


@when("team {team} submits all but {n_left:d} of the order's records")
def step_submit_some(context, team, n_left):
    step_submit(context, team, N_RECORDS - n_left)


@when("an operator raises the latency objective to {latency_ms:d} from revision {n:d}")
def step_config(context, latency_ms, n):
    file = write(context, "fleet.toml", make_plan(latency_ms).config_text())
    context.command_result = context.fleet.run(
        "config", "submit", file, "--expected", str(n)
    )


@when("team {team} asks for the order's report")
def step_report(context, team):
    context.command_result = context.fleet.run("report", "order", ORDER, team=team)


@then("{n_jobs:d} jobs are known")
def step_known(context, n_jobs):
    assert len(context.fleet.api.job_client.jobs) == n_jobs


@then('the order\'s report says "{text}"')
def step_says(context, text):
    file = write(context, "all.toml", make_plan().order_text(ORDER))
    context.command_result = context.fleet.run(
        "report", "order", ORDER, "--records", file
    )
    assert text in context.command_result.out, context.command_result.out


@then("the last command ended with {code:d}")
def step_code(context, code):
    assert context.command_result.code == code, context.command_result


@then('it printed "{text}"')
def step_printed(context, text):
    assert text in context.command_result.out + context.command_result.err, (
        context.command_result
    )


@then("revision {revision:d} is in force")
def step_revision(context, revision):
    shown = context.fleet.run("config", "show")
    assert shown.out.startswith(f"# revision {revision}\n"), shown
