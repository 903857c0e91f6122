"""Steps of the features about a fleet of real processes."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from behave import given, then, when
from fleet_loop import CALL_TIMEOUT_MS, SharedFleet, poll_until

from almondspan import ExitCode
from almondspan.answers import Accepted, Agents, ConfigStatus, Jobs
from almondspan.job_commands import submit_jobs
from almondspan.job_files import parse_jobs


def process_of(context, kind, index):
    fleet = context.fleet_loop.fleet
    return (fleet.entries if kind == "entry" else fleet.agents)[index]


@given("a fleet of 2 entries and 3 agents")
def step_fleet(context):
    context.fleet_loop = SharedFleet.get()


@when("entry {entry:d} accepts a configuration")
def step_configure(context, entry):
    async def main():
        async with context.fleet_loop.admin(entry) as client:
            body = {
                "expected_revision": 0,
                "toml": context.fleet_loop.plan.config_text(),
            }
            accepted = await client.post("/v1/config", body, Accepted)
            assert isinstance(accepted, Accepted), accepted
            context.fleet_loop.revision = accepted.revision

    context.fleet_loop.run(main())


@then("the configuration is in force at {n_agents:d} agents within {within_s:d} s")
def step_in_force(context, n_agents, within_s):
    async def holds():
        agents = await context.fleet_loop.get(1, "/v1/fleet/agents", Agents)
        status = await context.fleet_loop.get(1, "/v1/config/status", ConfigStatus)
        if not isinstance(agents, Agents) or not isinstance(status, ConfigStatus):
            return False
        agent_revisions = [agent.config_revision for agent in agents.agents]
        assert status.revision in (0, context.fleet_loop.revision)
        return agent_revisions == n_agents * [context.fleet_loop.revision]

    assert context.fleet_loop.revision > 0
    context.fleet_loop.run(poll_until(holds, within_s))


@when("{kind} {index:d} is killed")
def step_kill(context, kind, index):
    context.fleet_loop.run(process_of(context, kind, index).kill())


@when("{kind} {index:d} gets SIGTERM")
def step_term(context, kind, index):
    process_of(context, kind, index).signal(signal.SIGTERM)


@then("{kind} {index:d} ends with 0 within {within_s:d} s")
def step_ends(context, kind, index, within_s):
    process = process_of(context, kind, index).process
    code = context.fleet_loop.run(asyncio.wait_for(process.wait(), within_s))
    assert code == 0, code


@when("{kind} {index:d} is replaced")
def step_replace(context, kind, index):
    fleet = context.fleet_loop.fleet
    replace = fleet.replace_entry if kind == "entry" else fleet.replace_agent
    context.fleet_loop.run(replace(index))
    if kind == "entry":

        async def ready():
            agents = await context.fleet_loop.get(index, "/v1/fleet/agents", Agents)
            return isinstance(agents, Agents) and len(agents.agents) == 3

        context.fleet_loop.run(poll_until(ready, 30.0))


@then("{n_calls:d} calls through entry {entry:d} are answered completely")
def step_calls(context, n_calls, entry):
    async def main():
        for number in range(n_calls):
            await context.fleet_loop.call(entry, f"clip-{number}")

    context.fleet_loop.run(main())


@when("runners take {delay_s:g} s and {n_calls:d} calls are in progress")
def step_calls_in_progress(context, delay_s, n_calls):
    async def all_in_progress():
        return await context.fleet_loop.n_in_flight() == n_calls

    async def main():
        fleet_loop = context.fleet_loop
        await fleet_loop.set_faults(fleet_loop.fleet.runner_urls, {"delay_s": delay_s})
        fleet_loop.calls = [
            asyncio.create_task(fleet_loop.call(number % 2, f"slow-{number}"))
            for number in range(n_calls)
        ]
        await poll_until(all_in_progress, 10.0)

    context.fleet_loop.run(main())


@then("all calls in progress are answered completely")
def step_calls_end(context):
    async def main():
        fleet_loop = context.fleet_loop
        assert fleet_loop.calls
        await asyncio.gather(*fleet_loop.calls)
        await fleet_loop.set_faults(fleet_loop.fleet.runner_urls, {})

    context.fleet_loop.run(main())


@then("every shard has an owner other than agent {index:d} within {within_s:d} s")
def step_shards_move(context, index, within_s):
    async def moved():
        return await context.fleet_loop.all_owned(excluded_prefix=f"agent-{index}-")

    context.fleet_loop.run(poll_until(moved, within_s))


@when("the same bill is sent to entry 0 and then to entry 1")
def step_bill(context):
    async def main():
        fleet_loop = context.fleet_loop
        answers = []
        headers = {"X-Request-Id": "bill-7", "X-Timeout-Ms": CALL_TIMEOUT_MS}
        for url in fleet_loop.fleet.call_urls:
            url = f"{url}/call/clips/bill/7"
            async with fleet_loop.session.post(url, headers=headers) as response:
                answers.append((response.status, response.headers["X-Outcome"]))
        return answers

    context.answers = context.fleet_loop.run(main())


@then("the first response is complete and the second is reported as a repetition")
def step_bill_answers(context):
    assert context.answers == [(200, "done"), (409, "done")], context.answers


@then("the runners recorded the bill once")
def step_bill_once(context):
    async def main():
        fleet_loop = context.fleet_loop
        shown = [await fleet_loop.debug(url) for url in fleet_loop.fleet.runner_urls]
        return sum(page["ledger"].count("bill-7") for page in shown)

    assert context.fleet_loop.run(main()) == 1


@when("the store has an outage")
def step_outage(context):
    fleet_loop = context.fleet_loop
    fleet_loop.run(
        fleet_loop.set_faults([fleet_loop.fleet.store_url], {"outage": True})
    )


@when("the store returns")
def step_store_returns(context):
    fleet_loop = context.fleet_loop
    fleet_loop.run(fleet_loop.set_faults([fleet_loop.fleet.store_url], {}))


async def submit(context):
    async with context.fleet_loop.admin() as client:
        return await submit_jobs(
            client, parse_jobs(context.fleet_loop.plan.jobs_text())
        )


@then("a submitted job is not reported as accepted")
def step_not_accepted(context):
    result = context.fleet_loop.run(submit(context))
    assert result.code is not ExitCode.DONE, result


@then("the job is submitted again and ends done within {within_s:d} s")
def step_job_ends(context, within_s):
    async def accepted():
        return (await submit(context)).code is ExitCode.DONE

    async def ended():
        async with context.fleet_loop.admin() as client:
            body = {"team": "archive", "job_ids": ["job-1"]}
            found = await client.post("/v1/jobs/status", body, Jobs)
        if not isinstance(found, Jobs) or not found.jobs:
            return False
        job = found.jobs[0]
        return job.state == "ended" and job.outcome.kind.value == "done"

    context.fleet_loop.run(poll_until(accepted, within_s))
    context.fleet_loop.run(poll_until(ended, within_s))
