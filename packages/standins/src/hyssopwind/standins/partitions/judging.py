"""Judges a partition by what callers and servers saw."""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Iterator

from hyssopwind.standins.partitions import scenarios

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# From this time on after the start of a cut the rule holds, and a smaller one.
CONTACT_SECONDS = 3.0
EARLY_SECONDS = 1.0
# Time in which a daemon that starts has the configuration and its peers.
START_SECONDS = 1.5
# Time after a cut in which its daemons use their own links again.
HEAL_SECONDS = 1.0
# Time after a cut in which the other daemons are still watched.
AFTERMATH_SECONDS = 5.0
# Ratio of the latency target for which a refused request costs nothing.
FREE_HOLD_RATIO = 1 / 8


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        request_id: its id.
        at: monotonic time at which it was sent.
        daemon: name of the daemon that took it.
        service: the service of its route.
        is_safe: whether it may run more than once.
        is_first: whether it is the first attempt of the caller.
        max_attempts: servers that it may be sent to.
        deadline: monotonic time at which the caller or the route times out.
        status: status of the answer; 0 for a closed connection, `None` if the
            caller gave up.
        reason: reason of an answer that no server made; empty for others.
        ended_at: monotonic time of the answer.
    """

    request_id: str
    at: float
    daemon: str
    service: str
    is_safe: bool
    is_first: bool
    max_attempts: int
    deadline: float
    status: int | None = None
    reason: str = ""
    ended_at: float = math.inf

    @property
    def is_served(self) -> bool:
        """Whether it was answered with success."""
        return self.status is not None and 200 <= self.status < 300


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a server.

    Attributes:
        at: monotonic time.
        server: the server.
        daemon: name of the daemon that sent it.
        request_id: id of the attempt.
        deadline: monotonic time until which the server may work on it.
        was_held: whether a cut held it back on its way.
        has_run: whether the server began to run it.
        has_hung: whether the server ignored it.
    """

    at: float
    server: str
    daemon: str
    request_id: str
    deadline: float
    was_held: bool
    has_run: bool = False
    has_hung: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A request that one daemon passed on to another.

    Attributes:
        at: monotonic time of its arrival.
        sender: name of the daemon that passed it on.
        receiver: name of the daemon that got it.
        request_id: id of the attempt.
    """

    at: float
    sender: str
    receiver: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CutPeriod:
    """A partition as it took place.

    Attributes:
        starts_at: monotonic time.
        ends_at: monotonic time.
        kind: what happened to connections.
        daemons: names of the daemons that were cut off.
    """

    starts_at: float
    ends_at: float
    kind: scenarios.CutKind
    daemons: frozenset[str]


@dataclasses.dataclass(slots=True)
class Evidence:
    """What callers, servers and the network saw.

    Attributes:
        latency_target_seconds: latency target of all routes.
        daemons: names of all daemons.
        transit_seconds: longest way of a request to a daemon and on to a
            server, by which the stated time may be longer than what is left.
        attempts: attempts of callers by id.
        arrivals: requests that reached servers.
        forwards: requests that daemons passed on.
        cuts: partitions.
        down_periods: start, end and service of each time in which no server of
            a service ran.
        kills: daemon, time of its kill and time from which it has served
            again for each kill.
        defects: unexpected exceptions in daemons.
    """

    latency_target_seconds: float
    daemons: frozenset[str] = frozenset()
    transit_seconds: float = 0.005
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    forwards: list[Forward] = dataclasses.field(default_factory=list)
    cuts: list[CutPeriod] = dataclasses.field(default_factory=list)
    down_periods: list[tuple[float, float, str]] = dataclasses.field(
        default_factory=list
    )
    kills: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    defects: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class ServedCount:
    """Number of first tries that were served, of those that were sent.

    Examples:
        >>> ServedCount(9, 10).ratio
        0.9
    """

    served: int
    sent: int

    @property
    def ratio(self) -> float:
        """The ratio that was served; 1 if none was sent."""
        return self.served / self.sent if self.sent else 1.0


def _count_served(attempts: Iterable[Attempt]) -> ServedCount:
    found = list(attempts)
    return ServedCount(sum(each.is_served for each in found), len(found))


def _first_tries(evidence: Evidence) -> Iterator[Attempt]:
    for attempt in evidence.attempts.values():
        if attempt.is_first and not _is_hit_by_kill(evidence, attempt):
            yield attempt


def _is_hit_by_kill(evidence: Evidence, attempt: Attempt) -> bool:
    """Whether its daemon is killed before the answer, or has just started."""
    for daemon, killed_at, serves_at in evidence.kills:
        if attempt.daemon != daemon:
            continue
        if attempt.at < serves_at and killed_at <= attempt.ended_at:
            return True
    return False


def _is_hit_by_cut(evidence: Evidence, attempt: Attempt) -> bool:
    """Whether its daemon is cut off before the answer."""
    for cut in evidence.cuts:
        if attempt.daemon not in cut.daemons:
            continue
        if attempt.at < cut.ends_at and cut.starts_at <= attempt.ended_at:
            return True
    return False


def count_at_cut(evidence: Evidence, after_seconds: float) -> ServedCount:
    """Counts first tries at daemons that are cut off.

    Args:
        evidence: what was seen.
        after_seconds: seconds from the start of a cut to the first of them.
    """
    return _count_served(
        attempt
        for cut in evidence.cuts
        for attempt in _first_tries(evidence)
        if attempt.daemon in cut.daemons
        and cut.starts_at + after_seconds <= attempt.at < cut.ends_at
    )


def count_at_others(evidence: Evidence, after_seconds: float) -> ServedCount:
    """Counts first tries at the other daemons in the same time."""
    return _count_served(
        attempt
        for cut in evidence.cuts
        for attempt in _first_tries(evidence)
        if attempt.daemon not in cut.daemons
        and cut.starts_at + after_seconds <= attempt.at < cut.ends_at
    )


def count_at_others_throughout(evidence: Evidence) -> ServedCount:
    """Counts first tries at the other daemons during and after the cuts."""
    found = {}
    for cut in evidence.cuts:
        for attempt in _first_tries(evidence):
            if _is_hit_by_cut(evidence, attempt):
                continue
            if attempt.daemon in cut.daemons:
                continue
            if cut.starts_at <= attempt.at < cut.ends_at + AFTERMATH_SECONDS:
                found[attempt.request_id] = attempt
    return _count_served(found.values())


def count_after_faults(evidence: Evidence) -> ServedCount:
    """Counts first tries from a second after the last fault has ended."""
    ends = [cut.ends_at for cut in evidence.cuts]
    ends += [end for _, end, _ in evidence.down_periods]
    return _count_served(
        attempt
        for attempt in _first_tries(evidence)
        if attempt.at >= max(ends) + HEAL_SECONDS
    )


def find_refused_as_quarantined(evidence: Evidence) -> list[Attempt]:
    """Returns attempts refused because servers seemed to crash on them."""
    return [
        attempt
        for attempt in evidence.attempts.values()
        if attempt.reason == "quarantined"
    ]


def find_repeated_runs(evidence: Evidence) -> list[str]:
    """Returns the ids of unsafe attempts that servers ran more than once."""
    counts = collections.Counter(
        arrival.request_id for arrival in evidence.arrivals if arrival.has_run
    )
    return [
        request_id
        for request_id, count in counts.items()
        if count > 1 and not evidence.attempts[request_id].is_safe
    ]


def find_broken_promises(evidence: Evidence) -> list[str]:
    """Returns the ids of attempts that ran although the answer denies it."""
    ran = {each.request_id for each in evidence.arrivals if each.has_run}
    return [
        request_id
        for request_id in sorted(ran)
        if evidence.attempts[request_id].status in PROMISES
    ]


def find_excess_attempts(evidence: Evidence) -> list[str]:
    """Returns the ids of attempts that reached more servers than allowed."""
    counts = collections.Counter(each.request_id for each in evidence.arrivals)
    return [
        request_id
        for request_id, count in counts.items()
        if count > evidence.attempts[request_id].max_attempts
    ]


def find_long_deadlines(evidence: Evidence) -> list[Arrival]:
    """Returns arrivals that grant the server more time than there is."""
    return [
        arrival
        for arrival in evidence.arrivals
        if not arrival.was_held
        and arrival.deadline
        > evidence.attempts[arrival.request_id].deadline
        + evidence.transit_seconds
    ]


def find_forwarded_again(evidence: Evidence) -> list[str]:
    """Returns the ids of attempts that were passed on more than once."""
    counts = collections.Counter(each.request_id for each in evidence.forwards)
    return [request_id for request_id, count in counts.items() if count > 1]


def find_late_forwards(evidence: Evidence) -> list[Forward]:
    """Returns forwards by daemons that were not cut off, or not any more."""
    late = []
    for forward in evidence.forwards:
        for cut in evidence.cuts:
            until = cut.ends_at + HEAL_SECONDS
            if (
                forward.sender in cut.daemons
                and cut.starts_at <= forward.at <= until
            ):
                break
        else:
            late.append(forward)
    return late


def max_peer_share(evidence: Evidence) -> float:
    """Returns how many times its equal share the busiest peer got.

    The shares are those of the daemons that are not cut off; the value is the
    largest of all cuts.
    """
    largest = 0.0
    for cut in evidence.cuts:
        counts = collections.Counter(
            forward.receiver
            for forward in evidence.forwards
            if cut.starts_at <= forward.at < cut.ends_at + HEAL_SECONDS
        )
        peer_count = len(evidence.daemons - cut.daemons)
        if counts:
            share = max(counts.values()) * peer_count / counts.total()
            largest = max(largest, share)
    return largest


def max_peer_load(evidence: Evidence) -> float:
    """Returns the load of the busiest peer relative to the mean of all peers.

    The load are the requests of its callers and of daemons that are cut off;
    the value is the largest of all cuts.
    """
    killed = {daemon for daemon, _, _ in evidence.kills}
    largest = 0.0
    for cut in evidence.cuts:
        counts = collections.Counter(
            forward.receiver
            for forward in evidence.forwards
            if cut.starts_at <= forward.at < cut.ends_at
        )
        counts.update(
            attempt.daemon
            for attempt in evidence.attempts.values()
            if cut.starts_at <= attempt.at < cut.ends_at
        )
        loads = [
            counts[daemon] for daemon in evidence.daemons - cut.daemons - killed
        ]
        if sum(loads):
            largest = max(largest, max(loads) * len(loads) / sum(loads))
    return largest


def count_forwards_in_vain(evidence: Evidence) -> int:
    """Returns how often requests were passed on while no server was reached."""
    return sum(
        _is_without_servers(
            evidence, evidence.attempts[forward.request_id].service, forward.at
        )
        for forward in evidence.forwards
    )


def find_circles(evidence: Evidence) -> list[str]:
    """Returns the ids of attempts that a peer passed on once more."""
    receivers: dict[str, set[str]] = collections.defaultdict(set)
    found = []
    for forward in evidence.forwards:
        if forward.sender in receivers[forward.request_id]:
            found.append(forward.request_id)
        receivers[forward.request_id].add(forward.receiver)
    return found


def arrival_ratio(evidence: Evidence) -> float:
    """Returns the arrivals at servers per attempt during and after cuts."""
    starts_at = _first_fault_at(evidence)
    attempts = [
        attempt
        for attempt in evidence.attempts.values()
        if attempt.at >= starts_at
    ]
    arrivals = [each for each in evidence.arrivals if each.at >= starts_at]
    return len(arrivals) / max(1, len(attempts))


def _first_fault_at(evidence: Evidence) -> float:
    starts = [cut.starts_at for cut in evidence.cuts]
    starts += [start for start, _, _ in evidence.down_periods]
    return min(starts, default=0.0)


def hold_seconds_without_servers(evidence: Evidence) -> list[float]:
    """Returns, in order, how long refused attempts were held in vain.

    Attempts are counted that were sent from a second after no daemon reached
    any server of their service.
    """
    held = []
    for attempt in evidence.attempts.values():
        if attempt.is_served or not _is_without_servers(
            evidence, attempt.service, attempt.at
        ):
            continue
        held.append(min(attempt.ended_at, attempt.deadline) - attempt.at)
    return sorted(held)


def _is_without_servers(evidence: Evidence, service: str, at: float) -> bool:
    """Whether no daemon has reached a server of a service for a second."""
    for start, end, down_service in evidence.down_periods:
        if service == down_service and start + EARLY_SECONDS <= at < end:
            return True
    return False


def percentile(values: list[float], ratio: float) -> float:
    """Returns the value below which a ratio of the sorted values lies.

    Examples:
        >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
        3.0
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(ratio * len(values)))]


