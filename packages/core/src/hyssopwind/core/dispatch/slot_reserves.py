"""Decides how many slots of a server a request leaves to more urgent ones.

A daemon of a large fleet sees few requests of each kind, and no message tells
it what the others have waiting. If each daemon leaves some slots of each server
free when it sends a less urgent request, an urgent one finds a free slot
without a message, whichever daemon it reaches. The number follows from the
load that the more urgent requests of all daemons offer to each server, which a
daemon estimates from its own requests: callers reach all daemons alike.
"""

import dataclasses
import math
from collections.abc import Container

import xxhash

from hyssopwind.core import ids
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import server_selection

# Time in which the weight of a request in the estimates decays by half. It is
# long enough for several requests of a kind that a daemon gets each second or
# two, and short compared with the minutes for which loads last.
HALF_LIFE_SECONDS = 10.0
# Shorter times since the first request of a service count as this one. A daemon
# gets a request of a kind each second or two, so that a single one would stand
# for a high rate.
MIN_OBSERVED_SECONDS = 1.0
# Time after the start of a daemon in which it may not know all peers: leaders
# of other data centres send their member lists every 5 s.
UNKNOWN_FLEET_SECONDS = 5.0
# Ratio of the slots of a server that may be reserved, so that less urgent
# requests keep the others if the work of urgent ones is overestimated. Servers
# of two slots reserve none: half of a service is more than urgent ones need.
MAX_RESERVED_RATIO = 1 / 3
# Standard deviations of the number of urgent requests that the reserve covers;
# two cover 19 of 20 cases. Their mean number occupies slots already.
DEVIATIONS = 2.0
# Servers that a daemon probes for a request, a free slot at any of which is
# enough (`near_sample`). The variation at all of them together counts.
PROBED_SERVER_COUNT = 6
# A class is starved if the share of its requests that found a server is below
# this ratio of the share over all classes. It is twice the ratio that is
# guaranteed, as the estimates follow the load with a delay.
STARVED_RATIO = 0.5
# Requests of a class, weighted by age, from which on it may count as starved.
MIN_STARVED_COUNT = 4.0


