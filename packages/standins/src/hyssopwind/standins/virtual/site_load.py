"""A model of loaded servers, and of daemons that choose among them.

The servers have slots, a short queue, neighbours that disturb them for 150 ms
at a time, and slow down when nearly full. The daemons run the real picker; the
other policies are baselines. All of it runs in virtual time from a seed.
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
from hyssopwind.core.dispatch import choice
from hyssopwind.core.dispatch import evidence
from hyssopwind.core.dispatch import probing
from hyssopwind.core.dispatch import readings
from hyssopwind.core.fleet import roster
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import load_checks
from hyssopwind.daemon.gateway import picker
from hyssopwind.platform import boot
from hyssopwind.standins.site import documents
from hyssopwind.transport import clock

SERVICE = ids.ServiceId("s")
NORTH = ids.DataCentreId("north")
ROUND_TRIP = 0.0006  # seconds, within a data centre
SEND_AT_ONCE_FACTOR = 100.0  # any server is good enough


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is modelled.

    Attributes:
        servers: number of servers.
        slots: slots of each.
        queue: requests that a server queues; more are refused.
        daemons: daemons that choose.
        work: mean seconds of work of a request.
        spread: spread of the work, as a share of its mean.
        target: latency target in seconds.
        timeout: seconds until a caller gives up.
        rate: requests a second.
        burst: factor on the rate in the middle third of the run.
        seconds: length of the run.
        disturbed: share of the time for which a server is disturbed.
        disturbance: how many times longer work takes then.
        crowding: how many times longer work takes on a nearly full server.
        seed: seed of everything that is random.
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
    """How the requests of a run ended."""

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
    """One server."""

    def __init__(self, number: int, plan: LoadPlan, luck: random.Random):
        self.id = ids.ServerId(f"i-{number}")
        self._plan = plan
        self._random = luck
        self._running = 0
        self._queue: list[asyncio.Future[None]] = []
        self._disturbed = False
        self._redrawn_at = clock.now()

    def load(self) -> readings.Load:
        """Returns its load at this moment."""
        return readings.Load(
            self._running,
            len(self._queue),
            self._plan.slots,
            self._slowdown(),
        )

    async def run(self, work: float) -> bool:
        """Works on a request; returns whether it took it."""
        if self._running >= self._plan.slots:
            if len(self._queue) >= self._plan.queue:
                return False
            turn = asyncio.get_running_loop().create_future()
            self._queue.append(turn)
            await turn
        self._running += 1
        share = self._running / self._plan.slots
        crowding = self._plan.crowding if share > choice.CROWDED_SHARE else 1.0
        try:
            await asyncio.sleep(work * self._slowdown() * crowding)
        finally:
            self._running -= 1
            if self._queue:
                self._queue.pop(0).set_result(None)
        return True

    def _slowdown(self) -> float:
        now = clock.now()
        period = 0.15  # seconds between two changes of the neighbours
        while now - self._redrawn_at >= period:
            self._redrawn_at += period
            self._disturbed = self._random.random() < self._plan.disturbed
        return self._plan.disturbance if self._disturbed else 1.0


class _ModelChecker:
    """Health checks of model servers."""

    def __init__(self, servers: dict[ids.ServerId, ModelServer]):
        self._servers = servers

    async def check(
        self, entry: entries.ServerEntry, path: str
    ) -> readings.HealthReport | None:
        """Returns the load of a server after a round trip."""
        await asyncio.sleep(ROUND_TRIP / 2)
        load = self._servers[entry.id].load()
        await asyncio.sleep(ROUND_TRIP / 2)
        return readings.HealthReport(entry.id, True, load, 0.0)


Pick: TypeAlias = Callable[
    [picker.PickOrder], Coroutine[Any, Any, choice.Send | choice.Refuse]
]
MakePick: TypeAlias = Callable[["ModelDaemon"], Pick]

policies: "registry.Registry[str, MakePick]" = registry.Registry("policy")


class ModelDaemon:
    """One daemon with what it has seen."""

    def __init__(self, number: int, world: "LoadWorld"):
        self.evidence = evidence.Evidence()
        self.catalogue = world.catalogue
        self._world = world
        text = documents.settings_text(
            store="10.9.9.9:1", ports=[1, 2, 3, 4], name=f"d-{number}"
        )
        self._options = boot.decode(text, "model")
        self._fleet = roster.FleetRoster(
            self._options.name, "10.0.0.1", NORTH, clock.now()
        )

    def make_picker(self, terms: tuning.ChoosingSettings) -> picker.Picker:
        """Returns the real picker of this daemon."""
        checks = load_checks.LoadChecks(
            self.catalogue,
            self.evidence,
            _ModelChecker(self._world.servers),  # type: ignore[arg-type]
            self._fleet,
            probing.ProbeBudget(60.0, clock.now()),
        )
        return picker.Picker(
            self._options,
            self.catalogue,
            self.evidence,
            checks,
            self._fleet,
            terms,
        )


@policies.register("own counts")
def make_own_counts(daemon: ModelDaemon) -> Pick:
    """Sends to the server with the fewest own requests."""
    luck = random.Random(1)

    async def pick(order: picker.PickOrder) -> choice.Send | choice.Refuse:
        usable = list(daemon.catalogue.usable(SERVICE, clock.now()))
        best = min(
            usable,
            key=lambda listed: (
                daemon.evidence.in_flight(listed.entry.id),
                luck.random(),
            ),
        )
        return choice.Send(best.entry.id, order.route.latency_target)

    return pick


@policies.register("ask, send at once")
def make_send_at_once(daemon: ModelDaemon) -> Pick:
    """Sends to the best of the servers just asked, whatever it is."""
    terms = tuning.ChoosingSettings(good_factor=SEND_AT_ONCE_FACTOR)
    return daemon.make_picker(terms).pick


@policies.register("ask, wait for a good server")
def make_wait(daemon: ModelDaemon) -> Pick:
    """Waits at the daemon as long as the answer can be in time."""
    return daemon.make_picker(tuning.ChoosingSettings()).pick


class LoadWorld:
    """Servers, daemons and callers of one run."""

    def __init__(self, plan: LoadPlan, policy: str):
        self._plan = plan
        self._random = random.Random(plan.seed)
        self.catalogue = catalogue.Catalogue()
        self.servers: dict[ids.ServerId, ModelServer] = {}
        for number in range(plan.servers):
            luck = random.Random(self._random.random())
            server = ModelServer(number, plan, luck)
            self.servers[server.id] = server
            self.catalogue.take(_record(server.id, plan), clock.now())
        self._route = tables.Route(
            "r", "h", "/", True, plan.timeout, plan.target, 0, 1, ()
        )
        daemons = [ModelDaemon(n, self) for n in range(plan.daemons)]
        make = policies.find(policy)
        self._picks = [(daemon, make(daemon)) for daemon in daemons]
        self.tally = Tally()

    async def run(self) -> Tally:
        """Plays the run and returns how its requests ended."""
        plan = self._plan
        started = clock.now()
        calls = []
        while (elapsed := clock.now() - started) < plan.seconds:
            in_burst = plan.seconds / 3 <= elapsed < 2 * plan.seconds / 3
            rate = plan.rate * (plan.burst if in_burst else 1.0)
            await asyncio.sleep(self._random.expovariate(rate))
            calls.append(asyncio.ensure_future(self._call()))
        await asyncio.gather(*calls)
        return self.tally

    async def _call(self) -> None:
        plan, tally = self._plan, self.tally
        tally.asked += 1
        arrived = clock.now()
        daemon, pick = self._random.choice(self._picks)
        work = plan.work * self._random.lognormvariate(0.0, plan.spread)
        order = picker.PickOrder(
            self._route,
            SERVICE,
            arrived,
            arrived + plan.timeout,
            frozenset(),
            False,
        )
        try:
            async with asyncio.timeout(plan.timeout):
                picked = await pick(order)
                if isinstance(picked, choice.Refuse):
                    tally.refused += 1
                    return
                taken = await self._send(daemon, picked, work)
        except TimeoutError:
            tally.failed += 1
            return
        took = clock.now() - arrived
        if not taken:
            tally.refused += 1
        elif took <= plan.target:
            tally.in_target += 1
        else:
            tally.late += 1
        tally.latencies.append(took)

    async def _send(
        self, daemon: ModelDaemon, picked: choice.Send, work: float
    ) -> bool:
        sent = clock.now()
        seen = daemon.evidence
        seen.begin(picked.server)
        try:
            await asyncio.sleep(ROUND_TRIP)
            taken = await self.servers[picked.server].run(work)
        finally:
            seen.end(picked.server)
        if taken:
            seen.note_success(
                self._route,
                picked.server,
                clock.now() - sent,
                picked.estimate,
                clock.now(),
                service=SERVICE,
                crowded=picked.crowded,
            )
        return taken


def _record(server: ids.ServerId, plan: LoadPlan) -> records.ServerRecord:
    return records.ServerRecord(
        entries.ServerEntry(
            id=server,
            service=SERVICE,
            address="127.0.0.1:80",
            data_centre=NORTH,
            slots=plan.slots,
            draining=False,
            warmup_left=0.0,
            started=1,
        )
    )
