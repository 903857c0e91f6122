"""A token bucket that limits the rate of calls."""

import asyncio
from typing import Final

__all__ = ["TokenBucket"]


class TokenBucket:
    """Grants one token per call; tokens are refilled at a constant rate.

    A caller waits for its token, unless none becomes available before its deadline.
    """

    def __init__(self, rate_per_s: float, n_burst: int) -> None:
        self._rate_per_s: Final = rate_per_s
        self._n_burst: Final = n_burst
        self._n_tokens = float(n_burst)
        self._refilled_s: float | None = None
        self.n_refused = 0

    async def acquire(self, deadline_s: float) -> bool:
        """Wait for a token; return False at once if none is available by `deadline_s`.

        Parameters
        ----------
        deadline_s : float
            A point in time of the running loop's clock, in seconds.
        """
        now_s = asyncio.get_running_loop().time()
        self._refill(now_s)
        wait_s = max(1.0 - self._n_tokens, 0.0) / self._rate_per_s
        if now_s + wait_s > deadline_s:
            self.n_refused += 1
            return False
        self._n_tokens -= 1.0
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return True

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            added = (now_s - self._refilled_s) * self._rate_per_s
            self._n_tokens = min(self._n_tokens + added, float(self._n_burst))
        self._refilled_s = now_s
