"""Owner of a pool: grants slots, queues requests, reports the pool's state.

Daemons report cumulative counts, so the next load update makes up for a lost
or repeated one. A grant counts as in flight until a load update of its daemon
includes it.

References:
    Trials of sharing few slots among many daemons: docs/design/pools.md.
"""

import math
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from hyssopwind.core import buckets
from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core import messages
from hyssopwind.core.pools import owner_state
from hyssopwind.core.pools import queue
from hyssopwind.core.pools import ranking
from hyssopwind.core.pools import server_load
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import snapshot

# Time after which an unused grant expires and its slot is free again.
GRANT_VALIDITY_SECONDS = 1.0
# Time without a message after which a daemon with requests in flight is
# dropped, and its counts with it.
DAEMON_TIMEOUT_SECONDS = 3.0
# Time after its last message for which a daemon receives summaries.
SUMMARY_SUBSCRIPTION_SECONDS = 10.0
# Shortest time between two summaries that differ.
SUMMARY_INTERVAL_SECONDS = 0.02
# Time after which an unchanged summary is repeated.
SUMMARY_REFRESH_SECONDS = 0.1
QUEUED_REQUESTS_PER_SLOT = 100
# Latency that is assumed before the first answer.
DEFAULT_LATENCY_SECONDS = 0.01
MIN_RETRY_AFTER_SECONDS = 0.05
# The pool is open while a smaller share of its slots is in use.
MAX_OPEN_LOAD_RATIO = 0.75
MIN_RAMP_RATIO = 0.1
# Requests of this many seconds at the declared rate may arrive at once.
LOAD_BURST_SECONDS = 0.2


