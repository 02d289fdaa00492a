"""Seeded runs with random faults, and checks of the guarantees."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias

from hyssopwind.core import outcomes
from hyssopwind.core import registry
from hyssopwind.core.requests import classification
from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import servers
from hyssopwind.standins.virtual import world

WORK_PATH = "/team/ledger/item"

Fault: TypeAlias = Callable[
    [world.World, random.Random], Coroutine[Any, Any, None]
]
FAULTS: registry.Registry[str, Fault] = registry.Registry("fault")


@dataclasses.dataclass(frozen=True, slots=True)
class ChaosPlan:
    """Parameters of one run.

    Attributes:
        seed: seed of all random choices.
        seconds: virtual time with calls and faults.
        calls: calls per second, a third of them non-idempotent.
        fault_interval: mean seconds between two faults.
        faults: names of the faults to choose from.
        key_error: largest error of the callers' clocks, in seconds.
    """

    seed: int
    seconds: float = 40.0
    calls: float = 60.0
    fault_interval: float = 1.5
    faults: tuple[str, ...] = dataclasses.field(
        default_factory=lambda: tuple(FAULTS)
    )
    key_error: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ChaosReport:
    """Results of a run.

    Attributes:
        problems: descriptions of the violated guarantees.
        breaches: breaches of the daemons' invariants.
        posts: numbers of non-idempotent requests by last outcome.
        gets: numbers of idempotent requests by outcome.
        faults: number of faults by name.
        crashes: number of server crashes.
    """

    problems: tuple[str, ...]
    breaches: tuple[str, ...]
    posts: collections.Counter[str]
    gets: collections.Counter[str]
    faults: collections.Counter[str]
    crashes: int


@FAULTS.register("pause")
async def pause_daemon(
    simulation: world.World, random_source: random.Random
) -> None:
    """Pauses a daemon, which resumes with the state it had before."""
    daemon = random_source.choice(list(simulation.daemons.values()))
    if daemon.is_paused or not daemon.is_ready:
        return
    daemon.pause()
    await asyncio.sleep(random_source.uniform(0.2, 5.0))
    daemon.resume()


@FAULTS.register("replace")
async def replace_daemon(
    simulation: world.World, random_source: random.Random
) -> None:
    """Kills a daemon and starts it again without its state."""
    name = random_source.choice(list(simulation.daemons))
    if simulation.daemons[name].is_ready:
        simulation.replace_daemon(name)


@FAULTS.register("leave")
async def leave_daemon(
    simulation: world.World, random_source: random.Random
) -> None:
    """Stops a daemon gracefully and starts it again later."""
    name = random_source.choice(list(simulation.daemons))
    daemon = simulation.daemons[name]
    if not daemon.is_ready or daemon.is_paused:
        return
    await daemon.leave()
    await asyncio.sleep(random_source.uniform(0.0, 1.0))
    if simulation.daemons[name] is not daemon:
        return
    simulation.start_daemon(name, daemon.data_centre)


@FAULTS.register("cut")
async def cut_network(
    simulation: world.World, random_source: random.Random
) -> None:
    """Partitions the daemons into two groups for some seconds."""
    names = list(simulation.daemons)
    random_source.shuffle(names)
    split = random_source.randint(1, len(names) - 1)
    simulation.cut(names[:split], names[split:])
    await asyncio.sleep(random_source.uniform(0.5, 6.0))
    simulation.heal()


@FAULTS.register("crash")
async def crash_server(
    simulation: world.World, random_source: random.Random
) -> None:
    """Crashes a server, which starts again cold."""
    random_source.choice(list(simulation.servers.values())).crash()


@FAULTS.register("cold")
async def turn_server_cold(
    simulation: world.World, random_source: random.Random
) -> None:
    """Makes a server cold without breaking its connections."""
    random_source.choice(list(simulation.servers.values())).turn_cold()


@FAULTS.register("slow")
async def slow_server(
    simulation: world.World, random_source: random.Random
) -> None:
    """Slows a server down for up to two seconds."""
    server = random_source.choice(list(simulation.servers.values()))
    server.slow_factor = random_source.uniform(3.0, 30.0)
    await asyncio.sleep(random_source.uniform(0.1, 2.0))
    server.slow_factor = 1.0


@FAULTS.register("out")
async def take_out(
    simulation: world.World, random_source: random.Random
) -> None:
    """Publishes a data centre as `out`, and as `in` some seconds later."""
    name = random_source.choice(simulation.model.data_centres)
    simulation.set_data_centre(name, "out")
    await asyncio.sleep(random_source.uniform(1.0, 5.0))
    simulation.set_data_centre(name, "in")


@FAULTS.register("stale")
async def hide_platform(
    simulation: world.World, random_source: random.Random
) -> None:
    """Makes the platform's services unavailable for some seconds."""
    simulation.is_configuration_up = False
    simulation.is_listing_up = False
    await asyncio.sleep(random_source.uniform(1.0, 5.0))
    simulation.is_configuration_up = True
    simulation.is_listing_up = True


