"""Reads and writes the files named on the command line."""

import sys
from pathlib import Path

from almondspan.exit_codes import ExitCode
from almondspan.results import Result

__all__ = ["read_text", "usage_error", "write_text"]


def usage_error(reason: str) -> Result:
    """Return the result of an incorrect command."""
    data = {"error": {"kind": "usage", "reason": reason}}
    return Result(ExitCode.USAGE, reason, data)


def read_text(file: str) -> str | Result:
    """Return the text of a file, or of standard input for ``-``, or the error."""
    try:
        if file == "-":
            return sys.stdin.read()
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return usage_error(f"{file}: {error}")


def write_text(file: str, text: str) -> Result | None:
    """Write a file; return the error, or None."""
    try:
        Path(file).write_text(text, encoding="utf-8")
    except OSError as error:
        return usage_error(f"{file}: {error}")
    return None
