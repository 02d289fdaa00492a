"""Picks the server of a request."""

import asyncio
import dataclasses
import random

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.dispatch import choice
from hyssopwind.core.dispatch import coldness
from hyssopwind.core.dispatch import evidence
from hyssopwind.core.dispatch import sampling
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import roster
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import load_checks
from hyssopwind.transport import clock


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


class Picker:
    """Picks servers by fresh load reports."""

    def __init__(
        self,
        options: settings.GatewaySettings,
        known: catalogue.Catalogue,
        seen: evidence.Evidence,
        checks: load_checks.LoadChecks,
        fleet: roster.FleetRoster,
        terms: tuning.ChoosingSettings,
    ):
        self._options = options
        self._catalogue = known
        self._evidence = seen
        self._checks = checks
        self._fleet = fleet
        self._terms = terms
        self._permits = coldness.ColdPermits(options.name)
        self._random = random.Random()

    async def pick(self, order: PickOrder) -> choice.Send | choice.Refuse:
        """Returns the server for a request, or why there is none.

        A cold server that is returned has been counted as sent to.
        """
        widened = False
        is_first = True
        while True:
            candidates = await self._ask(
                order, widened=widened, is_first=is_first
            )
            is_first = False
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
            candidates = await self._ask(order, widened=widened)
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
        if not self._bears(listed, now):
            return False
        self._permits.note_sent(server, now)
        self._checks.note_sent(server, now)
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
            if not self._bears(listed, now):
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

    def _bears(self, listed: catalogue.Listed, now: float) -> bool:
        """Whether a server is warm, or may get a request while it is cold."""
        if not self._checks.is_cold(listed, now):
            return True
        terms = self._catalogue.terms(listed.entry.service)
        rate = terms.warmup_rate if terms else 1.0
        return self._permits.may_send(
            listed.entry.id,
            self._fleet.daemons(listed.entry.data_centre),
            rate,
            now,
        )

    def _sample(
        self, listed: list[catalogue.Listed], widened: bool, is_first: bool
    ) -> list[catalogue.Listed]:
        near = []
        far = []
        for server in listed:
            if server.entry.data_centre == self._options.data_centre:
                near.append(server)
            else:
                far.append(server)
        wanted = self._terms.near_sample
        if is_first:
            chosen = sampling.usual(self._options.name, near, wanted)
        else:
            chosen = sampling.draw(self._random, near, wanted)
        if widened or not chosen:
            chosen += sampling.draw(self._random, far, self._terms.far_sample)
        return chosen

    async def _ask(
        self, order: PickOrder, *, widened: bool, is_first: bool = False
    ) -> list[choice.Candidate]:
        """Returns the servers that may be chosen at this moment."""
        eligible = self._eligible(order, clock.now())
        asked = self._sample(eligible, widened, is_first)
        found = []
        for reading in await self._checks.ask(order.service, asked):
            # The check may have shown that a server is cold.
            if self._bears(reading.listed, clock.now()):
                found.append(self._candidate(reading))
        return found

    def _candidate(self, reading: load_checks.Reading) -> choice.Candidate:
        entry = reading.listed.entry
        return choice.Candidate(
            server=entry.id,
            near=entry.data_centre == self._options.data_centre,
            load=reading.load,
            slots=entry.slots,
            in_flight=reading.in_flight,
            penalty=self._evidence.penalty(entry.id, clock.now()),
            crowding=self._evidence.crowding(entry.service),
        )
