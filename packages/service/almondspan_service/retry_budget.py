"""Limits retries and hedges to a share of the recent requests.

Each request adds a share of a token, each retry or hedge takes a whole one. The
tokens are capped, so that a quiet time does not save up for a storm of retries.
"""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Tokens that retries and hedges are paid from."""

    def __init__(self, share: float, max_tokens: float) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def on_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def take(self) -> bool:
        """Pay for one retry or hedge; False when there is nothing left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
