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
from hyssopwind.standins.virtual import fleet_simulation
from hyssopwind.standins.virtual import servers

WORK_PATH = "/team/ledger/item"

Fault: TypeAlias = Callable[
    [fleet_simulation.Simulation, random.Random], Coroutine[Any, Any, None]
]
FAULTS: registry.Registry[str, Fault] = registry.Registry("fault")


@dataclasses.dataclass(frozen=True, slots=True)
class ChaosPlan:
    """Parameters of one run.

    Attributes:
        seed: seed of all random choices.
        duration_seconds: virtual time with calls and faults.
        calls_per_second: calls per second, about a third non-idempotent.
        mean_fault_interval_seconds: mean seconds between two faults.
        faults: names of the faults to choose from.
        max_clock_error_seconds: largest error of the callers' clocks, in
            seconds.
    """

    seed: int
    duration_seconds: float = 40.0
    calls_per_second: float = 60.0
    mean_fault_interval_seconds: float = 1.5
    faults: tuple[str, ...] = dataclasses.field(
        default_factory=lambda: tuple(FAULTS)
    )
    max_clock_error_seconds: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ChaosReport:
    """Results of a run.

    Attributes:
        violations: descriptions of the violated guarantees.
        breaches: breaches of the daemons' invariants.
        post_outcome_counts: numbers of non-idempotent requests by last outcome.
        get_outcome_counts: numbers of idempotent requests by outcome.
        fault_counts: number of faults by name.
        crash_count: number of server crashes.
    """

    violations: tuple[str, ...]
    breaches: tuple[str, ...]
    post_outcome_counts: collections.Counter[str]
    get_outcome_counts: collections.Counter[str]
    fault_counts: collections.Counter[str]
    crash_count: int


