"""Load, limit and health of one server, as the pool owner tracks them."""

import dataclasses

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.pools import ejection
from hyssopwind.core.pools import limits
from hyssopwind.core.pools import warmth
from hyssopwind.core.settings import documents

# A server that has not answered for this long may have restarted.
QUIET = 0.5
LATENCY_VALIDITY = 0.3
# Weight of one answer in the smoothed latency.
LATENCY_WEIGHT = 0.2
DRAINING_REPORT_VALIDITY = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Result of a load probe of a server.

    Attributes:
        start: start identity of the server.
        cold: whether the server reports that it is cold.
        draining: whether the server reports that it is draining.
        age: seconds since the server made the report.
    """

    start: str
    cold: bool
    draining: bool
    age: float


class ServerLoad:
    """Limit, warm-up and requests in flight of one server, over all daemons."""

    def __init__(
        self, server: ids.ServerId, settings: documents.ServiceSettings
    ):
        self._server = server
        self._limit = limits.AdaptiveLimit(settings.slots)
        self._warmth = warmth.Warmth(
            settings.cold_start, settings.slots + limits.LIMIT_BEYOND_SLOTS
        )
        self._ejection = ejection.Ejection()
        self._in_flight = 0
        self._latency = 0.0
        self._draining_until = float("-inf")
        self._completed_time = float("-inf")
        self._cold_limit = settings.cold_start.limit

    @property
    def server(self) -> ids.ServerId:
        """The server."""
        return self._server

    @property
    def warmth(self) -> warmth.Warmth:
        """The warm-up of the server."""
        return self._warmth

    @property
    def in_flight(self) -> int:
        """Requests at the server, including those that are granted."""
        return self._in_flight

    def latency_at(self, now: float) -> float:
        """Returns the smoothed latency in seconds.

        It is zero before the first answer, and again when the last answer is
        too old, so that a server that was slow is tried again.
        """
        if now - self._completed_time > LATENCY_VALIDITY:
            return 0.0
        return self._latency

    @property
    def limit(self) -> int:
        """Requests that the server may have at a time."""
        return min(self._limit.value, self._warmth.level)

    def limit_at(self, now: float) -> int:
        """Returns the limit, lowered if the server has not answered recently.

        Such a server may have restarted; its next answer shows whether it has.
        """
        if now - self._completed_time <= QUIET:
            return self.limit
        return min(self.limit, self._cold_limit)

    @property
    def is_cold(self) -> bool:
        """Whether the server is warming up after a start."""
        return self._warmth.temperature is warmth.Temperature.COLD

    @property
    def is_direct(self) -> bool:
        """Whether the server may be used without a grant."""
        return self._limit.is_full and not self.is_cold

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots that the settings declare."""
        self._limit.set_slots(slots)
        self._warmth.set_full_level(slots + limits.LIMIT_BEYOND_SLOTS)

    def is_usable(self, now: float) -> bool:
        """Returns whether the server is neither draining nor ejected."""
        if now < self._draining_until:
            return False
        return not self._ejection.is_ejected(now)

    def add_in_flight(self, change: int) -> None:
        """Adds a change of the requests in flight."""
        self._in_flight += change

    def note_tell(
        self,
        old: messages.ServerTell | None,
        new: messages.ServerTell,
        now: float,
    ) -> None:
        """Applies the difference of two load updates of one daemon.

        Args:
            old: the previous load update, or `None` for the first one.
            new: the load update that arrived.
            now: monotonic time in seconds.
        """
        if new.start:
            self._warmth.note_start(new.start)
        shed = new.shed - (old.shed if old else 0)
        failed = new.failed - (old.failed if old else 0)
        refused = new.refused - (old.refused if old else 0)
        completed = new.completed - (old.completed if old else 0)
        if shed > 0:
            self._limit.note_shed(now)
            self._warmth.note_distress()
        if failed > 0:
            self._ejection.note_failed(failed, now)
            self._warmth.chill()
        if refused > 0:
            self._ejection.note_refused(now)
            self._warmth.chill()
        if completed > 0 and shed <= 0 and failed <= 0:
            latency_sum = new.busy - (old.busy if old else 0.0)
            self._record_completed(completed, latency_sum / completed, now)

    def note_report(self, report: LoadReport, now: float) -> None:
        """Applies a load report."""
        self._warmth.note_report(report.start, report.cold)
        if report.draining:
            self._draining_until = now + DRAINING_REPORT_VALIDITY
            return
        if report.age < DRAINING_REPORT_VALIDITY:
            self._draining_until = float("-inf")

    def _record_completed(self, count: int, latency: float, now: float) -> None:
        self._completed_time = now
        self._limit.note_completed(count, now)
        self._warmth.note_completed(count)
        self._ejection.note_completed()
        if self._latency == 0.0:
            self._latency = latency
        weight = 1 - (1 - LATENCY_WEIGHT) ** count
        self._latency += weight * (latency - self._latency)
