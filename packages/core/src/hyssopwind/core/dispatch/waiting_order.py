"""Decides in which order the requests of one service get servers.

More urgent requests go first, then those that return after a refusal, then
those that arrived earlier. A class that waits is not passed over for ever: each
time a request leaves the head of the line, each class gains a part of a turn in
proportion to its share of the line, and with a whole turn its first request is
the next one. A class whose requests find servers too rarely is given turns. If
the request whose turn it is may use no free slot, as they are left to more
urgent requests, these go first until one of them has left the head of the line.
"""

import collections
import dataclasses
from collections.abc import Hashable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

from hyssopwind.core.dispatch import priorities

# Share of the turns that a class gets at least, relative to its share of the
# requests that wait.
MIN_TURN_RATIO = 0.25
# Turns that a class may have in advance. Several classes may have a whole turn
# at the same time, so that one of them waits for that of another.
MAX_TURNS = 2.0
# A whole turn, less the rounding of its parts.
WHOLE_TURN = 1.0 - 1e-9


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """What decides on the place of a request apart from its arrival.

    Attributes:
        priority: its priority; 0 is the most urgent.
        is_new: whether it does not return after a refusal.
    """

    priority: priorities.Priority = priorities.Priority(0)
    is_new: bool = True


# Rank of all requests of a service whose requests have one priority.
UNRANKED = Rank()

Key = TypeVar("Key", bound=Hashable)


class WaitingOrder(Generic[Key]):
    """The order of the requests that wait for one service.

    Examples:
        >>> order = WaitingOrder()
        >>> order.add("bulk", Rank(priorities.Priority(2)))
        >>> order.add("urgent", Rank(priorities.Priority(0)))
        >>> order.find_first()
        'urgent'
        >>> order.count_before(Rank(priorities.Priority(1)))
        1
    """

    def __init__(self) -> None:
        # In order of arrival.
        self._ranks: dict[Key, Rank] = {}
        # Parts of a turn that classes have gained.
        self._turns: dict[priorities.Priority, float] = {}
        # Classes that keep their turns until another request has left.
        self._held_classes: set[priorities.Priority] = set()

    def __len__(self) -> int:
        return len(self._ranks)

    def add(self, key: Key, rank: Rank) -> None:
        """Adds a request at its place."""
        self._ranks[key] = rank

    def remove(self, key: Key, *, was_first: bool) -> None:
        """Removes a request.

        Args:
            key: the request.
            was_first: whether it was at the head of the line, so that it has
                used a turn.
        """
        if was_first:
            self._record_turn(self._ranks[key].priority)
            self._held_classes.clear()
        del self._ranks[key]

    def grant_turn(self, priority: priorities.Priority) -> None:
        """Gives a class one turn, unless it has one already."""
        turns = self._turns.get(priority, 0.0)
        self._turns[priority] = max(turns, WHOLE_TURN)

    def hold_back(self, key: Key) -> None:
        """Defers the turn of a class whose request may use no free slot.

        Args:
            key: the request, at the head of the line.
        """
        self._held_classes.add(self._ranks[key].priority)

    def find_first(self) -> Key | None:
        """Returns the request that gets the next server; `None` if none."""
        due = self._find_due_class()
        first: Key | None = None
        first_rank: Rank | None = None
        for key, rank in self._ranks.items():
            if due is not None and rank.priority != due:
                continue
            if first_rank is None or rank < first_rank:
                first, first_rank = key, rank
        return first

    def count_before(self, rank: Rank) -> int:
        """Returns how many requests are before one more of a rank."""
        return sum(self.counts_before(rank).values())

    def counts_before(self, rank: Rank) -> Mapping[priorities.Priority, int]:
        """Returns how many requests of each class are before one of a rank."""
        due = self._find_due_class()
        counts: collections.Counter[priorities.Priority] = collections.Counter()
        has_due = False
        for waiting_rank in self._ranks.values():
            if waiting_rank <= rank:
                counts[waiting_rank.priority] += 1
            elif waiting_rank.priority == due:
                has_due = True
        if due is not None and has_due:
            counts[due] += 1
        return counts

    def _find_due_class(self) -> priorities.Priority | None:
        """Returns the class whose turn it is although others are urgent."""
        waiting = {rank.priority for rank in self._ranks.values()}
        due = [
            priority
            for priority, turns in self._turns.items()
            if turns >= WHOLE_TURN
            and priority in waiting
            and priority not in self._held_classes
        ]
        return min(due, default=None)

    def _record_turn(self, priority: priorities.Priority) -> None:
        total_count = len(self._ranks)
        for rank in self._ranks.values():
            turns = self._turns.get(rank.priority, 0.0)
            self._turns[rank.priority] = min(
                MAX_TURNS, turns + MIN_TURN_RATIO / total_count
            )
        self._turns[priority] = max(0.0, self._turns[priority] - 1.0)
