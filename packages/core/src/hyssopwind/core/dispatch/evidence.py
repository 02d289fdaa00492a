"""What this daemon has seen of each server, and which ones it avoids.

Health checks of a server may pass while its requests fail or take long, so
the results of requests and of checks are both weighed. A server that fails is
left for a time that doubles with each further failure, and one request at a
time tries it again afterwards.
"""

import dataclasses
import math

from hyssopwind.core import ids
from hyssopwind.core.routing import tables

FIRST_REST = 1.0  # seconds; a crashed server is back after some seconds
LONGEST_REST = 8.0  # seconds
FAILURES_TO_REST = 2  # consecutive failures; single ones are common
SILENCE_REST = 0.5  # seconds after a health check without an answer
# First estimate of the work of a route as a share of its latency target.
FIRST_WORK_SHARE = 0.4
# Weight of the newest sample in the moving averages.
WORK_WEIGHT = 0.05
PENALTY_WEIGHT = 0.3
CROWDING_WEIGHT = 0.2
# How much longer work takes on a crowded server before any was observed; low
# enough that crowded servers are used and thereby observed.
FIRST_CROWDING = 1.25
HIGHEST_CROWDING = 3.0
# Ratios of observed to expected time beyond these are cut.
LOWEST_RATIO = 0.5
HIGHEST_RATIO = 10.0
# Ratios up to this are the usual spread of work and no penalty.
USUAL_RATIO = 1.8
PENALTY_MEMORY = 6.0  # seconds until a penalty has faded by half


@dataclasses.dataclass(slots=True)
class _Server:
    failures: int = 0
    rests_until: float = float("-inf")
    penalty: float = 1.0
    penalty_at: float = 0.0
    in_flight: int = 0


class Evidence:
    """Results of requests and health checks by server.

    Examples:
        >>> evidence = Evidence()
        >>> server = ids.ServerId("a")
        >>> evidence.note_failure(server, now=0.0)
        >>> evidence.is_resting(server, now=0.0)
        False
        >>> evidence.note_failure(server, now=0.0)
        >>> evidence.is_resting(server, now=0.5)
        True
        >>> evidence.is_resting(server, now=1.5)
        False
    """

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, _Server] = {}
        self._work: dict[str, float] = {}
        self._crowding: dict[ids.ServiceId, float] = {}

    def work(self, route: tables.Route) -> float:
        """Returns the expected seconds of undisturbed work of a route."""
        first = FIRST_WORK_SHARE * route.latency_target
        return self._work.get(route.name, first)

    def crowding(self, service: ids.ServiceId) -> float:
        """Returns how many times longer work takes on crowded servers."""
        return self._crowding.get(service, FIRST_CROWDING)

    def in_flight(self, server: ids.ServerId) -> int:
        """Returns the requests of this daemon at a server."""
        known = self._servers.get(server)
        return known.in_flight if known else 0

    def penalty(self, server: ids.ServerId, now: float) -> float:
        """Returns how many times longer than expected a server takes."""
        known = self._servers.get(server)
        if known is None:
            return 1.0
        return _faded_penalty(known, now)

    def is_resting(self, server: ids.ServerId, now: float) -> bool:
        """Whether a server is left alone for now."""
        known = self._servers.get(server)
        if known is None:
            return False
        if now < known.rests_until:
            return True
        # After a rest one request at a time tries the server.
        return known.failures >= FAILURES_TO_REST and known.in_flight > 0

    def begin(self, server: ids.ServerId) -> None:
        """Notes that a request is sent."""
        self._find(server).in_flight += 1

    def end(self, server: ids.ServerId) -> None:
        """Notes that a request is no longer at a server."""
        known = self._find(server)
        known.in_flight = max(0, known.in_flight - 1)

    def note_success(
        self,
        route: tables.Route,
        server: ids.ServerId,
        took: float,
        expected: float,
        now: float,
        *,
        service: ids.ServiceId,
        crowded: bool,
    ) -> None:
        """Notes an answer.

        Args:
            route: the route of the request.
            server: the server.
            took: seconds from sending to the whole answer.
            expected: seconds that were estimated when it was sent.
            now: monotonic time in seconds.
            service: the service of the server.
            crowded: whether the server was crowded when it was sent.
        """
        known = self._find(server)
        known.failures = 0
        known.rests_until = float("-inf")
        ratio = max(LOWEST_RATIO, min(HIGHEST_RATIO, took / expected))
        if crowded:
            self._note_crowding(service, ratio)
            return
        self._note_ratio(known, ratio, now)
        if ratio <= USUAL_RATIO:
            work = self.work(route)
            sample = work * ratio
            self._work[route.name] = work + WORK_WEIGHT * (sample - work)

    def note_slow(self, server: ids.ServerId, ratio: float, now: float) -> None:
        """Notes a request that takes many times longer than expected."""
        self._note_ratio(self._find(server), min(HIGHEST_RATIO, ratio), now)

    def note_failure(self, server: ids.ServerId, now: float) -> None:
        """Notes a request that failed at a server."""
        known = self._find(server)
        known.failures += 1
        excess = known.failures - FAILURES_TO_REST
        if excess < 0:
            return
        rest = min(LONGEST_REST, FIRST_REST * 2.0**excess)
        known.rests_until = max(known.rests_until, now + rest)

    def note_silence(self, server: ids.ServerId, now: float) -> None:
        """Notes a health check without an answer."""
        known = self._find(server)
        known.rests_until = max(known.rests_until, now + SILENCE_REST)

    def keep_only(self, servers: set[ids.ServerId]) -> None:
        """Forgets servers that are no longer listed."""
        for server in list(self._servers):
            if server not in servers and not self._servers[server].in_flight:
                del self._servers[server]

    def _find(self, server: ids.ServerId) -> _Server:
        known = self._servers.get(server)
        if known is None:
            known = _Server()
            self._servers[server] = known
        return known

    def _note_crowding(self, service: ids.ServiceId, ratio: float) -> None:
        current = self.crowding(service)
        sample = max(1.0, min(HIGHEST_CROWDING, current * ratio))
        changed = current + CROWDING_WEIGHT * (sample - current)
        self._crowding[service] = changed

    def _note_ratio(self, known: _Server, ratio: float, now: float) -> None:
        current = _faded_penalty(known, now)
        sample = max(1.0, ratio / USUAL_RATIO) if ratio > USUAL_RATIO else 1.0
        known.penalty = current + PENALTY_WEIGHT * (sample - current)
        known.penalty_at = now


def _faded_penalty(known: _Server, now: float) -> float:
    half_lives = (now - known.penalty_at) / PENALTY_MEMORY
    return 1.0 + (known.penalty - 1.0) * math.pow(0.5, half_lives)
