"""When a connection whose output has ended may be dropped."""

# Time for a caller to close its side after its end has received everything.
# Bytes of the caller that arrive at a dropped connection cause a reset, which
# discards an answer that the caller has not read.
LINGER_SECONDS = 1.0


class Linger:
    """Decides how long a connection is kept after its last answer.

    Args:
        outstanding_bytes: bytes that the caller's end has not acknowledged.
        now: monotonic time.

    Examples:
        >>> linger = Linger(outstanding_bytes=10, now=0.0)
        >>> linger.may_drop(outstanding_bytes=10, stall_seconds=5.0, now=4.0)
        False
        >>> linger.may_drop(outstanding_bytes=0, stall_seconds=5.0, now=4.5)
        False
        >>> linger.may_drop(outstanding_bytes=0, stall_seconds=5.0, now=5.5)
        True
    """

    def __init__(self, *, outstanding_bytes: int, now: float):
        self._outstanding_bytes = outstanding_bytes
        self._progress_at = now

    def may_drop(
        self, *, outstanding_bytes: int, stall_seconds: float, now: float
    ) -> bool:
        """Returns whether the connection may be dropped.

        Args:
            outstanding_bytes: bytes that the caller's end has not acknowledged.
            stall_seconds: seconds without progress after which a caller that
                does not read is given up.
            now: monotonic time.
        """
        if outstanding_bytes != self._outstanding_bytes:
            self._outstanding_bytes = outstanding_bytes
            self._progress_at = now
        limit = LINGER_SECONDS
        if outstanding_bytes:
            limit = max(limit, stall_seconds)
        return now - self._progress_at >= limit
