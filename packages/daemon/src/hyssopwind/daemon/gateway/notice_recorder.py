"""Records and logs what servers state about themselves in their answers."""

from collections.abc import Callable
from collections.abc import Mapping

import logbook

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import server_notices
from hyssopwind.core.limits import server_withdrawals
from hyssopwind.platform import answer_notices
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock

_log = logbook.Logger("notices")


class NoticeRecorder:
    """Passes the statements in the answers of servers on to their records."""

    def __init__(
        self,
        limits: rate_limits.RateLimits,
        withdrawals: server_withdrawals.ServerWithdrawals,
        on_limit_change: Callable[[ids.ServiceId], None],
        announce_leaving: Callable[[ids.InstanceId], None],
    ):
        self._limits = limits
        self._withdrawals = withdrawals
        self._announce_leaving = announce_leaving
        self._on_limit_change = on_limit_change

    def record_answer(
        self,
        entry: entries.ServerEntry,
        kind: server_notices.AnswerKind,
        status: int,
        fields: Mapping[str, str],
    ) -> server_notices.ServerNotices:
        """Records an answer of a server and returns what it states.

        Args:
            entry: the server to which the request was sent.
            kind: the kind of the request.
            status: status code of the answer.
            fields: header fields of the answer.
        """
        if fields.get(field_names.SERVER_ID, entry.id) != entry.id:
            # The address belongs to another server now.
            return server_notices.ServerNotices()
        notices = answer_notices.decode_notices(status, fields)
        if notices.findings:
            _log.warn(
                "unreadable fields in an answer",
                extra={"server": entry.id, "findings": list(notices.findings)},
            )
        now = boot_clock.now()
        self._record_withdrawal(entry, kind, notices, now)
        if notices.is_limit_unreadable:
            return notices
        has_changed = self._limits.stated.record_answer(
            entry.instance, kind, notices.requests_per_second, now
        )
        if has_changed:
            _log.info(
                "server limit changed",
                extra={
                    "server": entry.id,
                    "service": entry.service,
                    "limit": self._limits.stated.rate(entry.instance, now),
                    "source": kind.value,
                    "status": status,
                },
            )
            self._on_limit_change(entry.service)
        return notices

    def record_warmup(self, entry: entries.ServerEntry, seconds: float) -> None:
        """Records that a server stays cold for some seconds."""
        now = boot_clock.now()
        if self._limits.record_warmup(entry.instance, seconds, now):
            _log.info(
                "server cold", extra={"server": entry.id, "seconds": seconds}
            )
            self._on_limit_change(entry.service)

    def handle_leaving_notice(self, instance: ids.InstanceId) -> None:
        """Records what a peer was told by a server that is about to stop."""
        if self._withdrawals.record_leaving(instance):
            _log.info(
                "server leaving", extra={"server": instance, "source": "peer"}
            )

    def _record_withdrawal(
        self,
        entry: entries.ServerEntry,
        kind: server_notices.AnswerKind,
        notices: server_notices.ServerNotices,
        now: float,
    ) -> None:
        log_fields = {"server": entry.id, "source": kind.value}
        if notices.is_leaving and self._withdrawals.record_leaving(
            entry.instance
        ):
            _log.info("server leaving", extra=log_fields)
            self._announce_leaving(entry.instance)
        # A refused probe says nothing of requests.
        if (
            notices.quiet_seconds > 0.0
            and kind is not server_notices.AnswerKind.PROBE
            and self._withdrawals.record_quiet(
                entry.instance, notices.quiet_seconds, now
            )
        ):
            _log.info(
                "server wants no requests for some time",
                extra={**log_fields, "seconds": notices.quiet_seconds},
            )
