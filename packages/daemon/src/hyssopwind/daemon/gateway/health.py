"""Health checks of servers."""

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import readings
from hyssopwind.core.settings import tuning
from hyssopwind.platform import reports
from hyssopwind.transport import connection
from hyssopwind.transport import pool


class HealthChecker:
    """Asks servers for their health and load."""

    def __init__(
        self,
        connections: pool.ConnectionPool,
        terms: tuning.ChoosingSettings,
    ):
        self._terms = terms
        self._pool = connections
        self._checks = 0

    @property
    def checks(self) -> int:
        """Health checks sent so far."""
        return self._checks

    async def check(
        self, entry: entries.ServerEntry, path: str
    ) -> readings.HealthReport | None:
        """Asks a server for its health; `None` where no report came.

        An answer by another server at the same address is no report.
        """
        self._checks += 1
        try:
            answer = await self._pool.get(
                entry.address,
                path,
                self._terms.check_timeout,
                reports.is_report,
            )
        except connection.ExchangeError:
            return None
        report = reports.decode_health(answer.status, answer.fields)
        if report.server not in (entry.id, ids.ServerId("")):
            return None
        return report
