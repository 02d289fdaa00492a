"""Describes the differences between two versions of team settings."""

import enum
from collections.abc import Iterator
from typing import Any

import msgspec

from hyssopwind.core import units
from hyssopwind.core.settings import documents


def describe_differences(
    old: documents.TeamSettings, new: documents.TeamSettings
) -> list[str]:
    """Returns one description for each value that differs.

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
    return list(_describe(old, new, ""))


def _describe(old: Any, new: Any, path: str) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, msgspec.Struct) and isinstance(new, msgspec.Struct):
        old, new = msgspec.structs.asdict(old), msgspec.structs.asdict(new)
    if not (isinstance(old, dict) and isinstance(new, dict)):
        yield f"{path} changes from {_format(old)} to {_format(new)}"
        return
    for key in sorted(old.keys() | new.keys()):
        inner_path = f"{path}.{key}" if path else str(key)
        if key not in new:
            yield f"{inner_path} is removed"
            continue
        if key not in old:
            yield f"{inner_path} is added"
            continue
        yield from _describe(old[key], new[key], inner_path)


def _format(value: Any) -> str:
    if isinstance(value, enum.Enum):
        return f'"{value.value}"'
    if isinstance(value, str):
        return f'"{value}"'
    unit = _UNITS.get(type(value), "")
    return f"{value}{unit}"


_UNITS = {units.Duration: " s", units.Rate: "/s", units.ByteSize: " B"}
