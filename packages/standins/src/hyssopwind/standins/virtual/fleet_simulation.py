"""A simulation of daemons, servers and the platform, with faults.

The daemons run the production code of all decisions and request stages; only
the transports, the clocks and the servers are virtual. A seeded random source
delays, loses, duplicates and reorders messages. Daemons can be paused, or
replaced without their state, and lists of VMs and settings can reach them
late or not at all.
"""

import asyncio
import collections
import dataclasses
import functools
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import multidict

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core import outcomes
from hyssopwind.core import units
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import node
from hyssopwind.core.node import pool_component
from hyssopwind.core.pools import clients
from hyssopwind.core.requests import classification
from hyssopwind.core.requests import refusals
from hyssopwind.core.settings import documents
from hyssopwind.daemon import clock
from hyssopwind.daemon import metrics
from hyssopwind.daemon import request_context
from hyssopwind.daemon import serving
from hyssopwind.daemon import tracing
from hyssopwind.standins.virtual import servers
from hyssopwind.standins.virtual import transports

TICK_SECONDS = 0.01
# Also the interval at which waiting loops check their condition.
PROBE_INTERVAL_SECONDS = 0.05
# From the start of a daemon until it receives the VM list and the settings.
PLATFORM_DELAY_SECONDS = 0.02
_NOT_READY = outcomes.NotRun(
    outcomes.Reason.NOT_READY, "the daemon is starting", 1.0
)


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkModel:
    """Delays and faults of messages between daemons.

    Attributes:
        local_delay_seconds: one-way seconds inside a data centre.
        remote_delay_seconds: one-way seconds between data centres.
        mean_jitter_seconds: mean of the exponential additional delay, in
            seconds.
        loss_ratio: share of the messages that are lost.
        duplication_ratio: share of the messages that arrive twice.
        stall_ratio: share of the messages with a long additional delay.
        max_stall_seconds: longest such delay in seconds.
    """

    local_delay_seconds: float = 0.0003
    remote_delay_seconds: float = 0.0015
    mean_jitter_seconds: float = 0.0001
    loss_ratio: float = 0.0
    duplication_ratio: float = 0.0
    stall_ratio: float = 0.0
    max_stall_seconds: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SimulationModel:
    """Parameters of a simulation.

    Attributes:
        data_centres: names of the data centres.
        daemons_per_data_centre: number of daemons in each data centre.
        servers_per_pool: servers of each service in each data centre.
        services: further TOML lines in the settings table of each service.
        server_model: behaviour of the servers.
        network_model: behaviour of the network.
        lease_seconds: duration of the daemons' leases in seconds.
        max_wall_error_seconds: largest error of a daemon's wall clock, in
            seconds.
        make_pool_client: factory of the pool clients that select servers.
    """

    data_centres: tuple[str, ...] = ("milwaukee", "chicago", "detroit")
    daemons_per_data_centre: int = 2
    servers_per_pool: int = 2
    services: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: {"ledger": ""}
    )
    server_model: servers.ServerModel = servers.ServerModel()
    network_model: NetworkModel = NetworkModel()
    lease_seconds: float = 1.5
    max_wall_error_seconds: float = 0.0
    make_pool_client: pool_component.PoolClientFactory = clients.PoolClient


