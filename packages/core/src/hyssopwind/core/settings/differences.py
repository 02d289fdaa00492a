"""Describes what an edit of settings changes, in words."""

import enum
from collections.abc import Iterator
from typing import Any

import msgspec

from hyssopwind.core import units
from hyssopwind.core.settings import documents


def describe_differences(
    old: documents.TeamSettings, new: documents.TeamSettings
) -> list[str]:
    """Returns a sentence for each value that differs.

    Examples:
        >>> centre = documents.DataCentreSettings
        >>> out = documents.DataCentreState.OUT
        >>> before = documents.TeamSettings(
        ...     data_centres={"chicago": centre()}, services={})
        >>> after = documents.TeamSettings(
        ...     data_centres={"chicago": centre(state=out)}, services={})
        >>> describe_differences(before, after)
        ['data_centres.chicago.state changes from "in" to "out"']
    """
    return list(_compare(old, new, ""))


def _compare(old: Any, new: Any, path: str) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, msgspec.Struct) and isinstance(new, msgspec.Struct):
        old, new = msgspec.structs.asdict(old), msgspec.structs.asdict(new)
    if not (isinstance(old, dict) and isinstance(new, dict)):
        yield f"{path} changes from {_show(old)} to {_show(new)}"
        return
    for key in sorted(old.keys() | new.keys()):
        inner = f"{path}.{key}" if path else str(key)
        if key not in new:
            yield f"{inner} is removed"
            continue
        if key not in old:
            yield f"{inner} is added"
            continue
        yield from _compare(old[key], new[key], inner)


def _show(value: Any) -> str:
    if isinstance(value, enum.Enum):
        return f'"{value.value}"'
    if isinstance(value, str):
        return f'"{value}"'
    unit = _UNITS.get(type(value), "")
    return f"{value}{unit}"


_UNITS = {units.Duration: " s", units.Rate: "/s", units.ByteSize: " B"}
