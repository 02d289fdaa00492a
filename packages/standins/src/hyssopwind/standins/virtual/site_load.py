"""A simulation of loaded servers and of daemons that select among them.

The servers have slots and a short queue. They are slowed down by neighbours on
the same host, for 150 ms at a time, and by congestion when nearly full. The
daemons run the gateway's picker; the other policies are baselines. Everything
runs in virtual time from a seed.
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
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import probing
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.dispatch import server_selection
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import load_probes
from hyssopwind.daemon.gateway import picker
from hyssopwind.platform import boot
from hyssopwind.standins.site import documents
from hyssopwind.transport import clock

SERVICE = ids.ServiceId("s")
NORTH = ids.DataCentreId("north")
ROUND_TRIP = 0.0006  # within a data centre
SEND_AT_ONCE_FACTOR = 100.0  # makes any server good enough


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a simulation.

    Attributes:
        servers: number of servers.
        slots: slots of each server.
        queue: number of requests that a server queues; more are refused.
        daemons: number of daemons.
        work: median work of a request in seconds.
        spread: standard deviation of the logarithm of the work.
        target: latency target in seconds.
        timeout: seconds until a caller gives up.
        rate: requests per second.
        burst: factor on the rate in the middle third of the run.
        seconds: duration of the run.
        disturbed: share of the time for which a server is disturbed.
        disturbance: factor on the work time while a server is disturbed.
        crowding: factor on the work time while a server is congested.
        seed: seed of all random choices.
    """

    servers: int = 9
    slots: int = 4
    queue: int = 8
    daemons: int = 15
    work: float = 0.22
    spread: float = 0.3
    target: float = 0.6
    timeout: float = 1.2
    rate: float = 40.0
    burst: float = 1.0
    seconds: float = 9.0
    disturbed: float = 0.25
    disturbance: float = 5.0
    crowding: float = 1.7
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Tally:
    """Outcomes of the requests of a run.

    Attributes:
        asked: number of requests.
        in_target: number of requests answered within the latency target.
        late: number of requests answered after the latency target.
        refused: number of requests refused by the daemon or the server.
        failed: number of requests that timed out.
        latencies: seconds until an answer or a server's refusal.
    """

    asked: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latencies: list[float] = dataclasses.field(default_factory=list)

    def share(self, count: int) -> float:
        """Returns a count as a share of all requests."""
        return count / max(1, self.asked)


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
        self._disturbance_drawn_at = clock.now()

    def load(self) -> probe_results.Load:
        """Returns the current load."""
        return probe_results.Load(
            self._running,
            len(self._queue),
            self._plan.slots,
            self._slowdown_factor(),
        )

    async def run(self, work: float) -> bool:
        """Runs a request; returns whether the server accepted it."""
        if self._running >= self._plan.slots:
            if len(self._queue) >= self._plan.queue:
                return False
            turn = asyncio.get_running_loop().create_future()
            self._queue.append(turn)
            await turn
        self._running += 1
        occupancy = self._running / self._plan.slots
        congestion = (
            self._plan.crowding
            if occupancy > server_selection.CONGESTED_SLOT_RATIO
            else 1.0
        )
        try:
            await asyncio.sleep(work * self._slowdown_factor() * congestion)
        finally:
            self._running -= 1
            if self._queue:
                self._queue.pop(0).set_result(None)
        return True

    def _slowdown_factor(self) -> float:
        now = clock.now()
        period = 0.15  # seconds between changes of the disturbance
        while now - self._disturbance_drawn_at >= period:
            self._disturbance_drawn_at += period
            self._is_disturbed = self._random.random() < self._plan.disturbed
        return self._plan.disturbance if self._is_disturbed else 1.0


class _ModelChecker:
    """Probes of model servers."""

    def __init__(self, servers: dict[ids.ServerId, ModelServer]):
        self._servers = servers

    async def probe(
        self, entry: entries.ServerEntry, path: str
    ) -> probe_results.ProbeResult | None:
        """Returns the probe result of a server after a round trip."""
        await asyncio.sleep(ROUND_TRIP / 2)
        load = self._servers[entry.id].load()
        await asyncio.sleep(ROUND_TRIP / 2)
        return probe_results.ProbeResult(entry.id, True, load, 0.0)


Pick: TypeAlias = Callable[
    [picker.SelectionRequest],
    Coroutine[Any, Any, server_selection.Send | server_selection.Refuse],
]
MakePick: TypeAlias = Callable[["ModelDaemon"], Pick]

policies: "registry.Registry[str, MakePick]" = registry.Registry("policy")


