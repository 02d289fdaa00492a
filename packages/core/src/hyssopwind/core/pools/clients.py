"""Client side of a pool: finds servers for the requests of one daemon.

While the owner reports that the pool is open, a request is sent directly to
the least loaded server and reported in the next load update. Otherwise the
daemon sends an admission request to the owner, and the request waits for a
grant. While no owner answers, the daemon uses its static share of the limits in
the last summary.
"""

import dataclasses
import random
from collections.abc import Mapping
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.pools import ranking
from hyssopwind.core.pools import shares
from hyssopwind.core.settings import documents

SUMMARY_VALIDITY_SECONDS = 0.25
# Longest time between a grant and its use; it ends before the owner frees the
# slot of an unused grant.
GRANT_VALIDITY_SECONDS = 0.5
# Shortest time between two load updates of direct requests.
LOAD_UPDATE_INTERVAL_SECONDS = 0.02
# Time after which unchanged load is reported again while requests are in
# flight.
LOAD_UPDATE_REFRESH_SECONDS = 1.0
# Time without an answer of the owner after which shares are used.
OWNER_TIMEOUT_SECONDS = 0.15
# A server whose last answer is older may have restarted.
ANSWER_VALIDITY_SECONDS = 0.5
# Time for which a server is not used without a grant after it failed, shed a
# request or restarted.
SUSPECT_SECONDS = 1.0
# A process numbers its admission requests from a random number of this size, so
# that it ignores grants for requests of an earlier process.
ADMISSION_ID_BITS = 48

