"""Patches between two versions of a large value.

Values are split after each closing brace, which ends an object in JSON. A patch
names runs of parts that both versions have by their position in the base and
contains the other parts. A value without braces is one part.

References:
    Tichy, "The string-to-string correction problem with block moves", 1984.
"""

from typing import TypeAlias

SEPARATOR = b"}"
# Shorter parts are contained in a patch unless they continue a run.
MIN_REFERENCED_BYTES = 16

# First position and number of parts of the base, or bytes of the new value.
PatchStep: TypeAlias = tuple[int, int] | bytes


class PatchError(Exception):
    """A patch does not fit its base."""


def make_patch(base: bytes, target: bytes) -> list[PatchStep]:
    """Returns the steps that make `target` from `base`.

    Examples:
        >>> base = b"{first member: 1},{second member: 2}"
        >>> make_patch(base, b"{}")
        [b'{}']
        >>> make_patch(base, b"{first member: 1}")
        [(0, 1), b'']
        >>> make_patch(base, b"{0},{second member: 2}")
        [b'{0', (1, 2)]
    """
    base_parts = base.split(SEPARATOR)
    positions: dict[bytes, int] = {}
    for position, part in enumerate(base_parts):
        positions.setdefault(part, position)
    steps: list[PatchStep] = []
    added: list[bytes] = []
    start = count = 0
    for part in target.split(SEPARATOR):
        following = start + count
        if (
            count
            and following < len(base_parts)
            and base_parts[following] == part
        ):
            count += 1
            continue
        if count:
            steps.append((start, count))
            count = 0
        if len(part) < MIN_REFERENCED_BYTES or part not in positions:
            added.append(part)
            continue
        if added:
            steps.append(SEPARATOR.join(added))
            added = []
        start, count = positions[part], 1
    if count:
        steps.append((start, count))
    if added:
        steps.append(SEPARATOR.join(added))
    return steps


def apply_patch(base: bytes, steps: list[PatchStep]) -> bytes:
    """Returns the value that a patch makes from its base.

    Raises:
        PatchError: a step names parts that the base does not have.

    Examples:
        >>> base = b"{first member: 1},{second member: 2}"
        >>> apply_patch(base, [b"{0", (1, 2)])
        b'{0},{second member: 2}'
    """
    base_parts = base.split(SEPARATOR)
    pieces = []
    for step in steps:
        if isinstance(step, bytes):
            pieces.append(step)
            continue
        start, count = step
        if start < 0 or count < 1 or start + count > len(base_parts):
            raise PatchError(
                f"parts {start} to {start + count} of {len(base_parts)}"
            )
        pieces.append(SEPARATOR.join(base_parts[start : start + count]))
    return SEPARATOR.join(pieces)
