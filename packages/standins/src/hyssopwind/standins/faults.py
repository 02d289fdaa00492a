"""A short failure run of real processes, with a fixed order of faults.

It kills, pauses and replaces daemons and servers, cuts connections off in a
relay, takes the configuration service away and moves a data centre, while
callers send again to other daemons. At the end it counts what servers ran.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import sys
import tempfile
import time
from typing import Any

import aiohttp

from hyssopwind.standins import caller
from hyssopwind.standins import fleet
from hyssopwind.standins import processes

SEED = 20261203
CALLS_PER_SECOND = 120
POLL = 0.25  # seconds between two audits of the servers
OUT_GRACE = 3.0  # seconds after which a data centre that is out gets no work
CHANGE_BOUND = 5.0  # seconds until a change is in force everywhere
PROBE_BUDGET = 2.0  # probes a second of one server
COLD_REQUESTS = 20
COLD_LIMIT = 1
COLD_START = f"cold_start = {{ limit = {COLD_LIMIT}, step = {COLD_REQUESTS} }}"

PLAN = fleet.FleetPlan(
    ("milwaukee", "chicago", "detroit"),
    (
        fleet.ServicePlan(
            "office", "ledger", cold_requests=COLD_REQUESTS, extra=COLD_START
        ),
        fleet.ServicePlan(
            "studio", "roster", cold_requests=COLD_REQUESTS, extra=COLD_START
        ),
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Post:
    """One non-idempotent request and what its caller was told."""

    key: str
    results: tuple[caller.Result, ...]


@dataclasses.dataclass(slots=True)
class Ledger:
    """What the run collects."""

    posts: list[Post] = dataclasses.field(default_factory=list)
    gets: list[caller.Result] = dataclasses.field(default_factory=list)
    executions: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peak_cold: int = 0
    probe_rate: float = 0.0
    late_work: int = 0
    change_seconds: list[float] = dataclasses.field(default_factory=list)
    cut_by_stop: int = 0
    logged_errors: int = 0


class FaultRun:
    """Drives the calls, the faults and the audits."""

    def __init__(self, running: fleet.Fleet, session: aiohttp.ClientSession):
        self._running = running
        self._caller = caller.Caller(session, patience=4.0)
        self._random = random.Random(SEED)
        self._ledger = Ledger()
        self._is_over = asyncio.Event()
        self._reported: set[tuple[str, str]] = set()
        self._lives: dict[tuple[str, str], dict[str, Any]] = {}
        self._first_probe: dict[tuple[str, str], tuple[float, int]] = {}

    async def run(self) -> Ledger:
        """Runs everything and returns what was collected."""
        audits = asyncio.create_task(self._audit_loop())
        calls = asyncio.create_task(self._call_loop())
        for step in (
            self._kill_daemon,
            self._pause_daemon,
            self._kill_server,
            self._move_data_centre,
            self._stop_configuration,
            self._stop_daemon,
        ):
            print(f"step: {step.__name__.strip('_').replace('_', ' ')}")
            await step()
            await asyncio.sleep(1.0)
        self._is_over.set()
        await calls
        await audits
        self._sum_up()
        return self._ledger

    async def _kill_daemon(self) -> None:
        """Ends a daemon without warning and starts it without memory."""
        name = "entry-chicago-1"
        self._running.group.kill(name)
        await asyncio.sleep(0.5)
        self._running.start_daemon(name)
        await self._running.wait_ready(name)

    async def _pause_daemon(self) -> None:
        """Stops a daemon for longer than a lease and lets it go on."""
        name = "entry-detroit-1"
        self._running.group.pause(name)
        await asyncio.sleep(3.0)
        self._running.group.resume(name)
        await asyncio.sleep(2.0)

    async def _kill_server(self) -> None:
        """Ends a server; it starts again cold."""
        name = "ledger-milwaukee-1"
        self._running.group.kill(name)
        await asyncio.sleep(1.0)
        self._running.start_server(name)
        await asyncio.sleep(2.0)

    async def _move_data_centre(self) -> None:
        """Takes a data centre out, counts late work, brings it back."""
        await self._change(lambda: self._set_state("chicago", "out"))
        await asyncio.sleep(OUT_GRACE)
        before = await self._completed_in("chicago")
        await asyncio.sleep(2.0)
        after = await self._completed_in("chicago")
        self._ledger.late_work += after - before
        await self._change(lambda: self._set_state("chicago", "in"))
        await asyncio.sleep(3.0)

    async def _stop_configuration(self) -> None:
        """Keeps the configuration service away while a daemon starts."""
        running = self._running
        await running.set_mode(running.configuration, "down")
        name = "entry-milwaukee-2"
        running.group.kill(name)
        running.start_daemon(name)
        await running.wait_ready(name)
        status = await running.status(name)
        revisions = [team["revision_in_force"] for team in status["teams"]]
        print(f"  {name} took revisions {revisions} from its peers")
        await running.set_mode(running.configuration, "up")
        await asyncio.sleep(1.0)

    async def _stop_daemon(self) -> None:
        """Stops a daemon as planned, under calls of its own."""
        name = "entry-detroit-2"
        daemon = self._running.daemons[name]
        stop = asyncio.Event()
        calling = asyncio.create_task(self._call_until(daemon.callers, stop))
        await asyncio.sleep(0.5)
        self._running.group.terminate(name)
        status = await asyncio.to_thread(self._running.group.wait, name)
        stop.set()
        self._ledger.cut_by_stop += await calling
        print(f"  {name} stopped with exit status {status}")

    async def _call_until(self, address: str, stop: asyncio.Event) -> int:
        """Calls one daemon; returns how many answers were cut off.

        A refused connection is no cut: the balancer sends it elsewhere.
        """
        cut = 0
        while not stop.is_set():
            result = await self._caller.call(address, "/office/ledger/own")
            if result.verdict is caller.Verdict.NO_ANSWER:
                if await self._is_listening(address):
                    cut += 1
                await asyncio.sleep(0.05)
            if result.verdict is caller.Verdict.WRONG:
                cut += 1
        return cut

    async def _is_listening(self, address: str) -> bool:
        host, _, port = address.partition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def _set_state(self, name: str, state: str) -> None:
        await self._running.set_data_centre(name, state)

    async def _change(self, publish: Any) -> None:
        """Publishes a change; notes how long it takes to be in force."""
        before = await self._revisions()
        started = time.monotonic()
        await publish()
        while time.monotonic() - started < 2 * CHANGE_BOUND:
            present = await self._revisions()
            if all(present[name] > before[name] for name in before):
                break
            await asyncio.sleep(0.02)
        self._ledger.change_seconds.append(time.monotonic() - started)

    async def _revisions(self) -> dict[str, int]:
        """Returns the lowest revision in force at each daemon."""
        found = {}
        for name in self._running.daemons:
            status = await self._running.status(name)
            teams = status["teams"]
            found[name] = min(team["revision_in_force"] for team in teams)
        return found

    async def _completed_in(self, data_centre: str) -> int:
        total = 0
        for server in self._running.servers.values():
            if server.data_centre == data_centre:
                audit = await self._running.audit(server.name)
                total += audit.get("completed", 0)
        return total

    async def _call_loop(self) -> None:
        tasks: list[asyncio.Task[None]] = []
        while not self._is_over.is_set():
            call = self._post if self._random.random() < 0.4 else self._get
            tasks.append(asyncio.create_task(call()))
            await asyncio.sleep(self._random.expovariate(CALLS_PER_SECOND))
        await asyncio.gather(*tasks)

    def _addresses(self) -> list[str]:
        daemons = list(self._running.daemons.values())
        self._random.shuffle(daemons)
        return [daemon.callers for daemon in daemons]

    async def _get(self) -> None:
        result = await self._caller.call(
            self._addresses()[0], "/studio/roster/today"
        )
        self._ledger.gets.append(result)

    async def _post(self) -> None:
        key = caller.new_key()
        results = await self._caller.post_until_final(
            self._addresses(),
            "/office/ledger/deposits",
            b"deposit",
            {caller.KEY_HEADER: key},
        )
        self._ledger.posts.append(Post(key, tuple(results)))

    async def _audit_loop(self) -> None:
        while not self._is_over.is_set():
            await self._audit()
            self._note_cold_peaks()
            await asyncio.sleep(POLL)
        await asyncio.sleep(1.0)
        await self._audit()

    async def _audit(self) -> None:
        for name in self._running.servers:
            audit = await self._running.audit(name)
            if not audit:
                continue
            life = (name, audit["start"])
            self._lives[life] = audit
            self._first_probe.setdefault(
                life, (time.monotonic(), audit["probes"])
            )
            began, count = self._first_probe[life]
            elapsed = time.monotonic() - began
            if elapsed > 5.0:
                rate = (audit["probes"] - count) / elapsed
                self._ledger.probe_rate = max(self._ledger.probe_rate, rate)

    def _note_cold_peaks(self) -> None:
        """Prints a cold server over its limit when it is first seen."""
        for life, audit in self._lives.items():
            if audit["peak_cold"] <= COLD_LIMIT or life in self._reported:
                continue
            self._reported.add(life)
            print(f"  {life[0]}: cold peak of {audit['peak_cold']}")

    def _sum_up(self) -> None:
        for name in self._running.daemons:
            log = self._running.group.read_log(name)
            self._ledger.logged_errors += log.count('"level":"ERROR"')
            self._ledger.logged_errors += log.count("Traceback")
            self._ledger.logged_errors += log.count("without a successor")
        self._ledger.executions = self._running.count_executions()
        for audit in self._lives.values():
            self._ledger.peak_cold = max(
                self._ledger.peak_cold, audit["peak_cold"]
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of the result."""

    name: str
    value: float
    bound: float
    at_least: bool = False

    @property
    def holds(self) -> bool:
        """Whether the value is within its bound."""
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound


