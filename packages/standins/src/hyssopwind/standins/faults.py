"""Short failure test with real processes and a fixed order of faults.

The run kills, pauses, stops and restarts daemons, kills a server, stops the
configuration service, and takes a data centre out and in again, while callers
retry at other daemons. At the end it compares the executions at the servers
with the results that the callers got.
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
from hyssopwind.standins import process_fleet
from hyssopwind.standins import processes

SEED = 20261203
CALLS_PER_SECOND = 120
AUDIT_INTERVAL_SECONDS = 0.25
# A data centre that was taken out gets no requests after this time.
EVACUATION_GRACE_SECONDS = 3.0
# A change is in force at all daemons within this time.
CHANGE_BOUND_SECONDS = 5.0
MAX_SERVER_PROBES_PER_SECOND = 2.0
COLD_REQUESTS = 20
COLD_REQUEST_LIMIT = 1
COLD_START_SETTINGS = (
    f"cold_start = {{ limit = {COLD_REQUEST_LIMIT}, step = {COLD_REQUESTS} }}"
)

FLEET_PLAN = process_fleet.FleetPlan(
    ("milwaukee", "chicago", "detroit"),
    (
        process_fleet.ServicePlan(
            "office",
            "ledger",
            cold_requests=COLD_REQUESTS,
            extra_settings=COLD_START_SETTINGS,
        ),
        process_fleet.ServicePlan(
            "studio",
            "roster",
            cold_requests=COLD_REQUESTS,
            extra_settings=COLD_START_SETTINGS,
        ),
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class PostRecord:
    """One non-idempotent request and the results of its attempts."""

    key: str
    results: tuple[caller.Result, ...]


@dataclasses.dataclass(slots=True)
class RunRecord:
    """Results and counters of one run.

    Attributes:
        posts: the non-idempotent requests.
        gets: results of the idempotent requests.
        executions: executions by key at all servers.
        peak_cold_in_flight: most requests in flight at a cold server.
        max_probes_per_second: highest number of probes of a server per second.
        late_request_count: requests that a data centre completed after the
            grace time.
        change_seconds: seconds until each change was in force everywhere.
        answers_cut_by_stop: answers that a graceful stop cut off.
        logged_error_count: errors, tracebacks and key partitions without a
            successor in the logs of the daemons.
    """

    posts: list[PostRecord] = dataclasses.field(default_factory=list)
    gets: list[caller.Result] = dataclasses.field(default_factory=list)
    executions: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peak_cold_in_flight: int = 0
    max_probes_per_second: float = 0.0
    late_request_count: int = 0
    change_seconds: list[float] = dataclasses.field(default_factory=list)
    answers_cut_by_stop: int = 0
    logged_error_count: int = 0


class FaultRun:
    """Runs the calls, the faults and the audits of the servers."""

    def __init__(
        self, running_fleet: process_fleet.Fleet, session: aiohttp.ClientSession
    ):
        self._fleet = running_fleet
        self._caller = caller.Caller(session, timeout_seconds=4.0)
        self._random = random.Random(SEED)
        self._record = RunRecord()
        self._is_over = asyncio.Event()
        self._reported_starts: set[tuple[str, str]] = set()
        self._audits: dict[tuple[str, str], dict[str, Any]] = {}
        self._first_probe_counts: dict[tuple[str, str], tuple[float, int]] = {}

    async def run(self) -> RunRecord:
        """Runs all steps and returns the collected results."""
        audit_task = asyncio.create_task(self._audit_loop())
        call_task = asyncio.create_task(self._call_loop())
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
        await call_task
        await audit_task
        self._collect_totals()
        return self._record

    async def _kill_daemon(self) -> None:
        """Kills a daemon, which loses its state, and restarts it."""
        name = "entry-chicago-1"
        self._fleet.group.kill(name)
        await asyncio.sleep(0.5)
        self._fleet.start_daemon(name)
        await self._fleet.wait_until_ready(name)

    async def _pause_daemon(self) -> None:
        """Suspends a daemon for longer than a lease and resumes it."""
        name = "entry-detroit-1"
        self._fleet.group.pause(name)
        await asyncio.sleep(3.0)
        self._fleet.group.resume(name)
        await asyncio.sleep(2.0)

    async def _kill_server(self) -> None:
        """Kills a server and restarts it cold."""
        name = "ledger-milwaukee-1"
        self._fleet.group.kill(name)
        await asyncio.sleep(1.0)
        self._fleet.start_server(name)
        await asyncio.sleep(2.0)

    async def _move_data_centre(self) -> None:
        """Takes a data centre out and in, and counts late requests."""
        await self._publish_change(
            lambda: self._set_data_centre_state("chicago", "out")
        )
        await asyncio.sleep(EVACUATION_GRACE_SECONDS)
        before = await self._count_completed("chicago")
        await asyncio.sleep(2.0)
        after = await self._count_completed("chicago")
        self._record.late_request_count += after - before
        await self._publish_change(
            lambda: self._set_data_centre_state("chicago", "in")
        )
        await asyncio.sleep(3.0)

    async def _stop_configuration(self) -> None:
        """Restarts a daemon while the configuration service is down."""
        running_fleet = self._fleet
        await running_fleet.set_platform_mode(
            running_fleet.configuration_url, "down"
        )
        name = "entry-milwaukee-2"
        running_fleet.group.kill(name)
        running_fleet.start_daemon(name)
        await running_fleet.wait_until_ready(name)
        status = await running_fleet.read_status(name)
        revisions = [team["revision_in_force"] for team in status["teams"]]
        print(f"  {name} took revisions {revisions} from its peers")
        await running_fleet.set_platform_mode(
            running_fleet.configuration_url, "up"
        )
        await asyncio.sleep(1.0)

    async def _stop_daemon(self) -> None:
        """Stops a daemon gracefully while it serves calls."""
        name = "entry-detroit-2"
        daemon = self._fleet.daemons[name]
        stop_event = asyncio.Event()
        call_task = asyncio.create_task(
            self._call_until(daemon.callers_address, stop_event)
        )
        await asyncio.sleep(0.5)
        self._fleet.group.terminate(name)
        status = await asyncio.to_thread(self._fleet.group.wait, name)
        stop_event.set()
        self._record.answers_cut_by_stop += await call_task
        print(f"  {name} stopped with exit status {status}")

    async def _call_until(self, address: str, stop_event: asyncio.Event) -> int:
        """Calls one daemon until `stop_event` and counts the cut answers.

        A refused connection does not count, because the balancer in front of
        the daemons sends it to another daemon.
        """
        cut_count = 0
        while not stop_event.is_set():
            result = await self._caller.call(address, "/office/ledger/own")
            if result.verdict is caller.Verdict.NO_ANSWER:
                if await self._is_listening(address):
                    cut_count += 1
                await asyncio.sleep(0.05)
            if result.verdict is caller.Verdict.WRONG:
                cut_count += 1
        return cut_count

    async def _is_listening(self, address: str) -> bool:
        host, _, port = address.partition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def _set_data_centre_state(self, name: str, state: str) -> None:
        await self._fleet.set_data_centre_state(name, state)

    async def _publish_change(self, publish: Any) -> None:
        """Publishes a change and records the time until it is in force."""
        before = await self._lowest_revisions()
        started = time.monotonic()
        await publish()
        while time.monotonic() - started < 2 * CHANGE_BOUND_SECONDS:
            current = await self._lowest_revisions()
            if all(current[name] > before[name] for name in before):
                break
            await asyncio.sleep(0.02)
        self._record.change_seconds.append(time.monotonic() - started)

    async def _lowest_revisions(self) -> dict[str, int]:
        """Returns the lowest settings revision in force at each daemon."""
        revisions = {}
        for name in self._fleet.daemons:
            status = await self._fleet.read_status(name)
            teams = status["teams"]
            revisions[name] = min(team["revision_in_force"] for team in teams)
        return revisions

    async def _count_completed(self, data_centre: str) -> int:
        total = 0
        for server in self._fleet.servers.values():
            if server.data_centre == data_centre:
                audit = await self._fleet.read_audit(server.name)
                total += audit.get("completed", 0)
        return total

    async def _call_loop(self) -> None:
        tasks: list[asyncio.Task[None]] = []
        while not self._is_over.is_set():
            send = (
                self._send_post
                if self._random.random() < 0.4
                else self._send_get
            )
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(self._random.expovariate(CALLS_PER_SECOND))
        await asyncio.gather(*tasks)

    def _shuffled_addresses(self) -> list[str]:
        daemons = list(self._fleet.daemons.values())
        self._random.shuffle(daemons)
        return [daemon.callers_address for daemon in daemons]

    async def _send_get(self) -> None:
        result = await self._caller.call(
            self._shuffled_addresses()[0], "/studio/roster/today"
        )
        self._record.gets.append(result)

    async def _send_post(self) -> None:
        key = caller.make_key()
        results = await self._caller.post_until_final(
            self._shuffled_addresses(),
            "/office/ledger/deposits",
            b"deposit",
            {caller.KEY_HEADER: key},
        )
        self._record.posts.append(PostRecord(key, tuple(results)))

    async def _audit_loop(self) -> None:
        while not self._is_over.is_set():
            await self._audit()
            self._report_cold_peaks()
            await asyncio.sleep(AUDIT_INTERVAL_SECONDS)
        await asyncio.sleep(1.0)
        await self._audit()

    async def _audit(self) -> None:
        for name in self._fleet.servers:
            audit = await self._fleet.read_audit(name)
            if not audit:
                continue
            server_start = (name, audit["start"])
            self._audits[server_start] = audit
            self._first_probe_counts.setdefault(
                server_start, (time.monotonic(), audit["probes"])
            )
            first_time, count = self._first_probe_counts[server_start]
            elapsed = time.monotonic() - first_time
            if elapsed > 5.0:
                rate = (audit["probes"] - count) / elapsed
                self._record.max_probes_per_second = max(
                    self._record.max_probes_per_second, rate
                )

    def _report_cold_peaks(self) -> None:
        """Prints once each server start that exceeded the cold limit."""
        for server_start, audit in self._audits.items():
            if (
                audit["peak_cold"] <= COLD_REQUEST_LIMIT
                or server_start in self._reported_starts
            ):
                continue
            self._reported_starts.add(server_start)
            print(f"  {server_start[0]}: cold peak of {audit['peak_cold']}")

    def _collect_totals(self) -> None:
        for name in self._fleet.daemons:
            log = self._fleet.group.read_log(name)
            self._record.logged_error_count += log.count('"level":"ERROR"')
            self._record.logged_error_count += log.count("Traceback")
            self._record.logged_error_count += log.count("without a successor")
        self._record.executions = self._fleet.count_executions()
        for audit in self._audits.values():
            self._record.peak_cold_in_flight = max(
                self._record.peak_cold_in_flight, audit["peak_cold"]
            )


@dataclasses.dataclass(frozen=True, slots=True)
class ResultLine:
    """One figure of the result with its bound.

    Attributes:
        name: label of the figure.
        value: the measured value.
        bound: the highest allowed value, if `is_lower_bound` is not set.
        is_lower_bound: whether `bound` is the lowest allowed value.
    """

    name: str
    value: float
    bound: float
    is_lower_bound: bool = False

    @property
    def is_within_bound(self) -> bool:
        """Whether the value is within its bound."""
        if self.is_lower_bound:
            return self.value >= self.bound
        return self.value <= self.bound


def compute_result_lines(record: RunRecord) -> list[ResultLine]:
    """Returns the figures of a run with their bounds."""
    rerun_count = sum(count > 1 for count in record.executions.values())
    false_not_run_count = 0
    lost_count = 0
    for post in record.posts:
        execution_count = record.executions[post.key]
        last_verdict = post.results[-1].verdict
        false_not_run_count += (
            last_verdict is caller.Verdict.NOT_RUN and execution_count > 0
        )
        lost_count += (
            last_verdict is caller.Verdict.WHOLE and execution_count == 0
        )
    wrong_count = sum(r.verdict is caller.Verdict.WRONG for r in record.gets)
    for post in record.posts:
        wrong_count += sum(
            r.verdict is caller.Verdict.WRONG for r in post.results
        )
    final_refusal_count = sum(
        r.verdict in (caller.Verdict.NOT_RUN, caller.Verdict.UNKNOWN)
        and r.retry_after_seconds is None
        and r.reason not in REASONS_WITHOUT_RETRY
        for r in record.gets
    )
    return [
        ResultLine("keys that ran more than once", rerun_count, 0),
        ResultLine("keys said not run that ran", false_not_run_count, 0),
        ResultLine("answered keys that never ran", lost_count, 0),
        ResultLine("answers short or crossed", wrong_count, 0),
        ResultLine(
            "refusals without a time to come back", final_refusal_count, 0
        ),
        ResultLine(
            "work in a data centre out for 3 s", record.late_request_count, 0
        ),
        ResultLine(
            "peak at a cold server",
            record.peak_cold_in_flight,
            COLD_REQUEST_LIMIT,
        ),
        ResultLine(
            "probes of a server a second",
            record.max_probes_per_second,
            MAX_SERVER_PROBES_PER_SECOND,
        ),
        ResultLine("errors in the daemons' logs", record.logged_error_count, 0),
        ResultLine(
            "calls cut by a planned stop", record.answers_cut_by_stop, 0
        ),
        ResultLine(
            "slowest change in force, seconds",
            max(record.change_seconds),
            CHANGE_BOUND_SECONDS,
        ),
    ]


REASONS_WITHOUT_RETRY = ("quarantined", "no-route", "malformed")


def print_results(record: RunRecord) -> bool:
    """Prints the results and returns whether all values are within bounds."""
    print(f"\nseed {SEED}")
    for title, results in (
        ("posts", [post.results[-1] for post in record.posts]),
        ("gets", record.gets),
    ):
        counts = collections.Counter(
            f"{r.verdict.value} {r.reason}".strip() for r in results
        )
        print(f"{title}: {dict(sorted(counts.items()))}")
    lines = compute_result_lines(record)
    for line in lines:
        state = "holds" if line.is_within_bound else "BROKEN"
        print(f"{line.name:40}{line.value:10.2f}  <= {line.bound}  {state}")
    return all(line.is_within_bound for line in lines)


async def _run(directory: pathlib.Path) -> bool:
    with processes.process_group(directory) as group:
        async with aiohttp.ClientSession() as session:
            running_fleet = process_fleet.Fleet(
                FLEET_PLAN, group, directory, session
            )
            await running_fleet.start()
            record = await FaultRun(running_fleet, session).run()
    return print_results(record)


def main() -> None:
    """Runs the faults; the exit status is 1 if a bound is exceeded."""
    with tempfile.TemporaryDirectory(prefix="hyssopwind-") as directory:
        are_bounds_met = asyncio.run(_run(pathlib.Path(directory)))
    sys.exit(0 if are_bounds_met else 1)


if __name__ == "__main__":
    main()
