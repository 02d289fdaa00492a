"""Composes the daemon that serves on the platform, and runs it."""

import asyncio
import random
import signal
import socket
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import logbook

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.callers import caller_account
from hyssopwind.core.callers import head_decisions
from hyssopwind.core.discovery import positions
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.fleet import handovers
from hyssopwind.core.fleet import reader_selection
from hyssopwind.core.limits import connection_shares
from hyssopwind.core.routing import tables
from hyssopwind.core.settings import tuning
from hyssopwind.core.stopping import deliveries
from hyssopwind.core.stopping import stop_plan
from hyssopwind.daemon import headers
from hyssopwind.daemon import log_output
from hyssopwind.daemon import supervision
from hyssopwind.daemon.gateway import accepting
from hyssopwind.daemon.gateway import caller_connection
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import caller_resources
from hyssopwind.daemon.gateway import gateway_metrics
from hyssopwind.daemon.gateway import gossip
from hyssopwind.daemon.gateway import internal_listeners
from hyssopwind.daemon.gateway import reloading
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.daemon.gateway import request_path
from hyssopwind.daemon.gateway import store_reader
from hyssopwind.platform import answer_heads
from hyssopwind.platform import store
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection_pools

HOUSEKEEPING_INTERVAL_SECONDS = 0.25
DRAIN_CHECK_SECONDS = 0.05
# Ratio of the memory of the process for answers that are being received. A
# complete answer is copied twice before it is sent to the caller.
ANSWERS_MEMORY_RATIO = 0.12
# Delay of the import of reactivex after the first configuration. The import
# takes a sixth of the time of a start; callers who waited for the start are
# served before it.
REACTIVEX_IMPORT_DELAY_SECONDS = 1.0

_log = logbook.Logger("gateway")


