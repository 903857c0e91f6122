"""Claims the ids of non-idempotent requests, so that each one runs at most once.

A claim that was not answered may have been stored. Its nonce is kept, so that the
same request, received by this entry again, continues that claim instead of being
rejected as a duplicate.
"""

import asyncio
import uuid
from collections import OrderedDict
from typing import Final

from almondspan_decisions.ids import RequestId
from almondspan_service.call_spec import CallSpec
from almondspan_tasks.job_client import Claim, ClaimState, ClaimStore

__all__ = ["ClaimClient"]

MAX_KEPT_NONCES: Final = 4096
"""Unanswered claims whose nonces are kept."""


class ClaimClient:
    """Requests claims for the calls of one entry."""

    def __init__(self, claims: ClaimStore) -> None:
        self._claims = claims
        self._nonces: OrderedDict[RequestId, str] = OrderedDict()

    async def claim(self, spec: CallSpec) -> Claim:
        """Claim a request; gives up at the call's deadline."""
        # The nonce is removed, so that no two calls ever claim with the same one.
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
            return Claim(
                ClaimState.UNAVAILABLE,
                None,
                "the claim was not answered before the deadline",
            )

    def _keep_nonce(self, request_id: RequestId, nonce: str) -> None:
        self._nonces[request_id] = nonce
        if len(self._nonces) > MAX_KEPT_NONCES:
            self._nonces.popitem(last=False)
