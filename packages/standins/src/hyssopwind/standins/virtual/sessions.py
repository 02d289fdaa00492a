"""Scripted sessions whose course is kept in golden files.

Run `python -m hyssopwind.standins.virtual.sessions DIRECTORY` to write the
files anew after an intended change of behaviour.
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
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import servers
from hyssopwind.standins.virtual import world

Line: TypeAlias = dict[str, Any]
Session: TypeAlias = Callable[[], Coroutine[Any, Any, list[Line]]]
SESSIONS: registry.Registry[str, Session] = registry.Registry("session")

SEED = 7
PATH = "/team/ledger/item"


class Recorder:
    """Collects the lines of a session with their virtual times."""

    def __init__(self) -> None:
        self._lines: list[Line] = []

    @property
    def lines(self) -> list[Line]:
        """The lines so far."""
        return self._lines

    def note(self, event: str, **details: object) -> None:
        """Adds a line."""
        now = asyncio.get_running_loop().time()
        self._lines.append({"time": round(now, 2), "event": event, **details})


def describe(outcome: outcomes.Outcome | None) -> str:
    """Returns an outcome in a few words."""
    if outcome is None:
        return "no answer"
    if isinstance(outcome, outcomes.Answered):
        return outcome.tag
    return f"{outcome.tag}: {outcome.reason.slug}"


@dataclasses.dataclass(frozen=True, slots=True)
class MorningPlan:
    """A data centre that leaves and returns under load.

    Attributes:
        seed: seed of everything random.
        load: share of all slots that the calls keep busy.
        crash: whether a server of another data centre fails meanwhile.
        quiet: seconds before the data centre leaves.
        out: seconds for which it is out.
        after: seconds after its return.
    """

    seed: int = SEED
    load: float = 0.6
    crash: bool = True
    quiet: float = 6.0
    out: float = 8.0
    after: float = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class MorningResult:
    """What the callers got.

    Attributes:
        calls: calls of the whole session.
        answered: calls with a whole answer within the deadline.
        quiet_p99: 99th percentile before the move, in seconds.
        move_p99: 99th percentile from the move on, in seconds.
        late_work: requests that reached the data centre 3 s after it left.
        outcomes: how the calls of each phase ended.
        breaches: breaches of the invariants.
    """

    calls: int
    answered: int
    quiet_p99: float
    move_p99: float
    late_work: int
    outcomes: dict[str, dict[str, int]]
    breaches: tuple[str, ...]


MORNING_SERVERS = servers.ServerModel(slots=2, mean_work=0.02, queue=100)
MORNING_WORLD = world.WorldModel(
    servers_per_pool=3,
    server=MORNING_SERVERS,
    services={"ledger": 'deadline = "2s"'},
)


async def run_morning(plan: MorningPlan, recorder: Recorder) -> MorningResult:
    """Takes Chicago out and back while callers go on."""
    target = world.World(MORNING_WORLD, plan.seed)
    await target.start()
    clock = asyncio.get_running_loop()
    caller = callers.VirtualCaller(target, random.Random(plan.seed + 1))
    generator = random.Random(plan.seed + 2)
    slots = MORNING_SERVERS.slots * len(target.servers)
    rate = plan.load * slots / MORNING_SERVERS.mean_work
    tasks: list[asyncio.Task[callers.Told]] = []

    async def call_for(seconds: float) -> float:
        end = clock.time() + seconds
        while clock.time() < end:
            tasks.append(asyncio.create_task(caller.get(PATH)))
            await asyncio.sleep(generator.expovariate(rate))
        return clock.time()

    await call_for(2.0)
    warm = len(tasks)
    leaves = await call_for(plan.quiet)
    recorder.note("chicago goes out")
    target.set_data_centre("chicago", "out")
    await call_for(plan.out / 2)
    if plan.crash:
        recorder.note("a server in detroit fails")
        target.servers[ids.ServerId("ledger-detroit-1")].crash()
    returns = await call_for(plan.out / 2)
    recorder.note("chicago comes back")
    target.set_data_centre("chicago", "in")
    await call_for(plan.after)
    told = (await asyncio.gather(*tasks))[warm:]
    return _judge_morning(target, list(told), leaves, returns, recorder)


def _judge_morning(
    target: world.World,
    told: list[callers.Told],
    leaves: float,
    returns: float,
    recorder: Recorder,
) -> MorningResult:
    phases: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for item in told:
        phase = "quiet" if item.sent < leaves else "out"
        if item.sent >= returns:
            phase = "back"
        phases[phase][describe(item.outcome)] += 1
    late_work = 0
    for server in target.servers.values():
        if ids.pool_data_centre(server.pool) != "chicago":
            continue
        late_work += sum(
            leaves + 3.0 < time < returns for time in server.arrivals
        )
    answered = sum(isinstance(item.outcome, outcomes.Answered) for item in told)
    result = MorningResult(
        len(told),
        answered,
        _tail([t for t in told if t.sent < leaves]),
        _tail([t for t in told if t.sent >= leaves]),
        late_work,
        {name: dict(counts) for name, counts in phases.items()},
        tuple(target.breaches),
    )
    recorder.note("calls have ended", outcomes=result.outcomes)
    recorder.note(
        "tails",
        quiet_p99_ms=round(result.quiet_p99 * 1000),
        move_p99_ms=round(result.move_p99 * 1000),
        late_work=late_work,
    )
    return result


def _tail(told: list[callers.Told]) -> float:
    times = sorted(item.heard - item.sent for item in told)
    return times[int(len(times) * 0.99)]


@SESSIONS.register("morning")
async def record_morning() -> list[Line]:
    """A data centre leaves and returns; a server fails in the middle."""
    recorder = Recorder()
    await run_morning(MorningPlan(quiet=3.0, out=4.0, after=3.0), recorder)
    return recorder.lines


@SESSIONS.register("dispatch")
async def record_dispatch() -> list[Line]:
    """The owner of a key is replaced in the middle of a dispatch."""
    recorder = Recorder()
    model = world.WorldModel(server=servers.ServerModel(mean_work=0.5))
    target = world.World(model, SEED)
    await target.start()
    caller = callers.VirtualCaller(target, random.Random(SEED))
    key = caller.new_key()
    fields = multidict.CIMultiDict({classification.KEY_HEADER: key})
    request = classification.Request("POST", PATH, PATH, fields, b"crew")
    owner = _find_owner(target, key)
    sending = asyncio.create_task(caller.send(request, 1.0, owner))
    await asyncio.sleep(0.05)
    recorder.note("dispatch is running", ran=len(target.executions(key)))
    target.replace_daemon(owner.name)
    recorder.note("owner is replaced", owner=owner.name)
    first = await sending
    recorder.note("first sending", outcome=describe(first.outcome))
    for _ in range(8):
        told = await caller.send(request, 1.0)
        recorder.note("resend", outcome=describe(told.outcome))
        await asyncio.sleep(0.5)
    recorder.note("end", ran=len(target.executions(key)))
    return recorder.lines


def _find_owner(target: world.World, key: str) -> world.VirtualDaemon:
    resource = partitions.partition_of(key)
    for daemon in target.daemons.values():
        if daemon.node.keys.holder.holds(resource, daemon.clock.now()):
            return daemon
    raise LookupError(f'no daemon holds resource "{resource}"')


@SESSIONS.register("poison")
async def record_poison() -> list[Line]:
    """A request that crashes servers is sent again and again."""
    recorder = Recorder()
    target = world.World(world.WorldModel(), SEED)
    await target.start()
    caller = callers.VirtualCaller(target, random.Random(SEED))
    fields = multidict.CIMultiDict({servers.POISON_HEADER: "1"})
    poison = classification.Request(
        "GET", f"{PATH}/bad", f"{PATH}/bad", fields, b""
    )
    for name in sorted(target.daemons):
        told = await caller.send(poison, 3.0, target.daemons[name])
        crashes = sum(s.crashes for s in target.servers.values())
        recorder.note("poison", outcome=describe(told.outcome), crashes=crashes)
        await asyncio.sleep(0.2)
    healthy = [await caller.get(PATH) for _ in range(20)]
    counts = collections.Counter(describe(t.outcome) for t in healthy)
    recorder.note("other requests", outcomes=dict(counts))
    return recorder.lines


@SESSIONS.register("configuration")
async def record_configuration() -> list[Line]:
    """The configuration service goes stale, a daemon starts, it returns."""
    recorder = Recorder()
    target = world.World(world.WorldModel(), SEED)
    await target.start()
    recorder.note("in force", revisions=_revisions(target))
    target.is_configuration_up = False
    recorder.note("configuration service is away")
    name = "entry-chicago-1"
    target.replace_daemon(name)
    await asyncio.sleep(8.0)
    recorder.note(
        "replaced daemon",
        daemon=name,
        ready=target.daemons[name].is_ready,
        revisions=_revisions(target),
    )
    target.set_data_centre("chicago", "out")
    await asyncio.sleep(1.0)
    recorder.note("published while away", revisions=_revisions(target))
    target.is_configuration_up = True
    only = target.daemons["entry-detroit-2"]
    target.inform(only)
    recorder.note("one daemon is told")
    await asyncio.sleep(1.0)
    recorder.note("in force", revisions=_revisions(target))
    return recorder.lines


def _revisions(target: world.World) -> dict[str, int]:
    found = {}
    for name, daemon in sorted(target.daemons.items()):
        revisions = daemon.node.configuration.documents.revisions
        found[name] = revisions.get(ids.TeamId("team"), 0)
    return found


def render(name: str) -> str:
    """Runs a session and returns its JSON lines."""
    lines = loop.run_virtual(SESSIONS.find(name)())
    return "".join(json.dumps(line) + "\n" for line in lines)


def main() -> None:
    """Writes the golden files of all sessions."""
    directory = pathlib.Path(sys.argv[1])
    for name in SESSIONS:
        path = directory / f"{name}.jsonl"
        path.write_text(render(name), encoding="utf-8")


if __name__ == "__main__":
    main()
