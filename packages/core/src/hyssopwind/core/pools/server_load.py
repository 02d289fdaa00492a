"""Load, limit and health of one server, as the pool owner tracks them."""

import dataclasses

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.pools import ejection
from hyssopwind.core.pools import limits
from hyssopwind.core.pools import warmup_state
from hyssopwind.core.settings import documents

# A server whose last answer is older may have restarted.
ANSWER_VALIDITY_SECONDS = 0.5
LATENCY_VALIDITY_SECONDS = 0.3
# Weight of one answer in the smoothed latency.
LATENCY_WEIGHT = 0.2
DRAINING_REPORT_VALIDITY_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Result of a load probe of a server.

    Attributes:
        start_id: start identity of the server.
        is_cold: whether the server reports that it is cold.
        is_draining: whether the server reports that it is draining.
        age_seconds: seconds since the server made the report.
    """

    start_id: str
    is_cold: bool
    is_draining: bool
    age_seconds: float


class ServerLoad:
    """Limit, warm-up and requests in flight of one server, over all daemons."""

    def __init__(
        self, server: ids.ServerId, settings: documents.ServiceSettings
    ):
        self._server = server
        self._limit = limits.AdaptiveLimit(settings.slots)
        self._warmup = warmup_state.WarmupState(
            settings.cold_start, settings.slots + limits.REQUESTS_BEYOND_SLOTS
        )
        self._ejection = ejection.Ejection()
        self._in_flight = 0
        self._latency = 0.0
        self._draining_until = float("-inf")
        self._completed_at = float("-inf")
        self._cold_limit = settings.cold_start.limit

    @property
    def server(self) -> ids.ServerId:
        """The server."""
        return self._server

    @property
    def warmup(self) -> warmup_state.WarmupState:
        """The warm-up of the server."""
        return self._warmup

    @property
    def in_flight(self) -> int:
        """Requests in flight at the server, including granted ones."""
        return self._in_flight

    def latency_at(self, now: float) -> float:
        """Returns the smoothed latency in seconds.

        It is zero before the first answer, and again when the last answer is
        too old, so that a server that was slow is tried again.
        """
        if now - self._completed_at > LATENCY_VALIDITY_SECONDS:
            return 0.0
        return self._latency

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight at the server."""
        return min(self._limit.value, self._warmup.limit)

    def limit_at(self, now: float) -> int:
        """Returns the limit, lowered if the server has not answered recently.

        Such a server may have restarted; its next answer shows whether it has.
        """
        if now - self._completed_at <= ANSWER_VALIDITY_SECONDS:
            return self.limit
        return min(self.limit, self._cold_limit)

    @property
    def is_cold(self) -> bool:
        """Whether the server is warming up after a start."""
        return self._warmup.phase is warmup_state.WarmupPhase.COLD

    @property
    def may_send_direct(self) -> bool:
        """Whether the server may be used without a grant."""
        return self._limit.is_at_maximum and not self.is_cold

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots that the settings declare."""
        self._limit.set_slots(slots)
        self._warmup.set_full_limit(slots + limits.REQUESTS_BEYOND_SLOTS)

    def is_usable(self, now: float) -> bool:
        """Returns whether the server is neither draining nor ejected."""
        if now < self._draining_until:
            return False
        return not self._ejection.is_ejected(now)

    def add_in_flight(self, change: int) -> None:
        """Adds a positive or negative change to the requests in flight."""
        self._in_flight += change

    def record_load_update(
        self,
        old: messages.ServerLoadUpdate | None,
        new: messages.ServerLoadUpdate,
        now: float,
    ) -> None:
        """Applies the difference of two load updates of one daemon.

        Args:
            old: the previous load update, or `None` for the first one.
            new: the load update that arrived.
            now: monotonic time in seconds.
        """
        if new.start_id:
            self._warmup.record_start(new.start_id)
        shed = new.shed - (old.shed if old else 0)
        failed = new.failed - (old.failed if old else 0)
        refused = new.refused_connections - (
            old.refused_connections if old else 0
        )
        completed = new.completed - (old.completed if old else 0)
        if shed > 0:
            self._limit.record_shed(now)
            self._warmup.restart_warmup_if_cold()
        if failed > 0:
            self._ejection.record_failures(failed, now)
            self._warmup.restart_warmup()
        if refused > 0:
            self._ejection.record_refused_connection(now)
            self._warmup.restart_warmup()
        if completed > 0 and shed <= 0 and failed <= 0:
            latency_sum = new.total_latency_seconds - (
                old.total_latency_seconds if old else 0.0
            )
            self._record_completed(completed, latency_sum / completed, now)

    def record_load_report(self, report: LoadReport, now: float) -> None:
        """Applies a load report."""
        self._warmup.record_load_report(report.start_id, report.is_cold)
        if report.is_draining:
            self._draining_until = now + DRAINING_REPORT_VALIDITY_SECONDS
            return
        if report.age_seconds < DRAINING_REPORT_VALIDITY_SECONDS:
            self._draining_until = float("-inf")

    def _record_completed(self, count: int, latency: float, now: float) -> None:
        self._completed_at = now
        self._limit.record_completed(count, now)
        self._warmup.record_completed(count)
        self._ejection.record_completed()
        if self._latency == 0.0:
            self._latency = latency
        weight = 1 - (1 - LATENCY_WEIGHT) ** count
        self._latency += weight * (latency - self._latency)
