"""Picks the server of a request by the load that probes report."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.dispatch import late_work
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import priority_classes
from hyssopwind.core.dispatch import priority_decisions
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import sampling
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.dispatch import server_reachability
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.dispatch import settings
from hyssopwind.core.dispatch import slot_reserves
from hyssopwind.core.dispatch import waiting_order
from hyssopwind.core.limits import permit_issuer
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import request_limits
from hyssopwind.core.limits import server_withdrawals
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import load_probes
from hyssopwind.daemon.gateway import permits
from hyssopwind.daemon.gateway import waiting_lines
from hyssopwind.transport import boot_clock

# Longest time for which the denial of a permit is relied on.
MAX_DENIAL_SECONDS = 1.0
# Ratio of the latency target over which the ends of a quiet are spread.
QUIET_END_SPREAD_RATIO = 0.5
_log = logbook.Logger("selection")
_UNREACHABLE = server_selection.Refuse("no server can be reached")
_OVERFULL = server_selection.Refuse("too many requests wait for a server")
_TOO_LATE = server_selection.Refuse("late work is not sent before its deadline")


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
        priority: its priority, by its route and its tenant.
        persists: whether it waits although the line is too long, rather than
            being refused, as long as its target can still be met.
    """

    route: tables.Route
    service: ids.ServiceId
    arrived_at: float
    deadline: float
    tried_servers: frozenset[ids.ServerId]
    is_caller_retry: bool
    priority: priorities.Priority = priorities.Priority(0)
    persists: bool = False


@dataclasses.dataclass(slots=True)
class _Search:
    """The search of one request for a server.

    Attributes:
        includes_remote: whether remote servers are probed too.
        is_first_round: whether no server has been probed yet.
        probe_count: number of servers that answered in the last round.
        answered_server: a server that has just answered another request.
        is_held_back: whether the last round found free slots that are left to
            more urgent requests.
        is_late: whether the request waits as late work.
    """

    includes_remote: bool = False
    is_first_round: bool = True
    probe_count: int = 0
    answered_server: ids.ServerId | None = None
    is_held_back: bool = False
    is_late: bool = False