class VirtualClock(clock.Clock):
    """The clocks of one virtual daemon, the wall clock with a fixed error."""

    def __init__(self, wall_error_seconds: float):
        self._wall_error_seconds = wall_error_seconds

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns the virtual Unix time with the error of this clock."""
        return (
            transports.START_UNIX_SECONDS
            + self.now()
            + self._wall_error_seconds
        )


class VirtualDaemon:
    """One process of a daemon, from its start to its end.

    Attributes:
        name: identity of the daemon.
        data_centre: data centre of the daemon.
        clock: clocks of the daemon.
        identity: identity that the daemon's messages carry.
        settings: settings of the daemon.
        invariant_monitor: monitor of the invariants.
        node: decisions and state of the daemon.
        serving: stages and messages of the daemon.
        is_alive: whether the process has not ended.
        is_ready: whether the daemon accepts requests of callers.
    """

    def __init__(self, simulation: "Simulation", name: str, data_centre: str):
        self._simulation = simulation
        self.name = ids.DaemonId(name)
        self.data_centre = data_centre
        max_error = simulation.model.max_wall_error_seconds
        self.clock: clock.Clock = VirtualClock(
            simulation.random_source.uniform(-max_error, max_error)
        )
        start_id = ids.StartId(
            f"{simulation.random_source.getrandbits(48):012x}"
        )
        self.identity = messages.DaemonIdentity(self.name, start_id)
        self.settings = simulation.daemon_settings(name, data_centre)
        self.invariant_monitor = simulation.invariant_monitor
        self.node = node.Node(
            self.identity,
            self.settings,
            random.Random(simulation.random_source.getrandbits(64)),
            simulation.invariant_monitor,
            self.clock.now(),
            simulation.model.make_pool_client,
        )
        self.serving = serving.Serving(
            self.node,
            self.clock,
            transports.ServerTransport(simulation, self),
            transports.PeerTransport(simulation, self),
            self._send,
            tracing.Tracer(
                documents.TraceSettings(), name, self.node.random_source
            ),
            metrics.Metrics(),
        )
        self.is_alive = True
        self.is_ready = False
        self._running = asyncio.Event()
        self._running.set()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._running.is_set()

    def start(self) -> None:
        """Starts the tasks of the daemon."""
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._probe()),
            asyncio.create_task(self._become_ready()),
        ]

    def kill(self) -> None:
        """Ends the process abruptly."""
        self.is_alive = False
        self.is_ready = False
        self._running.set()
        for task in self._tasks:
            task.cancel()

    def pause(self) -> None:
        """Pauses the process until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Resumes the process with the state it had before the pause."""
        self._running.set()

    async def stop_gracefully(self, grace_seconds: float = 10.0) -> None:
        """Stops gracefully: finishes its requests and transfers its keys."""
        self.is_ready = False
        self.serving.set_phase(messages.Phase.LEAVING)
        await asyncio.wait_for(self.serving.pipeline.drain(), grace_seconds)
        deadline = self.clock.now() + 5.0
        while self.clock.now() < deadline:
            if not self.node.keys.held_partitions(self.clock.now()):
                break
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        self.kill()

    async def wait_until_running(self) -> None:
        """Waits while the process is paused."""
        await self._running.wait()

    async def handle(
        self,
        request: classification.Request,
        expected_start_id: str = "",
    ) -> outcomes.Outcome:
        """Runs a request as the frontend does."""
        await self.wait_until_running()
        if not self.is_ready:
            return refusals.refuse_unclaimed(_NOT_READY, request)
        settings = self.node.configuration.document_store.snapshot
        classified = classification.classify(
            request, settings, self.clock.now()
        )
        if isinstance(classified, outcomes.NotRun):
            return refusals.refuse_unclaimed(classified, request)
        context = request_context.RequestContext(
            classified,
            multidict.CIMultiDict(request.headers),
            tracing.NOT_SAMPLED,
            expected_start_id=expected_start_id,
        )
        return await self.serving.pipeline.run(context)

    async def receive(self, envelope: messages.Envelope) -> None:
        """Handles a message once the process is not paused."""
        await self.wait_until_running()
        if self.is_alive:
            self.serving.receive(envelope)

    def apply_documents(
        self, listing: list[configuration_store.TeamDocument], revision: int
    ) -> None:
        """Applies a listing of the configuration service."""
        timestamps = self.clock.timestamps()
        self.node.apply_settings_listing(listing, revision, timestamps)
        self.serving.flush()

    def apply_vm_list(self, listing: vm_records.VmList) -> None:
        """Applies a list of VMs."""
        self.node.apply_vm_list(listing, self.clock.timestamps())
        self.serving.flush()

    def _send(self, outgoing: messages.Outgoing) -> None:
        if self.is_alive:
            self._simulation.deliver(self, outgoing)

    async def _tick(self) -> None:
        while True:
            await self.wait_until_running()
            self.serving.tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _probe(self) -> None:
        while True:
            await self.wait_until_running()
            for probe in self.node.pools.due_probes(self.clock.now()):
                server = self._simulation.servers[probe.server]
                if not server.is_down:
                    self.node.pools.handle_load_report(
                        probe, server.load_report(), self.clock.now()
                    )
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _become_ready(self) -> None:
        """Waits as a started daemon does until it may accept requests."""
        cluster = self.settings.cluster
        # A started daemon backs no lease for one lease term, because it may
        # have backed one before.
        await asyncio.sleep(cluster.lease + cluster.heartbeat)
        while not self.node.configuration.is_loaded:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        await self.wait_until_running()
        self.serving.set_phase(messages.Phase.SERVING)
        deadline = self.clock.now() + 2 * (cluster.lease + cluster.clock_error)
        while self.clock.now() < deadline:
            if self.node.keys.may_run_new_keys(self.clock.timestamps()):
                break
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        await self.wait_until_running()
        self.is_ready = True


class Simulation:
    """All daemons and servers, the platform and the network between them.

    It must be created inside a running virtual loop.

    Attributes:
        model: parameters of the simulation.
        random_source: source of all random choices.
        breaches: breaches of the daemons' invariants.
        invariant_monitor: monitor of the invariants.
        servers: servers by identity.
        daemons: the last started process of each daemon, by name.
        message_counts: number of messages between daemons, by metric label.
        message_bytes: total size of these messages.
        is_configuration_service_up: whether the configuration service is
            available.
        is_vm_list_service_up: whether the service that lists VMs is available.
    """

    def __init__(self, model: SimulationModel, seed: int):
        self.model = model
        self.random_source = random.Random(seed)
        self.breaches: list[str] = []
        self.invariant_monitor = invariants.InvariantMonitor(
            self._record_breach
        )
        self.servers: dict[ids.ServerId, servers.VirtualServer] = {}
        self.daemons: dict[str, VirtualDaemon] = {}
        self.message_counts: collections.Counter[str] = collections.Counter()
        self.message_bytes = 0
        self._revision = 1
        self._documents: dict[str, configuration_store.TeamDocument] = {}
        self._data_centre_states = dict.fromkeys(model.data_centres, "in")
        self._cut_links: set[frozenset[str]] = set()
        self._leaving_vms: set[str] = set()
        self._unlisted: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_configuration_service_up = True
        self.is_vm_list_service_up = True
        self._make_servers()

    async def start(self) -> None:
        """Starts all daemons and waits until they are ready."""
        for data_centre in self.model.data_centres:
            for number in range(1, self.model.daemons_per_data_centre + 1):
                name = f"entry-{data_centre}-{number}"
                self.start_daemon(name, data_centre)
        self.publish()
        while not all(d.is_ready for d in self.daemons.values()):
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        await asyncio.sleep(1.0)

    def start_daemon(self, name: str, data_centre: str) -> VirtualDaemon:
        """Starts a new process of a daemon."""
        daemon = VirtualDaemon(self, name, data_centre)
        self.daemons[name] = daemon
        daemon.start()
        self._call_later(
            PLATFORM_DELAY_SECONDS, lambda: self.deliver_platform_state(daemon)
        )
        return daemon

    def replace_daemon(self, name: str) -> VirtualDaemon:
        """Ends a daemon abruptly and starts it again without its state."""
        replaced = self.daemons[name]
        replaced.kill()
        return self.start_daemon(name, replaced.data_centre)

    def publish(self) -> None:
        """Publishes settings and the list of VMs to all daemons."""
        self._revision += 1
        text = self._render_settings()
        document = configuration_store.TeamDocument(
            ids.TeamId("team"), self._revision, text
        )
        self._documents["team"] = document
        for daemon in self.daemons.values():
            delay = self.random_source.uniform(0.005, 0.2)
            self._call_later(
                delay, functools.partial(self.deliver_platform_state, daemon)
            )

    def set_data_centre(self, name: str, state: str) -> None:
        """Publishes a data centre as `in` or `out`."""
        self._data_centre_states[name] = state
        self.publish()

    def set_leaving_vms(self, names: Iterable[str]) -> None:
        """Publishes a list in which these VMs and no others are leaving."""
        self._leaving_vms = set(names)
        self.publish()

    def cut_links(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Drops all messages between two groups of daemons."""
        for left_name in left:
            for right_name in right:
                self._cut_links.add(frozenset((left_name, right_name)))

    def restore_links(self) -> None:
        """Restores all links that were cut."""
        self._cut_links.clear()

    def is_cut(self, first: str, second: str) -> bool:
        """Whether messages between two daemons are dropped."""
        return frozenset((first, second)) in self._cut_links

    def deliver(
        self, origin: VirtualDaemon, outgoing: messages.Outgoing
    ) -> None:
        """Delivers a message to another daemon, or loses it."""
        network = self.model.network_model
        envelope = messages.Envelope(origin.identity, outgoing.body)
        data = messages.encode_envelope(envelope)
        self.message_counts[outgoing.body.log_name] += 1
        self.message_bytes += len(data)
        if self.is_cut(origin.name, outgoing.receiver):
            return
        if self.random_source.random() < network.loss_ratio:
            return
        copy_count = (
            2 if self.random_source.random() < network.duplication_ratio else 1
        )
        for _ in range(copy_count):
            delay = self._draw_delay(origin.data_centre, outgoing.receiver)
            self._call_later(
                delay, lambda: self._deliver_encoded(outgoing.receiver, data)
            )

    @property
    def remote_delay_seconds(self) -> float:
        """One-way seconds between data centres."""
        return self.model.network_model.remote_delay_seconds

    def find_daemon(self, name: str) -> VirtualDaemon | None:
        """Returns the last started process of a daemon, or `None`."""
        return self.daemons.get(name)

    async def simulate_transit(
        self, origin: transports.Daemon, receiver: str
    ) -> bool:
        """Waits the one-way delay; returns whether the message arrives."""
        await asyncio.sleep(self._draw_delay(origin.data_centre, receiver))
        return not self.is_cut(origin.name, receiver)

    def execution_times(self, key: str) -> list[float]:
        """Returns the times at which servers ran the request with a key."""
        times: list[float] = []
        for server in self.servers.values():
            times += server.execution_times.get(key, [])
        return sorted(times)

    def daemon_settings(
        self, name: str, data_centre: str
    ) -> documents.DaemonSettings:
        """Returns the settings of a daemon."""
        lease = self.model.lease_seconds
        daemon_count = (
            len(self.model.data_centres) * self.model.daemons_per_data_centre
        )
        return documents.DaemonSettings(
            name=name,
            data_centre=data_centre,
            callers=name,
            peers=name,
            admin=name,
            platform=documents.PlatformSettings(
                configuration="virtual", virtual_machines="virtual"
            ),
            cluster=documents.ClusterSettings(
                entry_vms=daemon_count,
                lease=units.Duration(lease),
                heartbeat=units.Duration(lease / 5),
                suspect_after=units.Duration(lease * 2 / 3),
                clock_error=units.Duration(0.2),
            ),
            keys=documents.KeySettings(signing_keys=["virtual-signing-key"]),
        )

    def _record_breach(
        self, invariant: invariants.Invariant, subject: str
    ) -> None:
        self.breaches.append(f"{invariant.name}: {subject}")

    def _make_servers(self) -> None:
        for service in sorted(self.model.services):
            for data_centre in self.model.data_centres:
                pool = ids.pool_id(
                    ids.ServiceId(f"team/{service}"),
                    ids.DataCentreId(data_centre),
                )
                for number in range(1, self.model.servers_per_pool + 1):
                    name = ids.ServerId(f"{service}-{data_centre}-{number}")
                    self.servers[name] = servers.VirtualServer(
                        name,
                        pool,
                        self.model.server_model,
                        random.Random(self.random_source.getrandbits(64)),
                    )

    def _render_settings(self) -> str:
        lines = []
        for name in self.model.data_centres:
            lines.append(f"[data_centres.{name}]")
            lines.append(f'state = "{self._data_centre_states[name]}"')
            lines.append('return_ramp = "3s"')
            lines.append(f"[data_centres.{name}.delay]")
            for other in self.model.data_centres:
                if other != name:
                    lines.append(f'{other} = "1.5ms"')
        for service, extra_lines in sorted(self.model.services.items()):
            lines.append(f"[services.{service}]")
            lines.append(f'route = "/{service}"')
            lines.append(f"slots = {self.model.server_model.slots}")
            lines.append(extra_lines)
            if "load = {" in extra_lines:
                continue
            lines.append(f"[services.{service}.load]")
            for name in self.model.data_centres:
                lines.append(f'{name} = "10000/s"')
        return "\n".join(lines) + "\n"

    def deliver_platform_state(self, daemon: VirtualDaemon) -> None:
        """Delivers the current list of VMs and settings to a daemon."""
        if not daemon.is_alive:
            return
        if self.is_vm_list_service_up:
            daemon.apply_vm_list(self._vm_list())
        if self.is_configuration_service_up:
            daemon.apply_documents(
                list(self._documents.values()), self._revision
            )

    def _vm_list(self) -> vm_records.VmList:
        def vm_state(name: str) -> vm_records.VmState:
            if name in self._leaving_vms:
                return vm_records.VmState.LEAVING
            return vm_records.VmState.LIVE

        server_records = {
            name: vm_records.ServerVmRecord(
                service=ids.pool_service(server.pool_id),
                data_centre=ids.pool_data_centre(server.pool_id),
                address=name,
                state=vm_state(name),
            )
            for name, server in self.servers.items()
        }
        entry_records = {
            daemon.name: vm_records.EntryVmRecord(
                data_centre=daemon.data_centre,
                peers=name,
                callers=name,
                state=vm_state(name),
            )
            for name, daemon in self.daemons.items()
        }
        return vm_records.VmList(self._revision, server_records, entry_records)

    def _draw_delay(self, data_centre: str, receiver: str) -> float:
        network = self.model.network_model
        daemon = self.daemons.get(receiver)
        is_local = daemon is not None and daemon.data_centre == data_centre
        delay = (
            network.local_delay_seconds
            if is_local
            else network.remote_delay_seconds
        )
        delay += self.random_source.expovariate(1 / network.mean_jitter_seconds)
        if self.random_source.random() < network.stall_ratio:
            delay += self.random_source.uniform(0.0, network.max_stall_seconds)
        return delay

    def _deliver_encoded(self, receiver: str, data: bytes) -> None:
        daemon = self.daemons.get(receiver)
        envelope = messages.decode_envelope(data)
        if daemon is None or envelope is None:
            return
        if not daemon.is_paused:
            if daemon.is_alive:
                daemon.serving.receive(envelope)
            return
        task = asyncio.create_task(daemon.receive(envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _call_later(self, delay: float, action: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(delay, action)
