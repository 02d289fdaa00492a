"""Asks servers for their load and picks one for a request."""

import asyncio
import dataclasses
import random

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.dispatch import choice
from hyssopwind.core.dispatch import coldness
from hyssopwind.core.dispatch import evidence
from hyssopwind.core.dispatch import probing
from hyssopwind.core.dispatch import readings
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import roster
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import health
from hyssopwind.transport import clock

DEFAULT_HEALTH_PATH = "/health"  # where the configuration names none
STRAGGLER_WAIT = 0.006  # seconds for the other answers after the first one
UNTOLD_LIFE = 20.0  # seconds until a service is asked for its load again
REPORT_LIFE = 0.002  # seconds; an answer serves requests that come together


@dataclasses.dataclass(frozen=True, slots=True)
class PickOrder:
    """What a server is wanted for.

    Attributes:
        route: the route of the request.
        service: the service chosen for it.
        arrived: when the caller began to try.
        expires: when the caller or the route gives up.
        tried: servers that it was sent to before.
        returned: whether the caller has come back after a failure.
    """

    route: tables.Route
    service: ids.ServiceId
    arrived: float
    expires: float
    tried: frozenset[ids.ServerId]
    returned: bool


@dataclasses.dataclass(slots=True)
class _Report:
    at: float
    report: readings.HealthReport | None


