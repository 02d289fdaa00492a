"""Metrics of a daemon; docs/METRICS.md lists them."""

import functools
from collections.abc import Callable

import prometheus_client

from hyssopwind.core import invariants

MAX_CACHED_CHILDREN = 4_096  # label combinations of one metric
_LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Metrics:
    """The metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "hyssopwind_requests",
            "Requests of callers by how they ended",
            ["service", "outcome", "reason"],
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "hyssopwind_request_seconds",
            "Time from the whole request to the answer",
            ["service"],
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "hyssopwind_attempts",
            "Attempts at servers by result",
            ["service", "result"],
            registry=self.registry,
        )
        self.choices = prometheus_client.Counter(
            "hyssopwind_choices",
            "How servers were chosen: direct, granted or refused",
            ["way"],
            registry=self.registry,
        )
        self.breaches = prometheus_client.Counter(
            "hyssopwind_invariant_breaches",
            "Actions refused because an invariant did not hold",
            ["invariant"],
            registry=self.registry,
        )
        self.probes = prometheus_client.Counter(
            "hyssopwind_load_probes",
            "Load probes sent",
            registry=self.registry,
        )
        self.peer_bytes = prometheus_client.Counter(
            "hyssopwind_peer_bytes",
            "Bytes of messages between daemons",
            ["direction"],
            registry=self.registry,
        )
        self.peer_messages = prometheus_client.Counter(
            "hyssopwind_peer_messages",
            "Messages between daemons",
            ["direction"],
            registry=self.registry,
        )
        self.platform_calls = prometheus_client.Counter(
            "hyssopwind_platform_calls",
            "Calls to the services of the platform",
            ["service", "result"],
            registry=self.registry,
        )
        self.left_out_parts = prometheus_client.Gauge(
            "hyssopwind_left_out_parts",
            "Parts of what others write that were left out so far",
            ["source"],
            registry=self.registry,
        )
        self.task_failures = prometheus_client.Counter(
            "hyssopwind_task_failures",
            "Failures of background tasks, which were started again",
            ["task"],
            registry=self.registry,
        )
        self.settings_revision = prometheus_client.Gauge(
            "hyssopwind_settings_revision",
            "Newest revision known of the settings of a team",
            ["team"],
            registry=self.registry,
        )
        self.settings_findings = prometheus_client.Gauge(
            "hyssopwind_settings_findings",
            "Findings that keep the newest settings of a team out of force",
            ["team"],
            registry=self.registry,
        )
        self.stale_listings = prometheus_client.Gauge(
            "hyssopwind_stale_listings",
            "Listings of the configuration service older than known settings",
            registry=self.registry,
        )
        self.key_records = prometheus_client.Gauge(
            "hyssopwind_key_records",
            "Idempotency keys and tickets remembered",
            registry=self.registry,
        )
        self.key_partitions = prometheus_client.Gauge(
            "hyssopwind_key_partitions",
            "Key partitions that this daemon owns",
            registry=self.registry,
        )
        self.owned_pools = prometheus_client.Gauge(
            "hyssopwind_owned_pools",
            "Pools that this daemon owns",
            registry=self.registry,
        )
        self.live_peers = prometheus_client.Gauge(
            "hyssopwind_live_peers",
            "Other daemons heard lately",
            registry=self.registry,
        )
        self.ready = prometheus_client.Gauge(
            "hyssopwind_ready",
            "Whether the daemon takes requests",
            registry=self.registry,
        )

        self.caller_refusals = prometheus_client.Counter(
            "hyssopwind_caller_refusals",
            "Refused requests and closed connections of callers",
            ["reason"],
            registry=self.registry,
        )
        self.caller_bytes = prometheus_client.Gauge(
            "hyssopwind_caller_bytes",
            "Memory that callers make the daemon hold",
            registry=self.registry,
        )
        self.caller_connections = prometheus_client.Gauge(
            "hyssopwind_caller_connections",
            "Open connections of all HTTP listeners",
            registry=self.registry,
        )
        self.caller_requests = prometheus_client.Gauge(
            "hyssopwind_caller_requests",
            "Requests of callers that run",
            registry=self.registry,
        )

    def count_request(
        self, service: str, outcome: str, reason: str, seconds: float
    ) -> None:
        """Counts a request of a caller and records its duration."""
        self._request_counter(service, outcome, reason).inc()
        self._latency_histogram(service).observe(seconds)

    def count_attempt(self, service: str, result: str) -> None:
        """Counts an attempt at a server."""
        self._attempt_counter(service, result).inc()

    @functools.cached_property
    def _request_counter(
        self,
    ) -> Callable[[str, str, str], prometheus_client.Counter]:
        return functools.lru_cache(MAX_CACHED_CHILDREN)(self.requests.labels)

    @functools.cached_property
    def _latency_histogram(
        self,
    ) -> Callable[[str], prometheus_client.Histogram]:
        return functools.lru_cache(MAX_CACHED_CHILDREN)(
            self.request_seconds.labels
        )

    @functools.cached_property
    def _attempt_counter(
        self,
    ) -> Callable[[str, str], prometheus_client.Counter]:
        return functools.lru_cache(MAX_CACHED_CHILDREN)(self.attempts.labels)

    def count_breach(
        self, invariant: invariants.Invariant, subject: str
    ) -> None:
        """Counts a breach of an invariant."""
        self.breaches.labels(invariant.name.lower()).inc()
