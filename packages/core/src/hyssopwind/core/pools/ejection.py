"""Temporary ejection of a failing server."""

FAILURES_TO_EJECT = 2
FIRST_EJECTION_SECONDS = 0.25
MAX_EJECTION_SECONDS = 5.0
# A refused connection means that nothing listens at the address. Another
# attempt costs only a round trip, so short ejections find a restarted server
# soon.
REFUSED_EJECTION_SECONDS = 0.25


class Ejection:
    """Ejects a server that fails repeatedly, each time for twice as long.

    A completed request resets the count of failures and the duration.

    Examples:
        >>> ejection = Ejection()
        >>> ejection.record_failures(2, now=0.0)
        True
        >>> ejection.is_ejected(0.2), ejection.is_ejected(0.3)
        (True, False)
    """

    def __init__(self) -> None:
        self._failure_count = 0
        self._ejection_count = 0
        self._ejected_until = float("-inf")

    def record_failures(self, count: int, now: float) -> bool:
        """Counts failures and returns whether they eject the server.

        After an ejection, a single further failure ejects the server again.
        """
        self._failure_count += count
        if self._failure_count < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        duration = FIRST_EJECTION_SECONDS * 2**self._ejection_count
        self._ejected_until = now + min(duration, MAX_EJECTION_SECONDS)
        # The bound keeps the power of two small; ten doublings already exceed
        # the longest ejection.
        self._ejection_count = min(self._ejection_count + 1, 10)
        self._failure_count = FAILURES_TO_EJECT - 1
        return True

    def record_refused_connection(self, now: float) -> None:
        """Ejects the server after it refused a connection.

        Examples:
            >>> ejection = Ejection()
            >>> ejection.record_refused_connection(now=0.0)
            >>> ejection.is_ejected(0.2), ejection.is_ejected(0.3)
            (True, False)
        """
        self._ejected_until = max(
            self._ejected_until, now + REFUSED_EJECTION_SECONDS
        )

    def record_completed(self) -> None:
        """Resets the failures and the duration of the next ejection."""
        self._failure_count = 0
        self._ejection_count = 0

    def is_ejected(self, now: float) -> bool:
        """Returns whether the server is ejected."""
        return now < self._ejected_until
