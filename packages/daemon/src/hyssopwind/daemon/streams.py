"""Operators on streams of events."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar
from typing import cast

import logbook
import reactivex
from reactivex import operators

T = TypeVar("T")

_log = logbook.Logger("streams")


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


def subscribe(
    source: reactivex.Observable[T],
    handler: Callable[[T], None],
    on_failure: Callable[[], None] = lambda: None,
) -> None:
    """Passes all items to a handler, also those after one at which it fails.

    A subscription of the library ends at the first exception of its handler.

    Args:
        source: the stream.
        handler: is called with each item.
        on_failure: is called after each exception of the handler.
    """

    def handle(item: T) -> None:
        try:
            handler(item)
        except Exception as error:
            on_failure()
            _log.error(
                "item of a stream could not be handled",
                exc_info=(type(error), error, error.__traceback__),
                extra={"item_type": type(item).__name__},
            )

    source.subscribe(handle)
