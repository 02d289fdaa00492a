"""Refuses requests that crash the servers that run them.

A crash counts against a request only if the attempt left after the crash that
was counted before. Copies that were running when a server or a rack failed
are thus counted once together, while a poisonous request that is sent again
crashes the next server and is counted twice. A request that servers survived
lately is popular rather than poisonous, and more crashes are asked for.
"""

import collections
import dataclasses

from hyssopwind.core import ids

CRASHES_TO_QUARANTINE = 2
CRASHES_OF_SURVIVED = 4  # for a request that servers survived lately
MEMORY = 60.0  # seconds
MAX_FINGERPRINTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Crashes in a row of one request.

    Attributes:
        crashes: how many were counted.
        last: monotonic time of the last one, in seconds.
    """

    crashes: int
    last: float


class CrashQuarantine:
    """Counts the crashes of each request, over all daemons.

    Examples:
        >>> quarantine = CrashQuarantine()
        >>> poison = ids.Fingerprint("f")
        >>> quarantine.note_crash(poison, sent=0.0, now=1.0)
        True
        >>> quarantine.note_crash(poison, sent=0.5, now=1.0)
        False
        >>> quarantine.is_quarantined(poison, now=1.0)
        False
        >>> quarantine.take_notice(poison, crashes=1, now=2.0)
        >>> quarantine.is_quarantined(poison, now=2.0)
        True
    """

    def __init__(self) -> None:
        self._suspicions: collections.OrderedDict[
            ids.Fingerprint, Suspicion
        ] = collections.OrderedDict()
        self._survived: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no crash is remembered."""
        return not self._suspicions

    def note_crash(
        self, fingerprint: ids.Fingerprint, sent: float, now: float
    ) -> bool:
        """Takes a crash seen here; returns whether it counts.

        Args:
            fingerprint: the request.
            sent: when the attempt left.
            now: when it broke.
        """
        known = self._find(fingerprint, now)
        if known is not None and sent < known.last:
            return False
        self._add(fingerprint, 1, now)
        return True

    def take_notice(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        """Takes what another daemon saw; no crashes mean a survived run."""
        if crashes == 0:
            self._suspicions.pop(fingerprint, None)
            return
        self._add(fingerprint, crashes, now)

    def note_completed(
        self, fingerprint: ids.Fingerprint, sent: float, now: float
    ) -> bool:
        """Clears a request that a server survived after the last crash.

        Returns:
            Whether it was suspected, so that the other daemons are told.
        """
        self._survived.pop(fingerprint, None)
        self._survived[fingerprint] = now
        if len(self._survived) > MAX_FINGERPRINTS:
            self._survived.popitem(last=False)
        known = self._suspicions.get(fingerprint)
        if known is None or sent < known.last:
            return False
        del self._suspicions[fingerprint]
        return True

    def is_quarantined(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Whether a request is refused."""
        known = self._find(fingerprint, now)
        if known is None:
            return False
        survived = self._survived.get(fingerprint)
        if survived is not None and now - survived < MEMORY:
            return known.crashes >= CRASHES_OF_SURVIVED
        return known.crashes >= CRASHES_TO_QUARANTINE

    def remaining(self, fingerprint: ids.Fingerprint, now: float) -> float:
        """Returns the seconds until a request is no longer refused."""
        known = self._find(fingerprint, now)
        if known is None:
            return 0.0
        return known.last + MEMORY - now

    def _find(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> Suspicion | None:
        known = self._suspicions.get(fingerprint)
        if known is None or now - known.last >= MEMORY:
            return None
        return known

    def _add(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        known = self._find(fingerprint, now)
        before = known.crashes if known is not None else 0
        self._suspicions.pop(fingerprint, None)
        self._suspicions[fingerprint] = Suspicion(before + crashes, now)
        while len(self._suspicions) > MAX_FINGERPRINTS:
            self._suspicions.popitem(last=False)
