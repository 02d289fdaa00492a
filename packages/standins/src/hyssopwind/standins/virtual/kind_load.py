"""Load of several kinds of requests on the model servers of `site_load`.

Kinds differ in priority, work, latency target and rate, and may be split over
services. Callers retry refused requests at other daemons after the time that a
refusal states. Servers may reject arrivals, be cold, or be evacuated for some
time.
"""

import asyncio
import collections
import dataclasses
import random
import statistics
from collections.abc import Iterable
from collections.abc import Mapping
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.discovery import entries
from hyssopwind.core.discovery import records
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import probe_budgets
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import retry_policy
from hyssopwind.core.dispatch import retry_reserves
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import server_withdrawals
from hyssopwind.core.limits import stated_limits
from hyssopwind.core.routing import splitting
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import load_probes
from hyssopwind.daemon.gateway import permits
from hyssopwind.daemon.gateway import picker
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_load
from hyssopwind.transport import boot_clock

REMOTE_ROUND_TRIP_SECONDS = 0.003
# Between callers and entry VMs, one way.
CALLER_DELAY_SECONDS = 0.004
MAX_ATTEMPTS = 3
CONFIGURATION_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Period:
    """A part of a run.

    Attributes:
        starts_at: seconds from the start of the run.
        ends_at: seconds from the start of the run.
    """

    starts_at: float
    ends_at: float

    def contains(self, elapsed: float) -> bool:
        """Whether a time since the start of the run is in the period."""
        return self.starts_at <= elapsed < self.ends_at


