"""Counts refused searches for a server by class, for metrics and log lines."""

import collections
from collections.abc import Mapping
from typing import NamedTuple

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities

LINE_INTERVAL_SECONDS = 1.0


class RefusalClass(NamedTuple):
    """Refusals that share a log line.

    Attributes:
        service: service of the requests.
        priority: label of their priority.
        reason: why no server was selected; one of a few fixed texts.
    """

    service: ids.ServiceId
    priority: str
    reason: str


class SearchRefusals:
    """The refused searches of one daemon.

    Examples:
        >>> refusals = SearchRefusals()
        >>> def record(now):
        ...     return refusals.record(
        ...         ids.ServiceId("a"),
        ...         priorities.Priority(2),
        ...         "all servers are full",
        ...         now,
        ...     )
        >>> [record(now) for now in (0.0, 0.4, 0.9, 1.1)]
        [1, 0, 0, 3]
        >>> dict(refusals.counts)
        {('2', 'all-servers-are-full'): 4}
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._unlogged: collections.Counter[RefusalClass] = (
            collections.Counter()
        )
        self._due_at: dict[RefusalClass, float] = {}

    @property
    def counts(self) -> Mapping[tuple[str, str], int]:
        """Counts by the label of the priority and the reason."""
        return self._counts

    def record(
        self,
        service: ids.ServiceId,
        priority: priorities.Priority,
        reason: str,
        now: float,
    ) -> int:
        """Records a refusal.

        Returns:
            The number of refusals that a line has to state now; 0 if no line is
            due.
        """
        label = priorities.label(priority)
        self._counts[label, reason.replace(" ", "-")] += 1
        refusal_class = RefusalClass(service, label, reason)
        self._unlogged[refusal_class] += 1
        if now < self._due_at.get(refusal_class, now):
            return 0
        self._due_at[refusal_class] = now + LINE_INTERVAL_SECONDS
        return self._unlogged.pop(refusal_class)
