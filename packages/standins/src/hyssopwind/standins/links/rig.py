"""Runs changes of the configuration against gateways behind narrow links."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import math
import os
import pathlib
import random
import statistics
import time
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from hyssopwind.core import registry
from hyssopwind.standins.links import judging
from hyssopwind.standins.links import launcher
from hyssopwind.standins.links import link
from hyssopwind.standins.links import probing
from hyssopwind.standins.site import documents
from hyssopwind.standins.site import ports
from hyssopwind.standins.site import server
from hyssopwind.standins.site import store
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import rig

LAUNCHER_MODULE = "hyssopwind.standins.links.launcher"
SOURCE_DIRECTORY = pathlib.Path(__file__).resolve().parents[3]
INITIAL_ROUTES = 65
ADDED_ROUTES = 1_400
CHANGED_ROUTES = 5
BURST_VERSIONS = 4
BURST_SECONDS = 1.0
OUTAGE_SECONDS = 1.0
KILL_DELAY_SECONDS = 0.25
DOWN_SECONDS = 0.3
SLOTS = 40
GRACE_SECONDS = 4.0
# Until all gateways have each other in their member lists.
SETTLING_SECONDS = 2.0
QUIET_SECONDS = 1.0  # before each change
COUNTERS_TIMEOUT_SECONDS = 5.0
READER_BYTES = 10_000  # Daemons that do not read the store receive less.
SERVER_WRITE_SECONDS = 0.5
HISTORY_SECONDS = 20.0  # of the store
RECOVERY_SECONDS = 15.0  # before a phase that follows one which failed


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettings:
    """Settings of a run.

    Attributes:
        gateways: number of gateways.
        data_centres: number of data centres over which they are spread.
        mbps: width of each direction of their links in Mbit/s.
        wide_gateways: number of gateways with wider links.
        wide_mbps: width of the wider links.
        window_bytes: bytes of one connection that may wait for a link.
        seed: decides routes.
        bound_seconds: time in which a version must be in force.
        max_seconds: longest time after a change in a phase.
    """

    gateways: int = 15
    data_centres: int = 1
    mbps: float = 5.0
    wide_gateways: int = 0
    wide_mbps: float = 200.0
    window_bytes: int = 65_536
    seed: int = 1
    bound_seconds: float = 2.0
    max_seconds: float = 10.0

    def link_mbps(self, number: int) -> float:
        """Returns the width of a gateway's link."""
        if number >= self.gateways - self.wide_gateways:
            return self.wide_mbps
        return self.mbps


class LinkedGateway(rig.GatewayProcess):
    """A gateway process behind a link."""

    def __init__(
        self,
        settings_path: pathlib.Path,
        root: pathlib.Path,
        log_path: pathlib.Path,
        mbps: float,
        window_bytes: int,
    ):
        super().__init__(
            settings_path,
            root,
            log_path,
            GRACE_SECONDS,
            frozenset(os.sched_getaffinity(0)),
        )
        self._built_path = root / "target/deps"
        self._control_path = settings_path.with_suffix(".control")
        self._counters_path = settings_path.with_suffix(".counters")
        self._link_settings = link.LinkSettings(
            mbps=mbps,
            window_bytes=window_bytes,
            control_path=str(self._control_path),
            counters_path=str(self._counters_path),
        )
        self._control = link.Control()

    def cut(self, kind: link.CutKind, addresses: frozenset[str]) -> None:
        """Cuts the process off from addresses, or heals the cut."""
        self._control = link.Control(self._control.serial + 1, kind, addresses)
        new_path = self._control_path.with_suffix(".next")
        new_path.write_text(self._control.encode())
        new_path.replace(self._control_path)

    async def read_counters(self) -> dict[str, Any]:
        """Returns what the link has carried up to now."""
        self.cut(self._control.kind, self._control.addresses)
        async with asyncio.timeout(COUNTERS_TIMEOUT_SECONDS):
            while True:
                await asyncio.sleep(launcher.POLL_SECONDS)
                if not self._counters_path.exists():
                    continue
                counters: dict[str, Any] = json.loads(
                    self._counters_path.read_text()
                )
                if counters["serial"] == self._control.serial:
                    return counters

    def _make_arguments(self, arguments: list[str]) -> list[str]:
        module_index = arguments.index("-m") + 1
        return [
            *arguments[:module_index],
            LAUNCHER_MODULE,
            *arguments[module_index:],
        ]

    def _extra_environment(self) -> dict[str, str]:
        return {
            "PYTHONPATH": f"{self._built_path}{os.pathsep}{SOURCE_DIRECTORY}",
            launcher.SETTINGS_VARIABLE: self._link_settings.encode(),
        }


