"""Estimates how long a request would wait in the line of a service."""

import math

# Weight of the newest sample in the moving average.
SAMPLE_WEIGHT = 0.3
# Time in which the estimate decays by half, as servers may be free again.
HALF_LIFE_SECONDS = 1.0
# Ratio of the longest useful wait up to which the expected wait is accepted, as
# single waits differ from their mean.
ACCEPTED_RATIO = 0.5


class HeadTimes:
    """Times for which requests were the first of a line.

    Examples:
        >>> times = HeadTimes()
        >>> times.expected_wait_seconds(waiting_count=3, now=0.0)
        0.0
        >>> times.record(0.1, now=0.0)
        >>> round(times.expected_wait_seconds(waiting_count=3, now=0.0), 3)
        0.12
        >>> round(times.expected_wait_seconds(waiting_count=3, now=1.0), 3)
        0.06
    """

    def __init__(self) -> None:
        self._mean_seconds = 0.0
        self._updated_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Records for how long a request was the first one.

        Args:
            seconds: seconds until it found a server or gave up.
            now: monotonic time in seconds.
        """
        current = self._decayed_seconds(now)
        self._mean_seconds = current + SAMPLE_WEIGHT * (seconds - current)
        self._updated_at = now

    def expected_wait_seconds(self, waiting_count: int, now: float) -> float:
        """Returns after how long one more request would find a server.

        Args:
            waiting_count: number of requests in the line before it.
            now: monotonic time in seconds.
        """
        return (waiting_count + 1) * self._decayed_seconds(now)

    def is_wait_likely_shorter(
        self, max_wait_seconds: float, waiting_count: int, now: float
    ) -> bool:
        """Returns whether one more request would find a server in time.

        Args:
            max_wait_seconds: longest wait that is of use to the request.
            waiting_count: number of requests in the line before it.
            now: monotonic time in seconds.
        """
        expected_seconds = self.expected_wait_seconds(waiting_count, now)
        return expected_seconds <= ACCEPTED_RATIO * max_wait_seconds

    def _decayed_seconds(self, now: float) -> float:
        half_lives = (now - self._updated_at) / HALF_LIFE_SECONDS
        return self._mean_seconds * math.pow(0.5, max(0.0, half_lives))
