"""Settings of a daemon that serves on the platform."""

import dataclasses
from collections.abc import Mapping

from hyssopwind.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses, seeds and bounds of a daemon on the platform.

    Attributes:
        name: name of the daemon.
        ip: IP address of its VM.
        data_centre: data centre in which it runs.
        region: region of its data centre.
        regions: region of each data centre.
        callers_address: address on which it serves callers.
        ready_address: address on which it answers the readiness checks of the
            platform's balancer.
        peers_address: address for bulk transfers between daemons.
        gossip_port: UDP port for messages between daemons, on every VM.
        metrics_port: HTTP port of the metrics.
        seeds: peer addresses of a few daemons, some of which may be down.
        first_start: whether the whole fleet starts for the first time.
        store_address: address of the platform's store.
        grace: seconds from SIGTERM to SIGKILL.
        drain_bound: seconds within which a leaving server gets no new work.
        configuration_bound: seconds within which a change is in force.
        evacuation_bound: seconds within which an evacuated data centre gets no
            new work.
        retry_ratio: ratio of retries to requests, over all daemons.
        retry_window: seconds over which retries are counted.
        retry_slack: retries allowed in a window beyond the ratio.
        probe_rate: probes of one server per second, over all daemons.
        memory_bytes: memory above which the process is killed.
        link_mbps: width of the link of the VM in Mbit/s; 0 if unknown.
        max_descriptors: descriptors that the process may open; 0 for those
            that the system allows.
        fail_closed: whether requests that need a key are refused while the
            replica of the store may be too old to show that it is in force.
        revoke_bound: seconds within which a revoked key must be refused.
        quota_window: seconds over which the requests of a tenant are counted.
        quota_overshoot: ratio by which they may exceed the allowance of the
            tenant in a window, over all daemons.
        quota_slack: requests allowed in a window beyond that.
    """

    name: ids.DaemonId
    ip: str
    data_centre: ids.DataCentreId
    region: str
    regions: Mapping[ids.DataCentreId, str]
    callers_address: str
    ready_address: str
    peers_address: str
    gossip_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    first_start: bool
    store_address: str
    grace: float
    drain_bound: float
    configuration_bound: float
    evacuation_bound: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    probe_rate: float
    memory_bytes: int
    link_mbps: int = 0
    max_descriptors: int = 0
    fail_closed: bool = False
    revoke_bound: float = 5.0
    quota_window: float = 5.0
    quota_overshoot: float = 0.25
    quota_slack: float = 20.0

    @property
    def change_bound_seconds(self) -> float:
        """Seconds within which any published change must take effect."""
        return min(
            self.drain_bound,
            self.configuration_bound,
            self.evacuation_bound,
            self.revoke_bound,
        )


class LiveSettings:
    """The settings in force, which a reload may replace."""

    def __init__(self, current: GatewaySettings):
        self._current = current

    @property
    def current(self) -> GatewaySettings:
        """The settings in force."""
        return self._current

    def replace(self, new: GatewaySettings) -> list[str]:
        """Puts new settings in force; returns the names of changed fields."""
        changed = []
        for field in dataclasses.fields(GatewaySettings):
            if getattr(new, field.name) != getattr(self._current, field.name):
                changed.append(field.name)
        self._current = new
        return changed
