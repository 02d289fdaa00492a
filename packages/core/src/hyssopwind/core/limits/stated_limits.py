"""Limits on the request rate that servers state in their answers.

A server states its limit in answers to probes, in answers to requests, or in
both, for as long as the limit holds. An answer without a limit ends the limit
only if answers of its kind have stated it; a server that states its limit only
when it refuses a request has ended it after some time without such a refusal.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from hyssopwind.core import ids
from hyssopwind.core.limits import server_notices

# Time for which a limit holds after the last answer that stated it, even if
# later answers of the same kind do not state it.
HOLD_SECONDS = 1.0
REFUSAL_HOLD_SECONDS = 10.0  # if only refusals have stated it
# Lowest rate for servers that state limits only in answers to requests. One
# that states 0 would otherwise never get the request that shows its end.
TRIAL_REQUESTS_PER_SECOND = 1.0 / 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRecord:
    """What is known of the limit of one server. Times are monotonic.

    Attributes:
        requests_per_second: the limit that was stated last.
        stated_at: time of the last answer that stated it.
        kinds: kinds of answers that have stated it since it began.
        omitted_at: time of the last answer, of one of these kinds, that did
            not state it; minus infinity if there was none.
    """

    requests_per_second: float
    stated_at: float
    kinds: frozenset[server_notices.AnswerKind]
    omitted_at: float = float("-inf")

    @property
    def is_of_refusals(self) -> bool:
        """Whether only refusals have stated the limit."""
        return self.kinds == frozenset({server_notices.AnswerKind.REFUSAL})

    def is_in_force(self, now: float) -> bool:
        """Whether the limit holds.

        Examples:
            >>> record = LimitRecord(2.0, 10.0, frozenset(), omitted_at=10.5)
            >>> record.is_in_force(10.9), record.is_in_force(11.1)
            (True, False)
        """
        if self.omitted_at <= self.stated_at:
            return True
        hold_seconds = (
            REFUSAL_HOLD_SECONDS if self.is_of_refusals else HOLD_SECONDS
        )
        return now < self.stated_at + hold_seconds

    def adds_to(self, known: "LimitRecord", now: float) -> bool:
        """Whether a daemon with another record should hear of this one."""
        if self.is_in_force(now) != known.is_in_force(now):
            return True
        if self.requests_per_second != known.requests_per_second:
            return True
        # The time of the last refusal decides when the limit ends.
        return (
            self.is_of_refusals
            and self.stated_at > known.stated_at + HOLD_SECONDS
        )

    def may_end_with(self, kind: server_notices.AnswerKind) -> bool:
        """Whether an answer of a kind should state the limit while it holds."""
        if kind in self.kinds:
            return True
        is_to_request = kind is not server_notices.AnswerKind.PROBE
        return is_to_request and self.kinds != frozenset(
            {server_notices.AnswerKind.PROBE}
        )


def merge_records(first: LimitRecord, second: LimitRecord) -> LimitRecord:
    """Returns what two daemons together know of the limit of a server.

    The merge is associative, commutative and idempotent.

    Examples:
        >>> kinds = frozenset({server_notices.AnswerKind.PROBE})
        >>> older = LimitRecord(2.0, 10.0, kinds, omitted_at=12.0)
        >>> newer = LimitRecord(3.0, 11.0, kinds)
        >>> merged = merge_records(older, newer)
        >>> merged.requests_per_second, merged.stated_at, merged.omitted_at
        (3.0, 11.0, 12.0)
    """
    newest = max(
        first,
        second,
        key=lambda record: (record.stated_at, -record.requests_per_second),
    )
    kinds = newest.kinds
    if (first.stated_at, first.requests_per_second) == (
        second.stated_at,
        second.requests_per_second,
    ):
        kinds = first.kinds | second.kinds
    return LimitRecord(
        newest.requests_per_second,
        newest.stated_at,
        kinds,
        max(first.omitted_at, second.omitted_at),
    )


class StatedLimits:
    """The limits of all servers that this daemon knows of.

    Examples:
        >>> limits = StatedLimits()
        >>> instance, kind = ids.InstanceId("a@1"), server_notices.AnswerKind
        >>> limits.record_answer(instance, kind.REQUEST, 2.5, now=0.0)
        True
        >>> limits.record_answer(instance, kind.PROBE, None, now=5.0)
        False
        >>> limits.rate(instance, now=5.0)
        2.5
        >>> limits.record_answer(instance, kind.REQUEST, None, now=6.0)
        True
        >>> limits.rate(instance, now=6.0) is None
        True
    """

    def __init__(self) -> None:
        self._records: dict[ids.InstanceId, LimitRecord] = {}

    def rate(self, instance: ids.InstanceId, now: float) -> float | None:
        """Returns the limit of a server in requests per second, if any."""
        record = self._records.get(instance)
        if record is None or not record.is_in_force(now):
            return None
        if server_notices.AnswerKind.PROBE in record.kinds:
            return record.requests_per_second
        return max(record.requests_per_second, TRIAL_REQUESTS_PER_SECOND)

    def find(self, instance: ids.InstanceId) -> LimitRecord | None:
        """Returns the record of a server, also of a limit that has ended."""
        return self._records.get(instance)

    def in_force(self, now: float) -> list[ids.InstanceId]:
        """Returns the servers whose limits hold."""
        return [
            instance
            for instance, record in self._records.items()
            if record.is_in_force(now)
        ]

    def digest(self, instances: Iterable[ids.InstanceId], now: float) -> int:
        """Returns a digest of the limits that hold.

        A limit of refusals enters it with the time of the last one, to the
        second, as that decides when it ends.
        """
        lines = []
        for instance in instances:
            record = self._records.get(instance)
            if record is None or not record.is_in_force(now):
                continue
            lines.append(f"{instance}\0{record.requests_per_second}")
            if record.is_of_refusals:
                age_seconds = int((now - record.stated_at) / HOLD_SECONDS)
                lines.append(f"{instance}\0{age_seconds}")
        return xxhash.xxh3_64_intdigest("\n".join(sorted(lines)).encode())

    def record_answer(
        self,
        instance: ids.InstanceId,
        kind: server_notices.AnswerKind,
        requests_per_second: float | None,
        now: float,
    ) -> bool:
        """Records an answer; returns whether the limit in force changed.

        Args:
            instance: the server that answered.
            kind: the kind of request that it answered.
            requests_per_second: the limit that the answer states, if any.
            now: monotonic time of the answer.
        """
        rate_before = self.rate(instance, now)
        record = self._records.get(instance)
        if requests_per_second is not None:
            kinds = frozenset({kind})
            if record is not None and rate_before is not None:
                kinds |= record.kinds
            omitted_at = record.omitted_at if record else float("-inf")
            self._records[instance] = LimitRecord(
                requests_per_second, now, kinds, min(omitted_at, now)
            )
        elif record is not None and record.may_end_with(kind):
            self._records[instance] = dataclasses.replace(
                record, omitted_at=max(record.omitted_at, now)
            )
        return self.rate(instance, now) != rate_before

    def merge(
        self, instance: ids.InstanceId, record: LimitRecord, now: float
    ) -> bool:
        """Merges a peer's record; returns whether the limit changed."""
        rate_before = self.rate(instance, now)
        own = self._records.get(instance)
        merged = record if own is None else merge_records(own, record)
        self._records[instance] = merged
        return self.rate(instance, now) != rate_before

    def retain(self, instances: set[ids.InstanceId]) -> None:
        """Drops the records of all other servers."""
        for instance in list(self._records):
            if instance not in instances:
                del self._records[instance]
