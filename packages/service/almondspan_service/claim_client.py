"""Claims requests that are not idempotent, through the shards' claim book.

A claim whose answer did not come may have been made. Its nonce is kept, so that the
same request, sent here again, continues that claim instead of finding it taken.
"""

import asyncio
import uuid
from collections import OrderedDict
from typing import Final

from almondspan_decisions.ids import RequestId
from almondspan_service.call_spec import CallSpec
from almondspan_tasks.desk import Claim, ClaimBook, ClaimState

__all__ = ["ClaimClient"]

MAX_KEPT_NONCES: Final = 4096
"""Unanswered claims that are remembered."""


class ClaimClient:
    """Makes claims for the calls of one entry."""

    def __init__(self, claims: ClaimBook) -> None:
        self._claims = claims
        self._nonces: OrderedDict[RequestId, str] = OrderedDict()

    async def claim(self, spec: CallSpec) -> Claim:
        """Claim a request before its deadline."""
        # A nonce is taken out here, so that no two calls ever claim with the same.
        nonce = self._nonces.pop(spec.request_id, None) or uuid.uuid4().hex
        claim = await self._request_claim(spec, nonce)
        if claim.state is ClaimState.UNAVAILABLE:
            self._keep_nonce(spec.request_id, nonce)
        return claim

    async def _request_claim(self, spec: CallSpec, nonce: str) -> Claim:
        try:
            async with asyncio.timeout_at(spec.deadline_s):
                return await self._claims.claim(spec.request_id, nonce)
        except TimeoutError:
            return Claim(ClaimState.UNAVAILABLE, None, "the claim took too long")

    def _keep_nonce(self, request_id: RequestId, nonce: str) -> None:
        self._nonces[request_id] = nonce
        if len(self._nonces) > MAX_KEPT_NONCES:
            self._nonces.popitem(last=False)
