"""HTTP handlers of a store with the JSON API of etcd v3.

Only the requests that the almondspan adapter sends are supported: reads of single
keys and prefixes, transactions with one condition on a key's revision and one change,
leases and watches. Calls over the rate limits wait for a bounded time and are then
refused.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from almondspan_platform import etcd_messages as etcd
from almondspan_platform.store import (
    LeaseId,
    LeaseLapsed,
    Revision,
    Swapped,
)
from almondspan_platform.token_bucket import TokenBucket
from almondspan_standins.etcd_answers import (
    LEASE_NOT_FOUND,
    error_answer,
    event_of_change,
    only_change,
    prefix_of_range,
    range_response,
)
from almondspan_standins.faults import StoreFaults
from almondspan_standins.serving import (
    JSON_TYPE,
    add_debug_routes,
    fault_middleware,
    json_answer,
    read_json,
)
from almondspan_standins.store_core import Change, Compacted, LeaseUnknown, StoreCore

__all__ = ["StoreApp", "StoreDebug", "StoreRates"]

PROGRESS_S: Final = 2.0

BURST_S: Final = 0.25
"""Time whose calls may arrive in one burst."""

READ_PATHS: Final = frozenset({"/v3/kv/range", "/v3/watch"})

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class StoreRates:
    """Rate limits of the store, in calls per second.

    A call over the limit waits for up to ``wait_s`` seconds before it is refused.
    Writes are transactions and lease calls, reads are ranges and new watches.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    wait_s: float = 1.0


class StoreDebug(msgspec.Struct, frozen=True):
    """Counters of the store; a watch counts as one call of kind ``watch``."""

    revision: int
    n_calls: dict[str, int]
    n_peak_per_s: dict[str, int]
    n_refused: int
    n_watches_open: int
    faults: StoreFaults


