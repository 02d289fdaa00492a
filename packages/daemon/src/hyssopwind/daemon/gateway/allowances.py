"""Acquires and issues tokens of tenants' allowances over the fleet.

`core.tenants.allowances` decides; this module sends and receives its messages.
"""

import asyncio
import collections
import random
from collections.abc import Callable

import logbook

from hyssopwind.core import ids
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.routing import tables
from hyssopwind.core.tenants import allowance_issuer
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import allowances
from hyssopwind.core.tenants import tenant_refusals
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.transport import boot_clock

_log = logbook.Logger("allowances")

SendMessage = Callable[[gossip_messages.AllowanceMessage, str], None]


class FleetAllowances:
    """The allowances of tenants, as one daemon takes part in them."""

    def __init__(
        self,
        live_settings: settings.LiveSettings,
        member_list: fleet_members.MemberList,
        platform_state: replicated_state.PlatformState,
        send: SendMessage,
        random_source: random.Random,
    ):
        self._member_list = member_list
        self._platform_state = platform_state
        self._send_message = send
        self._view_key: tuple[int, int] | None = None
        self._configuration: tables.Configuration | None = None
        self._is_in_use = False
        self._owner: ids.DaemonId | None = None
        self._refusals = tenant_refusals.TenantRefusals()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._live_settings = live_settings
        self._settings = live_settings.current
        self._random = random_source
        self._node_in_use: allowances.Allowances | None = None

    @property
    def result_counts(self) -> "collections.Counter[str]":
        """Results of requests for tokens, for the metrics."""
        if self._node_in_use is None:
            return collections.Counter()
        return self._node_in_use.result_counts

    @property
    def _node(self) -> allowances.Allowances:
        """The state of this daemon.

        It is created at the first use: it draws random numbers, which would
        change the decisions of other parts that share the source.
        """
        if self._node_in_use is None:
            self._node_in_use = allowances.Allowances(
                self._settings.name,
                self._settings.data_centre,
                _make_quota(self._settings),
                self._member_list.started_at,
                self._send,
                self._resolve,
                self._find_allowance,
                self._random,
            )
        return self._node_in_use

    async def run(self) -> None:
        """Lends the share of this daemon until it is cancelled."""
        while True:
            await asyncio.sleep(allowances.ROUND_SECONDS)
            self.log_refusals()
            if self._has_limits():
                now = boot_clock.now()
                self._update_view(now)
                self._node.run_round(now)
                self._set_timer(now)
                self._log_owner(now)

    async def acquire(
        self, tenant: tenant_table.Tenant
    ) -> allowance_results.Result:
        """Acquires a token of a tenant's allowance, if it has a limit."""
        allowance = self._find_allowance(tenant.id)
        if allowance is None:
            # The configuration has changed since the request arrived.
            allowance = _make_allowance(tenant, 0)
        if allowance.requests_per_second <= 0.0:
            return allowance_results.Granted()
        future: asyncio.Future[allowance_results.Result] = (
            asyncio.get_running_loop().create_future()
        )
        now = boot_clock.now()
        self._update_view(now)
        self._node.request(allowance, future, now)
        self._set_timer(now)
        try:
            result = await future
        except asyncio.CancelledError:
            # The result may have come just before the cancellation.
            if future.done() and not future.cancelled():
                self._release_unclaimed(future.result())
            raise
        if isinstance(result, allowance_results.Denied):
            self._refusals.record(tenant.id)
            self.log_refusals()
        return result

    def release(self, granted: allowance_results.Granted) -> None:
        """Returns the token of a request that no server has run."""
        if granted.owner is None:
            return
        now = boot_clock.now()
        self._node.release(granted, now)
        self._set_timer(now)

    def handle(self, message: gossip_messages.AllowanceMessage) -> None:
        """Handles a message of a peer; one from an unknown peer is ignored."""
        if self._member_list.find(ids.DaemonId(message.sender)) is None:
            return
        now = boot_clock.now()
        self._update_view(now)
        self._node.handle(message, now)
        self._set_timer(now)

    def log_refusals(self) -> None:
        """Logs the refusals about which lines are due."""
        lines = self._refusals.take_due(boot_clock.now())
        for tenant, count in lines.counts:
            allowance = self._find_allowance(tenant)
            _log.info(
                "requests of a tenant refused",
                extra={
                    "tenant": tenant,
                    "count": count,
                    "limit": allowance and allowance.requests_per_second,
                    "burst": allowance and allowance.burst,
                    **self._platform_state.log_fields(),
                },
            )
        if lines.other_tenant_count:
            _log.info(
                "requests of other tenants refused",
                extra={
                    "tenants": lines.other_tenant_count,
                    "count": lines.other_count,
                },
            )

    def _log_owner(self, now: float) -> None:
        owner = self._node.owner(now)
        if owner == self._owner:
            return
        _log.info(
            "allowance owner changed",
            extra={
                "owner": owner,
                "previous": self._owner,
                "share": self._node.share_ratio(now),
                "daemons": self._node.fleet_size(now),
            },
        )
        self._owner = owner

    def _has_limits(self) -> bool:
        """Whether a tenant of the configuration in force has a rate."""
        configuration = self._platform_state.catalogue.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._is_in_use = configuration is not None and any(
                tenant.requests_per_second > 0.0
                for tenant in configuration.tenants.tenants.values()
            )
        return self._is_in_use

    def _find_allowance(
        self, tenant_id: ids.TenantId
    ) -> allowance_issuer.Allowance | None:
        configuration = self._platform_state.catalogue.configuration
        if configuration is None:
            return None
        tenant = configuration.tenants.tenants.get(tenant_id)
        if tenant is None:
            return None
        return _make_allowance(tenant, configuration.version)

    def _update_view(self, now: float) -> None:
        """Hands the settings and the peers of this daemon to its state."""
        if self._live_settings.current is not self._settings:
            self._settings = self._live_settings.current
            self._node.set_quota(_make_quota(self._settings), now)
        fleet_size = self._member_list.fleet_size()
        key = (self._member_list.digest(), fleet_size)
        if key == self._view_key:
            return
        self._view_key = key
        self._node.set_view(allowances.view_of(self._member_list))

    def _send(
        self,
        message: gossip_messages.AllowanceMessage,
        receiver: ids.DaemonId,
    ) -> None:
        peer = self._member_list.find(receiver)
        if peer is not None:
            self._send_message(message, peer.ip)

    def _resolve(
        self, ticket: allowances.Ticket, result: allowance_results.Result
    ) -> None:
        assert isinstance(ticket, asyncio.Future)
        if ticket.done():
            self._release_unclaimed(result)
        else:
            ticket.set_result(result)

    def _release_unclaimed(self, result: allowance_results.Result) -> None:
        """Returns the token of a request whose caller has left."""
        if isinstance(result, allowance_results.Granted):
            self.release(result)

    def _set_timer(self, now: float) -> None:
        due_at = self._node.next_timer_at
        if due_at is None or due_at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, due_at - now), self._run_timers
        )

    def _run_timers(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        now = boot_clock.now()
        self._update_view(now)
        self._node.run_timers(now)
        self._set_timer(now)


def _make_quota(
    current: settings.GatewaySettings,
) -> allowance_issuer.QuotaSettings:
    return allowance_issuer.QuotaSettings(
        current.quota_window,
        current.quota_overshoot,
        current.quota_slack,
        current.fail_closed,
    )


def _make_allowance(
    tenant: tenant_table.Tenant, version: int
) -> allowance_issuer.Allowance:
    return allowance_issuer.Allowance(
        tenant.id, tenant.requests_per_second, tenant.burst, version
    )