class _DecayingSum:
    """A sum whose terms decay with time."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, term: float, now: float) -> None:
        """Adds a term."""
        self._sum = self.read(now) + term
        self._updated_at = now

    def read(self, now: float) -> float:
        """Returns the sum."""
        half_lives = (now - self._updated_at) / HALF_LIFE_SECONDS
        return self._sum * math.pow(0.5, max(0.0, half_lives))


class _ClassDemand:
    """What a daemon has seen of the requests of one priority of a service.

    Attributes:
        work_seconds: work of the requests that arrived.
        ended_count: requests that found a server or gave up.
        sent_count: requests that found a server.
    """

    def __init__(self) -> None:
        self.work_seconds = _DecayingSum()
        self.ended_count = _DecayingSum()
        self.sent_count = _DecayingSum()


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """How many daemons share how many servers.

    Attributes:
        daemon_count: number of daemons, which get equal shares of the
            requests.
        server_count: number of servers of the service that may be used.
    """

    daemon_count: int
    server_count: int


def make_fleet_shape(
    fleet_size: int, server_count: int, seconds_since_start: float
) -> FleetShape:
    """Returns the shape of the fleet of a daemon.

    Until a daemon knows its peers, it takes the fleet to have a daemon for each
    server at least; alone, it would reserve nothing.

    Args:
        fleet_size: number of daemons that it knows, itself included.
        server_count: number of servers of the service that may be used.
        seconds_since_start: seconds since the start of the daemon.

    Examples:
        >>> make_fleet_shape(1, 60, 0.5).daemon_count
        60
        >>> make_fleet_shape(1, 60, 9.0).daemon_count
        1
    """
    if seconds_since_start < UNKNOWN_FLEET_SECONDS:
        return FleetShape(max(fleet_size, server_count), server_count)
    return FleetShape(fleet_size, server_count)


class ServiceDemand:
    """The demand of each class of one service, as one daemon sees it.

    Examples:
        >>> demand = ServiceDemand()
        >>> urgent, other = priorities.Priority(0), priorities.Priority(2)
        >>> for second in range(30):
        ...     demand.record_arrival(urgent, 0.1, float(second))
        >>> shape = FleetShape(daemon_count=100, server_count=60)
        >>> load = demand.offered_load(other, shape, now=30.0)
        >>> round(load, 2)
        0.16
        >>> demand.offered_load(urgent, shape, now=30.0)
        0.0
    """

    def __init__(self) -> None:
        self._classes: dict[priorities.Priority, _ClassDemand] = {}
        self._first_arrival_at: float | None = None

    def drop_except(self, in_force: Container[priorities.Priority]) -> None:
        """Drops the classes that the service does not get any more.

        Args:
            in_force: the priorities of the requests that it may get.
        """
        for priority in [
            each for each in self._classes if each not in in_force
        ]:
            del self._classes[priority]

    def record_arrival(
        self, priority: priorities.Priority, work_seconds: float, now: float
    ) -> None:
        """Records a request that needs a server.

        Args:
            priority: its priority.
            work_seconds: expected seconds of its work without slowdown.
            now: monotonic time in seconds.
        """
        if self._first_arrival_at is None:
            self._first_arrival_at = now
        demand = self._find_or_add(priority)
        demand.work_seconds.add(work_seconds, now)

    def record_end(
        self, priority: priorities.Priority, now: float, *, is_sent: bool
    ) -> None:
        """Records whether a request found a server or gave up."""
        demand = self._find_or_add(priority)
        demand.ended_count.add(1.0, now)
        if is_sent:
            demand.sent_count.add(1.0, now)

    def offered_load(
        self, priority: priorities.Priority, shape: FleetShape, now: float
    ) -> float:
        """Returns the load that more urgent requests offer to each server.

        Args:
            priority: the priority of a request; only more urgent ones count.
            shape: the daemons and the servers.
            now: monotonic time in seconds.

        Returns:
            The mean number of their requests that a server runs.
        """
        work_seconds = 0.0
        for other, demand in self._classes.items():
            if other < priority:
                work_seconds += demand.work_seconds.read(now)
        own_load = work_seconds / self._window_seconds(now)
        return own_load * shape.daemon_count / max(1, shape.server_count)

    def _window_seconds(self, now: float) -> float:
        """Returns the time that, times a constant rate, is its decaying sum."""
        elapsed = MIN_OBSERVED_SECONDS
        if self._first_arrival_at is not None:
            elapsed = max(elapsed, now - self._first_arrival_at)
        decay = math.pow(0.5, elapsed / HALF_LIFE_SECONDS)
        return HALF_LIFE_SECONDS / math.log(2.0) * (1.0 - decay)

    def has_less_urgent(self, priority: priorities.Priority) -> bool:
        """Returns whether requests of a less urgent class were seen."""
        return any(other > priority for other in self._classes)

    def is_starved(self, priority: priorities.Priority, now: float) -> bool:
        """Returns whether a class found servers far more rarely than all."""
        own = self._classes.get(priority)
        if own is None:
            return False
        own_ended_count = own.ended_count.read(now)
        if own_ended_count < MIN_STARVED_COUNT:
            return False
        ended_count = 0.0
        sent_count = 0.0
        for demand in self._classes.values():
            ended_count += demand.ended_count.read(now)
            sent_count += demand.sent_count.read(now)
        own_ratio = own.sent_count.read(now) / own_ended_count
        return own_ratio < STARVED_RATIO * sent_count / ended_count

    def _find_or_add(self, priority: priorities.Priority) -> _ClassDemand:
        demand = self._classes.get(priority)
        if demand is None:
            demand = _ClassDemand()
            self._classes[priority] = demand
        return demand


def reserved_slots(
    offered_load: float, slot_count: int, rounding_phase: float
) -> int:
    """Returns the slots of a server that are left to more urgent requests.

    Urgent requests that run occupy slots already; the reserve is for those that
    may come before one of them ends. The square root stands for the variation
    of independent arrivals around their mean (square-root staffing, Halfin and
    Whitt 1981). With it an error of the estimate by a factor of five changes
    the result by one slot.

    Args:
        offered_load: mean number of more urgent requests at the server.
        slot_count: number of requests that it can process at a time.
        rounding_phase: a number from 0 to 1; the fraction of the wanted slots
            is the share of the phases for which it is rounded up.

    Examples:
        >>> [reserved_slots(load, 6, 0.5) for load in (0.0, 0.1, 0.75, 9.0)]
        [0, 0, 1, 2]
        >>> [reserved_slots(0.04, 6, phase) for phase in (0.1, 0.5, 0.9)]
        [0, 0, 1]
        >>> [reserved_slots(1.0, slots, 0.5) for slots in (1, 2, 3)]
        [0, 0, 1]
    """
    wanted = DEVIATIONS * math.sqrt(offered_load / PROBED_SERVER_COUNT)
    return min(
        int(wanted + rounding_phase), int(MAX_RESERVED_RATIO * slot_count)
    )


def rounding_phase(server: ids.ServerId) -> float:
    """Returns a number from 0 to 1 that is the same at all daemons.

    A few urgent requests then need slots at a share of the servers only, any of
    which a daemon finds among those that it probes.

    Examples:
        >>> round(rounding_phase(ids.ServerId("a")), 3)
        0.901
    """
    return xxhash.xxh3_64_intdigest(server.encode()) / 2**64


def is_late(timing: server_selection.RequestTiming) -> bool:
    """Returns whether the answer of a request cannot be in target any more.

    A request whose work takes longer than its target allows is late once it has
    waited for as long as its target. Its class would starve if all of its
    requests were late on arrival.
    """
    left_seconds = timing.latency_target_seconds - timing.waited_seconds
    if timing.work_seconds > timing.latency_target_seconds:
        return left_seconds < 0.0
    return left_seconds < timing.work_seconds


def mark_reserved(
    candidate: server_selection.Candidate,
    timing: server_selection.RequestTiming,
    offered_load: float,
    good_factor: float,
) -> server_selection.Candidate:
    """Returns a server, marked if a request must not use it.

    Late work uses only good servers with spare slots. The load of a server that
    reports none is unknown to a daemon, so that nothing is reserved there.

    Args:
        candidate: the server.
        timing: the times of the request.
        offered_load: mean number of more urgent requests at the server.
        good_factor: multiple of the work up to which an estimate is good.
    """
    if candidate.load is None:
        return candidate
    slot_count = candidate.slot_count
    outstanding_count = candidate.outstanding_count
    if is_late(timing):
        estimated_seconds = server_selection.estimated_answer_seconds(
            candidate, timing.work_seconds
        )
        is_free = (
            outstanding_count < server_selection.SPARE_SLOT_RATIO * slot_count
            and estimated_seconds <= good_factor * timing.work_seconds
        )
    else:
        # Without a reserve a request may also queue at the server.
        reserved_count = reserved_slots(
            offered_load, slot_count, rounding_phase(candidate.server)
        )
        is_free = (
            reserved_count == 0
            or outstanding_count + reserved_count < slot_count
        )
    if is_free:
        return candidate
    return dataclasses.replace(candidate, is_reserved=True)
