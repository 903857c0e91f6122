"""Explains a conflict between the configurations of two operators.

The base is the revision that the rejected operator edited. The explanation lists the
changes from the base to the active configuration, the changes from the base to the
rejected one, and the keys that both changed to different values.
"""

from dataclasses import dataclass

from almondspan.answers import Config
from almondspan.client import AdminClient, NoAnswer, Refused, path_of
from almondspan.exit_codes import ExitCode
from almondspan.results import Result, failure
from almondspan.tables import format_time
from almondspan.texts import (
    ALREADY_IN_FORCE,
    CONFLICT_BASE_GONE,
    CONFLICT_CLASHES,
    CONFLICT_NEXT,
    CONFLICT_OURS,
    CONFLICT_THEIRS,
    CONFLICT_TITLE,
    UNREADABLE_REVISION,
)
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_diff import Difference, clashing_keys, diff_fleets
from almondspan_decisions.fleet_document import ConfigFaults, parse_fleet

__all__ = ["difference_lines", "explain_conflict", "read_fleet"]


@dataclass(frozen=True, slots=True)
class _Changes:
    """The changes of both sides.

    Without a base, ``theirs`` is empty and ``ours`` lists the differences from the
    active configuration.
    """

    theirs: tuple[Difference, ...]
    ours: tuple[Difference, ...]
    clashes: tuple[str, ...]
    has_base: bool


async def explain_conflict(
    client: AdminClient, ours: FleetConfig, expected: int, refused: Refused
) -> Result:
    """Return the result of a submission that was rejected with a conflict."""
    current = refused.refusal.current
    if current is None:
        return failure(refused)
    theirs = read_fleet(current)
    if isinstance(theirs, Result):
        return theirs
    if not diff_fleets(theirs, ours):
        text = ALREADY_IN_FORCE.format(revision=current.revision)
        return Result(ExitCode.DONE, text, {"revision": current.revision})
    changes = _compare(await _read_base(client, expected), ours, theirs)
    data = {
        "error": refused.refusal,
        "their_changes": changes.theirs,
        "your_changes": changes.ours,
        "clashes": changes.clashes,
    }
    return Result(ExitCode.CONFLICT, _conflict_text(changes, current, expected), data)


def _compare(
    base: FleetConfig | None, ours: FleetConfig, theirs: FleetConfig
) -> _Changes:
    if base is None:
        return _Changes((), diff_fleets(theirs, ours), (), has_base=False)
    our_changes = diff_fleets(base, ours)
    their_changes = diff_fleets(base, theirs)
    clashes = clashing_keys(our_changes, their_changes)
    return _Changes(their_changes, our_changes, clashes, has_base=True)


def _conflict_text(changes: _Changes, current: Config, expected: int) -> str:
    lines = [
        CONFLICT_TITLE.format(
            expected=expected,
            revision=current.revision,
            author=current.author,
            time=format_time(current.submitted_unix_s),
        )
    ]
    if changes.has_base:
        lines += [CONFLICT_THEIRS.format(expected=expected)]
        lines += difference_lines(changes.theirs)
        lines += [CONFLICT_OURS.format(expected=expected)]
        lines += difference_lines(changes.ours)
        clashes = ", ".join(changes.clashes) or "nothing"
        lines += [CONFLICT_CLASHES.format(clashes=clashes)]
    else:
        lines += [CONFLICT_BASE_GONE.format(expected=expected)]
        lines += difference_lines(changes.ours)
    return "\n".join([*lines, CONFLICT_NEXT.format(revision=current.revision)])


async def _read_base(client: AdminClient, revision: int) -> FleetConfig | None:
    """Return the revision that was edited, or None if it cannot be read."""
    if revision == 0:
        return FleetConfig()
    response = await client.get(path_of("config", "history", str(revision)), Config)
    if isinstance(response, Refused | NoAnswer):
        return None
    fleet = read_fleet(response)
    return None if isinstance(fleet, Result) else fleet


def read_fleet(config: Config) -> FleetConfig | Result:
    """Parse a revision, or return an error result if it cannot be parsed."""
    parsed = parse_fleet(config.toml, strict=False)
    if not isinstance(parsed, ConfigFaults):
        return parsed
    text = UNREADABLE_REVISION.format(revision=config.revision, fault=parsed.faults[0])
    return Result(ExitCode.REFUSED, text, {"faults": parsed.faults})


def difference_lines(differences: tuple[Difference, ...]) -> list[str]:
    """Return one line for each difference, or the line ``none``."""
    return [f"  {difference}" for difference in differences] or ["  none"]
