"""Warm-up of one server after a start.

A server is cold from the first sign of a new start until enough of its
requests have completed. Load reports can only make a server cold; only
completed requests make it warm again.
"""

import enum

from hyssopwind.core.settings import documents


class WarmupPhase(enum.Enum):
    """Whether a server can handle its full load."""

    COLD = "cold"
    WARM = "warm"


class WarmupState:
    """Warm-up state of one server, with a limit that rises while it is cold.

    Examples:
        >>> state = WarmupState(documents.ColdStartSettings(limit=1, step=2), 3)
        >>> state.phase, state.limit
        (<WarmupPhase.COLD: 'cold'>, 1)
        >>> state.record_completed(4)
        >>> state.phase, state.limit
        (<WarmupPhase.WARM: 'warm'>, 3)
    """

    def __init__(self, settings: documents.ColdStartSettings, full_limit: int):
        self._settings = settings
        self._full_limit = full_limit
        self._start_id = ""
        self._limit = settings.limit
        self._completed_count = 0
        self._phase = WarmupPhase.COLD
        self._is_cold_report_applied = False

    @property
    def phase(self) -> WarmupPhase:
        """Whether the server can handle its full load."""
        return self._phase

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight at the server."""
        return self._limit

    @property
    def start_id(self) -> str:
        """The last start identity of the server; empty if none is known."""
        return self._start_id

    def set_full_limit(self, full_limit: int) -> None:
        """Sets the limit of the warm server."""
        self._full_limit = full_limit
        if self._phase is WarmupPhase.WARM:
            self._limit = full_limit

    def mark_warm(self, start_id: str) -> None:
        """Marks the server as warm, as the previous owner reported it."""
        self._start_id = start_id
        self._phase = WarmupPhase.WARM
        self._limit = self._full_limit

    def record_start(self, start_id: str) -> None:
        """Restarts the warm-up if an answer or report has a new start identity.

        An empty identity is ignored.
        """
        if not start_id or start_id == self._start_id:
            return
        self._start_id = start_id
        self._is_cold_report_applied = False
        self.restart_warmup()

    def record_load_report(self, start_id: str, is_cold: bool) -> None:
        """Applies a load report.

        Only the first of successive cold reports restarts the warm-up of a
        warm server, so a server that still reports cold after its whole
        warm-up stays warm.
        """
        self.record_start(start_id)
        if not is_cold:
            self._is_cold_report_applied = False
            return
        if self._is_cold_report_applied:
            return
        if self._phase is WarmupPhase.WARM:
            self.restart_warmup()
        self._is_cold_report_applied = True

    def restart_warmup_if_cold(self) -> None:
        """Restarts the warm-up of a cold server; a warm one is unaffected."""
        if self._phase is WarmupPhase.COLD:
            self.restart_warmup()

    def restart_warmup(self) -> None:
        """Marks the server as cold and restarts its warm-up."""
        self._phase = WarmupPhase.COLD
        self._limit = min(self._settings.limit, self._full_limit)
        self._completed_count = 0

    def record_completed(self, count: int) -> None:
        """Raises the limit of a cold server for completed requests."""
        if self._phase is WarmupPhase.WARM:
            return
        self._completed_count += count
        while self._completed_count >= self._settings.step:
            self._completed_count -= self._settings.step
            self._limit += 1
            if self._limit < self._full_limit:
                continue
            self._limit = self._full_limit
            self._phase = WarmupPhase.WARM
            return
