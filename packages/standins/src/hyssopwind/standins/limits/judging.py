"""Judges the requests that arrived at servers that stated limits.

Only arrivals at servers, the answers that daemons passed on, and the answers
to callers are looked at, never the counters of daemons.
"""

import bisect
import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Sequence

WINDOW_SECONDS = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_SLACK = 5
ALLOWED_IN_QUIET = 2  # requests of one daemon
# Time after the first statement from which the rule holds.
FIRST_STATEMENT_GRACE_SECONDS = 3.0
# Time after which a daemon that has passed on a statement must know of it.
KNOWN_AFTER_SECONDS = 0.5
# Time after a change of the limit that counts neither for the bound on the
# mean rate nor for the use of a limit.
SETTLING_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived at a server.

    Attributes:
        at: monotonic time.
        daemon: the daemon that sent it.
        server: the server.
        sent_at: time at which its caller sent it.
    """

    at: float
    daemon: str
    server: str
    sent_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class LimitStep:
    """A change of the limit that a server states.

    Attributes:
        at: monotonic time.
        requests_per_second: the limit; infinity if it states none.
    """

    at: float
    requests_per_second: float


@dataclasses.dataclass(slots=True)
class Evidence:
    """What servers and callers saw in a run. All times are monotonic.

    Attributes:
        arrivals: requests at servers.
        limits: changes of the stated limit by server, in order of time.
        told: times at which a daemon passed on an answer that stated a limit,
            by server and daemon, in order.
        told_leaving: time at which a daemon first passed on that a server is
            about to stop, by server and daemon.
        quiet: start and end of the times for which a server wanted nothing of
            a daemon, by server and daemon.
        excused: start and end of the impairments of each daemon.
        ended_at: end of the traffic.
    """

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    limits: dict[str, list[LimitStep]] = dataclasses.field(default_factory=dict)
    told: dict[tuple[str, str], list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    told_leaving: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    quiet: dict[tuple[str, str], list[tuple[float, float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    excused: dict[str, list[tuple[float, float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    ended_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A window in which a server got more requests than it had allowed.

    Attributes:
        server: the server.
        at: end of the window.
        count: requests in it, from daemons that had passed on the limit.
        allowed: the most that the rule allows.
    """

    server: str
    at: float
    count: int
    allowed: float


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """How far a server was used while its limit did not change.

    Attributes:
        server: the server.
        requests_per_second: the limit.
        start: start of the time that counts.
        seconds: its length.
        count: requests that arrived in it, from all daemons.
    """

    server: str
    requests_per_second: float
    start: float
    seconds: float
    count: int

    @property
    def allowed(self) -> float:
        """The requests that the limit allows in the time."""
        return self.requests_per_second * self.seconds

    @property
    def ratio(self) -> float:
        """The requests relative to what the limit allows."""
        return self.count / self.allowed


def allowed_count(
    steps: Sequence[LimitStep], start: float, end: float
) -> float:
    """Returns what a stated limit allows between two times.

    Examples:
        >>> steps = [LimitStep(0.0, 2.0), LimitStep(3.0, 1.0)]
        >>> allowed_count(steps, 1.0, 5.0)
        6.0
    """
    total = 0.0
    for step, following in zip(
        steps, [*steps[1:], LimitStep(math.inf, 0.0)], strict=True
    ):
        overlap = min(end, following.at) - max(start, step.at)
        if overlap > 0.0:
            total += step.requests_per_second * overlap
    if start < steps[0].at:
        total += steps[0].requests_per_second * (steps[0].at - start)
    return total


def find_breaches(evidence: Evidence) -> list[Breach]:
    """Returns the first window of each server that breaks the rule."""
    breaches = []
    for server, steps in evidence.limits.items():
        counted = [
            arrival.at
            for arrival in evidence.arrivals
            if arrival.server == server and _counts(evidence, arrival)
        ]
        counted.sort()
        for index, end in enumerate(counted):
            if end < steps[0].at + FIRST_STATEMENT_GRACE_SECONDS:
                continue
            first = bisect.bisect_left(counted, end - WINDOW_SECONDS)
            count = index - first + 1
            allowed = ALLOWED_SLACK + ALLOWED_RATIO * allowed_count(
                steps, end - WINDOW_SECONDS, end
            )
            if count > allowed:
                breaches.append(Breach(server, end, count, allowed))
                break
    return breaches


def find_requests_after_leaving(
    evidence: Evidence, drain_seconds: float
) -> list[Arrival]:
    """Returns requests sent too late to servers that said they would stop."""
    return [
        arrival
        for arrival in evidence.arrivals
        if arrival.sent_at
        > drain_seconds
        + evidence.told_leaving.get(
            (arrival.server, arrival.daemon), float("inf")
        )
    ]


def find_broken_quiets(evidence: Evidence) -> list[tuple[str, str, float]]:
    """Returns server, daemon and start of each quiet that was not kept."""
    broken = []
    for (server, daemon), spans in evidence.quiet.items():
        times = [
            arrival.at
            for arrival in evidence.arrivals
            if (arrival.server, arrival.daemon) == (server, daemon)
        ]
        for start, end in spans:
            begin = start + KNOWN_AFTER_SECONDS
            count = sum(begin <= at < end for at in times)
            if count > ALLOWED_IN_QUIET:
                broken.append((server, daemon, start))
    return broken


def measure_use(evidence: Evidence) -> list[Use]:
    """Returns the use of each limit while it did not change."""
    uses = []
    for server, steps in evidence.limits.items():
        times = sorted(
            arrival.at
            for arrival in evidence.arrivals
            if arrival.server == server
        )
        ends = [step.at for step in steps[1:]] + [evidence.ended_at]
        for step, end in zip(steps, ends, strict=True):
            start = step.at + SETTLING_SECONDS
            if math.isinf(step.requests_per_second) or end <= start:
                continue
            count = bisect.bisect_left(times, end)
            count -= bisect.bisect_left(times, start)
            uses.append(
                Use(server, step.requests_per_second, start, end - start, count)
            )
    return uses


def total_use_ratio(uses: Iterable[Use]) -> float:
    """Returns the requests of several uses relative to what was allowed."""
    listed = list(uses)
    allowed = sum(use.allowed for use in listed)
    return sum(use.count for use in listed) / allowed


def _counts(evidence: Evidence, arrival: Arrival) -> bool:
    told = evidence.told.get((arrival.server, arrival.daemon), ())
    if not told or told[0] > arrival.at - KNOWN_AFTER_SECONDS:
        return False
    for start, end in evidence.excused.get(arrival.daemon, ()):
        if start <= arrival.at <= end + FIRST_STATEMENT_GRACE_SECONDS:
            return False
    # A daemon that restarted has to learn of the limit again.
    restarts = [
        end
        for _, end in evidence.excused.get(arrival.daemon, ())
        if end <= arrival.at
    ]
    if not restarts:
        return True
    return any(
        max(restarts) <= told_at <= arrival.at - KNOWN_AFTER_SECONDS
        for told_at in told
    )
