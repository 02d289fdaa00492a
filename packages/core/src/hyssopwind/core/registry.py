"""Registries of implementations, filled by decorators."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class Registry(Generic[Key, Value]):
    """Maps keys to implementations.

    Args:
        kind: what the registry holds, for error messages.

    Examples:
        >>> shapes = Registry("shape")
        >>> @shapes.register("square")
        ... def area(side):
        ...     return side * side
        >>> shapes.find("square")(3)
        9
        >>> shapes.find("circle")
        Traceback (most recent call last):
        ...
        LookupError: no shape is registered for 'circle'
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._entries: dict[Key, Value] = {}

    def register(self, key: Key) -> Callable[[Value], Value]:
        """Returns a decorator that registers its argument under `key`.

        Raises:
            ValueError: `key` is registered already.
        """

        def add(value: Value) -> Value:
            if key in self._entries:
                raise ValueError(f"{self._kind} {key!r} is registered already")
            self._entries[key] = value
            return value

        return add

    def find(self, key: Key) -> Value:
        """Returns the implementation that is registered under `key`.

        Raises:
            LookupError: nothing is registered under `key`.
        """
        try:
            return self._entries[key]
        except KeyError:
            raise LookupError(
                f"no {self._kind} is registered for {key!r}"
            ) from None

    def __contains__(self, key: Key) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[Key]:
        return iter(self._entries)
