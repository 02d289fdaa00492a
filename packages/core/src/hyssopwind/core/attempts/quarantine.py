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
CRASHES_TO_QUARANTINE_SURVIVED = 4
CRASH_RETENTION_SECONDS = 60.0
MAX_FINGERPRINTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashTimes:
    """Monotonic times of one crash in seconds.

    Attributes:
        sent_at: time at which the attempt was sent.
        crashed_at: time at which the connection broke.
    """

    sent_at: float
    crashed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Consecutive crashes of one request.

    Attributes:
        crash_count: number of crashes that were counted.
        last_crash_at: monotonic time of the last crash in seconds.
    """

    crash_count: int
    last_crash_at: float


class CrashQuarantine:
    """Counts the crashes of each request, over all daemons.

    Examples:
        >>> quarantine = CrashQuarantine()
        >>> fingerprint = ids.Fingerprint("f")
        >>> quarantine.record_crash(fingerprint, sent_at=0.0, now=1.0)
        True
        >>> quarantine.record_crash(fingerprint, sent_at=0.5, now=1.0)
        False
        >>> quarantine.is_quarantined(fingerprint, now=1.0)
        False
        >>> quarantine.handle_notice(fingerprint, crash_count=1, now=2.0)
        >>> quarantine.is_quarantined(fingerprint, now=2.0)
        True
    """

    def __init__(self) -> None:
        self._crash_records: collections.OrderedDict[
            ids.Fingerprint, CrashRecord
        ] = collections.OrderedDict()
        self._survived_at: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no crash is recorded."""
        return not self._crash_records

    def record_crash(
        self, fingerprint: ids.Fingerprint, sent_at: float, now: float
    ) -> bool:
        """Records a crash that this daemon observed; returns whether it counts.

        Args:
            fingerprint: fingerprint of the request.
            sent_at: monotonic time at which the attempt was sent, in seconds.
            now: monotonic time at which the connection broke, in seconds.
        """
        record = self._find_recent(fingerprint, now)
        if record is not None and sent_at < record.last_crash_at:
            return False
        self._add_crashes(fingerprint, 1, now)
        return True

    def handle_notice(
        self,
        fingerprint: ids.Fingerprint,
        crash_count: int,
        now: float,
        times: CrashTimes | None = None,
    ) -> None:
        """Handles a notice from another daemon.

        Args:
            fingerprint: fingerprint of the request.
            crash_count: number of crashes; 0 if a server survived the request.
            now: monotonic time in seconds.
            times: times of the crash, if the notice states them. It then counts
                like a crash that this daemon observed.
        """
        if crash_count == 0:
            self._crash_records.pop(fingerprint, None)
            return
        if times is not None:
            self.record_crash(fingerprint, times.sent_at, times.crashed_at)
            return
        self._add_crashes(fingerprint, crash_count, now)

    def record_completed(
        self, fingerprint: ids.Fingerprint, sent_at: float, now: float
    ) -> bool:
        """Clears a request that a server survived after the last crash.

        Args:
            fingerprint: fingerprint of the request.
            sent_at: monotonic time at which the attempt was sent, in seconds.
            now: monotonic time in seconds.

        Returns:
            Whether crashes were recorded, so that other daemons need a notice.
        """
        self._survived_at.pop(fingerprint, None)
        self._survived_at[fingerprint] = now
        if len(self._survived_at) > MAX_FINGERPRINTS:
            self._survived_at.popitem(last=False)
        record = self._crash_records.get(fingerprint)
        if record is None or sent_at < record.last_crash_at:
            return False
        del self._crash_records[fingerprint]
        return True

    def is_quarantined(self, fingerprint: ids.Fingerprint, now: float) -> bool:
        """Returns whether a request is refused."""
        record = self._find_recent(fingerprint, now)
        if record is None:
            return False
        survived_at = self._survived_at.get(fingerprint)
        if (
            survived_at is not None
            and now - survived_at < CRASH_RETENTION_SECONDS
        ):
            return record.crash_count >= CRASHES_TO_QUARANTINE_SURVIVED
        return record.crash_count >= CRASHES_TO_QUARANTINE

    def remaining_seconds(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> float:
        """Returns the seconds until a request is no longer refused."""
        record = self._find_recent(fingerprint, now)
        if record is None:
            return 0.0
        return record.last_crash_at + CRASH_RETENTION_SECONDS - now

    def _find_recent(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> CrashRecord | None:
        record = self._crash_records.get(fingerprint)
        if (
            record is None
            or now - record.last_crash_at >= CRASH_RETENTION_SECONDS
        ):
            return None
        return record

    def _add_crashes(
        self, fingerprint: ids.Fingerprint, crash_count: int, now: float
    ) -> None:
        record = self._find_recent(fingerprint, now)
        earlier_count = record.crash_count if record is not None else 0
        self._crash_records.pop(fingerprint, None)
        self._crash_records[fingerprint] = CrashRecord(
            earlier_count + crash_count, now
        )
        while len(self._crash_records) > MAX_FINGERPRINTS:
            self._crash_records.popitem(last=False)
