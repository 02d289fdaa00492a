"""Finds the lines of keys in TOML text.

`tomllib` gives no positions, and `tomlkit` keeps none after parsing, so the
headers and keys are read line by line. Keys inside of inline tables and of
multi-line arrays are found at the line on which the value begins.
"""

import re
from typing import TypeAlias

KeyPath: TypeAlias = tuple[str, ...]

_PART = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_DOTTED = rf"{_PART}(?:\s*\.\s*{_PART})*"
_HEADER = re.compile(rf"^\s*\[\[?\s*({_DOTTED})\s*\]\]?")
_KEY = re.compile(rf"^\s*({_DOTTED})\s*=")
_PARTS = re.compile(_PART)


def _split(dotted: str) -> KeyPath:
    return tuple(part.strip("\"'") for part in _PARTS.findall(dotted))


def locate_keys(text: str) -> dict[KeyPath, int]:
    r"""Returns the line, from 1, of each key and table in TOML text.

    Examples:
        >>> locate_keys('[services.a]\nroute = "/a"')
        {('services',): 1, ('services', 'a'): 1, ('services', 'a', 'route'): 2}
    """
    lines: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header is not None:
            table = _split(header[1])
            _add_with_parents(lines, table, number)
            continue
        key = _KEY.match(line)
        if key is None:
            continue
        _add_with_parents(lines, table + _split(key[1]), number)
    return lines


def _add_with_parents(
    lines: dict[KeyPath, int], path: KeyPath, number: int
) -> None:
    for length in range(1, len(path) + 1):
        lines.setdefault(path[:length], number)


def find_line(lines: dict[KeyPath, int], path: KeyPath) -> int:
    """Returns the line of a key, or of its nearest parent, or 1."""
    for length in range(len(path), 0, -1):
        line = lines.get(path[:length])
        if line is not None:
            return line
    return 1
