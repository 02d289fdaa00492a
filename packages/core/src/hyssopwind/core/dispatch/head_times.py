"""Estimates how long a request would wait in the line of a service."""

import math
from collections.abc import Mapping

from hyssopwind.core.dispatch import priorities

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
        return self.total_seconds(waiting_count + 1, now)

    def total_seconds(self, count: int, now: float) -> float:
        """Returns for how long a number of requests would be the first ones.

        Args:
            count: number of requests.
            now: monotonic time in seconds.
        """
        return count * self._decayed_seconds(now)

    def is_wait_likely_shorter(
        self,
        max_wait_seconds: float,
        waiting_count: int,
        now: float,
        other_seconds: float = 0.0,
    ) -> bool:
        """Returns whether one more request would find a server in time.

        Args:
            max_wait_seconds: longest wait that is of use to the request.
            waiting_count: number of requests in the line before it.
            now: monotonic time in seconds.
            other_seconds: expected seconds for which requests with other head
                times are the first ones before it.
        """
        expected_seconds = (
            self.expected_wait_seconds(waiting_count, now) + other_seconds
        )
        return expected_seconds <= ACCEPTED_RATIO * max_wait_seconds

    def _decayed_seconds(self, now: float) -> float:
        half_lives = (now - self._updated_at) / HALF_LIFE_SECONDS
        return self._mean_seconds * math.pow(0.5, max(0.0, half_lives))


class ClassHeadTimes:
    """Head times of each class of a line.

    Less urgent requests find servers later, so that a common mean would refuse
    urgent ones on arrival.

    Examples:
        >>> times = ClassHeadTimes()
        >>> urgent, other = priorities.Priority(0), priorities.Priority(2)
        >>> times.record(urgent, 0.01, now=0.0)
        >>> times.record(other, 1.0, now=0.0)
        >>> times.is_wait_likely_shorter(0.1, urgent, {urgent: 2}, now=0.0)
        True
        >>> times.is_wait_likely_shorter(0.1, urgent, {other: 1}, now=0.0)
        False
    """

    def __init__(self) -> None:
        self._times: dict[priorities.Priority, HeadTimes] = {}

    def record(
        self, priority: priorities.Priority, seconds: float, now: float
    ) -> None:
        """Records for how long a request of a class was the first one."""
        self._find_or_add(priority).record(seconds, now)

    def is_wait_likely_shorter(
        self,
        max_wait_seconds: float,
        priority: priorities.Priority,
        counts_before: Mapping[priorities.Priority, int],
        now: float,
    ) -> bool:
        """Returns whether one more request would find a server in time.

        Args:
            max_wait_seconds: longest wait that is of use to the request.
            priority: its class.
            counts_before: numbers of requests in the line before it by class.
            now: monotonic time in seconds.
        """
        other_seconds = 0.0
        for other, count in counts_before.items():
            if other == priority:
                continue
            other_seconds += self._find_or_add(other).total_seconds(count, now)
        return self._find_or_add(priority).is_wait_likely_shorter(
            max_wait_seconds,
            counts_before.get(priority, 0),
            now,
            other_seconds,
        )

    def _find_or_add(self, priority: priorities.Priority) -> HeadTimes:
        return self._times.setdefault(priority, HeadTimes())
