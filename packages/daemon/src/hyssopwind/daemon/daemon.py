"""Assembles a daemon from its parts, and runs it from start to stop."""

import asyncio
import random
import secrets
import signal

import aiohttp
import logbook
from reactivex import operators

from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core.configuration import store
from hyssopwind.core.membership import machines
from hyssopwind.core.node import events
from hyssopwind.core.node import node
from hyssopwind.core.node import pooling
from hyssopwind.core.settings import documents
from hyssopwind.daemon import admin
from hyssopwind.daemon import clock
from hyssopwind.daemon import forwarding
from hyssopwind.daemon import frontend
from hyssopwind.daemon import links
from hyssopwind.daemon import metrics
from hyssopwind.daemon import serving
from hyssopwind.daemon import streams
from hyssopwind.daemon import tracing
from hyssopwind.daemon import upstream
from hyssopwind.daemon import watching

TICK = 0.02  # seconds between two ticks while requests are under way
IDLE_TICK = 0.05  # seconds between two ticks otherwise
SETTINGS_FILE = "settings.toml"
READY_CHECK = 0.05  # seconds
HAND_OVER_TIMEOUT = 5.0  # seconds

_log = logbook.Logger("daemon")


class Daemon:
    """One daemon process."""

    def __init__(self, settings: documents.DaemonSettings):
        self._settings = settings
        self._counters = metrics.Metrics()
        self._clock = clock.Clock()
        sender = messages.Sender(
            ids.DaemonId(settings.name), ids.StartId(secrets.token_hex(8))
        )
        self._started = self._clock.now()
        generator = random.Random()
        self._node = node.Node(
            sender,
            settings,
            generator,
            invariants.InvariantMonitor(self._report_breach),
            self._started,
        )
        self._tracer = tracing.Tracer(settings.traces, settings.name, generator)
        self._is_ready = False
        self._has_machines = False
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serves until a signal asks it to stop."""
        self._install_signals()
        self._build()
        self._subscribe()
        await self._admin.start(self._settings.admin)
        await self._frontend.start(self._settings.callers)
        self._links.start(self._serving.receive)
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self._tick(),
                self._probe(),
                self._configuration.run(),
                self._machine_list.run(),
            )
        ]
        for task in tasks:
            task.add_done_callback(self._note_task_end)
        await self._become_ready()
        await self._stop.wait()
        await self._leave()
        await self._close(tasks)

    def _build(self) -> None:
        settings = self._settings
        self._links = links.Links(
            settings.peers, self._node.sender, self._counters
        )
        self._session = aiohttp.ClientSession()
        platform = settings.platform
        self._configuration = watching.PrefixWatcher(
            "configuration",
            platform.configuration,
            platform.settings_prefix,
            self._session,
            self._counters,
        )
        self._machine_list = watching.PrefixWatcher(
            "virtual-machines",
            platform.virtual_machines,
            platform.virtual_machines_prefix,
            self._session,
            self._counters,
        )
        self._upstream = upstream.Upstream()
        self._forwarder = forwarding.Forwarder()
        self._serving = serving.Serving(
            self._node,
            self._clock,
            self._upstream,
            self._forwarder,
            self._links.send,
            self._tracer,
            self._counters,
        )
        self._frontend = frontend.Frontend(
            self._node,
            self._clock,
            self._serving.pipeline,
            self._tracer,
            self._counters,
        )
        self._admin = admin.Admin(
            self._node, self._counters, lambda: self._is_ready
        )

    def _subscribe(self) -> None:
        """Connects the streams of the platform with the node."""
        self._configuration.listings.subscribe(self._take_settings)
        streams.select_type(
            self._configuration.changes.pipe(operators.map(_read_document)),
            store.TeamDocument,
        ).subscribe(self._take_document)
        machine_keeper = _MachineKeeper()
        self._machine_list.listings.pipe(
            operators.map(machine_keeper.take_listing)
        ).subscribe(self._take_machines)
        self._machine_list.changes.pipe(
            operators.map(machine_keeper.take_change)
        ).subscribe(self._take_machines)
        streams.select_type(
            self._serving.events, events.SettingsChanged
        ).subscribe(self._log_settings)

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)

    async def _become_ready(self) -> None:
        """Waits for settings, the list of VMs and the time to back leases."""
        cluster = self._settings.cluster
        warm_up = self._started + cluster.lease + cluster.heartbeat
        while not self._stop.is_set():
            is_loaded = self._node.configuration.is_loaded
            is_warm = self._clock.now() >= warm_up
            if is_loaded and self._has_machines and is_warm:
                break
            await asyncio.sleep(READY_CHECK)
        self._serving.set_phase(messages.Phase.SERVING)
        await self._settle()
        self._frontend.set_ready(True)
        self._is_ready = True
        _log.info("ready", extra={"daemon": self._settings.name})

    async def _settle(self) -> None:
        """Waits until new keys may run here, for a bounded time."""
        cluster = self._settings.cluster
        patience = 2 * (cluster.lease + cluster.clock_error)
        deadline = self._clock.now() + patience
        while self._clock.now() < deadline and not self._stop.is_set():
            if self._node.keys.is_settled(self._clock.moment()):
                return
            await asyncio.sleep(READY_CHECK)

    async def _leave(self) -> None:
        """Leaves without cutting a request off."""
        _log.info("stopping")
        self._is_ready = False
        await asyncio.sleep(self._settings.stop.balancer_delay)
        self._serving.set_phase(messages.Phase.LEAVING)
        self._frontend.announce_stop()
        await self._frontend.stop_listening()
        deadline = self._clock.now() + self._settings.stop.grace
        while self._frontend.in_hand and self._clock.now() < deadline:
            await asyncio.sleep(READY_CHECK)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                await self._serving.pipeline.drain()
        except TimeoutError:
            _log.warn("requests of absent callers were cut off")
        await self._hand_over()

    async def _hand_over(self) -> None:
        """Waits until other daemons took the partitions of the keys."""
        deadline = self._clock.now() + HAND_OVER_TIMEOUT
        while self._clock.now() < deadline:
            now = self._clock.now()
            if not self._node.keys.held_partitions(now):
                return
            if not self._node.members.owners(now):
                return
            await asyncio.sleep(READY_CHECK)
        _log.warn("key partitions were left without a successor")

    async def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._links.close()
        await self._frontend.close()
        await self._admin.close()
        await self._upstream.close()
        await self._forwarder.close()
        await self._session.close()
        self._tracer.close()
        _log.info("stopped")

    async def _tick(self) -> None:
        heartbeat = self._settings.cluster.heartbeat
        connected = float("-inf")
        while True:
            self._serving.tick()
            if self._clock.now() >= connected + heartbeat:
                connected = self._clock.now()
                self._links.connect(self._node.members.addresses())
            is_idle = self._node.pools.is_idle()
            await asyncio.sleep(IDLE_TICK if is_idle else TICK)

    async def _probe(self) -> None:
        """Sends the load probes that the budget allows."""
        running: set[asyncio.Task[None]] = set()
        while True:
            for probe in self._node.pools.probes_due(self._clock.now()):
                self._counters.probes.inc()
                task = asyncio.create_task(self._probe_one(probe))
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(READY_CHECK)

    async def _probe_one(self, probe: pooling.Probe) -> None:
        report = await self._upstream.probe(probe.address)
        if report is not None:
            self._node.pools.take_report(probe, report, self._clock.now())

    def _take_settings(self, listing: watching.Listing) -> None:
        taken = []
        for key, entry in listing.entries.items():
            document = _read_document(
                watching.Change(key, entry.value, entry.revision)
            )
            if document is not None:
                taken.append(document)
        self._node.take_settings_listing(
            taken, listing.revision, self._clock.moment()
        )
        self._serving.flush()

    def _take_document(self, document: store.TeamDocument) -> None:
        self._node.take_settings_document(document, self._clock.moment())
        self._serving.flush()

    def _take_machines(self, listing: machines.MachineList) -> None:
        self._has_machines = True
        for finding in listing.unreadable:
            _log.warn("unreadable VM record", extra={"finding": str(finding)})
        self._node.take_machines(listing, self._clock.moment())
        addresses = {record.address for record in listing.servers.values()}
        self._upstream.keep_only(addresses)
        self._serving.flush()

    def _log_settings(self, event: events.SettingsChanged) -> None:
        _log.info(
            "settings in force", extra={"revisions": dict(event.revisions)}
        )

    def _report_breach(
        self, invariant: invariants.Invariant, subject_name: str
    ) -> None:
        self._counters.count_breach(invariant, subject_name)
        _log.error(
            "invariant breached",
            extra={"invariant": invariant.value, "subject": subject_name},
        )

    def _note_task_end(self, task: "asyncio.Task[None]") -> None:
        """Stops the daemon when one of its loops fails."""
        if task.cancelled() or task.exception() is None:
            return
        _log.error("a loop of the daemon failed", exc_info=task.exception())
        self._stop.set()


class _MachineKeeper:
    """Builds lists of VMs from listings and changes."""

    def __init__(self) -> None:
        self._values: dict[str, bytes] = {}
        self._revision = -1

    def take_listing(self, listing: watching.Listing) -> machines.MachineList:
        """Returns the list; one that is older than the last is left out."""
        if listing.revision >= self._revision:
            self._revision = listing.revision
            self._values = {
                key: entry.value for key, entry in listing.entries.items()
            }
        return machines.read_machine_list(self._values, self._revision)

    def take_change(self, change: watching.Change) -> machines.MachineList:
        """Returns the list with one change."""
        if change.revision >= self._revision:
            self._revision = change.revision
            if change.value is None:
                self._values.pop(change.key, None)
            else:
                self._values[change.key] = change.value
        return machines.read_machine_list(self._values, self._revision)


def _read_document(change: watching.Change) -> store.TeamDocument | None:
    """Returns the document of a key `TEAM/settings.toml`, or `None`."""
    team, _, name = change.key.partition("/")
    if name != SETTINGS_FILE or not team:
        return None
    text = None
    if change.value is not None:
        text = change.value.decode("utf-8", errors="replace")
    return store.TeamDocument(ids.TeamId(team), change.revision, text)


async def run(settings: documents.DaemonSettings) -> None:
    """Runs a daemon until SIGTERM."""
    await Daemon(settings).run()
