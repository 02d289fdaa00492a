"""Daemons that serve requests while some are cut off, in virtual time.

The daemons run their own request path, gossip, store reader and connections.
Servers, byte streams and callers are models.
"""

import asyncio
import dataclasses
import json
import math
import random
from unittest import mock

import multidict

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import handovers
from hyssopwind.core.limits import connection_shares
from hyssopwind.daemon import headers
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import rendering
from hyssopwind.platform import field_names
from hyssopwind.standins.partitions import judging
from hyssopwind.standins.partitions import scenarios
from hyssopwind.standins.partitions import servers
from hyssopwind.standins.site import documents
from hyssopwind.standins.virtual import limited_fleet
from hyssopwind.standins.virtual import loop
from hyssopwind.standins.virtual import site_fleet
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

START_SECONDS = 100.0  # reading of the clock at the start
STARTUP_SECONDS = 5.0  # until all daemons have each other in their lists
SERVICE_COUNT = 3
SERVERS_PER_SERVICE = 6
SAFE_RATIO = 0.7
HANGING_SERVICE = "s1"  # its requests may be sent to two servers
POPULAR_COUNT = 2  # requests of each route that many callers send
LATENCY_TARGET_SECONDS = 0.6
ROUTE_TIMEOUT_SECONDS = 2.0
DEADLINES_SECONDS = (1.2, 2.5)  # of callers
# Callers heed Retry-After up to this share of the time that they have left.
MAX_RETRY_AFTER_RATIO = 1 / 3
RETRY_PAUSE_SECONDS = 0.05
TIMEOUT_GRACE_SECONDS = 0.05  # of callers
DRAIN_SECONDS = 4.0  # after the end of traffic
_PEERS_PORT = 3


class _PeerEndpoint:
    """The listener of a daemon for peers, for one stream."""

    def __init__(
        self,
        daemon: "PartitionedDaemon",
        sender_name: str,
        evidence: judging.Evidence,
    ):
        self._daemon = daemon
        self._sender_name = sender_name
        self._evidence = evidence
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_request(
        self,
        request: caller_requests.CallerRequest,
        stream: servers.VirtualStream,
    ) -> None:
        """Serves a request of a peer."""
        self._evidence.forwards.append(
            judging.Forward(
                boot_clock.now(),
                self._sender_name,
                self._daemon.options.name,
                request.fields.get(field_names.REQUEST_ID, ""),
            )
        )
        task = asyncio.get_running_loop().create_task(
            self._serve(request, stream)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handle_close(self, stream: servers.VirtualStream) -> None:
        """Cancels the requests of a stream that ended."""
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self,
        request: caller_requests.CallerRequest,
        stream: servers.VirtualStream,
    ) -> None:
        try:
            outcome = await self._daemon.serve_peer(request)
        except Exception as error:
            self._evidence.defects.append(repr(error))
            outcome = outcomes.Unknown(outcomes.Reason.INTERNAL, "")
        stream.answer(
            rendering.render(
                outcome,
                request,
                closes_connection=False,
                is_head=request.method == "HEAD",
            )
        )


class _VirtualPool(connection_pools.ConnectionPool):
    """The connections of one daemon to servers and peers."""

    def __init__(self, fleet: "PartitionedFleet", daemon_name: str, ip: str):
        super().__init__()
        self._fleet = fleet
        self._daemon_name = daemon_name
        self._ip = ip

    async def _open(self, address: str) -> connection.ClientConnection:
        self._opened_count += 1
        server = self._fleet.find_server(address)
        endpoint: servers.Endpoint | None
        if server is not None:
            link = self._fleet.server_links[self._ip]
            endpoint = server
            await self._pass_cut(link)
        else:
            link = self._fleet.peer_links[self._ip]
            endpoint = self._find_peer(address)
        await asyncio.sleep(2 * servers.ONE_WAY_SECONDS)
        if endpoint is None or (server and not server.is_listening):
            raise connection.ExchangeError(
                attempt_results.FailureKind.NOT_CONNECTED, "refused"
            )
        opened = connection.ClientConnection(address)
        stream = servers.VirtualStream(
            link, opened, endpoint, self._daemon_name
        )
        if server is not None:
            server.accept(stream)
        opened.connection_made(stream)
        return opened

    async def _pass_cut(self, link: servers.Link) -> None:
        """Raises an error if a cut keeps a new connection from opening."""
        if link.cut is None:
            return
        if link.cut is scenarios.CutKind.HANG:
            await asyncio.sleep(connection_pools.CONNECT_TIMEOUT_SECONDS)
        else:
            await asyncio.sleep(2 * servers.ONE_WAY_SECONDS)
        raise connection.ExchangeError(
            attempt_results.FailureKind.NOT_CONNECTED, "cut off"
        )

    def _find_peer(self, address: str) -> _PeerEndpoint | None:
        ip, _, port = address.rpartition(":")
        daemon = self._fleet.daemons.get(ip)
        if int(port) != _PEERS_PORT or daemon is None:
            return None
        assert isinstance(daemon, PartitionedDaemon)
        return _PeerEndpoint(daemon, self._daemon_name, self._fleet.evidence)


