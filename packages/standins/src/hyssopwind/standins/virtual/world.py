"""A fleet in virtual time: daemons, servers, the platform, and faults.

The daemons run the real decisions and the real stages; only the transports,
the clocks and the servers are virtual. Messages are delayed, lost, doubled
and reordered by a seeded generator, daemons are paused and replaced without
their memory, and lists and settings reach them late or not at all.
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
from hyssopwind.core.configuration import store
from hyssopwind.core.membership import machines
from hyssopwind.core.node import node
from hyssopwind.core.node import pooling
from hyssopwind.core.pools import member
from hyssopwind.core.requests import classification
from hyssopwind.core.requests import refusals
from hyssopwind.core.settings import documents
from hyssopwind.daemon import clock
from hyssopwind.daemon import exchange
from hyssopwind.daemon import metrics
from hyssopwind.daemon import serving
from hyssopwind.daemon import tracing
from hyssopwind.standins.virtual import servers
from hyssopwind.standins.virtual import transports

TICK = 0.01  # seconds
PROBE_TICK = 0.05  # seconds
PLATFORM_DELAY = 0.02  # seconds
_NOT_READY = outcomes.NotRun(
    outcomes.Reason.NOT_READY, "the daemon is starting", 1.0
)


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkModel:
    """How messages between daemons travel.

    Attributes:
        near_delay: one-way seconds inside a data centre.
        far_delay: one-way seconds between data centres.
        jitter: mean of the exponential addition, in seconds.
        loss: share of the messages that are lost.
        doubling: share of the messages that arrive twice.
        stall: share of the messages that arrive much later.
        stall_time: seconds of the longest of those delays.
    """

    near_delay: float = 0.0003
    far_delay: float = 0.0015
    jitter: float = 0.0001
    loss: float = 0.0
    doubling: float = 0.0
    stall: float = 0.0
    stall_time: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorldModel:
    """The whole fleet.

    Attributes:
        data_centres: their names.
        daemons: daemons in each data centre.
        servers_per_pool: servers of each service in each data centre.
        services: settings of each service, TOML lines below its table.
        server: behaviour of the servers.
        network: behaviour of the network.
        lease: lease of the daemons in seconds.
        wall_error: largest error of a daemon's wall clock, in seconds.
        make_member: makes the part of a daemon that chooses servers.
    """

    data_centres: tuple[str, ...] = ("milwaukee", "chicago", "detroit")
    daemons: int = 2
    servers_per_pool: int = 2
    services: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: {"ledger": ""}
    )
    server: servers.ServerModel = servers.ServerModel()
    network: NetworkModel = NetworkModel()
    lease: float = 1.5
    wall_error: float = 0.0
    make_member: pooling.MemberFactory = member.PoolMember


class VirtualClock(clock.Clock):
    """The clocks of one virtual daemon."""

    def __init__(self, wall_error: float):
        self._wall_error = wall_error

    def now(self) -> float:
        """Returns virtual seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns virtual Unix time with the error of this clock."""
        return transports.WALL_EPOCH + self.now() + self._wall_error


class VirtualDaemon:
    """One life of a daemon."""

    def __init__(self, world: "World", name: str, data_centre: str):
        self._world = world
        self.name = ids.DaemonId(name)
        self.data_centre = data_centre
        error = world.model.wall_error
        self.clock: clock.Clock = VirtualClock(
            world.random.uniform(-error, error)
        )
        start = ids.StartId(f"{world.random.getrandbits(48):012x}")
        self.sender = messages.Sender(self.name, start)
        self.settings = world.daemon_settings(name, data_centre)
        self.monitor = world.monitor
        self.node = node.Node(
            self.sender,
            self.settings,
            random.Random(world.random.getrandbits(64)),
            world.monitor,
            self.clock.now(),
            world.model.make_member,
        )
        self.serving = serving.Serving(
            self.node,
            self.clock,
            transports.ServerTransport(world, self),
            transports.PeerTransport(world, self),
            self._send,
            tracing.Tracer(
                documents.TraceSettings(), name, self.node.generator
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
        """Whether the process is stopped for a while."""
        return not self._running.is_set()

    def begin(self) -> None:
        """Starts the loops of the daemon."""
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._probe()),
            asyncio.create_task(self._become_ready()),
        ]

    def end(self) -> None:
        """Ends the process without warning."""
        self.is_alive = False
        self.is_ready = False
        self._running.set()
        for task in self._tasks:
            task.cancel()

    def pause(self) -> None:
        """Stops the process until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Lets the process go on with what it believed before."""
        self._running.set()

    async def leave(self, grace: float = 10.0) -> None:
        """Stops as planned: serves to the end and hands its keys over."""
        self.is_ready = False
        self.serving.set_phase(messages.Phase.LEAVING)
        await asyncio.wait_for(self.serving.pipeline.drain(), grace)
        deadline = self.clock.now() + 5.0
        while self.clock.now() < deadline:
            if not self.node.keys.held_partitions(self.clock.now()):
                break
            await asyncio.sleep(PROBE_TICK)
        self.end()

    async def until_running(self) -> None:
        """Waits while the process is paused."""
        await self._running.wait()

    async def handle(
        self,
        request: classification.Request,
        forwarded_to: str = "",
    ) -> outcomes.Outcome:
        """Runs a request as the frontend does."""
        await self.until_running()
        if not self.is_ready:
            return refusals.refuse_unclaimed(_NOT_READY, request)
        settings = self.node.configuration.documents.snapshot
        item = classification.classify(request, settings, self.clock.now())
        if isinstance(item, outcomes.NotRun):
            return refusals.refuse_unclaimed(item, request)
        traffic = exchange.Exchange(
            item,
            multidict.CIMultiDict(request.headers),
            tracing.NOT_SAMPLED,
            forwarded_to=forwarded_to,
        )
        return await self.serving.pipeline.run(traffic)

    async def receive(self, envelope: messages.Envelope) -> None:
        """Takes a message, after the pause if there is one."""
        await self.until_running()
        if self.is_alive:
            self.serving.receive(envelope)

    def take_documents(
        self, listing: list[store.TeamDocument], revision: int
    ) -> None:
        """Takes a listing of the configuration service."""
        moment = self.clock.moment()
        self.node.take_settings_listing(listing, revision, moment)
        self.serving.flush()

    def take_machines(self, listing: machines.MachineList) -> None:
        """Takes a list of VMs."""
        self.node.take_machines(listing, self.clock.moment())
        self.serving.flush()

    def _send(self, outgoing: messages.Outgoing) -> None:
        if self.is_alive:
            self._world.deliver(self, outgoing)

    async def _tick(self) -> None:
        while True:
            await self.until_running()
            self.serving.tick()
            await asyncio.sleep(TICK)

    async def _probe(self) -> None:
        while True:
            await self.until_running()
            for probe in self.node.pools.probes_due(self.clock.now()):
                server = self._world.servers[probe.server]
                if not server.is_down:
                    self.node.pools.take_report(
                        probe, server.report(), self.clock.now()
                    )
            await asyncio.sleep(PROBE_TICK)

    async def _become_ready(self) -> None:
        cluster = self.settings.cluster
        await asyncio.sleep(cluster.lease + cluster.heartbeat)
        while not self.node.configuration.is_loaded:
            await asyncio.sleep(PROBE_TICK)
        await self.until_running()
        self.serving.set_phase(messages.Phase.SERVING)
        deadline = self.clock.now() + 2 * (cluster.lease + cluster.clock_error)
        while self.clock.now() < deadline:
            if self.node.keys.is_settled(self.clock.moment()):
                break
            await asyncio.sleep(PROBE_TICK)
        await self.until_running()
        self.is_ready = True


class World:
    """All that exists; build it inside of a running virtual loop."""

    def __init__(self, model: WorldModel, seed: int):
        self.model = model
        self.random = random.Random(seed)
        self.breaches: list[str] = []
        self.monitor = invariants.InvariantMonitor(self._note_breach)
        self.servers: dict[ids.ServerId, servers.VirtualServer] = {}
        self.daemons: dict[str, VirtualDaemon] = {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.message_bytes = 0
        self._revision = 1
        self._documents: dict[str, store.TeamDocument] = {}
        self._states = dict.fromkeys(model.data_centres, "in")
        self._cuts: set[frozenset[str]] = set()
        self._leaving: set[str] = set()
        self._unlisted: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_configuration_up = True
        self.is_listing_up = True
        self._make_servers()

    async def start(self) -> None:
        """Starts all daemons and waits until they are ready."""
        for data_centre in self.model.data_centres:
            for number in range(1, self.model.daemons + 1):
                name = f"entry-{data_centre}-{number}"
                self.start_daemon(name, data_centre)
        self.publish()
        while not all(d.is_ready for d in self.daemons.values()):
            await asyncio.sleep(PROBE_TICK)
        await asyncio.sleep(1.0)

    def start_daemon(self, name: str, data_centre: str) -> VirtualDaemon:
        """Starts a daemon, as a new life of it."""
        daemon = VirtualDaemon(self, name, data_centre)
        self.daemons[name] = daemon
        daemon.begin()
        self._later(PLATFORM_DELAY, lambda: self.inform(daemon))
        return daemon

    def replace_daemon(self, name: str) -> VirtualDaemon:
        """Ends a daemon without warning and starts it without memory."""
        old = self.daemons[name]
        old.end()
        return self.start_daemon(name, old.data_centre)

    def publish(self) -> None:
        """Publishes settings and the list of VMs to all daemons."""
        self._revision += 1
        text = self._render_settings()
        document = store.TeamDocument(ids.TeamId("team"), self._revision, text)
        self._documents["team"] = document
        for daemon in self.daemons.values():
            delay = self.random.uniform(0.005, 0.2)
            self._later(delay, functools.partial(self.inform, daemon))

    def set_data_centre(self, name: str, state: str) -> None:
        """Publishes a data centre as `in` or `out`."""
        self._states[name] = state
        self.publish()

    def set_leaving(self, names: Iterable[str]) -> None:
        """Publishes VMs as leaving."""
        self._leaving = set(names)
        self.publish()

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Drops all messages between two groups of daemons."""
        for one in left:
            for other in right:
                self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether messages between two daemons are dropped."""
        return frozenset((one, other)) in self._cuts

    def deliver(
        self, origin: VirtualDaemon, outgoing: messages.Outgoing
    ) -> None:
        """Carries a message to another daemon, or loses it."""
        network = self.model.network
        envelope = messages.Envelope(origin.sender, outgoing.body)
        data = messages.encode_envelope(envelope)
        self.messages[type(outgoing.body).__name__] += 1
        self.message_bytes += len(data)
        if self.is_cut(origin.name, outgoing.receiver):
            return
        if self.random.random() < network.loss:
            return
        copies = 2 if self.random.random() < network.doubling else 1
        for _ in range(copies):
            delay = self._delay(origin.data_centre, outgoing.receiver)
            self._later(delay, lambda: self._arrive(outgoing.receiver, data))

    @property
    def far_delay(self) -> float:
        """One-way seconds between data centres."""
        return self.model.network.far_delay

    def find_daemon(self, name: str) -> VirtualDaemon | None:
        """Returns the present life of a daemon, or `None`."""
        return self.daemons.get(name)

    async def travel(self, origin: transports.Daemon, receiver: str) -> bool:
        """Takes the time of one way; returns whether it arrives."""
        await asyncio.sleep(self._delay(origin.data_centre, receiver))
        return not self.is_cut(origin.name, receiver)

    def executions(self, key: str) -> list[float]:
        """Returns the times at which a key was run, over all servers."""
        times: list[float] = []
        for server in self.servers.values():
            times += server.executions.get(key, [])
        return sorted(times)

    def daemon_settings(
        self, name: str, data_centre: str
    ) -> documents.DaemonSettings:
        """Returns the settings of a daemon."""
        lease = self.model.lease
        count = len(self.model.data_centres) * self.model.daemons
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
                entry_vms=count,
                lease=units.Duration(lease),
                heartbeat=units.Duration(lease / 5),
                suspect_after=units.Duration(lease * 2 / 3),
                clock_error=units.Duration(0.2),
            ),
            keys=documents.KeySettings(signing_keys=["virtual-signing-key"]),
        )

    def _note_breach(
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
                        self.model.server,
                        random.Random(self.random.getrandbits(64)),
                    )

    def _render_settings(self) -> str:
        lines = []
        for name in self.model.data_centres:
            lines.append(f"[data_centres.{name}]")
            lines.append(f'state = "{self._states[name]}"')
            lines.append('return_ramp = "3s"')
            lines.append(f"[data_centres.{name}.delay]")
            for other in self.model.data_centres:
                if other != name:
                    lines.append(f'{other} = "1.5ms"')
        for service, extra in sorted(self.model.services.items()):
            lines.append(f"[services.{service}]")
            lines.append(f'route = "/{service}"')
            lines.append(f"slots = {self.model.server.slots}")
            lines.append(extra)
            if "load = {" in extra:
                continue
            lines.append(f"[services.{service}.load]")
            for name in self.model.data_centres:
                lines.append(f'{name} = "10000/s"')
        return "\n".join(lines) + "\n"

    def inform(self, daemon: VirtualDaemon) -> None:
        """Gives a daemon what the platform publishes now."""
        if not daemon.is_alive:
            return
        if self.is_listing_up:
            daemon.take_machines(self._machine_list())
        if self.is_configuration_up:
            daemon.take_documents(
                list(self._documents.values()), self._revision
            )

    def _machine_list(self) -> machines.MachineList:
        def state(name: str) -> machines.MachineState:
            if name in self._leaving:
                return machines.MachineState.LEAVING
            return machines.MachineState.LIVE

        listed = {
            name: machines.ServerRecord(
                service=ids.pool_service(server.pool),
                data_centre=ids.pool_data_centre(server.pool),
                address=name,
                state=state(name),
            )
            for name, server in self.servers.items()
        }
        entries = {
            daemon.name: machines.EntryRecord(
                data_centre=daemon.data_centre,
                peers=name,
                callers=name,
                state=state(name),
            )
            for name, daemon in self.daemons.items()
        }
        return machines.MachineList(self._revision, listed, entries)

    def _delay(self, data_centre: str, receiver: str) -> float:
        network = self.model.network
        target = self.daemons.get(receiver)
        is_near = target is not None and target.data_centre == data_centre
        delay = network.near_delay if is_near else network.far_delay
        delay += self.random.expovariate(1 / network.jitter)
        if self.random.random() < network.stall:
            delay += self.random.uniform(0.0, network.stall_time)
        return delay

    def _arrive(self, receiver: str, data: bytes) -> None:
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

    def _later(self, delay: float, action: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(delay, action)
