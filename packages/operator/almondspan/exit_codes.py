"""What the command line's exit codes mean."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """The exit code of a command."""

    DONE = 0
    """It was carried out, or what was asked about is in order."""

    BROKEN = 1
    """The command itself failed; its trace is printed."""

    USAGE = 2
    """The command or a file is at fault; nothing was sent."""

    REFUSED = 3
    """The fleet refused it (token, role, limits, unknown name); nothing changed."""

    CONFLICT = 4
    """Somebody else was first: another revision, or a job id that is taken."""

    NOT_DONE = 5
    """No answer in time; nothing was changed."""

    UNKNOWN = 6
    """No answer in time; it may be in force. Repeating the command is safe."""

    ATTENTION = 7
    """A report is complete and names something late, failed, lost or missing."""