class Operator:
    """Writes versions of the configuration to the store.

    Attributes:
        publications: all versions so far.
    """

    def __init__(
        self, platform_store: store.StandInStore, random_source: random.Random
    ):
        self.publications: list[judging.Publication] = []
        self._store = platform_store
        self._random = random_source
        self._routes = self._make_routes(INITIAL_ROUTES - 2)

    @property
    def newest_version(self) -> int:
        """The newest accepted version."""
        return self.publications[-1].version

    def add_routes(self, count: int) -> None:
        """Adds routes to the next version."""
        self._routes += self._make_routes(count)

    def replace_routes(self, count: int) -> None:
        """Replaces the last routes in the next version."""
        self._routes[-count:] = self._make_routes(count)

    def change_routes(self, count: int) -> None:
        """Changes routes in the next version."""
        for route in self._random.sample(self._routes, count):
            route["spec"]["timeout_s"] = round(self._random.uniform(1, 2), 3)

    async def publish(self) -> judging.Publication:
        """Publishes a version, which adds one route and moves one."""
        version = len(self.publications) + 1
        publication = judging.Publication(version, 0.0, 0)
        document = documents.make_configuration(
            version,
            [
                *self._routes,
                documents.make_route_resource(
                    "added", f"/added-{version}/", service="s0"
                ),
                documents.make_route_resource(
                    "moved", "/moved/", service=publication.service
                ),
            ],
            judging.MOVED_SERVICES,
        )
        data = json.dumps(document).encode()
        await self._store.put("op/config", data)
        publication = dataclasses.replace(
            publication, accepted_at=time.monotonic(), encoded_bytes=len(data)
        )
        self.publications.append(publication)
        return publication

    def _make_routes(self, count: int) -> list[dict[str, Any]]:
        return [
            documents.make_route_resource(
                f"route-{self._random.getrandbits(40):010x}",
                f"/{self._random.getrandbits(40):010x}/",
                service="s0",
            )
            for _ in range(count)
        ]