def judge(ledger: Ledger) -> list[Line]:
    """Returns the figures of a run with the bounds of the promises."""
    twice = sum(count > 1 for count in ledger.executions.values())
    false_not_run = 0
    lost = 0
    for post in ledger.posts:
        ran = ledger.executions[post.key]
        last = post.results[-1].verdict
        false_not_run += last is caller.Verdict.NOT_RUN and ran > 0
        lost += last is caller.Verdict.WHOLE and ran == 0
    wrong = sum(r.verdict is caller.Verdict.WRONG for r in ledger.gets)
    for post in ledger.posts:
        wrong += sum(r.verdict is caller.Verdict.WRONG for r in post.results)
    silent = sum(
        r.verdict in (caller.Verdict.NOT_RUN, caller.Verdict.UNKNOWN)
        and r.retry_after is None
        and r.reason not in FINAL_REASONS
        for r in ledger.gets
    )
    return [
        Line("keys that ran more than once", twice, 0),
        Line("keys said not run that ran", false_not_run, 0),
        Line("answered keys that never ran", lost, 0),
        Line("answers short or crossed", wrong, 0),
        Line("refusals without a time to come back", silent, 0),
        Line("work in a data centre out for 3 s", ledger.late_work, 0),
        Line("peak at a cold server", ledger.peak_cold, COLD_LIMIT),
        Line("probes of a server a second", ledger.probe_rate, PROBE_BUDGET),
        Line("errors in the daemons' logs", ledger.logged_errors, 0),
        Line("calls cut by a planned stop", ledger.cut_by_stop, 0),
        Line(
            "slowest change in force, seconds",
            max(ledger.change_seconds),
            CHANGE_BOUND,
        ),
    ]


