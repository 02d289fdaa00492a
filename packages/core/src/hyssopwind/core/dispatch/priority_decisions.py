"""Counts decisions by priority, for metrics and a bounded number of lines."""

import collections
import enum
from collections.abc import Mapping
from typing import NamedTuple

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities

LINE_INTERVAL_SECONDS = 1.0


class Decision(enum.Enum):
    """What the priority of a request changed in a search for a server."""

    LEFT_SLOTS = "left_slots"
    USED_RESERVE = "used_reserve"


class DecisionClass(NamedTuple):
    """Decisions that share a log line.

    Attributes:
        service: service of the requests.
        priority: label of their priority.
        decision: the decision.
    """

    service: ids.ServiceId
    priority: str
    decision: Decision


class PriorityDecisions:
    """The decisions of one daemon.

    Examples:
        >>> decisions = PriorityDecisions()
        >>> def record(now):
        ...     return decisions.record(
        ...         ids.ServiceId("a"),
        ...         priorities.Priority(2),
        ...         Decision.LEFT_SLOTS,
        ...         now,
        ...     )
        >>> [record(now) for now in (0.0, 0.4, 0.9, 1.1)]
        [1, 0, 0, 3]
        >>> dict(decisions.counts)
        {('2', 'left_slots'): 4}
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._unlogged: collections.Counter[DecisionClass] = (
            collections.Counter()
        )
        self._due_at: dict[DecisionClass, float] = {}

    @property
    def counts(self) -> Mapping[tuple[str, str], int]:
        """Counts by the label of the priority and the decision."""
        return self._counts

    def record(
        self,
        service: ids.ServiceId,
        priority: priorities.Priority,
        decision: Decision,
        now: float,
    ) -> int:
        """Records a decision.

        Returns:
            The number of decisions that a line has to state now; 0 if no line
            is due.
        """
        label = priorities.label(priority)
        self._counts[label, decision.value] += 1
        decision_class = DecisionClass(service, label, decision)
        self._unlogged[decision_class] += 1
        if now < self._due_at.get(decision_class, now):
            return 0
        self._due_at[decision_class] = now + LINE_INTERVAL_SECONDS
        return self._unlogged.pop(decision_class)
