"""A simulation of loaded servers and of daemons that select among them.

The servers have slots and a short queue. They are disturbed (slowed down) by
neighbours, the other VMs on the same host, for 150 ms at a time, and slowed
down by congestion when nearly full. The daemons run the gateway's picker; the
other policies are baselines. Everything runs in virtual time from a seed.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import registry
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.discovery import records
from hyssopwind.core.dispatch import probe_budgets
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import server_withdrawals
from hyssopwind.core.limits import stated_limits
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import load_probes
from hyssopwind.daemon.gateway import permits
from hyssopwind.daemon.gateway import picker
from hyssopwind.platform import boot
from hyssopwind.standins.site import documents
from hyssopwind.transport import boot_clock

SERVICE = ids.ServiceId("s")
NORTH = ids.DataCentreId("north")
ROUND_TRIP_SECONDS = 0.0006  # within a data centre
SEND_AT_ONCE_FACTOR = 100.0  # makes any server good enough


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a simulation.

    Attributes:
        server_count: number of servers.
        slots_per_server: slots of each server.
        queue_length: number of requests that a server queues; more are refused.
        daemon_count: number of daemons.
        median_work_seconds: median work of a request in seconds.
        work_spread: standard deviation of the logarithm of the work.
        latency_target_seconds: latency target in seconds.
        timeout_seconds: seconds until a caller gives up.
        requests_per_second: requests per second.
        burst_factor: factor on the rate in the middle third of the run.
        duration_seconds: duration of the run.
        disturbed_ratio: mean share of the time for which a server is disturbed.
        disturbance_factor: factor on the work time while a server is disturbed.
        congestion_factor: factor on the work time while a server is congested.
        seed: seed of all random choices.
    """

    server_count: int = 9
    slots_per_server: int = 4
    queue_length: int = 8
    daemon_count: int = 15
    median_work_seconds: float = 0.22
    work_spread: float = 0.3
    latency_target_seconds: float = 0.6
    timeout_seconds: float = 1.2
    requests_per_second: float = 40.0
    burst_factor: float = 1.0
    duration_seconds: float = 9.0
    disturbed_ratio: float = 0.25
    disturbance_factor: float = 5.0
    congestion_factor: float = 1.7
    seed: int = 1


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of the requests of a run.

    Attributes:
        request_count: number of requests.
        in_target_count: number of requests answered within the latency target.
        late_count: number of requests answered after the latency target.
        refused_count: number of requests refused by the daemon or the server.
        timed_out_count: number of requests that timed out.
        latencies_seconds: seconds until an answer or a server's refusal.
    """

    request_count: int = 0
    in_target_count: int = 0
    late_count: int = 0
    refused_count: int = 0
    timed_out_count: int = 0
    latencies_seconds: list[float] = dataclasses.field(default_factory=list)

    def ratio(self, count: int) -> float:
        """Returns a count as a share of all requests."""
        return count / max(1, self.request_count)


class ModelServer:
    """A server with slots, a queue, and random disturbances."""

    def __init__(
        self, number: int, plan: LoadPlan, random_source: random.Random
    ):
        self.id = ids.ServerId(f"i-{number}")
        self._plan = plan
        self._random = random_source
        self._running = 0
        self._queue: list[asyncio.Future[None]] = []
        self._is_disturbed = False
        self._disturbance_drawn_at = boot_clock.now()

    def load(self) -> probe_results.Load:
        """Returns the current load."""
        return probe_results.Load(
            self._running,
            len(self._queue),
            self._plan.slots_per_server,
            self._slowdown_factor(),
        )

    async def run(self, work_seconds: float) -> bool:
        """Runs a request; returns whether the server accepted it."""
        if self._running >= self._plan.slots_per_server:
            if len(self._queue) >= self._plan.queue_length:
                return False
            free_slot = asyncio.get_running_loop().create_future()
            self._queue.append(free_slot)
            await free_slot
        self._running += 1
        occupancy = self._running / self._plan.slots_per_server
        congestion_factor = (
            self._plan.congestion_factor
            if occupancy > server_selection.CONGESTED_SLOT_RATIO
            else 1.0
        )
        try:
            await asyncio.sleep(
                work_seconds * self._slowdown_factor() * congestion_factor
            )
        finally:
            self._running -= 1
            if self._queue:
                self._queue.pop(0).set_result(None)
        return True

    def _slowdown_factor(self) -> float:
        now = boot_clock.now()
        period_seconds = 0.15  # between changes of the disturbance
        while now - self._disturbance_drawn_at >= period_seconds:
            self._disturbance_drawn_at += period_seconds
            self._is_disturbed = (
                self._random.random() < self._plan.disturbed_ratio
            )
        return self._plan.disturbance_factor if self._is_disturbed else 1.0


class _ModelProbeClient:
    """Probes model servers."""

    def __init__(self, servers: dict[ids.ServerId, ModelServer]):
        self._servers = servers

    async def probe(
        self, entry: entries.ServerEntry, path: str
    ) -> probe_results.ProbeResult | None:
        """Returns the probe result of a server after a round trip."""
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        load = self._servers[entry.id].load()
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        return probe_results.ProbeResult(entry.id, True, load, 0.0)


Pick: TypeAlias = Callable[
    [picker.SelectionRequest],
    Coroutine[Any, Any, server_selection.Send | server_selection.Refuse],
]
MakePick: TypeAlias = Callable[["ModelDaemon"], Pick]

POLICIES: "registry.Registry[str, MakePick]" = registry.Registry("policy")


class ModelDaemon:
    """One daemon with its passive health data."""

    def __init__(self, number: int, simulation: "LoadSimulation"):
        self.passive_health = server_health.PassiveHealth()
        self.catalogue = simulation.catalogue
        self._simulation = simulation
        text = documents.render_settings(
            store_address="10.9.9.9:1", ports=[1, 2, 3, 4], name=f"d-{number}"
        )
        self._options = boot.parse_settings(text, "model")
        self._member_list = fleet_members.MemberList(
            self._options.name, "10.0.0.1", NORTH, boot_clock.now()
        )

    def make_picker(
        self, selection_settings: tuning.SelectionSettings
    ) -> picker.Picker:
        """Returns a picker of the gateway for this daemon."""
        load_prober = load_probes.LoadProber(
            self.catalogue,
            self.passive_health,
            _ModelProbeClient(self._simulation.servers),  # type: ignore[arg-type]
            self._member_list,
            probe_budgets.ProbeBudget(60.0, boot_clock.now()),
        )
        limits = rate_limits.RateLimits(
            self.catalogue, stated_limits.StatedLimits()
        )
        return picker.Picker(
            self._options,
            self.catalogue,
            self.passive_health,
            load_prober,
            limits,
            permits.Permits(
                self._options.name,
                self._member_list,
                self.catalogue,
                limits,
                lambda _message, _ip: None,
                random.Random(),
            ),
            server_withdrawals.ServerWithdrawals(),
            selection_settings,
            random.Random(),
        )


@POLICIES.register("own counts")
def make_own_counts(daemon: ModelDaemon) -> Pick:
    """Returns a function that picks by the daemon's own requests in flight."""
    random_source = random.Random(1)

    async def pick(
        selection_request: picker.SelectionRequest,
    ) -> server_selection.Send | server_selection.Refuse:
        usable_servers = list(
            daemon.catalogue.usable_servers(SERVICE, boot_clock.now())
        )
        best = min(
            usable_servers,
            key=lambda listed_server: (
                daemon.passive_health.in_flight_count(listed_server.entry.id),
                random_source.random(),
            ),
        )
        return server_selection.Send(
            best.entry.id, selection_request.route.latency_target_seconds
        )

    return pick


