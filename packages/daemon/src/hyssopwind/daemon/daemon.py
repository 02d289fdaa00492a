"""Assembles a daemon from its components and runs it."""

import asyncio
import random
import secrets
import signal
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import aiohttp
import logbook
import reactivex

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import left_out
from hyssopwind.core import messages
from hyssopwind.core.callers import caller_account
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.membership import vm_records
from hyssopwind.core.node import events
from hyssopwind.core.node import node
from hyssopwind.core.node import pool_component
from hyssopwind.core.settings import documents
from hyssopwind.daemon import admin
from hyssopwind.daemon import clock
from hyssopwind.daemon import forwarding
from hyssopwind.daemon import frontend
from hyssopwind.daemon import metrics
from hyssopwind.daemon import peer_links
from hyssopwind.daemon import prefix_watcher
from hyssopwind.daemon import serving
from hyssopwind.daemon import settings_file
from hyssopwind.daemon import streams
from hyssopwind.daemon import supervision
from hyssopwind.daemon import tracing
from hyssopwind.daemon import upstream
from hyssopwind.daemon.gateway import caller_resources

TICK_INTERVAL_SECONDS = 0.02  # while requests are in flight
IDLE_TICK_INTERVAL_SECONDS = 0.05
SETTINGS_FILE = "settings.toml"
POLL_INTERVAL_SECONDS = 0.05
HANDOVER_TIMEOUT_SECONDS = 5.0
# Memory that is not shared out. A process takes about 52 MB at rest, and
# answers of servers are not counted while they are read. With a quarter of all
# memory for callers, pipelined posts that are echoed took 99 of 100 MB.
RESERVED_MEMORY_BYTES = 40_000_000

T = TypeVar("T")

_log = logbook.Logger("daemon")


