"""Compares pool clients under the same load, with slow servers."""

import asyncio
import dataclasses
import random

from hyssopwind.core import outcomes
from hyssopwind.core.node import pool_component
from hyssopwind.core.pools import clients
from hyssopwind.standins.virtual import baselines
from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import servers
from hyssopwind.standins.virtual import world

MEAN_WORK = 0.01
SLOW_FACTOR = 3.0
SHORTEST_SLOWNESS = 0.05
LONGEST_SLOWNESS = 0.5
WARM_UP = 3.0
BENCHMARK_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSize:
    """Size of a pool and number of its daemons.

    Attributes:
        name: customer whose pool has this size.
        daemons: number of daemons in the data centre.
        servers: number of servers of the pool.
        slots: slots of each server.
    """

    name: str
    daemons: int
    servers: int
    slots: int


MARCHETTI = PoolSize("marchetti", daemons=5, servers=3, slots=4)
CHIMBORAZO = PoolSize("chimborazo", daemons=5, servers=3, slots=2)


@dataclasses.dataclass(frozen=True, slots=True)
class ComparisonPlan:
    """Parameters of one run.

    Attributes:
        size: size of the pool.
        load: share of the slots that the calls occupy.
        seconds: virtual time for which calls are measured.
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
    """Results of one run.

    Attributes:
        calls: number of measured calls.
        answered: number of calls with a whole answer.
        p50: median duration of a call in seconds.
        p99: 99th percentile of the durations in seconds.
        peak: most requests in flight at one server.
        waited: share of the selections that waited for the pool owner.
        messages: messages between daemons per call.
        message_bytes: bytes of these messages per call.
    """

    calls: int
    answered: int
    p50: float
    p99: float
    peak: int
    waited: float
    messages: float
    message_bytes: float


class CountingMember(clients.PoolClient):
    """Counts direct selections and admission requests.

    Attributes:
        direct: number of selections made without the pool owner.
        asked: number of admission requests to the pool owner.
    """

    direct = 0
    asked = 0

    def plan(self, *arguments: object, **named: object) -> clients.Plan:
        """Returns the plan of the base class and counts it."""
        plan = super().plan(*arguments, **named)  # type: ignore[arg-type]
        if isinstance(plan, clients.SendDirect):
            self.direct += 1
        if isinstance(plan, clients.RequestAdmission):
            self.asked += 1
        return plan


def measure(
    plan: ComparisonPlan, make_pool_client: pool_component.PoolClientFactory
) -> Measured:
    """Runs a plan with one kind of pool client on a new virtual loop."""
    return loop.run_virtual(_measure(plan, make_pool_client))


async def _measure(
    plan: ComparisonPlan, make_pool_client: pool_component.PoolClientFactory
) -> Measured:
    model = world.WorldModel(
        data_centres=("only",),
        daemons=plan.size.daemons,
        servers_per_pool=plan.size.servers,
        server=servers.ServerModel(
            slots=plan.size.slots, queue=1000, mean_work=MEAN_WORK
        ),
        services={"ledger": 'deadline = "30s"'},
        make_member=make_pool_client,
    )
    simulation = world.World(model, plan.seed)
    await simulation.start()
    results = await _run_calls(simulation, plan)
    durations = sorted(r.heard - r.sent for r in results)
    answered = [r for r in results if isinstance(r.outcome, outcomes.Answered)]
    direct, admission_requests = _count_selections(simulation)
    return Measured(
        calls=len(results),
        answered=len(answered),
        p50=durations[len(durations) // 2],
        p99=durations[int(len(durations) * 0.99)],
        peak=max(server.peak for server in simulation.servers.values()),
        waited=admission_requests / max(1, direct + admission_requests),
        messages=sum(simulation.messages.values()) / len(results),
        message_bytes=simulation.message_bytes / len(results),
    )


async def _run_calls(
    simulation: world.World, plan: ComparisonPlan
) -> list[callers.Told]:
    """Sends the calls and returns the results of those after the warm-up."""
    random_source = random.Random(plan.seed + 1)
    caller = callers.VirtualCaller(simulation, random.Random(plan.seed + 2))
    rate = plan.load * plan.size.servers * plan.size.slots / MEAN_WORK
    clock = asyncio.get_running_loop()
    begin = clock.time() + WARM_UP
    end = begin + plan.seconds
    clock.call_at(begin, _reset_counts, simulation)
    slowing = asyncio.create_task(_slow_servers(simulation, plan))
    tasks = []
    while clock.time() < end:
        tasks.append(asyncio.create_task(caller.get("/team/ledger/x", 30.0)))
        await asyncio.sleep(random_source.expovariate(rate))
    results = await asyncio.gather(*tasks)
    slowing.cancel()
    return [r for r in results if r.sent >= begin]


async def _slow_servers(simulation: world.World, plan: ComparisonPlan) -> None:
    if not plan.slow:
        return
    random_source = random.Random(plan.seed + 3)
    names = list(simulation.servers)
    while True:
        server = simulation.servers[random_source.choice(names)]
        server.slow_factor = SLOW_FACTOR
        await asyncio.sleep(
            random_source.uniform(SHORTEST_SLOWNESS, LONGEST_SLOWNESS)
        )
        server.slow_factor = 1.0


def _reset_counts(simulation: world.World) -> None:
    """Resets the selection counts, since warm-up calls are not measured."""
    for daemon in simulation.daemons.values():
        for pool_client in daemon.node.pools.pool_clients.values():
            if isinstance(pool_client, CountingMember):
                pool_client.direct = 0
                pool_client.asked = 0


def _count_selections(simulation: world.World) -> tuple[int, int]:
    direct = 0
    admission_requests = 0
    for daemon in simulation.daemons.values():
        for pool_client in daemon.node.pools.pool_clients.values():
            if isinstance(pool_client, CountingMember):
                direct += pool_client.direct
                admission_requests += pool_client.asked
    return direct, admission_requests


WAYS: dict[str, pool_component.PoolClientFactory] = {
    "own counts": baselines.OwnCountsMember,
    "tell or ask": CountingMember,
}
