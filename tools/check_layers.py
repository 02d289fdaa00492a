"""Checks that imports name modules, follow the layers and keep I/O out of core.

Modules of core may import nothing that does input or output, reads a clock or
uses secrets.
"""

import ast
import importlib.util
import pathlib
import sys
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
# From these modules, names may be imported.
NAME_IMPORT_MODULES = frozenset(
    {"typing", "collections.abc", "__future__", "typing_extensions"}
)
CORE_PATH = "hyssopwind/core/"
FORBIDDEN_IN_CORE = frozenset(
    {"asyncio", "socket", "aiohttp", "zmq", "reactivex", "time", "secrets"}
)
# Packages that the modules of each package may import.
LAYERS = {
    "core": {"core"},
    "transport": {"core", "transport"},
    "platform": {"core", "transport", "platform"},
    "daemon": {"core", "transport", "platform", "daemon"},
    "operator": {"core", "platform", "operator"},
    "standins": {"core", "transport", "platform", "daemon", "standins"},
}


def is_module(name: str) -> bool:
    """Returns whether a dotted name is a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def check_file(path: pathlib.Path) -> Iterator[str]:
    """Yields a message for each import of a file that breaks a rule."""
    relative = path.relative_to(ROOT)
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Import | ast.ImportFrom):
            continue
        for message in _check_import(node, str(relative)):
            yield f"{relative}:{node.lineno}: {message}"


def _check_import(
    node: ast.Import | ast.ImportFrom, path: str
) -> Iterator[str]:
    names = [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        module = node.module or ""
        for name in names:
            if module in NAME_IMPORT_MODULES or is_module(f"{module}.{name}"):
                continue
            yield f'imports the name "{name}" from "{module}"'
        names = [f"{module}.{name}" for name in names]
    is_test = "/tests/" in path
    for name in names:
        top_package = name.split(".")[0]
        if (
            CORE_PATH in path
            and not is_test
            and top_package in FORBIDDEN_IN_CORE
        ):
            yield f'the core imports "{name}"'
        yield from _check_layer(name, path)


def _check_layer(name: str, path: str) -> Iterator[str]:
    parts = name.split(".")
    if parts[0] != "hyssopwind" or len(parts) < 2:
        return
    for layer, allowed in LAYERS.items():
        if f"hyssopwind/{layer}/" in path and parts[1] not in allowed:
            yield f'layer "{layer}" imports layer "{parts[1]}"'


def main() -> int:
    """Checks all Python files and prints the findings."""
    findings = []
    for directory in ("packages", "platform", "tools"):
        for path in sorted((ROOT / directory).rglob("*.py")):
            findings.extend(check_file(path))
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
