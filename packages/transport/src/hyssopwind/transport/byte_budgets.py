"""Bounds the memory of all answers that are being received."""


class ByteBudget:
    """Bytes that may be held at a time.

    Examples:
        >>> budget = ByteBudget(10)
        >>> budget.try_acquire(8), budget.try_acquire(3)
        (True, False)
        >>> budget.release(8)
        >>> budget.try_acquire(3)
        True
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def try_acquire(self, count: int) -> bool:
        """Acquires bytes and returns whether they fit."""
        if self._held_bytes + count > self._max_bytes:
            return False
        self._held_bytes += count
        return True

    def release(self, count: int) -> None:
        """Returns bytes that are not held any more."""
        self._held_bytes -= count
