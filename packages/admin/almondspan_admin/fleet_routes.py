"""API routes for the fleet: its state, draining, declared losses, burn rates."""

from http import HTTPStatus

from almondspan_admin.fleet_view import ChangeResult
from almondspan_admin.loss import Loss, check_token, find_loss, make_token
from almondspan_admin.messages import (
    AgentsBody,
    BurnBody,
    DrainBody,
    LossAnswerBody,
    LossBody,
    ShardsBody,
)
from almondspan_admin.routes import Access, ApiCall, ApiContext, Reply, refuse, route
from almondspan_decisions.ids import AgentId

__all__: list[str] = []


@route("GET", "/v1/fleet/agents", Access.OPERATOR, AgentsBody)
async def list_agents(context: ApiContext, call: ApiCall) -> Reply:
    """List the agents with the state that they last reported to this entry."""
    return Reply(AgentsBody(context.fleet_view.agents()))


@route("GET", "/v1/fleet/shards", Access.OPERATOR, ShardsBody)
async def list_shards(context: ApiContext, call: ApiCall) -> Reply:
    """List the shards with their owners."""
    return Reply(ShardsBody(context.fleet_view.shards()))


@route("GET", "/v1/burn", Access.OPERATOR, BurnBody)
async def list_burn(context: ApiContext, call: ApiCall) -> Reply:
    """Return how fast each service spends its error budget."""
    return Reply(BurnBody(await context.fleet_view.burn()))


@route("POST", "/v1/fleet/agents/{agent_id}/drain", Access.OPERATOR, DrainBody)
async def drain_agent(context: ApiContext, call: ApiCall) -> Reply:
    """Stop an agent from accepting new work; it finishes the work that it has."""
    return await _drain(context, AgentId(call.path["agent_id"]), resume=False)


@route("POST", "/v1/fleet/agents/{agent_id}/resume", Access.OPERATOR, DrainBody)
async def resume_agent(context: ApiContext, call: ApiCall) -> Reply:
    """Let a draining agent accept work again."""
    return await _drain(context, AgentId(call.path["agent_id"]), resume=True)


async def _drain(context: ApiContext, agent_id: AgentId, *, resume: bool) -> Reply:
    result = await context.fleet_view.drain(agent_id, resume)
    if result is ChangeResult.DONE:
        return Reply(DrainBody(agent_id))
    return _refuse_change(result, f"agent {agent_id}")


@route("POST", "/v1/fleet/losses", Access.OPERATOR, LossAnswerBody, LossBody)
async def declare_loss(context: ApiContext, call: ApiCall) -> Reply:
    """Return the consequence of a loss, or declare the loss if given its token."""
    body = call.read(LossBody)
    now_unix_s = context.wall_clock()
    loss = find_loss(body.kind, body.name, context.fleet_view.agents())
    if not loss.workers:
        return _refuse_change(ChangeResult.NOT_FOUND, f"{body.kind} {body.name}")
    if not body.token:
        return Reply(
            _loss_body(loss, make_token(loss, int(now_unix_s)), declared=False)
        )
    reason = check_token(body.token, loss, now_unix_s)
    if reason is not None:
        return refuse(HTTPStatus.CONFLICT, "stale_token", reason)
    result = await context.fleet_view.declare_lost(loss.workers)
    if result is ChangeResult.DONE:
        return Reply(_loss_body(loss, "", declared=True))
    return _refuse_change(result, f"{body.kind} {body.name}")


def _loss_body(loss: Loss, token: str, *, declared: bool) -> LossAnswerBody:
    return LossAnswerBody(
        loss.kind, loss.name, loss.workers, loss.consequence, token, declared
    )


def _refuse_change(result: ChangeResult, subject: str) -> Reply:
    if result is ChangeResult.NOT_FOUND:
        return refuse(HTTPStatus.NOT_FOUND, "not_found", f"no {subject} is known")
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "fleet_unavailable",
        f"{subject}: timed out; retry the request",
        may_have_applied=True,
    )
