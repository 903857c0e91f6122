"""Bytes that a sender may still send to a receiver of limited memory."""

import asyncio

__all__ = ["SendCredit"]


class SendCredit:
    """A count of granted bytes that one sender takes from."""

    def __init__(self, n_bytes: int) -> None:
        self._n_bytes = n_bytes
        self._closed = False
        self._waiter: asyncio.Future[None] | None = None

    def grant(self, n_bytes: int) -> None:
        """Let the sender send `n_bytes` more."""
        self._n_bytes += n_bytes
        self._wake()

    def close(self) -> None:
        """Let `take` return 0 from now on."""
        self._closed = True
        self._wake()

    def take_now(self, n_wanted: int) -> int:
        """Take up to `n_wanted` bytes without waiting."""
        n_taken = min(n_wanted, self._n_bytes)
        self._n_bytes -= n_taken
        return n_taken

    async def take(self, n_wanted: int) -> int:
        """Take from 1 to `n_wanted` bytes, once there are any; 0 when closed."""
        while self._n_bytes <= 0 and not self._closed:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return 0 if self._closed else self.take_now(n_wanted)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
