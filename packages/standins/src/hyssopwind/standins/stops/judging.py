"""Rule LOST: requests that lost their answer around planned work.

Judges from the records of callers and servers only.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable
from collections.abc import Sequence

from hyssopwind.standins.stops import records

# Part of the grace period, at its end, in which a server may still be at work.
FINAL_PART = 1 / 6
# Time after SIGTERM in which the balancer may still open connections.
BALANCER_DELAY_SECONDS = 3.0


class Verdict(enum.Enum):
    """What became of a request.

    Attributes:
        ANSWERED: it got a whole answer.
        LOST: it was passed on to a server and the connection ended without a
            whole answer.
        LOST_UNSENT: it was read and not passed on, and the connection ended
            later than the slack after its last byte.
        REPLACED: a failure of the gateway stands in place of the answer of a
            server at work.
        CUT: passed on and cut while nothing was planned; allowed three times.
        BROKEN_OFF: excused; the server that it was passed on to broke off.
        UNREAD: not wholly sent, or cut within the slack and not passed on.
        BEHIND: excused; it was sent behind another and not passed on.
        TIMED_OUT: excused; the deadline or the timeout was reached.
        AT_WORK: excused; a server was at work in the last part of the grace
            period on a request sent within the delay of the balancer.
        IMPAIRED: excused; the gateway was frozen or killed.
        UNKNOWN: reset and not passed on, so that it may not have been read.
        OPEN: the run ended first.
    """

    ANSWERED = "answered"
    LOST = "lost"
    LOST_UNSENT = "lost unsent"
    REPLACED = "replaced"
    CUT = "cut"
    BROKEN_OFF = "broken off"
    UNREAD = "unread"
    BEHIND = "behind"
    TIMED_OUT = "timed out"
    AT_WORK = "at work"
    IMPAIRED = "impaired"
    UNKNOWN = "unknown"
    OPEN = "open"


FINDINGS = frozenset({Verdict.LOST, Verdict.LOST_UNSENT, Verdict.REPLACED})
MAX_CUTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the rules, in seconds.

    Attributes:
        grace: time between SIGTERM and SIGKILL.
        loss_slack: time after its last byte in which a request may be cut that
            was not passed on.
        contact: time for which an impairment still counts.
        configuration: time in which a reload has to be in force.
    """

    grace: float = 6.0
    loss_slack: float = 0.2
    contact: float = 3.0
    configuration: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Judged:
    """A request with its verdict.

    Attributes:
        caller: what its caller saw.
        arrivals: what the servers saw.
        verdict: the verdict.
        terminated_at: the SIGTERM that it is measured from, if any.
    """

    caller: records.CallerRecord
    arrivals: tuple[records.ServerRecord, ...]
    verdict: Verdict
    terminated_at: float | None


def judge_run(
    callers: Iterable[records.CallerRecord],
    servers: Iterable[records.ServerRecord],
    timelines: Sequence[records.GatewayTimeline],
    bounds: Bounds,
) -> list[Judged]:
    """Returns the verdicts on all requests, in the order of `callers`."""
    arrivals: collections.defaultdict[str, list[records.ServerRecord]] = (
        collections.defaultdict(list)
    )
    for arrival in servers:
        arrivals[arrival.request_id].append(arrival)
    judged = []
    for caller in callers:
        own_arrivals = tuple(arrivals[caller.request_id])
        timeline = timelines[caller.gateway]
        judged.append(
            Judged(
                caller,
                own_arrivals,
                judge(caller, own_arrivals, timeline, bounds),
                _find_stop(caller, timeline, bounds),
            )
        )
    return judged


def find_broken(judged: Iterable[Judged]) -> list[Judged]:
    """Returns the requests that break the rule, in the order of `judged`."""
    judged = list(judged)
    cuts = [each for each in judged if each.verdict is Verdict.CUT]
    broken = [each for each in judged if each.verdict in FINDINGS]
    if len(cuts) > MAX_CUTS:
        broken += cuts
    return broken


def judge(
    caller: records.CallerRecord,
    arrivals: Sequence[records.ServerRecord],
    timeline: records.GatewayTimeline,
    bounds: Bounds,
) -> Verdict:
    """Returns the verdict on one request."""
    answered_at = caller.ended_at
    if answered_at is None:
        return Verdict.OPEN
    if caller.sent_last_at is None and arrivals:
        # Its caller waits after the last part of a body.
        arrived_at = min(arrival.arrived_at for arrival in arrivals)
        caller = dataclasses.replace(caller, sent_last_at=arrived_at)
    if caller.sent_last_at is None:
        return Verdict.UNREAD
    terminated_at = _find_stop(caller, timeline, bounds)
    if caller.ending is records.Ending.WHOLE:
        is_replaced = (
            terminated_at is not None
            and not caller.is_stamped
            and _was_broken_off(arrivals, answered_at)
        )
        if not is_replaced:
            return Verdict.ANSWERED
    loss = _classify_loss(caller, arrivals, bounds)
    if loss not in FINDINGS:
        return loss
    excuse = _find_excuse(caller, arrivals, timeline, bounds)
    if excuse is not None:
        return excuse
    if terminated_at is not None or _is_reloaded(caller, timeline, bounds):
        return loss
    return Verdict.CUT if loss is Verdict.LOST else Verdict.UNREAD


