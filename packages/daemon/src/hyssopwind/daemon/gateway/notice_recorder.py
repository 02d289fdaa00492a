"""Records and logs what servers state about themselves in their answers."""

from collections.abc import Callable
from collections.abc import Mapping

import logbook

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.limits import server_notices
from hyssopwind.core.limits import stated_limits
from hyssopwind.platform import answer_notices
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock

_log = logbook.Logger("notices")


class NoticeRecorder:
    """Passes the statements in the answers of servers on to their records."""

    def __init__(
        self,
        limits: stated_limits.StatedLimits,
        on_limit_change: Callable[[ids.ServiceId], None],
    ):
        self._limits = limits
        self._on_limit_change = on_limit_change

    def record_answer(
        self,
        entry: entries.ServerEntry,
        kind: server_notices.AnswerKind,
        status: int,
        fields: Mapping[str, str],
    ) -> None:
        """Records an answer of a server.

        Args:
            entry: the server to which the request was sent.
            kind: the kind of the request.
            status: status code of the answer.
            fields: header fields of the answer.
        """
        if fields.get(field_names.SERVER_ID, entry.id) != entry.id:
            # The address belongs to another server now.
            return
        notices = answer_notices.decode_notices(status, fields)
        if notices.findings:
            _log.warn(
                "unreadable fields in an answer",
                extra={"server": entry.id, "findings": list(notices.findings)},
            )
        now = boot_clock.now()
        has_changed = self._limits.record_answer(
            entry.instance, kind, notices.requests_per_second, now
        )
        if has_changed:
            _log.info(
                "server limit changed",
                extra={
                    "server": entry.id,
                    "service": entry.service,
                    "limit": self._limits.rate(entry.instance, now),
                    "source": kind.value,
                    "status": status,
                },
            )
            self._on_limit_change(entry.service)
