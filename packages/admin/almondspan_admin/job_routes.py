"""Routes of jobs and orders.

A team reaches only its own jobs: the shards know each job under its team's name,
and the team comes from the caller's token. An operator names the team.
"""

import asyncio
import dataclasses
from http import HTTPStatus
from typing import Final

from almondspan_admin.messages import (
    JobBody,
    JobIdsBody,
    JobsBody,
    JobStatusesBody,
    LedgerBody,
    SubmitResultsBody,
    scoped_job_id,
    to_job_spec,
    unscoped_job_id,
)
from almondspan_admin.routes import Access, ApiCall, ApiContext, Reply, refuse, route
from almondspan_decisions.fleet import FleetConfig, OrderConfig
from almondspan_decisions.ids import JobId, OrderName, TeamName
from almondspan_decisions.orders import record_job_id
from almondspan_tasks.desk import DeskUnavailable, JobStatus

__all__: list[str] = []

N_JOBS_PER_TURN: Final = 250
"""How many jobs are converted before other work of the entry gets its turn."""


@route("POST", "/v1/jobs", Access.TEAM, SubmitResultsBody, JobsBody)
async def submit_jobs(context: ApiContext, call: ApiCall) -> Reply:
    """Submit a batch of jobs; the answer comes when they are committed."""
    jobs = call.read(JobsBody).jobs
    fleet = context.fleet()
    if any(_find_order(job, fleet) is None for job in jobs if job.order_name):
        fleet = await context.fresh_fleet()
    for job in jobs:
        refused = _refuse_team(call, job.team) or _refuse_order(job, fleet)
        if refused is not None:
            return refused
    if len({(job.team, job.job_id) for job in jobs}) < len(jobs):
        return refuse(
            HTTPStatus.BAD_REQUEST, "bad_request", "a job id stands twice in the batch"
        )
    found = await context.desk.submit(tuple(map(to_job_spec, jobs)))
    if isinstance(found, DeskUnavailable):
        return _unavailable(found, may_have_applied=True)
    teams = {scoped_job_id(job.team, job.job_id): job.team for job in jobs}
    results = tuple(
        dataclasses.replace(
            result, job_id=unscoped_job_id(teams[result.job_id], result.job_id)
        )
        for result in found
    )
    return Reply(SubmitResultsBody(results))


@route("POST", "/v1/jobs/status", Access.TEAM, JobStatusesBody, JobIdsBody)
async def job_statuses(context: ApiContext, call: ApiCall) -> Reply:
    """Return the state of jobs."""
    body = call.read(JobIdsBody)
    team = TeamName(body.team or call.identity.team)
    refused = _refuse_team(call, team)
    if refused is not None:
        return refused
    found = await context.desk.status(team, _scoped(team, body.job_ids))
    if isinstance(found, DeskUnavailable):
        return _unavailable(found, may_have_applied=False)
    return Reply(JobStatusesBody(await _unscoped(team, found)))


@route("POST", "/v1/jobs/cancel", Access.TEAM, JobStatusesBody, JobIdsBody)
async def cancel_jobs(context: ApiContext, call: ApiCall) -> Reply:
    """Cancel jobs; the answer comes when the cancellations are committed."""
    body = call.read(JobIdsBody)
    team = TeamName(body.team or call.identity.team)
    refused = _refuse_team(call, team)
    if refused is not None:
        return refused
    found = await context.desk.cancel(team, _scoped(team, body.job_ids))
    if isinstance(found, DeskUnavailable):
        return _unavailable(found, may_have_applied=True)
    return Reply(JobStatusesBody(await _unscoped(team, found)))


@route("GET", "/v1/orders/{order_name}", Access.TEAM, LedgerBody)
async def order_ledger(context: ApiContext, call: ApiCall) -> Reply:
    """Return the ledger of a hand-back order beside its terms."""
    name = call.path["order_name"]
    fleet = await context.fresh_fleet()
    orders = {order.name: order for order in fleet.orders}
    order = orders.get(OrderName(name))
    visible = order is not None and _refuse_team(call, order.team) is None
    if order is None or not visible:
        # Another team's order looks like one that does not exist.
        return refuse(HTTPStatus.NOT_FOUND, "not_found", f"no order {name}")
    found = await context.desk.order(order.team, order.name)
    if isinstance(found, DeskUnavailable):
        return _unavailable(found, may_have_applied=False)
    return Reply(
        LedgerBody(
            order,
            await _unscoped(order.team, found.jobs),
            found.n_shards_missing,
            context.wall_clock(),
        )
    )


def _refuse_team(call: ApiCall, team: str) -> Reply | None:
    if call.identity.operator or team == call.identity.team:
        return None
    reason = f"team {call.identity.team} may not act for another team"
    return refuse(HTTPStatus.FORBIDDEN, "forbidden", reason)


def _find_order(job: JobBody, fleet: FleetConfig) -> OrderConfig | None:
    for order in fleet.orders:
        if order.name == job.order_name and order.team == job.team:
            return order
    return None


def _refuse_order(job: JobBody, fleet: FleetConfig) -> Reply | None:
    """Refuse what would let a record be handed back twice or go uncounted."""
    if not job.order_name:
        return None
    order = _find_order(job, fleet)
    if order is None:
        reason = f"job {job.job_id}: no order {job.order_name} of team {job.team}"
        return refuse(HTTPStatus.UNPROCESSABLE_ENTITY, "unknown_order", reason)
    wanted = record_job_id(order.name, job.record_name)
    if not job.record_name or job.job_id != wanted:
        reason = f"job {job.job_id}: the job of this record is named {wanted}"
        return refuse(HTTPStatus.UNPROCESSABLE_ENTITY, "wrong_job_id", reason)
    return None


def _scoped(team: TeamName, job_ids: tuple[str, ...]) -> tuple[JobId, ...]:
    return tuple(scoped_job_id(team, job_id) for job_id in job_ids)


async def _unscoped(
    team: TeamName, statuses: tuple[JobStatus, ...]
) -> tuple[JobStatus, ...]:
    """Return the jobs under the team's own ids.

    An order may have tens of thousands; live calls get their turn in between.
    """
    found: list[JobStatus] = []
    for first in range(0, len(statuses), N_JOBS_PER_TURN):
        found += [
            dataclasses.replace(status, job_id=unscoped_job_id(team, status.job_id))
            for status in statuses[first : first + N_JOBS_PER_TURN]
        ]
        await asyncio.sleep(0)
    return tuple(found)


def _unavailable(found: DeskUnavailable, *, may_have_applied: bool) -> Reply:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "shard_unavailable",
        found.reason,
        may_have_applied=may_have_applied,
    )
