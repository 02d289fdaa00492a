"""Finds the line numbers of keys in TOML text.

`tomllib` returns no positions and `tomlkit` keeps none after parsing, so this
module scans the headers and keys line by line. Keys inside inline tables and
multi-line arrays are located at the line on which the value begins.
"""

import re
from typing import TypeAlias

KeyPath: TypeAlias = tuple[str, ...]

_KEY_PART = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_DOTTED_KEY = rf"{_KEY_PART}(?:\s*\.\s*{_KEY_PART})*"
_TABLE_HEADER = re.compile(rf"^\s*\[\[?\s*({_DOTTED_KEY})\s*\]\]?")
_KEY_ASSIGNMENT = re.compile(rf"^\s*({_DOTTED_KEY})\s*=")
_KEY_PARTS = re.compile(_KEY_PART)


def _split_key(dotted_key: str) -> KeyPath:
    return tuple(part.strip("\"'") for part in _KEY_PARTS.findall(dotted_key))


def locate_keys(text: str) -> dict[KeyPath, int]:
    r"""Returns the line number, from 1, of each key and table in TOML text.

    Examples:
        >>> locate_keys('[services.a]\nroute = "/a"')
        {('services',): 1, ('services', 'a'): 1, ('services', 'a', 'route'): 2}
    """
    lines: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for line_number, line in enumerate(text.splitlines(), start=1):
        header = _TABLE_HEADER.match(line)
        if header is not None:
            table = _split_key(header[1])
            _add_with_parents(lines, table, line_number)
            continue
        key = _KEY_ASSIGNMENT.match(line)
        if key is None:
            continue
        _add_with_parents(lines, table + _split_key(key[1]), line_number)
    return lines


def _add_with_parents(
    lines: dict[KeyPath, int], path: KeyPath, line_number: int
) -> None:
    for length in range(1, len(path) + 1):
        lines.setdefault(path[:length], line_number)


def find_line(lines: dict[KeyPath, int], path: KeyPath) -> int:
    """Returns the line of a key, else of its nearest parent, else 1."""
    for length in range(len(path), 0, -1):
        line = lines.get(path[:length])
        if line is not None:
            return line
    return 1