class PartitionedDaemon(limited_fleet.ServingDaemon):
    """A daemon whose links to servers may be cut."""

    def __init__(
        self, fleet: "PartitionedFleet", options: settings.GatewaySettings
    ):
        self.pool = _VirtualPool(fleet, options.name, options.ip)
        self.requests: dict[asyncio.Task[outcomes.Outcome], None] = {}
        super().__init__(fleet, options, self.pool)
        self.request_path.handover._pool = _VirtualPool(
            fleet, options.name, options.ip
        )
        self._tasks.append(asyncio.ensure_future(self._run_pool_limits()))

    async def serve(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        """Serves a request of a caller, as the gateway does."""
        refusal = self._check_quarantine(request)
        if refusal is not None:
            return refusal
        return await self.request_path.dispatcher.serve(request)

    async def serve_peer(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        """Serves a request of a peer, as the gateway does."""
        terms = handovers.decode_terms(request.fields[headers.HANDOVER])
        self.handle_reachability_notice(ids.DaemonId(terms.sender), True)
        outcome: outcomes.Outcome | None = self._check_quarantine(request)
        if outcome is None:
            dispatcher = self.request_path.dispatcher
            outcome = await dispatcher.serve_for_peer(request, terms)
        result = handovers.make_result(
            terms.number,
            outcome,
            is_cut_off=not self.request_path.monitor.is_reachable,
        )
        fields = ((headers.HANDOVER, handovers.encode(result)),)
        if isinstance(outcome, outcomes.Answered):
            return outcomes.Answered(
                outcome.status, outcome.headers + fields, outcome.body
            )
        return outcomes.Answered(200, fields, b"")

    def _check_quarantine(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.NotRun | None:
        retry_after = self.request_path.crash_detector.quarantine_seconds(
            request
        )
        if retry_after is None:
            return None
        return outcomes.NotRun(
            outcomes.Reason.QUARANTINED,
            "servers crashed on this request",
            retry_after,
        )

    def kill(self) -> None:
        """Cancels all tasks of the daemon and closes its connections."""
        super().kill()
        for request in list(self.requests):
            request.cancel()

    async def _run_pool_limits(self) -> None:
        while True:
            await asyncio.sleep(limited_fleet.HOUSEKEEPING_SECONDS)
            self.pool.limit_idle(
                connection_shares.idle_counts(
                    self.platform_state.catalogue, self.member_list.fleet_size()
                )
            )


class PartitionedFleet(site_fleet.VirtualFleet):
    """A fleet, its servers and its callers.

    Attributes:
        scenario: what happens.
        traffic_started_at: monotonic time at which callers start.
        evidence: what callers and servers saw.
        server_links: the way of each daemon to servers, by its IP address.
        peer_links: the way of each daemon to its peers, by its IP address.
        servers: all servers.
    """

    def __init__(self, scenario: scenarios.Scenario, seed: int):
        super().__init__(site_fleet.FleetPlan(seed=seed))
        self.scenario = scenario
        self.traffic_started_at = boot_clock.now() + STARTUP_SECONDS
        self.evidence = judging.Evidence(LATENCY_TARGET_SECONDS)
        self.servers = [
            servers.VirtualServer(
                number,
                number // SERVERS_PER_SERVICE,
                scenario,
                self.evidence,
                random.Random(self.random_source.random()),
            )
            for number in range(SERVICE_COUNT * SERVERS_PER_SERVICE)
        ]
        self._servers_by_address = {
            server.address: server for server in self.servers
        }
        self._ips = sorted(self._options)
        for ip in self._ips:
            self._options[ip] = dataclasses.replace(
                self._options[ip],
                probe_rate=limited_fleet.PROBES_PER_SECOND,
                retry_slack=scenario.retry_slack,
            )
        self.evidence.daemons = frozenset(
            options.name for options in self._options.values()
        )
        self.server_links = {ip: servers.Link() for ip in self._ips}
        self.peer_links = {ip: servers.Link() for ip in self._ips}
        self._version = 0
        self._request_count = 0
        self._down_since: dict[str, float] = {}
        self._killed_at: dict[str, float] = {}

    def find_server(self, address: str) -> servers.VirtualServer | None:
        """Returns the server at an address, whether or not it runs."""
        return self._servers_by_address.get(address)

    def start(self, ip: str) -> None:
        """Starts a daemon; one that ran before starts without its state."""
        name = self._options[ip].name
        self.daemons[ip] = PartitionedDaemon(self, self._options[ip])
        if name in self._killed_at:
            self.evidence.kills.remove((name, self._killed_at[name], math.inf))
            self.evidence.kills.append(
                (
                    name,
                    self._killed_at.pop(name),
                    boot_clock.now() + judging.START_SECONDS,
                )
            )
        self._options[ip] = dataclasses.replace(
            self._options[ip], first_start=False
        )

    def kill(self, ip: str) -> None:
        """Ends a daemon; its connections are reset."""
        name = self._options[ip].name
        self._killed_at[name] = boot_clock.now()
        self.evidence.kills.append((name, boot_clock.now(), math.inf))
        super().kill(ip)
        for link in (self.server_links[ip], self.peer_links[ip]):
            for stream in list(link.streams):
                stream.reset()

    async def run(self) -> None:
        """Runs the scenario to its end."""
        self._configure()
        for server in self.servers:
            self.store.write(f"servers/{server.id}", server.entry())
        self.start_all()
        await asyncio.sleep(self.traffic_started_at - boot_clock.now())
        disturbances = [
            asyncio.ensure_future(self._run_cuts()),
            asyncio.ensure_future(self._run_faults()),
            asyncio.ensure_future(self._run_hangs()),
            asyncio.ensure_future(self._run_herds()),
        ]
        callers = await self._run_callers()
        await asyncio.gather(*disturbances, *callers)
        # Attempts that were given up may still be on their way.
        await asyncio.sleep(DRAIN_SECONDS)

    def _configure(self) -> None:
        self._version += 1
        routes = []
        for number in range(SERVICE_COUNT):
            for kind in ("safe", "unsafe"):
                resource = documents.make_route_resource(
                    f"{kind}-{number}",
                    f"/{kind}/{number}/",
                    kind=kind,
                    service=f"s{number}",
                    timeout_s=ROUTE_TIMEOUT_SECONDS + self._version / 1000,
                    target_latency_s=LATENCY_TARGET_SECONDS,
                    max_attempts=_max_attempts(number),
                )
                routes.append(resource)
        configuration = documents.make_configuration(self._version, routes)
        service_resource = next(
            each
            for each in configuration["resources"]
            if each["resource_kind"] == "services"
        )
        for number in range(SERVICE_COUNT):
            configuration["resources"].append(
                {**service_resource, "metadata": {"name": f"s{number}"}}
            )
        self.store.write("op/config", json.dumps(configuration).encode())

    async def _run_cuts(self) -> None:
        for cut in self.scenario.cuts:
            await self._sleep_until(cut.starts_at)
            ips = self._cut_ips(cut.scope)
            period = judging.CutPeriod(
                boot_clock.now(),
                self.traffic_started_at + cut.ends_at,
                cut.kind,
                frozenset(self._options[ip].name for ip in ips),
            )
            self.evidence.cuts.append(period)
            if cut.scope is scenarios.CutScope.ALL:
                for number in range(SERVICE_COUNT):
                    self.evidence.down_periods.append(
                        (period.starts_at, period.ends_at, f"s{number}")
                    )
            for ip in ips:
                self.server_links[ip].start_cut(cut.kind)
            await self._sleep_until(cut.ends_at)
            for ip in ips:
                self.server_links[ip].end_cut()

    def _cut_ips(self, scope: scenarios.CutScope) -> list[str]:
        if scope is scenarios.CutScope.DATA_CENTRE:
            number = self.random_source.randrange(self._plan.data_centre_count)
            return [ip for ip in self._ips if ip.startswith(f"10.{number}.")]
        counts = {
            scenarios.CutScope.ONE: 1,
            scenarios.CutScope.HALF: (len(self._ips) + 1) // 2,
            scenarios.CutScope.ALL_BUT_ONE: len(self._ips) - 1,
            scenarios.CutScope.ALL: len(self._ips),
        }
        return self.random_source.sample(self._ips, counts[scope])

    async def _run_faults(self) -> None:
        for step in self.scenario.faults:
            await self._sleep_until(step.at)
            ip = self._ips[step.daemon]
            if step.kind is scenarios.FaultKind.KILL:
                if ip in self.daemons:
                    self.kill(ip)
            elif step.kind is scenarios.FaultKind.START:
                if ip not in self.daemons:
                    self.start(ip)
            elif step.kind is scenarios.FaultKind.CONFIGURE:
                self._configure()
            elif step.kind is scenarios.FaultKind.SERVICE_DOWN:
                self._stop_servers({"s0"})
            elif step.kind is scenarios.FaultKind.ALL_DOWN:
                self._stop_servers({each.service for each in self.servers})
            else:
                self._start_servers()

    async def _run_hangs(self) -> None:
        for hang in self.scenario.hangs:
            hung_servers = [
                server
                for server in self.servers
                if server.service == HANGING_SERVICE
            ][: hang.server_count]
            await self._sleep_until(hang.starts_at)
            for server in hung_servers:
                server.is_hanging = True
            await self._sleep_until(hang.ends_at)
            for server in hung_servers:
                server.is_hanging = False

    async def _run_herds(self) -> None:
        herd = self.scenario.herd
        if herd is None:
            return
        callers = []
        at = herd.period_seconds
        while at < self.scenario.seconds:
            await self._sleep_until(at)
            at += herd.period_seconds
            for number in range(herd.size):
                ip = self._ips[number % len(self._ips)]
                deadline = boot_clock.now() + max(DEADLINES_SECONDS)
                target = f"/safe/0/n{self._request_count}"
                callers.append(
                    asyncio.ensure_future(
                        self._call(ip, target, deadline, is_first=True)
                    )
                )
                # A task begins before the next request is numbered.
                await asyncio.sleep(0)
        await asyncio.gather(*callers)

    def _request_rate(self) -> float:
        elapsed_seconds = boot_clock.now() - self.traffic_started_at
        rate = self.scenario.rate
        for burst in self.scenario.bursts:
            if burst.starts_at <= elapsed_seconds < burst.ends_at:
                rate *= burst.factor
        return rate

    def _stop_servers(self, services: set[str]) -> None:
        for server in self.servers:
            if server.service in services:
                server.stop()
        for service in services:
            self._down_since[service] = boot_clock.now()

    def _start_servers(self) -> None:
        for server in self.servers:
            server.is_listening = True
        for service, since in self._down_since.items():
            self.evidence.down_periods.append(
                (since, boot_clock.now(), service)
            )
        self._down_since.clear()

    async def _sleep_until(self, seconds: float) -> None:
        at = self.traffic_started_at + seconds
        await asyncio.sleep(max(0.0, at - boot_clock.now()))

    async def _run_callers(self) -> "list[asyncio.Task[None]]":
        end = boot_clock.now() + self.scenario.seconds
        tasks = []
        while boot_clock.now() < end:
            await asyncio.sleep(
                self.random_source.expovariate(self._request_rate())
            )
            tasks.append(asyncio.ensure_future(self._run_caller()))
        return tasks

    async def _run_caller(self) -> None:
        """Sends a request, and once more if it fails and may be repeated."""
        is_safe = self.random_source.random() < SAFE_RATIO
        number = self.random_source.randrange(SERVICE_COUNT)
        deadline = boot_clock.now() + self.random_source.choice(
            DEADLINES_SECONDS
        )
        item = f"n{self._request_count}"
        if self.random_source.random() < self.scenario.popular_ratio:
            item = f"popular-{self.random_source.randrange(POPULAR_COUNT)}"
        kind = "safe" if is_safe else "unsafe"
        target = f"/{kind}/{number}/{item}"
        ip = self.random_source.choice(sorted(self.daemons))
        attempt, pause = await self._call(ip, target, deadline, is_first=True)
        if attempt.is_served or attempt.status is None:
            return
        if not is_safe and attempt.status not in judging.PROMISES:
            return
        left = deadline - boot_clock.now()
        await asyncio.sleep(max(0.0, min(pause, MAX_RETRY_AFTER_RATIO * left)))
        others = sorted(set(self.daemons) - {ip})
        ip = self.random_source.choice(others)
        await self._call(ip, target, deadline, is_first=False)

    async def _call(
        self, ip: str, target: str, deadline: float, *, is_first: bool
    ) -> tuple[judging.Attempt, float]:
        """Sends one attempt; returns it and the pause before the next one."""
        daemon = self.daemons[ip]
        assert isinstance(daemon, PartitionedDaemon)
        self._request_count += 1
        now = boot_clock.now()
        kind, number = target.split("/")[1:3]
        left_ms = round((deadline - now) * 1000)
        attempt = judging.Attempt(
            f"r{self._request_count}",
            now,
            daemon.options.name,
            f"s{number}",
            is_safe=kind == "safe",
            is_first=is_first,
            max_attempts=_max_attempts(int(number)),
            deadline=min(
                deadline,
                now + ROUTE_TIMEOUT_SECONDS + self._version / 1000,
            ),
        )
        self.evidence.attempts[attempt.request_id] = attempt
        fields: multidict.CIMultiDict[str] = multidict.CIMultiDict(
            {
                "Host": documents.HOST,
                field_names.REQUEST_ID: attempt.request_id,
                field_names.DEADLINE: str(left_ms),
            }
        )
        method = "GET" if attempt.is_safe else "POST"
        request = caller_requests.CallerRequest(
            method, target, fields, b"", now, (1, 1), False
        )
        task = asyncio.ensure_future(daemon.serve(request))
        daemon.requests[task] = None
        task.add_done_callback(lambda done: daemon.requests.pop(done, None))
        done, _ = await asyncio.wait(
            {task}, timeout=max(0.0, deadline - now) + TIMEOUT_GRACE_SECONDS
        )
        attempt.ended_at = boot_clock.now()
        if not done:
            task.cancel()
            return attempt, 0.0
        if task.cancelled():
            attempt.status = 0
            return attempt, RETRY_PAUSE_SECONDS
        error = task.exception()
        if error is not None:
            self.evidence.defects.append(repr(error))
            attempt.status = outcomes.Reason.INTERNAL.status
            return attempt, RETRY_PAUSE_SECONDS
        outcome = task.result()
        if isinstance(outcome, outcomes.Answered):
            attempt.status = outcome.status
            return attempt, RETRY_PAUSE_SECONDS
        attempt.status = rendering.failure_status(outcome)
        attempt.reason = outcome.reason.slug
        return attempt, outcome.retry_after_seconds or RETRY_PAUSE_SECONDS


def _max_attempts(service_number: int) -> int:
    """Returns the servers to which requests of a service may be sent."""
    return 1 + service_number


def run_in_virtual_time(
    scenario: scenarios.Scenario, seed: int
) -> judging.Evidence:
    """Runs a scenario on a virtual clock and returns what was seen."""

    async def run() -> judging.Evidence:
        event_loop = asyncio.get_running_loop()
        with mock.patch.object(
            boot_clock, "now", lambda: START_SECONDS + event_loop.time()
        ):
            fleet = PartitionedFleet(scenario, seed)
            await fleet.run()
            return fleet.evidence

    return loop.run_virtual(run())
