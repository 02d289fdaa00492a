"""Metrics of the gateway; docs/METRICS.md lists them.

Counts are plain numbers that become metrics at a scrape. A daemon that is not
scraped never imports prometheus_client, which saves memory.
"""

import bisect
import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from hyssopwind.core.stopping import deliveries

MAX_SERIES = 4_096  # combinations of label values of one metric
_BUCKET_BOUNDS_SECONDS = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    0.75,
    1.0,
    2.0,
    5.0,
    10.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class GaugeSources:
    """Callables that return the values of the gauges.

    Attributes:
        copy_age: age of the replica of the platform's items in seconds.
        revision: revision of that replica.
        era: era of the platform that the revision belongs to.
        restorations: restorations of the platform that were seen.
        missed_changes: changes that a listing showed to have been missed.
        failed_items: items that a defect kept from being applied.
        unreadable_items: items that could not be decoded in whole.
        version: version of the configuration in force.
        version_age: seconds for which it has been in force.
        servers: listed servers.
        limited_servers: servers whose stated limits hold.
        permit_counts: requests for permits by result.
        priority_counts: decisions of searches by the label of the priority and
            the decision.
        search_refusal_counts: requests for which no server was selected, by
            the label of the priority and the reason.
        allowance_counts: requests for tokens of allowances by result.
        transfer_counts: transfers of changes from and to peers by result.
        transfer_bytes: bytes of these transfers by direction.
        daemons: daemons that were live recently, this one included.
        connections: connections opened to servers.
        checks: probes sent to servers.
        store_calls: calls to the platform's store.
        lines_dropped: log lines dropped.
        ready: whether the daemon reports that it is ready.
        cut_off: whether the daemon has no way to the servers.
        caller_bytes: memory that callers make the daemon hold.
        caller_connections: open connections of all listeners.
        caller_requests: requests of callers that run.
        caller_refusal_counts: refused requests and closed connections of
            callers by reason.
    """

    copy_age: Callable[[], float]
    revision: Callable[[], float]
    era: Callable[[], float]
    restorations: Callable[[], float]
    missed_changes: Callable[[], float]
    failed_items: Callable[[], float]
    unreadable_items: Callable[[], float]
    version: Callable[[], float]
    version_age: Callable[[], float]
    servers: Callable[[], float]
    limited_servers: Callable[[], float]
    permit_counts: Callable[[], Mapping[str, int]]
    priority_counts: Callable[[], Mapping[tuple[str, str], int]]
    search_refusal_counts: Callable[[], Mapping[tuple[str, str], int]]
    allowance_counts: Callable[[], Mapping[str, int]]
    transfer_counts: Callable[[], Mapping[str, int]]
    transfer_bytes: Callable[[], Mapping[str, int]]
    daemons: Callable[[], float]
    connections: Callable[[], float]
    checks: Callable[[], float]
    store_calls: Callable[[], float]
    lines_dropped: Callable[[], float]
    ready: Callable[[], float]
    cut_off: Callable[[], float]
    caller_bytes: Callable[[], float]
    caller_connections: Callable[[], float]
    caller_requests: Callable[[], float]
    caller_refusal_counts: Callable[[], Mapping[str, int]]


# Help texts by the name of the source, which is the end of the metric's name.
_GAUGES = {
    "copy_age": "Age of the copy of the platform's items in seconds",
    "revision": "Revision of the copy of the platform's items",
    "era": "Era of the platform that the revision belongs to",
    "restorations": "Restorations of the platform that were seen",
    "missed_changes": "Changes of the platform that had been missed",
    "failed_items": "Items that a defect kept from being applied",
    "unreadable_items": "Items that could not be decoded in whole",
    "version": "Version of the configuration in force",
    "version_age": "Seconds for which this version has been in force",
    "servers": "Listed servers",
    "limited_servers": "Servers whose stated limits hold",
    "daemons": "Daemons that lived lately, this one included",
    "connections": "Connections opened to servers so far",
    "checks": "Health checks sent to servers so far",
    "store_calls": "Calls to the platform's store so far",
    "lines_dropped": "Log lines dropped so far",
    "ready": "Whether the daemon says that it is ready",
    "cut_off": "Whether the daemon has no way to the servers",
    "caller_bytes": "Memory that callers make the daemon hold",
    "caller_connections": "Open connections of all listeners",
    "caller_requests": "Requests of callers that run",
}


