"""Quantities that settings files write with a unit.

`Duration` is in seconds, `Rate` in events per second and `ByteSize` in bytes.
Each is a number, so that arithmetic needs no conversion.
"""

import re
from typing import Any

_SECONDS_PER_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
_BYTES_PER_UNIT = {"B": 1, "KB": 1_000, "MB": 1_000_000}
_QUANTITY_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")
_RATE_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*/\s*(s|min|h)")


# Larger quantities are mistakes, and could not be computed with.
MAX_SECONDS = 1e9
MAX_EVENTS_PER_SECOND = 1e9
MAX_BYTES = 1e15


class Duration(float):
    """A length of time in seconds."""


class Rate(float):
    """A number of events per second."""


class ByteSize(int):
    """A number of bytes."""


def parse_duration(text: str) -> Duration:
    """Parses a duration with its unit: us, ms, s, min or h.

    Raises:
        ValueError: `text` is not a number followed by one of the units, or too
            large.

    Examples:
        >>> parse_duration("250ms")
        0.25
    """
    match = _QUANTITY_PATTERN.fullmatch(text.strip())
    if match is None or match[2] not in _SECONDS_PER_UNIT:
        raise ValueError(f'expected a duration such as "250ms", got "{text}"')
    seconds = float(match[1]) * _SECONDS_PER_UNIT[match[2]]
    return Duration(_check_size(seconds, MAX_SECONDS, "s"))


def parse_rate(text: str) -> Rate:
    """Parses a rate with its unit: /s, /min or /h.

    Raises:
        ValueError: `text` is not a number followed by one of the units.

    Examples:
        >>> parse_rate("30/min")
        0.5
    """
    match = _RATE_PATTERN.fullmatch(text.strip())
    if match is None:
        raise ValueError(f'expected a rate such as "20/s", got "{text}"')
    rate = float(match[1]) / _SECONDS_PER_UNIT[match[2]]
    return Rate(_check_size(rate, MAX_EVENTS_PER_SECOND, "/s"))


def parse_byte_size(text: str) -> ByteSize:
    """Parses a size with its unit: B, KB (1000 B) or MB (1000 KB).

    Raises:
        ValueError: `text` is not a number followed by one of the units.

    Examples:
        >>> parse_byte_size("2MB")
        2000000
    """
    match = _QUANTITY_PATTERN.fullmatch(text.strip())
    if match is None or match[2] not in _BYTES_PER_UNIT:
        raise ValueError(f'expected a size such as "1MB", got "{text}"')
    size = float(match[1]) * _BYTES_PER_UNIT[match[2]]
    return ByteSize(_check_size(size, MAX_BYTES, "B"))


def _check_size(value: float, highest: float, unit: str) -> float:
    """Returns a quantity.

    Raises:
        ValueError: it is larger than `highest`.
    """
    if value > highest:
        raise ValueError(f"expected at most {highest:g}{unit}, got {value:g}")
    return value


_PARSERS = {
    Duration: parse_duration,
    Rate: parse_rate,
    ByteSize: parse_byte_size,
}


def decode_quantity(kind: type, value: Any) -> Any:
    """Decodes a settings value into one of the quantities of this module.

    Its signature is that of the `dec_hook` of `msgspec.convert`.

    Raises:
        ValueError: `value` has no unit or an unknown one.
        NotImplementedError: `kind` is not a quantity of this module.
    """
    parser = _PARSERS.get(kind)
    if parser is None:
        raise NotImplementedError(f"no decoder for {kind.__name__}")
    if not isinstance(value, str):
        raise ValueError(f"expected text with a unit, got {value!r}")
    return parser(value)
