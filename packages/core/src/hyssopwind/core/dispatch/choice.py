"""Selects the server of a request by load probes made when it arrives.

The load of a server changes within about 150 ms, while a request occupies it
for several hundred milliseconds, and the speed of the server at the start
determines how long the work takes. Servers are therefore probed when a
request arrives: first those in the data centre of the daemon, then remote
ones if no local server is good. A request waits at the daemon for a good
server as long as its answer can still be in time. Work that starts on a
slowed or congested server occupies it many times longer, so queues at the
servers would lower the capacity of all of them.
"""

import dataclasses
from collections.abc import Sequence
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core.dispatch import readings
from hyssopwind.core.settings import tuning

# Ratio of occupied slots above which some servers slow down.
CROWDED_SHARE = 0.8
# Requests per slot that wait at a server before it refuses more.
QUEUE_PER_SLOT = 2.0
# Ratio of occupied slots below which a server may get a late request.
SPARE_SHARE = 0.5
# Wait steps between two rounds of probes for a retry by the caller: its answer
# is late already, so first requests are served before it.
RETURNED_WAIT_STEPS = 2
# Such a retry goes on waiting while the time left is above this multiple of
# the shortest useful duration; a refusal then still reaches the caller well
# before its timeout.
RETURNED_RESERVE = 2.0
# Ratio of the time left to the expected work below which a request is refused;
# the work of single requests differs by up to half.
LEAST_TIME_SHARE = 0.5
# Part of the latency target for which a request may wait when all servers are
# full, so that the caller still has time to retry after a refusal.
REFUSAL_SHARE = 0.12


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that answered a load probe just now.

    Attributes:
        server: the server.
        near: whether it is in the data centre of the daemon.
        load: its load; `None` if the service does not report it.
        slots: number of requests that it can process at a time, as listed.
        in_flight: number of requests of this daemon at the server that its
            load does not include yet, or of all of them without a load.
        penalty: how many times longer than expected it took recently.
        crowding: how many times longer work takes on a congested server.
    """

    server: ids.ServerId
    near: bool
    load: readings.Load | None
    slots: int
    in_flight: int = 0
    penalty: float = 1.0
    crowding: float = 1.0

    @property
    def occupied(self) -> int:
        """Number of requests at the server or on their way to it."""
        if self.load is None:
            return self.in_flight
        return self.load.running + self.load.waiting + self.in_flight

    @property
    def total_slots(self) -> int:
        """Number of requests that the server can process at a time."""
        if self.load is None:
            return max(1, self.slots)
        return self.load.slots

    @property
    def is_crowded(self) -> bool:
        """Whether one more request would occupy nearly all of several slots."""
        occupied_ratio = (self.occupied + 1) / self.total_slots
        return self.total_slots > 1 and occupied_ratio > CROWDED_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Elapsed, remaining and expected times of a request.

    Attributes:
        work: expected seconds of work without slowdown.
        waited: seconds since the request arrived, with the time that its
            caller spent before.
        target: latency target of the route in seconds.
        remaining: seconds until the timeout of the caller or the route.
        returned: whether the request is a retry by its caller, after which
            the caller will not retry again.
    """

    work: float
    waited: float
    target: float
    remaining: float
    returned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Decision to send the request to a server.

    Attributes:
        server: the server.
        estimate: expected seconds until it answers.
        crowded: whether the request congests it.
        load: the load on which the decision was based.
        near: whether the server is in the data centre of the daemon.
        waited: seconds for which the request waited for the decision.
    """

    server: ids.ServerId
    estimate: float
    crowded: bool = False
    load: readings.Load | None = None
    near: bool = True
    waited: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Widen:
    """Decision to probe servers in other data centres too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decision to probe again after some seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse the request, as no server can answer in time.

    Attributes:
        reason: why, in a few words.
        answered: number of servers that answered a load probe.
        best: expected seconds until the best of them answers, if any.
    """

    reason: str
    answered: int = 0
    best: float | None = None


Decision: TypeAlias = Send | Widen | Wait | Refuse


def estimate(candidate: Candidate, work_seconds: float) -> float:
    """Returns the expected seconds until a server answers.

    Args:
        candidate: the server.
        work_seconds: expected seconds of work without slowdown.

    Examples:
        >>> load = readings.Load(
        ...     running=1, waiting=0, slots=4, slowdown=2.0
        ... )
        >>> candidate = Candidate(ids.ServerId("a"), True, load, 4)
        >>> estimate(candidate, work_seconds=0.1)
        0.2
    """
    slowdown = candidate.load.slowdown if candidate.load else 1.0
    duration = work_seconds * slowdown * candidate.penalty
    if candidate.is_crowded:
        duration *= candidate.crowding
    slots = candidate.total_slots
    queued_count = max(0, candidate.occupied - slots + 1)
    return duration * (1.0 + queued_count / slots)


def has_room(candidate: Candidate) -> bool:
    """Returns whether a server is likely to accept one more request."""
    load = candidate.load
    if load is None:
        return True
    waiting_count = load.waiting + candidate.in_flight
    return waiting_count < max(2.0, QUEUE_PER_SLOT * load.slots)


def decide(
    candidates: Sequence[Candidate],
    timing: Timing,
    settings: tuning.ChoosingSettings,
    *,
    widened: bool,
) -> Decision:
    """Returns the decision for a request.

    Args:
        candidates: the servers that answered.
        timing: the times of the request.
        settings: the settings of server selection.
        widened: whether servers of other data centres were probed too.
    """
    if timing.remaining < LEAST_TIME_SHARE * timing.work:
        return Refuse("too little time is left for the work")
    best, cost = _find_cheapest(candidates, timing.work, settings)
    # If all servers have been slow for long, waiting for a fast one cannot
    # succeed.
    attainable = timing.work * min((c.penalty for c in candidates), default=1.0)
    good = settings.good_factor * attainable
    if best is not None and cost <= good + (
        0.0 if best.near else settings.far_penalty
    ):
        return _make_send(best, timing)
    if not widened:
        return Widen()
    time_left = timing.target - timing.waited
    if time_left > settings.wait_step + good:
        return Wait(settings.wait_step)
    decision = _decide_late(best, timing, settings)
    if isinstance(decision, Refuse):
        lowest_cost = None if best is None else cost
        return Refuse(decision.reason, len(candidates), lowest_cost)
    return decision


def _make_send(candidate: Candidate, timing: Timing) -> Send:
    expected_seconds = estimate(candidate, timing.work)
    return Send(
        server=candidate.server,
        estimate=expected_seconds,
        crowded=candidate.is_crowded,
        load=candidate.load,
        near=candidate.near,
        waited=timing.waited,
    )


def _find_cheapest(
    candidates: Sequence[Candidate],
    work_seconds: float,
    settings: tuning.ChoosingSettings,
) -> tuple[Candidate | None, float]:
    best = None
    lowest_cost = float("inf")
    for candidate in candidates:
        if not has_room(candidate):
            continue
        cost = estimate(candidate, work_seconds)
        if not candidate.near:
            cost += settings.far_penalty
        if cost < lowest_cost:
            best, lowest_cost = candidate, cost
    return best, lowest_cost


def _decide_late(
    best: Candidate | None, timing: Timing, settings: tuning.ChoosingSettings
) -> Decision:
    """Returns the decision when a longer wait would miss the target."""
    time_left = timing.target - timing.waited
    if best is not None:
        cost = estimate(best, timing.work)
        if cost <= time_left:
            return _make_send(best, timing)
        # A late answer is worth a slot that no other request needs.
        has_spare_slot = best.occupied < SPARE_SHARE * best.total_slots
        if has_spare_slot and cost <= timing.remaining:
            return _make_send(best, timing)
    if timing.waited < REFUSAL_SHARE * timing.target:
        return Wait(settings.wait_step)
    shortest = settings.good_factor * timing.work + settings.wait_step
    if timing.returned and timing.remaining > RETURNED_RESERVE * shortest:
        return Wait(RETURNED_WAIT_STEPS * settings.wait_step)
    if best is None:
        return Refuse("all servers are full")
    return Refuse("no server can answer in time")
