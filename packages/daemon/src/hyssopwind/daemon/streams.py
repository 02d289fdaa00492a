"""Operators on streams of events."""

from typing import Any
from typing import TypeVar
from typing import cast

import reactivex
from reactivex import operators

T = TypeVar("T")


def select_type(
    source: reactivex.Observable[Any], item_type: type[T]
) -> reactivex.Observable[T]:
    """Returns the items of one type.

    Examples:
        >>> numbers = []
        >>> items = reactivex.of(1, "a", 2)
        >>> _ = select_type(items, int).subscribe(numbers.append)
        >>> numbers
        [1, 2]
    """
    selected = source.pipe(
        operators.filter(lambda item: isinstance(item, item_type))
    )
    return cast(reactivex.Observable[T], selected)
