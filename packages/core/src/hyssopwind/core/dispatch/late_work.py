"""Decides when late requests of one service may be sent.

The answer of a late request cannot be in target any more. It is worth a tenth
of one in target, so it is sent only while no request waits that can still be in
target, and is refused once its deadline would pass before that.
"""

from hyssopwind.core.dispatch import head_times
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import server_selection

# Late requests of all classes are sent alike.
_LATE_CLASS = priorities.Priority(0)


class LateWork:
    """The late requests of one service that wait.

    Examples:
        >>> late_work = LateWork()
        >>> late_work.add(now=0.0)
        >>> late_work.expected_wait_seconds(now=2.0)
        2.0
        >>> late_work.remove(is_sent=True, now=2.0)
        >>> round(late_work.expected_wait_seconds(now=2.0), 1)
        0.6
    """

    def __init__(self) -> None:
        self._waiting_count = 0
        # Time of the latest request that was sent while others waited, or
        # since which one waits.
        self._sent_at = 0.0
        self._intervals = head_times.HeadTimes()

    def add(self, now: float) -> None:
        """Adds a request that waits, as it is late now."""
        if self._waiting_count == 0:
            self._sent_at = now
        self._waiting_count += 1

    def remove(self, now: float, *, is_sent: bool) -> None:
        """Removes a request that was sent, or else refused or cancelled."""
        self._waiting_count -= 1
        if is_sent:
            self._intervals.record(now - self._sent_at, now)
            self._sent_at = now

    def expected_wait_seconds(self, now: float) -> float:
        """Returns after how long a late request that waits will be sent.

        Requests are sent in any order, each after the mean interval. An
        interval that has lasted for some time is expected to last as long
        again.
        """
        if self._waiting_count == 0:
            return self._intervals.expected_wait_seconds(0, now)
        return max(
            now - self._sent_at,
            self._intervals.total_seconds(self._waiting_count, now),
        )

    def can_be_sent(
        self, timing: server_selection.RequestTiming, now: float
    ) -> bool:
        """Returns whether a late request will be sent before its deadline.

        Args:
            timing: the times of the request.
            now: monotonic time in seconds.
        """
        spare_seconds = timing.remaining_seconds - timing.work_seconds
        return self.expected_wait_seconds(now) <= spare_seconds