class StoreApp:
    """The HTTP handlers of one store."""

    def __init__(
        self,
        core: StoreCore,
        rng: random.Random,
        progress_s: float = PROGRESS_S,
        rates: StoreRates = StoreRates(),
    ) -> None:
        self._core: Final = core
        self._rates: Final = rates
        self._writes: Final = _bucket(rates.writes_per_s)
        self._reads: Final = _bucket(rates.reads_per_s)
        self._progress_s: Final = progress_s
        self._now: Final = asyncio.get_running_loop().time
        faults = fault_middleware(lambda: core.faults, rng)
        self.app: Final = web.Application(
            middlewares=[faults, self._rate_limit_middleware()], client_max_size=2**22
        )
        routes: dict[str, RequestHandler] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
            "/v3/watch": self._watch,
        }
        for path, handler in routes.items():
            self.app.router.add_post(path, handler)
        add_debug_routes(self.app, self.describe, StoreFaults, self._set_faults)

    def describe(self) -> StoreDebug:
        """Return the counters."""
        core = self._core
        n_calls = {kind.value: n for kind, n in core.n_calls.items()}
        return StoreDebug(
            revision=core.revision,
            n_calls=n_calls,
            n_peak_per_s={kind.value: n for kind, n in core.n_peak_per_s.items()},
            n_refused=self._writes.n_refused + self._reads.n_refused,
            n_watches_open=core.n_watches_open,
            faults=core.faults,
        )

    def _set_faults(self, faults: StoreFaults) -> None:
        self._core.faults = faults

    def _rate_limit_middleware(self) -> Middleware:
        @web.middleware
        async def limit_rate(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            if request.path.startswith("/debug"):
                return await handler(request)
            is_read = request.path in READ_PATHS
            bucket = self._reads if is_read else self._writes
            await request.read()
            if not await bucket.acquire(self._now() + self._rates.wait_s):
                return error_answer(
                    etcd.CODE_EXHAUSTED, "etcdserver: too many requests"
                )
            return await handler(request)

        return limit_rate

    def _header(self) -> etcd.ResponseHeader:
        return etcd.ResponseHeader("1", "1", str(self._core.revision), "1")

    async def _range(self, request: web.Request) -> web.Response:
        body = await read_json(request, etcd.RangeRequest)
        if body.range_end:
            items = self._core.get_range(
                prefix_of_range(body.key, body.range_end)
            ).items
        else:
            item = self._core.get(body.key.decode())
            items = () if item is None else (item,)
        return json_answer(range_response(self._header(), items))

    async def _txn(self, request: web.Request) -> web.Response:
        body = await read_json(request, etcd.TxnRequest)
        compare, change = only_change(body)
        put = change.request_put
        lease_id = LeaseId(int(put.lease)) if put is not None else LeaseId(0)
        outcome = self._core.compare_and_swap(
            compare.key.decode(),
            Revision(int(compare.mod_revision)),
            put.value if put is not None else None,
            lease_id or None,
        )
        if isinstance(outcome, LeaseUnknown):
            return error_answer(etcd.CODE_NOT_FOUND, LEASE_NOT_FOUND)
        if isinstance(outcome, Swapped):
            done = etcd.PutResponse(self._header())
            response = etcd.ResponseOp(response_put=done)
            if put is None:
                response = etcd.ResponseOp(response_delete_range=done)
            return json_answer(etcd.TxnResponse(self._header(), True, (response,)))
        items = () if outcome.item is None else (outcome.item,)
        read = range_response(self._header(), items)
        response = etcd.ResponseOp(response_range=read)
        return json_answer(etcd.TxnResponse(self._header(), False, (response,)))

    async def _grant(self, request: web.Request) -> web.Response:
        body = await read_json(request, etcd.LeaseGrantRequest)
        granted = self._core.grant_lease(float(int(body.TTL)))
        return json_answer(
            etcd.LeaseGrantResponse(
                self._header(), str(granted.lease_id), str(round(granted.ttl_s))
            )
        )

    async def _keep(self, request: web.Request) -> web.Response:
        body = await read_json(request, etcd.LeaseKeepAliveRequest)
        outcome = self._core.keep_lease(LeaseId(int(body.ID)))
        ttl_s = 0 if isinstance(outcome, LeaseLapsed) else round(outcome.ttl_s)
        kept = etcd.LeaseKeepAliveResponse(self._header(), body.ID, str(ttl_s))
        return json_answer(etcd.LeaseKeepAliveLine(kept))

    async def _revoke(self, request: web.Request) -> web.Response:
        body = await read_json(request, etcd.LeaseRevokeRequest)
        lease_id = LeaseId(int(body.ID))
        if not self._core.holds_lease(lease_id):
            return error_answer(etcd.CODE_NOT_FOUND, LEASE_NOT_FOUND)
        self._core.revoke_lease(lease_id)
        return json_answer(etcd.PutResponse(self._header()))

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = (await read_json(request, etcd.WatchRequest)).create_request
        response = web.StreamResponse(headers={"Content-Type": JSON_TYPE})
        await response.prepare(request)
        changed = asyncio.Event()
        with self._core.watching(changed.set):
            try:
                await self._stream(request, response, body, changed)
            except ConnectionError:
                return response
        return response

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: etcd.WatchCreateRequest,
        changed: asyncio.Event,
    ) -> None:
        """Send changes and progress notices until the connection ends.

        A stream that has become silent stays silent, like a connection whose state
        a middlebox has lost.
        """
        prefix = prefix_of_range(body.key, body.range_end)
        after = Revision(int(body.start_revision) - 1)
        await _send_line(response, etcd.WatchResponse(self._header(), created=True))
        sent_s = self._now()
        while not _is_gone(request):
            changed.clear()
            faults = self._core.faults
            if faults.outage and request.transport is not None:
                request.transport.abort()
                return
            if faults.watch_silent:
                await self._wait_in_silence(request, changed)
                return
            changes = self._core.changes_after(prefix, after)
            if isinstance(changes, Compacted):
                await _send_line(response, self._compacted(changes))
                return
            if changes:
                after = changes[-1].revision
                await asyncio.sleep(faults.delay_s)
                await _send_line(response, self._events(changes))
                sent_s = self._now()
                continue
            if self._now() >= sent_s + self._progress_s:
                await _send_line(response, etcd.WatchResponse(self._header()))
                sent_s = self._now()
            await self._wait(changed, sent_s + self._progress_s)

    async def _wait(self, changed: asyncio.Event, until_s: float) -> None:
        """Wait for a change, the expiry of a lease or a time of the loop's clock."""
        lapse_s = self._core.next_lapse_s()
        if lapse_s is not None:
            until_s = min(until_s, lapse_s)
        try:
            async with asyncio.timeout_at(until_s):
                await changed.wait()
        except TimeoutError:
            return

    async def _wait_in_silence(
        self, request: web.Request, changed: asyncio.Event
    ) -> None:
        """Keep the connection open without sending until the client closes it."""
        while not _is_gone(request):
            changed.clear()
            await self._wait(changed, self._now() + self._progress_s)

    def _compacted(self, changes: Compacted) -> etcd.WatchResponse:
        return etcd.WatchResponse(
            self._header(), canceled=True, compact_revision=str(changes.revision + 1)
        )

    def _events(self, changes: list[Change]) -> etcd.WatchResponse:
        return etcd.WatchResponse(
            self._header(), events=tuple(event_of_change(change) for change in changes)
        )


async def _send_line(response: web.StreamResponse, message: etcd.WatchResponse) -> None:
    line = msgspec.json.encode(etcd.WatchLine(message))
    await response.write(line + b"\n")


def _is_gone(request: web.Request) -> bool:
    return request.transport is None or request.transport.is_closing()


def _bucket(rate_per_s: float) -> TokenBucket:
    return TokenBucket(rate_per_s, max(round(rate_per_s * BURST_S), 1))
