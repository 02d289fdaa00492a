"""Refuses requests that crash the servers that run them.

A crash counts against a request only if the attempt was sent after the last
crash that was counted. Copies that were running when a server or a rack failed
are thus counted once together, while a request that causes crashes and is sent
again crashes the next server and is counted twice. A request that servers have
survived recently is probably frequent rather than harmful, and is quarantined
only after more crashes.
"""

import collections
import dataclasses

from hyssopwind.core import ids

CRASHES_TO_QUARANTINE = 2
# For a request that servers have survived recently.
CRASHES_OF_SURVIVED = 4
MEMORY = 60.0
MAX_FINGERPRINTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Consecutive crashes of one request.

    Attributes:
        crashes: number of crashes that were counted.
        last: monotonic time of the last crash in seconds.
    """

    crashes: int
    last: float


class CrashQuarantine:
    """Counts the crashes of each request, over all daemons.

    Examples:
        >>> quarantine = CrashQuarantine()
        >>> fingerprint = ids.Fingerprint("f")
        >>> quarantine.note_crash(fingerprint, sent=0.0, now=1.0)
        True
        >>> quarantine.note_crash(fingerprint, sent=0.5, now=1.0)
        False
        >>> quarantine.is_quarantined(fingerprint, now=1.0)
        False
        >>> quarantine.take_notice(fingerprint, crashes=1, now=2.0)
        >>> quarantine.is_quarantined(fingerprint, now=2.0)
        True
    """

    def __init__(self) -> None:
        self._crash_records: collections.OrderedDict[
            ids.Fingerprint, Suspicion
        ] = collections.OrderedDict()
        self._survived_at: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no crash is recorded."""
        return not self._crash_records

    def note_crash(
        self, fingerprint: ids.Fingerprint, sent: float, now: float
    ) -> bool:
        """Records a crash seen by this daemon; returns whether it counts.

        Args:
            fingerprint: fingerprint of the request.
            sent: monotonic time at which the attempt was sent, in seconds.
            now: monotonic time at which the connection broke, in seconds.
        """
        record = self._find_recent(fingerprint, now)
        if record is not None and sent < record.last:
            return False
        self._add_crashes(fingerprint, 1, now)
        return True

    def take_notice(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        """Handles a notice of another daemon.

        Args:
            fingerprint: fingerprint of the request.
            crashes: number of crashes; 0 if a server survived the request.
            now: monotonic time in seconds.
        """
        if crashes == 0:
            self._crash_records.pop(fingerprint, None)
            return
        self._add_crashes(fingerprint, crashes, now)

    def note_completed(
        self, fingerprint: ids.Fingerprint, sent: float, now: float
    ) -> bool:
        """Clears a request that a server survived after the last crash.

        Args:
            fingerprint: fingerprint of the request.
            sent: monotonic time at which the attempt was sent, in seconds.
            now: monotonic time in seconds.

        Returns:
            Whether crashes were recorded, so that other daemons need a notice.
        """
        self._survived_at.pop(fingerprint, None)
        self._survived_at[fingerprint] = now
        if len(self._survived_at) > MAX_FINGERPRINTS:
            self._survived_at.popitem(last=False)
        record = self._crash_records.get(fingerprint)
        if record is None or sent < record.last:
            return False
        del self._crash_records[fingerprint]
        return True

    def is_quarantined(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Returns whether a request is refused."""
        record = self._find_recent(fingerprint, now)
        if record is None:
            return False
        survived_at = self._survived_at.get(fingerprint)
        if survived_at is not None and now - survived_at < MEMORY:
            return record.crashes >= CRASHES_OF_SURVIVED
        return record.crashes >= CRASHES_TO_QUARANTINE

    def remaining(self, fingerprint: ids.Fingerprint, now: float) -> float:
        """Returns the seconds until a request is no longer refused."""
        record = self._find_recent(fingerprint, now)
        if record is None:
            return 0.0
        return record.last + MEMORY - now

    def _find_recent(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> Suspicion | None:
        record = self._crash_records.get(fingerprint)
        if record is None or now - record.last >= MEMORY:
            return None
        return record

    def _add_crashes(
        self, fingerprint: ids.Fingerprint, crashes: int, now: float
    ) -> None:
        record = self._find_recent(fingerprint, now)
        earlier_count = record.crashes if record is not None else 0
        self._crash_records.pop(fingerprint, None)
        self._crash_records[fingerprint] = Suspicion(
            earlier_count + crashes, now
        )
        while len(self._crash_records) > MAX_FINGERPRINTS:
            self._crash_records.popitem(last=False)
