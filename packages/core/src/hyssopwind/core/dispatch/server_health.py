"""Passive health of servers: ejections, penalties and expected durations.

Probes of a server may succeed while its requests fail or take long, so the
results of both are used. A server that fails repeatedly is ejected for a time
that doubles with each further failure; afterwards it gets one request at a
time until one succeeds.
"""

import dataclasses
import math
from collections.abc import Collection
from collections.abc import Iterable

from hyssopwind.core import ids
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.routing import tables

# A crashed server restarts within some seconds, so ejections are short.
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
MAX_DOUBLINGS = 16  # a power of a larger number could overflow
FAILURES_TO_EJECT = 2  # consecutive ones; single failures are common
# Duration of the ejection after a probe without an answer.
UNANSWERED_PROBE_EJECTION_SECONDS = 0.5
# Duration of the ejection of a server that ignores requests and reports none.
# Each further trial costs a request of a caller; servers restart in less.
HANG_EJECTION_SECONDS = 4.0
# Time after which a second probe has to find a server to ignore a request
# before peers are told. It exceeds the least retransmission time of TCP (0.2 s)
# and pauses of servers of 0.15 s, after which an answer arrives.
HANG_CHECK_SECONDS = 0.25
# Time in which a server that a peer suspects of hanging is used only if others
# have longer waits: the check, its probe and the way of two messages.
HANG_SUSPICION_SECONDS = 0.5
# Ratio of the servers of a service that may be ejected for so long. If more of
# them hang, no trial can be spared, and the others cannot do without them when
# they are back.
MAX_HANGING_RATIO = 0.34
# Time by which the ejection lasts longer at daemons that a peer told of it. The
# peer tries the server first, and finds in less whether it still hangs.
TOLD_HANG_EXTRA_SECONDS = 1.0
# First estimate of the work of a route relative to its latency target.
INITIAL_WORK_RATIO = 0.4
# Weights of the newest sample in the moving averages.
WORK_WEIGHT = 0.05
PENALTY_WEIGHT = 0.3
CONGESTION_WEIGHT = 0.2
# Initial estimate of how many times longer work takes on a congested server. It
# is low enough that congested servers get requests, which yield samples.
INITIAL_CONGESTION_RATIO = 1.25
MAX_CONGESTION_RATIO = 3.0
# Bounds to which ratios of observed to expected durations are clipped.
MIN_DURATION_RATIO = 0.5
MAX_DURATION_RATIO = 10.0
# Age from which on a request is included in the load of its server.
MIN_IGNORED_SECONDS = 0.05
# Ratios up to this are the typical spread of work and cause no penalty.
TYPICAL_DURATION_RATIO = 1.8
# Time in which a penalty decays by half.
PENALTY_HALF_LIFE_SECONDS = 6.0


@dataclasses.dataclass(slots=True)
class _ServerState:
    failure_count: int = 0
    ejected_until: float = float("-inf")
    failed_at: float = float("-inf")
    penalty_ratio: float = 1.0
    penalty_updated_at: float = 0.0
    sent_at: list[float] = dataclasses.field(default_factory=list)
    ignored_count: int = 0
    unanswered_at: float = float("-inf")
    suspected_until: float = float("-inf")

    @property
    def in_flight_count(self) -> int:
        """Number of requests that are at the server."""
        return len(self.sent_at)


