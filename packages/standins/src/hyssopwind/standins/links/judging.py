"""What callers saw of changes of the configuration."""

import dataclasses
import enum
import math
import statistics
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

MOVED_SERVICES = ("s0", "s1", "s2", "s3")


class ProbeKind(enum.Enum):
    """Route of a caller's request.

    Attributes:
        ADDED: the route that the newest version has added.
        MOVED: the route that each version moves to another service.
    """

    ADDED = "added"
    MOVED = "moved"


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A version of the configuration.

    Attributes:
        version: its number; successive versions differ by one.
        accepted_at: monotonic time of the store's acceptance.
        encoded_bytes: its size in the store.
    """

    version: int
    accepted_at: float
    encoded_bytes: int

    @property
    def service(self) -> str:
        """Service of the moved route."""
        return MOVED_SERVICES[self.version % len(MOVED_SERVICES)]


@dataclasses.dataclass(slots=True)
class Probe:
    """A request of a caller.

    Attributes:
        request_id: its id.
        gateway: number of the gateway.
        kind: its route.
        version: newest accepted version when it was sent.
        sent_at: monotonic time.
        ended_at: monotonic time; infinite if there was no answer.
        status: status of the answer; 0 if there was none.
        handled_at: monotonic time at the server; infinite if it got none.
        service: service of the server that ran it; empty if none did.
    """

    request_id: str
    gateway: int
    kind: ProbeKind
    version: int
    sent_at: float
    ended_at: float = math.inf
    status: int = 0
    handled_at: float = math.inf
    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What happened in a phase.

    Attributes:
        publications: the versions, the one before the phase first.
        probes: the requests in order of their start.
        excused_until: time from which the bound is counted, by gateway, if
            later than the acceptance.
        bound_seconds: time from the acceptance until a version is in force.
    """

    publications: Sequence[Publication]
    probes: Sequence[Probe]
    excused_until: dict[int, float]
    bound_seconds: float

    def newest_at(self, at: float) -> Publication:
        """Returns the newest version that was accepted before a time."""
        newest = self.publications[0]
        for publication in self.publications:
            if publication.accepted_at <= at:
                newest = publication
        return newest

    def required_at(self, gateway: int, at: float) -> Publication:
        """Returns the version that must be in force at a time."""
        required = self.publications[0]
        for publication in self.publications:
            due_at = self.due_at(gateway, publication)
            if due_at < at:
                required = publication
        return required

    def due_at(self, gateway: int, publication: Publication) -> float:
        """Returns when a version must be in force at a gateway."""
        counted_from = max(
            publication.accepted_at, self.excused_until.get(gateway, -math.inf)
        )
        return counted_from + self.bound_seconds


def handled_version(evidence: Evidence, probe: Probe) -> int | None:
    """Returns the version by which a moved route was routed, if it was.

    Of several versions with the same service the newest is assumed.
    """
    for publication in reversed(evidence.publications):
        if publication.accepted_at > probe.ended_at:
            continue
        if publication.service == probe.service:
            return publication.version
    return None


def find_late_404s(evidence: Evidence) -> list[Probe]:
    """Returns the requests on added routes that were answered 404 too late."""
    return [
        probe
        for probe in evidence.probes
        if probe.kind is ProbeKind.ADDED
        and probe.status == 404
        and probe.version == evidence.newest_at(probe.ended_at).version
        and probe.version
        <= evidence.required_at(probe.gateway, probe.sent_at).version
    ]


def find_late_refusals(evidence: Evidence) -> list[Probe]:
    """Returns requests on added routes that were not served after the bound.

    Those that were answered 404 do not count.
    """
    return [
        probe
        for probe in evidence.probes
        if probe.kind is ProbeKind.ADDED
        and probe.status not in (200, 404)
        and probe.version
        <= evidence.required_at(probe.gateway, probe.sent_at).version
    ]


def find_late_by_old_version(evidence: Evidence) -> list[Probe]:
    """Returns the requests that an old version routed too late."""
    found = []
    for probe in evidence.probes:
        if probe.kind is not ProbeKind.MOVED or not probe.service:
            continue
        version = handled_version(evidence, probe)
        required = evidence.required_at(probe.gateway, probe.sent_at)
        if version is not None and version < required.version:
            found.append(probe)
    return found


def seconds_until_in_force(evidence: Evidence, gateway: int) -> float:
    """Returns the time from the last acceptance until both routes were right.

    It is infinite if they were not in the phase, and counts from the end of
    the excuse if there is one.
    """
    last = evidence.publications[-1]
    first_handled = dict.fromkeys(ProbeKind, math.inf)
    for probe in evidence.probes:
        if probe.gateway != gateway or probe.handled_at < last.accepted_at:
            continue
        is_right = probe.kind is ProbeKind.ADDED and (
            probe.version == last.version
        )
        if probe.kind is ProbeKind.MOVED:
            is_right = probe.service == last.service
        if is_right:
            first_handled[probe.kind] = min(
                first_handled[probe.kind], probe.handled_at
            )
    counted_from = evidence.due_at(gateway, last) - evidence.bound_seconds
    return max(0.0, max(first_handled.values()) - counted_from)


def summarize(evidence: Evidence, gateway_count: int) -> dict[str, Any]:
    """Returns the figures of a phase."""
    delays = sorted(
        seconds_until_in_force(evidence, each) for each in range(gateway_count)
    )
    last = evidence.publications[-1]
    before = evidence.publications[1].accepted_at
    return {
        "versions": len(evidence.publications) - 1,
        "configuration_bytes": last.encoded_bytes,
        "in_force_median": _finite(statistics.median(delays)),
        "in_force_last": _finite(delays[-1]),
        "not_in_bound": sum(d > evidence.bound_seconds for d in delays),
        "never": sum(math.isinf(each) for each in delays),
        "late_404": len(find_late_404s(evidence)),
        "late_refused": len(find_late_refusals(evidence)),
        "late_old": len(find_late_by_old_version(evidence)),
        "latency_before": _summarize_latency(
            [each for each in evidence.probes if each.sent_at < before]
        ),
        "latency": _summarize_latency(
            [each for each in evidence.probes if each.sent_at >= before]
        ),
    }


def _summarize_latency(probes: list[Probe]) -> dict[str, Any]:
    latencies = sorted(each.ended_at - each.sent_at for each in probes)
    if not latencies:
        return {}
    statuses: dict[int, int] = {}
    for probe in probes:
        statuses[probe.status] = statuses.get(probe.status, 0) + 1
    return {
        **{
            f"p{percent}_ms": _finite(
                latencies[len(latencies) * percent // 100], 1_000.0
            )
            for percent in (50, 90, 99)
        },
        "statuses": dict(sorted(statuses.items())),
    }


def _finite(value: float, factor: float = 1.0) -> float | None:
    return None if math.isinf(value) else round(value * factor, 2)


def iterate_differences(
    before: dict[str, int], after: dict[str, int]
) -> Iterator[tuple[str, int]]:
    """Yields what counters grew by; those of a new process start at zero."""
    is_new = sum(after.values()) < sum(before.values())
    for label, count in after.items():
        yield label, count if is_new else count - before.get(label, 0)
