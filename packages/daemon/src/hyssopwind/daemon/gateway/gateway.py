"""Composes the daemon that serves on the platform, and runs it."""

import asyncio
import random
import signal
import socket
from collections.abc import Coroutine
from typing import Any

import logbook

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.dispatch import evidence
from hyssopwind.core.dispatch import probing
from hyssopwind.core.dispatch import repeats
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import reading
from hyssopwind.core.fleet import roster
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.daemon import log_output
from hyssopwind.daemon.gateway import caller_connection
from hyssopwind.daemon.gateway import crashes
from hyssopwind.daemon.gateway import dispatcher
from hyssopwind.daemon.gateway import gossip
from hyssopwind.daemon.gateway import health
from hyssopwind.daemon.gateway import knowledge
from hyssopwind.daemon.gateway import listening
from hyssopwind.daemon.gateway import load_checks
from hyssopwind.daemon.gateway import measures
from hyssopwind.daemon.gateway import picker
from hyssopwind.daemon.gateway import reloading
from hyssopwind.daemon.gateway import requests
from hyssopwind.daemon.gateway import sending
from hyssopwind.daemon.gateway import side
from hyssopwind.daemon.gateway import store_reader
from hyssopwind.platform import store
from hyssopwind.transport import clock
from hyssopwind.transport import pool

HOUSEKEEPING = 0.25  # seconds between two rounds
STOP_MARGIN = 0.4  # seconds before the platform kills the process
# Seconds after SIGTERM in which the balancer still sends connections: two
# readiness checks, one a second, and their time-outs.
BALANCER_DELAY = 3.0
# Seconds after the first configuration until reactivex is imported, which takes
# a sixth of the start; the callers who waited for it are served by then.
STREAMS_DELAY = 1.0

_log = logbook.Logger("gateway")


