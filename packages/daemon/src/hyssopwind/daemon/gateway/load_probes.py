"""Probes servers for their load, within the fleet's probe budget.

A probe of a server that does not report its load occupies a slot like a
request and yields nothing. Such a service is not probed for some time; the
requests in flight from this daemon then stand in for the load of its servers.
"""

import asyncio
import dataclasses

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.dispatch import probing
from hyssopwind.core.dispatch import server_health
from hyssopwind.core.fleet import fleet_members
from hyssopwind.daemon.gateway import health
from hyssopwind.transport import clock

DEFAULT_HEALTH_PATH = "/health"  # where the configuration names none
# Wait for the other probe results after the first one.
STRAGGLER_WAIT_SECONDS = 0.006
# Time until a service that reported no load is probed again.
NO_LOAD_REPROBE_SECONDS = 20.0
# One probe result serves requests that arrive together.
PROBE_RESULT_LIFETIME_SECONDS = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class ProbedServer:
    """A server that may be picked, with its load.

    Attributes:
        listed_server: the server.
        load: its load by a recent probe; `None` where there is no report.
        in_flight: requests of this daemon that the load does not include, or
            all of them where `load` is `None`.
    """

    listed_server: catalogue.ListedServer
    load: probe_results.Load | None
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedResult:
    """The result of a probe and when it came.

    Attributes:
        received_at: monotonic time of the result.
        result: the result; `None` where the server did not answer.
    """

    received_at: float
    result: probe_results.ProbeResult | None


class LoadProber:
    """Sends the load probes of one daemon and shares their results."""

    def __init__(
        self,
        server_catalogue: catalogue.Catalogue,
        passive_health: server_health.PassiveHealth,
        probe_client: health.ProbeClient,
        member_list: fleet_members.MemberList,
        probe_budget: probing.ProbeBudget,
    ):
        self._catalogue = server_catalogue
        self._passive_health = passive_health
        self._probe_client = probe_client
        self._member_list = member_list
        self._probe_budget = probe_budget
        self._no_load_until: dict[ids.ServiceId, float] = {}
        self._reporting_services: set[ids.ServiceId] = set()
        self._recent_results: dict[ids.ServerId, _TimedResult] = {}
        self._running_probes: dict[
            ids.ServerId, asyncio.Task[probe_results.ProbeResult | None]
        ] = {}
        self._cold_until: dict[ids.ServerId, float] = {}
        self._sent_at: dict[ids.ServerId, list[float]] = {}

    async def probe_servers(
        self,
        service: ids.ServiceId,
        listed_servers: list[catalogue.ListedServer],
    ) -> list[ProbedServer]:
        """Returns the servers that accept requests, by a probe of each.

        Where the service reports no load, or the probe budget is spent, all
        servers are returned without a load.
        """
        now = clock.now()
        if now < self._no_load_until.get(service, 0.0):
            return [
                self._load_from_own_counts(listed_server)
                for listed_server in listed_servers
            ]
        loads: list[ProbedServer] = []
        unprobed: list[catalogue.ListedServer] = []
        for listed_server in listed_servers:
            recent = self._recent_results.get(listed_server.entry.id)
            if (
                recent is None
                or now - recent.received_at >= PROBE_RESULT_LIFETIME_SECONDS
            ):
                unprobed.append(listed_server)
                continue
            self._add_load(loads, listed_server, recent.result)
        allowed = self._probe_budget.try_acquire(
            len(unprobed),
            server_count=self._catalogue.server_count,
            daemon_count=self._member_list.fleet_size(),
            now=now,
        )
        await self._probe_all(unprobed[:allowed], loads)
        if loads or (allowed and service in self._reporting_services):
            return loads
        if service not in self._reporting_services:
            # Where probes wait for a slot like requests, a probe without an
            # answer does not show that the server is down.
            self._no_load_until[service] = now + NO_LOAD_REPROBE_SECONDS
        # Otherwise the probe budget is spent.
        return [
            self._load_from_own_counts(listed_server)
            for listed_server in listed_servers
        ]

    def health_path(self, service: ids.ServiceId) -> str:
        """Returns the path at which the servers of a service are probed."""
        service_settings = self._catalogue.service_settings(service)
        return (
            service_settings.health_path
            if service_settings
            else DEFAULT_HEALTH_PATH
        )

    def is_cold(
        self, listed_server: catalogue.ListedServer, now: float
    ) -> bool:
        """Whether a server is cold, by its entry or by its probe results."""
        until = self._cold_until.get(
            listed_server.entry.id, listed_server.cold_until
        )
        return now < max(until, listed_server.cold_until)

    def record_sent(self, server: ids.ServerId, now: float) -> None:
        """Records a request that the next probe result may not include."""
        self._sent_at.setdefault(server, []).append(now)

    def retain(self, servers: set[ids.ServerId]) -> None:
        """Drops the state of all servers but these."""
        for table in (self._recent_results, self._cold_until, self._sent_at):
            for server in list(table):
                if server not in servers:
                    del table[server]

    async def _probe_all(
        self,
        listed_servers: list[catalogue.ListedServer],
        loads: list[ProbedServer],
    ) -> None:
        """Probes servers; waits only briefly once one has answered."""
        tasks = {
            self._start_probe(listed_server): listed_server
            for listed_server in listed_servers
        }
        pending = set(tasks)
        timeout = None
        while pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for task in done:
                self._add_load(loads, tasks[task], task.result())
            if loads:
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
        sent = clock.now()
        path = self.health_path(listed_server.entry.service)
        try:
            result = await self._probe_client.probe(listed_server.entry, path)
        finally:
            self._running_probes.pop(server, None)
        now = clock.now()
        if result is None:
            self._passive_health.record_unanswered_probe(server, now)
        elif result.warmup_left_seconds > 0.0:
            until = now + result.warmup_left_seconds
            previous = self._cold_until.get(server, until)
            self._cold_until[server] = max(until, previous)
        # The result includes requests sent before the probe, not later ones.
        later = [at for at in self._sent_at.pop(server, ()) if at >= sent]
        if later:
            self._sent_at[server] = later
        self._recent_results[server] = _TimedResult(now, result)
        return result

    def _add_load(
        self,
        loads: list[ProbedServer],
        listed_server: catalogue.ListedServer,
        result: probe_results.ProbeResult | None,
    ) -> None:
        if result is None or not result.is_healthy:
            return
        entry = listed_server.entry
        if result.load is None:
            self._no_load_until[entry.service] = (
                clock.now() + NO_LOAD_REPROBE_SECONDS
            )
            loads.append(self._load_from_own_counts(listed_server))
            return
        self._reporting_services.add(entry.service)
        not_included = len(self._sent_at.get(entry.id, ()))
        loads.append(ProbedServer(listed_server, result.load, not_included))

    def _load_from_own_counts(
        self, listed_server: catalogue.ListedServer
    ) -> ProbedServer:
        in_flight = self._passive_health.in_flight(listed_server.entry.id)
        return ProbedServer(listed_server, None, in_flight)
