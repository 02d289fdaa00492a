"""Requests that wait for a slot, by priority and deadline."""

import dataclasses
import heapq
import itertools

from hyssopwind.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request for a slot that waits.

    Attributes:
        sender: the daemon that asked.
        ask: what it asked.
        arrived: monotonic time of its arrival, in seconds.
        deadline: monotonic time after which a slot is of no use.
    """

    sender: messages.Sender
    ask: messages.Ask
    arrived: float
    deadline: float

    @property
    def rank(self) -> int:
        """Place in the order of service; foreign requests come later."""
        return 2 * self.ask.rank + self.ask.foreign


class WaitingQueue:
    """Gives out the highest priority first, then the nearest deadline."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int, Waiting]] = []
        self._sequence = itertools.count()
        self._live: dict[tuple[str, int], Waiting] = {}

    def __len__(self) -> int:
        return len(self._live)

    def push(self, waiting: Waiting) -> None:
        """Adds a request."""
        key = _key(waiting.sender, waiting.ask.ask)
        self._live[key] = waiting
        entry = (
            waiting.rank,
            waiting.deadline,
            next(self._sequence),
            waiting,
        )
        heapq.heappush(self._heap, entry)

    def peek(self) -> Waiting | None:
        """Returns the next request without taking it."""
        while self._heap:
            waiting = self._heap[0][3]
            if self._is_live(waiting):
                return waiting
            heapq.heappop(self._heap)
        return None

    def pop(self) -> Waiting | None:
        """Takes the next request."""
        waiting = self.peek()
        if waiting is None:
            return None
        heapq.heappop(self._heap)
        del self._live[_key(waiting.sender, waiting.ask.ask)]
        return waiting

    def withdraw(self, sender: messages.Sender, ask: int) -> None:
        """Removes a request that its daemon gave up."""
        self._live.pop(_key(sender, ask), None)

    def take_expired(self, now: float) -> list[Waiting]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [w for w in self._live.values() if w.deadline <= now]
        for waiting in expired:
            self.withdraw(waiting.sender, waiting.ask.ask)
        return expired

    def take_least(self) -> Waiting | None:
        """Removes and returns the request that would be served last."""
        if not self._live:
            return None
        least = max(self._live.values(), key=lambda w: (w.rank, w.deadline))
        self.withdraw(least.sender, least.ask.ask)
        return least

    def drop_daemon(self, sender: messages.Sender) -> None:
        """Removes all requests of a process that is gone."""
        for waiting in list(self._live.values()):
            if waiting.sender == sender:
                self.withdraw(sender, waiting.ask.ask)

    def _is_live(self, waiting: Waiting) -> bool:
        key = _key(waiting.sender, waiting.ask.ask)
        return self._live.get(key) is waiting


def _key(sender: messages.Sender, ask: int) -> tuple[str, int]:
    return sender.start, ask
