"""Times at which requests may be sent to a server with a limit."""

# Permits that may be issued at once after a time without demand. With one, a
# server would stay unused after each gap in the demand.
BURST_COUNT = 2.0


class PermitSchedule:
    """Issues permits at a rate, as a leaky bucket that counts permits.

    A permit may be reserved for a later time. A new schedule starts with a
    full bucket, because another daemon may have issued permits just before.

    Examples:
        >>> schedule = PermitSchedule(2.0, now=0.0)
        >>> schedule.wait_seconds(0.0)
        0.5
        >>> schedule.reserve(1.0)
        >>> schedule.wait_seconds(1.0)
        0.0
        >>> schedule.reserve(1.0)
        >>> schedule.wait_seconds(1.0)
        0.5
    """

    def __init__(self, permits_per_second: float, now: float):
        self._permits_per_second = permits_per_second
        self._level = BURST_COUNT
        self._updated_at = now

    @property
    def permits_per_second(self) -> float:
        """The rate at which permits are issued."""
        return self._permits_per_second

    def set_rate(self, permits_per_second: float, now: float) -> None:
        """Changes the rate; permits that were issued still count."""
        self._drain(now)
        self._permits_per_second = permits_per_second

    def wait_seconds(self, now: float) -> float:
        """Returns the seconds until the next permit; infinity at rate 0."""
        self._drain(now)
        excess = self._level - (BURST_COUNT - 1.0)
        if excess <= 0.0:
            return 0.0
        if self._permits_per_second <= 0.0:
            return float("inf")
        return excess / self._permits_per_second

    def reserve(self, now: float) -> None:
        """Reserves the next permit."""
        self._drain(now)
        self._level += 1.0

    def _drain(self, now: float) -> None:
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = max(
            0.0, self._level - elapsed_seconds * self._permits_per_second
        )
