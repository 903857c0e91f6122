"""Reads and writes the files that a command names."""

import sys
from pathlib import Path

from almondspan.exit_codes import ExitCode
from almondspan.results import Result

__all__ = ["read_text", "usage_fault", "write_text"]


def usage_fault(reason: str) -> Result:
    """Return the result of a command that was not understood."""
    data = {"error": {"kind": "usage", "reason": reason}}
    return Result(ExitCode.USAGE, reason, data)


def read_text(file: str) -> str | Result:
    """Return a file's text (``-`` for the standard input), or why not."""
    try:
        if file == "-":
            return sys.stdin.read()
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return usage_fault(f"{file}: {error}")


def write_text(file: str, text: str) -> Result | None:
    """Write a file; returns why not, or None."""
    try:
        Path(file).write_text(text, encoding="utf-8")
    except OSError as error:
        return usage_fault(f"{file}: {error}")
    return None
