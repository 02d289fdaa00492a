"""Refuses requests that crash the servers that run them."""

import collections

from hyssopwind.core import ids

CRASHES_TO_QUARANTINE = 2
MEMORY = 60.0  # seconds
MAX_FINGERPRINTS = 10_000


class CrashQuarantine:
    """Counts the crashes of each request, over all daemons.

    Examples:
        >>> quarantine = CrashQuarantine()
        >>> poison = ids.Fingerprint("f")
        >>> quarantine.note_crash(poison, now=0.0)
        1
        >>> quarantine.is_quarantined(poison, now=1.0)
        False
        >>> quarantine.take_notice(poison, crashes=1, now=1.0)
        >>> quarantine.is_quarantined(poison, now=1.0)
        True
    """

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[
            ids.Fingerprint, tuple[int, float]
        ] = collections.OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no crash is remembered."""
        return not self._crashes

    def note_crash(self, fingerprint: ids.Fingerprint, now: float) -> int:
        """Counts a crash seen here; returns what to tell the other daemons."""
        self._add(fingerprint, 1, now)
        return 1

    def take_notice(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        """Counts crashes that another daemon saw."""
        self._add(fingerprint, crashes, now)

    def note_completed(self, fingerprint: ids.Fingerprint) -> None:
        """Forgets a request that a server has survived."""
        self._crashes.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Whether a request is refused."""
        crashes, until = self._crashes.get(fingerprint, (0, 0.0))
        return crashes >= CRASHES_TO_QUARANTINE and now < until

    def remaining(self, fingerprint: ids.Fingerprint, now: float) -> float:
        """Returns the seconds until a request is no longer refused."""
        _, until = self._crashes.get(fingerprint, (0, now))
        return max(0.0, until - now)

    def _add(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        known, until = self._crashes.pop(fingerprint, (0, 0.0))
        if now >= until:
            known = 0
        self._crashes[fingerprint] = (known + crashes, now + MEMORY)
        while len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