class Gateway:
    """The daemon of one entry VM on the platform."""

    def __init__(
        self,
        options: settings.GatewaySettings,
        tuned: tuning.GatewayTuning,
        listener: socket.socket,
        metrics_port: int,
        stream: log_output.BoundedStream,
    ):
        self._options = options
        self._live = settings.LiveSettings(options)
        self._listener = listener
        self._metrics_port = metrics_port
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._random = random.Random()
        self._connections: set[caller_connection.CallerConnection] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._metrics = measures.GatewayMetrics()
        self._known = knowledge.Knowledge()
        self._evidence = evidence.Evidence()
        self._pool = pool.ConnectionPool()
        self._checker = health.HealthChecker(self._pool, tuned.choosing)
        self._fleet = roster.FleetRoster(
            options.name, options.ip, options.data_centre, clock.now()
        )
        self._store = store.StoreClient(options.store_address)
        self._reader = store_reader.StoreReader(
            self._store,
            self._known,
            self._should_read,
            self._retry_delay,
            tuned.reading,
            self._live,
        )
        self._crashes = crashes.CrashWatch(self._checker, self._spread_crash)
        self._gossip = gossip.Gossip(
            self._live,
            self._fleet,
            self._known,
            lambda: not self._reader.is_failing,
            lambda: self._reader.is_reading,
            self._crashes.take_notice,
        )
        self._checks = load_checks.LoadChecks(
            self._known.catalogue,
            self._evidence,
            self._checker,
            self._fleet,
            probing.ProbeBudget(options.probe_rate, clock.now()),
        )
        self._picker = picker.Picker(
            options,
            self._known.catalogue,
            self._evidence,
            self._checks,
            self._fleet,
            tuned.choosing,
        )
        self._budget = repeats.RepeatBudget(
            repeats.terms_of(options, tuned.repeating)
        )
        self._dispatcher = dispatcher.Dispatcher(
            self._known,
            self._picker,
            sending.Sender(
                self._pool,
                self._evidence,
                self._crashes,
                self._metrics,
                self._checks.health_path,
            ),
            self._budget,
            self._fleet.size,
            tuned.repeating,
        )
        self._side = side.SideListeners(
            self._is_ready, self._gossip.changes_after, self._metrics.render
        )
        self._reloader = reloading.Reloader(
            self._live, self._store, self._budget, tuned.repeating
        )
        self._metrics.attach(self._sources(stream))

    async def run(self) -> None:
        """Serves until SIGTERM, then ends what is in hand."""
        self._loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reloader.reload)
        await self._side.start(self._options, self._metrics_port)
        server = await self._listen()
        await self._gossip.start()
        self._spawn(self._spread_changes())
        self._spawn(self._gossip.run())
        self._spawn(self._reader.run())
        self._spawn(self._reloader.run())
        self._spawn(self._keep_house())
        _log.info(
            "started",
            extra={
                "daemon": self._options.name,
                "data_centre": self._options.data_centre,
                "first_start": self._options.first_start,
            },
        )
        await self._stopping.wait()
        await self._drain(server)
        for task in self._tasks:
            task.cancel()
        self._gossip.stop()
        self._side.stop()

    async def _listen(self) -> asyncio.Server:
        handling = caller_connection.CallerHandling(
            serve=self._serve,
            may_overlap=self._dispatcher.may_overlap,
            limits=self._limits,
            is_stopping=self._stopping.is_set,
            note=self._note_rejected,
        )
        return await self._loop.create_server(
            lambda: caller_connection.CallerConnection(
                self._loop, handling, self._connections
            ),
            sock=self._listener,
            backlog=listening.BACKLOG,
        )

    async def _serve(self, request: requests.CallerRequest) -> outcomes.Outcome:
        refused_for = self._crashes.is_refused(request)
        outcome: outcomes.Outcome
        if refused_for is not None:
            outcome = outcomes.NotRun(
                outcomes.Reason.QUARANTINED,
                "servers crashed on this request",
                refused_for,
            )
            self._note_rejected(outcome)
        else:
            outcome = await self._dispatcher.serve(request)
        reason = ""
        if not isinstance(outcome, outcomes.Answered):
            reason = outcome.reason.slug
        route = self._dispatcher.find_route(request)
        self._metrics.count_request(
            route.name if route else "",
            outcome.tag,
            reason,
            clock.now() - request.arrived,
        )
        return outcome

    async def _drain(self, server: asyncio.Server) -> None:
        """Answers what is in hand; new connections may still come."""
        stopped = clock.now()
        last = stopped + self._live.current.grace - STOP_MARGIN
        self._gossip.leave()
        _log.info("stopping", extra={"connections": len(self._connections)})
        while clock.now() < last:
            await asyncio.sleep(0.05)
            if clock.now() < stopped + BALANCER_DELAY:
                continue
            for connection in list(self._connections):
                connection.close_if_idle()
            if all(connection.is_idle for connection in self._connections):
                break
        server.close()
        _log.info("stopped", extra={"connections": len(self._connections)})

    async def _spread_changes(self) -> None:
        """Tells the others of each change at once, not by the next beat."""
        await self._known.wait_for_configuration(None)
        await asyncio.sleep(STREAMS_DELAY)
        self._known.revisions.subscribe(lambda _: self._gossip.spread_change())

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING)
            self._known.expire()
            known = self._known.catalogue
            self._pool.keep_only(known.addresses())
            listed = known.servers()
            self._evidence.keep_only(listed)
            self._checks.forget(listed)

    def _limits(self) -> tables.CallerLimits:
        configuration = self._known.catalogue.configuration
        if configuration is None:
            return tables.CallerLimits()
        return configuration.limits

    def _is_ready(self) -> bool:
        return (
            not self._stopping.is_set()
            and self._known.catalogue.configuration is not None
        )

    def _reading_state(self) -> reading.ReadingState:
        return reading.ReadingState(
            self._options.name,
            self._options.data_centre,
            self._known.age(),
            self._options.first_start,
            self._live.current.change_bound,
        )

    def _should_read(self) -> bool:
        state = self._reading_state()
        return reading.should_read(state, self._fleet, clock.now())

    def _retry_delay(self, failures: int) -> float:
        state = self._reading_state()
        draw = self._random.random()
        return reading.retry_delay(state, self._fleet, failures, draw)

    def _spread_crash(self, fingerprint: ids.Fingerprint, crashes: int) -> None:
        self._gossip.spread_crash(fingerprint, crashes)

    def _note_rejected(self, failure: outcomes.Failure) -> None:
        _log.info(
            "rejected",
            extra={"reason": failure.reason.slug, "detail": failure.detail},
        )

    def _sources(self, stream: log_output.BoundedStream) -> measures.Sources:
        known = self._known
        return measures.Sources(
            copy_age=known.age,
            revision=lambda: known.copy.revision,
            version=lambda: known.catalogue.version,
            servers=lambda: known.catalogue.size,
            daemons=self._fleet.size,
            connections=lambda: self._pool.opened,
            checks=lambda: self._checker.checks,
            store_calls=lambda: self._store.calls,
            lines_dropped=lambda: stream.dropped,
            ready=lambda: float(self._is_ready()),
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error("task failed", extra={"error": repr(task.exception())})
        self._stopping.set()
