"""Operators on streams of events."""

from typing import Any
from typing import TypeVar
from typing import cast

import reactivex
from reactivex import operators

T = TypeVar("T")


def select_type(
    source: reactivex.Observable[Any], kind: type[T]
) -> reactivex.Observable[T]:
    """Returns the items of one type.

    Examples:
        >>> seen = []
        >>> _ = select_type(reactivex.of(1, "a", 2), int).subscribe(seen.append)
        >>> seen
        [1, 2]
    """
    selected = source.pipe(operators.filter(lambda e: isinstance(e, kind)))
    return cast(reactivex.Observable[T], selected)
