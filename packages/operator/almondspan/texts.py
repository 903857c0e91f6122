"""Messages and table headers that the command line prints."""

from typing import Final

__all__ = [
    "AGENT_HEADERS",
    "ALREADY_IN_FORCE",
    "BURN_ALERT_HEADERS",
    "BURN_NO_SERVICE",
    "BURN_PAGE_WRITTEN",
    "BURN_WINDOW_HEADERS",
    "CONFIG_ACCEPTED",
    "CONFIG_AGENTS",
    "CONFIG_HEADER",
    "CONFIG_IN_FORCE",
    "CONFIG_NONE",
    "CONFIG_OK",
    "CONFLICT_BASE_GONE",
    "CONFLICT_CLASHES",
    "CONFLICT_NEXT",
    "CONFLICT_OURS",
    "CONFLICT_THEIRS",
    "CONFLICT_TITLE",
    "DRAINING",
    "FILE_FAULT",
    "HISTORY_HEADERS",
    "JOB_CONFLICT",
    "JOB_HEADERS",
    "LOSS_DECLARED",
    "LOSS_NEXT",
    "MORE_NOTES",
    "NOT_TRUSTED",
    "NO_ANSWER",
    "NO_DIFFERENCE",
    "NO_ENTRIES",
    "NO_EXPECTED",
    "NO_PLOTS",
    "NO_TOKEN",
    "PLAIN_REFUSED",
    "PLAN_USAGE",
    "REFUSED",
    "RESUMED",
    "SHARD_HEADERS",
    "SUBMITTED",
    "TOKEN_MADE",
    "UNKNOWN_RESULT",
    "UNREADABLE_REVISION",
]

PLAN_USAGE: Final = """\
usage: python PLAN.py config         print the fleet's configuration
       python PLAN.py order NAME     print an order's records (orders: {orders})
       python PLAN.py jobs           print the single jobs
"""

NO_ENTRIES: Final = (
    "no entry addresses given: set ALMONDSPAN_ENTRIES or --entries to the "
    "administration addresses, such as http://127.0.0.1:8081,http://127.0.0.1:8082"
)
NO_TOKEN: Final = (
    "no token: set ALMONDSPAN_TOKEN, or --token_file to a file that holds it"
)
NO_EXPECTED: Final = (
    "which revision did you edit? Give --expected N (0 for the first configuration); "
    "`almondspan config history` lists the revisions, and the first line that "
    "`almondspan config show` prints contains the revision"
)
FILE_FAULT: Final = "{file}: {fault}"
REFUSED: Final = "refused ({kind}): {reason}"
NO_ANSWER: Final = "no answer, nothing was changed: {reason}"
UNKNOWN_RESULT: Final = (
    "no answer; the change may have taken effect: {reason}\n"
    "repeating the same command is safe"
)

CONFIG_HEADER: Final = "# revision {revision}"
CONFIG_IN_FORCE: Final = "revision {revision} is in force"
CONFIG_NONE: Final = (
    "no configuration is in force yet; submit the first with --expected 0 and the "
    "bootstrap token"
)
CONFIG_AGENTS: Final = "{n_agents} agents are known, {n_silent} silent"
CONFIG_OK: Final = "{file}: valid ({n_teams} teams, {n_orders} orders)"
CONFIG_ACCEPTED: Final = "accepted as revision {revision}"
ALREADY_IN_FORCE: Final = "revision {revision} already holds exactly this"
NO_DIFFERENCE: Final = "no difference to revision {revision}"
CONFLICT_TITLE: Final = (
    "conflict: you edited revision {expected}; revision {revision} is in force, "
    "by {author} at {time}. Nothing was changed."
)
CONFLICT_THEIRS: Final = "their changes since revision {expected}:"
CONFLICT_OURS: Final = "your changes since revision {expected}:"
CONFLICT_CLASHES: Final = "both changed, differently: {clashes}"
CONFLICT_BASE_GONE: Final = (
    "revision {expected} is no longer stored; their text compared with yours:"
)
CONFLICT_NEXT: Final = (
    "next: merge their changes into your plan, then submit with --expected {revision}"
)

SUBMITTED: Final = (
    "{n_accepted} accepted, {n_known} known already, {n_conflicts} conflicts, "
    "{n_refused} refused"
)
MORE_NOTES: Final = "  and {n_more} more; --json lists all"
JOB_CONFLICT: Final = (
    "a job in conflict continues as first submitted; the file's version differs"
)
PLAIN_REFUSED: Final = (
    "{address} would send the token without encryption to another machine; use an "
    "https address, or set ALMONDSPAN_ALLOW_PLAIN=1"
)
NOT_TRUSTED: Final = (
    "{address}: its certificate is not trusted; set ALMONDSPAN_CA to the certificate "
    "file of the authority that signed it"
)
UNREADABLE_REVISION: Final = (
    "revision {revision} cannot be read by this release of almondspan: {fault}"
)
DRAINING: Final = (
    "{agent_id} drains: it accepts no new work; stop its process once "
    "`almondspan fleet agents` shows no tasks and no shards there"
)
RESUMED: Final = "{agent_id} accepts work again"
LOSS_NEXT: Final = (
    "to declare it, within five minutes: almondspan lost {kind} {name} --token {token}"
)
LOSS_DECLARED: Final = "{kind} {name} is declared lost"
TOKEN_MADE: Final = (
    "token (give it to the team and store it nowhere else): {token}\n"
    "token_sha256 (put it into the plan): {digest}"
)

JOB_HEADERS: Final = ("JOB", "STATE", "STAGE", "ATTEMPTS", "EVICTIONS", "OUTCOME")
AGENT_HEADERS: Final = (
    "AGENT",
    "WORKER",
    "PLACE",
    "TASKS",
    "SHARDS",
    "FREE CPU",
    "FREE MB",
    "REVISION",
    "SILENT S",
    "STATE",
)
BURN_WINDOW_HEADERS: Final = ("WINDOW", "BURN", "CALLS", "MISSED")
BURN_ALERT_HEADERS: Final = ("ALERT", "WINDOWS", "THRESHOLD", "BURN", "STATE")
BURN_NO_SERVICE: Final = "no service is configured, or this entry has no statistics"
BURN_PAGE_WRITTEN: Final = "the page is in {file}"
NO_PLOTS: Final = "the page needs matplotlib: pip install 'almondspan[plots]' ({error})"
SHARD_HEADERS: Final = ("SHARD", "OWNER", "EPOCH")
HISTORY_HEADERS: Final = ("REVISION", "AUTHOR", "SUBMITTED", "BYTES")
