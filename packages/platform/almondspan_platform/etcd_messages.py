"""The JSON messages of etcd's v3 API over HTTP.

Field names are those of etcd's published messages. Keys and values are base64, 64-bit
integers are strings, and a field with its default value is omitted.
"""

from typing import Annotated, Final

import msgspec

__all__ = [
    "ALL_KEYS",
    "CODE_EXHAUSTED",
    "CODE_NOT_FOUND",
    "Compare",
    "DeleteRangeRequest",
    "ErrorBody",
    "EtcdEvent",
    "EtcdKeyValue",
    "Int64",
    "LeaseGrantRequest",
    "LeaseGrantResponse",
    "LeaseKeepAliveLine",
    "LeaseKeepAliveRequest",
    "LeaseKeepAliveResponse",
    "LeaseRevokeRequest",
    "PutRequest",
    "PutResponse",
    "RangeRequest",
    "RangeResponse",
    "RequestOp",
    "ResponseHeader",
    "ResponseOp",
    "TxnRequest",
    "TxnResponse",
    "WatchCreateRequest",
    "WatchLine",
    "WatchRequest",
    "WatchResponse",
    "range_end_of_prefix",
]

Int64 = (
    Annotated[str, msgspec.Meta(pattern=r"\A-?[0-9]{1,19}\Z")]
    | Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
)
"""A 64-bit integer: encoded as a string, decoded from a string or a number."""

CODE_NOT_FOUND: Final = 5
CODE_EXHAUSTED: Final = 8
ALL_KEYS: Final = b"\0"


def range_end_of_prefix(prefix: bytes) -> bytes:
    """Return the first key after all keys that begin with `prefix`."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return ALL_KEYS
    return stripped[:-1] + bytes([stripped[-1] + 1])


class _Json(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of all messages."""


class ResponseHeader(_Json, frozen=True):
    """The header of every response."""

    cluster_id: Int64 = "0"
    member_id: Int64 = "0"
    revision: Int64 = "0"
    raft_term: Int64 = "0"


class EtcdKeyValue(_Json, frozen=True):
    """A key with its value, revisions and lease."""

    key: bytes = b""
    create_revision: Int64 = "0"
    mod_revision: Int64 = "0"
    version: Int64 = "0"
    value: bytes = b""
    lease: Int64 = "0"


class RangeRequest(_Json, frozen=True):
    """Reads one key, or all from ``key`` up to but excluding ``range_end``."""

    key: bytes
    range_end: bytes = b""


class RangeResponse(_Json, frozen=True):
    """The answer to a `RangeRequest`."""

    header: ResponseHeader = ResponseHeader()
    kvs: tuple[EtcdKeyValue, ...] = ()
    more: bool = False
    count: Int64 = "0"


class PutRequest(_Json, frozen=True):
    """Writes one key."""

    key: bytes
    value: bytes = b""
    lease: Int64 = "0"


class PutResponse(_Json, frozen=True):
    """The answer to a `PutRequest`."""

    header: ResponseHeader = ResponseHeader()


class DeleteRangeRequest(_Json, frozen=True):
    """Deletes one key."""

    key: bytes


class Compare(_Json, frozen=True):
    """A condition of a transaction on a key's last revision."""

    key: bytes
    mod_revision: Int64
    target: str = "VERSION"
    result: str = "EQUAL"


class RequestOp(_Json, frozen=True):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class ResponseOp(_Json, frozen=True):
    """The answer to one operation of a transaction."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: PutResponse | None = None


class TxnRequest(_Json, frozen=True):
    """Runs ``success`` if every condition holds, else ``failure``."""

    compare: tuple[Compare, ...]
    success: tuple[RequestOp, ...]
    failure: tuple[RequestOp, ...] = ()


class TxnResponse(_Json, frozen=True):
    """The answer to a `TxnRequest`."""

    header: ResponseHeader = ResponseHeader()
    succeeded: bool = False
    responses: tuple[ResponseOp, ...] = ()


class LeaseGrantRequest(_Json, frozen=True):
    """Requests a lease of ``TTL`` whole seconds."""

    TTL: Int64
    ID: Int64 = "0"


class LeaseGrantResponse(_Json, frozen=True):
    """The answer to a `LeaseGrantRequest`."""

    header: ResponseHeader = ResponseHeader()
    ID: Int64 = "0"
    TTL: Int64 = "0"


class LeaseKeepAliveRequest(_Json, frozen=True):
    """Renews a lease."""

    ID: Int64


class LeaseKeepAliveResponse(_Json, frozen=True):
    """The answer to a renewal; ``TTL`` is 0 if the lease has lapsed."""

    header: ResponseHeader = ResponseHeader()
    ID: Int64 = "0"
    TTL: Int64 = "0"


class LeaseKeepAliveLine(_Json, frozen=True):
    """One line of the stream that answers a renewal."""

    result: LeaseKeepAliveResponse


class LeaseRevokeRequest(_Json, frozen=True):
    """Revokes a lease."""

    ID: Int64


class WatchCreateRequest(_Json, frozen=True):
    """Watches a range, starting with the changes of ``start_revision``."""

    key: bytes
    range_end: bytes = b""
    start_revision: Int64 = "0"
    progress_notify: bool = False


class WatchRequest(_Json, frozen=True):
    """The first message of a watch."""

    create_request: WatchCreateRequest


class EtcdEvent(_Json, frozen=True):
    """One change; ``type`` is ``PUT`` or ``DELETE``."""

    kv: EtcdKeyValue
    type: str = "PUT"


class WatchResponse(_Json, frozen=True):
    """One message of a watch; without events it only notifies of progress."""

    header: ResponseHeader = ResponseHeader()
    watch_id: Int64 = "0"
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = "0"
    cancel_reason: str = ""
    events: tuple[EtcdEvent, ...] = ()


class ErrorBody(_Json, frozen=True):
    """The body of an answer whose status is not 200."""

    error: str = ""
    code: int = 0
    message: str = ""


class WatchLine(_Json, frozen=True):
    """One line of a watch's stream."""

    result: WatchResponse | None = None
    error: ErrorBody | None = None
