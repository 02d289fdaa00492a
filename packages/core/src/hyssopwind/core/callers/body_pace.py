"""Whether the body of a request arrives fast enough to be of use."""

import math

# A body must arrive at this ratio of the rate that brings it whole by the
# deadline of its caller, once the time for a head has passed.
MIN_PACE_RATIO = 0.25
# Shortest delay between two checks.
MIN_CHECK_SECONDS = 0.05


def stated_seconds(text: str) -> float | None:
    """Returns the time in seconds that a caller states in milliseconds.

    Examples:
        >>> stated_seconds("1500")
        1.5
        >>> stated_seconds("nan") is None, stated_seconds("") is None
        (True, True)
    """
    try:
        seconds = float(text) / 1000
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds <= 0.0:
        return None
    return seconds


class BodyPace:
    """Progress of one body.

    A body is too slow if no byte arrives for the stall time, if it is not
    whole by the deadline, or if its rate is far below the one needed for it.

    Args:
        now: monotonic time at which its head was complete.
        declared_bytes: its length; `None` if the caller does not state it.
        deadline_seconds: time that its caller states; `None` without one.
        stall_seconds: longest time without a byte.
        grace_seconds: time that every body has, whatever its caller states.

    Examples:
        >>> pace = BodyPace(
        ...     now=0.0, declared_bytes=1_000, deadline_seconds=8.0,
        ...     stall_seconds=10.0, grace_seconds=2.0)
        >>> pace.record(100, now=1.0)
        >>> pace.is_too_slow(now=2.0), pace.is_too_slow(now=4.0)
        (False, True)
        >>> pace.record(900, now=4.0)
        >>> pace.is_too_slow(now=7.9), pace.is_too_slow(now=8.0)
        (False, True)
    """

    def __init__(
        self,
        *,
        now: float,
        declared_bytes: int | None,
        deadline_seconds: float | None,
        stall_seconds: float,
        grace_seconds: float,
    ):
        self._started_at = now
        self._progress_at = now
        self._received_bytes = 0
        self._declared_bytes = declared_bytes
        self._deadline_seconds = math.inf
        if deadline_seconds is not None:
            self._deadline_seconds = max(deadline_seconds, grace_seconds)
        self._stall_seconds = stall_seconds
        self._grace_seconds = grace_seconds
        self._suspended_at: float | None = None

    def record(self, received_bytes: int, now: float) -> None:
        """Records how much of the body has arrived."""
        self._received_bytes = received_bytes
        self._progress_at = now

    def suspend(self, now: float) -> None:
        """Stops the clock while the daemon itself does not read."""
        if self._suspended_at is None:
            self._suspended_at = now

    def resume(self, now: float) -> None:
        """Starts the clock again."""
        if self._suspended_at is None:
            return
        pause_seconds = now - self._suspended_at
        self._suspended_at = None
        self._started_at += pause_seconds
        self._progress_at += pause_seconds

    def is_too_slow(self, now: float) -> bool:
        """Returns whether the request should be refused."""
        if self._suspended_at is not None:
            return False
        if now - self._progress_at >= self._stall_seconds:
            return True
        elapsed = now - self._started_at
        if elapsed >= self._deadline_seconds:
            return True
        if elapsed < self._grace_seconds or self._declared_bytes is None:
            return False
        needed = self._declared_bytes * elapsed / self._deadline_seconds
        return self._received_bytes < MIN_PACE_RATIO * needed

    def next_check_seconds(self, now: float) -> float:
        """Returns the time until the next check."""
        times = [
            self._progress_at + self._stall_seconds,
            self._started_at + self._deadline_seconds,
        ]
        grace_end = self._started_at + self._grace_seconds
        if now < grace_end:
            times.append(grace_end)
        elif math.isfinite(self._deadline_seconds):
            times.append(now + self._grace_seconds)
        return max(MIN_CHECK_SECONDS, min(times) - now)