@POLICIES.register("ask, send at once")
def make_send_at_once(daemon: ModelDaemon) -> Pick:
    """Returns a function that picks the best probed server, good or not."""
    selection_settings = tuning.SelectionSettings(
        good_factor=SEND_AT_ONCE_FACTOR
    )
    return daemon.make_picker(selection_settings).pick


@POLICIES.register("ask, wait for a good server")
def make_wait_for_good_server(daemon: ModelDaemon) -> Pick:
    """Returns a function that waits for a good server while time is left."""
    return daemon.make_picker(tuning.SelectionSettings()).pick


class LoadSimulation:
    """The servers, daemons and callers of one run."""

    def __init__(self, plan: LoadPlan, policy: str):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self.catalogue = catalogue.Catalogue()
        self.servers: dict[ids.ServerId, ModelServer] = {}
        for number in range(plan.server_count):
            server_random = random.Random(self._random.random())
            server = ModelServer(number, plan, server_random)
            self.servers[server.id] = server
            self.catalogue.apply_record(
                _record(server.id, plan), boot_clock.now()
            )
        self._route = tables.Route(
            "r",
            "h",
            "/",
            True,
            plan.timeout_seconds,
            plan.latency_target_seconds,
            0,
            1,
            (),
        )
        daemons = [ModelDaemon(n, self) for n in range(plan.daemon_count)]
        make_pick = POLICIES.find(policy)
        self._picks = [(daemon, make_pick(daemon)) for daemon in daemons]
        self.outcome_counts = OutcomeCounts()

    async def run(self) -> OutcomeCounts:
        """Runs the simulation and returns the outcomes of its requests."""
        plan = self._plan
        started_at = boot_clock.now()
        tasks = []
        while (
            elapsed := boot_clock.now() - started_at
        ) < plan.duration_seconds:
            is_burst = (
                plan.duration_seconds / 3
                <= elapsed
                < 2 * plan.duration_seconds / 3
            )
            rate = plan.requests_per_second * (
                plan.burst_factor if is_burst else 1.0
            )
            await asyncio.sleep(self._random.expovariate(rate))
            tasks.append(asyncio.ensure_future(self._run_request()))
        await asyncio.gather(*tasks)
        return self.outcome_counts

    async def _run_request(self) -> None:
        plan, counts = self._plan, self.outcome_counts
        counts.request_count += 1
        arrived_at = boot_clock.now()
        daemon, pick = self._random.choice(self._picks)
        work_seconds = plan.median_work_seconds * self._random.lognormvariate(
            0.0, plan.work_spread
        )
        selection_request = picker.SelectionRequest(
            self._route,
            SERVICE,
            arrived_at,
            arrived_at + plan.timeout_seconds,
            frozenset(),
            False,
        )
        try:
            async with asyncio.timeout(plan.timeout_seconds):
                picked = await pick(selection_request)
                if isinstance(picked, server_selection.Refuse):
                    counts.refused_count += 1
                    return
                is_accepted = await self._send(daemon, picked, work_seconds)
        except TimeoutError:
            counts.timed_out_count += 1
            return
        latency = boot_clock.now() - arrived_at
        if not is_accepted:
            counts.refused_count += 1
        elif latency <= plan.latency_target_seconds:
            counts.in_target_count += 1
        else:
            counts.late_count += 1
        counts.latencies_seconds.append(latency)

    async def _send(
        self,
        daemon: ModelDaemon,
        picked: server_selection.Send,
        work_seconds: float,
    ) -> bool:
        sent_at = boot_clock.now()
        passive_health = daemon.passive_health
        passive_health.record_start(picked.server, sent_at)
        try:
            await asyncio.sleep(ROUND_TRIP_SECONDS)
            is_accepted = await self.servers[picked.server].run(work_seconds)
        finally:
            passive_health.record_end(picked.server, sent_at)
        if is_accepted:
            passive_health.record_success(
                self._route,
                picked.server,
                boot_clock.now() - sent_at,
                picked.estimated_seconds,
                boot_clock.now(),
                service=SERVICE,
                is_congested=picked.is_congested,
            )
        return is_accepted


def _record(server: ids.ServerId, plan: LoadPlan) -> records.ServerRecord:
    return records.ServerRecord(
        entries.ServerEntry(
            id=server,
            service=SERVICE,
            address="127.0.0.1:80",
            data_centre=NORTH,
            slots=plan.slots_per_server,
            is_draining=False,
            warmup_left_seconds=0.0,
            started_at_ms=1,
        )
    )
