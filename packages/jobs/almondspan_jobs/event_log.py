"""Structured log lines on the standard output, bounded and non-blocking.

Each line is one JSON object with the time, the process, the event and its fields.
Lines are buffered and written together every few milliseconds. When the reader of the
output is slow, lines beyond the buffer's limit are dropped and counted; the count is
logged once the buffer is empty again. Each event is also limited to a number of lines
per second, and each line to a length; a field that can't be encoded is cut short.
"""

import asyncio
import os
import time
from typing import Any, Final, Protocol

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, MAX_REASON_CHARS
from almondspan_jobs.clocks import steady_s

__all__ = ["EventLog", "StdoutLog"]

FLUSH_S: Final = 0.02
BUFFER_LIMIT_BYTES: Final = 512 * 1024
MAX_LINES_PER_S: Final = 400
"""Limit for each event; the number of suppressed lines is logged."""

MAX_LINE_BYTES: Final = 16 * 1024
"""The fields of a longer line are cut short."""

STDOUT: Final = 1


class EventLog(Protocol):
    """A sink for structured log lines."""

    def line(self, event: str, **fields: Any) -> None:
        """Log an event with its fields."""
        ...


class StdoutLog:
    """An `EventLog` on the standard output."""

    def __init__(self, process: str, descriptor: int = STDOUT) -> None:
        self._process: Final = process
        self._descriptor: Final = descriptor
        self._encoder: Final = msgspec.json.Encoder()
        self._buffer = bytearray()
        self._is_scheduled = False
        self._window_s = 0.0
        self._n_by_event: dict[str, int] = {}
        self.n_dropped = 0
        os.set_blocking(descriptor, False)

    def line(self, event: str, **fields: Any) -> None:
        """Log an event, or drop it if its rate or the buffer exceeds the limit."""
        if not self._is_within_budget(event):
            return
        head = {"time": round(time.time(), 3), "process": self._process}
        self._add({**head, "event": event, **fields})

    def _is_within_budget(self, event: str) -> bool:
        now_s = steady_s()
        if now_s - self._window_s >= 1.0:
            self._report_suppressed()
            self._window_s = now_s
        n_lines = self._n_by_event.get(event, 0) + 1
        self._n_by_event[event] = n_lines
        return n_lines <= MAX_LINES_PER_S

    def _report_suppressed(self) -> None:
        counts, self._n_by_event = self._n_by_event, {}
        for event, n_lines in counts.items():
            if n_lines > MAX_LINES_PER_S:
                n_suppressed = n_lines - MAX_LINES_PER_S
                self._add({"event": "lines_suppressed", "of": event, "n": n_suppressed})

    def _add(self, body: dict[str, Any]) -> None:
        if len(self._buffer) > BUFFER_LIMIT_BYTES:
            self.n_dropped += 1
            return
        self._buffer += self._encode(body) + b"\n"
        if not self._is_scheduled:
            self._schedule()

    def _encode(self, body: dict[str, Any]) -> bytes:
        """Encode a line; fields that can't be encoded, or are too long, are cut."""
        try:
            data = self._encoder.encode(body)
        except (*DECODE_ERRORS, TypeError):
            data = b""
        if 0 < len(data) <= MAX_LINE_BYTES:
            return data
        texts = {name: _short_text(value) for name, value in body.items()}
        return self._encoder.encode(texts)

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_scheduled = True
        loop.call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Write what the descriptor accepts; the rest waits for the next flush."""
        self._is_scheduled = False
        try:
            n_written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            n_written = 0
        except OSError:
            # The reader has closed the output, so there is nowhere to report the error.
            self._buffer.clear()
            return
        del self._buffer[:n_written]
        if self._buffer:
            self._schedule()
        elif self.n_dropped:
            n_dropped, self.n_dropped = self.n_dropped, 0
            self.line("lines_dropped", n=n_dropped)


def _short_text(value: object) -> object:
    """Return a field as short text."""
    if isinstance(value, float) or value is None:
        return value
    try:
        text = value if isinstance(value, str) else repr(value)
    except DECODE_ERRORS as error:
        text = type(error).__name__
    return text[:MAX_REASON_CHARS].encode(errors="replace").decode()
