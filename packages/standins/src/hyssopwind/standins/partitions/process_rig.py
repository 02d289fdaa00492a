"""Cuts real gateway processes off from their servers, judged by callers."""

import asyncio
import contextlib
import datetime
import itertools
import json
import os
import pathlib
import random
import time

import aiohttp

from hyssopwind.platform import field_names
from hyssopwind.standins.links import link
from hyssopwind.standins.links import rig as link_rig
from hyssopwind.standins.partitions import judging
from hyssopwind.standins.partitions import scenarios
from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import server
from hyssopwind.standins.site import store
from hyssopwind.standins.stops import rig

SERVICE_COUNT = 2
SERVERS_PER_SERVICE = 6
DATA_CENTRE_COUNT = 3
SLOTS = 8
WORK_SECONDS = 0.1
RATE = 60.0  # first tries of all callers per second
SAFE_RATIO = 0.7
POPULAR_COUNT = 2  # requests of each route that many callers send
LATENCY_TARGET_SECONDS = 0.6
ROUTE_TIMEOUT_SECONDS = 2.0
DEADLINES_SECONDS = (1.2, 2.5)  # of callers
MAX_RETRY_AFTER_RATIO = 1 / 3
RETRY_PAUSE_SECONDS = 0.05
TIMEOUT_GRACE_SECONDS = 0.05  # of callers
# Until all gateways have each other in their member lists.
SETTLING_SECONDS = 5.0
DRAIN_SECONDS = 3.0  # after the end of traffic
MAX_ATTEMPTS = 2
# Of the opening of connections by callers and of busy processes.
TRANSIT_SECONDS = 0.1
_CUT_KINDS = {
    scenarios.CutKind.HANG: link.CutKind.HANG,
    scenarios.CutKind.RESET: link.CutKind.RESET,
    scenarios.CutKind.REFUSE_NEW: link.CutKind.REFUSE,
}


async def run(
    scenario: scenarios.Scenario,
    gateway_count: int,
    seed: int,
    root: pathlib.Path,
    log_directory: pathlib.Path,
) -> judging.Evidence:
    """Runs a scenario with the gateway that was built in `root`.

    Only cuts of one or half of the gateways, or of all but one, are made;
    other faults of the scenario are left out.
    """
    async with contextlib.AsyncExitStack() as stack:
        partition_run = _Run(scenario, gateway_count, seed, stack)
        return await partition_run.run(root, log_directory)