class Daemon:
    """One daemon process."""

    def __init__(
        self,
        settings: documents.DaemonSettings,
        load_settings: Callable[[], documents.DaemonSettings],
    ):
        self._settings = settings
        self._load_settings = load_settings
        self._counters = metrics.Metrics()
        self._clock = clock.Clock()
        identity = messages.DaemonIdentity(
            ids.DaemonId(settings.name), ids.StartId(secrets.token_hex(8))
        )
        self._started_at = self._clock.now()
        self._random = random.Random()
        self._node = node.Node(
            identity,
            settings,
            self._random,
            invariants.InvariantMonitor(self._report_breach),
            self._started_at,
        )
        self._tracer = tracing.Tracer(
            settings.traces, settings.name, self._random
        )
        self._is_ready = False
        self._has_vm_list = False
        self._has_task_ended = False
        self._left_out_parts = left_out.LeftOutParts()
        self._stop = asyncio.Event()

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then drains and stops.

        Returns:
            The exit status of the process: 0 unless a background task ended.
        """
        self._install_signal_handlers()
        self._build()
        self._subscribe()
        await self._admin.start(self._settings.admin)
        await self._frontend.start(self._settings.callers)
        self._links.start(self._serving.receive)
        tasks = [
            self._start_task("tick", self._tick, TICK_INTERVAL_SECONDS),
            self._start_task("probes", self._probe),
            self._start_task("settings", self._settings_watcher.run),
            self._start_task("virtual-machines", self._vm_watcher.run),
        ]
        await self._become_ready()
        await self._stop.wait()
        deadline = await self._drain()
        await self._close(tasks, deadline)
        return supervision.EXIT_TASK_ENDED if self._has_task_ended else 0

    def _build(self) -> None:
        settings = self._settings
        self._links = peer_links.PeerLinks(
            settings.peers,
            self._node.identity,
            self._counters,
            self._left_out_parts,
        )
        self._session = aiohttp.ClientSession()
        platform = settings.platform
        self._settings_watcher = prefix_watcher.PrefixWatcher(
            "configuration",
            platform.configuration,
            platform.settings_prefix,
            self._session,
            self._counters,
            self._left_out_parts,
            left_out.Source.CONFIGURATION_LISTING,
        )
        self._vm_watcher = prefix_watcher.PrefixWatcher(
            "virtual-machines",
            platform.virtual_machines,
            platform.virtual_machines_prefix,
            self._session,
            self._counters,
            self._left_out_parts,
            left_out.Source.VM_LISTING,
        )
        self._vm_list_builder = vm_records.VmListBuilder(self._left_out_parts)
        self._upstream = upstream.UpstreamClient()
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
        self._resources = caller_resources.CallerResources(
            asyncio.get_running_loop(),
            _derive_limits(settings.limits),
            self._random,
        )
        self._frontend = frontend.Frontend(
            self._node,
            self._clock,
            self._serving.pipeline,
            self._tracer,
            self._counters,
            self._resources,
        )
        self._admin = admin.Admin(
            self._node,
            self._counters,
            self._left_out_parts,
            lambda: self._is_ready,
            self._resources,
        )

    def _subscribe(self) -> None:
        """Passes the platform's listings and changes to the node."""
        self._handle_all(
            self._settings_watcher.listings, self._apply_settings_listing
        )
        self._handle_all(
            self._settings_watcher.changes, self._apply_settings_change
        )
        self._handle_all(self._vm_watcher.listings, self._apply_vm_listing)
        self._handle_all(self._vm_watcher.changes, self._apply_vm_change)
        self._handle_all(
            streams.select_type(self._serving.events, events.SettingsChanged),
            self._log_settings,
        )

    def _handle_all(
        self, source: reactivex.Observable[T], handler: Callable[[T], None]
    ) -> None:
        failures = self._counters.task_failures.labels("streams")
        streams.subscribe(source, handler, failures.inc)

    def _start_task(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        restart_seconds: float = supervision.RESTART_SECONDS,
    ) -> "asyncio.Task[None]":
        """Starts a background task, which runs again when it fails."""
        task = asyncio.create_task(
            supervision.supervise(
                name,
                run,
                on_failure=self._counters.task_failures.labels(name).inc,
                restart_seconds=restart_seconds,
            )
        )
        task.add_done_callback(self._handle_task_end)
        return task

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        # Its default action would end the process.
        loop.add_signal_handler(signal.SIGHUP, self._reload_limits)

    def _reload_limits(self) -> None:
        """Puts changed limits in force; other settings need a restart."""
        try:
            limits = self._load_settings().limits
        except settings_file.SettingsError as error:
            _log.error(
                "settings file invalid; limits in force remain",
                extra={"error": str(error)},
            )
            return
        self._resources.apply_limits(_derive_limits(limits))
        _log.info(
            "limits reloaded; other settings need a restart",
            extra={"memory": limits.memory, "descriptors": limits.descriptors},
        )

    async def _become_ready(self) -> None:
        """Waits for settings, the list of VMs and the right to back leases.

        A daemon that has just started backs no lease for one lease term,
        because it has lost its record of the leases that it backed before. A
        daemon that is stopped before then does not become ready.
        """
        cluster = self._settings.cluster
        earliest_ready = self._started_at + cluster.lease + cluster.heartbeat
        while not self._stop.is_set():
            is_loaded = self._node.configuration.is_loaded
            may_serve = self._clock.now() >= earliest_ready
            if is_loaded and self._has_vm_list and may_serve:
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        if self._stop.is_set():
            return
        self._serving.set_phase(messages.Phase.SERVING)
        await self._wait_for_key_ownership()
        if self._stop.is_set():
            return
        self._frontend.set_ready(True)
        self._is_ready = True
        _log.info("ready", extra={"daemon": self._settings.name})

    async def _wait_for_key_ownership(self) -> None:
        """Waits, for a bounded time, until new keys may run here."""
        cluster = self._settings.cluster
        timeout_seconds = 2 * (cluster.lease + cluster.clock_error)
        deadline = self._clock.now() + timeout_seconds
        while self._clock.now() < deadline and not self._stop.is_set():
            if self._node.keys.may_run_new_keys(self._clock.timestamps()):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _drain(self) -> float:
        """Stops listening, completes running requests and hands keys over.

        Returns:
            The monotonic time in seconds at which the grace period ends.
        """
        _log.info("stopping")
        self._is_ready = False
        await asyncio.sleep(self._settings.stop.balancer_delay)
        self._serving.set_phase(messages.Phase.LEAVING)
        self._frontend.announce_stop()
        await self._frontend.stop_listening()
        deadline = self._clock.now() + self._settings.stop.grace
        while (
            self._frontend.active_request_count and self._clock.now() < deadline
        ):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                await self._serving.pipeline.drain()
        except TimeoutError:
            _log.warn(
                "requests of disconnected callers exceeded the grace period"
            )
        await self._hand_over_keys()
        return deadline

    async def _hand_over_keys(self) -> None:
        """Waits until other daemons have taken over the key partitions."""
        deadline = self._clock.now() + HANDOVER_TIMEOUT_SECONDS
        while self._clock.now() < deadline:
            now = self._clock.now()
            if not self._node.keys.held_partitions(now):
                return
            if not self._node.membership.owner_candidates(now):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        _log.warn("key partitions were left without a successor")

    async def _close(
        self, tasks: list[asyncio.Task[None]], deadline: float
    ) -> None:
        """Closes the connections of callers first.

        Requests that are still running need the tasks and the links.
        """
        await self._frontend.close(deadline)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._links.close()
        await self._admin.close()
        await self._upstream.close()
        await self._forwarder.close()
        await self._session.close()
        self._tracer.close()
        _log.info("stopped")

    async def _tick(self) -> None:
        heartbeat = self._settings.cluster.heartbeat
        connected_at = float("-inf")
        while True:
            self._serving.tick()
            if self._clock.now() >= connected_at + heartbeat:
                connected_at = self._clock.now()
                self._links.connect(self._node.membership.peer_addresses())
            is_idle = self._node.pools.is_idle()
            await asyncio.sleep(
                IDLE_TICK_INTERVAL_SECONDS if is_idle else TICK_INTERVAL_SECONDS
            )

    async def _probe(self) -> None:
        """Sends the load probes that the probe budget allows."""
        probe_tasks: set[asyncio.Task[None]] = set()
        while True:
            for probe in self._node.pools.due_probes(self._clock.now()):
                self._counters.probes.inc()
                task = asyncio.create_task(self._probe_one(probe))
                probe_tasks.add(task)
                task.add_done_callback(probe_tasks.discard)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _probe_one(self, probe: pool_component.Probe) -> None:
        report = await self._upstream.probe(probe.address)
        if report is not None:
            self._node.pools.handle_load_report(
                probe, report, self._clock.now()
            )

    def _apply_settings_listing(self, listing: prefix_watcher.Listing) -> None:
        team_documents = []
        for key, entry in listing.entries.items():
            document = _read_document(
                prefix_watcher.Change(key, entry.value, entry.revision)
            )
            if document is not None:
                team_documents.append(document)
        unreadable_teams = {
            team
            for team in map(_find_team, listing.unreadable_keys)
            if team is not None
        }
        self._node.apply_settings_listing(
            team_documents,
            listing.revision,
            self._clock.timestamps(),
            unreadable_teams,
        )
        self._serving.flush()

    def _apply_settings_change(self, change: prefix_watcher.Change) -> None:
        document = _read_document(change)
        if document is None:
            return
        self._node.apply_settings_document(document, self._clock.timestamps())
        self._serving.flush()

    def _apply_vm_listing(self, listing: prefix_watcher.Listing) -> None:
        values = {key: entry.value for key, entry in listing.entries.items()}
        self._apply_vm_list(
            self._vm_list_builder.apply_listing(values, listing.revision)
        )

    def _apply_vm_change(self, change: prefix_watcher.Change) -> None:
        self._apply_vm_list(
            self._vm_list_builder.apply_change(
                change.key, change.value, change.revision
            )
        )

    def _apply_vm_list(self, vm_list: vm_records.VmList) -> None:
        self._has_vm_list = True
        for finding in self._vm_list_builder.pop_new_findings():
            _log.warn(
                "VM record left out",
                extra={"finding": decoding.shorten(str(finding))},
            )
        self._node.apply_vm_list(vm_list, self._clock.timestamps())
        addresses = {record.address for record in vm_list.servers.values()}
        self._upstream.retain(addresses)
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

    def _handle_task_end(self, task: "asyncio.Task[None]") -> None:
        """Stops the daemon when a background task ends, which none should."""
        if task.cancelled():
            return
        _log.error(
            "background task ended; stopping the daemon",
            extra={"error": repr(task.exception())},
        )
        self._has_task_ended = True
        self._stop.set()


def _derive_limits(
    limits: documents.LimitSettings,
) -> caller_account.AccountLimits:
    return caller_resources.derive_limits(
        limits.memory - RESERVED_MEMORY_BYTES, limits.descriptors
    )


def _read_document(
    change: prefix_watcher.Change,
) -> configuration_store.TeamDocument | None:
    """Returns the document of a key `TEAM/settings.toml`, or `None`."""
    team = _find_team(change.key)
    if team is None:
        return None
    text = None
    if change.value is not None:
        text = change.value.decode("utf-8", errors="replace")
    return configuration_store.TeamDocument(team, change.revision, text)


def _find_team(key: str) -> ids.TeamId | None:
    """Returns the team of a key `TEAM/settings.toml`; `None` for others."""
    team, _, name = key.partition("/")
    if name != SETTINGS_FILE or not team:
        return None
    return ids.TeamId(team)


async def run(
    settings: documents.DaemonSettings,
    load_settings: Callable[[], documents.DaemonSettings],
) -> int:
    """Runs a daemon until SIGTERM or SIGINT; returns the exit status.

    Args:
        settings: the settings at the start.
        load_settings: returns those at a reload; may raise
            `settings_file.SettingsError`.
    """
    return await Daemon(settings, load_settings).run()
