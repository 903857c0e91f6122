"""The result of a command: exit code, text for people, and data for programs."""

from dataclasses import dataclass
from typing import Any

from almondspan.client import NoAnswer, Refused
from almondspan.exit_codes import ExitCode
from almondspan.texts import NO_ANSWER, REFUSED, UNKNOWN_RESULT

__all__ = ["Result", "failure"]


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a command.

    ``data`` is printed with ``--json``, otherwise ``text``; the text of a failed
    command goes to standard error.
    """

    code: ExitCode
    text: str
    data: Any


def failure(found: Refused | NoAnswer) -> Result:
    """Return the result of a request that was rejected or not answered."""
    if isinstance(found, NoAnswer):
        text = UNKNOWN_RESULT if found.may_have_applied else NO_ANSWER
        code = ExitCode.UNKNOWN if found.may_have_applied else ExitCode.NOT_DONE
        return Result(code, text.format(reason=found.reason), {"error": found})
    refusal = found.refusal
    lines = [REFUSED.format(kind=refusal.kind, reason=refusal.reason)]
    lines += [
        f"  {fault.key} = {fault.value}; allowed: {fault.allowed}"
        for fault in refusal.faults
    ]
    is_conflict = refusal.kind in ("conflict", "stale_token")
    code = ExitCode.CONFLICT if is_conflict else ExitCode.REFUSED
    return Result(code, "\n".join(lines), {"error": refusal})