class _Run:
    _run_numbers = itertools.count(os.getpid())

    def __init__(
        self,
        scenario: scenarios.Scenario,
        gateway_count: int,
        seed: int,
        stack: contextlib.AsyncExitStack,
    ):
        self._network = f"127.0.{next(self._run_numbers) % 250 + 1}"
        self._scenario = scenario
        self._gateway_count = gateway_count
        self._stack = stack
        self._random = random.Random(seed)
        self._store = store.StandInStore()
        self._gateways: list[link_rig.LinkedGateway] = []
        self._servers: list[server.StandInServer] = []
        self._evidence = judging.Evidence(
            LATENCY_TARGET_SECONDS,
            frozenset(f"front-{n}" for n in range(gateway_count)),
            TRANSIT_SECONDS,
        )
        self._request_numbers = itertools.count(1)
        self._started_at = 0.0

    async def run(
        self, root: pathlib.Path, log_directory: pathlib.Path
    ) -> judging.Evidence:
        """Starts everything, runs the scenario and returns the evidence."""
        await self._start(root, log_directory)
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self._stack.push_async_callback(session.close)
        self._started_at = time.monotonic()
        cuts = asyncio.create_task(self._run_cuts())
        self._stack.callback(cuts.cancel)
        await self._run_callers(session)
        await cuts
        await asyncio.sleep(DRAIN_SECONDS)
        self._collect_arrivals()
        for number in range(self._gateway_count):
            self._collect_forwards(number)
        self._evidence.forwards.sort(key=lambda each: each.at)
        return self._evidence

    async def _start(
        self, root: pathlib.Path, log_directory: pathlib.Path
    ) -> None:
        await self._store.start()
        self._stack.push_async_callback(self._store.stop)
        for number in range(SERVICE_COUNT * SERVERS_PER_SERVICE):
            await self._start_server(number)
        services = [f"s{number}" for number in range(SERVICE_COUNT)]
        routes = [
            documents.make_route_resource(
                f"{kind}-{number}",
                f"/{kind}/{number}/",
                kind=kind,
                service=services[number],
                timeout_s=ROUTE_TIMEOUT_SECONDS,
                target_latency_s=LATENCY_TARGET_SECONDS,
                max_attempts=MAX_ATTEMPTS,
            )
            for number in range(SERVICE_COUNT)
            for kind in ("safe", "unsafe")
        ]
        await self._store.put(
            "op/config", documents.make_configuration(1, routes, services)
        )
        listen_ports = ports.find_free_ports(4)
        for number in range(self._gateway_count):
            gateway = self._create_gateway(
                number, listen_ports, root, log_directory
            )
            self._gateways.append(gateway)
            self._stack.push_async_callback(gateway.close)
            await gateway.start()
        for gateway in self._gateways:
            async with asyncio.timeout(rig.START_TIMEOUT_SECONDS):
                while not await gateway.is_ready():
                    await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLING_SECONDS)

    async def _start_server(self, number: int) -> None:
        stand_in = server.StandInServer(
            server.ServerOptions(
                f"i-{number}",
                work_seconds=WORK_SECONDS,
                slots=SLOTS,
                omits_load=not self._scenario.reports_load,
            )
        )
        await stand_in.start()
        self._stack.push_async_callback(stand_in.close)
        self._servers.append(stand_in)
        entry = documents.make_server_entry(
            stand_in.address,
            slots=SLOTS,
            service=f"s{number // SERVERS_PER_SERVICE}",
            zone=f"zone-{number % DATA_CENTRE_COUNT}",
        )
        await self._store.put(f"servers/i-{number}", entry)

    def _create_gateway(
        self,
        number: int,
        listen_ports: list[int],
        root: pathlib.Path,
        log_directory: pathlib.Path,
    ) -> link_rig.LinkedGateway:
        settings_path = log_directory / f"gateway-{number}.toml"
        settings_path.write_text(
            documents.render_settings(
                store_address=self._store.address,
                ports=listen_ports,
                name=f"front-{number}",
                ip=f"{self._network}.{number + 1}",
                seed_address=f"{self._network}.1:{listen_ports[2]}",
                grace_seconds=link_rig.GRACE_SECONDS,
                zone=f"zone-{number % DATA_CENTRE_COUNT}",
            )
        )
        return link_rig.LinkedGateway(
            settings_path,
            root,
            log_directory / f"gateway-{number}.log",
            1_000.0,
            link_rig.RunSettings().window_bytes,
        )

    async def _run_cuts(self) -> None:
        addresses = frozenset(each.address for each in self._servers)
        for cut in self._scenario.cuts:
            await self._sleep_until(cut.starts_at)
            counts = {
                scenarios.CutScope.ONE: 1,
                scenarios.CutScope.HALF: (self._gateway_count + 1) // 2,
                scenarios.CutScope.ALL_BUT_ONE: self._gateway_count - 1,
            }
            numbers = self._random.sample(
                range(self._gateway_count), counts[cut.scope]
            )
            for number in numbers:
                self._gateways[number].cut(_CUT_KINDS[cut.kind], addresses)
            self._evidence.cuts.append(
                judging.CutPeriod(
                    time.monotonic(),
                    self._started_at + cut.ends_at,
                    cut.kind,
                    frozenset(f"front-{number}" for number in numbers),
                )
            )
            await self._sleep_until(cut.ends_at)
            for number in numbers:
                self._gateways[number].cut(link.CutKind.NONE, frozenset())

    async def _sleep_until(self, seconds: float) -> None:
        at = self._started_at + seconds
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def _run_callers(self, session: aiohttp.ClientSession) -> None:
        end = self._started_at + self._scenario.seconds
        tasks = set()
        while time.monotonic() < end:
            await asyncio.sleep(self._random.expovariate(RATE))
            task = asyncio.create_task(self._run_caller(session))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def _run_caller(self, session: aiohttp.ClientSession) -> None:
        """Sends a request, and once more if it fails and may be repeated."""
        number = next(self._request_numbers)
        kind = "safe" if self._random.random() < SAFE_RATIO else "unsafe"
        service_number = self._random.randrange(SERVICE_COUNT)
        item = f"n{number}"
        if self._random.random() < self._scenario.popular_ratio:
            item = f"popular-{self._random.randrange(POPULAR_COUNT)}"
        target = f"/{kind}/{service_number}/{item}"
        deadline = time.monotonic() + self._random.choice(DEADLINES_SECONDS)
        gateways = self._random.sample(range(self._gateway_count), 2)
        for gateway in gateways:
            left = deadline - time.monotonic()
            attempt = judging.Attempt(
                f"r{number}-{gateway}",
                time.monotonic(),
                f"front-{gateway}",
                f"s{service_number}",
                is_safe=kind == "safe",
                is_first=gateway == gateways[0],
                max_attempts=MAX_ATTEMPTS,
                deadline=time.monotonic() + min(left, ROUTE_TIMEOUT_SECONDS),
            )
            self._evidence.attempts[attempt.request_id] = attempt
            pause = await self._call(session, gateway, target, left, attempt)
            if attempt.is_served or attempt.status is None:
                return
            if not attempt.is_safe and attempt.status not in judging.PROMISES:
                return
            left = deadline - time.monotonic()
            await asyncio.sleep(min(pause, MAX_RETRY_AFTER_RATIO * left))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        gateway: int,
        target: str,
        seconds: float,
        attempt: judging.Attempt,
    ) -> float:
        """Sends one attempt; returns the pause before the next one."""
        host, port = self._gateways[gateway].callers_address
        fields = {
            "Host": documents.HOST,
            field_names.REQUEST_ID: attempt.request_id,
            field_names.DEADLINE: str(round(seconds * 1000)),
        }
        retry_after = RETRY_PAUSE_SECONDS
        try:
            async with asyncio.timeout(seconds + TIMEOUT_GRACE_SECONDS):
                async with session.request(
                    "GET" if attempt.is_safe else "POST",
                    f"http://{host}:{port}{target}",
                    headers=fields,
                ) as response:
                    body = await response.read()
            attempt.status = response.status
            if field_names.SERVER_STAMP not in response.headers:
                attempt.reason = "other"
                if b"/quarantined" in body or b"quarantined" in body:
                    attempt.reason = "quarantined"
            stated = response.headers.get(field_names.RETRY_AFTER)
            retry_after = float(stated) if stated else RETRY_PAUSE_SECONDS
        except TimeoutError:
            attempt.status = None
        except aiohttp.ClientError:
            attempt.status = 0
        attempt.ended_at = time.monotonic()
        return retry_after

    def _collect_arrivals(self) -> None:
        for stand_in in self._servers:
            seconds = {}
            for data in stand_in.received_requests:
                fields = _parse_fields(data)
                request_id = fields[field_names.REQUEST_ID.lower()]
                stated = fields[field_names.DEADLINE.lower()]
                seconds[request_id] = float(stated) / 1000
            for at, request_id in stand_in.arrivals:
                attempt = self._evidence.attempts[request_id]
                was_held = any(
                    attempt.at < cut.ends_at <= at
                    for cut in self._evidence.cuts
                )
                self._evidence.arrivals.append(
                    judging.Arrival(
                        at,
                        stand_in.options.server_id,
                        "",
                        request_id,
                        deadline=at + seconds[request_id],
                        was_held=was_held,
                        has_run=True,
                    )
                )

    def _collect_forwards(self, number: int) -> None:
        """Reads from the log of a gateway what it passed on."""
        clock_offset = time.monotonic() - time.time()
        with self._gateways[number].log_path.open() as stream:
            for line in stream:
                if '"handed to a peer"' not in line:
                    continue
                fields = json.loads(line)
                if fields["result"] == "not_connected":
                    continue
                ended_at = datetime.datetime.fromisoformat(fields["time"])
                self._evidence.forwards.append(
                    judging.Forward(
                        ended_at.timestamp()
                        + clock_offset
                        - fields["ms"] / 1000,
                        f"front-{number}",
                        fields["peer"],
                        fields["request"],
                    )
                )


def _parse_fields(data: bytes) -> dict[str, str]:
    head = data.partition(b"\r\n\r\n")[0].decode()
    fields = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(": ")
        fields[name.lower()] = value
    return fields
