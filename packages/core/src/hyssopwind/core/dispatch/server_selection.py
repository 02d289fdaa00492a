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
from hyssopwind.core.dispatch import probe_results
from hyssopwind.core.settings import tuning

# Ratio of occupied slots above which some servers slow down.
CONGESTED_SLOT_RATIO = 0.8
# Requests per slot that may wait at a server. Servers queue a few more, which
# leaves room for the requests that other daemons send at the same moment; some
# servers never answer a request that they cannot queue.
MAX_QUEUED_PER_SLOT = 1.0
# Ratio of occupied slots below which a server may get a late request.
SPARE_SLOT_RATIO = 0.5
# Wait steps between two rounds of probes for a retry by the caller: its answer
# is late already, so first requests are served before it.
CALLER_RETRY_WAIT_STEPS = 2
# Such a retry goes on waiting while the time left is above this multiple of
# the shortest useful duration; a refusal then still reaches the caller well
# before its timeout.
CALLER_RETRY_RESERVE_RATIO = 2.0
# Ratio of the time left to the expected work below which a request is refused;
# the work of single requests differs by up to half.
MIN_TIME_LEFT_RATIO = 0.5
# Ratio of the latency target for which a request may wait when all servers are
# full, so that the caller still has time to retry after a refusal.
MAX_WAIT_WHEN_FULL_RATIO = 0.125
# Ratio of the latency target for which a request may wait for a permit.
MAX_PERMIT_WAIT_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that answered a load probe just now.

    Attributes:
        server: the server.
        is_local: whether it is in the data centre of the daemon.
        load: its load; `None` if the service does not report it.
        listed_slot_count: number of requests that it can process at a time, as
            listed.
        in_flight_count: number of requests that are at the server or on their
            way and not yet in `load`; all of this daemon if `load` is `None`.
        penalty_ratio: how many times longer than expected its answers took
            recently.
        congestion_ratio: how many times longer work takes on a congested
            server.
        is_reserved: whether its free slots are left to other requests.
    """

    server: ids.ServerId
    is_local: bool
    load: probe_results.Load | None
    listed_slot_count: int
    in_flight_count: int = 0
    penalty_ratio: float = 1.0
    congestion_ratio: float = 1.0
    is_reserved: bool = False

    @property
    def outstanding_count(self) -> int:
        """Number of requests at the server or on their way to it."""
        if self.load is None:
            return self.in_flight_count
        return self.load.running + self.load.waiting + self.in_flight_count

    @property
    def slot_count(self) -> int:
        """Number of requests that the server can process at a time."""
        if self.load is None:
            return max(1, self.listed_slot_count)
        return self.load.slots

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would be processed at once."""
        return self.outstanding_count < self.slot_count

    @property
    def is_congested(self) -> bool:
        """Whether one more request would occupy nearly all of several slots."""
        occupied_ratio = (self.outstanding_count + 1) / self.slot_count
        return self.slot_count > 1 and occupied_ratio > CONGESTED_SLOT_RATIO


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTiming:
    """Elapsed, remaining and expected times of a request.

    Attributes:
        work_seconds: expected seconds of work without slowdown.
        waited_seconds: seconds since the request arrived, with the time that
            its caller spent before.
        latency_target_seconds: latency target of the route in seconds.
        remaining_seconds: seconds until the timeout of the caller or the route.
        is_caller_retry: whether the request is a retry by its caller, after
            which the caller will not retry again.
    """

    work_seconds: float
    waited_seconds: float
    latency_target_seconds: float
    remaining_seconds: float
    is_caller_retry: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Decision to send the request to a server.

    Attributes:
        server: the server.
        estimated_seconds: expected seconds until it answers.
        is_congested: whether the request makes the server congested.
        load: the load on which the decision was based.
        is_local: whether the server is in the data centre of the daemon.
        waited_seconds: seconds for which the request waited for the decision.
    """

    server: ids.ServerId
    estimated_seconds: float
    is_congested: bool = False
    load: probe_results.Load | None = None
    is_local: bool = True
    waited_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRemote:
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
        answered_count: number of servers that answered a load probe.
        best_estimate_seconds: expected seconds until the best of them answers,
            if any.
        retry_after_seconds: seconds after which the caller may come back, if
            they are known.
    """

    reason: str
    answered_count: int = 0
    best_estimate_seconds: float | None = None
    retry_after_seconds: float | None = None


Decision: TypeAlias = Send | ProbeRemote | Wait | Refuse


def estimated_answer_seconds(
    candidate: Candidate, work_seconds: float
) -> float:
    """Returns the expected seconds until a server answers.

    Args:
        candidate: the server.
        work_seconds: expected seconds of work without slowdown.

    Examples:
        >>> load = probe_results.Load(
        ...     running=1, waiting=0, slots=4, slowdown=2.0
        ... )
        >>> candidate = Candidate(ids.ServerId("a"), True, load, 4)
        >>> estimated_answer_seconds(candidate, work_seconds=0.1)
        0.2
    """
    slowdown = candidate.load.slowdown if candidate.load else 1.0
    duration_seconds = work_seconds * slowdown * candidate.penalty_ratio
    if candidate.is_congested:
        duration_seconds *= candidate.congestion_ratio
    slots = candidate.slot_count
    queued_count = max(0, candidate.outstanding_count - slots + 1)
    return duration_seconds * (1.0 + queued_count / slots)


