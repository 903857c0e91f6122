"""API routes for the configuration."""

from collections import Counter
from http import HTTPStatus

from almondspan_admin.config_submit import (
    ConfigAccepted,
    ConfigConflict,
    ConfigRefused,
    ConfigSubmission,
    ConfigUnavailable,
    SubmitOutcome,
)
from almondspan_admin.fleet_view import SILENT_AFTER_S
from almondspan_admin.messages import (
    AcceptedBody,
    ConfigBody,
    ConfigDiffBody,
    ConfigHistoryBody,
    ConfigRevisionBody,
    ConfigStatusBody,
    ConfigSubmitBody,
    ConfigTextBody,
    ErrorBody,
    RevisionShareBody,
)
from almondspan_admin.routes import Access, ApiCall, ApiContext, Reply, refuse, route
from almondspan_admin.stored_config import StoredConfig
from almondspan_decisions.fleet_diff import diff_fleets
from almondspan_decisions.fleet_document import ConfigFaults, parse_fleet

__all__: list[str] = []


@route("GET", "/v1/config", Access.OPERATOR, ConfigBody)
async def get_config(context: ApiContext, call: ApiCall) -> Reply:
    """Return the current configuration, or the entry's copy if the store is down."""
    await context.config_client.refresh()
    push = context.config_client.current()
    if push is None:
        return Reply(ConfigBody(revision=0, toml=""))
    return Reply(ConfigBody(revision=push.revision, toml=push.toml.decode()))


@route("POST", "/v1/config", Access.OPERATOR, AcceptedBody, ConfigSubmitBody)
async def submit_config(context: ApiContext, call: ApiCall) -> Reply:
    """Replace the configuration if its revision is the expected one."""
    body = call.read(ConfigSubmitBody)
    now_unix_s = context.wall_clock()
    author = call.identity.team + (f"/{body.author}" if body.author else "")
    submission = ConfigSubmission(
        expected_revision=body.expected_revision,
        toml=body.toml,
        author=author,
        submitted_unix_s=now_unix_s,
        nonce=body.submission_id or f"{author}@{now_unix_s!r}",
    )
    return _reply(await context.config_client.submit(submission))


def _reply(outcome: SubmitOutcome) -> Reply:
    match outcome:
        case ConfigAccepted(revision):
            return Reply(AcceptedBody(revision))
        case ConfigConflict(current):
            body = ErrorBody(
                "conflict",
                "the configuration's revision is not the expected one",
                current=_body_of(current) if current else None,
            )
            return Reply(body, HTTPStatus.CONFLICT)
        case ConfigRefused(faults):
            body = ErrorBody(
                "faulty_config", "the configuration is invalid", faults=faults.faults
            )
            return Reply(body, HTTPStatus.UNPROCESSABLE_ENTITY)
        case ConfigUnavailable(reason, may_have_applied):
            return refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "store_unavailable",
                f"the store is unavailable: {reason}",
                may_have_applied=may_have_applied,
            )


def _body_of(config: StoredConfig) -> ConfigBody:
    return ConfigBody(
        config.revision, config.toml, config.author, config.submitted_unix_s
    )


@route("GET", "/v1/config/history", Access.OPERATOR, ConfigHistoryBody)
async def list_history(context: ApiContext, call: ApiCall) -> Reply:
    """List the stored revisions with their authors, oldest first."""
    result = await context.config_client.history()
    if isinstance(result, ConfigUnavailable):
        return _reply(result)
    revisions = tuple(
        ConfigRevisionBody(
            config.revision,
            config.author,
            config.submitted_unix_s,
            len(config.toml.encode()),
        )
        for config in result
    )
    return Reply(ConfigHistoryBody(revisions))


@route("GET", "/v1/config/history/{revision}", Access.OPERATOR, ConfigBody)
async def get_revision(context: ApiContext, call: ApiCall) -> Reply:
    """Return one stored revision."""
    text = call.path["revision"]
    if not text.isascii() or not text.isdigit() or len(text) > 8:
        return refuse(HTTPStatus.BAD_REQUEST, "bad_request", "not a revision number")
    result = await context.config_client.revision(int(text))
    if isinstance(result, ConfigUnavailable):
        return _reply(result)
    if result is None:
        return refuse(HTTPStatus.NOT_FOUND, "not_found", "no such revision is stored")
    return Reply(_body_of(result))


@route("POST", "/v1/config/diff", Access.OPERATOR, ConfigDiffBody, ConfigTextBody)
async def diff_config(context: ApiContext, call: ApiCall) -> Reply:
    """Return how a text differs from the current configuration."""
    parsed = parse_fleet(call.read(ConfigTextBody).toml)
    if isinstance(parsed, ConfigFaults):
        return _reply(ConfigRefused(parsed))
    fleet = await context.fresh_fleet()
    return Reply(ConfigDiffBody(fleet.revision, diff_fleets(fleet, parsed)))


@route("GET", "/v1/config/status", Access.OPERATOR, ConfigStatusBody)
async def config_status(context: ApiContext, call: ApiCall) -> Reply:
    """Return the share of agents that have acknowledged each revision."""
    agents = context.fleet_view.agents()
    counts = Counter(agent.config_revision for agent in agents)
    push = context.config_client.current()
    return Reply(
        ConfigStatusBody(
            revision=push.revision if push is not None else 0,
            n_agents=len(agents),
            n_silent=sum(agent.silent_s > SILENT_AFTER_S for agent in agents),
            shares=tuple(
                RevisionShareBody(revision, n_agents, n_agents / len(agents))
                for revision, n_agents in sorted(counts.items(), reverse=True)
            ),
        )
    )
