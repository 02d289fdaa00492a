"""Scripted sessions whose events are recorded in golden files.

Run `python -m hyssopwind.standins.virtual.sessions DIRECTORY` to write the
files again after an intended change of behaviour.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import sys
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias

import multidict

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core import registry
from hyssopwind.core.ownership import partitions
from hyssopwind.core.requests import classification
from hyssopwind.standins.virtual import callers
from hyssopwind.standins.virtual import fleet_simulation
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import servers

Event: TypeAlias = dict[str, Any]
Session: TypeAlias = Callable[[], Coroutine[Any, Any, list[Event]]]
SESSIONS: registry.Registry[str, Session] = registry.Registry("session")

SEED = 7
PATH = "/team/ledger/item"


class Recorder:
    """Collects the events of a session with their virtual times."""

    def __init__(self) -> None:
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """The events recorded so far."""
        return self._events

    def record_event(self, event: str, **details: object) -> None:
        """Adds an event with its details."""
        now = asyncio.get_running_loop().time()
        self._events.append({"time": round(now, 2), "event": event, **details})


def describe_outcome(outcome: outcomes.Outcome | None) -> str:
    """Returns the tag of an outcome and the reason of a failure."""
    if outcome is None:
        return "no answer"
    if isinstance(outcome, outcomes.Answered):
        return outcome.tag
    return f"{outcome.tag}: {outcome.reason.slug}"


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationPlan:
    """Parameters of the evacuation of a data centre under load.

    Attributes:
        seed: seed of all random choices.
        load_ratio: mean share of all slots in use before the evacuation.
        has_server_crash: whether a server of another data centre crashes during
            it.
        before_seconds: seconds of load before the evacuation.
        evacuated_seconds: seconds for which the data centre is evacuated.
        after_seconds: seconds of load after the data centre is back in service.
    """

    seed: int = SEED
    load_ratio: float = 0.6
    has_server_crash: bool = True
    before_seconds: float = 6.0
    evacuated_seconds: float = 8.0
    after_seconds: float = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationResult:
    """Results of an evacuation run.

    Attributes:
        call_count: number of calls.
        answered_count: number of calls with a whole answer within the deadline.
        before_p99_seconds: 99th percentile of the latency before the
            evacuation, in seconds.
        evacuation_p99_seconds: 99th percentile of the latency from the
            evacuation on, in seconds.
        late_request_count: number of requests that reached the evacuated data
            centre later than 3 s after the evacuation.
        outcomes: number of calls by outcome, for each phase.
        breaches: breaches of the daemons' invariants.
    """

    call_count: int
    answered_count: int
    before_p99_seconds: float
    evacuation_p99_seconds: float
    late_request_count: int
    outcomes: dict[str, dict[str, int]]
    breaches: tuple[str, ...]


EVACUATION_SERVER_MODEL = servers.ServerModel(
    slots=2, mean_work_seconds=0.02, queue_length=100
)
EVACUATION_MODEL = fleet_simulation.SimulationModel(
    servers_per_pool=3,
    server_model=EVACUATION_SERVER_MODEL,
    services={"ledger": 'deadline = "2s"'},
)


async def run_evacuation(
    plan: EvacuationPlan, recorder: Recorder
) -> EvacuationResult:
    """Evacuates Chicago and brings it back under continued load."""
    simulation = fleet_simulation.Simulation(EVACUATION_MODEL, plan.seed)
    await simulation.start()
    event_loop = asyncio.get_running_loop()
    caller = callers.VirtualCaller(simulation, random.Random(plan.seed + 1))
    random_source = random.Random(plan.seed + 2)
    slots = EVACUATION_SERVER_MODEL.slots * len(simulation.servers)
    rate = plan.load_ratio * slots / EVACUATION_SERVER_MODEL.mean_work_seconds
    tasks: list[asyncio.Task[callers.SendResult]] = []

    async def call_for(seconds: float) -> float:
        end = event_loop.time() + seconds
        while event_loop.time() < end:
            tasks.append(asyncio.create_task(caller.get(PATH)))
            await asyncio.sleep(random_source.expovariate(rate))
        return event_loop.time()

    await call_for(2.0)
    warm_up_call_count = len(tasks)
    evacuated_at = await call_for(plan.before_seconds)
    recorder.record_event("chicago goes out")
    simulation.set_data_centre("chicago", "out")
    await call_for(plan.evacuated_seconds / 2)
    if plan.has_server_crash:
        recorder.record_event("a server in detroit fails")
        simulation.servers[ids.ServerId("ledger-detroit-1")].crash()
    restored_at = await call_for(plan.evacuated_seconds / 2)
    recorder.record_event("chicago comes back")
    simulation.set_data_centre("chicago", "in")
    await call_for(plan.after_seconds)
    results = (await asyncio.gather(*tasks))[warm_up_call_count:]
    return _evaluate_evacuation(
        simulation, list(results), evacuated_at, restored_at, recorder
    )


def _evaluate_evacuation(
    simulation: fleet_simulation.Simulation,
    results: list[callers.SendResult],
    evacuated_at: float,
    restored_at: float,
    recorder: Recorder,
) -> EvacuationResult:
    phases: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for call in results:
        phase = "quiet" if call.sent_at < evacuated_at else "out"
        if call.sent_at >= restored_at:
            phase = "back"
        phases[phase][describe_outcome(call.outcome)] += 1
    late_request_count = 0
    for server in simulation.servers.values():
        if ids.pool_data_centre(server.pool_id) != "chicago":
            continue
        late_request_count += sum(
            evacuated_at + 3.0 < time < restored_at
            for time in server.arrival_times
        )
    answered_count = sum(
        isinstance(call.outcome, outcomes.Answered) for call in results
    )
    result = EvacuationResult(
        len(results),
        answered_count,
        _p99_latency([r for r in results if r.sent_at < evacuated_at]),
        _p99_latency([r for r in results if r.sent_at >= evacuated_at]),
        late_request_count,
        {name: dict(counts) for name, counts in phases.items()},
        tuple(simulation.breaches),
    )
    recorder.record_event("calls have ended", outcomes=result.outcomes)
    recorder.record_event(
        "tails",
        quiet_p99_ms=round(result.before_p99_seconds * 1000),
        move_p99_ms=round(result.evacuation_p99_seconds * 1000),
        late_work=late_request_count,
    )
    return result


def _p99_latency(results: list[callers.SendResult]) -> float:
    latencies = sorted(call.ended_at - call.sent_at for call in results)
    return latencies[int(len(latencies) * 0.99)]


@SESSIONS.register("morning")
async def record_evacuation() -> list[Event]:
    """Records an evacuation during which a server crashes."""
    recorder = Recorder()
    await run_evacuation(
        EvacuationPlan(
            before_seconds=3.0, evacuated_seconds=4.0, after_seconds=3.0
        ),
        recorder,
    )
    return recorder.events


@SESSIONS.register("dispatch")
async def record_dispatch() -> list[Event]:
    """Records the replacement of a key's owner while its request runs."""
    recorder = Recorder()
    model = fleet_simulation.SimulationModel(
        server_model=servers.ServerModel(mean_work_seconds=0.5)
    )
    simulation = fleet_simulation.Simulation(model, SEED)
    await simulation.start()
    caller = callers.VirtualCaller(simulation, random.Random(SEED))
    key = caller.new_key()
    fields = multidict.CIMultiDict({classification.IDEMPOTENCY_KEY_HEADER: key})
    request = classification.Request("POST", PATH, PATH, fields, b"crew")
    owner = _find_owner(simulation, key)
    sending = asyncio.create_task(caller.send(request, 1.0, owner))
    await asyncio.sleep(0.05)
    recorder.record_event(
        "dispatch is running", ran=len(simulation.execution_times(key))
    )
    simulation.replace_daemon(owner.name)
    recorder.record_event("owner is replaced", owner=owner.name)
    first = await sending
    recorder.record_event(
        "first sending", outcome=describe_outcome(first.outcome)
    )
    for _ in range(8):
        result = await caller.send(request, 1.0)
        recorder.record_event(
            "resend", outcome=describe_outcome(result.outcome)
        )
        await asyncio.sleep(0.5)
    recorder.record_event("end", ran=len(simulation.execution_times(key)))
    return recorder.events


