"""Commands that show, compare and submit the configuration."""

import re
import uuid
from dataclasses import dataclass
from typing import Final

from almondspan.answers import (
    Accepted,
    Config,
    ConfigHistory,
    ConfigStatus,
)
from almondspan.client import AdminClient, NoAnswer, Refused, path_of
from almondspan.config_conflict import (
    difference_lines,
    explain_conflict,
    read_fleet,
)
from almondspan.exit_codes import ExitCode
from almondspan.results import Result, failure
from almondspan.tables import format_share, format_table, format_time
from almondspan.texts import (
    CONFIG_ACCEPTED,
    CONFIG_AGENTS,
    CONFIG_HEADER,
    CONFIG_IN_FORCE,
    CONFIG_NONE,
    CONFIG_OK,
    FILE_FAULT,
    HISTORY_HEADERS,
    NO_DIFFERENCE,
)
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_diff import diff_fleets
from almondspan_decisions.fleet_document import ConfigFaults, parse_fleet
from almondspan_decisions.policy_names import known_policies

__all__ = [
    "ConfigFile",
    "check_config",
    "config_history",
    "config_status",
    "diff_config",
    "parse_revision",
    "show_config",
    "submit_config",
]

_REVISION_LINE: Final = re.compile(r"# revision (\d{1,9})\s*$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """A valid configuration that was read from a file."""

    file: str
    text: str
    fleet: FleetConfig


def check_config(file: str, text: str) -> ConfigFile | Result:
    """Return the configuration in a file's text, or a result with all errors."""
    parsed = parse_fleet(text, policies=known_policies())
    if isinstance(parsed, ConfigFaults):
        lines = [FILE_FAULT.format(file=file, fault=fault) for fault in parsed.faults]
        return Result(ExitCode.USAGE, "\n".join(lines), {"faults": parsed.faults})
    return ConfigFile(file, text, parsed)


def check_passed(config: ConfigFile) -> Result:
    """Return the result of a check that found no error."""
    text = CONFIG_OK.format(
        file=config.file,
        n_teams=len(config.fleet.teams),
        n_orders=len(config.fleet.orders),
    )
    return Result(ExitCode.DONE, text, {"faults": []})


def parse_revision(text: str) -> int | None:
    """Return the revision in the first line of a printed configuration, or None."""
    first_line = text.partition("\n")[0]
    match = _REVISION_LINE.match(first_line)
    return int(match.group(1)) if match else None


async def show_config(client: AdminClient, revision: int | None) -> Result:
    """Return a revision, by default the active one."""
    path = "/v1/config"
    if revision is not None:
        path = path_of("config", "history", str(revision))
    response = await client.get(path, Config)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    text = CONFIG_HEADER.format(revision=response.revision) + "\n" + response.toml
    return Result(ExitCode.DONE, text.rstrip("\n"), response)


async def diff_config(client: AdminClient, config: ConfigFile) -> Result:
    """Return how a file differs from the active configuration."""
    response = await client.get("/v1/config", Config)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    fleet = read_fleet(response)
    if isinstance(fleet, Result):
        return fleet
    differences = diff_fleets(fleet, config.fleet)
    text = "\n".join(
        [f"to revision {response.revision}:", *difference_lines(differences)]
    )
    if not differences:
        text = NO_DIFFERENCE.format(revision=response.revision)
    return Result(
        ExitCode.DONE, text, {"revision": response.revision, "differences": differences}
    )


async def submit_config(
    client: AdminClient, config: ConfigFile, expected: int, author: str
) -> Result:
    """Submit a file as the successor of the revision `expected`."""
    body = {
        "expected_revision": expected,
        "toml": config.text,
        "author": author,
        "submission_id": uuid.uuid4().hex,
    }
    response = await client.post("/v1/config", body, Accepted)
    if isinstance(response, Accepted):
        text = CONFIG_ACCEPTED.format(revision=response.revision)
        return Result(ExitCode.DONE, text, response)
    if isinstance(response, NoAnswer) or response.refusal.kind != "conflict":
        return failure(response)
    return await explain_conflict(client, config.fleet, expected, response)


async def config_history(client: AdminClient) -> Result:
    """List the stored revisions."""
    response = await client.get("/v1/config/history", ConfigHistory)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    rows = [
        (
            stored.revision,
            stored.author,
            format_time(stored.submitted_unix_s),
            stored.n_bytes,
        )
        for stored in response.revisions
    ]
    return Result(ExitCode.DONE, format_table(HISTORY_HEADERS, rows), response)


async def config_status(client: AdminClient) -> Result:
    """Return the share of agents that have acknowledged each revision."""
    response = await client.get("/v1/config/status", ConfigStatus)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    in_force = CONFIG_IN_FORCE.format(revision=response.revision)
    if response.revision == 0:
        in_force = CONFIG_NONE
    lines = [
        in_force,
        CONFIG_AGENTS.format(n_agents=response.n_agents, n_silent=response.n_silent),
    ]
    lines += [
        f"  revision {share.revision}: {share.n_agents} agents, "
        f"{format_share(share.share)}"
        for share in response.shares
    ]
    is_up_to_date = all(
        share.revision >= response.revision for share in response.shares
    )
    code = ExitCode.DONE if is_up_to_date else ExitCode.ATTENTION
    return Result(code, "\n".join(lines), response)
