"""Mutations of valid data, as strategies of Hypothesis.

References:
    https://hypothesis.readthedocs.io/
"""

import json
from typing import Any

import msgspec
from hypothesis import strategies

NESTING_DEPTH = 1_500
MAX_MUTATIONS = 3
# Replace values. Those in `_ODD_JSON_TEXTS` cannot be written by an encoder.
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    "",
    "x" * 5_000,
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "*",
    "\x00",
    "\ud7ff",
    -1,
    0,
    2**31,
    2**63 - 1,
    -(2**63),
    2**64 - 1,
    0.5,
    -1e308,
    1e308,
    [],
    {},
    [[]],
    {"": {}},
)
_ODD_JSON_TEXTS = (
    "[" * NESTING_DEPTH,
    "[" * NESTING_DEPTH + "]" * NESTING_DEPTH,
    '{"a":' * NESTING_DEPTH + "1" + "}" * NESTING_DEPTH,
    "1" + "0" * 5_000,
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
    '"\\ud800"',
    '"\\u0000"',
)
ODD_TOML_LINES = (
    "a = " + "[" * NESTING_DEPTH,
    "a = " + "{a=" * NESTING_DEPTH,
    "a." * 2_000 + "a = 1",
    "[" + "a." * 2_000 + "a]",
    "a = 1" + "0" * 5_000,
    "a = inf",
    "a = nan",
    'a = "\\ud800"',
    "a = \x00",
    "a = 1979-05-27T07:32:00Z",
    "slots = 99999999999999999999",
    'deadline = "' + "9" * 400 + 's"',
    'max_answer = "' + "9" * 400 + 'MB"',
    'load = { chicago = "' + "9" * 400 + '/s" }',
    "retries = { ratio = inf }",
    "retries = { ratio = nan }",
)
_MARKER = "odd-value-of-the-fuzzer"


@strategies.composite
def mutate_bytes(draw: strategies.DrawFn, sample: bytes) -> bytes:
    """Removes, repeats, replaces and inserts bytes of a sample."""
    data = bytearray(sample)
    for _ in range(draw(strategies.integers(0, MAX_MUTATIONS))):
        start = draw(strategies.integers(0, len(data)))
        end = draw(strategies.integers(start, min(len(data), start + 40)))
        kind = draw(strategies.sampled_from(("cut", "remove", "repeat", "put")))
        if kind == "cut":
            del data[start:]
        elif kind == "remove":
            del data[start:end]
        elif kind == "repeat":
            data[start:start] = bytes(data[start:end])
        else:
            data[start:end] = draw(strategies.binary(max_size=8))
    return bytes(data)


@strategies.composite
def mutate_value(draw: strategies.DrawFn, sample: Any) -> Any:
    """Replaces, removes or repeats one part of a value, at any depth."""
    if isinstance(sample, dict) and sample and draw(strategies.booleans()):
        key = draw(strategies.sampled_from(sorted(sample)))
        changed = dict(sample)
        if draw(strategies.integers(0, 3)) == 0:
            del changed[key]
            return changed
        changed[key] = draw(mutate_value(sample[key]))
        return changed
    if isinstance(sample, list) and sample and draw(strategies.booleans()):
        index = draw(strategies.integers(0, len(sample) - 1))
        changed_list = list(sample)
        if draw(strategies.integers(0, 3)) == 0:
            changed_list.insert(index, sample[index])
            return changed_list
        changed_list[index] = draw(mutate_value(sample[index]))
        return changed_list
    return draw(strategies.sampled_from(ODD_VALUES))


@strategies.composite
def mutate_json(draw: strategies.DrawFn, sample: Any) -> bytes:
    """Returns JSON of a mutated value, mostly still JSON."""
    value = sample
    for _ in range(draw(strategies.integers(0, MAX_MUTATIONS))):
        value = draw(mutate_value(value))
    if draw(strategies.booleans()):
        value = _put_marker(draw, value)
    text = json.dumps(value)
    odd_text = draw(strategies.sampled_from(_ODD_JSON_TEXTS))
    data = text.replace(f'"{_MARKER}"', odd_text, 1).encode()
    if draw(strategies.integers(0, 3)) == 0:
        data = draw(mutate_bytes(data))
    return data


@strategies.composite
def mutate_message_pack(draw: strategies.DrawFn, sample: bytes) -> bytes:
    """Returns MessagePack of a mutated message, mostly still MessagePack."""
    value = msgspec.msgpack.decode(sample)
    for _ in range(draw(strategies.integers(0, MAX_MUTATIONS))):
        value = draw(mutate_value(value))
    if draw(strategies.booleans()):
        value = _put_marker(draw, value)
    odd_bytes = draw(
        strategies.sampled_from(
            (
                b"\x91" * NESTING_DEPTH,
                b"\x91" * NESTING_DEPTH + b"\xc0",
                b"\xcb\x7f\xf8\0\0\0\0\0\0",  # not a number
                b"\xcb\x7f\xf0\0\0\0\0\0\0",  # infinity
                b"\xa2\xff\xfe",  # no UTF-8
                b"\xd4\x01\x00",  # an extension
                b"\xdf\xff\xff\xff\xff",  # a map that is longer than the data
            )
        )
    )
    marker = msgspec.msgpack.encode(_MARKER)
    data = msgspec.msgpack.encode(value).replace(marker, odd_bytes, 1)
    if draw(strategies.integers(0, 3)) == 0:
        data = draw(mutate_bytes(data))
    return data


@strategies.composite
def mutate_toml(draw: strategies.DrawFn, sample: str) -> str:
    """Returns a document with odd lines, or with lines removed or repeated."""
    lines = sample.splitlines()
    for _ in range(draw(strategies.integers(0, MAX_MUTATIONS))):
        index = draw(strategies.integers(0, len(lines)))
        kind = draw(strategies.sampled_from(("odd", "remove", "repeat")))
        if kind == "odd" or index == len(lines):
            lines.insert(index, draw(strategies.sampled_from(ODD_TOML_LINES)))
        elif kind == "remove":
            del lines[index]
        else:
            lines.insert(index, lines[index])
    text = "\n".join(lines)
    if draw(strategies.integers(0, 3)) == 0:
        data = draw(mutate_bytes(text.encode()))
        text = data.decode("utf-8", errors="replace")
    return text


def _put_marker(draw: strategies.DrawFn, value: Any) -> Any:
    """Replaces one part of a value by the marker."""
    if isinstance(value, dict) and value:
        key = draw(strategies.sampled_from(sorted(value)))
        return {**value, key: _put_marker(draw, value[key])}
    if isinstance(value, list) and value:
        index = draw(strategies.integers(0, len(value) - 1))
        changed = list(value)
        changed[index] = _put_marker(draw, value[index])
        return changed
    return _MARKER
