"""Memory of the keys that one process ran or runs.

A full memory refuses new keys; it never forgets one to make room.
"""

import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterator
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core.ownership import codec
from hyssopwind.core.settings import documents

FULL_RETRY_AFTER = 5.0  # seconds


class RecordState(enum.Enum):
    """How far the run of a key is."""

    CLAIMED = "claimed"
    SENT = "sent"
    SETTLED = "settled"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is remembered of one key.

    Attributes:
        fingerprint: hash of the request that used the key first.
        state: how far the run is.
        outcome: how it ended, once it has.
        used: monotonic time of the last use, in seconds.
        keep_until: monotonic time before which it is not forgotten.
        elsewhere: whether the predecessor of this owner runs it.
    """

    fingerprint: ids.Fingerprint
    state: RecordState
    outcome: outcomes.Outcome | None
    used: float
    keep_until: float
    elsewhere: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The request may run, now, in this process."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request runs already."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request ended before; this is its outcome."""

    outcome: outcomes.Outcome


Claim: TypeAlias = Run | Wait | Replay | outcomes.NotRun | outcomes.Unknown


class KeyLedger:
    """Keeps a record for each key that may have been run.

    Examples:
        >>> settings = documents.KeySettings(signing_keys=["0" * 16])
        >>> ledger = KeyLedger(settings, invariants.InvariantMonitor())
        >>> ledger.claim("k", ids.Fingerprint("f"), 0.0)
        Run(key='k')
        >>> ledger.claim("k", ids.Fingerprint("f"), 1.0)
        Wait(key='k')
    """

    def __init__(
        self,
        settings: documents.KeySettings,
        monitor: invariants.InvariantMonitor,
    ):
        self._settings = settings
        self._monitor = monitor
        self._records: dict[str, Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> Record | None:
        """Returns the record of a key, or `None`."""
        return self._records.get(key)

    def claim(
        self,
        key: str,
        fingerprint: ids.Fingerprint,
        now: float,
        keep_until: float = 0.0,
    ) -> Claim:
        """Decides what becomes of a request with this key.

        The caller of this method has made sure that a key without a record
        was never run.

        Args:
            key: the key.
            fingerprint: hash of the request.
            now: monotonic time in seconds.
            keep_until: time before which the record is needed.
        """
        record = self._records.get(key)
        if record is None:
            return self._claim_new(key, fingerprint, now, keep_until)
        if record.fingerprint != fingerprint:
            return outcomes.NotRun(
                outcomes.Reason.KEY_REUSED,
                "the key was used with another request",
            )
        self._records[key] = dataclasses.replace(record, used=now)
        if record.outcome is None:
            return Wait(key)
        return Replay(record.outcome)

    def mark_sent(self, key: str) -> bool:
        """Notes that the request leaves for a server, and allows it once."""
        record = self._records.get(key)
        first = record is not None and record.state is RecordState.CLAIMED
        allowed = self._monitor.holds(
            invariants.Invariant.RUN_ONCE, first, f"key {key}"
        )
        if not allowed or record is None:
            return False
        self._records[key] = dataclasses.replace(record, state=RecordState.SENT)
        return True

    def mark_unsent(self, key: str) -> None:
        """Notes that a server certainly did not run the request."""
        record = self._records.get(key)
        if record is None or record.state is not RecordState.SENT:
            return
        self._records[key] = dataclasses.replace(
            record, state=RecordState.CLAIMED
        )

    def settle(self, key: str, outcome: outcomes.Outcome, now: float) -> None:
        """Keeps how a request ended; one that was not run is forgotten."""
        record = self._records.get(key)
        if record is None or record.state is RecordState.SETTLED:
            return
        if isinstance(outcome, outcomes.NotRun):
            del self._records[key]
            return
        self._records[key] = dataclasses.replace(
            record,
            state=RecordState.SETTLED,
            outcome=self._storable(outcome),
            used=now,
            elsewhere=False,
        )

    def prune(self, now: float) -> int:
        """Forgets outcomes that were not asked for lately; returns how many."""
        expired = [
            key
            for key, record in self._records.items()
            if self._may_forget(record, now)
        ]
        for key in expired:
            del self._records[key]
        return len(expired)

    def export(
        self, wanted: Callable[[str], bool], now: float
    ) -> list[messages.TransferredRecord]:
        """Returns the records of the wanted keys, for another owner."""
        exported = []
        for key, record in self._records.items():
            if not wanted(key):
                continue
            answer = b""
            if record.outcome is not None:
                answer = codec.encode_outcome(record.outcome)
            exported.append(
                messages.TransferredRecord(
                    key, record.fingerprint, answer, now - record.used
                )
            )
        return exported

    def take_over(
        self, records: list[messages.TransferredRecord], now: float
    ) -> None:
        """Adds the records of a predecessor, beyond the limit if need be."""
        for item in records:
            outcome = None
            if item.answer:
                outcome = codec.decode_outcome(item.answer)
            state = RecordState.SETTLED if outcome else RecordState.SENT
            self._records.setdefault(
                item.key,
                Record(
                    item.fingerprint,
                    state,
                    outcome,
                    now - item.age,
                    0.0,
                    elsewhere=outcome is None,
                ),
            )

    def abandoned(self, now: float, patience: float) -> Iterator[str]:
        """Yields keys whose predecessor never said how they ended."""
        for key, record in self._records.items():
            if record.elsewhere and now - record.used > patience:
                yield key

    def _claim_new(
        self,
        key: str,
        fingerprint: ids.Fingerprint,
        now: float,
        keep_until: float,
    ) -> Claim:
        if len(self._records) >= self._settings.max_records:
            self.prune(now)
        if len(self._records) >= self._settings.max_records:
            return outcomes.NotRun(
                outcomes.Reason.KEY_MEMORY_FULL,
                f"all {self._settings.max_records} records are in use",
                FULL_RETRY_AFTER,
            )
        self._records[key] = Record(
            fingerprint, RecordState.CLAIMED, None, now, keep_until
        )
        return Run(key)

    def _may_forget(self, record: Record, now: float) -> bool:
        if record.state is not RecordState.SETTLED:
            return False
        if now < record.keep_until:
            return False
        return now - record.used > self._settings.retention

    def _storable(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        if len(outcome.body) <= self._settings.max_stored_answer:
            return outcome
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_NOT_KEPT,
            f"the request ran once; its answer of {len(outcome.body)} bytes "
            "was too large to keep",
        )
