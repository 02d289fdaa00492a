"""Long seeded runs with faults of every kind, and the checks after them."""

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
    """One run.

    Attributes:
        seed: seed of everything random.
        seconds: virtual time with calls and faults.
        calls: calls a second, a third of them non-idempotent.
        fault_interval: mean seconds between two faults.
        faults: names of the faults that may happen.
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
    """What a run showed.

    Attributes:
        problems: broken promises, in words.
        breaches: breaches of the invariants inside the program.
        posts: ends of the non-idempotent requests, by name.
        gets: ends of the idempotent requests, by name.
        faults: how often each fault happened.
        crashes: crashes of servers.
    """

    problems: tuple[str, ...]
    breaches: tuple[str, ...]
    posts: collections.Counter[str]
    gets: collections.Counter[str]
    faults: collections.Counter[str]
    crashes: int


@FAULTS.register("pause")
async def pause_daemon(target: world.World, generator: random.Random) -> None:
    """Stops a daemon for a while; it wakes with what it believed."""
    daemon = generator.choice(list(target.daemons.values()))
    if daemon.is_paused or not daemon.is_ready:
        return
    daemon.pause()
    await asyncio.sleep(generator.uniform(0.2, 5.0))
    daemon.resume()


@FAULTS.register("replace")
async def replace_daemon(target: world.World, generator: random.Random) -> None:
    """Ends a daemon without warning; a new one comes without memory."""
    name = generator.choice(list(target.daemons))
    if target.daemons[name].is_ready:
        target.replace_daemon(name)


@FAULTS.register("leave")
async def leave_daemon(target: world.World, generator: random.Random) -> None:
    """Stops a daemon as planned; a new one comes later."""
    name = generator.choice(list(target.daemons))
    daemon = target.daemons[name]
    if not daemon.is_ready or daemon.is_paused:
        return
    await daemon.leave()
    await asyncio.sleep(generator.uniform(0.0, 1.0))
    if target.daemons[name] is not daemon:
        return
    target.start_daemon(name, daemon.data_centre)


@FAULTS.register("cut")
async def cut_network(target: world.World, generator: random.Random) -> None:
    """Parts the daemons into two groups for a while."""
    names = list(target.daemons)
    generator.shuffle(names)
    size = generator.randint(1, len(names) - 1)
    target.cut(names[:size], names[size:])
    await asyncio.sleep(generator.uniform(0.5, 6.0))
    target.heal()


@FAULTS.register("crash")
async def crash_server(target: world.World, generator: random.Random) -> None:
    """Ends a server; it starts again cold."""
    generator.choice(list(target.servers.values())).crash()


@FAULTS.register("cold")
async def turn_server_cold(
    target: world.World, generator: random.Random
) -> None:
    """Makes a server cold without a broken connection."""
    generator.choice(list(target.servers.values())).turn_cold()


@FAULTS.register("slow")
async def slow_server(target: world.World, generator: random.Random) -> None:
    """Slows a server for a while."""
    server = generator.choice(list(target.servers.values()))
    server.slow_factor = generator.uniform(3.0, 30.0)
    await asyncio.sleep(generator.uniform(0.1, 2.0))
    server.slow_factor = 1.0


@FAULTS.register("out")
async def take_out(target: world.World, generator: random.Random) -> None:
    """Takes a data centre out and brings it back."""
    name = generator.choice(target.model.data_centres)
    target.set_data_centre(name, "out")
    await asyncio.sleep(generator.uniform(1.0, 5.0))
    target.set_data_centre(name, "in")


@FAULTS.register("stale")
async def hide_platform(target: world.World, generator: random.Random) -> None:
    """Keeps the platform's services away for a while."""
    target.is_configuration_up = False
    target.is_listing_up = False
    await asyncio.sleep(generator.uniform(1.0, 5.0))
    target.is_configuration_up = True
    target.is_listing_up = True


@FAULTS.register("poison")
async def send_poison(target: world.World, generator: random.Random) -> None:
    """Sends a request that crashes each server that runs it, several times."""
    caller = callers.VirtualCaller(target, generator)
    fields = {servers.POISON_HEADER: "1"}
    path = f"{WORK_PATH}/poison-{generator.getrandbits(32)}"
    request = classification.Request("GET", path, path, fields, b"")
    for _ in range(4):
        await caller.send(request, 3.0)


class ChaosRun:
    """Drives one run."""

    def __init__(self, plan: ChaosPlan, target: world.World):
        self._plan = plan
        self._target = target
        self._random = random.Random(plan.seed * 7919 + 1)
        self._caller = callers.VirtualCaller(target, self._random)
        self._stories: list[callers.Story] = []
        self._gets: list[callers.Told] = []
        self._faults: collections.Counter[str] = collections.Counter()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> ChaosReport:
        """Runs calls and faults, and returns what they showed."""
        await self._target.start()
        loop = asyncio.get_running_loop()
        end = loop.time() + self._plan.seconds
        faults = asyncio.create_task(self._make_faults(end))
        while loop.time() < end:
            self._spawn(self._call())
            pause = self._random.expovariate(self._plan.calls)
            await asyncio.sleep(pause)
        await faults
        await asyncio.gather(*self._tasks)
        return self._report()

    async def _make_faults(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            interval = self._plan.fault_interval
            await asyncio.sleep(self._random.expovariate(1 / interval))
            name = self._random.choice(self._plan.faults)
            self._faults[name] += 1
            self._spawn(FAULTS.find(name)(self._target, self._random))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _call(self) -> None:
        if self._random.random() < 2 / 3:
            self._gets.append(await self._caller.get(WORK_PATH))
            return
        header = classification.KEY_HEADER
        key: str | None = self._caller.new_key(
            self._random.uniform(-self._plan.key_error, self._plan.key_error)
        )
        if self._random.random() < 0.5:
            header = classification.TICKET_HEADER
            key = self._caller.take_ticket()
        if key is None:
            return
        story = await self._caller.post_until_final(WORK_PATH, header, key)
        self._stories.append(story)

    def _report(self) -> ChaosReport:
        problems: list[str] = []
        for story in self._stories:
            executions = self._target.executions(story.key)
            problems += callers.check_story(story, executions)
        for told in self._gets:
            if not isinstance(told.outcome, outcomes.Answered):
                continue
            if told.outcome.body != b"":
                problems.append("an answer is not the caller's own")
        return ChaosReport(
            tuple(problems),
            tuple(self._target.breaches),
            collections.Counter(
                _name(story.told[-1].outcome) for story in self._stories
            ),
            collections.Counter(_name(told.outcome) for told in self._gets),
            self._faults,
            sum(server.crashes for server in self._target.servers.values()),
        )


def _name(outcome: outcomes.Outcome | None) -> str:
    if outcome is None:
        return "no answer"
    if isinstance(outcome, outcomes.Answered):
        return outcome.tag
    return f"{outcome.tag}: {outcome.reason.slug}"


async def run_chaos(plan: ChaosPlan, model: world.WorldModel) -> ChaosReport:
    """Builds a world and runs a plan in it."""
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