def _classify_loss(
    caller: records.CallerRecord,
    arrivals: Sequence[records.ServerRecord],
    bounds: Bounds,
) -> Verdict:
    assert caller.ended_at is not None and caller.sent_last_at is not None
    if caller.ending is records.Ending.WHOLE:
        return Verdict.REPLACED
    if arrivals:
        return Verdict.LOST
    if caller.requests_ahead:
        return Verdict.BEHIND
    if caller.ended_at <= caller.sent_last_at + bounds.loss_slack:
        return Verdict.UNREAD
    if caller.ending is records.Ending.RESET:
        return Verdict.UNKNOWN
    return Verdict.LOST_UNSENT


def _find_excuse(
    caller: records.CallerRecord,
    arrivals: Sequence[records.ServerRecord],
    timeline: records.GatewayTimeline,
    bounds: Bounds,
) -> Verdict | None:
    assert caller.ended_at is not None and caller.sent_last_at is not None
    limit_seconds = min(
        caller.kind.deadline_seconds, caller.kind.timeout_seconds
    )
    if caller.ended_at >= caller.sent_first_at + limit_seconds:
        return Verdict.TIMED_OUT
    if arrivals and arrivals[-1].broke_off_at is not None:
        return Verdict.BROKEN_OFF
    for start, end in timeline.impaired:
        if start <= caller.ended_at and end >= (
            caller.sent_first_at - bounds.contact
        ):
            return Verdict.IMPAIRED
    terminated_at = _find_stop(caller, timeline, bounds)
    if terminated_at is None:
        return None
    if caller.sent_last_at > terminated_at + BALANCER_DELAY_SECONDS:
        return None
    grace_end = terminated_at + bounds.grace
    final_part_start = grace_end - bounds.grace * FINAL_PART
    if caller.ended_at < final_part_start:
        return None
    if _was_at_work(arrivals, final_part_start, grace_end):
        return Verdict.AT_WORK
    return None


def _find_stop(
    caller: records.CallerRecord,
    timeline: records.GatewayTimeline,
    bounds: Bounds,
) -> float | None:
    """Returns the first SIGTERM of the stop in which the request ended."""
    if caller.ended_at is None:
        return None
    latest = None
    for terminated_at in timeline.terminated_at:
        window_end = terminated_at + bounds.grace + 1.0
        if not terminated_at <= caller.ended_at <= window_end:
            continue
        # A repeated SIGTERM does not start a new grace period.
        is_repeated = latest is not None and not any(
            latest < started <= terminated_at for started in timeline.started_at
        )
        if not is_repeated:
            latest = terminated_at
    return latest


def _is_reloaded(
    caller: records.CallerRecord,
    timeline: records.GatewayTimeline,
    bounds: Bounds,
) -> bool:
    assert caller.ended_at is not None and caller.sent_last_at is not None
    for reloaded_at in timeline.reloaded_at:
        sent_until = reloaded_at + bounds.configuration
        if caller.sent_last_at <= sent_until and caller.ended_at >= reloaded_at:
            return True
    return False


def _was_broken_off(
    arrivals: Sequence[records.ServerRecord], answered_at: float
) -> bool:
    """Whether a server had begun and not ended when its caller was answered.

    The gateway may disconnect from the server before it answers.
    """
    for arrival in arrivals:
        if arrival.began_at is None or arrival.began_at > answered_at:
            continue
        if arrival.ended_at is None or arrival.ended_at > answered_at:
            return True
    return False


def _was_at_work(
    arrivals: Sequence[records.ServerRecord], start: float, end: float
) -> bool:
    """Whether a server worked at some moment between two times."""
    for arrival in arrivals:
        if arrival.began_at is None or arrival.began_at > end:
            continue
        work_end = arrival.ended_at
        if work_end is None:
            work_end = arrival.disconnected_at
        if work_end is None or work_end >= start:
            return True
    return False


def describe(judged: Judged) -> str:
    """Returns a line with the times of both sides, relative to SIGTERM."""
    caller = judged.caller
    origin = judged.terminated_at
    if origin is None:
        origin = caller.sent_first_at

    def relative(at: float | None) -> str:
        return "-" if at is None else f"{at - origin:.3f}"

    text = (
        f"{judged.verdict.value}: {caller.request_id} {caller.kind.name}"
        f" gateway={caller.gateway} connection={caller.connection}"
        f" ahead={caller.requests_ahead}"
        f" sent {relative(caller.sent_first_at)}"
        f"..{relative(caller.sent_last_at)}"
        f" end {relative(caller.ended_at)} {caller.ending.value}"
        f" status={caller.status} bytes={caller.bytes_received}"
    )
    for arrival in judged.arrivals:
        text += (
            f"; {arrival.server} arrived {relative(arrival.arrived_at)}"
            f" ran {relative(arrival.began_at)}..{relative(arrival.ended_at)}"
        )
        if arrival.disconnected_at is not None:
            text += f" disconnected {relative(arrival.disconnected_at)}"
    return text
