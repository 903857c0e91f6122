"""API routes for jobs and hand-back orders.

A team can access only its own jobs: the shards store each job under an id that is
prefixed with the team's name, and the team is taken from the caller's token.
Operators may act for any team by naming it in the request.
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
from almondspan_tasks.job_client import JobStatus, OwnerUnavailable

__all__: list[str] = []

JOBS_PER_YIELD: Final = 250
"""How many jobs are converted before yielding to the event loop."""


@route("POST", "/v1/jobs", Access.TEAM, SubmitResultsBody, JobsBody)
async def submit_jobs(context: ApiContext, call: ApiCall) -> Reply:
    """Submit a batch of jobs; responds once they are committed."""
    jobs = call.read(JobsBody).jobs
    fleet = context.fleet()
    if any(_find_order(job, fleet) is None for job in jobs if job.order_name):
        fleet = await context.fresh_fleet()
    for job in jobs:
        refusal = _refuse_team(call, job.team) or _refuse_order(job, fleet)
        if refusal is not None:
            return refusal
    if len({(job.team, job.job_id) for job in jobs}) < len(jobs):
        return refuse(
            HTTPStatus.BAD_REQUEST, "bad_request", "a job id occurs twice in the batch"
        )
    submitted = await context.job_client.submit(tuple(map(to_job_spec, jobs)))
    if isinstance(submitted, OwnerUnavailable):
        return _unavailable(submitted, may_have_applied=True)
    teams = {scoped_job_id(job.team, job.job_id): job.team for job in jobs}
    results = tuple(
        dataclasses.replace(
            result, job_id=unscoped_job_id(teams[result.job_id], result.job_id)
        )
        for result in submitted
    )
    return Reply(SubmitResultsBody(results))


@route("POST", "/v1/jobs/status", Access.TEAM, JobStatusesBody, JobIdsBody)
async def job_statuses(context: ApiContext, call: ApiCall) -> Reply:
    """Return the status of jobs."""
    body = call.read(JobIdsBody)
    team = TeamName(body.team or call.identity.team)
    refusal = _refuse_team(call, team)
    if refusal is not None:
        return refusal
    result = await context.job_client.status(team, _scoped_ids(team, body.job_ids))
    if isinstance(result, OwnerUnavailable):
        return _unavailable(result, may_have_applied=False)
    return Reply(JobStatusesBody(await _unscope_statuses(team, result)))


@route("POST", "/v1/jobs/cancel", Access.TEAM, JobStatusesBody, JobIdsBody)
async def cancel_jobs(context: ApiContext, call: ApiCall) -> Reply:
    """Cancel jobs; responds once the cancellations are committed."""
    body = call.read(JobIdsBody)
    team = TeamName(body.team or call.identity.team)
    refusal = _refuse_team(call, team)
    if refusal is not None:
        return refusal
    result = await context.job_client.cancel(team, _scoped_ids(team, body.job_ids))
    if isinstance(result, OwnerUnavailable):
        return _unavailable(result, may_have_applied=True)
    return Reply(JobStatusesBody(await _unscope_statuses(team, result)))


@route("GET", "/v1/orders/{order_name}", Access.TEAM, LedgerBody)
async def order_ledger(context: ApiContext, call: ApiCall) -> Reply:
    """Return the terms of a hand-back order and the status of its jobs."""
    name = call.path["order_name"]
    fleet = await context.fresh_fleet()
    orders = {order.name: order for order in fleet.orders}
    order = orders.get(OrderName(name))
    visible = order is not None and _refuse_team(call, order.team) is None
    if order is None or not visible:
        # Do not reveal that another team's order exists.
        return refuse(HTTPStatus.NOT_FOUND, "not_found", f"no order {name}")
    result = await context.job_client.order(order.team, order.name)
    if isinstance(result, OwnerUnavailable):
        return _unavailable(result, may_have_applied=False)
    return Reply(
        LedgerBody(
            order,
            await _unscope_statuses(order.team, result.jobs),
            result.n_shards_missing,
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
    """Reject a job that names no known order, or whose id is not its record's.

    Otherwise a record could be handed back twice, or be missing from the ledger.
    """
    if not job.order_name:
        return None
    order = _find_order(job, fleet)
    if order is None:
        reason = f"job {job.job_id}: no order {job.order_name} of team {job.team}"
        return refuse(HTTPStatus.UNPROCESSABLE_ENTITY, "unknown_order", reason)
    expected_id = record_job_id(order.name, job.record_name)
    if not job.record_name or job.job_id != expected_id:
        reason = f"job {job.job_id}: the job of this record is named {expected_id}"
        return refuse(HTTPStatus.UNPROCESSABLE_ENTITY, "wrong_job_id", reason)
    return None


def _scoped_ids(team: TeamName, job_ids: tuple[str, ...]) -> tuple[JobId, ...]:
    return tuple(scoped_job_id(team, job_id) for job_id in job_ids)


async def _unscope_statuses(
    team: TeamName, statuses: tuple[JobStatus, ...]
) -> tuple[JobStatus, ...]:
    """Return the statuses with the team's own job ids.

    Yields regularly, since an order may have tens of thousands of jobs and the
    entry serves latency-critical calls on the same event loop.
    """
    result: list[JobStatus] = []
    for first in range(0, len(statuses), JOBS_PER_YIELD):
        result += [
            dataclasses.replace(status, job_id=unscoped_job_id(team, status.job_id))
            for status in statuses[first : first + JOBS_PER_YIELD]
        ]
        await asyncio.sleep(0)
    return tuple(result)


def _unavailable(result: OwnerUnavailable, *, may_have_applied: bool) -> Reply:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "shard_unavailable",
        result.reason,
        may_have_applied=may_have_applied,
    )
