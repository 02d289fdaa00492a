"""Client of the health endpoint of servers."""

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.settings import tuning
from hyssopwind.platform import probe_answers
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools


class ProbeClient:
    """Probes servers for their health and load."""

    def __init__(
        self,
        connection_pool: connection_pools.ConnectionPool,
        selection_settings: tuning.SelectionSettings,
    ):
        self._selection_settings = selection_settings
        self._pool = connection_pool
        self._probe_count = 0

    @property
    def probe_count(self) -> int:
        """Number of probes sent so far."""
        return self._probe_count

    async def probe(
        self, entry: entries.ServerEntry, path: str
    ) -> probe_results.ProbeResult | None:
        """Returns the probe result of a server; `None` without a valid answer.

        An answer of another server at the same address counts as none.
        """
        self._probe_count += 1
        try:
            answer = await self._pool.get(
                entry.address,
                path,
                self._selection_settings.check_timeout,
                probe_answers.is_probe_answer,
            )
        except connection.ExchangeError:
            return None
        result = probe_answers.decode_probe_result(answer.status, answer.fields)
        if result.server not in (entry.id, ids.ServerId("")):
            return None
        return result
