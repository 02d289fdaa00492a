"""Ranking of servers by the expected time of one more request."""

import math
from collections.abc import Iterable

MAX_SLOWNESS_LOG2 = 6


def expected_time(latency: float, in_flight: int, slots: int) -> float:
    """Returns the expected time of one more request at a server.

    Args:
        latency: time of one answer, in any unit.
        in_flight: requests at the server.
        slots: requests that the server processes at a time.

    Examples:
        >>> expected_time(10.0, in_flight=1, slots=4)
        10.0
        >>> expected_time(10.0, in_flight=4, slots=4)
        12.5
    """
    return latency * max(1.0, (in_flight + 1) / max(1, slots))


def slowness_log2(latency: float, lowest: float) -> int:
    """Returns the rounded binary logarithm of `latency / lowest`.

    It is between zero and `MAX_SLOWNESS_LOG2`; zero if a latency is unknown.

    Examples:
        >>> slowness_log2(30.0, 10.0)
        2
        >>> slowness_log2(0.0, 10.0)
        0
    """
    if latency <= 0.0 or lowest <= 0.0:
        return 0
    return min(MAX_SLOWNESS_LOG2, max(0, round(math.log2(latency / lowest))))


def lowest_latency(latencies: Iterable[float]) -> float:
    """Returns the lowest known latency, or zero if none is known."""
    return min((value for value in latencies if value > 0.0), default=0.0)
