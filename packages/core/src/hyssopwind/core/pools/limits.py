"""Limit of the requests that one server has at a time."""

LIMIT_BEYOND_SLOTS = 1  # keeps a slot busy during the round trip of a grant
SHED_FACTOR = 0.6
HOLD_AFTER_SHED = 0.3  # seconds
LOWEST_LIMIT = 1.0


class AdaptiveLimit:
    """Falls when the server sheds and rises again with completed requests.

    References:
        D.-M. Chiu and R. Jain, "Analysis of the increase and decrease
        algorithms for congestion avoidance in computer networks", 1989.

    Examples:
        >>> limit = AdaptiveLimit(slots=4)
        >>> limit.value
        5
        >>> limit.note_shed(now=0.0)
        >>> limit.value
        3
    """

    def __init__(self, slots: int):
        self._most = float(slots + LIMIT_BEYOND_SLOTS)
        self._value = self._most
        self._hold_until = float("-inf")

    @property
    def value(self) -> int:
        """The present limit, at least one."""
        return int(self._value)

    @property
    def is_full(self) -> bool:
        """Whether the limit is at its highest."""
        return self._value >= self._most

    def set_slots(self, slots: int) -> None:
        """Takes a changed declaration."""
        most = float(slots + LIMIT_BEYOND_SLOTS)
        if most == self._most:
            return
        self._most = most
        self._value = most

    def note_shed(self, now: float) -> None:
        """Lowers the limit, once in a hold time."""
        if now < self._hold_until:
            return
        self._value = max(LOWEST_LIMIT, self._value * SHED_FACTOR)
        self._hold_until = now + HOLD_AFTER_SHED

    def note_completed(self, count: int, now: float) -> None:
        """Raises the limit by completed requests."""
        if now < self._hold_until:
            return
        self._value = min(self._most, self._value + count / (2 * self._value))