def max_permit_wait_seconds(
    timing: RequestTiming, settings: tuning.SelectionSettings
) -> float:
    """Returns for how long a request waits for a permit at most.

    The wait leaves enough time for the work, within the latency target if
    that is still possible.
    """
    work_seconds = settings.good_factor * timing.work_seconds
    longest = MAX_PERMIT_WAIT_RATIO * timing.latency_target_seconds
    in_target_seconds = (
        timing.latency_target_seconds - timing.waited_seconds - work_seconds
    )
    if in_target_seconds > 0.0:
        return min(longest, in_target_seconds)
    return max(0.0, min(longest, timing.remaining_seconds - work_seconds))


def max_useful_wait_seconds(
    timing: RequestTiming, settings: tuning.SelectionSettings
) -> float:
    """Returns for how long a request may wait and still meet its target."""
    return (
        timing.latency_target_seconds
        - timing.waited_seconds
        - settings.good_factor * timing.work_seconds
    )


def has_queue_capacity(candidate: Candidate) -> bool:
    """Returns whether a server is likely to accept one more request."""
    if candidate.is_reserved:
        return False
    load = candidate.load
    if load is None:
        return True
    waiting_count = candidate.outstanding_count - load.slots
    return waiting_count < MAX_QUEUED_PER_SLOT * load.slots


def decide(
    candidates: Sequence[Candidate],
    timing: RequestTiming,
    settings: tuning.SelectionSettings,
    *,
    has_probed_remote: bool,
    may_congest: bool = False,
) -> Decision:
    """Returns the decision for a request.

    Args:
        candidates: the servers that answered.
        timing: the times of the request.
        settings: the settings of server selection.
        has_probed_remote: whether servers of other data centres were probed
            too.
        may_congest: whether it uses a free slot that makes a server congested
            rather than to wait, if its answer is still in target.
    """
    if timing.remaining_seconds < MIN_TIME_LEFT_RATIO * timing.work_seconds:
        return Refuse("too little time is left for the work")
    best, cost = _find_cheapest(candidates, timing.work_seconds, settings)
    # If all servers have been slow for long, waiting for a fast one cannot
    # succeed.
    attainable_seconds = timing.work_seconds * min(
        (c.penalty_ratio for c in candidates), default=1.0
    )
    good_seconds = settings.good_factor * attainable_seconds
    if best is not None and cost <= good_seconds + (
        0.0 if best.is_local else settings.far_penalty
    ):
        return _make_send(best, timing)
    if not has_probed_remote:
        return ProbeRemote()
    time_left = timing.latency_target_seconds - timing.waited_seconds
    if may_congest and _is_free_in_target(best, timing, settings):
        assert best is not None
        return _make_send(best, timing)
    if time_left > settings.wait_step + good_seconds:
        return Wait(settings.wait_step)
    decision = _decide_late(best, timing, settings)
    if isinstance(decision, Refuse):
        lowest_cost = None if best is None else cost
        return Refuse(decision.reason, len(candidates), lowest_cost)
    return decision


def _make_send(candidate: Candidate, timing: RequestTiming) -> Send:
    estimated_seconds = estimated_answer_seconds(candidate, timing.work_seconds)
    return Send(
        server=candidate.server,
        estimated_seconds=estimated_seconds,
        is_congested=candidate.is_congested,
        load=candidate.load,
        is_local=candidate.is_local,
        waited_seconds=timing.waited_seconds,
    )


def _find_cheapest(
    candidates: Sequence[Candidate],
    work_seconds: float,
    settings: tuning.SelectionSettings,
) -> tuple[Candidate | None, float]:
    best = None
    lowest_cost = float("inf")
    for candidate in candidates:
        if not has_queue_capacity(candidate):
            continue
        cost = estimated_answer_seconds(candidate, work_seconds)
        if not candidate.is_local:
            cost += settings.far_penalty
        if cost < lowest_cost:
            best, lowest_cost = candidate, cost
    return best, lowest_cost


def _is_free_in_target(
    best: Candidate | None,
    timing: RequestTiming,
    settings: tuning.SelectionSettings,
) -> bool:
    """Whether a server has a free slot and its answer is in target."""
    if best is None or not best.has_free_slot:
        return False
    time_left = timing.latency_target_seconds - timing.waited_seconds
    estimated_seconds = estimated_answer_seconds(best, timing.work_seconds)
    return settings.good_factor * estimated_seconds <= time_left


def _decide_late(
    best: Candidate | None,
    timing: RequestTiming,
    settings: tuning.SelectionSettings,
) -> Decision:
    """Returns the decision when a longer wait would miss the latency target."""
    time_left = timing.latency_target_seconds - timing.waited_seconds
    if best is not None:
        estimated_seconds = estimated_answer_seconds(best, timing.work_seconds)
        if estimated_seconds <= time_left:
            return _make_send(best, timing)
        # A late answer still justifies a slot that no other request needs.
        has_spare_slot = (
            best.outstanding_count < SPARE_SLOT_RATIO * best.slot_count
        )
        if has_spare_slot and estimated_seconds <= timing.remaining_seconds:
            return _make_send(best, timing)
    max_wait_seconds = MAX_WAIT_WHEN_FULL_RATIO * timing.latency_target_seconds
    if timing.waited_seconds + settings.wait_step <= max_wait_seconds:
        return Wait(settings.wait_step)
    shortest_seconds = (
        settings.good_factor * timing.work_seconds + settings.wait_step
    )
    if (
        timing.is_caller_retry
        and timing.remaining_seconds
        > CALLER_RETRY_RESERVE_RATIO * shortest_seconds
    ):
        return Wait(CALLER_RETRY_WAIT_STEPS * settings.wait_step)
    if best is None:
        return Refuse("all servers are full")
    return Refuse("no server can answer in time")
