"""Chooses the server of a request from load reports that were just asked for.

The load of a server shifts within about 150 ms while its work takes several
hundred, and the speed at the start decides how long the work takes. Reports
are therefore asked for when a request arrives, first in the data centre of
the daemon, and then elsewhere if no near server is good. A request waits at
the daemon for a good server as long as its answer can still be in time: work
that starts on a disturbed or crowded server occupies it many times longer, so
that queues at the servers lower what all of them can do.
"""

import dataclasses
from collections.abc import Sequence
from typing import TypeAlias

from hyssopwind.core import ids
from hyssopwind.core.dispatch import readings
from hyssopwind.core.settings import tuning

# Share of the slots above which some servers slow down.
CROWDED_SHARE = 0.8
# Requests that wait at a server for each slot before it refuses more.
QUEUE_PER_SLOT = 2.0
# Share of the slots of a server up to which late requests may take them.
SPARE_SHARE = 0.5
# Rounds of others for each round of a caller that came back: its answer is
# late already, so it takes what they leave.
RETURNED_WAIT_STEPS = 2
# Times the least duration that must be left for it to wait on; a refusal then
# still comes well before the caller gives up.
RETURNED_RESERVE = 2.0
# Share of the expected work below which the time left is too short; the work
# of single requests differs by up to half.
LEAST_TIME_SHARE = 0.5
# Share of the latency target that a request may wait when all servers are
# full, so that a refusal still leaves the caller time to come back.
REFUSAL_SHARE = 0.12


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that answered the load check just now.

    Attributes:
        server: the server.
        near: whether it is in the data centre of the daemon.
        load: its load; `None` where the service does not tell it.
        slots: requests that it works on at a time, as listed.
        in_flight: requests of this daemon at the server that its report
            does not show yet, or all of them without a report.
        penalty: how many times longer than expected it took lately.
        crowding: how many times longer work takes on a crowded server.
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
        """Requests at the server, those on their way included."""
        if self.load is None:
            return self.in_flight
        return self.load.running + self.load.waiting + self.in_flight

    @property
    def total_slots(self) -> int:
        """Requests that the server works on at a time."""
        if self.load is None:
            return max(1, self.slots)
        return self.load.slots

    @property
    def is_crowded(self) -> bool:
        """Whether one more request takes nearly the last of several slots."""
        share = (self.occupied + 1) / self.total_slots
        return self.total_slots > 1 and share > CROWDED_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """What is known of the time of a request.

    Attributes:
        work: seconds that an undisturbed server is expected to take.
        waited: seconds since the request arrived.
        target: seconds within which the answer is worth most.
        remaining: seconds until the caller or the route gives up.
        returned: whether the caller has come back after a failure, so that
            it will not come again.
    """

    work: float
    waited: float
    target: float
    remaining: float
    returned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server.

    Attributes:
        server: the server.
        estimate: seconds until it would have answered.
        crowded: whether the request takes nearly the last slot.
        load: the load that decided.
        near: whether the server is in the data centre of the daemon.
        waited: seconds that the request waited for the choice.
    """

    server: ids.ServerId
    estimate: float
    crowded: bool = False
    load: readings.Load | None = None
    near: bool = True
    waited: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Widen:
    """Ask servers in other data centres too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Ask again after some seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """No server can answer in time.

    Attributes:
        reason: why, in a few words.
        answered: servers that answered a load check.
        best: seconds until the best of them would have answered, if any.
    """

    reason: str
    answered: int = 0
    best: float | None = None


Decision: TypeAlias = Send | Widen | Wait | Refuse


def estimate(candidate: Candidate, work: float) -> float:
    """Returns the seconds until a server would have answered.

    Examples:
        >>> load = readings.Load(running=1, waiting=0, slots=4, slowdown=2.0)
        >>> estimate(Candidate(ids.ServerId("a"), True, load, 4), work=0.1)
        0.2
    """
    slowdown = candidate.load.slowdown if candidate.load else 1.0
    duration = work * slowdown * candidate.penalty
    if candidate.is_crowded:
        duration *= candidate.crowding
    slots = candidate.total_slots
    queued = max(0, candidate.occupied - slots + 1)
    return duration * (1.0 + queued / slots)


def has_room(candidate: Candidate) -> bool:
    """Whether a server is likely to accept one more request."""
    load = candidate.load
    if load is None:
        return True
    waiting = load.waiting + candidate.in_flight
    return waiting < max(2.0, QUEUE_PER_SLOT * load.slots)


def decide(
    candidates: Sequence[Candidate],
    timing: Timing,
    terms: tuning.ChoosingSettings,
    *,
    widened: bool,
) -> Decision:
    """Returns what to do with a request.

    Args:
        candidates: the servers that answered.
        timing: the time of the request.
        terms: how servers are chosen.
        widened: whether servers of other data centres were asked too.
    """
    if timing.remaining < LEAST_TIME_SHARE * timing.work:
        return Refuse("too little time is left for the work")
    best, cost = _cheapest(candidates, timing.work, terms)
    # Where all servers are slow for long, waiting for a fast one is in vain.
    usual = timing.work * min((c.penalty for c in candidates), default=1.0)
    good = terms.good_factor * usual
    if best is not None and cost <= good + (
        0.0 if best.near else terms.far_penalty
    ):
        return _send(best, timing)
    if not widened:
        return Widen()
    left = timing.target - timing.waited
    if left > terms.wait_step + good:
        return Wait(terms.wait_step)
    decision = _settle(best, timing, terms)
    if isinstance(decision, Refuse):
        lowest = None if best is None else cost
        return Refuse(decision.reason, len(candidates), lowest)
    return decision


def _send(candidate: Candidate, timing: Timing) -> Send:
    expected = estimate(candidate, timing.work)
    return Send(
        server=candidate.server,
        estimate=expected,
        crowded=candidate.is_crowded,
        load=candidate.load,
        near=candidate.near,
        waited=timing.waited,
    )


def _cheapest(
    candidates: Sequence[Candidate],
    work: float,
    terms: tuning.ChoosingSettings,
) -> tuple[Candidate | None, float]:
    best = None
    lowest = float("inf")
    for candidate in candidates:
        if not has_room(candidate):
            continue
        cost = estimate(candidate, work)
        if not candidate.near:
            cost += terms.far_penalty
        if cost < lowest:
            best, lowest = candidate, cost
    return best, lowest


def _settle(
    best: Candidate | None, timing: Timing, terms: tuning.ChoosingSettings
) -> Decision:
    """Decides when waiting longer would miss the latency target."""
    left = timing.target - timing.waited
    if best is not None:
        cost = estimate(best, timing.work)
        if cost <= left:
            return _send(best, timing)
        # A late answer is worth a slot that nobody else wants.
        is_free = best.occupied < SPARE_SHARE * best.total_slots
        if is_free and cost <= timing.remaining:
            return _send(best, timing)
    if timing.waited < REFUSAL_SHARE * timing.target:
        return Wait(terms.wait_step)
    least = terms.good_factor * timing.work + terms.wait_step
    if timing.returned and timing.remaining > RETURNED_RESERVE * least:
        return Wait(RETURNED_WAIT_STEPS * terms.wait_step)
    if best is None:
        return Refuse("all servers are full")
    return Refuse("no server can answer in time")
