"""Asks servers for their load, within the fleet's budget of checks.

Where servers don't tell their load, a check takes a slot like a request and
says nothing that helps; such servers are not asked, and own counts have to do.
"""

import asyncio
import dataclasses

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.dispatch import evidence
from hyssopwind.core.dispatch import probing
from hyssopwind.core.dispatch import readings
from hyssopwind.core.fleet import roster
from hyssopwind.daemon.gateway import health
from hyssopwind.transport import clock

DEFAULT_HEALTH_PATH = "/health"  # where the configuration names none
STRAGGLER_WAIT = 0.006  # seconds for the other answers after the first one
UNTOLD_LIFE = 20.0  # seconds until a service is asked for its load again
REPORT_LIFE = 0.002  # seconds; an answer serves requests that come together


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A server that may be chosen, with what is known of its load.

    Attributes:
        listed: the server.
        load: its load just now; `None` where own counts have to do.
        in_flight: requests of this daemon that the load does not show, or all
            of them where there is no load.
    """

    listed: catalogue.Listed
    load: readings.Load | None
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    at: float
    report: readings.HealthReport | None


class LoadChecks:
    """The load checks of one daemon."""

    def __init__(
        self,
        known: catalogue.Catalogue,
        seen: evidence.Evidence,
        checker: health.HealthChecker,
        fleet: roster.FleetRoster,
        budget: probing.ProbeBudget,
    ):
        self._catalogue = known
        self._evidence = seen
        self._checker = checker
        self._fleet = fleet
        self._budget = budget
        self._untold_until: dict[ids.ServiceId, float] = {}
        self._told: set[ids.ServiceId] = set()
        self._reports: dict[ids.ServerId, _Report] = {}
        self._checking: dict[
            ids.ServerId, asyncio.Task[readings.HealthReport | None]
        ] = {}
        self._cold_until: dict[ids.ServerId, float] = {}
        self._sent_at: dict[ids.ServerId, list[float]] = {}

    async def ask(
        self, service: ids.ServiceId, asked: list[catalogue.Listed]
    ) -> list[Reading]:
        """Returns the servers that take new work, by a check just now."""
        now = clock.now()
        if now < self._untold_until.get(service, 0.0):
            return [self._untold(listed) for listed in asked]
        found: list[Reading] = []
        unknown: list[catalogue.Listed] = []
        for listed in asked:
            recent = self._reports.get(listed.entry.id)
            if recent is None or now - recent.at >= REPORT_LIFE:
                unknown.append(listed)
                continue
            self._add(found, listed, recent.report)
        allowed = self._budget.take(
            len(unknown),
            servers=self._catalogue.size,
            daemons=self._fleet.size(),
            now=now,
        )
        await self._gather(unknown[:allowed], found)
        if found or (allowed and service in self._told):
            return found
        if service not in self._told:
            # A check that waits for a slot is no sign of a dead server.
            self._untold_until[service] = now + UNTOLD_LIFE
        # Otherwise the budget is spent; own counts have to do.
        return [self._untold(listed) for listed in asked]

    def health_path(self, service: ids.ServiceId) -> str:
        """Returns the path of the health check of a service."""
        terms = self._catalogue.terms(service)
        return terms.health_path if terms else DEFAULT_HEALTH_PATH

    def is_cold(self, listed: catalogue.Listed, now: float) -> bool:
        """Whether a server is cold, by its entry or by its own answers."""
        until = self._cold_until.get(listed.entry.id, listed.cold_until)
        return now < max(until, listed.cold_until)

    def note_sent(self, server: ids.ServerId, now: float) -> None:
        """Notes a request that the next report may not show yet."""
        self._sent_at.setdefault(server, []).append(now)

    def forget(self, servers: set[ids.ServerId]) -> None:
        """Forgets servers other than these."""
        for table in (self._reports, self._cold_until, self._sent_at):
            for server in list(table):
                if server not in servers:
                    del table[server]

    async def _gather(
        self, asked: list[catalogue.Listed], found: list[Reading]
    ) -> None:
        """Checks servers, and waits little for those behind the first."""
        tasks = {self._start(listed): listed for listed in asked}
        pending = set(tasks)
        timeout = None
        while pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for task in done:
                self._add(found, tasks[task], task.result())
            if found:
                timeout = STRAGGLER_WAIT

    def _start(
        self, listed: catalogue.Listed
    ) -> "asyncio.Task[readings.HealthReport | None]":
        server = listed.entry.id
        task = self._checking.get(server)
        if task is None:
            work = self._check(listed)
            task = asyncio.get_running_loop().create_task(work)
            self._checking[server] = task
        return task

    async def _check(
        self, listed: catalogue.Listed
    ) -> readings.HealthReport | None:
        server = listed.entry.id
        asked = clock.now()
        path = self.health_path(listed.entry.service)
        try:
            report = await self._checker.check(listed.entry, path)
        finally:
            self._checking.pop(server, None)
        now = clock.now()
        if report is None:
            self._evidence.note_silence(server, now)
        elif report.warmup_left > 0.0:
            until = now + report.warmup_left
            known = self._cold_until.get(server, until)
            self._cold_until[server] = max(until, known)
        # The report shows what was sent before the check, not since.
        later = [at for at in self._sent_at.pop(server, ()) if at >= asked]
        if later:
            self._sent_at[server] = later
        self._reports[server] = _Report(now, report)
        return report

    def _add(
        self,
        found: list[Reading],
        listed: catalogue.Listed,
        report: readings.HealthReport | None,
    ) -> None:
        if report is None or not report.healthy:
            return
        entry = listed.entry
        if report.load is None:
            self._untold_until[entry.service] = clock.now() + UNTOLD_LIFE
            found.append(self._untold(listed))
            return
        self._told.add(entry.service)
        on_their_way = len(self._sent_at.get(entry.id, ()))
        found.append(Reading(listed, report.load, on_their_way))

    def _untold(self, listed: catalogue.Listed) -> Reading:
        in_flight = self._evidence.in_flight(listed.entry.id)
        return Reading(listed, None, in_flight)
