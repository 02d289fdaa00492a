"""Lines of requests that wait for a server, one for each service.

Only the first request of a line looks for a server, so that the probes of a
daemon do not grow with the number of its waiting requests. It is woken when a
server answers another request of the service, since a slot may then be free.
Which one is the first is decided by `core/dispatch/waiting_order.py`.
"""

import asyncio

from hyssopwind.core import ids
from hyssopwind.core.dispatch import head_times
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import waiting_order
from hyssopwind.transport import boot_clock


class Place:
    """The place of one request in a line.

    Attributes:
        rank: its rank in the line.
        first_since: monotonic time since which it is the first; `None` if it
            is not.
        first_seconds: seconds for which it was the first before it was
            overtaken.
        is_overtaken: whether it was the first before a more urgent request
            came.
    """

    def __init__(self, rank: waiting_order.Rank) -> None:
        self.rank = rank
        self.first_since: float | None = None
        self.first_seconds = 0.0
        self.is_overtaken = False
        self._wake_up: asyncio.Future[ids.ServerId | None] | None = None

    async def wait(self, seconds: float) -> ids.ServerId | None:
        """Waits until the place is first, a server answers, or time is up.

        Returns:
            The server that answered, if its answer reports its load.
        """
        self._wake_up = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(seconds):
                return await self._wake_up
        except TimeoutError:
            return None
        finally:
            self._wake_up = None

    def wake_up(self, server: ids.ServerId | None) -> None:
        """Ends a wait."""
        if self._wake_up is not None and not self._wake_up.done():
            self._wake_up.set_result(server)


class WaitingLine:
    """The requests of one service that wait."""

    def __init__(self) -> None:
        self._head_times = head_times.ClassHeadTimes()
        self._order: waiting_order.WaitingOrder[Place] = (
            waiting_order.WaitingOrder()
        )
        self._first: Place | None = None

    @property
    def has_waiting(self) -> bool:
        """Whether any requests wait."""
        return len(self._order) > 0

    def has_before(
        self, rank: waiting_order.Rank = waiting_order.UNRANKED
    ) -> bool:
        """Whether requests wait that go before one more of a rank."""
        return self._order.count_before(rank) > 0

    def has_room(
        self,
        max_wait_seconds: float,
        rank: waiting_order.Rank = waiting_order.UNRANKED,
    ) -> bool:
        """Whether one more request would find a server in time.

        Args:
            max_wait_seconds: longest wait that is of use to the request.
            rank: rank of the request.
        """
        return self._head_times.is_wait_likely_shorter(
            max_wait_seconds,
            rank.priority,
            self._order.counts_before(rank),
            boot_clock.now(),
        )

    def join(self, rank: waiting_order.Rank = waiting_order.UNRANKED) -> Place:
        """Adds a request at the place that its rank gives it."""
        place = Place(rank)
        self._order.add(place, rank)
        self._update_first()
        return place

    def leave(self, place: Place) -> None:
        """Removes a request; the next one becomes the first if it was."""
        was_first = place.first_since is not None
        self._order.remove(place, was_first=was_first)
        now = boot_clock.now()
        first_seconds = place.first_seconds
        if place.first_since is not None:
            first_seconds += now - place.first_since
        elif not first_seconds:
            return
        self._head_times.record(place.rank.priority, first_seconds, now)
        if was_first:
            self._first = None
            self._update_first()

    def grant_turn(self, priority: priorities.Priority) -> None:
        """Gives a class one turn, unless it has one already."""
        self._order.grant_turn(priority)
        self._update_first()

    def hold_back(self, place: Place) -> None:
        """Lets others go first if free slots are left to more urgent requests.

        Args:
            place: a request that may use none of the free slots.
        """
        if place is self._first:
            self._order.hold_back(place)
            self._update_first()

    def handle_answer(self, server: ids.ServerId | None) -> None:
        """Lets the first request look for a server again after an answer.

        Args:
            server: the server that answered, if its answer reports its load.
        """
        if self._first is not None:
            self._first.wake_up(server)

    def _update_first(self) -> None:
        first = self._order.find_first()
        if first is self._first:
            return
        now = boot_clock.now()
        if self._first is not None:
            assert self._first.first_since is not None
            self._first.first_seconds += now - self._first.first_since
            self._first.first_since = None
            self._first.is_overtaken = True
        self._first = first
        if first is not None:
            first.first_since = now
            first.is_overtaken = False
            first.wake_up(None)
