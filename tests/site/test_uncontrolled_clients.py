"""Clients outside the system's control neither end nor hang a process.

Each test starts one process with little memory and few descriptors, and lets a crowd of
clients send it what it has to bound. It checks

- that the process is alive, and that an ordinary request gets its ordinary response
  while the crowd's connections are open, and after they have gone;
- that its memory was never above `limits.memoryMb`, beyond which the platform kills it;
- that its descriptors were never more than `limits.maxFds` without those reserved for
  files;
- that it returns to at most a quarter of `limits.memoryMb` above its memory at rest;
- that no client could send more than `limits.memoryMb` in a request without end.
"""

import itertools
import zlib
from collections.abc import Callable

import pytest
from client_crowd import Crowd, Pieces
from role_rig import (
    ANSWER_LIMIT_S,
    MAX_BODY_BYTES,
    MAX_FDS,
    MAX_REPORT_BYTES,
    MEMORY_MB,
    PORTS,
    QUEUE_HOST,
    RESERVED_FDS,
    ROLE_OF,
    WORKER,
    RunningRole,
    running_role,
    wait_until,
)

from almondspan_jobs.messages import StateRequest
from almondspan_wire.channel import Heartbeat
from almondspan_wire.codec import MAX_FRAME_BYTES, encode

ENDLESS_BYTES = MEMORY_MB * 1_000_000
"""What a client without end sends at most."""

MISSING_BYTES = 10
"""How far short of its end a request stops."""

PIECE_BYTES = 64 * 1024
SMALL_PIECE_BYTES = 16_000
N_SMALL_CHUNKS = 100_000

PATHS = {"front": "/q/00000000000000aa", "control": f"/api/runners/{WORKER}"}
METHODS = {"front": "POST", "control": "PUT"}
BODY_BYTES = {"control": MAX_REPORT_BYTES}


def head(listener: str, *fields: str) -> bytes:
    """Return a request's head without its empty line."""
    method = METHODS.get(listener, "POST")
    line = f"{method} {PATHS.get(listener, '/')} HTTP/1.1"
    return "\r\n".join((line, f"Host: {QUEUE_HOST}", *fields, "")).encode()


def cut(data: bytes, n_bytes: int) -> Pieces:
    """Return the data in pieces of this size."""
    return iter([data[at : at + n_bytes] for at in range(0, len(data), n_bytes)])


def repeated(first: bytes, piece: bytes) -> Pieces:
    """Return a first piece and another again and again, up to the limit of a client."""
    n_times = ENDLESS_BYTES // len(piece) + 1
    return itertools.chain([first], itertools.repeat(piece, n_times))


# Heads


def long_heads(listener: str) -> list[Pieces]:
    """Heads of 800,000 bytes, each field within the usual limits, without their end."""
    fields = [f"X-Field-{number}: {'v' * 7_900}" for number in range(100)]
    return [cut(head(listener, *fields), PIECE_BYTES) for _ in range(200)]


def endless_heads(listener: str) -> list[Pieces]:
    line = head(listener).splitlines()[0]
    value = repeated(head(listener) + b"X-Field: ", b"v" * PIECE_BYTES)
    fields = repeated(head(listener), b"X-Field: value\r\n" * 4_000)
    target = repeated(line.removesuffix(b" HTTP/1.1"), b"t" * PIECE_BYTES)
    name = repeated(head(listener), b"n" * PIECE_BYTES)
    return [value, fields, target, name]


