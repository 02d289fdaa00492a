"""Metrics of the gateway; docs/METRICS.md lists them."""

import dataclasses
from collections.abc import Callable

import prometheus_client

from hyssopwind.daemon import metrics


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Where the gauges of a scrape come from.

    Attributes:
        copy_age: age of the copy of the platform's items in seconds.
        revision: revision of that copy.
        version: version of the configuration in force.
        servers: listed servers.
        daemons: daemons that lived lately.
        connections: connections opened to servers.
        checks: health checks sent.
        store_calls: calls to the platform's store.
        lines_dropped: log lines dropped.
        ready: whether the daemon says that it is ready.
    """

    copy_age: Callable[[], float]
    revision: Callable[[], float]
    version: Callable[[], float]
    servers: Callable[[], float]
    daemons: Callable[[], float]
    connections: Callable[[], float]
    checks: Callable[[], float]
    store_calls: Callable[[], float]
    lines_dropped: Callable[[], float]
    ready: Callable[[], float]


_GAUGES = {
    "copy_age": "Age of the copy of the platform's items in seconds",
    "revision": "Revision of the copy of the platform's items",
    "version": "Version of the configuration in force",
    "servers": "Listed servers",
    "daemons": "Daemons that lived lately, this one included",
    "connections": "Connections opened to servers so far",
    "checks": "Health checks sent to servers so far",
    "store_calls": "Calls to the platform's store so far",
    "lines_dropped": "Log lines dropped so far",
    "ready": "Whether the daemon says that it is ready",
}


class GatewayMetrics(metrics.Metrics):
    """The metrics of a daemon, with those of the platform's deployment."""

    def attach(self, sources: Sources) -> None:
        """Reads the gauges from these sources at each scrape."""
        for name, text in _GAUGES.items():
            gauge = prometheus_client.Gauge(
                f"hyssopwind_gateway_{name}", text, registry=self.registry
            )
            gauge.set_function(getattr(sources, name))

    def render(self) -> bytes:
        """Returns the metrics as text."""
        return prometheus_client.generate_latest(self.registry)
