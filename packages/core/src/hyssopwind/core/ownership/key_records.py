"""Records of the idempotency keys whose requests one process ran or runs.

A full store refuses new keys; it never evicts a record that is not expired.
"""

import dataclasses
import enum
import math
from collections.abc import Callable
from collections.abc import Iterator
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.ownership import codec
from hyssopwind.core.settings import documents

STORE_FULL_RETRY_AFTER_SECONDS = 5.0


class RecordState(enum.Enum):
    """Progress of the request that used a key."""

    CLAIMED = "claimed"
    SENT = "sent"
    COMPLETED = "settled"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """Record of one key.

    Attributes:
        fingerprint: hash of the request that used the key first.
        state: progress of the request.
        outcome: outcome of the request, or `None` until it is completed.
        last_used_at: monotonic time of the last use, in seconds.
        keep_until: monotonic time before which the record is not pruned.
        is_run_by_previous_owner: whether the previous owner of the key runs the
            request.
    """

    fingerprint: ids.Fingerprint
    state: RecordState
    outcome: outcomes.Outcome | None
    last_used_at: float
    keep_until: float
    is_run_by_previous_owner: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The request may run now in this process."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The same request is running already."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The same request is completed; this is its outcome."""

    outcome: outcomes.Outcome


ClaimDecision: TypeAlias = (
    Run | Wait | Replay | outcomes.NotRun | outcomes.Unknown
)


class KeyRecordStore:
    """Holds a record for each key whose request may have run.

    Examples:
        >>> settings = documents.KeySettings(signing_keys=["0" * 16])
        >>> store = KeyRecordStore(settings, invariants.InvariantMonitor())
        >>> store.claim("k", ids.Fingerprint("f"), 0.0)
        Run(key='k')
        >>> store.claim("k", ids.Fingerprint("f"), 1.0)
        Wait(key='k')
    """

    def __init__(
        self,
        settings: documents.KeySettings,
        monitor: invariants.InvariantMonitor,
    ):
        self._settings = settings
        self._monitor = monitor
        self._records: dict[str, KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> KeyRecord | None:
        """Returns the record of a key, or `None`."""
        return self._records.get(key)

    def claim(
        self,
        key: str,
        fingerprint: ids.Fingerprint,
        now: float,
        keep_until: float = 0.0,
    ) -> ClaimDecision:
        """Decides whether a request with this key runs, waits or is answered.

        The caller of this method has made sure that no request ran with a key
        that has no record.

        Args:
            key: the key.
            fingerprint: hash of the request.
            now: monotonic time in seconds.
            keep_until: monotonic time before which the record is not pruned.
        """
        record = self._records.get(key)
        if record is None:
            return self._claim_new(key, fingerprint, now, keep_until)
        if record.fingerprint != fingerprint:
            return outcomes.NotRun(
                outcomes.Reason.KEY_REUSED,
                "the key was used with another request",
            )
        self._records[key] = dataclasses.replace(record, last_used_at=now)
        if record.outcome is None:
            return Wait(key)
        return Replay(record.outcome)

    def mark_sent(self, key: str) -> bool:
        """Records that the request is sent to a server.

        Returns:
            Whether it may be sent: the key is claimed and not sent yet.
        """
        record = self._records.get(key)
        is_unsent = record is not None and record.state is RecordState.CLAIMED
        allowed = self._monitor.check(
            invariants.Invariant.RUN_ONCE, is_unsent, f"key {key}"
        )
        if not allowed or record is None:
            return False
        self._records[key] = dataclasses.replace(record, state=RecordState.SENT)
        return True

    def mark_unsent(self, key: str) -> None:
        """Records that the server has certainly not run the request."""
        record = self._records.get(key)
        if record is None or record.state is not RecordState.SENT:
            return
        self._records[key] = dataclasses.replace(
            record, state=RecordState.CLAIMED
        )

    def complete(self, key: str, outcome: outcomes.Outcome, now: float) -> None:
        """Stores an outcome; removes the record if the request did not run."""
        record = self._records.get(key)
        if record is None or record.state is RecordState.COMPLETED:
            return
        if isinstance(outcome, outcomes.NotRun):
            del self._records[key]
            return
        self._records[key] = dataclasses.replace(
            record,
            state=RecordState.COMPLETED,
            outcome=self._storable_outcome(outcome),
            last_used_at=now,
            is_run_by_previous_owner=False,
        )

    def prune(self, now: float) -> int:
        """Removes records past their retention and returns their number."""
        expired = [
            key
            for key, record in self._records.items()
            if self._may_prune(record, now)
        ]
        for key in expired:
            del self._records[key]
        return len(expired)

    def export_records(
        self, should_export: Callable[[str], bool], now: float
    ) -> list[messages.TransferredRecord]:
        """Returns the records for another owner.

        Args:
            should_export: returns whether the record of a key is exported.
            now: monotonic time in seconds.
        """
        exported = []
        for key, record in self._records.items():
            if not should_export(key):
                continue
            encoded_outcome = b""
            if record.outcome is not None:
                encoded_outcome = codec.encode_outcome(record.outcome)
            exported.append(
                messages.TransferredRecord(
                    key,
                    record.fingerprint,
                    encoded_outcome,
                    now - record.last_used_at,
                )
            )
        return exported

    def import_records(
        self, records: list[messages.TransferredRecord], now: float
    ) -> None:
        """Adds the records of the previous owner, even beyond the limit.

        A record that this store already holds is kept unchanged.
        """
        for transferred in records:
            outcome = None
            if transferred.encoded_outcome:
                outcome = codec.decode_transferred(transferred.encoded_outcome)
            idle_seconds = transferred.idle_seconds
            if not (math.isfinite(idle_seconds) and idle_seconds >= 0.0):
                idle_seconds = 0.0
            state = RecordState.COMPLETED if outcome else RecordState.SENT
            self._records.setdefault(
                transferred.key,
                KeyRecord(
                    transferred.fingerprint,
                    state,
                    outcome,
                    now - idle_seconds,
                    0.0,
                    is_run_by_previous_owner=outcome is None,
                ),
            )

    def abandoned_keys(self, now: float, timeout: float) -> Iterator[str]:
        """Yields keys whose previous owner has not reported the outcome.

        Args:
            now: monotonic time in seconds.
            timeout: seconds since the last use after which a key is abandoned.
        """
        for key, record in self._records.items():
            if (
                record.is_run_by_previous_owner
                and now - record.last_used_at > timeout
            ):
                yield key

    def _claim_new(
        self,
        key: str,
        fingerprint: ids.Fingerprint,
        now: float,
        keep_until: float,
    ) -> ClaimDecision:
        if len(self._records) >= self._settings.max_records:
            self.prune(now)
        if len(self._records) >= self._settings.max_records:
            return outcomes.NotRun(
                outcomes.Reason.KEY_MEMORY_FULL,
                f"all {self._settings.max_records} records are in use",
                STORE_FULL_RETRY_AFTER_SECONDS,
            )
        self._records[key] = KeyRecord(
            fingerprint, RecordState.CLAIMED, None, now, keep_until
        )
        return Run(key)

    def _may_prune(self, record: KeyRecord, now: float) -> bool:
        if record.state is not RecordState.COMPLETED:
            return False
        if now < record.keep_until:
            return False
        return now - record.last_used_at > self._settings.retention

    def _storable_outcome(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        if len(outcome.body) <= self._settings.max_stored_answer:
            return outcome
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_NOT_KEPT,
            f"the request ran once; its answer of {len(outcome.body)} bytes "
            "was too large to keep",
        )
