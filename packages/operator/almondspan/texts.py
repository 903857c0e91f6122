"""Every text that the command line prints to people."""

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
    "no entry is named: set ALMONDSPAN_ENTRIES or --entries to the administration "
    "addresses, as http://127.0.0.1:8081,http://127.0.0.1:8082"
)
NO_TOKEN: Final = (
    "no token: set ALMONDSPAN_TOKEN, or --token_file to a file that holds it"
)
NO_EXPECTED: Final = (
    "which revision did you edit? Give --expected N (0 for the very first); "
    "`almondspan config history` lists them, and `almondspan config show` prints a "
    "text that names its own"
)
FILE_FAULT: Final = "{file}: {fault}"
REFUSED: Final = "refused ({kind}): {reason}"
NO_ANSWER: Final = "no answer, nothing was changed: {reason}"
UNKNOWN_RESULT: Final = (
    "no answer; it may be in force: {reason}\nrepeating the same command is safe"
)

CONFIG_HEADER: Final = "# revision {revision}"
CONFIG_IN_FORCE: Final = "revision {revision} is in force"
CONFIG_NONE: Final = (
    "no configuration is in force yet; submit the first with --expected 0 and the "
    "bootstrap token"
)
CONFIG_AGENTS: Final = "{n_agents} agents are known, {n_silent} silent"
CONFIG_OK: Final = "{file}: in order ({n_teams} teams, {n_orders} orders)"
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
CONFLICT_BASE_GONE: Final = "revision {expected} is not kept; yours against theirs:"
CONFLICT_NEXT: Final = (
    "next: take their changes into your plan, then submit with --expected {revision}"
)

SUBMITTED: Final = (
    "{n_accepted} accepted, {n_known} known already, {n_conflicts} conflicts, "
    "{n_refused} refused"
)
MORE_NOTES: Final = "  and {n_more} more; --json names all"
JOB_CONFLICT: Final = (
    "a job in conflict goes on as it was first submitted; the file differs from that"
)
PLAIN_REFUSED: Final = (
    "{address} would carry the token without encryption beyond this machine; use an "
    "https address, or set ALMONDSPAN_ALLOW_PLAIN=1"
)
NOT_TRUSTED: Final = (
    "{address}: its certificate is not trusted; set ALMONDSPAN_CA to the file of the "
    "authority that signed it"
)
UNREADABLE_REVISION: Final = (
    "revision {revision} cannot be read by this release of almondspan: {fault}"
)
DRAINING: Final = (
    "{agent_id} drains: it takes no new work; stop its process when it shows no task "
    "and no shard any more"
)
RESUMED: Final = "{agent_id} takes work again"
LOSS_NEXT: Final = (
    "to declare it, within five minutes: almondspan lost {kind} {name} --token {token}"
)
LOSS_DECLARED: Final = "{kind} {name} is declared lost"
TOKEN_MADE: Final = (
    "token (give it to the team, keep it nowhere else): {token}\n"
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
BURN_NO_SERVICE: Final = "no service is configured, or this entry has no figures"
BURN_PAGE_WRITTEN: Final = "the page is in {file}"
NO_PLOTS: Final = "the page needs matplotlib: pip install 'almondspan[plots]' ({error})"
SHARD_HEADERS: Final = ("SHARD", "OWNER", "EPOCH")
HISTORY_HEADERS: Final = ("REVISION", "AUTHOR", "SUBMITTED", "BYTES")
