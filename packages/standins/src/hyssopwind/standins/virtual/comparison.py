"""Compares kinds of pool clients under the same load, with slow servers."""

import asyncio
import dataclasses
import random

from hyssopwind.core import outcomes
from hyssopwind.core.node import pool_component
from hyssopwind.core.pools import clients
from hyssopwind.standins.virtual import baselines
from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import fleet_simulation
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import servers

MEAN_WORK_SECONDS = 0.01
SLOW_FACTOR = 3.0
MIN_SLOW_PERIOD_SECONDS = 0.05
MAX_SLOW_PERIOD_SECONDS = 0.5
WARM_UP_SECONDS = 3.0
MEASURED_SECONDS = 10.0  # measured time in the benchmark and the test


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSize:
    """Size of a pool and number of its daemons.

    Attributes:
        name: customer whose pool has this size.
        daemon_count: number of daemons in the data centre.
        server_count: number of servers of the pool.
        slots_per_server: slots of each server.
    """

    name: str
    daemon_count: int
    server_count: int
    slots_per_server: int


MARCHETTI = PoolSize(
    "marchetti", daemon_count=5, server_count=3, slots_per_server=4
)
CHIMBORAZO = PoolSize(
    "chimborazo", daemon_count=5, server_count=3, slots_per_server=2
)


@dataclasses.dataclass(frozen=True, slots=True)
class ComparisonPlan:
    """Parameters of one run.

    Attributes:
        size: size of the pool.
        load_ratio: mean share of the slots in use if no server is slow.
        measured_seconds: virtual time for which calls are measured.
        seed: seed of the calls, the work and the slow servers.
        has_slow_server: whether one server at a time is slow, chosen at random
            again after each slow period.
    """

    size: PoolSize
    load_ratio: float
    measured_seconds: float
    seed: int
    has_slow_server: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ComparisonResult:
    """Results of one run.

    Attributes:
        call_count: number of measured calls.
        answered_count: number of calls with a whole answer.
        p50_seconds: median duration of a call in seconds.
        p99_seconds: 99th percentile of the durations in seconds.
        max_in_flight: most requests in flight at one server.
        admission_request_ratio: share of the selections that waited for the
            pool owner.
        messages_per_call: messages between daemons per call.
        message_bytes_per_call: bytes of these messages per call.
    """

    call_count: int
    answered_count: int
    p50_seconds: float
    p99_seconds: float
    max_in_flight: int
    admission_request_ratio: float
    messages_per_call: float
    message_bytes_per_call: float


class CountingPoolClient(clients.PoolClient):
    """Counts direct selections and admission requests.

    Attributes:
        direct_count: number of selections made without the pool owner.
        admission_request_count: number of admission requests to the pool owner.
    """

    direct_count = 0
    admission_request_count = 0

    def plan(self, *arguments: object, **named: object) -> clients.Plan:
        """Returns the plan of the base class and counts it."""
        plan = super().plan(*arguments, **named)  # type: ignore[arg-type]
        if isinstance(plan, clients.SendDirect):
            self.direct_count += 1
        if isinstance(plan, clients.RequestAdmission):
            self.admission_request_count += 1
        return plan


def measure(
    plan: ComparisonPlan, make_pool_client: pool_component.PoolClientFactory
) -> ComparisonResult:
    """Runs a plan with one kind of pool client on a new virtual loop."""
    return loop.run_virtual(_measure(plan, make_pool_client))


async def _measure(
    plan: ComparisonPlan, make_pool_client: pool_component.PoolClientFactory
) -> ComparisonResult:
    model = fleet_simulation.SimulationModel(
        data_centres=("only",),
        daemons_per_data_centre=plan.size.daemon_count,
        servers_per_pool=plan.size.server_count,
        server_model=servers.ServerModel(
            slots=plan.size.slots_per_server,
            queue_length=1000,
            mean_work_seconds=MEAN_WORK_SECONDS,
        ),
        services={"ledger": 'deadline = "30s"'},
        make_pool_client=make_pool_client,
    )
    simulation = fleet_simulation.Simulation(model, plan.seed)
    await simulation.start()
    results = await _run_calls(simulation, plan)
    durations = sorted(r.ended_at - r.sent_at for r in results)
    answered = [r for r in results if isinstance(r.outcome, outcomes.Answered)]
    direct_count, admission_request_count = _count_selections(simulation)
    return ComparisonResult(
        call_count=len(results),
        answered_count=len(answered),
        p50_seconds=durations[len(durations) // 2],
        p99_seconds=durations[int(len(durations) * 0.99)],
        max_in_flight=max(
            server.max_in_flight for server in simulation.servers.values()
        ),
        admission_request_ratio=admission_request_count
        / max(1, direct_count + admission_request_count),
        messages_per_call=sum(simulation.message_counts.values())
        / len(results),
        message_bytes_per_call=simulation.message_bytes / len(results),
    )


async def _run_calls(
    simulation: fleet_simulation.Simulation, plan: ComparisonPlan
) -> list[callers.SendResult]:
    """Sends the calls and returns the results of those after the warm-up."""
    random_source = random.Random(plan.seed + 1)
    caller = callers.VirtualCaller(simulation, random.Random(plan.seed + 2))
    rate = (
        plan.load_ratio
        * plan.size.server_count
        * plan.size.slots_per_server
        / MEAN_WORK_SECONDS
    )
    event_loop = asyncio.get_running_loop()
    measured_from = event_loop.time() + WARM_UP_SECONDS
    end = measured_from + plan.measured_seconds
    event_loop.call_at(measured_from, _reset_counts, simulation)
    slowdown_task = asyncio.create_task(_slow_servers(simulation, plan))
    tasks = []
    while event_loop.time() < end:
        tasks.append(asyncio.create_task(caller.get("/team/ledger/x", 30.0)))
        await asyncio.sleep(random_source.expovariate(rate))
    results = await asyncio.gather(*tasks)
    slowdown_task.cancel()
    return [r for r in results if r.sent_at >= measured_from]


async def _slow_servers(
    simulation: fleet_simulation.Simulation, plan: ComparisonPlan
) -> None:
    if not plan.has_slow_server:
        return
    random_source = random.Random(plan.seed + 3)
    names = list(simulation.servers)
    while True:
        server = simulation.servers[random_source.choice(names)]
        server.slow_factor = SLOW_FACTOR
        await asyncio.sleep(
            random_source.uniform(
                MIN_SLOW_PERIOD_SECONDS, MAX_SLOW_PERIOD_SECONDS
            )
        )
        server.slow_factor = 1.0


def _reset_counts(simulation: fleet_simulation.Simulation) -> None:
    """Resets the selection counts, since warm-up calls are not measured."""
    for daemon in simulation.daemons.values():
        for pool_client in daemon.node.pools.pool_clients.values():
            if isinstance(pool_client, CountingPoolClient):
                pool_client.direct_count = 0
                pool_client.admission_request_count = 0


def _count_selections(
    simulation: fleet_simulation.Simulation,
) -> tuple[int, int]:
    """Returns the numbers of direct selections and admission requests."""
    direct_count = 0
    admission_request_count = 0
    for daemon in simulation.daemons.values():
        for pool_client in daemon.node.pools.pool_clients.values():
            if isinstance(pool_client, CountingPoolClient):
                direct_count += pool_client.direct_count
                admission_request_count += pool_client.admission_request_count
    return direct_count, admission_request_count


CLIENT_FACTORIES: dict[str, pool_component.PoolClientFactory] = {
    "own counts": baselines.OwnCountsPoolClient,
    "pool owner": CountingPoolClient,
}
