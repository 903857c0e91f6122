"""Parses configuration text into a `FleetConfig`, and dumps it to a plain document.

`parse_fleet` parses the TOML, converts each table by the rules of its class and
validates references between tables. All faults are collected. A process that only
applies a configuration passes ``strict=False`` and ignores keys that a newer release
has added, so that different releases can run side by side.
"""

import dataclasses
import difflib
import hashlib
import json
import tomllib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Final

from almondspan_decisions.fleet import (
    FleetConfig,
    OrderConfig,
    PolicyConfig,
    ServiceConfig,
    TaskClassConfig,
    TeamConfig,
)
from almondspan_decisions.fleet_rules import DEADLINE_KEY, FIELD_RULES

__all__ = [
    "ConfigFault",
    "ConfigFaults",
    "KnownPolicies",
    "fleet_document",
    "parse_fleet",
    "records_digest",
]

MAX_SHOWN_CHARS: Final = 80
"""Longer values are truncated in a fault."""

_TABLES: Final[dict[str, type]] = {
    "services": ServiceConfig,
    "teams": TeamConfig,
    "task_classes": TaskClassConfig,
    "orders": OrderConfig,
}
_SECRET_KEYS: Final = frozenset({"token_sha256"})

KnownPolicies = Mapping[str, Collection[str]]
"""The registered names of each kind of policy (``queue``, ``placement``, ...)."""


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """One fault: the dotted key, its value as text, and what is allowed."""

    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key} = {self.value}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class ConfigFaults:
    """All faults of a configuration, at least one."""

    faults: tuple[ConfigFault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def records_digest(record_names: Iterable[str]) -> str:
    """Return the digest of a set of record names, regardless of their order."""
    digest = hashlib.sha256()
    for name in sorted(record_names):
        encoded = name.encode()
        digest.update(b"%d:%b," % (len(encoded), encoded))
    return digest.hexdigest()


def parse_fleet(
    text: str | bytes,
    *,
    strict: bool = True,
    policies: KnownPolicies | None = None,
) -> FleetConfig | ConfigFaults:
    """Return the configuration in `text`, or all of its faults.

    If `policies` is given, policy names must be among them.
    """
    try:
        decoded = text.decode() if isinstance(text, bytes) else text
        document = tomllib.loads(decoded)
    except ValueError as error:
        return ConfigFaults((ConfigFault("(text)", str(error), "TOML in UTF-8"),))
    except RecursionError:
        return ConfigFaults((ConfigFault("(text)", "nested too deeply", "tables"),))
    reader = _Reader(strict)
    config = reader.read(document)
    faults = {fault.key: fault for fault in reader.faults}
    if strict:
        references = [*_reference_faults(document), *_team_faults(document)]
        references += _policy_faults(config.policies, policies or {})
        for fault in references:
            faults.setdefault(fault.key, fault)
    return ConfigFaults(tuple(faults.values())) if faults else config


class _Reader:
    """Converts tables by `FIELD_RULES` and collects the faults."""

    def __init__(self, strict: bool) -> None:
        self._strict = strict
        self.faults: list[ConfigFault] = []

    def read(self, document: Mapping[str, Any]) -> FleetConfig:
        self._refuse_unknown("", document, [*_TABLES, "policies"])
        tables: dict[str, Any] = {
            name: self._read_list(name, cls, document.get(name, []))
            for name, cls in _TABLES.items()
        }
        policies = self._read_table(
            "policies", PolicyConfig, document.get("policies", {})
        )
        return FleetConfig(policies=policies or PolicyConfig(), **tables)

    def _read_list(self, name: str, cls: type, given: Any) -> tuple[Any, ...]:
        if not isinstance(given, list):
            self._fault(name, given, f"a list of tables [[{name}]]")
            return ()
        found = []
        for index, table in enumerate(given):
            value = self._read_table(_label(name, index, table), cls, table)
            if value is not None:
                found.append(value)
        return tuple(found)

    def _read_table(self, label: str, cls: type, table: Any) -> Any | None:
        if not isinstance(table, dict):
            self._fault(label, table, "a table")
            return None
        rules = FIELD_RULES[cls]
        required = _required_keys(cls)
        self._refuse_unknown(f"{label}.", table, list(rules))
        n_faults = len(self.faults)
        values: dict[str, Any] = {}
        for key, rule in rules.items():
            if key not in table:
                if key in required:
                    fault = ConfigFault(f"{label}.{key}", "(missing)", rule.allowed)
                    self.faults.append(fault)
            elif rule.accepts(table[key]):
                values[_field_of(key)] = rule.convert(table[key])
            else:
                self._fault(f"{label}.{key}", table[key], rule.allowed)
        return cls(**values) if len(self.faults) == n_faults else None

    def _refuse_unknown(
        self, prefix: str, table: Mapping[str, Any], known: list[str]
    ) -> None:
        if not self._strict:
            return
        for key in table:
            if key not in known:
                matches = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
                hint = f" (did you mean {matches[0]}?)" if matches else ""
                allowed = ", ".join(known) + hint
                fault = ConfigFault(f"{prefix}{key}", "(unknown key)", allowed)
                self.faults.append(fault)

    def _fault(self, key: str, value: Any, allowed: str) -> None:
        self.faults.append(ConfigFault(key, _shown(key, value), allowed))


def _label(section: str, index: int, table: Any) -> str:
    name = table.get("name") if isinstance(table, dict) else None
    return f"{section}.{name if isinstance(name, str) and name else index}"


def _field_of(key: str) -> str:
    return "deadline_unix_s" if key == DEADLINE_KEY else key


def _key_of(field_name: str) -> str:
    return DEADLINE_KEY if field_name == "deadline_unix_s" else field_name


def _required_keys(cls: type) -> frozenset[str]:
    return frozenset(
        _key_of(field.name)
        for field in dataclasses.fields(cls)
        if field.default is dataclasses.MISSING
    )


def _shown(key: str, value: Any) -> str:
    if key.rpartition(".")[2] in _SECRET_KEYS:
        # The value may be the token itself instead of its digest.
        return "(hidden)"
    text = json.dumps(value, default=str, ensure_ascii=False)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."


def _tables_of(document: Mapping[str, Any], section: str) -> list[dict[str, Any]]:
    """Return the tables of a section that have a name, including faulty ones."""
    given = document.get(section, [])
    tables = given if isinstance(given, list) else []
    return [
        table
        for table in tables
        if isinstance(table, dict) and isinstance(table.get("name"), str)
    ]


def _reference_faults(document: Mapping[str, Any]) -> list[ConfigFault]:
    faults = []
    names = {
        section: [table["name"] for table in _tables_of(document, section)]
        for section in _TABLES
    }
    for section in _TABLES:
        faults += _repeated_names(section, names[section])
    for order in _tables_of(document, "orders"):
        label = f"orders.{order['name']}"
        team, stages = order.get("team"), order.get("stages")
        if isinstance(team, str) and team not in names["teams"]:
            allowed = "the name of one of [[teams]]"
            faults.append(ConfigFault(f"{label}.team", f'"{team}"', allowed))
        for stage in stages if isinstance(stages, list) else []:
            if stage not in names["task_classes"]:
                allowed = "names of [[task_classes]]"
                faults.append(ConfigFault(f"{label}.stages", f'"{stage}"', allowed))
    return faults


def _repeated_names(section: str, names: list[str]) -> list[ConfigFault]:
    repeated = sorted({name for name in names if names.count(name) > 1})
    allowed = f"a name that no other of [[{section}]] has"
    return [ConfigFault(f"{section}.{name}.name", name, allowed) for name in repeated]


def _team_faults(document: Mapping[str, Any]) -> list[ConfigFault]:
    faults = []
    teams = _tables_of(document, "teams")
    if not any(team.get("operator") is True for team in teams):
        allowed = "at least one team with operator = true"
        faults.append(ConfigFault("teams", "(no operator)", allowed))
    holders: dict[str, str] = {}
    for team in teams:
        digest = team.get("token_sha256")
        if isinstance(digest, str):
            other = holders.setdefault(digest, team["name"])
            if other != team["name"]:
                key = f"teams.{team['name']}.token_sha256"
                allowed = f"a digest other than that of team {other}"
                faults.append(ConfigFault(key, "(hidden)", allowed))
    return faults


def _policy_faults(config: PolicyConfig, known: KnownPolicies) -> list[ConfigFault]:
    faults = []
    for kind, names in known.items():
        name = getattr(config, kind)
        if name not in names:
            allowed = ", ".join(sorted(names))
            faults.append(ConfigFault(f"policies.{kind}", f'"{name}"', allowed))
    return faults


def fleet_document(config: FleetConfig) -> dict[str, Any]:
    """Return the document of a configuration, with tables sorted by name.

    Keys are in the order of the class and every default is included, so the same
    configuration always gives the same document.
    """
    document: dict[str, Any] = {}
    for section in _TABLES:
        items = sorted(getattr(config, section), key=lambda item: str(item.name))
        if items:
            document[section] = [_table_of(item) for item in items]
    document["policies"] = _table_of(config.policies)
    return document


def _table_of(value: Any) -> dict[str, Any]:
    table = {}
    for field in dataclasses.fields(value):
        item = getattr(value, field.name)
        if field.name == "deadline_unix_s":
            item = datetime.fromtimestamp(item, UTC)
        elif isinstance(item, tuple):
            item = list(item)
        table[_key_of(field.name)] = item
    return table