class Run:
    """Gateways, their store, servers and callers.

    Attributes:
        settings: settings of the run.
        store: the store.
        operator: writer of configurations.
        gateways: the gateways.
        excused_until: time from which the bound counts in this phase, by
            gateway.
    """

    _numbers = itertools.count(os.getpid())

    def __init__(
        self, run_settings: RunSettings, stack: contextlib.AsyncExitStack
    ):
        self.settings = run_settings
        self.store = store.StandInStore()
        self.operator = Operator(self.store, random.Random(run_settings.seed))
        self.gateways: list[LinkedGateway] = []
        self.excused_until: dict[int, float] = {}
        self._network = f"127.0.{next(self._numbers) % 250 + 1}"
        self._peers_label = ""
        self._stack = stack
        self._servers: dict[str, server.StandInServer] = {}
        self._callers: list[probing.Caller] = []

    async def start(
        self, root: pathlib.Path, log_directory: pathlib.Path
    ) -> None:
        """Starts everything with the gateway that was built in `root`."""
        self.store.history_seconds = HISTORY_SECONDS
        await self.store.start()
        self._stack.push_async_callback(self.store.stop)
        for service in judging.MOVED_SERVICES:
            stand_in = server.StandInServer(
                server.ServerOptions(f"i-{service}", slots=SLOTS)
            )
            await stand_in.start()
            self._stack.push_async_callback(stand_in.close)
            self._servers[service] = stand_in
            await self._write_server(service, 1)
        await self.operator.publish()
        listen_ports = ports.find_free_ports(4)
        self._peers_label = f"at {listen_ports[2]}"
        for number in range(self.settings.gateways):
            gateway = self._create_gateway(
                number, listen_ports, root, log_directory
            )
            self.gateways.append(gateway)
            self._stack.push_async_callback(gateway.close)
            await gateway.start()
        for gateway in self.gateways:
            async with asyncio.timeout(rig.START_TIMEOUT_SECONDS):
                while not await gateway.is_ready():
                    await asyncio.sleep(0.05)
        for number, gateway in enumerate(self.gateways):
            caller = probing.Caller(
                number,
                gateway.callers_address,
                probing.INTERVAL_SECONDS * number / len(self.gateways),
                lambda: self.operator.newest_version,
            )
            self._callers.append(caller)
            self._start_task(caller.run())
        self._start_task(self._write_servers())
        await asyncio.sleep(SETTLING_SECONDS)

    async def run_phase(self, name: str) -> dict[str, Any]:
        """Runs a phase and returns its figures."""
        is_recovered = await self._recover()
        self.excused_until.clear()
        counters_before = await self._read_all_counters()
        started_at = time.monotonic()
        version_before = self.operator.newest_version
        await asyncio.sleep(QUIET_SECONDS)
        await PHASES.find(name)(self)
        changed_at = time.monotonic()
        min_end = changed_at + self.settings.bound_seconds + 0.5
        while time.monotonic() < changed_at + self.settings.max_seconds:
            await asyncio.sleep(probing.INTERVAL_SECONDS)
            is_over = time.monotonic() >= min_end
            evidence = self._collect(started_at, version_before)
            if is_over and self._is_in_force(evidence):
                break
        ended_at = time.monotonic()
        counters_after = await self._read_all_counters()
        while any(each.has_pending(ended_at) for each in self._callers):
            await asyncio.sleep(probing.INTERVAL_SECONDS)
        evidence = self._collect(started_at, version_before, ended_at)
        return {
            "phase": name,
            **dataclasses.asdict(self.settings),
            "recovered_before": is_recovered,
            "seconds": round(ended_at - started_at, 1),
            **judging.summarize(evidence, len(self.gateways)),
            **self._summarize_links(counters_before, counters_after),
        }

    async def find_reader(self) -> int:
        """Returns the gateway that receives most bytes of the store."""
        before = await self._read_all_counters()
        await asyncio.sleep(QUIET_SECONDS)
        after = await self._read_all_counters()
        received = [
            second["received"]["bytes"].get(self.store.address, 0)
            - first["received"]["bytes"].get(self.store.address, 0)
            for first, second in zip(before, after, strict=True)
        ]
        return received.index(max(received))

    async def restart(self, number: int) -> None:
        """Kills a gateway and starts it again."""
        await self.gateways[number].act(plans.ActionKind.KILL)
        await asyncio.sleep(DOWN_SECONDS)
        await self.gateways[number].start()
        await self.gateways[number].wait_for_listener()
        self.excused_until[number] = time.monotonic()

    def _create_gateway(
        self,
        number: int,
        listen_ports: list[int],
        root: pathlib.Path,
        log_directory: pathlib.Path,
    ) -> LinkedGateway:
        settings_path = log_directory / f"gateway-{number}.toml"
        settings_path.write_text(
            documents.render_settings(
                store_address=self.store.address,
                ports=listen_ports,
                name=f"front-{number}",
                ip=f"{self._network}.{number + 1}",
                seed_address=f"{self._network}.1:{listen_ports[2]}",
                grace_seconds=GRACE_SECONDS,
                zone=f"zone-{number % self.settings.data_centres}",
                link_mbps=self.settings.link_mbps(number),
            )
        )
        return LinkedGateway(
            settings_path,
            root,
            log_directory / f"gateway-{number}.log",
            self.settings.link_mbps(number),
            self.settings.window_bytes,
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)

        async def cancel() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self._stack.push_async_callback(cancel)

    async def _write_server(self, service: str, sequence: int) -> None:
        stand_in = self._servers[service]
        entry = documents.make_server_entry(
            stand_in.address, slots=SLOTS, service=service, sequence=sequence
        )
        await self.store.put(f"servers/{stand_in.options.server_id}", entry)

    async def _write_servers(self) -> None:
        for sequence in itertools.count(2):
            await asyncio.sleep(SERVER_WRITE_SECONDS)
            services = judging.MOVED_SERVICES
            await self._write_server(
                services[sequence % len(services)], sequence
            )

    async def _read_all_counters(self) -> list[dict[str, Any]]:
        return await asyncio.gather(
            *(each.read_counters() for each in self.gateways)
        )

    async def _recover(self) -> bool:
        """Waits until all gateways use the newest version."""
        started_at = time.monotonic()
        version = self.operator.newest_version
        while time.monotonic() < started_at + RECOVERY_SECONDS:
            await asyncio.sleep(probing.INTERVAL_SECONDS)
            evidence = self._collect(started_at, version)
            if self._is_in_force(evidence):
                return True
        return False

    def _is_in_force(self, evidence: judging.Evidence) -> bool:
        for number in range(len(self.gateways)):
            delay = judging.seconds_until_in_force(evidence, number)
            if math.isinf(delay):
                return False
        return True

    def _collect(
        self,
        started_at: float,
        version_before: int,
        ended_at: float = math.inf,
    ) -> judging.Evidence:
        """Returns the evidence of the requests sent between two times."""
        handled = {}
        for service, stand_in in self._servers.items():
            for at, request_id in stand_in.arrivals:
                if at >= started_at:
                    handled[request_id] = (at, service)
        probes = []
        for caller in self._callers:
            for probe in caller.probes:
                if not started_at <= probe.sent_at < ended_at:
                    continue
                if probe.request_id in handled:
                    probe.handled_at, probe.service = handled[probe.request_id]
                probes.append(probe)
        return judging.Evidence(
            self.operator.publications[version_before - 1 :],
            probes,
            dict(self.excused_until),
            self.settings.bound_seconds,
        )

    def _summarize_links(
        self, before: list[dict[str, Any]], after: list[dict[str, Any]]
    ) -> dict[str, Any]:
        figures: dict[str, Any] = {}
        readers = 0
        for name in ("sent", "received"):
            totals = []
            transfers = []
            for first, second in zip(before, after, strict=True):
                grown = dict(
                    judging.iterate_differences(
                        first[name]["bytes"], second[name]["bytes"]
                    )
                )
                totals.append(sum(grown.values()) / 1e3)
                transfers.append(
                    sum(
                        count
                        for label, count in grown.items()
                        if self._is_transfer(label)
                    )
                    / 1e3
                )
                if name == "received":
                    store_bytes = grown.get(self.store.address, 0)
                    readers += store_bytes >= READER_BYTES
            for prefix, counts in (("", totals), ("transfers_", transfers)):
                key = f"{prefix}{name}_kb"
                figures[f"{key}_median"] = round(statistics.median(counts), 1)
                figures[f"{key}_max"] = round(max(counts), 1)
        figures["store_readers"] = readers
        figures["max_lag_ms"] = round(
            1e3 * max(each["max_lag_seconds"] for each in after)
        )
        return figures

    def _is_transfer(self, label: str) -> bool:
        """Whether bytes are of the store or of connections between gateways."""
        return label in (self.store.address, self._peers_label) or (
            label.startswith(f"{self._network}.")
        )


