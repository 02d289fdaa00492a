"""Detects requests that crash the servers that run them.

A connection that breaks while a server works on a request may mean that the
server crashed, or only that the answer was lost. The server is probed shortly
afterwards: one that still answers did not crash. One that does not answer has
crashed only if others do; otherwise this daemon lacks the way to all of them.
"""

import asyncio
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.discovery import entries
from hyssopwind.core.requests import classification
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import health_client
from hyssopwind.daemon.gateway import reachability
from hyssopwind.transport import boot_clock

# Delay of the probe; a crashed server is down for seconds.
CRASH_PROBE_DELAY_SECONDS = 0.05

_log = logbook.Logger("crashes")


class CrashDetector:
    """Counts confirmed crashes by request fingerprint, over all daemons."""

    def __init__(
        self,
        probe_client: health_client.ProbeClient,
        monitor: reachability.ReachabilityMonitor,
        announce_crash: Callable[
            [ids.Fingerprint, int, quarantine.CrashTimes | None], None
        ],
    ):
        self._probe_client = probe_client
        self._monitor = monitor
        self._announce_crash = announce_crash
        self._quarantine = quarantine.CrashQuarantine()
        self._tasks: set[asyncio.Task[None]] = set()

    def quarantine_seconds(
        self, request: caller_requests.CallerRequest
    ) -> float | None:
        """Returns the seconds left of the quarantine of a request, if any."""
        if self._quarantine.is_empty:
            return None
        now = boot_clock.now()
        fingerprint = _fingerprint(request)
        if not self._quarantine.is_quarantined(fingerprint, now):
            return None
        return self._quarantine.remaining_seconds(fingerprint, now)

    def handle_notice(
        self,
        fingerprint: ids.Fingerprint,
        crash_count: int,
        times: quarantine.CrashTimes | None = None,
    ) -> None:
        """Handles a notice of another daemon about crashes on a request."""
        self._quarantine.handle_notice(
            fingerprint, crash_count, boot_clock.now(), times
        )

    def record_completed(
        self, request: caller_requests.CallerRequest, sent_at: float
    ) -> None:
        """Records that a server completed a request without a crash."""
        if self._quarantine.is_empty:
            return
        fingerprint = _fingerprint(request)
        if self._quarantine.record_completed(
            fingerprint, sent_at, boot_clock.now()
        ):
            self._announce_crash(fingerprint, 0, None)

    def check_for_crash(
        self,
        request: caller_requests.CallerRequest,
        entry: entries.ServerEntry,
        health_path: str,
        sent_at: float,
    ) -> None:
        """Starts a crash check of a server whose connection broke."""
        check = self._confirm_crash(
            request, entry, health_path, sent_at, boot_clock.now()
        )
        task = asyncio.get_running_loop().create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm_crash(
        self,
        request: caller_requests.CallerRequest,
        entry: entries.ServerEntry,
        health_path: str,
        sent_at: float,
        broken_at: float,
    ) -> None:
        await asyncio.sleep(CRASH_PROBE_DELAY_SECONDS)
        probed_at = boot_clock.now()
        if await self._probe_client.probe(entry, health_path) is not None:
            return
        if not await self._monitor.does_another_answer(entry.id, probed_at):
            _log.info(
                "crash not confirmed: no other server answers",
                extra={"server": entry.id},
            )
            return
        fingerprint = _fingerprint(request)
        if not self._quarantine.record_crash(fingerprint, sent_at, broken_at):
            return
        _log.warn(
            "server crashed on a request",
            extra={"server": entry.id, "fingerprint": fingerprint},
        )
        self._announce_crash(
            fingerprint, 1, quarantine.CrashTimes(sent_at, broken_at)
        )


def _fingerprint(request: caller_requests.CallerRequest) -> ids.Fingerprint:
    return classification.fingerprint_parts(
        request.method, request.target, request.body
    )