class Gateway:
    """The daemon of one entry VM on the platform.

    `_initial_settings` are the settings at the start of the process, while
    `_live_settings` follow each reload.
    """

    def __init__(
        self,
        initial_settings: settings.GatewaySettings,
        gateway_tuning: tuning.GatewayTuning,
        listener: socket.socket,
        metrics_port: int,
        log_stream: log_output.BoundedStream,
    ):
        self._initial_settings = initial_settings
        self._live_settings = settings.LiveSettings(initial_settings)
        self._listener = listener
        self._metrics_port = metrics_port
        self._loop = asyncio.get_running_loop()
        self._has_task_ended = False
        self._stop_event = asyncio.Event()
        self._stop_plan: stop_plan.StopPlan | None = None
        self._random = random.Random()
        self._connections: set[caller_connection.CallerConnection] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._metrics = gateway_metrics.GatewayMetrics()
        self._resources = caller_resources.CallerResources(
            self._loop, _account_limits(initial_settings), self._random
        )
        self._platform_state = replicated_state.PlatformState()
        self._pool = connection_pools.ConnectionPool(
            int(ANSWERS_MEMORY_RATIO * initial_settings.memory_bytes),
            answer_heads.find_fault,
        )
        self._member_list = fleet_members.MemberList(
            initial_settings.name,
            initial_settings.ip,
            initial_settings.data_centre,
            boot_clock.now(),
            initial_settings.link_mbps,
        )
        self._store_client = store.StoreClient(initial_settings.store_address)
        self._store_reader = store_reader.StoreReader(
            self._store_client,
            self._platform_state,
            self._should_read,
            self._retry_delay,
            gateway_tuning.reading,
            self._live_settings,
        )
        self._request_path = request_path.RequestPath(
            initial_settings,
            gateway_tuning,
            self._platform_state,
            self._member_list,
            self._pool,
            self._metrics,
            self._announce_crash,
            self._announce_leaving,
            self._send_permit_message,
            self._announce_reachability,
            self._random,
            self._live_settings,
            self._send_allowance_message,
            lambda server, is_suspicion: self._gossip.announce_hang(
                server, is_suspicion
            ),
        )
        self._crash_detector = self._request_path.crash_detector
        self._dispatcher = self._request_path.dispatcher
        self._gossip = gossip.Gossip(
            self._live_settings,
            self._member_list,
            self._platform_state,
            lambda: not self._store_reader.is_failing,
            lambda: self._store_reader.is_reading,
            lambda: self._store_client.is_receiving,
            self._crash_detector.handle_notice,
            self._request_path.permits.handle,
            self._request_path.handle_leaving_notice,
            self._request_path.withdrawals.leaving_servers,
            self._random,
            self._handle_reachability_notice,
            self._request_path.allowances.handle,
            self._request_path.handle_hang_notice,
        )
        self._internal_listeners = internal_listeners.InternalListeners(
            self._is_ready,
            self._gossip.transfers.answer,
            self._metrics.render,
            self._serve_handover,
            self._resources,
            self._caller_limits,
        )
        self._reloader = reloading.Reloader(
            self._live_settings,
            self._store_client,
            self._request_path.retry_budget,
            gateway_tuning.repeating,
        )
        self._metrics.attach(self._gauge_sources(log_stream))

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then drains and stops.

        Returns:
            The exit status of the process: 0 unless a background task ended.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._request_stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reloader.reload)
        await self._internal_listeners.start(
            self._initial_settings, self._metrics_port
        )
        server = self._listen()
        await self._gossip.start()
        for name, run in (
            ("announcements", self._announce_changes),
            ("gossip", self._gossip.run),
            ("permits", self._request_path.permits.run),
            ("allowances", self._request_path.allowances.run),
            ("store reader", self._store_reader.run),
            ("reloader", self._reloader.run),
            ("housekeeping", self._run_housekeeping),
        ):
            self._start_task(supervision.supervise(name, run))
        _log.info(
            "started",
            extra={
                "daemon": self._initial_settings.name,
                "data_centre": self._initial_settings.data_centre,
                "first_start": self._initial_settings.first_start,
            },
        )
        await self._stop_event.wait()
        await self._drain(server)
        for task in self._tasks:
            task.cancel()
        self._gossip.stop()
        self._request_path.stop()
        return supervision.EXIT_TASK_ENDED if self._has_task_ended else 0

    def _request_stop(self) -> None:
        """Starts the planned stop; a second signal changes nothing."""
        if self._stop_plan is not None:
            return
        self._stop_plan = stop_plan.StopPlan(
            boot_clock.now(), self._live_settings.current.grace
        )
        self._dispatcher.start_stop(self._stop_plan)
        self._stop_event.set()

    def _takes_followers(self) -> bool:
        plan = self._stop_plan
        return plan is None or plan.takes_followers(boot_clock.now())

    def _listen(self) -> accepting.Acceptor:
        callbacks = caller_connection.CallerCallbacks(
            serve=self._serve,
            may_overlap=self._dispatcher.may_overlap,
            limits=self._caller_limits,
            judge_head=self._judge_head,
            is_stopping=self._stop_event.is_set,
            takes_followers=self._takes_followers,
            log_rejection=lambda failure, address: (
                self._resources.record_refusal(
                    failure.reason.slug, address, failure.detail
                )
            ),
            count_undelivered=self._metrics.count_undelivered,
        )
        acceptor = accepting.Acceptor(
            caller_account.Listener.CALLERS,
            self._listener,
            self._resources,
            lambda holding: caller_connection.CallerConnection(
                self._loop,
                callbacks,
                self._connections,
                self._resources,
                holding,
            ),
        )
        acceptor.start()
        return acceptor

    def _judge_head(
        self, head: caller_requests.CallerRequest
    ) -> outcomes.Outcome | None:
        """Returns the outcome of a request that its head decides."""
        if self._platform_state.catalogue.configuration is None:
            return None
        route = self._dispatcher.find_route(head)
        if route is None:
            state = self._platform_state
            refusal = head_decisions.no_route(
                may_lack_configuration=state.may_lack_configuration(
                    self._initial_settings.configuration_bound
                )
            )
        else:
            authenticator = self._request_path.authenticator
            unauthenticated = authenticator.refuse_head(head, route)
            if unauthenticated is None:
                return None
            refusal = unauthenticated
        self._metrics.count_request(
            route.name if route else "",
            refusal.tag,
            refusal.reason.slug,
            boot_clock.now() - head.arrived_at,
        )
        return refusal

    async def _serve(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome | None = self._check_quarantine(request)
        if outcome is None:
            outcome = await self._dispatcher.serve(request)
        reason = ""
        if not isinstance(outcome, outcomes.Answered):
            reason = outcome.reason.slug
        route = self._dispatcher.find_route(request)
        self._metrics.count_request(
            route.name if route else "",
            outcome.tag,
            reason,
            boot_clock.now() - request.arrived_at,
        )
        return outcome

    def _check_quarantine(
        self,
        request: caller_requests.CallerRequest,
        terms: handovers.Terms | None = None,
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request that is quarantined."""
        retry_after = self._crash_detector.quarantine_seconds(request)
        if retry_after is None:
            return None
        unauthenticated = self._dispatcher.refuse_unauthenticated(
            request, terms
        )
        if unauthenticated is not None:
            return unauthenticated
        refusal = outcomes.NotRun(
            outcomes.Reason.QUARANTINED,
            "servers crashed on this request",
            retry_after,
        )
        self._log_rejection(refusal)
        return refusal

    async def _serve_handover(
        self, request: caller_requests.CallerRequest
    ) -> outcomes.Outcome:
        """Serves a request that a peer handed over."""
        try:
            terms = handovers.decode_terms(request.fields[headers.HANDOVER])
        except decoding.DecodeError as error:
            _log.warn(
                "unreadable handover refused", extra={"error": str(error)}
            )
            return outcomes.Answered(400, (), b"")
        monitor = self._request_path.monitor
        # Only a daemon that is cut off itself hands requests over.
        self._handle_reachability_notice(ids.DaemonId(terms.sender), True)
        outcome: outcomes.Outcome | None = self._check_quarantine(
            request, terms
        )
        if outcome is None:
            outcome = await self._dispatcher.serve_for_peer(request, terms)
        result = handovers.make_result(
            terms.number, outcome, is_cut_off=not monitor.is_reachable
        )
        self._metrics.count_handover("received", outcome.tag)
        fields = ((headers.HANDOVER, handovers.encode(result)),)
        if isinstance(outcome, outcomes.Answered):
            return outcomes.Answered(
                outcome.status, outcome.headers + fields, outcome.body
            )
        return outcomes.Answered(200, fields, b"")

    async def _drain(self, server: accepting.Acceptor) -> None:
        """Waits until all answers are delivered, at most until the deadline."""
        plan = self._stop_plan
        assert plan is not None
        for announce in (
            self._request_path.permits.announce_stop,
            self._gossip.announce_stop,
        ):
            try:
                announce()
            except Exception as error:  # The stop does not need it.
                _log.error(
                    "stop could not be announced", extra={"error": repr(error)}
                )
        _log.info(
            "stopping",
            extra={
                **self._connection_counts(),
                "grace_ms": round(plan.grace_seconds * 1000),
            },
        )
        is_idle = await self._wait_for_idle(server, plan)
        server.close()
        if not is_idle:
            await self._end_requests(plan)
        self._internal_listeners.stop()
        while (
            self._internal_listeners.has_unsent_answers
            and boot_clock.now() < plan.handover_deadline
        ):
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        _log.info(
            "stopped",
            extra={
                **self._connection_counts(),
                "reason": "idle" if is_idle else "deadline",
                "ms": round((boot_clock.now() - plan.requested_at) * 1000),
            },
        )
        self._for_each_connection(
            lambda each: each.report_undelivered(
                deliveries.CloseCause.PROCESS_END
            )
        )

    def _for_each_connection(
        self, act: Callable[[caller_connection.CallerConnection], None]
    ) -> None:
        """Acts on all connections of callers; drops those for which it fails.

        One connection must not keep the others from being served to the end.
        """
        for connection in list(self._connections):
            try:
                act(connection)
            except Exception as error:
                _log.error(
                    "connection of a caller failed; dropping it",
                    extra={"error": repr(error)},
                )
                connection.drop()

    async def _wait_for_idle(
        self, server: accepting.Acceptor, plan: stop_plan.StopPlan
    ) -> bool:
        """Waits for running requests; returns whether none is left.

        New connections may be opened until then.
        """
        while boot_clock.now() < plan.deadline:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
            if boot_clock.now() < plan.idle_close_at:
                continue
            self._for_each_connection(lambda each: each.close_if_idle())
            if self._connections or self._dispatcher.has_running_attempts:
                continue
            if not server.is_serving():
                return True
            # Connections that were accepted just before appear in later rounds.
            server.close()
        return False

    async def _end_requests(self, plan: stop_plan.StopPlan) -> None:
        """Answers the requests that are left, and waits for their delivery."""
        self._dispatcher.expire_all()
        failure = outcomes.NotRun(
            outcomes.Reason.STOPPING,
            "the daemon stopped before it had read the request",
            stop_plan.RETRY_AFTER_SECONDS,
        )
        while self._connections or self._dispatcher.has_received_requests:
            self._for_each_connection(lambda each: each.end_input(failure))
            # At least once, also if the loop is late: the requests end and
            # their answers are written meanwhile.
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
            if boot_clock.now() >= plan.handover_deadline:
                return

    def _connection_counts(self) -> dict[str, int]:
        """Returns what the connections of callers hold, for the log."""
        connections = self._connections
        return {
            "connections": len(connections),
            "requests": sum(each.pending_count for each in connections),
            "unsent_bytes": sum(each.unsent_bytes for each in connections),
            "unacknowledged_bytes": sum(
                each.unacknowledged_bytes for each in connections
            ),
        }

    async def _announce_changes(self) -> None:
        """Announces each change at once, not only with the next heartbeat."""
        await self._platform_state.wait_for_configuration(None)
        await asyncio.sleep(REACTIVEX_IMPORT_DELAY_SECONDS)
        self._platform_state.revisions.subscribe(
            lambda _: self._announce_change()
        )

    def _announce_change(self) -> None:
        try:
            self._gossip.announce_change()
        except Exception as error:  # It would end the subscription.
            _log.error(
                "change could not be announced", extra={"error": repr(error)}
            )

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            self._platform_state.expire()
            self._resources.apply_limits(
                _account_limits(self._live_settings.current)
            )
            server_catalogue = self._platform_state.catalogue
            self._pool.retain(server_catalogue.addresses())
            self._pool.limit_idle(
                connection_shares.idle_counts(
                    server_catalogue, self._member_list.fleet_size()
                )
            )
            self._request_path.drop_removed_servers()
            self._request_path.authenticator.log_refusals()

    def _caller_limits(self) -> tables.CallerLimits:
        configuration = self._platform_state.catalogue.configuration
        if configuration is None:
            return tables.CallerLimits()
        return configuration.limits

    def _is_ready(self) -> bool:
        return (
            not self._stop_event.is_set()
            and self._platform_state.catalogue.configuration is not None
        )

    def _reader_state(self) -> reader_selection.ReaderState:
        return reader_selection.ReaderState(
            self._initial_settings.name,
            self._initial_settings.data_centre,
            self._platform_state.age_seconds(),
            self._initial_settings.first_start,
            self._live_settings.current.change_bound_seconds,
        )

    def _should_read(self) -> bool:
        state = self._reader_state()
        return reader_selection.should_read(
            state, self._member_list, boot_clock.now()
        )

    def _retry_delay(self, failures: int) -> float:
        state = self._reader_state()
        random_draw = self._random.random()
        return reader_selection.retry_delay_seconds(
            state, self._member_list, failures, random_draw
        )

    def _announce_crash(
        self,
        fingerprint: ids.Fingerprint,
        crash_count: int,
        times: quarantine.CrashTimes | None,
    ) -> None:
        self._gossip.announce_crash(fingerprint, crash_count, times)

    def _announce_leaving(self, instance: ids.InstanceId) -> None:
        self._gossip.announce_leaving(instance)

    def _announce_reachability(self, is_cut_off: bool) -> None:
        self._gossip.announce_reachability(is_cut_off)

    def _handle_reachability_notice(
        self, sender: ids.DaemonId, is_cut_off: bool
    ) -> None:
        self._request_path.handover.handle_notice(sender, is_cut_off=is_cut_off)

    def _send_permit_message(
        self, message: gossip_messages.PermitMessage, ip: str
    ) -> None:
        self._gossip.send_permit_message(message, ip)

    def _send_allowance_message(
        self, message: gossip_messages.AllowanceMessage, ip: str
    ) -> None:
        self._gossip.send_allowance_message(message, ip)

    def _log_rejection(self, failure: outcomes.Failure) -> None:
        _log.info(
            "rejected",
            extra={"reason": failure.reason.slug, "detail": failure.detail},
        )

    def _gauge_sources(
        self, log_stream: log_output.BoundedStream
    ) -> gateway_metrics.GaugeSources:
        platform_state = self._platform_state
        return gateway_metrics.GaugeSources(
            copy_age=platform_state.age_seconds,
            revision=lambda: positions.revision_of(
                platform_state.replica.revision
            ),
            era=lambda: positions.stated_era(platform_state.replica.revision),
            restorations=lambda: platform_state.restoration_count,
            missed_changes=lambda: self._store_reader.missed_count,
            failed_items=lambda: platform_state.failed_item_count,
            unreadable_items=lambda: (
                platform_state.unreadable_item_count
                + self._store_client.left_out_count
            ),
            version=lambda: platform_state.catalogue.configuration_version,
            version_age=platform_state.configuration_age_seconds,
            servers=lambda: platform_state.catalogue.server_count,
            limited_servers=lambda: len(
                self._request_path.limits.stated.in_force(boot_clock.now())
            ),
            permit_counts=lambda: self._request_path.permits.result_counts,
            priority_counts=lambda: (
                self._request_path.priority_decisions.counts
            ),
            search_refusal_counts=lambda: (
                self._request_path.dispatcher.search_refusals.counts
            ),
            allowance_counts=lambda: (
                self._request_path.allowances.result_counts
            ),
            transfer_counts=lambda: self._gossip.transfers.counts,
            transfer_bytes=lambda: self._gossip.transfers.byte_counts,
            daemons=self._member_list.fleet_size,
            connections=lambda: self._pool.opened_count,
            checks=lambda: (
                self._request_path.probe_client.probe_count
                + self._request_path.monitor.probe_count
            ),
            store_calls=lambda: self._store_client.call_count,
            lines_dropped=lambda: log_stream.dropped_count,
            ready=lambda: float(self._is_ready()),
            cut_off=lambda: float(not self._request_path.monitor.is_reachable),
            caller_bytes=lambda: self._resources.account.held_bytes,
            caller_connections=lambda: self._resources.account.connection_count,
            caller_requests=lambda: self._resources.account.running_count,
            caller_refusal_counts=lambda: self._resources.refusal_counts,
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error(
            "background task failed; stopping",
            extra={"error": repr(task.exception())},
        )
        self._has_task_ended = True
        self._request_stop()


def _account_limits(
    gateway_settings: settings.GatewaySettings,
) -> caller_account.AccountLimits:
    return caller_resources.derive_limits(
        gateway_settings.memory_bytes, gateway_settings.max_descriptors
    )