PHASES: registry.Registry[str, Callable[[Run], Coroutine[Any, Any, None]]] = (
    registry.Registry("phase")
)


@PHASES.register("grow")
async def add_many_routes(run: Run) -> None:
    """Adds 1,400 routes to 65."""
    run.operator.add_routes(ADDED_ROUTES)
    await run.operator.publish()


@PHASES.register("small")
async def change_few_routes(run: Run) -> None:
    """Changes five routes, the added and the moved one among them."""
    run.operator.change_routes(CHANGED_ROUTES - 2)
    await run.operator.publish()


@PHASES.register("burst")
async def publish_in_quick_succession(run: Run) -> None:
    """Publishes four versions in a second, each with few changes."""
    for number in range(BURST_VERSIONS):
        if number:
            await asyncio.sleep(BURST_SECONDS / BURST_VERSIONS)
        await change_few_routes(run)


@PHASES.register("replace")
async def replace_many_routes(run: Run) -> None:
    """Replaces 1,400 routes."""
    run.operator.replace_routes(ADDED_ROUTES)
    await run.operator.publish()


@PHASES.register("restart")
async def restart_in_transfer(run: Run) -> None:
    """Replaces 1,400 routes and restarts a gateway that receives them."""
    reader = await run.find_reader()
    await replace_many_routes(run)
    await asyncio.sleep(KILL_DELAY_SECONDS)
    await run.restart((reader + 1) % len(run.gateways))


@PHASES.register("restart-reader")
async def restart_reader_in_transfer(run: Run) -> None:
    """Replaces 1,400 routes and restarts the gateway that reads the store."""
    reader = await run.find_reader()
    await replace_many_routes(run)
    await asyncio.sleep(KILL_DELAY_SECONDS)
    await run.restart(reader)


@PHASES.register("store-silent")
async def silence_store(run: Run) -> None:
    """Replaces 1,400 routes while the store does not answer for a second."""
    await _run_outage(run, store.StoreMode.SILENT)


@PHASES.register("store-busy")
async def refuse_at_store(run: Run) -> None:
    """Replaces 1,400 routes while the store answers 503 for a second."""
    await _run_outage(run, store.StoreMode.BUSY)


async def _run_outage(run: Run, mode: store.StoreMode) -> None:
    run.store.mode = mode
    await replace_many_routes(run)
    await asyncio.sleep(OUTAGE_SECONDS)
    run.store.mode = store.StoreMode.SERVING
    # The bound counts while the store answers.
    for number in range(len(run.gateways)):
        run.excused_until[number] = time.monotonic()


async def run_phases(
    run_settings: RunSettings,
    phases: list[str],
    root: pathlib.Path,
    log_directory: pathlib.Path,
    report: Callable[[dict[str, Any]], None],
) -> None:
    """Runs phases one after the other on the same gateways.

    Args:
        run_settings: settings of the run.
        phases: names of the phases.
        root: folder in which the gateway was built.
        log_directory: folder for settings, logs and counters.
        report: called with the figures of each phase.
    """
    async with contextlib.AsyncExitStack() as stack:
        run = Run(run_settings, stack)
        await run.start(root, log_directory)
        for name in phases:
            report(await run.run_phase(name))
