"""The exit codes of the command line."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """The exit code of a command."""

    DONE = 0
    """The command succeeded and found nothing that needs attention."""

    BROKEN = 1
    """The command failed with an internal error; its traceback is printed."""

    USAGE = 2
    """The command line or a file is invalid; nothing was sent."""

    REFUSED = 3
    """The fleet rejected it (token, role, limits, unknown name); nothing changed."""

    CONFLICT = 4
    """Conflict with another change: a newer revision, or a job id already in use."""

    NOT_DONE = 5
    """No answer within the time-out; nothing was changed."""

    UNKNOWN = 6
    """No answer within the time-out; the change may have taken effect.

    Repeating the command is safe.
    """

    ATTENTION = 7
    """The report is complete and shows something late, failed, lost or missing."""
