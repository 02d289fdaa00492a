"""Probes servers for their load, within the fleet's probe budget.

A probe of a server that does not report its load occupies a slot like a
request and yields nothing. Such a service is not probed for some time; the
requests in flight from this daemon then stand in for the load of its servers.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Collection

import logbook

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.dispatch import probe_budgets
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.fleet import fleet_members
from hyssopwind.daemon.gateway import health_client
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection

DEFAULT_HEALTH_PATH = "/health"  # if the configuration names none
# Wait for the other probe results after the first one.
STRAGGLER_WAIT_SECONDS = 0.006
# Time until a service that reported no load is probed again.
NO_LOAD_REPROBE_SECONDS = 20.0
# One probe result is shared by the requests that arrive within this time.
PROBE_RESULT_LIFETIME_SECONDS = 0.002
# The same for the requests of a waiting line, one of which follows another.
LINE_RESULT_LIFETIME_SECONDS = 0.01
# Time for which a result keeps requests from a full server where the probe
# budget is spent.
STALE_RESULT_LIFETIME_SECONDS = 0.5
# Requests of peers that are assumed to be on their way to a server to which
# this daemon has sent one since the load was reported: requests that arrive
# together reach several daemons, each of which sees the same load.
CONCURRENT_COUNT = 1
# Age up to which a request may not be included in the load in an answer.
ANSWER_DELAY_SECONDS = 0.005
# Time for the answer to the probe that verifies that a server hangs.
HANG_PROBE_SECONDS = 0.1
# Time between two notices to peers that a server hangs.
MIN_HANG_NOTICE_SECONDS = 1.0

_log = logbook.Logger("probes")


@dataclasses.dataclass(frozen=True, slots=True)
class ProbedServer:
    """A server that may be picked, with its load.

    Attributes:
        listed_server: the server.
        load: its load by a recent probe; `None` if there is no report.
        in_flight: requests that the load does not include, or all requests of
            this daemon at the server where `load` is `None`.
    """

    listed_server: catalogue.ListedServer
    load: probe_results.Load | None
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedResult:
    """The result of a probe and when it came.

    Attributes:
        received_at: monotonic time of the result.
        result: the result; `None` if the server did not answer.
    """

    received_at: float
    result: probe_results.ProbeResult | None


class LoadProber:
    """Sends the load probes of one daemon and shares their results."""

    def __init__(
        self,
        server_catalogue: catalogue.Catalogue,
        passive_health: server_health.PassiveHealth,
        probe_client: health_client.ProbeClient,
        member_list: fleet_members.MemberList,
        probe_budget: probe_budgets.ProbeBudget,
        cut_off_count: Callable[[], int] = lambda: 0,
        announce_hang: Callable[[ids.ServerId, bool], None] = (
            lambda _server, _is_suspicion: None
        ),
        busy_connections: Callable[
            [ids.ServerId], Collection[connection.ClientConnection]
        ] = lambda _server: (),
    ):
        self._busy_connections = busy_connections
        self._hang_checks: dict[ids.ServerId, asyncio.Task[None]] = {}
        self._hang_checked_at = float("-inf")
        self._announce_hang = announce_hang
        self._announced_hang_at = float("-inf")
        self._catalogue = server_catalogue
        self._passive_health = passive_health
        self._probe_client = probe_client
        self._member_list = member_list
        self._probe_budget = probe_budget
        self._cut_off_count = cut_off_count
        self._no_load_until: dict[ids.ServiceId, float] = {}
        self._reporting_services: set[ids.ServiceId] = set()
        self._recent_results: dict[ids.ServerId, _TimedResult] = {}
        self._running_probes: dict[
            ids.ServerId, asyncio.Task[probe_results.ProbeResult | None]
        ] = {}
        self._sent_at: dict[ids.ServerId, list[float]] = {}

    async def probe_servers(
        self,
        service: ids.ServiceId,
        listed_servers: list[catalogue.ListedServer],
        max_age_seconds: float = PROBE_RESULT_LIFETIME_SECONDS,
    ) -> list[ProbedServer]:
        """Probes servers and returns those that accept requests.

        Where the service reports no load, or the probe budget is spent, all
        servers are returned without a load.

        Args:
            service: the service.
            listed_servers: servers of the service.
            max_age_seconds: age up to which a result is used again.
        """
        now = boot_clock.now()
        if now < self._no_load_until.get(service, 0.0):
            return [
                self._make_server_without_load(listed_server)
                for listed_server in listed_servers
            ]
        probed_servers: list[ProbedServer] = []
        unprobed: list[catalogue.ListedServer] = []
        for listed_server in listed_servers:
            recent = self._recent_results.get(listed_server.entry.id)
            if recent is None or now - recent.received_at >= max_age_seconds:
                unprobed.append(listed_server)
                continue
            self._add_probed_server(
                probed_servers, listed_server, recent.result
            )
        if probed_servers:
            # A server that has not answered yet delays no further request.
            unprobed = [
                each
                for each in unprobed
                if each.entry.id not in self._running_probes
            ]
        allowed_count = self._probe_budget.try_acquire(
            len(unprobed),
            server_count=self._catalogue.server_count,
            daemon_count=self._sharing_daemon_count(),
            now=now,
        )
        await self._probe_all(unprobed[:allowed_count], probed_servers)
        if service in self._reporting_services:
            self._add_stale_results(unprobed[allowed_count:], probed_servers)
        if probed_servers or (
            allowed_count and service in self._reporting_services
        ):
            return probed_servers
        if service not in self._reporting_services:
            # Where probes wait for a slot like requests, a probe without an
            # answer does not show that the server is down.
            self._no_load_until[service] = now + NO_LOAD_REPROBE_SECONDS
        # A service that reports its load comes here if the budget is spent.
        return [
            self._make_server_without_load(listed_server)
            for listed_server in listed_servers
        ]

    def check_server(self, listed_server: catalogue.ListedServer) -> None:
        """Probes a server at which a request takes longer than expected."""
        allowed_count = self._probe_budget.try_acquire(
            1,
            server_count=self._catalogue.server_count,
            daemon_count=self._sharing_daemon_count(),
            now=boot_clock.now(),
        )
        if allowed_count and (
            listed_server.entry.service in self._reporting_services
        ):
            self._start_probe(listed_server)

    def pause_seconds(self, probe_count: int) -> float:
        """Returns the pause between rounds of probes that the budget needs."""
        return self._probe_budget.pause_seconds(
            probe_count,
            server_count=self._catalogue.server_count,
            daemon_count=self._sharing_daemon_count(),
        )

    def record_answer_load(
        self, server: ids.ServerId, load: probe_results.Load, now: float
    ) -> None:
        """Records the load that a server reports in an answer to a request."""
        recent = self._recent_results.get(server)
        if (
            recent is not None
            and now - recent.received_at <= STALE_RESULT_LIFETIME_SECONDS
            and (recent.result is None or not recent.result.is_healthy)
        ):
            return
        sent_later = [
            sent_at
            for sent_at in self._sent_at.pop(server, ())
            if sent_at >= now - ANSWER_DELAY_SECONDS
        ]
        if sent_later:
            self._sent_at[server] = sent_later
        self._recent_results[server] = _TimedResult(
            now, probe_results.ProbeResult(server, True, load, 0.0)
        )

    def find_recent(
        self, listed_server: catalogue.ListedServer
    ) -> list[ProbedServer]:
        """Returns a server with its latest load, if that is recent."""
        probed_servers: list[ProbedServer] = []
        self._add_stale_results([listed_server], probed_servers)
        return probed_servers

    def health_path(self, service: ids.ServiceId) -> str:
        """Returns the path at which the servers of a service are probed."""
        service_settings = self._catalogue.service_settings(service)
        return (
            service_settings.health_path
            if service_settings
            else DEFAULT_HEALTH_PATH
        )

    def record_sent(self, server: ids.ServerId, now: float) -> None:
        """Records a request that the next probe result may not include."""
        self._sent_at.setdefault(server, []).append(now)

    def forget_unanswered(self, since: float) -> None:
        """Forgets that probes of services were not answered since a time."""
        for service, until in list(self._no_load_until.items()):
            if until - NO_LOAD_REPROBE_SECONDS >= since:
                del self._no_load_until[service]

    def retain(self, servers: set[ids.ServerId]) -> None:
        """Drops the state of all servers but the given ones."""
        for table in (self._recent_results, self._sent_at):
            for server in list(table):
                if server not in servers:
                    del table[server]

    def _add_stale_results(
        self,
        listed_servers: list[catalogue.ListedServer],
        probed_servers: list[ProbedServer],
    ) -> None:
        now = boot_clock.now()
        for listed_server in listed_servers:
            recent = self._recent_results.get(listed_server.entry.id)
            if recent is None or (
                now - recent.received_at > STALE_RESULT_LIFETIME_SECONDS
            ):
                continue
            self._add_probed_server(
                probed_servers, listed_server, recent.result
            )

    def _sharing_daemon_count(self) -> int:
        return probe_budgets.sharing_daemon_count(
            self._member_list.fleet_size(), self._cut_off_count()
        )

    async def _probe_all(
        self,
        listed_servers: list[catalogue.ListedServer],
        probed_servers: list[ProbedServer],
    ) -> None:
        """Probes servers; waits only briefly once one has answered."""
        tasks = {
            self._start_probe(listed_server): listed_server
            for listed_server in listed_servers
        }
        pending = set(tasks)
        # Recent results count as answers, so that a server without one delays
        # no request that could go to another.
        timeout = STRAGGLER_WAIT_SECONDS if probed_servers else None
        while pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            # Sets of tasks have no order that a seed decides.
            for task, listed_server in tasks.items():
                if task in done:
                    self._add_probed_server(
                        probed_servers, listed_server, task.result()
                    )
            if probed_servers:
                timeout = STRAGGLER_WAIT_SECONDS

    def _start_probe(
        self, listed_server: catalogue.ListedServer
    ) -> "asyncio.Task[probe_results.ProbeResult | None]":
        server = listed_server.entry.id
        task = self._running_probes.get(server)
        if task is None:
            probe = self._probe(listed_server)
            task = asyncio.get_running_loop().create_task(probe)
            self._running_probes[server] = task
        return task

    async def _probe(
        self, listed_server: catalogue.ListedServer
    ) -> probe_results.ProbeResult | None:
        server = listed_server.entry.id
        sent_at = boot_clock.now()
        # Requests that the server does not have yet are not ignored.
        _find_silent(self._busy_connections(server))
        path = self.health_path(listed_server.entry.service)
        try:
            result = await self._probe_client.probe(listed_server.entry, path)
        finally:
            self._running_probes.pop(server, None)
        now = boot_clock.now()
        if result is None:
            self._passive_health.record_unanswered_probe(server, now)
        elif result.load is not None and self._passive_health.record_load(
            server,
            result.load,
            (silent := _find_silent(self._busy_connections(server))).values(),
            sent_at,
            now,
        ):
            _log.info(
                "server ignores requests",
                extra={
                    "server": server,
                    "running": result.load.running,
                    "waiting": result.load.waiting,
                    "in_flight": self._passive_health.in_flight_count(server),
                },
            )
            # One that is full ignores single requests and serves others.
            if result.load.running + result.load.waiting == 0:
                self._start_hang_check(listed_server, silent, now - sent_at)
        # The result includes requests sent before the probe, not later ones.
        sent_later = [t for t in self._sent_at.pop(server, ()) if t >= sent_at]
        if sent_later:
            self._sent_at[server] = sent_later
        self._recent_results[server] = _TimedResult(now, result)
        return result

    def _start_hang_check(
        self,
        listed_server: catalogue.ListedServer,
        silent: Collection[connection.ClientConnection],
        answer_seconds: float,
    ) -> None:
        """Starts to verify that a server hangs, at once if the budget permits.

        One check a second needs no budget: a server that hangs would otherwise
        get requests of all daemons while the budget is spent. A check that the
        budget denies is that of the next second, if no other one is.
        """
        server = listed_server.entry.id
        if server in self._hang_checks:
            return
        now = boot_clock.now()
        delay = max(0.0, self._hang_checked_at + MIN_HANG_NOTICE_SECONDS - now)
        if delay <= 0.0:
            self._announce_hang(server, True)
        elif self._probe_budget.try_acquire(
            1,
            server_count=self._catalogue.server_count,
            daemon_count=self._sharing_daemon_count(),
            now=now,
        ):
            delay = 0.0
        elif delay > MIN_HANG_NOTICE_SECONDS:
            return
        self._hang_checked_at = max(self._hang_checked_at, now + delay)
        # An answer that the probe's overtook needs as long at most.
        pause = delay + server_health.HANG_CHECK_SECONDS + answer_seconds
        for each in silent:
            each.hold(pause + HANG_PROBE_SECONDS)
        self._hang_checks[server] = asyncio.get_running_loop().create_task(
            self._check_hang(listed_server, silent, pause)
        )

    async def _check_hang(
        self,
        listed_server: catalogue.ListedServer,
        silent: Collection[connection.ClientConnection],
        pause_seconds: float,
    ) -> None:
        """Probes a server again and records a hang if it is confirmed."""
        server = listed_server.entry.id
        instance = listed_server.entry.instance
        try:
            await asyncio.sleep(pause_seconds)
            sent_at = boot_clock.now()
            result = await self._probe(listed_server)
        finally:
            self._hang_checks.pop(server, None)
        current = self._catalogue.find(server)
        if (
            result is not None
            and result.load is not None
            and current is not None
            and current.entry.instance == instance
            and self._passive_health.confirms_hang(
                server, result.load, _find_silent(silent).values(), sent_at
            )
        ):
            self._record_hang(listed_server, boot_clock.now())

    def handle_hang_notice(
        self, server: ids.ServerId, is_suspicion: bool
    ) -> None:
        """Handles a notice of a peer whose requests a server ignores."""
        listed_server = self._catalogue.find(server)
        if listed_server is not None:
            now = boot_clock.now()
            if is_suspicion:
                self._passive_health.record_hang_suspicion(server, now)
                return
            if not self._passive_health.is_ejected(server, now):
                _log.info("server hangs", extra={"server": server})
            self._passive_health.record_hang(
                server, self._servers_beside(listed_server), now, is_told=True
            )

    def _servers_beside(
        self, listed_server: catalogue.ListedServer
    ) -> list[ids.ServerId]:
        """Returns the servers of the same service."""
        service = listed_server.entry.service
        return [
            each.entry.id
            for each in self._catalogue.usable_servers(
                service, boot_clock.now()
            )
        ]

    def _record_hang(
        self, listed_server: catalogue.ListedServer, now: float
    ) -> None:
        server = listed_server.entry.id
        self._passive_health.record_hang(
            server, self._servers_beside(listed_server), now, is_told=False
        )
        # Several at once point to the network of this daemon.
        if now < self._announced_hang_at + MIN_HANG_NOTICE_SECONDS:
            return
        self._announced_hang_at = now
        self._announce_hang(server, False)

    def _add_probed_server(
        self,
        probed_servers: list[ProbedServer],
        listed_server: catalogue.ListedServer,
        result: probe_results.ProbeResult | None,
    ) -> None:
        if result is None or not result.is_healthy:
            return
        entry = listed_server.entry
        if result.load is None:
            self._no_load_until[entry.service] = (
                boot_clock.now() + NO_LOAD_REPROBE_SECONDS
            )
            probed_servers.append(self._make_server_without_load(listed_server))
            return
        self._reporting_services.add(entry.service)
        probed_servers.append(
            ProbedServer(
                listed_server, result.load, self._count_unreported(entry.id)
            )
        )

    def _count_unreported(self, server: ids.ServerId) -> int:
        """Returns the number of requests that a load does not include."""
        sent_at = self._sent_at.get(server)
        if not sent_at:
            return 0
        has_peers = self._member_list.fleet_size() > 1
        return len(sent_at) + (CONCURRENT_COUNT if has_peers else 0)

    def _make_server_without_load(
        self, listed_server: catalogue.ListedServer
    ) -> ProbedServer:
        in_flight = self._passive_health.in_flight_count(listed_server.entry.id)
        return ProbedServer(listed_server, None, in_flight)


def _find_silent(
    connections: Collection[connection.ClientConnection],
) -> dict[connection.ClientConnection, float]:
    """Returns the connections with a request that the server has, and since.

    Those on which an answer has begun are left out.
    """
    return {
        each: since
        for each in connections
        if (since := each.find_silent_since()) is not None
    }
