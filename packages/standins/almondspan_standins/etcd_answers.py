"""Converts between the store's data and the messages of etcd's JSON API."""

from typing import Final

from aiohttp import web

from almondspan_platform import etcd_messages as etcd
from almondspan_platform.store import KeyValue
from almondspan_standins.serving import json_answer
from almondspan_standins.store_core import Change

__all__ = [
    "LEASE_NOT_FOUND",
    "error_answer",
    "event_of_change",
    "only_change",
    "prefix_of_range",
    "range_response",
]

LEASE_NOT_FOUND: Final = "etcdserver: requested lease not found"
STATUS_OF_CODE: Final = {etcd.CODE_NOT_FOUND: 404, etcd.CODE_EXHAUSTED: 429}


def event_of_change(change: Change) -> etcd.EtcdEvent:
    """Return a change as a watch event."""
    if change.item is not None:
        return etcd.EtcdEvent(_kv(change.item))
    revision = str(change.revision)
    kv = etcd.EtcdKeyValue(change.key.encode(), mod_revision=revision)
    return etcd.EtcdEvent(kv, "DELETE")


def _kv(item: KeyValue) -> etcd.EtcdKeyValue:
    return etcd.EtcdKeyValue(
        item.key.encode(), mod_revision=str(item.revision), value=item.value
    )


def range_response(
    header: etcd.ResponseHeader, items: tuple[KeyValue, ...]
) -> etcd.RangeResponse:
    """Return the response to a range request that found `items`."""
    kvs = tuple(_kv(item) for item in items)
    return etcd.RangeResponse(header, kvs, count=str(len(kvs)))


def prefix_of_range(key: bytes, range_end: bytes) -> str:
    """Return the prefix whose keys a range covers.

    Raises
    ------
    web.HTTPBadRequest
        When the range is not exactly that of a prefix.
    """
    prefix = b"" if key == etcd.ALL_KEYS else key
    if range_end != etcd.range_end_of_prefix(prefix):
        raise web.HTTPBadRequest(text="only ranges of a prefix are served")
    return prefix.decode()


def only_change(body: etcd.TxnRequest) -> tuple[etcd.Compare, etcd.RequestOp]:
    """Return the only condition and the only change of a transaction.

    Raises
    ------
    web.HTTPBadRequest
        When there are several, or the condition is not an equal revision.
    """
    if len(body.compare) != 1 or len(body.success) != 1:
        raise web.HTTPBadRequest(text="only one condition and one change are served")
    compare = body.compare[0]
    if compare.target != "MOD" or compare.result != "EQUAL":
        raise web.HTTPBadRequest(text="only an equal revision is served")
    return compare, body.success[0]


def error_answer(code: int, reason: str) -> web.Response:
    """Return the response of etcd to a rejected call."""
    return json_answer(etcd.ErrorBody(reason, code, reason), STATUS_OF_CODE[code])
