"""Generates the reference pages of settings and configuration from the code.

``python misc/reference_pages.py`` writes docs/SETTINGS.md and docs/CONFIGURATION.md.
A test checks that the pages are up to date.
"""

import dataclasses
import inspect
from pathlib import Path
from typing import Any, Final

import msgspec
from pydantic import BaseModel

from almondspan_daemon.settings import AgentSettings, EntrySettings
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_rules import DEADLINE_KEY, FIELD_RULES
from almondspan_decisions.policy_names import known_policies
from almondspan_site.node_settings import SITE_SECTIONS

DOCS: Final = Path(__file__).resolve().parent.parent / "docs"

SETTINGS_HEAD: Final = """\
# Settings of a process

`almondspand entry --settings FILE` and `almondspand agent --settings FILE` read one
TOML file. A fault ends the process with 2 before anything starts; every fault of the
file is named in one run, with its key, its value and what is allowed. This page is
written by `misc/reference_pages.py`.
"""

SITE_HEAD: Final = """\
# Settings of a role on the users' platform

`python -m almondspan_site entry` and `agent` read the JSON file that the platform
writes. The sections that bound clients are listed here; docs/design/client-limits.md
explains them. A value that is not allowed ends the process with 2 before anything
starts.
"""

CONFIGURATION_HEAD: Final = """\
# Configuration of the fleet

One text for the whole fleet, printed by a plan and put in force by
`almondspan config submit` (see [CLI](CLI.md)). Entries relay it; it never goes back
to an earlier revision. Unknown keys, wrong values, names that refer to nothing, two
teams with one token, and a text without any operator are refused, all in one answer.
This page is written by `misc/reference_pages.py`.
"""


def section_model(annotation: Any) -> type[BaseModel] | None:
    for candidate in (annotation, *getattr(annotation, "__args__", ())):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def cell(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if value in ("", ()):
        return "empty"
    return f"`{value}`"


def settings_rows(name: str, model: type[BaseModel]) -> list[str]:
    rows = [f"## {name}", ""]
    if model.__doc__:
        rows += [" ".join(model.__doc__.split()), ""]
    rows += ["| Key | Default | Allowed |", "| --- | --- | --- |"]
    nested = []
    for key, field in model.model_fields.items():
        default = "required" if field.is_required() else cell(field.default)
        allowed = (field.description or "").replace("|", "\\|")
        rows.append(f"| `{key}` | {default} | {allowed} |")
        inner = section_model(field.annotation)
        args = getattr(field.annotation, "__args__", ())
        inner = inner or next(
            (found for a in args if (found := section_model(a))), None
        )
        if inner is not None:
            nested.append((key, inner))
    rows.append("")
    section = name.strip("`[]")
    for key, inner in nested:
        rows += settings_rows(f"`[[{section}.{key}]]`", inner)
    return rows


def settings_page() -> str:
    rows = [SETTINGS_HEAD]
    seen: set[str] = set()
    for settings in (EntrySettings, AgentSettings):
        for name, field in settings.model_fields.items():
            model = section_model(field.annotation)
            if model is not None and name not in seen:
                seen.add(name)
                rows += settings_rows(f"`[{name}]`", model)
    rows += [SITE_HEAD]
    for name, section in SITE_SECTIONS.items():
        rows += site_rows(name, section)
    return "\n".join(rows).rstrip("\n") + "\n"


def site_rows(name: str, section: type[msgspec.Struct]) -> list[str]:
    """Return a section of the platform's settings file."""
    rows = [f"## `{name}`", "", " ".join(inspect.getdoc(section).split()), ""]
    rows += ["| Key | Default | Meaning | Allowed |", "| --- | --- | --- | --- |"]
    kinds = {
        field.name: field.type for field in msgspec.inspect.type_info(section).fields
    }
    for field in msgspec.structs.fields(section):
        meta = kinds[field.name]
        meaning = (meta.extra_json_schema or {}).get("description", "")
        allowed = f"{meta.type.ge:,} to {meta.type.le:,}"
        rows.append(f"| `{field.name}` | `{field.default:g}` | {meaning} | {allowed} |")
    return [*rows, ""]


def configuration_page() -> str:
    rows = [CONFIGURATION_HEAD]
    classes = {
        "services": "`[[services]]`",
        "teams": "`[[teams]]`",
        "task_classes": "`[[task_classes]]`",
        "orders": "`[[orders]]`",
        "policies": "`[policies]`",
    }
    order = [field.name for field in dataclasses.fields(FleetConfig)]
    policies = known_policies()
    by_section = dict(zip(classes, FIELD_RULES, strict=True))
    for section in order:
        if section not in classes:
            continue
        cls = by_section[section]
        rows += [
            f"## {classes[section]}",
            "",
            " ".join((cls.__doc__ or "").split()),
            "",
        ]
        rows += ["| Key | Default | Allowed |", "| --- | --- | --- |"]
        defaults = {field.name: field.default for field in dataclasses.fields(cls)}
        for key, rule in FIELD_RULES[cls].items():
            name = "deadline_unix_s" if key == DEADLINE_KEY else key
            default = defaults[name]
            text = "required" if default is dataclasses.MISSING else cell(default)
            allowed = rule.allowed
            if section == "policies":
                allowed = ", ".join(f"`{one}`" for one in sorted(policies[key]))
            rows.append(f"| `{key}` | {text} | {allowed} |")
        rows.append("")
    return "\n".join(rows).rstrip("\n") + "\n"


PAGES: Final = {
    "SETTINGS.md": settings_page,
    "CONFIGURATION.md": configuration_page,
}


def main() -> None:
    for name, render in PAGES.items():
        (DOCS / name).write_text(render())


if __name__ == "__main__":
    main()
