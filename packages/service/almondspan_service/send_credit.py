"""Credit-based flow control: bytes that a receiver allows its sender to send."""

import asyncio

__all__ = ["SendCredit"]


class SendCredit:
    """Granted bytes that have not been sent yet; used by a single sender."""

    def __init__(self, n_bytes: int) -> None:
        self._n_bytes = n_bytes
        self._closed = False
        self._waiter: asyncio.Future[None] | None = None

    def grant(self, n_bytes: int) -> None:
        """Add `n_bytes` to the credit."""
        self._n_bytes += n_bytes
        self._wake()

    def close(self) -> None:
        """Make `take` return 0 from now on."""
        self._closed = True
        self._wake()

    def take_now(self, n_wanted: int) -> int:
        """Use up to `n_wanted` bytes of the credit without waiting."""
        n_taken = min(n_wanted, self._n_bytes)
        self._n_bytes -= n_taken
        return n_taken

    async def take(self, n_wanted: int) -> int:
        """Wait for credit and use 1 to `n_wanted` bytes of it; 0 when closed."""
        while self._n_bytes <= 0 and not self._closed:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return 0 if self._closed else self.take_now(n_wanted)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
