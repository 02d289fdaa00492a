"""Picks the server of a request by the load that probes report."""

import asyncio
import dataclasses
import random

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.dispatch import cold_start
from hyssopwind.core.dispatch import sampling
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import load_probes
from hyssopwind.transport import boot_clock


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionRequest:
    """A request that needs a server.

    Attributes:
        route: the route of the request.
        service: the service selected for it.
        arrived_at: monotonic time at which the caller first sent it.
        deadline: monotonic time at which the caller or the route times out.
        tried_servers: servers that it was sent to before.
        is_caller_retry: whether the caller retries it after a refusal.
    """

    route: tables.Route
    service: ids.ServiceId
    arrived_at: float
    deadline: float
    tried_servers: frozenset[ids.ServerId]
    is_caller_retry: bool


class Picker:
    """Picks servers by their load, which it probes for each request."""

    def __init__(
        self,
        initial_settings: settings.GatewaySettings,
        server_catalogue: catalogue.Catalogue,
        passive_health: server_health.PassiveHealth,
        prober: load_probes.LoadProber,
        member_list: fleet_members.MemberList,
        selection_settings: tuning.SelectionSettings,
    ):
        self._initial_settings = initial_settings
        self._catalogue = server_catalogue
        self._passive_health = passive_health
        self._prober = prober
        self._member_list = member_list
        self._selection_settings = selection_settings
        self._cold_start_limiter = cold_start.ColdStartLimiter(
            initial_settings.name
        )
        self._random = random.Random()

    async def pick(
        self, request: SelectionRequest
    ) -> server_selection.Send | server_selection.Refuse:
        """Returns the server for a request, or the reason that there is none.

        Waits and probes again as long as the answer can still be in time. The
        request counts as sent to the server that is returned.
        """
        include_remote = False
        is_first = True
        while True:
            candidates = await self._probe(
                request, include_remote=include_remote, is_first=is_first
            )
            is_first = False
            now = boot_clock.now()
            timing = self._request_timing(request, now)
            decision = server_selection.decide(
                candidates,
                timing,
                self._selection_settings,
                has_probed_remote=include_remote,
            )
            if isinstance(decision, server_selection.ProbeRemote):
                include_remote = True
                continue
            if isinstance(decision, server_selection.Wait):
                await asyncio.sleep(decision.seconds)
                continue
            if isinstance(decision, server_selection.Refuse):
                return decision
            if not self._try_reserve(decision.server, now):
                continue
            return decision

    async def find_good_server(
        self, request: SelectionRequest
    ) -> server_selection.Send | None:
        """Returns a server that is good now, if any, without waiting."""
        for include_remote in (False, True):
            candidates = await self._probe(
                request, include_remote=include_remote
            )
            now = boot_clock.now()
            timing = self._request_timing(request, now)
            # `has_probed_remote=False` makes `decide` return `Send` only for a
            # server that is good now.
            decision = server_selection.decide(
                candidates,
                timing,
                self._selection_settings,
                has_probed_remote=False,
            )
            if not isinstance(decision, server_selection.Send):
                continue
            if self._try_reserve(decision.server, now):
                return decision
        return None

    def _request_timing(
        self, request: SelectionRequest, now: float
    ) -> server_selection.RequestTiming:
        return server_selection.RequestTiming(
            work_seconds=self._passive_health.expected_work_seconds(
                request.route
            ),
            waited_seconds=now - request.arrived_at,
            latency_target_seconds=request.route.latency_target_seconds,
            remaining_seconds=request.deadline - now,
            is_caller_retry=request.is_caller_retry,
        )

    def _try_reserve(self, server: ids.ServerId, now: float) -> bool:
        """Records a request to a server, if the server still accepts it."""
        listed_server = self._catalogue.find(server)
        if listed_server is None or not self._catalogue.may_send(server, now):
            return False
        if not self._may_send_to(listed_server, now):
            return False
        self._cold_start_limiter.record_sent(server, now)
        self._prober.record_sent(server, now)
        return True

    def _eligible_servers(
        self, request: SelectionRequest, now: float
    ) -> list[catalogue.ListedServer]:
        eligible = []
        ejected = []
        for listed_server in self._catalogue.usable_servers(
            request.service, now
        ):
            server = listed_server.entry.id
            if server in request.tried_servers:
                continue
            if not self._is_in_allowed_region(request.route, listed_server):
                continue
            if not self._may_send_to(listed_server, now):
                continue
            if self._passive_health.is_ejected(server, now):
                ejected.append(listed_server)
                continue
            eligible.append(listed_server)
        # An ejected server is better than none.
        return eligible or ejected

    def _is_in_allowed_region(
        self, route: tables.Route, listed_server: catalogue.ListedServer
    ) -> bool:
        if not route.regions:
            return True
        region = self._initial_settings.regions.get(
            listed_server.entry.data_centre, ""
        )
        return region in route.regions

    def _may_send_to(
        self, listed_server: catalogue.ListedServer, now: float
    ) -> bool:
        """Whether a server is warm, or its warm-up allows a request now."""
        if not self._prober.is_cold(listed_server, now):
            return True
        service_settings = self._catalogue.service_settings(
            listed_server.entry.service
        )
        rate = (
            service_settings.warmup_requests_per_second
            if service_settings
            else 1.0
        )
        return self._cold_start_limiter.may_send(
            listed_server.entry.id,
            self._member_list.daemon_ids(listed_server.entry.data_centre),
            rate,
            now,
        )

    def _sample_servers(
        self,
        servers: list[catalogue.ListedServer],
        include_remote: bool,
        is_first: bool,
    ) -> list[catalogue.ListedServer]:
        local = []
        remote = []
        for server in servers:
            if server.entry.data_centre == self._initial_settings.data_centre:
                local.append(server)
            else:
                remote.append(server)
        count = self._selection_settings.near_sample
        if is_first:
            sample = sampling.deterministic_subset(
                self._initial_settings.name, local, count
            )
        else:
            sample = sampling.random_subset(self._random, local, count)
        if include_remote or not sample:
            sample += sampling.random_subset(
                self._random, remote, self._selection_settings.far_sample
            )
        return sample

    async def _probe(
        self,
        request: SelectionRequest,
        *,
        include_remote: bool,
        is_first: bool = False,
    ) -> list[server_selection.Candidate]:
        """Probes a sample of servers; returns those that may be picked now."""
        eligible = self._eligible_servers(request, boot_clock.now())
        sample = self._sample_servers(eligible, include_remote, is_first)
        candidates = []
        for probed_server in await self._prober.probe_servers(
            request.service, sample
        ):
            # The probe may have shown that the server is cold.
            if self._may_send_to(probed_server.listed_server, boot_clock.now()):
                candidates.append(self._make_candidate(probed_server))
        return candidates

    def _make_candidate(
        self, probed_server: load_probes.ProbedServer
    ) -> server_selection.Candidate:
        entry = probed_server.listed_server.entry
        return server_selection.Candidate(
            server=entry.id,
            is_local=entry.data_centre == self._initial_settings.data_centre,
            load=probed_server.load,
            listed_slot_count=entry.slots,
            in_flight_count=probed_server.in_flight,
            penalty_ratio=self._passive_health.penalty_ratio(
                entry.id, boot_clock.now()
            ),
            congestion_ratio=self._passive_health.congestion_ratio(
                entry.service
            ),
        )