@FAULTS.register("poison")
async def send_poison(
    simulation: world.World, random_source: random.Random
) -> None:
    """Sends four times a request that crashes each server that runs it."""
    caller = callers.VirtualCaller(simulation, random_source)
    fields = {servers.POISON_HEADER: "1"}
    path = f"{WORK_PATH}/poison-{random_source.getrandbits(32)}"
    request = classification.Request("GET", path, path, fields, b"")
    for _ in range(4):
        await caller.send(request, 3.0)


class ChaosRun:
    """Sends calls and injects faults for one run."""

    def __init__(self, plan: ChaosPlan, simulation: world.World):
        self._plan = plan
        self._simulation = simulation
        self._random = random.Random(plan.seed * 7919 + 1)
        self._caller = callers.VirtualCaller(simulation, self._random)
        self._histories: list[callers.Story] = []
        self._get_results: list[callers.Told] = []
        self._fault_counts: collections.Counter[str] = collections.Counter()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> ChaosReport:
        """Runs calls and faults and returns the results."""
        await self._simulation.start()
        loop = asyncio.get_running_loop()
        end = loop.time() + self._plan.seconds
        faults = asyncio.create_task(self._inject_faults(end))
        while loop.time() < end:
            self._start_task(self._call())
            delay = self._random.expovariate(self._plan.calls)
            await asyncio.sleep(delay)
        await faults
        await asyncio.gather(*self._tasks)
        return self._report()

    async def _inject_faults(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            interval = self._plan.fault_interval
            await asyncio.sleep(self._random.expovariate(1 / interval))
            name = self._random.choice(self._plan.faults)
            self._fault_counts[name] += 1
            self._start_task(FAULTS.find(name)(self._simulation, self._random))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _call(self) -> None:
        if self._random.random() < 2 / 3:
            self._get_results.append(await self._caller.get(WORK_PATH))
            return
        header = classification.IDEMPOTENCY_KEY_HEADER
        key: str | None = self._caller.new_key(
            self._random.uniform(-self._plan.key_error, self._plan.key_error)
        )
        if self._random.random() < 0.5:
            header = classification.TICKET_HEADER
            key = self._caller.take_ticket()
        if key is None:
            return
        history = await self._caller.post_until_final(WORK_PATH, header, key)
        self._histories.append(history)

    def _report(self) -> ChaosReport:
        problems: list[str] = []
        for history in self._histories:
            executions = self._simulation.executions(history.key)
            problems += callers.check_story(history, executions)
        for result in self._get_results:
            if not isinstance(result.outcome, outcomes.Answered):
                continue
            if result.outcome.body != b"":
                problems.append(
                    "a caller received the answer to another request"
                )
        return ChaosReport(
            tuple(problems),
            tuple(self._simulation.breaches),
            collections.Counter(
                _outcome_label(history.told[-1].outcome)
                for history in self._histories
            ),
            collections.Counter(
                _outcome_label(result.outcome) for result in self._get_results
            ),
            self._fault_counts,
            sum(server.crashes for server in self._simulation.servers.values()),
        )


def _outcome_label(outcome: outcomes.Outcome | None) -> str:
    if outcome is None:
        return "no answer"
    if isinstance(outcome, outcomes.Answered):
        return outcome.tag
    return f"{outcome.tag}: {outcome.reason.slug}"


async def run_chaos(plan: ChaosPlan, model: world.WorldModel) -> ChaosReport:
    """Builds a simulation and runs a plan in it."""
    return await ChaosRun(plan, world.World(model, plan.seed)).run()


ROUGH_NETWORK = world.NetworkModel(
    loss=0.02, doubling=0.05, stall=0.01, stall_time=3.0
)
SLOW_WORLD = world.WorldModel(
    network=ROUGH_NETWORK,
    server=servers.ServerModel(mean_work=0.2, slots=8),
    wall_error=0.1,
)
ROUGH_WORLD = world.WorldModel(
    network=ROUGH_NETWORK,
    server=servers.ServerModel(cold_requests=10),
    wall_error=0.1,
)
