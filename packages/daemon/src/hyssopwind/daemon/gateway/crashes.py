"""Finds requests that crash the servers that run them.

A connection that breaks while a server works on a request may mean that the
server crashed, or only that the answer was lost. The server is asked for its
health shortly afterwards: one that still answers did not crash.
"""

import asyncio
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.discovery import entries
from hyssopwind.core.requests import classification
from hyssopwind.daemon.gateway import health
from hyssopwind.daemon.gateway import requests
from hyssopwind.transport import clock

CONFIRM_DELAY = 0.05  # seconds; a crashed server is down for seconds

_log = logbook.Logger("crashes")


class CrashWatch:
    """Counts confirmed crashes by request, over all daemons."""

    def __init__(
        self,
        checker: health.HealthChecker,
        spread: Callable[[ids.Fingerprint, int], None],
    ):
        self._checker = checker
        self._spread = spread
        self._quarantine = quarantine.CrashQuarantine()
        self._tasks: set[asyncio.Task[None]] = set()

    def is_refused(self, request: requests.CallerRequest) -> float | None:
        """Returns the seconds for which a request is refused, if it is."""
        if self._quarantine.is_empty:
            return None
        now = clock.now()
        fingerprint = _fingerprint(request)
        if not self._quarantine.is_quarantined(fingerprint, now):
            return None
        return self._quarantine.remaining(fingerprint, now)

    def take_notice(self, fingerprint: ids.Fingerprint, crashes: int) -> None:
        """Takes what another daemon saw."""
        self._quarantine.take_notice(fingerprint, crashes, clock.now())

    def note_completed(
        self, request: requests.CallerRequest, sent: float
    ) -> None:
        """Notes that a server survived a request."""
        if self._quarantine.is_empty:
            return
        fingerprint = _fingerprint(request)
        if self._quarantine.note_completed(fingerprint, sent, clock.now()):
            self._spread(fingerprint, 0)

    def note_broken(
        self,
        request: requests.CallerRequest,
        entry: entries.ServerEntry,
        health_path: str,
        sent: float,
    ) -> None:
        """Looks whether a server whose connection broke has crashed."""
        work = self._confirm(request, entry, health_path, sent, clock.now())
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm(
        self,
        request: requests.CallerRequest,
        entry: entries.ServerEntry,
        health_path: str,
        sent: float,
        broken: float,
    ) -> None:
        await asyncio.sleep(CONFIRM_DELAY)
        if await self._checker.check(entry, health_path) is not None:
            return
        fingerprint = _fingerprint(request)
        if not self._quarantine.note_crash(fingerprint, sent, broken):
            return
        _log.warn(
            "server crashed on a request",
            extra={"server": entry.id, "fingerprint": fingerprint},
        )
        self._spread(fingerprint, 1)


def _fingerprint(request: requests.CallerRequest) -> ids.Fingerprint:
    return classification.fingerprint_parts(
        request.method, request.target, request.body
    )