class GatewayMetrics:
    """Counts requests and attempts; a collector of prometheus_client."""

    def __init__(self) -> None:
        self._requests: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._attempts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._limited_attempts: collections.Counter[str] = collections.Counter()
        self._undelivered: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._retries: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._handovers: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._authentications: collections.Counter[str] = collections.Counter()
        self._bucket_counts: dict[str, list[int]] = {}
        self._latency_sums: dict[str, float] = {}
        self._sources: GaugeSources | None = None

    def attach(self, sources: GaugeSources) -> None:
        """Sets the sources from which each scrape reads the gauges."""
        self._sources = sources

    def count_request(
        self, route: str, outcome: str, reason: str, seconds: float
    ) -> None:
        """Counts a request of a caller and the seconds that it took."""
        if len(self._requests) < MAX_SERIES:
            self._requests[route, outcome, reason] += 1
        counts = self._bucket_counts.get(route)
        if counts is None:
            if len(self._bucket_counts) >= MAX_SERIES:
                return
            counts = [0] * (len(_BUCKET_BOUNDS_SECONDS) + 1)
            self._bucket_counts[route] = counts
        counts[bisect.bisect_left(_BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self._latency_sums[route] = self._latency_sums.get(route, 0.0) + seconds

    def count_attempt(
        self, service: str, result: str, *, is_limited: bool
    ) -> None:
        """Counts an attempt at a server, which may have stated a limit."""
        if is_limited:
            self._limited_attempts[service] += 1
        if len(self._attempts) < MAX_SERIES:
            self._attempts[service, result] += 1

    def count_retry(self, priority: str, kind: str, result: str) -> None:
        """Counts a retry or hedge at a service with several priorities.

        Args:
            priority: label of the priority of the request.
            kind: `retry` or `hedge`.
            result: `allowed` or `denied`.
        """
        self._retries[priority, kind, result] += 1

    def count_handover(self, direction: str, result: str) -> None:
        """Counts a request that was sent to or received from a peer."""
        self._handovers[direction, result] += 1

    def count_authentication(self, result: str) -> None:
        """Counts a request that needed a key, or whose key was hidden."""
        self._authentications[result] += 1

    def count_undelivered(
        self, stage: deliveries.DeliveryStage, cause: deliveries.CloseCause
    ) -> None:
        """Counts an answer that its caller did not get whole."""
        self._undelivered[stage.value, cause.value] += 1

    def render(self) -> bytes:
        """Returns the metrics in the text format of Prometheus."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yields the metrics of a scrape."""
        from prometheus_client import metrics_core

        sources = self._sources
        permit_counts = sources.permit_counts() if sources else {}
        allowance_counts = sources.allowance_counts() if sources else {}
        yield _make_counter(
            "hyssopwind_requests",
            "Requests of callers by how they ended",
            ["route", "outcome", "reason"],
            self._requests,
        )
        yield _make_counter(
            "hyssopwind_attempts",
            "Attempts at servers by result",
            ["service", "result"],
            self._attempts,
        )
        yield _make_counter(
            "hyssopwind_limited_attempts",
            "Attempts at servers that had stated a limit when they ended",
            ["service"],
            {(service,): n for service, n in self._limited_attempts.items()},
        )
        yield _make_counter(
            "hyssopwind_permits",
            "Requests for permits to send to servers with limits",
            ["result"],
            {(result,): count for result, count in permit_counts.items()},
        )
        yield _make_counter(
            "hyssopwind_allowances",
            "Requests for tokens of the allowances of tenants",
            ["result"],
            {(result,): count for result, count in allowance_counts.items()},
        )
        yield _make_counter(
            "hyssopwind_retries",
            "Retries and hedges at services with several priorities",
            ["priority", "kind", "result"],
            self._retries,
        )
        yield _make_counter(
            "hyssopwind_priority_decisions",
            "Searches for a server that the priority of the request changed",
            ["priority", "decision"],
            self._sources.priority_counts() if self._sources else {},
        )
        yield _make_counter(
            "hyssopwind_search_refusals",
            "Requests for which no server was selected",
            ["priority", "reason"],
            self._sources.search_refusal_counts() if self._sources else {},
        )
        yield _make_counter(
            "hyssopwind_handovers",
            "Requests handed between daemons",
            ["direction", "result"],
            self._handovers,
        )
        yield _make_counter(
            "hyssopwind_undelivered_answers",
            "Answers that callers did not get whole",
            ["stage", "cause"],
            self._undelivered,
        )
        yield _make_counter(
            "hyssopwind_authentications",
            "Checks of requests for keys of tenants by result",
            ["result"],
            {(result,): n for result, n in self._authentications.items()},
        )
        refusal_counts = (
            self._sources.caller_refusal_counts() if self._sources else {}
        )
        yield _make_counter(
            "hyssopwind_caller_refusals",
            "Refused requests and closed connections of callers",
            ["reason"],
            {(reason,): count for reason, count in refusal_counts.items()},
        )
        yield from self._collect_transfers()
        yield self._collect_latencies()
        for name, text in _GAUGES.items():
            value = getattr(self._sources, name)() if self._sources else 0.0
            yield metrics_core.GaugeMetricFamily(
                f"hyssopwind_gateway_{name}", text, value=float(value)
            )

    def _collect_transfers(self) -> Iterator[Any]:
        sources = self._sources
        counts = sources.transfer_counts() if sources else {}
        sizes = sources.transfer_bytes() if sources else {}
        yield _make_counter(
            "hyssopwind_transfers",
            "Transfers of changes from and to other daemons",
            ["result"],
            {(result,): count for result, count in counts.items()},
        )
        yield _make_counter(
            "hyssopwind_transfer_bytes",
            "Bytes of changes from and to other daemons",
            ["direction"],
            {(direction,): size for direction, size in sizes.items()},
        )

    def _collect_latencies(self) -> Any:
        from prometheus_client import metrics_core

        family = metrics_core.HistogramMetricFamily(
            "hyssopwind_request_seconds",
            "Time from the whole request to the answer",
            labels=["route"],
        )
        bounds = [str(bound) for bound in _BUCKET_BOUNDS_SECONDS] + ["+Inf"]
        for route, counts in self._bucket_counts.items():
            cumulative_count = 0
            buckets = []
            for bound, count in zip(bounds, counts, strict=True):
                cumulative_count += count
                buckets.append((bound, float(cumulative_count)))
            family.add_metric([route], buckets, self._latency_sums[route])
        return family


def _make_counter(
    name: str,
    text: str,
    label_names: list[str],
    counts: Mapping[Any, int],
) -> Any:
    """Returns a counter metric of counts by their label values."""
    from prometheus_client import metrics_core

    family = metrics_core.CounterMetricFamily(name, text, labels=label_names)
    for label_values, count in counts.items():
        family.add_metric(label_values, count)
    return family
