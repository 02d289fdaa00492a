"""Small fleet of real processes: platform stand-ins, servers and daemons."""

import asyncio
import collections
import dataclasses
import json
import pathlib
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import aiohttp

from hyssopwind.standins import processes

READY_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service of the fleet.

    Attributes:
        team: the team that owns it.
        name: name of the service.
        slots: requests that one server runs at the same time.
        servers_per_data_centre: number of servers in each data centre.
        mean_work_seconds: mean time that a server works on a request.
        cold_requests: completed requests after which a server is warm.
        declared_calls_per_second: declared load in each data centre, in calls a
            second.
        extra_settings: further lines of the service's settings.
    """

    team: str
    name: str
    slots: int = 4
    servers_per_data_centre: int = 2
    mean_work_seconds: float = 0.002
    cold_requests: int = 0
    declared_calls_per_second: int = 2000
    extra_settings: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Layout and timing of a fleet.

    Attributes:
        data_centres: names of the data centres.
        services: the services of all teams.
        daemons_per_data_centre: number of daemons in each data centre.
        lease_ms: duration of the leases of the daemons.
        balancer_delay_ms: time between the end of readiness and the closing of
            the listener when a daemon stops gracefully.
        stop_grace_ms: time that running requests may take after that.
        trace_sample_ratio: fraction of the requests that are traced.
        server_module: module that is started as a server.
        extra_daemon_settings: further lines of the settings of each daemon.
    """

    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    daemons_per_data_centre: int = 2
    lease_ms: int = 1500
    balancer_delay_ms: int = 300
    stop_grace_ms: int = 30_000
    trace_sample_ratio: float = 0.0
    server_module: str = "hyssopwind.standins.server"
    extra_daemon_settings: str = ""


