"""Times at which requests may be sent to a server with a limit."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A limit on the requests to a server.

    Attributes:
        requests_per_second: the limit.
        burst_count: permits that may be issued at once after a time without
            demand, at least one.
    """

    requests_per_second: float
    burst_count: float

    def lower(self, other: "RateLimit") -> "RateLimit":
        """Returns the limit that both together impose.

        Examples:
            >>> RateLimit(3.0, 2.0).lower(RateLimit(5.0, 1.0))
            RateLimit(requests_per_second=3.0, burst_count=1.0)
        """
        return RateLimit(
            min(self.requests_per_second, other.requests_per_second),
            min(self.burst_count, other.burst_count),
        )


class PermitSchedule:
    """Issues permits at a rate, as a leaky bucket that counts permits.

    A permit may be reserved for a later time. A new schedule starts with a
    full bucket, because another daemon may have issued permits just before.

    Examples:
        >>> schedule = PermitSchedule(RateLimit(2.0, 2.0), now=0.0)
        >>> schedule.wait_seconds(0.0)
        0.5
        >>> schedule.reserve(1.0)
        >>> schedule.wait_seconds(1.0)
        0.0
        >>> schedule.reserve(1.0)
        >>> schedule.wait_seconds(1.0)
        0.5
    """

    def __init__(self, limit: RateLimit, now: float):
        self._limit = limit
        self._level = limit.burst_count
        self._updated_at = now

    def set_limit(self, limit: RateLimit, now: float) -> None:
        """Changes the limit; permits that were issued still count."""
        self._drain(now)
        self._limit = limit

    def wait_seconds(self, now: float) -> float:
        """Returns the seconds until the next permit; infinity at rate 0."""
        self._drain(now)
        excess = self._level - (self._limit.burst_count - 1.0)
        if excess <= 0.0:
            return 0.0
        if self._limit.requests_per_second <= 0.0:
            return float("inf")
        return excess / self._limit.requests_per_second

    def reserve(self, now: float) -> None:
        """Reserves the next permit."""
        self._drain(now)
        self._level += 1.0

    def _drain(self, now: float) -> None:
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = max(
            0.0,
            self._level - elapsed_seconds * self._limit.requests_per_second,
        )