def _find_owner(
    simulation: fleet_simulation.Simulation, key: str
) -> fleet_simulation.VirtualDaemon:
    partition = partitions.partition_of(key)
    for daemon in simulation.daemons.values():
        if daemon.node.keys.lease_holder.is_held(partition, daemon.clock.now()):
            return daemon
    raise LookupError(f'no daemon holds the lease of "{partition}"')


@SESSIONS.register("poison")
async def record_poison() -> list[Event]:
    """Records repeated sending of a request that crashes servers."""
    recorder = Recorder()
    simulation = fleet_simulation.Simulation(
        fleet_simulation.SimulationModel(), SEED
    )
    await simulation.start()
    caller = callers.VirtualCaller(simulation, random.Random(SEED))
    fields = multidict.CIMultiDict({servers.POISON_HEADER: "1"})
    poison = classification.Request(
        "GET", f"{PATH}/bad", f"{PATH}/bad", fields, b""
    )
    for name in sorted(simulation.daemons):
        result = await caller.send(poison, 3.0, simulation.daemons[name])
        crashes = sum(s.crash_count for s in simulation.servers.values())
        recorder.record_event(
            "poison", outcome=describe_outcome(result.outcome), crashes=crashes
        )
        await asyncio.sleep(0.2)
    other_results = [await caller.get(PATH) for _ in range(20)]
    counts = collections.Counter(
        describe_outcome(r.outcome) for r in other_results
    )
    recorder.record_event("other requests", outcomes=dict(counts))
    return recorder.events