class ModelDaemon:
    """One daemon with its passive health data."""

    def __init__(self, number: int, simulation: "LoadWorld"):
        self.evidence = server_health.PassiveHealth()
        self.catalogue = simulation.catalogue
        self._simulation = simulation
        text = documents.render_settings(
            store="10.9.9.9:1", ports=[1, 2, 3, 4], name=f"d-{number}"
        )
        self._options = boot.parse_settings(text, "model")
        self._member_list = fleet_members.MemberList(
            self._options.name, "10.0.0.1", NORTH, clock.now()
        )

    def make_picker(
        self, choosing_settings: tuning.SelectionSettings
    ) -> picker.Picker:
        """Returns a picker of the gateway for this daemon."""
        load_prober = load_probes.LoadProber(
            self.catalogue,
            self.evidence,
            _ModelChecker(self._simulation.servers),  # type: ignore[arg-type]
            self._member_list,
            probing.ProbeBudget(60.0, clock.now()),
        )
        return picker.Picker(
            self._options,
            self.catalogue,
            self.evidence,
            load_prober,
            self._member_list,
            choosing_settings,
        )


@policies.register("own counts")
def make_own_counts(daemon: ModelDaemon) -> Pick:
    """Sends to the server with the fewest requests of this daemon."""
    random_source = random.Random(1)

    async def pick(
        selection_request: picker.SelectionRequest,
    ) -> server_selection.Send | server_selection.Refuse:
        usable_servers = list(
            daemon.catalogue.usable_servers(SERVICE, clock.now())
        )
        best = min(
            usable_servers,
            key=lambda listed_server: (
                daemon.evidence.in_flight(listed_server.entry.id),
                random_source.random(),
            ),
        )
        return server_selection.Send(
            best.entry.id, selection_request.route.latency_target_seconds
        )

    return pick


@policies.register("ask, send at once")
def make_send_at_once(daemon: ModelDaemon) -> Pick:
    """Sends to the best of the servers just probed, good enough or not."""
    choosing_settings = tuning.SelectionSettings(
        good_factor=SEND_AT_ONCE_FACTOR
    )
    return daemon.make_picker(choosing_settings).pick


@policies.register("ask, wait for a good server")
def make_wait(daemon: ModelDaemon) -> Pick:
    """Waits at the daemon while the answer can still be in time."""
    return daemon.make_picker(tuning.SelectionSettings()).pick


class LoadWorld:
    """The servers, daemons and callers of one run."""

    def __init__(self, plan: LoadPlan, policy: str):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self.catalogue = catalogue.Catalogue()
        self.servers: dict[ids.ServerId, ModelServer] = {}
        for number in range(plan.servers):
            server_random = random.Random(self._random.random())
            server = ModelServer(number, plan, server_random)
            self.servers[server.id] = server
            self.catalogue.apply_record(_record(server.id, plan), clock.now())
        self._route = tables.Route(
            "r", "h", "/", True, plan.timeout, plan.target, 0, 1, ()
        )
        daemons = [ModelDaemon(n, self) for n in range(plan.daemons)]
        make_pick = policies.find(policy)
        self._picks = [(daemon, make_pick(daemon)) for daemon in daemons]
        self.tally = Tally()

    async def run(self) -> Tally:
        """Runs the simulation and returns the outcomes of its requests."""
        plan = self._plan
        started_at = clock.now()
        calls = []
        while (elapsed := clock.now() - started_at) < plan.seconds:
            in_burst = plan.seconds / 3 <= elapsed < 2 * plan.seconds / 3
            rate = plan.rate * (plan.burst if in_burst else 1.0)
            await asyncio.sleep(self._random.expovariate(rate))
            calls.append(asyncio.ensure_future(self._run_request()))
        await asyncio.gather(*calls)
        return self.tally

    async def _run_request(self) -> None:
        plan, tally = self._plan, self.tally
        tally.asked += 1
        arrived_at = clock.now()
        daemon, pick = self._random.choice(self._picks)
        work = plan.work * self._random.lognormvariate(0.0, plan.spread)
        selection_request = picker.SelectionRequest(
            self._route,
            SERVICE,
            arrived_at,
            arrived_at + plan.timeout,
            frozenset(),
            False,
        )
        try:
            async with asyncio.timeout(plan.timeout):
                picked = await pick(selection_request)
                if isinstance(picked, server_selection.Refuse):
                    tally.refused += 1
                    return
                is_accepted = await self._send(daemon, picked, work)
        except TimeoutError:
            tally.failed += 1
            return
        latency = clock.now() - arrived_at
        if not is_accepted:
            tally.refused += 1
        elif latency <= plan.target:
            tally.in_target += 1
        else:
            tally.late += 1
        tally.latencies.append(latency)

    async def _send(
        self, daemon: ModelDaemon, picked: server_selection.Send, work: float
    ) -> bool:
        sent_at = clock.now()
        passive_health = daemon.evidence
        passive_health.record_start(picked.server)
        try:
            await asyncio.sleep(ROUND_TRIP)
            is_accepted = await self.servers[picked.server].run(work)
        finally:
            passive_health.record_end(picked.server)
        if is_accepted:
            passive_health.record_success(
                self._route,
                picked.server,
                clock.now() - sent_at,
                picked.estimated_seconds,
                clock.now(),
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
            slots=plan.slots,
            is_draining=False,
            warmup_left_seconds=0.0,
            started_at_ms=1,
        )
    )
