"""The store adapter ``etcd_json``: etcd's version 3 API as JSON over HTTP.

Each call takes three steps:

1. It waits for the rate limit, or returns `Unavailable`.
2. It is sent to the current address. Within the deadline, a failed call is sent to the
   next address if it is a read, renewal or revocation, or if it cannot have taken
   effect; any other write returns `Unavailable` with ``may_have_applied``.
3. Its answer is decoded into an outcome.

A watch requests progress notifications and ends as `WatchLost` when nothing arrives
within the silence limit. The store must be configured with a shorter interval of
notifications; otherwise a watch without changes is reopened after each limit.
"""

import math
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Final, TypeGuard, TypeVar

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason
from almondspan_platform import etcd_messages as etcd
from almondspan_platform.http_calls import CallFailed, HttpCaller, HttpOptions
from almondspan_platform.registry import (
    DEFAULT_LIMITS,
    CallLimits,
    TlsSource,
    store_adapter,
)
from almondspan_platform.store import (
    MAX_VALUE_BYTES,
    CasOutcome,
    Conflict,
    Found,
    GetOutcome,
    KeyValue,
    LeaseGranted,
    LeaseId,
    LeaseLapsed,
    LeaseOutcome,
    RangeFound,
    Revision,
    Store,
    Swapped,
    Unavailable,
    WatchEvent,
    WatchLost,
)

__all__ = ["EtcdJsonOptions", "EtcdJsonStore"]

N_MIN_TRIES: Final = 2
"""Minimum number of sends of a repeatable call, even with a single address."""

Response = TypeVar("Response")


@dataclass(frozen=True, slots=True)
class EtcdJsonOptions:
    """Limits of one client.

    Attributes
    ----------
    try_timeout_s : float
        Time limit for one send of a call that may be repeated.
    watch_silence_s : float
        Time without any data after which a watch is lost.
    """

    limits: CallLimits = field(default_factory=CallLimits)
    try_timeout_s: float = 1.0
    watch_silence_s: float = 15.0
    http: HttpOptions = field(default_factory=HttpOptions)


