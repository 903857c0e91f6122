"""Loads a process's settings file and reports all of its faults at once.

Phases: parse the TOML; take the role from ``[process]``, which decides the allowed
sections; validate each key with the models in `settings_model`; run those cross-key
checks of `settings_checks` whose keys are valid; return the settings, or all faults in
the order of the file's sections.
"""

import difflib
import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from pydantic import BaseModel, ValidationError

from almondspan_daemon.settings_checks import CROSS_CHECKS
from almondspan_daemon.settings_model import (
    AdminSection,
    AgentSection,
    AgentSettings,
    EntrySection,
    EntrySettings,
    LeasesSection,
    LogSection,
    ProcessSection,
    RunnerSection,
    ShardsSection,
    StoreSection,
    StreamsSection,
    TlsSection,
)

__all__ = [
    "AdminSection",
    "AgentSection",
    "AgentSettings",
    "EntrySection",
    "EntrySettings",
    "LeasesSection",
    "LogSection",
    "ProcessSection",
    "RunnerSection",
    "SettingsFault",
    "SettingsFaults",
    "ShardsSection",
    "StoreSection",
    "StreamsSection",
    "TlsSection",
    "load_settings",
]

MAX_SHOWN_CHARS: Final = 80
"""Maximum length of a value in a fault, in characters."""

_MODELS: Final[dict[str, type[EntrySettings] | type[AgentSettings]]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
}


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """An invalid key: the file, the dotted key, its value, and what is allowed."""

    file: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key} = {self.value}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class SettingsFaults:
    """All faults of a settings file; there is at least one."""

    faults: tuple[SettingsFault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def load_settings(path: str | Path) -> EntrySettings | AgentSettings | SettingsFaults:
    """Return the settings in the file at `path`, or all of its faults."""
    file = str(path)
    document = _read(Path(path))
    if isinstance(document, SettingsFault):
        return SettingsFaults((document,))
    model = _model_of(document)
    faults: dict[str, SettingsFault] = {}
    settings: EntrySettings | AgentSettings | None = None
    try:
        settings = model.model_validate(document)
    except ValidationError as error:
        for detail in error.errors(include_url=False, include_context=False):
            fault = _fault_of(file, model, detail["loc"], detail["type"], document)
            faults.setdefault(fault.key, fault)
    for fault in _cross_faults(file, model, document, frozenset(faults)):
        faults.setdefault(fault.key, fault)
    if settings is None or faults:
        return SettingsFaults(_in_order(model, faults))
    return settings


def _read(path: Path) -> dict[str, Any] | SettingsFault:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        cause = error.strerror or str(error)
        return SettingsFault(str(path), "(file)", cause, "a readable TOML file")
    except ValueError as error:
        return SettingsFault(str(path), "(file)", str(error), "TOML in UTF-8")
    except RecursionError:
        return SettingsFault(str(path), "(file)", "nested too deeply", "tables")


def _model_of(
    document: Mapping[str, Any],
) -> type[EntrySettings] | type[AgentSettings]:
    process = document.get("process")
    role = process.get("role") if isinstance(process, dict) else None
    if isinstance(role, str) and role in _MODELS:
        return _MODELS[role]
    # Without a valid role, the section that is present decides which keys to check.
    return EntrySettings if "entry" in document else AgentSettings


def _fault_of(
    file: str,
    model: type[BaseModel],
    loc: tuple[int | str, ...],
    kind: str,
    document: Mapping[str, Any],
) -> SettingsFault:
    key = ".".join(str(part) for part in loc)
    if kind == "extra_forbidden":
        allowed = _allowed_keys(model, loc)
        return SettingsFault(file, key, "(unknown key)", allowed)
    allowed = _description(model, loc)
    if kind == "missing":
        return SettingsFault(file, key, "(missing)", allowed)
    return SettingsFault(file, key, _shown(key, _value_at(document, loc)), allowed)


def _allowed_keys(model: type[BaseModel], loc: tuple[int | str, ...]) -> str:
    parent_model = _model_at(model, loc[:-1])
    names = sorted(parent_model.model_fields) if parent_model is not None else []
    unknown_key = str(loc[-1])
    matches = difflib.get_close_matches(unknown_key, names, n=1, cutoff=0.5)
    hint = f" (did you mean {matches[0]}?)" if matches else ""
    return ", ".join(names) + hint


def _description(model: type[BaseModel], loc: tuple[int | str, ...]) -> str:
    named = list(loc)
    while named and not isinstance(named[-1], str):
        named.pop()
    parent_model = _model_at(model, tuple(named[:-1]))
    if (
        parent_model is None
        or not named
        or str(named[-1]) not in parent_model.model_fields
    ):
        return "a table"
    return parent_model.model_fields[str(named[-1])].description or "a table"


def _model_at(
    model: type[BaseModel], loc: tuple[int | str, ...]
) -> type[BaseModel] | None:
    current: type[BaseModel] | None = model
    for part in loc:
        if isinstance(part, int):
            continue
        if current is None or part not in current.model_fields:
            return None
        current = _model_in(current.model_fields[part].annotation)
    return current


def _model_in(annotation: Any) -> type[BaseModel] | None:
    for candidate in (annotation, *getattr(annotation, "__args__", ())):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def _value_at(document: Any, loc: tuple[int | str, ...]) -> Any:
    value = document
    for part in loc:
        try:
            value = value[part]
        except (KeyError, IndexError, TypeError):
            return value
    return value


def _shown(key: str, value: Any) -> str:
    if key.endswith("_sha256"):
        # The value may be the token itself instead of its digest.
        return "(hidden)"
    text = json.dumps(value, default=str, ensure_ascii=False)
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return text[:MAX_SHOWN_CHARS] + "..."


def _cross_faults(
    file: str,
    model: type[BaseModel],
    document: Mapping[str, Any],
    faulty: frozenset[str],
) -> list[SettingsFault]:
    values = _values_with_defaults(model, document)
    found = []
    for check in CROSS_CHECKS:
        has_valid_keys = all(
            key in values and not _is_faulty(key, faulty) for key in check.keys
        )
        if not has_valid_keys:
            continue
        for key, allowed in check.find(values):
            value = _value_at(document, _split_key(key))
            shown = _shown(key, values.get(key, value))
            found.append(SettingsFault(file, key, shown, allowed))
    return found


def _is_faulty(key: str, faulty: frozenset[str]) -> bool:
    section = key.partition(".")[0]
    return section in faulty or any(
        fault == key or fault.startswith(f"{key}.") for fault in faulty
    )


def _split_key(key: str) -> tuple[int | str, ...]:
    return tuple(int(part) if part.isdigit() else part for part in key.split("."))


def _values_with_defaults(
    model: type[BaseModel], document: Mapping[str, Any]
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for name, section_field in model.model_fields.items():
        section = _model_in(section_field.annotation)
        section_values = document.get(name, {})
        if section is None or not isinstance(section_values, dict):
            continue
        for key, key_field in section.model_fields.items():
            if key in section_values:
                values[f"{name}.{key}"] = section_values[key]
            elif not key_field.is_required():
                values[f"{name}.{key}"] = key_field.default
    return values


def _in_order(
    model: type[BaseModel], faults: Mapping[str, SettingsFault]
) -> tuple[SettingsFault, ...]:
    sections = list(model.model_fields)

    def order(fault: SettingsFault) -> tuple[int, str]:
        section = fault.key.partition(".")[0]
        position = sections.index(section) if section in sections else len(sections)
        return position, fault.key

    return tuple(sorted(faults.values(), key=order))
