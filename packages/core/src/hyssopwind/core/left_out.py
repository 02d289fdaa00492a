"""Records the parts of others' data that were left out."""

import collections
import enum
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from hyssopwind.core import decoding

MAX_RECORDED_PARTS = 1_000  # of each source
MAX_REASONS = 20  # that are recorded of one part
# Of each source, so that a writer that never stops cannot fill the log.
MAX_REPORTS = 10_000


class Source(enum.Enum):
    """What a part was left out of."""

    CONFIGURATION_LISTING = "configuration-listing"
    VM_LISTING = "vm-listing"
    VM_RECORD = "vm-record"
    STORE_ITEM = "store-item"
    PEER_MESSAGE = "peer-message"


class LeftOutParts:
    """The parts that are left out now, and how many were left out so far.

    The number of recorded parts is bounded. A part beyond it is only counted.

    Examples:
        >>> parts = LeftOutParts()
        >>> parts.record(Source.VM_RECORD, "a", ["no port"])
        True
        >>> parts.record(Source.VM_RECORD, "a", ["no port"])
        False
        >>> parts.describe()
        ['vm-record a: no port']
        >>> parts.counts[Source.VM_RECORD]
        2
    """

    def __init__(self) -> None:
        self._reasons: dict[Source, dict[str, tuple[str, ...]]] = {
            source: {} for source in Source
        }
        self._counts: collections.Counter[Source] = collections.Counter()
        self._report_counts: collections.Counter[Source] = collections.Counter()

    @property
    def counts(self) -> Mapping[Source, int]:
        """How many parts of each source were left out so far."""
        return self._counts

    def record(self, source: Source, name: str, reasons: Iterable[str]) -> bool:
        """Records that a part was left out; returns whether to report it.

        It is to be reported if the reasons are new, at most `MAX_REPORTS` times
        for each source.

        Args:
            source: what it was left out of.
            name: name of the part; may be any text.
            reasons: why it was left out.
        """
        self._counts[source] += 1
        name = decoding.shorten(name)
        described = tuple(
            decoding.shorten(reason) for reason in list(reasons)[:MAX_REASONS]
        )
        recorded = self._reasons[source]
        if recorded.get(name) == described:
            return False
        if name not in recorded and len(recorded) >= MAX_RECORDED_PARTS:
            return False
        recorded[name] = described
        self._report_counts[source] += 1
        return self._report_counts[source] <= MAX_REPORTS

    def clear(self, source: Source, name: str) -> None:
        """Records that a part is in force or does not exist any more."""
        self._reasons[source].pop(decoding.shorten(name), None)

    def keep(self, source: Source, names: Iterable[str]) -> None:
        """Removes the records of all other parts of a source."""
        kept = {decoding.shorten(name) for name in names}
        recorded = self._reasons[source]
        for name in list(recorded):
            if name not in kept:
                del recorded[name]

    def reasons(self, source: Source, name: str) -> tuple[str, ...]:
        """Returns why a part is left out; none if it is not."""
        return self._reasons[source].get(decoding.shorten(name), ())

    def describe(self) -> list[str]:
        """Returns one text for each part that is left out."""
        return list(self._describe())

    def _describe(self) -> Iterator[str]:
        for source, recorded in self._reasons.items():
            for name, reasons in sorted(recorded.items()):
                yield f"{source.value} {name}: {'; '.join(reasons)}"
