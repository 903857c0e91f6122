"""A crowd of clients that send prepared bytes and read no response.

The connections of a crowd are served in turn, each with one piece at a time, as far as
the other side takes it. A client whose bytes are all sent keeps its connection open.
"""

import errno
import selectors
import socket
import threading
import time
from collections.abc import Iterator, Sequence

MAX_IDLE_S = 2.0
"""The crowd stops to send when the other side has taken nothing for this long."""

MAX_SEND_S = 20.0
"""The crowd stops to send after this; no check depends on it."""

Pieces = Iterator[bytes]


class Client:
    """One connection and the pieces that it sends."""

    def __init__(self, address: tuple[str, int], pieces: Pieces) -> None:
        self._pieces = pieces
        self._rest = memoryview(b"")
        self.n_sent = 0
        self.is_cut = False
        """Whether the other side has closed the connection."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        code = self.socket.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            self.is_cut = True

    def send(self) -> bool:
        """Send one piece; return False if there is nothing more to send."""
        if not self._rest:
            piece = next(self._pieces, None)
            if piece is None:
                return False
            self._rest = memoryview(piece)
        try:
            n_sent = self.socket.send(self._rest)
        except BlockingIOError:
            return True
        except OSError:
            self.is_cut = True
            return False
        self.n_sent += n_sent
        self._rest = self._rest[n_sent:]
        return True


class Crowd:
    """Clients that send at the same time, in a thread of their own."""

    def __init__(self, address: tuple[str, int], pieces: Sequence[Pieces]) -> None:
        self.clients = [Client(address, item) for item in pieces]
        self.has_sent = threading.Event()
        self._must_stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Crowd":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._must_stop.set()
        self._thread.join()
        for client in self.clients:
            client.socket.close()

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                selector.register(client.socket, selectors.EVENT_WRITE, client)
            began_s = last_s = time.monotonic()
            while selector.get_map() and not self._must_stop.is_set():
                for key, _ in selector.select(0.1):
                    n_before = key.data.n_sent
                    if not key.data.send():
                        selector.unregister(key.fileobj)
                    if key.data.n_sent > n_before:
                        last_s = time.monotonic()
                now_s = time.monotonic()
                if now_s - last_s > MAX_IDLE_S or now_s - began_s > MAX_SEND_S:
                    break
        self.has_sent.set()