@SESSIONS.register("configuration")
async def record_configuration() -> list[Event]:
    """Records an outage of the configuration service and its end.

    A daemon is replaced during the outage. When the service is back, one
    daemon receives the settings from it and the others from this daemon.
    """
    recorder = Recorder()
    simulation = fleet_simulation.Simulation(
        fleet_simulation.SimulationModel(), SEED
    )
    await simulation.start()
    recorder.record_event("in force", revisions=_revisions(simulation))
    simulation.is_configuration_service_up = False
    recorder.record_event("configuration service is away")
    name = "entry-chicago-1"
    simulation.replace_daemon(name)
    await asyncio.sleep(8.0)
    recorder.record_event(
        "replaced daemon",
        daemon=name,
        ready=simulation.daemons[name].is_ready,
        revisions=_revisions(simulation),
    )
    simulation.set_data_centre("chicago", "out")
    await asyncio.sleep(1.0)
    recorder.record_event(
        "published while away", revisions=_revisions(simulation)
    )
    simulation.is_configuration_service_up = True
    updated_daemon = simulation.daemons["entry-detroit-2"]
    simulation.deliver_platform_state(updated_daemon)
    recorder.record_event("one daemon is told")
    await asyncio.sleep(1.0)
    recorder.record_event("in force", revisions=_revisions(simulation))
    return recorder.events


def _revisions(simulation: fleet_simulation.Simulation) -> dict[str, int]:
    revision_by_daemon = {}
    for name, daemon in sorted(simulation.daemons.items()):
        revisions = daemon.node.configuration.document_store.revisions
        revision_by_daemon[name] = revisions.get(ids.TeamId("team"), 0)
    return revision_by_daemon


def render(name: str) -> str:
    """Runs a session and returns its events as JSON lines."""
    events = loop.run_virtual(SESSIONS.find(name)())
    return "".join(json.dumps(event) + "\n" for event in events)


def main() -> None:
    """Writes the golden files of all sessions."""
    directory = pathlib.Path(sys.argv[1])
    for name in SESSIONS:
        path = directory / f"{name}.jsonl"
        path.write_text(render(name), encoding="utf-8")


if __name__ == "__main__":
    main()