class Picker:
    """Picks servers by their load, which it probes for each request.

    Attributes:
        priority_decisions: what the priorities of requests changed.
    """

    def __init__(
        self,
        initial_settings: settings.GatewaySettings,
        server_catalogue: catalogue.Catalogue,
        passive_health: server_health.PassiveHealth,
        prober: load_probes.LoadProber,
        limits: rate_limits.RateLimits,
        server_permits: permits.Permits,
        withdrawals: server_withdrawals.ServerWithdrawals,
        selection_settings: tuning.SelectionSettings,
        random_source: random.Random,
        reachability: Callable[[], server_reachability.Reachability] = (
            lambda: server_reachability.Reachability.REACHABLE
        ),
        daemon_count: Callable[[], int] = lambda: 1,
    ):
        self._reachability = reachability
        self._initial_settings = initial_settings
        self._catalogue = server_catalogue
        self._passive_health = passive_health
        self._prober = prober
        self._limits = limits
        self._permits = server_permits
        self._withdrawals = withdrawals
        self._selection_settings = selection_settings
        # Times until which servers with limits have no permits, by server and
        # for all of a service.
        self._no_permit_until: dict[ids.InstanceId, float] = {}
        self._service_no_permit_until: dict[ids.ServiceId, float] = {}
        self._random = random_source
        self._lines: dict[ids.ServiceId, waiting_lines.WaitingLine] = {}
        self._daemon_count = daemon_count
        self._started_at = boot_clock.now()
        self._priority_classes = priority_classes.PriorityClasses()
        self.priority_decisions = priority_decisions.PriorityDecisions()
        # Of the services whose requests differ in priority.
        self._demands: dict[ids.ServiceId, slot_reserves.ServiceDemand] = {}
        self._late_work: dict[ids.ServiceId, late_work.LateWork] = {}

    def handle_answer(
        self, entry: entries.ServerEntry, load: probe_results.Load | None
    ) -> None:
        """Handles an answer to a request, after which a slot may be free."""
        if load is not None:
            self._prober.record_answer_load(entry.id, load, boot_clock.now())
        line = self._lines.get(entry.service)
        if line is not None:
            line.handle_answer(None if load is None else entry.id)

    async def pick(
        self, request: SelectionRequest
    ) -> server_selection.Send | server_selection.Refuse:
        """Returns the server for a request, or the reason that there is none.

        Waits and probes again as long as the answer can still be in time. The
        request counts as sent to the server that is returned.
        """
        demand = self._find_demand(request)
        search = _Search()
        if demand is None:
            is_sent = False
            try:
                decision = await self._pick(
                    request, waiting_order.UNRANKED, search
                )
                is_sent = isinstance(decision, server_selection.Send)
                return decision
            finally:
                # A new configuration may have made it late work.
                self._end_late_work(request, search, is_sent=is_sent)
        priority = request.priority
        now = boot_clock.now()
        if not request.tried_servers:
            work_seconds = self._passive_health.expected_work_seconds(
                request.route
            )
            demand.record_arrival(priority, work_seconds, now)
        line = self._find_line(request)
        if demand.is_starved(priority, now):
            line.grant_turn(priority)
        rank = waiting_order.Rank(
            priority,
            is_new=not (request.tried_servers or request.is_caller_retry),
        )
        is_sent = False
        try:
            decision = await self._pick(request, rank, search)
            is_sent = isinstance(decision, server_selection.Send)
            return decision
        finally:
            now = boot_clock.now()
            demand.record_end(priority, now, is_sent=is_sent)
            self._end_late_work(request, search, is_sent=is_sent)
            if is_sent and demand.is_starved(priority, now):
                line.grant_turn(priority)

    async def _pick(
        self,
        request: SelectionRequest,
        rank: waiting_order.Rank,
        search: _Search,
    ) -> server_selection.Send | server_selection.Refuse:
        """Returns the server for a request of a rank in the waiting line."""
        line = self._find_line(request)
        place: waiting_lines.Place | None = None
        try:
            while True:
                refusal = self._refuse_at_once(request)
                if refusal is not None:
                    return refusal
                if self._needs_permit(request, boot_clock.now()):
                    selected = await self._wait_for_permit(request)
                    if selected is None:
                        continue
                    return selected
                may_wait = True
                if self._is_late(request):
                    if place is not None:
                        line.leave(place)
                        place = None
                    may_wait = self._can_send_late(request, search)
                    if not may_wait and line.has_waiting:
                        return _TOO_LATE
                useful_seconds = self._useful_wait_seconds(request)
                wait_step = self._selection_settings.wait_step
                is_behind = (
                    line.has_before(rank)
                    if place is None
                    else place.is_overtaken
                )
                decision = (
                    server_selection.Wait(wait_step)
                    if is_behind and useful_seconds > wait_step
                    else await self._run_round(request, search)
                )
                if decision is None:
                    continue
                if not isinstance(decision, server_selection.Wait):
                    return decision
                if not may_wait:
                    return _TOO_LATE
                useful_seconds = self._useful_wait_seconds(request)
                if useful_seconds <= decision.seconds:
                    # Its answer would be late; requests in the line come first.
                    if place is not None:
                        line.leave(place)
                        place = None
                    if self._is_overfull(line, request, rank):
                        return _OVERFULL
                    await asyncio.sleep(decision.seconds)
                    continue
                if place is None:
                    if not request.persists and not line.has_room(
                        useful_seconds, rank
                    ):
                        return _OVERFULL
                    place = line.join(rank)
                if search.is_held_back:
                    line.hold_back(place)
                search.answered_server = await place.wait(
                    max(decision.seconds, useful_seconds - decision.seconds)
                    if place.first_since is None
                    else max(
                        decision.seconds,
                        self._prober.pause_seconds(search.probe_count),
                    )
                )
        finally:
            if place is not None:
                line.leave(place)

    def _refuse_at_once(
        self, request: SelectionRequest
    ) -> server_selection.Refuse | None:
        """Returns a refusal if no server can or may be sent to now."""
        state = self._reachability()
        if state is server_reachability.Reachability.CUT_OFF:
            return _UNREACHABLE
        now = boot_clock.now()
        quiet_ends_at = self._quiet_end(request, now)
        if quiet_ends_at is not None:
            return self._refuse_until(quiet_ends_at, request, now)
        return None

    async def _run_round(
        self, request: SelectionRequest, search: "_Search"
    ) -> (
        server_selection.Send
        | server_selection.Wait
        | server_selection.Refuse
        | None
    ):
        """Probes servers, if none has just answered, and decides.

        Returns:
            The decision; `None` if the next round must follow at once.
        """
        answered_server = search.answered_server
        search.answered_server = None
        must_yield = self._must_yield(request)
        candidates: list[server_selection.Candidate] = []
        if must_yield:
            search.probe_count = 0
        elif answered_server is None:
            candidates = await self._probe(
                request,
                include_remote=search.includes_remote,
                is_first=search.is_first_round,
            )
            search.is_first_round = False
            search.probe_count = len(candidates)
        else:
            candidates = self._find_answered(request, answered_server)
        marked = self._leave_reserve(candidates, request)
        search.is_held_back = any(
            candidate.is_reserved and candidate.has_free_slot
            for candidate in marked
        )
        decision = server_selection.decide(
            marked,
            self._request_timing(request, boot_clock.now()),
            self._selection_settings,
            has_probed_remote=search.includes_remote or must_yield,
            may_congest=self._may_congest(request),
        )
        if isinstance(decision, server_selection.ProbeRemote):
            search.includes_remote = True
            return None
        if isinstance(decision, server_selection.Wait):
            if not candidates and self._is_unreachable():
                return _UNREACHABLE
            return decision
        if isinstance(decision, server_selection.Refuse):
            return dataclasses.replace(decision, answered_count=len(candidates))
        if self._must_yield(request):
            # Another request has joined the line during the probes.
            return None
        if not await self._try_reserve(decision.server, request):
            return None
        if decision.is_congested and self._may_congest(request):
            self._record_decision(
                request,
                priority_decisions.Decision.USED_RESERVE,
                offered_load=0.0,
                waited_seconds=decision.waited_seconds,
            )
        return decision

    def _find_answered(
        self, request: SelectionRequest, server: ids.ServerId
    ) -> list[server_selection.Candidate]:
        """Returns a server that has just answered, if it may be picked."""
        for listed_server in self._eligible_servers(request, boot_clock.now()):
            if listed_server.entry.id != server:
                continue
            return [
                self._make_candidate(probed_server)
                for probed_server in self._prober.find_recent(listed_server)
            ]
        return []

    def _find_line(
        self, request: SelectionRequest
    ) -> waiting_lines.WaitingLine:
        return self._lines.setdefault(
            request.service, waiting_lines.WaitingLine()
        )

    def _find_late_work(self, request: SelectionRequest) -> late_work.LateWork:
        return self._late_work.setdefault(request.service, late_work.LateWork())

    def _is_late(self, request: SelectionRequest) -> bool:
        """Whether a request is late at a service with several priorities."""
        if self._find_demand(request) is None:
            return False
        return slot_reserves.is_late(
            self._request_timing(request, boot_clock.now())
        )

    def _must_yield(self, request: SelectionRequest) -> bool:
        """Whether a request is late while others can still be in target.

        Requests leave the line before they are late.
        """
        return self._find_line(request).has_waiting and self._is_late(request)

    def _can_send_late(
        self, request: SelectionRequest, search: _Search
    ) -> bool:
        """Whether a late request will be sent before its deadline."""
        now = boot_clock.now()
        of_service = self._find_late_work(request)
        if not search.is_late:
            search.is_late = True
            of_service.add(now)
        return of_service.can_be_sent(self._request_timing(request, now), now)

    def _end_late_work(
        self, request: SelectionRequest, search: _Search, *, is_sent: bool
    ) -> None:
        if search.is_late:
            self._find_late_work(request).remove(
                boot_clock.now(), is_sent=is_sent
            )

    def _find_demand(
        self, request: SelectionRequest
    ) -> slot_reserves.ServiceDemand | None:
        """Returns the demand of a service whose requests differ in priority."""
        in_force = self._priority_classes.of_service(
            request.service, self._catalogue.configuration
        )
        if len(in_force) < 2:
            return None
        demand = self._demands.setdefault(
            request.service, slot_reserves.ServiceDemand()
        )
        demand.drop_except(in_force)
        return demand

    def _leave_reserve(
        self,
        candidates: list[server_selection.Candidate],
        request: SelectionRequest,
    ) -> list[server_selection.Candidate]:
        """Returns the servers, marked where slots are left to urgent ones."""
        demand = self._find_demand(request)
        if demand is None:
            return candidates
        now = boot_clock.now()
        priority = request.priority
        offered_load = 0.0
        if not demand.is_starved(priority, now):
            usable_servers = self._catalogue.usable_servers(
                request.service, now
            )
            shape = slot_reserves.make_fleet_shape(
                self._daemon_count(),
                sum(1 for _ in usable_servers),
                now - self._started_at,
            )
            offered_load = demand.offered_load(priority, shape, now)
        timing = self._request_timing(request, now)
        good_factor = self._selection_settings.good_factor
        marked = [
            slot_reserves.mark_reserved(
                candidate, timing, offered_load, good_factor
            )
            for candidate in candidates
        ]
        if any(candidate.is_reserved for candidate in marked):
            self._record_decision(
                request,
                priority_decisions.Decision.LEFT_SLOTS,
                offered_load=offered_load,
                waited_seconds=timing.waited_seconds,
            )
        return marked

    def _record_decision(
        self,
        request: SelectionRequest,
        decision: priority_decisions.Decision,
        *,
        offered_load: float,
        waited_seconds: float,
    ) -> None:
        count = self.priority_decisions.record(
            request.service, request.priority, decision, boot_clock.now()
        )
        if not count:
            return
        _log.info(
            "selection by priority",
            extra={
                "service": request.service,
                "priority": request.priority,
                "decision": decision.value,
                "count": count,
                "urgent_per_server": round(offered_load, 3),
                "waited_ms": round(waited_seconds * 1000),
            },
        )

    def _may_congest(self, request: SelectionRequest) -> bool:
        """Whether other requests leave slots to a request."""
        demand = self._find_demand(request)
        return demand is not None and demand.has_less_urgent(request.priority)

    def _is_overfull(
        self,
        line: waiting_lines.WaitingLine,
        request: SelectionRequest,
        rank: waiting_order.Rank,
    ) -> bool:
        """Whether even a request that has just arrived would wait too long."""
        timing = self._request_timing(request, boot_clock.now())
        return not line.has_room(
            server_selection.max_useful_wait_seconds(
                dataclasses.replace(timing, waited_seconds=0.0),
                self._selection_settings,
            ),
            rank,
        )

    def _useful_wait_seconds(self, request: SelectionRequest) -> float:
        """Returns for how long a request may wait and still meet its target."""
        return server_selection.max_useful_wait_seconds(
            self._request_timing(request, boot_clock.now()),
            self._selection_settings,
        )

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
                self._leave_reserve(candidates, request),
                timing,
                self._selection_settings,
                has_probed_remote=False,
            )
            if not isinstance(decision, server_selection.Send):
                continue
            if self._must_yield(request):
                return None
            if await self._try_reserve(decision.server, request):
                return decision
        return None

    def expected_work_seconds(self, route: tables.Route) -> float:
        """Returns the expected seconds of work on a route without slowdown."""
        return self._passive_health.expected_work_seconds(route)

    def check_server(self, server: ids.ServerId) -> None:
        """Probes a server at which a request takes longer than expected."""
        listed_server = self._catalogue.find(server)
        if listed_server is not None:
            self._prober.check_server(listed_server)

    def _is_unreachable(self) -> bool:
        """Whether new connections fail, so that a wait cannot help."""
        state = self._reachability()
        return state is not server_reachability.Reachability.REACHABLE

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

    def _quiet_end(self, request: SelectionRequest, now: float) -> float | None:
        """Returns when a server may get requests if none may until then."""
        ends_at = None
        for listed_server in self._catalogue.usable_servers(
            request.service, now
        ):
            if not self._is_in_allowed_region(request.route, listed_server):
                continue
            instance = listed_server.entry.instance
            if self._withdrawals.is_leaving(instance):
                continue
            quiet_until = self._withdrawals.quiet_until(instance)
            if quiet_until <= now:
                return None
            ends_at = min(quiet_until, ends_at or quiet_until)
        return ends_at

    def _refuse_until(
        self, ends_at: float, request: SelectionRequest, now: float
    ) -> server_selection.Refuse:
        # Spreads the callers of all daemons, whose servers' quiet may end at
        # the same time.
        spread_seconds = QUIET_END_SPREAD_RATIO * (
            request.route.latency_target_seconds
        )
        return server_selection.Refuse(
            "all servers want no requests for some time",
            retry_after_seconds=ends_at
            - now
            + self._random.uniform(0.0, spread_seconds),
        )

    def _needs_permit(self, request: SelectionRequest, now: float) -> bool:
        """Whether only servers without permits are left for a request."""
        if self._eligible_servers(request, now):
            return False
        return bool(self._limited_servers(request, now))

    async def _wait_for_permit(
        self, request: SelectionRequest
    ) -> server_selection.Send | server_selection.Refuse | None:
        """Waits for the next permit of any server with a limit.

        Returns `None` if the server has been removed meanwhile.
        """
        now = boot_clock.now()
        timing = self._request_timing(request, now)
        listed_servers = self._limited_servers(request, now)
        result = await self._permits.acquire(
            permit_issuer.PermitDemand(
                request.service,
                [self._make_permit_candidate(s, now) for s in listed_servers],
                server_selection.max_permit_wait_seconds(
                    timing, self._selection_settings
                ),
                timing.remaining_seconds,
            )
        )
        if isinstance(result, permit_issuer.Denial):
            self._record_denial(request.service, result)
            return server_selection.Refuse(
                "all servers are at their stated limits",
                retry_after_seconds=result.return_after_seconds,
            )
        await asyncio.sleep(result.delay_seconds)
        for listed_server in listed_servers:
            if listed_server.entry.instance != result.instance:
                continue
            server = listed_server.entry.id
            if not self._record_sent(server):
                return None
            timing = self._request_timing(request, boot_clock.now())
            return server_selection.Send(
                server,
                timing.work_seconds,
                is_local=self._is_local(listed_server),
                waited_seconds=timing.waited_seconds,
            )
        return None

    async def _try_reserve(
        self, server: ids.ServerId, request: SelectionRequest
    ) -> bool:
        """Records a request to a server, if the server still accepts it."""
        now = boot_clock.now()
        listed_server = self._catalogue.find(server)
        if listed_server is None:
            return False
        if self._limits.find(listed_server, now) is not None:
            result = await self._permits.acquire(
                permit_issuer.PermitDemand(
                    request.service,
                    [self._make_permit_candidate(listed_server, now)],
                    0.0,
                    0.0,
                )
            )
            if isinstance(result, permit_issuer.Denial):
                self._record_denial(request.service, result)
                return False
        return self._record_sent(server)

    def _record_sent(self, server: ids.ServerId) -> bool:
        """Records a request to a server, if the server may receive it now."""
        now = boot_clock.now()
        listed_server = self._catalogue.find(server)
        if listed_server is None or not self._catalogue.may_send(server, now):
            return False
        if not self._withdrawals.may_send(listed_server.entry.instance, now):
            return False
        self._prober.record_sent(server, now)
        return True

    def _make_permit_candidate(
        self, listed_server: catalogue.ListedServer, now: float
    ) -> permit_issuer.Candidate:
        instance = listed_server.entry.instance
        limit = self._limits.find(listed_server, now)
        if limit is None:
            limit = request_limits.RateLimit(0.0, 1.0)
        return permit_issuer.Candidate(instance, limit)

    def _record_denial(
        self, service: ids.ServiceId, denial: permit_issuer.Denial
    ) -> None:
        """Records until when servers have no permits."""
        now = boot_clock.now()
        self._service_no_permit_until[service] = now + min(
            denial.service_wait_seconds, MAX_DENIAL_SECONDS
        )
        for instance, wait_seconds in denial.wait_seconds.items():
            self._no_permit_until[instance] = now + min(
                wait_seconds, MAX_DENIAL_SECONDS
            )
        if len(self._no_permit_until) > 10_000:  # servers; twice the most
            self._no_permit_until.clear()

    def _limited_servers(
        self, request: SelectionRequest, now: float
    ) -> list[catalogue.ListedServer]:
        """Returns the usable servers with limits, the preferred ones first."""
        limited = []
        for listed_server in self._catalogue.usable_servers(
            request.service, now
        ):
            entry = listed_server.entry
            if entry.id in request.tried_servers:
                continue
            if not self._is_in_allowed_region(request.route, listed_server):
                continue
            if self._limits.find(listed_server, now) is None:
                continue
            if not self._withdrawals.may_send(entry.instance, now):
                continue
            limited.append(listed_server)
        self._random.shuffle(limited)
        limited.sort(
            key=lambda each: (
                self._passive_health.is_ejected(each.entry.id, now),
                not self._is_local(each),
            )
        )
        return limited[: permits.MAX_CANDIDATES]

    def _is_local(self, listed_server: catalogue.ListedServer) -> bool:
        own_data_centre = self._initial_settings.data_centre
        return listed_server.entry.data_centre == own_data_centre

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
        """Whether a server accepts requests and may have a permit for one."""
        instance = listed_server.entry.instance
        if not self._withdrawals.may_send(instance, now):
            return False
        no_permit_until = max(
            self._no_permit_until.get(instance, now),
            self._service_no_permit_until.get(listed_server.entry.service, now),
        )
        if now >= no_permit_until:
            return True
        return self._limits.find(listed_server, now) is None

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
        probed_servers = await self._prober.probe_servers(
            request.service,
            sample,
            load_probes.PROBE_RESULT_LIFETIME_SECONDS
            if is_first
            else load_probes.LINE_RESULT_LIFETIME_SECONDS,
        )
        # Equally good servers get the same number of requests.
        self._random.shuffle(probed_servers)
        for probed_server in probed_servers:
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