class PassiveHealth:
    """Results of requests and probes by server.

    Examples:
        >>> passive_health = PassiveHealth()
        >>> server = ids.ServerId("a")
        >>> passive_health.record_failure(server, now=0.0)
        >>> passive_health.is_ejected(server, now=0.0)
        False
        >>> passive_health.record_failure(server, now=0.0)
        >>> passive_health.is_ejected(server, now=0.5)
        True
        >>> passive_health.is_ejected(server, now=1.5)
        False
    """

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, _ServerState] = {}
        self._work_seconds: dict[str, float] = {}
        self._congestion_ratios: dict[ids.ServiceId, float] = {}

    def expected_work_seconds(self, route: tables.Route) -> float:
        """Returns the expected seconds of work on a route without slowdown."""
        initial = INITIAL_WORK_RATIO * route.latency_target_seconds
        return self._work_seconds.get(route.name, initial)

    def congestion_ratio(self, service: ids.ServiceId) -> float:
        """Returns how many times longer work takes on congested servers."""
        return self._congestion_ratios.get(service, INITIAL_CONGESTION_RATIO)

    def in_flight_count(self, server: ids.ServerId) -> int:
        """Returns the number of requests of this daemon at a server."""
        state = self._servers.get(server)
        return state.in_flight_count if state else 0

    def penalty_ratio(self, server: ids.ServerId, now: float) -> float:
        """Returns how many times longer than expected a server takes."""
        state = self._servers.get(server)
        if state is None:
            return 1.0
        if now < state.suspected_until:
            return MAX_DURATION_RATIO
        return _decayed_penalty_ratio(state, now)

    def is_ejected(self, server: ids.ServerId, now: float) -> bool:
        """Returns whether a server is ejected."""
        state = self._servers.get(server)
        if state is None:
            return False
        if now < state.ejected_until:
            return True
        # After an ejection the server gets one request at a time.
        return (
            state.failure_count >= FAILURES_TO_EJECT
            and state.in_flight_count > 0
        )

    def record_start(self, server: ids.ServerId, now: float) -> None:
        """Records that a request is sent to a server."""
        self._find_or_add(server).sent_at.append(now)

    def record_end(self, server: ids.ServerId, started_at: float) -> None:
        """Records that a request is no longer at a server."""
        state = self._find_or_add(server)
        if started_at in state.sent_at:
            state.sent_at.remove(started_at)
        state.ignored_count = min(state.ignored_count, state.in_flight_count)

    def record_load(
        self,
        server: ids.ServerId,
        load: probe_results.Load,
        silent_since: Iterable[float],
        probed_at: float,
        now: float,
    ) -> bool:
        """Records the load that a probe has just reported.

        A server that reports fewer requests than it has received from this
        daemon ignores some of them, or their answers are lost. Such a server
        is ejected. Requests do not count that it received before a probe that
        it did not answer: it may have restarted since.

        Args:
            server: the server.
            load: its load.
            silent_since: monotonic times since which it has had whole requests
                whose answers have not begun.
            probed_at: monotonic time at which the probe was sent.
            now: monotonic time in seconds.

        Returns:
            Whether more requests are ignored than before.
        """
        state = self._find_or_add(server)
        if load.running + load.waiting:
            state.suspected_until = float("-inf")
        # The probe may have overtaken a request by as long as it took itself.
        latest_start = probed_at - max(MIN_IGNORED_SECONDS, now - probed_at)
        received_count = sum(
            state.unanswered_at < since <= latest_start
            for since in silent_since
        )
        ignored_count = received_count - load.running - load.waiting
        if ignored_count <= state.ignored_count:
            return False
        state.ignored_count = ignored_count
        state.failure_count = max(state.failure_count, FAILURES_TO_EJECT - 1)
        self.record_failure(server, now)
        return True

    def confirms_hang(
        self,
        server: ids.ServerId,
        load: probe_results.Load,
        silent_since: Iterable[float],
        probed_at: float,
    ) -> bool:
        """Returns whether a later probe confirms that a server hangs.

        One that is full ignores single requests and serves others.

        Args:
            server: the server.
            load: its load by the later probe.
            silent_since: monotonic times since which it has had the whole
                requests that it was found to ignore, without those whose
                answers have begun.
            probed_at: monotonic time at which the later probe was sent.
        """
        if load.running + load.waiting:
            return False
        unanswered_at = self._find_or_add(server).unanswered_at
        latest_start = probed_at - HANG_CHECK_SECONDS
        return any(
            unanswered_at < since <= latest_start for since in silent_since
        )

    def record_success(
        self,
        route: tables.Route,
        server: ids.ServerId,
        observed_seconds: float,
        expected_seconds: float,
        now: float,
        *,
        service: ids.ServiceId,
        is_congested: bool,
    ) -> None:
        """Records an answer.

        Args:
            route: the route of the request.
            server: the server.
            observed_seconds: seconds from the sending to the whole answer.
            expected_seconds: the same seconds as estimated at the sending.
            now: monotonic time in seconds.
            service: the service of the server.
            is_congested: whether the server was congested at the sending.
        """
        state = self._find_or_add(server)
        state.failure_count = 0
        state.ejected_until = float("-inf")
        state.suspected_until = float("-inf")
        ratio = max(
            MIN_DURATION_RATIO,
            min(MAX_DURATION_RATIO, observed_seconds / expected_seconds),
        )
        if is_congested:
            self._record_congestion(service, ratio)
            return
        self._record_ratio(state, ratio, now)
        if ratio <= TYPICAL_DURATION_RATIO:
            current = self.expected_work_seconds(route)
            sample = current * ratio
            self._work_seconds[route.name] = current + WORK_WEIGHT * (
                sample - current
            )

    def record_slow(
        self, server: ids.ServerId, ratio: float, now: float
    ) -> None:
        """Records a request that takes many times longer than expected."""
        self._record_ratio(
            self._find_or_add(server), min(MAX_DURATION_RATIO, ratio), now
        )

    def record_failure(self, server: ids.ServerId, now: float) -> None:
        """Records a request that failed at a server."""
        state = self._find_or_add(server)
        state.failure_count += 1
        state.failed_at = now
        excess_count = state.failure_count - FAILURES_TO_EJECT
        if excess_count < 0:
            return
        ejection_seconds = min(
            MAX_EJECTION_SECONDS,
            FIRST_EJECTION_SECONDS * 2.0 ** min(excess_count, MAX_DOUBLINGS),
        )
        state.ejected_until = max(state.ejected_until, now + ejection_seconds)

    def record_unanswered_probe(self, server: ids.ServerId, now: float) -> None:
        """Records a probe without an answer."""
        state = self._find_or_add(server)
        state.failed_at = now
        state.unanswered_at = now
        state.ejected_until = max(
            state.ejected_until, now + UNANSWERED_PROBE_EJECTION_SECONDS
        )

    def record_hang_suspicion(self, server: ids.ServerId, now: float) -> None:
        """Records that a peer verifies whether a server hangs.

        The server is not ejected. An answer to a request or a load that shows
        one ends the suspicion.
        """
        state = self._find_or_add(server)
        state.suspected_until = now + HANG_SUSPICION_SECONDS

    def record_hang(
        self,
        server: ids.ServerId,
        servers: Collection[ids.ServerId],
        now: float,
        *,
        is_told: bool,
    ) -> None:
        """Records that a server ignores requests and reports none.

        Args:
            server: the server.
            servers: all servers of its service.
            now: monotonic time in seconds.
            is_told: whether a peer found it.
        """
        state = self._find_or_add(server)
        ejection_seconds = HANG_EJECTION_SECONDS
        if is_told:
            ejection_seconds += TOLD_HANG_EXTRA_SECONDS
        state.failed_at = now
        state.ejected_until = max(state.ejected_until, now + ejection_seconds)
        ejected = [
            each
            for other in servers
            if (each := self._servers.get(other)) and now < each.ejected_until
        ]
        if len(ejected) <= max(1.0, MAX_HANGING_RATIO * len(servers)):
            return
        for each in ejected:
            each.ejected_until = min(
                each.ejected_until, now + FIRST_EJECTION_SECONDS
            )

    def forget_failures(self, since: float) -> None:
        """Forgets the failures of all servers that failed since a time.

        They were those of the daemon, which had no way to the servers.
        """
        for state in self._servers.values():
            if state.failed_at >= since:
                state.failure_count = 0
                state.ejected_until = float("-inf")
            if state.penalty_updated_at >= since:
                state.penalty_ratio = 1.0

    def retain(self, servers: set[ids.ServerId]) -> None:
        """Removes servers that are not in `servers` and have no requests."""
        for server in list(self._servers):
            if (
                server not in servers
                and not self._servers[server].in_flight_count
            ):
                del self._servers[server]

    def _find_or_add(self, server: ids.ServerId) -> _ServerState:
        state = self._servers.get(server)
        if state is None:
            state = _ServerState()
            self._servers[server] = state
        return state

    def _record_congestion(self, service: ids.ServiceId, ratio: float) -> None:
        current = self.congestion_ratio(service)
        sample = max(1.0, min(MAX_CONGESTION_RATIO, current * ratio))
        smoothed = current + CONGESTION_WEIGHT * (sample - current)
        self._congestion_ratios[service] = smoothed

    def _record_ratio(
        self, state: _ServerState, ratio: float, now: float
    ) -> None:
        current = _decayed_penalty_ratio(state, now)
        sample = (
            max(1.0, ratio / TYPICAL_DURATION_RATIO)
            if ratio > TYPICAL_DURATION_RATIO
            else 1.0
        )
        state.penalty_ratio = current + PENALTY_WEIGHT * (sample - current)
        state.penalty_updated_at = now


def _decayed_penalty_ratio(state: _ServerState, now: float) -> float:
    half_lives = (now - state.penalty_updated_at) / PENALTY_HALF_LIFE_SECONDS
    return 1.0 + (state.penalty_ratio - 1.0) * math.pow(0.5, half_lives)
