"""Client of the health endpoint of servers."""

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.limits import server_notices
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import notice_recorder
from hyssopwind.daemon.gateway import reachability
from hyssopwind.platform import probe_answers
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools


class ProbeClient:
    """Probes servers for their health and load."""

    def __init__(
        self,
        connection_pool: connection_pools.ConnectionPool,
        selection_settings: tuning.SelectionSettings,
        recorder: notice_recorder.NoticeRecorder,
        monitor: reachability.ReachabilityMonitor,
    ):
        self._selection_settings = selection_settings
        self._recorder = recorder
        self._monitor = monitor
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
        except connection.ExchangeError as error:
            self._monitor.record_failure(entry.id, error.kind)
            return None
        self._monitor.record_answer()
        result = probe_answers.decode_probe_result(answer.status, answer.fields)
        if result.server not in (entry.id, ids.ServerId("")):
            return None
        self._recorder.record_answer(
            entry,
            server_notices.AnswerKind.PROBE,
            answer.status,
            answer.fields,
        )
        if result.warmup_left_seconds > 0.0:
            self._recorder.record_warmup(entry, result.warmup_left_seconds)
        return result
