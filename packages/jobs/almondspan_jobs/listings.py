"""Makes the message that forwards a poll to the owner, within the limit of a frame.

Long checkpoints may need more than a frame. Some of the running attempts are then
listed without theirs, in turn: the owner keeps the one it has. Some of the ends are
left out; the worker lists them again until they are acknowledged.
"""

from collections.abc import Sequence
from typing import Final

from almondspan_jobs.messages import WorkerListing
from almondspan_platform.task_worker import EndedTask, RunningTask, WorkerPoll

__all__ = ["make_listing"]

MAX_RUNNING_BYTES: Final = 300_000
"""Length of the checkpoints of running attempts in one message."""

MAX_ENDED_BYTES: Final = 300_000
"""Length of the checkpoints of ends in one message; a longer one goes alone."""


def make_listing(poll: WorkerPoll, turn: int, *, is_paced: bool) -> WorkerListing:
    """Return the message that forwards a poll.

    Parameters
    ----------
    turn : int
        Rises with each message, and decides whose checkpoints are listed.
    is_paced : bool
        Whether best-effort tasks run below their full pace.
    """
    ended = _first_ends(poll.ended)
    checkpoints = _checkpoints_in_turn(poll.running, turn)
    return WorkerListing(
        poll.started_ms,
        poll.clock_ms,
        [
            (task.task, task.attempt, checkpoint, task.percent, task.measurement)
            for task, checkpoint in zip(poll.running, checkpoints, strict=True)
        ],
        [
            (end.number, end.task, end.attempt, end.how.value, end.checkpoint)
            for end in ended
        ],
        is_paced,
        poll.lists_all_ends and len(ended) == len(poll.ended),
    )


def _first_ends(ended: Sequence[EndedTask]) -> Sequence[EndedTask]:
    """Return the ends that there is room for, the first one in any case."""
    n_bytes = 0
    for position, end in enumerate(ended):
        n_bytes += len(end.checkpoint.encode())
        if position and n_bytes > MAX_ENDED_BYTES:
            return ended[:position]
    return ended


def _checkpoints_in_turn(running: Sequence[RunningTask], turn: int) -> list[str]:
    """Return the checkpoints that there is room for, and empty ones for the others."""
    checkpoints = [""] * len(running)
    n_bytes = 0
    for offset in range(len(running)):
        position = (turn + offset) % len(running)
        checkpoint = running[position].checkpoint
        n_bytes += len(checkpoint.encode())
        if n_bytes > MAX_RUNNING_BYTES:
            break
        checkpoints[position] = checkpoint
    return checkpoints
