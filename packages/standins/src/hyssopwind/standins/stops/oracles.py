"""Oracles of a soak: rules that callers and servers can judge from outside.

Each has the excuses that the users' rules give and no other.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterator

from hyssopwind.core import registry
from hyssopwind.standins.stops import judging
from hyssopwind.standins.stops import records

# Statuses that state that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
CONFIGURATION_BOUND_SECONDS = 2.0
# By which an unstable store stretches the bound.
MAX_SKEW_SECONDS = 5.0
CONTACT_SECONDS = 3.0
# After the last fault; from then on a quarter of the requests is served.
RECOVERY_SECONDS = 15.0
MIN_SERVED_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecords:
    """What callers, servers and the operator saw in a run.

    Attributes:
        judged: all requests, with what the servers saw of each.
        timelines: what was done to each gateway.
        world: what was done to the store, the operator and the servers.
        service_of: number of the service of each server, by its id.
        bounds: bounds of the rules.
        crashes: gateway and status of each end that no kill or stop explains.
    """

    judged: tuple[judging.Judged, ...]
    timelines: tuple[records.GatewayTimeline, ...]
    world: records.WorldTimeline
    service_of: dict[str, int]
    bounds: judging.Bounds
    crashes: tuple[tuple[int, int], ...] = ()


Oracle = Callable[[RunRecords], Iterator[str]]
ORACLES: registry.Registry[str, Oracle] = registry.Registry("oracle")


def find_breaches(run: RunRecords) -> dict[str, list[str]]:
    """Returns the breaches of each rule that is broken."""
    found = {}
    for name in ORACLES:
        breaches = list(ORACLES.find(name)(run))
        if breaches:
            found[name] = breaches
    return found


@ORACLES.register("LOST")
def find_lost(run: RunRecords) -> Iterator[str]:
    """Requests that lost their answer around planned work."""
    for each in judging.find_broken(run.judged):
        yield judging.describe(each)


@ORACLES.register("TWICE")
def find_run_twice(run: RunRecords) -> Iterator[str]:
    """Requests that are not idempotent and ran more than once."""
    for each in run.judged:
        run_count = sum(a.began_at is not None for a in each.arrivals)
        if not each.caller.kind.is_safe and run_count > 1:
            yield judging.describe(each)


@ORACLES.register("REFUSED")
def find_untrue_refusals(run: RunRecords) -> Iterator[str]:
    """Requests that are not idempotent, were refused and ran nevertheless."""
    for each in run.judged:
        caller = each.caller
        if caller.kind.is_safe or caller.status not in PROMISES:
            continue
        if any(arrival.began_at is not None for arrival in each.arrivals):
            yield judging.describe(each)


@ORACLES.register("MIXED")
def find_foreign_answers(run: RunRecords) -> Iterator[str]:
    """Answers of other requests, and successes that no server gave."""
    for each in run.judged:
        caller = each.caller
        if caller.foreign_id:
            yield f"answer to {caller.foreign_id}: {judging.describe(each)}"
        elif 200 <= caller.status < 300 and not (
            caller.is_stamped and each.arrivals
        ):
            yield judging.describe(each)


@ORACLES.register("OWN-END")
def find_own_ends(run: RunRecords) -> Iterator[str]:
    """Processes that ended by themselves."""
    for gateway, status in run.crashes:
        yield f"gateway {gateway} ended with status {status}"


@ORACLES.register("CONFIG")
def find_older_versions(run: RunRecords) -> Iterator[str]:
    """Requests that ran as only an older version allows, at calm gateways."""
    for each in run.judged:
        caller = each.caller
        if not is_calm(run, caller.gateway, caller.sent_first_at):
            continue
        allowed = _allowed_services(run, caller.sent_first_at, caller)
        if caller.status == 404 and not caller.is_stamped:
            yield judging.describe(each)
            continue
        for arrival in each.arrivals:
            if run.service_of[arrival.server] not in allowed:
                yield judging.describe(each)


@ORACLES.register("RECOVER")
def find_unserved(run: RunRecords) -> Iterator[str]:
    """Less than a quarter of the requests is served after the last fault."""
    calm_since = _last_fault_at(run) + RECOVERY_SECONDS
    late = [
        each
        for each in run.judged
        if each.caller.sent_first_at >= calm_since
        and each.verdict is not judging.Verdict.OPEN
    ]
    served = sum(each.caller.status == 200 for each in late)
    if served < MIN_SERVED_RATIO * len(late):
        yield f"{served} of {len(late)} requests served"


def is_calm(run: RunRecords, gateway: int, at: float) -> bool:
    """Whether a gateway was in touch, and the store stable, for long enough."""
    timeline = run.timelines[gateway]
    since = at - CONTACT_SECONDS
    moments = [
        *timeline.started_at,
        *timeline.terminated_at,
        *(when for when, _ in timeline.exits),
    ]
    if any(since <= moment <= at for moment in moments):
        return False
    spans = [*timeline.impaired, *run.world.disturbed]
    return not any(start <= at and end >= since for start, end in spans)


def _allowed_services(
    run: RunRecords, sent_at: float, caller: records.CallerRecord
) -> set[int]:
    """Returns the services of all versions that may be in force."""
    ended_at = sent_at if caller.ended_at is None else caller.ended_at
    allowed = set()
    in_force = None
    for confirmed_at, service in run.world.confirmed:
        # Only an impairment of the store between the two stretches the bound.
        bound = CONFIGURATION_BOUND_SECONDS
        if any(
            end >= confirmed_at - CONTACT_SECONDS and start <= sent_at
            for start, end in run.world.disturbed
        ):
            bound += MAX_SKEW_SECONDS
        if confirmed_at + bound <= sent_at:
            in_force = service
        elif confirmed_at <= ended_at:
            allowed.add(service)
    if in_force is not None:
        allowed.add(in_force)
    return allowed


def _last_fault_at(run: RunRecords) -> float:
    moments = [end for _, end in run.world.disturbed]
    for timeline in run.timelines:
        moments += timeline.started_at + timeline.terminated_at
        moments += [when for when, _ in timeline.exits]
        moments += [end for _, end in timeline.impaired]
    return max(moments, default=float("-inf"))
