"""Checks that data of others is decoded through `hyssopwind.core.decoding`.

Decoders raise exceptions of many types. A caller that lists some of them ends
with the next one, so they are called in that module only.
"""

import ast
import pathlib
import sys
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
DIRECTORIES = (
    "packages/core",
    "packages/transport",
    "packages/daemon",
    "packages/operator",
    "platform",
)
DECODING_MODULE = "core/decoding.py"
# Calls and exceptions, as they are written after the import of their module.
FORBIDDEN = frozenset(
    {
        "base64.b64decode",
        "base64.urlsafe_b64decode",
        "base64.standard_b64decode",
        "binascii.a2b_base64",
        "json.load",
        "json.loads",
        "msgspec.convert",
        "msgspec.DecodeError",
        "msgspec.ValidationError",
        "msgspec.json.decode",
        "msgspec.json.Decoder",
        "msgspec.msgpack.decode",
        "msgspec.msgpack.Decoder",
        "msgspec.toml.decode",
        "tomllib.load",
        "tomllib.loads",
        "tomllib.TOMLDecodeError",
        "zlib.decompress",
        "zlib.decompressobj",
    }
)
# Methods of answers and requests of aiohttp that decode a body.
FORBIDDEN_METHODS = frozenset({"json"})
# Uses that decode what the process has written itself, by path and name.
ALLOWED = {("daemon/tracing.py", "json.loads")}


def check_file(path: pathlib.Path) -> Iterator[str]:
    """Yields a message for each decoder that a file names itself."""
    relative = str(path.relative_to(ROOT))
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        name = _find_forbidden(node)
        if name is None:
            continue
        if any(relative.endswith(p) and name == n for p, n in ALLOWED):
            continue
        line = getattr(node, "lineno", 0)
        yield (
            f"{relative}:{line}: names {name}; decode through"
            " hyssopwind.core.decoding"
        )


def _find_forbidden(node: ast.AST) -> str | None:
    if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
        is_plain = not node.args and not node.keywords
        if is_plain and node.func.attr in FORBIDDEN_METHODS:
            return f".{node.func.attr}()"
    if isinstance(node, ast.Attribute):
        name = ast.unparse(node)
        return name if name in FORBIDDEN else None
    return None


def main() -> int:
    """Checks the sources and prints the findings."""
    findings: list[str] = []
    for directory in DIRECTORIES:
        for path in sorted((ROOT / directory).rglob("*.py")):
            if "tests" in path.parts or str(path).endswith(DECODING_MODULE):
                continue
            findings.extend(check_file(path))
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
