"""Limits retries and hedges to a share of the recent requests.

This is a token bucket: each request adds a fraction of a token, and each retry or
hedge takes a whole one. The cap keeps an idle period from saving up tokens for a
retry storm.
"""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket for retries and hedges."""

    def __init__(self, share: float, max_tokens: float) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def on_request(self) -> None:
        """Add the share of a token for a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def take(self) -> bool:
        """Take a token for a retry or hedge; returns False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
