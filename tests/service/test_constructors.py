"""Constructors of the package take only what they use."""

import ast
from pathlib import Path

import pytest

import almondspan_service

FOLDER = Path(almondspan_service.__file__).parent
MODULES = sorted(path.name for path in FOLDER.glob("*.py"))


def unused_arguments(tree: ast.Module) -> list[str]:
    """Return the arguments of constructors whose bodies do not read them."""
    found = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.FunctionDef) or node.name != "__init__":
            continue
        arguments = [*node.args.posonlyargs, *node.args.args, *node.args.kwonlyargs]
        read = {
            name.id
            for line in node.body
            for name in ast.walk(line)
            if isinstance(name, ast.Name)
        }
        found += [each.arg for each in arguments[1:] if each.arg not in read]
    return found


@pytest.mark.parametrize("module", MODULES)
def test_constructor_reads_all_its_arguments(module: str) -> None:
    """Guards against arguments that callers must pass and that have no effect."""
    assert unused_arguments(ast.parse((FOLDER / module).read_text())) == []