NEVER = Period(0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of requests.

    Attributes:
        name: name of its route.
        priority: priority of its route; 0 is the most urgent.
        parts: services by weight.
        requests_per_second: mean rate of first requests.
        work_seconds: median work of a request.
        latency_target_seconds: latency target of its route.
        timeout_seconds: seconds until a caller gives up.
        burst_factor: factor on the rate in the burst.
        burst: period of the burst.
        max_caller_retries: times that a caller retries after a refusal.
    """

    name: str
    priority: int
    parts: tuple[tables.WeightedService, ...]
    requests_per_second: float
    work_seconds: float
    latency_target_seconds: float
    timeout_seconds: float
    burst_factor: float = 1.0
    burst: Period = NEVER
    max_caller_retries: int = 2

    def make_route(self) -> tables.Route:
        """Returns the route of the kind."""
        return tables.Route(
            self.name,
            "h",
            f"/{self.name}/",
            True,
            self.timeout_seconds,
            self.latency_target_seconds,
            self.priority,
            MAX_ATTEMPTS,
            self.parts,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceFaults:
    """What happens to the servers of a service in a run.

    Attributes:
        rejecting: period in which they reject a share of the arrivals.
        rejected_ratio: that share.
        cold: period in which a share of them is cold.
        cold_ratio: that share.
    """

    rejecting: Period = NEVER
    rejected_ratio: float = 0.55
    cold: Period = NEVER
    cold_ratio: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class KindPlan:
    """Parameters of a run.

    Attributes:
        servers: number of servers of each service.
        kinds: the kinds of requests.
        model: parameters of the servers and daemons.
        data_centre_count: data centres, over which both are spread.
        faults: what happens to the servers, by service.
        evacuated_at: second at which the first data centre is evacuated.
        probes_per_second: probes of one server per second.
        has_priorities: whether the routes have the priorities of the kinds;
            otherwise all have the same, as a baseline.
    """

    servers: Mapping[ids.ServiceId, int]
    kinds: tuple[Kind, ...]
    model: site_load.LoadPlan
    data_centre_count: int = 1
    faults: Mapping[ids.ServiceId, ServiceFaults] = dataclasses.field(
        default_factory=dict
    )
    evacuated_at: float | None = None
    probes_per_second: float = 60.0
    has_priorities: bool = True


@dataclasses.dataclass(slots=True)
class KindCounts:
    """Outcomes of the requests of one kind, counted once for each caller.

    Attributes:
        request_count: number of first requests.
        in_target_count: answered within the latency target.
        late_count: answered after it.
        refused_count: refused, also after the retries of the caller.
        timed_out_count: without an answer when the caller gave up.
        latencies_seconds: seconds from the first request to the answer.
        waits_seconds: seconds for which answered requests waited for a server.
        service_counts: first requests by service.
    """

    request_count: int = 0
    in_target_count: int = 0
    late_count: int = 0
    refused_count: int = 0
    timed_out_count: int = 0
    latencies_seconds: list[float] = dataclasses.field(default_factory=list)
    waits_seconds: list[float] = dataclasses.field(default_factory=list)
    service_counts: "collections.Counter[ids.ServiceId]" = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def in_target_ratio(self) -> float:
        """Share of the requests that were answered within the target."""
        return self.in_target_count / max(1, self.request_count)

    @property
    def served_ratio(self) -> float:
        """Share of the requests that were answered."""
        served_count = self.in_target_count + self.late_count
        return served_count / max(1, self.request_count)

    def wait_percentile(self, percent: int) -> float:
        """Returns a percentile of the waits in seconds."""
        if len(self.waits_seconds) < 2:
            return 0.0
        return statistics.quantiles(self.waits_seconds, n=100)[percent - 1]


@dataclasses.dataclass(slots=True)
class _Call:
    """A request of a caller with its retries.

    Attributes:
        kind: its kind.
        route: its route.
        counts: counts of its kind.
        started_at: monotonic time at which the caller first sent it.
        work_seconds: its work.
    """

    kind: Kind
    route: tables.Route
    counts: KindCounts
    started_at: float
    work_seconds: float


class _RejectingServer(site_load.ModelServer):
    """A model server that rejects a share of the arrivals for some time."""

    def __init__(
        self,
        server: ids.ServerId,
        plan: site_load.LoadPlan,
        faults: ServiceFaults,
        random_source: random.Random,
    ):
        super().__init__(0, plan, random_source)
        self.id = server
        self._faults = faults
        self._arrivals_random = random.Random(random_source.random())
        self._created_at = boot_clock.now()

    async def run(self, work_seconds: float) -> bool:
        """Runs a request; returns whether the server accepted it."""
        elapsed = boot_clock.now() - self._created_at
        if (
            self._faults.rejecting.contains(elapsed)
            and self._arrivals_random.random() < self._faults.rejected_ratio
        ):
            return False
        # Work goes on when its caller has left.
        return await asyncio.shield(
            asyncio.ensure_future(super().run(work_seconds))
        )


class _FixedMemberList(fleet_members.MemberList):
    """The member list of a daemon that knows a fleet of constant size."""

    def __init__(self, daemon: ids.DaemonId, fleet_size: int):
        super().__init__(daemon, "10.0.0.1", site_load.NORTH, boot_clock.now())
        self._constant_size = fleet_size

    def fleet_size(self) -> int:
        """Returns the number of daemons."""
        return self._constant_size


class _Daemon(site_load.ModelDaemon):
    """One daemon with its picker, split and retry budget."""

    def __init__(self, number: int, simulation: "KindSimulation"):
        super().__init__(number, simulation)
        plan = simulation.plan
        self._options = dataclasses.replace(
            self._options,
            data_centre=_data_centre(number % plan.data_centre_count),
        )
        self._member_list = _FixedMemberList(
            self._options.name, plan.model.daemon_count
        )
        own_random = random.Random(f"{plan.model.seed} daemon {number}")
        self.splitter = splitting.Splitter(own_random)
        self.retry_budget = fleet_retry_budgets.FleetRetryBudget(
            fleet_retry_budgets.fleet_retry_settings(
                self._options, tuning.RetryHedgeSettings()
            )
        )
        limits = rate_limits.RateLimits(
            self.catalogue, stated_limits.StatedLimits()
        )
        self.picker = picker.Picker(
            self._options,
            self.catalogue,
            self.passive_health,
            load_probes.LoadProber(
                self.catalogue,
                self.passive_health,
                simulation,  # type: ignore[arg-type]
                self._member_list,
                probe_budgets.ProbeBudget(
                    plan.probes_per_second, boot_clock.now()
                ),
            ),
            limits,
            permits.Permits(
                self._options.name,
                self._member_list,
                self.catalogue,
                limits,
                lambda _message, _ip: None,
                own_random,
            ),
            server_withdrawals.ServerWithdrawals(),
            tuning.SelectionSettings(),
            own_random,
            daemon_count=self._member_list.fleet_size,
        )


class KindSimulation(site_load.LoadSimulation):
    """The servers, daemons and callers of one run.

    Attributes:
        plan: its parameters.
        catalogue: the servers and the configuration.
        servers: the model servers.
        counts: outcomes by the name of the kind.
    """

    def __init__(self, plan: KindPlan):
        self.plan = plan
        model = dataclasses.replace(plan.model, server_count=0, daemon_count=0)
        super().__init__(model, "own counts")
        self._kind_random = random.Random(f"{plan.model.seed} kinds")
        self._entries: list[entries.ServerEntry] = []
        for service, server_count in plan.servers.items():
            for number in range(server_count):
                self._add_server(service, number)
        routes = tuple(kind.make_route() for kind in plan.kinds)
        if not plan.has_priorities:
            routes = tuple(
                dataclasses.replace(route, priority=1) for route in routes
            )
        self._routes = {route.name: route for route in routes}
        self.catalogue.apply_record(
            records.ConfigurationRecord(
                tables.Configuration(
                    CONFIGURATION_VERSION, routes, {}, tables.CallerLimits()
                )
            ),
            boot_clock.now(),
        )
        self.counts = {kind.name: KindCounts() for kind in plan.kinds}
        self._daemons = [
            _Daemon(number, self) for number in range(plan.model.daemon_count)
        ]

    async def probe(
        self, entry: entries.ServerEntry, path: str
    ) -> probe_results.ProbeResult | None:
        """Returns the probe result of a server after a round trip."""
        await asyncio.sleep(site_load.ROUND_TRIP_SECONDS / 2)
        load = self.servers[entry.id].load()
        await asyncio.sleep(site_load.ROUND_TRIP_SECONDS / 2)
        return probe_results.ProbeResult(entry.id, True, load, 0.0)

    async def run_kinds(self) -> Mapping[str, KindCounts]:
        """Runs the simulation and returns the outcomes by kind."""
        plan = self.plan
        generators = [
            asyncio.ensure_future(self._send_calls(kind)) for kind in plan.kinds
        ]
        generators += [
            asyncio.ensure_future(self._chill_servers(service, faults))
            for service, faults in plan.faults.items()
        ]
        if plan.evacuated_at is not None:
            await asyncio.sleep(plan.evacuated_at)
            self.catalogue.apply_record(
                records.EvacuationRecord(_data_centre(0), is_active=True),
                boot_clock.now(),
            )
        await asyncio.gather(*generators)
        return self.counts

    def _add_server(self, service: ids.ServiceId, number: int) -> None:
        plan = self.plan
        server = ids.ServerId(f"{service}-{number}")
        self.servers[server] = _RejectingServer(
            server,
            plan.model,
            plan.faults.get(service, ServiceFaults()),
            random.Random(self._kind_random.random()),
        )
        entry = entries.ServerEntry(
            id=server,
            service=service,
            address="127.0.0.1:80",
            data_centre=_data_centre(number % plan.data_centre_count),
            slots=plan.model.slots_per_server,
            is_draining=False,
            warmup_left_seconds=0.0,
            started_at_ms=1,
        )
        self._entries.append(entry)
        self.catalogue.apply_record(
            records.ServerRecord(entry), boot_clock.now()
        )

    async def _chill_servers(
        self, service: ids.ServiceId, faults: ServiceFaults
    ) -> None:
        """Makes a share of the servers of a service cold for its period."""
        await asyncio.sleep(faults.cold.starts_at)
        of_service = [each for each in self._entries if each.service == service]
        cold_seconds = faults.cold.ends_at - faults.cold.starts_at
        for entry in of_service[: round(faults.cold_ratio * len(of_service))]:
            self.catalogue.apply_record(
                records.ServerRecord(
                    dataclasses.replace(entry, warmup_left_seconds=cold_seconds)
                ),
                boot_clock.now(),
            )

    async def _send_calls(self, kind: Kind) -> None:
        """Sends the requests of all callers of one kind."""
        own_random = random.Random(f"{self.plan.model.seed} {kind.name}")
        started_at = boot_clock.now()
        calls = []
        highest_rate = kind.requests_per_second * max(1.0, kind.burst_factor)
        while True:
            await asyncio.sleep(own_random.expovariate(highest_rate))
            elapsed = boot_clock.now() - started_at
            if elapsed >= self.plan.model.duration_seconds:
                break
            factor = kind.burst_factor if kind.burst.contains(elapsed) else 1.0
            rate = kind.requests_per_second * factor
            if own_random.random() >= rate / highest_rate:
                continue
            work_seconds = kind.work_seconds * own_random.lognormvariate(
                0.0, self.plan.model.work_spread
            )
            call = _Call(
                kind,
                self._routes[kind.name],
                self.counts[kind.name],
                boot_clock.now(),
                work_seconds,
            )
            calls.append(asyncio.ensure_future(self._run_call(call)))
        await asyncio.gather(*calls)

    async def _run_call(self, call: _Call) -> None:
        """Sends one request of a caller, with its retries, and counts it."""
        counts = call.counts
        counts.request_count += 1
        try:
            async with asyncio.timeout(call.kind.timeout_seconds):
                is_served = await self._send_until_served(call)
        except TimeoutError:
            counts.timed_out_count += 1
            return
        if not is_served:
            counts.refused_count += 1
            return
        latency = boot_clock.now() - call.started_at
        counts.latencies_seconds.append(latency)
        if latency <= call.kind.latency_target_seconds:
            counts.in_target_count += 1
        else:
            counts.late_count += 1

    async def _send_until_served(self, call: _Call) -> bool:
        route = call.route
        for number in range(call.kind.max_caller_retries + 1):
            await asyncio.sleep(CALLER_DELAY_SECONDS)
            daemon = self._random.choice(self._daemons)
            is_served = await self._serve(daemon, call, is_first=number == 0)
            await asyncio.sleep(CALLER_DELAY_SECONDS)
            if is_served:
                return True
            retry_after = retry_policy.retry_after_seconds(
                route.latency_target_seconds, self._random.random()
            )
            deadline = call.started_at + route.timeout_seconds
            if retry_after > (deadline - boot_clock.now()) / 3:
                return False
            await asyncio.sleep(retry_after)
        return False

    async def _serve(
        self, daemon: _Daemon, call: _Call, *, is_first: bool
    ) -> bool:
        """Serves a request at a daemon; returns whether it was answered."""
        service = daemon.splitter.choose(call.route.name, call.route.parts)
        received_at = boot_clock.now()
        spent_seconds = 0.0
        if is_first:
            call.counts.service_counts[service] += 1
        else:
            spent_seconds = received_at - call.started_at
        budget = daemon.retry_budget
        priority = priorities.effective_priority(call.route.priority)
        work_seconds = daemon.passive_health.expected_work_seconds(call.route)
        budget.record_request(
            service, received_at, priority, work_seconds, MAX_ATTEMPTS - 1
        )
        is_caller_retry = spent_seconds > retry_policy.CALLER_RETRY_MIN_SECONDS
        demand = retry_reserves.RetryDemand(
            priority, work_seconds, is_caller_retry=is_caller_retry
        )
        tried_servers: set[ids.ServerId] = set()
        while len(tried_servers) < MAX_ATTEMPTS:
            picked = await daemon.picker.pick(
                picker.SelectionRequest(
                    call.route,
                    service,
                    received_at - spent_seconds,
                    call.started_at + call.route.timeout_seconds,
                    frozenset(tried_servers),
                    spent_seconds > retry_policy.CALLER_RETRY_MIN_SECONDS,
                    priorities.effective_priority(call.route.priority),
                )
            )
            if isinstance(picked, server_selection.Refuse):
                return False
            if tried_servers and not budget.try_acquire(
                service,
                boot_clock.now(),
                self.plan.model.daemon_count,
                demand,
            ):
                return False
            tried_servers.add(picked.server)
            call.counts.waits_seconds.append(boot_clock.now() - received_at)
            is_accepted = await self._run_attempt(daemon, picked, call, service)
            budget.record_attempt(service, has_failed=not is_accepted)
            if is_accepted:
                return True
        return False

    async def _run_attempt(
        self,
        daemon: _Daemon,
        picked: server_selection.Send,
        call: _Call,
        service: ids.ServiceId,
    ) -> bool:
        sent_at = boot_clock.now()
        passive_health = daemon.passive_health
        passive_health.record_start(picked.server, sent_at)
        try:
            await asyncio.sleep(
                site_load.ROUND_TRIP_SECONDS
                if picked.is_local
                else REMOTE_ROUND_TRIP_SECONDS
            )
            is_accepted = await self.servers[picked.server].run(
                call.work_seconds
            )
        finally:
            passive_health.record_end(picked.server, sent_at)
        now = boot_clock.now()
        if is_accepted:
            passive_health.record_success(
                call.route,
                picked.server,
                now - sent_at,
                picked.estimated_seconds,
                now,
                service=service,
                is_congested=picked.is_congested,
            )
        listed_server = self.catalogue.find(picked.server)
        if listed_server is not None:
            daemon.picker.handle_answer(
                listed_server.entry, self.servers[picked.server].load()
            )
        return is_accepted


def _data_centre(number: int) -> ids.DataCentreId:
    return ids.DataCentreId(
        site_load.NORTH if number == 0 else f"{site_load.NORTH}-{number}"
    )


def run_plan(plan: KindPlan) -> Mapping[str, KindCounts]:
    """Runs a plan in virtual time; returns the outcomes by kind."""

    async def run() -> Mapping[str, KindCounts]:
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(
            boot_clock, "now", lambda: 100.0 + event_loop.time()
        ):
            return await KindSimulation(plan).run_kinds()

    return loop.run_virtual(run())


def render_rows(
    title: str, results: Iterable[Mapping[str, KindCounts]]
) -> list[str]:
    """Returns a row of a table for each kind, over all runs.

    Args:
        title: text of the second column.
        results: outcomes by kind of each run.
    """
    sums: dict[str, list[KindCounts]] = {}
    for result in results:
        for name, counts in result.items():
            sums.setdefault(name, []).append(counts)
    rows = []
    for name, all_counts in sums.items():
        request_count = sum(c.request_count for c in all_counts)
        ratios = [
            sum(getattr(c, field) for c in all_counts) / max(1, request_count)
            for field in (
                "in_target_count",
                "late_count",
                "refused_count",
                "timed_out_count",
            )
        ]
        waits = [
            statistics.mean(c.wait_percentile(percent) for c in all_counts)
            for percent in (50, 99)
        ]
        cells = [name, title, str(request_count)]
        cells += [f"{ratio:.3f}" for ratio in ratios]
        cells += [f"{1000 * wait:.0f}" for wait in waits]
        rows.append(f"| {' | '.join(cells)} |")
    return rows
