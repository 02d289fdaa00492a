"""Runs a scenario against real gateway processes of the deploy file.

The gateways know each other through a seed, share a store, and have addresses
of their own on the loopback network.
"""

import asyncio
import collections
import contextlib
import itertools
import math
import os
import pathlib
import random
import time

import aiohttp

from hyssopwind.platform import field_names
from hyssopwind.standins.limits import judging
from hyssopwind.standins.limits import scenarios
from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import server
from hyssopwind.standins.site import store
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import rig

SERVER_COUNT = 6
SLOTS = 40
WORK_SECONDS = 0.05
# Requests per second that a server gets in quiet times.
QUIET_RATE = 4.0
DEADLINE_SECONDS = 2.5
LATENCY_TARGET_SECONDS = 0.6
# Until all gateways have each other in their member lists.
SETTLING_SECONDS = 5.0
GRACE_SECONDS = 4.0
MAX_RETRY_AFTER_RATIO = 1 / 3
_ACTIONS = {
    scenarios.Fault.KILL: plans.ActionKind.KILL,
    scenarios.Fault.START: plans.ActionKind.START,
    scenarios.Fault.STOP: plans.ActionKind.TERMINATE,
    scenarios.Fault.FREEZE: plans.ActionKind.FREEZE,
    scenarios.Fault.THAW: plans.ActionKind.THAW,
}


async def run(
    scenario: scenarios.Scenario,
    gateway_count: int,
    seed: int,
    root: pathlib.Path,
    log_directory: pathlib.Path,
) -> judging.Evidence:
    """Runs a scenario with the gateway that was built in `root`."""
    async with contextlib.AsyncExitStack() as stack:
        scenario_run = _Run(scenario, gateway_count, seed, stack)
        return await scenario_run.run(root, log_directory)


