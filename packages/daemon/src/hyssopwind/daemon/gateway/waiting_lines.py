"""Lines of requests that wait for a server, one for each service.

Only the first request of a line looks for a server, so that the probes of a
daemon do not grow with the number of its waiting requests. It is woken when a
server answers another request of the service, since a slot may then be free.
"""

import asyncio
import collections

from hyssopwind.core import ids
from hyssopwind.core.dispatch import head_times
from hyssopwind.transport import boot_clock


class Place:
    """The place of one request in a line.

    Attributes:
        first_since: monotonic time since which it is the first; `None` before.
    """

    def __init__(self) -> None:
        self.first_since: float | None = None
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
    """The requests of one service that wait, in the order of their arrival."""

    def __init__(self) -> None:
        self._head_times = head_times.HeadTimes()
        self._places: collections.deque[Place] = collections.deque()

    @property
    def is_empty(self) -> bool:
        """Whether no request waits."""
        return not self._places

    def has_room(self, max_wait_seconds: float) -> bool:
        """Whether one more request would find a server in time.

        Args:
            max_wait_seconds: longest wait that is of use to the request.
        """
        return self._head_times.is_wait_likely_shorter(
            max_wait_seconds, len(self._places), boot_clock.now()
        )

    def join(self) -> Place:
        """Adds a request at the end of the line."""
        place = Place()
        self._places.append(place)
        self._update_first()
        return place

    def leave(self, place: Place) -> None:
        """Removes a request; the next one becomes the first if it was."""
        self._places.remove(place)
        if place.first_since is None:
            return
        now = boot_clock.now()
        self._head_times.record(now - place.first_since, now)
        self._update_first()

    def handle_answer(self, server: ids.ServerId | None) -> None:
        """Lets the first request look for a server again after an answer.

        Args:
            server: the server that answered, if its answer reports its load.
        """
        if self._places:
            self._places[0].wake_up(server)

    def _update_first(self) -> None:
        if self._places and self._places[0].first_since is None:
            self._places[0].first_since = boot_clock.now()
            self._places[0].wake_up(None)
