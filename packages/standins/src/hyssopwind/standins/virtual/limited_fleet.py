"""Daemons that serve requests at servers with stated limits, in virtual time.

The daemons run their own request path, gossip and store reader. Servers, the
network and callers are models; arrivals at servers and the answers that
daemons pass on are recorded for the judge.
"""

import asyncio
import dataclasses
import json
import math
import random
from collections.abc import Iterator
from unittest import mock

import multidict

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import gateway_metrics
from hyssopwind.daemon.gateway import request_path
from hyssopwind.platform import field_names
from hyssopwind.standins.limits import judging
from hyssopwind.standins.limits import scenarios
from hyssopwind.standins.site import documents
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_fleet
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

START_SECONDS = 100.0  # reading of the clock at the start
STARTUP_SECONDS = 5.0  # until all daemons have each other in their lists
HOUSEKEEPING_SECONDS = 0.25
ROUND_TRIP_SECONDS = 0.002
MEDIAN_WORK_SECONDS = 0.22
WORK_SPREAD = 0.3  # standard deviation of the logarithm
SLOTS = 4
LATENCY_TARGET_SECONDS = 0.6
DEADLINE_SECONDS = 2.5
SILENCE_SECONDS = 1.5
# Requests per second that a server gets in quiet times.
QUIET_RATE = 3.2
# Callers heed Retry-After up to this share of the time that they have left.
MAX_RETRY_AFTER_RATIO = 1 / 3
MAX_CALLER_RETRIES = 2
PROBES_PER_SECOND = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of daemons in each of three data centres, and of servers."""

    daemons_per_data_centre: int
    server_count: int


TINY = FleetSize(2, 9)
SMALL = FleetSize(5, 9)
LARGE = FleetSize(34, 46)


@dataclasses.dataclass(slots=True)
class CallerAnswer:
    """The final answer to one attempt of a caller.

    Attributes:
        at: monotonic time.
        latency_seconds: seconds since the attempt was sent.
        is_success: whether a server ran it with success.
        retry_after_seconds: the stated time to come back, if any.
    """

    at: float
    latency_seconds: float
    is_success: bool
    retry_after_seconds: float | None


class LimitedServer:
    """A server with slots that states the limit of its scenario."""

    def __init__(self, number: int, fleet: "LimitedFleet", *, is_limited: bool):
        self.id = f"i-{number}"
        self.address = f"10.{number % 3}.64.{number}:80"
        self.data_centre = f"dc-{number % 3}"
        self.is_limited = is_limited
        self.is_listening = True
        self._fleet = fleet
        self._running = 0

    def limit(self) -> float:
        """Returns the limit that it states now; infinity for none."""
        if not self.is_limited:
            return math.inf
        elapsed = boot_clock.now() - self._fleet.traffic_started_at
        current = math.inf
        for at, rate in self._fleet.scenario.limits:
            if at <= elapsed:
                current = rate
        return current

    def entry(self, **changes: object) -> bytes:
        """Returns its entry in the store."""
        scenario = self._fleet.scenario
        warmup = scenario.cold_seconds if self.is_limited else 0.0
        document = documents.make_server_entry(
            self.address,
            zone=self.data_centre,
            slots=SLOTS,
            warmup_left_s=warmup and warmup + STARTUP_SECONDS,
            **changes,
        )
        return json.dumps(document).encode()

    def answer_probe(self) -> answers.Answer:
        """Returns the answer to a load probe."""
        fields = {field_names.SERVER_ID: self.id}
        if self._fleet.scenario.reports_load:
            waiting = max(0, self._running - SLOTS)
            running = self._running - waiting
            fields[field_names.LOAD] = f"{running},{waiting},{SLOTS},100"
        if self._fleet.scenario.naming in (
            scenarios.Naming.ALL,
            scenarios.Naming.PROBES,
        ):
            self._state_limit(fields)
        self._state_leaving(fields)
        return _make_answer(200, fields)

    async def answer_request(
        self, daemon_name: str, request_id: str, expected: str
    ) -> answers.Answer:
        """Runs a request and returns the answer to it."""
        scenario = self._fleet.scenario
        random_source = self._fleet.random_source
        fields = {field_names.REQUEST_ID: request_id}
        if expected not in ("", self.id):
            return _make_answer(421, {**fields, field_names.SERVER_ID: self.id})
        self._fleet.evidence.arrivals.append(
            judging.Arrival(
                boot_clock.now(),
                daemon_name,
                self.id,
                self._fleet.sent_at[request_id],
            )
        )
        self._state_leaving(fields)
        names_limit = scenario.naming in (
            scenarios.Naming.ALL,
            scenarios.Naming.REQUESTS,
        )
        is_refused = (
            self.is_limited
            and boot_clock.now() >= self._fleet.traffic_started_at
            and random_source.random() < scenario.refusal_ratio
        )
        if is_refused or self._running >= 3 * SLOTS:
            if names_limit or scenario.naming is scenarios.Naming.REFUSALS:
                self._state_limit(fields)
            fields[field_names.NOT_RUN] = "1"
            if scenario.quiet_seconds:
                fields[field_names.RETRY_AFTER] = f"{scenario.quiet_seconds:g}"
            return _make_answer(503, fields)
        self._running += 1
        work_seconds = MEDIAN_WORK_SECONDS * random_source.lognormvariate(
            0.0, WORK_SPREAD
        )
        if random_source.random() < scenario.silent_ratio:
            work_seconds += SILENCE_SECONDS
        try:
            overload = max(1.0, self._running / SLOTS)
            await asyncio.sleep(work_seconds * overload)
        finally:
            self._running -= 1
        if names_limit:
            self._state_limit(fields)
        fields[field_names.SERVER_STAMP] = "s"
        is_failing = random_source.random() < scenario.failing_ratio
        return _make_answer(500 if is_failing else 200, fields)

    def _state_leaving(self, fields: dict[str, str]) -> None:
        leaves_at = (
            self._fleet.traffic_started_at + self._fleet.scenario.leaves_at
        )
        if self.is_limited and boot_clock.now() >= leaves_at:
            fields[field_names.SERVER_LEAVING] = "1"

    def _state_limit(self, fields: dict[str, str]) -> None:
        limit = self.limit()
        if not math.isinf(limit):
            fields[field_names.SERVER_LIMIT] = f"{limit:g}"


def _make_answer(status: int, fields: dict[str, str]) -> answers.Answer:
    return answers.Answer(status, multidict.CIMultiDict(fields), b"x", True)


class _VirtualConnection:
    """A connection of a daemon to a server."""

    def __init__(
        self, fleet: "LimitedFleet", daemon_name: str, server: LimitedServer
    ):
        self._fleet = fleet
        self._daemon_name = daemon_name
        self._server = server

    async def exchange(
        self,
        data: bytes,
        method: str,
        is_expected: connection.AnswerPredicate = lambda _: True,
    ) -> answers.Answer:
        """Sends a request and returns the answer."""
        fields = dict(
            line.split(": ", 1)
            for line in data.decode().split("\r\n")[1:]
            if ": " in line
        )
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        if not self._server.is_listening:
            raise connection.ExchangeError(
                attempt_results.FailureKind.BROKEN, "the server has ended"
            )
        answer = await self._server.answer_request(
            self._daemon_name,
            fields[field_names.REQUEST_ID],
            fields.get(field_names.EXPECTED_SERVER, ""),
        )
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        self._record_statements(answer)
        return answer

    def find_silent_since(self) -> None:
        """Returns `None`, since no server of the model ignores requests."""

    def abort(self) -> None:
        """Does nothing, since no connection breaks in the model."""

    def _record_statements(self, answer: answers.Answer) -> None:
        evidence = self._fleet.evidence
        key = self._server.id, self._daemon_name
        now = boot_clock.now()
        if field_names.SERVER_LIMIT in answer.fields:
            evidence.told[key].append(now)
        if field_names.SERVER_LEAVING in answer.fields:
            evidence.told_leaving.setdefault(key, now)
        if field_names.RETRY_AFTER in answer.fields:
            seconds = float(answer.fields[field_names.RETRY_AFTER])
            evidence.quiet[key].append((now, now + seconds))


class _VirtualPool(connection_pools.ConnectionPool):
    """Connections of one daemon to the servers of the fleet."""

    def __init__(self, fleet: "LimitedFleet", daemon_name: str):
        super().__init__()
        self._fleet = fleet
        self._daemon_name = daemon_name

    async def acquire(self, address: str) -> connection.ClientConnection:
        """Returns a connection, unless no server listens at the address."""
        server = self._fleet.find_server(address)
        if server is None:
            raise connection.ExchangeError(
                attempt_results.FailureKind.NOT_CONNECTED, "refused"
            )
        return _VirtualConnection(  # type: ignore[return-value]
            self._fleet, self._daemon_name, server
        )

    def release(self, client_connection: connection.ClientConnection) -> None:
        """Does nothing, since connections are free in the model."""

    async def get(
        self,
        address: str,
        target: str,
        timeout_seconds: float,
        is_expected: connection.AnswerPredicate = lambda _: True,
        progress: connection_pools.Progress | None = None,
    ) -> answers.Answer:
        """Returns the answer to a load probe."""
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        server = self._fleet.find_server(address)
        if server is None:
            raise connection.ExchangeError(
                attempt_results.FailureKind.NOT_CONNECTED, "refused"
            )
        answer = server.answer_probe()
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        return answer

    async def get_on_new_connection(
        self,
        address: str,
        target: str,
        timeout_seconds: float,
        is_expected: connection.AnswerPredicate = lambda _: True,
    ) -> answers.Answer:
        """Returns the answer to a load probe."""
        return await self.get(address, target, timeout_seconds, is_expected)


class ServingDaemon(site_fleet.VirtualDaemon):
    """A daemon that also serves requests of callers.

    Attributes:
        request_path: the parts that serve requests.
    """

    def __init__(
        self,
        fleet: site_fleet.VirtualFleet,
        options: settings.GatewaySettings,
        pool: connection_pools.ConnectionPool,
    ):
        super().__init__(fleet, options)
        self.request_path = request_path.RequestPath(
            options,
            tuning.GatewayTuning(),
            self.platform_state,
            self.member_list,
            pool,
            gateway_metrics.GatewayMetrics(),
            self.gossip.announce_crash,
            self.gossip.announce_leaving,
            self.gossip.send_permit_message,
            self.gossip.announce_reachability,
            random.Random(fleet.random_source.random()),
            announce_hang=self.gossip.announce_hang,
        )
        self._tasks += [
            asyncio.ensure_future(self._run_housekeeping()),
            asyncio.ensure_future(self.request_path.permits.run()),
        ]

    def handle_crash_notice(
        self,
        fingerprint: ids.Fingerprint,
        crashes: int,
        times: quarantine.CrashTimes | None = None,
    ) -> None:
        """Handles a crash notice."""
        super().handle_crash_notice(fingerprint, crashes, times)
        self.request_path.crash_detector.handle_notice(
            fingerprint, crashes, times
        )

    def handle_permit_message(
        self, message: gossip_messages.PermitMessage
    ) -> None:
        """Handles a message about permits."""
        self.request_path.permits.handle(message)

    def handle_leaving_notice(self, instance: ids.InstanceId) -> None:
        """Handles a notice that a server is leaving."""
        self.request_path.handle_leaving_notice(instance)

    def handle_hang_notice(
        self, server: ids.ServerId, is_suspicion: bool
    ) -> None:
        """Handles a notice that a server hangs."""
        self.request_path.handle_hang_notice(server, is_suspicion)

    def handle_reachability_notice(
        self, sender: ids.DaemonId, is_cut_off: bool
    ) -> None:
        """Handles a notice whether a peer reaches servers."""
        self.request_path.handover.handle_notice(sender, is_cut_off=is_cut_off)

    def leaving_servers(self) -> frozenset[ids.InstanceId]:
        """Returns the servers that are leaving."""
        return self.request_path.withdrawals.leaving_servers()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self.platform_state.expire()
            self.request_path.drop_removed_servers()


class LimitedFleet(site_fleet.VirtualFleet):
    """A fleet, its servers and its callers.

    Attributes:
        scenario: what happens.
        traffic_started_at: monotonic time at which callers start.
        evidence: what servers saw.
        caller_answers: the answers to callers.
        sent_at: monotonic time at which a caller sent a request, by its id.
    """

    def __init__(
        self, scenario: scenarios.Scenario, size: FleetSize, seed: int
    ):
        super().__init__(
            site_fleet.FleetPlan(
                daemons_per_data_centre=size.daemons_per_data_centre, seed=seed
            )
        )
        self.scenario = scenario
        self.traffic_started_at = boot_clock.now() + STARTUP_SECONDS
        self.evidence = judging.Evidence()
        self.caller_answers: list[CallerAnswer] = []
        limited_count = max(
            1,
            min(
                size.server_count,
                round(scenario.limited_ratio * size.server_count),
            ),
        )
        if 0.98 < scenario.limited_ratio < 1.0:
            limited_count = size.server_count - 1
        self.servers = [
            LimitedServer(number, self, is_limited=number < limited_count)
            for number in range(size.server_count)
        ]
        self._ips = sorted(self._options)
        for ip in self._ips:
            self._options[ip] = dataclasses.replace(
                self._options[ip],
                probe_rate=PROBES_PER_SECOND,
                retry_slack=58.0,
            )
        self._request_count = 0
        self.sent_at: dict[str, float] = {}

    def find_server(self, address: str) -> LimitedServer | None:
        """Returns the server that listens at an address, if any."""
        for server in self.servers:
            if server.address == address and server.is_listening:
                return server
        return None

    def start(self, ip: str) -> None:
        """Starts a daemon; one that ran before starts without its state."""
        options = self._options[ip]
        self.daemons[ip] = ServingDaemon(
            self, options, _VirtualPool(self, options.name)
        )
        self._options[ip] = dataclasses.replace(
            self._options[ip], first_start=False
        )

    async def run(self) -> None:
        """Runs the scenario to its end."""
        self._publish()
        self.start_all()
        start = self.traffic_started_at
        await asyncio.sleep(start - boot_clock.now())
        for server in self.servers:
            if not server.is_limited:
                continue
            self.evidence.limits[server.id] = [
                judging.LimitStep(start + at, rate)
                for at, rate in self.scenario.limits
            ]
        faults = asyncio.ensure_future(self._run_faults())
        callers = await self._run_callers()
        self.evidence.ended_at = boot_clock.now()
        await asyncio.gather(faults, *callers)

    def live_daemons(self) -> list[ServingDaemon]:
        """Returns the daemons that run."""
        return [
            daemon
            for daemon in self.daemons.values()
            if isinstance(daemon, ServingDaemon)
        ]

    def _publish(self) -> None:
        route = documents.make_route_resource(
            "route",
            "/",
            kind="safe" if self.scenario.is_idempotent else "unsafe",
            timeout_s=DEADLINE_SECONDS,
            target_latency_s=LATENCY_TARGET_SECONDS,
        )
        configuration = documents.make_configuration(1, [route])
        self.store.write("op/config", json.dumps(configuration).encode())
        for server in self.servers:
            self.store.write(f"servers/{server.id}", server.entry())

    async def _run_callers(self) -> "list[asyncio.Task[None]]":
        rate = QUIET_RATE * len(self.servers) * self.scenario.demand_factor
        end = boot_clock.now() + self.scenario.seconds
        tasks = []
        while boot_clock.now() < end:
            await asyncio.sleep(self.random_source.expovariate(rate))
            tasks.append(asyncio.ensure_future(self._run_caller()))
        return tasks

    def _select_daemon(self) -> ServingDaemon:
        running = self.live_daemons()
        if self.random_source.random() < self.scenario.busiest_share:
            return running[0]
        return self.random_source.choice(running)

    async def _run_caller(self) -> None:
        """Sends a request, and again as long as a retry is of use."""
        deadline = boot_clock.now() + DEADLINE_SECONDS
        for _ in range(1 + MAX_CALLER_RETRIES):
            left = deadline - boot_clock.now()
            if left <= 0.0:
                return
            answer = await self._call(left)
            if answer is None or answer.is_success:
                return
            if answer.retry_after_seconds is None:
                return
            left = deadline - boot_clock.now()
            await asyncio.sleep(
                min(answer.retry_after_seconds, MAX_RETRY_AFTER_RATIO * left)
            )

    async def _call(self, seconds: float) -> CallerAnswer | None:
        self._request_count += 1
        daemon = self._select_daemon()
        fields: multidict.CIMultiDict[str] = multidict.CIMultiDict(
            {
                "Host": documents.HOST,
                field_names.REQUEST_ID: f"r{self._request_count}",
                field_names.DEADLINE: str(round(seconds * 1000)),
            }
        )
        sent_at = boot_clock.now()
        self.sent_at[f"r{self._request_count}"] = sent_at
        request = caller_requests.CallerRequest(
            "GET", "/a", fields, b"", sent_at, (1, 1), False
        )
        outcome = await daemon.request_path.dispatcher.serve(request)
        if self.daemons.get(daemon.options.ip) is not daemon:
            return None  # The daemon was killed meanwhile.
        now = boot_clock.now()
        if isinstance(outcome, outcomes.Answered):
            answer = CallerAnswer(
                now, now - sent_at, outcome.status < 500, None
            )
        else:
            answer = CallerAnswer(
                now, now - sent_at, False, outcome.retry_after_seconds
            )
        self.caller_answers.append(answer)
        return answer

    async def _run_faults(self) -> None:
        for step in self._fault_steps():
            at = self.traffic_started_at + step.at
            await asyncio.sleep(max(0.0, at - boot_clock.now()))
            ip = self._ips[step.daemon % len(self._ips)]
            self._apply_fault(step.fault, ip)
        if self.scenario.drains:
            at = self.traffic_started_at + self.scenario.seconds / 2
            await asyncio.sleep(at - boot_clock.now())
            await self._drain_server()

    def _fault_steps(self) -> Iterator[scenarios.FaultStep]:
        yield from sorted(self.scenario.faults, key=lambda step: step.at)

    def _apply_fault(self, fault: scenarios.Fault, ip: str) -> None:
        name = self._options[ip].name
        now = boot_clock.now()
        excused = self.evidence.excused[name]
        if fault is scenarios.Fault.KILL:
            self.kill(ip)
            excused.append((now, math.inf))
        elif fault is scenarios.Fault.START:
            self.start(ip)
            excused[-1] = (excused[-1][0], now)
        elif fault is scenarios.Fault.CUT:
            for other in self._ips:
                self.cut_links.add(frozenset((ip, other)))
            excused.append((now, math.inf))
        elif fault is scenarios.Fault.HEAL:
            for other in self._ips:
                self.cut_links.discard(frozenset((ip, other)))
            excused[-1] = (excused[-1][0], now)
        elif ip in self.daemons:
            daemon = self.daemons[ip]
            daemon.store_refuses = fault is scenarios.Fault.CUT_STORE
            daemon.silence_count += 1

    async def _drain_server(self) -> None:
        """Drains a limited server; another one gets its address."""
        leaving = self.servers[0]
        self.store.write(
            f"servers/{leaving.id}", leaving.entry(state="draining")
        )
        await asyncio.sleep(4.0)
        self.store.write(f"servers/{leaving.id}", None)
        steps = self.evidence.limits[leaving.id]
        steps.append(judging.LimitStep(boot_clock.now(), math.inf))
        leaving.is_listening = False
        await asyncio.sleep(2.0)
        successor = LimitedServer(len(self.servers), self, is_limited=False)
        successor.address = leaving.address
        self.servers.append(successor)
        self.store.write(f"servers/{successor.id}", successor.entry())


def run_in_virtual_time(
    scenario: scenarios.Scenario, size: FleetSize, seed: int
) -> LimitedFleet:
    """Runs a scenario on a virtual clock and returns the fleet at its end."""

    async def run() -> LimitedFleet:
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(
            boot_clock, "now", lambda: START_SECONDS + event_loop.time()
        ):
            fleet = LimitedFleet(scenario, size, seed)
            await fleet.run()
            return fleet

    return loop.run_virtual(run())
