"""Validation rules for the fields of the configuration.

A `Rule` checks a value parsed from TOML and converts it to the type of the field. Its
text describes the allowed values to operators.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final

from almondspan_decisions.decoding import MAX_NUMBER
from almondspan_decisions.fleet import (
    OrderConfig,
    PolicyConfig,
    ServiceConfig,
    TaskClassConfig,
    TeamConfig,
)

__all__ = [
    "DEADLINE_KEY",
    "DEADLINE_RULE",
    "FIELD_RULES",
    "MAX_NUMBER",
    "NAME_PATTERN",
    "Rule",
    "is_deadline",
]

NAME_PATTERN: Final = re.compile(r"[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?")
SHA256_PATTERN: Final = re.compile(r"[0-9a-f]{64}")
FIRST_YEAR: Final = 2000
LAST_YEAR: Final = 9000

DEADLINE_RULE: Final = "a date and time with its zone, as 2026-12-20T08:00:00Z"
DEADLINE_KEY: Final = "deadline"
"""Key of ``deadline_unix_s`` in the document, where it is a date with a time zone."""


def _same(value: Any) -> Any:
    return value


@dataclass(frozen=True, slots=True)
class Rule:
    """Allowed values of a field: description, check and conversion."""

    allowed: str
    accepts: Callable[[Any], bool]
    convert: Callable[[Any], Any] = _same


def _is_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and -MAX_NUMBER <= value <= MAX_NUMBER


def _is_count(value: Any) -> bool:
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 0 <= value <= MAX_NUMBER


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def _is_digest(value: Any) -> bool:
    return isinstance(value, str) and SHA256_PATTERN.fullmatch(value) is not None


def is_deadline(value: Any) -> bool:
    """Return whether a value is a time with a zone, in a range safe to convert."""
    if not isinstance(value, datetime) or value.tzinfo is None:
        return False
    return FIRST_YEAR <= value.year <= LAST_YEAR


_NAME: Final = Rule(
    "1 to 64 of a-z, 0-9, '.', '_', '-', beginning and ending with a letter or digit",
    _is_name,
)
_NAMES: Final = Rule(
    "a list of at least one name",
    lambda value: (
        isinstance(value, list) and len(value) > 0 and all(map(_is_name, value))
    ),
    tuple,
)
_MILLISECONDS: Final = Rule(
    "milliseconds, above 0", lambda value: _is_number(value) and value > 0, float
)
_SECONDS: Final = Rule(
    "seconds, above 0", lambda value: _is_number(value) and value > 0, float
)
_SHARE: Final = Rule(
    "a share above 0 and at most 1",
    lambda value: _is_number(value) and 0 < value <= 1,
    float,
)
_OBJECTIVE: Final = Rule(
    "a share above 0 and below 1",
    lambda value: _is_number(value) and 0 < value < 1,
    float,
)
_RATE: Final = Rule(
    "requests per second; 0 for the entry's own limit",
    lambda value: _is_number(value) and value >= 0,
    float,
)
_COUNT: Final = Rule("a whole number from 0", _is_count)
_POSITIVE_COUNT: Final = Rule(
    "a whole number from 1", lambda value: _is_count(value) and value > 0
)
_FLAG: Final = Rule("true or false", lambda value: isinstance(value, bool))
_DIGEST: Final = Rule("a lower-case hexadecimal SHA-256 digest", _is_digest)
_OPTIONAL_DIGEST: Final = Rule(
    "a lower-case hexadecimal SHA-256 digest, or ''",
    lambda value: value == "" or _is_digest(value),
)
_DEADLINE: Final = Rule(
    DEADLINE_RULE,
    is_deadline,
    lambda value: value.timestamp(),
)

FIELD_RULES: Final[dict[type, dict[str, Rule]]] = {
    ServiceConfig: {
        "name": _NAME,
        "objective_latency_ms": _MILLISECONDS,
        "objective_share": _OBJECTIVE,
        "default_timeout_ms": _MILLISECONDS,
    },
    TeamConfig: {
        "name": _NAME,
        "quota_share": _SHARE,
        "token_sha256": _DIGEST,
        "operator": _FLAG,
        "max_requests_per_s": _RATE,
    },
    TaskClassConfig: {
        "name": _NAME,
        "cpu_millicores": _POSITIVE_COUNT,
        "memory_mb": _POSITIVE_COUNT,
        "n_accelerators": _COUNT,
        "declared_run_s": _SECONDS,
        "idempotent": _FLAG,
        "checkpointable": _FLAG,
    },
    OrderConfig: {
        "name": _NAME,
        "team": _NAME,
        DEADLINE_KEY: _DEADLINE,
        "stages": _NAMES,
        "n_records": _COUNT,
        "records_sha256": _OPTIONAL_DIGEST,
    },
    PolicyConfig: {
        "queue": _NAME,
        "placement": _NAME,
        "routing": _NAME,
        "ladder": _NAME,
    },
}
"""Rules by configuration class and the field's key in the document."""
