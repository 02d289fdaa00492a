"""Returns of tokens that no server has run a request for.

A token that is returned late moves a request from one window into the next,
so an owner takes back a token for a short time only, and bounds how many of
the tokens that it takes back were issued and not yet returned at one time.
"""

import collections
import math
from collections.abc import Mapping

from hyssopwind.core import ids

# Longest time from the issue of a token to its return.
MAX_RETURN_AGE_SECONDS = 1.0
# Time for which returns are collected for one message.
COLLECT_SECONDS = 0.05
MAX_RETURNS = 64  # in one message
MAX_REMEMBERED_RETURNS = 2_000
_SLOT_SECONDS = 1.0 / 16.0


class ReturnLimit:
    """Bounds the tokens that were held at one time and are taken back.

    Examples:
        >>> limit = ReturnLimit()
        >>> limit.accept(3, issued_at=1.0, limit=2.5, now=1.2)
        2
        >>> limit.accept(1, issued_at=1.1, limit=2.5, now=1.3)
        0
        >>> limit.accept(1, issued_at=1.4, limit=2.5, now=1.5)
        1
    """

    def __init__(self) -> None:
        # Tokens taken back that were held in each slot of time.
        self._held_counts: collections.Counter[int] = collections.Counter()

    def accept(
        self, count: int, issued_at: float, limit: float, now: float
    ) -> int:
        """Returns how many of the returned tokens are taken back.

        Args:
            count: number of tokens returned.
            issued_at: monotonic time at which they were issued, at most
                `MAX_RETURN_AGE_SECONDS` ago.
            limit: most tokens held at one time that are taken back.
            now: monotonic time in seconds.
        """
        first = math.floor(issued_at / _SLOT_SECONDS)
        last = math.floor(now / _SLOT_SECONDS)
        oldest = last - math.ceil(MAX_RETURN_AGE_SECONDS / _SLOT_SECONDS)
        for slot in [each for each in self._held_counts if each < oldest]:
            del self._held_counts[slot]
        slots = range(max(first, oldest), last + 1)
        most = max((self._held_counts[slot] for slot in slots), default=0)
        accepted_count = min(count, max(0, math.floor(limit - most)))
        if accepted_count > 0:
            for slot in slots:
                self._held_counts[slot] += accepted_count
        return accepted_count


class PendingReturns:
    """Tokens that a daemon has to return to the owners that issued them.

    The owner is told the number of all tokens returned of each of its replies,
    so that a repeated message returns nothing twice.
    """

    def __init__(self) -> None:
        self._totals: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._by_owner: dict[ids.DaemonId, dict[int, int]] = {}
        self._due_at: dict[ids.DaemonId, float] = {}

    @property
    def due_at(self) -> Mapping[ids.DaemonId, float]:
        """Times at which the tokens of owners are due to be returned."""
        return self._due_at

    def add(self, owner: ids.DaemonId, request_number: int, now: float) -> None:
        """Adds a token that an owner issued for a request of this daemon."""
        total = self._totals.pop(request_number, 0) + 1
        self._totals[request_number] = total
        if len(self._totals) > MAX_REMEMBERED_RETURNS:
            self._totals.popitem(last=False)
        self._due_at.setdefault(owner, now + COLLECT_SECONDS)
        totals = self._by_owner.setdefault(owner, {})
        totals[request_number] = total
        if len(totals) >= MAX_RETURNS:
            self._due_at[owner] = now

    def take(self, owner: ids.DaemonId) -> list[tuple[int, int]]:
        """Removes what is to be returned to an owner in one message.

        What exceeds the length of a message stays due.

        Returns:
            Numbers of requests with the tokens returned so far.
        """
        totals = list(self._by_owner.pop(owner, {}).items())
        left = totals[MAX_RETURNS:]
        if left:
            self._by_owner[owner] = dict(left)
        else:
            self._due_at.pop(owner, None)
        return totals[:MAX_RETURNS]
