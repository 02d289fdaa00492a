"""Counts denied retries by class, for a bounded number of log lines."""

import collections
from typing import NamedTuple

from hyssopwind.core import ids
from hyssopwind.core.dispatch import retry_reserves

LINE_INTERVAL_SECONDS = 1.0


class DenialClass(NamedTuple):
    """Denied retries that share a log line.

    Attributes:
        service: service of the requests.
        priority: label of their priority.
        kind: why they were to be sent again.
    """

    service: ids.ServiceId
    priority: str
    kind: retry_reserves.RetryKind


class RetryDenials:
    """The denials of each class since its last line.

    Examples:
        >>> denials = RetryDenials()
        >>> denial = DenialClass(
        ...     ids.ServiceId("a"), "0", retry_reserves.RetryKind.RETRY
        ... )
        >>> [denials.record(denial, now) for now in (0.0, 0.4, 0.9, 1.1)]
        [1, 0, 0, 3]
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[DenialClass] = collections.Counter()
        self._due_at: dict[DenialClass, float] = {}

    def record(self, denial: DenialClass, now: float) -> int:
        """Records a denial.

        Returns:
            The number of denials that a line has to state now; 0 if no line is
            due.
        """
        self._counts[denial] += 1
        if now < self._due_at.get(denial, now):
            return 0
        self._due_at[denial] = now + LINE_INTERVAL_SECONDS
        return self._counts.pop(denial)
