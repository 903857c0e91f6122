"""The documentation covers every command, and its examples can be parsed."""

import re
import shlex
from pathlib import Path

import pytest

from almondspan import ExitCode
from almondspan.command import Almondspan, _parse_command, _Pending, _split_flags
from almondspan_admin import api

DOCS = Path(__file__).parents[2] / "docs"
PAGES = [DOCS / "CLI.md", *sorted((DOCS / "operations").glob("*.md"))]
EXAMPLES = [
    pytest.param(line.removeprefix("$ "), id=f"{page.name}: {line[:60]}")
    for page in PAGES
    for line in page.read_text().splitlines()
    if line.startswith("$ almondspan ")
]
COMMANDS = [
    *("cancel", "diff", "drain", "lost", "status", "submit", "token"),
    *("config check", "config history", "config show", "config status"),
    *("config submit", "fleet agents", "fleet shards", "report burn", "report order"),
]


@pytest.mark.parametrize("example", EXAMPLES)
def test_example_is_parsed(example, monkeypatch, tmp_path):
    monkeypatch.chdir(tmp_path)
    command = re.split(r" [|>] ", example)[0]
    flags, words = _split_flags(shlex.split(command)[1:])
    assert isinstance(_parse_command(Almondspan(flags), words), _Pending)


@pytest.mark.parametrize("command", COMMANDS)
def test_command_is_documented(command):
    assert f"`almondspan {command}" in (DOCS / "CLI.md").read_text()


def test_list_of_commands_is_complete():
    program = Almondspan(_split_flags([])[0])
    found = []
    for name, member in sorted(vars(program).items()):
        if not name.startswith("_"):
            found += [f"{name} {one}" for one in _methods(member)]
    assert sorted(found + _methods(program)) == sorted(COMMANDS)


def _methods(group):
    return [name for name in dir(type(group)) if not name.startswith("_")]


@pytest.mark.parametrize("code", ExitCode)
def test_exit_code_is_documented(code):
    assert f"| {code.value} | `{code.name}` |" in (DOCS / "OUTCOMES.md").read_text()


def test_error_kinds_are_documented():
    folder = Path(api.__file__).parent
    source = "".join(path.read_text() for path in folder.glob("*.py"))
    kinds = set(re.findall(r'(?:refuse\([^"]*|ErrorBody\(\s*)"([a-z_]+)"', source))
    assert {"conflict", "stale_token", "rate_limited"} <= kinds
    text = (DOCS / "OUTCOMES.md").read_text()
    assert {kind for kind in kinds if f"`{kind}`" not in text} == set()
