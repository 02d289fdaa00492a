"""Counts refused requests by tenant, for a bounded number of log lines."""

import collections
import dataclasses

from hyssopwind.core import ids

LINE_INTERVAL_SECONDS = 1.0
MAX_LINES = 20  # in each interval


@dataclasses.dataclass(frozen=True, slots=True)
class TenantRefusalLines:
    """What is logged about an interval.

    Attributes:
        counts: tenants with the most refusals and their numbers.
        other_tenant_count: number of the other tenants with refusals.
        other_count: number of their refusals.
    """

    counts: tuple[tuple[ids.TenantId, int], ...]
    other_tenant_count: int = 0
    other_count: int = 0


class TenantRefusals:
    """The refusals since the last lines.

    Examples:
        >>> refusals = TenantRefusals()
        >>> for name in "aab":
        ...     refusals.record(ids.TenantId(name))
        >>> refusals.take_due(now=5.0).counts
        (('a', 2), ('b', 1))
        >>> refusals.record(ids.TenantId("a"))
        >>> refusals.take_due(now=5.9).counts
        ()
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[ids.TenantId] = collections.Counter()
        self._due_at = float("-inf")

    def record(self, tenant: ids.TenantId) -> None:
        """Records the refusal of a request."""
        self._counts[tenant] += 1

    def take_due(self, now: float) -> TenantRefusalLines:
        """Returns the lines that are due at a monotonic time, if any."""
        if now < self._due_at or not self._counts:
            return TenantRefusalLines(())
        self._due_at = now + LINE_INTERVAL_SECONDS
        counts = self._counts.most_common(MAX_LINES)
        total_count = self._counts.total()
        lines = TenantRefusalLines(
            tuple(counts),
            len(self._counts) - len(counts),
            total_count - sum(count for _, count in counts),
        )
        self._counts.clear()
        return lines
