"""Checks the dependencies between packages.

Each package may import only the packages listed for it in `ALLOWED`, and the decisions
package no module for input and output or time. Modules import other packages by their
absolute names. On a violation it prints the lines and ends with 1.
"""

import ast
import sys
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent

ALLOWED: Final[dict[str, frozenset[str]]] = {
    "almondspan_decisions": frozenset(),
    "almondspan_wire": frozenset({"almondspan_decisions"}),
    "almondspan_platform": frozenset({"almondspan_decisions"}),
    "almondspan_tasks": frozenset(
        {"almondspan_decisions", "almondspan_wire", "almondspan_platform"}
    ),
    "almondspan_jobs": frozenset(
        {"almondspan_decisions", "almondspan_wire", "almondspan_platform"}
    ),
    "almondspan_service": frozenset(
        {"almondspan_decisions", "almondspan_wire", "almondspan_tasks"}
    ),
    "almondspan_admin": frozenset(
        {
            "almondspan_decisions",
            "almondspan_wire",
            "almondspan_platform",
            "almondspan_tasks",
        }
    ),
    "almondspan_daemon": frozenset(
        {
            "almondspan_decisions",
            "almondspan_wire",
            "almondspan_platform",
            "almondspan_tasks",
            "almondspan_service",
            "almondspan_admin",
        }
    ),
    "almondspan": frozenset({"almondspan_decisions"}),
    "almondspan_standins": frozenset({"almondspan_decisions", "almondspan_platform"}),
}

FORBIDDEN_IN_DECISIONS: Final = frozenset(
    {"asyncio", "socket", "time", "aiohttp", "msgspec", "os", "pathlib"}
)


def imported_modules(tree: ast.Module) -> list[tuple[int, str]]:
    found: list[tuple[int, str]] = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found += [(node.lineno, alias.name) for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.append((node.lineno, node.module))
    return found


def import_violations(package: str, path: Path) -> list[str]:
    tree = ast.parse(path.read_text())
    found = []
    for line, module in imported_modules(tree):
        top = module.partition(".")[0]
        is_ours = top in ALLOWED and top != package
        if is_ours and top not in ALLOWED[package]:
            found.append(f"{path.relative_to(ROOT)}:{line}: imports {module}")
        if package == "almondspan_decisions" and top in FORBIDDEN_IN_DECISIONS:
            found.append(f"{path.relative_to(ROOT)}:{line}: imports {module}")
    return found


def main() -> int:
    found: list[str] = []
    for folder in sorted(ROOT.glob("packages/*/almondspan*")):
        for path in sorted(folder.rglob("*.py")):
            found += import_violations(folder.name, path)
    print("\n".join(found) or "all imports are allowed")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