FINAL_REASONS = ("quarantined", "no-route", "malformed")


def show(ledger: Ledger) -> bool:
    """Prints the result; returns whether all bounds hold."""
    print(f"\nseed {SEED}")
    for title, verdicts in (
        ("posts", [post.results[-1] for post in ledger.posts]),
        ("gets", ledger.gets),
    ):
        counts = collections.Counter(
            f"{r.verdict.value} {r.reason}".strip() for r in verdicts
        )
        print(f"{title}: {dict(sorted(counts.items()))}")
    lines = judge(ledger)
    for line in lines:
        state = "holds" if line.holds else "BROKEN"
        print(f"{line.name:40}{line.value:10.2f}  <= {line.bound}  {state}")
    return all(line.holds for line in lines)


async def _run(directory: pathlib.Path) -> bool:
    with processes.process_group(directory) as group:
        async with aiohttp.ClientSession() as session:
            running = fleet.Fleet(PLAN, group, directory, session)
            await running.start()
            ledger = await FaultRun(running, session).run()
    return show(ledger)


def main() -> None:
    """Runs the faults; the exit status is 1 where a promise broke."""
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as directory:
        holds = asyncio.run(_run(pathlib.Path(directory)))
    sys.exit(0 if holds else 1)


if __name__ == "__main__":
    main()