DEMO_FLEET_PLAN = FleetPlan(
    ("milwaukee", "chicago", "detroit"),
    (
        ServicePlan("studio", "trial-looks"),
        ServicePlan("office", "booking-ledger"),
        ServicePlan("studio", "artist-roster"),
        ServicePlan("office", "venue-schedule"),
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningDaemon:
    """Addresses and settings file of a daemon of the fleet."""

    name: str
    data_centre: str
    callers_address: str
    peers_address: str
    admin_address: str
    settings_path: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class RunningServer:
    """Address and command line of a server of the fleet."""

    name: str
    service: str
    data_centre: str
    port: int
    arguments: tuple[str, ...]

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"127.0.0.1:{self.port}"


class Fleet:
    """Starts the processes of a plan and controls the platform stand-ins.

    Attributes:
        daemons: the daemons by name.
        servers: the servers by name.
        configuration_url: URL of the configuration service.
        vm_list_url: URL of the list of VMs.
    """

    def __init__(
        self,
        plan: FleetPlan,
        group: processes.ProcessGroup,
        directory: pathlib.Path,
        session: aiohttp.ClientSession,
    ):
        self._plan = plan
        self._group = group
        self._directory = directory
        self._session = session
        self._data_centre_states: dict[str, str] = dict.fromkeys(
            plan.data_centres, "in"
        )
        self.daemons: dict[str, RunningDaemon] = {}
        self.servers: dict[str, RunningServer] = {}
        ports = processes.find_free_ports(2)
        self.configuration_url = f"http://127.0.0.1:{ports[0]}"
        self.vm_list_url = f"http://127.0.0.1:{ports[1]}"

    @property
    def group(self) -> processes.ProcessGroup:
        """The processes of the fleet."""
        return self._group

    async def start(self) -> None:
        """Starts all processes and waits until all daemons are ready."""
        for name, url in (
            ("configuration", self.configuration_url),
            ("machines", self.vm_list_url),
        ):
            self._group.start(
                name,
                "hyssopwind.standins.etcd",
                ["--port", url.rpartition(":")[2]],
            )
        self._plan_servers()
        self._plan_daemons()
        for server in self.servers.values():
            self.start_server(server.name)
        await self._wait_for_platform()
        await self.publish_vm_list()
        await self.publish_settings()
        for daemon in self.daemons.values():
            self.start_daemon(daemon.name)
        for daemon in self.daemons.values():
            await self.wait_until_ready(daemon.name)

    def start_server(self, name: str) -> None:
        """Starts a server, or restarts it after it has ended."""
        server = self.servers[name]
        self._group.start(name, self._plan.server_module, server.arguments)

    def start_daemon(self, name: str) -> None:
        """Starts a daemon, or restarts it after it has ended."""
        settings_path = self.daemons[name].settings_path
        self._group.start(
            name, "hyssopwind.daemon.main", ["run", "-s", str(settings_path)]
        )

    async def wait_until_ready(self, name: str) -> None:
        """Waits until a daemon is ready.

        Raises:
            TimeoutError: The daemon did not become ready in time.
        """
        url = f"http://{self.daemons[name].admin_address}/ready"
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not await self.has_status(url):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def publish_vm_list(
        self, leaving: Sequence[str] = (), removed: Sequence[str] = ()
    ) -> None:
        """Publishes the list of VMs.

        Args:
            leaving: names of the servers and daemons in state `leaving`.
            removed: names of the servers and daemons that are not in the list.
        """
        for server in self.servers.values():
            record = {
                "kind": "server",
                "service": server.service,
                "data_centre": server.data_centre,
                "address": server.address,
                "state": "leaving" if server.name in leaving else "live",
            }
            await self._publish_vm_record(server.name, record, removed)
        for daemon in self.daemons.values():
            record = {
                "kind": "entry",
                "data_centre": daemon.data_centre,
                "peers": daemon.peers_address,
                "callers": daemon.callers_address,
                "state": "leaving" if daemon.name in leaving else "live",
            }
            await self._publish_vm_record(daemon.name, record, removed)

    async def publish_settings(self) -> None:
        """Publishes the settings of all teams."""
        teams = sorted({service.team for service in self._plan.services})
        for team in teams:
            await self.put(
                self.configuration_url,
                f"/hyssopwind/teams/{team}/settings.toml",
                self.render_team_settings(team),
            )

    async def set_data_centre_state(self, name: str, state: str) -> None:
        """Publishes a data centre's state, `in` or `out`, for all teams."""
        self._data_centre_states[name] = state
        await self.publish_settings()

    async def set_platform_mode(self, url: str, mode: str) -> None:
        """Changes the mode of a stand-in of the platform."""
        await self._post(f"{url}/control/mode", {"mode": mode})

    async def put(self, url: str, key: str, value: str | None) -> None:
        """Writes a key at a stand-in of the platform; `None` deletes it."""
        await self._post(f"{url}/control/put", {"key": key, "value": value})

    async def change_server_behaviour(
        self, name: str, change: Mapping[str, Any]
    ) -> None:
        """Changes the behaviour of a server."""
        address = self.servers[name].address
        await self._post(f"http://{address}/control/set", change)

    async def read_audit(self, name: str) -> dict[str, Any]:
        """Returns the counters of a server; empty if it is unreachable."""
        url = f"http://{self.servers[name].address}/control/audit"
        try:
            async with self._session.get(url) as response:
                return dict(await response.json())
        except aiohttp.ClientError:
            return {}

    def count_executions(self) -> collections.Counter[str]:
        """Returns the executions of each key over all starts of all servers."""
        counts: collections.Counter[str] = collections.Counter()
        for name in self.servers:
            journal_path = self._directory / f"{name}.journal"
            if journal_path.exists():
                counts.update(journal_path.read_text(encoding="utf-8").split())
        return counts

    async def read_status(self, name: str) -> dict[str, Any]:
        """Returns the status of a daemon."""
        url = f"http://{self.daemons[name].admin_address}/status"
        async with self._session.get(url) as response:
            return dict(await response.json())

    async def has_status(self, url: str, status: int = 200) -> bool:
        """Whether a request for a URL is answered with a status."""
        try:
            async with self._session.get(url) as response:
                return response.status == status
        except aiohttp.ClientError:
            return False

    def render_team_settings(self, team: str) -> str:
        """Returns the settings document of a team."""
        lines = []
        for name in self._plan.data_centres:
            lines.append(f"[data_centres.{name}]")
            lines.append(f'state = "{self._data_centre_states[name]}"')
            lines.append('return_ramp = "2s"')
        for service in self._plan.services:
            if service.team != team:
                continue
            lines.append(f"[services.{service.name}]")
            lines.append(f'route = "/{service.name}"')
            lines.append(f"slots = {service.slots}")
            lines.append('measuring = { budget = "2/s" }')
            if service.extra_settings:
                lines.append(service.extra_settings)
            lines.append(f"[services.{service.name}.load]")
            for name in self._plan.data_centres:
                lines.append(
                    f'{name} = "{service.declared_calls_per_second}/s"'
                )
        return "\n".join(lines) + "\n"

    def _plan_servers(self) -> None:
        server_keys = [
            (service, data_centre, number)
            for service in self._plan.services
            for data_centre in self._plan.data_centres
            for number in range(1, service.servers_per_data_centre + 1)
        ]
        ports = processes.find_free_ports(len(server_keys))
        for (service, data_centre, number), port in zip(
            server_keys, ports, strict=True
        ):
            name = f"{service.name}-{data_centre}-{number}"
            arguments = {
                "port": port,
                "slots": service.slots,
                "mean-work": service.mean_work_seconds,
                "cold-requests": service.cold_requests,
                "seed": port % 1000,
                "journal": self._directory / f"{name}.journal",
            }
            option_parts = [
                str(part) for option in arguments.items() for part in option
            ]
            self.servers[name] = RunningServer(
                name,
                f"{service.team}/{service.name}",
                data_centre,
                port,
                tuple(
                    f"--{part}" if index % 2 == 0 else part
                    for index, part in enumerate(option_parts)
                ),
            )

    def _plan_daemons(self) -> None:
        daemon_count = (
            len(self._plan.data_centres) * self._plan.daemons_per_data_centre
        )
        ports = processes.find_free_ports(3 * daemon_count)
        for data_centre in self._plan.data_centres:
            for number in range(1, self._plan.daemons_per_data_centre + 1):
                name = f"entry-{data_centre}-{number}"
                settings_path = self._directory / f"{name}.toml"
                daemon = RunningDaemon(
                    name,
                    data_centre,
                    callers_address=f"127.0.0.1:{ports.pop()}",
                    peers_address=f"127.0.0.1:{ports.pop()}",
                    admin_address=f"127.0.0.1:{ports.pop()}",
                    settings_path=settings_path,
                )
                settings_path.write_text(
                    self._render_daemon_settings(daemon, daemon_count),
                    encoding="utf-8",
                )
                self.daemons[name] = daemon

    def _render_daemon_settings(
        self, daemon: RunningDaemon, daemon_count: int
    ) -> str:
        trace_path = self._directory / f"{daemon.name}-traces.jsonl"
        return "\n".join(
            [
                f'name = "{daemon.name}"',
                f'data_centre = "{daemon.data_centre}"',
                f'callers = "{daemon.callers_address}"',
                f'peers = "{daemon.peers_address}"',
                f'admin = "{daemon.admin_address}"',
                "[platform]",
                f'configuration = "{self.configuration_url}"',
                f'virtual_machines = "{self.vm_list_url}"',
                "[cluster]",
                f"entry_vms = {daemon_count}",
                f'lease = "{self._plan.lease_ms}ms"',
                f'heartbeat = "{self._plan.lease_ms // 5}ms"',
                f'suspect_after = "{self._plan.lease_ms * 2 // 3}ms"',
                "[keys]",
                'signing_keys = ["stand-in-signing-key-1"]',
                "[stop]",
                f'balancer_delay = "{self._plan.balancer_delay_ms}ms"',
                f'grace = "{self._plan.stop_grace_ms}ms"',
                "[traces]",
                f"sample = {self._plan.trace_sample_ratio}",
                f'file = "{trace_path}"',
                self._plan.extra_daemon_settings,
            ]
        )

    async def _publish_vm_record(
        self, name: str, record: Mapping[str, Any], removed: Sequence[str]
    ) -> None:
        value = None if name in removed else json.dumps(record)
        await self.put(self.vm_list_url, f"/vms/{name}", value)

    async def _wait_for_platform(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for url in (self.configuration_url, self.vm_list_url):
                while not await self.has_status(f"{url}/control/calls"):
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _post(self, url: str, body: Mapping[str, Any]) -> None:
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()
