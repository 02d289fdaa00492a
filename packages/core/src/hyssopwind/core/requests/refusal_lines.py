"""Log lines about refusals, at most one a second for each class of them."""

import collections
import dataclasses
from collections.abc import Mapping

LINE_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalLine:
    """A line that is due.

    Attributes:
        refusal_class: class of the refusals.
        count: number of refusals of the class since its last line.
        fields: fields of the latest of them, for the log.
    """

    refusal_class: str
    count: int
    fields: Mapping[str, object]


class RefusalLines:
    """Counts refusals until a line about their class is due.

    The number of classes must be bounded.

    Examples:
        >>> lines = RefusalLines()
        >>> for _ in range(3):
        ...     lines.record("unknown_key", {})
        >>> [line.count for line in lines.take_due(now=5.0)]
        [3]
        >>> lines.record("unknown_key", {})
        >>> lines.take_due(now=5.9)
        []
        >>> [line.count for line in lines.take_due(now=6.0)]
        [1]
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._fields: dict[str, Mapping[str, object]] = {}
        self._last_line_at: dict[str, float] = {}

    def record(self, refusal_class: str, fields: Mapping[str, object]) -> None:
        """Records a refusal with the fields of its request."""
        self._counts[refusal_class] += 1
        self._fields[refusal_class] = fields

    def take_due(self, now: float) -> list[RefusalLine]:
        """Returns the lines that are due at a monotonic time."""
        due = []
        for refusal_class, count in list(self._counts.items()):
            last_line_at = self._last_line_at.get(refusal_class)
            if (
                last_line_at is not None
                and now - last_line_at < LINE_INTERVAL_SECONDS
            ):
                continue
            self._last_line_at[refusal_class] = now
            del self._counts[refusal_class]
            fields = self._fields.pop(refusal_class)
            due.append(RefusalLine(refusal_class, count, fields))
        return due