def make_report(evidence: Evidence) -> dict[str, object]:
    """Returns the figures of one run, as they are written to the report."""
    report: dict[str, object] = {"attempts": len(evidence.attempts)}
    for name, seconds in (
        ("3s", CONTACT_SECONDS),
        ("1s", EARLY_SECONDS),
        ("0s", 0.0),
    ):
        at_cut = count_at_cut(evidence, seconds)
        others = count_at_others(evidence, seconds)
        report[f"cut_{name}"] = f"{at_cut.served}/{at_cut.sent}"
        report[f"others_{name}"] = f"{others.served}/{others.sent}"
    throughout = count_at_others_throughout(evidence)
    report["others"] = f"{throughout.served}/{throughout.sent}"
    after = count_after_faults(evidence)
    report["healed"] = f"{after.served}/{after.sent}"
    held = hold_seconds_without_servers(evidence)
    report.update(
        quarantined=len(find_refused_as_quarantined(evidence)),
        repeated_runs=len(find_repeated_runs(evidence)),
        broken_promises=len(find_broken_promises(evidence)),
        excess_attempts=len(find_excess_attempts(evidence)),
        long_deadlines=len(find_long_deadlines(evidence)),
        defects=len(evidence.defects),
        forwards=len(evidence.forwards),
        circles=len(find_circles(evidence)),
        forwarded_again=len(find_forwarded_again(evidence)),
        late_forwards=len(find_late_forwards(evidence)),
        forwards_in_vain=count_forwards_in_vain(evidence),
        max_peer_load=round(max_peer_load(evidence), 2),
        max_peer_share=round(max_peer_share(evidence), 2),
        arrival_ratio=round(arrival_ratio(evidence), 3),
        refused_without_servers=len(held),
        held_median=round(percentile(held, 0.5), 3),
        held_95=round(percentile(held, 0.95), 3),
    )
    return report