@FAULTS.register("pause")
async def pause_daemon(
    simulation: fleet_simulation.Simulation, random_source: random.Random
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
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Kills a daemon and starts it again without its state."""
    name = random_source.choice(list(simulation.daemons))
    if simulation.daemons[name].is_ready:
        simulation.replace_daemon(name)


@FAULTS.register("leave")
async def restart_daemon(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Stops a daemon gracefully and starts it again later."""
    name = random_source.choice(list(simulation.daemons))
    daemon = simulation.daemons[name]
    if not daemon.is_ready or daemon.is_paused:
        return
    await daemon.stop_gracefully()
    await asyncio.sleep(random_source.uniform(0.0, 1.0))
    if simulation.daemons[name] is not daemon:
        return
    simulation.start_daemon(name, daemon.data_centre)


@FAULTS.register("cut")
async def partition_network(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Partitions the daemons into two groups for some seconds."""
    names = list(simulation.daemons)
    random_source.shuffle(names)
    split = random_source.randint(1, len(names) - 1)
    simulation.cut_links(names[:split], names[split:])
    await asyncio.sleep(random_source.uniform(0.5, 6.0))
    simulation.restore_links()


@FAULTS.register("crash")
async def crash_server(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Crashes a server, which starts again cold."""
    random_source.choice(list(simulation.servers.values())).crash()


@FAULTS.register("cold")
async def restart_server_warmup(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Makes a server cold without breaking its connections."""
    random_source.choice(list(simulation.servers.values())).restart_warmup()


@FAULTS.register("slow")
async def slow_server(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Slows a server down for up to two seconds."""
    server = random_source.choice(list(simulation.servers.values()))
    server.slow_factor = random_source.uniform(3.0, 30.0)
    await asyncio.sleep(random_source.uniform(0.1, 2.0))
    server.slow_factor = 1.0


@FAULTS.register("out")
async def evacuate_data_centre(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Publishes a data centre as `out`, and as `in` some seconds later."""
    name = random_source.choice(simulation.model.data_centres)
    simulation.set_data_centre(name, "out")
    await asyncio.sleep(random_source.uniform(1.0, 5.0))
    simulation.set_data_centre(name, "in")


@FAULTS.register("stale")
async def stop_platform_services(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Makes the platform's services unavailable for some seconds."""
    simulation.is_configuration_service_up = False
    simulation.is_vm_list_service_up = False
    await asyncio.sleep(random_source.uniform(1.0, 5.0))
    simulation.is_configuration_service_up = True
    simulation.is_vm_list_service_up = True


@FAULTS.register("poison")
async def send_poison_request(
    simulation: fleet_simulation.Simulation, random_source: random.Random
) -> None:
    """Sends a request four times; it crashes each server that runs it."""
    caller = callers.VirtualCaller(simulation, random_source)
    fields = {servers.POISON_HEADER: "1"}
    path = f"{WORK_PATH}/poison-{random_source.getrandbits(32)}"
    request = classification.Request("GET", path, path, fields, b"")
    for _ in range(4):
        await caller.send(request, 3.0)


class ChaosRun:
    """Sends calls and injects faults for one run."""

    def __init__(
        self, plan: ChaosPlan, simulation: fleet_simulation.Simulation
    ):
        self._plan = plan
        self._simulation = simulation
        self._random = random.Random(plan.seed * 7919 + 1)
        self._caller = callers.VirtualCaller(simulation, self._random)
        self._histories: list[callers.RequestHistory] = []
        self._get_results: list[callers.SendResult] = []
        self._fault_counts: collections.Counter[str] = collections.Counter()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> ChaosReport:
        """Runs calls and faults and returns the results."""
        await self._simulation.start()
        loop = asyncio.get_running_loop()
        end = loop.time() + self._plan.duration_seconds
        fault_task = asyncio.create_task(self._inject_faults(end))
        while loop.time() < end:
            self._start_task(self._call())
            delay = self._random.expovariate(self._plan.calls_per_second)
            await asyncio.sleep(delay)
        await fault_task
        await asyncio.gather(*self._tasks)
        return self._report()

    async def _inject_faults(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            interval = self._plan.mean_fault_interval_seconds
            await asyncio.sleep(self._random.expovariate(1 / interval))
            name = self._random.choice(self._plan.faults)
            self._fault_counts[name] += 1
            self._start_task(FAULTS.find(name)(self._simulation, self._random))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _call(self) -> None:
        if self._random.random() < 2 / 3:
            self._get_results.append(await self._caller.get(WORK_PATH))
            return
        header = classification.IDEMPOTENCY_KEY_HEADER
        key: str | None = self._caller.new_key(
            self._random.uniform(
                -self._plan.max_clock_error_seconds,
                self._plan.max_clock_error_seconds,
            )
        )
        if self._random.random() < 0.5:
            header = classification.TICKET_HEADER
            key = self._caller.request_ticket()
        if key is None:
            return
        history = await self._caller.post_until_final(WORK_PATH, header, key)
        self._histories.append(history)

    def _report(self) -> ChaosReport:
        violations: list[str] = []
        for history in self._histories:
            executions = self._simulation.execution_times(history.key)
            violations += callers.check_history(history, executions)
        for result in self._get_results:
            if not isinstance(result.outcome, outcomes.Answered):
                continue
            if result.outcome.body != b"":
                violations.append(
                    "a caller received the answer to another request"
                )
        return ChaosReport(
            tuple(violations),
            tuple(self._simulation.breaches),
            collections.Counter(
                _outcome_label(history.results[-1].outcome)
                for history in self._histories
            ),
            collections.Counter(
                _outcome_label(result.outcome) for result in self._get_results
            ),
            self._fault_counts,
            sum(
                server.crash_count
                for server in self._simulation.servers.values()
            ),
        )


def _outcome_label(outcome: outcomes.Outcome | None) -> str:
    if outcome is None:
        return "no answer"
    if isinstance(outcome, outcomes.Answered):
        return outcome.tag
    return f"{outcome.tag}: {outcome.reason.slug}"


async def run_chaos(
    plan: ChaosPlan, model: fleet_simulation.SimulationModel
) -> ChaosReport:
    """Builds a simulation and runs a plan in it."""
    return await ChaosRun(
        plan, fleet_simulation.Simulation(model, plan.seed)
    ).run()


FAULTY_NETWORK = fleet_simulation.NetworkModel(
    loss_ratio=0.02,
    duplication_ratio=0.05,
    stall_ratio=0.01,
    max_stall_seconds=3.0,
)
SLOW_SERVERS_MODEL = fleet_simulation.SimulationModel(
    network_model=FAULTY_NETWORK,
    server_model=servers.ServerModel(mean_work_seconds=0.2, slots=8),
    max_wall_error_seconds=0.1,
)
COLD_SERVERS_MODEL = fleet_simulation.SimulationModel(
    network_model=FAULTY_NETWORK,
    server_model=servers.ServerModel(requests_until_warm=10),
    max_wall_error_seconds=0.1,
)