def empty_lines(listener: str) -> list[Pieces]:
    return [repeated(b"\r\n", b"\r\n" * (PIECE_BYTES // 2)) for _ in range(4)]


def odd_lengths(listener: str) -> list[Pieces]:
    """Lengths of bodies and of chunks that are no numbers, or no sensible ones."""
    lengths = (
        "abc",
        "-5",
        "1e9",
        "5, 6",
        "0x10",
        "9" * 400,
        "",
        "5\r\nContent-Length: 6",
    )
    chunks = ("xyz", "-1", "f" * 40, "", "5 5")
    requests = [
        head(listener, f"Content-Length: {length}") + b"\r\nbody" for length in lengths
    ] + [
        head(listener, "Transfer-Encoding: chunked") + f"\r\n{size}\r\nbody".encode()
        for size in chunks
    ]
    return [iter([request]) for _ in range(12) for request in requests]


# Bodies


def body_start(listener: str) -> bytes:
    """Return a request of the largest legal size without the end of its body."""
    n_bytes = BODY_BYTES.get(listener, MAX_BODY_BYTES)
    start = head(listener, f"Content-Length: {n_bytes}") + b"\r\n"
    return start + b" " * (n_bytes - MISSING_BYTES)


def n_bodies(listener: str) -> int:
    """Return how many of these bodies are more than the process may hold."""
    return 400 if listener != "control" else 60


def whole_bodies(listener: str) -> list[Pieces]:
    return [iter([body_start(listener)]) for _ in range(n_bodies(listener))]


def bodies_in_pieces(listener: str) -> list[Pieces]:
    data = body_start(listener)
    return [cut(data, SMALL_PIECE_BYTES) for _ in range(n_bodies(listener))]


def complete_bodies(listener: str) -> list[Pieces]:
    """Jobs of the largest legal size, with as many steps as they hold."""
    n_steps = (MAX_BODY_BYTES - 20) // len(b"{},")
    body = b'{"steps":[' + b",".join([b"{}"] * n_steps) + b"]}"
    data = head(listener, f"Content-Length: {len(body)}") + b"\r\n" + body
    return [iter([data]) for _ in range(60)]


def chunked_start(listener: str) -> bytes:
    return head(listener, "Transfer-Encoding: chunked") + b"\r\n"


def chunk(n_bytes: int) -> bytes:
    return f"{n_bytes:x}\r\n".encode() + b" " * n_bytes + b"\r\n"


def legal_chunked_bodies(listener: str) -> list[Pieces]:
    """Chunked bodies within the limit, without their last chunk."""
    n_chunks = BODY_BYTES.get(listener, MAX_BODY_BYTES) // PIECE_BYTES
    data = chunked_start(listener) + chunk(PIECE_BYTES) * n_chunks
    return [iter([data]) for _ in range(n_bodies(listener))]


def long_chunked_bodies(listener: str) -> list[Pieces]:
    """Chunked bodies of almost 4 MiB."""
    n_chunks = MAX_REPORT_BYTES // PIECE_BYTES - 1
    data = chunked_start(listener) + chunk(PIECE_BYTES) * n_chunks
    return [cut(data, PIECE_BYTES) for _ in range(60)]


def small_chunks(listener: str) -> list[Pieces]:
    data = chunked_start(listener) + chunk(1) * N_SMALL_CHUNKS
    return [cut(data, PIECE_BYTES) for _ in range(40)]


def endless_chunks(listener: str) -> list[Pieces]:
    """Bodies without end: their chunks, an extension of a chunk, and trailers."""
    start = chunked_start(listener)
    return [
        repeated(start, chunk(PIECE_BYTES)),
        repeated(start + b"5;name=", b"e" * PIECE_BYTES),
        repeated(start + chunk(5) + b"0\r\n", b"X-Field: value\r\n" * 4_000),
    ]


def compressed_bodies(listener: str) -> list[Pieces]:
    """Bodies of 64 MB that are compressed to 64 KB."""
    body = zlib.compress(bytes(64_000_000))
    fields = ("Content-Encoding: deflate", f"Content-Length: {len(body)}")
    data = head(listener, *fields) + b"\r\n" + body[:-MISSING_BYTES]
    return [iter([data]) for _ in range(60)]


# Connections


def silent(listener: str) -> list[Pieces]:
    return [iter([]) for _ in range(MAX_FDS + 200)]


def pipelined(listener: str) -> list[Pieces]:
    """Requests without a pause whose responses are not read."""
    field = f"X-Field: {'v' * 4_000}\r\n".encode()
    request = head(listener).replace(b"POST", b"GET") + field + b"\r\n"
    return [repeated(b"", request * 16) for _ in range(60)]


def pipelined_bodies(listener: str) -> list[Pieces]:
    body = b" " * BODY_BYTES.get(listener, MAX_BODY_BYTES)
    request = head(listener, f"Content-Length: {len(body)}") + b"\r\n" + body
    return [repeated(b"", request) for _ in range(20)]


# Frames of other processes


def frame_start(n_bytes: int) -> bytes:
    return MAX_FRAME_BYTES.to_bytes(4, "big") + bytes(n_bytes)


def whole_frames(listener: str) -> list[Pieces]:
    """Frames of the largest legal size without their end."""
    data = frame_start(MAX_FRAME_BYTES - MISSING_BYTES)
    return [cut(data, PIECE_BYTES) for _ in range(100)]


def frames_in_pieces(listener: str) -> list[Pieces]:
    data = frame_start(MAX_FRAME_BYTES - MISSING_BYTES)
    return [cut(data, SMALL_PIECE_BYTES) for _ in range(100)]


def frame(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + body


def small_frames(listener: str) -> list[Pieces]:
    """Very short messages without a pause."""
    data = frame(encode(Heartbeat())) * 4_000
    return [itertools.repeat(data, 20) for _ in range(40)]


def unread_replies(listener: str) -> list[Pieces]:
    """Requests without a pause whose replies are not read."""
    job: Callable[[int], str] = "{:016x}".format
    data = b"".join(
        frame(encode(StateRequest(number, job(number))))  # type: ignore[arg-type]
        for number in range(2_000)
    )
    return [itertools.repeat(data, 20) for _ in range(40)]


CASES = {
    "front": [
        long_heads,
        endless_heads,
        empty_lines,
        odd_lengths,
        whole_bodies,
        bodies_in_pieces,
        complete_bodies,
        legal_chunked_bodies,
        long_chunked_bodies,
        small_chunks,
        endless_chunks,
        compressed_bodies,
        silent,
        pipelined,
        pipelined_bodies,
    ],
    "ready": [long_heads, odd_lengths, whole_bodies, small_chunks, silent, pipelined],
    "control": [
        long_heads,
        endless_heads,
        empty_lines,
        odd_lengths,
        whole_bodies,
        bodies_in_pieces,
        long_chunked_bodies,
        small_chunks,
        endless_chunks,
        compressed_bodies,
        silent,
        pipelined,
        pipelined_bodies,
    ],
    "entry_metrics": [long_heads, odd_lengths, whole_bodies, silent, pipelined],
    "agent_metrics": [long_heads, odd_lengths, whole_bodies, silent, pipelined],
    "entry_peers": [
        whole_frames,
        frames_in_pieces,
        small_frames,
        unread_replies,
        silent,
    ],
    "agent_peers": [whole_frames, frames_in_pieces, small_frames, silent],
}
ENDLESS = {endless_heads, empty_lines, endless_chunks}


PARAMS = [
    pytest.param(listener, crowd, id=f"{listener}-{crowd.__name__}")
    for listener, crowds in CASES.items()
    for crowd in crowds
]


def print_figures(role: RunningRole, rest_mb: float, crowd: Crowd) -> None:
    """Print what a failure is judged by."""
    n_sent = [client.n_sent for client in crowd.clients]
    figures = f"descriptors {role.max_fds_seen}, most sent {max(n_sent)}"
    if role.is_alive:
        peak_mb, left_mb = role.memory_mb("VmHWM"), role.memory_mb("VmRSS")
        figures += f", MB at rest {rest_mb:.0f}, peak {peak_mb:.0f}, left {left_mb:.0f}"
    print(figures)


@pytest.mark.parametrize(("listener", "make_crowd"), PARAMS)
def test_process_serves_others_within_its_limits(
    listener: str, make_crowd: Callable[[str], list[Pieces]]
) -> None:
    with running_role(ROLE_OF[listener]) as role:
        rest_mb = role.memory_mb("VmRSS")
        crowd = Crowd((role.host, PORTS[listener]), make_crowd(listener))
        try:
            with crowd:
                role.ask_until_answered(listener)
                assert crowd.has_sent.wait(ANSWER_LIMIT_S)
                role.ask_until_answered(listener)
            role.ask_until_answered(listener)
            is_released = wait_until(
                lambda: role.memory_mb("VmRSS") <= rest_mb + MEMORY_MB / 4
            )
        finally:
            print_figures(role, rest_mb, crowd)
        assert role.is_alive
        assert role.memory_mb("VmHWM") <= MEMORY_MB
        assert role.max_fds_seen <= MAX_FDS - RESERVED_FDS
        assert is_released
        if make_crowd in ENDLESS:
            assert max(client.n_sent for client in crowd.clients) < ENDLESS_BYTES