PRIORITY_RANKS = {
    documents.Priority.HIGH: 0,
    documents.Priority.NORMAL: 1,
    documents.Priority.LOW: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SendDirect:
    """The request may be sent to a server now, without a grant."""

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAdmission:
    """The request waits until the owner answers an admission request."""

    admission_request: messages.AdmissionRequest


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """The daemon has no share left, and no owner answers.

    Attributes:
        retry_after_seconds: seconds after which another attempt may succeed.
    """

    retry_after_seconds: float


Plan: TypeAlias = SendDirect | RequestAdmission | NoCapacity

_Limits: TypeAlias = dict[ids.ServerId, int]
_ShareInputs: TypeAlias = tuple[_Limits, tuple[ids.DaemonId, ...]]


@dataclasses.dataclass(slots=True)
class ServerCounts:
    """Requests of this daemon at one server.

    Attributes:
        in_flight: requests in flight at the server.
        completed: whole answers.
        shed: refusals of the server for lack of capacity.
        failed: reset or timed-out attempts.
        start_id: start identity that the server sent last; empty if none.
        total_latency_seconds: sum of the latencies of all whole answers, in
            seconds.
        refused_connections: attempts whose connection was refused at once.
        suspect_until: monotonic time until which the server is not used
            without a grant.
        completed_at: monotonic time of the last whole answer.
    """

    in_flight: int = 0
    completed: int = 0
    shed: int = 0
    failed: int = 0
    start_id: str = ""
    total_latency_seconds: float = 0.0
    refused_connections: int = 0
    suspect_until: float = float("-inf")
    completed_at: float = float("-inf")


class PoolClient:
    """Finds servers of one pool for the requests of one daemon.

    All times are monotonic seconds.
    """

    def __init__(
        self,
        pool: ids.PoolId,
        self_id: ids.DaemonId,
        random_source: random.Random,
    ):
        self._pool = pool
        self._self_id = self_id
        self._random = random_source
        self._counts: dict[ids.ServerId, ServerCounts] = {}
        self._live_servers: frozenset[ids.ServerId] = frozenset()
        self._daemons: tuple[ids.DaemonId, ...] = ()
        self._summary: messages.Summary | None = None
        self._summary_time = float("-inf")
        self._owner: messages.DaemonIdentity | None = None
        self._last_grant_number = 0
        self._direct_count = 0
        self._first_admission_id = random_source.getrandbits(ADMISSION_ID_BITS)
        self._last_admission_id = self._first_admission_id
        self._request_times: dict[int, float] = {}
        self._changed_servers: set[ids.ServerId] = set()
        self._reported_at = float("-inf")
        self._has_owner_timed_out = False
        self._shares: dict[ids.ServerId, int] = {}
        self._shares_inputs: _ShareInputs | None = None

    @property
    def pool(self) -> ids.PoolId:
        """The pool."""
        return self._pool

    @property
    def live_servers(self) -> frozenset[ids.ServerId]:
        """The servers that are listed as live."""
        return self._live_servers

    @property
    def random_source(self) -> random.Random:
        """The random number generator."""
        return self._random

    @property
    def in_flight(self) -> int:
        """Requests of this daemon in flight at the servers of the pool."""
        return sum(counts.in_flight for counts in self._counts.values())

    @property
    def server_counts(self) -> Mapping[ids.ServerId, ServerCounts]:
        """The requests of this daemon by server."""
        return self._counts

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight and nothing is left to report."""
        return not self._changed_servers and self.in_flight == 0

    def set_servers(
        self,
        live_servers: frozenset[ids.ServerId],
        daemons: tuple[ids.DaemonId, ...],
    ) -> None:
        """Sets the live servers and the daemons that share the limits."""
        if live_servers == self._live_servers and daemons == self._daemons:
            return
        self._live_servers = live_servers
        self._daemons = daemons
        for server in list(self._counts):
            counts = self._counts[server]
            if server not in live_servers and counts.in_flight == 0:
                del self._counts[server]
                self._changed_servers.discard(server)

    def is_live(self, server: ids.ServerId) -> bool:
        """Returns whether a server is listed as live."""
        return server in self._live_servers

    def expected_wait(self, now: float) -> float:
        """Returns the wait in seconds that the owner expects.

        It is zero without a recent summary.
        """
        if self._summary is None:
            return 0.0
        if now - self._summary_time > SUMMARY_VALIDITY_SECONDS:
            return 0.0
        return self._summary.expected_wait_seconds

    def warm_servers(self) -> dict[ids.ServerId, str]:
        """Returns the start identities of the servers last reported as warm."""
        if self._summary is None:
            return {}
        return {
            entry.server: entry.start_id
            for entry in self._summary.servers
            if entry.may_send_direct
            and self._latest_start_id(entry) == entry.start_id
        }

    def plan(
        self,
        now: float,
        deadline: float,
        priority: documents.Priority,
        is_remote: bool,
        avoid: frozenset[ids.ServerId],
    ) -> Plan:
        """Decides how the next request gets its server.

        Args:
            now: the current time.
            deadline: time after which the request needs no server.
            priority: priority of the request.
            is_remote: whether the pool is in another data centre.
            avoid: servers that were tried already.
        """
        if self._is_open(now):
            server = self._select_least_loaded(now, avoid)
            if server is not None:
                return SendDirect(server)
        if self._has_responsive_owner(now):
            return RequestAdmission(
                self._make_admission_request(
                    now, deadline, priority, is_remote, avoid
                )
            )
        server = self._select_by_share(now, avoid)
        if server is not None:
            return SendDirect(server)
        return NoCapacity(OWNER_TIMEOUT_SECONDS)

    def cancel_admission(self, admission_id: int) -> messages.Cancellation:
        """Returns the cancellation of an admission request."""
        self._request_times.pop(admission_id, None)
        return messages.Cancellation(pool=self._pool, admission_id=admission_id)

    def handle_summary(
        self,
        sender: messages.DaemonIdentity,
        summary: messages.Summary,
        now: float,
    ) -> None:
        """Applies a summary, if it is from the present owner."""
        if not self._accept_owner(sender):
            return
        self._summary = summary
        self._summary_time = now
        for entry in summary.servers:
            counts = self._counts.get(entry.server)
            if counts is not None and not counts.start_id:
                counts.start_id = entry.start_id

    def handle_grant(
        self, sender: messages.DaemonIdentity, grant: messages.Grant, now: float
    ) -> ids.ServerId | None:
        """Returns the granted server, or `None` if the grant is unusable.

        The request counts as in flight from here on, because the next load
        update reports that the grant has arrived.

        The age of a grant is at most the time since the admission request,
        less the time that the request waited at the owner.
        """
        if not self._accept_owner(sender):
            return None
        if (
            not self._first_admission_id
            < grant.admission_id
            <= self._last_admission_id
        ):
            return None
        self._last_grant_number = max(
            self._last_grant_number, grant.grant_number
        )
        requested_at = self._request_times.pop(grant.admission_id, None)
        self._changed_servers.add(grant.server)
        if requested_at is None or not self.is_live(grant.server):
            return None
        if now - requested_at - grant.queued_seconds > GRANT_VALIDITY_SECONDS:
            return None
        self.begin(grant.server, is_direct=False)
        return grant.server

    def handle_refusal(self, refusal: messages.Refusal) -> bool:
        """Returns whether the refused request still waits.

        The owner is dropped if the sender does not own the pool.
        """
        if refusal.cause is messages.RefusalCause.NOT_OWNER:
            self.clear_owner()
        return self._request_times.pop(refusal.admission_id, None) is not None

    def is_admission_pending(self, admission_id: int) -> bool:
        """Whether the present owner may still answer an admission request.

        A change of the owner drops the requests that the former one had
        queued.
        """
        return admission_id in self._request_times

    def check_owner_timeout(self, now: float) -> bool:
        """Checks whether the owner answers while a request waits for it.

        Returns:
            Whether the owner has timed out; requests then use the shares until
            a summary or grant of the owner arrives.
        """
        oldest_request_time = min(self._request_times.values(), default=now)
        unanswered_since = max(oldest_request_time, self._summary_time)
        if now - unanswered_since >= OWNER_TIMEOUT_SECONDS:
            self._has_owner_timed_out = True
        return self._has_owner_timed_out

    def expire_summary(self) -> None:
        """Expires the summary, which may be outdated after a process pause."""
        self._summary_time = float("-inf")

    def clear_owner(self) -> None:
        """Drops the owner and the pending requests and expires the summary."""
        self._owner = None
        self._has_owner_timed_out = False
        self._request_times.clear()
        self._summary_time = float("-inf")

    def set_owner(self, owner: messages.DaemonIdentity | None) -> bool:
        """Sets the present owner; returns whether it changed."""
        if owner == self._owner:
            return False
        self.clear_owner()
        self._owner = owner
        self._last_grant_number = 0
        self._changed_servers |= self._counts.keys()
        return True

    def begin(self, server: ids.ServerId, *, is_direct: bool) -> None:
        """Records that a request is sent to a server."""
        counts = self._counts.setdefault(server, ServerCounts())
        counts.in_flight += 1
        if is_direct:
            self._direct_count += 1
        self._changed_servers.add(server)

    def finish_completed(
        self,
        server: ids.ServerId,
        start_id: str,
        latency_seconds: float,
        now: float,
    ) -> None:
        """Records a whole answer."""
        counts = self._finish(server)
        counts.completed += 1
        counts.completed_at = now
        counts.total_latency_seconds += latency_seconds
        self._record_start(counts, start_id, now)

    def finish_shed(
        self, server: ids.ServerId, start_id: str, now: float
    ) -> None:
        """Records that the server refused for lack of capacity."""
        counts = self._finish(server)
        counts.shed += 1
        counts.suspect_until = now + SUSPECT_SECONDS
        self._record_start(counts, start_id, now)

    def finish_failed(self, server: ids.ServerId, now: float) -> None:
        """Records a reset or timed-out attempt."""
        counts = self._finish(server)
        counts.failed += 1
        counts.suspect_until = now + SUSPECT_SECONDS

    def finish_connection_refused(
        self, server: ids.ServerId, now: float
    ) -> None:
        """Records an attempt whose connection was refused at once."""
        counts = self._finish(server)
        counts.refused_connections += 1
        counts.suspect_until = now + SUSPECT_SECONDS

    def finish_cancelled(self, server: ids.ServerId) -> None:
        """Records an attempt that ended through no fault of the server."""
        self._finish(server)

    def due_load_update(self, now: float) -> messages.LoadUpdate | None:
        """Returns the load update that is due, or `None`."""
        elapsed = now - self._reported_at
        if elapsed < LOAD_UPDATE_INTERVAL_SECONDS:
            return None
        is_refresh_due = (
            elapsed >= LOAD_UPDATE_REFRESH_SECONDS and self.in_flight > 0
        )
        if not self._changed_servers and not is_refresh_due:
            return None
        return self._make_load_update(now)

    def urgent_load_update(self, now: float) -> messages.LoadUpdate | None:
        """Returns a load update to send at once, or `None` if it may wait.

        It may not wait while the pool is not open, because other requests may
        then wait for the slot that a finished request freed.
        """
        if not self._changed_servers or self._is_open(now):
            return None
        return self._make_load_update(now)

    def _make_load_update(self, now: float) -> messages.LoadUpdate:
        entries = []
        for server in sorted(self._changed_servers):
            counts = self._counts.get(server)
            if counts is None:
                continue
            entries.append(
                messages.ServerLoadUpdate(
                    server,
                    counts.in_flight,
                    counts.completed,
                    counts.shed,
                    counts.failed,
                    counts.start_id,
                    round(counts.total_latency_seconds, 6),
                    counts.refused_connections,
                )
            )
        self._changed_servers.clear()
        self._reported_at = now
        return messages.LoadUpdate(
            pool=self._pool,
            last_grant_number=self._last_grant_number,
            direct_request_count=self._direct_count,
            servers=entries,
        )

    def _make_admission_request(
        self,
        now: float,
        deadline: float,
        priority: documents.Priority,
        is_remote: bool,
        avoid: frozenset[ids.ServerId],
    ) -> messages.AdmissionRequest:
        self._last_admission_id += 1
        self._request_times[self._last_admission_id] = now
        return messages.AdmissionRequest(
            load_update=self._make_load_update(now),
            admission_id=self._last_admission_id,
            priority_rank=PRIORITY_RANKS[priority],
            timeout_seconds=max(0.0, deadline - now),
            is_remote=is_remote,
            tried_servers=sorted(avoid),
        )

    def _accept_owner(self, sender: messages.DaemonIdentity) -> bool:
        """Returns whether the sender is the owner; if so, ends its time-out."""
        if self._owner != sender:
            return False
        self._has_owner_timed_out = False
        return True

    def _is_open(self, now: float) -> bool:
        if self._summary is None or not self._summary.is_open:
            return False
        return now - self._summary_time <= SUMMARY_VALIDITY_SECONDS

    def _has_responsive_owner(self, now: float) -> bool:
        """Returns whether an owner is known and has not timed out."""
        return self._owner is not None and not self._has_owner_timed_out

    def _select_least_loaded(
        self, now: float, avoid: frozenset[ids.ServerId]
    ) -> ids.ServerId | None:
        best = None
        best_rank = (0.0, 0.0, 0.0)
        assert self._summary is not None
        for entry in self._summary.servers:
            if entry.server in avoid or not self._may_send_direct(entry, now):
                continue
            own = self._own_in_flight(entry.server)
            in_flight = entry.in_flight_elsewhere + own
            if own >= entry.direct_limit or in_flight >= self._limit_at(
                entry, now
            ):
                continue
            # The limit of such a server is one more than its slots.
            rank = (
                ranking.expected_time(
                    2.0**entry.slowness_log2, in_flight, entry.limit - 1
                ),
                in_flight / entry.limit,
                self._random.random(),
            )
            if best is not None and rank >= best_rank:
                continue
            best, best_rank = entry.server, rank
        return best

    def _may_send_direct(
        self, entry: messages.ServerSummary, now: float
    ) -> bool:
        if not entry.may_send_direct or entry.server not in self._live_servers:
            return False
        counts = self._counts.get(entry.server)
        if counts is None:
            return True
        if now < counts.suspect_until:
            return False
        return self._latest_start_id(entry) == entry.start_id

    def _limit_at(self, entry: messages.ServerSummary, now: float) -> int:
        """Returns the limit, at most one if there is no recent answer.

        A server without a recent answer may have restarted; its next answer
        shows whether it has.
        """
        counts = self._counts.get(entry.server)
        if (
            counts is None
            or now - counts.completed_at > ANSWER_VALIDITY_SECONDS
        ):
            return min(1, entry.limit)
        return entry.limit

    def _latest_start_id(self, entry: messages.ServerSummary) -> str:
        counts = self._counts.get(entry.server)
        if counts is None or not counts.start_id:
            return entry.start_id
        return counts.start_id

    def _own_in_flight(self, server: ids.ServerId) -> int:
        counts = self._counts.get(server)
        return counts.in_flight if counts else 0

    def _select_by_share(
        self, now: float, avoid: frozenset[ids.ServerId]
    ) -> ids.ServerId | None:
        self._update_shares()
        best = None
        best_rank = 1.0
        for server, share in self._shares.items():
            counts = self._counts.get(server)
            if server in avoid or server not in self._live_servers:
                continue
            if counts is not None and now < counts.suspect_until:
                continue
            rank = self._own_in_flight(server) / share
            if rank >= best_rank:
                continue
            best, best_rank = server, rank
        return best

    def _update_shares(self) -> None:
        warm = self.warm_servers()
        limits = {}
        if self._summary is not None:
            limits = {
                entry.server: entry.limit
                for entry in self._summary.servers
                if entry.server in warm
            }
        inputs = (limits, self._daemons)
        if inputs == self._shares_inputs:
            return
        self._shares_inputs = inputs
        self._shares = shares.count_shares(limits, self._daemons, self._self_id)

    def _finish(self, server: ids.ServerId) -> ServerCounts:
        counts = self._counts.setdefault(server, ServerCounts())
        counts.in_flight = max(0, counts.in_flight - 1)
        self._changed_servers.add(server)
        return counts

    def _record_start(
        self, counts: ServerCounts, start_id: str, now: float
    ) -> None:
        if not start_id or start_id == counts.start_id:
            return
        if counts.start_id:
            counts.suspect_until = now + SUSPECT_SECONDS
        counts.start_id = start_id