class EtcdJsonStore:
    """A client that implements `almondspan_platform.store.Store`."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        options: EtcdJsonOptions = EtcdJsonOptions(),
        tls: TlsSource | None = None,
    ) -> None:
        if not addresses:
            raise ValueError("a store needs at least one address")
        self._addresses: Final = addresses
        self._options: Final = options
        self._caller: Final = HttpCaller(options.limits, options.http, tls)
        self._address_index = 0
        self.n_failed = 0

    @property
    def n_sent(self) -> int:
        """Return the number of sends, including repetitions and watches."""
        return self._caller.n_calls

    async def start(self) -> None:
        """Open the client."""
        await self._caller.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def get(self, key: str) -> GetOutcome:
        """Read one key (linearizable)."""
        request = etcd.RangeRequest(key.encode())
        answer = await self._call_repeatable(
            "/v3/kv/range", request, etcd.RangeResponse
        )
        if isinstance(answer, CallFailed):
            return Unavailable(answer.reason)
        return Found(_key_value(answer.kvs[0]) if answer.kvs else None)

    async def get_range(self, prefix: str) -> RangeFound | Unavailable:
        """Read all keys that begin with `prefix` (linearizable)."""
        first, end = _prefix_range(prefix)
        request = etcd.RangeRequest(first, end)
        answer = await self._call_repeatable(
            "/v3/kv/range", request, etcd.RangeResponse
        )
        if isinstance(answer, CallFailed):
            return Unavailable(answer.reason)
        items = sorted(map(_key_value, answer.kvs), key=lambda item: item.key)
        return RangeFound(tuple(items), Revision(int(answer.header.revision)))

    async def compare_and_swap(
        self,
        key: str,
        expected: Revision,
        value: bytes | None,
        lease_id: LeaseId | None = None,
    ) -> CasOutcome:
        """Replace `key` if it is at revision `expected`.

        Raises
        ------
        ValueError
            When `value` is longer than `MAX_VALUE_BYTES`.
        """
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {len(value)} bytes for key {key} is too long")
        request = _swap_request(key.encode(), expected, value, lease_id)
        answer = await self._call_once("/v3/kv/txn", request, etcd.TxnResponse)
        if isinstance(answer, CallFailed):
            return Unavailable(answer.reason, answer.may_have_applied)
        if answer.succeeded:
            return Swapped(Revision(int(answer.header.revision)))
        return Conflict(_conflicting_item(answer))

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a lease of `ttl_s`, rounded up to whole seconds."""
        request = etcd.LeaseGrantRequest(TTL=str(max(math.ceil(ttl_s), 1)))
        answer = await self._call_once(
            "/v3/lease/grant", request, etcd.LeaseGrantResponse
        )
        if isinstance(answer, CallFailed):
            return Unavailable(answer.reason, answer.may_have_applied)
        return LeaseGranted(LeaseId(int(answer.ID)), float(answer.TTL))

    async def keep_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Renew a lease."""
        request = etcd.LeaseKeepAliveRequest(ID=str(lease_id))
        answer = await self._call_repeatable(
            "/v3/lease/keepalive", request, etcd.LeaseKeepAliveLine
        )
        if isinstance(answer, CallFailed):
            return _lease_failure(answer)
        ttl_s = float(answer.result.TTL)
        return LeaseGranted(lease_id, ttl_s) if ttl_s > 0 else LeaseLapsed()

    async def revoke_lease(self, lease_id: LeaseId) -> LeaseOutcome:
        """Revoke a lease; a lease that no longer exists counts as revoked."""
        request = etcd.LeaseRevokeRequest(ID=str(lease_id))
        answer = await self._call_repeatable(
            "/v3/lease/revoke", request, etcd.PutResponse
        )
        if isinstance(answer, CallFailed):
            return _lease_failure(answer)
        return LeaseLapsed()

    async def watch(
        self, prefix: str, after: Revision
    ) -> AsyncIterator[WatchEvent | WatchLost]:
        """Yield changes under `prefix` later than `after`; the last is `WatchLost`."""
        url = self._addresses[self._address_index] + "/v3/watch"
        request = msgspec.json.encode(_watch_request(prefix, after))
        silence_s = self._options.watch_silence_s
        async for line in self._caller.lines(url, request, silence_s):
            event = _decode_watch_line(line)
            if isinstance(event, WatchLost):
                self._use_next_address()
                yield event
                return
            if event is not None:
                yield event

    async def _call_repeatable(
        self, path: str, request: msgspec.Struct, response_type: type[Response]
    ) -> Response | CallFailed:
        """Send a call that may be repeated, trying the addresses in turn."""
        body = msgspec.json.encode(request)
        deadline_s = self._caller.deadline_s()
        try_timeout_s = self._options.try_timeout_s
        n_tries = max(N_MIN_TRIES, len(self._addresses))
        answer: bytes | CallFailed = CallFailed("no time to try", False)
        for _ in range(n_tries):
            answer = await self._send(path, body, deadline_s, try_timeout_s)
            if not _is_retryable(answer) or self._caller.has_passed(deadline_s):
                break
        return self._decode(answer, response_type)

    async def _call_once(
        self, path: str, request: msgspec.Struct, response_type: type[Response]
    ) -> Response | CallFailed:
        """Send a call to each address in turn until it may have taken effect."""
        body = msgspec.json.encode(request)
        deadline_s = self._caller.deadline_s()
        answer: bytes | CallFailed = CallFailed("no time to try", False)
        for _ in self._addresses:
            answer = await self._send(path, body, deadline_s, math.inf)
            if not _is_retryable(answer) or answer.may_have_applied:
                break
            if self._caller.has_passed(deadline_s):
                break
        return self._decode(answer, response_type)

    async def _send(
        self, path: str, body: bytes, deadline_s: float, try_timeout_s: float
    ) -> bytes | CallFailed:
        """Send to the current address; switch to the next one after a failure."""
        url = self._addresses[self._address_index] + path
        answer = await self._caller.call("POST", url, body, deadline_s, try_timeout_s)
        if _is_retryable(answer):
            self._use_next_address()
        return answer

    def _decode(
        self, answer: bytes | CallFailed, response_type: type[Response]
    ) -> Response | CallFailed:
        if isinstance(answer, CallFailed):
            self.n_failed += 1
            return answer
        try:
            return msgspec.json.decode(answer, type=response_type)
        except DECODE_ERRORS as error:
            self.n_failed += 1
            reason = f"invalid answer: {decode_reason(error)}"
            return CallFailed(reason, may_have_applied=True)

    def _use_next_address(self) -> None:
        self._address_index = (self._address_index + 1) % len(self._addresses)


@store_adapter("etcd_json")
def _make_store(
    addresses: tuple[str, ...],
    tls: TlsSource | None = None,
    limits: CallLimits = DEFAULT_LIMITS,
) -> Store:
    return EtcdJsonStore(addresses, EtcdJsonOptions(limits), tls)


def _is_retryable(answer: bytes | CallFailed) -> TypeGuard[CallFailed]:
    """Return whether the call may succeed at another address."""
    if not isinstance(answer, CallFailed) or not answer.was_sent:
        return False
    return not 400 <= answer.status < 500


def _key_value(kv: etcd.EtcdKeyValue) -> KeyValue:
    return KeyValue(_text(kv.key), kv.value, Revision(int(kv.mod_revision)))


def _text(key: bytes) -> str:
    """Return a key as text; one that is not UTF-8 belongs to another writer."""
    return key.decode(errors="replace")


def _prefix_range(prefix: str) -> tuple[bytes, bytes]:
    first = prefix.encode()
    return first or etcd.ALL_KEYS, etcd.range_end_of_prefix(first)


def _swap_request(
    key: bytes, expected: Revision, value: bytes | None, lease_id: LeaseId | None
) -> etcd.TxnRequest:
    compare = etcd.Compare(key, mod_revision=str(expected), target="MOD")
    if value is None:
        change = etcd.RequestOp(request_delete_range=etcd.DeleteRangeRequest(key))
    else:
        put = etcd.PutRequest(key, value, lease=str(lease_id or 0))
        change = etcd.RequestOp(request_put=put)
    read = etcd.RequestOp(request_range=etcd.RangeRequest(key))
    return etcd.TxnRequest((compare,), (change,), (read,))


def _conflicting_item(answer: etcd.TxnResponse) -> KeyValue | None:
    for response in answer.responses:
        if response.response_range is not None and response.response_range.kvs:
            return _key_value(response.response_range.kvs[0])
    return None


def _lease_failure(answer: CallFailed) -> LeaseLapsed | Unavailable:
    """Return `LeaseLapsed` if the store reports that there is no such lease."""
    if answer.status == 404:
        try:
            error = msgspec.json.decode(answer.body, type=etcd.ErrorBody)
        except DECODE_ERRORS:
            return Unavailable(answer.reason)
        if error.code == etcd.CODE_NOT_FOUND:
            return LeaseLapsed()
    return Unavailable(answer.reason, answer.may_have_applied)


def _watch_request(prefix: str, after: Revision) -> etcd.WatchRequest:
    first, end = _prefix_range(prefix)
    create = etcd.WatchCreateRequest(
        first, end, start_revision=str(after + 1), progress_notify=True
    )
    return etcd.WatchRequest(create)


def _decode_watch_line(line: bytes | CallFailed) -> WatchEvent | WatchLost | None:
    if isinstance(line, CallFailed):
        return WatchLost(line.reason)
    try:
        body = msgspec.json.decode(line, type=etcd.WatchLine)
    except DECODE_ERRORS as error:
        return WatchLost(f"invalid answer: {decode_reason(error)}")
    if body.error is not None or body.result is None:
        return WatchLost(f"the store rejected the watch: {body.error}")
    result = body.result
    if int(result.compact_revision) > 0:
        return WatchLost(f"history compacted at {result.compact_revision}")
    if result.canceled:
        return WatchLost(f"the store cancelled the watch: {result.cancel_reason}")
    return _merge_events(result.events) if result.events else None


def _merge_events(events: tuple[etcd.EtcdEvent, ...]) -> WatchEvent:
    """Merge events into one that holds the last state of each key."""
    last = {event.kv.key: event for event in events}
    return WatchEvent(
        tuple(
            _key_value(newest.kv) for newest in last.values() if newest.type == "PUT"
        ),
        tuple(_text(key) for key, newest in last.items() if newest.type == "DELETE"),
        Revision(max(int(event.kv.mod_revision) for event in events)),
    )
