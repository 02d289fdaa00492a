"""The limit on the requests to one server."""

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
