"""Takes a failing server out of use for a while."""

FAILURES_TO_EJECT = 2
FIRST_EJECTION = 0.25  # seconds
LONGEST_EJECTION = 5.0  # seconds
# Seconds after a refused connection. Nothing listens there, and to try again
# costs a round trip, so that the restarted server is found at once.
REFUSED_EJECTION = 0.25


class Ejection:
    """Counts failures in a row; each ejection lasts twice the one before.

    Examples:
        >>> ejection = Ejection()
        >>> ejection.note_failed(2, now=0.0)
        True
        >>> ejection.is_ejected(0.2), ejection.is_ejected(0.3)
        (True, False)
    """

    def __init__(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._until = float("-inf")

    def note_failed(self, count: int, now: float) -> bool:
        """Counts failures and returns whether the server is ejected now."""
        self._failures += count
        if self._failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        duration = FIRST_EJECTION * 2**self._ejections
        self._until = now + min(duration, LONGEST_EJECTION)
        self._ejections = min(self._ejections + 1, 10)
        self._failures = FAILURES_TO_EJECT - 1
        return True

    def note_refused(self, now: float) -> None:
        """Takes a server out of use that refused a connection.

        Examples:
            >>> ejection = Ejection()
            >>> ejection.note_refused(now=0.0)
            >>> ejection.is_ejected(0.2), ejection.is_ejected(0.3)
            (True, False)
        """
        self._until = max(self._until, now + REFUSED_EJECTION)

    def note_completed(self) -> None:
        """Forgets the failures."""
        self._failures = 0
        self._ejections = 0

    def is_ejected(self, now: float) -> bool:
        """Whether the server is out of use."""
        return now < self._until
