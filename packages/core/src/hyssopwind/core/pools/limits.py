"""Adaptive limit on the concurrent requests at one server."""

# The extra request keeps a slot busy during the round trip of a grant.
REQUESTS_BEYOND_SLOTS = 1
SHED_DECREASE_RATIO = 0.6
HOLD_AFTER_SHED_SECONDS = 0.3
MIN_LIMIT = 1.0


class AdaptiveLimit:
    """Limit with additive increase and multiplicative decrease.

    It falls when the server sheds a request, and rises as requests complete.

    References:
        D.-M. Chiu and R. Jain, "Analysis of the increase and decrease
        algorithms for congestion avoidance in computer networks", 1989.

    Examples:
        >>> limit = AdaptiveLimit(slots=4)
        >>> limit.value
        5
        >>> limit.record_shed(now=0.0)
        >>> limit.value
        3
    """

    def __init__(self, slots: int):
        self._maximum = float(slots + REQUESTS_BEYOND_SLOTS)
        self._value = self._maximum
        self._hold_until = float("-inf")

    @property
    def value(self) -> int:
        """The current limit, at least one."""
        return int(self._value)

    @property
    def is_at_maximum(self) -> bool:
        """Whether the limit is at its maximum."""
        return self._value >= self._maximum

    def set_slots(self, slots: int) -> None:
        """Resets the limit to its maximum if the number of slots changed."""
        maximum = float(slots + REQUESTS_BEYOND_SLOTS)
        if maximum == self._maximum:
            return
        self._maximum = maximum
        self._value = maximum

    def record_shed(self, now: float) -> None:
        """Lowers the limit and holds it; has no effect during the hold time."""
        if now < self._hold_until:
            return
        self._value = max(MIN_LIMIT, self._value * SHED_DECREASE_RATIO)
        self._hold_until = now + HOLD_AFTER_SHED_SECONDS

    def record_completed(self, count: int, now: float) -> None:
        """Raises the limit for completed requests, but not in the hold time."""
        if now < self._hold_until:
            return
        self._value = min(
            self._maximum, self._value + count / (2 * self._value)
        )
