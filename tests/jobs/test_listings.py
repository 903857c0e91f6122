"""A poll with long checkpoints is forwarded within the limit of a frame."""

import pytest

from almondspan_jobs.listings import make_listing
from almondspan_jobs.messages import WorkerListing
from almondspan_platform.task_worker import (
    EndedTask,
    EndReason,
    RunningTask,
    WorkerPoll,
)
from almondspan_wire.codec import MAX_FRAME_BYTES, encode

LONGEST = "\U0001f330" * 64_000


def make_poll(n_running: int, n_ended: int, checkpoint: str) -> WorkerPoll:
    return WorkerPoll(
        5,
        6,
        tuple(RunningTask(f"r{n}", 1, checkpoint, 10) for n in range(n_running)),
        tuple(
            EndedTask(n, f"e{n}", 1, EndReason.STOPPED, checkpoint)
            for n in range(1, n_ended + 1)
        ),
    )


def forward(poll: WorkerPoll, turn: int = 0) -> WorkerListing:
    return make_listing(poll, turn, is_paced=False)


@pytest.mark.parametrize("checkpoint", ["", "c" * 16, "c" * 64_000, LONGEST])
@pytest.mark.parametrize(("n_running", "n_ended"), [(1, 0), (0, 1), (600, 500)])
def test_listing_fits_into_a_frame(
    checkpoint: str, n_running: int, n_ended: int
) -> None:
    """Guards against LOST: a worker's listings that can't be sent to the owner."""
    listing = forward(make_poll(n_running, n_ended, checkpoint))
    assert len(encode(listing)) <= MAX_FRAME_BYTES
    assert len(listing.running) == n_running
    assert bool(listing.ended) is bool(n_ended)


@pytest.mark.parametrize("checkpoint", ["", "c" * 16])
def test_usual_poll_is_forwarded_whole(checkpoint: str) -> None:
    poll = make_poll(100, 80, checkpoint)
    listing = forward(poll)
    assert [row[2] for row in listing.running] == [checkpoint] * 100
    assert [row[4] for row in listing.ended] == [checkpoint] * 80
    assert listing.lists_all_ends


def test_ends_that_are_left_out_may_hide_others() -> None:
    """Guards against TWICE: an end that is listed later, taken for no end."""
    listing = forward(make_poll(0, 20, "c" * 64_000))
    assert [row[0] for row in listing.ended] == [1, 2, 3, 4]
    assert not listing.lists_all_ends


def test_each_running_attempt_has_its_checkpoint_listed_in_turn() -> None:
    poll = make_poll(30, 0, "c" * 64_000)
    listed: set[str] = set()
    for turn in range(30):
        rows = forward(poll, turn).running
        listed |= {row[0] for row in rows if row[2]}
    assert len(listed) == 30