class Picker:
    """Picks servers by fresh load reports."""

    def __init__(
        self,
        options: settings.GatewaySettings,
        known: catalogue.Catalogue,
        seen: evidence.Evidence,
        checker: health.HealthChecker,
        fleet: roster.FleetRoster,
        terms: tuning.ChoosingSettings,
    ):
        self._options = options
        self._catalogue = known
        self._evidence = seen
        self._checker = checker
        self._fleet = fleet
        self._probes = probing.ProbeBudget(options.probe_rate, clock.now())
        self._terms = terms
        self._permits = coldness.ColdPermits(options.name)
        self._random = random.Random()
        self._untold_until: dict[ids.ServiceId, float] = {}
        self._told: set[ids.ServiceId] = set()
        self._reports: dict[ids.ServerId, _Report] = {}
        self._checking: dict[
            ids.ServerId, asyncio.Task[readings.HealthReport | None]
        ] = {}
        self._cold_until: dict[ids.ServerId, float] = {}
        self._sent_at: dict[ids.ServerId, list[float]] = {}

    async def pick(self, order: PickOrder) -> choice.Send | choice.Refuse:
        """Returns the server for a request, or why there is none.

        A cold server that is returned has been counted as sent to.
        """
        widened = False
        while True:
            now = clock.now()
            listed = self._eligible(order, now)
            asked = self._sample(listed, widened)
            candidates = await self._ask(order.service, asked)
            now = clock.now()
            timing = self._timing(order, now)
            decision = choice.decide(
                candidates, timing, self._terms, widened=widened
            )
            if isinstance(decision, choice.Widen):
                widened = True
                continue
            if isinstance(decision, choice.Wait):
                await asyncio.sleep(decision.seconds)
                continue
            if isinstance(decision, choice.Refuse):
                return decision
            if not self._claim(decision.server, now):
                continue
            return decision

    async def find_good(self, order: PickOrder) -> choice.Send | None:
        """Returns a server that is good at this moment, if there is one."""
        for widened in (False, True):
            listed = self._eligible(order, clock.now())
            asked = self._sample(listed, widened)
            candidates = await self._ask(order.service, asked)
            now = clock.now()
            timing = self._timing(order, now)
            decision = choice.decide(
                candidates, timing, self._terms, widened=False
            )
            if not isinstance(decision, choice.Send):
                continue
            if self._claim(decision.server, now):
                return decision
        return None

    def health_path(self, service: ids.ServiceId) -> str:
        """Returns the path of the health check of a service."""
        terms = self._catalogue.terms(service)
        return terms.health_path if terms else DEFAULT_HEALTH_PATH

    def forget(self, servers: set[ids.ServerId]) -> None:
        """Forgets servers other than these."""
        for table in (self._reports, self._cold_until, self._sent_at):
            for server in list(table):
                if server not in servers:
                    del table[server]

    def note_cold(self, server: ids.ServerId, seconds: float) -> None:
        """Notes that a server is cold for some more seconds."""
        until = clock.now() + seconds
        self._cold_until[server] = max(
            until, self._cold_until.get(server, until)
        )

    def _timing(self, order: PickOrder, now: float) -> choice.Timing:
        return choice.Timing(
            work=self._evidence.work(order.route),
            waited=now - order.arrived,
            target=order.route.latency_target,
            remaining=order.expires - now,
            returned=order.returned,
        )

    def _claim(self, server: ids.ServerId, now: float) -> bool:
        """Takes a place at a server that was chosen."""
        listed = self._catalogue.find(server)
        if listed is None or not self._catalogue.may_send(server, now):
            return False
        if self._is_cold(listed, now) and not self._cold_permit(listed, now):
            return False
        self._permits.note_sent(server, now)
        self._sent_at.setdefault(server, []).append(now)
        return True

    def _eligible(self, order: PickOrder, now: float) -> list[catalogue.Listed]:
        found = []
        resting = []
        for listed in self._catalogue.usable(order.service, now):
            server = listed.entry.id
            if server in order.tried:
                continue
            if not self._in_region(order.route, listed):
                continue
            if self._is_cold(listed, now) and not self._cold_permit(
                listed, now
            ):
                continue
            if self._evidence.is_resting(server, now):
                resting.append(listed)
                continue
            found.append(listed)
        # Better a doubtful server than none.
        return found or resting

    def _in_region(self, route: tables.Route, listed: catalogue.Listed) -> bool:
        if not route.regions:
            return True
        region = self._options.regions.get(listed.entry.data_centre, "")
        return region in route.regions

    def _is_cold(self, listed: catalogue.Listed, now: float) -> bool:
        until = self._cold_until.get(listed.entry.id, listed.cold_until)
        return now < max(until, listed.cold_until)

    def _cold_permit(self, listed: catalogue.Listed, now: float) -> bool:
        terms = self._catalogue.terms(listed.entry.service)
        rate = terms.warmup_rate if terms else 1.0
        return self._permits.may_send(
            listed.entry.id,
            self._fleet.daemons(listed.entry.data_centre),
            rate,
            now,
        )

    def _sample(
        self, listed: list[catalogue.Listed], widened: bool
    ) -> list[catalogue.Listed]:
        near = []
        far = []
        for server in listed:
            if server.entry.data_centre == self._options.data_centre:
                near.append(server)
            else:
                far.append(server)
        chosen = _draw(self._random, near, self._terms.near_sample)
        if widened or not chosen:
            chosen += _draw(self._random, far, self._terms.far_sample)
        return chosen

    async def _ask(
        self, service: ids.ServiceId, asked: list[catalogue.Listed]
    ) -> list[choice.Candidate]:
        """Returns the servers that answered a check just now.

        Where servers don't tell their load, a check takes a slot like a
        request and says nothing that helps; such servers are not asked.
        """
        now = clock.now()
        if now < self._untold_until.get(service, 0.0):
            return [self._untold(listed) for listed in asked]
        path = self.health_path(service)
        tasks = {}
        candidates: list[choice.Candidate] = []
        unknown: list[catalogue.Listed] = []
        for listed in asked:
            recent = self._reports.get(listed.entry.id)
            if recent is not None and now - recent.at < REPORT_LIFE:
                self._add(candidates, listed, recent.report)
            else:
                unknown.append(listed)
        allowed = self._probes.take(
            len(unknown),
            servers=self._catalogue.size,
            daemons=self._fleet.size(),
            now=now,
        )
        for listed in unknown[:allowed]:
            tasks[self._start_check(listed, path)] = listed
        await self._gather(tasks, candidates)
        if candidates:
            return candidates
        if service in self._told and allowed:
            return []
        if service in self._told:
            # The budget of checks is spent; own counts have to do.
            return [self._untold(listed) for listed in asked]
        # A check that waits for a slot is no sign of a dead server.
        self._untold_until[service] = now + UNTOLD_LIFE
        return [self._untold(listed) for listed in asked]

    def _untold(self, listed: catalogue.Listed) -> choice.Candidate:
        return self._candidate(
            listed, None, self._evidence.in_flight(listed.entry.id)
        )

    async def _gather(
        self,
        tasks: dict[
            "asyncio.Task[readings.HealthReport | None]", catalogue.Listed
        ],
        candidates: list[choice.Candidate],
    ) -> None:
        if not tasks:
            return
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
                self._add(candidates, tasks[task], task.result())
            if candidates:
                timeout = STRAGGLER_WAIT

    def _start_check(
        self, listed: catalogue.Listed, path: str
    ) -> "asyncio.Task[readings.HealthReport | None]":
        server = listed.entry.id
        task = self._checking.get(server)
        if task is None:
            task = asyncio.get_running_loop().create_task(
                self._check(listed, path)
            )
            self._checking[server] = task
        return task

    async def _check(
        self, listed: catalogue.Listed, path: str
    ) -> readings.HealthReport | None:
        server = listed.entry.id
        try:
            report = await self._checker.check(listed.entry, path)
        finally:
            self._checking.pop(server, None)
        now = clock.now()
        if report is None:
            self._evidence.note_silence(server, now)
        elif report.warmup_left > 0.0:
            self.note_cold(server, report.warmup_left)
        self._sent_at.pop(server, None)
        self._reports[server] = _Report(now, report)
        return report

    def _add(
        self,
        candidates: list[choice.Candidate],
        listed: catalogue.Listed,
        report: readings.HealthReport | None,
    ) -> None:
        if report is None or not report.healthy:
            return
        server = listed.entry.id
        service = listed.entry.service
        now = clock.now()
        if self._is_cold(listed, now) and not self._cold_permit(listed, now):
            return
        if report.load is None:
            self._untold_until[service] = now + UNTOLD_LIFE
            candidates.append(self._untold(listed))
            return
        self._told.add(service)
        on_their_way = len(self._sent_at.get(server, ()))
        candidates.append(self._candidate(listed, report.load, on_their_way))

    def _candidate(
        self,
        listed: catalogue.Listed,
        load: readings.Load | None,
        in_flight: int,
    ) -> choice.Candidate:
        entry = listed.entry
        return choice.Candidate(
            server=entry.id,
            near=entry.data_centre == self._options.data_centre,
            load=load,
            slots=entry.slots,
            in_flight=in_flight,
            penalty=self._evidence.penalty(entry.id, clock.now()),
            crowding=self._evidence.crowding(entry.service),
        )


def _draw(
    randomness: random.Random, listed: list[catalogue.Listed], count: int
) -> list[catalogue.Listed]:
    if len(listed) <= count:
        return list(listed)
    return randomness.sample(listed, count)
