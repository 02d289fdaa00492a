"""Composes what serves the requests of callers, apart from all listeners."""

import copy
import random
from collections.abc import Callable

from hyssopwind.core import ids
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.dispatch import fleet_retry_budgets
from hyssopwind.core.dispatch import probe_budgets
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import server_withdrawals
from hyssopwind.core.limits import stated_limits
from hyssopwind.core.settings import tuning
from hyssopwind.daemon.gateway import allowances
from hyssopwind.daemon.gateway import authenticator
from hyssopwind.daemon.gateway import crash_detection
from hyssopwind.daemon.gateway import dispatcher
from hyssopwind.daemon.gateway import gateway_metrics
from hyssopwind.daemon.gateway import handover_client
from hyssopwind.daemon.gateway import health_client
from hyssopwind.daemon.gateway import load_probes
from hyssopwind.daemon.gateway import notice_recorder
from hyssopwind.daemon.gateway import permits
from hyssopwind.daemon.gateway import picker
from hyssopwind.daemon.gateway import reachability
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.daemon.gateway import sending
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection_pools


class RequestPath:
    """The parts through which each request of a caller passes.

    Attributes:
        limits: the limits of servers.
        withdrawals: servers that want no requests.
        permits: permits to send to servers with limits.
        handle_leaving_notice: records what a peer heard of a leaving server.
        handle_hang_notice: records that a peer found a server to hang.
        monitor: whether this daemon reaches servers.
        handover: hands requests to peers.
        probe_client: client of the health endpoints of servers.
        crash_detector: detector of requests that crash servers.
        priority_decisions: what the priorities of requests changed.
        retry_budget: budget of retries and hedges.
        authenticator: checks the keys of requests.
        allowances: allowances of tenants over the fleet.
        dispatcher: serves the requests.
    """

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        gateway_tuning: tuning.GatewayTuning,
        platform_state: replicated_state.PlatformState,
        member_list: fleet_members.MemberList,
        pool: connection_pools.ConnectionPool,
        metrics: gateway_metrics.GatewayMetrics,
        announce_crash: Callable[
            [ids.Fingerprint, int, quarantine.CrashTimes | None], None
        ],
        announce_leaving: Callable[[ids.InstanceId], None],
        send_permit_message: permits.SendMessage,
        announce_reachability: Callable[[bool], None],
        random_source: random.Random,
        live_settings: settings.LiveSettings | None = None,
        send_allowance_message: allowances.SendMessage = (
            lambda _message, _ip: None
        ),
        announce_hang: Callable[[ids.ServerId, bool], None] = (
            lambda _server, _is_suspicion: None
        ),
    ):
        self._platform_state = platform_state
        self._passive_health = server_health.PassiveHealth()
        self.limits = rate_limits.RateLimits(
            platform_state.catalogue, stated_limits.StatedLimits()
        )
        self.withdrawals = server_withdrawals.ServerWithdrawals()
        self.permits = permits.Permits(
            gateway_settings.name,
            member_list,
            platform_state.catalogue,
            self.limits,
            send_permit_message,
            random_source,
        )
        recorder = notice_recorder.NoticeRecorder(
            self.limits,
            self.withdrawals,
            self.permits.announce_change,
            announce_leaving,
        )
        self.handle_leaving_notice = recorder.handle_leaving_notice
        probe_budget = probe_budgets.ProbeBudget(
            gateway_settings.probe_rate, boot_clock.now()
        )
        self.monitor = reachability.ReachabilityMonitor(
            platform_state.catalogue,
            pool,
            gateway_tuning.choosing.check_timeout,
            lambda service: self._prober.health_path(service),
            probe_budget,
            member_list,
            lambda: self._sender.break_off_idempotent(),
            self._forget_failures,
            announce_reachability,
            random_source,
        )
        self.handover = handover_client.HandoverClient(
            gateway_settings, member_list, metrics, random_source
        )
        self.probe_client = health_client.ProbeClient(
            pool, gateway_tuning.choosing, recorder, self.monitor
        )
        self.crash_detector = crash_detection.CrashDetector(
            self.probe_client, self.monitor, announce_crash
        )
        self._prober = load_probes.LoadProber(
            platform_state.catalogue,
            self._passive_health,
            self.probe_client,
            member_list,
            probe_budget,
            lambda: self.handover.cut_off_count,
            announce_hang,
            lambda server: self._sender.busy_connections(server),
        )
        self.handle_hang_notice = self._prober.handle_hang_notice
        server_picker = picker.Picker(
            gateway_settings,
            platform_state.catalogue,
            self._passive_health,
            self._prober,
            self.limits,
            self.permits,
            self.withdrawals,
            gateway_tuning.choosing,
            random_source,
            lambda: self.monitor.state,
            member_list.fleet_size,
        )
        self.priority_decisions = server_picker.priority_decisions
        self.retry_budget = fleet_retry_budgets.FleetRetryBudget(
            fleet_retry_budgets.fleet_retry_settings(
                gateway_settings, gateway_tuning.repeating
            ),
            fleet_retry_budgets.rounding_phase(gateway_settings.name),
        )
        self._sender = sending.Sender(
            pool,
            self._passive_health,
            self.crash_detector,
            metrics,
            recorder,
            self.limits,
            self._prober.health_path,
            self.monitor,
            server_picker.handle_answer,
        )
        live_settings = live_settings or settings.LiveSettings(gateway_settings)
        self.authenticator = authenticator.Authenticator(
            platform_state, live_settings, metrics
        )
        self.allowances = allowances.FleetAllowances(
            live_settings,
            member_list,
            platform_state,
            send_allowance_message,
            # Draws from the source itself would change the decisions of
            # daemons without tenants.
            copy.copy(random_source),
        )
        self.dispatcher = dispatcher.Dispatcher(
            platform_state,
            self.authenticator,
            server_picker,
            self._sender,
            self.monitor,
            self.handover,
            self.retry_budget,
            member_list.fleet_size,
            gateway_tuning.repeating,
            random_source,
            gateway_settings.configuration_bound,
            self.allowances.acquire,
            self.allowances.release,
            metrics.count_retry,
        )
        platform_state.add_configuration_listener(
            self.dispatcher.refuse_revoked
        )

    def drop_removed_servers(self) -> None:
        """Drops the state of servers that are not listed any more."""
        server_catalogue = self._platform_state.catalogue
        server_ids = server_catalogue.server_ids()
        self._passive_health.retain(server_ids)
        self._prober.retain(server_ids)
        instances = server_catalogue.instances()
        self.limits.retain(instances)
        self.withdrawals.retain(instances)
        self.permits.drop_removed_servers()
        self.handover.retain_live_peers()

    def stop(self) -> None:
        """Ends the work in the background and closes idle connections."""
        self.monitor.stop()
        self.handover.stop()

    def _forget_failures(self, since: float) -> None:
        """Drops what was observed of servers without a way to them."""
        self._passive_health.forget_failures(since)
        self._prober.forget_unanswered(since)
