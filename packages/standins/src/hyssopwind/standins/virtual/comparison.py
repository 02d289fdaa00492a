"""Compares ways to choose a server under one load, with slow servers."""

import asyncio
import dataclasses
import random

from hyssopwind.core import outcomes
from hyssopwind.core.node import pooling
from hyssopwind.core.pools import member
from hyssopwind.standins.virtual import baselines
from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import servers
from hyssopwind.standins.virtual import world

MEAN_WORK = 0.01  # seconds
SLOW_FACTOR = 3.0
SHORTEST_SLOWNESS = 0.05  # seconds
LONGEST_SLOWNESS = 0.5  # seconds
WARM_UP = 3.0  # seconds
BENCHMARK_SECONDS = 10.0  # of measured calls, in benchmark and test


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSize:
    """Size of one pool and its users.

    Attributes:
        name: the firm.
        daemons: daemons in the data centre.
        servers: servers of the pool.
        slots: slots of a server.
    """

    name: str
    daemons: int
    servers: int
    slots: int


MARCHETTI = PoolSize("marchetti", daemons=5, servers=3, slots=4)
CHIMBORAZO = PoolSize("chimborazo", daemons=5, servers=3, slots=2)


@dataclasses.dataclass(frozen=True, slots=True)
class ComparisonPlan:
    """One run of one way.

    Attributes:
        size: the pool.
        load: share of the slots that the calls keep busy.
        seconds: measured virtual time.
        seed: seed of the calls, the work and the slow servers.
        slow: whether one server at a time is slow.
    """

    size: PoolSize
    load: float
    seconds: float
    seed: int
    slow: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """What a run gave.

    Attributes:
        calls: measured calls.
        answered: calls with a whole answer.
        p50: median time in seconds.
        p99: 99th percentile in seconds.
        peak: most requests seen at one server.
        waited: share of the choices that waited for a peer.
        messages: messages between daemons for each call.
        message_bytes: bytes of these messages for each call.
    """

    calls: int
    answered: int
    p50: float
    p99: float
    peak: int
    waited: float
    messages: float
    message_bytes: float


class CountingMember(member.PoolMember):
    """Counts how requests got their servers."""

    direct = 0
    asked = 0

    def plan(self, *arguments: object, **named: object) -> member.Plan:
        """Returns the plan of the base class, counted."""
        plan = super().plan(*arguments, **named)  # type: ignore[arg-type]
        if isinstance(plan, member.SendDirect):
            self.direct += 1
        if isinstance(plan, member.AskOwner):
            self.asked += 1
        return plan


def measure(
    plan: ComparisonPlan, make_member: pooling.MemberFactory
) -> Measured:
    """Runs one way of choosing servers on a new virtual loop."""
    return loop.run_virtual(_measure(plan, make_member))


async def _measure(
    plan: ComparisonPlan, make_member: pooling.MemberFactory
) -> Measured:
    model = world.WorldModel(
        data_centres=("only",),
        daemons=plan.size.daemons,
        servers_per_pool=plan.size.servers,
        server=servers.ServerModel(
            slots=plan.size.slots, queue=1000, mean_work=MEAN_WORK
        ),
        services={"ledger": 'deadline = "30s"'},
        make_member=make_member,
    )
    target = world.World(model, plan.seed)
    await target.start()
    told = await _call(target, plan)
    times = sorted(t.heard - t.sent for t in told)
    answered = [t for t in told if isinstance(t.outcome, outcomes.Answered)]
    direct, asked = _count_choices(target)
    return Measured(
        calls=len(told),
        answered=len(answered),
        p50=times[len(times) // 2],
        p99=times[int(len(times) * 0.99)],
        peak=max(server.peak for server in target.servers.values()),
        waited=asked / max(1, direct + asked),
        messages=sum(target.messages.values()) / len(told),
        message_bytes=target.message_bytes / len(told),
    )


async def _call(
    target: world.World, plan: ComparisonPlan
) -> list[callers.Told]:
    """Sends the calls; returns those after the warm-up."""
    generator = random.Random(plan.seed + 1)
    caller = callers.VirtualCaller(target, random.Random(plan.seed + 2))
    rate = plan.load * plan.size.servers * plan.size.slots / MEAN_WORK
    clock = asyncio.get_running_loop()
    begin = clock.time() + WARM_UP
    end = begin + plan.seconds
    clock.call_at(begin, _reset_counts, target)
    slowing = asyncio.create_task(_slow_servers(target, plan))
    tasks = []
    while clock.time() < end:
        tasks.append(asyncio.create_task(caller.get("/team/ledger/x", 30.0)))
        await asyncio.sleep(generator.expovariate(rate))
    told = await asyncio.gather(*tasks)
    slowing.cancel()
    return [t for t in told if t.sent >= begin]


async def _slow_servers(target: world.World, plan: ComparisonPlan) -> None:
    if not plan.slow:
        return
    generator = random.Random(plan.seed + 3)
    names = list(target.servers)
    while True:
        server = target.servers[generator.choice(names)]
        server.slow_factor = SLOW_FACTOR
        await asyncio.sleep(
            generator.uniform(SHORTEST_SLOWNESS, LONGEST_SLOWNESS)
        )
        server.slow_factor = 1.0


def _reset_counts(target: world.World) -> None:
    """Forgets the choices of the warm-up, as its calls are left out too."""
    for daemon in target.daemons.values():
        for pool_member in daemon.node.pools.members.values():
            if isinstance(pool_member, CountingMember):
                pool_member.direct = 0
                pool_member.asked = 0


def _count_choices(target: world.World) -> tuple[int, int]:
    direct = 0
    asked = 0
    for daemon in target.daemons.values():
        for pool_member in daemon.node.pools.members.values():
            if isinstance(pool_member, CountingMember):
                direct += pool_member.direct
                asked += pool_member.asked
    return direct, asked


WAYS: dict[str, pooling.MemberFactory] = {
    "own counts": baselines.OwnCountsMember,
    "tell or ask": CountingMember,
}
