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
        is_overtaken: whether it was the first before a more urgent request
            came.
    """

    def __init__(self, rank: waiting_order.Rank) -> None:
        self.rank = rank
        self.first_since: float | None = None
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
        # Of each class, as less urgent requests find servers later.
        self._head_times: dict[priorities.Priority, head_times.HeadTimes] = {}
        self._order: waiting_order.WaitingOrder[Place] = (
            waiting_order.WaitingOrder()
        )
        self._first: Place | None = None

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
        return self._find_head_times(rank).is_wait_likely_shorter(
            max_wait_seconds, self._order.count_before(rank), boot_clock.now()
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
        if place.first_since is None:
            return
        now = boot_clock.now()
        self._find_head_times(place.rank).record(now - place.first_since, now)
        self._first = None
        self._update_first()

    def handle_answer(self, server: ids.ServerId | None) -> None:
        """Lets the first request look for a server again after an answer.

        Args:
            server: the server that answered, if its answer reports its load.
        """
        if self._first is not None:
            self._first.wake_up(server)

    def _find_head_times(
        self, rank: waiting_order.Rank
    ) -> head_times.HeadTimes:
        return self._head_times.setdefault(
            rank.priority, head_times.HeadTimes()
        )

    def _update_first(self) -> None:
        first = self._order.find_first()
        if first is self._first:
            return
        if self._first is not None:
            self._first.first_since = None
            self._first.is_overtaken = True
        self._first = first
        if first is not None:
            first.first_since = boot_clock.now()
            first.is_overtaken = False
            first.wake_up(None)