class _Run:
    _run_numbers = itertools.count(os.getpid())

    def __init__(
        self,
        scenario: scenarios.Scenario,
        gateway_count: int,
        seed: int,
        stack: contextlib.AsyncExitStack,
    ):
        self._number = next(self._run_numbers)
        self._scenario = scenario
        self._gateway_count = gateway_count
        self._stack = stack
        self._random = random.Random(seed)
        self._gateways: list[rig.GatewayProcess] = []
        self._servers: list[server.StandInServer] = []
        self._evidence = judging.Evidence()
        self._gateway_by_request: dict[str, int] = {}
        self._down: collections.Counter[int] = collections.Counter()
        self._request_numbers = itertools.count(1)
        self._started_at = math.inf

    async def run(
        self, root: pathlib.Path, log_directory: pathlib.Path
    ) -> judging.Evidence:
        """Starts everything, runs the scenario and returns the evidence."""
        await self._start(root, log_directory)
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=DEADLINE_SECONDS + 1.0),
        )
        self._stack.push_async_callback(session.close)
        self._started_at = time.monotonic()
        limit_task = asyncio.create_task(self._state_limits())
        self._stack.callback(limit_task.cancel)
        fault_task = asyncio.create_task(self._run_faults())
        await self._run_callers(session)
        self._evidence.ended_at = time.monotonic()
        await fault_task
        self._collect_arrivals()
        return self._evidence

    async def _start(
        self, root: pathlib.Path, log_directory: pathlib.Path
    ) -> None:
        platform_store = store.StandInStore()
        await platform_store.start()
        self._stack.push_async_callback(platform_store.stop)
        for number in range(SERVER_COUNT):
            options = server.ServerOptions(
                f"i-{number}", work_seconds=WORK_SECONDS, slots=SLOTS
            )
            naming = self._scenario.naming
            options.states_limit_to_probes = naming in (
                scenarios.Naming.ALL,
                scenarios.Naming.PROBES,
            )
            options.states_limit_to_requests = naming in (
                scenarios.Naming.ALL,
                scenarios.Naming.REQUESTS,
            )
            options.omits_load = not self._scenario.reports_load
            stand_in = server.StandInServer(options)
            await stand_in.start()
            self._stack.push_async_callback(stand_in.close)
            self._servers.append(stand_in)
            entry = documents.make_server_entry(stand_in.address, slots=SLOTS)
            await platform_store.put(f"servers/{options.server_id}", entry)
        route = documents.make_route_resource(
            "route",
            "/",
            timeout_s=DEADLINE_SECONDS,
            target_latency_s=LATENCY_TARGET_SECONDS,
        )
        await platform_store.put(
            "op/config", documents.make_configuration(1, [route])
        )
        listen_ports = ports.find_free_ports(4)
        for number in range(self._gateway_count):
            gateway = self._create_gateway(
                number,
                listen_ports,
                platform_store.address,
                root,
                log_directory,
            )
            self._gateways.append(gateway)
            self._stack.push_async_callback(gateway.close)
            await gateway.start()
        for gateway in self._gateways:
            async with asyncio.timeout(rig.START_TIMEOUT_SECONDS):
                while not await gateway.is_ready():
                    await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLING_SECONDS)

    def _create_gateway(
        self,
        number: int,
        listen_ports: list[int],
        store_address: str,
        root: pathlib.Path,
        log_directory: pathlib.Path,
    ) -> rig.GatewayProcess:
        network = f"127.0.{self._number % 250 + 1}"
        settings_path = log_directory / f"gateway-{number}.toml"
        settings_path.write_text(
            documents.render_settings(
                store_address=store_address,
                ports=listen_ports,
                name=f"front-{number}",
                ip=f"{network}.{number + 1}",
                seed_address=f"{network}.1:{listen_ports[2]}",
                grace_seconds=GRACE_SECONDS,
            )
        )
        return rig.GatewayProcess(
            settings_path,
            root,
            log_directory / f"gateway-{number}.log",
            GRACE_SECONDS,
            frozenset(os.sched_getaffinity(0)),
        )

    def _limited_servers(self) -> list[server.StandInServer]:
        count = round(self._scenario.limited_ratio * SERVER_COUNT)
        return self._servers[: max(1, count)]

    async def _state_limits(self) -> None:
        """Changes what the servers state at the times of the scenario."""
        for at, rate in self._scenario.limits:
            delay = self._started_at + at - time.monotonic()
            await asyncio.sleep(max(0.0, delay))
            for stand_in in self._limited_servers():
                stand_in.options.limit = "" if math.isinf(rate) else f"{rate:g}"
                steps = self._evidence.limits.setdefault(
                    stand_in.options.server_id, []
                )
                steps.append(judging.LimitStep(time.monotonic(), rate))

    async def _run_faults(self) -> None:
        for step in sorted(self._scenario.faults, key=lambda each: each.at):
            delay = self._started_at + step.at - time.monotonic()
            await asyncio.sleep(max(0.0, delay))
            number = step.daemon % self._gateway_count
            name = str(number)
            excused = self._evidence.excused[name]
            now = time.monotonic()
            ends = (scenarios.Fault.START, scenarios.Fault.THAW)
            if step.fault in ends:
                excused[-1] = (excused[-1][0], now)
                self._down[number] -= 1
            else:
                excused.append((now, math.inf))
                self._down[number] += 1
            await self._gateways[number].act(_ACTIONS[step.fault])

    async def _run_callers(self, session: aiohttp.ClientSession) -> None:
        rate = QUIET_RATE * SERVER_COUNT * self._scenario.demand_factor
        end = self._started_at + self._scenario.seconds
        tasks = set()
        while time.monotonic() < end:
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(self._run_caller(session))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _select_gateway(self) -> int:
        running = [n for n in range(self._gateway_count) if not self._down[n]]
        if self._random.random() < self._scenario.busiest_share:
            return running[0]
        return self._random.choice(running)

    async def _run_caller(self, session: aiohttp.ClientSession) -> None:
        deadline = time.monotonic() + DEADLINE_SECONDS
        for _ in range(3):
            left = deadline - time.monotonic()
            if left <= 0.0:
                return
            retry_after = await self._call(session, left)
            if retry_after is None:
                return
            left = deadline - time.monotonic()
            await asyncio.sleep(min(retry_after, MAX_RETRY_AFTER_RATIO * left))

    async def _call(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> float | None:
        """Sends one attempt; returns the time to come back, if refused."""
        number = self._select_gateway()
        host, port = self._gateways[number].callers_address
        request_id = f"r{next(self._request_numbers)}"
        self._gateway_by_request[request_id] = number
        fields = {
            "Host": documents.HOST,
            field_names.REQUEST_ID: request_id,
            field_names.DEADLINE: str(round(seconds * 1000)),
        }
        try:
            async with session.get(
                f"http://{host}:{port}/a", headers=fields
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return None  # The gateway was impaired.
        self._record_answer(request_id, number, response)
        retry_after = response.headers.get(field_names.RETRY_AFTER)
        if response.status != 503 or retry_after is None:
            return None
        return float(retry_after)

    def _record_answer(
        self, request_id: str, gateway: int, response: aiohttp.ClientResponse
    ) -> None:
        if field_names.SERVER_LIMIT not in response.headers:
            return
        for stand_in in self._servers:
            if request_id in stand_in.executions:
                server_id = stand_in.options.server_id
                told = self._evidence.told[server_id, str(gateway)]
                told.append(time.monotonic())

    def _collect_arrivals(self) -> None:
        for stand_in in self._servers:
            for at, request_id in stand_in.arrivals:
                gateway = self._gateway_by_request.get(request_id, -1)
                self._evidence.arrivals.append(
                    judging.Arrival(
                        at, str(gateway), stand_in.options.server_id
                    )
                )