class PoolOwner:
    """Admits requests to the servers of one pool.

    All times are monotonic seconds.
    """

    def __init__(
        self,
        pool: ids.PoolId,
        service: snapshot.Service,
        monitor: invariants.InvariantMonitor,
        now: float,
    ):
        self._pool = pool
        self._data_centre = ids.pool_data_centre(pool)
        self._service = service
        self._monitor = monitor
        self._servers: dict[ids.ServerId, server_load.ServerLoad] = {}
        self._daemons: dict[ids.DaemonId, owner_state.DaemonState] = {}
        self._queue = queue.WaitingQueue()
        self._inherited_start_ids: Mapping[ids.ServerId, str] = {}
        self._recovered_at = float("-inf")
        self._lease_held = False
        rate = self._declared_load()
        self._load_bucket = buckets.TokenBucket(
            rate, self._load_burst(rate), now
        )

    @property
    def pool(self) -> ids.PoolId:
        """The pool."""
        return self._pool

    @property
    def servers(self) -> Mapping[ids.ServerId, server_load.ServerLoad]:
        """The servers of the pool."""
        return self._servers

    @property
    def queue_length(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def is_data_centre_out(self) -> bool:
        """Whether the settings put the data centre out for this service."""
        state = self._service.data_centre_state(self._data_centre)
        return state is documents.DataCentreState.OUT

    def inherit_warm_servers(self, warm: Mapping[ids.ServerId, str]) -> None:
        """Sets the servers that the previous owner reported as warm.

        Args:
            warm: their start identities.
        """
        self._inherited_start_ids = warm

    def apply_service_settings(
        self, service: snapshot.Service, now: float
    ) -> None:
        """Applies changed settings of the service."""
        was_out = self.is_data_centre_out
        self._service = service
        if was_out and not self.is_data_centre_out:
            self._recovered_at = now
        for load in self._servers.values():
            load.set_slots(service.settings.slots)
        rate = self._declared_load()
        if rate == self._load_bucket.rate:
            return
        self._load_bucket = buckets.TokenBucket(
            rate, self._load_burst(rate), now, is_full=False
        )

    def set_servers(self, servers: Iterable[ids.ServerId]) -> None:
        """Sets the servers that are listed as live."""
        listed = set(servers)
        for server in list(self._servers):
            if server not in listed:
                del self._servers[server]
        for server in sorted(listed - self._servers.keys()):
            load = server_load.ServerLoad(server, self._service.settings)
            start_id = self._inherited_start_ids.get(server)
            if start_id is not None:
                load.warmup.mark_warm(start_id)
            self._servers[server] = load
            load.add_in_flight(self._count_in_flight(server))

    def handle_load_update(
        self,
        sender: messages.DaemonIdentity,
        load_update: messages.LoadUpdate,
        now: float,
    ) -> list[messages.Outgoing]:
        """Applies a load update and grants free slots to queued requests.

        The first load update of a process covers its time under the previous
        owner, so only its start identities and requests in flight are applied.
        """
        existing = self._daemons.get(sender.daemon)
        is_first_update = existing is None or existing.sender != sender
        daemon = self._find_or_add_daemon(sender, now)
        self._remove_included_grants(daemon, load_update.last_grant_number)
        if not is_first_update:
            self._load_bucket.charge(
                max(
                    0,
                    load_update.direct_request_count
                    - daemon.direct_request_count,
                ),
                now,
            )
        daemon.direct_request_count = load_update.direct_request_count
        for server_update in load_update.servers:
            self._apply_server_update(
                daemon, server_update, is_first_update, now
            )
        return self._serve_queue(now, lease_held=None)

    def handle_admission_request(
        self,
        sender: messages.DaemonIdentity,
        request: messages.AdmissionRequest,
        now: float,
        lease_held: bool,
    ) -> list[messages.Outgoing]:
        """Grants a slot, queues the request or refuses it."""
        self._lease_held = lease_held
        outgoing = self.handle_load_update(sender, request.load_update, now)
        waiting = queue.WaitingRequest(
            sender, request, now, now + request.timeout_seconds
        )
        refusal = self._check_admission(waiting, now)
        if refusal is not None:
            return [*outgoing, refusal]
        self._queue.push(waiting)
        outgoing += self._serve_queue(now, lease_held)
        if len(self._queue) > self._queue_limit():
            last = self._queue.pop_last()
            assert last is not None
            outgoing.append(
                self._make_refusal(
                    last,
                    messages.RefusalCause.OVERLOADED,
                    self._expected_wait(now),
                )
            )
        return outgoing

    def cancel_admission(
        self, sender: messages.DaemonIdentity, admission_id: int
    ) -> None:
        """Removes a cancelled admission request from the queue."""
        self._queue.cancel(sender, admission_id)

    def handle_load_report(
        self, server: ids.ServerId, report: server_load.LoadReport, now: float
    ) -> None:
        """Applies a load report of a server."""
        load = self._servers.get(server)
        if load is not None:
            load.record_load_report(report, now)

    def tick(self, now: float, lease_held: bool) -> list[messages.Outgoing]:
        """Drops expired state, serves the queue, refuses expired requests."""
        self._drop_timed_out_daemons(now)
        self._drop_unused_grants(now)
        outgoing = self._serve_queue(now, lease_held)
        for waiting in self._queue.pop_expired(now):
            outgoing.append(
                self._make_refusal(
                    waiting,
                    messages.RefusalCause.OVERLOADED,
                    self._expected_wait(now),
                )
            )
        return outgoing

    def due_summaries(self, now: float) -> list[messages.Outgoing]:
        """Returns the summaries that are due and records them as sent."""
        outgoing = []
        is_open = self.is_open(now)
        for name, daemon in self._daemons.items():
            if now - daemon.last_message_at > SUMMARY_SUBSCRIPTION_SECONDS:
                continue
            elapsed = now - daemon.summary_sent_at
            if elapsed < SUMMARY_INTERVAL_SECONDS:
                continue
            summary = self._make_summary(daemon, is_open, now)
            if summary == daemon.summary and elapsed < SUMMARY_REFRESH_SECONDS:
                continue
            daemon.summary = summary
            daemon.summary_sent_at = now
            outgoing.append(messages.Outgoing(name, summary))
        return outgoing

    def is_open(self, now: float) -> bool:
        """Returns whether daemons may send requests without a grant."""
        if (
            self.is_data_centre_out
            or len(self._queue)
            or self._recovery_ramp_ratio(now) < 1.0
        ):
            return False
        if self._load_bucket.available_tokens(now) < 1.0:
            return False
        slots = 0
        in_flight = 0
        for load in self._servers.values():
            if not load.is_usable(now) or not load.may_send_direct:
                continue
            if load.in_flight > load.limit:
                return False
            slots += self._service.settings.slots
            in_flight += load.in_flight
        return in_flight < MAX_OPEN_LOAD_RATIO * slots

    def explain(self, now: float) -> list[owner_state.ServerExplanation]:
        """Returns the state that explains why each server is used or not."""
        return [
            owner_state.ServerExplanation(
                load.server,
                load.in_flight,
                load.limit,
                load.is_usable(now),
                load.is_cold,
                load.latency_at(now),
            )
            for load in self._servers.values()
        ]

    def recount_in_flight(self) -> dict[ids.ServerId, int]:
        """Returns the requests in flight, counted again from the load updates.

        Tests compare them with the counts that are updated with each message.
        """
        return {name: self._count_in_flight(name) for name in self._servers}

    def _declared_load(self) -> float:
        return self._service.settings.load.get(self._data_centre, 0.0)

    def _load_burst(self, rate: float) -> float:
        return max(1.0, rate * LOAD_BURST_SECONDS)

    def _recovery_ramp_ratio(self, now: float) -> float:
        """Returns the elapsed part of the ramp after a recovery."""
        declared = self._service.data_centres.get(self._data_centre)
        if declared is None or declared.return_ramp <= 0.0:
            return 1.0
        ratio = (now - self._recovered_at) / declared.return_ramp
        return min(1.0, max(MIN_RAMP_RATIO, ratio))

    def _find_or_add_daemon(
        self, sender: messages.DaemonIdentity, now: float
    ) -> owner_state.DaemonState:
        daemon = self._daemons.get(sender.daemon)
        if daemon is not None and daemon.sender != sender:
            self._drop_daemon(daemon)
            daemon = None
        if daemon is None:
            daemon = owner_state.DaemonState(sender, now)
            self._daemons[sender.daemon] = daemon
        daemon.last_message_at = now
        return daemon

    def _remove_included_grants(
        self, daemon: owner_state.DaemonState, last_grant_number: int
    ) -> None:
        remaining = []
        for grant in daemon.outstanding_grants:
            if grant.number > last_grant_number:
                remaining.append(grant)
                continue
            self._add_in_flight(grant.server, -1)
        daemon.outstanding_grants = remaining

    def _apply_server_update(
        self,
        daemon: owner_state.DaemonState,
        new: messages.ServerLoadUpdate,
        is_first_update: bool,
        now: float,
    ) -> None:
        old = daemon.server_updates.get(new.server)
        daemon.server_updates[new.server] = new
        load = self._servers.get(new.server)
        if load is None:
            return
        load.add_in_flight(new.in_flight - (old.in_flight if old else 0))
        if is_first_update:
            load.warmup.record_start(new.start_id)
            return
        load.record_load_update(old, new, now)

    def _add_in_flight(self, server: ids.ServerId, change: int) -> None:
        load = self._servers.get(server)
        if load is not None:
            load.add_in_flight(change)

    def _count_in_flight(self, server: ids.ServerId) -> int:
        total = 0
        for daemon in self._daemons.values():
            update = daemon.server_updates.get(server)
            total += update.in_flight if update else 0
            total += sum(
                grant.server == server for grant in daemon.outstanding_grants
            )
        return total

    def _drop_daemon(self, daemon: owner_state.DaemonState) -> None:
        for update in daemon.server_updates.values():
            self._add_in_flight(update.server, -update.in_flight)
        for grant in daemon.outstanding_grants:
            self._add_in_flight(grant.server, -1)
        self._queue.remove_daemon_requests(daemon.sender)
        del self._daemons[daemon.sender.daemon]

    def _drop_timed_out_daemons(self, now: float) -> None:
        for daemon in list(self._daemons.values()):
            if now - daemon.last_message_at <= DAEMON_TIMEOUT_SECONDS:
                continue
            if any(
                update.in_flight for update in daemon.server_updates.values()
            ):
                self._drop_daemon(daemon)
                continue
            if now - daemon.last_message_at > SUMMARY_SUBSCRIPTION_SECONDS:
                self._drop_daemon(daemon)

    def _drop_unused_grants(self, now: float) -> None:
        for daemon in self._daemons.values():
            remaining = []
            for grant in daemon.outstanding_grants:
                if now - grant.granted_at <= GRANT_VALIDITY_SECONDS:
                    remaining.append(grant)
                    continue
                self._add_in_flight(grant.server, -1)
            daemon.outstanding_grants = remaining

    def _check_admission(
        self, waiting: queue.WaitingRequest, now: float
    ) -> messages.Outgoing | None:
        """Returns a refusal if the request cannot be served in time."""
        if self.is_data_centre_out:
            cause = messages.RefusalCause.DATA_CENTRE_OUT
            return self._make_refusal(waiting, cause, 1.0)
        usable = [s for s in self._servers.values() if s.is_usable(now)]
        if not usable:
            cause = messages.RefusalCause.NO_SERVER
            return self._make_refusal(waiting, cause, 1.0)
        wait = max(
            self._expected_wait(now), self._load_bucket.seconds_until_token(now)
        )
        if self._find_free_server(waiting, now) is not None:
            wait = self._load_bucket.seconds_until_token(now)
        if wait <= max(
            0.0,
            waiting.admission_request.timeout_seconds - self._mean_latency(now),
        ):
            return None
        cause = messages.RefusalCause.OVERLOADED
        return self._make_refusal(waiting, cause, wait)

    def _make_refusal(
        self,
        waiting: queue.WaitingRequest,
        cause: messages.RefusalCause,
        retry_after_seconds: float,
    ) -> messages.Outgoing:
        refusal = messages.Refusal(
            pool=self._pool,
            admission_id=waiting.admission_request.admission_id,
            cause=cause,
            retry_after_seconds=max(
                MIN_RETRY_AFTER_SECONDS, min(retry_after_seconds, 60.0)
            ),
        )
        return messages.Outgoing(waiting.sender.daemon, refusal)

    def _mean_latency(self, now: float) -> float:
        """Returns the mean of the known server latencies in seconds."""
        latencies = [s.latency_at(now) for s in self._servers.values()]
        known_latencies = [latency for latency in latencies if latency > 0.0]
        if not known_latencies:
            return DEFAULT_LATENCY_SECONDS
        return sum(known_latencies) / len(known_latencies)

    def _expected_wait(self, now: float) -> float:
        """Returns the expected wait in seconds at the end of the queue."""
        capacity = sum(load.limit for load in self._servers.values())
        return (
            (len(self._queue) + 1) * self._mean_latency(now) / max(1, capacity)
        )

    def _queue_limit(self) -> int:
        slots = self._service.settings.slots * len(self._servers)
        return QUEUED_REQUESTS_PER_SLOT * max(1, slots)

    def _serve_queue(
        self, now: float, lease_held: bool | None
    ) -> list[messages.Outgoing]:
        if lease_held is not None:
            self._lease_held = lease_held
        outgoing: list[messages.Outgoing] = []
        while not self.is_data_centre_out:
            waiting = self._queue.peek()
            if waiting is None or self._load_bucket.available_tokens(now) < 1.0:
                break
            load = self._find_free_server(waiting, now)
            if load is None:
                break
            self._queue.pop()
            if waiting.deadline <= now:
                cause = messages.RefusalCause.OVERLOADED
                outgoing.append(
                    self._make_refusal(waiting, cause, self._expected_wait(now))
                )
                continue
            outgoing.append(self._grant(waiting, load, now))
        return outgoing

    def _grant(
        self,
        waiting: queue.WaitingRequest,
        load: server_load.ServerLoad,
        now: float,
    ) -> messages.Outgoing:
        daemon = self._daemons[waiting.sender.daemon]
        daemon.last_grant_number += 1
        daemon.outstanding_grants.append(
            owner_state.OutstandingGrant(
                daemon.last_grant_number, load.server, now
            )
        )
        load.add_in_flight(1)
        self._load_bucket.charge(1.0, now)
        self._monitor.check(
            invariants.Invariant.COLD_LIMIT,
            not load.is_cold or load.in_flight <= load.limit,
            f"server {load.server}",
        )
        grant = messages.Grant(
            pool=self._pool,
            admission_id=waiting.admission_request.admission_id,
            server=load.server,
            grant_number=daemon.last_grant_number,
            queued_seconds=now - waiting.arrived_at,
        )
        return messages.Outgoing(waiting.sender.daemon, grant)

    def _find_free_server(
        self, waiting: queue.WaitingRequest, now: float
    ) -> server_load.ServerLoad | None:
        """Returns the free server with the shortest expected time.

        Servers that the request tried before come last.
        """
        best = None
        best_rank = (True, 0.0, 0.0)
        default_latency = self._lowest_latency(now)
        slots = self._service.settings.slots
        for load in self._free_servers(now):
            latency = load.latency_at(now) or default_latency
            rank = (
                load.server in waiting.admission_request.tried_servers,
                ranking.expected_time(latency, load.in_flight, slots),
                load.in_flight / load.limit,
            )
            if best is not None and rank >= best_rank:
                continue
            best, best_rank = load, rank
        return best

    def _lowest_latency(self, now: float) -> float:
        latencies = [s.latency_at(now) for s in self._servers.values()]
        return ranking.lowest_latency(latencies) or DEFAULT_LATENCY_SECONDS

    def _free_servers(self, now: float) -> Iterator[server_load.ServerLoad]:
        for load in self._servers.values():
            if load.in_flight >= load.limit_at(now):
                continue
            if not load.is_usable(now):
                continue
            if load.is_cold and not self._lease_held:
                continue
            yield load

    def _count_subscribers(self, now: float) -> int:
        return sum(
            now - daemon.last_message_at <= SUMMARY_SUBSCRIPTION_SECONDS
            for daemon in self._daemons.values()
        )

    def _make_summary(
        self, daemon: owner_state.DaemonState, is_open: bool, now: float
    ) -> messages.Summary:
        entries = []
        lowest_latency = self._lowest_latency(now)
        subscriber_count = max(1, self._count_subscribers(now))
        for load in self._servers.values():
            if not load.is_usable(now):
                continue
            update = daemon.server_updates.get(load.server)
            daemon_in_flight = update.in_flight if update else 0
            daemon_in_flight += sum(
                grant.server == load.server
                for grant in daemon.outstanding_grants
            )
            free_capacity = load.limit - load.in_flight
            entries.append(
                messages.ServerSummary(
                    load.server,
                    load.limit,
                    max(0, load.in_flight - daemon_in_flight),
                    daemon_in_flight
                    + math.ceil(max(0, free_capacity) / subscriber_count),
                    load.may_send_direct,
                    load.warmup.start_id,
                    ranking.slowness_log2(load.latency_at(now), lowest_latency),
                )
            )
        wait = 0.0
        if len(self._queue):
            wait = round(self._expected_wait(now), 3)
        return messages.Summary(
            pool=self._pool,
            is_open=is_open,
            servers=entries,
            expected_wait_seconds=wait,
        )
